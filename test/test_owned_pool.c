/* A pool on an empty store, whose watch events come from the test. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fake_store.h"
#include "fleet/job_keys.h"
#include "fleet/pool.h"

/** Of the record that was last passed to a scheduler. */
static uint64_t added_revision;

void __real_bw_sched_add_job(bw_sched_t *s, int64_t now_ms, int64_t wall_ms,
			     const char *id, bw_job_record_t *record);
void __wrap_bw_sched_add_job(bw_sched_t *s, int64_t now_ms, int64_t wall_ms,
			     const char *id, bw_job_record_t *record);

void __wrap_bw_sched_add_job(bw_sched_t *s, int64_t now_ms, int64_t wall_ms,
			     const char *id, bw_job_record_t *record)
{
	added_revision = record->revision;
	__real_bw_sched_add_job(s, now_ms, wall_ms, id, record);
}

/** Told to a scheduler; 0: not. */
static int64_t saved_by_ms;

void __real_bw_sched_earlier_saved_by(bw_sched_t *s, int64_t ms);
void __wrap_bw_sched_earlier_saved_by(bw_sched_t *s, int64_t ms);

void __wrap_bw_sched_earlier_saved_by(bw_sched_t *s, int64_t ms)
{
	saved_by_ms = ms;
	__real_bw_sched_earlier_saved_by(s, ms);
}

typedef struct empty_store {
	bw_store_done_fn event;
	void *ctx;
	uint32_t short_records; /**< Written, all together. */
	uint32_t long_records; /**< The same of other records of jobs. */
	uint32_t entries_max; /**< Of one transaction. */
	size_t state_bytes; /**< Of the pool's value. */
} empty_store_t;

static void empty_get(void *impl, const char *key, bw_store_done_fn done,
		      void *ctx)
{
	bw_store_reply_t reply = { .status = BW_ENOTFOUND };

	(void)impl;
	(void)key;
	done(ctx, &reply);
}

static void empty_page(void *impl, const bw_store_page_t *page,
		       bw_store_done_fn done, void *ctx)
{
	bw_store_reply_t reply = { .status = BW_OK, .revision = 1 };

	(void)impl;
	(void)page;
	done(ctx, &reply);
}

static bw_store_watch_t *empty_watch(void *impl, const char *prefix,
				     int64_t revision, bw_store_done_fn event,
				     void *ctx)
{
	empty_store_t *f = impl;

	(void)prefix;
	(void)revision;
	f->event = event;
	f->ctx = ctx;
	return impl;
}

static void empty_watch_end(void *impl, bw_store_watch_t *watch)
{
	(void)impl;
	(void)watch;
}

/* Accepts a transaction of the owner and counts what it writes. */
static void empty_txn(void *impl, const bw_store_txn_t *txn,
		      bw_store_done_fn done, void *ctx)
{
	bw_store_reply_t reply = { .status = BW_OK,
				   .revision = 1,
				   .succeeded = true };
	empty_store_t *f = impl;
	uint32_t i;

	assert_true(txn->expect_count > 0);
	assert_int_equal(txn->expects[0].mod_revision, 7);
	f->entries_max =
		MAX(f->entries_max, txn->expect_count + txn->write_count);
	for (i = 0; i < txn->write_count; i++) {
		const bw_store_write_t *write = &txn->writes[i];

		if (g_str_has_prefix(write->key, "bw/p/"))
			f->state_bytes = write->bytes;
		else if (write->bytes == SHORT_BYTES &&
			 !memcmp(write->value, SHORT_CANCELLED, SHORT_BYTES))
			f->short_records++;
		else if (write->value)
			f->long_records++;
	}
	done(ctx, &reply);
}

static const bw_store_ops_t empty_ops = { .txn = empty_txn,
					  .get = empty_get,
					  .page = empty_page,
					  .watch = empty_watch,
					  .watch_end = empty_watch_end };

static void report_key(empty_store_t *f, char *key, const uint8_t *record,
		       size_t bytes)
{
	bw_store_kv_t kv = { .key = key,
			     .value = (const char *)record,
			     .bytes = bytes,
			     .mod_revision = 2 };
	bw_store_reply_t reply = {
		.status = BW_OK, .revision = 2, .kvs = &kv, .kv_count = 1
	};

	f->event(f->ctx, &reply);
	g_free(key);
}

/*
 * A notice of a job that was accepted long ago must not add it, since the job
 * may have been removed, and must keep a cancellation that came before. The
 * watch then reports the job, and it is cancelled.
 */
static void test_old_notice(void **state)
{
	static const char id[] = "00000000000000aa";
	static const bw_pool_ops_t pool_ops = { .store_result = ignore_result };
	bw_fleet_settings_t settings = { .retention_ms = 1000 };
	empty_store_t f = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	bw_pool_env_t env = { .loop = loop,
			      .store = { &empty_ops, &f },
			      .settings = &settings };
	bw_pool_t *pool = bw_pool_create(&env, "a", 7, &pool_ops, NULL);
	size_t bytes;
	uint8_t *record = record_of_age(200000, &bytes);

	(void)state;
	assert_true(bw_pool_jobs_loaded(pool));
	bw_pool_cancel_job(pool, id);
	bw_pool_add_job(pool, id, record, bytes);
	assert_int_equal(bw_sched_job_state(bw_pool_sched(pool), id),
			 BW_JOB_UNKNOWN);
	report_key(&f, bw_job_key("a", id), record, bytes);
	assert_int_equal(bw_sched_job_state(bw_pool_sched(pool), id),
			 BW_JOB_CANCELLED);
	g_free(record);
	bw_pool_destroy(pool);
	ev_loop_destroy(loop);
}

static bw_pool_t *create_pool(struct ev_loop *loop, empty_store_t *f)
{
	static const bw_pool_ops_t pool_ops = { .store_result = ignore_result };
	static const bw_fleet_settings_t settings = { .retention_ms = 120000 };
	bw_pool_env_t env = { .loop = loop,
			      .store = { &empty_ops, f },
			      .settings = &settings };

	return bw_pool_create(&env, "a", 7, &pool_ops, NULL);
}

/* A notice does not tell the revision of a job's record, the watch does, also
 * when the job is known. */
static void test_watch_tells_the_revision_of_a_job(void **state)
{
	static const char id[] = "00000000000000aa";
	empty_store_t f = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	bw_pool_t *pool = create_pool(loop, &f);
	size_t bytes;
	uint8_t *record = record_of_age(0, &bytes);

	(void)state;
	added_revision = 7;
	bw_pool_add_job(pool, id, record, bytes);
	assert_int_equal(bw_sched_job_state(bw_pool_sched(pool), id),
			 BW_JOB_QUEUED);
	assert_int_equal(added_revision, 0);
	report_key(&f, bw_job_key("a", id), record, bytes);
	assert_int_equal(added_revision, 2);
	g_free(record);
	bw_pool_destroy(pool);
	ev_loop_destroy(loop);
}

/* A state as an owner has stored it, at revision 5. */
static void state_get(void *impl, const char *key, bw_store_done_fn done,
		      void *ctx)
{
	static const bw_sched_config_t config = { .fence = 3 };
	static const bw_sched_ops_t ops = { .log = NULL };
	bw_sched_t *earlier = bw_sched_create(&config, &ops, NULL, 1);
	bw_store_kv_t kv = { .key = key, .mod_revision = 5 };
	bw_store_reply_t reply = { .status = BW_OK, .kvs = &kv, .kv_count = 1 };
	uint8_t *data = bw_sched_pack(earlier, &kv.bytes);

	(void)impl;
	kv.value = (const char *)data;
	done(ctx, &reply);
	g_free(data);
	bw_sched_destroy(earlier);
}

static const bw_store_ops_t state_ops = { .txn = empty_txn,
					  .get = state_get,
					  .page = empty_page,
					  .watch = empty_watch,
					  .watch_end = empty_watch_end };

/* Returns by when the scheduler is told that the state was stored. */
static int64_t load_seen(int64_t revision)
{
	static const bw_pool_ops_t pool_ops = { .store_result = ignore_result };
	static const bw_fleet_settings_t settings = { .retention_ms = 120000 };
	empty_store_t f = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	bw_pool_env_t env = { .loop = loop,
			      .store = { &state_ops, &f },
			      .settings = &settings,
			      .seen = { .revision = revision, .ms = 1234 } };

	saved_by_ms = 0;
	bw_pool_destroy(bw_pool_create(&env, "a", 7, &pool_ops, NULL));
	ev_loop_destroy(loop);
	return saved_by_ms;
}

/* What the store had when the node was registered was stored before. */
static void test_registration_bounds_the_last_save_of_before(void **state)
{
	(void)state;
	assert_int_equal(load_seen(0), 0);
	assert_int_equal(load_seen(4), 0);
	assert_int_equal(load_seen(5), 1234);
	assert_int_equal(load_seen(6), 1234);
}

/*
 * An owner that reads a short record knows that the job has ended, even if the
 * pool's value does not list it, and a late notice does not add the job.
 */
static void test_short_record_is_an_end(void **state)
{
	static const char id[] = "00000000000000aa";
	empty_store_t f = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	bw_pool_t *pool = create_pool(loop, &f);
	size_t bytes;
	uint8_t *record = record_of_age(0, &bytes);

	(void)state;
	report_key(&f, bw_job_key("a", id), (const uint8_t *)SHORT_FAILED,
		   SHORT_BYTES);
	assert_int_equal(bw_sched_job_state(bw_pool_sched(pool), id),
			 BW_JOB_FAILED);
	bw_pool_add_job(pool, id, record, bytes);
	bw_pool_cancel_job(pool, id);
	assert_int_equal(bw_sched_job_state(bw_pool_sched(pool), id),
			 BW_JOB_FAILED);
	g_free(record);
	bw_pool_destroy(pool);
	ev_loop_destroy(loop);
}

/** Ended jobs, more than one transaction takes. */
#define ENDED 60
/** Rounds of the event loop, of at most 0.1 s, in which a pool does its work.
 */
#define ROUNDS_MAX 100

/* Passes jobs to a pool and cancels them. */
static void end_jobs(bw_pool_t *pool, empty_store_t *f, uint32_t first,
		     uint32_t count)
{
	char id[BW_JOB_ID_CHARS + 1];
	size_t bytes;
	uint8_t *record = record_of_age(0, &bytes);
	uint32_t i;

	for (i = 0; i < count; i++) {
		g_snprintf(id, sizeof(id), "%016x", first + i);
		report_key(f, bw_job_key("a", id), record, bytes);
		bw_pool_cancel_job(pool, id);
	}
	g_free(record);
}

/* What a successor reads is not what was done: an ended job's record is short.
 */
static void test_records_of_ended_jobs_are_short(void **state)
{
	empty_store_t f = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	bw_pool_t *pool = create_pool(loop, &f);
	uint32_t i;

	(void)state;
	bw_pool_set_directory_loaded(pool);
	end_jobs(pool, &f, 0, ENDED);
	for (i = 0; i < ROUNDS_MAX && f.short_records < ENDED; i++)
		ev_run(loop, EVRUN_ONCE);
	assert_int_equal(f.short_records, ENDED);
	assert_int_equal(f.long_records, 0);
	assert_true(f.entries_max <= 32);
	bw_pool_destroy(pool);
	ev_loop_destroy(loop);
}

/** More than a pool's value has without jobs. */
#define EMPTY_VALUE_BYTES 100

/* The pool's value does not carry ended jobs whose short record is stored. */
static void test_value_leaves_out_short_records(void **state)
{
	empty_store_t f = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	bw_pool_t *pool = create_pool(loop, &f);
	uint32_t i;

	(void)state;
	bw_pool_set_directory_loaded(pool);
	end_jobs(pool, &f, 0, ENDED);
	for (i = 0; i < ROUNDS_MAX && f.short_records < ENDED; i++)
		ev_run(loop, EVRUN_ONCE);
	assert_true(f.state_bytes > EMPTY_VALUE_BYTES);
	/* It is written again with the next change. */
	end_jobs(pool, &f, ENDED, 1);
	for (i = 0; i < ROUNDS_MAX && f.short_records <= ENDED; i++)
		ev_run(loop, EVRUN_ONCE);
	assert_true(f.state_bytes < EMPTY_VALUE_BYTES);
	bw_pool_destroy(pool);
	ev_loop_destroy(loop);
}

/* A pool whose saves the test answers at once. */

/** A save of the smallest state takes longer on a link of 1 kbit a second. */
#define EARLY_S		0.2
#define SAVE_WATCHDOG_S 20.0

typedef struct saving_store {
	empty_store_t empty; /**< First: the other operations use it. */
	struct ev_loop *loop;
	bw_pool_t *pool;
	ev_timer answer;
	ev_timer early;
	ev_timer watchdog;
	bw_store_done_fn done;
	void *ctx;
	uint32_t saves;
	uint32_t jobs;
	bool early_passed; /**< Before the second save. */
} saving_store_t;

/* Changes the state of the pool. */
static void change_state(saving_store_t *f)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = bw_clock_wall_ms(),
				   .spec = bw_job_spec_new(1) };
	char id[BW_JOB_ID_CHARS + 1];
	size_t bytes;
	uint8_t *data;

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = 1;
	data = bw_job_record_pack(&record, &bytes);
	g_snprintf(id, sizeof(id), "%016x", ++f->jobs);
	bw_pool_add_job(f->pool, id, data, bytes);
	bw_pool_cancel_job(f->pool, id);
	g_free(data);
	bw_job_record_clear(&record);
}

static void saving_txn(void *impl, const bw_store_txn_t *txn,
		       bw_store_done_fn done, void *ctx)
{
	saving_store_t *f = impl;

	(void)txn;
	f->done = done;
	f->ctx = ctx;
	f->saves++;
	if (f->saves == 1)
		ev_timer_start(f->loop, &f->answer);
	else
		ev_break(f->loop, EVBREAK_ALL);
}

static void on_save_answer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	saving_store_t *f = timer->data;
	bw_store_reply_t reply = { .status = BW_OK,
				   .succeeded = true,
				   .revision = 2 };

	(void)revents;
	ev_timer_start(loop, &f->early);
	change_state(f);
	f->done(f->ctx, &reply);
}

static void on_early(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	((saving_store_t *)timer->data)->early_passed = true;
}

static void on_save_watchdog(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static const bw_store_ops_t saving_ops = { .get = empty_get,
					   .page = empty_page,
					   .watch = empty_watch,
					   .watch_end = empty_watch_end,
					   .txn = saving_txn };

/*
 * The state is saved as a whole, so on a slow link a save leaves as much of the
 * link as it takes to heartbeats, starts and the lease.
 */
static void test_saves_leave_room_on_a_slow_link(void **state)
{
	static const bw_pool_ops_t pool_ops = { .store_result = ignore_result };
	bw_fleet_settings_t settings = { .retention_ms = 100000,
					 .link_kbits = 1 };
	saving_store_t f = { .loop = ev_loop_new(0) };
	bw_pool_env_t env = { .loop = f.loop,
			      .store = { &saving_ops, &f },
			      .settings = &settings };

	(void)state;
	ev_timer_init(&f.answer, on_save_answer, 0.0, 0.0);
	ev_timer_init(&f.early, on_early, EARLY_S, 0.0);
	ev_timer_init(&f.watchdog, on_save_watchdog, SAVE_WATCHDOG_S, 0.0);
	f.answer.data = &f;
	f.early.data = &f;
	ev_timer_start(f.loop, &f.watchdog);
	f.pool = bw_pool_create(&env, "a", 7, &pool_ops, NULL);
	bw_pool_set_directory_loaded(f.pool);
	change_state(&f);
	ev_run(f.loop, 0);
	assert_int_equal(f.saves, 2);
	assert_true(f.early_passed);
	bw_pool_destroy(f.pool);
	f.done(f.ctx, &(bw_store_reply_t){ .status = BW_ELOST });
	ev_loop_destroy(f.loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_old_notice),
		cmocka_unit_test(test_watch_tells_the_revision_of_a_job),
		cmocka_unit_test(
			test_registration_bounds_the_last_save_of_before),
		cmocka_unit_test(test_short_record_is_an_end),
		cmocka_unit_test(test_records_of_ended_jobs_are_short),
		cmocka_unit_test(test_value_leaves_out_short_records),
		cmocka_unit_test(test_saves_leave_room_on_a_slow_link),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
