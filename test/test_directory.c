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
#define CALLS_MAX     40U

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

static const bw_store_ops_t store_ops = { .page = page };

static bw_status_t parse(const char *key, const char *value, size_t bytes,
			 bw_registration_t **out)
{
	bw_registration_t *r = g_new0(bw_registration_t, 1);

	(void)value;
	(void)bytes;
	r->id = g_strdup(key);
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

static void set_up(directory_test_t *t)
{
	bw_store_t store = { &store_ops, t };

	memset(t, 0, sizeof(*t));
	t->now_ms = 1000000;
	t->directory = bw_directory_create(&store, &values, &directory_ops, t);
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
	bw_store_reply_t reply = { .kvs = &kv, .kv_count = 1 };

	key[2] = (char)('0' + last + 1);
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
	char key[] = PREFIX "0";
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
		key[2] = (char)('0' + i);
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
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
