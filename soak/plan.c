#include "plan.h"

#include <string.h>

#include "plan_owners.h"

/** Time before the first fault, in which the first jobs run undisturbed. */
#define CALM_START_MS 1000
/** Time at the end in which no series begins. */
#define LAST_SERIES_MS 1500
#define SERIES_MIN     4
#define SERIES_MAX     8
/** Jobs that run until they are cancelled work longer than a seed takes. */
#define ENDLESS_MS 300000

/** Adds a series of faults from a time on. */
typedef void (*series_fn)(soak_plan_t *plan, GRand *rand, int64_t at_ms);

static void add_lost_answers(soak_plan_t *plan, GRand *rand, int64_t at_ms);
static void add_link_faults(soak_plan_t *plan, GRand *rand, int64_t at_ms);
static void add_signals(soak_plan_t *plan, GRand *rand, int64_t at_ms);
static void add_outage(soak_plan_t *plan, GRand *rand, int64_t at_ms);
static void add_crashes(soak_plan_t *plan, GRand *rand, int64_t at_ms);
static void add_lost_owner(soak_plan_t *plan, GRand *rand, int64_t at_ms);

/** Kinds of series; a random one is drawn, so some are named twice. */
static const series_fn series[] = {
	add_lost_answers, add_lost_answers, add_link_faults, add_link_faults,
	add_signals,	  add_signals,	    add_outage,	     add_crashes,
	add_lost_owner,	  add_lost_owner,
};

static const char *const fault_names[SOAK_FAULT_KIND_COUNT] = {
	[SOAK_CUT_ANSWERS] = "cut-answers",
	[SOAK_REFUSE] = "refuse",
	[SOAK_TURN_AWAY] = "turn-away",
	[SOAK_HOLD_REQUESTS] = "hold-requests",
	[SOAK_HOLD_ANSWERS] = "hold-answers",
	[SOAK_DELAY] = "delay",
	[SOAK_THROTTLE] = "throttle",
	[SOAK_RESET] = "reset",
	[SOAK_TERMINATE] = "terminate",
	[SOAK_KILL] = "kill",
	[SOAK_PAUSE] = "pause",
	[SOAK_STORE_DOWN] = "store-down",
	[SOAK_CRASH] = "worker-crash",
	[SOAK_TAKE_CLAIM] = "take-claim",
};

static bool is_drawn(GRand *rand, double share)
{
	return g_rand_double(rand) < share;
}

void soak_plan_add_fault(soak_plan_t *plan, soak_fault_t fault)
{
	if (fault.at_ms >= plan->length_ms)
		return;
	fault.for_ms = MIN(fault.for_ms, plan->length_ms - fault.at_ms);
	g_array_append_val(plan->faults, fault);
}

static int64_t draw_status(GRand *rand)
{
	return is_drawn(rand, 0.7) ? 503 : 429;
}

/*
 * Answers of the store are cut after the call was carried out, while a call
 * that comes again over a new connection is turned away or refused. Only calls
 * on connections that were open before are cut, so the times are short and the
 * nodes have new connections in between.
 */
static void add_lost_answers(soak_plan_t *plan, GRand *rand, int64_t at_ms)
{
	bool all = is_drawn(rand, 0.4);
	uint32_t node = all ? SOAK_ALL_NODES
			    : (uint32_t)g_rand_int_range(rand, 0, SOAK_NODES);
	int count = g_rand_int_range(rand, 2, 9);

	while (count-- > 0) {
		soak_fault_t fault = {
			.kind = SOAK_CUT_ANSWERS,
			.at_ms = at_ms,
			.for_ms = g_rand_int_range(rand, 30, 400),
			.node = node,
			.target = SOAK_STORE,
			.hard = is_drawn(rand, 0.5),
		};

		soak_plan_add_fault(plan, fault);
		fault.kind = is_drawn(rand, 0.6) ? SOAK_TURN_AWAY : SOAK_REFUSE;
		fault.amount = draw_status(rand);
		if (is_drawn(rand, 0.8))
			soak_plan_add_fault(plan, fault);
		at_ms += fault.for_ms + g_rand_int_range(rand, 50, 500);
	}
}

static int64_t draw_amount(GRand *rand, soak_fault_kind_t kind)
{
	if (kind == SOAK_DELAY)
		return g_rand_int_range(rand, 20, 600);
	if (kind == SOAK_THROTTLE)
		return g_rand_int_range(rand, 50, 2000);
	return draw_status(rand);
}

static void add_link_faults(soak_plan_t *plan, GRand *rand, int64_t at_ms)
{
	int count = g_rand_int_range(rand, 2, 7);

	while (count-- > 0) {
		soak_fault_t fault = {
			.at_ms = at_ms,
			.for_ms = g_rand_int_range(rand, 100, 3500),
			.node = (uint32_t)g_rand_int_range(rand, 0, SOAK_NODES),
			.target = SOAK_STORE,
			.hard = is_drawn(rand, 0.5),
		};

		fault.kind = (soak_fault_kind_t)g_rand_int_range(
			rand, 0, SOAK_LINK_KIND_COUNT);
		fault.amount = draw_amount(rand, fault.kind);
		if (is_drawn(rand, 0.6))
			fault.target = (uint32_t)g_rand_int_range(rand, 0,
								  SOAK_WORKERS);
		soak_plan_add_fault(plan, fault);
		at_ms += g_rand_int_range(rand, 0, 700);
	}
}

static void add_signals(soak_plan_t *plan, GRand *rand, int64_t at_ms)
{
	static const soak_fault_kind_t kinds[] = {
		SOAK_TERMINATE,
		SOAK_KILL,
		SOAK_PAUSE,
	};
	int count = g_rand_int_range(rand, 1, 4);

	while (count-- > 0) {
		soak_fault_t fault = {
			.kind = kinds[g_rand_int_range(rand, 0,
						       G_N_ELEMENTS(kinds))],
			.at_ms = at_ms,
			.for_ms = g_rand_int_range(rand, 100, 4000),
			.node = (uint32_t)g_rand_int_range(rand, 0, SOAK_NODES),
			.target = SOAK_STORE,
		};

		if (is_drawn(rand, 0.1))
			fault.node = SOAK_ALL_NODES;
		if (fault.kind != SOAK_PAUSE)
			fault.for_ms = g_rand_int_range(rand, 50, 1500);
		soak_plan_add_fault(plan, fault);
		at_ms += g_rand_int_range(rand, 0, 1500);
	}
}

static void add_outage(soak_plan_t *plan, GRand *rand, int64_t at_ms)
{
	soak_plan_add_fault(plan,
			    (soak_fault_t){
				    .kind = SOAK_STORE_DOWN,
				    .at_ms = at_ms,
				    .for_ms = g_rand_int_range(rand, 300, 5000),
				    .node = SOAK_ALL_NODES,
				    .target = SOAK_STORE,
				    .hard = is_drawn(rand, 0.5),
			    });
}

static void add_crashes(soak_plan_t *plan, GRand *rand, int64_t at_ms)
{
	int count = g_rand_int_range(rand, 1, 3);

	while (count-- > 0) {
		soak_plan_add_fault(
			plan,
			(soak_fault_t){
				.kind = SOAK_CRASH,
				.at_ms = at_ms,
				.for_ms = g_rand_int_range(rand, 100, 4000),
				.node = SOAK_ALL_NODES,
				.target = (uint32_t)g_rand_int_range(
					rand, 0, SOAK_WORKERS),
				.hard = is_drawn(rand, 0.5),
			});
		at_ms += g_rand_int_range(rand, 0, 2500);
	}
}

/*
 * A worker can't be reached while nodes end, pause or lose the store: the next
 * owner of its pool can't ask it what it runs.
 */
static void add_lost_owner(soak_plan_t *plan, GRand *rand, int64_t at_ms)
{
	static const soak_fault_kind_t ways[] = {
		SOAK_HOLD_REQUESTS,
		SOAK_HOLD_ANSWERS,
		SOAK_REFUSE,
	};
	static const soak_fault_kind_t losses[] = {
		SOAK_TERMINATE, SOAK_KILL, SOAK_KILL, SOAK_PAUSE, SOAK_REFUSE,
	};
	soak_fault_t silence = {
		.kind = ways[g_rand_int_range(rand, 0, G_N_ELEMENTS(ways))],
		.at_ms = at_ms,
		.for_ms = g_rand_int_range(rand, 2000, 5000),
		.node = SOAK_ALL_NODES,
		.target = (uint32_t)g_rand_int_range(rand, 0, SOAK_WORKERS),
	};
	soak_fault_t loss = {
		.kind = losses[g_rand_int_range(rand, 0, G_N_ELEMENTS(losses))],
		.at_ms = at_ms + g_rand_int_range(rand, 0, 800),
		.for_ms = g_rand_int_range(rand, 100, 4000),
		.node = (uint32_t)g_rand_int_range(rand, 0, SOAK_NODES + 1),
		.target = SOAK_STORE,
	};

	if (loss.kind == SOAK_KILL)
		loss.for_ms = g_rand_int_range(rand, 50, 500);
	soak_plan_add_fault(plan, silence);
	if (silence.kind == SOAK_REFUSE) {
		silence.kind = SOAK_RESET;
		soak_plan_add_fault(plan, silence);
	}
	soak_plan_add_fault(plan, loss);
}

static int64_t draw_begin(const soak_plan_t *plan, GRand *rand)
{
	return g_rand_int_range(rand, CALM_START_MS,
				(gint32)plan->length_ms - LAST_SERIES_MS);
}

/* No seed is without lost answers, the fault that this was written for. */
static void add_faults(soak_plan_t *plan, GRand *rand)
{
	int count = g_rand_int_range(rand, SERIES_MIN, SERIES_MAX);

	add_lost_answers(plan, rand, draw_begin(plan, rand));
	while (count-- > 0) {
		int kind = g_rand_int_range(rand, 0, G_N_ELEMENTS(series));

		series[kind](plan, rand, draw_begin(plan, rand));
	}
}

void soak_plan_name_job(const soak_plan_t *plan, GRand *rand, soak_job_t *job)
{
	job->index = plan->jobs->len;
	g_snprintf(job->id, sizeof(job->id), "%08x%08x", g_rand_int(rand),
		   job->index);
}

static void draw_steps(GRand *rand, soak_job_t *job)
{
	uint32_t i;

	job->step_count =
		(uint32_t)g_rand_int_range(rand, 1, SOAK_STEPS_MAX + 1);
	for (i = 0; i < job->step_count; i++)
		job->steps[i] = (soak_step_t){
			.task_count = (uint32_t)g_rand_int_range(rand, 1, 4),
			.work_ms = g_rand_int_range(rand, 20, 500),
			.cpu_millis = g_rand_int_range(rand, 200, 1200),
			.fails_once = is_drawn(rand, 0.05),
		};
	if (is_drawn(rand, 0.1))
		job->steps[0].work_ms = g_rand_int_range(rand, 1000, 6000);
}

static void add_jobs(soak_plan_t *plan, GRand *rand)
{
	int64_t at_ms = 0;

	while (at_ms < plan->length_ms) {
		soak_job_t job = {
			.pool = (uint32_t)g_rand_int_range(rand, 0, SOAK_POOLS),
			.at_ms = at_ms,
			.refusals_max = is_drawn(rand, 0.6) ? 1 : 3,
			.draw = g_rand_int(rand),
		};

		soak_plan_name_job(plan, rand, &job);
		draw_steps(rand, &job);
		if (is_drawn(rand, 0.1))
			job.cancel_ms = g_rand_int_range(rand, 1, 2000);
		if (job.cancel_ms > 0 && is_drawn(rand, 0.5))
			job.steps[0].work_ms = ENDLESS_MS;
		if (is_drawn(rand, 0.1))
			job.repeat_ms = g_rand_int_range(rand, 1, 4000);
		g_array_append_val(plan->jobs, job);
		at_ms += g_rand_int_range(rand, 0, 50);
	}
}

static gint compare_faults(gconstpointer a, gconstpointer b)
{
	const soak_fault_t *x = a;
	const soak_fault_t *y = b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void fill_mixed(soak_plan_t *plan, GRand *jobs, GRand *faults)
{
	add_jobs(plan, jobs);
	add_faults(plan, faults);
}

static void fill_quiet(soak_plan_t *plan, GRand *jobs, GRand *faults)
{
	(void)faults;
	add_jobs(plan, jobs);
}

/** What a plan of a kind has; jobs and faults are drawn apart. */
static void (*const fillers[])(soak_plan_t *plan, GRand *jobs,
			       GRand *faults) = {
	[SOAK_PLAN_MIXED] = fill_mixed,
	[SOAK_PLAN_QUIET] = fill_quiet,
	[SOAK_PLAN_OWNERS] = soak_plan_fill_owners,
};

soak_plan_t *soak_plan_create(uint32_t seed, int64_t length_ms,
			      soak_plan_kind_t kind)
{
	soak_plan_t *plan = g_new0(soak_plan_t, 1);
	GRand *jobs = g_rand_new_with_seed(seed);
	GRand *faults = g_rand_new_with_seed(seed + 1000000U);

	plan->seed = seed;
	plan->length_ms = length_ms;
	plan->jobs = g_array_new(FALSE, FALSE, sizeof(soak_job_t));
	plan->faults = g_array_new(FALSE, FALSE, sizeof(soak_fault_t));
	fillers[kind](plan, jobs, faults);
	g_array_sort(plan->faults, compare_faults);
	g_rand_free(faults);
	g_rand_free(jobs);
	return plan;
}

void soak_plan_destroy(soak_plan_t *plan)
{
	g_array_free(plan->faults, TRUE);
	g_array_free(plan->jobs, TRUE);
	g_free(plan);
}

/* The last eight digits of an identifier are the job's number. */
const soak_job_t *soak_plan_find(const soak_plan_t *plan, const char *id)
{
	guint64 index = strlen(id) == BW_JOB_ID_CHARS
				? g_ascii_strtoull(id + 8, NULL, 16)
				: G_MAXUINT64;
	const soak_job_t *job;

	if (index >= plan->jobs->len)
		return NULL;
	job = &g_array_index(plan->jobs, soak_job_t, (guint)index);
	return strcmp(job->id, id) ? NULL : job;
}

const char *soak_fault_name(soak_fault_kind_t kind)
{
	return fault_names[kind];
}
