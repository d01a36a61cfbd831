/*
 * Time of a placement decision at several sizes of a pool: jobs come, their
 * tasks are placed, and the oldest job ends, with half of the room in use. A
 * second figure is taken with a full pool and jobs that wait.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "sched_fixture.h"
#include "sched/internal.h"

#define TASKS	    8
#define CPU_MILLIS  1800
#define ROOM_MILLIS 32000
#define ROOM_MB	    65536
#define RACKS	    16
#define USED_SHARE  0.5
#define DECISIONS   40000
#define REPEATS	    5
/** Registrations that are timed. */
#define SEEN_MAX 1000
#define NOW_MS	 100000

typedef struct bench {
	bw_sched_t *s;
	GQueue *jobs; /**< Identifiers, in the order of their arrival. */
	uint64_t last_job;
	uint64_t starts;
} bench_t;

static void on_start(void *ctx, const bw_start_order_t *order)
{
	(void)order;
	((bench_t *)ctx)->starts++;
}

static void on_run_order(void *ctx, const bw_run_order_t *order)
{
	(void)ctx;
	(void)order;
}

static void on_hold(void *ctx, const bw_heartbeat_order_t *order)
{
	(void)ctx;
	(void)order;
}

static const bw_sched_ops_t ops = { .start = on_start,
				    .stop = on_run_order,
				    .throttle = on_run_order,
				    .heartbeat = on_hold };

static void see_worker(bench_t *b, uint32_t number)
{
	char rack[16];
	char id[16];
	const char *labels[] = { "a", rack };
	bw_worker_info_t info = { .id = id,
				  .address = id,
				  .capacity = { ROOM_MILLIS, ROOM_MB, 0 },
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

	see_worker(b, number);
	g_snprintf(id, sizeof(id), "w%05u", number);
	bw_sched_heartbeat_answered(b->s, NOW_MS, id, &answer);
}

static void submit(bench_t *b)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = NOW_MS,
				   .spec = bw_job_spec_new(1) };
	char *id = g_strdup_printf("%016" G_GINT64_MODIFIER "x", ++b->last_job);
	bw_step_spec_t *step = &record.spec->steps[0];

	record.spec->text = g_strdup("t");
	step->count = TASKS;
	step->need = (bw_resources_t){ CPU_MILLIS, CPU_MILLIS, 0 };
	step->estimate_ms = 500;
	step->rack = g_strdup_printf("r%u", (uint32_t)(b->last_job % RACKS));
	bw_sched_add_job(b->s, NOW_MS, NOW_MS, id, &record);
	bw_job_record_clear(&record);
	g_queue_push_tail(b->jobs, id);
}

/* All tasks of the oldest job end well. */
static void end_oldest(bench_t *b)
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

static int64_t thread_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

static void create(bench_t *b, uint32_t workers)
{
	uint32_t i;

	b->s = poolsetup_create(&ops, b, NOW_MS);
	b->jobs = g_queue_new();
	for (i = 0; i < workers; i++)
		add_worker(b, i);
	poolsetup_save(b->s, NOW_MS);
	bw_sched_run(b->s, NOW_MS, NOW_MS);
}

static void destroy(bench_t *b)
{
	bw_sched_destroy(b->s);
	g_queue_free_full(b->jobs, g_free);
}

/* Mean time of a task's placement in jobs that come one by one. */
static double time_one(bench_t *b, uint32_t decisions)
{
	int64_t spent_ns = 0;
	uint32_t i;

	for (i = 0; i < decisions / TASKS; i++) {
		int64_t from_ns;

		submit(b);
		from_ns = thread_ns();
		sched_place(b->s, NOW_MS);
		spent_ns += thread_ns() - from_ns;
		end_oldest(b);
	}
	return (double)spent_ns / 1000.0 / (double)(decisions / TASKS * TASKS);
}

/* Time of taking one worker's registration again, as each reading does. */
static double time_seen(uint32_t workers)
{
	bench_t b = { 0 };
	uint32_t looks = MIN(workers, SEEN_MAX);
	int64_t from_ns;
	double us;
	uint32_t i;

	create(&b, workers);
	from_ns = thread_ns();
	for (i = 0; i < looks; i++)
		see_worker(&b, i);
	us = (double)(thread_ns() - from_ns) / 1000.0 / looks;
	destroy(&b);
	return us;
}

static double best_of(uint32_t workers, bool full)
{
	double share = full ? 1.0 : USED_SHARE;
	uint32_t jobs = (uint32_t)((double)workers * share *
				   (ROOM_MILLIS / CPU_MILLIS) / TASKS);
	double best_us = 1e9;
	uint32_t i;

	for (i = 0; i < REPEATS; i++) {
		bench_t b = { 0 };
		uint32_t k;
		double us;

		create(&b, workers);
		for (k = 0; k < jobs + (full ? 20 : 0); k++)
			submit(&b);
		sched_place(b.s, NOW_MS);
		us = time_one(&b, DECISIONS);
		best_us = MIN(best_us, us);
		destroy(&b);
	}
	return best_us;
}

int main(void)
{
	static const uint32_t sizes[] = { 12, 85, 7900 };
	double half[G_N_ELEMENTS(sizes)];
	double full[G_N_ELEMENTS(sizes)];
	double seen[G_N_ELEMENTS(sizes)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		half[i] = best_of(sizes[i], false);
		full[i] = best_of(sizes[i], true);
		seen[i] = time_seen(sizes[i]);
		printf("workers=%u half_us=%.2f full_us=%.2f seen_us=%.2f\n",
		       sizes[i], half[i], full[i], seen[i]);
	}
	printf("place_us_12=%.2f place_us_85=%.2f place_us_7900=%.2f "
	       "full_us_7900=%.2f seen_us_7900=%.2f\n",
	       half[0], half[1], half[2], full[2], seen[2]);
	return 0;
}
