/* The pace of a wave through machines with lasting tasks. */
#include "test.h"

#include <glib.h>

#include "fleet/wave_pace.h"

/** A machine's tasks have moved after this time, in the replays. */
#define DRAIN_MS 3000
#define STEP_MS	 100
#define LEFT_MAX 512U

typedef struct replay_case {
	const char *name;
	uint32_t machines;
	int64_t start_ms; /**< When the first can be reserved. */
	int64_t duration_ms;
} replay_case_t;

/* Loads of large and small fleets: machines that are due, with lasting tasks.
 */
static const replay_case_t replay_cases[] = {
	{ "one rack", 4, 0, 20000 },
	{ "a sixth of a large wave", 40, 9200, 25000 },
	{ "all of a large wave", 200, 1000, 25000 },
	{ "a late start", 30, 16000, 25000 },
};

/* Returns when the last machine is drained. */
static int64_t replay(const replay_case_t *c)
{
	int64_t ends_ms[LEFT_MAX];
	uint32_t started = 0;
	uint32_t drained = 0;
	int64_t now_ms = c->start_ms;

	while (drained < c->machines) {
		uint32_t at_a_time;

		while (drained < started && ends_ms[drained] <= now_ms)
			drained++;
		at_a_time = bw_wave_pace(c->machines - drained, now_ms,
					 c->duration_ms);
		while (started < c->machines && started - drained < at_a_time)
			ends_ms[started++] = now_ms + DRAIN_MS;
		now_ms += STEP_MS;
	}
	return now_ms;
}

static void test_wave_ends_in_time(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(replay_cases); i++) {
		const replay_case_t *c = &replay_cases[i];
		int64_t end_ms = replay(c);

		if (end_ms > c->duration_ms)
			print_error("case: %s: %d ms\n", c->name, (int)end_ms);
		assert_true(end_ms <= c->duration_ms);
	}
}

/* A wave that has time disturbs as little as possible. */
static void test_few_at_a_time_when_there_is_time(void **state)
{
	(void)state;
	assert_int_equal(bw_wave_pace(10, 0, 60000), 4);
	assert_int_equal(bw_wave_pace(1000, 0, 0), 4);
	assert_true(bw_wave_pace(100, 0, 25000) <= 30);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wave_ends_in_time),
		cmocka_unit_test(test_few_at_a_time_when_there_is_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
