/* Removal of finished jobs, and short records of them. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fake_store.h"
#include "fleet/removal.h"
#include "fleet/shortening.h"
#include "standin/memstore.h"

#define FINISHED 15

static bw_sched_t *finished_jobs(int64_t retention_ms)
{
	static const bw_sched_ops_t no_ops = { 0 };
	bw_sched_config_t limits = { .retention_ms = retention_ms,
				     .removed_ms = 5000 };
	bw_sched_t *sched = bw_sched_create(&limits, &no_ops, NULL, 1000);
	char id[BW_JOB_ID_CHARS + 1];
	size_t bytes;
	uint32_t i;

	for (i = 0; i < FINISHED; i++) {
		bw_job_record_t record = { .queue = g_strdup("q"),
					   .spec = bw_job_spec_new(1) };

		record.spec->text = g_strdup("text");
		record.spec->steps[0].count = 1;
		g_snprintf(id, sizeof(id), "%016x", i);
		bw_sched_add_job(sched, 1000, 1000, id, &record);
		bw_job_record_clear(&record);
		bw_sched_cancel(sched, 1000, id);
	}
	bw_sched_run(sched, 1000, 1000);
	g_free(bw_sched_pack(sched, &bytes));
	bw_sched_saved(sched, 1000, bw_sched_version(sched));
	return sched;
}

/*
 * A lost answer or a superseded owner must not count as a removal: the first
 * call loses its answer, the second finds another owner, and the next two
 * remove all jobs.
 */
static void test_removal(void **state)
{
	fake_store_t f = { .results = { BW_ELOST, BW_OK, BW_OK, BW_OK },
			   .succeeded = { false, false, true, true } };
	bw_store_t store = { &fake_ops, &f };
	bw_sched_t *sched = finished_jobs(1000);
	bw_removal_t *r = bw_removal_create(&store, "a", "owner", 7);
	const char *ids[FINISHED];
	int64_t late_ms = bw_clock_now_ms() + 100000;
	uint32_t i;

	(void)state;
	bw_removal_run(r, 1500, sched);
	assert_int_equal(f.calls, 0);
	for (i = 0; i < 2; i++) {
		bw_removal_run(r, late_ms, sched);
		assert_int_equal(f.calls, i + 1);
		assert_int_equal(f.expects, 1);
		assert_int_equal(f.writes, 30);
		assert_string_equal(f.first_key, "bw/q/a/0000000000000000/job");
		assert_int_equal(
			bw_sched_removable(sched, late_ms, ids, FINISHED),
			FINISHED);
	}
	/* No call is made before the interval is over. */
	bw_removal_run(r, bw_clock_now_ms(), sched);
	assert_int_equal(f.calls, 2);
	bw_removal_run(r, late_ms, sched);
	assert_int_equal(bw_sched_removable(sched, late_ms, ids, FINISHED), 5);
	bw_removal_run(r, late_ms, sched);
	assert_int_equal(f.writes, 15);
	assert_int_equal(bw_sched_removable(sched, late_ms, ids, FINISHED), 0);
	bw_removal_run(r, late_ms, sched);
	assert_int_equal(f.calls, 4);
	bw_removal_destroy(r);
	bw_sched_destroy(sched);
}

/* The scheduler may be gone when the store answers. */
static void test_removal_reports_after_its_end(void **state)
{
	struct ev_loop *loop = ev_loop_new(0);
	bw_memstore_t *memory = bw_memstore_create(loop);
	bw_store_t store = bw_memstore_interface(memory);
	bw_sched_t *sched = finished_jobs(1000);
	int64_t late_ms = bw_clock_now_ms() + 100000;
	bw_removal_t *r;

	(void)state;
	bw_memstore_put(memory, "owner", "n", 1);
	bw_memstore_put(memory, "bw/q/a/0000000000000000/job", "j", 1);
	bw_memstore_put(memory, "bw/q/a/0000000000000000/cancel", "1", 1);
	bw_memstore_put(memory, "bw/i/0000000000000000", "l", 1);
	r = bw_removal_create(&store, "a", "owner",
			      bw_memstore_revision(memory, "owner"));
	bw_removal_run(r, late_ms, sched);
	bw_removal_destroy(r);
	bw_sched_destroy(sched);
	ev_run(loop, 0);
	assert_int_equal(
		bw_memstore_revision(memory, "bw/q/a/0000000000000000/job"), 0);
	assert_int_equal(
		bw_memstore_revision(memory, "bw/q/a/0000000000000000/cancel"),
		0);
	assert_int_equal(bw_memstore_revision(memory, "bw/i/0000000000000000"),
			 0);
	bw_memstore_destroy(memory);
	ev_loop_destroy(loop);
}

/* Lets due records wait for long enough to be sent. */
static void send_due(bw_shortening_t *sh, int64_t *now_ms, bw_sched_t *sched)
{
	bw_shortening_run(sh, *now_ms, sched);
	*now_ms += 1000;
	bw_shortening_run(sh, *now_ms, sched);
	*now_ms += 1000;
}

/*
 * A lost answer or a superseded owner must not count as stored, and a record is
 * not removed while a call may still write the short one.
 */
static void test_shortening(void **state)
{
	fake_store_t f = { .results = { BW_ELOST, BW_OK, BW_OK },
			   .succeeded = { false, false, true } };
	bw_store_t store = { &fake_ops, &f };
	bw_sched_t *sched = finished_jobs(5000);
	bw_shortening_t *sh = bw_shortening_create(&store, "a", "owner", 7);
	bw_ended_job_t ended[FINISHED];
	const char *ids[FINISHED];
	int64_t late_ms = bw_clock_now_ms() + 100000;
	uint32_t i;

	(void)state;
	/* A few jobs wait for others, for a second at most. */
	bw_shortening_run(sh, 1000, sched);
	bw_shortening_run(sh, 1900, sched);
	assert_int_equal(f.calls, 0);
	assert_int_equal(bw_sched_shortenable(sched, 1900, ended, FINISHED),
			 FINISHED);
	assert_int_equal(ended[0].state, BW_JOB_CANCELLED);
	bw_shortening_run(sh, 2100, sched);
	for (i = 0; i < 2; i++) {
		assert_int_equal(f.calls, i + 1);
		assert_int_equal(f.expects, 1);
		assert_int_equal(f.writes, FINISHED);
		assert_string_equal(f.first_key, "bw/q/a/0000000000000000/job");
		assert_int_equal(
			bw_sched_removable(sched, late_ms, ids, FINISHED), 0);
		send_due(sh, &late_ms, sched);
	}
	assert_int_equal(bw_sched_shortenable(sched, late_ms, ended, FINISHED),
			 0);
	assert_int_equal(bw_sched_removable(sched, late_ms, ids, FINISHED),
			 FINISHED);
	send_due(sh, &late_ms, sched);
	assert_int_equal(f.calls, 3);
	bw_shortening_destroy(sh);
	bw_sched_destroy(sched);
}

/** What a read has returned. */
typedef struct read_record {
	bw_job_record_t record;
	bool read;
} read_record_t;

static void on_record(void *ctx, const bw_store_reply_t *reply)
{
	read_record_t *r = ctx;

	assert_int_equal(reply->status, BW_OK);
	assert_int_equal(
		bw_job_record_unpack((const uint8_t *)reply->kvs[0].value,
				     reply->kvs[0].bytes, &r->record),
		BW_OK);
	r->read = true;
}

/* Failure: a job's short record forgets whose it is, and after a takeover
 * everyone sees its end. */
static void test_short_record_keeps_the_tenant(void **state)
{
	static const char id[] = "0000000000000000";
	struct ev_loop *loop = ev_loop_new(0);
	bw_memstore_t *memory = bw_memstore_create(loop);
	bw_store_t store = bw_memstore_interface(memory);
	bw_sched_t *sched = finished_jobs(5000);
	read_record_t r = { .read = false };
	int64_t now_ms = 1000;
	bw_shortening_t *sh;

	(void)state;
	bw_sched_set_job_tenant(sched, id, "ada");
	bw_memstore_put(memory, "owner", "n", 1);
	bw_memstore_put(memory, "bw/q/a/0000000000000000/job", "r", 1);
	sh = bw_shortening_create(&store, "a", "owner",
				  bw_memstore_revision(memory, "owner"));
	send_due(sh, &now_ms, sched);
	ev_run(loop, 0);
	store.ops->get(store.impl, "bw/q/a/0000000000000000/job", on_record,
		       &r);
	ev_run(loop, 0);
	assert_true(r.read);
	assert_null(r.record.spec);
	assert_int_equal(r.record.state, BW_JOB_CANCELLED);
	assert_string_equal(r.record.tenant, "ada");
	bw_job_record_clear(&r.record);
	bw_shortening_destroy(sh);
	bw_sched_destroy(sched);
	bw_memstore_destroy(memory);
	ev_loop_destroy(loop);
}

static void test_tenant_of_a_job_stays(void **state)
{
	static const char id[] = "0000000000000000";
	bw_sched_t *sched = finished_jobs(5000);

	(void)state;
	assert_null(bw_sched_job_tenant(sched, id));
	bw_sched_set_job_tenant(sched, id, NULL);
	bw_sched_set_job_tenant(sched, id, "ada");
	bw_sched_set_job_tenant(sched, id, "bo");
	assert_string_equal(bw_sched_job_tenant(sched, id), "ada");
	bw_sched_set_job_tenant(sched, "00000000000000ff", "ada");
	assert_null(bw_sched_job_tenant(sched, "00000000000000ff"));
	bw_sched_destroy(sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_removal),
		cmocka_unit_test(test_removal_reports_after_its_end),
		cmocka_unit_test(test_shortening),
		cmocka_unit_test(test_short_record_keeps_the_tenant),
		cmocka_unit_test(test_tenant_of_a_job_stays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
