#include "crash_pool.h"

#include "test.h"

#include <string.h>

#include <glib.h>

/** Steps in which an awaited start has to come. */
#define AWAIT_STEPS 200
/** The time after which a lasting task is ready. */
#define STARTUP_MS 500

void pool_register(const pool_t *p, const machine_t *m, bool draining)
{
	bw_worker_info_t info = { .id = m->worker,
				  .address = "10.0.0.1:1",
				  .capacity = { 8000, 8000, 0 },
				  .machine = m->name,
				  .started_ms = 5 + m->boots,
				  .draining = draining };

	bw_sched_worker_registered(p->o.sched, p->o.now_ms, &info);
}

void pool_boot(pool_t *p, machine_t *m)
{
	m->boots++;
	m->up = true;
	m->run_count = 0;
	g_snprintf(m->worker, sizeof(m->worker), "%s-%u", m->name,
		   p->same_id ? 1 : m->boots);
	pool_register(p, m, false);
	orders_answer_as_boot(&p->o, m->worker, 5 + m->boots, NULL, 0, NULL, 0);
}

void pool_crash(const pool_t *p, machine_t *m)
{
	m->up = false;
	m->run_count = 0;
	m->back_ms = p->o.now_ms + p->back_ms;
}

machine_t *pool_machine_with(pool_t *p, const char *worker)
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
	machine_t *m = pool_machine_with(p, p->o.starts[i].worker);
	bw_run_row_t row = { .task = p->o.starts[i].task,
			     .run = p->o.starts[i].run,
			     .checkpoint = "" };

	if (!m || !m->up || m->silent) {
		answer_start(p, i, BW_ORDER_LOST);
		return;
	}
	if (p->late_starts)
		pool_boot(p, m);
	if (!p->starts_unanswered)
		answer_start(p, i,
			     p->starts_refused ? BW_ORDER_OLD_RUN
					       : BW_ORDER_OK);
	if (p->starts_refused)
		return;
	assert_true(m->run_count < RUNS_MAX);
	m->began_ms[m->run_count] = p->o.now_ms;
	m->runs[m->run_count++] = row;
	if (!p->crashing_job || strcmp(row.task.job, p->crashing_job) != 0)
		return;
	p->crashes++;
	pool_crash(p, m);
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
						    .kind = p->end_kind,
						    .checkpoint = "" };
		drop_run(m, i);
	}
	orders_answer_as_boot(&p->o, m->worker, 5 + m->boots, m->runs,
			      m->run_count, ends, end_count);
}

/* The controller tells of a crashed worker, in each round until its machine is
 * up again. */
static void tell_end(const pool_t *p, machine_t *m)
{
	Bramley__PoolOrder order = BRAMLEY__POOL_ORDER__INIT;
	char *worker = m->worker;
	int64_t started_ms = 5 + m->boots;
	uint32_t cause = p->told_cause;

	if (p->unlisted_ms == 0 || m->up || m->back_ms == 0 ||
	    p->o.now_ms < m->back_ms - p->back_ms + p->unlisted_ms)
		return;
	order.dead = &worker;
	order.n_dead = 1;
	order.dead_started_ms = &started_ms;
	order.n_dead_started_ms = 1;
	order.dead_causes = &cause;
	order.n_dead_causes = 1;
	bw_reports_apply_order(p->o.sched, p->o.now_ms, &order);
}

void pool_step(pool_t *p)
{
	uint32_t i;

	for (i = 0; i < p->machine_count; i++) {
		machine_t *m = &p->machines[i];

		if (!m->up && m->back_ms > 0 && p->o.now_ms >= m->back_ms)
			pool_boot(p, m);
		tell_end(p, m);
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

void pool_play(pool_t *p, int64_t ms)
{
	int64_t end_ms = p->o.now_ms + ms;

	while (p->o.now_ms < end_ms)
		pool_step(p);
}

void pool_begin(pool_t *p, uint32_t machines)
{
	uint32_t i;

	memset(p, 0, sizeof(*p));
	orders_begin(&p->o);
	p->back_ms = BACK_MS;
	p->machine_count = machines;
	for (i = 0; i < machines; i++) {
		g_snprintf(p->machines[i].name, sizeof(p->machines[i].name),
			   "m%u", i);
		pool_boot(p, &p->machines[i]);
	}
	orders_save(&p->o);
	orders_run(&p->o, 10);
}

void pool_end(pool_t *p)
{
	bw_sched_destroy(p->o.sched);
}

bw_job_state_t pool_state_of(const pool_t *p, const char *job)
{
	return bw_sched_job_state(p->o.sched, job);
}

uint32_t pool_starts_of(const pool_t *p, const char *job)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < p->o.start_count; i++)
		count += !strcmp(p->o.starts[i].task.job, job);
	return count;
}

void pool_await_starts(pool_t *p, const char *job, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < AWAIT_STEPS && pool_starts_of(p, job) < count; i++)
		pool_step(p);
	assert_true(pool_starts_of(p, job) >= count);
}

void pool_await_crashes(pool_t *p, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < AWAIT_STEPS && p->crashes < count; i++)
		pool_step(p);
}

machine_t *pool_machine_of(pool_t *p, const char *job)
{
	uint32_t i = p->o.start_count;

	while (i-- > 0)
		if (!strcmp(p->o.starts[i].task.job, job))
			return pool_machine_with(p, p->o.starts[i].worker);
	return NULL;
}

void pool_change_owner(pool_t *p, bool in_order)
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
		pool_register(p, &p->machines[i], false);
	p->handled = 0;
}
