/* What callers are told when a connection to the store fails under a write. */
#include "test.h"

#include <string.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "fake_store.h"
#include "fleet/service.h"
#include "platform.h"
#include "step_server.h"
#include "store/etcd.h"

/** Long enough for a repetition of the write or two. */
#define CALLER_TIMEOUT_MS 600
#define JSON_ANSWER(status, bytes, body)                                       \
	"HTTP/1.1 " status "\r\nContent-Length: " bytes "\r\n\r\n" body
#define ANSWER_DONE	   JSON_ANSWER("200 OK", "14", "{\"revision\":7}")
#define ANSWER_CONFLICT	   JSON_ANSWER("412 X", "12", "{\"items\":[]}")
#define ANSWER_UNAVAILABLE JSON_ANSWER("503 X", "2", "{}")

typedef struct refusal_test {
	struct ev_loop *loop;
	step_server_t server;
	bw_counters_t counters;
	bw_store_t store;
	bw_service_t *service;
	bw_answer_kind_t answer;
	bw_status_t status; /**< Of a call to etcd. */
} refusal_test_t;

static void ignore_stored(void *ctx, const char *pool, const char *id,
			  const uint8_t *record, size_t bytes)
{
	(void)ctx;
	(void)pool;
	(void)id;
	(void)record;
	(void)bytes;
}

static bool always_reachable(void *ctx)
{
	(void)ctx;
	return true;
}

static const bw_service_ops_t service_ops = { no_owner, no_answer,
					      ignore_result, ignore_stored,
					      always_reachable };
static bw_queue_t queue = {
	.name = "q", .host = "h", .prefix = "/p/", .pool = "a"
};
static bw_fleet_config_t config = { .queues = &queue, .queue_count = 1 };

static void on_answer(void *ctx, const bw_answer_t *answer)
{
	refusal_test_t *t = ctx;

	t->answer = answer->kind;
	ev_break(t->loop, EVBREAK_ALL);
}

static void submit(refusal_test_t *t, const char *path)
{
	bw_request_t request = { .kind = BW_REQUEST_SUBMIT,
				 .host = "h",
				 .path = path,
				 .spec = bw_job_spec_new(1),
				 .caller_timeout_ms = CALLER_TIMEOUT_MS };

	request.spec->steps[0].count = 1;
	bw_service_serve(t->service, &request, on_answer, t);
	bw_job_spec_free(request.spec);
	ev_run(t->loop, 0);
}

static void begin(refusal_test_t *t, const step_t *steps, uint32_t count)
{
	*t = (refusal_test_t){ .loop = ev_loop_new(0) };
	step_server_open(&t->server, t->loop, steps, count);
	t->store =
		platform_store_create(t->loop, t->server.address, &t->counters);
	t->service = bw_service_create(t->loop, "n", &t->store, NULL,
				       &service_ops, t);
	bw_service_configure(t->service, &config);
}

static void end(refusal_test_t *t)
{
	bw_service_destroy(t->service);
	t->store.ops->destroy(t->store.impl);
	step_server_close(&t->server);
	ev_loop_destroy(t->loop);
}

typedef struct refusal_case {
	const char *name;
	step_t first_copy;
	step_t later;
	bw_answer_kind_t answer;
} refusal_case_t;

static const refusal_case_t refusal_cases[] = {
	{ "closed, then unavailable",
	  { REACT_CLOSE, NULL },
	  { REACT_ANSWER, ANSWER_UNAVAILABLE },
	  BW_ANSWER_UNKNOWN },
	{ "reset, then unavailable",
	  { REACT_RESET, NULL },
	  { REACT_ANSWER, ANSWER_UNAVAILABLE },
	  BW_ANSWER_UNKNOWN },
	{ "closed, then no connection",
	  { REACT_CLOSE_ALL, NULL },
	  { REACT_ANSWER, NULL },
	  BW_ANSWER_UNKNOWN },
	{ "reset, then the job is found",
	  { REACT_RESET, NULL },
	  { REACT_ANSWER, ANSWER_CONFLICT },
	  BW_ANSWER_DONE },
};

/* The store may have carried out the write before the connection failed. */
static void test_job_that_may_be_stored_is_not_refused(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
		const refusal_case_t *c = &refusal_cases[i];
		const step_t steps[] = { { REACT_ANSWER, ANSWER_DONE },
					 c->first_copy,
					 c->later };
		refusal_test_t t;

		begin(&t, steps, G_N_ELEMENTS(steps));
		submit(&t, "/p/00000000000000aa");
		assert_int_equal(t.answer, BW_ANSWER_DONE);
		submit(&t, "/p/00000000000000bb");
		if (t.answer != c->answer)
			print_error("case: %s: %u\n", c->name, t.answer);
		assert_int_equal(t.answer, c->answer);
		end(&t);
	}
}

static void on_etcd_reply(void *ctx, const bw_store_reply_t *reply)
{
	refusal_test_t *t = ctx;

	t->status = reply->status;
	ev_break(t->loop, EVBREAK_ALL);
}

/** A client of etcd beside the platform's store. */
typedef struct etcd_test {
	refusal_test_t base;
	bw_store_t store;
	char *url;
} etcd_test_t;

static void begin_etcd(etcd_test_t *t, const step_t *steps, uint32_t count)
{
	bw_etcd_config_t etcd_config = { .endpoint_count = 1,
					 .timeout_ms = CALLER_TIMEOUT_MS };

	begin(&t->base, steps, count);
	t->url = g_strconcat("http://", t->base.server.address, NULL);
	etcd_config.endpoints = (const char *const *)&t->url;
	t->store =
		bw_etcd_create(t->base.loop, &etcd_config, &t->base.counters);
}

static void end_etcd(etcd_test_t *t)
{
	t->store.ops->destroy(t->store.impl);
	g_free(t->url);
	end(&t->base);
}

static bw_status_t write_etcd(etcd_test_t *t)
{
	bw_store_cas_t cas = { .key = "k", .value = "v", .bytes = 1 };

	t->store.ops->cas(t->store.impl, &cas, on_etcd_reply, &t->base);
	ev_run(t->base.loop, 0);
	return t->base.status;
}

/* Without this, only the calls to the platform's store would be tested. */
static void test_etcd_write_is_sent_once(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_DONE },
					{ REACT_CLOSE, NULL },
					{ REACT_ANSWER, ANSWER_UNAVAILABLE } };
	etcd_test_t t;

	(void)state;
	begin_etcd(&t, steps, G_N_ELEMENTS(steps));
	assert_int_equal(write_etcd(&t), BW_OK);
	assert_int_equal(write_etcd(&t), BW_ELOST);
	assert_int_equal(t.base.server.requests, 2);
	assert_int_equal(t.base.server.accepted, 1);
	end_etcd(&t);
}

/* etcd answers a request that timed out there as unavailable, and may carry a
 * write out later. */
static void test_etcd_write_that_timed_out_is_taken_for_not_done(void **state)
{
	static const step_t steps[] = {
		{ REACT_ANSWER, ANSWER_UNAVAILABLE },
	};
	etcd_test_t t;

	(void)state;
	begin_etcd(&t, steps, G_N_ELEMENTS(steps));
	assert_int_equal(write_etcd(&t), BW_ELOST);
	t.store.ops->range(t.store.impl, "k", on_etcd_reply, &t.base);
	ev_run(t.base.loop, 0);
	assert_int_equal(t.base.status, BW_EUNAVAIL);
	end_etcd(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_that_may_be_stored_is_not_refused),
		cmocka_unit_test(test_etcd_write_is_sent_once),
		cmocka_unit_test(
			test_etcd_write_that_timed_out_is_taken_for_not_done),
	};

	curl_global_init(CURL_GLOBAL_NOTHING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
