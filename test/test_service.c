/* Requests about jobs, also while calls to the store fail. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "fake_store.h"
#include "fleet/job_keys.h"
#include "fleet/service.h"

static void count_notice(void *ctx, const char *pool, const char *id,
			 const uint8_t *record, size_t bytes)
{
	(void)pool;
	(void)id;
	(void)bytes;
	((fake_store_t *)ctx)->notices += record ? 1 : 100;
}

static bool is_store_reachable(void *ctx)
{
	return ((fake_store_t *)ctx)->store_reachable;
}

static const bw_service_ops_t service_ops = { no_owner, no_answer,
					      ignore_result, count_notice,
					      is_store_reachable };

static void on_answer(void *ctx, const bw_answer_t *answer)
{
	fake_store_t *f = ctx;

	f->answer = *answer;
	f->answers++;
	g_strlcpy(f->reason, answer->reason ? answer->reason : "", 64);
}

static bw_queue_t queues[] = {
	{ .name = "short", .host = "h", .prefix = "/p/", .pool = "a" },
	{ .name = "long", .host = "h", .prefix = "/p/q/", .pool = "b" },
};
static bw_fleet_config_t config = { .queues = queues, .queue_count = 2 };

/* Serves a request and returns once no retry is due. */
static void serve_request(bw_service_t *s, struct ev_loop *loop,
			  fake_store_t *f, bw_request_kind_t kind,
			  const char *path, int64_t caller_timeout_ms)
{
	bw_request_t request = { .kind = kind,
				 .host = "h:80",
				 .path = path,
				 .caller_timeout_ms = caller_timeout_ms };

	if (kind == BW_REQUEST_SUBMIT) {
		request.spec = bw_job_spec_new(1);
		request.spec->steps[0].count = 1;
	}
	f->calls = 0;
	f->answers = 0;
	bw_service_serve(s, &request, on_answer, f);
	ev_run(loop, 0);
	bw_job_spec_free(request.spec);
	assert_int_equal(f->answers, 1);
}

static void send_request(fake_store_t *f, bw_request_kind_t kind,
			 const char *path, int64_t caller_timeout_ms)
{
	struct ev_loop *loop = ev_loop_new(0);
	bw_store_t store = { &fake_ops, f };
	bw_service_t *s =
		bw_service_create(loop, "n", &store, NULL, &service_ops, f);

	bw_service_configure(s, &config);
	serve_request(s, loop, f, kind, path, caller_timeout_ms);
	bw_service_destroy(s);
	ev_loop_destroy(loop);
}

#define JOB	  "/p/00000000000000aa"
#define OTHER_JOB "/p/00000000000000bb"

typedef struct request_case {
	const char *name;
	bw_request_kind_t kind;
	const char *path;
	bw_status_t results[8];
	bool succeeded[8];
	bool store_reachable;
	bw_answer_kind_t answer;
	uint32_t calls;
} request_case_t;

static const request_case_t request_cases[] = {
	{ "stored",
	  BW_REQUEST_SUBMIT,
	  JOB,
	  { BW_OK },
	  { true },
	  true,
	  BW_ANSWER_DONE,
	  1 },
	{ "already stored",
	  BW_REQUEST_SUBMIT,
	  JOB,
	  { BW_OK },
	  { false },
	  true,
	  BW_ANSWER_DONE,
	  1 },
	{ "refused by the store",
	  BW_REQUEST_SUBMIT,
	  JOB,
	  { BW_EUNAVAIL },
	  { false },
	  true,
	  BW_ANSWER_REFUSED,
	  1 },
	{ "store outage",
	  BW_REQUEST_SUBMIT,
	  JOB,
	  { BW_OK },
	  { true },
	  false,
	  BW_ANSWER_REFUSED,
	  0 },
	{ "answer lost, then found",
	  BW_REQUEST_SUBMIT,
	  JOB,
	  { BW_ELOST, BW_OK },
	  { false, false },
	  true,
	  BW_ANSWER_DONE,
	  2 },
	{ "answer lost, then refused, then stored",
	  BW_REQUEST_SUBMIT,
	  JOB,
	  { BW_ELOST, BW_EUNAVAIL, BW_OK },
	  { false, false, true },
	  true,
	  BW_ANSWER_DONE,
	  3 },
	{ "not an identifier",
	  BW_REQUEST_SUBMIT,
	  "/p/zz",
	  { BW_OK },
	  { true },
	  true,
	  BW_ANSWER_BAD_REQUEST,
	  0 },
	{ "no queue",
	  BW_REQUEST_SUBMIT,
	  "/x/00000000000000aa",
	  { BW_OK },
	  { true },
	  true,
	  BW_ANSWER_NO_QUEUE,
	  0 },
	{ "state of a stored job",
	  BW_REQUEST_STATE,
	  JOB,
	  { BW_OK },
	  { true },
	  true,
	  BW_ANSWER_STATE,
	  1 },
	{ "state of no job, which has no location either",
	  BW_REQUEST_STATE,
	  JOB,
	  { BW_ENOTFOUND, BW_ENOTFOUND },
	  { false },
	  true,
	  BW_ANSWER_NO_JOB,
	  2 },
	{ "state, no answer about the location",
	  BW_REQUEST_STATE,
	  JOB,
	  { BW_ENOTFOUND, BW_ELOST },
	  { false },
	  false,
	  BW_ANSWER_REFUSED,
	  2 },
	{ "state, no answer about the location once",
	  BW_REQUEST_STATE,
	  JOB,
	  { BW_ENOTFOUND, BW_ELOST, BW_ENOTFOUND },
	  { false },
	  true,
	  BW_ANSWER_NO_JOB,
	  3 },
	{ "state, no answer from the store",
	  BW_REQUEST_STATE,
	  JOB,
	  { BW_ELOST },
	  { false },
	  false,
	  BW_ANSWER_REFUSED,
	  1 },
	{ "cancelled",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_OK, BW_OK },
	  { true, true },
	  true,
	  BW_ANSWER_DONE,
	  2 },
	{ "cancelled, answer lost once",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_OK, BW_ELOST, BW_OK },
	  { true, false, true },
	  true,
	  BW_ANSWER_DONE,
	  3 },
	{ "cancel of no job, which is marked as cancelled",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_ENOTFOUND, BW_ENOTFOUND, BW_OK },
	  { false, false, true },
	  true,
	  BW_ANSWER_NO_JOB,
	  3 },
	{ "cancel of no job, the mark is refused",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_ENOTFOUND, BW_ENOTFOUND, BW_EUNAVAIL },
	  { false },
	  false,
	  BW_ANSWER_REFUSED,
	  3 },
	{ "cancel of no job, no answer about the mark, which may be written",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_ENOTFOUND, BW_ENOTFOUND, BW_ELOST },
	  { false },
	  false,
	  BW_ANSWER_UNKNOWN,
	  3 },
	{ "cancel of no job, no answer about the mark once",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_ENOTFOUND, BW_ENOTFOUND, BW_ELOST, BW_ENOTFOUND, BW_OK },
	  { false, false, false, false, true },
	  true,
	  BW_ANSWER_NO_JOB,
	  5 },
	{ "cancel of no job, the mark is refused once",
	  BW_REQUEST_CANCEL,
	  JOB,
	  { BW_ENOTFOUND, BW_ENOTFOUND, BW_EUNAVAIL, BW_ENOTFOUND, BW_OK },
	  { false, false, false, false, true },
	  true,
	  BW_ANSWER_NO_JOB,
	  5 },
	{ "count without an owner",
	  BW_REQUEST_QUEUE,
	  "/p/",
	  { BW_OK },
	  { true },
	  true,
	  BW_ANSWER_REFUSED,
	  0 },
};

static void test_requests(void **state)
{
	size_t bytes;
	uint8_t *record = record_of_age(0, &bytes);
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		const request_case_t *c = &request_cases[i];
		fake_store_t f = { .store_reachable = c->store_reachable,
				   .value = (const char *)record,
				   .value_bytes = bytes };

		memcpy(f.results, c->results, sizeof(f.results));
		memcpy(f.succeeded, c->succeeded, sizeof(f.succeeded));
		send_request(&f, c->kind, c->path, 3000);
		if (f.answer.kind != c->answer || f.calls != c->calls)
			print_error("case: %s\n", c->name);
		assert_int_equal(f.answer.kind, c->answer);
		assert_int_equal(f.calls, c->calls);
		/* A refusal always has a time to retry after. */
		if (f.answer.kind == BW_ANSWER_REFUSED)
			assert_true(f.answer.retry_after_s > 0);
	}
	g_free(record);
}

/* A record without an end tells only that the job was accepted. */
static void test_stored_job_is_queued(void **state)
{
	size_t bytes;
	uint8_t *record = record_of_age(0, &bytes);
	fake_store_t f = { .store_reachable = true,
			   .value = (const char *)record,
			   .value_bytes = bytes };

	(void)state;
	send_request(&f, BW_REQUEST_STATE, JOB, 3000);
	assert_int_equal(f.answer.kind, BW_ANSWER_STATE);
	assert_int_equal(f.answer.state, BW_JOB_QUEUED);
	g_free(record);
}

/* A node that can't reach the owner knows the end from the stored record. */
static void test_end_is_read_from_the_store(void **state)
{
	static const struct {
		const char *value;
		bw_job_state_t state;
	} cases[] = { { SHORT_COMPLETED, BW_JOB_COMPLETED },
		      { SHORT_FAILED, BW_JOB_FAILED },
		      { SHORT_CANCELLED, BW_JOB_CANCELLED } };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_store_t f = { .store_reachable = true,
				   .value = cases[i].value,
				   .value_bytes = SHORT_BYTES };

		send_request(&f, BW_REQUEST_STATE, JOB, 3000);
		assert_int_equal(f.answer.kind, BW_ANSWER_STATE);
		assert_int_equal(f.answer.state, cases[i].state);
	}
}

/*
 * Of a job whose record can't be read this node knows neither that it waits nor
 * that it does not exist: the caller is asked to come back, since another node
 * may be able to read it.
 */
static void test_record_that_cannot_be_read_is_refused(void **state)
{
	static const struct {
		const char *name;
		const char *value;
		size_t bytes;
	} cases[] = { { "newer version", "\x08\x02\x48\x03", 4 },
		      { "state that is no end", "\x08\x01\x48\x02", 4 },
		      { "no version", "\x48\x03", 2 },
		      { "no job", "\x08\x01", 2 },
		      { "empty", "", 0 },
		      { "text that is not UTF-8",
			"\x08\x01\x22\x01\xff\x2a\x02\x08\x01", 9 },
		      { "malformed", "\xff\xff\xff", 3 } };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_store_t f = { .store_reachable = true,
				   .value = cases[i].value,
				   .value_bytes = cases[i].bytes };

		send_request(&f, BW_REQUEST_STATE, JOB, 3000);
		if (f.answer.kind != BW_ANSWER_REFUSED)
			print_error("case: %s\n", cases[i].name);
		assert_int_equal(f.answer.kind, BW_ANSWER_REFUSED);
		assert_true(f.answer.retry_after_s > 0);
		assert_string_equal(f.reason, "record can't be read here");
	}
}

/*
 * A job that may have been stored must not be answered as refused: the first
 * call loses its answer and the retry is refused.
 */
static void test_doubt_is_not_refused(void **state)
{
	fake_store_t f = { .results = { BW_ELOST, BW_EUNAVAIL },
			   .store_reachable = true };

	(void)state;
	send_request(&f, BW_REQUEST_SUBMIT, JOB, 400);
	assert_int_equal(f.answer.kind, BW_ANSWER_UNKNOWN);
}

/* The refusal of a later try says nothing of an earlier one, which has stored
 * the job, may have, or may still do so. */
static void test_second_try_of_a_job_in_doubt_is_refused(void **state)
{
	static const struct {
		const char *name;
		bw_status_t first[8];
		bool succeeded;
		bool store_reachable;
		bw_answer_kind_t answer;
	} cases[] = {
		{ "no answer",
		  { BW_ELOST, BW_EUNAVAIL },
		  false,
		  true,
		  BW_ANSWER_UNKNOWN },
		{ "no answer, then an outage",
		  { BW_ELOST, BW_EUNAVAIL },
		  false,
		  false,
		  BW_ANSWER_UNKNOWN },
		{ "stored", { BW_OK }, true, true, BW_ANSWER_DONE },
		{ "stored, then an outage",
		  { BW_OK },
		  true,
		  false,
		  BW_ANSWER_DONE },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_store_t f = { .store_reachable = true };
		struct ev_loop *loop = ev_loop_new(0);
		bw_store_t store = { &fake_ops, &f };
		bw_service_t *s = bw_service_create(loop, "n", &store, NULL,
						    &service_ops, &f);

		bw_service_configure(s, &config);
		memcpy(f.results, cases[i].first, sizeof(f.results));
		f.succeeded[0] = cases[i].succeeded;
		serve_request(s, loop, &f, BW_REQUEST_SUBMIT, JOB, 400);
		f.results[0] = BW_EUNAVAIL;
		f.results[1] = BW_EUNAVAIL;
		f.store_reachable = cases[i].store_reachable;
		serve_request(s, loop, &f, BW_REQUEST_SUBMIT, JOB, 400);
		if (f.answer.kind != cases[i].answer)
			print_error("case: %s\n", cases[i].name);
		assert_int_equal(f.answer.kind, cases[i].answer);
		/* What the store can't tell, or need not, is told at once. */
		assert_int_equal(f.calls > 0,
				 cases[i].store_reachable &&
					 cases[i].answer == BW_ANSWER_UNKNOWN);
		serve_request(s, loop, &f, BW_REQUEST_SUBMIT, OTHER_JOB, 400);
		assert_int_equal(f.answer.kind, BW_ANSWER_REFUSED);
		bw_service_destroy(s);
		ev_loop_destroy(loop);
	}
}

/* While a write of the job is under way, no other try is refused. */
static void test_job_is_refused_beside_its_own_write(void **state)
{
	fake_store_t f = { .store_reachable = true, .hold = true };
	struct ev_loop *loop = ev_loop_new(0);
	bw_store_t store = { &fake_ops, &f };
	bw_service_t *s =
		bw_service_create(loop, "n", &store, NULL, &service_ops, &f);
	bw_request_t request = { .kind = BW_REQUEST_SUBMIT,
				 .host = "h",
				 .path = JOB,
				 .spec = bw_job_spec_new(1),
				 .caller_timeout_ms = 3000 };

	(void)state;
	request.spec->steps[0].count = 1;
	bw_service_configure(s, &config);
	bw_service_serve(s, &request, on_answer, &f);
	f.results[0] = BW_EUNAVAIL;
	f.results[1] = BW_EUNAVAIL;
	serve_request(s, loop, &f, BW_REQUEST_SUBMIT, JOB, 400);
	assert_int_equal(f.answer.kind, BW_ANSWER_UNKNOWN);
	/* Once that write is known to have had no effect, nothing is held
	 * against a refusal. */
	f.calls = 0;
	fake_answer_held(&f);
	assert_int_equal(f.answer.kind, BW_ANSWER_REFUSED);
	serve_request(s, loop, &f, BW_REQUEST_SUBMIT, JOB, 400);
	assert_int_equal(f.answer.kind, BW_ANSWER_REFUSED);
	bw_job_spec_free(request.spec);
	bw_service_destroy(s);
	ev_loop_destroy(loop);
}

/* A location that can't be read may be that of a stored job, or a mark that
 * keeps the job from being stored. */
static void test_unreadable_location_is_taken_for_a_stored_job(void **state)
{
	char *key = bw_job_location_key("00000000000000aa");
	fake_store_t f = { .store_reachable = true,
			   .key = key,
			   .value = "\x08\x02\x18\x01",
			   .value_bytes = 4 };

	(void)state;
	send_request(&f, BW_REQUEST_SUBMIT, JOB, 3000);
	assert_int_equal(f.answer.kind, BW_ANSWER_UNKNOWN);
	assert_int_equal(f.notices, 0);
	g_free(key);
}

/* A job of an earlier version has no location: the reply says that there is
 * none, which is not one that can't be read. */
static void test_stored_job_without_a_location_is_in_doubt(void **state)
{
	char *key = bw_job_location_key("00000000000000aa");
	fake_store_t f = { .store_reachable = true,
			   .key = key,
			   .absent = true };

	(void)state;
	send_request(&f, BW_REQUEST_SUBMIT, JOB, 3000);
	assert_int_equal(f.answer.kind, BW_ANSWER_DONE);
	assert_int_equal(f.notices, 0);
	g_free(key);
}

static void test_longest_prefix(void **state)
{
	(void)state;
	assert_string_equal(bw_fleet_find_queue(&config, "h", "/p/q/x")->name,
			    "long");
	assert_string_equal(
		bw_fleet_find_queue(&config, "h:8080", "/p/x")->name, "short");
	assert_null(bw_fleet_find_queue(&config, "g", "/p/x"));
	assert_null(bw_fleet_find_queue(&config, NULL, "/p/x"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests),
		cmocka_unit_test(test_stored_job_is_queued),
		cmocka_unit_test(test_end_is_read_from_the_store),
		cmocka_unit_test(test_record_that_cannot_be_read_is_refused),
		cmocka_unit_test(test_doubt_is_not_refused),
		cmocka_unit_test(test_second_try_of_a_job_in_doubt_is_refused),
		cmocka_unit_test(test_job_is_refused_beside_its_own_write),
		cmocka_unit_test(
			test_unreadable_location_is_taken_for_a_stored_job),
		cmocka_unit_test(
			test_stored_job_without_a_location_is_in_doubt),
		cmocka_unit_test(test_longest_prefix),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
