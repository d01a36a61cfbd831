/**
 * @file
 * Counters and latency histograms of the process, printed as Prometheus text.
 *
 * Counters are tables of one or two labels whose values are known beforehand.
 */
#ifndef BW_BASE_METRICS_H
#define BW_BASE_METRICS_H

#include <stdint.h>

#include <glib.h>

/** Families of counters. */
typedef enum bw_counter_family {
	BW_MC_REQUESTS, /**< By kind and answer. */
	BW_MC_REFUSALS, /**< By reason. */
	BW_MC_ORDERS, /**< To workers, by kind and result. */
	BW_MC_MACHINES, /**< Orders to machines, by kind and result. */
	BW_MC_STORE, /**< Calls, by kind and outcome. */
	BW_MC_RETRIES, /**< Of calls to the store, by what is repeated. */
	BW_MC_OWNERSHIP, /**< Pools gained and lost, by reason. */
	BW_MC_FAMILY_COUNT
} bw_counter_family_t;

/** Histograms of latency. */
typedef enum bw_histogram {
	BW_MH_SUBMIT, /**< A submission's answer. */
	BW_MH_STATE, /**< A state's answer. */
	BW_MH_STORE, /**< A call to the store. */
	BW_MH_START, /**< A start order's answer. */
	BW_MH_STOP, /**< A stop order's answer. */
	BW_MH_QUEUE_WAIT, /**< From a job's due time to a task's start. */
	BW_MH_ACKNOWLEDGE, /**< From packing ends to their store. */
	BW_MH_TAKEOVER, /**< From a claim until all runs are known. */
	BW_MH_COUNT
} bw_histogram_t;

/** Names of a family's label values; the tables must be static. */
typedef struct bw_family_labels {
	const char *first; /**< Label name. */
	const char *const *first_values;
	uint32_t first_count;
	const char *second; /**< NULL for families of one label. */
	const char *const *second_values;
	uint32_t second_count;
} bw_family_labels_t;

/** Sets a family's labels, before it is counted. */
void bw_metrics_define(bw_counter_family_t family,
		       const bw_family_labels_t *labels);

/** Adds one; @p second is 0 for families of one label. */
void bw_metrics_count(bw_counter_family_t family, uint32_t first,
		      uint32_t second);

/** Takes one latency. */
void bw_metrics_observe(bw_histogram_t histogram, int64_t took_ms);

/** Appends all counters and histograms. */
void bw_metrics_print(GString *out);

/** Appends one gauge, with labels such as "pool=\"a\"" or NULL. */
void bw_metrics_gauge(GString *out, const char *name, const char *labels,
		      double value);

#endif
