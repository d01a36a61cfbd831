/* The directory of workers against a store that the test answers by hand. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "fleet/directory.h"

#define PREFIX "w/"
/** Time between ticks, over every interval between reads. */
#define TICK_MS 1000
/** Registrations that expired in an outage are back after this. */
#define REREGISTER_MS 2600
#define PAGES	      4U
/** Of the store at the first page; it grows by one with each page. */
#define FIRST_REVISION 50
#define CALLS_MAX      40U
/** An answer that the store has cut. */
#define MANY_CHANGES 200U
/** A value that can't be parsed. */
#define UNREADABLE "?"

typedef struct directory_test {
	bw_directory_t *directory;
	int64_t now_ms;
	char *after; /**< Of the page that is requested; "" is the first. */
	bw_store_done_fn done; /**< Of the same; NULL without one. */
	void *done_ctx;
	uint32_t calls;
	uint32_t first_page_calls;
	uint32_t loaded;
	bool complete; /**< At the last load. */
	int64_t changes_after; /**< Of the last call for changes. */
	uint32_t changes_calls;
} directory_test_t;

static void page(void *impl, const bw_store_page_t *request,
		 bw_store_done_fn done, void *ctx)
{
	directory_test_t *t = impl;

	assert_null(t->done);
	g_free(t->after);
	t->after = g_strdup(request->after ? request->after : "");
	t->done = done;
	t->done_ctx = ctx;
	t->calls++;
	if (!request->after)
		t->first_page_calls++;
}

static void changes(void *impl, const char *prefix, int64_t after,
		    bw_store_done_fn done, void *ctx)
{
	directory_test_t *t = impl;

	assert_null(t->done);
	assert_string_equal(prefix, PREFIX);
	t->changes_after = after;
	t->done = done;
	t->done_ctx = ctx;
	t->changes_calls++;
}

static const bw_store_ops_t store_ops = { .page = page };
static const bw_store_ops_t changes_ops = { .page = page, .changes = changes };

static bw_status_t parse(const char *key, const char *value, size_t bytes,
			 bw_registration_t **out)
{
	bw_registration_t *r;

	(void)bytes;
	if (!strcmp(value, UNREADABLE))
		return BW_EPARSE;
	r = g_new0(bw_registration_t, 1);
	r->id = g_strdup(key + strlen(PREFIX));
	r->address = g_strdup(value);
	r->info.capacity.cpu_millis = g_ascii_strtoll(value, NULL, 10);
	*out = r;
	return BW_OK;
}

static const bw_value_format_t values = {
	.workers_prefix = PREFIX,
	.parse_registration = parse,
};

static void on_loaded(void *ctx, int64_t now_ms)
{
	directory_test_t *t = ctx;

	(void)now_ms;
	t->loaded++;
	t->complete = bw_directory_complete(t->directory);
}

static void on_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static const bw_directory_ops_t directory_ops = { on_loaded, on_result };

static void set_up_with(directory_test_t *t, const bw_store_ops_t *ops)
{
	bw_store_t store = { ops, t };

	memset(t, 0, sizeof(*t));
	t->now_ms = 1000000;
	t->directory = bw_directory_create(&store, &values, &directory_ops, t);
}

static void set_up(directory_test_t *t)
{
	set_up_with(t, &store_ops);
}

static void tear_down(directory_test_t *t)
{
	bw_directory_destroy(t->directory);
	g_free(t->after);
}

static void answer(directory_test_t *t, const bw_store_reply_t *reply)
{
	bw_store_done_fn done = t->done;

	assert_non_null(done);
	t->done = NULL;
	done(t->done_ctx, reply);
}

static void fail_page(directory_test_t *t)
{
	bw_store_reply_t reply = { .status = BW_ELOST };

	answer(t, &reply);
}

/* Each page has one key: w/1 to w/PAGES. */
static void answer_page(directory_test_t *t)
{
	uint32_t last = t->after[0] ? (uint32_t)(t->after[2] - '0') : 0;
	char key[] = PREFIX "0";
	bw_store_kv_t kv = { .key = key, .value = "", .mod_revision = 1 };
	bw_store_reply_t reply = { .kvs = &kv,
				   .kv_count = 1,
				   .revision = FIRST_REVISION + last };

	key[2] = (char)('0' + last + 1);
	kv.mod_revision = FIRST_REVISION + last;
	reply.has_more = last + 1 < PAGES;
	answer(t, &reply);
}

static void tick(directory_test_t *t)
{
	t->now_ms += TICK_MS;
	bw_directory_tick(t->directory, t->now_ms);
}

static void read_all(directory_test_t *t)
{
	uint32_t target = t->loaded + 1;

	tick(t);
	while (t->loaded < target)
		answer_page(t);
}

static void test_directory_whose_pages_fail_by_turns_is_read(void **state)
{
	directory_test_t t;
	char key[] = "0";
	uint32_t i;

	(void)state;
	set_up(&t);
	tick(&t);
	while (t.loaded == 0 && t.calls < CALLS_MAX) {
		if (t.calls % 2 == 0)
			fail_page(&t);
		else
			answer_page(&t);
		if (!t.done && t.loaded == 0)
			tick(&t);
	}
	assert_int_equal(t.loaded, 1);
	assert_int_equal(t.first_page_calls, 1);
	assert_false(t.complete);
	for (i = 1; i <= PAGES; i++) {
		key[0] = (char)('0' + i);
		assert_non_null(bw_directory_find(t.directory, key));
	}
	tear_down(&t);
}

/* A node that owns no pool does not read, and what it had is too old. */
static void test_directory_forgets_pages_when_it_was_not_read(void **state)
{
	directory_test_t t;

	(void)state;
	set_up(&t);
	tick(&t);
	answer_page(&t);
	fail_page(&t);
	t.now_ms += 60 * TICK_MS;
	tick(&t);
	assert_string_equal(t.after, "");
	tear_down(&t);
}

static void test_directory_is_complete_some_time_after_a_failure(void **state)
{
	directory_test_t t;

	(void)state;
	set_up(&t);
	read_all(&t);
	assert_true(t.complete);
	tick(&t);
	fail_page(&t);
	read_all(&t);
	assert_false(t.complete);
	t.now_ms += REREGISTER_MS;
	read_all(&t);
	assert_true(t.complete);
	tear_down(&t);
}

/* What is read too soon after a failure is no proof, however late it arrives.
 */
static void
test_directory_read_that_began_too_soon_is_not_complete(void **state)
{
	directory_test_t t;

	(void)state;
	set_up(&t);
	tick(&t);
	fail_page(&t);
	tick(&t);
	assert_non_null(t.done);
	t.now_ms += REREGISTER_MS;
	tick(&t);
	while (t.loaded == 0)
		answer_page(&t);
	assert_false(t.complete);
	tear_down(&t);
}

/* A read that takes as long as the time between reads would fill the link. */
static void test_directory_leaves_time_after_a_long_read(void **state)
{
	directory_test_t t;
	uint32_t calls;

	(void)state;
	set_up(&t);
	tick(&t);
	tick(&t);
	tick(&t);
	while (t.loaded == 0)
		answer_page(&t);
	calls = t.calls;
	bw_directory_expect_workers(t.directory, t.now_ms);
	tick(&t);
	assert_int_equal(t.calls, calls);
	tick(&t);
	tick(&t);
	tick(&t);
	assert_int_equal(t.calls, calls + 1);
	tear_down(&t);
}

/* After a read that took very long, changes are noticed in time again. */
static void test_directory_pause_is_bounded(void **state)
{
	directory_test_t t;
	uint32_t calls;
	uint32_t i;

	(void)state;
	set_up(&t);
	for (i = 0; i < 20; i++)
		tick(&t);
	while (t.loaded == 0)
		answer_page(&t);
	calls = t.calls;
	tick(&t);
	tick(&t);
	assert_int_equal(t.calls, calls + 1);
	tear_down(&t);
}

/* A directory that has read all pages, w/1 to w/PAGES. */
static void set_up_loaded(directory_test_t *t)
{
	set_up_with(t, &changes_ops);
	read_all(t);
}

static void answer_changes(directory_test_t *t, const bw_store_kv_t *kvs,
			   size_t count, int64_t revision)
{
	bw_store_reply_t reply = { .kvs = kvs,
				   .kv_count = count,
				   .revision = revision };

	answer(t, &reply);
}

static void assert_address(directory_test_t *t, const char *id,
			   const char *address)
{
	const bw_registration_t *r = bw_directory_find(t->directory, id);

	assert_non_null(r);
	assert_string_equal(r->address, address);
}

static void test_directory_reads_only_changes_after_the_first_read(void **state)
{
	const bw_store_kv_t kvs[] = {
		{ .key = PREFIX "2", .value = "new", .mod_revision = 60 },
		{ .key = PREFIX "7", .value = "added", .mod_revision = 61 },
		{ .key = PREFIX "3", .mod_revision = 62, .deleted = true },
		{ .key = PREFIX "4", .value = UNREADABLE, .mod_revision = 63 },
	};
	directory_test_t t;
	uint32_t pages;

	(void)state;
	set_up_loaded(&t);
	pages = t.calls;
	tick(&t);
	assert_int_equal(t.changes_after, FIRST_REVISION);
	answer_changes(&t, kvs, G_N_ELEMENTS(kvs), 70);
	assert_int_equal(t.loaded, 2);
	assert_address(&t, "1", "");
	assert_address(&t, "2", "new");
	assert_address(&t, "7", "added");
	assert_null(bw_directory_find(t.directory, "3"));
	assert_null(bw_directory_find(t.directory, "4"));
	tick(&t);
	assert_int_equal(t.changes_after, 70);
	assert_int_equal(t.calls, pages);
	tear_down(&t);
}

static void assert_capacity(directory_test_t *t, const char *id,
			    int64_t cpu_millis)
{
	const bw_registration_t *r = bw_directory_find(t->directory, id);

	assert_non_null(r);
	assert_int_equal(r->info.capacity.cpu_millis, cpu_millis);
}

/* Each read is passed on, so that a change of the capacity alone is, too. */
static void test_directory_keeps_a_capacity_that_changed(void **state)
{
	bw_store_kv_t kv = { .key = PREFIX "2",
			     .value = "8000",
			     .mod_revision = 60 };
	directory_test_t t;
	uint32_t i;

	(void)state;
	set_up_loaded(&t);
	for (i = 0; i < 3; i++) {
		tick(&t);
		kv.value = i == 1 ? "3000" : "8000";
		kv.mod_revision = 60 + i;
		answer_changes(&t, &kv, 1, 60 + i);
		assert_int_equal(t.loaded, 2 + i);
		assert_capacity(&t, "2", i == 1 ? 3000 : 8000);
	}
	tear_down(&t);
}

/* What is read shows the store of the read's beginning, however late. */
static void test_directory_read_counts_from_its_end(void **state)
{
	directory_test_t t;
	int64_t began_ms;

	(void)state;
	set_up_loaded(&t);
	tick(&t);
	began_ms = t.now_ms;
	tick(&t);
	answer_changes(&t, NULL, 0, 70);
	assert_int_equal(bw_directory_read_began_ms(t.directory), began_ms);
	tear_down(&t);
}

/* The changes begin at the first page's revision; later pages are newer. */
static void test_directory_ignores_changes_older_than_a_page(void **state)
{
	const bw_store_kv_t kvs[] = {
		{ .key = PREFIX "4",
		  .mod_revision = FIRST_REVISION + 1,
		  .deleted = true },
		{ .key = PREFIX "3",
		  .value = "older",
		  .mod_revision = FIRST_REVISION + 2 },
	};
	directory_test_t t;

	(void)state;
	set_up_loaded(&t);
	tick(&t);
	answer_changes(&t, kvs, G_N_ELEMENTS(kvs), 70);
	assert_address(&t, "4", "");
	assert_address(&t, "3", "");
	tear_down(&t);
}

static void test_directory_reads_all_when_the_history_is_gone(void **state)
{
	bw_store_reply_t stale = { .status = BW_ESTALE };
	directory_test_t t;

	(void)state;
	set_up_loaded(&t);
	tick(&t);
	answer(&t, &stale);
	tick(&t);
	assert_int_equal(t.first_page_calls, 2);
	while (t.loaded < 2)
		answer_page(&t);
	tick(&t);
	assert_int_equal(t.changes_after, FIRST_REVISION);
	tear_down(&t);
}

/* The store may have cut the call for changes, and would cut the next one. */
static void test_directory_reads_all_after_changes_that_failed(void **state)
{
	directory_test_t t;

	(void)state;
	set_up_loaded(&t);
	tick(&t);
	answer_changes(&t, NULL, 0, 70);
	assert_true(t.complete);
	tick(&t);
	fail_page(&t);
	assert_int_equal(t.loaded, 2);
	tick(&t);
	assert_int_equal(t.first_page_calls, 2);
	while (t.loaded < 3)
		answer_page(&t);
	assert_false(t.complete);
	tick(&t);
	assert_int_equal(t.changes_after, FIRST_REVISION);
	answer_changes(&t, NULL, 0, 90);
	assert_false(t.complete);
	tick(&t);
	answer_changes(&t, NULL, 0, 91);
	assert_true(t.complete);
	tear_down(&t);
}

/* On a large site more changes come than the store sends at a time. */
static void test_directory_asks_at_once_after_many_changes(void **state)
{
	bw_store_kv_t *kvs = g_new0(bw_store_kv_t, MANY_CHANGES);
	directory_test_t t;
	uint32_t i;

	(void)state;
	for (i = 0; i < MANY_CHANGES; i++) {
		kvs[i].key = PREFIX "1";
		kvs[i].value = "new";
		kvs[i].mod_revision = 60 + i;
	}
	set_up_loaded(&t);
	tick(&t);
	answer_changes(&t, kvs, MANY_CHANGES, 300);
	bw_directory_tick(t.directory, t.now_ms + 1);
	assert_int_equal(t.changes_calls, 2);
	assert_int_equal(t.changes_after, 300);
	answer_changes(&t, kvs, 1, 301);
	bw_directory_tick(t.directory, t.now_ms + 2);
	assert_int_equal(t.changes_calls, 2);
	tear_down(&t);
	g_free(kvs);
}

/* A node that owned no pool for a while begins anew. */
static void test_directory_left_alone_reads_all(void **state)
{
	directory_test_t t;

	(void)state;
	set_up_loaded(&t);
	tick(&t);
	answer_changes(&t, NULL, 0, 70);
	t.now_ms += 60 * TICK_MS;
	tick(&t);
	assert_int_equal(t.first_page_calls, 2);
	tear_down(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_directory_whose_pages_fail_by_turns_is_read),
		cmocka_unit_test(
			test_directory_forgets_pages_when_it_was_not_read),
		cmocka_unit_test(
			test_directory_is_complete_some_time_after_a_failure),
		cmocka_unit_test(
			test_directory_read_that_began_too_soon_is_not_complete),
		cmocka_unit_test(test_directory_leaves_time_after_a_long_read),
		cmocka_unit_test(test_directory_pause_is_bounded),
		cmocka_unit_test(
			test_directory_reads_only_changes_after_the_first_read),
		cmocka_unit_test(test_directory_keeps_a_capacity_that_changed),
		cmocka_unit_test(test_directory_read_counts_from_its_end),
		cmocka_unit_test(
			test_directory_ignores_changes_older_than_a_page),
		cmocka_unit_test(
			test_directory_reads_all_when_the_history_is_gone),
		cmocka_unit_test(
			test_directory_reads_all_after_changes_that_failed),
		cmocka_unit_test(
			test_directory_asks_at_once_after_many_changes),
		cmocka_unit_test(test_directory_left_alone_reads_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
