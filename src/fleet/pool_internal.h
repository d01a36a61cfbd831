/**
 * @file
 * State of a pool that this node owns, shared by its files.
 */
#ifndef BW_FLEET_POOL_INTERNAL_H
#define BW_FLEET_POOL_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "fleet/pool.h"
#include "fleet/removal.h"
#include "fleet/shortening.h"
#include "fleet/watch_cache.h"

struct bw_pool {
	bw_pool_env_t env;
	char *name;
	char *owner_key;
	char *state_key;
	char *queue_prefix;
	int64_t fence;
	int64_t since_ms;
	int64_t state_revision;
	bw_pool_ops_t ops;
	void *ctx;
	bw_sched_t *sched;
	bw_watch_cache_t *job_cache;
	bw_removal_t *removal; /**< Removes finished jobs. */
	bw_shortening_t *shortening; /**< Shortens their records before. */
	GHashTable *pending_cancels; /**< Cancelled jobs not read yet. */
	ev_timer tick_timer;
	ev_timer save_timer;
	ev_timer load_timer;
	ev_prepare prepare;
	int64_t last_run_ms; /**< Of the scheduler; 0: never. */
	uint64_t saving_version; /**< Version in the last save; 0: it failed. */
	int64_t save_started_ms;
	size_t save_bytes; /**< Size of the last save. */
	int64_t save_not_before_ms;
	uint32_t refs; /**< Held by the node and by each open call. */
	bool unreadable; /**< This version can't read the stored state. */
	bool predecessor_stopped; /**< No earlier owner sends orders. */
	bool jobs_loaded;
	bool directory_loaded;
	bool dirty;
	bool save_in_progress;
	bool recovered;
	bool stopping;
	bool final_save; /**< The save in progress is the last one. */
	bool closed;
};

/* pool.c */
/** Drops a reference; see bw_pool.refs. */
void pool_unref(bw_pool_t *pool);
/** Stops orders and tells the node that the pool has another owner. */
void pool_report_superseded(bw_pool_t *pool);

/* pool_orders.c */
/** Orders of the scheduler; the context is the pool. */
extern const bw_sched_ops_t pool_sched_ops;
/** Names the metrics of orders. */
void pool_define_metrics(void);

#endif
