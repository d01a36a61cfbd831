/*
 * What callers get while more is asked than a pool can do, in virtual time:
 * the scheduler beside first-come first-served, shortest job first, and a bound
 * that knows all arrivals and durations. Loads are steady, or come in surges.
 *
 * A job earns its worth if it is done within its objective, a little if it is
 * done within LATE_MULTIPLE times the objective, and nothing after that.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "sim_workers.h"
#include "sched_fixture.h"
#include "sched/sched.h"

#define WORKERS	      12
#define ROOM_MILLIS   32000
#define ROOM_MB	      65536
#define TRAFFIC_MS    40000
#define SETTLE_MS     40000
#define LATE_MULTIPLE 3
#define SAVE_GAP_MS   100
#define TICK_MS	      100
#define SLOT_MS	      100
#define SLOTS	      ((TRAFFIC_MS + SETTLE_MS) / SLOT_MS)
#define SEEDS	      3
#define TASKS_MAX     96
#define STEPS_MAX     5
/** Surges come by turns: this long at SURGE times the load between them. */
#define SURGE_MS      4500
#define SURGE_GAP_MS  13500
#define SURGE	      4.0
#define BISECTIONS    6
#define LARGEST_SHARE 0.1

/** A kind of request, like those of the two sites. */
typedef struct kind {
	const char *name;
	double worth;
	double late_worth;
	double steps;
	double steps_max;
	double width;
	double width_max;
	double cpu_millis;
	double cpu_millis_max;
	double work_ms;
	double work_ms_max;
	double estimate_error; /**< Spread of the caller's guess. */
} kind_t;

static const kind_t kinds[] = {
	{ "small", 0.522, 0.037, 1.6, 4.0, 6.0, 24.0, 1800, 5300, 1000, 2500,
	  0.9 },
	{ "large", 3.12, 0.22, 2.0, 5.0, 8.0, 32.0, 3800, 11000, 1700, 4200,
	  0.5 },
};

typedef enum policy {
	POLICY_SCHED,
	POLICY_FIRST_COME,
	POLICY_SHORTEST,
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = {
	[POLICY_SCHED] = "sched",
	[POLICY_FIRST_COME] = "first_come",
	[POLICY_SHORTEST] = "shortest",
};

typedef struct step {
	uint32_t count;
	int64_t cpu_millis;
	int64_t estimate_ms;
	int64_t work_ms[TASKS_MAX];
	uint32_t started;
	uint32_t done;
} step_t;

typedef struct job {
	char id[BW_JOB_ID_CHARS + 1];
	int64_t at_ms;
	step_t steps[STEPS_MAX];
	uint32_t step_count;
	uint32_t step; /**< At present. */
	int64_t work; /**< Core-milliseconds. */
	int64_t guess; /**< The same, by the caller's estimates. */
	int64_t objective_ms; /**< From its arrival. */
	int64_t done_ms; /**< 0: not yet. */
	double kept; /**< Part of it that the bound does in time. */
} job_t;

/** One run of a policy over a list of jobs. */
typedef struct sim {
	policy_t policy;
	GArray *jobs;
	GHashTable *by_id;
	crew_t *crew;
	bw_sched_t *sched;
	GArray *answers; /**< Starts and stops that were carried out. */
	int64_t now_ms;
	int64_t free_millis[WORKERS];
	GHashTable *where; /**< Task text to worker, of the list policies. */
} sim_t;

typedef struct answer {
	char worker[16];
	bw_task_name_t task;
	uint32_t run;
	bool stop;
	bw_order_result_t result;
} answer_t;

/** What a run earned. */
typedef struct earned {
	double worth;
	double owed;
	double served; /**< Share of jobs that earned something. */
	double served_large; /**< The same of the largest tenth. */
} earned_t;

/* Jobs. */

static double draw(GRand *rand, double mean, double spread, double max)
{
	double a = g_rand_double_range(rand, 1e-9, 1.0);
	double b = g_rand_double(rand);
	double normal = sqrt(-2.0 * log(a)) * cos(2.0 * G_PI * b);

	return MIN(mean * exp(spread * normal - spread * spread / 2.0), max);
}

static void draw_step(GRand *rand, const kind_t *kind, step_t *step)
{
	double work_ms = draw(rand, kind->work_ms, 0.5, kind->work_ms_max);
	uint32_t i;

	step->count = (uint32_t)CLAMP(
		round(draw(rand, kind->width, 0.6, kind->width_max)), 1,
		TASKS_MAX);
	step->cpu_millis = (int64_t)draw(rand, kind->cpu_millis, 0.45,
					 kind->cpu_millis_max);
	step->estimate_ms =
		(int64_t)(work_ms * draw(rand, 1.0, kind->estimate_error, 8));
	for (i = 0; i < step->count; i++)
		step->work_ms[i] = (int64_t)MAX(
			draw(rand, work_ms, 0.3, kind->work_ms_max), 20.0);
}

static void draw_job(GRand *rand, const kind_t *kind, job_t *job)
{
	int64_t chain_ms = 0;
	uint32_t i;
	uint32_t k;

	job->step_count = (uint32_t)CLAMP(
		round(draw(rand, kind->steps, 0.4, kind->steps_max)), 1,
		STEPS_MAX);
	for (i = 0; i < job->step_count; i++) {
		step_t *step = &job->steps[i];
		int64_t longest_ms = 0;

		draw_step(rand, kind, step);
		for (k = 0; k < step->count; k++) {
			longest_ms = MAX(longest_ms, step->work_ms[k]);
			job->work += step->cpu_millis * step->work_ms[k] / 1000;
		}
		job->guess += step->cpu_millis * step->estimate_ms *
			      step->count / 1000;
		chain_ms += longest_ms;
	}
	job->objective_ms = (int64_t)(POOLSETUP_STRETCH * (double)chain_ms) +
			    POOLSETUP_TARGET_MS;
}

static double rate_at(int64_t at_ms, bool surges)
{
	if (!surges)
		return 1.0;
	return at_ms % (SURGE_MS + SURGE_GAP_MS) < SURGE_MS ? SURGE : 1.0;
}

/* Jobs whose work is the given share of what the pool can do in a surge. */
static GArray *draw_jobs(const kind_t *kind, double load, bool surges,
			 uint32_t seed)
{
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(job_t));
	GRand *rand = g_rand_new_with_seed(seed);
	double capacity = (double)WORKERS * ROOM_MILLIS; /* A second. */
	double at_ms = 0.0;
	double mean_work = 0.0;
	uint32_t i;

	for (i = 0; i < 2000; i++) {
		job_t job = { 0 };

		draw_job(rand, kind, &job);
		mean_work += (double)job.work / 2000.0;
	}
	for (;;) {
		job_t job = { 0 };
		double rate_s = load * capacity / mean_work;

		if (surges)
			rate_s *= rate_at((int64_t)at_ms, true) / SURGE;
		at_ms += -log(g_rand_double_range(rand, 1e-9, 1.0)) * 1000.0 /
			 rate_s;
		if (at_ms >= TRAFFIC_MS)
			break;
		draw_job(rand, kind, &job);
		job.at_ms = (int64_t)at_ms + 1000;
		g_snprintf(job.id, sizeof(job.id), "%016x", jobs->len + 1);
		g_array_append_val(jobs, job);
	}
	g_rand_free(rand);
	return jobs;
}

/* The scheduler under test. */

static void answer_later(sim_t *sim, const char *worker,
			 const bw_task_name_t *task, uint32_t run, bool stop,
			 bw_order_result_t result)
{
	answer_t answer = {
		.task = *task, .run = run, .stop = stop, .result = result
	};

	g_strlcpy(answer.worker, worker, sizeof(answer.worker));
	g_array_append_val(sim->answers, answer);
}

static void on_start(void *ctx, const bw_start_order_t *order)
{
	sim_t *sim = ctx;
	job_t *job = g_hash_table_lookup(sim->by_id, order->task.job);
	const step_t *step = &job->steps[order->task.step];
	crew_work_t work = { .need = { step->cpu_millis, 0, 0 },
			     .work_ms = step->work_ms[order->task.index] };

	answer_later(sim, order->worker, &order->task, order->run, false,
		     crew_start(sim->crew, sim->now_ms, order, &work));
}

static void on_stop(void *ctx, const bw_run_order_t *order)
{
	sim_t *sim = ctx;

	answer_later(sim, order->worker, &order->task, order->run, true,
		     crew_stop(sim->crew, sim->now_ms, order));
}

static void on_hold(void *ctx, const bw_heartbeat_order_t *order)
{
	crew_hold(((sim_t *)ctx)->crew, order, NULL);
}

static const bw_sched_ops_t sched_ops = { .start = on_start,
					  .stop = on_stop,
					  .heartbeat = on_hold };

static void on_held(void *ctx, const char *worker,
		    const bw_heartbeat_answer_t *answer, void *call)
{
	sim_t *sim = ctx;

	(void)call;
	bw_sched_heartbeat_answered(sim->sched, sim->now_ms, worker, answer);
}

static char *task_text(const bw_task_name_t *task)
{
	return g_strdup_printf("%s.%u.%u", task->job, task->step, task->index);
}

static void give_back(sim_t *sim, const bw_task_name_t *task,
		      const step_t *step)
{
	char *text = task_text(task);
	gpointer worker;

	if (g_hash_table_lookup_extended(sim->where, text, NULL, &worker)) {
		sim->free_millis[GPOINTER_TO_UINT(worker)] += step->cpu_millis;
		g_hash_table_remove(sim->where, text);
	}
	g_free(text);
}

static void on_ended(void *ctx, const bw_task_name_t *task, bw_end_kind_t kind)
{
	sim_t *sim = ctx;
	job_t *job = g_hash_table_lookup(sim->by_id, task->job);
	step_t *step = &job->steps[task->step];

	give_back(sim, task, step);
	if (kind != BW_END_DONE)
		return;
	step->done++;
	while (job->step < job->step_count &&
	       job->steps[job->step].done == job->steps[job->step].count)
		job->step++;
	if (job->step == job->step_count)
		job->done_ms = sim->now_ms;
}

static const crew_ops_t crew_ops = { .held = on_held, .ended = on_ended };

static void deliver(sim_t *sim)
{
	guint i;

	for (i = 0; i < sim->answers->len; i++) {
		answer_t answer = g_array_index(sim->answers, answer_t, i);

		if (answer.stop)
			bw_sched_stop_answered(sim->sched, sim->now_ms,
					       answer.worker, &answer.task,
					       answer.run, answer.result);
		else
			bw_sched_start_answered(sim->sched, sim->now_ms,
						answer.worker, &answer.task,
						answer.run, answer.result,
						sim->now_ms);
	}
	g_array_set_size(sim->answers, 0);
}

static void submit(sim_t *sim, const job_t *job)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = job->at_ms,
				   .spec = bw_job_spec_new(job->step_count) };
	uint32_t i;

	record.spec->text = g_strdup("t");
	for (i = 0; i < job->step_count; i++) {
		bw_step_spec_t *step = &record.spec->steps[i];

		step->count = job->steps[i].count;
		step->need.cpu_millis = job->steps[i].cpu_millis;
		step->estimate_ms = (uint32_t)job->steps[i].estimate_ms;
		if (i == 0)
			continue;
		step->after = g_new0(uint32_t, 1);
		step->after[0] = i - 1;
		step->after_count = 1;
	}
	bw_sched_add_job(sim->sched, sim->now_ms, sim->now_ms, job->id,
			 &record);
	bw_job_record_clear(&record);
}

/* Policies that go through a list. */

static gint by_arrival(gconstpointer a, gconstpointer b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static gint by_guess(gconstpointer a, gconstpointer b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;

	return (x->guess > y->guess) - (x->guess < y->guess);
}

/* The fullest worker with so much room; WORKERS: none. */
static uint32_t find_worker(const sim_t *sim, int64_t need_millis)
{
	uint32_t best = WORKERS;
	uint32_t i;

	for (i = 0; i < WORKERS; i++)
		if (sim->free_millis[i] >= need_millis &&
		    (best == WORKERS ||
		     sim->free_millis[i] < sim->free_millis[best]))
			best = i;
	return best;
}

static void start_task(sim_t *sim, job_t *job, uint32_t worker)
{
	step_t *step = &job->steps[job->step];
	crew_work_t work = { .need = { step->cpu_millis, 0, 0 },
			     .work_ms = step->work_ms[step->started] };
	bw_start_order_t order = { .run = 1 };
	char name[16];

	g_snprintf(name, sizeof(name), "w%u", worker);
	order.worker = name;
	g_strlcpy(order.task.job, job->id, sizeof(order.task.job));
	order.task.step = job->step;
	order.task.index = step->started++;
	sim->free_millis[worker] -= step->cpu_millis;
	g_hash_table_insert(sim->where, task_text(&order.task),
			    GUINT_TO_POINTER(worker));
	crew_start(sim->crew, sim->now_ms, &order, &work);
}

static void place_by_list(sim_t *sim)
{
	GPtrArray *list = g_ptr_array_new();
	guint i;

	for (i = 0; i < sim->jobs->len; i++) {
		job_t *job = &g_array_index(sim->jobs, job_t, i);

		if (job->at_ms <= sim->now_ms && job->step < job->step_count)
			g_ptr_array_add(list, job);
	}
	g_ptr_array_sort(list, sim->policy == POLICY_SHORTEST ? by_guess
							      : by_arrival);
	for (i = 0; i < list->len; i++) {
		job_t *job = g_ptr_array_index(list, i);
		step_t *step = &job->steps[job->step];

		while (step->started < step->count) {
			uint32_t worker = find_worker(sim, step->cpu_millis);

			if (worker == WORKERS)
				break;
			start_task(sim, job, worker);
		}
	}
	g_ptr_array_free(list, TRUE);
}

/* The run. */

static sim_t *sim_create(policy_t policy, GArray *jobs)
{
	sim_t *sim = g_new0(sim_t, 1);
	bw_resources_t room = { ROOM_MILLIS, ROOM_MB, 0 };
	uint32_t i;

	sim->policy = policy;
	sim->jobs = g_array_copy(jobs);
	sim->now_ms = 1;
	sim->crew = crew_create(&crew_ops, sim);
	sim->answers = g_array_new(FALSE, TRUE, sizeof(answer_t));
	sim->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	sim->where =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < sim->jobs->len; i++) {
		job_t *job = &g_array_index(sim->jobs, job_t, i);

		g_hash_table_insert(sim->by_id, job->id, job);
	}
	if (policy == POLICY_SCHED)
		sim->sched = poolsetup_create(&sched_ops, sim, sim->now_ms);
	for (i = 0; i < WORKERS; i++) {
		char id[16];
		bw_worker_info_t info = { .id = id,
					  .address = id,
					  .capacity = room,
					  .started_ms = 1 };

		g_snprintf(id, sizeof(id), "w%u", i);
		crew_add(sim->crew, id, &room);
		sim->free_millis[i] = ROOM_MILLIS;
		if (policy == POLICY_SCHED)
			bw_sched_worker_registered(sim->sched, sim->now_ms,
						   &info);
	}
	return sim;
}

static void sim_destroy(sim_t *sim)
{
	bw_sched_destroy(sim->sched);
	crew_destroy(sim->crew);
	g_array_free(sim->answers, TRUE);
	g_hash_table_destroy(sim->by_id);
	g_hash_table_destroy(sim->where);
	g_array_free(sim->jobs, TRUE);
	g_free(sim);
}

static void play(sim_t *sim)
{
	int64_t saved_ms = -SAVE_GAP_MS;
	int64_t tick_ms = 0;
	guint next = 0;

	while (sim->now_ms < TRAFFIC_MS + SETTLE_MS) {
		int64_t next_ms =
			MIN(tick_ms + TICK_MS, crew_next_ms(sim->crew));

		if (next < sim->jobs->len)
			next_ms = MIN(
				next_ms,
				g_array_index(sim->jobs, job_t, next).at_ms);
		sim->now_ms = MAX(next_ms, sim->now_ms);
		if (sim->now_ms >= tick_ms + TICK_MS)
			tick_ms = sim->now_ms;
		for (;
		     next < sim->jobs->len &&
		     g_array_index(sim->jobs, job_t, next).at_ms <= sim->now_ms;
		     next++)
			if (sim->sched)
				submit(sim,
				       &g_array_index(sim->jobs, job_t, next));
		crew_run(sim->crew, sim->now_ms);
		if (!sim->sched) {
			place_by_list(sim);
			continue;
		}
		deliver(sim);
		if (sim->now_ms - saved_ms >= SAVE_GAP_MS) {
			poolsetup_save(sim->sched, sim->now_ms);
			saved_ms = sim->now_ms;
		}
		bw_sched_run(sim->sched, sim->now_ms, sim->now_ms);
		deliver(sim);
	}
}

static bool is_served(const job_t *job)
{
	return job->done_ms > 0 &&
	       job->done_ms <= job->at_ms + LATE_MULTIPLE * job->objective_ms;
}

static gint by_work(gconstpointer a, gconstpointer b)
{
	const job_t *x = a;
	const job_t *y = b;

	return (x->work < y->work) - (x->work > y->work);
}

static earned_t count(const sim_t *sim, const kind_t *kind)
{
	GArray *jobs = g_array_copy(sim->jobs);
	guint large = (guint)(jobs->len * LARGEST_SHARE);
	earned_t earned = { .owed = kind->worth * jobs->len };
	guint i;

	g_array_sort(jobs, by_work);
	for (i = 0; i < jobs->len; i++) {
		const job_t *job = &g_array_index(jobs, job_t, i);

		if (!is_served(job))
			continue;
		earned.served += 1.0 / jobs->len;
		if (i < large)
			earned.served_large += 1.0 / large;
		earned.worth += job->done_ms <= job->at_ms + job->objective_ms
					? kind->worth
					: kind->late_worth;
	}
	g_array_free(jobs, TRUE);
	return earned;
}

/* The bound. */

static gint by_density(gconstpointer a, gconstpointer b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;

	return (x->work > y->work) - (x->work < y->work);
}

static gint by_deadline(gconstpointer a, gconstpointer b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;
	int64_t x_ms = x->at_ms + x->objective_ms;
	int64_t y_ms = y->at_ms + y->objective_ms;

	return (x_ms > y_ms) - (x_ms < y_ms);
}

/* Whether the kept parts of jobs fit, as a fluid, within their objectives. */
static bool feasible(const GPtrArray *jobs, double *room)
{
	guint i;
	guint slot;

	for (slot = 0; slot < SLOTS; slot++)
		room[slot] = (double)WORKERS * ROOM_MILLIS * SLOT_MS / 1000.0;
	/* By deadlines, each from its arrival on; exact for fluid work when
	 * earlier deadlines go first in each slot. */
	for (i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);
		double left = (double)job->work * job->kept;
		guint last =
			(guint)((job->at_ms + job->objective_ms) / SLOT_MS);

		for (slot = (guint)(job->at_ms / SLOT_MS);
		     left > 0.0 && slot <= last && slot < SLOTS; slot++) {
			double part = MIN(left, room[slot]);

			room[slot] -= part;
			left -= part;
		}
		if (left > 1e-6)
			return false;
	}
	return true;
}

/* Keeps as much of a job as fits beside what is kept already. */
static void keep_most(GPtrArray *ordered, job_t *job, double *room)
{
	double low = 0.0;
	double high = 1.0;
	uint32_t i;

	job->kept = 1.0;
	if (feasible(ordered, room))
		return;
	for (i = 0; i < BISECTIONS; i++) {
		job->kept = (low + high) / 2.0;
		if (feasible(ordered, room))
			low = job->kept;
		else
			high = job->kept;
	}
	job->kept = high;
}

/*
 * Worth that no policy exceeds: jobs are a fluid that any part of the pool may
 * work on from their arrival to their objective, the cheapest first, and what
 * is not done in time counts as late.
 */
static double bound(const GArray *jobs, const kind_t *kind)
{
	GArray *copy = g_array_copy((GArray *)jobs);
	GPtrArray *ordered = g_ptr_array_new();
	GPtrArray *cheapest = g_ptr_array_new();
	double *room = g_new0(double, SLOTS);
	double worth = 0.0;
	guint i;

	for (i = 0; i < copy->len; i++) {
		job_t *job = &g_array_index(copy, job_t, i);

		job->kept = 0.0;
		g_ptr_array_add(ordered, job);
		g_ptr_array_add(cheapest, job);
	}
	g_ptr_array_sort(ordered, by_deadline);
	g_ptr_array_sort(cheapest, by_density);
	for (i = 0; i < cheapest->len; i++)
		keep_most(ordered, g_ptr_array_index(cheapest, i), room);
	for (i = 0; i < copy->len; i++)
		worth += kind->late_worth +
			 (kind->worth - kind->late_worth) *
				 g_array_index(copy, job_t, i).kept;
	g_free(room);
	g_ptr_array_free(ordered, TRUE);
	g_ptr_array_free(cheapest, TRUE);
	g_array_free(copy, TRUE);
	return worth;
}

/** Sums over seeds and kinds. */
typedef struct total {
	double ratio[POLICY_COUNT];
	double large_share; /**< Lowest of all. */
	uint32_t runs;
} total_t;

static void play_all(const kind_t *kind, double load, bool surges,
		     uint32_t seed, total_t *total)
{
	GArray *jobs = draw_jobs(kind, load, surges, seed);
	double most = bound(jobs, kind);
	int policy;

	printf("%s load=%.2f %s seed=%u jobs=%u bound=%.3f", kind->name, load,
	       surges ? "surges" : "steady", seed, jobs->len,
	       most / (kind->worth * jobs->len));
	for (policy = 0; policy < POLICY_COUNT; policy++) {
		sim_t *sim = sim_create((policy_t)policy, jobs);
		earned_t earned;

		play(sim);
		earned = count(sim, kind);
		sim_destroy(sim);
		total->ratio[policy] += earned.worth / most;
		printf(" %s=%.3f served=%.3f large=%.3f", policy_names[policy],
		       earned.worth / most, earned.served, earned.served_large);
		if (policy == POLICY_SCHED)
			total->large_share =
				MIN(total->large_share,
				    earned.served_large / earned.served);
	}
	printf("\n");
	total->runs++;
	g_array_free(jobs, TRUE);
}

static total_t play_load(double load, bool surges)
{
	total_t total = { .large_share = 1.0 };
	uint32_t seed;
	size_t i;
	int policy;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		for (seed = 1; seed <= SEEDS; seed++)
			play_all(&kinds[i], load, surges, seed, &total);
	for (policy = 0; policy < POLICY_COUNT; policy++)
		total.ratio[policy] /= total.runs;
	return total;
}

int main(void)
{
	total_t at_60 = play_load(0.6, false);
	total_t at_90 = play_load(0.9, false);
	total_t at_120 = play_load(1.2, false);
	total_t surges = play_load(1.5, true);

	printf("worth_ratio_60=%.3f worth_ratio_90=%.3f worth_ratio_120=%.3f "
	       "worth_ratio_surges=%.3f first_come_90=%.3f "
	       "first_come_120=%.3f shortest_90=%.3f shortest_120=%.3f "
	       "large_share=%.3f\n",
	       at_60.ratio[POLICY_SCHED], at_90.ratio[POLICY_SCHED],
	       at_120.ratio[POLICY_SCHED], surges.ratio[POLICY_SCHED],
	       at_90.ratio[POLICY_FIRST_COME], at_120.ratio[POLICY_FIRST_COME],
	       at_90.ratio[POLICY_SHORTEST], at_120.ratio[POLICY_SHORTEST],
	       MIN(MIN(at_90.large_share, at_120.large_share),
		   surges.large_share));
	return 0;
}
