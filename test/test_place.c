/* Contract and fault tests of the placement decisions. */
#include "test.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "place/place.h"
#include "place/share.h"

#define SECOND_US 1000000
#define REQUESTS  64

/** A placement under test and the effects that it caused. */
typedef struct fixture {
	bw_place_t *place;
	bw_counters_t counters;
	bw_place_request_t requests[REQUESTS];
	bool started[REQUESTS];
	int refused[REQUESTS]; /**< A bw_refusal_t, or -1. */
	int64_t retry_after_us;
	bw_place_msg_t sent[64];
	uint64_t sent_to[64];
	uint32_t sent_count;
} fixture_t;

static void on_start(void *ctx, bw_place_request_t *r)
{
	fixture_t *p = ctx;

	p->started[r - p->requests] = true;
}

static void on_refuse(void *ctx, bw_place_request_t *r, bw_refusal_t why,
		      int64_t retry_after_us)
{
	fixture_t *p = ctx;

	p->refused[r - p->requests] = (int)why;
	p->retry_after_us = retry_after_us;
}

static void on_send(void *ctx, uint64_t peer, const bw_place_msg_t *msg)
{
	fixture_t *p = ctx;

	p->sent[p->sent_count % 64] = *msg;
	p->sent_to[p->sent_count % 64] = peer;
	p->sent_count++;
}

static const bw_place_ops_t fixture_ops = { .start = on_start,
					    .refuse = on_refuse,
					    .send = on_send };

static const char table_text[] =
	"{\"pools\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
	"\"services\":[{\"name\":\"s\",\"prefix\":\"/s/\",\"queue_max\":4},"
	"{\"name\":\"t\",\"prefix\":\"/t/\"},"
	"{\"name\":\"d\",\"prefix\":\"/d/\",\"class\":\"deferrable\"}],"
	"\"cells\":[{\"service\":\"s\",\"pool\":\"a\",\"weight\":10},"
	"{\"service\":\"s\",\"pool\":\"b\",\"spill\":5,\"limit\":1},"
	"{\"service\":\"t\",\"pool\":\"b\",\"weight\":10},"
	"{\"service\":\"d\",\"pool\":\"b\",\"weight\":10}]}";

static uint32_t slots_per_worker = 2;

static void configure(fixture_t *p, const char *states, int64_t now_us)
{
	bw_findings_t *f = bw_findings_create("test");
	bw_table_t *table = bw_table_parse(table_text, strlen(table_text), f);
	GString *text = g_string_new("{\"workers\":[");
	bw_workers_t *workers;
	uint32_t i;

	/* A letter per worker names its pool; upper case means leaving. */
	for (i = 0; states[i]; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"w%u\",\"address\":\"127.0.0.%u:1\","
			"\"zone\":\"z%u\",\"rack\":\"r%u\",\"pool\":\"%c\","
			"\"slots\":%u,\"state\":\"%s\"}",
			i ? "," : "", i, i + 1, i % 2, i,
			g_ascii_tolower(states[i]), slots_per_worker,
			g_ascii_isupper(states[i]) ? "leaving" : "serving");
	g_string_append(text, "]}");
	workers = bw_workers_parse(text->str, text->len, f);
	assert_non_null(table);
	assert_non_null(workers);
	bw_place_configure(p->place, table, workers, now_us);
	bw_table_destroy(table);
	bw_workers_destroy(workers);
	bw_findings_destroy(f);
	g_string_free(text, TRUE);
}

/* Off by default, since most tests advance the time by minutes at once. */
static int64_t stall_us;

static fixture_t *create_fixture(const char *states)
{
	fixture_t *p = g_new0(fixture_t, 1);
	uint64_t self = bw_name_id("e1");
	bw_place_config_t config = { .self = self,
				     .zone = "z0",
				     .loan_ttl_us = SECOND_US / 2,
				     .run_max_us = 10 * SECOND_US,
				     .stall_us = stall_us,
				     .seed = 1,
				     .lending = true };
	uint32_t i;

	for (i = 0; i < REQUESTS; i++)
		p->refused[i] = -1;
	p->place = bw_place_create(&config, &fixture_ops, p, &p->counters);
	configure(p, states, 0);
	bw_place_set_view(p->place, 1, &self, 1, 0);
	bw_place_tick(p->place, 1);
	return p;
}

static void destroy_fixture(fixture_t *p)
{
	bw_place_destroy(p->place);
	g_free(p);
}

static bw_place_request_t *submit(fixture_t *p, int i, const char *service,
				  int64_t now_us, int64_t wait_us)
{
	bw_place_request_t *r = &p->requests[i];

	bw_place_request_init(r, bw_place_service(p->place, service), now_us,
			      now_us + wait_us);
	bw_place_submit(p->place, r, now_us);
	return r;
}

static const char *pool_of(fixture_t *p, int i)
{
	bw_worker_view_t view;

	assert_true(
		bw_place_worker_view(p->place, p->requests[i].worker, &view));
	return view.pool;
}

static void test_own_pool_first(void **state)
{
	fixture_t *p = create_fixture("ab");

	(void)state;
	submit(p, 0, "s", 10, SECOND_US);
	submit(p, 1, "s", 10, SECOND_US);
	assert_true(p->started[0] && p->started[1]);
	assert_string_equal(pool_of(p, 0), "a");
	assert_string_equal(pool_of(p, 1), "a");
	/* Pool a is full; the limit allows one slot of pool b. */
	submit(p, 2, "s", 10, SECOND_US);
	assert_string_equal(pool_of(p, 2), "b");
	submit(p, 3, "s", 10, SECOND_US);
	assert_false(p->started[3]);
	destroy_fixture(p);
}

static void test_owner_before_spill(void **state)
{
	fixture_t *p = create_fixture("b");

	(void)state;
	submit(p, 0, "t", 10, SECOND_US);
	submit(p, 1, "t", 10, SECOND_US);
	submit(p, 2, "s", 20, SECOND_US);
	submit(p, 3, "t", 30, SECOND_US);
	bw_place_finish(p->place, &p->requests[0], BW_ATTEMPT_OK, 40);
	assert_true(p->started[3]);
	assert_false(p->started[2]);
	destroy_fixture(p);
}

static void test_deferrable_waits_then_counts(void **state)
{
	fixture_t *p = create_fixture("b");

	(void)state;
	submit(p, 0, "t", 10, SECOND_US);
	submit(p, 1, "t", 10, SECOND_US);
	submit(p, 2, "d", 20, 100 * (int64_t)SECOND_US);
	submit(p, 3, "t", 30, 200 * (int64_t)SECOND_US);
	bw_place_finish(p->place, &p->requests[0], BW_ATTEMPT_OK, 40);
	assert_true(p->started[3]);
	/* Close to its deadline the deferrable request ranks as urgent. */
	submit(p, 4, "t", 50, 200 * (int64_t)SECOND_US);
	submit(p, 5, "t", 50, 200 * (int64_t)SECOND_US);
	bw_place_finish(p->place, &p->requests[1], BW_ATTEMPT_OK, 60);
	bw_place_finish(p->place, &p->requests[3], BW_ATTEMPT_OK,
			99 * (int64_t)SECOND_US);
	bw_place_finish(p->place, &p->requests[4], BW_ATTEMPT_OK,
			99 * (int64_t)SECOND_US);
	assert_true(p->started[2]);
	destroy_fixture(p);
}

static void test_refusals(void **state)
{
	fixture_t *p = create_fixture("a");
	int i;

	(void)state;
	for (i = 0; i < 2; i++)
		submit(p, i, "s", 10, SECOND_US);
	for (i = 2; i < 6; i++)
		submit(p, i, "s", 10, SECOND_US);
	submit(p, 6, "s", 10, SECOND_US);
	assert_int_equal(p->refused[6], BW_REFUSE_QUEUE_FULL);
	assert_true(p->retry_after_us >= SECOND_US);
	submit(p, 7, "s", 10, 0);
	assert_int_equal(p->refused[7], BW_REFUSE_TOO_LATE);
	bw_place_tick(p->place, 10 + SECOND_US + 1);
	assert_int_equal(p->refused[2], BW_REFUSE_QUEUE_DEADLINE);
	assert_int_equal(p->counters.value[BW_C_REFUSED_QUEUE_DEADLINE], 4);
	assert_int_equal(p->counters.value[BW_C_REFUSED_QUEUE_FULL], 1);
	destroy_fixture(p);
}

static void test_leaving_gets_nothing(void **state)
{
	fixture_t *p = create_fixture("aa");
	int i;

	(void)state;
	configure(p, "Aa", 5);
	for (i = 0; i < 4; i++)
		submit(p, i, "s", 10, SECOND_US);
	assert_true(p->started[0] && p->started[1]);
	assert_false(p->started[2] || p->started[3]);
	assert_string_equal(
		bw_place_worker_name(p->place, p->requests[0].worker), "w1");
	/* Back in service, it takes the waiting requests. */
	configure(p, "aa", 20);
	assert_true(p->started[2] && p->started[3]);
	destroy_fixture(p);
}

static void test_failing_worker_is_left_out(void **state)
{
	fixture_t *p = create_fixture("aa");
	uint32_t bad;
	int64_t now_us = 10;
	int i;

	(void)state;
	submit(p, 0, "s", now_us, 9 * SECOND_US);
	bad = p->requests[0].worker;
	for (i = 0; i < 30; i++) {
		bw_place_request_t *r =
			submit(p, 1, "s", now_us, 9 * SECOND_US);
		bool is_bad = r->worker == bad;

		now_us += 100;
		bw_place_finish(p->place, r,
				is_bad ? BW_ATTEMPT_BROKEN : BW_ATTEMPT_OK,
				now_us);
	}
	for (i = 0; i < 30; i++) {
		bw_place_request_t *r =
			submit(p, 1, "s", now_us, 9 * SECOND_US);

		assert_int_not_equal(r->worker, bad);
		bw_place_finish(p->place, r, BW_ATTEMPT_OK, now_us + 100);
	}
	destroy_fixture(p);
}

static void test_retry_avoids_the_worker(void **state)
{
	fixture_t *p = create_fixture("aaa");
	int i;

	(void)state;
	for (i = 0; i < 20; i++) {
		bw_place_request_t *r = submit(p, 0, "s", 10 + i, SECOND_US);
		uint32_t first = r->worker;

		bw_place_finish(p->place, r, BW_ATTEMPT_NOT_SENT, 20 + i);
		bw_place_submit(p->place, r, 20 + i);
		assert_int_not_equal(r->worker, first);
		bw_place_finish(p->place, r, BW_ATTEMPT_OK, 30 + i);
	}
	destroy_fixture(p);
}

static void test_removed_service_refuses_its_queue(void **state)
{
	fixture_t *p = create_fixture("a");
	bw_findings_t *f = bw_findings_create("test");
	static const char other[] = "{\"pools\":[{\"name\":\"a\"}],"
				    "\"services\":[],\"cells\":[]}";
	bw_table_t *table = bw_table_parse(other, strlen(other), f);
	bw_workers_t none = { 0 };

	(void)state;
	submit(p, 0, "s", 10, SECOND_US);
	submit(p, 1, "s", 10, SECOND_US);
	submit(p, 2, "s", 10, SECOND_US);
	bw_place_configure(p->place, table, &none, 20);
	assert_int_equal(p->refused[2], BW_REFUSE_NO_SERVICE);
	/* Running requests continue, and their end is recorded as usual. */
	bw_place_finish(p->place, &p->requests[0], BW_ATTEMPT_OK, 30);
	bw_place_finish(p->place, &p->requests[1], BW_ATTEMPT_OK, 30);
	bw_place_configure(p->place, table, &none, 40);
	bw_table_destroy(table);
	bw_findings_destroy(f);
	destroy_fixture(p);
}

/*
 * After a pause the other entries may have declared this one lost and divided
 * its slots, so it starts nothing until every member has acknowledged its view
 * again.
 */
static void test_pause_voids_shares(void **state)
{
	uint64_t members[2] = { bw_name_id("e1"), bw_name_id("e2") };
	bw_place_msg_t ack = { .type = BW_PLACE_MSG_ACK, .epoch = 2 };
	int64_t resumed_us = 5 * SECOND_US;
	fixture_t *p;

	(void)state;
	stall_us = SECOND_US;
	p = create_fixture("aaaa");
	bw_place_set_view(p->place, 2, members, 2, 10);
	bw_place_receive(p->place, members[1], &ack, 20);
	submit(p, 0, "s", 30, 9 * SECOND_US);
	assert_true(p->started[0]);
	submit(p, 1, "s", resumed_us, 9 * SECOND_US);
	assert_false(p->started[1]);
	assert_int_equal(p->sent[(p->sent_count - 1) % 64].type,
			 BW_PLACE_MSG_ACK);
	assert_true(p->sent[(p->sent_count - 1) % 64].reply_requested);
	assert_true(p->sent_to[(p->sent_count - 1) % 64] == members[1]);
	/* An ACK of another view does not restore the shares. */
	ack.epoch = 3;
	bw_place_receive(p->place, members[1], &ack, resumed_us + 10);
	assert_false(p->started[1]);
	destroy_fixture(p);
	p = create_fixture("aaaa");
	ack.epoch = 2;
	bw_place_set_view(p->place, 2, members, 2, 10);
	bw_place_receive(p->place, members[1], &ack, 20);
	submit(p, 1, "s", resumed_us, 9 * SECOND_US);
	assert_false(p->started[1]);
	bw_place_receive(p->place, members[1], &ack, resumed_us + 10);
	assert_true(p->started[1]);
	destroy_fixture(p);
	stall_us = 0;
}

/* A placement with one worker of four slots and a peer that has half of them.
 */
static fixture_t *create_with_peer(const char *pool, uint64_t *peer)
{
	uint64_t members[2] = { bw_name_id("e1"), bw_name_id("e2") };
	bw_place_msg_t ack = { .type = BW_PLACE_MSG_ACK, .epoch = 2 };
	fixture_t *p;

	slots_per_worker = 4;
	p = create_fixture(pool);
	slots_per_worker = 2;
	bw_place_set_view(p->place, 2, members, 2, 10);
	bw_place_peer_up(p->place, members[1], 10);
	bw_place_receive(p->place, members[1], &ack, 20);
	*peer = members[1];
	return p;
}

static bw_place_msg_t lend_slot(fixture_t *p, uint64_t peer, int64_t now_us)
{
	bw_place_msg_t request = { .type = BW_PLACE_MSG_SLOT_REQUEST,
				   .pool = bw_name_id("a"),
				   .stamp_us = now_us,
				   .count = 1 };
	bw_place_msg_t grant;

	bw_place_receive(p->place, peer, &request, now_us);
	grant = p->sent[(p->sent_count - 1) % 64];
	assert_int_equal(grant.type, BW_PLACE_MSG_GRANT);
	assert_int_equal(grant.loan_count, 1);
	return grant;
}

static void reconnect(fixture_t *p, uint64_t peer, int64_t now_us)
{
	bw_place_peer_lost(p->place, peer, now_us);
	bw_place_peer_up(p->place, peer, now_us + 10);
}

static uint32_t lent_slots(const fixture_t *p)
{
	bw_worker_view_t view;

	assert_true(bw_place_worker_view(p->place, 0, &view));
	return view.lent;
}

static void test_slot_lent_after_reconnect_is_returned(void **state)
{
	bw_place_msg_t loan;
	uint64_t peer;
	fixture_t *p = create_with_peer("a", &peer);

	(void)state;
	lend_slot(p, peer, 100);
	reconnect(p, peer, 200);
	loan = lend_slot(p, peer, 300);
	assert_int_equal(lent_slots(p), 2);
	loan.type = BW_PLACE_MSG_RETURN;
	bw_place_receive(p->place, peer, &loan, 400);
	assert_int_equal(lent_slots(p), 1);
	bw_place_tick(p->place, 60 * (int64_t)SECOND_US);
	assert_int_equal(lent_slots(p), 0);
	destroy_fixture(p);
}

static void test_slots_of_peer_lost_twice_lapse(void **state)
{
	uint64_t peer;
	fixture_t *p = create_with_peer("a", &peer);

	(void)state;
	lend_slot(p, peer, 100);
	reconnect(p, peer, 200);
	lend_slot(p, peer, 300);
	reconnect(p, peer, 400);
	assert_int_equal(lent_slots(p), 2);
	bw_place_tick(p->place, 60 * (int64_t)SECOND_US);
	assert_int_equal(lent_slots(p), 0);
	destroy_fixture(p);
}

static uint32_t count_sent(const fixture_t *p, bw_place_msg_type_t type)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < MIN(p->sent_count, 64); i++)
		count += p->sent[i].type == type;
	return count;
}

/* A peer's request of better rank goes first, but only until it expires. */
static void test_expired_slot_request_keeps_busy_pool_from_asking(void **state)
{
	bw_place_msg_t request = { .type = BW_PLACE_MSG_SLOT_REQUEST,
				   .pool = bw_name_id("b"),
				   .stamp_us = 30,
				   .count = 1 };
	uint64_t peer;
	fixture_t *p = create_with_peer("b", &peer);
	int i;

	(void)state;
	for (i = 0; i < 2; i++)
		submit(p, i, "d", 30, 9 * SECOND_US);
	bw_place_receive(p->place, peer, &request, 40);
	submit(p, 2, "d", 50, 9 * SECOND_US);
	assert_false(p->started[2]);
	assert_int_equal(count_sent(p, BW_PLACE_MSG_SLOT_REQUEST), 0);
	bw_place_tick(p->place, SECOND_US);
	assert_int_equal(count_sent(p, BW_PLACE_MSG_SLOT_REQUEST), 1);
	destroy_fixture(p);
}

static void test_shares_sum(void **state)
{
	uint64_t members[40];
	uint32_t n;
	uint32_t quantity;
	uint32_t i;

	(void)state;
	for (i = 0; i < 40; i++)
		members[i] = 1000 + i * 77;
	for (n = 1; n <= 40; n++)
		for (quantity = 0; quantity < 70; quantity += 3) {
			uint32_t sum = 0;
			uint32_t holders = 0;

			for (i = 0; i < n; i++) {
				uint32_t share =
					bw_share(quantity * 13 + n, quantity,
						 members, n, members[i]);
				sum += share;
				holders += share > 0;
			}
			assert_int_equal(sum, quantity);
			assert_true(holders <= BW_SHARE_GROUP);
		}
}

static void test_worker_parts(void **state)
{
	bw_worker_t items[300];
	char names[300][16];
	bw_workers_t all = { .items = items, .count = 300 };
	uint32_t total = 0;
	uint32_t part;
	uint32_t i;

	(void)state;
	memset(items, 0, sizeof(items));
	for (i = 0; i < 300; i++) {
		g_snprintf(names[i], sizeof(names[i]), "worker-%u", i);
		items[i].name = names[i];
	}
	for (part = 0; part < BW_WORKER_PARTS; part++) {
		bw_workers_t *some = bw_workers_select_part(&all, part);

		for (i = 0; i < some->count; i++)
			assert_int_equal(bw_worker_part(some->items[i].name),
					 part);
		total += some->count;
		bw_workers_destroy(some);
	}
	assert_int_equal(total, 300);
}

/** A failed attempt and the expected decision. */
typedef struct retry_case {
	const char *name;
	bool once;
	bool started;
	uint32_t attempts;
	int64_t left_us;
	int64_t budget;
	bw_attempt_result_t result;
	bw_retry_verdict_t verdict;
} retry_case_t;

static const retry_case_t retry_cases[] = {
	{ "repeatable, broken", false, false, 1, 1000, 100, BW_ATTEMPT_BROKEN,
	  BW_RETRY_YES },
	{ "repeatable, timeout", false, false, 1, 1000, 100, BW_ATTEMPT_TIMEOUT,
	  BW_RETRY_YES },
	{ "once, nothing sent", true, false, 1, 1000, 100, BW_ATTEMPT_NOT_SENT,
	  BW_RETRY_YES },
	{ "once, broken", true, false, 1, 1000, 100, BW_ATTEMPT_BROKEN,
	  BW_RETRY_NO_UNSAFE },
	{ "once, timeout", true, false, 1, 1000, 100, BW_ATTEMPT_TIMEOUT,
	  BW_RETRY_NO_UNSAFE },
	{ "once, status", true, false, 1, 1000, 100, BW_ATTEMPT_STATUS,
	  BW_RETRY_NO_UNSAFE },
	{ "once, bad response", true, false, 1, 1000, 100,
	  BW_ATTEMPT_BAD_ANSWER, BW_RETRY_NO_UNSAFE },
	{ "response started", false, true, 1, 1000, 100, BW_ATTEMPT_BROKEN,
	  BW_RETRY_NO_UNSAFE },
	{ "no time left", false, false, 1, 99, 100, BW_ATTEMPT_BROKEN,
	  BW_RETRY_NO_DEADLINE },
	{ "attempts used up", false, false, 3, 1000, 100, BW_ATTEMPT_BROKEN,
	  BW_RETRY_NO_ATTEMPTS },
	{ "budget used up", false, false, 1, 1000, 99, BW_ATTEMPT_BROKEN,
	  BW_RETRY_NO_BUDGET },
};

static void test_retry_table(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(retry_cases); i++) {
		const retry_case_t *c = &retry_cases[i];
		bw_retry_budget_t budget = { .hundredths = c->budget };
		bw_retry_request_t request = { .once = c->once,
					       .response_started = c->started,
					       .attempts = c->attempts,
					       .attempts_max = 3,
					       .deadline_us = 5000 + c->left_us,
					       .service_us = 100 };
		bw_retry_verdict_t verdict =
			bw_retry_decide(&budget, &request, c->result, 5000);

		if (verdict != c->verdict)
			print_error("case: %s\n", c->name);
		assert_int_equal(verdict, c->verdict);
	}
}

static void test_retry_budget_share(void **state)
{
	bw_retry_budget_t budget;
	bw_retry_request_t request = { .attempts = 1,
				       .attempts_max = 3,
				       .deadline_us = INT64_MAX };
	uint32_t retries = 0;
	int i;

	(void)state;
	bw_retry_init(&budget);
	for (i = 0; i < 1000; i++) {
		bw_retry_deposit(&budget, 10);
		if (bw_retry_decide(&budget, &request, BW_ATTEMPT_BROKEN, 0) ==
		    BW_RETRY_YES)
			retries++;
	}
	/* Ten initial retries, then one per ten first attempts. */
	assert_in_range(retries, 100, 110);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_pool_first),
		cmocka_unit_test(test_owner_before_spill),
		cmocka_unit_test(test_deferrable_waits_then_counts),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_leaving_gets_nothing),
		cmocka_unit_test(test_failing_worker_is_left_out),
		cmocka_unit_test(test_retry_avoids_the_worker),
		cmocka_unit_test(test_removed_service_refuses_its_queue),
		cmocka_unit_test(test_pause_voids_shares),
		cmocka_unit_test(test_slot_lent_after_reconnect_is_returned),
		cmocka_unit_test(test_slots_of_peer_lost_twice_lapse),
		cmocka_unit_test(
			test_expired_slot_request_keeps_busy_pool_from_asking),
		cmocka_unit_test(test_shares_sum),
		cmocka_unit_test(test_worker_parts),
		cmocka_unit_test(test_retry_table),
		cmocka_unit_test(test_retry_budget_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
