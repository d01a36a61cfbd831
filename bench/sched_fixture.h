/**
 * @file
 * A pool's scheduler with the limits of the users' sites and one queue, "q".
 */
#ifndef BW_BENCH_SCHED_FIXTURE_H
#define BW_BENCH_SCHED_FIXTURE_H

#include "sched/sched.h"

/** Objective of the queue's jobs: so many times the longest chain, and more. */
#define POOLSETUP_STRETCH   1.6
#define POOLSETUP_TARGET_MS 600

bw_sched_t *poolsetup_create(const bw_sched_ops_t *ops, void *ctx,
			     int64_t now_ms);

/** Stores what the scheduler has to store, with an answer at once. */
void poolsetup_save(bw_sched_t *sched, int64_t now_ms);

#endif
