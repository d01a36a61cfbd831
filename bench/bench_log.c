/*
 * bench_log off|on [SECONDS] [JOBS_S]
 *
 * Cost of the event log: runs one node, with a store and workers simulated in
 * this process, under a steady load of jobs with its log off or on. The log
 * goes to standard output, the results to standard error.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "sim_workers.h"
#include "fleet/fleet.h"
#include "job/json.h"
#include "standin/memstore.h"

#define WORKERS	    400
#define MEASURE_S   6.0
#define WARM_UP_S   2.0
#define LOG_BYTES_S 262144
#define TICK_S	    0.002
#define TASK_MS	    300
/** The log is flushed, and the flush timed, every so many ticks. */
#define FLUSH_TICKS 50
/** A flush that takes longer counts as blocked. */
#define BLOCKED_MS    20
#define LATENCIES_MAX 200000
/** Below the rate limit of a kind, so that all lines are written. */
#define TIMED_LINES   300
#define TIMED_SECONDS 5
/** Over a second, so that the rate limits count a new second. */
#define NEXT_SECOND_US 1010000
#define DROPPED_LINES  1000000
/** Ten times the rate of jobs of a site on a calm day. */
#define JOBS_S	    170
#define WORKERS_KEY "workers/"

typedef struct bench {
	struct ev_loop *loop;
	bw_memstore_t *store;
	sim_workers_t *workers;
	bw_fleet_t *fleet;
	bw_request_handler_t request_handler;
	bw_fleet_settings_t settings;
	bw_counters_t counters;
	ev_timer tick;
	int64_t measure_start_ms; /**< 0 while it warms up. */
	int64_t measure_end_ms;
	double jobs_due; /**< Jobs to submit now, with a fraction. */
	int64_t jobs_due_at_ms; /**< When jobs_due was computed. */
	double jobs_s;
	double seconds;
	bool log_enabled;
	struct rusage usage_before;
	uint64_t lines_before;
	uint64_t left_out_before;
	uint64_t bytes_before;
	uint32_t ticks;
	uint32_t submitted;
	uint32_t accepted;
	uint32_t refused;
	uint64_t tasks_done;
	uint32_t blocked_flushes; /**< Flushes that took over BLOCKED_MS. */
	int64_t *latencies_us;
	uint32_t latency_count;
} bench_t;

/** A heartbeat to a worker, answered from the loop. */
typedef struct heartbeat_call {
	bw_heartbeat_done_fn done;
	void *ctx;
} heartbeat_call_t;

/* Value format: stored values are ignored, the parsed ones are constant. */

static bw_status_t parse_config(const char *value, size_t bytes,
				bw_fleet_config_t **out)
{
	bw_fleet_config_t *config = g_new0(bw_fleet_config_t, 1);

	(void)value;
	(void)bytes;
	config->version = 1;
	config->queue_count = 1;
	config->queues = g_new0(bw_queue_t, 1);
	config->queues[0] =
		(bw_queue_t){ .name = g_strdup("q"),
			      .host = g_strdup("h"),
			      .prefix = g_strdup("/q/"),
			      .pool = g_strdup("p"),
			      .terms = { .attempts_max = 4,
					 .objective_factor = 1.6,
					 .objective_offset_ms = 600 } };
	config->pool_count = 1;
	config->pools = g_new0(bw_pool_config_t, 1);
	config->pools[0].name = g_strdup("p");
	*out = config;
	return BW_OK;
}

static bw_status_t parse_registration(const char *key, const char *value,
				      size_t bytes, bw_registration_t **out)
{
	bw_registration_t *r = g_new0(bw_registration_t, 1);

	(void)value;
	(void)bytes;
	r->id = g_strdup(key + strlen(WORKERS_KEY));
	r->address = g_strdup(r->id);
	r->pool = g_strdup("p");
	r->info = (bw_worker_info_t){ .id = r->id,
				      .address = r->address,
				      .capacity = { 32000, 65536, 0 },
				      .started_ms = 1 };
	*out = r;
	return BW_OK;
}

static const bw_value_format_t value_format = {
	.config_key = "config",
	.waves_prefix = "waves/",
	.workers_prefix = WORKERS_KEY,
	.parse_config = parse_config,
	.parse_registration = parse_registration,
};

/* Workers. */

static void start_run(void *impl, const bw_start_order_t *order,
		      bw_order_done_fn done, void *ctx)
{
	static const sim_workers_demand_t work = { .need = { 1800, 1800, 0 },
						   .work_ms = TASK_MS };
	bench_t *b = impl;
	int64_t now_ms = bw_clock_now_ms();

	done(ctx, sim_workers_start(b->workers, now_ms, order, &work), now_ms);
}

static void stop_run(void *impl, const bw_run_order_t *order,
		     bw_order_done_fn done, void *ctx)
{
	bench_t *b = impl;
	int64_t now_ms = bw_clock_now_ms();

	done(ctx, sim_workers_stop(b->workers, now_ms, order), now_ms);
}

static void send_heartbeat(void *impl, const bw_heartbeat_order_t *order,
			   bw_heartbeat_done_fn done, void *ctx)
{
	bench_t *b = impl;
	heartbeat_call_t *call = g_new0(heartbeat_call_t, 1);

	call->done = done;
	call->ctx = ctx;
	sim_workers_heartbeat(b->workers, order, call);
}

static void on_heartbeat_answered(void *ctx, const char *worker,
				  const bw_heartbeat_answer_t *answer,
				  void *call)
{
	heartbeat_call_t *heartbeat_call = call;

	(void)ctx;
	(void)worker;
	heartbeat_call->done(heartbeat_call->ctx, answer);
	g_free(heartbeat_call);
}

static void on_run_ended(void *ctx, const bw_task_name_t *task,
			 bw_end_kind_t kind)
{
	(void)task;
	(void)kind;
	((bench_t *)ctx)->tasks_done++;
}

static const sim_workers_ops_t workers_ops = { .heartbeat_answered =
						       on_heartbeat_answered,
					       .run_ended = on_run_ended };

/* Callers. */

typedef struct caller {
	bench_t *b;
	int64_t submitted_us;
} caller_t;

static void on_answer(void *ctx, const bw_answer_t *answer)
{
	caller_t *caller = ctx;
	bench_t *b = caller->b;

	if (answer->kind == BW_ANSWER_DONE)
		b->accepted++;
	else
		b->refused++;
	if (b->measure_start_ms > 0 && b->latency_count < LATENCIES_MAX)
		b->latencies_us[b->latency_count++] =
			g_get_monotonic_time() - caller->submitted_us;
	g_free(caller);
}

static void submit(bench_t *b)
{
	static const char text[] =
		"{\"text\": \"t\", \"steps\": ["
		"{\"tasks\": 6, \"cpu_millis\": 1800, \"mem_mb\": 1800,"
		" \"estimate_ms\": 300}, "
		"{\"tasks\": 5, \"cpu_millis\": 1800, \"mem_mb\": 1800,"
		" \"estimate_ms\": 300, \"after\": [0]}]}";
	bw_findings_t *findings = bw_findings_create("job");
	bw_request_t request = { .kind = BW_REQUEST_SUBMIT,
				 .host = "h",
				 .caller_timeout_ms = 3000 };
	caller_t *caller = g_new0(caller_t, 1);
	char path[64];

	g_snprintf(path, sizeof(path), "/q/%016x", ++b->submitted);
	request.path = path;
	if (bw_job_spec_from_json(text, strlen(text), findings,
				  &request.spec) != BW_OK) {
		bw_findings_print(findings, stderr);
		exit(1);
	}
	bw_findings_destroy(findings);
	caller->b = b;
	caller->submitted_us = g_get_monotonic_time();
	b->request_handler.serve(b->request_handler.impl, &request, on_answer,
				 caller);
}

/* Measurement. */

static void start_measuring(bench_t *b, int64_t now_ms)
{
	b->measure_start_ms = now_ms;
	b->measure_end_ms = now_ms + (int64_t)(b->seconds * 1000.0);
	b->lines_before = bw_event_lines();
	b->left_out_before = bw_event_dropped();
	b->bytes_before = bw_event_bytes();
	getrusage(RUSAGE_SELF, &b->usage_before);
}

static int64_t cpu_time_us(const struct rusage *from, const struct rusage *to)
{
	return ((int64_t)to->ru_utime.tv_sec - from->ru_utime.tv_sec +
		to->ru_stime.tv_sec - from->ru_stime.tv_sec) *
		       1000000 +
	       to->ru_utime.tv_usec - from->ru_utime.tv_usec +
	       to->ru_stime.tv_usec - from->ru_stime.tv_usec;
}

static void time_flush(bench_t *b)
{
	int64_t start_us = g_get_monotonic_time();

	bw_event_flush();
	if (g_get_monotonic_time() - start_us > BLOCKED_MS * 1000)
		b->blocked_flushes++;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bench_t *b = timer->data;
	int64_t now_ms = bw_clock_now_ms();

	(void)revents;
	sim_workers_advance(b->workers, now_ms);
	if (++b->ticks % FLUSH_TICKS == 0)
		time_flush(b);
	if (!b->request_handler.ready(b->request_handler.impl))
		return;
	if (b->jobs_due_at_ms == 0)
		b->jobs_due_at_ms = now_ms;
	b->jobs_due +=
		(double)(now_ms - b->jobs_due_at_ms) / 1000.0 * b->jobs_s;
	b->jobs_due_at_ms = now_ms;
	for (; b->jobs_due >= 1.0; b->jobs_due -= 1.0)
		submit(b);
	if (b->measure_start_ms == 0 &&
	    b->submitted >= (uint32_t)(WARM_UP_S * b->jobs_s))
		start_measuring(b, now_ms);
	if (b->measure_start_ms > 0 && now_ms >= b->measure_end_ms)
		ev_break(loop, EVBREAK_ALL);
}

static int64_t thread_time_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

static void write_line(uint32_t number)
{
	bw_event(BW_EVENT_SCHED_START,
		 "pool=%s job=%016x step=%u index=%u run=%u worker=%s "
		 "wait_ms=%" G_GINT64_FORMAT " heard_ms=%" G_GINT64_FORMAT,
		 "p", number, 0U, 3U, 1U, "w0123", (int64_t)12, (int64_t)345);
}

/*
 * Writes lines in a second of their own, so that none exceeds a rate limit.
 * Returns their mean processor time in microseconds.
 */
static double time_written_lines(bench_t *b)
{
	uint64_t lines;
	int64_t start_us;
	uint32_t i;

	bw_event_drop_backlog();
	g_usleep(NEXT_SECOND_US);
	ev_now_update(b->loop);
	lines = bw_event_lines();
	start_us = thread_time_us();
	for (i = 0; i < TIMED_LINES; i++)
		write_line(i);
	return (double)(thread_time_us() - start_us) /
	       (double)(bw_event_lines() - lines);
}

static int compare_doubles(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

/*
 * Measures the processor time of a line that is written, as a median, and of
 * one that its rate limit drops (left_out_us). Both are too small to show in
 * the difference between two runs.
 */
static void time_lines(bench_t *b, double *written_us, double *left_out_us)
{
	double means_us[TIMED_SECONDS];
	int64_t start_us;
	uint32_t i;

	for (i = 0; i < TIMED_SECONDS; i++)
		means_us[i] = time_written_lines(b);
	qsort(means_us, TIMED_SECONDS, sizeof(*means_us), compare_doubles);
	*written_us = means_us[TIMED_SECONDS / 2];
	/* These exhaust the rate limit of the kind for this second. */
	for (i = 0; i < bw_event_class_lines(BW_EVENT_REQUEST); i++)
		write_line(i);
	start_us = thread_time_us();
	for (i = 0; i < DROPPED_LINES; i++)
		write_line(i);
	*left_out_us = (double)(thread_time_us() - start_us) / DROPPED_LINES;
}

static int compare_int64s(const void *a, const void *b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static void print_result(bench_t *b)
{
	double lines_s = (double)(bw_event_lines() - b->lines_before);
	double left_out_s = (double)(bw_event_dropped() - b->left_out_before);
	double bytes_s = (double)(bw_event_bytes() - b->bytes_before);
	double written_us = 0.0;
	double left_out_us = 0.0;
	double cpu_us_s;
	struct rusage after;

	getrusage(RUSAGE_SELF, &after);
	cpu_us_s = (double)cpu_time_us(&b->usage_before, &after) / b->seconds;
	lines_s /= b->seconds;
	left_out_s /= b->seconds;
	if (b->log_enabled)
		time_lines(b, &written_us, &left_out_us);
	qsort(b->latencies_us, b->latency_count, sizeof(*b->latencies_us),
	      compare_int64s);
	fprintf(stderr,
		"log=%s cpu_ms_s=%.2f answers=%u refused=%u tasks_s=%.0f "
		"p50_us=%" G_GINT64_FORMAT " p99_us=%" G_GINT64_FORMAT
		" lines_s=%.0f left_out_s=%.0f bytes_s=%.0f line_us=%.2f "
		"left_out_us=%.3f log_cpu_pct=%.2f blocked=%u\n",
		b->log_enabled ? "on" : "off", cpu_us_s / 1000.0,
		b->latency_count, b->refused,
		(double)b->tasks_done / (b->seconds + WARM_UP_S),
		b->latencies_us[b->latency_count / 2],
		b->latencies_us[b->latency_count * 99 / 100], lines_s,
		left_out_s, bytes_s / b->seconds, written_us, left_out_us,
		100.0 * (lines_s * written_us + left_out_s * left_out_us) /
			cpu_us_s,
		b->blocked_flushes);
}

static void create_node(bench_t *b)
{
	bw_fleet_env_t env = { .loop = b->loop,
			       .settings = &b->settings,
			       .store = bw_memstore_interface(b->store),
			       .workers = { .impl = b,
					    .start = start_run,
					    .stop = stop_run,
					    .heartbeat = send_heartbeat },
			       .values = &value_format,
			       .counters = &b->counters };

	b->settings = (bw_fleet_settings_t){ .name = (char *)"node",
					     .zone = (char *)"z",
					     .ip = (char *)"127.0.8.150",
					     .peers_port = 17060,
					     .metrics_port = 17061,
					     .lease_min_ms = 1000,
					     .grant_max_ms = 6000,
					     .stop_ms = 400,
					     .retention_ms = 120000,
					     .first_start = true };
	if (bw_fleet_create(&env, &b->fleet) != BW_OK) {
		fprintf(stderr, "bench_log: %s\n", bw_status_message());
		exit(1);
	}
	b->request_handler = bw_fleet_request_handler(b->fleet);
}

int main(int argc, char **argv)
{
	static bench_t bench;
	bench_t *b = &bench;
	bw_resources_t capacity = { 32000, 65536, 0 };
	uint32_t i;

	b->loop = ev_default_loop(0);
	b->log_enabled = argc > 1 && !strcmp(argv[1], "on");
	b->seconds = argc > 2 ? atof(argv[2]) : MEASURE_S;
	b->jobs_s = argc > 3 ? atof(argv[3]) : JOBS_S;
	b->latencies_us = g_new0(int64_t, LATENCIES_MAX);
	if (b->log_enabled)
		bw_event_init(b->loop, LOG_BYTES_S);
	b->store = bw_memstore_create(b->loop);
	b->workers = sim_workers_create(&workers_ops, b);
	bw_memstore_put(b->store, value_format.config_key, "{}", 2);
	for (i = 0; i < WORKERS; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), WORKERS_KEY "w%04u", i);
		bw_memstore_put(b->store, key, "{}", 2);
		sim_workers_add(b->workers, key + strlen(WORKERS_KEY),
				&capacity);
	}
	create_node(b);
	ev_timer_init(&b->tick, on_tick, TICK_S, TICK_S);
	b->tick.data = b;
	ev_timer_start(b->loop, &b->tick);
	ev_run(b->loop, 0);
	print_result(b);
	return 0;
}
