#include "plan_owners.h"

/** The series and the time after it, in which no task may be started again. */
#define LENGTH_MIN_MS 10000
/** The long tasks have begun by then. */
#define CUT_MIN_MS 2200
#define CUT_MAX_MS 2800
/** Long tasks go on until the last grants of the first owner have ended: at
 * most 2 s of its lease and 4.1 s of a slow clock after the cut. */
#define LONG_MS	   9500
#define LONG_JOBS  4
#define LONG_TASKS 3
#define LONG_CPU   500
/** Ends of short tasks keep the heartbeats going. */
#define SHORT_MIN_MS 20
#define SHORT_MAX_MS 400
#define SHORT_CPU    200
#define SHORT_GAP_MS 60
/** The first owner stays cut off until its lease has ended. */
#define CUT_FOR_MS 3500
/** Nobody else reaches the worker until all grants have lapsed. */
#define SILENT_MS 8000
/** Time between two turns; if nobody has claimed by then, a turn waits. */
#define TURN_MIN_MS 50
#define TURN_MAX_MS 400
/** Share of plans in which two owners lose the pool after the first one. */
#define TWO_TURNS 0.25
/** Share of plans in which the last of them is killed and starts again at once;
 *  the claims of the others are deleted. */
#define KILLS	   0.3
#define RESTART_MS 40

static void add_job(soak_plan_t *plan, GRand *rand, soak_job_t job)
{
	job.refusals_max = 3;
	job.draw = g_rand_int(rand);
	soak_plan_name_job(plan, rand, &job);
	g_array_append_val(plan->jobs, job);
}

/* The other workers have room for those of the busiest one. */
static void add_long_jobs(soak_plan_t *plan, GRand *rand, uint32_t pool)
{
	int i;

	for (i = 0; i < LONG_JOBS; i++)
		add_job(plan, rand,
			(soak_job_t){
				.pool = pool,
				.at_ms = i,
				.step_count = 1,
				.steps = { { .task_count = LONG_TASKS,
					     .work_ms = LONG_MS,
					     .cpu_millis = LONG_CPU } },
			});
}

static soak_job_t draw_short_job(GRand *rand, uint32_t pool, int64_t at_ms)
{
	soak_job_t job = {
		.pool = pool,
		.at_ms = at_ms,
		.step_count = SOAK_STEPS_MAX,
	};
	uint32_t i;

	for (i = 0; i < job.step_count; i++)
		job.steps[i] = (soak_step_t){
			.task_count = 1,
			.work_ms = g_rand_int_range(rand, SHORT_MIN_MS,
						    SHORT_MAX_MS),
			.cpu_millis = SHORT_CPU,
		};
	return job;
}

static void add_short_jobs(soak_plan_t *plan, GRand *rand, uint32_t pool)
{
	int64_t at_ms;

	for (at_ms = LONG_JOBS; at_ms < CUT_MAX_MS; at_ms += SHORT_GAP_MS)
		add_job(plan, rand, draw_short_job(rand, pool, at_ms));
}

/* New connections are refused, and those that are open end. */
static void cut(soak_plan_t *plan, soak_fault_t fault)
{
	fault.kind = SOAK_REFUSE;
	soak_plan_add_fault(plan, fault);
	fault.kind = SOAK_RESET;
	fault.renewed = false;
	soak_plan_add_fault(plan, fault);
}

/* Only the owner reaches the worker, and the owner reaches nothing else. Its
 * lease has just been renewed, so that it acts for 2 s. */
static void add_cuts(soak_plan_t *plan, uint32_t pool, int64_t at_ms)
{
	cut(plan, (soak_fault_t){ .at_ms = at_ms,
				  .for_ms = SILENT_MS,
				  .node = SOAK_NOT_OWNER,
				  .target = SOAK_BUSIEST,
				  .pool = pool,
				  .renewed = true });
	cut(plan, (soak_fault_t){ .at_ms = at_ms,
				  .for_ms = CUT_FOR_MS,
				  .node = SOAK_OWNER,
				  .target = SOAK_NOT_BUSIEST,
				  .pool = pool });
	cut(plan, (soak_fault_t){ .at_ms = at_ms,
				  .for_ms = CUT_FOR_MS,
				  .node = SOAK_OWNER,
				  .target = SOAK_STORE,
				  .pool = pool });
}

/* Each turn ends the ownership of the node that has just claimed the pool. */
static void add_turns(soak_plan_t *plan, GRand *rand, uint32_t pool,
		      int64_t at_ms)
{
	int turns = g_rand_double(rand) < TWO_TURNS ? 2 : 1;
	soak_fault_t fault = {
		.kind = SOAK_TAKE_CLAIM,
		.at_ms = at_ms,
		.node = SOAK_OWNER,
		.target = SOAK_STORE,
		.pool = pool,
	};

	soak_plan_add_fault(plan, fault);
	while (turns-- > 0) {
		fault.at_ms += g_rand_int_range(rand, TURN_MIN_MS, TURN_MAX_MS);
		if (turns == 0 && g_rand_double(rand) < KILLS) {
			fault.kind = SOAK_KILL;
			fault.for_ms = RESTART_MS;
		}
		soak_plan_add_fault(plan, fault);
	}
}

void soak_plan_fill_owners(soak_plan_t *plan, GRand *jobs, GRand *faults)
{
	uint32_t pool = (uint32_t)g_rand_int_range(faults, 0, SOAK_POOLS);
	int64_t at_ms = g_rand_int_range(faults, CUT_MIN_MS, CUT_MAX_MS);

	plan->length_ms = MAX(plan->length_ms, LENGTH_MIN_MS);
	add_long_jobs(plan, jobs, pool);
	add_short_jobs(plan, jobs, pool);
	add_cuts(plan, pool, at_ms);
	add_turns(plan, faults, pool, at_ms);
}
