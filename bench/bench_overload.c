/*
 * Share of the possible worth that callers get under overload, in virtual time:
 * the scheduler, first come first served, and shortest job first, each against
 * an upper bound that uses all arrivals and durations. The load is steady or
 * has surges.
 *
 * A job earns its full worth when it finishes within its objective, its late
 * worth within LATE_MULTIPLE times the objective, and nothing after that.
 *
 * With tenants, what each earns is compared with what its weight is due: the
 * worth of the jobs that it submits, up to its weight in jobs a second. Their
 * weights are skewed, and one of them submits several times its weight.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "sim_workers.h"
#include "sched_fixture.h"
#include "sched/sched.h"

#define WORKERS		  12
#define WORKER_CPU_MILLIS 32000
#define WORKER_MEM_MB	  65536
#define TRAFFIC_MS	  40000
/** Time after the last arrival for jobs to finish. */
#define COOLDOWN_MS	 40000
#define LATE_MULTIPLE	 3
#define SAVE_INTERVAL_MS 100
#define TICK_MS		 100
/** The bound divides the time into intervals of this length. */
#define INTERVAL_MS 100
#define INTERVALS   ((TRAFFIC_MS + COOLDOWN_MS) / INTERVAL_MS)
#define SEEDS	    3
#define TASKS_MAX   96
#define STEPS_MAX   5
/** In a surge the load is SURGE_FACTOR times that of the gap after it. */
#define SURGE_MS     4500
#define SURGE_GAP_MS 13500
#define SURGE_FACTOR 4.0
/** Steps of the search for the share of a job that fits. */
#define BISECTIONS 6
/** Share of the jobs, by work, that count as large. */
#define LARGEST_SHARE 0.1
#define TENANTS	      20
/** Load of the run with tenants; that of their usual rates; and how many times
 *  these their weights are. */
#define TENANTS_LOAD   1.2
#define USUAL_LOAD     0.75
#define WEIGHT_X_USUAL 1.9
/** The tenant that surges. */
#define SURGING 2

/** Sizes and worth of jobs, modelled on the requests of the two sites. */
typedef struct profile {
	const char *name;
	double worth;
	double late_worth;
	double steps; /**< Mean, as with the other sizes. */
	double steps_max;
	double width; /**< Tasks of a step. */
	double width_max;
	double cpu_millis;
	double cpu_millis_max;
	double work_ms;
	double work_ms_max;
	double estimate_error; /**< Spread of the caller's estimates. */
} profile_t;

static const profile_t profiles[] = {
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
	uint32_t tenant;
	step_t steps[STEPS_MAX];
	uint32_t step_count;
	uint32_t step; /**< Current step; step_count when finished. */
	int64_t work; /**< Core-milliseconds. */
	int64_t estimated_work; /**< The same, by the caller's estimates. */
	int64_t objective_ms; /**< After its arrival. */
	int64_t done_ms; /**< 0 while it is not finished. */
	double share_in_time; /**< Share that the bound completes in time. */
} job_t;

/** One run of a policy over a list of jobs. */
typedef struct sim {
	policy_t policy;
	const double *weights; /**< Of the tenants; NULL: none are set. */
	GArray *jobs;
	GHashTable *by_id;
	sim_workers_t *workers;
	bw_sched_t *sched;
	GArray *replies; /**< To start and stop orders; not delivered yet. */
	int64_t now_ms;
	int64_t free_millis[WORKERS]; /**< List policies only. */
	GHashTable *placements; /**< List policies: task to worker number. */
} sim_t;

/** A worker's reply to a start or stop order. */
typedef struct reply {
	char worker[16];
	bw_task_name_t task;
	uint32_t run;
	bool is_stop;
	bw_order_result_t result;
} reply_t;

/** Result of one run. */
typedef struct score {
	double worth;
	double worth_max; /**< When every job finishes in time. */
	double served; /**< Share of jobs that earned something. */
	double served_large; /**< The same, of the large jobs. */
} score_t;

/* Jobs. */

/* Draws from a log-normal distribution of the given mean, capped at max. */
static double draw_lognormal(GRand *rand, double mean, double spread,
			     double max)
{
	double a = g_rand_double_range(rand, 1e-9, 1.0);
	double b = g_rand_double(rand);
	double normal = sqrt(-2.0 * log(a)) * cos(2.0 * G_PI * b);

	return MIN(mean * exp(spread * normal - spread * spread / 2.0), max);
}

static void draw_step(GRand *rand, const profile_t *profile, step_t *step)
{
	double work_ms = draw_lognormal(rand, profile->work_ms, 0.5,
					profile->work_ms_max);
	uint32_t i;

	step->count =
		(uint32_t)CLAMP(round(draw_lognormal(rand, profile->width, 0.6,
						     profile->width_max)),
				1, TASKS_MAX);
	step->cpu_millis = (int64_t)draw_lognormal(
		rand, profile->cpu_millis, 0.45, profile->cpu_millis_max);
	step->estimate_ms =
		(int64_t)(work_ms * draw_lognormal(rand, 1.0,
						   profile->estimate_error, 8));
	for (i = 0; i < step->count; i++)
		step->work_ms[i] =
			(int64_t)MAX(draw_lognormal(rand, work_ms, 0.3,
						    profile->work_ms_max),
				     20.0);
}

static void draw_job(GRand *rand, const profile_t *profile, job_t *job)
{
	int64_t chain_ms = 0;
	uint32_t i;
	uint32_t k;

	job->step_count =
		(uint32_t)CLAMP(round(draw_lognormal(rand, profile->steps, 0.4,
						     profile->steps_max)),
				1, STEPS_MAX);
	for (i = 0; i < job->step_count; i++) {
		step_t *step = &job->steps[i];
		int64_t longest_ms = 0;

		draw_step(rand, profile, step);
		for (k = 0; k < step->count; k++) {
			longest_ms = MAX(longest_ms, step->work_ms[k]);
			job->work += step->cpu_millis * step->work_ms[k] / 1000;
		}
		job->estimated_work += step->cpu_millis * step->estimate_ms *
				       step->count / 1000;
		chain_ms += longest_ms;
	}
	job->objective_ms =
		(int64_t)(SCHED_FIXTURE_OBJECTIVE_FACTOR * (double)chain_ms) +
		SCHED_FIXTURE_OBJECTIVE_OFFSET_MS;
}

/* Arrival rate relative to the time between surges. */
static double rate_factor(int64_t at_ms, bool surges)
{
	if (!surges)
		return 1.0;
	return at_ms % (SURGE_MS + SURGE_GAP_MS) < SURGE_MS ? SURGE_FACTOR
							    : 1.0;
}

/*
 * Draws jobs with random arrival times. Their work is load times what the pool
 * can do in the same time; with surges, this holds within a surge.
 */
static GArray *draw_jobs(const profile_t *profile, double load, bool surges,
			 uint32_t seed)
{
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(job_t));
	GRand *rand = g_rand_new_with_seed(seed);
	double capacity =
		(double)WORKERS * WORKER_CPU_MILLIS; /* Core-ms a second. */
	double at_ms = 0.0;
	double mean_work = 0.0;
	uint32_t i;

	for (i = 0; i < 2000; i++) {
		job_t job = { 0 };

		draw_job(rand, profile, &job);
		mean_work += (double)job.work / 2000.0;
	}
	for (;;) {
		job_t job = { 0 };
		double rate_s = load * capacity / mean_work;

		if (surges)
			rate_s *= rate_factor((int64_t)at_ms, true) /
				  SURGE_FACTOR;
		at_ms += -log(g_rand_double_range(rand, 1e-9, 1.0)) * 1000.0 /
			 rate_s;
		if (at_ms >= TRAFFIC_MS)
			break;
		draw_job(rand, profile, &job);
		job.at_ms = (int64_t)at_ms + 1000;
		g_snprintf(job.id, sizeof(job.id), "%016x", jobs->len + 1);
		g_array_append_val(jobs, job);
	}
	g_rand_free(rand);
	return jobs;
}

/* The scheduler under test. */

static void queue_reply(sim_t *sim, const char *worker,
			const bw_task_name_t *task, uint32_t run, bool is_stop,
			bw_order_result_t result)
{
	reply_t reply = {
		.task = *task, .run = run, .is_stop = is_stop, .result = result
	};

	g_strlcpy(reply.worker, worker, sizeof(reply.worker));
	g_array_append_val(sim->replies, reply);
}

static void on_start(void *ctx, const bw_start_order_t *order)
{
	sim_t *sim = ctx;
	job_t *job = g_hash_table_lookup(sim->by_id, order->task.job);
	const step_t *step = &job->steps[order->task.step];
	sim_workers_demand_t demand = {
		.need = { step->cpu_millis, 0, 0 },
		.work_ms = step->work_ms[order->task.index]
	};

	queue_reply(
		sim, order->worker, &order->task, order->run, false,
		sim_workers_start(sim->workers, sim->now_ms, order, &demand));
}

static void on_stop(void *ctx, const bw_run_order_t *order)
{
	sim_t *sim = ctx;

	queue_reply(sim, order->worker, &order->task, order->run, true,
		    sim_workers_stop(sim->workers, sim->now_ms, order));
}

static void on_heartbeat(void *ctx, const bw_heartbeat_order_t *order)
{
	sim_workers_heartbeat(((sim_t *)ctx)->workers, order, NULL);
}

static const bw_sched_ops_t sched_ops = { .start = on_start,
					  .stop = on_stop,
					  .heartbeat = on_heartbeat };

static void on_heartbeat_answered(void *ctx, const char *worker,
				  const bw_heartbeat_answer_t *answer,
				  void *call)
{
	sim_t *sim = ctx;

	(void)call;
	bw_sched_heartbeat_answered(sim->sched, sim->now_ms, worker, answer);
}

static char *format_task(const bw_task_name_t *task)
{
	return g_strdup_printf("%s.%u.%u", task->job, task->step, task->index);
}

static void release_cpu(sim_t *sim, const bw_task_name_t *task,
			const step_t *step)
{
	char *text = format_task(task);
	gpointer worker;

	if (g_hash_table_lookup_extended(sim->placements, text, NULL,
					 &worker)) {
		sim->free_millis[GPOINTER_TO_UINT(worker)] += step->cpu_millis;
		g_hash_table_remove(sim->placements, text);
	}
	g_free(text);
}

static void on_run_ended(void *ctx, const bw_task_name_t *task,
			 bw_end_kind_t kind)
{
	sim_t *sim = ctx;
	job_t *job = g_hash_table_lookup(sim->by_id, task->job);
	step_t *step = &job->steps[task->step];

	release_cpu(sim, task, step);
	if (kind != BW_END_DONE)
		return;
	step->done++;
	while (job->step < job->step_count &&
	       job->steps[job->step].done == job->steps[job->step].count)
		job->step++;
	if (job->step == job->step_count)
		job->done_ms = sim->now_ms;
}

static const sim_workers_ops_t workers_ops = { .heartbeat_answered =
						       on_heartbeat_answered,
					       .run_ended = on_run_ended };

static void deliver_replies(sim_t *sim)
{
	guint i;

	for (i = 0; i < sim->replies->len; i++) {
		reply_t reply = g_array_index(sim->replies, reply_t, i);

		if (reply.is_stop)
			bw_sched_stop_answered(sim->sched, sim->now_ms,
					       reply.worker, &reply.task,
					       reply.run, reply.result);
		else
			bw_sched_start_answered(sim->sched, sim->now_ms,
						reply.worker, &reply.task,
						reply.run, reply.result,
						sim->now_ms);
	}
	g_array_set_size(sim->replies, 0);
}

static void format_tenant(uint32_t tenant, char *out, size_t bytes)
{
	g_snprintf(out, bytes, "t%u", tenant);
}

static void submit(sim_t *sim, const job_t *job)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = job->at_ms,
				   .spec = bw_job_spec_new(job->step_count) };
	char tenant[8];
	uint32_t i;

	format_tenant(job->tenant, tenant, sizeof(tenant));
	if (sim->weights)
		record.tenant = g_strdup(tenant);
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

/* List policies: jobs in a fixed order, each as far as there is capacity. */

static gint by_arrival(gconstpointer a, gconstpointer b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static gint by_estimated_work(gconstpointer a, gconstpointer b)
{
	const job_t *x = *(job_t *const *)a;
	const job_t *y = *(job_t *const *)b;

	return (x->estimated_work > y->estimated_work) -
	       (x->estimated_work < y->estimated_work);
}

/* Best fit: the worker with the least sufficient free CPU, or WORKERS. */
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
	sim_workers_demand_t demand = { .need = { step->cpu_millis, 0, 0 },
					.work_ms =
						step->work_ms[step->started] };
	bw_start_order_t order = { .run = 1 };
	char name[16];

	g_snprintf(name, sizeof(name), "w%u", worker);
	order.worker = name;
	g_strlcpy(order.task.job, job->id, sizeof(order.task.job));
	order.task.step = job->step;
	order.task.index = step->started++;
	sim->free_millis[worker] -= step->cpu_millis;
	g_hash_table_insert(sim->placements, format_task(&order.task),
			    GUINT_TO_POINTER(worker));
	sim_workers_start(sim->workers, sim->now_ms, &order, &demand);
}

static void place_in_order(sim_t *sim)
{
	GPtrArray *list = g_ptr_array_new();
	guint i;

	for (i = 0; i < sim->jobs->len; i++) {
		job_t *job = &g_array_index(sim->jobs, job_t, i);

		if (job->at_ms <= sim->now_ms && job->step < job->step_count)
			g_ptr_array_add(list, job);
	}
	g_ptr_array_sort(list, sim->policy == POLICY_SHORTEST
				       ? by_estimated_work
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

/* Simulation. */

static void set_tenants(const sim_t *sim)
{
	bw_tenant_config_t configs[TENANTS] = { 0 };
	char names[TENANTS][8];
	uint32_t i;

	for (i = 0; i < TENANTS; i++) {
		format_tenant(i, names[i], sizeof(names[i]));
		configs[i].name = names[i];
		configs[i].terms.weight = sim->weights[i];
	}
	bw_sched_set_tenants(sim->sched, configs, TENANTS);
}

static sim_t *sim_create(policy_t policy, GArray *jobs, const double *weights)
{
	sim_t *sim = g_new0(sim_t, 1);
	bw_resources_t capacity = { WORKER_CPU_MILLIS, WORKER_MEM_MB, 0 };
	uint32_t i;

	sim->policy = policy;
	sim->weights = weights;
	sim->jobs = g_array_copy(jobs);
	sim->now_ms = 1;
	sim->workers = sim_workers_create(&workers_ops, sim);
	sim->replies = g_array_new(FALSE, TRUE, sizeof(reply_t));
	sim->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	sim->placements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < sim->jobs->len; i++) {
		job_t *job = &g_array_index(sim->jobs, job_t, i);

		g_hash_table_insert(sim->by_id, job->id, job);
	}
	if (policy == POLICY_SCHED)
		sim->sched = sched_fixture_create(&sched_ops, sim, sim->now_ms);
	if (weights)
		set_tenants(sim);
	for (i = 0; i < WORKERS; i++) {
		char id[16];
		bw_worker_info_t info = { .id = id,
					  .address = id,
					  .capacity = capacity,
					  .started_ms = 1 };

		g_snprintf(id, sizeof(id), "w%u", i);
		sim_workers_add(sim->workers, id, &capacity);
		sim->free_millis[i] = WORKER_CPU_MILLIS;
		if (policy == POLICY_SCHED)
			bw_sched_worker_registered(sim->sched, sim->now_ms,
						   &info);
	}
	return sim;
}

static void sim_destroy(sim_t *sim)
{
	bw_sched_destroy(sim->sched);
	sim_workers_destroy(sim->workers);
	g_array_free(sim->replies, TRUE);
	g_hash_table_destroy(sim->by_id);
	g_hash_table_destroy(sim->placements);
	g_array_free(sim->jobs, TRUE);
	g_free(sim);
}

static void simulate(sim_t *sim)
{
	int64_t last_save_ms = -SAVE_INTERVAL_MS;
	int64_t last_tick_ms = 0;
	guint next = 0;

	while (sim->now_ms < TRAFFIC_MS + COOLDOWN_MS) {
		int64_t next_ms = MIN(last_tick_ms + TICK_MS,
				      sim_workers_next_ms(sim->workers));

		if (next < sim->jobs->len)
			next_ms = MIN(
				next_ms,
				g_array_index(sim->jobs, job_t, next).at_ms);
		sim->now_ms = MAX(next_ms, sim->now_ms);
		if (sim->now_ms >= last_tick_ms + TICK_MS)
			last_tick_ms = sim->now_ms;
		for (;
		     next < sim->jobs->len &&
		     g_array_index(sim->jobs, job_t, next).at_ms <= sim->now_ms;
		     next++)
			if (sim->sched)
				submit(sim,
				       &g_array_index(sim->jobs, job_t, next));
		sim_workers_advance(sim->workers, sim->now_ms);
		if (!sim->sched) {
			place_in_order(sim);
			continue;
		}
		deliver_replies(sim);
		if (sim->now_ms - last_save_ms >= SAVE_INTERVAL_MS) {
			sched_fixture_save(sim->sched, sim->now_ms);
			last_save_ms = sim->now_ms;
		}
		bw_sched_run(sim->sched, sim->now_ms, sim->now_ms);
		deliver_replies(sim);
	}
}

static bool is_served(const job_t *job)
{
	return job->done_ms > 0 &&
	       job->done_ms <= job->at_ms + LATE_MULTIPLE * job->objective_ms;
}

/* Largest first. */
static gint by_work(gconstpointer a, gconstpointer b)
{
	const job_t *x = a;
	const job_t *y = b;

	return (x->work < y->work) - (x->work > y->work);
}

static score_t compute_score(const sim_t *sim, const profile_t *profile)
{
	GArray *jobs = g_array_copy(sim->jobs);
	guint large = (guint)(jobs->len * LARGEST_SHARE);
	score_t score = { .worth_max = profile->worth * jobs->len };
	guint i;

	g_array_sort(jobs, by_work);
	for (i = 0; i < jobs->len; i++) {
		const job_t *job = &g_array_index(jobs, job_t, i);

		if (!is_served(job))
			continue;
		score.served += 1.0 / jobs->len;
		if (i < large)
			score.served_large += 1.0 / large;
		score.worth += job->done_ms <= job->at_ms + job->objective_ms
				       ? profile->worth
				       : profile->late_worth;
	}
	g_array_free(jobs, TRUE);
	return score;
}

/* Upper bound. */

/* Least work first: the most worth per work, as all jobs are worth the same. */
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

/*
 * Whether the shares of the jobs can be completed within the objectives when
 * work is divisible. The jobs are sorted by deadline; free_work is scratch.
 */
static bool feasible(const GPtrArray *jobs, double *free_work)
{
	guint i;
	guint interval;

	for (interval = 0; interval < INTERVALS; interval++)
		free_work[interval] = (double)WORKERS * WORKER_CPU_MILLIS *
				      INTERVAL_MS / 1000.0;
	/* Earliest deadline first, each job from its arrival on: exact for
	 * divisible work, as earlier deadlines go first in each interval. */
	for (i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);
		double remaining_work = (double)job->work * job->share_in_time;
		guint last_interval =
			(guint)((job->at_ms + job->objective_ms) / INTERVAL_MS);

		for (interval = (guint)(job->at_ms / INTERVAL_MS);
		     remaining_work > 0.0 && interval <= last_interval &&
		     interval < INTERVALS;
		     interval++) {
			double used_work =
				MIN(remaining_work, free_work[interval]);

			free_work[interval] -= used_work;
			remaining_work -= used_work;
		}
		if (remaining_work > 1e-6)
			return false;
	}
	return true;
}

/*
 * Sets the largest share of a job that fits beside the shares chosen before.
 * The search ends at its upper side, so that the result stays a bound.
 */
static void maximize_share(GPtrArray *ordered, job_t *job, double *free_work)
{
	double low = 0.0;
	double high = 1.0;
	uint32_t i;

	job->share_in_time = 1.0;
	if (feasible(ordered, free_work))
		return;
	for (i = 0; i < BISECTIONS; i++) {
		job->share_in_time = (low + high) / 2.0;
		if (feasible(ordered, free_work))
			low = job->share_in_time;
		else
			high = job->share_in_time;
	}
	job->share_in_time = high;
}

/*
 * Upper bound of the worth that a policy can earn. Work is divisible, and any
 * part of the pool may process it between a job's arrival and its objective.
 * The jobs with the least work are chosen first; the share of a job that is not
 * done in time earns the late worth.
 */
static double compute_bound(const GArray *jobs, const profile_t *profile)
{
	GArray *copy = g_array_copy((GArray *)jobs);
	GPtrArray *ordered = g_ptr_array_new();
	GPtrArray *cheapest = g_ptr_array_new();
	double *free_work = g_new0(double, INTERVALS);
	double worth = 0.0;
	guint i;

	for (i = 0; i < copy->len; i++) {
		job_t *job = &g_array_index(copy, job_t, i);

		job->share_in_time = 0.0;
		g_ptr_array_add(ordered, job);
		g_ptr_array_add(cheapest, job);
	}
	g_ptr_array_sort(ordered, by_deadline);
	g_ptr_array_sort(cheapest, by_density);
	for (i = 0; i < cheapest->len; i++)
		maximize_share(ordered, g_ptr_array_index(cheapest, i),
			       free_work);
	for (i = 0; i < copy->len; i++)
		worth += profile->late_worth +
			 (profile->worth - profile->late_worth) *
				 g_array_index(copy, job_t, i).share_in_time;
	g_free(free_work);
	g_ptr_array_free(ordered, TRUE);
	g_ptr_array_free(cheapest, TRUE);
	g_array_free(copy, TRUE);
	return worth;
}

/** Totals over seeds and profiles. */
typedef struct totals {
	double ratio[POLICY_COUNT]; /**< Worth earned over its bound. */
	/** Lowest share of large jobs served over that of all jobs. */
	double large_share;
	double served; /**< Share of jobs served at all, by the scheduler. */
	uint32_t runs;
} totals_t;

static void run_policies(const profile_t *profile, double load, bool surges,
			 uint32_t seed, totals_t *totals)
{
	GArray *jobs = draw_jobs(profile, load, surges, seed);
	double bound_worth = compute_bound(jobs, profile);
	int policy;

	printf("%s load=%.2f %s seed=%u jobs=%u bound=%.3f", profile->name,
	       load, surges ? "surges" : "steady", seed, jobs->len,
	       bound_worth / (profile->worth * jobs->len));
	for (policy = 0; policy < POLICY_COUNT; policy++) {
		sim_t *sim = sim_create((policy_t)policy, jobs, NULL);
		score_t score;

		simulate(sim);
		score = compute_score(sim, profile);
		sim_destroy(sim);
		totals->ratio[policy] += score.worth / bound_worth;
		printf(" %s=%.3f served=%.3f large=%.3f", policy_names[policy],
		       score.worth / bound_worth, score.served,
		       score.served_large);
		if (policy != POLICY_SCHED)
			continue;
		totals->served += score.served;
		totals->large_share = MIN(totals->large_share,
					  score.served_large / score.served);
	}
	printf("\n");
	totals->runs++;
	g_array_free(jobs, TRUE);
}

static totals_t run_load(double load, bool surges)
{
	totals_t totals = { .large_share = 1.0 };
	uint32_t seed;
	size_t i;
	int policy;

	for (i = 0; i < G_N_ELEMENTS(profiles); i++)
		for (seed = 1; seed <= SEEDS; seed++)
			run_policies(&profiles[i], load, surges, seed, &totals);
	for (policy = 0; policy < POLICY_COUNT; policy++)
		totals.ratio[policy] /= totals.runs;
	totals.served /= totals.runs;
	return totals;
}

/* Tenants. */

/** What tenants earn, over seeds and profiles. */
typedef struct shares {
	double due[TENANTS];
	double earned[TENANTS];
	double worth; /**< Of all jobs, also those that are not due. */
	double bound;
} shares_t;

/* Weights in jobs a second; jobs_s is what the pool can do. */
static void set_weights(double jobs_s, double *weights)
{
	double sum = 0.0;
	uint32_t i;

	for (i = 0; i < TENANTS; i++)
		sum += 1.0 / (i + 1);
	for (i = 0; i < TENANTS; i++)
		weights[i] =
			WEIGHT_X_USUAL * USUAL_LOAD * jobs_s / (i + 1) / sum;
}

/* Draws whose each job is: all submit by their weights, or the others at their
 * usual rates and the surging one what is left of the load. */
static void draw_tenants(GArray *jobs, const double *weights, bool surge,
			 uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	double sum = 0.0;
	double rest = 0.0;
	guint i;

	for (i = 0; i < TENANTS; i++)
		sum += weights[i];
	rest = sum - weights[SURGING];
	for (i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);
		double others =
			surge ? rest / sum * USUAL_LOAD / TENANTS_LOAD : 1.0;
		double at = g_rand_double(rand);

		job->tenant = SURGING;
		if (at >= others)
			continue;
		at *= (surge ? rest : sum) / others;
		for (job->tenant = 0; job->tenant < TENANTS - 1;
		     job->tenant++) {
			if (surge && job->tenant == SURGING)
				continue;
			at -= weights[job->tenant];
			if (at < 0.0)
				break;
		}
	}
	g_rand_free(rand);
}

static void add_shares(const sim_t *sim, const profile_t *profile,
		       const double *weights, shares_t *out)
{
	double submitted[TENANTS] = { 0 };
	double earned[TENANTS] = { 0 };
	guint i;

	for (i = 0; i < sim->jobs->len; i++) {
		const job_t *job = &g_array_index(sim->jobs, job_t, i);
		bool in_time = job->done_ms <= job->at_ms + job->objective_ms;

		submitted[job->tenant] += profile->worth;
		if (is_served(job))
			earned[job->tenant] +=
				in_time ? profile->worth : profile->late_worth;
	}
	for (i = 0; i < TENANTS; i++) {
		double due = MIN(submitted[i], weights[i] * profile->worth *
						       TRAFFIC_MS / 1000.0);

		out->due[i] += due;
		out->earned[i] += MIN(earned[i], due);
		out->worth += earned[i];
	}
}

static void run_tenants_seed(const profile_t *profile, bool surge,
			     uint32_t seed, shares_t *before, shares_t *after)
{
	GArray *jobs = draw_jobs(profile, TENANTS_LOAD, false, seed);
	double jobs_s = jobs->len * 1000.0 / TRAFFIC_MS / TENANTS_LOAD;
	double bound = compute_bound(jobs, profile);
	double weights[TENANTS];
	sim_t *sim;

	set_weights(jobs_s, weights);
	draw_tenants(jobs, weights, surge, seed);
	sim = sim_create(POLICY_SCHED, jobs, NULL);
	simulate(sim);
	add_shares(sim, profile, weights, before);
	sim_destroy(sim);
	sim = sim_create(POLICY_SCHED, jobs, weights);
	simulate(sim);
	add_shares(sim, profile, weights, after);
	sim_destroy(sim);
	before->bound += bound;
	after->bound += bound;
	g_array_free(jobs, TRUE);
}

static double share_of(const shares_t *shares, uint32_t tenant)
{
	return shares->earned[tenant] / shares->due[tenant];
}

static double worst_share(const shares_t *shares)
{
	double worst = 1.0;
	uint32_t i;

	for (i = 0; i < TENANTS; i++)
		worst = MIN(worst, share_of(shares, i));
	return worst;
}

static double due_share(const shares_t *shares)
{
	double due = 0.0;
	double earned = 0.0;
	uint32_t i;

	for (i = 0; i < TENANTS; i++) {
		due += shares->due[i];
		earned += shares->earned[i];
	}
	return earned / due;
}

static void print_shares(const char *name, const shares_t *shares)
{
	uint32_t i;

	printf("%s shares of due:", name);
	for (i = 0; i < TENANTS; i++)
		printf(" %.3f", share_of(shares, i));
	printf("\n");
}

/* One tenant submits a multiple of its weight, or all of their usual rates. */
static void run_tenants(const char *name, bool surge)
{
	shares_t before = { 0 };
	shares_t after = { 0 };
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(profiles); i++)
		for (seed = 1; seed <= SEEDS; seed++)
			run_tenants_seed(&profiles[i], surge, seed, &before,
					 &after);
	print_shares("before", &before);
	print_shares("after", &after);
	printf("tenants=%s worst_tenant_120_before=%.3f worst_tenant_120=%.3f "
	       "due_120_before=%.3f due_120=%.3f surging_120_before=%.3f "
	       "surging_120=%.3f tenants_worth_120_before=%.3f "
	       "tenants_worth_120=%.3f\n",
	       name, worst_share(&before), worst_share(&after),
	       due_share(&before), due_share(&after),
	       share_of(&before, SURGING), share_of(&after, SURGING),
	       before.worth / before.bound, after.worth / after.bound);
}

int main(void)
{
	totals_t at_60 = run_load(0.6, false);
	totals_t at_90 = run_load(0.9, false);
	totals_t at_120 = run_load(1.2, false);
	totals_t surges = run_load(1.5, true);

	printf("worth_ratio_60=%.3f worth_ratio_90=%.3f worth_ratio_120=%.3f "
	       "worth_ratio_surges=%.3f first_come_90=%.3f "
	       "first_come_120=%.3f shortest_90=%.3f shortest_120=%.3f "
	       "large_share=%.3f served_90=%.4f served_120=%.4f "
	       "served_surges=%.4f\n",
	       at_60.ratio[POLICY_SCHED], at_90.ratio[POLICY_SCHED],
	       at_120.ratio[POLICY_SCHED], surges.ratio[POLICY_SCHED],
	       at_90.ratio[POLICY_FIRST_COME], at_120.ratio[POLICY_FIRST_COME],
	       at_90.ratio[POLICY_SHORTEST], at_120.ratio[POLICY_SHORTEST],
	       MIN(MIN(at_90.large_share, at_120.large_share),
		   surges.large_share),
	       at_90.served, at_120.served, surges.served);
	run_tenants("surge", true);
	run_tenants("even", false);
	return 0;
}
