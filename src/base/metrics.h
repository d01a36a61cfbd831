/**
 * @file
 * Counters and latency histograms of the process, in the Prometheus text
 * format.
 *
 * A counter family has one or two labels, whose possible values are set before
 * it is counted.
 */
#ifndef BW_BASE_METRICS_H
#define BW_BASE_METRICS_H

#include <stdint.h>

#include <glib.h>

/** Counter families. */
typedef enum bw_counter_family {
	BW_MC_REQUESTS, /**< By kind and answer. */
	BW_MC_REFUSALS, /**< By reason. */
	BW_MC_ORDERS, /**< Orders to workers, by kind and result. */
	BW_MC_MACHINES, /**< Orders to machines, by kind and result. */
	BW_MC_STORE, /**< Calls to the store, by kind and outcome. */
	BW_MC_STORE_FAILURES, /**< Failed ones, by kind and cause. */
	BW_MC_STORE_REPEATS, /**< Calls that were sent again, by kind. */
	BW_MC_RETRIES, /**< Retries of calls to the store, by purpose. */
	BW_MC_CLIENTS, /**< Refused requests and closed connections, by cause.
			*/
	BW_MC_OWNERSHIP, /**< Pools gained and lost, by reason. */
	BW_MC_QUOTA_ORDERS, /**< The lender's orders to pools, by result. */
	BW_MC_FAMILY_COUNT
} bw_counter_family_t;

/** Latency histograms. */
typedef enum bw_histogram {
	BW_MH_SUBMIT, /**< Answer to a submission. */
	BW_MH_STATE, /**< Answer to a query of a job's state. */
	BW_MH_STORE, /**< Call to the store. */
	BW_MH_STORE_QUEUED, /**< Part of it that waited for a connection. */
	BW_MH_START, /**< Start order to a worker. */
	BW_MH_STOP, /**< Stop order to a worker. */
	BW_MH_QUEUE_WAIT, /**< From a job's due time to a task's start. */
	/** From encoding a pool's state, with the ends of runs, to its save. */
	BW_MH_ACKNOWLEDGE,
	BW_MH_TAKEOVER, /**< From a pool's claim until all runs are known. */
	BW_MH_LATENESS, /**< How late the node's timer ran. */
	BW_MH_COUNT
} bw_histogram_t;

/** Gauges that the code for connections sets. */
typedef enum bw_gauge {
	BW_MG_CALLER_CONNECTIONS, /**< Of callers. */
	BW_MG_HELD_BYTES, /**< Of callers' bodies. */
	BW_MG_HELD_PEAK_BYTES, /**< The most since the start. */
	BW_MG_COUNT
} bw_gauge_t;

/** Labels of a family and their values; all strings must be static. */
typedef struct bw_family_labels {
	const char *first; /**< Label name. */
	const char *const *first_values;
	uint32_t first_count;
	const char *second; /**< NULL for families of one label. */
	const char *const *second_values;
	uint32_t second_count;
} bw_family_labels_t;

/** Sets a family's labels and resets it; required before it is counted. */
void bw_metrics_define(bw_counter_family_t which,
		       const bw_family_labels_t *labels);

/** The same, unless the family has been defined before. */
void bw_metrics_define_once(bw_counter_family_t which,
			    const bw_family_labels_t *labels);

/**
 * Adds one to a counter.
 * @param first index of the first label's value
 * @param second index of the second label's value, 0 without a second label
 */
void bw_metrics_count(bw_counter_family_t which, uint32_t first,
		      uint32_t second);

/** Sets a gauge; one that was never set is not printed. */
void bw_metrics_set(bw_gauge_t which, uint64_t value);

/** Records one latency in a histogram. */
void bw_metrics_observe(bw_histogram_t which, int64_t latency_ms);

/** Appends all counters and histograms as Prometheus text. */
void bw_metrics_print(GString *out);

/** Appends one gauge, with labels such as "pool=\"a\"" or NULL. */
void bw_metrics_gauge(GString *out, const char *name, const char *labels,
		      double value);

#endif
