/**
 * @file
 * A pool's scheduler with the limits of the users' sites and one queue, "q".
 */
#ifndef BW_BENCH_SCHED_FIXTURE_H
#define BW_BENCH_SCHED_FIXTURE_H

#include "sched/sched.h"

/**
 * Objective of a job in the queue: the length of its longest chain of tasks
 * times this factor, plus this offset.
 */
#define SCHED_FIXTURE_OBJECTIVE_FACTOR	  1.6
#define SCHED_FIXTURE_OBJECTIVE_OFFSET_MS 600

/** Creates the scheduler, to be destroyed with bw_sched_destroy(). */
bw_sched_t *sched_fixture_create(const bw_sched_ops_t *ops, void *ctx,
				 int64_t now_ms);

/** Packs the scheduler's state and reports it as stored at once. */
void sched_fixture_save(bw_sched_t *sched, int64_t now_ms);

#endif
