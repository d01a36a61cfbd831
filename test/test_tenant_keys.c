/*
 * Which callers a node serves by their keys, and which version of the
 * configuration it relies on. Each test names the failure that it brings about.
 */
#include "test.h"

#include <glib.h>

#include "fleet/config_sync.h"
#include "fleet/tenant_keys.h"

#define APPLY_MS  3000
#define OUTAGE_MS 6000
/** Beyond both bounds. */
#define LONG_MS	   9000
#define START_MS   100000
#define FIRST_PEER 7
#define OTHER_PEER 8

static char *ada_keys[] = { "ka1", "ka2", NULL };
static char *bo_keys[] = { "kb1", NULL };
static char *bo_more_keys[] = { "kb1", "kb2", NULL };
static char *no_keys[] = { NULL };

static const bw_queue_t keyed = { .name = "q" };
static const bw_queue_t open_queue = { .name = "p", .is_public = true };
static const bw_config_bounds_t bounds = { APPLY_MS, OUTAGE_MS };

static bw_tenant_t both[] = { { .name = "ada", .keys = ada_keys },
			      { .name = "bo", .keys = bo_keys } };
static bw_tenant_t bo_without_keys[] = { { .name = "ada", .keys = ada_keys },
					 { .name = "bo", .keys = no_keys } };
static bw_tenant_t bo_alone[] = { { .name = "bo", .keys = bo_more_keys } };

/** A node's version of the configuration, and what it knows of others. */
typedef struct node {
	bw_config_sync_t *sync;
	bw_fleet_config_t config;
	bw_tenant_keys_t *keys;
	int64_t now_ms;
	bw_caller_t caller; /**< Of the last call. */
} node_t;

static void begin(node_t *n)
{
	*n = (node_t){ .sync = bw_config_sync_create(&bounds, 1),
		       .now_ms = START_MS };
}

static void end(node_t *n)
{
	bw_tenant_keys_destroy(n->keys);
	bw_config_sync_destroy(n->sync);
}

/* Takes a version if it is newer, as the node does. */
static bool take(node_t *n, int64_t revision, bw_tenant_t *tenants,
		 uint32_t count)
{
	if (!bw_config_sync_take(n->sync, revision))
		return false;
	bw_tenant_keys_destroy(n->keys);
	n->config = (bw_fleet_config_t){ .version = revision,
					 .has_tenants = true,
					 .tenants = tenants,
					 .tenant_count = count };
	n->keys = bw_tenant_keys_create(&n->config);
	return true;
}

static void confirm(node_t *n)
{
	bw_config_sync_confirm(n->sync, n->now_ms);
}

static void hear(node_t *n, uint64_t peer, int64_t revision, int64_t age_ms)
{
	bw_config_report_t report = { peer, revision, age_ms };

	bw_config_sync_report(n->sync, n->now_ms, &report);
}

static bw_key_verdict_t call(node_t *n, const bw_queue_t *queue,
			     const char *key)
{
	return bw_tenant_keys_check(n->keys, queue, key,
				    bw_config_sync_trust(n->sync, n->now_ms),
				    &n->caller);
}

static uint64_t ask(node_t *n)
{
	return bw_config_sync_ask(n->sync, n->now_ms);
}

static void test_key_tells_the_tenant(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 1, both, 2));
	confirm(&n);
	assert_int_equal(call(&n, &keyed, "ka2"), BW_KEY_ALLOWED);
	assert_string_equal(n.caller.tenant, "ada");
	assert_false(n.caller.sees_all);
	assert_int_equal(call(&n, &keyed, "kb1"), BW_KEY_ALLOWED);
	assert_string_equal(n.caller.tenant, "bo");
	assert_int_equal(call(&n, &keyed, "nobody's"), BW_KEY_UNKNOWN);
	assert_int_equal(call(&n, &keyed, ""), BW_KEY_UNKNOWN);
	assert_int_equal(call(&n, &keyed, NULL), BW_KEY_UNKNOWN);
	end(&n);
}

/* A caller of a public queue is nobody in particular, whatever it sends. */
static void test_public_queue_needs_no_key(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 1, both, 2));
	assert_int_equal(call(&n, &open_queue, NULL), BW_KEY_ALLOWED);
	assert_int_equal(call(&n, &open_queue, "ka1"), BW_KEY_ALLOWED);
	assert_null(n.caller.tenant);
	assert_true(bw_caller_may_see(&n.caller, NULL));
	assert_false(bw_caller_may_see(&n.caller, "ada"));
	end(&n);
}

/* Without tenants everyone is served and sees all, however old the version. */
static void test_configuration_without_tenants_needs_no_keys(void **state)
{
	bw_fleet_config_t config = { .version = 1 };
	bw_tenant_keys_t *keys = bw_tenant_keys_create(&config);
	bw_caller_t caller;

	(void)state;
	assert_int_equal(bw_tenant_keys_check(keys, &keyed, NULL,
					      BW_CONFIG_DOUBTED, &caller),
			 BW_KEY_ALLOWED);
	assert_true(bw_caller_may_see(&caller, "ada"));
	bw_tenant_keys_destroy(keys);
}

static void test_tenant_sees_its_own_jobs_and_nobodys(void **state)
{
	bw_caller_t ada = { .tenant = "ada" };

	(void)state;
	assert_true(bw_caller_may_see(&ada, "ada"));
	assert_true(bw_caller_may_see(&ada, NULL));
	assert_false(bw_caller_may_see(&ada, "bo"));
}

/* Failure: a version takes a key away, another all keys of a tenant. */
static void test_key_taken_away_is_refused_from_then_on(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 1, both, 2));
	confirm(&n);
	assert_true(take(&n, 5, bo_without_keys, 2));
	assert_int_equal(call(&n, &keyed, "kb1"), BW_KEY_UNKNOWN);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	assert_true(take(&n, 9, bo_alone, 1));
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNKNOWN);
	assert_int_equal(call(&n, &keyed, "kb2"), BW_KEY_ALLOWED);
	end(&n);
}

/* Failure: versions in quick succession reach a node out of order, some by the
 * store and some by other nodes. */
static void test_older_version_is_never_taken(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 30, bo_alone, 1));
	assert_false(take(&n, 20, both, 2));
	assert_false(take(&n, 30, both, 2));
	confirm(&n);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNKNOWN);
	assert_true(take(&n, 31, both, 2));
	assert_false(take(&n, 30, bo_alone, 1));
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	end(&n);
}

/* Failure: a node hears neither the store nor any node that does. A version
 * that it doesn't know may have taken a key away, or added one. */
static void test_node_that_hears_nobody_neither_serves_nor_rejects(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 1, both, 2));
	confirm(&n);
	n.now_ms += APPLY_MS;
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	/* It is not rejected by a version that others may not have any more. */
	assert_int_equal(call(&n, &keyed, "nobody's"), BW_KEY_UNSURE);
	n.now_ms = START_MS + APPLY_MS + OUTAGE_MS;
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNSURE);
	assert_int_equal(call(&n, &keyed, "nobody's"), BW_KEY_UNSURE);
	assert_int_equal(call(&n, &open_queue, NULL), BW_KEY_ALLOWED);
	confirm(&n);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	assert_int_equal(call(&n, &keyed, "nobody's"), BW_KEY_UNKNOWN);
	end(&n);
}

/* The word of a node counts from when the store gave it, not from when it
 * arrives: a frozen process or a slow link makes it old. */
static void test_word_of_another_node_counts_by_its_age(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 5, both, 2));
	confirm(&n);
	n.now_ms += LONG_MS;
	hear(&n, FIRST_PEER, 5, LONG_MS);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNSURE);
	hear(&n, FIRST_PEER, 5, 0);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNSURE);
	hear(&n, FIRST_PEER, 5, 200);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	n.now_ms += APPLY_MS + OUTAGE_MS - 200;
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNSURE);
	end(&n);
}

/* A node that has heard of a newer version can't tell whose a key is not. */
static void
test_unknown_key_is_not_rejected_behind_a_newer_version(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 5, both, 2));
	confirm(&n);
	hear(&n, FIRST_PEER, 6, 10);
	assert_int_equal(call(&n, &keyed, "kb2"), BW_KEY_UNSURE);
	assert_int_equal(call(&n, &keyed, NULL), BW_KEY_UNSURE);
	assert_int_equal(call(&n, &keyed, "kb1"), BW_KEY_ALLOWED);
	assert_true(take(&n, 6, bo_alone, 1));
	assert_int_equal(call(&n, &keyed, "kb2"), BW_KEY_ALLOWED);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNKNOWN);
	end(&n);
}

/* A node with a newer version says nothing for the older one, until that has
 * been replaced; then its last word counts. */
static void test_node_ahead_confirms_only_what_it_has(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 5, both, 2));
	confirm(&n);
	n.now_ms += LONG_MS;
	hear(&n, FIRST_PEER, 6, 10);
	assert_int_equal(call(&n, &keyed, "kb1"), BW_KEY_UNSURE);
	assert_true(take(&n, 6, both, 2));
	assert_int_equal(call(&n, &keyed, "kb1"), BW_KEY_ALLOWED);
	end(&n);
}

/* A node that has an older version knows of none beyond ours. */
static void test_node_behind_confirms_the_newer_version(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 6, both, 2));
	n.now_ms += LONG_MS;
	hear(&n, FIRST_PEER, 5, 10);
	assert_int_equal(call(&n, &keyed, "kb1"), BW_KEY_ALLOWED);
	end(&n);
}

/* Failure: the store turns this node away while it serves the others. */
static void test_newer_version_is_asked_for_one_node_at_a_time(void **state)
{
	node_t n;
	uint64_t first;

	(void)state;
	begin(&n);
	assert_true(take(&n, 5, both, 2));
	confirm(&n);
	hear(&n, FIRST_PEER, 5, 10);
	n.now_ms += 1000;
	assert_int_equal(ask(&n), 0);
	hear(&n, FIRST_PEER, 6, 10);
	hear(&n, OTHER_PEER, 6, 10);
	/* The store may be about to send it. */
	assert_int_equal(ask(&n), 0);
	n.now_ms += 200;
	first = ask(&n);
	assert_true(first == FIRST_PEER || first == OTHER_PEER);
	n.now_ms += 100;
	assert_int_equal(ask(&n), 0);
	/* It does not answer: the other one is asked. */
	n.now_ms += 900;
	assert_int_equal(ask(&n), FIRST_PEER + OTHER_PEER - first);
	assert_true(take(&n, 6, both, 2));
	n.now_ms += 1000;
	assert_int_equal(ask(&n), 0);
	end(&n);
}

/* Failure: the only node with the newer version is gone. */
static void test_lost_node_is_not_asked(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	assert_true(take(&n, 5, both, 2));
	confirm(&n);
	hear(&n, FIRST_PEER, 6, 10);
	bw_config_sync_lost(n.sync, FIRST_PEER);
	n.now_ms += 1000;
	assert_int_equal(ask(&n), 0);
	/* That there is a newer one stays true. */
	assert_int_equal(call(&n, &keyed, "kb2"), BW_KEY_UNSURE);
	hear(&n, OTHER_PEER, 6, 10);
	assert_int_equal(ask(&n), OTHER_PEER);
	end(&n);
}

/* Many nodes that fall behind together don't ask the same one. */
static void test_nodes_behind_ask_different_nodes(void **state)
{
	uint32_t asked[4] = { 0 };
	uint64_t node;
	uint64_t peer;

	(void)state;
	for (node = 0; node < 32; node++) {
		node_t n = { .sync = bw_config_sync_create(&bounds,
							   node * 0x1234567),
			     .now_ms = START_MS };

		for (peer = 0; peer < 4; peer++)
			hear(&n, 1000 + peer, 6, 10);
		n.now_ms += 1000;
		asked[ask(&n) - 1000]++;
		bw_config_sync_destroy(n.sync);
	}
	for (peer = 0; peer < 4; peer++)
		assert_in_range(asked[peer], 1, 20);
}

/* Failure: a node starts again while the store turns it away. It has no version
 * then, and gets one from another node. */
static void test_restarted_node_gets_its_version_from_another(void **state)
{
	node_t n;

	(void)state;
	begin(&n);
	hear(&n, FIRST_PEER, 6, 10);
	n.now_ms += 200;
	assert_int_equal(ask(&n), FIRST_PEER);
	assert_true(take(&n, 6, bo_alone, 1));
	assert_int_equal(call(&n, &keyed, "kb2"), BW_KEY_ALLOWED);
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_UNKNOWN);
	end(&n);
}

/* Confirmations come once a second: short bounds don't make a node that is
 * confirmed doubt its version. */
static void test_short_bound_leaves_time_for_confirmations(void **state)
{
	bw_config_bounds_t short_bounds = { .apply_ms = 500 };
	node_t n = { .sync = bw_config_sync_create(&short_bounds, 1),
		     .now_ms = START_MS };

	(void)state;
	assert_true(take(&n, 1, both, 2));
	confirm(&n);
	n.now_ms += 2000;
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	end(&n);
}

/* Settings without a bound: a node serves by the version that it has. */
static void test_without_a_bound_no_version_is_doubted(void **state)
{
	bw_config_bounds_t none = { 0 };
	node_t n = { .sync = bw_config_sync_create(&none, 1),
		     .now_ms = START_MS };

	(void)state;
	assert_true(take(&n, 1, both, 2));
	assert_int_equal(call(&n, &keyed, "ka1"), BW_KEY_ALLOWED);
	assert_int_equal(call(&n, &keyed, "nobody's"), BW_KEY_UNKNOWN);
	end(&n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_tells_the_tenant),
		cmocka_unit_test(test_public_queue_needs_no_key),
		cmocka_unit_test(
			test_configuration_without_tenants_needs_no_keys),
		cmocka_unit_test(test_tenant_sees_its_own_jobs_and_nobodys),
		cmocka_unit_test(test_key_taken_away_is_refused_from_then_on),
		cmocka_unit_test(test_older_version_is_never_taken),
		cmocka_unit_test(
			test_node_that_hears_nobody_neither_serves_nor_rejects),
		cmocka_unit_test(test_word_of_another_node_counts_by_its_age),
		cmocka_unit_test(
			test_unknown_key_is_not_rejected_behind_a_newer_version),
		cmocka_unit_test(test_node_ahead_confirms_only_what_it_has),
		cmocka_unit_test(test_node_behind_confirms_the_newer_version),
		cmocka_unit_test(
			test_newer_version_is_asked_for_one_node_at_a_time),
		cmocka_unit_test(test_lost_node_is_not_asked),
		cmocka_unit_test(test_nodes_behind_ask_different_nodes),
		cmocka_unit_test(
			test_restarted_node_gets_its_version_from_another),
		cmocka_unit_test(
			test_short_bound_leaves_time_for_confirmations),
		cmocka_unit_test(test_without_a_bound_no_version_is_doubted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
