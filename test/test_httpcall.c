/*
 * The client for calls to the store and the machines: what a call's outcome is
 * when the server fails after it has read the request.
 */
#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "net/httpcall.h"
#include "step_server.h"

#define STALL_MS     300
#define LIMIT_MS     1500
#define WATCHDOG_S   20.0
#define OUTCOMES_MAX 16U
/** What libcurl reads at a time, in httpcall.c. */
#define RECEIVE_BYTES 16384U
/** More than a server has waiting before it accepts them. */
#define QUEUE_FULL   32
#define BUSY_MAX     4U
#define EMPTY_ANSWER "Content-Length: 2\r\n\r\n{}"
#define ANSWER_OK    "HTTP/1.1 200 OK\r\n" EMPTY_ANSWER
#define ANSWER_503   "HTTP/1.1 503 Unavailable\r\n" EMPTY_ANSWER

typedef struct call_test {
	struct ev_loop *loop;
	bw_http_client_t *client;
	step_server_t server;
	char *url;
	ev_timer watchdog;
	bw_http_outcome_t outcomes[OUTCOMES_MAX];
	uint32_t statuses[OUTCOMES_MAX];
	bw_cause_t causes[OUTCOMES_MAX];
	uint32_t done_count;
	bool other_done; /**< A call of which only the end counts. */
} call_test_t;

static void on_watchdog(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)timer;
	(void)revents;
	fail_msg("the call did not end");
}

/* @param busy_max connections of the client */
static void begin_with(call_test_t *t, const step_t *steps, uint32_t count,
		       uint32_t busy_max)
{
	*t = (call_test_t){ .loop = ev_loop_new(0) };
	t->client = bw_http_client_create(t->loop, busy_max);
	step_server_open(&t->server, t->loop, steps, count);
	t->url = g_strdup_printf("http://%s/p", t->server.address);
	ev_timer_init(&t->watchdog, on_watchdog, WATCHDOG_S, 0.0);
	ev_timer_start(t->loop, &t->watchdog);
}

static void begin(call_test_t *t, const step_t *steps, uint32_t count)
{
	begin_with(t, steps, count, 1);
}

static void end(call_test_t *t)
{
	bw_http_client_destroy(t->client);
	step_server_close(&t->server);
	ev_timer_stop(t->loop, &t->watchdog);
	g_free(t->url);
	ev_loop_destroy(t->loop);
}

static void on_done(void *ctx, const bw_http_answer_t *answer)
{
	call_test_t *t = ctx;

	t->outcomes[t->done_count] = answer->outcome;
	t->statuses[t->done_count] = answer->status;
	t->causes[t->done_count] = answer->cause;
	t->done_count++;
	ev_break(t->loop, EVBREAK_ALL);
}

static void start(call_test_t *t, const char *method, const char *body)
{
	bw_http_request_t request = {
		.method = method,
		.url = t->url,
		.body = body,
		.bytes = body ? strlen(body) : 0,
		.stall_ms = STALL_MS,
	};

	bw_http_call(t->client, &request, on_done, t);
}

static void call(call_test_t *t, const char *method, const char *body)
{
	start(t, method, body);
	ev_run(t->loop, 0);
}

typedef struct second_copy_case {
	const char *name;
	const char *method;
	const char *body;
	reaction_t reaction; /**< To the first copy. */
} second_copy_case_t;

static const second_copy_case_t second_copy_cases[] = {
	{ "closed", "POST", "{}", REACT_CLOSE },
	{ "reset", "POST", "{}", REACT_RESET },
	{ "closed, then no connection", "POST", "{}", REACT_CLOSE_ALL },
	{ "no body, closed", "POST", NULL, REACT_CLOSE },
	{ "no body, reset", "DELETE", NULL, REACT_RESET },
	{ "no body, then no connection", "DELETE", NULL, REACT_CLOSE_ALL },
};

/*
 * The server may have carried out the first copy, so what happens to a second
 * one proves nothing.
 */
static void test_refusal_of_a_second_copy_is_no_refusal(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(second_copy_cases); i++) {
		const second_copy_case_t *c = &second_copy_cases[i];
		const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					 { c->reaction, NULL },
					 { REACT_ANSWER, ANSWER_503 } };
		call_test_t t;

		begin(&t, steps, G_N_ELEMENTS(steps));
		call(&t, "POST", "{}");
		call(&t, c->method, c->body);
		if (t.outcomes[1] != BW_HTTP_LOST || t.server.requests != 2)
			print_error("case: %s: outcome %u, status %u, %u "
				    "requests\n",
				    c->name, t.outcomes[1], t.statuses[1],
				    t.server.requests);
		assert_int_equal(t.outcomes[0], BW_HTTP_ANSWERED);
		assert_int_equal(t.outcomes[1], BW_HTTP_LOST);
		assert_int_equal(t.server.requests, 2);
		end(&t);
	}
}

/* Fills the queue of connections that the server doesn't accept any more. */
static void fill_listen_queue(call_test_t *t, int *fds)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	int i;

	ev_io_stop(t->loop, &t->server.accept);
	in.sin_port = htons((uint16_t)t->server.port);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < QUEUE_FULL; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fds[i], (struct sockaddr *)&in, sizeof(in));
	}
}

/* A caller that has to find out what became of its write must not wait for a
 * connection that the write won't use. */
static void test_loss_is_told_without_another_connection(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_CLOSE, NULL } };
	int fds[QUEUE_FULL];
	call_test_t t;
	int i;

	(void)state;
	begin(&t, steps, G_N_ELEMENTS(steps));
	call(&t, "POST", "{}");
	fill_listen_queue(&t, fds);
	call(&t, "POST", "{}");
	assert_int_equal(t.outcomes[1], BW_HTTP_LOST);
	/* Not that it was silent for too long. */
	assert_int_equal(t.causes[1], BW_CAUSE_CLOSED);
	for (i = 0; i < QUEUE_FULL; i++)
		close(fds[i]);
	end(&t);
}

/* The connection that a second copy would take is sound. */
static void test_loss_closes_no_other_connection(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_ANSWER, ANSWER_OK },
					{ REACT_CLOSE, NULL },
					{ REACT_ANSWER, ANSWER_OK } };
	call_test_t t;

	(void)state;
	begin_with(&t, steps, G_N_ELEMENTS(steps), 2);
	start(&t, "POST", "{}");
	start(&t, "POST", "{}");
	while (t.done_count < 2)
		ev_run(t.loop, 0);
	assert_int_equal(t.server.accepted, 2);
	call(&t, "POST", "{}");
	assert_int_equal(t.outcomes[2], BW_HTTP_LOST);
	call(&t, "POST", "{}");
	assert_int_equal(t.outcomes[3], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.accepted, 2);
	end(&t);
}

/* The log must not say "unconnected" of a request that a server may have read.
 */
static void test_cause_of_a_sent_call_is_not_its_next_connection(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_CLOSE_ALL, NULL } };
	static const char *const methods[] = { "DELETE", "GET" };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		call_test_t t;

		begin(&t, steps, G_N_ELEMENTS(steps));
		call(&t, "POST", "{}");
		call(&t, methods[i], NULL);
		assert_int_equal(t.outcomes[1], BW_HTTP_LOST);
		assert_int_equal(t.causes[1], BW_CAUSE_CLOSED);
		end(&t);
	}
}

/* Bytes that arrived before the request was sent can't be its answer. */
static void test_earlier_bytes_are_not_the_answer(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	static const char *const methods[] = { "POST", "GET", "DELETE" };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		call_test_t t;

		begin(&t, steps, G_N_ELEMENTS(steps));
		call(&t, "POST", "{}");
		step_server_send_unasked(&t.server, ANSWER_503);
		call(&t, methods[i], i == 0 ? "{}" : NULL);
		assert_int_equal(t.outcomes[1], BW_HTTP_ANSWERED);
		assert_int_equal(t.statuses[1], 200);
		assert_int_equal(t.server.accepted, 2);
		end(&t);
	}
}

/* Answers 200 with bytes after it that libcurl's last read leaves waiting. */
static char *format_answer_with_more(void)
{
	GString *text =
		g_string_new("HTTP/1.1 200 OK\r\nContent-Length: 16000\r\n"
			     "X-Fill: ");

	while (text->len < RECEIVE_BYTES - 16000 - strlen("\r\n\r\n"))
		g_string_append_c(text, 'x');
	g_string_append(text, "\r\n\r\n");
	while (text->len < RECEIVE_BYTES)
		g_string_append_c(text, ' ');
	g_string_append(text, ANSWER_503);
	return g_string_free(text, FALSE);
}

/* The next call takes a connection at once when many wait for one. */
static void test_earlier_bytes_are_not_the_answer_when_calls_wait(void **state)
{
	char *answer = format_answer_with_more();
	uint32_t odd;
	uint32_t i;

	(void)state;
	for (odd = 0; odd < 2 * BUSY_MAX; odd++) {
		step_t steps[OUTCOMES_MAX];
		call_test_t t;

		for (i = 0; i < OUTCOMES_MAX; i++)
			steps[i] = (step_t){ REACT_ANSWER,
					     i == odd ? answer : ANSWER_OK };
		begin_with(&t, steps, OUTCOMES_MAX, BUSY_MAX);
		for (i = 0; i < OUTCOMES_MAX; i++)
			start(&t, "POST", "{}");
		while (t.done_count < OUTCOMES_MAX)
			ev_run(t.loop, 0);
		for (i = 0; i < OUTCOMES_MAX; i++)
			assert_int_equal(t.statuses[i], 200);
		end(&t);
	}
	g_free(answer);
}

static void on_pause_end(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(call_test_t *t, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_pause_end, seconds, 0.0);
	ev_timer_start(t->loop, &timer);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &timer);
}

static void on_other_done(void *ctx, const bw_http_answer_t *answer)
{
	(void)answer;
	((call_test_t *)ctx)->other_done = true;
}

/* A call that waited for a connection on which unexpected bytes are waiting. It
 * ends before one that began with it and may take a little longer. */
static void test_call_that_starts_again_keeps_its_limit(void **state)
{
	static const step_t steps[] = { { REACT_NOTHING, NULL } };
	bw_http_request_t request = { .method = "POST",
				      .body = "{}",
				      .bytes = 2,
				      .timeout_ms = LIMIT_MS };
	bw_http_request_t other = request;
	char *answer = format_answer_with_more();
	call_test_t t;

	(void)state;
	begin(&t, steps, G_N_ELEMENTS(steps));
	request.url = t.url;
	bw_http_call(t.client, &request, on_done, &t);
	bw_http_call(t.client, &request, on_done, &t);
	other.url = g_strdup_printf("http://127.0.0.2:%u/p", t.server.port);
	other.timeout_ms = LIMIT_MS + STALL_MS / 2;
	bw_http_call(t.client, &other, on_other_done, &t);
	run_for(&t, 0.001 * STALL_MS);
	step_server_send_unasked(&t.server, answer);
	while (t.done_count < 2)
		ev_run(t.loop, 0);
	assert_int_equal(t.outcomes[0], BW_HTTP_ANSWERED);
	assert_int_equal(t.outcomes[1], BW_HTTP_LOST);
	assert_int_equal(t.server.accepted, 3);
	assert_false(t.other_done);
	g_free((char *)other.url);
	end(&t);
	g_free(answer);
}

/* A read has no effect, so it may be sent again, and its caller isn't bothered.
 */
static void test_read_on_a_connection_that_closes_is_sent_again(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_CLOSE, NULL },
					{ REACT_ANSWER, ANSWER_OK } };
	call_test_t t;

	(void)state;
	begin(&t, steps, G_N_ELEMENTS(steps));
	call(&t, "GET", NULL);
	call(&t, "GET", NULL);
	assert_int_equal(t.outcomes[1], BW_HTTP_ANSWERED);
	assert_int_equal(t.statuses[1], 200);
	assert_int_equal(t.server.requests, 3);
	end(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusal_of_a_second_copy_is_no_refusal),
		cmocka_unit_test(test_loss_is_told_without_another_connection),
		cmocka_unit_test(test_loss_closes_no_other_connection),
		cmocka_unit_test(
			test_cause_of_a_sent_call_is_not_its_next_connection),
		cmocka_unit_test(test_earlier_bytes_are_not_the_answer),
		cmocka_unit_test(
			test_earlier_bytes_are_not_the_answer_when_calls_wait),
		cmocka_unit_test(test_call_that_starts_again_keeps_its_limit),
		cmocka_unit_test(
			test_read_on_a_connection_that_closes_is_sent_again),
	};

	curl_global_init(CURL_GLOBAL_NOTHING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
