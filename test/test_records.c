/* A node on a store in memory, which reads what others stored: a configuration,
 * and records of a newer version, which it leaves to a node that can read them
 * with the work that they stand for. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fleet/fleet.h"
#include "fleet/member.h"
#include "standin/anyport.h"
#include "standin/memstore.h"
#include "wire/record.pb-c.h"
#include "wire/version.h"

#define SELF	  "self"
#define POOL	  "p"
#define STATE_KEY "bw/p/" POOL
/** Limit of a wait for something that must come. */
#define WAIT_MAX_S 20.0
#define POLL_S	   0.01
/** Enough for a node to read a change of the store. */
#define READ_S 0.3
/** Shorter than an owner waits for an earlier one of which it knows nothing. */
#define SOON_S 3.0
/** Longer than a lease. */
#define LEASE_S 2.5

typedef struct node_test {
	struct ev_loop *loop;
	bw_memstore_t *store;
	bw_fleet_t *fleet;
	bw_fleet_settings_t settings;
	bw_counters_t counters;
	int64_t value_revision; /**< Of the pool's value, when it was put. */
	char *owner_key;
	ev_timer poll;
	ev_timer timeout;
	bool timed_out;
	bool (*until)(struct node_test *t);
} node_test_t;

static bw_status_t parse_config(const char *value, size_t bytes,
				bw_fleet_config_t **out)
{
	bw_fleet_config_t *config = g_new0(bw_fleet_config_t, 1);

	(void)value;
	(void)bytes;
	config->version = 1;
	config->queue_count = 1;
	config->queues = g_new0(bw_queue_t, 1);
	config->queues[0] = (bw_queue_t){ .name = g_strdup("q"),
					  .host = g_strdup("h"),
					  .prefix = g_strdup("/q/"),
					  .pool = g_strdup(POOL) };
	config->pool_count = 1;
	config->pools = g_new0(bw_pool_config_t, 1);
	config->pools[0].name = g_strdup(POOL);
	*out = config;
	return BW_OK;
}

static const bw_value_format_t values = {
	.config_key = "config",
	.waves_prefix = "waves/",
	.workers_prefix = "workers/",
	.parse_config = parse_config,
};

static void on_poll(struct ev_loop *loop, ev_timer *timer, int revents)
{
	node_test_t *t = timer->data;

	(void)revents;
	if (t->until(t))
		ev_break(loop, EVBREAK_ALL);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)revents;
	((node_test_t *)timer->data)->timed_out = true;
	ev_break(loop, EVBREAK_ALL);
}

/* Runs the node until a condition holds; returns whether it does. */
static bool run_until(node_test_t *t, bool (*until)(node_test_t *t),
		      double wait_s)
{
	t->until = until;
	t->timed_out = false;
	ev_timer_set(&t->poll, POLL_S, POLL_S);
	ev_timer_set(&t->timeout, wait_s, 0.0);
	ev_timer_start(t->loop, &t->poll);
	ev_timer_start(t->loop, &t->timeout);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &t->poll);
	ev_timer_stop(t->loop, &t->timeout);
	return !t->timed_out;
}

static void put_value(node_test_t *t, uint32_t version)
{
	Bramley__PoolRecord record = BRAMLEY__POOL_RECORD__INIT;
	uint8_t data[64];

	record.version = version;
	bw_memstore_put(t->store, STATE_KEY, (const char *)data,
			bramley__pool_record__pack(&record, data));
	t->value_revision = bw_memstore_revision(t->store, STATE_KEY);
}

/* Starts a node of a site with one pool. A node is never destroyed. */
static void start(node_test_t *t)
{
	bw_fleet_env_t env = { .values = &values };
	bw_anyport_t peers;
	bw_anyport_t metrics;

	bw_anyport_reserve("127.0.0.1", &peers);
	bw_anyport_reserve("127.0.0.1", &metrics);
	t->settings.name = (char *)SELF;
	t->settings.ip = (char *)"127.0.0.1";
	t->settings.peers_port = peers.port;
	t->settings.metrics_port = metrics.port;
	t->settings.retention_ms = 120000;
	t->settings.grant_max_ms = 5000;
	env.loop = t->loop;
	env.settings = &t->settings;
	env.store = bw_memstore_interface(t->store);
	env.counters = &t->counters;
	bw_memstore_put(t->store, "config", "{}", 2);
	assert_int_equal(bw_fleet_create(&env, &t->fleet), BW_OK);
	bw_anyport_release(&peers);
	bw_anyport_release(&metrics);
}

static void set_up(node_test_t *t)
{
	t->loop = ev_loop_new(0);
	t->store = bw_memstore_create(t->loop);
	t->owner_key = bw_fleet_owner_key(POOL);
	ev_timer_init(&t->poll, on_poll, POLL_S, POLL_S);
	ev_timer_init(&t->timeout, on_timeout, WAIT_MAX_S, 0.0);
	t->poll.data = t;
	t->timeout.data = t;
}

static bool is_claimed(node_test_t *t)
{
	return bw_memstore_revision(t->store, t->owner_key) != 0;
}

static bool is_free(node_test_t *t)
{
	return !is_claimed(t);
}

static bool is_value_written(node_test_t *t)
{
	return bw_memstore_revision(t->store, STATE_KEY) != t->value_revision;
}

/* Writes the claim of an earlier process of this node, which has ended, and
 * lets the node read it before it is deleted. */
static void pass_claim_of_earlier_process(node_test_t *t)
{
	Bramley__OwnerRecord record = BRAMLEY__OWNER_RECORD__INIT;
	uint8_t data[64];

	record.node = (char *)SELF;
	record.incarnation = 1;
	bw_memstore_put(t->store, t->owner_key, (const char *)data,
			bramley__owner_record__pack(&record, data));
	assert_false(run_until(t, is_free, READ_S));
	bw_memstore_put(t->store, t->owner_key, NULL, 0);
}

/*
 * A pool whose value this version can't read must not be taken over as one
 * without tasks: all that run would be started again, and the value would be
 * overwritten. The claim is given back and left to other nodes for longer than
 * a lease.
 */
static void test_pool_that_cannot_be_read_is_given_back(void **state)
{
	static node_test_t t;

	(void)state;
	set_up(&t);
	put_value(&t, BW_POOL_BITS_VERSION + 1);
	start(&t);
	pass_claim_of_earlier_process(&t);
	assert_true(run_until(&t, is_claimed, WAIT_MAX_S));
	/* The predecessor has ended, so there is nothing to wait for. */
	assert_true(run_until(&t, is_free, SOON_S));
	assert_false(run_until(&t, is_claimed, LEASE_S));
	assert_false(is_value_written(&t));
}

/* The control: a value that the node can read. */
static void test_pool_that_can_be_read_is_kept(void **state)
{
	static node_test_t t;

	(void)state;
	set_up(&t);
	put_value(&t, BW_RECORD_VERSION);
	start(&t);
	pass_claim_of_earlier_process(&t);
	assert_true(run_until(&t, is_claimed, WAIT_MAX_S));
	assert_false(run_until(&t, is_free, LEASE_S));
}

static uint32_t queues_set;

void __real_bw_sched_set_queue(bw_sched_t *s, const bw_queue_config_t *config);
void __wrap_bw_sched_set_queue(bw_sched_t *s, const bw_queue_config_t *config);

void __wrap_bw_sched_set_queue(bw_sched_t *s, const bw_queue_config_t *config)
{
	queues_set++;
	__real_bw_sched_set_queue(s, config);
}

static bool are_queues_set(node_test_t *t)
{
	(void)t;
	return queues_set > 0;
}

/* Registrations are read up to five times a second, configurations seldom. */
static void test_queues_are_set_for_a_load_or_a_configuration(void **state)
{
	static node_test_t t;

	(void)state;
	set_up(&t);
	queues_set = 0;
	start(&t);
	assert_true(run_until(&t, are_queues_set, WAIT_MAX_S));
	assert_true(is_claimed(&t));
	/* In this time the registrations are read several times. */
	assert_false(run_until(&t, is_free, LEASE_S));
	assert_int_equal(queues_set, 1);
	bw_memstore_put(t.store, "config", "{}", 2);
	assert_false(run_until(&t, is_free, READ_S));
	assert_int_equal(queues_set, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pool_that_can_be_read_is_kept),
		cmocka_unit_test(test_pool_that_cannot_be_read_is_given_back),
		cmocka_unit_test(
			test_queues_are_set_for_a_load_or_a_configuration),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
