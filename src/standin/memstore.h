/**
 * @file
 * In-memory store that answers from the event loop without delay and never
 * fails, for tests and benches that run parts of a node in one process.
 */
#ifndef BW_STANDIN_MEMSTORE_H
#define BW_STANDIN_MEMSTORE_H

#include "store/store.h"

struct ev_loop;

typedef struct bw_memstore bw_memstore_t;

/** Creates an empty store. */
bw_memstore_t *bw_memstore_create(struct ev_loop *loop);

/** Returns the store interface; it is valid until the store is destroyed. */
bw_store_t bw_memstore_interface(bw_memstore_t *store);

/** Destroys a store; calls that are not answered yet get no answer. */
void bw_memstore_destroy(bw_memstore_t *store);

/** Writes a key unconditionally; a NULL value deletes it. */
void bw_memstore_put(bw_memstore_t *store, const char *key, const char *value,
		     size_t bytes);

/** Returns the revision of a key's last write, or 0 if it does not exist. */
int64_t bw_memstore_revision(const bw_memstore_t *store, const char *key);

/** Delays the events of all watches while set; clearing it delivers them. */
void bw_memstore_delay_events(bw_memstore_t *store, bool delay);

#endif
