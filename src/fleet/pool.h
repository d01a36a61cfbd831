/**
 * @file
 * Runs a pool that this node owns: passes jobs from the store and answers of
 * workers to the pool's scheduler, carries out the scheduler's orders and
 * saves its state in the store.
 */
#ifndef BW_FLEET_POOL_H
#define BW_FLEET_POOL_H

#include "fleet/interfaces.h"
#include "fleet/settings.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_pool bw_pool_t;

/** Environment of a pool, provided by its node. */
typedef struct bw_pool_env {
	struct ev_loop *loop;
	bw_store_t store;
	bw_worker_api_t workers;
	const bw_fleet_settings_t *settings;
	/** An earlier owner may act this long after its claim is gone. */
	int64_t outage_ms;
	bw_store_seen_t seen; /**< Before the claim of the pool. */
} bw_pool_env_t;

/** Callbacks of a pool to its node. */
typedef struct bw_pool_ops {
	/** Another node owns the pool; the callee destroys this one. */
	void (*superseded)(void *ctx, const char *pool);
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
	/** The pool has saved its last state after bw_pool_stop(). */
	void (*stopped)(void *ctx, const char *pool);
	/** The pool has read its state and has a scheduler; NULL if nobody
	 * needs to know. It may be called by bw_pool_create(). */
	void (*loaded)(void *ctx, bw_pool_t *pool);
} bw_pool_ops_t;

/**
 * Starts to run a pool and reads the state that its earlier owner saved.
 * @param fence revision of this node's claim, used as fencing token
 */
bw_pool_t *bw_pool_create(const bw_pool_env_t *env, const char *name,
			  int64_t fence, const bw_pool_ops_t *ops, void *ctx);

/** Stops at once, without saving; answers to open calls are ignored. */
void bw_pool_destroy(bw_pool_t *pool);

const char *bw_pool_name(const bw_pool_t *pool);
int64_t bw_pool_fence(const bw_pool_t *pool);

/** Returns when this node became the owner, as of bw_clock_now_ms(). */
int64_t bw_pool_owned_since_ms(const bw_pool_t *pool);

/** Returns the scheduler, or NULL until the saved state has been read, and if
 * it can't be read. */
bw_sched_t *bw_pool_sched(bw_pool_t *pool);

/** Returns whether this version can't read the pool's saved state. Nothing is
 * done with such a pool; another node may be able to read it. */
bool bw_pool_unreadable(const bw_pool_t *pool);

/** Returns whether the pool waits to learn that no earlier owner sends orders
 * any more. */
bool bw_pool_awaits_predecessor(const bw_pool_t *pool);

/** Records that no earlier owner sends orders any more. */
void bw_pool_predecessor_stopped(bw_pool_t *pool, int64_t now_ms);

/** Returns whether all accepted jobs have been read from the store. */
bool bw_pool_jobs_loaded(const bw_pool_t *pool);

/** Records that the registrations of workers have been read. */
void bw_pool_set_directory_loaded(bw_pool_t *pool);

/** Adds a stored job; does nothing if the scheduler already has it. */
void bw_pool_add_job(bw_pool_t *pool, const char *id, const uint8_t *record,
		     size_t bytes);

/** Cancels a job whose cancellation has been stored. */
void bw_pool_cancel_job(bw_pool_t *pool, const char *id);

/** Makes the scheduler run before the event loop waits again. */
void bw_pool_wake(bw_pool_t *pool);

/** Sets whether the store is down for all nodes, see bw_sched_set_outage(). */
void bw_pool_set_outage(bw_pool_t *pool, bool outage);

/** Sets whether the scheduler may send orders to workers. */
void bw_pool_allow_orders(bw_pool_t *pool, bool allowed);

/**
 * Stops sending orders, saves the state and calls the stopped callback. If the
 * state or the jobs have not been read yet, nothing is saved.
 */
void bw_pool_stop(bw_pool_t *pool);

#endif
