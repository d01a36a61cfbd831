/**
 * @file
 * Maintenance of machines in waves. Each machine is reserved, drained by the
 * owner of its pool, and then ordered into maintenance; a wave limits how many
 * machines are reserved at a time. Reservations are stored, so that another
 * controller can continue the wave.
 */
#ifndef BW_FLEET_UPKEEP_H
#define BW_FLEET_UPKEEP_H

#include <glib.h>

#include "fleet/ports.h"
#include "fleet/reports.h"
#include "store/store.h"

typedef struct bw_upkeep bw_upkeep_t;

typedef struct bw_upkeep_env {
	bw_store_t store;
	bw_machine_port_t machines;
	const bw_values_port_t *values;
	bw_machine_holder_t holder;
} bw_upkeep_env_t;

typedef struct bw_upkeep_ops {
	/** Reports the status of a call to the store. */
	void (*result)(void *ctx, bw_status_t status);
	/** A machine refused the token, as it has received a higher one. */
	void (*superseded)(void *ctx);
} bw_upkeep_ops_t;

/** The machines and the reports on their workers, as input of a tick. */
typedef struct bw_upkeep_view {
	int64_t now_ms;
	GHashTable *machines; /**< Name to bw_machine_t. */
	int64_t list_ms; /**< When the list of machines was requested. */
	bw_reports_t *reports; /**< Receives the orders for owners, too. */
	bool may_order; /**< Whether machines may be ordered. */
} bw_upkeep_view_t;

bw_upkeep_t *bw_upkeep_create(const bw_upkeep_env_t *env,
			      const bw_upkeep_ops_t *ops, void *ctx);

/** Stops; the results of calls in progress are ignored. */
void bw_upkeep_destroy(bw_upkeep_t *u);

/** Adds a wave unless it was added before; takes ownership of @p order. */
void bw_upkeep_wave(bw_upkeep_t *u, bw_wave_order_t *order);

/** Takes the steps that are due in all waves. */
void bw_upkeep_tick(bw_upkeep_t *u, const bw_upkeep_view_t *view);

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
void bw_upkeep_waves(const bw_upkeep_t *u,
		     void (*fn)(void *ctx, const bw_wave_progress_t *wave),
		     void *ctx);

/** Returns whether a machine is reserved for maintenance. */
bool bw_upkeep_reserved(const bw_upkeep_t *u, const char *machine);

/** Returns whether a wave is still to be completed. */
bool bw_upkeep_open(const bw_upkeep_t *u);

#endif
