/*
 * The client for short calls over kept connections: what a call's outcome is
 * for each way in which a server can fail, and how connections are reused.
 */
#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "net/keephttp.h"
#include "step_server.h"

#define TIMEOUT_MS	    300
#define LONG_TIMEOUT_MS	    5000
#define ALL_CONNECTIONS_MAX 2U
/** Addresses of the loopback that reach the server. */
#define SERVERS		4U
#define CONNECTIONS_MAX 2U
#define WATCHDOG_S	20.0
#define CALLS_MAX	8U
#define ANSWER(body)	"HTTP/1.1 200 OK\r\nContent-Length: " body
#define ANSWER_OK	ANSWER("2\r\n\r\nok")
#define ANSWER_CLOSE                                                           \
	"HTTP/1.1 200 OK\r\nConnection: close\r\n"                             \
	"Content-Length: 2\r\n\r\nok"
#define ANSWER_CHUNKED                                                         \
	"HTTP/1.1 200 OK\r\n"                                                  \
	"Transfer-Encoding: chunked\r\n\r\n"                                   \
	"1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
#define ANSWER_CONTINUE	 "HTTP/1.1 100 Continue\r\n\r\n" ANSWER_OK
#define ANSWER_CONFLICT	 "HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\nok"
#define ANSWER_NO_LENGTH "HTTP/1.0 200 OK\r\n\r\nok"

typedef struct keep_test {
	struct ev_loop *loop;
	bw_keephttp_t *client;
	step_server_t server;
	ev_timer watchdog;
	uint32_t done_count;
	uint32_t expected_count;
	bw_http_outcome_t outcomes[CALLS_MAX];
	uint32_t status;
	char body[64];
	size_t body_bytes;
} keep_test_t;

static void on_watchdog(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)timer;
	(void)revents;
	fail_msg("the calls did not end");
}

static void begin(keep_test_t *t, const step_t *steps, uint32_t count)
{
	*t = (keep_test_t){ .loop = ev_loop_new(0) };
	t->client = bw_keephttp_create(t->loop, CONNECTIONS_MAX,
				       ALL_CONNECTIONS_MAX);
	step_server_open(&t->server, t->loop, steps, count);
	ev_timer_init(&t->watchdog, on_watchdog, WATCHDOG_S, 0.0);
	ev_timer_start(t->loop, &t->watchdog);
}

static void end(keep_test_t *t)
{
	bw_keephttp_destroy(t->client);
	step_server_close(&t->server);
	ev_timer_stop(t->loop, &t->watchdog);
	ev_loop_destroy(t->loop);
}

static void on_done(void *ctx, const bw_http_answer_t *answer)
{
	keep_test_t *t = ctx;

	t->outcomes[t->done_count++] = answer->outcome;
	t->status = answer->status;
	t->body_bytes = answer->bytes;
	g_strlcpy(t->body, answer->body, sizeof(t->body));
	if (t->done_count == t->expected_count)
		ev_break(t->loop, EVBREAK_ALL);
}

static void start_call_with(keep_test_t *t, const char *address,
			    int64_t timeout_ms, int64_t answer_ms,
			    bool kept_only)
{
	bw_keephttp_request_t request = {
		.address = address,
		.path = "/p",
		.headers = "X-Name: value\r\n",
		.body = "{}",
		.bytes = 2,
		.timeout_ms = timeout_ms,
		.kept_only = kept_only,
		.answer_ms = answer_ms,
	};

	t->expected_count++;
	bw_keephttp_call(t->client, &request, on_done, t);
}

static void start_call(keep_test_t *t, const char *address, int64_t timeout_ms)
{
	start_call_with(t, address, timeout_ms, 0, false);
}

/* Starts a call that must not use a new connection. */
static void start_kept_call(keep_test_t *t)
{
	start_call_with(t, t->server.address, LONG_TIMEOUT_MS, 0, true);
}

/* Runs until all calls have ended. */
static void wait_for_calls(keep_test_t *t)
{
	if (t->done_count < t->expected_count)
		ev_run(t->loop, 0);
}

static void on_pause_end(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(keep_test_t *t, double seconds)
{
	ev_timer pause;

	ev_timer_init(&pause, on_pause_end, seconds, 0.0);
	ev_timer_start(t->loop, &pause);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &pause);
}

typedef struct outcome_case {
	const char *name;
	step_t step;
	bw_http_outcome_t outcome;
	uint32_t status;
} outcome_case_t;

static const outcome_case_t outcome_cases[] = {
	{ "answer", { REACT_ANSWER, ANSWER_OK }, BW_HTTP_ANSWERED, 200 },
	{ "answer and close",
	  { REACT_ANSWER_AND_CLOSE, ANSWER_CLOSE },
	  BW_HTTP_ANSWERED,
	  200 },
	{ "chunks", { REACT_ANSWER, ANSWER_CHUNKED }, BW_HTTP_ANSWERED, 200 },
	{ "continue",
	  { REACT_ANSWER, ANSWER_CONTINUE },
	  BW_HTTP_ANSWERED,
	  200 },
	{ "ended by the close",
	  { REACT_ANSWER_AND_CLOSE, ANSWER_NO_LENGTH },
	  BW_HTTP_ANSWERED,
	  200 },
	{ "conflict",
	  { REACT_ANSWER, ANSWER_CONFLICT },
	  BW_HTTP_ANSWERED,
	  409 },
	{ "closed", { REACT_CLOSE, NULL }, BW_HTTP_LOST, 0 },
	{ "cut short",
	  { REACT_ANSWER_AND_CLOSE, ANSWER("9\r\n\r\nok") },
	  BW_HTTP_LOST,
	  0 },
	{ "not HTTP",
	  { REACT_ANSWER, "\x01\x02 ok\r\n\r\n" },
	  BW_HTTP_LOST,
	  0 },
	{ "bad length",
	  { REACT_ANSWER, ANSWER("x\r\n\r\nok") },
	  BW_HTTP_LOST,
	  0 },
	{ "silent", { REACT_NOTHING, NULL }, BW_HTTP_LOST, 0 },
};

static void test_outcomes(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(outcome_cases); i++) {
		const outcome_case_t *c = &outcome_cases[i];
		keep_test_t t;

		begin(&t, &c->step, 1);
		start_call(&t, t.server.address, TIMEOUT_MS);
		wait_for_calls(&t);
		if (t.outcomes[0] != c->outcome || t.status != c->status)
			print_error("case: %s: %u %u\n", c->name, t.outcomes[0],
				    t.status);
		assert_int_equal(t.outcomes[0], c->outcome);
		assert_int_equal(t.status, c->status);
		if (c->status > 0)
			assert_string_equal(t.body, "ok");
		end(&t);
	}
}

static void test_request_is_complete(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;
	char *expected;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	expected = g_strdup_printf("POST /p HTTP/1.1\r\nHost: %s\r\n"
				   "X-Name: value\r\nContent-Length: 2\r\n\r\n"
				   "{}",
				   t.server.address);
	assert_string_equal(t.server.last_request->str, expected);
	g_free(expected);
	end(&t);
}

static void test_refused_connection_is_not_sent(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, "127.0.0.1:1", LONG_TIMEOUT_MS);
	start_call(&t, "not an address", LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[0], BW_HTTP_NOT_SENT);
	assert_int_equal(t.outcomes[1], BW_HTTP_NOT_SENT);
	end(&t);
}

static void test_connection_is_kept(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, steps, 1);
	for (i = 0; i < 4; i++) {
		start_call(&t, t.server.address, LONG_TIMEOUT_MS);
		wait_for_calls(&t);
		assert_int_equal(t.outcomes[i], BW_HTTP_ANSWERED);
	}
	assert_int_equal(t.server.accepted, 1);
	end(&t);
}

static void test_call_after_an_idle_close_uses_a_new_connection(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER_AND_CLOSE, ANSWER_OK },
					{ REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 2);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	run_for(&t, 0.05);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[1], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.accepted, 2);
	end(&t);
}

/* The server may have carried the request out, so it is not sent again. */
static void test_call_on_a_kept_connection_that_closes_is_lost(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_CLOSE, NULL },
					{ REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, steps, G_N_ELEMENTS(steps));
	for (i = 0; i < 3; i++) {
		start_call(&t, t.server.address, LONG_TIMEOUT_MS);
		wait_for_calls(&t);
	}
	assert_int_equal(t.outcomes[1], BW_HTTP_LOST);
	assert_int_equal(t.outcomes[2], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.requests, 3);
	end(&t);
}

/* Bytes that arrived before the request was sent can't be its answer. */
static void test_earlier_bytes_are_not_the_answer(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	step_server_send_unasked(&t.server, ANSWER_CONFLICT);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[1], BW_HTTP_ANSWERED);
	assert_int_equal(t.status, 200);
	assert_int_equal(t.server.accepted, 2);
	end(&t);
}

/* The worker has not received an order that finds its connection closed. */
static void test_call_after_a_close_that_was_not_read_is_answered(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	step_server_drop_first(&t.server);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[1], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.accepted, 2);
	end(&t);
}

static void test_calls_beyond_the_connections_wait(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, steps, 1);
	for (i = 0; i < CALLS_MAX; i++)
		start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	for (i = 0; i < CALLS_MAX; i++)
		assert_int_equal(t.outcomes[i], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.accepted, CONNECTIONS_MAX);
	end(&t);
}

/*
 * Calls whose answers are lost leave their connections to those that wait, long
 * before the end of their time, and the time of those counts from then on.
 */
static void test_lost_answers_do_not_hold_up_other_calls(void **state)
{
	static const step_t steps[] = { { REACT_NOTHING, NULL },
					{ REACT_NOTHING, NULL },
					{ REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;
	int64_t began_ms;
	uint32_t i;

	(void)state;
	begin(&t, steps, G_N_ELEMENTS(steps));
	began_ms = bw_clock_now_ms();
	for (i = 0; i < CONNECTIONS_MAX + 2; i++)
		start_call_with(&t, t.server.address, LONG_TIMEOUT_MS,
				TIMEOUT_MS, false);
	wait_for_calls(&t);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		assert_int_equal(t.outcomes[i], BW_HTTP_LOST);
	for (; i < CONNECTIONS_MAX + 2; i++)
		assert_int_equal(t.outcomes[i], BW_HTTP_ANSWERED);
	assert_true(bw_clock_now_ms() - began_ms < LONG_TIMEOUT_MS / 2);
	end(&t);
}

/* Connections that fill the queue of a server that accepts none. */
#define QUEUE_FILL 2

static int open_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* While no connection is established, nothing was sent: no answer is late. */
static void test_connecting_is_no_wait_for_an_answer(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(in);
	int server = open_socket();
	int fill[QUEUE_FILL];
	keep_test_t t;
	int64_t began_ms;
	uint32_t i;

	(void)state;
	begin(&t, steps, 1);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(server, (struct sockaddr *)&in, bytes), 0);
	assert_int_equal(listen(server, 0), 0);
	getsockname(server, (struct sockaddr *)&in, &bytes);
	for (i = 0; i < QUEUE_FILL; i++) {
		fill[i] = open_socket();
		connect(fill[i], (struct sockaddr *)&in, bytes);
	}
	g_snprintf(t.server.address, sizeof(t.server.address), "127.0.0.1:%u",
		   ntohs(in.sin_port));
	began_ms = bw_clock_now_ms();
	start_call_with(&t, t.server.address, TIMEOUT_MS, 1, false);
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[0], BW_HTTP_NOT_SENT);
	assert_true(bw_clock_now_ms() - began_ms >= TIMEOUT_MS);
	for (i = 0; i < QUEUE_FILL; i++)
		close(fill[i]);
	close(server);
	end(&t);
}

/* More servers than the limit has places: each keeps its connection. */
static void test_connections_to_many_servers_are_kept(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;
	char address[64];
	uint32_t i;

	(void)state;
	begin(&t, steps, 1);
	for (i = 0; i < 2 * SERVERS; i++) {
		g_snprintf(address, sizeof(address), "127.0.0.%u:%u",
			   1 + i % SERVERS, t.server.port);
		start_call(&t, address, LONG_TIMEOUT_MS);
		wait_for_calls(&t);
		assert_int_equal(t.outcomes[i], BW_HTTP_ANSWERED);
	}
	assert_int_equal(t.server.accepted, SERVERS);
	end(&t);
}

/* The third call never got a connection, so it had no effect. */
static void test_call_that_waited_in_vain_is_not_sent(void **state)
{
	static const step_t steps[] = { { REACT_NOTHING, NULL } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	start_call(&t, t.server.address, TIMEOUT_MS);
	t.expected_count = 1;
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[0], BW_HTTP_NOT_SENT);
	assert_int_equal(t.server.requests, 2);
	/* Destroying the client ends the others without their callbacks. */
	end(&t);
	assert_int_equal(t.done_count, 1);
}

/* The server that a new connection reaches may have restarted. */
static void test_kept_call_opens_no_connection(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_kept_call(&t);
	/* The callback comes from the event loop. */
	assert_int_equal(t.done_count, 0);
	wait_for_calls(&t);
	run_for(&t, 0.05);
	assert_int_equal(t.outcomes[0], BW_HTTP_NOT_SENT);
	assert_int_equal(t.server.accepted, 0);
	end(&t);
}

static void test_kept_call_uses_a_connection_that_answered(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	start_kept_call(&t);
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[1], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.accepted, 1);
	end(&t);
}

static void test_kept_call_after_an_idle_close_is_not_sent(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER_AND_CLOSE, ANSWER_OK },
					{ REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 2);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	run_for(&t, 0.05);
	start_kept_call(&t);
	wait_for_calls(&t);
	run_for(&t, 0.05);
	assert_int_equal(t.outcomes[1], BW_HTTP_NOT_SENT);
	assert_int_equal(t.server.accepted, 1);
	assert_int_equal(t.server.requests, 1);
	end(&t);
}

/* The server has restarted: the call on its old connection reaches nobody. */
static void test_kept_call_does_not_reach_the_next_boot(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	step_server_drop_first(&t.server);
	start_kept_call(&t);
	wait_for_calls(&t);
	run_for(&t, 0.05);
	assert_int_not_equal(t.outcomes[1], BW_HTTP_ANSWERED);
	assert_int_equal(t.server.accepted, 1);
	assert_int_equal(t.server.requests, 1);
	end(&t);
}

/* A connection that is being opened or has a call might not answer. */
static void test_kept_call_beside_a_pending_one_does_not_wait(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_NOTHING, NULL } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 2);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	wait_for_calls(&t);
	start_call(&t, t.server.address, LONG_TIMEOUT_MS);
	start_kept_call(&t);
	t.expected_count = 2;
	wait_for_calls(&t);
	assert_int_equal(t.outcomes[1], BW_HTTP_NOT_SENT);
	run_for(&t, 0.05);
	assert_int_equal(t.server.requests, 2);
	assert_int_equal(t.server.accepted, 1);
	end(&t);
}

static void test_kept_call_ends_with_its_client(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK } };
	keep_test_t t;

	(void)state;
	begin(&t, steps, 1);
	start_kept_call(&t);
	end(&t);
	assert_int_equal(t.done_count, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_request_is_complete),
		cmocka_unit_test(test_refused_connection_is_not_sent),
		cmocka_unit_test(test_connection_is_kept),
		cmocka_unit_test(
			test_call_after_an_idle_close_uses_a_new_connection),
		cmocka_unit_test(
			test_call_on_a_kept_connection_that_closes_is_lost),
		cmocka_unit_test(test_earlier_bytes_are_not_the_answer),
		cmocka_unit_test(
			test_call_after_a_close_that_was_not_read_is_answered),
		cmocka_unit_test(test_calls_beyond_the_connections_wait),
		cmocka_unit_test(test_connections_to_many_servers_are_kept),
		cmocka_unit_test(test_lost_answers_do_not_hold_up_other_calls),
		cmocka_unit_test(test_connecting_is_no_wait_for_an_answer),
		cmocka_unit_test(test_call_that_waited_in_vain_is_not_sent),
		cmocka_unit_test(test_kept_call_opens_no_connection),
		cmocka_unit_test(
			test_kept_call_uses_a_connection_that_answered),
		cmocka_unit_test(
			test_kept_call_after_an_idle_close_is_not_sent),
		cmocka_unit_test(test_kept_call_does_not_reach_the_next_boot),
		cmocka_unit_test(
			test_kept_call_beside_a_pending_one_does_not_wait),
		cmocka_unit_test(test_kept_call_ends_with_its_client),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
