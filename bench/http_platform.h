/**
 * @file
 * A stand-in for the platform over HTTP, in a thread of its own: a store and
 * the workers of a pool, each on its own port of the loopback address. Tasks
 * run for a fixed time. It answers only the calls of a pool's owner.
 */
#ifndef BW_BENCH_HTTP_PLATFORM_H
#define BW_BENCH_HTTP_PLATFORM_H

#include <stdint.h>

typedef struct http_platform http_platform_t;

/** Counts since the start. */
typedef struct http_platform_counts {
	uint64_t starts; /**< Starts of tasks. */
	uint64_t heartbeats;
	uint64_t store_calls;
	uint64_t connections; /**< Accepted. */
	uint64_t bytes; /**< Received and sent. */
} http_platform_counts_t;

/**
 * Starts the thread.
 * @param pool_workers workers that run tasks
 * @param registrations entries in the store's list of workers, those included
 * @param task_ms how long each task runs
 */
http_platform_t *http_platform_start(uint32_t pool_workers,
				     uint32_t registrations, int64_t task_ms);

/** Ends the thread and closes all connections. */
void http_platform_stop(http_platform_t *p);

/** Returns the store's ip:port. */
const char *http_platform_store(const http_platform_t *p);

/** Returns the identifier of a worker of the pool. */
const char *http_platform_worker(const http_platform_t *p, uint32_t index);

/** Returns a worker's ip:port. */
const char *http_platform_address(const http_platform_t *p, uint32_t index);

/** Reads the counts; they are exact only when no call is in progress. */
http_platform_counts_t http_platform_counts(http_platform_t *p);

#endif
