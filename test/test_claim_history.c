/* Earlier owners of a pool: which may still give orders, by the claims that a
 * node has seen. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "fleet/claim_history.h"

#define OUTAGE_MS 3500
#define NOW_MS	  100000

typedef struct asked {
	char nodes[64]; /**< Those asked, a letter each. */
	const char *stopped; /**< Those that have stopped. */
} asked_t;

static bool ask(void *ctx, const bw_claim_t *claim)
{
	asked_t *asked = ctx;

	g_strlcat(asked->nodes, claim->node, sizeof(asked->nodes));
	return strstr(asked->stopped, claim->node) != NULL;
}

static void add(bw_claim_history_t *h, int64_t now_ms, const char *node,
		int64_t revision)
{
	bw_claim_t claim = { node, 1, revision };

	bw_claim_history_add(h, now_ms, &claim);
}

/** A check of a history: of the owner d, whose claim has the revision 40 and
 *  was seen 1 s after that of a (10), and those of b (20) and c (30) between.
 */
typedef struct check_case {
	const char *name;
	int64_t known_from;
	bool handed_over;
	int64_t read_started_ms; /**< Before d's claim was seen. */
	int64_t complete_since_ms; /**< The same; -1: not now. */
	int64_t later_ms; /**< After that. */
	const char *stopped;
	const char *asked;
	bool all_stopped;
} check_case_t;

static const check_case_t cases[] = {
	{ "no owner has stopped", 10, false, 9000, 9000, 0, "", "abc", false },
	{ "the last has stopped", 10, false, 9000, 9000, 0, "c", "abc", false },
	{ "the first still acts", 10, false, 9000, 9000, 0, "bc", "abc",
	  false },
	{ "all have stopped", 10, false, 9000, 9000, 0, "abc", "abc", true },
	{ "handed over by the last", 30, true, 9000, 9000, 0, "ab", "ab",
	  true },
	{ "beside one that still acts", 30, true, 9000, 9000, 0, "b", "ab",
	  false },
	{ "handed over in between", 20, true, 9000, 9000, 0, "a", "ac", false },
	{ "settled, but not stopped", 30, false, 9000, 9000, 0, "c", "abc",
	  false },
	{ "a claim may be missing", 0, false, 900, 900, 0, "abc", "abc",
	  false },
	{ "it was too long ago", 0, false, 900, 900, 2700, "abc", "abc", true },
	{ "read since the known one", 20, false, 700, 600, 0, "abc", "abc",
	  true },
	{ "not read since", 20, false, 600, 600, 0, "abc", "abc", false },
	{ "a full read in progress", 30, true, 9000, -1, 9000, "abc", "",
	  false },
	{ "the outage is over", 0, false, 9000, 9000, 3600, "", "", true },
	{ "for all but the last", 0, false, 9000, 9000, 3300, "", "c", false },
};

static void add_claims(bw_claim_history_t *h)
{
	add(h, NOW_MS - 1000, "a", 10);
	add(h, NOW_MS - 660, "b", 20);
	bw_claim_history_end(h, NOW_MS - 400);
	add(h, NOW_MS - 340, "c", 30);
	bw_claim_history_end(h, NOW_MS - 100);
	add(h, NOW_MS, "d", 40);
}

static int64_t complete_since_ms(const check_case_t *c)
{
	return c->complete_since_ms < 0 ? INT64_MAX
					: NOW_MS - c->complete_since_ms;
}

static void test_owners_before_the_last_are_asked(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const check_case_t *c = &cases[i];
		bw_claim_history_t *h = bw_claim_history_create(OUTAGE_MS);
		asked_t asked = { "", c->stopped };
		bw_claim_scope_t scope = {
			.own_revision = 40,
			.known_from = c->known_from,
			.handed_over = c->handed_over,
			.read_started_ms = NOW_MS - c->read_started_ms,
			.complete_since_ms = complete_since_ms(c),
		};
		bool all_stopped;

		add_claims(h);
		all_stopped = bw_claim_history_check(h, NOW_MS + c->later_ms,
						     &scope, ask, &asked);
		if (all_stopped != c->all_stopped ||
		    strcmp(asked.nodes, c->asked) != 0)
			print_error("case: %s, asked %s\n", c->name,
				    asked.nodes);
		assert_int_equal(all_stopped, c->all_stopped);
		assert_string_equal(asked.nodes, c->asked);
		bw_claim_history_destroy(h);
	}
}

/* Until its own claim is reported, others before it may not be either. */
static void test_own_claim_is_not_reported_yet(void **state)
{
	bw_claim_history_t *h = bw_claim_history_create(OUTAGE_MS);
	bw_claim_scope_t scope = { .own_revision = 40, .known_from = 10 };
	asked_t asked = { "", "a" };

	(void)state;
	add(h, NOW_MS, "a", 10);
	bw_claim_history_end(h, NOW_MS);
	assert_false(bw_claim_history_check(h, NOW_MS, &scope, ask, &asked));
	add(h, NOW_MS, "d", 40);
	assert_true(bw_claim_history_check(h, NOW_MS, &scope, ask, &asked));
	bw_claim_history_destroy(h);
}

/* An answer counts for the claim that it was asked for. */
static void test_answer_is_kept(void **state)
{
	bw_claim_history_t *h = bw_claim_history_create(OUTAGE_MS);
	bw_claim_scope_t scope = { .own_revision = 40 };
	asked_t asked = { "", "" };

	(void)state;
	add(h, NOW_MS, "a", 10);
	add(h, NOW_MS, "a", 30);
	add(h, NOW_MS, "d", 40);
	bw_claim_history_stopped(h, 10);
	assert_false(bw_claim_history_check(h, NOW_MS, &scope, ask, &asked));
	assert_string_equal(asked.nodes, "a");
	bw_claim_history_stopped(h, 30);
	assert_true(bw_claim_history_check(h, NOW_MS, &scope, ask, &asked));
	assert_string_equal(asked.nodes, "a");
	bw_claim_history_destroy(h);
}

/* A claim is gone once its end or a later one was seen. */
static void test_claim_that_is_gone(void **state)
{
	bw_claim_history_t *h = bw_claim_history_create(OUTAGE_MS);

	(void)state;
	assert_false(bw_claim_history_is_gone(h, 10));
	add(h, NOW_MS, "a", 10);
	assert_false(bw_claim_history_is_gone(h, 10));
	assert_false(bw_claim_history_is_gone(h, 20));
	bw_claim_history_end(h, NOW_MS);
	assert_true(bw_claim_history_is_gone(h, 10));
	assert_false(bw_claim_history_is_gone(h, 20));
	add(h, NOW_MS + OUTAGE_MS, "b", 30);
	assert_true(bw_claim_history_is_gone(h, 10));
	assert_true(bw_claim_history_is_gone(h, 20));
	assert_false(bw_claim_history_is_gone(h, 30));
	bw_claim_history_destroy(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_owners_before_the_last_are_asked),
		cmocka_unit_test(test_own_claim_is_not_reported_yet),
		cmocka_unit_test(test_answer_is_kept),
		cmocka_unit_test(test_claim_that_is_gone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
