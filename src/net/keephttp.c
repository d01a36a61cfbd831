#include "net/keephttp.h"

#include <arpa/inet.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/address.h"
#include "base/clock.h"
#include "net/keepconn.h"

/** Connections that are kept for each server, whatever the limit. */
#define KEPT_PER_HOST 2U
#define ADDRESS_BYTES 46
/** Room for the first lines of a request. */
#define HEADER_BYTES ((size_t)256)
#define MS_PER_S     1000.0

/** A server, with its connections and the calls that wait for one. */
typedef struct host {
	bw_keephttp_t *client;
	char *address;
	struct sockaddr_in in;
	bool valid; /**< The address could be parsed. */
	uint32_t open_count; /**< Connections, idle and busy. */
	GQueue idle; /**< link_t, the last used first. */
	GQueue busy; /**< link_t */
	GQueue waiting; /**< call_t */
	GQueue unsent; /**< call_t that only report that they are not sent. */
} host_t;

typedef struct call {
	host_t *host;
	struct link *link; /**< On which it was sent; NULL while it waits. */
	GString *request;
	bw_http_done_fn done;
	bw_http_release_fn release;
	void *ctx;
	ev_timer timeout;
	int64_t deadline_ms; /**< Of the whole call. */
	int64_t answer_ms; /**< 0: no limit of its own. */
	int64_t due_ms; /**< When the timer ends the call. */
} call_t;

/** A connection of a host. */
typedef struct link {
	host_t *host;
	bw_keepconn_t *conn;
	call_t *call; /**< NULL while idle. */
	GList host_node; /**< In the host's idle or busy connections. */
	GList client_node; /**< In the client's idle ones. */
} link_t;

struct bw_keephttp {
	struct ev_loop *loop;
	uint32_t host_connections_max;
	uint32_t connections_max;
	uint32_t open_count;
	GHashTable *hosts; /**< Address to host_t. */
	GQueue idle; /**< link_t, the longest idle last. */
};

static void on_answered(void *ctx, uint32_t status, GString *body,
			bool reusable);
static void on_ended(void *ctx);
static void on_timeout(struct ev_loop *loop, ev_timer *timer, int revents);

static const bw_keepconn_ops_t conn_ops = { on_answered, on_ended };

static host_t *get_host(bw_keephttp_t *client, const char *address)
{
	host_t *host = g_hash_table_lookup(client->hosts, address);
	char ip[ADDRESS_BYTES];
	uint16_t port;

	if (host)
		return host;
	host = g_new0(host_t, 1);
	host->client = client;
	host->address = g_strdup(address);
	host->in.sin_family = AF_INET;
	host->valid = bw_address_split(address, ip, &port) == BW_OK &&
		      inet_pton(AF_INET, ip, &host->in.sin_addr) == 1;
	host->in.sin_port = host->valid ? htons(port) : 0;
	g_hash_table_insert(client->hosts, host->address, host);
	return host;
}

static void host_free(gpointer data)
{
	host_t *host = data;

	g_free(host->address);
	g_free(host);
}

/* Drops a host without connections and calls: its worker may be gone. */
static void release_host(host_t *host)
{
	if (host->open_count == 0 && g_queue_is_empty(&host->waiting) &&
	    g_queue_is_empty(&host->unsent))
		g_hash_table_remove(host->client->hosts, host->address);
}

static void call_free(call_t *call)
{
	ev_timer_stop(call->host->client->loop, &call->timeout);
	g_string_free(call->request, TRUE);
	g_free(call);
}

static link_t *link_open(host_t *host)
{
	link_t *link = g_new0(link_t, 1);

	link->host = host;
	link->host_node.data = link;
	link->client_node.data = link;
	link->conn = bw_keepconn_create(host->client->loop,
					host->valid ? &host->in : NULL,
					&conn_ops, link);
	host->open_count++;
	host->client->open_count++;
	return link;
}

static void make_idle(link_t *link)
{
	link->call = NULL;
	g_queue_unlink(&link->host->busy, &link->host_node);
	g_queue_push_head_link(&link->host->idle, &link->host_node);
	g_queue_push_head_link(&link->host->client->idle, &link->client_node);
}

static void make_busy(link_t *link, call_t *call)
{
	link->call = call;
	call->link = link;
	g_queue_push_head_link(&link->host->busy, &link->host_node);
}

static void leave_idle(link_t *link)
{
	g_queue_unlink(&link->host->idle, &link->host_node);
	g_queue_unlink(&link->host->client->idle, &link->client_node);
}

static void link_close(link_t *link)
{
	if (link->call)
		g_queue_unlink(&link->host->busy, &link->host_node);
	else
		leave_idle(link);
	bw_keepconn_destroy(link->conn);
	link->host->open_count--;
	link->host->client->open_count--;
	g_free(link);
}

/* Closes the connection that was idle longest if there are too many. With more
 * servers than the limit has places, each call would close one that is needed.
 */
static void make_room(bw_keephttp_t *client)
{
	link_t *oldest = g_queue_peek_tail(&client->idle);
	uint32_t kept = KEPT_PER_HOST * g_hash_table_size(client->hosts);
	host_t *host;

	if (!oldest || client->open_count < MAX(client->connections_max, kept))
		return;
	host = oldest->host;
	link_close(oldest);
	release_host(host);
}

/* Returns an idle connection that can take a request, or NULL; closes those
 * that can't. */
static link_t *find_usable(host_t *host)
{
	link_t *link;

	while ((link = g_queue_peek_head(&host->idle)) != NULL &&
	       !bw_keepconn_usable(link->conn))
		link_close(link);
	return link;
}

/* Returns a connection for a call, or NULL if all that are allowed are busy. */
static link_t *take_link(host_t *host)
{
	link_t *link = find_usable(host);

	if (link) {
		leave_idle(link);
		return link;
	}
	if (host->open_count >= host->client->host_connections_max)
		return NULL;
	make_room(host->client);
	return link_open(host);
}

static void arm_timeout(call_t *call, int64_t now_ms)
{
	struct ev_loop *loop = call->host->client->loop;
	double left_s = (double)(call->due_ms - now_ms) / MS_PER_S;

	ev_timer_stop(loop, &call->timeout);
	ev_timer_set(&call->timeout, left_s, 0.0);
	ev_timer_start(loop, &call->timeout);
}

/* An answer that is waited for keeps its connection from other calls. */
static void limit_answer(call_t *call)
{
	int64_t now_ms = bw_clock_now_ms();

	if (call->answer_ms == 0)
		return;
	call->due_ms = MIN(call->deadline_ms, now_ms + call->answer_ms);
	arm_timeout(call, now_ms);
}

/* Sends the calls that wait, as far as connections are free. */
static void dispatch(host_t *host)
{
	while (!g_queue_is_empty(&host->waiting)) {
		link_t *link = take_link(host);
		call_t *call;

		if (!link)
			return;
		call = g_queue_pop_head(&host->waiting);
		make_busy(link, call);
		bw_keepconn_send(link->conn, call->request);
		limit_answer(call);
	}
}

/* Ends a call; its callback may start others, or destroy the client. */
static void finish_call(call_t *call, const bw_http_answer_t *answer)
{
	bw_http_done_fn done = call->done;
	void *ctx = call->ctx;
	host_t *host = call->host;

	call_free(call);
	dispatch(host);
	release_host(host);
	done(ctx, answer);
}

/* @param cause if it was sent */
static void fail_call(call_t *call, bool sent, bw_cause_t cause)
{
	bw_http_answer_t answer = {
		.outcome = sent ? BW_HTTP_LOST : BW_HTTP_NOT_SENT,
		.cause = sent ? cause : BW_CAUSE_UNCONNECTED,
		.copies = sent,
		.body = "",
	};

	finish_call(call, &answer);
}

static void on_answered(void *ctx, uint32_t status, GString *body,
			bool reusable)
{
	link_t *link = ctx;
	call_t *call = link->call;
	bw_http_answer_t answer = {
		.outcome = BW_HTTP_ANSWERED,
		.copies = 1,
		.status = status,
		.body = body->str,
		.bytes = body->len,
	};

	if (reusable)
		make_idle(link);
	else
		link_close(link);
	finish_call(call, &answer);
	g_string_free(body, TRUE);
}

static void on_ended(void *ctx)
{
	link_t *link = ctx;
	host_t *host = link->host;
	call_t *call = link->call;
	bool sent = bw_keepconn_connected(link->conn);

	link_close(link);
	if (call)
		fail_call(call, sent, BW_CAUSE_CLOSED);
	else
		release_host(host);
}

/* The loop's timers count from the start of an iteration, so this one may fire
 * early. */
static void on_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	call_t *call = timer->data;
	int64_t now_ms = bw_clock_now_ms();
	bool sent = call->link && bw_keepconn_connected(call->link->conn);

	(void)loop;
	(void)revents;
	/* Nothing was sent yet, so no answer is late. */
	if (!sent)
		call->due_ms = call->deadline_ms;
	if (now_ms < call->due_ms) {
		arm_timeout(call, now_ms);
		return;
	}
	if (call->link)
		link_close(call->link);
	else
		g_queue_remove(&call->host->waiting, call);
	fail_call(call, sent, BW_CAUSE_SILENT);
}

static void on_unsent(struct ev_loop *loop, ev_timer *timer, int revents)
{
	call_t *call = timer->data;

	(void)loop;
	(void)revents;
	g_queue_remove(&call->host->unsent, call);
	fail_call(call, false, BW_CAUSE_UNCONNECTED);
}

/* Reports from the event loop that a call is not sent. */
static void refuse_call(call_t *call)
{
	ev_timer_init(&call->timeout, on_unsent, 0.0, 0.0);
	ev_timer_start(call->host->client->loop, &call->timeout);
	g_queue_push_tail(&call->host->unsent, call);
}

/* Sends a call as soon as a connection is free. */
static void queue_call(call_t *call, int64_t timeout_ms)
{
	int64_t now_ms = bw_clock_now_ms();

	call->deadline_ms = now_ms + timeout_ms;
	call->due_ms = call->deadline_ms;
	ev_init(&call->timeout, on_timeout);
	/* After the sockets, so that an answer that has arrived counts. */
	ev_set_priority(&call->timeout, EV_MINPRI);
	arm_timeout(call, now_ms);
	g_queue_push_tail(&call->host->waiting, call);
	dispatch(call->host);
}

static GString *format_request(const bw_keephttp_request_t *request)
{
	GString *text = g_string_sized_new(request->bytes + HEADER_BYTES);

	g_string_append_printf(text,
			       "POST %s HTTP/1.1\r\nHost: %s\r\n%s"
			       "Content-Length: %zu\r\n\r\n",
			       request->path, request->address,
			       request->headers ? request->headers : "",
			       request->bytes);
	return g_string_append_len(text, request->body, (gssize)request->bytes);
}

bw_keephttp_t *bw_keephttp_create(struct ev_loop *loop,
				  uint32_t host_connections_max,
				  uint32_t connections_max)
{
	bw_keephttp_t *client = g_new0(bw_keephttp_t, 1);

	client->loop = loop;
	client->host_connections_max = host_connections_max;
	client->connections_max = connections_max;
	client->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	g_queue_init(&client->idle);
	return client;
}

/* Ends a call without its callback. */
static void drop_call(call_t *call)
{
	if (call->release)
		call->release(call->ctx);
	call_free(call);
}

static void host_close(host_t *host)
{
	link_t *link;
	call_t *call;

	while ((link = g_queue_peek_head(&host->busy)) != NULL) {
		drop_call(link->call);
		link_close(link);
	}
	while ((link = g_queue_peek_head(&host->idle)) != NULL)
		link_close(link);
	while ((call = g_queue_pop_head(&host->waiting)) != NULL)
		drop_call(call);
	while ((call = g_queue_pop_head(&host->unsent)) != NULL)
		drop_call(call);
}

void bw_keephttp_destroy(bw_keephttp_t *client)
{
	GHashTableIter iter;
	gpointer host;

	if (!client)
		return;
	g_hash_table_iter_init(&iter, client->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host))
		host_close(host);
	g_hash_table_destroy(client->hosts);
	g_free(client);
}

void bw_keephttp_call(bw_keephttp_t *client,
		      const bw_keephttp_request_t *request,
		      bw_http_done_fn done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);

	call->host = get_host(client, request->address);
	call->request = format_request(request);
	call->done = done;
	call->release = request->release;
	call->ctx = ctx;
	call->answer_ms = request->answer_ms;
	call->timeout.data = call;
	/* Every idle connection has answered, and no call waits beside one. */
	if (request->kept_only && !find_usable(call->host))
		refuse_call(call);
	else
		queue_call(call, request->timeout_ms);
}
