/* Orders to machines that may still be carried out. */
#include "test.h"

#include "base/clock.h"
#include "fleet/machine_calls.h"

#define MINUTE_MS 60000

/** An interface whose answers the test gives. */
typedef struct machines {
	bw_machine_done_fn done;
	void *ctx;
	uint32_t orders;
	uint32_t answers; /**< That the caller has got. */
	bw_machine_result_t result; /**< Of the last of these. */
} machines_t;

static void move(void *impl, const char *machine, const char *pool,
		 const bw_machine_holder_t *holder, bw_machine_done_fn done,
		 void *ctx)
{
	machines_t *m = impl;

	(void)machine;
	(void)pool;
	(void)holder;
	m->orders++;
	m->done = done;
	m->ctx = ctx;
}

static void on_answer(void *ctx, bw_machine_result_t result)
{
	machines_t *m = ctx;

	m->answers++;
	m->result = result;
}

static void order(bw_machine_calls_t *c, machines_t *m)
{
	bw_machine_holder_t holder = { "n", 1 };
	bw_machine_api_t api = bw_machine_calls_api(c);

	api.move(api.impl, "m", "p", &holder, on_answer, m);
}

static bool is_settled_after(const bw_machine_calls_t *c, int64_t ms)
{
	return bw_machine_calls_settled(c, bw_clock_now_ms() + ms);
}

static void test_settled_once_all_orders_have_answers(void **state)
{
	machines_t m = { 0 };
	bw_machine_api_t api = { .impl = &m, .move = move };
	bw_machine_calls_t *c = bw_machine_calls_create(&api);

	(void)state;
	assert_true(is_settled_after(c, 0));
	order(c, &m);
	assert_false(is_settled_after(c, MINUTE_MS));
	m.done(m.ctx, BW_MACHINE_BUSY);
	assert_int_equal(m.answers, 1);
	assert_true(is_settled_after(c, 0));
	bw_machine_calls_destroy(c);
}

/* Failure: the answer is lost, and the order is carried out seconds later. */
static void test_not_settled_while_an_order_may_be_late(void **state)
{
	machines_t m = { 0 };
	bw_machine_api_t api = { .impl = &m, .move = move };
	bw_machine_calls_t *c = bw_machine_calls_create(&api);

	(void)state;
	order(c, &m);
	m.done(m.ctx, BW_MACHINE_FAILED);
	assert_false(is_settled_after(c, 5000));
	assert_true(is_settled_after(c, MINUTE_MS));
	bw_machine_calls_destroy(c);
}

/* The node leaves while an order is under way. */
static void test_orders_end_after_their_owner(void **state)
{
	machines_t m = { 0 };
	bw_machine_api_t api = { .impl = &m, .move = move };
	bw_machine_calls_t *c = bw_machine_calls_create(&api);

	(void)state;
	order(c, &m);
	bw_machine_calls_destroy(c);
	m.done(m.ctx, BW_MACHINE_OK);
	assert_int_equal(m.answers, 1);
}

static void count_machine(void *ctx, const char *machine)
{
	assert_string_equal(machine, "m");
	(*(uint32_t *)ctx)++;
}

/* Failure: two controllers order one machine in turn within a short time. */
static void test_machine_of_an_earlier_controller_is_left_alone(void **state)
{
	machines_t m = { 0 };
	bw_machine_api_t api = { .impl = &m, .move = move };
	bw_machine_calls_t *earlier = bw_machine_calls_create(&api);
	bw_machine_calls_t *next = bw_machine_calls_create(&api);
	uint32_t recent = 0;

	(void)state;
	order(earlier, &m);
	m.done(m.ctx, BW_MACHINE_OK);
	bw_machine_calls_recent(earlier, bw_clock_now_ms() + MINUTE_MS, 3000,
				count_machine, &recent);
	assert_int_equal(recent, 0);
	bw_machine_calls_recent(earlier, bw_clock_now_ms(), 3000, count_machine,
				&recent);
	assert_int_equal(recent, 1);
	bw_machine_calls_hold(next, "m", bw_clock_now_ms() + MINUTE_MS);
	order(next, &m);
	assert_int_equal(m.orders, 1);
	assert_int_equal(m.result, BW_MACHINE_BUSY);
	bw_machine_calls_hold(next, "m", bw_clock_now_ms());
	order(next, &m);
	assert_int_equal(m.orders, 2);
	m.done(m.ctx, BW_MACHINE_OK);
	bw_machine_calls_destroy(next);
	bw_machine_calls_destroy(earlier);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settled_once_all_orders_have_answers),
		cmocka_unit_test(test_not_settled_while_an_order_may_be_late),
		cmocka_unit_test(test_orders_end_after_their_owner),
		cmocka_unit_test(
			test_machine_of_an_earlier_controller_is_left_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
