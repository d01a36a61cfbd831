/*
 * Nodes that pass the configuration on to one that the store turns away. Real
 * connections on loopback addresses; each node's store is a function call.
 */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fleet/config_exchange.h"
#include "place/share.h"
#include "standin/anyport.h"

#define LISTEN_IP "127.0.0.1"
#define NODES	  3
#define TICK_S	  0.02
/** A test that waits longer has failed. */
#define WAIT_MAX_S 20.0
/** Long enough for some heartbeats. */
#define CALM_S 1.5
/** As long as a configuration of some thousand tenants. */
#define LARGE_BYTES ((size_t)600000)

typedef struct node {
	char name[16];
	bw_anyport_t listen;
	bw_counters_t counters;
	bw_fleet_peers_t *peers;
	bw_config_exchange_t *exchange;
	bool store_serves; /**< The store confirms the node's version. */
	uint32_t received; /**< Versions that other nodes sent. */
	GString *value; /**< In force. */
	struct fleet *fleet;
} node_t;

typedef struct fleet {
	struct ev_loop *loop;
	ev_timer tick;
	ev_timer limit;
	node_t nodes[NODES];
	bool (*done)(const struct fleet *f);
	bool timed_out;
} fleet_t;

static void apply(void *ctx, int64_t revision, const char *value, size_t bytes)
{
	node_t *n = ctx;

	if (!bw_config_exchange_take(n->exchange, revision, value, bytes))
		return;
	g_string_truncate(n->value, 0);
	g_string_append_len(n->value, value, (gssize)bytes);
	bw_config_exchange_share(n->exchange);
}

static void on_received(void *ctx, int64_t revision, const char *value,
			size_t bytes)
{
	((node_t *)ctx)->received++;
	apply(ctx, revision, value, bytes);
}

static void query(void *ctx, const char *pool, const char *job,
		  const char *queue, bw_fleet_query_answer_t *out)
{
	(void)ctx;
	(void)pool;
	(void)job;
	(void)queue;
	(void)out;
}

static void ignore_frame(void *ctx, const Bramley__Frame *frame)
{
	(void)ctx;
	(void)frame;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	fleet_t *f = timer->data;
	int64_t now_ms = bw_clock_now_ms();
	uint32_t i;

	(void)revents;
	for (i = 0; i < NODES; i++) {
		node_t *n = &f->nodes[i];

		bw_config_exchange_tick(n->exchange, now_ms,
					n->store_serves ? now_ms : 0);
		bw_fleet_peers_tick(n->peers, now_ms);
	}
	if (f->done && f->done(f))
		ev_break(loop, EVBREAK_ALL);
}

static void on_limit(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)revents;
	((fleet_t *)timer->data)->timed_out = true;
	ev_break(loop, EVBREAK_ALL);
}

/* Runs until a condition holds, at most for some time; returns whether. */
static bool run(fleet_t *f, bool (*done)(const fleet_t *f), double seconds)
{
	f->done = done;
	f->timed_out = false;
	ev_timer_init(&f->limit, on_limit, seconds, 0.0);
	f->limit.data = f;
	ev_timer_start(f->loop, &f->limit);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &f->limit);
	return !f->timed_out;
}

static void begin_node(fleet_t *f, uint32_t index)
{
	const bw_config_bounds_t bounds = { 3000, 6000 };
	node_t *n = &f->nodes[index];

	n->fleet = f;
	n->value = g_string_new("");
	n->store_serves = true;
	g_snprintf(n->name, sizeof(n->name), "n%u", index);
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &n->listen), BW_OK);
	assert_int_equal(bw_fleet_peers_create(f->loop, n->name,
					       n->listen.address, 0, index + 1,
					       query, ignore_frame, n,
					       &n->counters, &n->peers),
			 BW_OK);
	n->exchange = bw_config_exchange_create(n->name, &bounds, n->peers,
						on_received, n);
}

static void begin(fleet_t *f)
{
	uint32_t i;
	uint32_t k;

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	for (i = 0; i < NODES; i++)
		begin_node(f, i);
	for (i = 0; i < NODES; i++)
		for (k = 0; k < NODES; k++)
			bw_fleet_peers_set_node(f->nodes[i].peers,
						f->nodes[k].name,
						f->nodes[k].listen.address);
	ev_timer_init(&f->tick, on_tick, TICK_S, TICK_S);
	f->tick.data = f;
	ev_timer_start(f->loop, &f->tick);
}

static void end(fleet_t *f)
{
	uint32_t i;

	ev_timer_stop(f->loop, &f->tick);
	for (i = 0; i < NODES; i++) {
		node_t *n = &f->nodes[i];

		bw_config_exchange_destroy(n->exchange);
		bw_fleet_peers_destroy(n->peers);
		bw_anyport_release(&n->listen);
		g_string_free(n->value, TRUE);
	}
	ev_loop_destroy(f->loop);
}

static bool has(const node_t *n, int64_t revision)
{
	return bw_config_sync_revision(bw_config_exchange_sync(n->exchange)) ==
	       revision;
}

static bw_config_trust_t trust(const node_t *n)
{
	return bw_config_sync_trust(bw_config_exchange_sync(n->exchange),
				    bw_clock_now_ms());
}

static bool all_have_5(const fleet_t *f)
{
	return has(&f->nodes[0], 5) && has(&f->nodes[1], 5) &&
	       has(&f->nodes[2], 5);
}

static bool all_have_6(const fleet_t *f)
{
	return has(&f->nodes[0], 6) && has(&f->nodes[1], 6) &&
	       has(&f->nodes[2], 6);
}

static bool is_last_confirmed(const fleet_t *f)
{
	return trust(&f->nodes[2]) == BW_CONFIG_NEWEST;
}

/* Failure: the store turns one node away. It gets each version from another
 * node, once, and is confirmed by their word that it has the newest. */
static void test_node_that_the_store_turns_away_gets_versions(void **state)
{
	fleet_t f;

	(void)state;
	begin(&f);
	f.nodes[2].store_serves = false;
	apply(&f.nodes[0], 5, "five", 4);
	apply(&f.nodes[1], 5, "five", 4);
	assert_true(run(&f, all_have_5, WAIT_MAX_S));
	assert_string_equal(f.nodes[2].value->str, "five");
	assert_true(run(&f, is_last_confirmed, WAIT_MAX_S));
	apply(&f.nodes[0], 6, "six", 3);
	apply(&f.nodes[1], 6, "six", 3);
	assert_true(run(&f, all_have_6, WAIT_MAX_S));
	assert_string_equal(f.nodes[2].value->str, "six");
	run(&f, NULL, CALM_S);
	assert_int_equal(f.nodes[2].received, 2);
	assert_int_equal(f.nodes[0].received + f.nodes[1].received, 0);
	end(&f);
}

static void end_registration(fleet_t *f, uint32_t of)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (i != of)
			bw_fleet_peers_set_node(f->nodes[i].peers,
						f->nodes[of].name, NULL);
}

/* Failure: the store turns a node away for longer than its lease, so that its
 * registration ends. The others stay connected with it. */
static void test_node_whose_lease_has_ended_gets_versions(void **state)
{
	fleet_t f;

	(void)state;
	begin(&f);
	f.nodes[2].store_serves = false;
	apply(&f.nodes[0], 5, "five", 4);
	apply(&f.nodes[1], 5, "five", 4);
	assert_true(run(&f, all_have_5, WAIT_MAX_S));
	end_registration(&f, 2);
	run(&f, NULL, CALM_S);
	apply(&f.nodes[0], 6, "six", 3);
	apply(&f.nodes[1], 6, "six", 3);
	assert_true(run(&f, all_have_6, WAIT_MAX_S));
	assert_true(run(&f, is_last_confirmed, WAIT_MAX_S));
	end(&f);
}

/* A node that is gone is not called for ever, nor is one that has its address
 * since; and one that comes back stays. */
static void test_node_that_is_gone_is_removed_in_time(void **state)
{
	const uint64_t last = bw_name_id("n2");
	bw_fleet_peers_t *peers;
	fleet_t f;

	(void)state;
	begin(&f);
	peers = f.nodes[0].peers;
	apply(&f.nodes[0], 5, "five", 4);
	assert_true(run(&f, all_have_5, WAIT_MAX_S));
	bw_fleet_peers_set_node(peers, "n2", NULL);
	assert_string_equal(bw_fleet_peers_name(peers, last), "n2");
	bw_fleet_peers_tick(peers, bw_clock_now_ms() + 60000);
	assert_string_equal(bw_fleet_peers_name(peers, last), "-");
	bw_fleet_peers_set_node(peers, "n2", f.nodes[2].listen.address);
	bw_fleet_peers_set_node(peers, "n2", NULL);
	bw_fleet_peers_set_node(peers, "n2", f.nodes[2].listen.address);
	bw_fleet_peers_tick(peers, bw_clock_now_ms() + 60000);
	assert_string_equal(bw_fleet_peers_name(peers, last), "n2");
	bw_fleet_peers_set_node(peers, "n2", NULL);
	bw_fleet_peers_set_node(peers, "n9", f.nodes[2].listen.address);
	assert_string_equal(bw_fleet_peers_name(peers, last), "-");
	end(&f);
}

/* Failure: the node that is asked first does not answer. */
static void test_silent_node_is_followed_by_another(void **state)
{
	char *large = g_malloc(LARGE_BYTES);
	uint32_t silent;

	(void)state;
	memset(large, 'x', LARGE_BYTES);
	/* One of the two rounds meets the node that is asked first. */
	for (silent = 0; silent < 2; silent++) {
		fleet_t f;

		begin(&f);
		f.nodes[2].store_serves = false;
		apply(&f.nodes[0], 5, "five", 4);
		apply(&f.nodes[1], 5, "five", 4);
		assert_true(run(&f, all_have_5, WAIT_MAX_S));
		apply(&f.nodes[0], 6, large, LARGE_BYTES);
		apply(&f.nodes[1], 6, large, LARGE_BYTES);
		bw_fleet_peers_set_config_ops(f.nodes[silent].peers, NULL,
					      NULL);
		assert_true(run(&f, all_have_6, WAIT_MAX_S));
		assert_int_equal(f.nodes[2].value->len, LARGE_BYTES);
		end(&f);
	}
	g_free(large);
}

/* Before a version with tenants nothing is told: older deployments see no new
 * messages. */
static void test_nothing_is_told_without_tenants(void **state)
{
	fleet_t f;

	(void)state;
	begin(&f);
	bw_config_exchange_take(f.nodes[0].exchange, 5, "five", 4);
	bw_config_exchange_take(f.nodes[1].exchange, 4, "four", 4);
	run(&f, NULL, CALM_S);
	assert_true(has(&f.nodes[1], 4));
	bw_fleet_peers_set_node(f.nodes[0].peers, "n2", NULL);
	assert_string_equal(
		bw_fleet_peers_name(f.nodes[0].peers, bw_name_id("n2")), "-");
	assert_true(has(&f.nodes[2], 0));
	assert_int_equal(f.nodes[1].received + f.nodes[2].received, 0);
	assert_int_equal(bw_config_sync_newest(
				 bw_config_exchange_sync(f.nodes[1].exchange)),
			 4);
	end(&f);
}

/* Failure: a node goes on after the store and the others have moved on, and
 * hears nobody: its version is in doubt after the bounds. */
static void test_word_of_nodes_without_the_store_confirms_nothing(void **state)
{
	fleet_t f;

	(void)state;
	begin(&f);
	f.nodes[0].store_serves = false;
	f.nodes[1].store_serves = false;
	f.nodes[2].store_serves = false;
	apply(&f.nodes[0], 5, "five", 4);
	assert_true(run(&f, all_have_5, WAIT_MAX_S));
	run(&f, NULL, CALM_S);
	assert_int_equal(trust(&f.nodes[2]), BW_CONFIG_DOUBTED);
	f.nodes[0].store_serves = true;
	assert_true(run(&f, is_last_confirmed, WAIT_MAX_S));
	end(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_node_that_the_store_turns_away_gets_versions),
		cmocka_unit_test(test_node_whose_lease_has_ended_gets_versions),
		cmocka_unit_test(test_node_that_is_gone_is_removed_in_time),
		cmocka_unit_test(test_silent_node_is_followed_by_another),
		cmocka_unit_test(test_nothing_is_told_without_tenants),
		cmocka_unit_test(
			test_word_of_nodes_without_the_store_confirms_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
