/**
 * @file
 * Upkeep of machines in waves: machines are reserved, emptied by the owners of
 * their pools, and then ordered down, within the number that a wave allows at
 * a time. Reservations are kept in the store for a successor.
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
	/** A call to the store ended so. */
	void (*result)(void *ctx, bw_status_t status);
	/** A machine was ordered by a node with a higher token. */
	void (*superseded)(void *ctx);
} bw_maintenance_ops_t;

/** What is known of machines and of the workers on them. */
typedef struct bw_maintenance_view {
	int64_t now_ms;
	GHashTable *machines; /**< Name to bw_machine_t. */
	int64_t list_ms; /**< When they were listed. */
	bw_reports_t *reports; /**< Also takes orders for owners. */
	bool may_order; /**< Orders to machines may be given. */
} bw_maintenance_view_t;

bw_maintenance_t *bw_maintenance_create(const bw_maintenance_env_t *env,
					const bw_maintenance_ops_t *ops,
					void *ctx);

/** Calls in progress are ignored from now on. */
void bw_maintenance_destroy(bw_maintenance_t *u);

/** Takes an order of a wave, which is moved; known waves are ignored. */
void bw_maintenance_add_wave(bw_maintenance_t *u, bw_wave_order_t *order);

/** Takes the next steps. */
void bw_maintenance_tick(bw_maintenance_t *u,
			 const bw_maintenance_view_t *view);

/** How far a wave is. */
typedef struct bw_wave_progress {
	int64_t number;
	uint32_t machines;
	uint32_t at_once_max;
	uint32_t reserved; /**< Being emptied, or down. */
	uint32_t done;
	bool completed;
} bw_wave_progress_t;

/** Calls a function for each wave. */
void bw_maintenance_foreach_wave(const bw_maintenance_t *u,
				 void (*fn)(void *ctx,
					    const bw_wave_progress_t *wave),
				 void *ctx);

/** Whether a machine is reserved for upkeep. */
bool bw_maintenance_is_reserved(const bw_maintenance_t *u, const char *machine);

/** Whether a wave is not completed. */
bool bw_maintenance_in_progress(const bw_maintenance_t *u);

#endif
