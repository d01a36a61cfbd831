/*
 * bench_owner [SECONDS]
 *
 * Processor time that a start costs the owner of a pool in its surge, with the
 * real clients of the store and the workers, over sockets, against a stand-in
 * for the platform in another thread. For each size of the pool it measures an
 * idle owner, then a surge with more work than the pool can do.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/directory.h"
#include "fleet/pool.h"
#include "http_platform.h"
#include "job/job.h"
#include "platform.h"

#define SECONDS_DEFAULT 4.0
#define WARM_UP_S	1.5
#define TICK_S		0.02
/** The directory is read by all owners, and lists all pools' workers. */
#define REGISTRATIONS_PER_WORKER 5U
#define TASK_MS			 640
#define TASK_CPU_MILLIS		 4500
#define TASK_MEM_MB		 17000
#define STEP_TASKS		 8U
#define STEPS			 2U
#define TEXT_BYTES		 1800U
/** A worker does eleven tasks a second, so this is a third too much. */
#define JOBS_S_PER_WORKER 0.9
#define WORKER_CPU_MILLIS 32000
#define WORKER_MEM_MB	  131072
#define FENCE		  7
#define US_PER_S	  1e6

static const uint32_t sizes[] = { 62, 85, 131, 155 };

typedef struct bench {
	struct ev_loop *loop;
	http_platform_t *platform;
	bw_counters_t counters;
	bw_store_t store;
	bw_worker_api_t workers;
	bw_fleet_settings_t settings;
	bw_pool_t *pool;
	bw_directory_t *directory;
	uint32_t worker_count;
	ev_timer tick;
	double jobs_s; /**< Rate of arrivals. */
	double jobs_due;
	int64_t last_tick_ms;
	uint32_t job_count;
	char *text;
} bench_t;

/** What one phase took. */
typedef struct phase {
	double cpu_s;
	double seconds;
	http_platform_counts_t counts;
} phase_t;

static double thread_cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void on_superseded(void *ctx, const char *pool)
{
	(void)ctx;
	fprintf(stderr, "bench_owner: %s is superseded\n", pool);
	exit(1);
}

static void on_store_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static void register_worker(void *ctx, const bw_registration_t *r)
{
	bench_t *b = ctx;

	if (!strcmp(r->pool, "pool"))
		bw_sched_worker_registered(bw_pool_sched(b->pool),
					   bw_clock_now_ms(), &r->info);
}

static void on_directory(void *ctx, int64_t now_ms)
{
	bench_t *b = ctx;

	(void)now_ms;
	if (!bw_pool_sched(b->pool))
		return;
	bw_directory_foreach(b->directory, register_worker, b);
	bw_pool_set_directory_loaded(b->pool);
}

static bw_job_spec_t *make_spec(const char *text)
{
	bw_job_spec_t *spec = bw_job_spec_new(STEPS);
	uint32_t i;

	spec->text = g_strdup(text);
	for (i = 0; i < STEPS; i++) {
		spec->steps[i].count = STEP_TASKS;
		spec->steps[i].need.cpu_millis = TASK_CPU_MILLIS;
		spec->steps[i].need.mem_mb = TASK_MEM_MB;
		spec->steps[i].estimate_ms = TASK_MS;
		spec->steps[i].after = g_new0(uint32_t, 1);
		spec->steps[i].after_count = i;
	}
	return spec;
}

static void submit_job(bench_t *b)
{
	bw_job_record_t record = {
		.queue = (char *)"q",
		.accepted_ms = bw_clock_wall_ms(),
		.spec = make_spec(b->text),
	};
	char id[BW_JOB_ID_CHARS + 1];
	size_t bytes;
	uint8_t *data = bw_job_record_pack(&record, &bytes);

	g_snprintf(id, sizeof(id), "%016x", ++b->job_count);
	bw_pool_add_job(b->pool, id, data, bytes);
	bw_pool_wake(b->pool);
	bw_job_spec_free(record.spec);
	g_free(data);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bench_t *b = timer->data;
	int64_t now_ms = bw_clock_now_ms();

	(void)loop;
	(void)revents;
	bw_directory_tick(b->directory, now_ms);
	b->jobs_due += b->jobs_s * (double)(now_ms - b->last_tick_ms) / 1000.0;
	b->last_tick_ms = now_ms;
	for (; b->jobs_due >= 1.0; b->jobs_due -= 1.0)
		submit_job(b);
}

static bench_t *bench_create(uint32_t worker_count)
{
	static const bw_pool_ops_t pool_ops = { .superseded = on_superseded,
						.store_result =
							on_store_result };
	static const bw_directory_ops_t directory_ops = { on_directory,
							  on_store_result };
	bench_t *b = g_new0(bench_t, 1);
	bw_pool_env_t env;

	b->loop = ev_default_loop(0);
	b->worker_count = worker_count;
	b->platform = http_platform_start(
		worker_count, worker_count * REGISTRATIONS_PER_WORKER, TASK_MS);
	b->store = platform_store_create(
		b->loop, http_platform_store(b->platform), &b->counters);
	b->workers = platform_workers_create(b->loop, NULL);
	b->settings = (bw_fleet_settings_t){
		.grant_max_ms = 10000,
		.stop_ms = 400,
		.retention_ms = 120000,
		.link_kbits = 200000,
	};
	b->text = g_strnfill(TEXT_BYTES, 'x');
	env = (bw_pool_env_t){ .loop = b->loop,
			       .store = b->store,
			       .workers = b->workers,
			       .settings = &b->settings };
	b->pool = bw_pool_create(&env, "pool", FENCE, &pool_ops, b);
	b->directory = bw_directory_create(&b->store, &platform_value_format,
					   &directory_ops, b);
	b->last_tick_ms = bw_clock_now_ms();
	ev_timer_init(&b->tick, on_tick, TICK_S, TICK_S);
	b->tick.data = b;
	ev_timer_start(b->loop, &b->tick);
	return b;
}

static void bench_destroy(bench_t *b)
{
	ev_timer_stop(b->loop, &b->tick);
	bw_pool_destroy(b->pool);
	bw_directory_destroy(b->directory);
	platform_workers_destroy(&b->workers);
	b->store.ops->destroy(b->store.impl);
	http_platform_stop(b->platform);
	g_free(b->text);
	g_free(b);
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(bench_t *b, double seconds)
{
	ev_timer end;

	ev_timer_init(&end, on_end, seconds, 0.0);
	ev_timer_start(b->loop, &end);
	ev_run(b->loop, 0);
	ev_timer_stop(b->loop, &end);
}

static phase_t run_phase(bench_t *b, double seconds)
{
	http_platform_counts_t before = http_platform_counts(b->platform);
	double cpu_s = thread_cpu_s();
	phase_t out = { .seconds = seconds };

	run_for(b, seconds);
	out.cpu_s = thread_cpu_s() - cpu_s;
	out.counts = http_platform_counts(b->platform);
	out.counts.starts -= before.starts;
	out.counts.heartbeats -= before.heartbeats;
	out.counts.store_calls -= before.store_calls;
	out.counts.connections -= before.connections;
	out.counts.bytes -= before.bytes;
	return out;
}

static void measure(uint32_t worker_count, double seconds)
{
	bench_t *b = bench_create(worker_count);
	phase_t idle;
	phase_t surge;
	double starts;

	run_for(b, WARM_UP_S);
	idle = run_phase(b, seconds);
	b->jobs_s = (double)worker_count * JOBS_S_PER_WORKER;
	surge = run_phase(b, seconds);
	starts = (double)MAX(surge.counts.starts, 1);
	printf("workers=%u starts_s=%.0f cpu_us_per_start=%.1f "
	       "bytes_per_start=%.0f new_connections_per_start=%.4f "
	       "heartbeats_per_start=%.2f store_calls_s=%.1f "
	       "idle_cpu_us_per_s=%.0f\n",
	       worker_count, starts / surge.seconds,
	       US_PER_S * surge.cpu_s / starts,
	       (double)surge.counts.bytes / starts,
	       (double)surge.counts.connections / starts,
	       (double)surge.counts.heartbeats / starts,
	       (double)surge.counts.store_calls / surge.seconds,
	       US_PER_S * idle.cpu_s / idle.seconds);
	fflush(stdout);
	bench_destroy(b);
}

int main(int argc, char **argv)
{
	double seconds = argc > 1 ? atof(argv[1]) : SECONDS_DEFAULT;
	size_t i;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i], seconds);
	curl_global_cleanup();
	return 0;
}
