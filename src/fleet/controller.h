/**
 * @file
 * Directs the machines of all pools while this node holds the controller's
 * role: maintenance in waves, and moves between pools. Only one node at a time
 * sends orders to machines, with one fencing token, since a machine refuses
 * tokens lower than the highest that it has received. The role also lends
 * tenants' caps to pools, see quota_lender.h, and exists for that alone where
 * there is no interface to machines.
 */
#ifndef BW_FLEET_CONTROLLER_H
#define BW_FLEET_CONTROLLER_H

#include "fleet/interfaces.h"
#include "fleet/reports.h"
#include "fleet/maintenance.h"
#include "store/store.h"

/** Name under which the role is claimed, as pools are claimed by theirs. */
#define BW_CONTROLLER_ROLE "@machines"

typedef struct bw_controller bw_controller_t;

typedef struct bw_controller_env {
	bw_store_t store;
	bw_machine_api_t machines;
	const bw_value_format_t *values;
	const char *node;
	/** Least time between orders of two controllers to a machine. */
	int64_t takeover_delay_ms;
	int64_t fence; /**< Fencing token of all orders. */
} bw_controller_env_t;

typedef struct bw_controller_ops {
	/** Sends an order to the owner of a pool. */
	void (*order)(void *ctx, const char *pool, const Bramley__Frame *frame);
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
	/** A machine refused the token, as it has received a higher one. */
	void (*superseded)(void *ctx);
	/** Returns whether an earlier controller may have sent orders lately,
	 *  so that this one waits. */
	bool (*has_predecessor)(void *ctx, int64_t now_ms);
} bw_controller_ops_t;

bw_controller_t *bw_controller_create(const bw_controller_env_t *env,
				      const bw_controller_ops_t *ops,
				      void *ctx);

/** Stops; the results of calls in progress are ignored. */
void bw_controller_destroy(bw_controller_t *c);

/** Sets the operators' configuration, which the caller owns. */
void bw_controller_configure(bw_controller_t *c,
			     const bw_fleet_config_t *config);

/** Adds a wave; takes ownership of @p order. */
void bw_controller_add_wave(bw_controller_t *c, bw_wave_order_t *order);

/** Records a pool's report. */
void bw_controller_record_report(bw_controller_t *c, int64_t now_ms,
				 const Bramley__PoolReport *report);

/** Makes decisions and sends orders that are due; call it often. */
void bw_controller_tick(bw_controller_t *c, int64_t now_ms);

/** Calls a function for each wave. */
void bw_controller_foreach_wave(const bw_controller_t *c,
				void (*fn)(void *ctx,
					   const bw_wave_progress_t *wave),
				void *ctx);

/** Returns whether a move is in progress, so that a new worker starts soon. */
bool bw_controller_has_moves(const bw_controller_t *c);

#endif
