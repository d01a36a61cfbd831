/* Advice on the workers that may run a step. */
#include "test.h"

#include <glib.h>

#include "sched_orders.h"

/** Workers that a call for advice may name. */
#define NAMED_MAX 100
#define WORKERS	  104
#define VALID_MS  3000

static const bw_queue_config_t advised_queue = { "q",
						 { 0, 3, 1.6, 600, true } };

/* A pool of many workers, and a job of one task that needs advice. */
static void begin(orders_t *o, uint32_t workers)
{
	char id[16];
	uint32_t i;

	orders_begin(o);
	bw_sched_set_queue(o->sched, &advised_queue);
	for (i = 0; i < workers; i++) {
		g_snprintf(id, sizeof(id), "w%u", i);
		orders_add_worker(o, id);
		orders_answer_heartbeat(o, id, NULL, 0, NULL, 0);
	}
	orders_save(o);
	orders_add_job(o, JOB_A, 1, false, 1000, 500);
	orders_run(o, 10);
}

/* Answers a call with one worker, or none. */
static void advise(orders_t *o, const char *worker)
{
	const bw_task_name_t step = { .job = JOB_A };
	const char *ticket = "t";

	bw_sched_advised(o->sched, o->now_ms, &step, &worker, &ticket,
			 worker ? 1 : 0, VALID_MS);
	orders_run(o, 10);
}

/* Failure: a call named all workers of a pool of more than the service takes,
 * which refused it, and nothing of the queue was started. */
static void test_call_names_more_workers_than_it_may(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, WORKERS);
	assert_int_equal(o.advice_calls, 1);
	assert_int_equal(o.advice_count, NAMED_MAX);
	advise(&o, o.advised[3]);
	assert_int_equal(o.start_count, 1);
	assert_string_equal(o.starts[0].worker, o.advised[3]);
	bw_sched_destroy(o.sched);
}

/* Failure: only the first workers are ever asked about, and none may run it. */
static void test_workers_that_were_not_named_are_asked_about(void **state)
{
	orders_t o;
	bool named = false;
	uint32_t i;

	(void)state;
	begin(&o, WORKERS);
	for (i = 0; i < NAMED_MAX; i++)
		named |= g_str_equal(o.advised[i], "w103");
	assert_false(named);
	advise(&o, NULL);
	assert_int_equal(o.advice_calls, 2);
	assert_string_equal(o.advised[3], "w103");
	advise(&o, "w103");
	assert_int_equal(o.start_count, 1);
	assert_string_equal(o.starts[0].worker, "w103");
	bw_sched_destroy(o.sched);
}

/* Once all workers were named, the advice holds. */
static void test_workers_are_named_once_while_advice_is_valid(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, WORKERS);
	advise(&o, NULL);
	advise(&o, NULL);
	assert_int_equal(o.advice_calls, 2);
	orders_run(&o, VALID_MS / 2);
	assert_int_equal(o.advice_calls, 2);
	bw_sched_destroy(o.sched);
}

/* Advice that names no worker holds while it is valid, if all were named. */
static void test_step_that_no_worker_may_run_waits(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 3);
	assert_int_equal(o.advice_count, 3);
	advise(&o, NULL);
	orders_run(&o, VALID_MS / 2);
	assert_int_equal(o.advice_calls, 1);
	orders_run(&o, VALID_MS);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Failure: a new owner asks before any worker has answered it, and waits until
 * that advice about nobody is outdated. */
static void test_no_advice_is_asked_about_nobody(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 0);
	assert_int_equal(o.advice_calls, 0);
	orders_add_worker(&o, "w1");
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.advice_calls, 1);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_call_names_more_workers_than_it_may),
		cmocka_unit_test(
			test_workers_that_were_not_named_are_asked_about),
		cmocka_unit_test(
			test_workers_are_named_once_while_advice_is_valid),
		cmocka_unit_test(test_step_that_no_worker_may_run_waits),
		cmocka_unit_test(test_no_advice_is_asked_about_nobody),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
