/*
 * The adapter over HTTP: callers' requests to the front, and calls to a store
 * and to workers, for which a server with fixed answers stands in.
 */
#include "test.h"

#include <string.h>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "net/httpcall.h"
#include "net/simplehttp.h"
#include "platform.h"
#include "standin/anyport.h"

#define LISTEN_IP	"127.0.0.1"
#define LONG_BODY_BYTES ((size_t)10 << 20)
#define TIMEOUT_MS	3000

/* The front. */

typedef struct front_test {
	struct ev_loop *loop;
	bw_anyport_t callers;
	bw_anyport_t readiness;
	bw_answer_t answer; /**< Given to all requests. */
	bool ready;
	uint32_t served;
	uint32_t status;
	char body[256];
} front_test_t;

static void serve(void *impl, const bw_request_t *request, bw_answer_fn done,
		  void *ctx)
{
	front_test_t *t = impl;

	(void)request;
	t->served++;
	done(ctx, &t->answer);
}

static bool is_ready(void *impl)
{
	return ((front_test_t *)impl)->ready;
}

static void on_answer(void *ctx, const bw_http_answer_t *answer)
{
	front_test_t *t = ctx;

	t->status = answer->outcome == BW_HTTP_ANSWERED ? answer->status : 0;
	g_strlcpy(t->body, answer->body, sizeof(t->body));
	ev_break(t->loop, EVBREAK_ALL);
}

static void call(front_test_t *t, bw_http_client_t *client, const char *method,
		 const char *url, const char *body, size_t bytes)
{
	bw_http_request_t request = { .method = method,
				      .url = url,
				      .body = body,
				      .bytes = bytes,
				      .timeout_ms = TIMEOUT_MS };

	t->status = 0;
	bw_http_call(client, &request, on_answer, t);
	ev_run(t->loop, 0);
}

typedef struct front_case {
	const char *name;
	const char *method;
	const char *body;
	bw_answer_t answer;
	uint32_t status;
	uint32_t served;
	const char *body_part;
} front_case_t;

#define GOOD_BODY "{\"spec\":\"t\",\"steps\":[{\"count\":1}]}"

static const front_case_t front_cases[] = {
	{ "accepted",
	  "POST",
	  GOOD_BODY,
	  { .kind = BW_ANSWER_DONE },
	  200,
	  1,
	  "{}" },
	{ "refused",
	  "POST",
	  GOOD_BODY,
	  { .kind = BW_ANSWER_REFUSED, .retry_after_s = 2, .reason = "why" },
	  503,
	  1,
	  "why" },
	{ "outcome unknown",
	  "POST",
	  GOOD_BODY,
	  { .kind = BW_ANSWER_UNKNOWN },
	  504,
	  1,
	  "{}" },
	{ "no queue",
	  "POST",
	  GOOD_BODY,
	  { .kind = BW_ANSWER_NO_QUEUE },
	  404,
	  1,
	  "{}" },
	{ "not JSON",
	  "POST",
	  "{",
	  { .kind = BW_ANSWER_DONE },
	  400,
	  0,
	  "not a job" },
	{ "unknown method",
	  "PUT",
	  GOOD_BODY,
	  { .kind = BW_ANSWER_DONE },
	  400,
	  0,
	  "method" },
	{ "state",
	  "GET",
	  NULL,
	  { .kind = BW_ANSWER_STATE, .state = BW_JOB_RUNNING },
	  200,
	  1,
	  "{\"state\":\"running\"}" },
	{ "count",
	  "GET",
	  NULL,
	  { .kind = BW_ANSWER_WAITING, .waiting = 12 },
	  200,
	  1,
	  "{\"waiting\":12}" },
	{ "no job",
	  "DELETE",
	  NULL,
	  { .kind = BW_ANSWER_NO_JOB },
	  410,
	  1,
	  "{}" },
};

static void test_front(void **state)
{
	front_test_t t = { .loop = ev_loop_new(0) };
	bw_http_client_t *client = bw_http_client_create(t.loop, 4);
	bw_request_handler_t handler = { &t, serve, is_ready };
	platform_front_t *front;
	char *long_body = g_strnfill(LONG_BODY_BYTES, 'x');
	char *jobs;
	bw_budget_limits_t limits = { .connections_max = 16 };
	char *readiness;
	size_t i;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &t.callers), BW_OK);
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &t.readiness), BW_OK);
	assert_int_equal(platform_front_create(t.loop, t.callers.address,
					       t.readiness.address, &limits,
					       &handler, &front),
			 BW_OK);
	jobs = g_strconcat(t.callers.url, "/p/id", NULL);
	readiness = g_strconcat(t.readiness.url, "/v1/readiness", NULL);
	for (i = 0; i < G_N_ELEMENTS(front_cases); i++) {
		const front_case_t *c = &front_cases[i];

		t.answer = c->answer;
		t.served = 0;
		call(&t, client, c->method, jobs, c->body,
		     c->body ? strlen(c->body) : 0);
		if (t.status != c->status || !strstr(t.body, c->body_part))
			print_error("case: %s: %u %s\n", c->name, t.status,
				    t.body);
		assert_int_equal(t.status, c->status);
		assert_int_equal(t.served, c->served);
		assert_non_null(strstr(t.body, c->body_part));
	}
	/* A body over the limit is answered, and later requests are served. */
	call(&t, client, "POST", jobs, long_body, LONG_BODY_BYTES);
	assert_int_equal(t.status, 413);
	t.answer.kind = BW_ANSWER_DONE;
	call(&t, client, "POST", jobs, GOOD_BODY, strlen(GOOD_BODY));
	assert_int_equal(t.status, 200);
	call(&t, client, "GET", readiness, NULL, 0);
	assert_int_equal(t.status, 503);
	t.ready = true;
	call(&t, client, "GET", readiness, NULL, 0);
	assert_int_equal(t.status, 200);
	assert_int_equal(platform_front_pending_count(front), 0);
	g_free(long_body);
	g_free(jobs);
	g_free(readiness);
	bw_http_client_destroy(client);
	platform_front_destroy(front);
	bw_anyport_release(&t.callers);
	bw_anyport_release(&t.readiness);
	ev_loop_destroy(t.loop);
}

/* The server that stands in for the store and for workers. */

typedef struct canned_server {
	unsigned int status;
	const char *body;
	char path[256]; /**< Of the last call. */
	char request[512];
	uint32_t calls;
	char *long_body; /**< Owned; for a body that a test builds. */
} canned_server_t;

static enum MHD_Result serve_canned(void *ctx, bw_simple_request_t *r)
{
	canned_server_t *s = ctx;

	s->calls++;
	g_strlcpy(s->path, r->path, sizeof(s->path));
	g_strlcpy(s->request, r->body->str, sizeof(s->request));
	return bw_simple_reply(r, s->status, "application/json", s->body,
			       strlen(s->body));
}

typedef struct store_test {
	struct ev_loop *loop;
	bw_status_t status;
	bool succeeded;
	bw_store_trace_t trace;
	bool deleted;
	int64_t revision;
	size_t count;
	char value[64];
	bw_order_result_t result;
	uint32_t runs;
	uint32_t ends;
	bool more_ends;
} store_test_t;

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	store_test_t *t = ctx;

	t->status = reply->status;
	t->succeeded = reply->succeeded;
	t->trace = reply->trace;
	t->revision = reply->revision;
	t->count = reply->kv_count;
	if (reply->kv_count > 0) {
		g_strlcpy(t->value, reply->kvs[0].value, sizeof(t->value));
		t->deleted = reply->kvs[0].deleted;
	}
	ev_break(t->loop, EVBREAK_ALL);
}

typedef struct store_case {
	const char *name;
	unsigned int http;
	const char *body;
	bw_status_t status;
	bool succeeded;
	bw_cause_t cause;
} store_case_t;

static const store_case_t txn_cases[] = {
	{ "done", 200, "{\"revision\":7}", BW_OK, true, BW_CAUSE_NONE },
	{ "expectation failed", 412,
	  "{\"items\":[{\"key\":\"k\",\"value\":\"YQ==\",\"revision\":3}]}",
	  BW_OK, false, BW_CAUSE_NONE },
	{ "no such lease", 404, "{}", BW_ENOTFOUND, false, BW_CAUSE_NONE },
	{ "unavailable", 503, "{}", BW_EUNAVAIL, false, BW_CAUSE_UNAVAILABLE },
	{ "rate limited", 429, "{}", BW_EUNAVAIL, false,
	  BW_CAUSE_RATE_LIMITED },
	{ "forbidden", 403, "{}", BW_EINVAL, false, BW_CAUSE_REJECTED },
	{ "server error", 500, "{}", BW_ELOST, false, BW_CAUSE_REJECTED },
	{ "not JSON", 200, "<html>", BW_ELOST, false, BW_CAUSE_MALFORMED },
};

static void run_txn(store_test_t *t, const bw_store_t *store)
{
	bw_store_expect_t expect = { "k", 3 };
	bw_store_write_t writes[] = { { "k", "a", 1, 0 },
				      { "old", NULL, 0, 0 } };
	bw_store_txn_t txn = { &expect, 1, writes, 2 };

	store->ops->txn(store->impl, &txn, on_reply, t);
	ev_run(t->loop, 0);
}

static void test_store(void **state)
{
	store_test_t t = { .loop = ev_loop_new(0) };
	canned_server_t server = { 0 };
	bw_anyport_t listen;
	bw_simple_config_t config = { .address = listen.address,
				      .body_bytes_max = 65536,
				      .connections_max = 16 };
	bw_counters_t counters = { 0 };
	bw_store_t store;
	bw_store_watch_t *watch;
	bw_simplehttp_t *http;
	size_t i;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	store = platform_store_create(t.loop, listen.address, &counters);
	/* Nothing listens yet: the call had no effect. */
	run_txn(&t, &store);
	assert_int_equal(t.status, BW_EUNAVAIL);
	assert_int_equal(t.trace.cause, BW_CAUSE_UNCONNECTED);
	assert_int_equal(t.trace.copies, 0);
	assert_int_equal(bw_simplehttp_create(t.loop, &config, serve_canned,
					      &server, &http),
			 BW_OK);
	for (i = 0; i < G_N_ELEMENTS(txn_cases); i++) {
		const store_case_t *c = &txn_cases[i];

		server.status = c->http;
		server.body = c->body;
		run_txn(&t, &store);
		if (t.status != c->status)
			print_error("case: %s\n", c->name);
		assert_int_equal(t.status, c->status);
		assert_int_equal(t.succeeded, c->succeeded);
		assert_int_equal(t.trace.cause, c->cause);
		assert_int_equal(t.trace.copies, 1);
		assert_int_equal(t.trace.kept_connection, i > 0);
	}
	assert_string_equal(
		server.request,
		"{\"expected_rev\":[{\"key\":\"k\",\"revision\":3}],"
		"\"writes\":[{\"key\":\"k\",\"value\":\"YQ==\",\"lease\":0}],"
		"\"deletes\":[\"old\"]}");
	server.status = 200;
	server.body = "{\"events\":[{\"key\":\"k\",\"revision\":9,"
		      "\"compacted\":true}],\"at_rev\":9}";
	watch = store.ops->watch(store.impl, "k", 4, on_reply, &t);
	ev_run(t.loop, 0);
	assert_int_equal(t.status, BW_OK);
	assert_true(t.deleted);
	assert_int_equal(t.revision, 9);
	server.status = 410;
	server.body = "{}";
	while (t.status == BW_OK)
		ev_run(t.loop, 0);
	assert_int_equal(t.status, BW_ESTALE);
	(void)watch;
	store.ops->destroy(store.impl);
	bw_simplehttp_destroy(http);
	bw_anyport_release(&listen);
	ev_loop_destroy(t.loop);
}

static void on_started(void *ctx, bw_order_result_t result, int64_t clock_ms)
{
	store_test_t *t = ctx;

	t->result = result;
	t->revision = clock_ms;
	ev_break(t->loop, EVBREAK_ALL);
}

static void on_heartbeat(void *ctx, const bw_heartbeat_answer_t *answer)
{
	store_test_t *t = ctx;

	t->result = answer->result;
	t->runs = answer->run_count;
	t->ends = answer->end_count;
	t->more_ends = answer->more_ends;
	ev_break(t->loop, EVBREAK_ALL);
}

typedef struct order_case {
	unsigned int http;
	const char *body;
	bw_order_result_t result;
} order_case_t;

static const order_case_t order_cases[] = {
	{ 200, "{\"clock_ms\":5}", BW_ORDER_OK },
	{ 409, "{\"clock_ms\":5,\"reason\":\"fence\"}", BW_ORDER_FENCED },
	{ 409, "{\"clock_ms\":5,\"reason\":\"old\"}", BW_ORDER_OLD_RUN },
	{ 409, "{\"clock_ms\":5,\"reason\":\"late\"}", BW_ORDER_EXPIRED },
	{ 409, "{\"clock_ms\":5,\"reason\":\"room\"}", BW_ORDER_NO_RESOURCES },
	{ 409, "{\"clock_ms\":5,\"reason\":\"ticket\"}", BW_ORDER_NO_TICKET },
	{ 409, "{\"reason\":\"new\"}", BW_ORDER_REFUSED },
	{ 400, "{}", BW_ORDER_REFUSED },
	{ 421, "{}", BW_ORDER_OTHER_BOOT },
	{ 503, "{}", BW_ORDER_UNHEALTHY },
	{ 429, "{}", BW_ORDER_UNHEALTHY },
	{ 502, "{}", BW_ORDER_LOST },
	{ 200, "oops", BW_ORDER_LOST },
};

#define RUN_ROW "[\"5c0e7a21d94b36f8.0.1.2\",1,\"\",41,7]"
#define END_ROW "[2,\"5c0e7a21d94b36f8.0.1.2\",1,\"done\",\"\"]"

/* Answers to a heartbeat of which a list, or a row of one, can't be read. */
static const char *const unreadable_lists[] = {
	"[]",
	"{\"clock_ms\":5}",
	"{\"running\":[]}",
	"{\"ended\":[]}",
	"{\"running\":{},\"ended\":[]}",
	"{\"running\":[],\"ended\":7}",
	"{\"running\":[" RUN_ROW ",7],\"ended\":[]}",
	"{\"running\":[[\"x\",1,\"\",3]," RUN_ROW "],\"ended\":[]}",
	"{\"running\":[[\"5c0e7a21d94b36f8.0.1.2\",\"1\"]],\"ended\":[]}",
	"{\"running\":[[\"5c0e7a21d94b36f8.0.1.2\",0]],\"ended\":[]}",
	"{\"running\":[[\"5c0e7a21d94b36f8.0.1.2\",4294967297]],\"ended\":[]}",
	"{\"running\":[],\"ended\":[7," END_ROW "]}",
	"{\"running\":[],\"ended\":[[1,\"5c0e7a21d94b36f8.0.1.2\",1,\"gone\","
	"\"\"]," END_ROW "]}",
	"{\"running\":[],\"ended\":[[\"1\",\"5c0e7a21d94b36f8.0.1.2\",1,"
	"\"done\",\"\"]]}",
	"{\"running\":[],\"ended\":[[-1,\"5c0e7a21d94b36f8.0.1.2\",1,"
	"\"done\",\"\"]]}",
};

/* Lets the server answer with a list of ends. */
static void answer_with_ends(canned_server_t *server, uint32_t count)
{
	GString *body =
		g_string_new("{\"clock_ms\":5,\"running\":[],\"ended\":[");
	uint32_t i;

	for (i = 0; i < count; i++)
		g_string_append_printf(
			body,
			"%s[%u,\"5c0e7a21d94b36f8.0.1.2\",1,\"done\",\"\"]",
			i > 0 ? "," : "", i + 1);
	g_string_append(body, "]}");
	g_free(server->long_body);
	server->long_body = g_string_free(body, FALSE);
	server->body = server->long_body;
}

static void test_workers(void **state)
{
	store_test_t t = { .loop = ev_loop_new(0) };
	canned_server_t server = { 0 };
	bw_anyport_t listen;
	bw_simple_config_t config = { .address = listen.address,
				      .body_bytes_max = 65536,
				      .connections_max = 16 };
	bw_worker_api_t api = platform_workers_create(t.loop, NULL);
	bw_start_order_t start = { .worker = "w1",
				   .address = listen.address,
				   .task = { "5c0e7a21d94b36f8", 0, 1, 2 },
				   .run = 3,
				   .text = "a \"text\"",
				   .grant_clock_ms = 9,
				   .fence = 7 };
	bw_heartbeat_order_t heartbeat = { .worker = "w1",
					   .address = listen.address,
					   .fence = 7,
					   .acked = 4 };
	bw_simplehttp_t *http;
	size_t i;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	assert_int_equal(bw_simplehttp_create(t.loop, &config, serve_canned,
					      &server, &http),
			 BW_OK);
	for (i = 0; i < G_N_ELEMENTS(order_cases); i++) {
		server.status = order_cases[i].http;
		server.body = order_cases[i].body;
		api.start(api.impl, &start, on_started, &t);
		ev_run(t.loop, 0);
		if (t.result != order_cases[i].result)
			print_error("case: %u %s\n", server.status,
				    server.body);
		assert_int_equal(t.result, order_cases[i].result);
	}
	assert_string_equal(server.request,
			    "{\"task\":\"5c0e7a21d94b36f8.0.1.2\",\"run\":3,"
			    "\"spec\":\"a \\\"text\\\"\",\"deadline_ms\":9,"
			    "\"fence_token\":7}");
	/* The next start has its own text, checkpoint and ticket. */
	start.text = "b \\ \xc3\xa4";
	start.checkpoint = "c\"1";
	start.ticket = "t";
	api.start(api.impl, &start, on_started, &t);
	ev_run(t.loop, 0);
	assert_string_equal(server.request,
			    "{\"task\":\"5c0e7a21d94b36f8.0.1.2\",\"run\":3,"
			    "\"spec\":\"b \\\\ \xc3\xa4\",\"deadline_ms\":9,"
			    "\"fence_token\":7,\"last_checkpoint\":\"c\\\"1\","
			    "\"ticket\":\"t\"}");
	server.status = 200;
	server.body = "{\"clock_ms\":5,\"running\":["
		      "[\"5c0e7a21d94b36f8.0.1.2\",1,\"\",41,7]],\"ended\":["
		      "[2,\"5c0e7a21d94b36f8.0.1.2\",1,\"done\",\"\"]]}";
	api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
	ev_run(t.loop, 0);
	assert_int_equal(t.result, BW_ORDER_OK);
	assert_int_equal(t.runs, 1);
	assert_int_equal(t.ends, 1);
	assert_false(t.more_ends);
	assert_string_equal(server.request,
			    "{\"fence_token\":7,\"last_seen\":4}");
	answer_with_ends(&server, 499);
	api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
	ev_run(t.loop, 0);
	assert_false(t.more_ends);
	answer_with_ends(&server, 500);
	api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
	ev_run(t.loop, 0);
	assert_int_equal(t.ends, 500);
	assert_true(t.more_ends);
	/* Failure: a row that can't be read was left out, so that its run
	 * counted as missing, or its end was acknowledged with a later one. */
	for (i = 0; i < G_N_ELEMENTS(unreadable_lists); i++) {
		server.body = unreadable_lists[i];
		api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
		ev_run(t.loop, 0);
		if (t.result != BW_ORDER_LOST)
			print_error("case: %s\n", server.body);
		assert_int_equal(t.result, BW_ORDER_LOST);
		assert_int_equal(t.runs, 0);
		assert_int_equal(t.ends, 0);
	}
	g_free(server.long_body);
	platform_workers_destroy(&api);
	bw_simplehttp_destroy(http);
	bw_anyport_release(&listen);
	ev_loop_destroy(t.loop);
}

/* A heartbeat for the boot that answered last opens no connection, which might
 * wait for the next boot. */
static void test_heartbeat_for_a_boot_needs_its_connection(void **state)
{
	store_test_t t = { .loop = ev_loop_new(0) };
	canned_server_t server = {
		.status = 200,
		.body = "{\"clock_ms\":5,\"running\":[],\"ended\":[]}"
	};
	bw_anyport_t listen;
	bw_simple_config_t config = { .address = listen.address,
				      .body_bytes_max = 65536,
				      .connections_max = 16 };
	bw_worker_api_t api = platform_workers_create(t.loop, NULL);
	bw_heartbeat_order_t heartbeat = { .worker = "w1",
					   .address = listen.address,
					   .same_boot = true,
					   .acked = 4 };
	bw_simplehttp_t *http;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	assert_int_equal(bw_simplehttp_create(t.loop, &config, serve_canned,
					      &server, &http),
			 BW_OK);
	api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
	ev_run(t.loop, 0);
	assert_int_equal(t.result, BW_ORDER_NOT_SENT);
	heartbeat.same_boot = false;
	api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
	ev_run(t.loop, 0);
	assert_int_equal(t.result, BW_ORDER_OK);
	heartbeat.same_boot = true;
	api.heartbeat(api.impl, &heartbeat, on_heartbeat, &t);
	ev_run(t.loop, 0);
	assert_int_equal(t.result, BW_ORDER_OK);
	platform_workers_destroy(&api);
	bw_simplehttp_destroy(http);
	bw_anyport_release(&listen);
	ev_loop_destroy(t.loop);
}

/** All of the loopback's addresses reach a server that listens here. */
#define ANY_HOST "0.0.0.0"
/** More hosts than a pool of a large site has workers. */
#define HOSTS 200U

/** The connection that each host was called on last. */
typedef struct many_hosts {
	uint16_t client_ports[HOSTS];
	uint32_t connections;
} many_hosts_t;

/* Counts a connection whose client port is not that of the last call. */
static enum MHD_Result serve_host(void *ctx, bw_simple_request_t *r)
{
	many_hosts_t *m = ctx;
	uint32_t host = (uint32_t)g_ascii_strtoull(r->path + 1, NULL, 10);
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *client =
		(const struct sockaddr_in *)(const void *)info->client_addr;

	if (m->client_ports[host] != client->sin_port)
		m->connections++;
	m->client_ports[host] = client->sin_port;
	return bw_simple_reply(r, 200, "application/json", "{}", 2);
}

static void call_all_hosts(front_test_t *t, bw_http_client_t *client,
			   uint16_t port)
{
	char url[64];
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		g_snprintf(url, sizeof(url), "http://127.0.9.%u:%u/%u", i + 1,
			   port, i);
		call(t, client, "GET", url, NULL, 0);
		assert_int_equal(t->status, 200);
	}
}

/* A call to a known host uses the connection that is open, whatever the number
 * of hosts. */
static void test_connections_to_many_hosts_are_kept(void **state)
{
	front_test_t t = { .loop = ev_loop_new(0) };
	many_hosts_t hosts = { 0 };
	bw_anyport_t listen;
	bw_simple_config_t config = { .address = listen.address,
				      .body_bytes_max = 65536,
				      .connections_max = 2 * HOSTS };
	bw_http_client_t *client = bw_http_client_create(t.loop, 8);
	bw_simplehttp_t *http;

	(void)state;
	assert_int_equal(bw_anyport_reserve(ANY_HOST, &listen), BW_OK);
	assert_int_equal(bw_simplehttp_create(t.loop, &config, serve_host,
					      &hosts, &http),
			 BW_OK);
	call_all_hosts(&t, client, listen.port);
	assert_int_equal(hosts.connections, HOSTS);
	call_all_hosts(&t, client, listen.port);
	assert_int_equal(hosts.connections, HOSTS);
	bw_http_client_destroy(client);
	bw_simplehttp_destroy(http);
	bw_anyport_release(&listen);
	ev_loop_destroy(t.loop);
}

typedef struct watch_case {
	unsigned int http;
	const char *body;
	bw_status_t status;
} watch_case_t;

static const watch_case_t watch_cases[] = {
	{ 410, "{}", BW_ESTALE },
	{ 503, "{}", BW_EUNAVAIL },
	{ 200, "oops", BW_ELOST },
};

/* A node whose watches all fail looked as if its store were sound. */
static void test_failed_watch_is_no_store_error(void **state)
{
	store_test_t t = { .loop = ev_loop_new(0) };
	canned_server_t server = { 0 };
	bw_anyport_t listen;
	bw_simple_config_t config = { .address = listen.address,
				      .body_bytes_max = 65536,
				      .connections_max = 16 };
	bw_counters_t counters = { 0 };
	bw_simplehttp_t *http;
	bw_store_t store;
	size_t i;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	store = platform_store_create(t.loop, listen.address, &counters);
	assert_int_equal(bw_simplehttp_create(t.loop, &config, serve_canned,
					      &server, &http),
			 BW_OK);
	for (i = 0; i < G_N_ELEMENTS(watch_cases); i++) {
		server.status = watch_cases[i].http;
		server.body = watch_cases[i].body;
		store.ops->watch(store.impl, "k", 4, on_reply, &t);
		ev_run(t.loop, 0);
		assert_int_equal(t.status, watch_cases[i].status);
		assert_int_equal(counters.value[BW_C_STORE_ERRORS], i + 1);
	}
	store.ops->destroy(store.impl);
	bw_simplehttp_destroy(http);
	bw_anyport_release(&listen);
	ev_loop_destroy(t.loop);
}

/** More than a transaction's answer of 32 values of 1 MB has in base64. */
#define ENDLESS_BYTES ((size_t)65 << 20)

/* A server that never ends its answer would take all of the memory. */
static void test_answer_without_end_is_collected(void **state)
{
	store_test_t t = { .loop = ev_loop_new(0) };
	char *body = g_strnfill(ENDLESS_BYTES, ' ');
	canned_server_t server = { .status = 200, .body = body };
	bw_anyport_t listen;
	bw_simple_config_t config = { .address = listen.address,
				      .body_bytes_max = 65536,
				      .connections_max = 16 };
	bw_worker_api_t workers = platform_workers_create(t.loop, NULL);
	bw_run_order_t order = { .worker = "w1" };
	bw_counters_t counters = { 0 };
	bw_simplehttp_t *http;
	bw_store_t store;

	(void)state;
	memcpy(body, "{}", 2);
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	store = platform_store_create(t.loop, listen.address, &counters);
	assert_int_equal(bw_simplehttp_create(t.loop, &config, serve_canned,
					      &server, &http),
			 BW_OK);
	store.ops->get(store.impl, "k", on_reply, &t);
	ev_run(t.loop, 0);
	assert_int_equal(server.calls, 1);
	assert_int_equal(t.status, BW_ELOST);
	order.address = listen.address;
	workers.stop(workers.impl, &order, on_started, &t);
	ev_run(t.loop, 0);
	assert_int_equal(server.calls, 2);
	assert_int_equal(t.result, BW_ORDER_LOST);
	platform_workers_destroy(&workers);
	store.ops->destroy(store.impl);
	bw_simplehttp_destroy(http);
	bw_anyport_release(&listen);
	g_free(body);
	ev_loop_destroy(t.loop);
}

/* Leaks are found by the sanitizer. */
static void test_calls_that_a_destroyed_client_ends_leak(void **state)
{
	store_test_t t = { .loop = ev_loop_new(0) };
	bw_counters_t counters = { 0 };
	bw_run_order_t order = { .worker = "w1" };
	bw_heartbeat_order_t heartbeat = { .worker = "w1" };
	bw_machine_holder_t holder = { .node = "n1" };
	bw_anyport_t listen;
	bw_machine_api_t machines;
	bw_worker_api_t workers;
	bw_store_t store;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	order.address = listen.address;
	heartbeat.address = listen.address;
	store = platform_store_create(t.loop, listen.address, &counters);
	machines = platform_machines_create(t.loop, listen.address);
	workers = platform_workers_create(t.loop, listen.address);
	store.ops->get(store.impl, "k", on_reply, &t);
	store.ops->watch(store.impl, "k", 4, on_reply, &t);
	machines.list(machines.impl, NULL, NULL);
	machines.move(machines.impl, "m1", "p", &holder, NULL, NULL);
	workers.stop(workers.impl, &order, on_started, &t);
	workers.heartbeat(workers.impl, &heartbeat, on_heartbeat, &t);
	workers.advise(workers.impl, &order.task, NULL, 0, NULL, NULL);
	store.ops->destroy(store.impl);
	platform_machines_destroy(&machines);
	platform_workers_destroy(&workers);
	bw_anyport_release(&listen);
	ev_loop_destroy(t.loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_front),
		cmocka_unit_test(test_store),
		cmocka_unit_test(test_workers),
		cmocka_unit_test(
			test_heartbeat_for_a_boot_needs_its_connection),
		cmocka_unit_test(test_connections_to_many_hosts_are_kept),
		cmocka_unit_test(test_failed_watch_is_no_store_error),
		cmocka_unit_test(test_answer_without_end_is_collected),
		cmocka_unit_test(test_calls_that_a_destroyed_client_ends_leak),
	};

	curl_global_init(CURL_GLOBAL_NOTHING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
