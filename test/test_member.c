/* Claims of pools and their loss, against a store in memory. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fleet/member.h"
#include "standin/memstore.h"
#include "wire/record.pb-c.h"

#define POOL	    "p"
#define SELF	    "self"
#define INCARNATION 77
#define LEASE_MS    2000
/** Longer than any test takes. */
#define OUTAGE_MS 600000
#define ROUND_S	  0.02
#define ROUNDS	  60
/** Limit of a wait for something that must come: 20 s. */
#define ROUNDS_MAX 1000
/** Longer than a node must have been registered to get a pool, and than the
 * pause after which it gets one. */
#define STEADY_MS 10000
#define OTHER	  "other"

static const bw_node_capacity_t small = { { 120, 160, 10000, 4100 } };
static const bw_node_capacity_t large = { { 500, 512, 200000, 8192 } };

typedef struct member_test {
	struct ev_loop *loop;
	bw_memstore_t *store;
	bw_fleet_member_t *member;
	ev_timer timer;
	uint32_t round;
	bool pool_needs_owner; /**< Whether list_pools() has the pools. */
	const char *pools[2]; /**< The second may be NULL. */
	bool owned;
	uint32_t gained;
	uint32_t lost;
	uint32_t nodes_removed;
	int64_t fencing_token;
	char reason[32];
} member_test_t;

static void on_node(void *ctx, const char *name, const char *address)
{
	(void)name;
	if (!address)
		((member_test_t *)ctx)->nodes_removed++;
}

static void on_gained(void *ctx, const char *pool, int64_t revision)
{
	member_test_t *t = ctx;

	assert_true(g_strcmp0(pool, t->pools[0]) == 0 ||
		    g_strcmp0(pool, t->pools[1]) == 0);
	t->owned = true;
	t->gained++;
	t->fencing_token = revision;
}

static void on_lost(void *ctx, const char *pool, const char *reason)
{
	member_test_t *t = ctx;

	(void)pool;
	t->owned = false;
	t->lost++;
	g_strlcpy(t->reason, reason, sizeof(t->reason));
}

static void list_pools(void *ctx, void (*fn)(void *arg, const char *pool),
		       void *arg)
{
	const member_test_t *t = ctx;

	if (!t->pool_needs_owner)
		return;
	fn(arg, t->pools[0]);
	if (t->pools[1])
		fn(arg, t->pools[1]);
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
	member_test_t *t = timer->data;

	(void)revents;
	bw_fleet_member_tick(t->member, bw_clock_now_ms());
	if (++t->round >= ROUNDS)
		ev_break(loop, EVBREAK_ALL);
}

/* Runs the loop for ROUNDS ticks, in which calls to the store are answered. */
static void run_rounds(member_test_t *t)
{
	t->round = 0;
	ev_run(t->loop, 0);
}

/** Operations of the store, and the same with deletions that fail. */
static bw_store_ops_t memstore_ops;
static bw_store_ops_t failing_ops;
static uint32_t deletions_to_fail;
static uint32_t claims_sent;
static int64_t registration_sent_ms;
static int64_t first_claim_ms; /**< When it was sent; 0: not yet. */
static uint32_t versions_written; /**< Records that say version 1. */

static void count_version(const bw_store_write_t *write)
{
	const uint8_t *data = (const uint8_t *)write->value;
	bool claim = g_str_has_prefix(write->key, "bw/m/own/");
	Bramley__OwnerRecord *owner;
	Bramley__NodeRecord *node;

	if (!data)
		return;
	if (claim) {
		owner = bramley__owner_record__unpack(NULL, write->bytes, data);
		versions_written += owner->version == 1;
		bramley__owner_record__free_unpacked(owner, NULL);
	} else {
		node = bramley__node_record__unpack(NULL, write->bytes, data);
		versions_written += node->version == 1;
		bramley__node_record__free_unpacked(node, NULL);
	}
}

/** Claims that fail: the first gets no answer, the second is refused. */
static uint32_t claims_to_fail;
/** The claim that got no answer, which the store carries out later. */
static GBytes *late_claim;

static void ignore_reply(void *ctx, const bw_store_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

/* Carries out a late claim before any other call. */
static void carry_out_late(void *impl)
{
	char *key = bw_fleet_owner_key(POOL);
	bw_store_expect_t expect = { key, 0 };
	bw_store_write_t write = { .key = key };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };

	write.value = g_bytes_get_data(late_claim, &write.bytes);
	memstore_ops.txn(impl, &txn, ignore_reply, NULL);
	g_clear_pointer(&late_claim, g_bytes_unref);
	g_free(key);
}

/* Returns whether a claim is to fail, and answers it. */
static bool fail_claim(const bw_store_write_t *write, bw_store_done_fn done,
		       void *ctx)
{
	bw_store_reply_t lost = { .status = BW_ELOST };
	bw_store_reply_t refused = { .status = BW_EUNAVAIL };

	if (claims_to_fail == 0)
		return false;
	if (--claims_to_fail == 0) {
		done(ctx, &refused);
		return true;
	}
	late_claim = g_bytes_new(write->value, write->bytes);
	done(ctx, &lost);
	return true;
}

/** Claims get no answer, as from a store that resets connections. */
static bool lose_claims;

typedef struct lost_claim {
	bw_store_done_fn done;
	void *ctx;
} lost_claim_t;

static void answer_lost(void *ctx, const bw_store_reply_t *reply)
{
	bw_store_reply_t lost = { .status = BW_ELOST };
	lost_claim_t *claim = ctx;

	(void)reply;
	claim->done(claim->ctx, &lost);
	g_free(claim);
}

static void lose_claim(void *impl, bw_store_done_fn done, void *ctx)
{
	lost_claim_t *claim = g_new0(lost_claim_t, 1);

	claim->done = done;
	claim->ctx = ctx;
	memstore_ops.get(impl, "none", answer_lost, claim);
}

/** The next registration finds that the lease has ended. */
static bool lease_ended;

static void count_and_fail(void *impl, const bw_store_txn_t *txn,
			   bw_store_done_fn done, void *ctx)
{
	bw_store_reply_t reply = { .status = BW_EUNAVAIL };
	bw_store_reply_t no_lease = { .status = BW_ENOTFOUND };

	count_version(&txn->writes[0]);
	if (txn->writes[0].value &&
	    g_str_has_prefix(txn->writes[0].key, "bw/m/own/")) {
		claims_sent++;
		if (first_claim_ms == 0)
			first_claim_ms = bw_clock_now_ms();
		if (lose_claims) {
			lose_claim(impl, done, ctx);
			return;
		}
		if (fail_claim(&txn->writes[0], done, ctx))
			return;
		if (late_claim)
			carry_out_late(impl);
	}
	if (g_str_has_prefix(txn->writes[0].key, "bw/m/node/")) {
		registration_sent_ms = bw_clock_now_ms();
		if (lease_ended) {
			lease_ended = false;
			done(ctx, &no_lease);
			return;
		}
	}
	if (deletions_to_fail == 0 || txn->writes[0].value) {
		memstore_ops.txn(impl, txn, done, ctx);
		return;
	}
	deletions_to_fail--;
	done(ctx, &reply);
}

static void set_up(member_test_t *t)
{
	bw_fleet_member_config_t config = { .name = SELF,
					    .address = "127.0.0.1:1",
					    .incarnation = INCARNATION,
					    .lease_ms = LEASE_MS,
					    .outage_ms = OUTAGE_MS,
					    .started_ms = 1,
					    .capacity = small };
	bw_store_t store;

	memset(t, 0, sizeof(*t));
	t->pool_needs_owner = true;
	t->pools[0] = POOL;
	t->loop = ev_loop_new(0);
	t->store = bw_memstore_create(t->loop);
	store = bw_memstore_interface(t->store);
	memstore_ops = *store.ops;
	failing_ops = *store.ops;
	failing_ops.txn = count_and_fail;
	deletions_to_fail = 0;
	lease_ended = false;
	lose_claims = false;
	claims_to_fail = 0;
	claims_sent = 0;
	versions_written = 0;
	first_claim_ms = 0;
	store.ops = &failing_ops;
	t->member = bw_fleet_member_create(t->loop, &store, &config, &ops, t);
	ev_timer_init(&t->timer, on_timer, ROUND_S, ROUND_S);
	t->timer.data = t;
	ev_timer_start(t->loop, &t->timer);
}

static void tear_down(member_test_t *t)
{
	ev_timer_stop(t->loop, &t->timer);
	bw_fleet_member_destroy(t->member);
	bw_memstore_destroy(t->store);
	ev_loop_destroy(t->loop);
}

/* Writes the pool's owner record, or deletes it when node is NULL. */
static void put_owner(member_test_t *t, const char *node, uint64_t incarnation)
{
	Bramley__OwnerRecord record = BRAMLEY__OWNER_RECORD__INIT;
	char *key = bw_fleet_owner_key(POOL);
	uint8_t data[256];

	record.node = (char *)node;
	record.incarnation = incarnation;
	record.nonce = 5;
	if (node)
		bw_memstore_put(t->store, key, (const char *)data,
				bramley__owner_record__pack(&record, data));
	else
		bw_memstore_put(t->store, key, NULL, 0);
	g_free(key);
}

static int64_t owner_revision(member_test_t *t)
{
	char *key = bw_fleet_owner_key(POOL);
	int64_t revision = bw_memstore_revision(t->store, key);

	g_free(key);
	return revision;
}

static void test_free_pool_is_claimed(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/*
 * After a loss of power all nodes start together. One that has just registered
 * leaves the others time to do so, or it would claim all pools.
 */
static void test_new_node_lets_others_register(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	/* The VMs of a site start within 0.3 s of each other. */
	assert_true(first_claim_ms - registration_sent_ms >= 300);
	tear_down(&t);
}

/* A state that is no newer than the registration was stored before it. */
static void test_revision_of_the_registration_is_known(void **state)
{
	bw_store_seen_t seen;
	member_test_t t;

	(void)state;
	set_up(&t);
	seen = bw_fleet_member_registered(t.member);
	assert_int_equal(seen.revision, 0);
	run_rounds(&t);
	assert_true(t.owned);
	seen = bw_fleet_member_registered(t.member);
	assert_int_equal(seen.revision,
			 bw_memstore_revision(t.store, "bw/m/node/" SELF));
	assert_true(seen.ms >= registration_sent_ms);
	assert_true(seen.ms <= first_claim_ms - 300);
	tear_down(&t);
}

/* Watch events older than a claim don't end it when they arrive late. */
static void test_older_events_change_nothing(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	t.pool_needs_owner = false;
	run_rounds(&t);
	bw_memstore_delay_events(t.store, true);
	put_owner(&t, "other", 1);
	put_owner(&t, NULL, 0);
	t.pool_needs_owner = true;
	run_rounds(&t);
	assert_true(t.owned);
	bw_memstore_delay_events(t.store, false);
	run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(t.lost, 0);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/* The answer to a claim comes before the changes that are older than it. */
static void test_older_claims_are_known_with_its_own(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	t.pool_needs_owner = false;
	run_rounds(&t);
	assert_false(bw_fleet_member_knows_claims(t.member, POOL));
	bw_memstore_delay_events(t.store, true);
	t.pool_needs_owner = true;
	run_rounds(&t);
	assert_true(t.owned);
	assert_false(bw_fleet_member_knows_claims(t.member, POOL));
	assert_int_equal(bw_fleet_member_claim(t.member, POOL), 0);
	bw_memstore_delay_events(t.store, false);
	run_rounds(&t);
	assert_true(bw_fleet_member_knows_claims(t.member, POOL));
	assert_int_equal(bw_fleet_member_claim(t.member, POOL),
			 t.fencing_token);
	put_owner(&t, "other", 1);
	run_rounds(&t);
	assert_false(bw_fleet_member_knows_claims(t.member, POOL));
	assert_int_equal(bw_fleet_member_claim(t.member, POOL),
			 owner_revision(&t));
	tear_down(&t);
}

/* A store that resets connections is not asked as often as it does. */
static void test_claims_without_an_answer_are_repeated_at_once(void **state)
{
	member_test_t t;
	uint32_t before;

	(void)state;
	set_up(&t);
	lose_claims = true;
	run_rounds(&t);
	assert_true(claims_sent > 0);
	before = claims_sent;
	/* 1.2 s. */
	run_rounds(&t);
	assert_in_range(claims_sent - before, 1, 20);
	lose_claims = false;
	run_rounds(&t);
	assert_true(t.owned);
	tear_down(&t);
}

/* A newer owner record of another node ends the claim. */
static void test_newer_events_count(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	put_owner(&t, "other", 1);
	run_rounds(&t);
	assert_false(t.owned);
	assert_string_equal(t.reason, "claimed-away");
	tear_down(&t);
}

/*
 * A node whose registration is gone registers again and is told that its lease
 * has ended: so have its claims, whatever the watch has reported so far.
 */
static void test_claims_outlive_their_lease(void **state)
{
	member_test_t t;
	uint32_t i;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	lease_ended = true;
	bw_memstore_put(t.store, "bw/m/node/" SELF, NULL, 0);
	for (i = 0; i < ROUNDS_MAX / ROUNDS && lease_ended; i++)
		run_rounds(&t);
	assert_false(lease_ended);
	assert_int_equal(t.lost, 1);
	assert_string_equal(t.reason, "lease-lost");
	tear_down(&t);
}

/*
 * A claim that this process wrote, but whose answer it never got, is released,
 * after which the pool is claimed again.
 */
static void test_forgotten_claim_is_given_back(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	put_owner(&t, SELF, INCARNATION);
	run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/* The same if the store refuses the deletion at first. */
static void test_forgotten_claim_that_cannot_be_deleted_stays(void **state)
{
	member_test_t t;
	uint32_t i;

	(void)state;
	set_up(&t);
	deletions_to_fail = 2;
	put_owner(&t, SELF, INCARNATION);
	for (i = 0; i < ROUNDS_MAX / ROUNDS && !t.owned; i++)
		run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/* The same for a claim that is still in the store when its pool is dropped. */
static void test_claim_of_a_dropped_pool_stays(void **state)
{
	member_test_t t;
	uint32_t i;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	bw_fleet_member_drop_pool(t.member, POOL);
	assert_false(t.owned);
	for (i = 0; i < ROUNDS_MAX / ROUNDS && !t.owned; i++)
		run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/*
 * The store carries out a claim that got no answer, and whose repetition it
 * refused, while the next claim of this node is under way: that one fails at a
 * claim that nobody uses.
 */
static void test_claim_fails_at_an_earlier_one_of_its_own(void **state)
{
	member_test_t t;
	uint32_t i;

	(void)state;
	set_up(&t);
	claims_to_fail = 2;
	for (i = 0; i < ROUNDS_MAX / ROUNDS && !t.owned; i++)
		run_rounds(&t);
	assert_int_equal(claims_to_fail, 0);
	assert_true(claims_sent >= 3);
	assert_true(t.owned);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/** What a node thinks of the earlier owners of its pool. */
typedef enum earlier {
	ALL_STOPPED,
	WAITS_FOR_ANSWER, /**< One of them is asked. */
	WAITS_WITHOUT_ASKING
} earlier_t;

static void note_asked(void *ctx, const bw_earlier_owner_t *owner)
{
	(void)owner;
	*(bool *)ctx = true;
}

/* Checks the earlier owners of the pool, of which one handed it over. */
static earlier_t check_earlier(member_test_t *t, int64_t handed_over_by)
{
	bw_known_owners_t known = { handed_over_by, handed_over_by != 0 };
	bool asked = false;

	if (bw_fleet_member_earlier_stopped(t->member, POOL, bw_clock_now_ms(),
					    &known, note_asked, &asked))
		return ALL_STOPPED;
	return asked ? WAITS_FOR_ANSWER : WAITS_WITHOUT_ASKING;
}

/*
 * An owner that handed its pool over in order and left the site sends no more
 * orders, though nobody answers for it. That holds only for the last owner:
 * one in between may have sent some without saving the pool.
 */
static void test_owner_that_handed_over_has_ended(void **state)
{
	member_test_t t;
	int64_t revision;

	(void)state;
	set_up(&t);
	t.pool_needs_owner = false;
	put_owner(&t, OTHER, 1);
	revision = owner_revision(&t);
	run_rounds(&t);
	put_owner(&t, NULL, 0);
	t.pool_needs_owner = true;
	run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(check_earlier(&t, 0), WAITS_FOR_ANSWER);
	assert_int_equal(check_earlier(&t, revision - 1), WAITS_FOR_ANSWER);
	assert_int_equal(check_earlier(&t, revision), ALL_STOPPED);
	tear_down(&t);
}

static void put_node(member_test_t *t, const bw_node_capacity_t *capacity)
{
	Bramley__NodeRecord record = BRAMLEY__NODE_RECORD__INIT;
	uint8_t data[256];

	record.address = (char *)"127.0.0.1:2";
	record.incarnation = 1;
	record.started_ms = 1;
	record.cpu_millis = capacity->amounts[BW_NODE_CPU_MILLIS];
	record.memory_mb = capacity->amounts[BW_NODE_MEMORY_MB];
	record.link_kbits = capacity->amounts[BW_NODE_LINK_KBITS];
	record.descriptors = capacity->amounts[BW_NODE_DESCRIPTORS];
	bw_memstore_put(t->store, "bw/m/node/" OTHER, (const char *)data,
			bramley__node_record__pack(&record, data));
}

/* Runs the loop until the pool has no owner in the store. */
static void wait_for_deletion(member_test_t *t)
{
	uint32_t i;

	for (i = 0; i < ROUNDS_MAX && owner_revision(t) != 0; i++) {
		t->round = ROUNDS - 1;
		ev_run(t->loop, 0);
	}
	assert_int_equal(owner_revision(t), 0);
}

static bool finds_better(member_test_t *t, int64_t later_ms,
			 bw_handover_t *handover)
{
	return bw_fleet_member_find_better(
		t->member, POOL, bw_clock_now_ms() + later_ms, handover);
}

/*
 * A small owner finds a large node that has been registered for some time,
 * deletes its claim, also if that fails at first, and leaves the pool to it.
 */
static void test_pool_is_handed_over(void **state)
{
	bw_handover_t handover;
	member_test_t t;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	assert_false(finds_better(&t, STEADY_MS, &handover));
	put_node(&t, &large);
	run_rounds(&t);
	assert_true(finds_better(&t, STEADY_MS, &handover));
	assert_string_equal(handover.to, OTHER);
	deletions_to_fail = 2;
	bw_fleet_member_hand_over(t.member, POOL, bw_clock_now_ms());
	assert_int_not_equal(owner_revision(&t), 0);
	wait_for_deletion(&t);
	assert_int_equal(t.gained, 1);
	put_owner(&t, OTHER, 1);
	run_rounds(&t);
	assert_int_equal(t.gained, 1);
	assert_int_equal(t.lost, 0);
	assert_false(finds_better(&t, STEADY_MS, &handover));
	tear_down(&t);
}

/* If the other node doesn't claim the pool, this one does. */
static void test_pool_that_nobody_takes_is_claimed_again(void **state)
{
	member_test_t t;
	uint32_t i;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	put_node(&t, &large);
	run_rounds(&t);
	bw_fleet_member_hand_over(t.member, POOL, bw_clock_now_ms());
	for (i = 0; i < ROUNDS_MAX / ROUNDS && t.gained < 2; i++)
		run_rounds(&t);
	assert_int_equal(t.gained, 2);
	assert_int_equal(t.fencing_token, owner_revision(&t));
	tear_down(&t);
}

/* Finds a name of a pool that this node claims before an equal one; names with
 * the numbers from first on are tried. */
static uint32_t find_first_ranked(char name[8], uint32_t first)
{
	static const bw_ownership_candidate_t nodes[] = { { .name = SELF },
							  { .name = OTHER } };
	uint32_t i = first;

	do
		g_snprintf(name, 8, "p%u", i++);
	while (bw_ownership_rank(name, nodes, 2, 0) != 0);
	return i;
}

/*
 * Two pools have no owner, as when a site starts. The one that this node claims
 * counts as a role of its own at once, so that the other is left to the equal
 * node, although this one ranks first for both.
 */
static void test_claims_in_flight_count_as_roles(void **state)
{
	member_test_t t;
	char names[2][8];
	uint32_t i;

	(void)state;
	set_up(&t);
	t.pool_needs_owner = false;
	find_first_ranked(names[1], find_first_ranked(names[0], 0));
	t.pools[0] = names[0];
	t.pools[1] = names[1];
	put_node(&t, &small);
	run_rounds(&t);
	t.pool_needs_owner = true;
	bw_fleet_member_tick(t.member, bw_clock_now_ms());
	assert_int_equal(claims_sent, 1);
	/* The other node never claims, so this one comes next. */
	for (i = 0; i < ROUNDS_MAX / ROUNDS && t.gained < 2; i++)
		run_rounds(&t);
	assert_int_equal(t.gained, 2);
	tear_down(&t);
}

/** Values that this version can't read: of a newer version, whose number is
 * field 4 of a claim and field 9 of a registration, malformed, or empty. */
static const struct {
	const char *name;
	const char *claim;
	const char *registration;
	size_t bytes;
} unreadable[] = {
	{ "newer version", "\x0a\x01x\x20\x02", "\x0a\x01x\x48\x02", 5 },
	{ "malformed", "\xff\xff\xff\xff\xff", "\xff\xff\xff\xff\xff", 5 },
	{ "empty", "", "", 0 },
};

/*
 * A claim that can't be read is somebody's: the pool is not claimed, and once
 * the claim is gone its owner may still give orders.
 */
static void test_claim_that_cannot_be_read_is_respected(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unreadable); i++) {
		member_test_t t;

		set_up(&t);
		bw_memstore_put(t.store, "bw/m/own/" POOL, unreadable[i].claim,
				unreadable[i].bytes);
		run_rounds(&t);
		if (claims_sent > 0)
			print_error("case: %s\n", unreadable[i].name);
		assert_int_equal(claims_sent, 0);
		assert_null(bw_fleet_member_owner(t.member, POOL));
		put_owner(&t, NULL, 0);
		run_rounds(&t);
		assert_true(t.owned);
		assert_int_equal(check_earlier(&t, 0), WAITS_WITHOUT_ASKING);
		assert_true(bw_fleet_member_has_predecessor(t.member, POOL,
							    bw_clock_now_ms()));
		tear_down(&t);
	}
}

/* What was known of a node stays, and another node is not cut off from it. */
static void test_registration_that_cannot_be_read_is_no_end(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unreadable); i++) {
		bw_handover_t handover;
		member_test_t t;

		set_up(&t);
		put_node(&t, &large);
		run_rounds(&t);
		bw_memstore_put(t.store, "bw/m/node/" OTHER,
				unreadable[i].registration,
				unreadable[i].bytes);
		run_rounds(&t);
		if (t.nodes_removed > 0)
			print_error("case: %s\n", unreadable[i].name);
		assert_int_equal(t.nodes_removed, 0);
		assert_true(finds_better(&t, STEADY_MS, &handover));
		bw_memstore_put(t.store, "bw/m/node/" OTHER, NULL, 0);
		run_rounds(&t);
		assert_int_equal(t.nodes_removed, 1);
		tear_down(&t);
	}
}

/* Both records say the version that wrote them. */
static void test_claim_and_registration_say_their_version(void **state)
{
	member_test_t t;

	(void)state;
	set_up(&t);
	run_rounds(&t);
	assert_true(t.owned);
	assert_int_equal(versions_written, 2);
	tear_down(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_free_pool_is_claimed),
		cmocka_unit_test(test_new_node_lets_others_register),
		cmocka_unit_test(test_revision_of_the_registration_is_known),
		cmocka_unit_test(test_older_events_change_nothing),
		cmocka_unit_test(test_newer_events_count),
		cmocka_unit_test(test_older_claims_are_known_with_its_own),
		cmocka_unit_test(
			test_claims_without_an_answer_are_repeated_at_once),
		cmocka_unit_test(test_claims_outlive_their_lease),
		cmocka_unit_test(test_forgotten_claim_is_given_back),
		cmocka_unit_test(
			test_forgotten_claim_that_cannot_be_deleted_stays),
		cmocka_unit_test(test_claim_of_a_dropped_pool_stays),
		cmocka_unit_test(test_claim_fails_at_an_earlier_one_of_its_own),
		cmocka_unit_test(test_owner_that_handed_over_has_ended),
		cmocka_unit_test(test_claims_in_flight_count_as_roles),
		cmocka_unit_test(test_claim_and_registration_say_their_version),
		cmocka_unit_test(test_claim_that_cannot_be_read_is_respected),
		cmocka_unit_test(
			test_registration_that_cannot_be_read_is_no_end),
		cmocka_unit_test(test_pool_is_handed_over),
		cmocka_unit_test(test_pool_that_nobody_takes_is_claimed_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
