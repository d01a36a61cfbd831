/**
 * @file
 * Maintenance of machines in waves. Each machine is reserved, drained by the
 * owner of its pool, and then ordered into maintenance; a wave limits how many
 * machines are reserved at a time. Reservations are stored, so that another
 * controller can continue the wave.
 */
#ifndef BW_FLEET_MAINTENANCE_H
#define BW_FLEET_MAINTENANCE_H

#include <glib.h>

#include "fleet/interfaces.h"
#include "fleet/reports.h"
#include "store/store.h"

typedef struct bw_maintenance bw_maintenance_t;

typedef struct bw_maintenance_env {
	bw_store_t store;
	bw_machine_api_t machines;
	const bw_value_format_t *values;
	bw_machine_holder_t holder;
} bw_maintenance_env_t;

typedef struct bw_maintenance_ops {
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
	/** A machine refused the token, as it has received a higher one. */
	void (*superseded)(void *ctx);
} bw_maintenance_ops_t;

/** The machines and the reports on their workers, as input of a tick. */
typedef struct bw_maintenance_view {
	int64_t now_ms;
	GHashTable *machines; /**< Name to bw_machine_t. */
	int64_t list_ms; /**< When the list of machines was requested. */
	bw_reports_t *reports; /**< Receives the orders for owners, too. */
	bool may_order; /**< Whether machines may be ordered. */
} bw_maintenance_view_t;

bw_maintenance_t *bw_maintenance_create(const bw_maintenance_env_t *env,
					const bw_maintenance_ops_t *ops,
					void *ctx);

/** Stops; the results of calls in progress are ignored. */
void bw_maintenance_destroy(bw_maintenance_t *m);

/** Adds a wave unless it was added before; takes ownership of @p order. */
void bw_maintenance_add_wave(bw_maintenance_t *m, bw_wave_order_t *order);

/** Takes the steps that are due in all waves. */
void bw_maintenance_tick(bw_maintenance_t *m,
			 const bw_maintenance_view_t *view);

/** Progress of a wave. */
typedef struct bw_wave_progress {
	int64_t number;
	uint32_t machines;
	uint32_t at_once_max;
	uint32_t reserved; /**< Machines being drained or in maintenance. */
	uint32_t done; /**< Machines whose maintenance is done. */
	bool completed;
} bw_wave_progress_t;

/** Calls a function for each wave. */
void bw_maintenance_foreach_wave(const bw_maintenance_t *m,
				 void (*fn)(void *ctx,
					    const bw_wave_progress_t *wave),
				 void *ctx);

/** Returns whether a machine is reserved for maintenance, or may be, as the
 * record of a wave that it belongs to can't be read. */
bool bw_maintenance_is_reserved(const bw_maintenance_t *m, const char *machine);

/** Returns whether a wave is still to be completed. */
bool bw_maintenance_in_progress(const bw_maintenance_t *m);

#endif
