#include "net/keepconn.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <http_parser.h>

#define BW_LOG_PART "net"
#include "base/log.h"

#define RECEIVE_BYTES ((size_t)16384)
/** A longer answer ends the connection. */
#define BODY_BYTES_MAX ((size_t)8 << 20)
/** Lower statuses announce the answer that follows. */
#define STATUS_FINAL_MIN 200U

struct bw_keepconn {
	struct ev_loop *loop;
	bw_keepconn_ops_t ops;
	void *ctx;
	int fd; /**< -1 if it could not be opened. */
	ev_io io;
	ev_timer failure; /**< Reports a failure from the event loop. */
	http_parser parser;
	const GString *request; /**< Borrowed; NULL once it is sent. */
	size_t sent; /**< Bytes of the request. */
	GString *body; /**< Of the answer; NULL when none is awaited. */
	bool connected;
	bool answered; /**< The answer is complete. */
	bool too_long;
};

static void on_io(struct ev_loop *loop, ev_io *io, int revents);
static void on_failure(struct ev_loop *loop, ev_timer *timer, int revents);
static int on_body(http_parser *parser, const char *data, size_t bytes);
static int on_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static int on_body(http_parser *parser, const char *data, size_t bytes)
{
	bw_keepconn_t *c = parser->data;

	if (!c->body || c->body->len + bytes > BODY_BYTES_MAX) {
		c->too_long = true;
		return -1;
	}
	g_string_append_len(c->body, data, (gssize)bytes);
	return 0;
}

/* Nothing may follow an answer, so the parser stops after it. */
static int on_complete(http_parser *parser)
{
	bw_keepconn_t *c = parser->data;

	if (parser->status_code < STATUS_FINAL_MIN)
		return 0;
	c->answered = true;
	http_parser_pause(parser, 1);
	return 0;
}

/* Opens the socket and starts to connect; false if that failed at once. */
static bool start_connect(bw_keepconn_t *c, const struct sockaddr_in *address)
{
	int one = 1;

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0) {
		g_warning("Cannot open a socket: %s.", strerror(errno));
		return false;
	}
	if (setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one)) < 0)
		g_warning("Cannot set TCP_NODELAY: %s.", strerror(errno));
	return connect(c->fd, (const struct sockaddr *)address,
		       sizeof(*address)) == 0 ||
	       errno == EINPROGRESS;
}

bw_keepconn_t *bw_keepconn_create(struct ev_loop *loop,
				  const struct sockaddr_in *address,
				  const bw_keepconn_ops_t *ops, void *ctx)
{
	bw_keepconn_t *c = g_new0(bw_keepconn_t, 1);

	c->loop = loop;
	c->ops = *ops;
	c->ctx = ctx;
	ev_timer_init(&c->failure, on_failure, 0.0, 0.0);
	c->failure.data = c;
	ev_init(&c->io, on_io);
	c->io.data = c;
	c->fd = -1;
	if (!address || !start_connect(c, address)) {
		ev_timer_start(loop, &c->failure);
		return c;
	}
	ev_io_set(&c->io, c->fd, EV_WRITE);
	ev_io_start(loop, &c->io);
	return c;
}

void bw_keepconn_destroy(bw_keepconn_t *c)
{
	if (!c)
		return;
	ev_io_stop(c->loop, &c->io);
	ev_timer_stop(c->loop, &c->failure);
	if (c->fd >= 0)
		close(c->fd);
	if (c->body)
		g_string_free(c->body, TRUE);
	g_free(c);
}

static void watch_for(bw_keepconn_t *c, int events)
{
	if (ev_is_active(&c->io) && c->io.events == events)
		return;
	ev_io_stop(c->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->loop, &c->io);
}

/* Sends what the socket takes; a failure is reported from the event loop. */
static void send_request(bw_keepconn_t *c)
{
	size_t left = c->request->len - c->sent;
	ssize_t bytes =
		send(c->fd, c->request->str + c->sent, left, MSG_NOSIGNAL);

	if (bytes < 0 && errno != EAGAIN && errno != EINTR) {
		ev_timer_start(c->loop, &c->failure);
		return;
	}
	c->sent += bytes > 0 ? (size_t)bytes : 0;
	if (c->sent < c->request->len) {
		watch_for(c, EV_READ | EV_WRITE);
		return;
	}
	c->request = NULL;
	watch_for(c, EV_READ);
}

void bw_keepconn_send(bw_keepconn_t *c, const GString *request)
{
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->request = request;
	c->sent = 0;
	c->body = g_string_new(NULL);
	c->answered = false;
	if (c->connected)
		send_request(c);
}

bool bw_keepconn_connected(const bw_keepconn_t *c)
{
	return c->connected;
}

bool bw_keepconn_usable(const bw_keepconn_t *c)
{
	char byte;
	ssize_t bytes = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static void on_failure(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_keepconn_t *c = timer->data;

	(void)loop;
	(void)revents;
	c->ops.ended(c->ctx);
}

/* Returns whether the connection was established. */
static bool finish_connect(bw_keepconn_t *c)
{
	int error = 0;
	socklen_t bytes = sizeof(error);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &bytes) < 0 ||
	    error != 0)
		return false;
	c->connected = true;
	watch_for(c, EV_READ);
	return true;
}

static void report_answer(bw_keepconn_t *c, bool reusable)
{
	GString *body = c->body;

	c->body = NULL;
	c->ops.answered(c->ctx, c->parser.status_code, body, reusable);
}

static const char *error_text(const bw_keepconn_t *c)
{
	if (c->too_long)
		return "too long";
	return http_errno_description(HTTP_PARSER_ERRNO(&c->parser));
}

/* Decodes what was received; no bytes are the end of the stream. */
static void decode(bw_keepconn_t *c, const char *data, size_t bytes)
{
	size_t parsed =
		http_parser_execute(&c->parser, &parser_settings, data, bytes);

	if (c->answered) {
		report_answer(c, bytes > 0 && parsed == bytes && !c->request &&
					 http_should_keep_alive(&c->parser));
		return;
	}
	if (bytes > 0 && parsed == bytes)
		return;
	if (bytes > 0)
		g_info("An answer is not valid: %s.", error_text(c));
	c->ops.ended(c->ctx);
}

static void receive(bw_keepconn_t *c)
{
	char buffer[RECEIVE_BYTES];
	ssize_t bytes = recv(c->fd, buffer, sizeof(buffer), 0);

	if (bytes < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* While no answer is awaited, the server may only close. */
	if (bytes < 0 || !c->body) {
		c->ops.ended(c->ctx);
		return;
	}
	decode(c, buffer, (size_t)bytes);
}

static void on_io(struct ev_loop *loop, ev_io *io, int revents)
{
	bw_keepconn_t *c = io->data;

	(void)loop;
	if (!c->connected && !finish_connect(c)) {
		c->ops.ended(c->ctx);
		return;
	}
	if ((revents & EV_WRITE) && c->request)
		send_request(c);
	if (revents & EV_READ)
		receive(c);
}
