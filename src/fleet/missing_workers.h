/**
 * @file
 * Workers that their pool's owner does not hear and that no machine runs. A
 * machine lists the worker that it runs, so such a worker has ended, and its
 * runs with it; an owner that took the pool over after an outage would wait for
 * it until the grants of its runs have expired.
 *
 * Load pattern: all nodes end while machines were being moved, so that the next
 * owners know workers which ended meanwhile.
 *
 * Does no I/O; the caller passes the time.
 */
#ifndef BW_FLEET_MISSING_WORKERS_H
#define BW_FLEET_MISSING_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct bw_missing_workers bw_missing_workers_t;

bw_missing_workers_t *bw_missing_workers_create(void);
void bw_missing_workers_destroy(bw_missing_workers_t *m);

/**
 * Records that an owner does not hear a worker and that the current list of
 * machines doesn't have it.
 * @param list_ms when that list was requested
 * @return whether the worker has ended: the list was requested so long after
 *         the first note that it would have the worker if it still ran
 */
bool bw_missing_workers_note(bw_missing_workers_t *m, int64_t now_ms,
			     const char *id, int64_t list_ms);

/** Forgets the workers that were not noted lately; they are heard or listed. */
void bw_missing_workers_forget(bw_missing_workers_t *m, int64_t now_ms);

/** Returns whether a newer list would tell more of some worker. */
bool bw_missing_workers_await_list(const bw_missing_workers_t *m);

#endif
