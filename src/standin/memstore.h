/**
 * @file
 * A store in memory that answers at once and never fails, for tests and benches
 * that run parts of a node in one process.
 */
#ifndef BW_STANDIN_MEMSTORE_H
#define BW_STANDIN_MEMSTORE_H

#include "store/store.h"

struct ev_loop;

typedef struct memstore memstore_t;

memstore_t *memstore_create(struct ev_loop *loop);

/** The store as a node sees it. */
bw_store_t memstore_port(memstore_t *store);

void memstore_destroy(memstore_t *store);

/** Writes a key as operators and workers do; NULL deletes it. */
void memstore_put(memstore_t *store, const char *key, const char *value,
		  size_t bytes);

/** Revision of a key's last write; 0 if it does not exist. */
int64_t memstore_revision(const memstore_t *store, const char *key);

/** Keeps what watches would tell until they are held no longer. */
void memstore_hold_watches(memstore_t *store, bool held);

#endif
