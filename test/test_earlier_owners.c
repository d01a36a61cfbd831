/* Which earlier owners of a pool a node takes to have stopped. The tests write
 * the claims and registrations of other nodes into a store in memory. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fleet/member.h"
#include "standin/memstore.h"
#include "wire/record.pb-c.h"

#define POOL	 "p"
#define SELF	 "self"
#define LEASE_MS 2000
#define ROUND_S	 0.02
/** Longer than any test takes. */
#define OUTAGE_MS 600000
/** Limit of a wait for something that must come: 20 s. */
#define ROUNDS_MAX 1000
/** Time in which events are delivered: 0.2 s. */
#define SOME_ROUNDS 10

typedef struct owners_test {
	struct ev_loop *loop;
	bw_memstore_t *store;
	bw_fleet_member_t *member;
	ev_timer timer;
	uint32_t rounds_left;
	bool may_claim; /**< Whether the pool needs an owner. */
	bool owned;
	bw_known_owners_t known; /**< As read from the pool's state. */
	uint32_t asked; /**< Owners that the last check would ask. */
	char asked_node[16]; /**< The last of them. */
	int64_t asked_revision;
} owners_test_t;

static void on_node(void *ctx, const char *name, const char *address)
{
	(void)ctx;
	(void)name;
	(void)address;
}

static void on_gained(void *ctx, const char *pool, int64_t revision)
{
	(void)pool;
	(void)revision;
	((owners_test_t *)ctx)->owned = true;
}

static void on_lost(void *ctx, const char *pool, const char *reason)
{
	(void)pool;
	(void)reason;
	((owners_test_t *)ctx)->owned = false;
}

static void list_pools(void *ctx, void (*fn)(void *arg, const char *pool),
		       void *arg)
{
	if (((owners_test_t *)ctx)->may_claim)
		fn(arg, POOL);
}

static void on_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static const bw_fleet_member_ops_t ops = { .node_changed = on_node,
					   .gained = on_gained,
					   .lost = on_lost,
					   .foreach_pool = list_pools,
					   .store_result = on_result };

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	owners_test_t *t = timer->data;

	(void)revents;
	bw_fleet_member_tick(t->member, bw_clock_now_ms());
	if (--t->rounds_left == 0)
		ev_break(loop, EVBREAK_ALL);
}

static void run(owners_test_t *t, uint32_t rounds)
{
	t->rounds_left = rounds;
	ev_run(t->loop, 0);
}

static void wait_for_owned(owners_test_t *t, bool owned)
{
	uint32_t i;

	for (i = 0; i < ROUNDS_MAX && t->owned != owned; i++)
		run(t, 1);
	assert_int_equal(t->owned, owned);
}

/** Operations of the store, and the same with claims whose answers are held. */
static bw_store_ops_t memstore_ops;
static bw_store_ops_t holding_ops;
static bool hold_claims;

/** The answer to a claim that is held; no callback: there is none. */
static struct {
	bw_store_done_fn done;
	void *ctx;
	bw_store_reply_t reply;
} held;

static void keep_reply(void *ctx, const bw_store_reply_t *reply)
{
	(void)ctx;
	held.reply = *reply;
	held.reply.kvs = NULL;
	held.reply.kv_count = 0;
}

static void carry_out(void *impl, const bw_store_txn_t *txn,
		      bw_store_done_fn done, void *ctx)
{
	if (!hold_claims || !txn->writes[0].value ||
	    !g_str_has_prefix(txn->writes[0].key, "bw/m/own/")) {
		memstore_ops.txn(impl, txn, done, ctx);
		return;
	}
	hold_claims = false;
	held.done = done;
	held.ctx = ctx;
	memstore_ops.txn(impl, txn, keep_reply, NULL);
}

static void answer_held(void)
{
	held.done(held.ctx, &held.reply);
	held.done = NULL;
}

static void set_up(owners_test_t *t)
{
	bw_fleet_member_config_t config = { .name = SELF,
					    .address = "127.0.0.1:1",
					    .incarnation = 77,
					    .lease_ms = LEASE_MS,
					    .outage_ms = OUTAGE_MS,
					    .started_ms = 1 };
	bw_store_t store;

	memset(t, 0, sizeof(*t));
	t->loop = ev_loop_new(0);
	t->store = bw_memstore_create(t->loop);
	store = bw_memstore_interface(t->store);
	memstore_ops = *store.ops;
	holding_ops = *store.ops;
	holding_ops.txn = carry_out;
	hold_claims = false;
	store.ops = &holding_ops;
	t->member = bw_fleet_member_create(t->loop, &store, &config, &ops, t);
	ev_timer_init(&t->timer, on_timer, ROUND_S, ROUND_S);
	t->timer.data = t;
	ev_timer_start(t->loop, &t->timer);
	run(t, SOME_ROUNDS);
}

static void tear_down(owners_test_t *t)
{
	ev_timer_stop(t->loop, &t->timer);
	bw_fleet_member_destroy(t->member);
	bw_memstore_destroy(t->store);
	ev_loop_destroy(t->loop);
}

/* Writes a node's registration by a process of it. */
static void put_node(owners_test_t *t, const char *node, uint64_t incarnation)
{
	Bramley__NodeRecord record = BRAMLEY__NODE_RECORD__INIT;
	char *key = g_strconcat("bw/m/node/", node, NULL);
	uint8_t data[256];

	record.address = (char *)"127.0.0.1:2";
	record.incarnation = incarnation;
	record.started_ms = 1;
	bw_memstore_put(t->store, key, (const char *)data,
			bramley__node_record__pack(&record, data));
	g_free(key);
}

static void delete_claim(owners_test_t *t)
{
	char *key = bw_fleet_owner_key(POOL);

	bw_memstore_put(t->store, key, NULL, 0);
	g_free(key);
}

/* A node claims the pool. Returns the claim's revision. */
static int64_t put_claim(owners_test_t *t, const char *node,
			 uint64_t incarnation)
{
	Bramley__OwnerRecord record = BRAMLEY__OWNER_RECORD__INIT;
	char *key = bw_fleet_owner_key(POOL);
	uint8_t data[256];
	int64_t revision;

	record.node = (char *)node;
	record.incarnation = incarnation;
	record.nonce = 5;
	bw_memstore_put(t->store, key, (const char *)data,
			bramley__owner_record__pack(&record, data));
	revision = bw_memstore_revision(t->store, key);
	g_free(key);
	return revision;
}

/* The same, and its claim is gone again. */
static int64_t claim_for_a_while(owners_test_t *t, const char *node,
				 uint64_t incarnation)
{
	int64_t revision = put_claim(t, node, incarnation);

	run(t, SOME_ROUNDS);
	delete_claim(t);
	run(t, SOME_ROUNDS);
	return revision;
}

static void note_asked(void *ctx, const bw_earlier_owner_t *owner)
{
	owners_test_t *t = ctx;

	t->asked++;
	t->asked_revision = owner->revision;
	g_strlcpy(t->asked_node, owner->node, sizeof(t->asked_node));
}

/* Whether this node, which owns the pool, takes all earlier owners to have
 * stopped; those that it would ask are noted. */
static bool takes_all_for_stopped(owners_test_t *t)
{
	t->asked = 0;
	return bw_fleet_member_earlier_stopped(
		t->member, POOL, bw_clock_now_ms(), &t->known, note_asked, t);
}

/* The owner that was asked last answers that it gives no orders any more. */
static void answer_stopped(owners_test_t *t)
{
	bw_earlier_owner_t owner = { POOL, t->asked_node, t->asked_revision };

	bw_fleet_member_owner_stopped(t->member, &owner);
}

/* An owner whose process has ended gives no orders, and it knew those before
 * it. */
static void test_only_owner_has_ended(void **state)
{
	owners_test_t t;

	(void)state;
	set_up(&t);
	put_node(&t, "first", 1);
	t.known.known_from = claim_for_a_while(&t, "first", 1);
	put_node(&t, "first", 2);
	t.may_claim = true;
	wait_for_owned(&t, true);
	run(&t, SOME_ROUNDS);
	assert_true(takes_all_for_stopped(&t));
	tear_down(&t);
}

/*
 * Failure: two runs at once. An owner is cut off from the store and goes on for
 * a while; the next one claims the pool and ends. The third one counts the
 * grants from the end of the second.
 */
static void test_owner_in_between_hides_one_that_still_acts(void **state)
{
	owners_test_t t;

	(void)state;
	set_up(&t);
	put_node(&t, "first", 1);
	put_node(&t, "second", 1);
	t.known.known_from = claim_for_a_while(&t, "first", 1);
	claim_for_a_while(&t, "second", 1);
	put_node(&t, "second", 2);
	t.may_claim = true;
	wait_for_owned(&t, true);
	run(&t, SOME_ROUNDS);
	assert_false(takes_all_for_stopped(&t));
	assert_int_equal(t.asked, 1);
	assert_string_equal(t.asked_node, "first");
	answer_stopped(&t);
	assert_true(takes_all_for_stopped(&t));
	tear_down(&t);
}

/* Failure: the same, and the owner in between was this node itself. */
static void test_own_lost_claim_hides_one_that_still_acts(void **state)
{
	owners_test_t t;

	(void)state;
	set_up(&t);
	put_node(&t, "first", 1);
	t.known.known_from = claim_for_a_while(&t, "first", 1);
	t.may_claim = true;
	wait_for_owned(&t, true);
	delete_claim(&t);
	wait_for_owned(&t, false);
	wait_for_owned(&t, true);
	run(&t, SOME_ROUNDS);
	assert_false(takes_all_for_stopped(&t));
	tear_down(&t);
}

/* Failure: the watch has not reported the claim in between yet. */
static void test_claim_that_is_not_reported_yet_is_overlooked(void **state)
{
	owners_test_t t;

	(void)state;
	set_up(&t);
	put_node(&t, "first", 1);
	put_node(&t, "second", 1);
	t.known.known_from = claim_for_a_while(&t, "first", 1);
	put_node(&t, "first", 2);
	run(&t, SOME_ROUNDS);
	bw_memstore_delay_events(t.store, true);
	claim_for_a_while(&t, "second", 1);
	t.may_claim = true;
	wait_for_owned(&t, true);
	assert_false(takes_all_for_stopped(&t));
	bw_memstore_delay_events(t.store, false);
	run(&t, SOME_ROUNDS);
	assert_false(takes_all_for_stopped(&t));
	tear_down(&t);
}

/*
 * Failure: a claim is answered late, when it is gone and another node owns the
 * pool: this one gives orders as well.
 */
static void test_claim_that_is_answered_after_its_end(void **state)
{
	owners_test_t t;
	uint32_t i;

	(void)state;
	set_up(&t);
	put_node(&t, "other", 1);
	hold_claims = true;
	t.may_claim = true;
	for (i = 0; i < ROUNDS_MAX && !held.done; i++)
		run(&t, 1);
	assert_non_null(held.done);
	run(&t, SOME_ROUNDS);
	/* It may still own the pool, so it is not taken to have stopped. */
	assert_true(bw_fleet_member_may_own(t.member, POOL));
	delete_claim(&t);
	run(&t, SOME_ROUNDS);
	put_claim(&t, "other", 1);
	run(&t, SOME_ROUNDS);
	answer_held();
	run(&t, SOME_ROUNDS);
	assert_false(t.owned);
	assert_false(bw_fleet_member_may_own(t.member, POOL));
	assert_string_equal(bw_fleet_member_owner(t.member, POOL), "other");
	tear_down(&t);
}

static bool has_predecessor(owners_test_t *t)
{
	return bw_fleet_member_has_predecessor(t->member, POOL,
					       bw_clock_now_ms());
}

/*
 * Failure: a controller is told of the last one only, and of none that the
 * watch has not reported yet, and orders machines beside an earlier one.
 */
static void test_controller_overlooks_an_earlier_one(void **state)
{
	owners_test_t t;

	(void)state;
	set_up(&t);
	put_node(&t, "first", 1);
	put_node(&t, "second", 1);
	claim_for_a_while(&t, "first", 1);
	put_node(&t, "first", 2);
	run(&t, SOME_ROUNDS);
	bw_memstore_delay_events(t.store, true);
	claim_for_a_while(&t, "second", 1);
	t.may_claim = true;
	wait_for_owned(&t, true);
	assert_true(has_predecessor(&t));
	bw_memstore_delay_events(t.store, false);
	run(&t, SOME_ROUNDS);
	assert_true(has_predecessor(&t));
	/* It may go on without a registration. */
	bw_memstore_put(t.store, "bw/m/node/second", NULL, 0);
	run(&t, SOME_ROUNDS);
	assert_true(has_predecessor(&t));
	put_node(&t, "second", 2);
	run(&t, SOME_ROUNDS);
	assert_false(has_predecessor(&t));
	tear_down(&t);
}

/* A controller that leaves in order tells so before its process ends; what it
 * says of another claim counts for nothing. */
static void test_controller_that_has_released_its_role(void **state)
{
	bw_earlier_owner_t released = { POOL, "first", 0 };
	owners_test_t t;

	(void)state;
	set_up(&t);
	put_node(&t, "first", 1);
	released.revision = claim_for_a_while(&t, "first", 1);
	t.may_claim = true;
	wait_for_owned(&t, true);
	run(&t, SOME_ROUNDS);
	assert_true(has_predecessor(&t));
	released.revision++;
	bw_fleet_member_owner_stopped(t.member, &released);
	assert_true(has_predecessor(&t));
	released.revision--;
	bw_fleet_member_owner_stopped(t.member, &released);
	assert_false(has_predecessor(&t));
	tear_down(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_owner_has_ended),
		cmocka_unit_test(
			test_owner_in_between_hides_one_that_still_acts),
		cmocka_unit_test(test_own_lost_claim_hides_one_that_still_acts),
		cmocka_unit_test(
			test_claim_that_is_not_reported_yet_is_overlooked),
		cmocka_unit_test(test_claim_that_is_answered_after_its_end),
		cmocka_unit_test(test_controller_overlooks_an_earlier_one),
		cmocka_unit_test(test_controller_that_has_released_its_role),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
