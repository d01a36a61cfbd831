/* Which new jobs wait after a takeover, as an earlier owner may have started
 * them. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

#define CONFIRM_MS 300
#define OUTAGE_MS  3500
/** A clock may be slower than another one by this factor. */
#define RATE_MIN 0.98

/** A pool and the revision of its store. */
typedef struct pool {
	orders_t o;
	uint64_t revision;
} pool_t;

/* Stores the state; the call takes some time. */
static void save(pool_t *p, int64_t took_ms)
{
	size_t bytes;
	uint64_t version;

	orders_run(&p->o, 0);
	version = bw_sched_version(p->o.sched);
	g_free(bw_sched_pack(p->o.sched, &bytes));
	p->o.now_ms += took_ms;
	bw_sched_owned_at(p->o.sched, ++p->revision);
	bw_sched_saved(p->o.sched, p->o.now_ms, version);
}

/* An owner of the workers w1 and w2, both of which have answered. */
static void begin(pool_t *p, int64_t confirm_ms)
{
	memset(p, 0, sizeof(*p));
	orders_begin_confirming(&p->o, confirm_ms);
	orders_add_worker(&p->o, "w1");
	orders_add_worker(&p->o, "w2");
	orders_run(&p->o, 10);
	orders_answer_heartbeat(&p->o, "w1", NULL, 0, NULL, 0);
	orders_answer_heartbeat(&p->o, "w2", NULL, 0, NULL, 0);
	orders_run(&p->o, 0);
}

/* Lets another node take the pool over, which stores its first state after 10
 * ms; w2 does not answer it. */
static void take_over(pool_t *before, pool_t *p)
{
	size_t bytes;
	uint8_t *data = bw_sched_pack(before->o.sched, &bytes);

	p->revision = before->revision;
	bw_sched_destroy(before->o.sched);
	orders_begin_confirming(&p->o, CONFIRM_MS);
	assert_int_equal(bw_sched_load(p->o.sched, p->o.now_ms, data, bytes),
			 BW_OK);
	g_free(data);
	orders_add_worker(&p->o, "w1");
	orders_add_worker(&p->o, "w2");
	orders_run(&p->o, 10);
	orders_answer_heartbeat(&p->o, "w1", NULL, 0, NULL, 0);
	save(p, 0);
}

/* Takes a pool over from an owner whose saves are fast. */
static void begin_taken_over(pool_t *p)
{
	pool_t before;

	begin(&before, CONFIRM_MS);
	save(&before, 0);
	take_over(&before, p);
}

/* Lets time pass in which w1 answers and the state is stored. */
static void pass(pool_t *p, int64_t ms)
{
	int64_t end_ms = p->o.now_ms + ms;

	while (p->o.now_ms < end_ms) {
		orders_run(&p->o, MIN(20, end_ms - p->o.now_ms));
		orders_answer_heartbeat(&p->o, "w1", NULL, 0, NULL, 0);
		save(p, 0);
	}
	orders_run(&p->o, 0);
}

/* Lets a time pass that another clock may show as @p ms. */
static void pass_by_any_clock(pool_t *p, int64_t ms)
{
	pass(p, (int64_t)((double)ms / RATE_MIN) + 20);
}

/* Adds a job, or tells the revision of its record; 0: a notice does not. */
static void add_at(pool_t *p, const char *id, uint64_t revision)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = p->o.now_ms,
				   .spec = bw_job_spec_new(1),
				   .revision = revision };

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = 1;
	record.spec->steps[0].need.cpu_millis = 1000;
	record.spec->steps[0].estimate_ms = 500;
	bw_sched_add_job(p->o.sched, p->o.now_ms, p->o.now_ms, id, &record);
	bw_job_record_clear(&record);
	orders_run(&p->o, 0);
}

static void add(pool_t *p, const char *id)
{
	add_at(p, id, ++p->revision);
}

static bool is_started(const pool_t *p, const char *id)
{
	uint32_t i;

	for (i = 0; i < p->o.start_count; i++)
		if (!strcmp(p->o.starts[i].task.job, id))
			return true;
	return false;
}

/* Lets the time pass until w1 can be used, and checks that w2 is not heard. */
static void use_w1(pool_t *p)
{
	pass(p, 1500);
	assert_false(bw_sched_recovered(p->o.sched));
}

static void end(pool_t *p)
{
	bw_sched_destroy(p->o.sched);
}

/* The earlier owner may have started it on w2, which tells in its list. */
static void test_job_of_the_window_starts_when_all_lists_are_read(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	pass(&p, CONFIRM_MS - 50);
	add(&p, JOB_A);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	orders_answer_heartbeat(&p.o, "w2", NULL, 0, NULL, 0);
	orders_run(&p.o, 0);
	assert_true(is_started(&p, JOB_A));
	end(&p);
}

/* The earlier owner has started it. */
static void test_run_of_a_job_of_the_window_goes_on(void **state)
{
	bw_run_row_t row;
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	add(&p, JOB_A);
	use_w1(&p);
	orders_init_lasting_row(&row, 0);
	orders_answer_heartbeat(&p.o, "w2", &row, 1, NULL, 0);
	pass(&p, 100);
	assert_true(bw_sched_recovered(p.o.sched));
	assert_int_equal(p.o.start_count, 0);
	assert_int_equal(p.o.stop_count, 0);
	end(&p);
}

/* New jobs need not wait for a worker that is silent. */
static void test_job_after_the_window_starts_at_once(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	pass_by_any_clock(&p, CONFIRM_MS);
	add(&p, JOB_A);
	use_w1(&p);
	assert_true(is_started(&p, JOB_A));
	add(&p, JOB_B);
	assert_true(is_started(&p, JOB_B));
	end(&p);
}

/* What is read late may have been stored early. */
static void test_job_of_the_window_that_is_read_late_waits(void **state)
{
	uint64_t revision;
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	revision = ++p.revision;
	use_w1(&p);
	add_at(&p, JOB_A, revision);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	end(&p);
}

static void test_noticed_job_starts_once_its_revision_is_read(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	use_w1(&p);
	add_at(&p, JOB_A, 0);
	assert_false(is_started(&p, JOB_A));
	add(&p, JOB_A);
	assert_true(is_started(&p, JOB_A));
	end(&p);
}

/* A notice that came before the save, and a read after it. */
static void test_revision_of_the_window_is_read_late(void **state)
{
	uint64_t revision;
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	revision = ++p.revision;
	add_at(&p, JOB_A, 0);
	use_w1(&p);
	add_at(&p, JOB_A, revision);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	end(&p);
}

/* A job that is stored and read while the save that tells is under way. */
static void test_job_waits_for_the_save_that_shows_that_it_is_new(void **state)
{
	size_t bytes;
	uint64_t version;
	uint64_t saved;
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	orders_run(&p.o, CONFIRM_MS + 50);
	version = bw_sched_version(p.o.sched);
	g_free(bw_sched_pack(p.o.sched, &bytes));
	saved = ++p.revision;
	add(&p, JOB_A);
	bw_sched_owned_at(p.o.sched, saved);
	bw_sched_saved(p.o.sched, p.o.now_ms, version);
	use_w1(&p);
	assert_true(is_started(&p, JOB_A));
	end(&p);
}

/* A save that began before the end of the window tells nothing. */
static void test_early_save_does_not_show_that_a_job_is_new(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	orders_run(&p.o, CONFIRM_MS - 50);
	save(&p, 200);
	add(&p, JOB_A);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	end(&p);
}

static void test_no_job_waits_after_a_handover(void **state)
{
	pool_t before;
	pool_t p;

	(void)state;
	begin(&before, CONFIRM_MS);
	save(&before, 0);
	bw_sched_hand_over(before.o.sched);
	take_over(&before, &p);
	assert_false(bw_sched_recovered(p.o.sched));
	add(&p, JOB_A);
	add_at(&p, JOB_B, 0);
	assert_true(is_started(&p, JOB_A));
	assert_true(is_started(&p, JOB_B));
	end(&p);
}

/* The window ends when the earlier owner says that it has stopped. */
static void test_job_after_the_earlier_owner_stopped_starts(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	bw_sched_predecessor_stopped(p.o.sched, p.o.now_ms);
	pass(&p, 20);
	add(&p, JOB_A);
	use_w1(&p);
	assert_true(is_started(&p, JOB_A));
	end(&p);
}

/* As after a loss of power of all nodes: the next owner has registered and
 * waited since the last save. */
static void test_time_since_the_last_save_is_part_of_the_window(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	bw_sched_earlier_saved_by(p.o.sched, p.o.now_ms - 400);
	pass(&p, 20);
	add(&p, JOB_A);
	use_w1(&p);
	assert_true(is_started(&p, JOB_A));
	end(&p);
}

static void test_window_lasts_from_the_last_save_on(void **state)
{
	pool_t p;

	(void)state;
	begin_taken_over(&p);
	bw_sched_earlier_saved_by(p.o.sched, p.o.now_ms - 200);
	pass(&p, 40);
	add(&p, JOB_A);
	pass_by_any_clock(&p, 60);
	add(&p, JOB_B);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	assert_true(is_started(&p, JOB_B));
	end(&p);
}

/* While saves are slow, the earlier owner starts jobs for longer. */
static void test_slow_saves_of_the_earlier_owner_count(void **state)
{
	pool_t before;
	pool_t p;

	(void)state;
	begin(&before, CONFIRM_MS);
	save(&before, 400);
	save(&before, 400);
	take_over(&before, &p);
	pass(&p, 1100);
	add(&p, JOB_A);
	pass_by_any_clock(&p, 100);
	add(&p, JOB_B);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	assert_true(is_started(&p, JOB_B));
	end(&p);
}

/* A state of an earlier version does not tell for how long; an owner that is
 * cut off gives no orders after this time. */
static void test_window_that_is_not_known_is_an_outage(void **state)
{
	pool_t before;
	pool_t p;

	(void)state;
	begin(&before, 0);
	save(&before, 0);
	take_over(&before, &p);
	pass(&p, OUTAGE_MS - 100);
	add(&p, JOB_A);
	pass_by_any_clock(&p, 200);
	add(&p, JOB_B);
	pass(&p, 100);
	assert_false(bw_sched_recovered(p.o.sched));
	assert_false(is_started(&p, JOB_A));
	assert_true(is_started(&p, JOB_B));
	end(&p);
}

/* The next owner has to wait for the owner before the last one too. */
static void test_window_of_two_owners_before_counts(void **state)
{
	pool_t slow;
	pool_t middle;
	pool_t p;

	(void)state;
	begin(&slow, CONFIRM_MS);
	save(&slow, 400);
	save(&slow, 400);
	take_over(&slow, &middle);
	take_over(&middle, &p);
	pass(&p, 1100);
	add(&p, JOB_A);
	use_w1(&p);
	assert_false(is_started(&p, JOB_A));
	end(&p);
}

/* Later, that one starts no new jobs any more. */
static void test_window_of_two_owners_before_ends(void **state)
{
	pool_t slow;
	pool_t middle;
	pool_t p;

	(void)state;
	begin(&slow, CONFIRM_MS);
	save(&slow, 400);
	save(&slow, 400);
	take_over(&slow, &middle);
	pass_by_any_clock(&middle, 1200);
	take_over(&middle, &p);
	pass_by_any_clock(&p, CONFIRM_MS);
	add(&p, JOB_A);
	use_w1(&p);
	assert_true(is_started(&p, JOB_A));
	end(&p);
}

/*
 * Failure: an owner that has just found its saves to be slow starts new jobs
 * for longer than its successor reads.
 */
static void test_slow_saves_count_once_that_is_stored(void **state)
{
	size_t bytes;
	uint64_t version;
	pool_t p;

	(void)state;
	begin(&p, CONFIRM_MS);
	save(&p, 400);
	orders_run(&p.o, 0);
	version = bw_sched_version(p.o.sched);
	g_free(bw_sched_pack(p.o.sched, &bytes));
	p.o.now_ms += 400;
	add(&p, JOB_A);
	assert_false(is_started(&p, JOB_A));
	bw_sched_saved(p.o.sched, p.o.now_ms, version);
	save(&p, 400);
	orders_run(&p.o, 0);
	assert_true(is_started(&p, JOB_A));
	p.o.now_ms += 700;
	orders_answer_heartbeat(&p.o, "w1", NULL, 0, NULL, 0);
	add(&p, JOB_B);
	assert_true(is_started(&p, JOB_B));
	end(&p);
}

/* Failure: a state that is stored without an answer tells of fast saves, and
 * the owner goes by the one before. */
static void test_faster_saves_count_once_that_is_packed(void **state)
{
	size_t bytes;
	pool_t p;

	(void)state;
	begin(&p, CONFIRM_MS);
	save(&p, 400);
	save(&p, 10);
	g_free(bw_sched_pack(p.o.sched, &bytes));
	p.o.now_ms += CONFIRM_MS + 100;
	add(&p, JOB_A);
	assert_false(is_started(&p, JOB_A));
	end(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_job_of_the_window_starts_when_all_lists_are_read),
		cmocka_unit_test(test_run_of_a_job_of_the_window_goes_on),
		cmocka_unit_test(test_job_after_the_window_starts_at_once),
		cmocka_unit_test(
			test_job_of_the_window_that_is_read_late_waits),
		cmocka_unit_test(
			test_noticed_job_starts_once_its_revision_is_read),
		cmocka_unit_test(test_revision_of_the_window_is_read_late),
		cmocka_unit_test(
			test_job_waits_for_the_save_that_shows_that_it_is_new),
		cmocka_unit_test(
			test_early_save_does_not_show_that_a_job_is_new),
		cmocka_unit_test(test_no_job_waits_after_a_handover),
		cmocka_unit_test(
			test_job_after_the_earlier_owner_stopped_starts),
		cmocka_unit_test(
			test_time_since_the_last_save_is_part_of_the_window),
		cmocka_unit_test(test_window_lasts_from_the_last_save_on),
		cmocka_unit_test(test_slow_saves_of_the_earlier_owner_count),
		cmocka_unit_test(test_window_that_is_not_known_is_an_outage),
		cmocka_unit_test(test_window_of_two_owners_before_counts),
		cmocka_unit_test(test_window_of_two_owners_before_ends),
		cmocka_unit_test(test_slow_saves_count_once_that_is_stored),
		cmocka_unit_test(test_faster_saves_count_once_that_is_packed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
