/**
 * @file
 * A stand-in of the workers: starts, stops, heartbeats with lists of runs and
 * ends, grants on each worker's own clock, entries in the store, and crashes.
 * Each worker has a port for each node, so that the sender of an order is
 * known.
 */
#ifndef SOAK_STANDIN_WORKERS_H
#define SOAK_STANDIN_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

#include "judge.h"
#include "plan.h"
#include "record.h"
#include "standin_store.h"

struct ev_loop;

typedef struct soak_workers soak_workers_t;

/** All must outlive the workers. */
typedef struct soak_workers_config {
	struct ev_loop *loop;
	const soak_plan_t *plan;
	soak_store_t *store;
	soak_judge_t *judge;
	soak_record_t *record;
} soak_workers_config_t;

/** Creates the workers, not yet up; ends the program if it can't. */
soak_workers_t *soak_workers_create(const soak_workers_config_t *config);

/** Returns the worker of a pool with the most runs. */
uint32_t soak_workers_busiest(const soak_workers_t *w, uint32_t pool);

/** Returns the ip:port on which a worker serves a node. */
const char *soak_workers_address(const soak_workers_t *w, uint32_t worker,
				 uint32_t node);

/** Sets the ip:port that a node is told for a worker. */
void soak_workers_set_public(soak_workers_t *w, uint32_t worker, uint32_t node,
			     const char *address);

/** Starts all workers. */
void soak_workers_start(soak_workers_t *w);

/**
 * A worker ends without notice, and starts again.
 * @param back_ms time until then
 * @param same_id under the identifier that it had
 */
void soak_workers_crash(soak_workers_t *w, uint32_t worker, int64_t back_ms,
			bool same_id);

/** The store is down: entries aren't renewed. */
void soak_workers_set_store_down(soak_workers_t *w, bool down);

/** Returns the text of "service" of a pool. */
void soak_pool_name(uint32_t pool, char *out, size_t bytes);

/** Returns the number of starts so far. */
uint64_t soak_workers_starts(const soak_workers_t *w);

#endif
