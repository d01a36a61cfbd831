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
/** A read of five pages takes longer than the store keeps its history. */
#define WRITES_PER_PAGE	  10U
#define HISTORY_REVISIONS 25

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
	uint32_t stale_watches; /**< Those whose history was gone. */
	bool write_between_pages;
	bool short_history; /**< Writes go on, and the history is short. */
	ev_timer stale; /**< Tells the last watch that its history is gone. */
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

static int64_t write_other_key(cache_test_t *t)
{
	bw_memstore_put(t->memory, "other", "o", 1);
	return bw_memstore_revision(t->memory, "other");
}

static void on_stale(struct ev_loop *loop, ev_timer *timer, int revents)
{
	cache_test_t *t = timer->data;
	bw_store_reply_t stale = { .status = BW_ESTALE };

	(void)loop;
	(void)revents;
	t->event(t->event_ctx, &stale);
}

static void on_page_reply(void *ctx, const bw_store_reply_t *reply)
{
	cache_test_t *t = ctx;
	bw_store_reply_t lost = { .status = BW_ELOST };
	uint32_t i;

	if (t->fail_every != 0 && t->page_calls % t->fail_every == 0) {
		t->page_done(t->page_ctx, &lost);
		return;
	}
	t->pages_read++;
	if (t->write_between_pages && t->pages_read == 2)
		write_between_pages(t);
	for (i = 0; t->short_history && i < WRITES_PER_PAGE; i++)
		write_other_key(t);
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
	if (t->short_history &&
	    write_other_key(t) - revision > HISTORY_REVISIONS) {
		t->stale_watches++;
		ev_timer_start(t->loop, &t->stale);
	}
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
	ev_timer_init(&t->stale, on_stale, 0.0, 0.0);
	t->stale.data = t;
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
	ev_timer_stop(t->loop, &t->stale);
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

static void test_read_longer_than_the_history_is_watched(void **state)
{
	cache_test_t t;

	(void)state;
	set_up(&t);
	t.short_history = true;
	start(&t);
	assert_int_equal(t.synced, 1);
	/* A watch that is too late would repeat the read, without end. */
	assert_int_equal(t.stale_watches, 0);
	assert_int_equal(t.first_page_calls, 1);
	assert_int_equal(t.watches, 1);
	assert_reported_once(&t, NULL);
	tear_down(&t);
}

/* A store that the test answers by hand, for orders of answers and events. */

typedef struct hand_test {
	struct ev_loop *loop;
	bw_watch_cache_t *cache;
	bw_store_done_fn page_done;
	void *page_ctx;
	bw_store_done_fn event;
	void *event_ctx;
	GString *reports; /**< "+key" and "-key". */
	uint32_t synced;
	uint32_t first_page_calls;
	int64_t watch_revision;
} hand_test_t;

static void hand_page(void *impl, const bw_store_page_t *request,
		      bw_store_done_fn done, void *ctx)
{
	hand_test_t *t = impl;

	if (!request->after)
		t->first_page_calls++;
	t->page_done = done;
	t->page_ctx = ctx;
}

static bw_store_watch_t *hand_watch(void *impl, const char *prefix,
				    int64_t revision, bw_store_done_fn event,
				    void *ctx)
{
	hand_test_t *t = impl;

	(void)prefix;
	t->watch_revision = revision;
	t->event = event;
	t->event_ctx = ctx;
	return impl;
}

static void hand_watch_end(void *impl, bw_store_watch_t *w)
{
	(void)w;
	((hand_test_t *)impl)->event = NULL;
}

static const bw_store_ops_t hand_ops = { .page = hand_page,
					 .watch = hand_watch,
					 .watch_end = hand_watch_end };

static void hand_changed(void *ctx, const bw_store_kv_t *kv)
{
	hand_test_t *t = ctx;

	g_string_append_printf(t->reports, "%c%s ", kv->deleted ? '-' : '+',
			       kv->key);
}

static void hand_synced(void *ctx)
{
	((hand_test_t *)ctx)->synced++;
}

static const bw_watch_cache_ops_t hand_cache_ops = { hand_changed, hand_synced,
						     on_result };

static void hand_set_up(hand_test_t *t)
{
	bw_store_t store = { &hand_ops, t };

	memset(t, 0, sizeof(*t));
	t->loop = ev_loop_new(0);
	t->reports = g_string_new(NULL);
	t->cache =
		bw_watch_cache_create(t->loop, &store, "", &hand_cache_ops, t);
}

static void hand_tear_down(hand_test_t *t)
{
	bw_store_reply_t lost = { .status = BW_ELOST };

	bw_watch_cache_destroy(t->cache);
	if (t->page_done)
		t->page_done(t->page_ctx, &lost);
	g_string_free(t->reports, TRUE);
	ev_loop_destroy(t->loop);
}

/* Answers the page with one key. */
static void give_page(hand_test_t *t, const char *key, int64_t key_revision,
		      int64_t revision, bool has_more)
{
	bw_store_kv_t kv = { .key = key,
			     .value = "",
			     .mod_revision = key_revision };
	bw_store_reply_t reply = { .revision = revision,
				   .has_more = has_more,
				   .kvs = &kv,
				   .kv_count = 1 };
	bw_store_done_fn done = t->page_done;

	assert_non_null(done);
	t->page_done = NULL;
	done(t->page_ctx, &reply);
}

static void give_event(hand_test_t *t, const char *key, int64_t revision,
		       bool deleted)
{
	bw_store_kv_t kv = { .key = key,
			     .value = "",
			     .mod_revision = revision,
			     .deleted = deleted };
	bw_store_reply_t reply = { .revision = revision,
				   .kvs = &kv,
				   .kv_count = 1 };

	assert_non_null(t->event);
	t->event(t->event_ctx, &reply);
}

/* A page that was read before a key's deletion may arrive after it. */
static void test_key_deleted_during_a_read_stays_deleted(void **state)
{
	hand_test_t t;

	(void)state;
	hand_set_up(&t);
	give_page(&t, "a", 3, 10, true);
	assert_int_equal(t.watch_revision, 11);
	give_event(&t, "b", 12, true);
	give_page(&t, "b", 4, 11, false);
	assert_string_equal(t.reports->str, "+a -b ");
	assert_int_equal(t.synced, 1);
	give_event(&t, "b", 13, false);
	assert_string_equal(t.reports->str, "+a -b +b ");
	hand_tear_down(&t);
}

/* A key that is written behind the read's position is not missing at its end.
 */
static void test_key_written_during_a_read_is_kept(void **state)
{
	hand_test_t t;

	(void)state;
	hand_set_up(&t);
	give_page(&t, "b", 3, 10, true);
	give_event(&t, "a", 11, false);
	give_event(&t, "b", 12, true);
	give_page(&t, "c", 4, 12, false);
	assert_string_equal(t.reports->str, "+b +a -b +c ");
	assert_int_equal(t.synced, 1);
	hand_tear_down(&t);
}

/* Only an answer that shows all changes so far confirms what was reported. */
static void test_store_confirms_what_was_reported(void **state)
{
	bw_store_reply_t lost = { .status = BW_ELOST };
	hand_test_t t;

	(void)state;
	hand_set_up(&t);
	give_page(&t, "a", 3, 10, true);
	give_event(&t, "a", 11, false);
	give_page(&t, "b", 4, 12, false);
	/* The pages showed different times. */
	assert_int_equal(bw_watch_cache_confirmed_ms(t.cache), 0);
	t.event(t.event_ctx, &lost);
	assert_int_equal(bw_watch_cache_confirmed_ms(t.cache), 0);
	t.event = NULL;
	while (!t.event)
		ev_run(t.loop, EVRUN_ONCE);
	give_event(&t, "b", 13, false);
	assert_true(bw_watch_cache_confirmed_ms(t.cache) > 0);
	hand_tear_down(&t);
}

static void test_read_of_one_page_confirms(void **state)
{
	hand_test_t t;

	(void)state;
	hand_set_up(&t);
	assert_int_equal(bw_watch_cache_confirmed_ms(t.cache), 0);
	give_page(&t, "a", 3, 10, false);
	assert_true(bw_watch_cache_confirmed_ms(t.cache) > 0);
	hand_tear_down(&t);
}

/* A history that is gone in the middle of a read starts it again, once. */
static void test_history_gone_during_a_read_starts_it_again(void **state)
{
	bw_store_reply_t stale = { .status = BW_ESTALE };
	hand_test_t t;

	(void)state;
	hand_set_up(&t);
	give_page(&t, "a", 3, 10, true);
	assert_non_null(t.event);
	t.event(t.event_ctx, &stale);
	give_page(&t, "b", 4, 40, false);
	assert_int_equal(t.synced, 0);
	while (t.first_page_calls < 2)
		ev_run(t.loop, EVRUN_ONCE);
	give_page(&t, "b", 4, 40, true);
	assert_int_equal(t.watch_revision, 41);
	give_page(&t, "c", 41, 41, false);
	assert_int_equal(t.synced, 1);
	assert_string_equal(t.reports->str, "+a +b +c -a ");
	hand_tear_down(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_read_whose_pages_fail_by_turns_ends),
		cmocka_unit_test(test_writes_between_failed_pages_are_reported),
		cmocka_unit_test(test_a_gone_history_starts_a_full_read),
		cmocka_unit_test(test_read_longer_than_the_history_is_watched),
		cmocka_unit_test(test_key_deleted_during_a_read_stays_deleted),
		cmocka_unit_test(test_key_written_during_a_read_is_kept),
		cmocka_unit_test(
			test_history_gone_during_a_read_starts_it_again),
		cmocka_unit_test(test_store_confirms_what_was_reported),
		cmocka_unit_test(test_read_of_one_page_confirms),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
