#include "link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <http_parser.h>

#include "base/clock.h"
#include "standin/anyport.h"

#define LISTEN_COUNT 64
#define READ_BYTES   65536U
/** Time between looks at bytes that wait. */
#define TICK_S 0.005
/** What is kept of a request, for the record. */
#define REQUEST_BYTES 4000U

/** Ends of a connection. */
typedef enum side { SIDE_NODE, SIDE_TARGET, SIDE_COUNT } side_t;

/** Bytes on their way. */
typedef struct chunk {
	int64_t due_ms;
	size_t bytes;
	size_t sent;
	char data[];
} chunk_t;

typedef struct connection {
	soak_link_t *link;
	int fd[SIDE_COUNT];
	ev_io read[SIDE_COUNT];
	GQueue waiting[SIDE_COUNT]; /**< chunk_t, for the socket of that side.
				     */
	bool ended[SIDE_COUNT]; /**< The peer of that side has closed. */
	int64_t opened_ms;
	http_parser parser;
	GString *request; /**< Its first bytes. */
	bool turned_away; /**< The present request. */
	bool request_complete;
	bool awaited; /**< No byte of the answer has come. */
} connection_t;

struct soak_link {
	struct ev_loop *loop;
	soak_record_t *record;
	char *name;
	soak_describe_fn describe;
	struct sockaddr_in target;
	bw_anyport_t port;
	int listen_fd; /**< -1 while it refuses. */
	ev_io accept;
	ev_timer tick;
	GPtrArray *connections;
	uint64_t bytes; /**< Received from both sides. */
	int64_t from_ms[SOAK_LINK_KIND_COUNT];
	int64_t until_ms[SOAK_LINK_KIND_COUNT];
	soak_fault_t faults[SOAK_LINK_KIND_COUNT];
};

static bool acts(const soak_link_t *link, soak_fault_kind_t kind)
{
	return bw_clock_now_ms() < link->until_ms[kind];
}

static void die(const char *what)
{
	fprintf(stderr, "soak: link: %s: %s\n", what, strerror(errno));
	exit(2);
}

static void close_fd(int fd, bool reset)
{
	struct linger at_once = { .l_onoff = 1 };

	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	close(fd);
}

/* The target has read what was passed on, also if its end is closed. */
static void connection_end(connection_t *c, bool reset)
{
	soak_link_t *link = c->link;
	int side;

	for (side = 0; side < SIDE_COUNT; side++) {
		ev_io_stop(link->loop, &c->read[side]);
		close_fd(c->fd[side], reset && side == SIDE_NODE);
		g_queue_clear_full(&c->waiting[side], g_free);
	}
	g_string_free(c->request, TRUE);
	g_ptr_array_remove_fast(link->connections, c);
	g_free(c);
}

static void put_bytes(connection_t *c, side_t to, const char *data,
		      size_t bytes)
{
	const soak_link_t *link = c->link;
	chunk_t *chunk = g_malloc(sizeof(*chunk) + bytes);

	chunk->due_ms = bw_clock_now_ms();
	if (acts(link, SOAK_DELAY))
		chunk->due_ms += link->faults[SOAK_DELAY].amount;
	chunk->bytes = bytes;
	chunk->sent = 0;
	memcpy(chunk->data, data, bytes);
	g_queue_push_tail(&c->waiting[to], chunk);
}

static bool is_held(const soak_link_t *link, side_t to)
{
	return acts(link,
		    to == SIDE_TARGET ? SOAK_HOLD_REQUESTS : SOAK_HOLD_ANSWERS);
}

/* Sends what is due; false if the connection has failed. */
static bool send_due(connection_t *c, side_t to, size_t limit)
{
	int64_t now_ms = bw_clock_now_ms();
	chunk_t *chunk;

	while (limit > 0 && (chunk = g_queue_peek_head(&c->waiting[to])) &&
	       chunk->due_ms <= now_ms && !is_held(c->link, to)) {
		ssize_t n = send(c->fd[to], chunk->data + chunk->sent,
				 MIN(chunk->bytes - chunk->sent, limit),
				 MSG_NOSIGNAL);

		/* Not connected yet, or full. */
		if (n < 0)
			return errno == EAGAIN || errno == ENOTCONN;
		limit -= (size_t)n;
		chunk->sent += (size_t)n;
		if (chunk->sent == chunk->bytes)
			g_free(g_queue_pop_head(&c->waiting[to]));
	}
	return true;
}

/* Passes on what is due; false if the connection has ended by that. */
static bool pump(connection_t *c)
{
	size_t limit = SIZE_MAX;
	int from;

	if (acts(c->link, SOAK_THROTTLE))
		limit = (size_t)c->link->faults[SOAK_THROTTLE].amount;
	for (from = 0; from < SIDE_COUNT; from++) {
		side_t to = from == SIDE_NODE ? SIDE_TARGET : SIDE_NODE;

		if (!send_due(c, to, limit) ||
		    (c->ended[from] && g_queue_is_empty(&c->waiting[to]))) {
			connection_end(c, false);
			return false;
		}
	}
	return true;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_link_t *link = timer->data;
	guint i = link->connections->len;

	(void)loop;
	(void)revents;
	while (i-- > 0)
		pump(g_ptr_array_index(link->connections, i));
}

static void record_request(connection_t *c, const char *event)
{
	GString *more = g_string_new(NULL);

	if (c->link->describe)
		c->link->describe(more, c->request->str);
	soak_record(c->link->record, "link %s link=%s request=\"%.*s\"%s",
		    event, c->link->name,
		    (int)MIN(strcspn(c->request->str, "\r"), 80),
		    c->request->str, more->str);
	g_string_free(more, TRUE);
}

/*
 * While answers are cut, only connections opened since are turned away: others
 * pass their request on and lose the answer.
 */
static bool turns_away(const connection_t *c)
{
	const soak_link_t *link = c->link;

	if (!acts(link, SOAK_TURN_AWAY))
		return false;
	return !acts(link, SOAK_CUT_ANSWERS) ||
	       c->opened_ms >= link->from_ms[SOAK_CUT_ANSWERS];
}

static int on_message_begin(http_parser *parser)
{
	connection_t *c = parser->data;

	c->turned_away = turns_away(c);
	c->request_complete = false;
	c->awaited = true;
	g_string_truncate(c->request, 0);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	connection_t *c = parser->data;

	c->request_complete = true;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_message_complete = on_message_complete,
};

static void turn_away(connection_t *c)
{
	char *answer = g_strdup_printf(
		"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		"Content-Length: 2\r\n\r\n{}",
		(int)c->link->faults[SOAK_TURN_AWAY].amount);

	record_request(c, "turned-away");
	c->request_complete = false;
	put_bytes(c, SIDE_NODE, answer, strlen(answer));
	g_free(answer);
}

static void take_request(connection_t *c, const char *data, size_t bytes)
{
	http_parser_execute(&c->parser, &parser_settings, data, bytes);
	if (c->request->len < REQUEST_BYTES)
		g_string_append_len(
			c->request, data,
			(gssize)MIN(bytes, REQUEST_BYTES - c->request->len));
	if (!c->turned_away)
		put_bytes(c, SIDE_TARGET, data, bytes);
	else if (c->request_complete)
		turn_away(c);
}

/* Takes bytes from the target; false if that cut the connection. */
static bool take_answer(connection_t *c, const char *data, size_t bytes)
{
	const soak_link_t *link = c->link;

	if (c->awaited && acts(link, SOAK_CUT_ANSWERS)) {
		bool reset = link->faults[SOAK_CUT_ANSWERS].hard;

		record_request(c, reset ? "reset" : "closed");
		connection_end(c, reset);
		return false;
	}
	c->awaited = false;
	put_bytes(c, SIDE_NODE, data, bytes);
	return true;
}

static void on_readable(struct ev_loop *loop, ev_io *io, int revents)
{
	connection_t *c = io->data;
	side_t from = io == &c->read[SIDE_NODE] ? SIDE_NODE : SIDE_TARGET;
	char buffer[READ_BYTES];
	ssize_t n = recv(io->fd, buffer, sizeof(buffer), 0);

	(void)revents;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		connection_end(c, true);
		return;
	}
	c->link->bytes += (uint64_t)n;
	if (n == 0) {
		c->ended[from] = true;
		ev_io_stop(loop, io);
	} else if (from == SIDE_NODE) {
		take_request(c, buffer, (size_t)n);
	} else if (!take_answer(c, buffer, (size_t)n)) {
		return;
	}
	pump(c);
}

static void connection_new(soak_link_t *link, int node_fd)
{
	connection_t *c = g_new0(connection_t, 1);
	int one = 1;
	int side;

	c->link = link;
	c->opened_ms = bw_clock_now_ms();
	c->request = g_string_new(NULL);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->fd[SIDE_NODE] = node_fd;
	c->fd[SIDE_TARGET] =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd[SIDE_TARGET] < 0)
		die("socket");
	/* The outcome shows when bytes are sent or received. */
	(void)connect(c->fd[SIDE_TARGET], (struct sockaddr *)&link->target,
		      sizeof(link->target));
	for (side = 0; side < SIDE_COUNT; side++) {
		setsockopt(c->fd[side], IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof(one));
		g_queue_init(&c->waiting[side]);
		ev_io_init(&c->read[side], on_readable, c->fd[side], EV_READ);
		c->read[side].data = c;
		ev_io_start(link->loop, &c->read[side]);
	}
	g_ptr_array_add(link->connections, c);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	soak_link_t *link = io->data;
	int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)revents;
	if (fd >= 0)
		connection_new(link, fd);
}

static void start_listening(soak_link_t *link)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	in.sin_port = htons(link->port.port);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) < 0 ||
	    listen(fd, LISTEN_COUNT) < 0)
		die(link->port.address);
	link->listen_fd = fd;
	ev_io_init(&link->accept, on_accept, fd, EV_READ);
	link->accept.data = link;
	ev_io_start(link->loop, &link->accept);
}

static void stop_listening(soak_link_t *link)
{
	ev_io_stop(link->loop, &link->accept);
	close(link->listen_fd);
	link->listen_fd = -1;
}

static void on_link_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_link_t *link = timer->data;

	if (link->listen_fd < 0 && !acts(link, SOAK_REFUSE))
		start_listening(link);
	on_tick(loop, timer, revents);
}

soak_link_t *soak_link_create(const soak_link_config_t *config)
{
	soak_link_t *link = g_new0(soak_link_t, 1);
	const char *colon = strchr(config->target, ':');
	char ip[INET_ADDRSTRLEN];

	link->loop = config->loop;
	link->record = config->record;
	link->name = g_strdup(config->name);
	link->describe = config->describe;
	link->connections = g_ptr_array_new();
	g_strlcpy(ip, config->target,
		  MIN(sizeof(ip), (size_t)(colon - config->target) + 1));
	link->target.sin_family = AF_INET;
	link->target.sin_port =
		htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
	inet_pton(AF_INET, ip, &link->target.sin_addr);
	if (bw_anyport_reserve("127.0.0.1", &link->port) != BW_OK)
		die(bw_status_message());
	start_listening(link);
	ev_timer_init(&link->tick, on_link_tick, TICK_S, TICK_S);
	link->tick.data = link;
	ev_timer_start(link->loop, &link->tick);
	return link;
}

const char *soak_link_address(const soak_link_t *link)
{
	return link->port.address;
}

uint64_t soak_link_bytes(const soak_link_t *link)
{
	return link->bytes;
}

uint32_t soak_link_connections(const soak_link_t *link)
{
	return link->connections->len;
}

static void reset_all(soak_link_t *link)
{
	guint i = link->connections->len;

	while (i-- > 0)
		connection_end(g_ptr_array_index(link->connections, i), true);
}

void soak_link_apply(soak_link_t *link, const soak_fault_t *fault,
		     int64_t now_ms)
{
	soak_fault_kind_t kind = fault->kind;

	link->from_ms[kind] = now_ms;
	link->until_ms[kind] =
		MAX(link->until_ms[kind], now_ms + fault->for_ms);
	link->faults[kind] = *fault;
	if (kind == SOAK_RESET)
		reset_all(link);
	if (kind == SOAK_REFUSE && link->listen_fd >= 0)
		stop_listening(link);
}

void soak_link_destroy(soak_link_t *link)
{
	reset_all(link);
	if (link->listen_fd >= 0)
		stop_listening(link);
	ev_timer_stop(link->loop, &link->tick);
	bw_anyport_release(&link->port);
	g_ptr_array_free(link->connections, TRUE);
	g_free(link->name);
	g_free(link);
}
