/**
 * @file
 * A store in memory that answers at once and never fails, for tests and benches
 * that run parts of a node in one process.
 */
#ifndef BW_STANDIN_MEMSTORE_H
#define BW_STANDIN_MEMSTORE_H

#include "store/store.h"

struct ev_loop;

typedef struct bw_memstore bw_memstore_t;

bw_memstore_t *bw_memstore_create(struct ev_loop *loop);

/** The store as a node sees it. */
bw_store_t bw_memstore_interface(bw_memstore_t *store);

void bw_memstore_destroy(bw_memstore_t *store);

/** Writes a key as operators and workers do; NULL deletes it. */
void bw_memstore_put(bw_memstore_t *store, const char *key, const char *value,
		     size_t bytes);

/** Revision of a key's last write; 0 if it does not exist. */
int64_t bw_memstore_revision(const bw_memstore_t *store, const char *key);

/** Keeps what watches would tell until they are held no longer. */
void bw_memstore_delay_events(bw_memstore_t *store, bool held);

#endif
