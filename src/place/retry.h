/**
 * @file
 * Retry budget of a service, which limits retries to a share of first attempts.
 */
#ifndef BW_PLACE_RETRY_H
#define BW_PLACE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt ended. */
typedef enum bw_attempt_result {
	BW_ATTEMPT_OK,
	BW_ATTEMPT_NOT_SENT, /**< No byte was sent to the worker. */
	BW_ATTEMPT_BROKEN, /**< The connection broke after bytes were sent. */
	BW_ATTEMPT_TIMEOUT, /**< No complete response in time. */
	BW_ATTEMPT_STATUS, /**< The worker responded with 502, 503 or 504. */
	BW_ATTEMPT_BAD_ANSWER, /**< The response is not valid HTTP. */
	BW_ATTEMPT_RESULT_COUNT
} bw_attempt_result_t;

/** Whether a failed attempt is retried, and why not. */
typedef enum bw_retry_verdict {
	BW_RETRY_YES,
	/** It must not run twice and may have run, or its response started. */
	BW_RETRY_NO_UNSAFE,
	BW_RETRY_NO_DEADLINE, /**< No time is left for another attempt. */
	BW_RETRY_NO_ATTEMPTS, /**< The request has used all its attempts. */
	BW_RETRY_NO_BUDGET, /**< The service has used up its budget. */
	BW_RETRY_VERDICT_COUNT
} bw_retry_verdict_t;

/** The request whose attempt failed. */
typedef struct bw_retry_request {
	bool once; /**< Must not run twice. */
	bool response_started; /**< Part of it was sent to the caller. */
	uint32_t attempts; /**< Attempts made so far. */
	uint32_t attempts_max;
	int64_t deadline_us;
	int64_t service_us; /**< Expected time of one attempt. */
} bw_retry_request_t;

/** Retry budget of one service on one entry. */
typedef struct bw_retry_budget {
	int64_t hundredths; /**< In hundredths of a retry. */
} bw_retry_budget_t;

/** Sets the budget to the retries that a service has right after start. */
void bw_retry_init(bw_retry_budget_t *b);

/**
 * Adds the credit for a first attempt.
 * @param retry_pct hundredths of a retry to add
 */
void bw_retry_deposit(bw_retry_budget_t *b, uint32_t retry_pct);

/**
 * Decides on a retry and charges the budget for it.
 * @param now_us current time
 */
bw_retry_verdict_t bw_retry_decide(bw_retry_budget_t *b,
				   const bw_retry_request_t *r,
				   bw_attempt_result_t result, int64_t now_us);

#endif
