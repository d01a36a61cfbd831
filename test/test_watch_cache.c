/* The watch cache against a store in memory whose pages fail by turns. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "fleet/watch_cache.h"
#include "standin/memstore.h"

#define PREFIX "k/"
/** Five pages of the store in memory. */
#define KEYS 1000U
/** A read of five pages of which each fails once needs ten calls. */
#define PAGE_CALLS_MAX 40U
#define WATCHDOG_S     30.0
#define NEW_KEY	       PREFIX "0000-new"
#define CHANGED_KEY    PREFIX "0007"

typedef struct cache_test {
	struct ev_loop *loop;
	bw_memstore_t *memory;
	bw_store_t inner;
	bw_store_t store; /**< The inner one with failing pages. */
	bw_watch_cache_t *cache;
	GHashTable *reported; /**< Key to the number of its reports. */
	uint32_t page_calls;
	uint32_t first_page_calls;
	uint32_t pages_read;
	uint32_t fail_every; /**< Every so many calls fails; 0: none. */
	uint32_t synced;
	uint32_t synced_target;
	uint32_t watches;
	bool write_between_pages;
	bool timed_out;
	bw_store_done_fn event; /**< Of the last watch. */
	void *event_ctx;
	bw_store_done_fn page_done;
	void *page_ctx;
} cache_test_t;

static void write_between_pages(cache_test_t *t)
{
	bw_memstore_put(t->memory, NEW_KEY, "n", 1);
	bw_memstore_put(t->memory, CHANGED_KEY, "c", 1);
}

static void on_page_reply(void *ctx, const bw_store_reply_t *reply)
{
	cache_test_t *t = ctx;
	bw_store_reply_t lost = { .status = BW_ELOST };

	if (t->fail_every != 0 && t->page_calls % t->fail_every == 0) {
		t->page_done(t->page_ctx, &lost);
		return;
	}
	t->pages_read++;
	if (t->write_between_pages && t->pages_read == 2)
		write_between_pages(t);
	t->page_done(t->page_ctx, reply);
}

static void page(void *impl, const bw_store_page_t *request,
		 bw_store_done_fn done, void *ctx)
{
	cache_test_t *t = impl;

	t->page_calls++;
	if (!request->after)
		t->first_page_calls++;
	if (t->page_calls > PAGE_CALLS_MAX)
		ev_break(t->loop, EVBREAK_ALL);
	t->page_done = done;
	t->page_ctx = ctx;
	t->inner.ops->page(t->inner.impl, request, on_page_reply, t);
}

static bw_store_watch_t *watch(void *impl, const char *prefix, int64_t revision,
			       bw_store_done_fn event, void *ctx)
{
	cache_test_t *t = impl;

	t->watches++;
	t->event = event;
	t->event_ctx = ctx;
	return t->inner.ops->watch(t->inner.impl, prefix, revision, event, ctx);
}

static void watch_end(void *impl, bw_store_watch_t *w)
{
	cache_test_t *t = impl;

	t->inner.ops->watch_end(t->inner.impl, w);
}

static const bw_store_ops_t failing_ops = {
	.page = page,
	.watch = watch,
	.watch_end = watch_end,
};

static uint32_t report_count(const cache_test_t *t, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(t->reported, key));
}

static void on_changed(void *ctx, const bw_store_kv_t *kv)
{
	cache_test_t *t = ctx;
	uint32_t count = report_count(t, kv->key) + 1;

	assert_false(kv->deleted);
	g_hash_table_replace(t->reported, g_strdup(kv->key),
			     GUINT_TO_POINTER(count));
}

static void on_synced(void *ctx)
{
	cache_test_t *t = ctx;

	if (++t->synced == t->synced_target)
		ev_break(t->loop, EVBREAK_ALL);
}

static void on_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static const bw_watch_cache_ops_t cache_ops = { on_changed, on_synced,
						on_result };

static void on_watchdog(struct ev_loop *loop, ev_timer *timer, int revents)
{
	cache_test_t *t = timer->data;

	(void)revents;
	t->timed_out = true;
	ev_break(loop, EVBREAK_ALL);
}

static void run(cache_test_t *t, int flags)
{
	ev_timer watchdog;

	ev_timer_init(&watchdog, on_watchdog, WATCHDOG_S, 0.0);
	watchdog.data = t;
	ev_timer_start(t->loop, &watchdog);
	ev_run(t->loop, flags);
	ev_timer_stop(t->loop, &watchdog);
}

static void set_up(cache_test_t *t)
{
	char key[32];
	uint32_t i;

	memset(t, 0, sizeof(*t));
	t->loop = ev_loop_new(0);
	t->memory = bw_memstore_create(t->loop);
	t->inner = bw_memstore_interface(t->memory);
	t->store = (bw_store_t){ &failing_ops, t };
	t->reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->synced_target = 1;
	for (i = 0; i < KEYS; i++) {
		g_snprintf(key, sizeof(key), PREFIX "%04u", i);
		bw_memstore_put(t->memory, key, "v", 1);
	}
}

static void start(cache_test_t *t)
{
	t->cache = bw_watch_cache_create(t->loop, &t->store, PREFIX, &cache_ops,
					 t);
	run(t, 0);
}

static void tear_down(cache_test_t *t)
{
	bw_watch_cache_destroy(t->cache);
	/* Delivers the reply of a page that is still due. */
	run(t, EVRUN_NOWAIT);
	bw_memstore_destroy(t->memory);
	g_hash_table_destroy(t->reported);
	ev_loop_destroy(t->loop);
}

static void assert_reported_once(const cache_test_t *t, const char *except)
{
	char key[32];
	uint32_t i;

	for (i = 0; i < KEYS; i++) {
		g_snprintf(key, sizeof(key), PREFIX "%04u", i);
		if (except && strcmp(key, except) == 0)
			continue;
		assert_int_equal(report_count(t, key), 1);
	}
}

static void test_read_whose_pages_fail_by_turns_ends(void **state)
{
	cache_test_t t;

	(void)state;
	set_up(&t);
	t.fail_every = 2;
	start(&t);
	assert_int_equal(t.synced, 1);
	assert_int_equal(t.first_page_calls, 1);
	assert_int_equal(g_hash_table_size(t.reported), KEYS);
	assert_reported_once(&t, NULL);
	tear_down(&t);
}

/* The watch begins at the first page, before the writes. */
static void test_writes_between_failed_pages_are_reported(void **state)
{
	cache_test_t t;

	(void)state;
	set_up(&t);
	t.fail_every = 2;
	t.write_between_pages = true;
	start(&t);
	assert_int_equal(t.synced, 1);
	while (report_count(&t, NEW_KEY) == 0 && !t.timed_out)
		run(&t, EVRUN_ONCE);
	run(&t, EVRUN_NOWAIT);
	assert_int_equal(report_count(&t, NEW_KEY), 1);
	assert_int_equal(report_count(&t, CHANGED_KEY), 2);
	assert_reported_once(&t, CHANGED_KEY);
	tear_down(&t);
}

static void test_a_gone_history_starts_a_full_read(void **state)
{
	bw_store_reply_t stale = { .status = BW_ESTALE };
	cache_test_t t;

	(void)state;
	set_up(&t);
	start(&t);
	assert_int_equal(t.synced, 1);
	t.first_page_calls = 0;
	t.synced_target = 2;
	t.event(t.event_ctx, &stale);
	run(&t, 0);
	assert_int_equal(t.synced, 2);
	assert_int_equal(t.first_page_calls, 1);
	assert_int_equal(t.watches, 2);
	assert_reported_once(&t, NULL);
	tear_down(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_read_whose_pages_fail_by_turns_ends),
		cmocka_unit_test(test_writes_between_failed_pages_are_reported),
		cmocka_unit_test(test_a_gone_history_starts_a_full_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
