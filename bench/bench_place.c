/*
 * Processor time of placing a task, at several pool sizes. Jobs are submitted
 * one by one, their tasks are placed, and the oldest job ends, with half of the
 * CPU in use; then with a full pool and a backlog of jobs. Also measures how
 * long it takes to process a worker's registration again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "sched_fixture.h"
#include "sched/internal.h"

#define TASKS		  8
#define TASK_CPU_MILLIS	  1800
#define WORKER_CPU_MILLIS 32000
#define WORKER_MEM_MB	  65536
#define RACKS		  16
/** Jobs that wait when the pool is full. */
#define BACKLOG_JOBS 20
#define USED_SHARE   0.5
/** Placements that are timed. */
#define DECISIONS 40000
/** The best time of these is taken. */
#define REPEATS 5
/** Most registrations that are timed. */
#define REGISTRATIONS_MAX 1000
#define NOW_MS		  100000

typedef struct bench {
	bw_sched_t *s;
	GQueue *jobs; /**< Identifiers, in the order of submission. */
	uint64_t last_job;
	GArray *starts; /**< Not answered yet. */
} bench_t;

/** A start that the workers have not answered. */
typedef struct start {
	char worker[16];
	bw_task_name_t task;
	uint32_t run;
} start_t;

static void record_start(void *ctx, const bw_start_order_t *order)
{
	start_t start = { .task = order->task, .run = order->run };

	g_strlcpy(start.worker, order->worker, sizeof(start.worker));
	g_array_append_val(((bench_t *)ctx)->starts, start);
}

static void answer_starts(bench_t *b)
{
	guint i;

	for (i = 0; i < b->starts->len; i++) {
		const start_t *start = &g_array_index(b->starts, start_t, i);

		bw_sched_start_answered(b->s, NOW_MS, start->worker,
					&start->task, start->run, BW_ORDER_OK,
					NOW_MS);
	}
	g_array_set_size(b->starts, 0);
}

static void ignore_run_order(void *ctx, const bw_run_order_t *order)
{
	(void)ctx;
	(void)order;
}

static void ignore_heartbeat(void *ctx, const bw_heartbeat_order_t *order)
{
	(void)ctx;
	(void)order;
}

static const bw_sched_ops_t ops = { .start = record_start,
				    .stop = ignore_run_order,
				    .throttle = ignore_run_order,
				    .heartbeat = ignore_heartbeat };

static void register_worker(bench_t *b, uint32_t number)
{
	char rack[16];
	char id[16];
	const char *labels[] = { "a", rack };
	bw_worker_info_t info = { .id = id,
				  .address = id,
				  .capacity = { WORKER_CPU_MILLIS,
						WORKER_MEM_MB, 0 },
				  .labels = labels,
				  .label_count = 2,
				  .rack = rack,
				  .machine = id,
				  .started_ms = 1 };

	g_snprintf(id, sizeof(id), "w%05u", number);
	g_snprintf(rack, sizeof(rack), "r%u", number % RACKS);
	bw_sched_worker_registered(b->s, NOW_MS, &info);
}

static void add_worker(bench_t *b, uint32_t number)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = NOW_MS,
					 .clock_ms = NOW_MS,
					 .started_ms = 1 };
	char id[16];

	register_worker(b, number);
	g_snprintf(id, sizeof(id), "w%05u", number);
	bw_sched_heartbeat_answered(b->s, NOW_MS, id, &answer);
}

static void submit_job(bench_t *b)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = NOW_MS,
				   .spec = bw_job_spec_new(1) };
	char *id = g_strdup_printf("%016" G_GINT64_MODIFIER "x", ++b->last_job);
	bw_step_spec_t *step = &record.spec->steps[0];

	record.spec->text = g_strdup("t");
	step->count = TASKS;
	step->need = (bw_resources_t){ TASK_CPU_MILLIS, TASK_CPU_MILLIS, 0 };
	step->estimate_ms = 500;
	step->rack = g_strdup_printf("r%u", (uint32_t)(b->last_job % RACKS));
	bw_sched_add_job(b->s, NOW_MS, NOW_MS, id, &record);
	bw_job_record_clear(&record);
	g_queue_push_tail(b->jobs, id);
}

/* Completes all tasks of the oldest job. */
static void finish_oldest_job(bench_t *b)
{
	char *id = g_queue_pop_head(b->jobs);
	bw_task_name_t name = { .occurrence = 0 };
	uint32_t i;

	g_strlcpy(name.job, id, sizeof(name.job));
	for (i = 0; i < TASKS; i++) {
		task_t *task;

		name.index = i;
		task = sched_find_task(b->s, &name);
		if (!task)
			continue;
		sched_detach(task);
		sched_task_done(b->s, task, NOW_MS);
	}
	g_free(id);
}

static int64_t thread_time_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

static void create_pool(bench_t *b, uint32_t workers)
{
	uint32_t i;

	b->s = sched_fixture_create(&ops, b, NOW_MS);
	b->jobs = g_queue_new();
	b->starts = g_array_new(FALSE, FALSE, sizeof(start_t));
	for (i = 0; i < workers; i++)
		add_worker(b, i);
	sched_fixture_save(b->s, NOW_MS);
	bw_sched_run(b->s, NOW_MS, NOW_MS);
}

static void destroy_pool(bench_t *b)
{
	bw_sched_destroy(b->s);
	g_queue_free_full(b->jobs, g_free);
	g_array_free(b->starts, TRUE);
}

/* Returns the mean time to place a task, in jobs submitted one by one. */
static double time_placements(bench_t *b, uint32_t decisions)
{
	int64_t total_ns = 0;
	uint32_t i;

	for (i = 0; i < decisions / TASKS; i++) {
		int64_t start_ns;

		submit_job(b);
		start_ns = thread_time_ns();
		sched_place(b->s, NOW_MS);
		total_ns += thread_time_ns() - start_ns;
		answer_starts(b);
		finish_oldest_job(b);
	}
	return (double)total_ns / 1000.0 / (double)(decisions / TASKS * TASKS);
}

/*
 * Returns the time to process one unchanged registration, as happens for each
 * worker whenever the registrations are read.
 */
static double time_registration(uint32_t workers)
{
	bench_t b = { 0 };
	uint32_t count = MIN(workers, REGISTRATIONS_MAX);
	int64_t start_ns;
	double us;
	uint32_t i;

	create_pool(&b, workers);
	start_ns = thread_time_ns();
	for (i = 0; i < count; i++)
		register_worker(&b, i);
	us = (double)(thread_time_ns() - start_ns) / 1000.0 / count;
	destroy_pool(&b);
	return us;
}

/* Returns the shortest mean time to place a task. */
static double best_placement_us(uint32_t workers, bool full)
{
	double used_share = full ? 1.0 : USED_SHARE;
	uint32_t jobs =
		(uint32_t)((double)workers * used_share *
			   (WORKER_CPU_MILLIS / TASK_CPU_MILLIS) / TASKS);
	double best_us = 1e9;
	uint32_t i;

	for (i = 0; i < REPEATS; i++) {
		bench_t b = { 0 };
		uint32_t k;
		double us;

		create_pool(&b, workers);
		for (k = 0; k < jobs + (full ? BACKLOG_JOBS : 0); k++) {
			submit_job(&b);
			sched_place(b.s, NOW_MS);
			answer_starts(&b);
		}
		us = time_placements(&b, DECISIONS);
		best_us = MIN(best_us, us);
		destroy_pool(&b);
	}
	return best_us;
}

int main(void)
{
	static const uint32_t sizes[] = { 12, 85, 7900 };
	double half_us[G_N_ELEMENTS(sizes)];
	double full_us[G_N_ELEMENTS(sizes)];
	double registration_us[G_N_ELEMENTS(sizes)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		half_us[i] = best_placement_us(sizes[i], false);
		full_us[i] = best_placement_us(sizes[i], true);
		registration_us[i] = time_registration(sizes[i]);
		printf("workers=%u half_us=%.2f full_us=%.2f seen_us=%.2f\n",
		       sizes[i], half_us[i], full_us[i], registration_us[i]);
	}
	printf("place_us_12=%.2f place_us_85=%.2f place_us_7900=%.2f "
	       "full_us_7900=%.2f seen_us_7900=%.2f\n",
	       half_us[0], half_us[1], half_us[2], full_us[2],
	       registration_us[2]);
	return 0;
}
