/* Calls to the store beside others that hold connections for long: a server
 * that leaves some kinds of calls unanswered, or answers them late. */
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

/** More pools than a node has connections for calls that end soon. */
#define WATCHES 200U
#define READS	200U
#define PAGES	100U
/** Rounds of pages of this length take longer than a call may be silent. */
#define PAGE_S	      0.3
#define REQUEST_BYTES 4096U
#define LISTEN_COUNT  512

typedef struct server {
	struct ev_loop *loop;
	int listen_fd;
	ev_io accept;
	GPtrArray *connections; /**< connection_t. */
	uint32_t waiting; /**< Calls that were left unanswered. */
	char address[64];
} server_t;

typedef struct connection {
	ev_io io;
	ev_timer answer; /**< Of a page. */
	server_t *server;
} connection_t;

typedef struct calls_test {
	struct ev_loop *loop;
	server_t server;
	bw_counters_t counters;
	bw_store_t store;
	uint32_t replies;
	uint32_t expected; /**< Replies after which the loop ends. */
	uint32_t failures; /**< Replies with a status other than BW_OK. */
} calls_test_t;

static void answer(const connection_t *c)
{
	static const char text[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
		"{\"lease\":7,\"ttl_ms\":2000,\"revision\":9}  ";

	/* A client that gave up has closed the connection. */
	(void)!send(c->io.fd, text, strlen(text), MSG_NOSIGNAL);
}

static void on_answer_due(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	answer(timer->data);
}

static void connection_end(struct ev_loop *loop, connection_t *c)
{
	ev_io_stop(loop, &c->io);
	ev_timer_stop(loop, &c->answer);
	close(c->io.fd);
	g_ptr_array_remove(c->server->connections, c);
	g_free(c);
}

/* Watches and reads of one key get no answer, pages a late one. */
static void on_request(struct ev_loop *loop, ev_io *io, int revents)
{
	connection_t *c = io->data;
	char buffer[REQUEST_BYTES + 1];
	ssize_t bytes = recv(io->fd, buffer, REQUEST_BYTES, 0);

	(void)revents;
	if (bytes <= 0) {
		connection_end(loop, c);
		return;
	}
	buffer[bytes] = '\0';
	if (strstr(buffer, "/v1/kv-range")) {
		ev_timer_set(&c->answer, PAGE_S, 0.0);
		ev_timer_start(loop, &c->answer);
	} else if (strstr(buffer, "/v1/kv-watch") ||
		   strstr(buffer, "/v1/kv-key")) {
		c->server->waiting++;
	} else {
		answer(c);
	}
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	server_t *s = io->data;
	connection_t *c = g_new0(connection_t, 1);
	int fd = accept(s->listen_fd, NULL, NULL);

	(void)revents;
	assert_true(fd >= 0);
	c->server = s;
	ev_timer_init(&c->answer, on_answer_due, PAGE_S, 0.0);
	c->answer.data = c;
	ev_io_init(&c->io, on_request, fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
	g_ptr_array_add(s->connections, c);
}

static void server_open(server_t *s, struct ev_loop *loop)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(in);

	s->loop = loop;
	s->connections = g_ptr_array_new();
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(s->listen_fd, (struct sockaddr *)&in, bytes), 0);
	assert_int_equal(listen(s->listen_fd, LISTEN_COUNT), 0);
	assert_int_equal(
		getsockname(s->listen_fd, (struct sockaddr *)&in, &bytes), 0);
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		   ntohs(in.sin_port));
	ev_io_init(&s->accept, on_accept, s->listen_fd, EV_READ);
	s->accept.data = s;
	ev_io_start(loop, &s->accept);
}

static void server_close(server_t *s)
{
	while (s->connections->len > 0)
		connection_end(s->loop, g_ptr_array_index(s->connections, 0));
	g_ptr_array_free(s->connections, TRUE);
	ev_io_stop(s->loop, &s->accept);
	close(s->listen_fd);
}

static void begin(calls_test_t *t)
{
	*t = (calls_test_t){ .loop = ev_loop_new(0) };
	server_open(&t->server, t->loop);
	t->store =
		platform_store_create(t->loop, t->server.address, &t->counters);
}

static void end(calls_test_t *t)
{
	t->store.ops->destroy(t->store.impl);
	server_close(&t->server);
	ev_loop_destroy(t->loop);
	curl_global_cleanup();
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	calls_test_t *t = ctx;

	t->replies++;
	t->failures += reply->status != BW_OK;
	if (t->replies == t->expected)
		ev_break(t->loop, EVBREAK_ALL);
}

/* The calls that wait end with the test. */
static void on_unanswered(void *ctx, const bw_store_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

static void expect_replies(calls_test_t *t, uint32_t count)
{
	t->replies = 0;
	t->expected = count;
	ev_run(t->loop, 0);
}

static void watch_many(calls_test_t *t)
{
	uint32_t i;

	for (i = 0; i < WATCHES; i++)
		t->store.ops->watch(t->store.impl, "bw/q/", 4, on_unanswered,
				    NULL);
}

static void read_pages(calls_test_t *t, bw_store_done_fn done)
{
	bw_store_page_t page = { .prefix = "bw/q/" };
	uint32_t i;

	for (i = 0; i < PAGES; i++)
		t->store.ops->page(t->store.impl, &page, done, t);
}

static void run_txn(calls_test_t *t)
{
	bw_store_write_t write = { "k", "a", 1, 0 };
	bw_store_txn_t txn = { .writes = &write, .write_count = 1 };

	t->store.ops->txn(t->store.impl, &txn, on_reply, t);
}

/* A node that owned more pools than it had connections lost its lease, as the
 * renewals waited behind its watches. */
static void test_watches_keep_a_lease_from_its_renewal(void **state)
{
	calls_test_t t;

	(void)state;
	begin(&t);
	watch_many(&t);
	t.store.ops->lease_keepalive(t.store.impl, 7, on_reply, &t);
	expect_replies(&t, 1);
	assert_int_equal(t.failures, 0);
	end(&t);
}

/* Nor could it save or claim a pool. */
static void test_watches_keep_a_pool_from_its_save(void **state)
{
	calls_test_t t;

	(void)state;
	begin(&t);
	watch_many(&t);
	run_txn(&t);
	expect_replies(&t, 1);
	assert_int_equal(t.failures, 0);
	end(&t);
}

/* The same if reads get no answer. */
static void test_silent_reads_keep_a_lease_from_its_renewal(void **state)
{
	calls_test_t t;
	uint32_t i;

	(void)state;
	begin(&t);
	for (i = 0; i < READS; i++)
		t.store.ops->get(t.store.impl, "k", on_unanswered, NULL);
	t.store.ops->lease_keepalive(t.store.impl, 7, on_reply, &t);
	expect_replies(&t, 1);
	assert_int_equal(t.failures, 0);
	end(&t);
}

/* A save waited behind the long reads of the other pools of a takeover. */
static void test_pages_keep_a_pool_from_its_save(void **state)
{
	calls_test_t t;

	(void)state;
	begin(&t);
	read_pages(&t, on_unanswered);
	run_txn(&t);
	expect_replies(&t, 1);
	assert_int_equal(t.failures, 0);
	end(&t);
}

/* Pages that waited for their turn counted as a store that does not answer. */
static void test_page_that_waits_for_its_turn_is_unanswered(void **state)
{
	calls_test_t t;

	(void)state;
	begin(&t);
	read_pages(&t, on_reply);
	expect_replies(&t, PAGES);
	assert_int_equal(t.failures, 0);
	end(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_watches_keep_a_lease_from_its_renewal),
		cmocka_unit_test(test_watches_keep_a_pool_from_its_save),
		cmocka_unit_test(
			test_silent_reads_keep_a_lease_from_its_renewal),
		cmocka_unit_test(test_pages_keep_a_pool_from_its_save),
		cmocka_unit_test(
			test_page_that_waits_for_its_turn_is_unanswered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
