/* Tasks that crash their workers, and sound tasks on workers that crash. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

#define MACHINES_MAX 24
#define RUNS_MAX     64
#define STEP_MS	     50
/** More would be started three times after three crashes. */
#define CRASHES_TOLERATED 5U
/** Steps in which an awaited start has to come. */
#define AWAIT_STEPS 200
/** A new worker is on the machine of a crashed one after this time. */
#define BACK_MS 3400
/** The time after which a lasting task is ready. */
#define STARTUP_MS 500

/** A machine with a worker; the worker's runs are listed to the scheduler. */
typedef struct machine {
	char name[16];
	char worker[16];
	uint32_t boots;
	bool up;
	bool silent; /**< Its answers are lost. */
	int64_t back_ms; /**< When it is up again. */
	uint32_t run_count;
	bw_run_row_t runs[RUNS_MAX];
	int64_t began_ms[RUNS_MAX];
} machine_t;

/** A pool in which the first task of some jobs crashes its workers. */
typedef struct pool {
	orders_t o;
	machine_t machines[MACHINES_MAX];
	uint32_t machine_count;
	const char *crashing_job; /**< NULL: none. */
	bool starts_unanswered;
	bool same_id; /**< Workers restart under their identifier. */
	int64_t back_ms; /**< Time until a crashed machine is up again. */
	uint32_t handled; /**< Starts that were carried out. */
	uint32_t crashes; /**< Of workers, by the crashing job. */
	int64_t run_ms; /**< Runs end after this; 0: they do not. */
	uint64_t last_end;
} pool_t;

static void register_machine(pool_t *p, machine_t *m, bool draining)
{
	bw_worker_info_t info = { .id = m->worker,
				  .address = "10.0.0.1:1",
				  .capacity = { 8000, 8000, 0 },
				  .machine = m->name,
				  .started_ms = 5 + m->boots,
				  .draining = draining };

	bw_sched_worker_registered(p->o.sched, p->o.now_ms, &info);
}

static void boot(pool_t *p, machine_t *m)
{
	m->boots++;
	m->up = true;
	m->run_count = 0;
	g_snprintf(m->worker, sizeof(m->worker), "%s-%u", m->name,
		   p->same_id ? 1 : m->boots);
	register_machine(p, m, false);
	orders_answer_as_boot(&p->o, m->worker, 5 + m->boots, NULL, 0, NULL, 0);
}

static void crash(pool_t *p, machine_t *m)
{
	m->up = false;
	m->run_count = 0;
	m->back_ms = p->o.now_ms + p->back_ms;
}

static machine_t *machine_with(pool_t *p, const char *worker)
{
	uint32_t i;

	for (i = 0; i < p->machine_count; i++)
		if (!strcmp(p->machines[i].worker, worker))
			return &p->machines[i];
	return NULL;
}

static void answer_start(pool_t *p, uint32_t i, bw_order_result_t result)
{
	bw_sched_start_answered(p->o.sched, p->o.now_ms, p->o.starts[i].worker,
				&p->o.starts[i].task, p->o.starts[i].run,
				result, 0);
}

static void carry_out(pool_t *p, uint32_t i)
{
	machine_t *m = machine_with(p, p->o.starts[i].worker);
	bw_run_row_t row = { .task = p->o.starts[i].task,
			     .run = p->o.starts[i].run,
			     .checkpoint = "" };

	if (!m || !m->up || m->silent) {
		answer_start(p, i, BW_ORDER_LOST);
		return;
	}
	if (!p->starts_unanswered)
		answer_start(p, i, BW_ORDER_OK);
	assert_true(m->run_count < RUNS_MAX);
	m->began_ms[m->run_count] = p->o.now_ms;
	m->runs[m->run_count++] = row;
	if (!p->crashing_job || strcmp(row.task.job, p->crashing_job) != 0)
		return;
	p->crashes++;
	crash(p, m);
}

static void drop_run(machine_t *m, uint32_t i)
{
	m->run_count--;
	m->runs[i] = m->runs[m->run_count];
	m->began_ms[i] = m->began_ms[m->run_count];
}

/* Reports the runs of a worker, and the end of those whose time has come. */
static void report(pool_t *p, machine_t *m)
{
	bw_end_row_t ends[RUNS_MAX];
	uint32_t end_count = 0;
	uint32_t i = m->run_count;

	while (i-- > 0) {
		int64_t age_ms = p->o.now_ms - m->began_ms[i];

		m->runs[i].progress = age_ms >= STARTUP_MS ? 100 : 50;
		if (p->run_ms == 0 || age_ms < p->run_ms)
			continue;
		ends[end_count++] = (bw_end_row_t){ .number = ++p->last_end,
						    .task = m->runs[i].task,
						    .run = m->runs[i].run,
						    .kind = BW_END_DONE,
						    .checkpoint = "" };
		drop_run(m, i);
	}
	orders_answer_as_boot(&p->o, m->worker, 5 + m->boots, m->runs,
			      m->run_count, ends, end_count);
}

static void step(pool_t *p)
{
	uint32_t i;

	for (i = 0; i < p->machine_count; i++) {
		machine_t *m = &p->machines[i];

		if (!m->up && m->back_ms > 0 && p->o.now_ms >= m->back_ms)
			boot(p, m);
		if (m->up && !m->silent)
			report(p, m);
	}
	orders_save(&p->o);
	orders_run(&p->o, STEP_MS);
	while (p->handled < p->o.start_count)
		carry_out(p, p->handled++);
	if (p->handled < ORDERS_MAX / 2)
		return;
	p->handled = 0;
	p->o.start_count = 0;
}

static void play(pool_t *p, int64_t ms)
{
	int64_t end_ms = p->o.now_ms + ms;

	while (p->o.now_ms < end_ms)
		step(p);
}

static void begin(pool_t *p, uint32_t machines)
{
	uint32_t i;

	memset(p, 0, sizeof(*p));
	orders_begin(&p->o);
	p->back_ms = BACK_MS;
	p->machine_count = machines;
	for (i = 0; i < machines; i++) {
		g_snprintf(p->machines[i].name, sizeof(p->machines[i].name),
			   "m%u", i);
		boot(p, &p->machines[i]);
	}
	orders_save(&p->o);
	orders_run(&p->o, 10);
}

static void end(pool_t *p)
{
	bw_sched_destroy(p->o.sched);
}

static bw_job_state_t state_of(const pool_t *p, const char *job)
{
	return bw_sched_job_state(p->o.sched, job);
}

static uint32_t starts_of(const pool_t *p, const char *job)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < p->o.start_count; i++)
		count += !strcmp(p->o.starts[i].task.job, job);
	return count;
}

/* Lets time pass until so many runs of a job's tasks were started. */
static void await_starts(pool_t *p, const char *job, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < AWAIT_STEPS && starts_of(p, job) < count; i++)
		step(p);
	assert_true(starts_of(p, job) >= count);
}

static void await_crashes(pool_t *p, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < AWAIT_STEPS && p->crashes < count; i++)
		step(p);
}

static machine_t *machine_of(pool_t *p, const char *job)
{
	uint32_t i = p->o.start_count;

	while (i-- > 0)
		if (!strcmp(p->o.starts[i].task.job, job))
			return machine_with(p, p->o.starts[i].worker);
	return NULL;
}

static void test_restarts_under_one_identifier_hide_crashes(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 6);
	p.same_id = true;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, true, 1000, 0);
	play(&p, 60000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* It was started 14 times, each on another worker. */
static void test_crashing_task_is_started_for_ever(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 6);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 60000);
	assert_int_equal(p.crashes, 2);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* The grant ends before the machine is back, and the task starts elsewhere. */
static void test_crash_proven_after_the_grant_is_forgotten(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 12);
	p.back_ms = 7000;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 90000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* Machines that take long to be back hide all crashes for a while. */
static void test_slow_machines_hide_crashes(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 24);
	p.back_ms = 30000;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 180000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* The crash comes before the answer to the start. */
static void test_unanswered_starts_hide_crashes(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 6);
	p.starts_unanswered = true;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 60000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

static void test_neighbours_are_blamed(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 6);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_B, 4, false, 1000, 500);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	orders_add_job(&p.o, JOB_EARLY, 2, false, 1000, 500);
	play(&p, 30000);
	assert_int_equal(p.crashes, 2);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	assert_int_equal(state_of(&p, JOB_B), BW_JOB_RUNNING);
	assert_int_equal(state_of(&p, JOB_EARLY), BW_JOB_RUNNING);
	assert_true(starts_of(&p, JOB_B) > 4);
	end(&p);
}

/* The other tasks of its job are stopped, and a successor starts none. */
static void test_job_of_given_up_task_goes_on(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 2, false, 8000, 500);
	for (i = 0; i < 2; i++) {
		play(&p, 100);
		crash(&p,
		      machine_with(&p, p.o.starts[p.o.start_count - 1].worker));
		play(&p, BACK_MS + STEP_MS);
	}
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	assert_int_equal(p.o.stop_count, 1);
	end(&p);
}

/* Passes the pool to a successor, in order or after a crash of the owner. */
static void change_owner(pool_t *p, bool in_order)
{
	uint8_t *data;
	size_t bytes;
	orders_t before = p->o;
	uint32_t i;

	if (in_order)
		bw_sched_hand_over(before.sched);
	data = bw_sched_pack(before.sched, &bytes);
	bw_sched_destroy(before.sched);
	orders_begin(&p->o);
	p->o.now_ms = before.now_ms;
	assert_int_equal(bw_sched_load(p->o.sched, p->o.now_ms, data, bytes),
			 BW_OK);
	g_free(data);
	for (i = 0; i < p->machine_count; i++)
		register_machine(p, &p->machines[i], false);
	p->handled = 0;
}

static void test_successor_counts_from_nothing(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 6);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 200);
	assert_int_equal(p.crashes, 1);
	/* Its machine is back, and nothing is started before the change. */
	bw_sched_allow_orders(p.o.sched, false);
	play(&p, BACK_MS);
	change_owner(&p, true);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 30000);
	assert_int_equal(p.crashes, 2);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* Each owner but the first ends before it learns of the crash. */
static void test_changes_of_owner_hide_crashes(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 12);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, BACK_MS);
	for (i = 0; i < 8; i++) {
		await_crashes(&p, MIN(i + 2, CRASHES_TOLERATED));
		play(&p, 500);
		/* One owner learns of its crash. */
		play(&p, i == 3 ? BACK_MS : 0);
		change_owner(&p, false);
		orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	}
	play(&p, 30000);
	assert_in_range(p.crashes, 2, CRASHES_TOLERATED);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* Three crashes are hidden by changes of owner, others by slow machines. */
static void test_hidden_crashes_are_forgotten(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 16);
	p.back_ms = 9000;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 3; i++) {
		await_crashes(&p, i + 1);
		assert_int_equal(p.crashes, i + 1);
		play(&p, 300);
		change_owner(&p, false);
		orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	}
	play(&p, 90000);
	assert_in_range(p.crashes, 4, CRASHES_TOLERATED);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	end(&p);
}

/* Two jobs that crashed a worker together tell nothing when they start so. */
static void test_suspects_share_a_worker(void **state)
{
	pool_t p;
	const machine_t *a;

	(void)state;
	begin(&p, 5);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	orders_add_job(&p.o, JOB_B, 1, false, 1000, 500);
	orders_run(&p.o, 10);
	a = machine_of(&p, JOB_A);
	assert_ptr_equal(a, machine_of(&p, JOB_B));
	step(&p);
	crash(&p, machine_of(&p, JOB_A));
	play(&p, BACK_MS + 2 * STEP_MS);
	assert_int_equal(starts_of(&p, JOB_A), 2);
	assert_int_equal(starts_of(&p, JOB_B), 2);
	assert_ptr_not_equal(machine_of(&p, JOB_A), machine_of(&p, JOB_B));
	/* Nor on the machine that has just crashed. */
	assert_ptr_not_equal(machine_of(&p, JOB_A), a);
	assert_ptr_not_equal(machine_of(&p, JOB_B), a);
	end(&p);
}

/* While a suspect starts, another start on its worker would be blamed too. */
static void test_task_starts_beside_starting_suspect(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 2);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	step(&p);
	crash(&p, machine_of(&p, JOB_A));
	await_starts(&p, JOB_A, 2);
	orders_add_job(&p.o, JOB_B, 16, false, 1000, 500);
	orders_run(&p.o, 10);
	for (i = 2; i < p.o.start_count; i++)
		assert_string_not_equal(p.o.starts[i].worker,
					machine_of(&p, JOB_A)->worker);
	assert_int_equal(starts_of(&p, JOB_B), 8);
	play(&p, 300);
	assert_int_equal(starts_of(&p, JOB_B), 15);
	end(&p);
}

/* Adds a job that goes before late ones, with a new run on each worker. */
static void add_sound_job(pool_t *p, uint32_t number)
{
	char id[BW_JOB_ID_CHARS + 1];

	g_snprintf(id, sizeof(id), "%016x", 1000 + number);
	orders_add_job(&p->o, id, p->machine_count, false, 5000, 500);
}

/* Where every worker has new runs all the time, a suspect still starts. */
static void test_suspect_waits_for_ever(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 2);
	p.back_ms = 4000;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 2000);
	step(&p);
	crash(&p, machine_of(&p, JOB_A));
	p.run_ms = STEP_MS;
	play(&p, p.back_ms - STEP_MS);
	for (i = 0; i < 200 && starts_of(&p, JOB_A) < 2; i++) {
		add_sound_job(&p, i);
		step(&p);
	}
	assert_int_equal(starts_of(&p, JOB_A), 2);
	assert_in_range(i * STEP_MS, 4000, 4000 + 4 * STEP_MS);
	end(&p);
}

/* The suspect is the first of its step, and no worker suits it. */
static void test_waiting_suspect_holds_up_its_step(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 2);
	orders_add_job(&p.o, JOB_A, 3, false, 5000, 500);
	step(&p);
	assert_int_equal(starts_of(&p, JOB_A), 2);
	crash(&p, machine_with(&p, p.o.starts[0].worker));
	play(&p, BACK_MS - STEP_MS);
	orders_add_job(&p.o, JOB_B, 1, false, 3000, 500);
	await_starts(&p, JOB_B, 1);
	orders_add_job(&p.o, JOB_EARLY, 1, false, 3000, 500);
	play(&p, 3 * STEP_MS);
	assert_int_equal(starts_of(&p, JOB_A), 3);
	assert_int_equal(p.o.starts[p.o.start_count - 1].task.index, 2);
	end(&p);
}

/* After a crash under many runs most workers would wait for suspects. */
static void test_suspects_take_all_workers(void **state)
{
	GHashTable *workers = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t before;
	uint32_t i;
	pool_t p;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 8, false, 1000, 500);
	step(&p);
	crash(&p, machine_of(&p, JOB_A));
	before = p.o.start_count;
	await_starts(&p, JOB_A, before + 1);
	for (i = before; i < p.o.start_count; i++)
		g_hash_table_add(workers, p.o.starts[i].worker);
	assert_int_equal(g_hash_table_size(workers), 3);
	assert_int_equal(p.o.start_count - before, 3);
	play(&p, 1000);
	assert_int_equal(starts_of(&p, JOB_A), 16);
	g_hash_table_destroy(workers);
	end(&p);
}

static void test_ordered_end_counts_as_crash(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 6; i++) {
		machine_t *m;

		step(&p);
		assert_int_equal(starts_of(&p, JOB_A), i + 1);
		m = machine_of(&p, JOB_A);
		bw_sched_worker_dead(p.o.sched, m->worker, "upkeep-or-move");
		crash(&p, m);
	}
	play(&p, 6000);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_RUNNING);
	end(&p);
}

/* Ends the worker of a task again and again, while it is being emptied. */
static void end_emptied_workers(pool_t *p, bool draining)
{
	uint32_t i;

	begin(p, 6);
	orders_add_job(&p->o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 6; i++) {
		machine_t *m;

		await_starts(p, JOB_A, i + 1);
		m = machine_of(p, JOB_A);
		if (draining)
			register_machine(p, m, true);
		else
			bw_sched_worker_cordon(p->o.sched, m->worker, true);
		crash(p, m);
		play(p, BACK_MS);
	}
	play(p, 1000);
	assert_int_equal(state_of(p, JOB_A), BW_JOB_RUNNING);
	assert_int_equal(starts_of(p, JOB_A), 7);
	end(p);
}

static void test_drained_end_counts_as_crash(void **state)
{
	pool_t p;

	(void)state;
	end_emptied_workers(&p, true);
}

/* The machine may be back before its owner learns of the order. */
static void test_cordoned_end_counts_as_crash(void **state)
{
	pool_t p;

	(void)state;
	end_emptied_workers(&p, false);
}

/* A worker that is heard of again has not crashed. */
static void test_silence_counts_as_crash(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 12);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 6; i++) {
		machine_t *m;

		step(&p);
		m = machine_of(&p, JOB_A);
		m->silent = true;
		play(&p, 7000);
		assert_int_equal(starts_of(&p, JOB_A), i + 2);
		m->silent = false;
		m->run_count = 0;
	}
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_RUNNING);
	end(&p);
}

/* Lasting tasks run through all crashes of the day. */
static void test_ready_lasting_task_is_blamed(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, true, 1000, 0);
	for (i = 0; i < 8; i++) {
		play(&p, 2000);
		assert_int_equal(starts_of(&p, JOB_A), i + 1);
		crash(&p, machine_of(&p, JOB_A));
		play(&p, BACK_MS + 4 * STEP_MS);
	}
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_RUNNING);
	end(&p);
}

/* Three crashes during its start, with a minute at work after each. */
static void test_long_ready_lasting_task_stays_suspect(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, true, 1000, 0);
	for (i = 0; i < 6; i++) {
		step(&p);
		crash(&p, machine_of(&p, JOB_A));
		play(&p, 70000);
		assert_int_equal(state_of(&p, JOB_A), BW_JOB_RUNNING);
		/* A planned end, so that it starts again. */
		bw_sched_worker_dead(p.o.sched, machine_of(&p, JOB_A)->worker,
				     "upkeep-or-move");
		crash(&p, machine_of(&p, JOB_A));
	}
	end(&p);
}

/* It crashes its workers some time after its start. */
static void test_late_crashes_go_on(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 8 && state_of(&p, JOB_A) != BW_JOB_FAILED; i++) {
		play(&p, 1000);
		crash(&p, machine_of(&p, JOB_A));
		play(&p, BACK_MS + 4 * STEP_MS);
	}
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_FAILED);
	assert_int_equal(starts_of(&p, JOB_A), 4);
	end(&p);
}

/* The first crash tells nothing of a task that had survived its start. */
static void test_crash_without_suspicion_gives_up(void **state)
{
	pool_t p;

	(void)state;
	begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	play(&p, 1000);
	crash(&p, machine_of(&p, JOB_A));
	play(&p, BACK_MS + 2 * STEP_MS);
	assert_int_equal(starts_of(&p, JOB_A), 2);
	crash(&p, machine_of(&p, JOB_A));
	play(&p, BACK_MS + 4 * STEP_MS);
	assert_int_equal(state_of(&p, JOB_A), BW_JOB_RUNNING);
	end(&p);
}

/** Jobs of a day with drawn crashes. */
#define DAY_JOBS    200
#define DAYS	    20
#define DAY_TEST_MS 100000

static void crash_drawn(pool_t *p, const int64_t *crash_ms, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		machine_t *m = &p->machines[i % (p->machine_count / 6)];

		if (m->up && crash_ms[i] <= p->o.now_ms &&
		    p->o.now_ms < crash_ms[i] + STEP_MS)
			crash(p, m);
	}
}

/* A seventh of the workers crashes three times, under jobs that are sound. */
static uint32_t play_day_of_crashes(uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	int64_t crash_ms[12];
	uint32_t failed = 0;
	uint32_t added = 0;
	char id[BW_JOB_ID_CHARS + 1];
	pool_t p;
	uint32_t i;

	begin(&p, 24);
	p.run_ms = 2000;
	for (i = 0; i < G_N_ELEMENTS(crash_ms); i++)
		crash_ms[i] = g_rand_int_range(rand, 2000, DAY_TEST_MS - 10000);
	while (p.o.now_ms < DAY_TEST_MS) {
		if (added < DAY_JOBS && g_rand_double(rand) < 0.5) {
			g_snprintf(id, sizeof(id), "%016x", ++added);
			orders_add_job(&p.o, id,
				       (uint32_t)g_rand_int_range(rand, 1, 20),
				       added % 50 == 0, 1000, 2000);
		}
		crash_drawn(&p, crash_ms, G_N_ELEMENTS(crash_ms));
		step(&p);
	}
	for (i = 1; i <= added; i++) {
		g_snprintf(id, sizeof(id), "%016x", i);
		failed += state_of(&p, id) == BW_JOB_FAILED;
	}
	end(&p);
	g_rand_free(rand);
	return failed;
}

static void test_day_of_crashes_fails_sound_jobs(void **state)
{
	uint32_t seed;

	(void)state;
	for (seed = 1; seed <= DAYS; seed++)
		assert_int_equal(play_day_of_crashes(seed), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crashing_task_is_started_for_ever),
		cmocka_unit_test(
			test_restarts_under_one_identifier_hide_crashes),
		cmocka_unit_test(
			test_crash_proven_after_the_grant_is_forgotten),
		cmocka_unit_test(test_slow_machines_hide_crashes),
		cmocka_unit_test(test_unanswered_starts_hide_crashes),
		cmocka_unit_test(test_neighbours_are_blamed),
		cmocka_unit_test(test_job_of_given_up_task_goes_on),
		cmocka_unit_test(test_successor_counts_from_nothing),
		cmocka_unit_test(test_changes_of_owner_hide_crashes),
		cmocka_unit_test(test_hidden_crashes_are_forgotten),
		cmocka_unit_test(test_suspects_share_a_worker),
		cmocka_unit_test(test_task_starts_beside_starting_suspect),
		cmocka_unit_test(test_suspect_waits_for_ever),
		cmocka_unit_test(test_waiting_suspect_holds_up_its_step),
		cmocka_unit_test(test_suspects_take_all_workers),
		cmocka_unit_test(test_ordered_end_counts_as_crash),
		cmocka_unit_test(test_drained_end_counts_as_crash),
		cmocka_unit_test(test_cordoned_end_counts_as_crash),
		cmocka_unit_test(test_silence_counts_as_crash),
		cmocka_unit_test(test_ready_lasting_task_is_blamed),
		cmocka_unit_test(test_long_ready_lasting_task_stays_suspect),
		cmocka_unit_test(test_late_crashes_go_on),
		cmocka_unit_test(test_crash_without_suspicion_gives_up),
		cmocka_unit_test(test_day_of_crashes_fails_sound_jobs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
