/**
 * @file
 * Retry budget of a service: retries are a bounded share of first attempts.
 */
#ifndef BW_PLACE_RETRY_H
#define BW_PLACE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt ended. */
typedef enum bw_attempt_result {
	BW_ATTEMPT_OK,
	BW_ATTEMPT_NOT_SENT, /**< No byte reached the worker. */
	BW_ATTEMPT_BROKEN, /**< The connection broke after bytes were sent. */
	BW_ATTEMPT_TIMEOUT, /**< No whole answer in the attempt's time. */
	BW_ATTEMPT_STATUS, /**< The worker answered 502, 503 or 504. */
	BW_ATTEMPT_BAD_ANSWER, /**< The answer breaks HTTP. */
	BW_ATTEMPT_RESULT_COUNT
} bw_attempt_result_t;

/** What to do after a failed attempt. */
typedef enum bw_retry_verdict {
	BW_RETRY_YES,
	BW_RETRY_NO_UNSAFE, /**< It may have run and may run only once. */
	BW_RETRY_NO_DEADLINE, /**< No time is left for another attempt. */
	BW_RETRY_NO_ATTEMPTS, /**< The request's attempts are used up. */
	BW_RETRY_NO_BUDGET, /**< The service's budget is used up. */
	BW_RETRY_VERDICT_COUNT
} bw_retry_verdict_t;

/** Facts about the request whose attempt failed. */
typedef struct bw_retry_request {
	bool once; /**< May run only once. */
	bool answer_started; /**< Bytes of the answer went to the caller. */
	uint32_t attempts; /**< Attempts made so far. */
	uint32_t attempts_max;
	int64_t deadline_us;
	int64_t service_us; /**< Expected time of one attempt. */
} bw_retry_request_t;

/** Budget of one service on one entry, in hundredths of a retry. */
typedef struct bw_retry_budget {
	int64_t centi;
} bw_retry_budget_t;

/** Sets the budget to what a service may retry right after start. */
void bw_retry_init(bw_retry_budget_t *b);

/** Adds the share that a first attempt earns. */
void bw_retry_earn(bw_retry_budget_t *b, uint32_t retry_pct);

/**
 * Decides on a retry and takes it from the budget.
 * @param now_us present time
 */
bw_retry_verdict_t bw_retry_decide(bw_retry_budget_t *b,
				   const bw_retry_request_t *r,
				   bw_attempt_result_t result, int64_t now_us);

#endif
