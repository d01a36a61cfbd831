/* Tests of the bounds of what a server holds for clients. */
#include "test.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "fleet/settings.h"
#include "net/budget.h"
#include "net/simplehttp.h"
#include "standin/anyport.h"

#define LARGE	   65536U
#define SMALL	   1000U
#define STILL	   15000
#define TURNS	   500
#define TURN_S	   0.01
#define READ_TURNS 50

static const bw_budget_limits_t limits = {
	.connections_max = 3,
	.bytes_max = 3U * LARGE,
	.head_wait_ms = 60000,
	.body_still_ms = STILL,
};

static void bring(bw_budget_t *b, bw_budget_item_t *item, uint64_t bytes,
		  int64_t now_ms)
{
	bw_budget_wait(b, item, now_ms);
	bw_budget_begin(b, item, now_ms);
	assert_true(bw_budget_take(b, item, bytes, now_ms));
}

/* The body that has stood still longest makes room, not the newcomer. */
static void test_stalest_body_makes_room(void **state)
{
	bw_budget_item_t items[4] = { 0 };
	bw_budget_t b;
	int i;

	(void)state;
	bw_budget_init(&b, &limits);
	for (i = 0; i < 3; i++)
		bring(&b, &items[i], LARGE, i);
	assert_true(bw_budget_take(&b, &items[1], 0, 10));
	bw_budget_wait(&b, &items[3], 10);
	bw_budget_begin(&b, &items[3], 10);
	assert_false(bw_budget_take(&b, &items[3], SMALL, 10));
	assert_ptr_equal(bw_budget_holder(&b, &items[3]), &items[0]);
	bw_budget_remove(&b, &items[0]);
	assert_true(bw_budget_take(&b, &items[3], SMALL, 10));
	assert_int_equal(b.held_bytes, 2 * LARGE + SMALL);
	assert_int_equal(b.peak_bytes, 3 * LARGE);
}

/* A small body that waits longer stays while a large one can go. */
static void test_small_body_stays(void **state)
{
	bw_budget_item_t items[3] = { 0 };
	bw_budget_t b;

	(void)state;
	bw_budget_init(&b, &limits);
	bring(&b, &items[0], SMALL, 0);
	bring(&b, &items[1], LARGE, 1);
	bring(&b, &items[2], LARGE, 2);
	assert_ptr_equal(bw_budget_holder(&b, &items[2]), &items[1]);
	bw_budget_remove(&b, &items[1]);
	assert_ptr_equal(bw_budget_holder(&b, &items[2]), &items[0]);
}

/* Single bytes don't keep a large body fresh. */
static void test_drops_are_no_move(void **state)
{
	bw_budget_item_t items[2] = { 0 };
	bw_budget_cause_t cause;
	bw_budget_t b;
	int i;

	(void)state;
	bw_budget_init(&b, &limits);
	bring(&b, &items[0], LARGE, 0);
	bring(&b, &items[1], LARGE, 0);
	for (i = 0; i < 100; i++)
		assert_true(bw_budget_take(&b, &items[0], 1, STILL - 1));
	assert_true(bw_budget_take(&b, &items[1], LARGE / 8, STILL - 1));
	assert_null(bw_budget_late(&b, STILL - 1, &cause));
	assert_ptr_equal(bw_budget_late(&b, STILL, &cause), &items[0]);
	assert_int_equal(cause, BW_BUDGET_CLOSED_STILL);
}

/* What is whole is never dropped, and is counted until it is answered. */
static void test_served_request_stays(void **state)
{
	bw_budget_item_t items[2] = { 0 };
	bw_budget_cause_t cause;
	bw_budget_t b;

	(void)state;
	bw_budget_init(&b, &limits);
	bring(&b, &items[0], 3 * LARGE, 0);
	bw_budget_serve(&b, &items[0]);
	bw_budget_wait(&b, &items[1], 1);
	bw_budget_begin(&b, &items[1], 1);
	assert_false(bw_budget_take(&b, &items[1], SMALL, 1));
	assert_null(bw_budget_holder(&b, &items[1]));
	assert_ptr_equal(bw_budget_stalest(&b), &items[1]);
	assert_null(bw_budget_late(&b, STILL, &cause));
	bw_budget_wait(&b, &items[0], 2);
	assert_int_equal(b.held_bytes, 0);
}

static void test_one_connection_too_many(void **state)
{
	bw_budget_item_t items[4] = { 0 };
	bw_budget_cause_t cause;
	bw_budget_t b;
	int i;

	(void)state;
	bw_budget_init(&b, &limits);
	for (i = 0; i < 3; i++)
		bw_budget_wait(&b, &items[i], i);
	assert_false(bw_budget_is_crowded(&b));
	bw_budget_wait(&b, &items[3], 3);
	assert_true(bw_budget_is_crowded(&b));
	assert_ptr_equal(bw_budget_stalest(&b), &items[0]);
	bw_budget_remove(&b, &items[0]);
	bw_budget_remove(&b, &items[0]);
	assert_int_equal(b.connections, 3);
	assert_null(bw_budget_late(&b, 60000, &cause));
	assert_ptr_equal(bw_budget_late(&b, 60001, &cause), &items[1]);
	assert_int_equal(cause, BW_BUDGET_CLOSED_HEAD);
}

static void test_one_report_a_second(void **state)
{
	bw_budget_t b;

	(void)state;
	bw_budget_init(&b, &limits);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_REFUSED, 5000), 0);
	bw_budget_note(&b, BW_BUDGET_REFUSED);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_REFUSED, 5000), 1);
	bw_budget_note(&b, BW_BUDGET_REFUSED);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_REFUSED, 5000), 0);
	bw_budget_note(&b, BW_BUDGET_CLOSED_HEAD);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_CLOSED_HEAD, 5000), 1);
	bw_budget_note(&b, BW_BUDGET_REFUSED);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_REFUSED, 5999), 0);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_REFUSED, 6000), 2);
	assert_int_equal(bw_budget_report(&b, BW_BUDGET_REFUSED, 9000), 0);
}

/* The bounds follow the node's size; what the settings say comes first. */
static void test_bounds_of_a_node(void **state)
{
	bw_fleet_settings_t s = { 0 };

	(void)state;
	assert_int_equal(bw_fleet_settings_limits(&s).connections_max, 3000);
	assert_int_equal(bw_fleet_settings_limits(&s).bytes_max, 64 << 20);
	s.memory_mb = 160;
	s.descriptors = 4100;
	assert_int_equal(bw_fleet_settings_limits(&s).connections_max, 1280);
	assert_int_equal(bw_fleet_settings_limits(&s).bytes_max, 20 << 20);
	s.memory_mb = 260;
	assert_int_equal(bw_fleet_settings_limits(&s).connections_max, 2080);
	s.descriptors = 256;
	assert_int_equal(bw_fleet_settings_limits(&s).connections_max, 64);
	s.connections_max = 5;
	s.body_memory_bytes = 7;
	assert_int_equal(bw_fleet_settings_limits(&s).connections_max, 5);
	assert_int_equal(bw_fleet_settings_limits(&s).bytes_max, 7);
}

/** A server and what its handler was given. */
typedef struct server {
	struct ev_loop *loop;
	bw_anyport_t port;
	bw_simplehttp_t *http;
	uint32_t calls;
	size_t bytes;
} server_t;

static enum MHD_Result serve(void *ctx, bw_simple_request_t *r)
{
	server_t *s = ctx;

	s->calls++;
	s->bytes = r->body->len;
	return bw_simple_reply(r, 200, "application/json", "{}", 2);
}

static void server_start(server_t *s, const bw_budget_limits_t *bounds)
{
	bw_simple_config_t config = { .address = s->port.address,
				      .body_bytes_max = LARGE,
				      .limits = bounds };

	s->loop = ev_loop_new(0);
	assert_int_equal(bw_anyport_reserve("127.0.0.1", &s->port), BW_OK);
	assert_int_equal(
		bw_simplehttp_create(s->loop, &config, serve, s, &s->http),
		BW_OK);
}

static void server_stop(server_t *s)
{
	bw_simplehttp_destroy(s->http);
	bw_anyport_release(&s->port);
	ev_loop_destroy(s->loop);
}

static int client_open(const server_t *s)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(s->port.port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* Sends a request of which the last bytes may be missing. */
static void client_send(int fd, size_t bytes, size_t missing)
{
	GString *text = g_string_new(NULL);
	char *body = g_malloc(bytes);

	memset(body, ' ', bytes);
	g_string_printf(text,
			"POST / HTTP/1.1\r\nHost: a\r\n"
			"Content-Length: %zu\r\n\r\n",
			bytes);
	g_string_append_len(text, body, (gssize)(bytes - missing));
	assert_int_equal(send(fd, text->str, text->len, MSG_NOSIGNAL),
			 text->len);
	g_string_free(text, TRUE);
	g_free(body);
}

static void on_turn(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void server_turn(server_t *s)
{
	ev_timer timer;

	ev_timer_init(&timer, on_turn, TURN_S, 0.0);
	ev_timer_start(s->loop, &timer);
	ev_run(s->loop, 0);
	ev_timer_stop(s->loop, &timer);
}

/* Runs the server until there is an answer; returns its bytes, 0 at the end of
 * the connection, -1 if nothing came. */
static ssize_t client_read(server_t *s, int fd, char *out, size_t size)
{
	ssize_t n = -1;
	int i;

	for (i = 0; i < TURNS && n < 0; i++) {
		server_turn(s);
		n = recv(fd, out, size - 1, MSG_DONTWAIT);
	}
	out[n > 0 ? n : 0] = '\0';
	return n;
}

/* A body that finds no memory is answered 503, and its handler never runs. */
static void test_refused_body_is_not_run(void **state)
{
	bw_budget_limits_t bounds = { .connections_max = 8,
				      .bytes_max = LARGE / 2 };
	server_t s = { 0 };
	char answer[1024];
	int fd;

	(void)state;
	server_start(&s, &bounds);
	fd = client_open(&s);
	client_send(fd, LARGE, 0);
	assert_true(client_read(&s, fd, answer, sizeof(answer)) > 0);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: 1"));
	assert_int_equal(s.calls, 0);
	/* The connection is good for another request. */
	client_send(fd, SMALL, 0);
	assert_true(client_read(&s, fd, answer, sizeof(answer)) > 0);
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	assert_int_equal(s.bytes, SMALL);
	close(fd);
	server_stop(&s);
}

static void test_long_body_is_413(void **state)
{
	bw_budget_limits_t bounds = { .connections_max = 8 };
	server_t s = { 0 };
	char answer[1024];
	int fd;

	(void)state;
	server_start(&s, &bounds);
	fd = client_open(&s);
	client_send(fd, LARGE + 1, 0);
	assert_true(client_read(&s, fd, answer, sizeof(answer)) > 0);
	assert_non_null(strstr(answer, "HTTP/1.1 413"));
	assert_int_equal(s.calls, 0);
	close(fd);
	server_stop(&s);
}

/* A body that stands still is closed for another one of legal size. */
static void test_still_body_makes_room(void **state)
{
	bw_budget_limits_t bounds = { .connections_max = 8,
				      .bytes_max = LARGE };
	server_t s = { 0 };
	char answer[1024];
	int still;
	int fd;
	int i;

	(void)state;
	server_start(&s, &bounds);
	still = client_open(&s);
	client_send(still, LARGE, 1);
	/* The server reads all of it before the other one comes. */
	for (i = 0; i < READ_TURNS; i++)
		server_turn(&s);
	fd = client_open(&s);
	client_send(fd, LARGE, 0);
	assert_true(client_read(&s, fd, answer, sizeof(answer)) > 0);
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	assert_int_equal(s.calls, 1);
	assert_int_equal(s.bytes, LARGE);
	assert_int_equal(client_read(&s, still, answer, sizeof(answer)), 0);
	close(still);
	close(fd);
	server_stop(&s);
}

/* Silent clients end at their time, others of a crowd make room. */
static void test_silent_clients_are_closed(void **state)
{
	bw_budget_limits_t bounds = { .connections_max = 2,
				      .head_wait_ms = 1500 };
	server_t s = { 0 };
	char answer[1024];
	int fds[3];
	int i;

	(void)state;
	server_start(&s, &bounds);
	for (i = 0; i < 3; i++)
		fds[i] = client_open(&s);
	assert_int_equal(client_read(&s, fds[0], answer, sizeof(answer)), 0);
	client_send(fds[2], SMALL, 0);
	assert_true(client_read(&s, fds[2], answer, sizeof(answer)) > 0);
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	assert_int_equal(client_read(&s, fds[1], answer, sizeof(answer)), 0);
	for (i = 0; i < 3; i++)
		close(fds[i]);
	server_stop(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stalest_body_makes_room),
		cmocka_unit_test(test_small_body_stays),
		cmocka_unit_test(test_drops_are_no_move),
		cmocka_unit_test(test_served_request_stays),
		cmocka_unit_test(test_one_connection_too_many),
		cmocka_unit_test(test_one_report_a_second),
		cmocka_unit_test(test_bounds_of_a_node),
		cmocka_unit_test(test_refused_body_is_not_run),
		cmocka_unit_test(test_long_body_is_413),
		cmocka_unit_test(test_still_body_makes_room),
		cmocka_unit_test(test_silent_clients_are_closed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
