/**
 * @file
 * A local copy of the store's keys with a prefix, kept up to date by a watch.
 */
#ifndef BW_FLEET_WATCH_CACHE_H
#define BW_FLEET_WATCH_CACHE_H

#include <stdbool.h>

#include "store/store.h"

struct ev_loop;

typedef struct bw_watch_cache bw_watch_cache_t;

typedef struct bw_watch_cache_ops {
	/** A key was written or, with kv->deleted, deleted. */
	void (*changed)(void *ctx, const bw_store_kv_t *kv);
	/** All keys have been read; also after each later reading. */
	void (*synced)(void *ctx);
	/** A call to the store ended so. */
	void (*result)(void *ctx, bw_status_t status);
} bw_watch_cache_ops_t;

/** Starts to read, then to watch. */
bw_watch_cache_t *bw_watch_cache_create(struct ev_loop *loop,
					const bw_store_t *store,
					const char *prefix,
					const bw_watch_cache_ops_t *ops,
					void *ctx);

/** Ends the watch; no callback follows. */
void bw_watch_cache_destroy(bw_watch_cache_t *m);

#endif
