/* Requests for jobs that were accepted while their queue had another pool. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "fake_store.h"
#include "fleet/cancel_marks.h"
#include "fleet/job_keys.h"
#include "fleet/peers.h"
#include "fleet/service.h"
#include "standin/anyport.h"
#include "standin/memstore.h"

#define JOB_ID "00000000000000aa"
#define PATH   "/p/" JOB_ID

/** A store, and the answer to the last request. */
typedef struct requests {
	struct ev_loop *loop;
	bw_memstore_t *store;
	bw_service_t *service;
	bw_answer_t answer;
	uint32_t answers;
	char noticed[16]; /**< Pool that the last notice was for. */
} requests_t;

static void record_notice(void *ctx, const char *pool, const char *id,
			  const uint8_t *record, size_t bytes)
{
	requests_t *r = ctx;

	(void)id;
	(void)record;
	(void)bytes;
	g_strlcpy(r->noticed, pool, sizeof(r->noticed));
}

static bool is_reachable(void *ctx)
{
	(void)ctx;
	return true;
}

static const bw_service_ops_t service_ops = { no_owner, no_answer,
					      ignore_result, record_notice,
					      is_reachable };

static bw_queue_t in_desk = {
	.name = "r1", .host = "h", .prefix = "/p/", .pool = "desk"
};
static bw_queue_t in_annex = {
	.name = "r1", .host = "h", .prefix = "/p/", .pool = "annex"
};
static bw_queue_t other_in_annex = {
	.name = "r2", .host = "h", .prefix = "/p/", .pool = "annex"
};
static bw_fleet_config_t desk = { .queues = &in_desk, .queue_count = 1 };
static bw_fleet_config_t annex = { .queues = &in_annex, .queue_count = 1 };
static bw_fleet_config_t other_annex = { .queues = &other_in_annex,
					 .queue_count = 1 };
static bw_pool_config_t all_pools[] = { { .name = "desk" },
					{ .name = "annex" } };
static bw_fleet_config_t annex_of_two = { .queues = &in_annex,
					  .queue_count = 1,
					  .pools = all_pools,
					  .pool_count = 2 };
static bw_fleet_config_t no_queue = { .queue_count = 0 };

/** Operations of the store, and the same with leases that can be ended. */
static bw_store_ops_t plain_ops;
static bw_store_ops_t lease_ops;
static GHashTable *leased_keys;

static void note_leased_keys(void *impl, const bw_store_txn_t *txn,
			     bw_store_done_fn done, void *ctx)
{
	uint32_t i;

	for (i = 0; i < txn->write_count; i++)
		if (txn->writes[i].lease_id != 0)
			g_hash_table_add(leased_keys,
					 g_strdup(txn->writes[i].key));
	plain_ops.txn(impl, txn, done, ctx);
}

/* Ends all leases, as the store may in an outage. */
static void end_leases(requests_t *r)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, leased_keys);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		bw_memstore_put(r->store, key, NULL, 0);
}

static void start_node(requests_t *r, const bw_fleet_config_t *config)
{
	bw_store_t store = bw_memstore_interface(r->store);

	plain_ops = *store.ops;
	lease_ops = plain_ops;
	lease_ops.txn = note_leased_keys;
	store.ops = &lease_ops;
	bw_service_destroy(r->service);
	r->service =
		bw_service_create(r->loop, "n", &store, NULL, &service_ops, r);
	bw_service_configure(r->service, config);
}

static void begin(requests_t *r)
{
	memset(r, 0, sizeof(*r));
	leased_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->loop = ev_loop_new(0);
	r->store = bw_memstore_create(r->loop);
	start_node(r, &desk);
}

static void end(requests_t *r)
{
	bw_service_destroy(r->service);
	bw_memstore_destroy(r->store);
	ev_loop_destroy(r->loop);
	g_hash_table_destroy(leased_keys);
}

static void on_answer(void *ctx, const bw_answer_t *answer)
{
	requests_t *r = ctx;

	r->answer = *answer;
	r->answers++;
}

static bw_answer_kind_t send_request(requests_t *r, bw_request_kind_t kind)
{
	bw_request_t request = { .kind = kind,
				 .host = "h",
				 .path = PATH,
				 .caller_timeout_ms = 3000 };

	if (kind == BW_REQUEST_SUBMIT) {
		request.spec = bw_job_spec_new(1);
		request.spec->steps[0].count = 1;
	}
	r->answers = 0;
	bw_service_serve(r->service, &request, on_answer, r);
	while (r->answers == 0)
		ev_run(r->loop, EVRUN_ONCE);
	bw_job_spec_free(request.spec);
	assert_int_equal(r->answers, 1);
	return r->answer.kind;
}

static bool is_stored(const requests_t *r, char *key)
{
	bool stored = bw_memstore_revision(r->store, key) > 0;

	g_free(key);
	return stored;
}

/* The job is found where it was accepted, and is not stored again. */
static void assert_found_in_desk(requests_t *r)
{
	assert_int_equal(send_request(r, BW_REQUEST_STATE), BW_ANSWER_STATE);
	assert_int_equal(r->answer.state, BW_JOB_QUEUED);
	assert_int_equal(send_request(r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	assert_false(is_stored(r, bw_job_key("annex", JOB_ID)));
	assert_int_equal(send_request(r, BW_REQUEST_CANCEL), BW_ANSWER_DONE);
	assert_true(is_stored(r, bw_cancel_key("desk", JOB_ID)));
	assert_string_equal(r->noticed, "desk");
}

/* Failure: a version without the route lies between, so that the earlier pool
 * is forgotten; the job's state is answered 410, and a repeated POST runs it a
 * second time. */
static void test_job_runs_twice_after_its_route_has_moved(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	bw_service_configure(r.service, &no_queue);
	bw_service_configure(r.service, &other_annex);
	assert_found_in_desk(&r);
	end(&r);
}

/* Failure: the same, as the node that knew the earlier pool has restarted. */
static void test_job_runs_twice_after_a_move_and_a_restart(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	start_node(&r, &annex);
	assert_found_in_desk(&r);
	end(&r);
}

/* Failure: a node that has not read the new version yet stores the job in the
 * earlier pool, though another node has stored it in the new one. */
static void
test_job_is_stored_again_by_a_node_with_an_older_version(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	start_node(&r, &annex);
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	start_node(&r, &desk);
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	assert_false(is_stored(&r, bw_job_key("desk", JOB_ID)));
	assert_int_equal(send_request(&r, BW_REQUEST_STATE), BW_ANSWER_STATE);
	end(&r);
}

/* A job that an earlier version stored has no location. */
static void test_job_without_a_location_is_found(void **state)
{
	char *key = bw_job_location_key(JOB_ID);
	requests_t r;

	(void)state;
	begin(&r);
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	bw_memstore_put(r.store, key, NULL, 0);
	r.noticed[0] = '\0';
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	assert_string_equal(r.noticed, "");
	assert_int_equal(send_request(&r, BW_REQUEST_STATE), BW_ANSWER_STATE);
	g_free(key);
	end(&r);
}

/* A location that can't be read tells neither where the job is nor that there
 * is none. */
static void test_unreadable_location_is_no_missing_job(void **state)
{
	static const char *const values[] = { "", "\x08\x02", "\x08\x01",
					      "\xff" };
	char *key = bw_job_location_key(JOB_ID);
	requests_t r;
	size_t i;

	(void)state;
	begin(&r);
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		bw_memstore_put(r.store, key, values[i], strlen(values[i]));
		assert_int_equal(send_request(&r, BW_REQUEST_STATE),
				 BW_ANSWER_REFUSED);
		assert_int_equal(send_request(&r, BW_REQUEST_CANCEL),
				 BW_ANSWER_REFUSED);
	}
	g_free(key);
	end(&r);
}

/* A job that is nowhere, whatever its location says. */
static void test_location_without_a_job_is_no_job(void **state)
{
	char *key = bw_job_key("desk", JOB_ID);
	requests_t r;

	(void)state;
	begin(&r);
	assert_int_equal(send_request(&r, BW_REQUEST_STATE), BW_ANSWER_NO_JOB);
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT), BW_ANSWER_DONE);
	bw_memstore_put(r.store, key, NULL, 0);
	bw_service_configure(r.service, &annex);
	assert_int_equal(send_request(&r, BW_REQUEST_STATE), BW_ANSWER_NO_JOB);
	assert_int_equal(send_request(&r, BW_REQUEST_CANCEL), BW_ANSWER_NO_JOB);
	g_free(key);
	end(&r);
}

/* Failure: a job whose write got no answer is cancelled, which finds no job;
 * the write is carried out after that, and the job is started. */
static void test_cancelled_job_is_stored_later(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	assert_int_equal(send_request(&r, BW_REQUEST_CANCEL), BW_ANSWER_NO_JOB);
	/* The late write has the same condition as a repeated request. */
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT),
			 BW_ANSWER_REFUSED);
	assert_true(r.answer.retry_after_s > 0);
	assert_false(is_stored(&r, bw_job_key("desk", JOB_ID)));
	assert_int_equal(send_request(&r, BW_REQUEST_STATE), BW_ANSWER_NO_JOB);
	assert_int_equal(send_request(&r, BW_REQUEST_CANCEL), BW_ANSWER_NO_JOB);
	end(&r);
}

/* While the store is down leases may end, and a write without an answer may be
 * carried out after that. */
static void test_cancelled_job_is_stored_after_the_end_of_leases(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	assert_int_equal(send_request(&r, BW_REQUEST_CANCEL), BW_ANSWER_NO_JOB);
	end_leases(&r);
	/* The late write has the same condition as a repeated request. */
	assert_int_equal(send_request(&r, BW_REQUEST_SUBMIT),
			 BW_ANSWER_REFUSED);
	assert_false(is_stored(&r, bw_job_key("desk", JOB_ID)));
	end(&r);
}

static const char *own_all(void *ctx, const char *pool)
{
	(void)ctx;
	(void)pool;
	return "n";
}

static const char *own_desk(void *ctx, const char *pool)
{
	(void)ctx;
	return strcmp(pool, "desk") ? NULL : "n";
}

static void count_jobs(void *ctx, const char *pool, const char *job,
		       const char *queue, bw_fleet_query_answer_t *out)
{
	(void)ctx;
	assert_null(job);
	assert_string_equal(queue, "r1");
	out->owner = true;
	out->waiting = strcmp(pool, "desk") ? 2 : 45;
}

static void ask_waiting_by(requests_t *r,
			   const char *(*owner)(void *ctx, const char *pool),
			   bw_fleet_query_handler_fn query_local)
{
	bw_service_ops_t ops = { owner, query_local, ignore_result,
				 record_notice, is_reachable };
	bw_request_t request = { .kind = BW_REQUEST_QUEUE,
				 .host = "h",
				 .path = "/p/",
				 .caller_timeout_ms = 3000 };
	bw_store_t store = bw_memstore_interface(r->store);

	bw_service_destroy(r->service);
	r->service = bw_service_create(r->loop, "n", &store, NULL, &ops, r);
	bw_service_configure(r->service, &annex_of_two);
	bw_service_serve(r->service, &request, on_answer, r);
	assert_int_equal(r->answers, 1);
}

static void ask_waiting(requests_t *r,
			const char *(*owner)(void *ctx, const char *pool))
{
	ask_waiting_by(r, owner, count_jobs);
}

/* Failure: the number of waiting jobs forgets those that were accepted before
 * the queue was sent to another pool. */
static void test_number_of_waiting_jobs_forgets_a_moved_queue(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	ask_waiting(&r, own_all);
	assert_int_equal(r.answer.kind, BW_ANSWER_WAITING);
	assert_int_equal(r.answer.waiting, 47);
	end(&r);
}

/* The jobs of its present pool are the ones that it can't do without. */
static void test_number_without_the_queues_own_pool_is_told(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	ask_waiting(&r, own_desk);
	assert_int_equal(r.answer.kind, BW_ANSWER_REFUSED);
	end(&r);
}

static const char *own_annex(void *ctx, const char *pool)
{
	(void)ctx;
	return strcmp(pool, "annex") ? NULL : "n";
}

/* Failure: while the owner of a moved queue's earlier pool is gone, its waiting
 * jobs are told as none. */
static void test_number_without_the_earlier_pool_is_told(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	ask_waiting(&r, own_annex);
	assert_int_equal(r.answer.kind, BW_ANSWER_REFUSED);
	assert_true(r.answer.retry_after_s > 0);
	end(&r);
}

static bool desk_is_read; /**< Its owner knows its jobs. */

static void count_read_jobs(void *ctx, const char *pool, const char *job,
			    const char *queue, bw_fleet_query_answer_t *out)
{
	count_jobs(ctx, pool, job, queue, out);
	if (!strcmp(pool, "desk") && !desk_is_read)
		*out = (bw_fleet_query_answer_t){ 0 };
}

/* Failure: the same while the owner has not read the jobs yet. */
static void test_number_is_told_before_the_earlier_pool_is_read(void **state)
{
	requests_t r;

	(void)state;
	begin(&r);
	desk_is_read = false;
	ask_waiting_by(&r, own_all, count_read_jobs);
	assert_int_equal(r.answer.kind, BW_ANSWER_REFUSED);
	desk_is_read = true;
	r.answers = 0;
	ask_waiting_by(&r, own_all, count_read_jobs);
	assert_int_equal(r.answer.kind, BW_ANSWER_WAITING);
	assert_int_equal(r.answer.waiting, 47);
	end(&r);
}

static const char *own_elsewhere(void *ctx, const char *pool)
{
	(void)ctx;
	return strcmp(pool, "desk") ? "n" : "m";
}

static void ignore_frame(void *ctx, const Bramley__Frame *frame)
{
	(void)ctx;
	(void)frame;
}

/* Failure: the same while the owner is another node, which does not answer. */
static void test_number_without_an_answer_is_told(void **state)
{
	bw_service_ops_t ops = { own_elsewhere, count_jobs, ignore_result,
				 record_notice, is_reachable };
	bw_request_t request = { .kind = BW_REQUEST_QUEUE,
				 .host = "h",
				 .path = "/p/",
				 .caller_timeout_ms = 3000 };
	bw_counters_t counters = { 0 };
	bw_anyport_t listen;
	bw_fleet_peers_t *peers;
	bw_store_t store;
	requests_t r;

	(void)state;
	begin(&r);
	store = bw_memstore_interface(r.store);
	assert_int_equal(bw_anyport_reserve("127.0.0.1", &listen), BW_OK);
	assert_int_equal(bw_fleet_peers_create(r.loop, "n", listen.address, 0,
					       1, count_jobs, ignore_frame, &r,
					       &counters, &peers),
			 BW_OK);
	bw_service_destroy(r.service);
	r.service = bw_service_create(r.loop, "n", &store, peers, &ops, &r);
	bw_service_configure(r.service, &annex_of_two);
	bw_service_serve(r.service, &request, on_answer, &r);
	assert_int_equal(r.answers, 1);
	assert_int_equal(r.answer.kind, BW_ANSWER_REFUSED);
	bw_fleet_peers_destroy(peers);
	bw_anyport_release(&listen);
	end(&r);
}

static void count_mark(void *ctx, const bw_store_reply_t *reply)
{
	assert_true(reply->succeeded);
	++*(uint32_t *)ctx;
}

/* Marks that no late write can meet are deleted beside later ones. */
static void test_marks_stay_for_good(void **state)
{
	static const char *const ids[] = { "00000000000000a1",
					   "00000000000000a2",
					   "00000000000000a3",
					   "00000000000000a4" };
	static const int64_t times_ms[] = { 1000, 1000, 60999, 61000 };
	static const bool left[] = { false, false, true, true };
	requests_t r;
	bw_store_t store;
	bw_cancel_marks_t *marks;
	uint32_t written = 0;
	uint32_t i;

	(void)state;
	begin(&r);
	store = bw_memstore_interface(r.store);
	marks = bw_cancel_marks_create(&store);
	for (i = 0; i < G_N_ELEMENTS(ids); i++) {
		bw_cancel_marks_add(marks, ids[i], times_ms[i], count_mark,
				    &written);
		while (written <= i)
			ev_run(r.loop, EVRUN_ONCE);
		assert_int_equal(is_stored(&r, bw_job_location_key(ids[0])),
				 i < 3);
	}
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_int_equal(is_stored(&r, bw_job_location_key(ids[i])),
				 left[i]);
	bw_cancel_marks_destroy(marks);
	end(&r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_runs_twice_after_its_route_has_moved),
		cmocka_unit_test(
			test_job_runs_twice_after_a_move_and_a_restart),
		cmocka_unit_test(
			test_job_is_stored_again_by_a_node_with_an_older_version),
		cmocka_unit_test(test_job_without_a_location_is_found),
		cmocka_unit_test(test_unreadable_location_is_no_missing_job),
		cmocka_unit_test(test_location_without_a_job_is_no_job),
		cmocka_unit_test(test_cancelled_job_is_stored_later),
		cmocka_unit_test(
			test_cancelled_job_is_stored_after_the_end_of_leases),
		cmocka_unit_test(test_marks_stay_for_good),
		cmocka_unit_test(
			test_number_of_waiting_jobs_forgets_a_moved_queue),
		cmocka_unit_test(
			test_number_without_the_queues_own_pool_is_told),
		cmocka_unit_test(test_number_without_the_earlier_pool_is_told),
		cmocka_unit_test(test_number_without_an_answer_is_told),
		cmocka_unit_test(
			test_number_is_told_before_the_earlier_pool_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
