/*
 * Calls to the store over a slow link: answers that arrive in pieces over a
 * time longer than a call may be silent, and answers that stop.
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

#include "platform.h"

/** Keys of the page that the server sends. */
#define PAGE_KEYS 40U
/** The 16 pieces take 1.6 s, a piece a tenth of a second. */
#define PIECES	       16U
#define PIECE_S	       0.1
#define WATCHDOG_S     20.0
#define REQUEST_BYTES  4096U
#define LISTEN_COUNT   8
#define NO_LIMIT       UINT32_MAX
#define WATCH_ANSWER_S 1.4
/** A value that a server with slow reads takes in about 2 s. */
#define VALUE_BYTES	     ((size_t)450000)
#define READ_S		     0.05
#define READ_BYTES	     16384U
#define RECEIVE_BUFFER_BYTES 32768
/** An upload that takes about a second, 256 KB in each 5 ms. */
#define UPLOAD_BYTES	   ((size_t)48 << 20)
#define UPLOAD_PIECE_BYTES ((size_t)256 << 10)
#define UPLOAD_PIECE_S	   0.005
#define UPLOAD_STALL_MS	   500

/** A server that sends one answer in pieces. */
typedef struct slow_server {
	struct ev_loop *loop;
	int listen_fd;
	int fd; /**< Of the connection, or -1. */
	ev_io accept;
	ev_io request;
	ev_timer send;
	GString *answer;
	size_t sent;
	uint32_t pieces_max; /**< After these the server goes silent. */
	uint32_t pieces;
	double first_s; /**< Delay of the first piece. */
	size_t request_bytes; /**< Read slowly before the answer; 0: none. */
	size_t taken; /**< Bytes of the request read so far. */
	ev_timer take;
	bool reads_slowly; /**< The test reads from the connection. */
	char address[64];
} slow_server_t;

typedef struct slow_test {
	struct ev_loop *loop;
	slow_server_t server;
	bw_counters_t counters;
	bw_store_t store;
	bool replied;
	bw_status_t status;
	size_t kv_count;
	int64_t revision;
} slow_test_t;

static void on_send(struct ev_loop *loop, ev_timer *timer, int revents)
{
	slow_server_t *s = timer->data;
	size_t piece = s->answer->len / PIECES + 1;
	size_t bytes = MIN(piece, s->answer->len - s->sent);

	(void)revents;
	if (bytes == 0 || s->pieces == s->pieces_max) {
		ev_timer_stop(loop, timer);
		return;
	}
	/* A client that gave up has closed the connection. */
	if (send(s->fd, s->answer->str + s->sent, bytes, MSG_NOSIGNAL) < 0)
		ev_timer_stop(loop, timer);
	s->sent += bytes;
	s->pieces++;
}

/* Reads a long request bit by bit, as a slow link would deliver it. */
static void on_take(struct ev_loop *loop, ev_timer *timer, int revents)
{
	slow_server_t *s = timer->data;
	char buffer[READ_BYTES];
	ssize_t bytes = recv(s->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)revents;
	s->taken += bytes > 0 ? (size_t)bytes : 0;
	if (s->taken < s->request_bytes)
		return;
	ev_timer_stop(loop, timer);
	ev_timer_start(loop, &s->send);
}

static void on_request(struct ev_loop *loop, ev_io *io, int revents)
{
	slow_server_t *s = io->data;
	char buffer[REQUEST_BYTES];

	(void)revents;
	if (s->request_bytes > 0) {
		ev_io_stop(loop, io);
		ev_timer_start(loop, &s->take);
		return;
	}
	assert_true(read(s->fd, buffer, sizeof(buffer)) >= 0);
	ev_io_stop(loop, io);
	ev_timer_set(&s->send, s->first_s, PIECE_S);
	ev_timer_start(loop, &s->send);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	slow_server_t *s = io->data;

	(void)revents;
	s->fd = accept(s->listen_fd, NULL, NULL);
	assert_true(s->fd >= 0);
	ev_io_stop(loop, io);
	if (s->reads_slowly)
		return;
	ev_io_set(&s->request, s->fd, EV_READ);
	ev_io_start(loop, &s->request);
}

/* Takes a port that the system chooses. */
static void server_listen(slow_server_t *s)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(in);
	int buffer_bytes = RECEIVE_BUFFER_BYTES;

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert_int_equal(setsockopt(s->listen_fd, SOL_SOCKET, SO_RCVBUF,
				    &buffer_bytes, sizeof(buffer_bytes)),
			 0);
	assert_int_equal(bind(s->listen_fd, (struct sockaddr *)&in, bytes), 0);
	assert_int_equal(listen(s->listen_fd, LISTEN_COUNT), 0);
	assert_int_equal(
		getsockname(s->listen_fd, (struct sockaddr *)&in, &bytes), 0);
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		   ntohs(in.sin_port));
}

static void server_start(slow_server_t *s, struct ev_loop *loop)
{
	s->loop = loop;
	s->fd = -1;
	s->pieces_max = NO_LIMIT;
	s->first_s = PIECE_S;
	server_listen(s);
	ev_io_init(&s->accept, on_accept, s->listen_fd, EV_READ);
	ev_io_init(&s->request, on_request, -1, EV_READ);
	ev_timer_init(&s->send, on_send, PIECE_S, PIECE_S);
	ev_timer_init(&s->take, on_take, READ_S, READ_S);
	s->take.data = s;
	s->accept.data = s;
	s->request.data = s;
	s->send.data = s;
	ev_io_start(loop, &s->accept);
}

static void server_stop(slow_server_t *s)
{
	ev_io_stop(s->loop, &s->accept);
	ev_io_stop(s->loop, &s->request);
	ev_timer_stop(s->loop, &s->send);
	ev_timer_stop(s->loop, &s->take);
	if (s->fd >= 0)
		close(s->fd);
	close(s->listen_fd);
	g_string_free(s->answer, TRUE);
}

static GString *answer_of(const char *body)
{
	GString *answer = g_string_new(NULL);

	g_string_printf(answer,
			"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
			"Connection: close\r\n\r\n%s",
			strlen(body), body);
	return answer;
}

static GString *page_answer(void)
{
	GString *body = g_string_new("{\"items\":[");
	GString *answer;
	uint32_t i;

	for (i = 0; i < PAGE_KEYS; i++)
		g_string_append_printf(body,
				       "%s{\"key\":\"k%02u\",\"value\":"
				       "\"YQ==\",\"revision\":%u}",
				       i ? "," : "", i, i + 1);
	g_string_append(body, "],\"has_more\":false,\"at_rev\":77}");
	answer = answer_of(body->str);
	g_string_free(body, TRUE);
	return answer;
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	slow_test_t *t = ctx;

	t->replied = true;
	t->status = reply->status;
	t->kv_count = reply->kv_count;
	t->revision = reply->revision;
	ev_break(t->loop, EVBREAK_ALL);
}

static void on_watchdog(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run(slow_test_t *t)
{
	ev_timer watchdog;

	t->replied = false;
	ev_timer_init(&watchdog, on_watchdog, WATCHDOG_S, 0.0);
	ev_timer_start(t->loop, &watchdog);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &watchdog);
	assert_true(t->replied);
}

static slow_test_t *test_start(GString *answer)
{
	slow_test_t *t = g_new0(slow_test_t, 1);

	t->loop = ev_loop_new(0);
	server_start(&t->server, t->loop);
	t->server.answer = answer;
	t->store =
		platform_store_create(t->loop, t->server.address, &t->counters);
	return t;
}

static void test_stop(slow_test_t *t)
{
	t->store.ops->destroy(t->store.impl);
	server_stop(&t->server);
	ev_loop_destroy(t->loop);
	g_free(t);
}

static void read_page(slow_test_t *t)
{
	bw_store_page_t page = { .prefix = "k" };

	t->store.ops->page(t->store.impl, &page, on_reply, t);
	run(t);
}

static void test_page_longer_than_a_timeout_arrives_whole(void **state)
{
	slow_test_t *t = test_start(page_answer());

	(void)state;
	read_page(t);
	assert_int_equal(t->status, BW_OK);
	assert_int_equal(t->kv_count, PAGE_KEYS);
	assert_int_equal(t->revision, 77);
	test_stop(t);
}

static void test_page_that_stops_is_lost(void **state)
{
	slow_test_t *t = test_start(page_answer());

	(void)state;
	t->server.pieces_max = PIECES / 2;
	read_page(t);
	assert_int_equal(t->status, BW_ELOST);
	test_stop(t);
}

static void test_page_never_answered_is_lost(void **state)
{
	slow_test_t *t = test_start(page_answer());

	(void)state;
	t->server.pieces_max = 0;
	read_page(t);
	assert_int_equal(t->status, BW_ELOST);
	assert_int_equal(t->server.sent, 0);
	test_stop(t);
}

/* The store answers a watch after its wait, longer than another silence. */
static void test_watch_may_wait_for_its_answer(void **state)
{
	slow_test_t *t = test_start(answer_of("{\"events\":[],\"at_rev\":9}"));

	(void)state;
	t->server.first_s = WATCH_ANSWER_S;
	t->store.ops->watch(t->store.impl, "k", 4, on_reply, t);
	run(t);
	assert_int_equal(t->status, BW_OK);
	assert_int_equal(t->revision, 9);
	/* Nobody accepts the next poll's connection, so the watch ends. */
	run(t);
	assert_int_equal(t->status, BW_ELOST);
	test_stop(t);
}

static void test_watch_never_answered_is_lost(void **state)
{
	slow_test_t *t = test_start(answer_of("{}"));

	(void)state;
	t->server.pieces_max = 0;
	t->store.ops->watch(t->store.impl, "k", 4, on_reply, t);
	run(t);
	assert_int_equal(t->status, BW_ELOST);
	test_stop(t);
}

/* A late renewal must be known in time, so a lease call has a total limit. */
static void test_lease_call_has_a_limit_in_all(void **state)
{
	slow_test_t *t = test_start(answer_of("{\"lease\":3,\"ttl_ms\":3000}"));

	(void)state;
	t->store.ops->lease_keepalive(t->store.impl, 3, on_reply, t);
	run(t);
	assert_int_equal(t->status, BW_ELOST);
	test_stop(t);
}

/*
 * What the kernel holds of a request has not been sent yet, so a long write,
 * such as a pool's state, is not silent while the link carries it.
 */
static void test_long_write_is_not_silent_in_the_kernel(void **state)
{
	slow_test_t *t = test_start(answer_of("{\"revision\":9}"));
	char *value = g_strnfill(VALUE_BYTES, 'v');
	bw_store_write_t write = { .key = "k",
				   .value = value,
				   .bytes = VALUE_BYTES };
	bw_store_txn_t txn = { .writes = &write, .write_count = 1 };

	(void)state;
	/* In base64. */
	t->server.request_bytes = VALUE_BYTES / 3 * 4;
	t->store.ops->txn(t->store.impl, &txn, on_reply, t);
	run(t);
	assert_int_equal(t->status, BW_OK);
	assert_int_equal(t->revision, 9);
	g_free(value);
	test_stop(t);
}

static void on_listed(void *ctx, bw_status_t status,
		      const bw_machine_t *machines, uint32_t count)
{
	slow_test_t *t = ctx;

	(void)machines;
	t->replied = true;
	t->status = status;
	t->kv_count = count;
	ev_break(t->loop, EVBREAK_ALL);
}

static void test_list_of_machines_may_take_long(void **state)
{
	slow_test_t *t = test_start(
		answer_of("{\"machines\":[{\"machine\":\"m1\"},"
			  "{\"machine\":\"m2\"}],\"next_token\":\"\"}"));
	bw_machine_api_t api =
		platform_machines_create(t->loop, t->server.address);

	(void)state;
	api.list(api.impl, on_listed, t);
	run(t);
	assert_int_equal(t->status, BW_OK);
	assert_int_equal(t->kv_count, 2);
	platform_machines_destroy(&api);
	test_stop(t);
}

typedef struct slow_reader {
	slow_server_t *server;
	ev_timer receive;
	char *piece;
	size_t received;
} slow_reader_t;

static void on_receive(struct ev_loop *loop, ev_timer *timer, int revents)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	slow_reader_t *r = timer->data;
	ssize_t n;

	(void)revents;
	if (r->server->fd < 0)
		return;
	n = recv(r->server->fd, r->piece, UPLOAD_PIECE_BYTES, MSG_DONTWAIT);
	r->received += n > 0 ? (size_t)n : 0;
	if (n == 0)
		ev_timer_stop(loop, timer);
	/* The header makes it more than the body. */
	if (n > 0 && r->received > UPLOAD_BYTES) {
		ev_timer_stop(loop, timer);
		assert_true(send(r->server->fd, answer, strlen(answer),
				 MSG_NOSIGNAL) > 0);
	}
}

static void on_uploaded(void *ctx, const bw_http_answer_t *answer)
{
	slow_test_t *t = ctx;

	t->replied = true;
	t->status = answer->outcome == BW_HTTP_ANSWERED ? BW_OK : BW_ELOST;
	ev_break(t->loop, EVBREAK_ALL);
}

static void test_bytes_that_are_sent_are_no_silence(void **state)
{
	slow_test_t *t = test_start(g_string_new(NULL));
	slow_reader_t reader = { .server = &t->server,
				 .piece = g_malloc(UPLOAD_PIECE_BYTES) };
	bw_http_client_t *client = bw_http_client_create(t->loop, 1);
	char *body = g_strnfill(UPLOAD_BYTES, 'x');
	char *url = g_strconcat("http://", t->server.address, "/", NULL);
	bw_http_request_t request = { .method = "POST",
				      .url = url,
				      .body = body,
				      .bytes = UPLOAD_BYTES,
				      .stall_ms = UPLOAD_STALL_MS };

	(void)state;
	t->server.reads_slowly = true;
	ev_timer_init(&reader.receive, on_receive, UPLOAD_PIECE_S,
		      UPLOAD_PIECE_S);
	reader.receive.data = &reader;
	ev_timer_start(t->loop, &reader.receive);
	bw_http_call(client, &request, on_uploaded, t);
	run(t);
	assert_int_equal(t->status, BW_OK);
	assert_true(reader.received > UPLOAD_BYTES);
	ev_timer_stop(t->loop, &reader.receive);
	bw_http_client_destroy(client);
	g_free(reader.piece);
	g_free(body);
	g_free(url);
	test_stop(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_page_longer_than_a_timeout_arrives_whole),
		cmocka_unit_test(test_page_that_stops_is_lost),
		cmocka_unit_test(test_page_never_answered_is_lost),
		cmocka_unit_test(test_watch_may_wait_for_its_answer),
		cmocka_unit_test(test_watch_never_answered_is_lost),
		cmocka_unit_test(test_lease_call_has_a_limit_in_all),
		cmocka_unit_test(test_long_write_is_not_silent_in_the_kernel),
		cmocka_unit_test(test_list_of_machines_may_take_long),
		cmocka_unit_test(test_bytes_that_are_sent_are_no_silence),
	};

	curl_global_init(CURL_GLOBAL_NOTHING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
