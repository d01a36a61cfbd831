/*
 * Answers that callers get from one entry when backend servers or callers
 * misbehave. A caller must get the complete answer to its own request or an
 * error, never a truncated or another request's answer that looks complete.
 */
#include "test.h"

#include <stdio.h>
#include <string.h>

#include "fixture.h"
#include "once/once.h"

#define BIG_BYTES ((size_t)8 << 20)

static char *big_answer;
static size_t big_answer_bytes;

static script_t scripts[] = {
	{ .path = "/s/good",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\n"
		    "hello" },
	{ .path = "/s/other",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" },
	{ .path = "/s/cut",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello",
	  .close_after = true },
	{ .path = "/s/chunkcut",
	  .answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "5\r\nhello\r\n5\r\nhe",
	  .close_after = true },
	{ .path = "/s/chunked",
	  .answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n" },
	{ .path = "/s/excess",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
		    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" },
	{ .path = "/s/lateexcess",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	  .delayed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" },
	{ .path = "/s/unframed",
	  .answer = "HTTP/1.1 200 OK\r\n\r\nhello",
	  .close_after = true },
	{ .path = "/s/interim",
	  .answer = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
		    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" },
	{ .path = "/s/twolengths",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
		    "Content-Length: 6\r\n\r\nhello!" },
	{ .path = "/s/garbage",
	  .answer = "SSH-2.0-x\r\n",
	  .close_after = true },
	{ .path = "/s/empty", .answer = "HTTP/1.1 204 No Content\r\n\r\n" },
	{ .path = "/s/head",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n" },
	{ .path = "/s/closes" },
	{ .path = "/s/idleclose",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	  .close_after = true },
	{ .path = "/s/unavailable",
	  .answer = "HTTP/1.1 503 Service Unavailable\r\n"
		    "Content-Length: 4\r\n\r\nbusy" },
	{ .path = "/s/slow",
	  .answer = "HTTP/1.1 200 OK\r\n",
	  .delayed = "Content-Length: 5\r\n\r\nhello" },
	{ .path = "/s/big" },
	{ .path = "/s/count",
	  .answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone" },
};

/** A request and what its caller must get. */
typedef struct answer_case {
	const char *name;
	const char *method;
	const char *path;
	int status;
	const char *body; /**< Exact body, or NULL. */
	const char *outcome; /**< Outcome in the problem document, or NULL. */
	uint32_t requests; /**< Requests to reach the server; 0: any number. */
} answer_case_t;

static const answer_case_t answer_cases[] = {
	{ "complete", "GET", "/s/good", 200, "hello", NULL, 1 },
	{ "chunked", "GET", "/s/chunked", 200, "hello", NULL, 1 },
	{ "truncated", "GET", "/s/cut", 502, NULL, "unknown", 3 },
	{ "truncated, run once", "POST", "/s/cut", 502, NULL, "unknown", 1 },
	{ "truncated chunk", "GET", "/s/chunkcut", 502, NULL, "unknown", 3 },
	{ "excess bytes", "GET", "/s/excess", 200, "hello", NULL, 1 },
	{ "after excess bytes", "GET", "/s/other", 200, "other", NULL, 1 },
	{ "late excess bytes", "GET", "/s/lateexcess", 200, "hello", NULL, 1 },
	{ "after late excess bytes", "GET", "/s/other", 200, "other", NULL, 1 },
	{ "late excess bytes, run once", "POST", "/s/lateexcess", 200, "hello",
	  NULL, 1 },
	{ "run once, after late excess bytes", "POST", "/s/other", 200, "other",
	  NULL, 1 },
	{ "no length and not chunked", "GET", "/s/unframed", 502, NULL,
	  "unknown", 3 },
	{ "interim answer", "GET", "/s/interim", 200, "hello", NULL, 1 },
	{ "conflicting lengths", "GET", "/s/twolengths", 502, NULL, "unknown",
	  3 },
	{ "not HTTP", "POST", "/s/garbage", 502, NULL, "unknown", 1 },
	{ "no content", "GET", "/s/empty", 204, "", NULL, 1 },
	{ "head", "HEAD", "/s/head", 200, "", NULL, 1 },
	{ "closes without answer, run once", "POST", "/s/closes", 502, NULL,
	  "unknown", 1 },
	{ "closes without answer", "GET", "/s/closes", 502, NULL, "unknown",
	  3 },
	{ "closes idle connection", "POST", "/s/idleclose", 200, "hello", NULL,
	  1 },
	{ "run once, after idle close", "POST", "/s/good", 200, "hello", NULL,
	  1 },
	{ "unavailable", "GET", "/s/unavailable", 503, "busy", NULL, 3 },
	{ "unavailable, run once", "POST", "/s/unavailable", 503, "busy", NULL,
	  1 },
	{ "no service", "GET", "/none/", 404, NULL, "not-run", 0 },
	{ "invalid target", "GET", "http://x/s/good", 400, NULL, "not-run", 0 },
	{ "unsupported method", "TRACE", "/s/good", 501, NULL, "not-run", 0 },
};

static GString *request(fixture_t *f, const char *method, const char *path,
			const char *headers, const char *body)
{
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: x\r\n%s"
				     "Connection: close\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     method, path, headers, strlen(body), body);
	GString *answer = fixture_exchange(f, text, strlen(text));

	g_free(text);
	return answer;
}

static void expect(const char *name, const GString *answer, int status,
		   const char *body, const char *outcome)
{
	char *text;

	if (fixture_answer_status(answer) != status)
		print_error("case: %s: %s\n", name, answer->str);
	assert_int_equal(fixture_answer_status(answer), status);
	if (body)
		assert_string_equal(fixture_answer_body(answer), body);
	if (!outcome)
		return;
	text = g_strdup_printf("\"outcome\":\"%s\"", outcome);
	if (!strstr(answer->str, text))
		print_error("case: %s: %s\n", name, answer->str);
	assert_non_null(strstr(answer->str, text));
	g_free(text);
}

static void test_answers(void **state)
{
	fixture_t *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		const answer_case_t *c = &answer_cases[i];
		uint32_t before = f->requests;
		GString *answer = request(f, c->method, c->path, "",
					  c->status == 400 ? "" : "x");

		expect(c->name, answer, c->status, c->body, c->outcome);
		if (c->requests > 0 && f->requests - before != c->requests)
			print_error("case: %s\n", c->name);
		if (c->requests > 0)
			assert_int_equal(f->requests - before, c->requests);
		g_string_free(answer, TRUE);
		/*
		 * All cases share one worker: wait for late bytes, and until
		 * failures no longer count against it.
		 */
		fixture_run(f, c->status >= 500 ? 0.8 : 0.1);
	}
}

static void test_head_keeps_length(void **state)
{
	GString *answer = request(*state, "HEAD", "/s/head", "", "");

	assert_non_null(strstr(answer->str, "Content-Length: 12345"));
	g_string_free(answer, TRUE);
}

static void test_big_bodies(void **state)
{
	fixture_t *f = *state;
	GString *text = g_string_new("PUT /s/big HTTP/1.1\r\nHost: x\r\n"
				     "Connection: close\r\n");
	GString *answer;
	gsize head;

	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", BIG_BYTES);
	head = text->len;
	g_string_set_size(text, head + BIG_BYTES);
	memset(text->str + head, 'q', BIG_BYTES);
	answer = fixture_exchange(f, text->str, text->len);
	assert_int_equal(fixture_answer_status(answer), 200);
	assert_int_equal(answer->len - (gsize)(fixture_answer_body(answer) -
					       answer->str),
			 BIG_BYTES);
	g_string_free(answer, TRUE);
	g_string_free(text, TRUE);
}

static void test_body_too_large(void **state)
{
	static const char text[] = "PUT /s/good HTTP/1.1\r\nHost: x\r\n"
				   "Content-Length: 8388609\r\n\r\n";
	GString *answer = fixture_exchange(*state, text, strlen(text));

	expect("declared", answer, 413, NULL, "not-run");
	g_string_free(answer, TRUE);
}

static void make_key(char key[37])
{
	bw_once_make_key(key, g_get_real_time() / 1000, g_random_int(),
			 g_random_int());
}

static void test_keys(void **state)
{
	fixture_t *f = *state;
	uint32_t before = f->requests;
	char key[37];
	char *header;
	GString *answer;
	int i;

	make_key(key);
	header = g_strdup_printf("Idempotency-Key: %s\r\n", key);
	for (i = 0; i < 3; i++) {
		answer = request(f, "POST", "/s/count", header, "pay");
		expect("repeated key", answer, 200, "done", NULL);
		assert_true(i == 0 ||
			    strstr(answer->str, "Idempotency-Replayed: true"));
		g_string_free(answer, TRUE);
	}
	assert_int_equal(f->requests - before, 1);
	answer = request(f, "POST", "/s/count", header, "pay more");
	expect("other body", answer, 422, NULL, "not-run");
	g_string_free(answer, TRUE);
	answer = request(f, "POST", "/s/other", header, "pay");
	expect("other target", answer, 422, NULL, "not-run");
	g_string_free(answer, TRUE);
	g_free(header);
	answer = request(f, "POST", "/s/count", "Idempotency-Key: x\r\n", "p");
	expect("not a UUIDv7", answer, 400, NULL, "not-run");
	assert_non_null(strstr(answer->str, "\"ticket\""));
	g_string_free(answer, TRUE);
	bw_once_make_key(key, g_get_real_time() / 1000 + 60000, 1, 2);
	header = g_strdup_printf("Idempotency-Key: %s\r\n", key);
	answer = request(f, "POST", "/s/count", header, "pay");
	expect("key issued in the future", answer, 409, NULL, "unknown");
	g_string_free(answer, TRUE);
	g_free(header);
	assert_int_equal(f->requests - before, 1);
}

static void test_key_refused_before_ready(void **state)
{
	fixture_t *f = fixture_create(scripts, G_N_ELEMENTS(scripts), false);
	char key[37];
	char *header;
	GString *answer;

	(void)state;
	make_key(key);
	header = g_strdup_printf("Idempotency-Key: %s\r\n", key);
	/* Another entry may run the key; this one can't rule that out. */
	answer = request(f, "POST", "/s/good", header, "pay");
	expect("with a key", answer, 503, NULL, "unknown");
	g_string_free(answer, TRUE);
	answer = request(f, "POST", "/s/good", "", "pay");
	expect("without a key", answer, 503, NULL, "not-run");
	g_string_free(answer, TRUE);
	g_free(header);
	fixture_destroy(f);
}

/* The first attempt reaches the server, which then refuses connections: that a
 * later one was not sent says nothing of the first. */
static void test_attempt_that_was_sent_is_called_not_run(void **state)
{
	fixture_t *f = fixture_create(scripts, G_N_ELEMENTS(scripts), true);
	GString *answer;

	(void)state;
	f->end_after_request = true;
	answer = request(f, "GET", "/s/closes", "Prefer: wait=1\r\n", "");
	assert_int_equal(f->requests, 1);
	assert_true(fixture_answer_status(answer) >= 500);
	assert_null(strstr(answer->str, "not-run"));
	assert_non_null(strstr(answer->str, "\"outcome\":\"unknown\""));
	g_string_free(answer, TRUE);
	fixture_destroy(f);
}

/* The connection of a caller that does not finish its request is closed. */
static void test_slow_caller(void **state)
{
	static const char text[] = "GET /s/good HTTP/1.1\r\nHost:";
	GString *answer = fixture_exchange(*state, text, strlen(text));

	assert_non_null(answer);
	assert_int_equal(answer->len, 0);
	g_string_free(answer, TRUE);
}

/* Runs last, as it stops the entry; the request in progress is answered. */
static void test_graceful_stop(void **state)
{
	static const char text[] = "GET /s/slow HTTP/1.1\r\nHost: x\r\n\r\n";
	fixture_t *f = *state;
	GString *answer;

	f->stop_after_request = true;
	answer = fixture_exchange(f, text, strlen(text));
	expect("in progress", answer, 200, "hello", NULL);
	assert_non_null(strstr(answer->str, "Connection: close"));
	g_string_free(answer, TRUE);
}

static int setup(void **state)
{
	GString *big = g_string_new(NULL);
	size_t i;

	g_string_append_printf(big,
			       "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
			       BIG_BYTES);
	for (i = 0; i < BIG_BYTES; i++)
		g_string_append_c(big, 'r');
	big_answer_bytes = big->len;
	big_answer = g_string_free(big, FALSE);
	for (i = 0; i < G_N_ELEMENTS(scripts); i++)
		if (!strcmp(scripts[i].path, "/s/big")) {
			scripts[i].answer = big_answer;
			scripts[i].answer_bytes = big_answer_bytes;
		}
	*state = fixture_create(scripts, G_N_ELEMENTS(scripts), true);
	return 0;
}

static int teardown(void **state)
{
	fixture_destroy(*state);
	g_free(big_answer);
	return 0;
}

static int run_not_ready(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_attempt_that_was_sent_is_called_not_run),
		cmocka_unit_test(test_key_refused_before_ready),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers),
		cmocka_unit_test(test_head_keeps_length),
		cmocka_unit_test(test_big_bodies),
		cmocka_unit_test(test_body_too_large),
		cmocka_unit_test(test_keys),
		cmocka_unit_test(test_slow_caller),
		cmocka_unit_test(test_graceful_stop),
	};
	int failed = cmocka_run_group_tests(tests, setup, teardown);

	return failed + run_not_ready();
}
