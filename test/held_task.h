/**
 * @file
 * A pool in which a task is held: its worker may have dropped the end of its
 * run unread.
 */
#ifndef BW_TEST_HELD_TASK_H
#define BW_TEST_HELD_TASK_H

#include "sched_orders.h"

/** Starts of the boots of w1. */
#define FIRST_BOOT_MS  5
#define SECOND_BOOT_MS 6
#define THIRD_BOOT_MS  7
/** Enough for all starts, also of suspects, which wait for up to 4 s, but not
 *  for grants of an earlier owner to end. */
#define HELD_ROUNDS 50
#define ROUND_MS    100

/** Lets an owner hold JOB_A: its start and the acknowledgement have reached the
 * second boot of w1. */
void held_begin(orders_t *o);

/** Starts JOB_A on w1, which keeps no connection, while a heartbeat that
 * acknowledges an end is under way over a new one.
 * @param clock_ms w1's clock in its answer to the start; 0: not told */
void held_start_beside_an_acknowledgement(orders_t *o, int64_t clock_ms);

/** Passes the pool on; the successor knows of both workers and of JOB_A. */
void held_succeed(orders_t *before, orders_t *o, int64_t started_ms);

/** The same for a pool with a held task. */
void held_take_over(orders_t *o, int64_t started_ms);

/** Lets both workers answer for a time without a run or an end.
 * @param answer to questions */
void held_pass(orders_t *o, int64_t started_ms, bw_order_result_t answer);

#endif
