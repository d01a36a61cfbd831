/* The connections that peers make to an entry. */
#include "test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "peer/peer.h"
#include "standin/anyport.h"

#define LISTEN_IP "127.0.0.1"
/** Nodes of a site of some hundred. */
#define NODES	  400U
#define SILENCE_S 5
#define SETTLE_S  0.3
/** More than an unnamed peer may bring. */
#define STRANGER_BYTES 5000

static void on_end(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(struct ev_loop *loop, double seconds)
{
	ev_timer end;

	ev_timer_init(&end, on_end, seconds, 0.0);
	ev_timer_start(loop, &end);
	ev_run(loop, 0);
	ev_timer_stop(loop, &end);
}

static int connect_node(uint16_t port)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	assert_true(fd >= 0);
	assert_int_equal(inet_pton(AF_INET, LISTEN_IP, &in.sin_addr), 1);
	assert_true(connect(fd, (struct sockaddr *)&in, sizeof(in)) == 0 ||
		    errno == EINPROGRESS);
	return fd;
}

static bool is_open(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

/* A node that is refused connects again at once, all day long. */
static void test_some_hundred_nodes_are_accepted(void **state)
{
	static const bw_peers_ops_t ops = { 0 };
	bw_anyport_t listen;
	bw_peers_config_t config = {
		.name = "n",
		.site = "s",
		.listen = listen.address,
		.incarnation = 1,
		.silence_timeout_us = SILENCE_S * G_USEC_PER_SEC,
	};
	struct ev_loop *loop = ev_loop_new(0);
	bw_counters_t counters = { 0 };
	uint32_t open_count = 0;
	bw_peers_t *peers;
	int fds[NODES];
	uint32_t i;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	assert_int_equal(
		bw_peers_create(loop, &config, &ops, NULL, &counters, &peers),
		BW_OK);
	for (i = 0; i < NODES; i++) {
		fds[i] = connect_node(listen.port);
		if (i % 64 == 63)
			run_for(loop, 0.05);
	}
	run_for(loop, SETTLE_S);
	for (i = 0; i < NODES; i++)
		open_count += is_open(fds[i]);
	assert_int_equal(open_count, NODES);
	for (i = 0; i < NODES; i++)
		close(fds[i]);
	bw_peers_destroy(peers);
	bw_anyport_release(&listen);
	ev_loop_destroy(loop);
}

static uint32_t refusals_logged;

static GLogWriterOutput count_refusals(GLogLevelFlags level,
				       const GLogField *fields, gsize count,
				       gpointer data)
{
	gsize i;

	(void)level;
	(void)data;
	for (i = 0; i < count; i++)
		if (!strcmp(fields[i].key, "MESSAGE") &&
		    strstr(fields[i].value,
			   "version 2 from 127.0.0.1, this program reads 1"))
			refusals_logged++;
	return G_LOG_WRITER_HANDLED;
}

/*
 * Nodes of two versions that don't understand each other connect again all the
 * time. Operators learn of it from the log, in few lines.
 */
static void test_refused_version_is_logged(void **state)
{
	static const bw_peers_ops_t ops = { 0 };
	bw_anyport_t listen;
	bw_peers_config_t config = {
		.name = "n",
		.site = "s",
		.listen = listen.address,
		.incarnation = 1,
		.silence_timeout_us = SILENCE_S * G_USEC_PER_SEC,
	};
	struct ev_loop *loop = ev_loop_new(0);
	bw_counters_t counters = { 0 };
	bw_peers_t *peers;
	int fds[2];
	uint32_t i;

	(void)state;
	g_log_set_writer_func(count_refusals, NULL, NULL);
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	assert_int_equal(
		bw_peers_create(loop, &config, &ops, NULL, &counters, &peers),
		BW_OK);
	for (i = 0; i < 2; i++) {
		fds[i] = connect_node(listen.port);
		run_for(loop, SETTLE_S);
		assert_int_equal(send(fds[i], "BW\2\0\0\0\0\0", 8, 0), 8);
		run_for(loop, SETTLE_S);
		assert_false(is_open(fds[i]));
		close(fds[i]);
	}
	assert_int_equal(counters.value[BW_C_FRAMES_VERSION], 2);
	assert_int_equal(refusals_logged, 1);
	bw_peers_tick(peers, (int64_t)3600 * G_USEC_PER_SEC);
	fds[0] = connect_node(listen.port);
	run_for(loop, SETTLE_S);
	assert_int_equal(send(fds[0], "BW\2\0\0\0\0\0", 8, 0), 8);
	run_for(loop, SETTLE_S);
	close(fds[0]);
	assert_int_equal(refusals_logged, 2);
	bw_peers_destroy(peers);
	bw_anyport_release(&listen);
	ev_loop_destroy(loop);
}

/* Who doesn't say whose a connection is may bring little, for a short time, and
 * makes room for the next one. */
static void test_strangers_are_bounded(void **state)
{
	static const bw_peers_ops_t ops = { 0 };
	static const uint8_t head[] = { 'B', 'W', 1, 0, 0, 16, 0, 0 };
	char bytes[STRANGER_BYTES] = { 0 };
	bw_anyport_t listen;
	bw_peers_config_t config = {
		.name = "e1",
		.site = "test",
		.listen = listen.address,
		.silence_timeout_us = SILENCE_S * G_USEC_PER_SEC,
		.strangers_max = 2,
	};
	struct ev_loop *loop = ev_loop_new(0);
	bw_counters_t counters = { 0 };
	bw_peers_t *peers;
	int fds[3];
	int i;

	(void)state;
	assert_int_equal(bw_anyport_reserve(LISTEN_IP, &listen), BW_OK);
	assert_int_equal(
		bw_peers_create(loop, &config, &ops, NULL, &counters, &peers),
		BW_OK);
	bw_peers_tick(peers, G_USEC_PER_SEC);
	for (i = 0; i < 3; i++) {
		fds[i] = connect_node(listen.port);
		run_for(loop, SETTLE_S);
	}
	assert_false(is_open(fds[0]));
	assert_true(is_open(fds[1]) && is_open(fds[2]));
	/* A frame of 1 MB, which a known peer may send. */
	assert_int_equal(send(fds[1], head, sizeof(head), 0), sizeof(head));
	assert_int_equal(send(fds[1], bytes, sizeof(bytes), 0), sizeof(bytes));
	run_for(loop, SETTLE_S);
	assert_false(is_open(fds[1]));
	bw_peers_tick(peers, 5 * G_USEC_PER_SEC);
	run_for(loop, SETTLE_S);
	assert_true(is_open(fds[2]));
	bw_peers_tick(peers, 6 * G_USEC_PER_SEC);
	run_for(loop, SETTLE_S);
	assert_false(is_open(fds[2]));
	assert_int_equal(counters.value[BW_C_PEERS_STRANGERS], 3);
	for (i = 0; i < 3; i++)
		close(fds[i]);
	bw_peers_destroy(peers);
	bw_anyport_release(&listen);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_some_hundred_nodes_are_accepted),
		cmocka_unit_test(test_refused_version_is_logged),
		cmocka_unit_test(test_strangers_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
