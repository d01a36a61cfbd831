/**
 * @file
 * Evidence about one worker: failures and latency seen by this entry.
 *
 * A worker is ejected after consecutive failures, or when it is far slower
 * than its pool; it comes back through a single probe request.
 */
#ifndef BW_PLACE_HEALTH_H
#define BW_PLACE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** Whether a worker may take requests. */
typedef enum bw_health_state {
	BW_HEALTH_GOOD,
	BW_HEALTH_EJECTED, /**< Takes none until a time. */
	BW_HEALTH_PROBING, /**< Takes one request at a time. */
	BW_HEALTH_STATE_COUNT
} bw_health_state_t;

typedef struct bw_health {
	int64_t latency_us; /**< Moving average; 0 before the first answer. */
	int64_t ejected_until_us;
	uint32_t failures; /**< Consecutive failures. */
	uint32_t slow_answers; /**< Consecutive answers far over the pool's. */
	uint32_t ejections; /**< Ejections since the last success. */
	bw_health_state_t state;
} bw_health_t;

/**
 * Notes an answer in time.
 * @param elapsed_us time of the attempt
 * @param pool_latency_us the pool's moving average, 0 when not known
 * @param now_us present time
 */
void bw_health_success(bw_health_t *h, int64_t elapsed_us,
		       int64_t pool_latency_us, int64_t now_us);

/** Notes a failed attempt. */
void bw_health_failure(bw_health_t *h, int64_t now_us);

/**
 * Lets an ejected worker take a probe once its time is over.
 * @return true when the state changed
 */
bool bw_health_tick(bw_health_t *h, int64_t now_us);

/** Most requests that may run at once at a worker in this state. */
uint32_t bw_health_cap(const bw_health_t *h, uint32_t slots);

/** Name of a state, a static string. */
const char *bw_health_state_name(bw_health_state_t state);

#endif
