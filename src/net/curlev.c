#include "net/curlev.h"

#include <ev.h>
#include <glib.h>

struct bw_curlev {
	struct ev_loop *loop;
	CURLM *multi;
	bw_curlev_done_fn done;
	bw_curlev_before_done_fn before_done;
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

static void finish_transfers(bw_curlev_t *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left)) != NULL) {
		CURL *easy = msg->easy_handle;
		CURLcode result = msg->data.result;
		char *ctx = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &ctx);
		if (c->before_done)
			c->before_done(ctx, easy, result);
		curl_multi_remove_handle(c->multi, easy);
		c->done(ctx, easy, result);
	}
}

bw_curlev_t *bw_curlev_create(struct ev_loop *loop, bw_curlev_done_fn done,
			      bw_curlev_before_done_fn before_done)
{
	bw_curlev_t *c = g_new0(bw_curlev_t, 1);

	c->loop = loop;
	c->done = done;
	c->before_done = before_done;
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
	ev_timer_stop(c->loop, &c->timer);
	g_free(c);
}

CURLM *bw_curlev_multi(bw_curlev_t *c)
{
	return c->multi;
}

void bw_curlev_add(bw_curlev_t *c, CURL *easy)
{
	curl_multi_add_handle(c->multi, easy);
}

void bw_curlev_remove(bw_curlev_t *c, CURL *easy)
{
	curl_multi_remove_handle(c->multi, easy);
}
