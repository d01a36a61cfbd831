/**
 * @file
 * Load generator: sends requests to entries, checks that each answer belongs to
 * its request, and counts outcomes.
 */
#ifndef BW_LOAD_LOAD_H
#define BW_LOAD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "table/table.h"

#define BW_LOAD_TARGETS_MAX  16
#define BW_LOAD_SERVICES_MAX 16

/** Load of one service. */
typedef struct bw_load_service {
	char path[64]; /**< Path with query; a token is appended. */
	double rate; /**< Mean requests per second. */
	bw_class_t class;
	uint32_t wait_s; /**< Caller's maximum wait; 0: as in the table. */
} bw_load_service_t;

/** Targets, amount and kind of the load. */
typedef struct bw_load_config {
	const char *targets[BW_LOAD_TARGETS_MAX]; /**< ip:port */
	uint32_t target_count;
	bw_load_service_t services[BW_LOAD_SERVICES_MAX];
	uint32_t service_count;
	uint32_t concurrency; /**< Requests at once; in open loop a maximum. */
	uint64_t requests; /**< Without copies; 0 is no limit. */
	int64_t duration_ms; /**< 0 is no limit. */
	bool open_loop; /**< Sends at the services' rates. */
	bool surges; /**< One service at a time surges, to 5 times its rate. */
	int64_t surge_ms; /**< Duration of a surge. */
	/** Most requests per second, without copies, in closed loop; 0: any. */
	uint32_t pace;
	uint32_t copies; /**< Most sends of a POST with a key; 0 sends GETs. */
	uint32_t seed;
} bw_load_config_t;

/** Counts, latencies and what bw_load_check_runs() found. */
typedef struct bw_load_result {
	uint64_t sent;
	uint64_t answered;
	uint64_t wrong; /**< Answers of another request, or truncated. */
	uint64_t not_run;
	uint64_t unknown;
	uint64_t failed; /**< No HTTP answer. */
	uint64_t late; /**< Answered after the caller's maximum wait. */
	uint64_t class_sent[BW_CLASS_COUNT];
	uint64_t class_in_time[BW_CLASS_COUNT];
	uint64_t keys; /**< Distinct idempotency keys. */
	uint64_t ran_twice; /**< Keys that ran more than once. */
	uint64_t false_not_run; /**< Keys answered "not-run" that ran. */
	uint64_t not_ran; /**< Keys answered 200 that did not run. */
	int64_t p50_us;
	int64_t p99_us;
	double seconds;
	char first_failure[256]; /**< First wrong answer or failure, or "". */
} bw_load_result_t;

/** Runs a load until all requests are sent and answered. */
bw_status_t bw_load_run(const bw_load_config_t *config,
			bw_load_result_t *result);

/**
 * Compares the answers of the last bw_load_run() with the runs that the backend
 * stand-in counted, by idempotency key.
 * @param control control address of the backend stand-in
 */
bw_status_t bw_load_check_runs(const char *control, bw_load_result_t *result);

#endif
