#include "net/curlev.h"

#include <sys/socket.h>

#include <ev.h>
#include <glib.h>

#define BW_LOG_PART "net"
#include "base/log.h"

#include "base/clock.h"
#include "net/curlconn.h"

struct bw_curlev {
	struct ev_loop *loop;
	CURLM *multi;
	bw_curlconn_t *connections;
	bw_curlev_done_fn done;
	bw_counters_t *counters;
	ev_timer timer;
};

/** A libev watcher of one of libcurl's sockets. */
typedef struct socket_watcher {
	ev_io io;
	bw_curlev_t *owner;
} socket_watcher_t;

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *sock);
static int on_timeout_change(CURLM *multi, long timeout_ms, void *ctx);
static void on_io(struct ev_loop *loop, ev_io *io, int revents);
static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents);
static void finish_transfers(bw_curlev_t *c);

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *sock)
{
	bw_curlev_t *c = ctx;
	socket_watcher_t *watcher = sock;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watcher) {
			ev_io_stop(c->loop, &watcher->io);
			g_free(watcher);
		}
		curl_multi_assign(c->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (!watcher) {
		watcher = g_new0(socket_watcher_t, 1);
		watcher->owner = c;
		ev_io_init(&watcher->io, on_io, fd, events);
		curl_multi_assign(c->multi, fd, watcher);
	} else {
		ev_io_stop(c->loop, &watcher->io);
		ev_io_set(&watcher->io, fd, events);
	}
	ev_io_start(c->loop, &watcher->io);
	return 0;
}

static int on_timeout_change(CURLM *multi, long timeout_ms, void *ctx)
{
	bw_curlev_t *c = ctx;

	(void)multi;
	ev_timer_stop(c->loop, &c->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&c->timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(c->loop, &c->timer);
	return 0;
}

static void on_io(struct ev_loop *loop, ev_io *io, int revents)
{
	socket_watcher_t *watcher = (socket_watcher_t *)io;
	bw_curlev_t *c = watcher->owner;
	int flags = 0;
	int running;

	(void)loop;
	if (revents & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, io->fd, flags, &running);
	finish_transfers(c);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_curlev_t *c = timer->data;
	int running;

	(void)loop;
	(void)revents;
	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_transfers(c);
}

static void report_stale_bytes(bw_curlev_t *c, const char *ip, int port)
{
	g_info("Bytes that answer no request came from %s:%d.", ip, port);
	if (c->counters)
		bw_count(c->counters, BW_C_STALE_BYTES, 1);
}

static void note_begun(bw_transfer_t *t)
{
	if (t->begun_ms == 0)
		t->begun_ms = bw_clock_now_ms();
}

/*
 * Called by libcurl when the connection is ready, before the first byte of the
 * request. Bytes that wait on a kept connection would be taken for the answer.
 */
static int on_ready_to_send(void *ctx, char *remote_ip, char *local_ip,
			    int remote_port, int local_port)
{
	bw_transfer_t *t = ctx;
	bw_curlev_t *c = t->driver;
	bw_curlconn_state_t state = bw_curlconn_state(
		c->connections, remote_ip, remote_port, local_ip, local_port);

	if (t->once && t->copies > 0)
		return CURL_PREREQFUNC_ABORT;
	note_begun(t);
	t->kept_connection = state != BW_CURLCONN_NEW;
	if (state == BW_CURLCONN_BYTES)
		report_stale_bytes(c, remote_ip, remote_port);
	if (state == BW_CURLCONN_BYTES || state == BW_CURLCONN_ENDED) {
		t->unusable_connection = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (state == BW_CURLCONN_NEW)
		bw_curlconn_begin(c->connections, t->opened, remote_ip,
				  remote_port, local_ip, local_port);
	t->copies++;
	/* Else libcurl's second copy would take a sound kept connection, which
	 * ends with it. */
	if (t->once)
		curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
	return CURL_PREREQFUNC_OK;
}

/* Called by libcurl for a new connection. One for a second copy that won't be
 * sent would only delay the end of the call. */
static curl_socket_t on_open_socket(void *ctx, curlsocktype purpose,
				    struct curl_sockaddr *address)
{
	bw_transfer_t *t = ctx;

	(void)purpose;
	if (t->once && t->copies > 0)
		return CURL_SOCKET_BAD;
	note_begun(t);
	t->opened =
		socket(address->family, address->socktype, address->protocol);
	return t->opened;
}

static void start(bw_curlev_t *c, bw_transfer_t *t, bool new_connection)
{
	int64_t left_ms = t->deadline_ms - bw_clock_now_ms();

	/* 0 would be no limit. */
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 t->timeout_ms > 0 ? (long)MAX(left_ms, 1) : 0L);
	t->unusable_connection = false;
	t->opened = CURL_SOCKET_BAD;
	curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT,
			 new_connection ? 1L : 0L);
	curl_multi_add_handle(c->multi, t->easy);
}

static void finish_transfer(bw_curlev_t *c, CURL *easy, CURLcode result)
{
	char *private = NULL;
	bw_transfer_t *t;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &private);
	t = (bw_transfer_t *)(void *)private;
	if (result == CURLE_OK)
		bw_curlconn_keep(c->connections, easy);
	curl_multi_remove_handle(c->multi, easy);
	if (t->unusable_connection)
		start(c, t, true);
	else
		c->done(t->ctx, t, result);
}

static void finish_transfers(bw_curlev_t *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left)) != NULL)
		if (msg->msg == CURLMSG_DONE)
			finish_transfer(c, msg->easy_handle, msg->data.result);
}

bw_curlev_t *bw_curlev_create(struct ev_loop *loop, bw_curlev_done_fn done,
			      bw_counters_t *counters)
{
	bw_curlev_t *c = g_new0(bw_curlev_t, 1);

	c->loop = loop;
	c->done = done;
	c->counters = counters;
	c->connections = bw_curlconn_create();
	c->multi = curl_multi_init();
	ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
	c->timer.data = c;
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	return c;
}

void bw_curlev_destroy(bw_curlev_t *c)
{
	if (!c)
		return;
	curl_multi_cleanup(c->multi);
	bw_curlconn_destroy(c->connections);
	ev_timer_stop(c->loop, &c->timer);
	g_free(c);
}

CURLM *bw_curlev_multi(bw_curlev_t *c)
{
	return c->multi;
}

void bw_curlev_add(bw_curlev_t *c, bw_transfer_t *t)
{
	t->driver = c;
	t->copies = 0;
	t->added_ms = bw_clock_now_ms();
	t->begun_ms = 0;
	t->deadline_ms = t->added_ms + t->timeout_ms;
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt(t->easy, CURLOPT_OPENSOCKETDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_CLOSESOCKETFUNCTION,
			 bw_curlconn_close);
	curl_easy_setopt(t->easy, CURLOPT_CLOSESOCKETDATA, c->connections);
	start(c, t, false);
}

void bw_curlev_remove(bw_curlev_t *c, bw_transfer_t *t)
{
	curl_multi_remove_handle(c->multi, t->easy);
}

int64_t bw_transfer_queued_ms(const bw_transfer_t *t, int64_t now_ms)
{
	return (t->begun_ms > 0 ? t->begun_ms : now_ms) - t->added_ms;
}

bw_cause_t bw_transfer_cause(const bw_transfer_t *t, CURLcode result)
{
	switch (result) {
	case CURLE_OK:
		return BW_CAUSE_NONE;
	case CURLE_COULDNT_CONNECT:
		/* The connection that took the last copy was closed. */
		return t->copies > 0 ? BW_CAUSE_CLOSED : BW_CAUSE_UNCONNECTED;
	case CURLE_OPERATION_TIMEDOUT:
		return t->copies > 0 ? BW_CAUSE_SILENT : BW_CAUSE_UNCONNECTED;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
	case CURLE_WRITE_ERROR:
		return BW_CAUSE_MALFORMED;
	default:
		return BW_CAUSE_CLOSED;
	}
}
