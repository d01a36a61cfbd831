/* The rate of arriving work, and its forecast, replayed with loads of surges.
 */
#include "test.h"

#include <glib.h>

#include "sched/arrivals.h"

/** A machine that is ordered can be used after this time. */
#define AFTER_MS 1800
#define STEP_MS	 10

/** Work of one job, in core-milliseconds times 1,000. */
#define SMALL_JOB 37e6
#define LARGE_JOB 266e6

typedef struct load {
	bw_arrivals_t *arrivals;
	int64_t now_ms;
	double due; /**< Jobs to add, with a fraction. */
	double job;
} load_t;

static void begin(load_t *l, double job)
{
	*l = (load_t){ .arrivals = bw_arrivals_create(), .job = job };
	l->now_ms = 1000000;
}

/* Adds jobs for a time, evenly spaced, at a rate that changes evenly. */
static void arrive(load_t *l, int64_t duration_ms, double from_s, double to_s)
{
	int64_t at_ms;

	for (at_ms = 0; at_ms < duration_ms; at_ms += STEP_MS) {
		double part = (double)at_ms / (double)duration_ms;

		l->now_ms += STEP_MS;
		l->due += (from_s + (to_s - from_s) * part) * STEP_MS / 1000.0;
		for (; l->due >= 1.0; l->due -= 1.0)
			bw_arrivals_add(l->arrivals, l->now_ms, l->job);
	}
}

static double forecast(const load_t *l)
{
	return bw_arrivals_forecast(l->arrivals, l->now_ms, AFTER_MS);
}

static double rate(const load_t *l)
{
	return bw_arrivals_rate(l->arrivals, l->now_ms);
}

static void test_rate_follows_a_steady_load(void **state)
{
	load_t l;

	(void)state;
	begin(&l, SMALL_JOB);
	arrive(&l, 4000, 100, 100);
	assert_true(rate(&l) > 0.95 * 100 * SMALL_JOB / 1000.0);
	assert_true(rate(&l) < 1.05 * 100 * SMALL_JOB / 1000.0);
	arrive(&l, 3000, 0, 0);
	assert_true(rate(&l) < 0.01 * 100 * SMALL_JOB / 1000.0);
	bw_arrivals_destroy(l.arrivals);
}

/* A surge from a twentieth of its peak to all of it in two seconds: the recent
 * rate lags behind what arrives, the forecast does not, nor is it over the
 * peak.
 */
static void test_growth_is_forecast(void **state)
{
	load_t l;

	(void)state;
	begin(&l, SMALL_JOB);
	arrive(&l, 3000, 7, 7);
	arrive(&l, 1000, 7, 78);
	assert_true(rate(&l) < 0.75 * 78 * SMALL_JOB / 1000.0);
	assert_true(forecast(&l) > 78 * SMALL_JOB / 1000.0);
	assert_true(forecast(&l) < 150 * SMALL_JOB / 1000.0);
	bw_arrivals_destroy(l.arrivals);
}

static void test_steady_load_is_no_growth(void **state)
{
	load_t l;

	(void)state;
	begin(&l, SMALL_JOB);
	arrive(&l, 4000, 100, 100);
	assert_true(forecast(&l) < 1.05 * rate(&l));
	bw_arrivals_destroy(l.arrivals);
}

/* Each large job raises the quick rate at once; that alone is no surge. */
static void test_single_large_jobs_are_no_growth(void **state)
{
	load_t l;
	int i;

	(void)state;
	begin(&l, LARGE_JOB);
	for (i = 0; i < 20; i++) {
		arrive(&l, 900, 0, 0);
		bw_arrivals_add(l.arrivals, l.now_ms, l.job);
		assert_true(forecast(&l) <= rate(&l));
	}
	bw_arrivals_destroy(l.arrivals);
}

static void test_falling_load_is_no_growth(void **state)
{
	load_t l;

	(void)state;
	begin(&l, SMALL_JOB);
	arrive(&l, 3000, 150, 150);
	arrive(&l, 1000, 150, 20);
	assert_true(forecast(&l) <= rate(&l));
	bw_arrivals_destroy(l.arrivals);
}

/* Failure: an owner takes a pool over in a surge and reads all jobs of the last
 * second at once. */
static void test_jobs_that_arrived_before_are_no_growth(void **state)
{
	load_t one_by_one;
	load_t at_once;
	int64_t age_ms;

	(void)state;
	begin(&one_by_one, SMALL_JOB);
	begin(&at_once, SMALL_JOB);
	arrive(&one_by_one, 1500, 100, 100);
	at_once.now_ms = one_by_one.now_ms;
	for (age_ms = 0; age_ms < 1500; age_ms += 10)
		bw_arrivals_add_earlier(at_once.arrivals, at_once.now_ms,
					age_ms, SMALL_JOB);
	assert_float_equal(rate(&at_once), rate(&one_by_one),
			   0.01 * rate(&one_by_one));
	assert_float_equal(forecast(&at_once), forecast(&one_by_one),
			   0.01 * rate(&one_by_one));
	bw_arrivals_destroy(one_by_one.arrivals);
	bw_arrivals_destroy(at_once.arrivals);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_follows_a_steady_load),
		cmocka_unit_test(test_growth_is_forecast),
		cmocka_unit_test(test_steady_load_is_no_growth),
		cmocka_unit_test(test_single_large_jobs_are_no_growth),
		cmocka_unit_test(test_falling_load_is_no_growth),
		cmocka_unit_test(test_jobs_that_arrived_before_are_no_growth),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
