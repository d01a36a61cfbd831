/* Workers that are forgotten and come back under their identifier: what was
 * ordered before may still be carried out by their next boot. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

#define FIRST_BOOT_MS  5
#define SECOND_BOOT_MS 6
#define THIRD_BOOT_MS  7
/** Clock of a worker that has been up for a while. */
#define OLD_CLOCK_MS 90000
/** A worker without a registration is forgotten within this time: a grant of
 *  5 s by a clock that may be 2 % slow, and the interval of the sweeps. */
#define FORGOTTEN_MS 6000
/** A worker that is silent for this long may have restarted. */
#define SILENT_MS 2500
/** Waits of heartbeats for an end. */
#define WAIT_MS	      1000
#define SHORT_WAIT_MS 250
/** No order is carried out later than this. */
#define ORDERS_OVER_MS 12000
/** The longest hold, in which a grant by the first boot's clock lasts. */
#define HOLD_MS 10000
/** Such a grant that is carried out late lasts no longer than this. */
#define LATE_HOLD_OVER_MS 23000
/** Token of the owner's claim. */
#define CLAIM_TOKEN 7
/** Revisions at which the owner was the owner. */
#define FIRST_REVISION	9
#define SECOND_REVISION 11
#define THIRD_REVISION	13

/* Begins with w1, which runs nothing, and an idle w2. */
static void begin(orders_t *o)
{
	orders_begin_with_worker(o);
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						.clock_ms = OLD_CLOCK_MS });
	orders_add_worker(o, "w2");
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_save(o);
}

/* Lets time pass in which only w2 answers. */
static void pass_without_w1(orders_t *o, int64_t ms)
{
	int64_t end_ms = o->now_ms + ms;

	while (o->now_ms < end_ms) {
		orders_run(o, 100);
		orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
		orders_fail_heartbeat(o, "w1");
	}
}

/* Lets w1 end and its registration be removed, until it is forgotten. */
static void forget_w1(orders_t *o)
{
	bw_sched_worker_unregistered(o->sched, o->now_ms, "w1");
	pass_without_w1(o, FORGOTTEN_MS);
}

static void save_at(orders_t *o, uint64_t revision)
{
	bw_sched_owned_at(o->sched, revision);
	orders_save(o);
}

static void answer_boot(orders_t *o, int64_t started_ms,
			const bw_run_row_t *run)
{
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = started_ms,
						.clock_ms = 50,
						.runs = run,
						.run_count = run ? 1 : 0 });
}

/* Answers the first heartbeat to a boot of w1, saves, and returns the token of
 * the next one. */
static uint64_t token_of_boot(orders_t *o, int64_t started_ms,
			      uint64_t revision)
{
	orders_run(o, 100);
	answer_boot(o, started_ms, NULL);
	save_at(o, revision);
	orders_run(o, 10);
	return o->fence;
}

/*
 * Failure: a start that is held up on its way to a worker that crashes is
 * carried out by its next boot, while the task runs elsewhere: the worker was
 * forgotten meanwhile, so that the boot was sent the same token as the start.
 */
static void
test_next_boot_of_a_forgotten_worker_gets_a_raised_token(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	save_at(&o, FIRST_REVISION);
	forget_w1(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	assert_true(token_of_boot(&o, SECOND_BOOT_MS, SECOND_REVISION) >
		    CLAIM_TOKEN);
	bw_sched_destroy(o.sched);
}

/* The same if an entry does not say when the boot started. */
static void test_boot_of_unknown_start_gets_a_raised_token(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	save_at(&o, FIRST_REVISION);
	forget_w1(&o);
	orders_register_boot(&o, 0);
	assert_true(token_of_boot(&o, 0, SECOND_REVISION) > CLAIM_TOKEN);
	bw_sched_destroy(o.sched);
}

/* The same if the worker is forgotten twice within the delay of an order. */
static void test_boot_after_a_second_restart_gets_a_raised_token(void **state)
{
	uint64_t token;
	orders_t o;

	(void)state;
	begin(&o);
	save_at(&o, FIRST_REVISION);
	forget_w1(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	token = token_of_boot(&o, SECOND_BOOT_MS, SECOND_REVISION);
	forget_w1(&o);
	orders_register_boot(&o, THIRD_BOOT_MS);
	assert_true(token_of_boot(&o, THIRD_BOOT_MS, THIRD_REVISION) > token);
	bw_sched_destroy(o.sched);
}

/* The same if the worker was ended by an order, as of a move. */
static void test_boot_after_an_ordered_end_gets_a_raised_token(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	save_at(&o, FIRST_REVISION);
	bw_sched_worker_dead(o.sched, "w1", "order");
	forget_w1(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	assert_true(token_of_boot(&o, SECOND_BOOT_MS, SECOND_REVISION) >
		    CLAIM_TOKEN);
	bw_sched_destroy(o.sched);
}

/*
 * Failure: a start that is held up is carried out between the next boot's first
 * contact and the token that is raised for it.
 */
static void
test_silent_worker_gets_a_raised_token_at_first_contact(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	orders_run(&o, 100);
	save_at(&o, FIRST_REVISION);
	o.now_ms += SILENT_MS;
	orders_fail_heartbeat(&o, "w1");
	orders_run(&o, 10);
	assert_int_equal(o.fence, FIRST_REVISION);
	bw_sched_destroy(o.sched);
}

/* Failure: in a pool without saves a worker that was silent is asked four times
 * a second for good. */
static void test_silence_without_a_save_keeps_the_wait_long(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	orders_run(&o, 100);
	o.now_ms += SILENT_MS;
	orders_fail_heartbeat(&o, "w1");
	orders_run(&o, 10);
	assert_int_equal(o.fence, CLAIM_TOKEN);
	answer_boot(&o, FIRST_BOOT_MS, NULL);
	orders_run(&o, 10);
	assert_int_equal(o.heartbeat_wait_ms, WAIT_MS);
	bw_sched_destroy(o.sched);
}

/* Failure: an owner that was suspended finds all workers silent, and takes the
 * refusal of its raised token for one of its earlier orders. */
static void test_refusal_of_a_raised_token_tells_of_a_successor(void **state)
{
	bw_heartbeat_answer_t fenced = { .result = BW_ORDER_FENCED };
	orders_t o;

	(void)state;
	begin(&o);
	orders_run(&o, 100);
	save_at(&o, FIRST_REVISION);
	fenced.sent_ms = o.now_ms;
	o.now_ms += SILENT_MS;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w2", &fenced);
	assert_int_equal(o.superseded, 1);
	orders_fail_heartbeat(&o, "w1");
	orders_run(&o, 10);
	assert_int_equal(o.fence, FIRST_REVISION);
	fenced.sent_ms = o.now_ms - 1;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &fenced);
	assert_int_equal(o.superseded, 1);
	orders_run(&o, 300);
	fenced.sent_ms = o.now_ms;
	o.now_ms += 1;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &fenced);
	assert_int_equal(o.superseded, 2);
	bw_sched_destroy(o.sched);
}

/* The next list is not waited for while the token is still to be raised. */
static void
test_wait_for_an_end_is_short_until_the_token_is_raised(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 100);
	answer_boot(&o, SECOND_BOOT_MS, NULL);
	orders_run(&o, 10);
	assert_int_equal(o.heartbeat_wait_ms, SHORT_WAIT_MS);
	answer_boot(&o, SECOND_BOOT_MS, NULL);
	save_at(&o, FIRST_REVISION);
	orders_run(&o, 10);
	assert_int_equal(o.fence, FIRST_REVISION);
	assert_int_equal(o.heartbeat_wait_ms, WAIT_MS);
	bw_sched_destroy(o.sched);
}

/* A worker that comes back when no order is under way is like a new one. */
static void test_worker_is_forgotten_once_its_orders_are_over(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	forget_w1(&o);
	pass_without_w1(&o, ORDERS_OVER_MS);
	orders_register_boot(&o, SECOND_BOOT_MS);
	assert_int_equal(token_of_boot(&o, SECOND_BOOT_MS, SECOND_REVISION),
			 CLAIM_TOKEN);
	bw_sched_destroy(o.sched);
}

/* Takes the pool over, with w2 only, from an owner that has stopped. */
static void succeed(orders_t *before, orders_t *o)
{
	orders_succeed(before, o);
	bw_sched_predecessor_stopped(o->sched, o->now_ms);
	orders_add_worker(o, "w2");
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_save(o);
}

/* Starts a task on the second boot of w1, which then is not heard any more. */
static void start_on_second_boot(orders_t *o)
{
	orders_register_boot(o, SECOND_BOOT_MS);
	bw_sched_worker_cordon(o->sched, "w2", true);
	orders_run(o, 100);
	answer_boot(o, SECOND_BOOT_MS, NULL);
	orders_save(o);
	orders_add_job(o, JOB_A, 1, false, 1000, 500);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	assert_string_equal(o->starts[0].worker, "w1");
	bw_sched_worker_cordon(o->sched, "w2", false);
}

/* Lets the late grant of an earlier boot pass, and the task start elsewhere. */
static void await_late_grant(orders_t *o)
{
	pass_without_w1(o, HOLD_MS);
	assert_int_equal(o->start_count, 1);
	pass_without_w1(o, LATE_HOLD_OVER_MS - HOLD_MS);
	assert_int_equal(o->start_count, 2);
	assert_string_equal(o->starts[1].worker, "w2");
}

/*
 * Failure: the next boot of a forgotten worker carries out a late grant by the
 * clock of the boot before, which it cuts to the longest hold; its run goes on
 * when the owner, which can't reach it, starts the task elsewhere.
 */
static void test_late_grant_to_a_forgotten_worker_is_waited_for(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	forget_w1(&o);
	start_on_second_boot(&o);
	await_late_grant(&o);
	bw_sched_destroy(o.sched);
}

/* The same if the owner that has forgotten it ends meanwhile. */
static void test_late_grant_of_an_earlier_owner_is_waited_for(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before);
	forget_w1(&before);
	succeed(&before, &o);
	start_on_second_boot(&o);
	await_late_grant(&o);
	bw_sched_destroy(o.sched);
}

/* The same if that owner hands the pool over, and w1 ran nothing. */
static void test_late_grant_before_a_handover_is_waited_for(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before);
	bw_sched_worker_unregistered(before.sched, before.now_ms, "w1");
	orders_run(&before, 100);
	bw_sched_hand_over(before.sched);
	succeed(&before, &o);
	start_on_second_boot(&o);
	await_late_grant(&o);
	bw_sched_destroy(o.sched);
}

/* The boot that was known comes back: nothing of it is over, and a token that
 * it has seen is not lowered, which would be taken for a later owner's. */
static void test_known_boot_that_comes_back_gets_no_lower_token(void **state)
{
	uint64_t token;
	orders_t o;

	(void)state;
	begin(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	token = token_of_boot(&o, SECOND_BOOT_MS, SECOND_REVISION);
	assert_true(token > CLAIM_TOKEN);
	bw_sched_worker_unregistered(o.sched, o.now_ms, "w1");
	pass_without_w1(&o, LATE_HOLD_OVER_MS);
	orders_register_boot(&o, SECOND_BOOT_MS);
	assert_true(token_of_boot(&o, SECOND_BOOT_MS, SECOND_REVISION) >=
		    token);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_next_boot_of_a_forgotten_worker_gets_a_raised_token),
		cmocka_unit_test(
			test_boot_of_unknown_start_gets_a_raised_token),
		cmocka_unit_test(
			test_boot_after_a_second_restart_gets_a_raised_token),
		cmocka_unit_test(
			test_boot_after_an_ordered_end_gets_a_raised_token),
		cmocka_unit_test(
			test_silent_worker_gets_a_raised_token_at_first_contact),
		cmocka_unit_test(
			test_silence_without_a_save_keeps_the_wait_long),
		cmocka_unit_test(
			test_refusal_of_a_raised_token_tells_of_a_successor),
		cmocka_unit_test(
			test_wait_for_an_end_is_short_until_the_token_is_raised),
		cmocka_unit_test(
			test_worker_is_forgotten_once_its_orders_are_over),
		cmocka_unit_test(
			test_late_grant_to_a_forgotten_worker_is_waited_for),
		cmocka_unit_test(
			test_late_grant_of_an_earlier_owner_is_waited_for),
		cmocka_unit_test(
			test_late_grant_before_a_handover_is_waited_for),
		cmocka_unit_test(
			test_known_boot_that_comes_back_gets_no_lower_token),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
