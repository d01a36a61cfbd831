/**
 * @file
 * Directs the machines of all pools while this node holds that role: upkeep
 * in waves, and moves between pools. One node at a time orders machines, with
 * one fencing token, since a machine refuses lower tokens than it has seen.
 */
#ifndef BW_FLEET_CONTROLLER_H
#define BW_FLEET_CONTROLLER_H

#include "fleet/interfaces.h"
#include "fleet/reports.h"
#include "fleet/maintenance.h"
#include "store/store.h"

/** Name under which the role is claimed, beside the pools. */
#define BW_CONTROLLER_ROLE "@machines"

typedef struct bw_controller bw_controller_t;

typedef struct bw_controller_env {
	bw_store_t store;
	bw_machine_api_t machines;
	const bw_value_format_t *values;
	const char *node;
	int64_t takeover_delay_ms; /**< Between orders of two nodes to a
				      machine. */
	int64_t fence;
	bool no_predecessor; /**< No other live node held the role before. */
} bw_controller_env_t;

typedef struct bw_controller_ops {
	/** Sends an order to the owner of a pool. */
	void (*order)(void *ctx, const char *pool, const Bramley__Frame *frame);
	/** A call to the store ended so. */
	void (*result)(void *ctx, bw_status_t status);
	/** A machine was ordered by a node with a higher token. */
	void (*superseded)(void *ctx);
} bw_controller_ops_t;

bw_controller_t *bw_controller_create(const bw_controller_env_t *env,
				      const bw_controller_ops_t *ops,
				      void *ctx);

/** Gives the role up; calls in progress are ignored. */
void bw_controller_destroy(bw_controller_t *c);

/** Takes the operators' configuration. */
void bw_controller_configure(bw_controller_t *c,
			     const bw_fleet_config_t *config);

/** Takes an order of a wave; moved. */
void bw_controller_add_wave(bw_controller_t *c, bw_wave_order_t *order);

/** Takes a pool's report. */
void bw_controller_record_report(bw_controller_t *c, int64_t now_ms,
				 const Bramley__PoolReport *report);

/** Takes the next steps; to be called often. */
void bw_controller_tick(bw_controller_t *c, int64_t now_ms);

/** Calls a function for each wave. */
void bw_controller_foreach_wave(const bw_controller_t *c,
				void (*fn)(void *ctx,
					   const bw_wave_progress_t *wave),
				void *ctx);

/** Whether a move is in progress, so that new workers come soon. */
bool bw_controller_has_moves(const bw_controller_t *c);

#endif
