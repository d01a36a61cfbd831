#include "base/metrics.h"

#include <stdbool.h>

/** Upper bounds of the buckets, inclusive. */
static const int64_t bucket_max_ms[] = { 1,   2,   5,	 10,   20,   50,   100,
					 200, 500, 1000, 2000, 5000, 10000 };
#define BUCKETS G_N_ELEMENTS(bucket_max_ms)

typedef struct family {
	bw_family_labels_t labels;
	uint64_t *values; /**< Row-major; one row for each first label. */
} family_t;

typedef struct histogram {
	uint64_t buckets[BUCKETS + 1]; /**< Not cumulative; the last is +Inf. */
	uint64_t sum_ms;
} histogram_t;

static const char *const family_names[BW_MC_FAMILY_COUNT] = {
	[BW_MC_REQUESTS] = "bramley_requests_total",
	[BW_MC_REFUSALS] = "bramley_refusals_total",
	[BW_MC_ORDERS] = "bramley_worker_orders_total",
	[BW_MC_MACHINES] = "bramley_machine_orders_total",
	[BW_MC_STORE] = "bramley_store_calls_total",
	[BW_MC_STORE_FAILURES] = "bramley_store_failures_total",
	[BW_MC_STORE_REPEATS] = "bramley_store_repeats_total",
	[BW_MC_RETRIES] = "bramley_store_retries_total",
	[BW_MC_CLIENTS] = "bramley_clients_limited_total",
	[BW_MC_OWNERSHIP] = "bramley_ownership_changes_total",
	[BW_MC_QUOTA_ORDERS] = "bramley_quota_orders_total",
};

static const char *const histogram_names[BW_MH_COUNT] = {
	[BW_MH_SUBMIT] = "bramley_submit_ms",
	[BW_MH_STATE] = "bramley_state_ms",
	[BW_MH_STORE] = "bramley_store_ms",
	[BW_MH_STORE_QUEUED] = "bramley_store_queued_ms",
	[BW_MH_START] = "bramley_start_ms",
	[BW_MH_STOP] = "bramley_stop_ms",
	[BW_MH_QUEUE_WAIT] = "bramley_queue_wait_ms",
	[BW_MH_ACKNOWLEDGE] = "bramley_acknowledge_ms",
	[BW_MH_TAKEOVER] = "bramley_takeover_ms",
	[BW_MH_LATENESS] = "bramley_loop_late_ms",
};

static const char *const gauge_names[BW_MG_COUNT] = {
	[BW_MG_CALLER_CONNECTIONS] = "bramley_caller_connections",
	[BW_MG_HELD_BYTES] = "bramley_caller_held_bytes",
	[BW_MG_HELD_PEAK_BYTES] = "bramley_caller_held_peak_bytes",
};

/** A gauge that was set. */
typedef struct gauge {
	uint64_t value;
	bool set;
} gauge_t;

static gauge_t gauges[BW_MG_COUNT];
static family_t families[BW_MC_FAMILY_COUNT];
static histogram_t histograms[BW_MH_COUNT];

static void print_family(GString *out, bw_counter_family_t which);
static void print_histogram(GString *out, bw_histogram_t which);

static uint32_t columns(const family_t *family)
{
	return MAX(family->labels.second_count, 1U);
}

void bw_metrics_define(bw_counter_family_t which,
		       const bw_family_labels_t *labels)
{
	family_t *family = &families[which];

	g_free(family->values);
	family->labels = *labels;
	family->values =
		g_new0(uint64_t, (gsize)labels->first_count * columns(family));
}

void bw_metrics_define_once(bw_counter_family_t which,
			    const bw_family_labels_t *labels)
{
	if (!families[which].values)
		bw_metrics_define(which, labels);
}

void bw_metrics_count(bw_counter_family_t which, uint32_t first,
		      uint32_t second)
{
	family_t *family = &families[which];

	if (!family->values || first >= family->labels.first_count ||
	    second >= columns(family))
		return;
	family->values[first * columns(family) + second]++;
}

void bw_metrics_set(bw_gauge_t which, uint64_t value)
{
	gauges[which] = (gauge_t){ value, true };
}

void bw_metrics_observe(bw_histogram_t which, int64_t latency_ms)
{
	histogram_t *histogram = &histograms[which];
	size_t i = 0;

	while (i < BUCKETS && latency_ms > bucket_max_ms[i])
		i++;
	histogram->buckets[i]++;
	histogram->sum_ms += (uint64_t)MAX(latency_ms, 0);
}

static void print_family(GString *out, bw_counter_family_t which)
{
	const family_t *family = &families[which];
	const bw_family_labels_t *labels = &family->labels;
	uint32_t a;
	uint32_t b;

	if (!family->values)
		return;
	g_string_append_printf(out, "# TYPE %s counter\n", family_names[which]);
	for (a = 0; a < labels->first_count; a++) {
		for (b = 0; b < columns(family); b++) {
			g_string_append_printf(
				out, "%s{%s=\"%s\"", family_names[which],
				labels->first, labels->first_values[a]);
			if (labels->second)
				g_string_append_printf(
					out, ",%s=\"%s\"", labels->second,
					labels->second_values[b]);
			g_string_append_printf(
				out, "} %" G_GUINT64_FORMAT "\n",
				family->values[a * columns(family) + b]);
		}
	}
}

static void print_histogram(GString *out, bw_histogram_t which)
{
	const histogram_t *histogram = &histograms[which];
	const char *name = histogram_names[which];
	uint64_t count = 0;
	size_t i;

	g_string_append_printf(out, "# TYPE %s histogram\n", name);
	for (i = 0; i < BUCKETS; i++) {
		count += histogram->buckets[i];
		g_string_append_printf(out,
				       "%s_bucket{le=\"%" G_GINT64_FORMAT
				       "\"} %" G_GUINT64_FORMAT "\n",
				       name, bucket_max_ms[i], count);
	}
	count += histogram->buckets[BUCKETS];
	g_string_append_printf(out,
			       "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
			       "\n%s_sum %" G_GUINT64_FORMAT
			       "\n%s_count %" G_GUINT64_FORMAT "\n",
			       name, count, name, histogram->sum_ms, name,
			       count);
}

void bw_metrics_print(GString *out)
{
	int i;

	for (i = 0; i < BW_MG_COUNT; i++)
		if (gauges[i].set)
			bw_metrics_gauge(out, gauge_names[i], NULL,
					 (double)gauges[i].value);
	for (i = 0; i < BW_MC_FAMILY_COUNT; i++)
		print_family(out, (bw_counter_family_t)i);
	for (i = 0; i < BW_MH_COUNT; i++)
		print_histogram(out, (bw_histogram_t)i);
}

void bw_metrics_gauge(GString *out, const char *name, const char *labels,
		      double value)
{
	if (labels)
		g_string_append_printf(out, "%s{%s} %g\n", name, labels, value);
	else
		g_string_append_printf(out, "%s %g\n", name, value);
}
