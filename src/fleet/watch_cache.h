/**
 * @file
 * A watch cache: reports the store's keys with a prefix and, by a watch, their
 * changes. It keeps the revisions of the keys, not their values.
 */
#ifndef BW_FLEET_WATCH_CACHE_H
#define BW_FLEET_WATCH_CACHE_H

#include <stdbool.h>

#include "store/store.h"

struct ev_loop;

typedef struct bw_watch_cache bw_watch_cache_t;

typedef struct bw_watch_cache_ops {
	/** Reports a key that was written or, with kv->deleted, deleted. */
	void (*changed)(void *ctx, const bw_store_kv_t *kv);
	/** All keys have been read; called after every full read. */
	void (*synced)(void *ctx);
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
} bw_watch_cache_ops_t;

/**
 * Creates a cache, which reads all keys and watches them from the first page
 * on. After a failed call a read goes on from the last key that it has.
 */
bw_watch_cache_t *bw_watch_cache_create(struct ev_loop *loop,
					const bw_store_t *store,
					const char *prefix,
					const bw_watch_cache_ops_t *ops,
					void *ctx);

/** Returns when the last full read began: the changes of a key that is reported
 *  after that are all reported, or will be. */
int64_t bw_watch_cache_read_started_ms(const bw_watch_cache_t *c);

/** Returns since when the changes of all keys have been reported, or will be;
 *  some before that may have been missed. INT64_MAX: some may be missed now. */
int64_t bw_watch_cache_complete_since_ms(const bw_watch_cache_t *c);

/** Returns when the store last showed that all changes so far have been
 *  reported; 0: it has not yet. */
int64_t bw_watch_cache_confirmed_ms(const bw_watch_cache_t *c);

/** Ends the watch; no callback is called afterwards. */
void bw_watch_cache_destroy(bw_watch_cache_t *c);

#endif
