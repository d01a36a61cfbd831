/**
 * @file
 * Health of one worker: failures and latency measured by this entry.
 *
 * A worker is ejected after consecutive failures, or when it is far
 * slower than its pool. It is readmitted by a single probe request.
 */
#ifndef BW_PLACE_HEALTH_H
#define BW_PLACE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** Whether a worker may take requests. */
typedef enum bw_health_state {
	BW_HEALTH_GOOD,
	BW_HEALTH_EJECTED, /**< Takes none until ejected_until_us. */
	BW_HEALTH_PROBING, /**< Takes one request at a time. */
	BW_HEALTH_STATE_COUNT
} bw_health_state_t;

typedef struct bw_health {
	int64_t latency_us; /**< Moving average; 0 before the first response. */
	int64_t ejected_until_us;
	uint32_t failures; /**< Consecutive failures. */
	uint32_t slow_responses; /**< Consecutive, far over the pool's. */
	uint32_t ejections; /**< Ejections since the last success. */
	bw_health_state_t state;
} bw_health_t;

/**
 * Records a successful attempt.
 * @param elapsed_us duration of the attempt
 * @param pool_latency_us the pool's moving average, or 0 when not measured yet
 * @param now_us current time
 */
void bw_health_record_success(bw_health_t *h, int64_t elapsed_us,
			      int64_t pool_latency_us, int64_t now_us);

/** Records a failed attempt. */
void bw_health_record_failure(bw_health_t *h, int64_t now_us);

/**
 * Moves an ejected worker to the probing state once its ejection has ended.
 * @return true when the state changed
 */
bool bw_health_tick(bw_health_t *h, int64_t now_us);

/** Returns how many requests may run at once at a worker in this state. */
uint32_t bw_health_requests_max(const bw_health_t *h, uint32_t slots);

/** Returns the name of a state, a static string. */
const char *bw_health_state_name(bw_health_state_t state);

#endif
