#include "net/httpcall.h"

#include <errno.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#define BW_LOG_PART "net"
#include "base/log.h"

#include "base/clock.h"
#include "net/curlev.h"

/** Size of a client's connection cache. Connections in use count too, so it is
 *  larger than the number of a pool's workers, and a quarter of the descriptors
 *  of a small node. */
#define CACHED_CONNECTIONS_MAX 1024L
/** Idle handles kept of each kind: as many as a surge has calls at a time. */
#define IDLE_HANDLES_MAX 256U
#define RECEIVE_BYTES	 16384L
/** A longer answer ends the call. The longest that a store gives has 32 values
 *  of 1 MB in base64. */
#define ANSWER_BYTES_MAX ((size_t)64 << 20)
/** Send buffer of a connection. What the kernel holds counts as sent, so it is
 *  less than a slow link's share carries in a stall's time; a round trip of 4
 *  ms still carries 16 MB a second. */
#define SEND_BUFFER_BYTES 65536
#define MS_PER_S	  1000.0

/** Kinds of easy handles, each with options that are set only once. */
typedef enum handle_kind {
	HANDLE_GET,
	HANDLE_POST,
	HANDLE_OTHER, /**< Any other method, reset after each call. */
	HANDLE_KIND_COUNT
} handle_kind_t;

struct bw_http_client {
	struct ev_loop *loop;
	bw_curlev_t *driver;
	GQueue idle_handles[HANDLE_KIND_COUNT]; /**< For reuse. */
	GHashTable *calls; /**< Calls in progress. */
	ev_timer stall; /**< Fires when the first silence may be too long. */
	int64_t stall_check_ms; /**< When it fires; only while it is active. */
};

typedef struct call {
	bw_http_client_t *client;
	bw_transfer_t transfer;
	handle_kind_t kind;
	char *body; /**< Sent by libcurl; NULL is none. */
	struct curl_slist *headers;
	GString *answer;
	bw_http_done_fn done;
	bw_http_release_fn release;
	void *ctx;
	int64_t stall_ms; /**< 0 is none. */
	bool may_queue;
	int64_t wait_ms;
	int64_t progress_ms; /**< When a byte was last sent or received. */
	curl_off_t sent_bytes; /**< Of the request's body. */
} call_t;

static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode result);
static bw_http_outcome_t outcome_of(const bw_transfer_t *transfer,
				    CURLcode result);
static void call_free(call_t *call);
static CURL *get_easy(bw_http_client_t *client, handle_kind_t kind);
static void put_easy(bw_http_client_t *client, handle_kind_t kind, CURL *easy);
static void set_options(call_t *call, const bw_http_request_t *request);
static void on_stall_check(struct ev_loop *loop, ev_timer *timer, int revents);

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	call_t *call = ctx;

	if (call->answer->len + size * count > ANSWER_BYTES_MAX) {
		g_warning("An answer is longer than %zu bytes.",
			  ANSWER_BYTES_MAX);
		return 0;
	}
	g_string_append_len(call->answer, data, (gssize)(size * count));
	call->progress_ms = bw_clock_now_ms();
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	call_t *call = ctx;

	(void)data;
	call->progress_ms = bw_clock_now_ms();
	return size * count;
}

/* Called by libcurl when it has created a socket. */
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	int bytes = SEND_BUFFER_BYTES;

	(void)ctx;
	(void)purpose;
	if (setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)) < 0)
		g_warning("Cannot limit a send buffer: %s.", strerror(errno));
	return CURL_SOCKOPT_OK;
}

/* Called by libcurl after each step of a transfer. */
static int on_transfer_step(void *ctx, curl_off_t received_max,
			    curl_off_t received, curl_off_t sent_max,
			    curl_off_t sent)
{
	call_t *call = ctx;

	(void)received_max;
	(void)received;
	(void)sent_max;
	if (sent == call->sent_bytes)
		return 0;
	call->sent_bytes = sent;
	call->progress_ms = bw_clock_now_ms();
	return 0;
}

static bw_http_outcome_t outcome_of(const bw_transfer_t *transfer,
				    CURLcode result)
{
	if (result == CURLE_OK)
		return BW_HTTP_ANSWERED;
	return transfer->copies == 0 ? BW_HTTP_NOT_SENT : BW_HTTP_LOST;
}

static void call_free(call_t *call)
{
	curl_slist_free_all(call->headers);
	g_free(call->body);
	g_string_free(call->answer, TRUE);
	g_free(call);
}

static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode result)
{
	call_t *call = ctx;
	bw_http_client_t *client = call->client;
	int64_t now_ms = bw_clock_now_ms();
	bw_http_answer_t answer = {
		.outcome = outcome_of(transfer, result),
		.cause = bw_transfer_cause(transfer, result),
		.copies = transfer->copies,
		.kept_connection = transfer->kept_connection,
		.queued_ms = bw_transfer_queued_ms(transfer, now_ms),
		.took_ms = now_ms - transfer->added_ms,
	};
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	answer.status = (uint32_t)status;
	answer.body = call->answer->str;
	answer.bytes = call->answer->len;
	g_hash_table_remove(client->calls, call);
	put_easy(client, call->kind, transfer->easy);
	call->done(call->ctx, &answer);
	call_free(call);
}

static int64_t silent_since_ms(const call_t *call, int64_t now_ms)
{
	if (!call->may_queue)
		return call->progress_ms;
	if (call->transfer.begun_ms == 0)
		return now_ms;
	return MAX(call->progress_ms, call->transfer.begun_ms);
}

/* Returns when a call ends unless a byte is sent or received before, or its
 * turn comes. */
static int64_t stall_deadline_ms(const call_t *call, int64_t now_ms)
{
	bool body_began = call->answer->len > 0;

	return silent_since_ms(call, now_ms) + call->stall_ms +
	       (body_began ? 0 : call->wait_ms);
}

static void check_stall_at(bw_http_client_t *client, int64_t at_ms,
			   int64_t now_ms)
{
	double delay_s = (double)MAX(at_ms - now_ms, 0) / MS_PER_S;

	if (ev_is_active(&client->stall) && client->stall_check_ms <= at_ms)
		return;
	ev_timer_stop(client->loop, &client->stall);
	ev_timer_set(&client->stall, delay_s, 0.0);
	ev_timer_start(client->loop, &client->stall);
	client->stall_check_ms = at_ms;
}

/* Returns the calls that have been silent too long; plans the next check. */
static GPtrArray *take_stalled(bw_http_client_t *client, int64_t now_ms)
{
	GPtrArray *stalled = g_ptr_array_new();
	int64_t next_ms = INT64_MAX;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, client->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const call_t *call = key;
		int64_t deadline_ms;

		if (call->stall_ms == 0)
			continue;
		deadline_ms = stall_deadline_ms(call, now_ms);
		if (deadline_ms <= now_ms)
			g_ptr_array_add(stalled, key);
		else
			next_ms = MIN(next_ms, deadline_ms);
	}
	if (next_ms != INT64_MAX)
		check_stall_at(client, next_ms, now_ms);
	return stalled;
}

static void on_stall_check(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_http_client_t *client = timer->data;
	GPtrArray *stalled = take_stalled(client, bw_clock_now_ms());
	guint i;

	(void)loop;
	(void)revents;
	for (i = 0; i < stalled->len; i++) {
		call_t *call = g_ptr_array_index(stalled, i);

		bw_curlev_remove(client->driver, &call->transfer);
		on_done(call, &call->transfer, CURLE_OPERATION_TIMEDOUT);
	}
	g_ptr_array_free(stalled, TRUE);
}

static handle_kind_t kind_of(const bw_http_request_t *request)
{
	if (request->body && !strcmp(request->method, "POST"))
		return HANDLE_POST;
	if (!request->body && !strcmp(request->method, "GET"))
		return HANDLE_GET;
	return HANDLE_OTHER;
}

/* Sets the options that are the same for all calls of a kind. */
static void set_common_options(CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BYTES);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
}

static CURL *get_easy(bw_http_client_t *client, handle_kind_t kind)
{
	CURL *easy = g_queue_pop_head(&client->idle_handles[kind]);

	if (easy)
		return easy;
	easy = curl_easy_init();
	set_common_options(easy);
	return easy;
}

static void put_easy(bw_http_client_t *client, handle_kind_t kind, CURL *easy)
{
	GQueue *idle = &client->idle_handles[kind];

	if (g_queue_get_length(idle) >= IDLE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	if (kind == HANDLE_OTHER) {
		curl_easy_reset(easy);
		set_common_options(easy);
	}
	g_queue_push_head(idle, easy);
}

/* Only calls that end by silence need to know of each step. */
static void set_step_options(call_t *call, const bw_http_request_t *request)
{
	bool watched = request->stall_ms > 0;
	CURL *easy = call->transfer.easy;

	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION,
			 watched ? on_header : NULL);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, watched ? call : NULL);
	if (!request->body)
		return;
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_transfer_step);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, call);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, watched ? 0L : 1L);
}

static void set_options(call_t *call, const bw_http_request_t *request)
{
	CURL *easy = call->transfer.easy;
	const char *const *header;

	for (header = request->headers; header && *header; header++)
		call->headers = curl_slist_append(call->headers, *header);
	/* Without this, libcurl waits for "100 Continue", a round trip. */
	if (request->body)
		call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	if (call->kind == HANDLE_OTHER)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	set_step_options(call, request);
	if (!request->body)
		return;
	call->body = g_memdup2(request->body, request->bytes + 1);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)request->bytes);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
}

bw_http_client_t *bw_http_client_create(struct ev_loop *loop,
					uint32_t host_connections_max)
{
	bw_http_client_t *client = g_new0(bw_http_client_t, 1);
	CURLM *multi;
	int kind;

	client->loop = loop;
	ev_timer_init(&client->stall, on_stall_check, 0.0, 0.0);
	/* After the sockets, so that bytes that have arrived count first. */
	ev_set_priority(&client->stall, EV_MINPRI);
	client->stall.data = client;
	for (kind = 0; kind < HANDLE_KIND_COUNT; kind++)
		g_queue_init(&client->idle_handles[kind]);
	client->calls = g_hash_table_new(NULL, NULL);
	client->driver = bw_curlev_create(loop, on_done, NULL);
	multi = bw_curlev_multi(client->driver);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)host_connections_max);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	return client;
}

void bw_http_client_destroy(bw_http_client_t *client)
{
	GHashTableIter iter;
	gpointer key;
	CURL *easy;
	int kind;

	if (!client)
		return;
	ev_timer_stop(client->loop, &client->stall);
	g_hash_table_iter_init(&iter, client->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		call_t *call = key;

		bw_curlev_remove(client->driver, &call->transfer);
		curl_easy_cleanup(call->transfer.easy);
		if (call->release)
			call->release(call->ctx);
		call_free(call);
	}
	g_hash_table_destroy(client->calls);
	for (kind = 0; kind < HANDLE_KIND_COUNT; kind++)
		while ((easy = g_queue_pop_head(&client->idle_handles[kind])) !=
		       NULL)
			curl_easy_cleanup(easy);
	bw_curlev_destroy(client->driver);
	g_free(client);
}

void bw_http_call(bw_http_client_t *client, const bw_http_request_t *request,
		  bw_http_done_fn done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);

	call->client = client;
	call->kind = kind_of(request);
	call->transfer.easy = get_easy(client, call->kind);
	call->transfer.ctx = call;
	call->transfer.timeout_ms = request->timeout_ms;
	/* The first copy of another method may have been carried out. */
	call->transfer.once = strcmp(request->method, "GET") != 0;
	call->answer = g_string_new(NULL);
	call->done = done;
	call->release = request->release;
	call->ctx = ctx;
	call->stall_ms = request->stall_ms;
	call->may_queue = request->may_queue;
	call->wait_ms = request->wait_ms;
	call->progress_ms = bw_clock_now_ms();
	g_hash_table_add(client->calls, call);
	set_options(call, request);
	bw_curlev_add(client->driver, &call->transfer);
	if (call->stall_ms > 0)
		check_stall_at(client,
			       stall_deadline_ms(call, call->progress_ms),
			       call->progress_ms);
}
