/*
 * Idempotency keys, claims at their owner, and when an entry may act as an
 * owner or exclude another one.
 */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "member/view.h"
#include "once/once.h"
#include "place/share.h"

#define NOW_MS	  ((int64_t)1800000000000)
#define SKEW_MS	  100
#define WINDOW_MS 60000

/** Verdicts sent by the owner. */
typedef struct outbox {
	bw_once_msg_t sent[32];
	uint64_t to[32];
	uint32_t count;
} outbox_t;

static void on_send(void *ctx, uint64_t claimant, const bw_once_msg_t *msg)
{
	outbox_t *outbox = ctx;

	outbox->sent[outbox->count] = *msg;
	outbox->to[outbox->count] = claimant;
	outbox->count++;
}

static void test_key_text(void **state)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{ "01a23ef1-0802-7e96-afc4-2801d919f882", true },
		{ "01A23EF1-0802-7E96-8FC4-2801D919F882", true },
		{ "01a23ef1-0802-4e96-afc4-2801d919f882", false },
		{ "01a23ef1-0802-7e96-cfc4-2801d919f882", false },
		{ "01a23ef1-0802-7e96-afc4-2801d919f88", false },
		{ "01a23ef10802-7e96-afc4-2801d919f8822", false },
		{ "01a23ef1-0802-7e96-afc4-2801d919f88g", false },
		{ "", false },
	};
	char key[37];
	int64_t issued_ms;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(bw_once_parse_key(cases[i].text, &issued_ms),
				 cases[i].valid);
	bw_once_make_key(key, NOW_MS, 0x123456789, 0xabcdef);
	assert_true(bw_once_parse_key(key, &issued_ms));
	assert_int_equal(issued_ms, NOW_MS);
}

static bw_once_t *create_owner(outbox_t *outbox)
{
	uint64_t self = bw_name_id("a");
	bw_once_config_t config = { .self = self,
				    .key_window_ms = WINDOW_MS,
				    .clock_skew_ms = SKEW_MS,
				    .answer_memory_bytes = 10 };
	bw_once_t *o = bw_once_create(&config, on_send, outbox);

	memset(outbox, 0, sizeof(*outbox));
	bw_once_set_view(o, 1, &self, 1);
	return o;
}

static bw_once_verdict_t claim(bw_once_t *o, outbox_t *outbox,
			       uint64_t claimant, uint64_t number,
			       uint64_t fingerprint, int64_t issued_ms,
			       bool fenced, int64_t now_ms)
{
	bw_once_msg_t msg = { .type = BW_ONCE_MSG_CLAIM,
			      .key = 7,
			      .key_check = 8,
			      .fingerprint = fingerprint,
			      .claim = number,
			      .issued_ms = issued_ms };

	bw_once_claim(o, claimant, &msg, fenced, now_ms);
	return outbox->sent[outbox->count - 1].verdict;
}

static void test_first_claims(void **state)
{
	static const struct {
		const char *name;
		int64_t issued_ms; /**< Relative to the start of ownership. */
		int64_t now_ms; /**< Likewise. */
		bool active;
		bool fenced;
		bw_once_verdict_t verdict;
	} cases[] = {
		{ "fresh", 1000, 1000, true, false, BW_ONCE_GRANTED },
		{ "before ownership", -1, 1000, true, false, BW_ONCE_OLD },
		{ "within the skew", 200, 1000, true, false, BW_ONCE_OLD },
		{ "past the skew", 201, 1000, true, false, BW_ONCE_GRANTED },
		{ "ahead", 1101, 1000, true, false, BW_ONCE_IN_FUTURE },
		{ "a little ahead", 1100, 1000, true, false, BW_ONCE_GRANTED },
		{ "too old", 1000, 1001 + WINDOW_MS, true, false, BW_ONCE_OLD },
		{ "fenced", 1000, 1000, true, true, BW_ONCE_FENCED },
		{ "not active", 1000, 1000, false, false, BW_ONCE_FENCED },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		outbox_t outbox;
		bw_once_t *o = create_owner(&outbox);
		bw_once_verdict_t verdict;

		if (cases[i].active)
			bw_once_activate(o, 1, NOW_MS);
		verdict =
			claim(o, &outbox, 1, 1, 5, NOW_MS + cases[i].issued_ms,
			      cases[i].fenced, NOW_MS + cases[i].now_ms);
		if (verdict != cases[i].verdict)
			print_error("case: %s\n", cases[i].name);
		assert_int_equal(verdict, cases[i].verdict);
		bw_once_destroy(o);
	}
}

static void test_later_claims(void **state)
{
	int64_t now_ms = NOW_MS + 1000;
	bw_once_msg_t result = { .type = BW_ONCE_MSG_RESULT,
				 .key = 7,
				 .claim = 1,
				 .result = BW_ONCE_RESULT_ANSWERED,
				 .answer = "hello",
				 .answer_bytes = 5 };
	outbox_t outbox;
	bw_once_t *o = create_owner(&outbox);

	(void)state;
	bw_once_activate(o, 1, NOW_MS);
	assert_int_equal(claim(o, &outbox, 1, 1, 5, now_ms, false, now_ms),
			 BW_ONCE_GRANTED);
	/* A resent claim is granted again: its verdict may have been lost. */
	assert_int_equal(claim(o, &outbox, 1, 1, 5, now_ms, false, now_ms),
			 BW_ONCE_GRANTED);
	/* Another entry's claim waits, even if this owner is fenced now. */
	assert_int_equal(claim(o, &outbox, 2, 9, 5, now_ms, true, now_ms),
			 BW_ONCE_RUNNING);
	assert_int_equal(claim(o, &outbox, 2, 3, 6, now_ms, false, now_ms),
			 BW_ONCE_REUSED);
	/* A result of a claim that was not granted changes nothing. */
	result.claim = 9;
	bw_once_result(o, 2, &result, now_ms);
	assert_int_equal(claim(o, &outbox, 2, 9, 5, now_ms, false, now_ms),
			 BW_ONCE_RUNNING);
	result.claim = 1;
	bw_once_result(o, 1, &result, now_ms);
	assert_int_equal(outbox.sent[outbox.count - 1].verdict,
			 BW_ONCE_ANSWERED);
	assert_int_equal(outbox.to[outbox.count - 1], 2);
	assert_int_equal(outbox.sent[outbox.count - 1].answer_bytes, 5);
	bw_once_destroy(o);
}

static void test_claimant_lost(void **state)
{
	int64_t now_ms = NOW_MS + 1000;
	bw_once_msg_t result = { .type = BW_ONCE_MSG_RESULT,
				 .key = 7,
				 .claim = 1,
				 .result = BW_ONCE_RESULT_NOT_RUN };
	outbox_t outbox;
	bw_once_t *o = create_owner(&outbox);

	(void)state;
	bw_once_activate(o, 1, NOW_MS);
	claim(o, &outbox, 1, 1, 5, now_ms, false, now_ms);
	claim(o, &outbox, 2, 2, 5, now_ms, false, now_ms);
	bw_once_claimant_lost(o, 1, now_ms);
	assert_int_equal(outbox.sent[outbox.count - 1].verdict,
			 BW_ONCE_OUTCOME_UNKNOWN);
	/* The claimant was only disconnected and reports the end later. */
	bw_once_result(o, 1, &result, now_ms);
	assert_int_equal(claim(o, &outbox, 2, 3, 5, now_ms, false, now_ms),
			 BW_ONCE_NOT_RUN);
	bw_once_destroy(o);
}

static bw_view_t *create_view(void)
{
	bw_view_config_t config = { .name = "a",
				    .address = "a",
				    .lease_us = 1000,
				    .promise_us = 500,
				    .store_outage_max_us = 10000000 };
	static const bw_member_t members[] = { { (char *)"a", (char *)"a" },
					       { (char *)"b", (char *)"b" },
					       { (char *)"c", (char *)"c" } };
	bw_view_t *v = bw_view_create(&config);

	assert_true(bw_view_adopt(v, 1, members, 3, 0));
	assert_false(bw_view_adopt(v, 1, members, 3, 0));
	return v;
}

static void receive_heartbeat(bw_view_t *v, const char *name, uint64_t epoch,
			      int64_t echo_us, bool promise)
{
	bw_view_heartbeat_t beat = { .epoch = epoch,
				     .stamp_us = 1,
				     .echo_us = echo_us,
				     .promise = promise };

	bw_view_handle_heartbeat(v, bw_name_id(name), &beat, echo_us);
}

static void test_right_to_own(void **state)
{
	bw_view_t *v = create_view();

	(void)state;
	assert_false(bw_view_owner_valid(v, 10));
	bw_view_lease_renewed(v, 10);
	assert_true(bw_view_owner_valid(v, 1009));
	assert_false(bw_view_owner_valid(v, 1010));
	/* Without a valid lease, every other member must promise. */
	receive_heartbeat(v, "b", 1, 900, true);
	assert_false(bw_view_owner_valid(v, 1100));
	receive_heartbeat(v, "c", 1, 900, false);
	assert_false(bw_view_owner_valid(v, 1100));
	receive_heartbeat(v, "c", 2, 900, true);
	assert_false(bw_view_owner_valid(v, 1100));
	receive_heartbeat(v, "c", 1, 900, true);
	assert_true(bw_view_owner_valid(v, 1100));
	assert_false(bw_view_owner_valid(v, 1400));
	/* Promises replace the lease only for a limited time. */
	receive_heartbeat(v, "b", 1, 20000000, true);
	receive_heartbeat(v, "c", 1, 20000000, true);
	assert_false(bw_view_owner_valid(v, 20000001));
	bw_view_destroy(v);
}

static void test_exclusion(void **state)
{
	bw_view_t *v = create_view();
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	bw_view_heartbeat_t beat;
	uint32_t count;

	(void)state;
	receive_heartbeat(v, "b", 1, 10, true);
	bw_view_set_lease_present(v, "b", true);
	bw_view_set_lease_present(v, "c", true);
	bw_view_set_store_current(v, true);
	bw_view_lease_renewed(v, 100);
	bw_view_make_heartbeat(v, bw_name_id("b"), 100, &beat);
	assert_true(beat.promise);
	assert_int_equal(bw_view_propose(v, 110, members, excluded, &count), 0);
	/* Its lease key is deleted, but this entry's promise still holds. */
	bw_view_set_lease_present(v, "b", false);
	bw_view_make_heartbeat(v, bw_name_id("b"), 120, &beat);
	assert_false(beat.promise);
	assert_int_equal(bw_view_propose(v, 590, members, excluded, &count), 0);
	/* A change is needed from now on; another entry may write it first. */
	bw_view_propose(v, 601, members, excluded, &count);
	bw_view_lease_renewed(v, 1000000);
	assert_int_equal(bw_view_propose(v, 1000001, members, excluded, &count),
			 2);
	assert_int_equal(count, 1);
	assert_string_equal(excluded[0], "b");
	/* Without its own lease this entry proposes nothing. */
	assert_int_equal(bw_view_propose(v, 1001000, members, excluded, &count),
			 0);
	bw_view_destroy(v);
}

static void test_never_met(void **state)
{
	bw_view_t *v = create_view();
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	uint32_t count;

	(void)state;
	bw_view_set_lease_present(v, "c", true);
	bw_view_set_store_current(v, true);
	bw_view_lease_renewed(v, 5000);
	/* Without a heartbeat from "b" it may not need this entry's promise. */
	assert_int_equal(bw_view_propose(v, 5001, members, excluded, &count),
			 0);
	bw_view_force_exclusion(v, "b");
	bw_view_propose(v, 5002, members, excluded, &count);
	bw_view_lease_renewed(v, 1000000);
	assert_int_equal(bw_view_propose(v, 1000001, members, excluded, &count),
			 2);
	bw_view_destroy(v);
}

/* Creates the membership of m0 with a view of first to first + 255. */
static bw_view_t *create_full_view(char names[][8], uint32_t first)
{
	bw_view_config_t config = { .name = "m0",
				    .address = "m0",
				    .lease_us = 1000,
				    .promise_us = 500,
				    .store_outage_max_us = 10000000 };
	bw_member_t members[BW_MEMBERS_MAX];
	bw_view_t *v = bw_view_create(&config);
	uint32_t i;

	for (i = 0; i < BW_MEMBERS_MAX; i++) {
		g_snprintf(names[i], sizeof(names[i]), "m%u", first + i);
		members[i].name = names[i];
		members[i].address = (char *)"old";
	}
	assert_true(bw_view_adopt(v, 1, members, BW_MEMBERS_MAX, 0));
	bw_view_set_store_current(v, true);
	bw_view_lease_renewed(v, 1000);
	return v;
}

static void test_full_view_loses_its_last_member(void **state)
{
	char names[BW_MEMBERS_MAX][8];
	bw_view_t *v = create_full_view(names, 0);
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	uint32_t count;

	(void)state;
	/* The change is this entry's address. */
	assert_int_equal(bw_view_propose(v, 1500, members, excluded, &count),
			 BW_MEMBERS_MAX);
	assert_int_equal(count, 0);
	assert_string_equal(members[0].address, "m0");
	bw_view_destroy(v);
}

static void test_joining_full_view_drops_a_member(void **state)
{
	char names[BW_MEMBERS_MAX][8];
	bw_view_t *v = create_full_view(names, 1);
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	uint32_t count;

	(void)state;
	assert_int_equal(bw_view_propose(v, 1500, members, excluded, &count),
			 0);
	bw_view_destroy(v);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_text),
		cmocka_unit_test(test_first_claims),
		cmocka_unit_test(test_later_claims),
		cmocka_unit_test(test_claimant_lost),
		cmocka_unit_test(test_right_to_own),
		cmocka_unit_test(test_exclusion),
		cmocka_unit_test(test_never_met),
		cmocka_unit_test(test_full_view_loses_its_last_member),
		cmocka_unit_test(test_joining_full_view_drops_a_member),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
