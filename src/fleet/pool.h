/**
 * @file
 * A pool that this node owns: its scheduler, fed from the store and from
 * workers, and the storing of its progress.
 */
#ifndef BW_FLEET_POOL_H
#define BW_FLEET_POOL_H

#include "fleet/interfaces.h"
#include "fleet/settings.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_pool bw_pool_t;

/** What a pool is given by its node. */
typedef struct bw_pool_env {
	struct ev_loop *loop;
	bw_store_t store;
	bw_worker_api_t workers;
	const bw_fleet_settings_t *settings;
	int64_t outage_ms; /**< Orders go on this long past the lease. */
} bw_pool_env_t;

typedef struct bw_pool_ops {
	/** Another owner has been met; the pool is to be destroyed. */
	void (*superseded)(void *ctx, const char *pool);
	/** A call to the store ended so. */
	void (*store_result)(void *ctx, bw_status_t status);
	/** A pool that was asked to stop has stored its state. */
	void (*stopped)(void *ctx, const char *pool);
} bw_pool_ops_t;

/** Key of a job of a pool; release with g_free(). */
char *bw_pool_job_key(const char *pool, const char *id);
/** Key of a job's cancellation; release with g_free(). */
char *bw_pool_cancel_key(const char *pool, const char *id);

/**
 * Takes over a pool.
 * @param fence revision of the claim, used as fencing token
 */
bw_pool_t *bw_pool_create(const bw_pool_env_t *env, const char *name,
			  int64_t fence, const bw_pool_ops_t *ops, void *ctx);

/** Gives a pool up at once; calls in progress are ignored. */
void bw_pool_destroy(bw_pool_t *pool);

const char *bw_pool_name(const bw_pool_t *pool);
int64_t bw_pool_fence(const bw_pool_t *pool);

/** Since when this node owns it, in milliseconds of bw_clock_now_ms(). */
int64_t bw_pool_owned_since_ms(const bw_pool_t *pool);

/** Its scheduler; NULL until the earlier owner's state has been read. */
bw_sched_t *bw_pool_sched(bw_pool_t *pool);

/** Whether all accepted jobs have been read. */
bool bw_pool_jobs_loaded(const bw_pool_t *pool);

/** The registrations of workers have been read. */
void bw_pool_set_directory_loaded(bw_pool_t *pool);

/** A job was stored; known jobs are ignored. */
void bw_pool_add_job(bw_pool_t *pool, const char *id, const uint8_t *record,
		     size_t bytes);

/** A job's cancellation was stored. */
void bw_pool_cancel_job(bw_pool_t *pool, const char *id);

/** Something changed; decisions follow in this turn of the loop. */
void bw_pool_wake(bw_pool_t *pool);

/** Sets whether orders may be given. */
void bw_pool_allow_orders(bw_pool_t *pool, bool allowed);

/** Gives no more orders, stores the state, then calls stopped. */
void bw_pool_stop(bw_pool_t *pool);

#endif
