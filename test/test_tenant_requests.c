/* Requests of tenants: which are served, and whose jobs they see. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "fake_store.h"
#include "fleet/job_keys.h"
#include "fleet/service.h"

#define ID	   "00000000000000aa"
#define JOB	   "/q/" ID
#define OPEN_JOB   "/open/" ID
#define TIMEOUT_MS 3000

static char *ada_keys[] = { "ka", NULL };
static char *bo_keys[] = { "kb", NULL };
static bw_tenant_t tenants[] = { { .name = "ada", .keys = ada_keys },
				 { .name = "bo", .keys = bo_keys } };
static bw_queue_t queues[] = {
	{ .name = "q", .host = "h", .prefix = "/q/", .pool = "a" },
	{ .name = "open",
	  .host = "h",
	  .prefix = "/open/",
	  .pool = "a",
	  .is_public = true },
};
static bw_fleet_config_t with_tenants = { .queues = queues,
					  .queue_count = 2,
					  .has_tenants = true,
					  .tenants = tenants,
					  .tenant_count = 2 };
static bw_fleet_config_t without_tenants = { .queues = queues,
					     .queue_count = 2 };

/** A service with a fake store, and the owner's answer about the job. */
typedef struct requests {
	fake_store_t store;
	struct ev_loop *loop;
	bw_service_t *service;
	bw_config_sync_t *sync;
	bool owned; /**< By this node. */
	bw_fleet_query_answer_t local;
	uint8_t *noted; /**< Record of the last stored job. */
	size_t noted_bytes;
} requests_t;

static const char *get_owner(void *ctx, const char *pool)
{
	(void)pool;
	return ((requests_t *)ctx)->owned ? "n" : NULL;
}

static void query(void *ctx, const char *pool, const char *job,
		  const char *queue, bw_fleet_query_answer_t *out)
{
	(void)pool;
	(void)job;
	(void)queue;
	*out = ((requests_t *)ctx)->local;
}

static void note_job(void *ctx, const char *pool, const char *id,
		     const uint8_t *record, size_t bytes)
{
	requests_t *r = ctx;

	(void)pool;
	(void)id;
	g_free(r->noted);
	r->noted = record ? g_memdup2(record, bytes) : NULL;
	r->noted_bytes = bytes;
}

static bool is_reachable(void *ctx)
{
	(void)ctx;
	return true;
}

static const bw_service_ops_t ops = { get_owner, query, ignore_result, note_job,
				      is_reachable };

static void on_answer(void *ctx, const bw_answer_t *answer)
{
	requests_t *r = ctx;

	r->store.answer = *answer;
	r->store.answers++;
}

static void begin(requests_t *r, const bw_fleet_config_t *config)
{
	bw_store_t store = { &fake_ops, &r->store };

	*r = (requests_t){ .store = { .store_reachable = true } };
	r->loop = ev_loop_new(0);
	r->service = bw_service_create(r->loop, "n", &store, NULL, &ops, r);
	bw_service_configure(r->service, config);
}

static void end(requests_t *r)
{
	bw_service_destroy(r->service);
	bw_config_sync_destroy(r->sync);
	ev_loop_destroy(r->loop);
	g_free(r->noted);
}

static bw_answer_kind_t send_request(requests_t *r, bw_request_t request)
{
	request.host = request.queue ? NULL : "h";
	request.caller_timeout_ms = TIMEOUT_MS;
	if (request.kind == BW_REQUEST_SUBMIT) {
		request.spec = bw_job_spec_new(1);
		request.spec->steps[0].count = 1;
	}
	r->store.calls = 0;
	r->store.answers = 0;
	bw_service_serve(r->service, &request, on_answer, r);
	ev_run(r->loop, 0);
	bw_job_spec_free(request.spec);
	assert_int_equal(r->store.answers, 1);
	return r->store.answer.kind;
}

static bw_answer_kind_t call(requests_t *r, bw_request_kind_t kind,
			     const char *path, const char *key)
{
	return send_request(
		r, (bw_request_t){ .kind = kind, .path = path, .key = key });
}

/* Sets what the store has of the job; release the record with g_free(). */
static uint8_t *store_job(requests_t *r, const char *tenant)
{
	bw_job_record_t record = { .queue = (char *)"q",
				   .tenant = (char *)tenant,
				   .spec = bw_job_spec_new(1) };
	uint8_t *data;

	record.spec->steps[0].count = 1;
	data = bw_job_record_pack(&record, &r->store.value_bytes);
	r->store.value = (const char *)data;
	bw_job_spec_free(record.spec);
	return data;
}

static const struct {
	bw_request_kind_t kind;
	const char *path;
	const char *open_path;
} kinds[] = { { BW_REQUEST_SUBMIT, JOB, OPEN_JOB },
	      { BW_REQUEST_STATE, JOB, OPEN_JOB },
	      { BW_REQUEST_CANCEL, JOB, OPEN_JOB },
	      { BW_REQUEST_QUEUE, "/q/", "/open/" } };

/* Failure: a request with an unknown key runs. Nothing is read or written, and
 * nothing is told about queues' jobs. */
static void test_request_without_a_tenants_key_is_unauthorized(void **state)
{
	static const char *const keys[] = { NULL, "", "k", "ka ", "KA" };
	requests_t r;
	size_t i;
	size_t k;

	(void)state;
	begin(&r, &with_tenants);
	r.owned = true;
	r.local = (bw_fleet_query_answer_t){ .owner = true,
					     .state = BW_JOB_RUNNING };
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		for (k = 0; k < G_N_ELEMENTS(keys); k++) {
			assert_int_equal(
				call(&r, kinds[i].kind, kinds[i].path, keys[k]),
				BW_ANSWER_UNAUTHORIZED);
			assert_int_equal(r.store.calls, 0);
		}
	/* A caller without a key learns nothing of identifiers either. */
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, "/q/zz", NULL),
			 BW_ANSWER_UNAUTHORIZED);
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, "/x/" ID, NULL),
			 BW_ANSWER_NO_QUEUE);
	end(&r);
}

static void test_request_with_a_tenants_key_is_served(void **state)
{
	requests_t r;
	uint8_t *data;

	(void)state;
	begin(&r, &with_tenants);
	data = store_job(&r, "ada");
	r.store.succeeded[0] = true;
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, JOB, "ka"),
			 BW_ANSWER_DONE);
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "ka"),
			 BW_ANSWER_STATE);
	assert_int_equal(call(&r, BW_REQUEST_CANCEL, JOB, "ka"),
			 BW_ANSWER_DONE);
	r.owned = true;
	r.local = (bw_fleet_query_answer_t){ .owner = true, .waiting = 3 };
	assert_int_equal(call(&r, BW_REQUEST_QUEUE, "/q/", "kb"),
			 BW_ANSWER_WAITING);
	g_free(data);
	end(&r);
}

static void test_public_queue_serves_everyone(void **state)
{
	static const char *const keys[] = { NULL, "unknown", "ka" };
	requests_t r;
	uint8_t *data;
	size_t i;

	(void)state;
	begin(&r, &with_tenants);
	data = store_job(&r, NULL);
	r.store.succeeded[0] = true;
	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		assert_int_equal(call(&r, BW_REQUEST_SUBMIT, OPEN_JOB, keys[i]),
				 BW_ANSWER_DONE);
		assert_int_equal(call(&r, BW_REQUEST_STATE, OPEN_JOB, keys[i]),
				 BW_ANSWER_STATE);
		assert_int_equal(call(&r, BW_REQUEST_CANCEL, OPEN_JOB, keys[i]),
				 BW_ANSWER_DONE);
	}
	g_free(data);
	end(&r);
}

static char *noted_tenant(const requests_t *r)
{
	bw_job_record_t record;
	char *tenant;

	assert_non_null(r->noted);
	assert_int_equal(
		bw_job_record_unpack(r->noted, r->noted_bytes, &record), BW_OK);
	tenant = g_strdup(record.tenant);
	bw_job_record_clear(&record);
	return tenant;
}

static void test_record_names_the_tenant(void **state)
{
	requests_t r;
	char *tenant;

	(void)state;
	begin(&r, &with_tenants);
	r.store.succeeded[0] = true;
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, JOB, "kb"),
			 BW_ANSWER_DONE);
	tenant = noted_tenant(&r);
	assert_string_equal(tenant, "bo");
	g_free(tenant);
	assert_int_equal(
		call(&r, BW_REQUEST_SUBMIT, "/open/00000000000000bb", "kb"),
		BW_ANSWER_DONE);
	assert_null(noted_tenant(&r));
	end(&r);
}

/* Failure: a tenant sees or cancels the job of another. */
static void test_job_of_another_tenant_is_none(void **state)
{
	requests_t r;
	uint8_t *data;

	(void)state;
	begin(&r, &with_tenants);
	data = store_job(&r, "ada");
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "kb"),
			 BW_ANSWER_NO_JOB);
	assert_int_equal(call(&r, BW_REQUEST_CANCEL, JOB, "kb"),
			 BW_ANSWER_NO_JOB);
	assert_int_equal(r.store.calls, 1);
	/* Nor does a queue of the same pool that is public show it. */
	assert_int_equal(call(&r, BW_REQUEST_STATE, OPEN_JOB, NULL),
			 BW_ANSWER_NO_JOB);
	assert_int_equal(call(&r, BW_REQUEST_CANCEL, OPEN_JOB, NULL),
			 BW_ANSWER_NO_JOB);
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "ka"),
			 BW_ANSWER_STATE);
	g_free(data);
	end(&r);
}

/* The same by the word of the job's owner. */
static void test_owner_tells_whose_the_job_is(void **state)
{
	requests_t r;

	(void)state;
	begin(&r, &with_tenants);
	r.owned = true;
	r.local = (bw_fleet_query_answer_t){ .owner = true,
					     .state = BW_JOB_RUNNING,
					     .tenant = "ada" };
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "kb"),
			 BW_ANSWER_NO_JOB);
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "ka"),
			 BW_ANSWER_STATE);
	r.local.tenant = NULL;
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "kb"),
			 BW_ANSWER_STATE);
	assert_int_equal(r.store.calls, 0);
	end(&r);
}

/* A short record still tells whose job has ended. */
static void test_ended_job_keeps_its_tenant(void **state)
{
	requests_t r;
	uint8_t *data;

	(void)state;
	begin(&r, &with_tenants);
	data = bw_job_record_pack_short(BW_JOB_COMPLETED, "ada",
					&r.store.value_bytes);
	r.store.value = (const char *)data;
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "kb"),
			 BW_ANSWER_NO_JOB);
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, "ka"),
			 BW_ANSWER_STATE);
	assert_int_equal(r.store.answer.state, BW_JOB_COMPLETED);
	g_free(data);
	end(&r);
}

/* Failure: a tenant hands a job in under the identifier of another's job, and
 * is told that its own is accepted. */
static void test_identifier_of_another_tenants_job_is_refused(void **state)
{
	requests_t r;
	uint8_t *data;
	char *key = bw_job_key("a", ID);

	(void)state;
	begin(&r, &with_tenants);
	data = store_job(&r, "ada");
	r.store.key = key;
	r.store.succeeded[0] = true;
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, JOB, "ka"),
			 BW_ANSWER_DONE);
	r.store.succeeded[0] = false;
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, JOB, "kb"),
			 BW_ANSWER_BAD_REQUEST);
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, JOB, "ka"),
			 BW_ANSWER_DONE);
	g_free(key);
	g_free(data);
	end(&r);
}

/* Whose job it is can't be told: it is not cancelled, and not denied. */
static void test_job_that_cannot_be_read_is_not_cancelled(void **state)
{
	requests_t r;

	(void)state;
	begin(&r, &with_tenants);
	r.store.value = "\xff\xff\xff";
	r.store.value_bytes = 3;
	assert_int_equal(call(&r, BW_REQUEST_CANCEL, JOB, "ka"),
			 BW_ANSWER_REFUSED);
	assert_int_equal(r.store.calls, 1);
	end(&r);
}

/* Failure: a node that can't know the newest version serves by an old one, or
 * denies a key that it does not know yet. */
static void test_outdated_node_asks_callers_to_come_back(void **state)
{
	static const bw_config_bounds_t bounds = { 3000, 6000 };
	static const char *const keys[] = { "ka", "new", NULL };
	requests_t r;
	size_t i;
	size_t k;

	(void)state;
	begin(&r, &with_tenants);
	/* Neither the store nor another node has ever confirmed it. */
	r.sync = bw_config_sync_create(&bounds, 1);
	bw_config_sync_take(r.sync, 5);
	bw_service_set_config_sync(r.service, r.sync);
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		for (k = 0; k < G_N_ELEMENTS(keys); k++) {
			assert_int_equal(
				call(&r, kinds[i].kind, kinds[i].path, keys[k]),
				BW_ANSWER_REFUSED);
			assert_true(r.store.answer.retry_after_s > 0);
			assert_int_equal(r.store.calls, 0);
		}
	r.store.succeeded[0] = true;
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, OPEN_JOB, NULL),
			 BW_ANSWER_DONE);
	end(&r);
}

/* Operators name the queue; they need no key and see all jobs. */
static void test_operators_need_no_key(void **state)
{
	requests_t r;
	uint8_t *data;

	(void)state;
	begin(&r, &with_tenants);
	data = store_job(&r, "ada");
	assert_int_equal(
		send_request(&r, (bw_request_t){ .kind = BW_REQUEST_STATE,
						 .queue = "q",
						 .path = ID }),
		BW_ANSWER_STATE);
	assert_int_equal(
		send_request(&r, (bw_request_t){ .kind = BW_REQUEST_CANCEL,
						 .queue = "q",
						 .path = ID }),
		BW_ANSWER_DONE);
	g_free(data);
	end(&r);
}

/* Without tenants keys are of no account, also for jobs of earlier ones. */
static void test_configuration_without_tenants_serves_as_before(void **state)
{
	requests_t r;
	uint8_t *data;

	(void)state;
	begin(&r, &without_tenants);
	data = store_job(&r, "ada");
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, NULL),
			 BW_ANSWER_STATE);
	assert_int_equal(call(&r, BW_REQUEST_CANCEL, JOB, "unknown"),
			 BW_ANSWER_DONE);
	r.store.succeeded[0] = true;
	assert_int_equal(call(&r, BW_REQUEST_SUBMIT, JOB, "ka"),
			 BW_ANSWER_DONE);
	assert_null(noted_tenant(&r));
	/* The next version takes effect for the next request. */
	bw_service_configure(r.service, &with_tenants);
	assert_int_equal(call(&r, BW_REQUEST_STATE, JOB, NULL),
			 BW_ANSWER_UNAUTHORIZED);
	g_free(data);
	end(&r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_request_without_a_tenants_key_is_unauthorized),
		cmocka_unit_test(test_request_with_a_tenants_key_is_served),
		cmocka_unit_test(test_public_queue_serves_everyone),
		cmocka_unit_test(test_record_names_the_tenant),
		cmocka_unit_test(test_job_of_another_tenant_is_none),
		cmocka_unit_test(test_owner_tells_whose_the_job_is),
		cmocka_unit_test(test_ended_job_keeps_its_tenant),
		cmocka_unit_test(
			test_identifier_of_another_tenants_job_is_refused),
		cmocka_unit_test(test_job_that_cannot_be_read_is_not_cancelled),
		cmocka_unit_test(test_outdated_node_asks_callers_to_come_back),
		cmocka_unit_test(test_operators_need_no_key),
		cmocka_unit_test(
			test_configuration_without_tenants_serves_as_before),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
