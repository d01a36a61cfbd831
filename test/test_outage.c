/* Whether a node that can't renew its lease may give orders. */
#include "test.h"

#include <glib.h>

#include "fleet/outage.h"

#define GRACE_MS     1500
#define LEASE_END_MS 10000
#define PEERS	     4

typedef struct outage_test {
	bw_outage_t *outage;
	bw_outage_view_t view;
} outage_test_t;

/* All other nodes are registered, or have been. */
static void register_nodes(outage_test_t *t, int64_t now_ms, bool registered)
{
	static const char *const names[PEERS] = { "b", "c", "d", "e" };
	uint32_t i;

	for (i = 0; i < PEERS; i++)
		bw_outage_node(t->outage, now_ms, names[i], registered);
}

static void set_up(outage_test_t *t)
{
	t->outage = bw_outage_create(GRACE_MS);
	t->view = (bw_outage_view_t){ .lease_end_ms = LEASE_END_MS,
				      .store_reachable = false };
	register_nodes(t, 0, true);
}

/* A number of peers report that they can or can't reach the store, and when it
 * last answered. */
static void report(outage_test_t *t, int64_t now_ms, uint32_t peers,
		   bool reachable, int64_t answered_ms)
{
	uint32_t i;

	for (i = 0; i < peers; i++) {
		bw_store_report_t r = { i + 1, reachable, answered_ms };

		bw_outage_report(t->outage, now_ms, &r);
	}
}

static bool may_order(outage_test_t *t, int64_t now_ms)
{
	return bw_outage_may_order(t->outage, now_ms, &t->view);
}

static void test_orders_go_on_while_the_store_is_down_for_all(void **state)
{
	outage_test_t t;
	int64_t now_ms;

	(void)state;
	set_up(&t);
	assert_true(may_order(&t, LEASE_END_MS - 1));
	for (now_ms = LEASE_END_MS; now_ms < LEASE_END_MS + 9000;
	     now_ms += 500) {
		report(&t, now_ms, PEERS, false, LEASE_END_MS - 1600);
		assert_true(may_order(&t, now_ms));
	}
	bw_outage_destroy(t.outage);
}

/* Peers that find out later than the lease ends don't end the orders. */
static void test_peers_find_out_a_little_later(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	report(&t, LEASE_END_MS - 100, PEERS, true, LEASE_END_MS - 1700);
	assert_false(may_order(&t, LEASE_END_MS));
	report(&t, LEASE_END_MS + 400, PEERS, false, LEASE_END_MS - 1700);
	assert_true(may_order(&t, LEASE_END_MS + 400));
	bw_outage_destroy(t.outage);
}

/*
 * Failure: an owner that alone was turned away, whose pool another node has
 * claimed, gives orders again once the store is down for all.
 */
static void test_owner_resumes_beside_its_successor(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	report(&t, LEASE_END_MS, PEERS, true, LEASE_END_MS - 10);
	assert_false(may_order(&t, LEASE_END_MS));
	report(&t, LEASE_END_MS + 500, PEERS, true, LEASE_END_MS + 400);
	assert_false(may_order(&t, LEASE_END_MS + 500));
	report(&t, LEASE_END_MS + 1300, PEERS, false, LEASE_END_MS + 400);
	assert_false(may_order(&t, LEASE_END_MS + 1300));
	bw_outage_destroy(t.outage);
}

/* Failure: the same, and the answer is known only from a report of later. */
static void test_answer_is_told_with_the_outage(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	report(&t, LEASE_END_MS + 900, PEERS, false, LEASE_END_MS + 100);
	assert_false(may_order(&t, LEASE_END_MS + 900));
	bw_outage_destroy(t.outage);
}

/* Failure: the same, and it had no report for a while. */
static void test_owner_resumes_after_a_long_silence(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	assert_false(may_order(&t, LEASE_END_MS));
	assert_false(may_order(&t, LEASE_END_MS + GRACE_MS));
	report(&t, LEASE_END_MS + 3000, PEERS, false, LEASE_END_MS - 1600);
	assert_false(may_order(&t, LEASE_END_MS + 3000));
	bw_outage_destroy(t.outage);
}

/* Failure: the store is back for a moment, in which others may claim pools. */
static void test_owner_resumes_after_a_moment_without_outage(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	report(&t, LEASE_END_MS, PEERS, false, 0);
	assert_true(may_order(&t, LEASE_END_MS));
	report(&t, LEASE_END_MS + 3000, PEERS, false, 0);
	assert_true(may_order(&t, LEASE_END_MS + 3000));
	report(&t, LEASE_END_MS + 3400, 1, true, LEASE_END_MS + 3390);
	assert_false(may_order(&t, LEASE_END_MS + 3400));
	report(&t, LEASE_END_MS + 3500, PEERS, false, LEASE_END_MS + 3390);
	assert_false(may_order(&t, LEASE_END_MS + 3500));
	bw_outage_destroy(t.outage);
}

static void test_renewal_allows_orders_again(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	report(&t, LEASE_END_MS + 500, PEERS, true, LEASE_END_MS + 400);
	assert_false(may_order(&t, LEASE_END_MS + 500));
	t.view.lease_end_ms = LEASE_END_MS + 2500;
	assert_true(may_order(&t, LEASE_END_MS + 600));
	report(&t, LEASE_END_MS + 2500, PEERS, false, LEASE_END_MS + 900);
	assert_true(may_order(&t, LEASE_END_MS + 2500));
	bw_outage_destroy(t.outage);
}

/* Half of the nodes are not enough, and a report is valid for 1.2 s. */
static void test_few_reports_are_no_outage(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	report(&t, LEASE_END_MS, 1, false, 0);
	assert_false(may_order(&t, LEASE_END_MS));
	report(&t, LEASE_END_MS + 100, 2, false, 0);
	assert_true(may_order(&t, LEASE_END_MS + 100));
	assert_false(may_order(&t, LEASE_END_MS + 1400));
	report(&t, LEASE_END_MS + 1450, 1, false, 0);
	assert_false(may_order(&t, LEASE_END_MS + 1450));
	bw_outage_destroy(t.outage);
}

/*
 * Failure: all other nodes have lost power, and are back unseen by this one,
 * which the store turns away: it takes that for an outage without end.
 */
static void test_nodes_that_have_gone_may_be_back(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	register_nodes(&t, LEASE_END_MS - 3000, false);
	assert_false(may_order(&t, LEASE_END_MS));
	bw_outage_destroy(t.outage);
}

/* Nodes that have gone for good are not waited for in each outage. */
static void test_nodes_that_are_gone_for_long_do_not_count(void **state)
{
	outage_test_t t;

	(void)state;
	set_up(&t);
	register_nodes(&t, LEASE_END_MS - 30000, false);
	bw_outage_node(t.outage, LEASE_END_MS - 20000, "f", true);
	report(&t, LEASE_END_MS, 1, false, 0);
	assert_true(may_order(&t, LEASE_END_MS));
	bw_outage_destroy(t.outage);
}

/* Failure: the same with a node that never had others in sight. */
static void test_node_without_others_sees_no_outage(void **state)
{
	outage_test_t t = { .view = { .lease_end_ms = LEASE_END_MS } };

	(void)state;
	t.outage = bw_outage_create(GRACE_MS);
	assert_true(may_order(&t, LEASE_END_MS - 1));
	assert_false(may_order(&t, LEASE_END_MS));
	bw_outage_destroy(t.outage);
}

/* One of the other nodes reports. */
static void report_one(outage_test_t *t, int64_t now_ms, uint64_t peer,
		       bool reachable)
{
	bw_store_report_t r = { peer, reachable, LEASE_END_MS - 1600 };

	bw_outage_report(t->outage, now_ms, &r);
}

/*
 * Failure: the store serves one other node, of which nothing is heard any more
 * since its link is cut, or the owner's registration has ended. It claims the
 * pool, and the owner takes the reports of the others for an outage.
 */
static void test_served_node_that_is_not_heard_any_more(void **state)
{
	outage_test_t t;
	int64_t now_ms;
	uint64_t peer;

	(void)state;
	set_up(&t);
	report_one(&t, LEASE_END_MS - 2400, PEERS, true);
	for (now_ms = LEASE_END_MS; now_ms < LEASE_END_MS + 9000;
	     now_ms += 50) {
		for (peer = 1; peer < PEERS; peer++)
			report_one(&t, now_ms, peer, false);
		assert_false(may_order(&t, now_ms));
	}
	bw_outage_destroy(t.outage);
}

/* A node that was heard in time is back within a second: no orders are lost. */
static void test_connections_that_are_reset_in_an_outage(void **state)
{
	outage_test_t t;
	int64_t now_ms;

	(void)state;
	set_up(&t);
	for (now_ms = LEASE_END_MS; now_ms < LEASE_END_MS + 9000;
	     now_ms += 1100) {
		report(&t, now_ms, PEERS, false, LEASE_END_MS - 1600);
		assert_true(may_order(&t, now_ms));
		assert_true(may_order(&t, now_ms + 1099));
	}
	bw_outage_destroy(t.outage);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_orders_go_on_while_the_store_is_down_for_all),
		cmocka_unit_test(test_peers_find_out_a_little_later),
		cmocka_unit_test(test_owner_resumes_beside_its_successor),
		cmocka_unit_test(test_answer_is_told_with_the_outage),
		cmocka_unit_test(test_owner_resumes_after_a_long_silence),
		cmocka_unit_test(
			test_owner_resumes_after_a_moment_without_outage),
		cmocka_unit_test(test_renewal_allows_orders_again),
		cmocka_unit_test(test_few_reports_are_no_outage),
		cmocka_unit_test(test_nodes_that_have_gone_may_be_back),
		cmocka_unit_test(
			test_nodes_that_are_gone_for_long_do_not_count),
		cmocka_unit_test(test_node_without_others_sees_no_outage),
		cmocka_unit_test(test_served_node_that_is_not_heard_any_more),
		cmocka_unit_test(test_connections_that_are_reset_in_an_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
