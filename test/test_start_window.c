/* Tests of the window on start orders. */
#include "test.h"

#include "sched/start_window.h"

#define TIMEOUT_MS 700
#define QUICK_MS   10
#define SLOW_MS	   400

static void answer(bw_start_window_t *w, uint32_t count, int64_t took_ms)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		bw_start_window_answered(w, took_ms);
}

/* Sends as many starts as the window lets. */
static uint32_t fill(bw_start_window_t *w)
{
	uint32_t sent = 0;

	for (; bw_start_window_open(w); sent++)
		bw_start_window_sent(w);
	return sent;
}

/* Starts wait once the window is full, until one is answered or dropped. */
static void test_full_window_is_closed(void **state)
{
	bw_start_window_t *w = bw_start_window_create(TIMEOUT_MS);

	(void)state;
	assert_int_equal(fill(w), bw_start_window_size(w));
	assert_false(bw_start_window_open(w));
	bw_start_window_dropped(w);
	assert_int_equal(fill(w), 1);
	bw_start_window_answered(w, QUICK_MS);
	assert_int_equal(fill(w), 1);
	bw_start_window_destroy(w);
}

/* Full windows with quick answers enlarge it up to its largest size. */
static void test_quick_answers_enlarge_it(void **state)
{
	bw_start_window_t *w = bw_start_window_create(TIMEOUT_MS);
	uint32_t before = bw_start_window_size(w);
	uint32_t i;

	(void)state;
	answer(w, fill(w), QUICK_MS);
	assert_true(bw_start_window_size(w) > before);
	for (i = 0; i < 100; i++)
		answer(w, fill(w), QUICK_MS);
	assert_int_equal(bw_start_window_size(w), BW_START_WINDOW_MAX);
	bw_start_window_destroy(w);
}

/* Quick answers to few starts prove nothing about a larger window. */
static void test_unused_size_does_not_grow(void **state)
{
	bw_start_window_t *w = bw_start_window_create(TIMEOUT_MS);
	uint32_t before = bw_start_window_size(w);
	uint32_t i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		bw_start_window_sent(w);
		answer(w, 1, QUICK_MS);
	}
	assert_int_equal(bw_start_window_size(w), before);
	bw_start_window_destroy(w);
}

/* Slow answers halve it once for the starts that were on their way. */
static void test_slow_answers_halve_it_once(void **state)
{
	bw_start_window_t *w = bw_start_window_create(TIMEOUT_MS);
	uint32_t before;
	uint32_t i;

	(void)state;
	for (i = 0; i < 20; i++)
		answer(w, fill(w), QUICK_MS);
	before = bw_start_window_size(w);
	answer(w, fill(w), SLOW_MS);
	assert_int_equal(bw_start_window_size(w), before / 2);
	for (i = 0; i < 20; i++)
		answer(w, fill(w), SLOW_MS);
	assert_int_equal(bw_start_window_size(w), BW_START_WINDOW_MIN);
	answer(w, fill(w), QUICK_MS);
	assert_true(bw_start_window_size(w) > BW_START_WINDOW_MIN);
	bw_start_window_destroy(w);
}

/* Slow workers among quick ones do not hold the others back. */
static void test_few_slow_workers_do_not_shrink_it(void **state)
{
	bw_start_window_t *w = bw_start_window_create(TIMEOUT_MS);
	uint32_t before = bw_start_window_size(w);
	uint32_t i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		bw_start_window_sent(w);
		answer(w, 1, i % 5 == 0 ? TIMEOUT_MS : QUICK_MS);
	}
	assert_true(bw_start_window_size(w) >= before);
	bw_start_window_destroy(w);
}

/* Late answers to heartbeats shrink it; those in time change nothing. */
static void test_late_heartbeats_shrink_it(void **state)
{
	bw_start_window_t *w = bw_start_window_create(TIMEOUT_MS);
	uint32_t before = bw_start_window_size(w);
	uint32_t i;

	(void)state;
	for (i = 0; i < 1000; i++)
		bw_start_window_heartbeat(w, QUICK_MS);
	assert_int_equal(bw_start_window_size(w), before);
	for (i = 0; i < 1000; i++)
		bw_start_window_heartbeat(w, SLOW_MS);
	assert_int_equal(bw_start_window_size(w), BW_START_WINDOW_MIN);
	bw_start_window_destroy(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full_window_is_closed),
		cmocka_unit_test(test_quick_answers_enlarge_it),
		cmocka_unit_test(test_unused_size_does_not_grow),
		cmocka_unit_test(test_slow_answers_halve_it_once),
		cmocka_unit_test(test_few_slow_workers_do_not_shrink_it),
		cmocka_unit_test(test_late_heartbeats_shrink_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
