/**
 * @file
 * A store in memory that answers at once and never fails, for benches that run
 * a whole node in one process.
 */
#ifndef BW_BENCH_MEMSTORE_H
#define BW_BENCH_MEMSTORE_H

#include "store/store.h"

struct ev_loop;

typedef struct memstore memstore_t;

memstore_t *memstore_create(struct ev_loop *loop);

/** The store as a node sees it. */
bw_store_t memstore_port(memstore_t *store);

/** Writes a key as operators and workers do. */
void memstore_put(memstore_t *store, const char *key, const char *value);

/** Calls so far. */
uint64_t memstore_calls(const memstore_t *store);

#endif
