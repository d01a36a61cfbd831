/*
 * The contract of the store interface, checked on the etcd adapter against the
 * stand-in store, with outages, slow answers and lost answers.
 */
#include "test.h"

#include <string.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "standin/anyport.h"
#include "standin/kv.h"
#include "store/etcd.h"

#define WATCHDOG_S 20.0

/** The last reply of a call, and all events of a watch. */
typedef struct store_test {
	struct ev_loop *loop;
	bw_anyport_t address;
	bw_standin_kv_t *kv;
	bw_store_t store;
	bw_counters_t counters;
	bw_store_reply_t reply;
	char value[64];
	char events[256];
	uint32_t event_count;
	bool watch_ended;
} store_test_t;

static void on_watchdog(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run(store_test_t *t)
{
	ev_timer watchdog;

	ev_timer_init(&watchdog, on_watchdog, WATCHDOG_S, 0.0);
	ev_timer_start(t->loop, &watchdog);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &watchdog);
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	store_test_t *t = ctx;

	t->reply = *reply;
	t->value[0] = '\0';
	if (reply->kv_count > 0)
		g_strlcpy(t->value, reply->kvs[0].value, sizeof(t->value));
	t->reply.kvs = NULL;
	t->reply.revision = reply->kv_count > 0 ? reply->kvs[0].mod_revision
						: reply->revision;
	ev_break(t->loop, EVBREAK_ALL);
}

static void on_event(void *ctx, const bw_store_reply_t *reply)
{
	store_test_t *t = ctx;
	size_t i;

	if (reply->status != BW_OK) {
		t->watch_ended = true;
		ev_break(t->loop, EVBREAK_ALL);
		return;
	}
	for (i = 0; i < reply->kv_count; i++) {
		g_strlcat(t->events, reply->kvs[i].deleted ? "-" : "+",
			  sizeof(t->events));
		g_strlcat(t->events, reply->kvs[i].key, sizeof(t->events));
		t->event_count++;
		ev_break(t->loop, EVBREAK_ALL);
	}
}

static bw_status_t cas(store_test_t *t, const char *key, const char *value,
		       int64_t revision, int64_t lease, const char *absent)
{
	bw_store_cas_t c = { .key = key,
			     .value = value,
			     .bytes = value ? strlen(value) : 0,
			     .mod_revision = revision,
			     .lease_id = lease,
			     .absent = &absent,
			     .absent_count = absent ? 1 : 0 };

	t->store.ops->cas(t->store.impl, &c, on_reply, t);
	run(t);
	return t->reply.status;
}

static bw_status_t range(store_test_t *t, const char *prefix)
{
	t->store.ops->range(t->store.impl, prefix, on_reply, t);
	run(t);
	return t->reply.status;
}

static size_t discard(char *data, size_t size, size_t count, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * count;
}

/*
 * Injects a fault into the stand-in. The stand-in runs on this loop, so the
 * request must not block; it uses its own multi handle.
 */
static void inject_fault(store_test_t *t, const char *query)
{
	CURLM *multi = curl_multi_init();
	CURL *easy = curl_easy_init();
	char *url = g_strconcat(t->address.url, "/standin/fault?", query, NULL);
	int running = 1;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	curl_multi_add_handle(multi, easy);
	while (running) {
		curl_multi_perform(multi, &running);
		ev_run(t->loop, EVRUN_NOWAIT);
	}
	curl_multi_remove_handle(multi, easy);
	curl_easy_cleanup(easy);
	curl_multi_cleanup(multi);
	g_free(url);
}

static int setup(void **state)
{
	store_test_t *t = g_new0(store_test_t, 1);
	const char *const endpoints[] = { t->address.url };
	bw_etcd_config_t config = { .endpoints = endpoints,
				    .endpoint_count = 1,
				    .timeout_ms = 500 };

	t->loop = ev_default_loop(0);
	assert_int_equal(bw_anyport_reserve("127.0.0.1", &t->address), BW_OK);
	assert_int_equal(
		bw_standin_kv_create(t->loop, t->address.address, &t->kv),
		BW_OK);
	t->store = bw_etcd_create(t->loop, &config, &t->counters);
	*state = t;
	return 0;
}

static int teardown(void **state)
{
	store_test_t *t = *state;

	t->store.ops->destroy(t->store.impl);
	bw_standin_kv_destroy(t->kv);
	bw_anyport_release(&t->address);
	g_free(t);
	return 0;
}

static void test_compare_and_swap(void **state)
{
	store_test_t *t = *state;
	int64_t revision;

	assert_int_equal(cas(t, "/a/x", "1", 0, 0, NULL), BW_OK);
	assert_true(t->reply.succeeded);
	/* The key exists: the reply has its value. */
	assert_int_equal(cas(t, "/a/x", "2", 0, 0, NULL), BW_OK);
	assert_false(t->reply.succeeded);
	assert_string_equal(t->value, "1");
	revision = t->reply.revision;
	assert_int_equal(cas(t, "/a/x", "2", revision, 0, NULL), BW_OK);
	assert_true(t->reply.succeeded);
	assert_int_equal(cas(t, "/a/x", "3", revision, 0, NULL), BW_OK);
	assert_false(t->reply.succeeded);
	assert_string_equal(t->value, "2");
	/* Another key must be absent. */
	assert_int_equal(cas(t, "/a/y", "1", 0, 0, "/a/x"), BW_OK);
	assert_false(t->reply.succeeded);
	assert_int_equal(cas(t, "/a/y", "1", 0, 0, "/a/z"), BW_OK);
	assert_true(t->reply.succeeded);
	assert_int_equal(range(t, "/a/"), BW_OK);
	assert_int_equal(t->reply.kv_count, 2);
	assert_int_equal(range(t, "/b/"), BW_OK);
	assert_int_equal(t->reply.kv_count, 0);
}

static void test_lost_answer_took_effect(void **state)
{
	store_test_t *t = *state;

	inject_fault(t, "lose=1");
	assert_int_equal(cas(t, "/l/x", "1", 0, 0, NULL), BW_ELOST);
	assert_int_equal(range(t, "/l/"), BW_OK);
	assert_string_equal(t->value, "1");
}

static void test_outage(void **state)
{
	store_test_t *t = *state;

	inject_fault(t, "down_ms=300");
	/* The call was sent, so a write may have taken effect. */
	assert_int_equal(cas(t, "/d/x", "1", 0, 0, NULL), BW_ELOST);
	assert_int_equal(range(t, "/d/"), BW_EIO);
	while (range(t, "/d/") != BW_OK)
		continue;
	assert_int_equal(t->reply.kv_count, 0);
}

static void test_nothing_listens(void **state)
{
	bw_anyport_t nobody;
	const char *const endpoints[] = { nobody.url };
	bw_etcd_config_t config = { .endpoints = endpoints,
				    .endpoint_count = 1,
				    .timeout_ms = 500 };
	store_test_t *t = *state;
	bw_store_t original = t->store;

	assert_int_equal(bw_anyport_reserve("127.0.0.1", &nobody), BW_OK);
	t->store = bw_etcd_create(t->loop, &config, &t->counters);
	assert_int_equal(cas(t, "/n/x", "1", 0, 0, NULL), BW_EUNAVAIL);
	assert_int_equal(range(t, "/n/"), BW_EUNAVAIL);
	t->store.ops->destroy(t->store.impl);
	t->store = original;
	bw_anyport_release(&nobody);
}

static void test_slow_answer(void **state)
{
	store_test_t *t = *state;

	inject_fault(t, "slow_ms=2000");
	assert_int_equal(cas(t, "/s/x", "1", 0, 0, NULL), BW_ELOST);
	inject_fault(t, "slow_ms=0");
	assert_int_equal(range(t, "/s/"), BW_OK);
	assert_string_equal(t->value, "1");
}

static void test_watch(void **state)
{
	store_test_t *t = *state;
	int64_t from;

	assert_int_equal(cas(t, "/w/a", "1", 0, 0, NULL), BW_OK);
	from = t->reply.revision;
	t->store.ops->watch(t->store.impl, "/w/", from, on_event, t);
	while (t->event_count < 1)
		run(t);
	assert_int_equal(cas(t, "/other", "1", 0, 0, NULL), BW_OK);
	assert_int_equal(cas(t, "/w/b", "1", 0, 0, NULL), BW_OK);
	while (t->event_count < 2)
		run(t);
	assert_string_equal(t->events, "+/w/a+/w/b");
	inject_fault(t, "down_ms=100");
	while (!t->watch_ended)
		run(t);
}

static void test_lease(void **state)
{
	store_test_t *t = *state;
	int64_t lease;

	t->store.ops->lease_grant(t->store.impl, 1000, on_reply, t);
	run(t);
	lease = t->reply.lease_id;
	assert_true(lease > 0);
	assert_int_equal(cas(t, "/e/a", "1", 0, lease, NULL), BW_OK);
	t->store.ops->lease_keepalive(t->store.impl, lease, on_reply, t);
	run(t);
	assert_true(t->reply.ttl_ms > 0);
	do {
		assert_int_equal(range(t, "/e/"), BW_OK);
	} while (t->reply.kv_count > 0);
	t->store.ops->lease_keepalive(t->store.impl, lease, on_reply, t);
	run(t);
	assert_int_equal(t->reply.ttl_ms, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_compare_and_swap, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_lost_answer_took_effect,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_outage, setup, teardown),
		cmocka_unit_test_setup_teardown(test_nothing_listens, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_slow_answer, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_watch, setup, teardown),
		cmocka_unit_test_setup_teardown(test_lease, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
