/**
 * @file
 * Load generator: sends requests to entries, checks that each answer belongs to
 * its own request, and counts outcomes.
 */
#ifndef BW_LOAD_LOAD_H
#define BW_LOAD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "table/table.h"

#define BW_LOAD_TARGETS_MAX  16
#define BW_LOAD_SERVICES_MAX 16

/** One service's part of the load. */
typedef struct bw_load_service {
	char path[64]; /**< Path and query; a token is added. */
	double rate; /**< Mean requests per second. */
	bw_class_t class;
	uint32_t wait_s; /**< Caller's wait, 0 for the table's. */
} bw_load_service_t;

typedef struct bw_load_config {
	const char *targets[BW_LOAD_TARGETS_MAX]; /**< ip:port */
	uint32_t target_count;
	bw_load_service_t services[BW_LOAD_SERVICES_MAX];
	uint32_t service_count;
	uint32_t concurrency; /**< Requests at once; the bound when open. */
	uint64_t requests; /**< Requests to send; 0 is no limit. */
	int64_t duration_ms; /**< 0 is no limit. */
	bool open_loop; /**< Sends at the services' rates. */
	bool surges; /**< Services surge by turns to 5 times their mean. */
	int64_t surge_ms; /**< Length of a surge. */
	uint32_t pace; /**< Most first requests per second; 0 is no limit. */
	uint32_t copies; /**< Most copies of a keyed POST; 0 sends GETs. */
	uint32_t seed;
} bw_load_config_t;

typedef struct bw_load_result {
	uint64_t sent;
	uint64_t answered;
	uint64_t wrong; /**< Answers that belong to another request, or cut. */
	uint64_t not_run;
	uint64_t unknown;
	uint64_t failed; /**< No HTTP answer. */
	uint64_t late; /**< Answered after the caller's wait. */
	uint64_t class_sent[BW_CLASS_COUNT];
	uint64_t class_in_time[BW_CLASS_COUNT];
	uint64_t keys; /**< Distinct keyed requests. */
	uint64_t ran_twice;
	uint64_t false_not_run; /**< Told "not run", but it ran. */
	uint64_t not_ran; /**< Answered, but it did not run. */
	int64_t p50_us;
	int64_t p99_us;
	double seconds;
	char first_failure[256]; /**< First wrong answer or failure, or "". */
} bw_load_result_t;

/** Runs a load to its end. */
bw_status_t bw_load_run(const bw_load_config_t *config,
			bw_load_result_t *result);

/**
 * Compares what callers were told with what ran.
 * @param control control address of the backend stand-in
 */
bw_status_t bw_load_check_runs(const char *control, bw_load_result_t *result);

#endif
