/**
 * @file
 * When an order without an answer is sent again: how long its answer is waited
 * for, and how many orders may be sent again.
 *
 * The wait follows the times of recent answers, as a connection's
 * retransmission timeout does (RFC 6298). Orders that are answered in time earn
 * a budget for others to be sent again, so that no answers, or only late ones,
 * soon end the copies: a worker or node that is slow gets no more load for it.
 * It reads no clock.
 */
#ifndef BW_SCHED_RESEND_H
#define BW_SCHED_RESEND_H

#include <stdbool.h>
#include <stdint.h>

/** Copies that may be sent before any answer has earned one. */
#define BW_RESEND_BUDGET 64U
/** Copies that an answer in time earns: two of three orders may be lost. */
#define BW_RESEND_EARNED 2U

typedef struct bw_resend bw_resend_t;

/** @param timeout_ms after which an order that can't be repeated ends */
bw_resend_t *bw_resend_create(int64_t timeout_ms);
void bw_resend_destroy(bw_resend_t *r);

/**
 * Returns how long to wait for the answer to an order that is sent now: its
 * whole timeout while the budget is kept for orders that are on their way.
 */
int64_t bw_resend_answer_ms(const bw_resend_t *r);

/** Takes a copy from the budget; false if none is left. */
bool bw_resend_take(bw_resend_t *r);

/** Records the time of an answer to a call that did not wait for others. */
void bw_resend_measure(bw_resend_t *r, int64_t took_ms);

/**
 * Records an answer.
 * @param took_ms since that copy was sent, with its wait for a connection
 * @param answer_ms limit that was set on its answer
 * @param missing copies before it that got none
 */
void bw_resend_answered(bw_resend_t *r, int64_t took_ms, int64_t answer_ms,
			uint32_t missing);

/** Returns whether a share of the recent orders had no answer though their
 *  workers could be reached. */
bool bw_resend_lossy(const bw_resend_t *r);

#endif
