#include "relay/upstream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "net/curlev.h"

#define RECEIVE_BUFFER_BYTES 65536L
#define CONNECT_TIMEOUT_MS   1000L
#define IDLE_HANDLES_MAX     1024
#define IDLE_CONNECTION_S    60L
#define LENGTH_UNKNOWN	     UINT64_MAX

struct bw_attempt {
	bw_upstream_t *upstream;
	CURL *easy;
	void *ctx;
	bw_attempt_request_t request;
	unsigned int status;
	uint64_t length; /**< Declared body length, or LENGTH_UNKNOWN. */
	bool chunked;
	bool sent; /**< The server may have received bytes. */
	bool stale_connection; /**< A reused connection was unusable. */
	bool malformed; /**< The answer violates HTTP. */
	bool in_body;
	bool status_reported;
};

struct bw_upstream {
	bw_curlev_t *curl;
	const bw_attempt_ops_t *ops;
	bw_counters_t *counters;
	GPtrArray *idle_handles; /**< CURL handles to reuse. */
	GHashTable *by_tuple; /**< connection_key() to socket + 1. */
	GHashTable *by_socket; /**< Socket + 1 to connection_key(). */
};

static void set_options(bw_attempt_t *a, bool new_connection);
static int on_prereq(void *ctx, char *remote_ip, char *local_ip,
		     int remote_port, int local_port);
static int on_close_socket(void *ctx, curl_socket_t fd);
static size_t on_header(char *data, size_t size, size_t count, void *ctx);
static size_t on_data(char *data, size_t size, size_t count, void *ctx);
static void on_ending(void *ctx, CURL *easy, CURLcode result);
static void on_done(void *ctx, CURL *easy, CURLcode result);
static bool parse_status_line(bw_attempt_t *a, const char *line);
static void handle_header(bw_attempt_t *a, char *line);
static void handle_head_end(bw_attempt_t *a);
static void parse_content_length(bw_attempt_t *a, const char *value);
static bool end_is_marked(const bw_attempt_t *a);
static bw_attempt_result_t classify(const bw_attempt_t *a, CURLcode result);
static void record_connection(bw_upstream_t *u, CURL *easy);
static uint64_t connection_key(const char *ip, int remote_port, int local_port);
static void free_attempt(bw_attempt_t *a);

static uint64_t connection_key(const char *ip, int remote_port, int local_port)
{
	uint64_t hash = g_str_hash(ip);

	return hash << 32 | (uint64_t)(uint16_t)remote_port << 16 |
	       (uint16_t)local_port;
}

/* Records the socket of a connection that libcurl may reuse. */
static void record_connection(bw_upstream_t *u, CURL *easy)
{
	curl_socket_t fd = CURL_SOCKET_BAD;
	char *ip = NULL;
	long remote_port = 0;
	long local_port = 0;
	uint64_t *key;

	curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &fd);
	if (fd == CURL_SOCKET_BAD)
		return;
	if (g_hash_table_contains(u->by_socket, GINT_TO_POINTER(fd + 1)))
		return;
	curl_easy_getinfo(easy, CURLINFO_PRIMARY_IP, &ip);
	curl_easy_getinfo(easy, CURLINFO_PRIMARY_PORT, &remote_port);
	curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &local_port);
	key = g_new(uint64_t, 1);
	*key = connection_key(ip, (int)remote_port, (int)local_port);
	g_hash_table_replace(u->by_tuple, key, GINT_TO_POINTER(fd + 1));
	g_hash_table_replace(u->by_socket, GINT_TO_POINTER(fd + 1), key);
}

static int on_close_socket(void *ctx, curl_socket_t fd)
{
	bw_upstream_t *u = ctx;
	uint64_t *key =
		g_hash_table_lookup(u->by_socket, GINT_TO_POINTER(fd + 1));

	if (key) {
		g_hash_table_remove(u->by_socket, GINT_TO_POINTER(fd + 1));
		g_hash_table_remove(u->by_tuple, key);
	}
	return close(fd);
}

/*
 * Called when the connection is ready, before the first byte of the request, so
 * that a->sent tells whether anything may have been sent. A reused connection
 * must be open and have no bytes to read: they would be taken for this
 * request's answer.
 */
static int on_prereq(void *ctx, char *remote_ip, char *local_ip,
		     int remote_port, int local_port)
{
	bw_attempt_t *a = ctx;
	uint64_t key = connection_key(remote_ip, remote_port, local_port);
	gpointer found = g_hash_table_lookup(a->upstream->by_tuple, &key);
	char byte;
	ssize_t n;

	(void)local_ip;
	/* Prevents libcurl's own retry after a reused connection closed. */
	if (a->sent)
		return CURL_PREREQFUNC_ABORT;
	if (found) {
		n = recv(GPOINTER_TO_INT(found) - 1, &byte, 1,
			 MSG_PEEK | MSG_DONTWAIT);
		if (n > 0)
			bw_count(a->upstream->counters, BW_C_STALE_BYTES, 1);
		if (n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
			a->stale_connection = true;
			return CURL_PREREQFUNC_ABORT;
		}
	}
	a->sent = true;
	return CURL_PREREQFUNC_OK;
}

static bool parse_status_line(bw_attempt_t *a, const char *line)
{
	const char *space = strchr(line, ' ');

	if (strncmp(line, "HTTP/", 5) != 0 || !space)
		return false;
	a->status = (unsigned int)strtoul(space + 1, NULL, 10);
	a->length = LENGTH_UNKNOWN;
	a->chunked = false;
	a->status_reported = false;
	return true;
}

static void parse_content_length(bw_attempt_t *a, const char *value)
{
	guint64 length;

	if (!g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT64, &length,
					NULL) ||
	    (a->length != LENGTH_UNKNOWN && a->length != length)) {
		a->malformed = true;
		return;
	}
	a->length = length;
}

static void handle_header(bw_attempt_t *a, char *line)
{
	char *colon = strchr(line, ':');
	const char *value;

	if (!colon) {
		a->malformed = true;
		return;
	}
	*colon = '\0';
	value = g_strstrip(colon + 1);
	if (!strcasecmp(line, "Content-Length"))
		parse_content_length(a, value);
	else if (!strcasecmp(line, "Transfer-Encoding"))
		a->chunked = !strcasecmp(value, "chunked");
	if (!a->status_reported) {
		a->status_reported = true;
		a->upstream->ops->status(a->ctx, a->status);
	}
	a->upstream->ops->header(a->ctx, line, value);
}

/* Whether the end of the answer differs from a broken connection. */
static bool end_is_marked(const bw_attempt_t *a)
{
	if (!strcmp(a->request.method, "HEAD"))
		return true;
	if (a->status == 204 || a->status == 304)
		return true;
	return a->chunked || a->length != LENGTH_UNKNOWN;
}

static void handle_head_end(bw_attempt_t *a)
{
	if (a->status < 200)
		return;
	a->in_body = true;
	if (!end_is_marked(a))
		a->malformed = true;
	if (!a->status_reported)
		a->upstream->ops->status(a->ctx, a->status);
	if (a->length != LENGTH_UNKNOWN && !a->chunked)
		a->upstream->ops->length(a->ctx, a->length);
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	bw_attempt_t *a = ctx;
	size_t bytes = size * count;
	char *line;

	/* Also called for trailers, after the body; they are dropped. */
	if (a->in_body)
		return bytes;
	line = g_strndup(data, bytes);
	g_strchomp(line);
	if (*line == '\0')
		handle_head_end(a);
	else if (!parse_status_line(a, line) && a->status >= 200)
		handle_header(a, line);
	g_free(line);
	return a->malformed ? 0 : bytes;
}

static size_t on_data(char *data, size_t size, size_t count, void *ctx)
{
	bw_attempt_t *a = ctx;
	size_t bytes = size * count;

	if (!a->upstream->ops->data(a->ctx, data, bytes))
		return CURL_WRITEFUNC_PAUSE;
	return bytes;
}

static bw_attempt_result_t classify(const bw_attempt_t *a, CURLcode result)
{
	if (a->malformed)
		return BW_ATTEMPT_BAD_ANSWER;
	if (result == CURLE_OK)
		return BW_ATTEMPT_OK;
	if (!a->sent)
		return BW_ATTEMPT_NOT_SENT;
	if (result == CURLE_OPERATION_TIMEDOUT)
		return BW_ATTEMPT_TIMEOUT;
	if (result == CURLE_WEIRD_SERVER_REPLY ||
	    result == CURLE_UNSUPPORTED_PROTOCOL ||
	    result == CURLE_BAD_CONTENT_ENCODING)
		return BW_ATTEMPT_BAD_ANSWER;
	return BW_ATTEMPT_BROKEN;
}

static void free_attempt(bw_attempt_t *a)
{
	if (a->upstream->idle_handles->len < IDLE_HANDLES_MAX) {
		curl_easy_reset(a->easy);
		g_ptr_array_add(a->upstream->idle_handles, a->easy);
	} else {
		curl_easy_cleanup(a->easy);
	}
	g_free(a);
}

static void on_ending(void *ctx, CURL *easy, CURLcode result)
{
	bw_attempt_t *a = ctx;

	if (result == CURLE_OK)
		record_connection(a->upstream, easy);
}

static void on_done(void *ctx, CURL *easy, CURLcode result)
{
	bw_attempt_t *a = ctx;
	bw_upstream_t *u = a->upstream;
	void *attempt_ctx = a->ctx;
	bw_attempt_result_t attempt_result;

	if (a->stale_connection && !a->sent) {
		a->stale_connection = false;
		curl_easy_reset(easy);
		set_options(a, true);
		bw_curlev_add(u->curl, easy);
		return;
	}
	attempt_result = classify(a, result);
	free_attempt(a);
	u->ops->done(attempt_ctx, attempt_result);
}

static void set_options(bw_attempt_t *a, bool new_connection)
{
	const bw_attempt_request_t *r = &a->request;
	CURL *easy = a->easy;
	char url[80];

	g_snprintf(url, sizeof(url), "http://%s/", r->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, r->target);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
	if (!strcmp(r->method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (r->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body_bytes);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, r->body);
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, r->headers);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)r->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_S);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, a);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, a->upstream);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, a);
	if (new_connection)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

bw_upstream_t *bw_upstream_create(struct ev_loop *loop,
				  const bw_attempt_ops_t *ops,
				  uint32_t connections_max,
				  bw_counters_t *counters)
{
	bw_upstream_t *u = g_new0(bw_upstream_t, 1);
	CURLM *multi;

	u->curl = bw_curlev_create(loop, on_done, on_ending);
	u->ops = ops;
	u->counters = counters;
	u->idle_handles = g_ptr_array_new_with_free_func(curl_easy_cleanup);
	u->by_socket = g_hash_table_new(NULL, NULL);
	u->by_tuple = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	multi = bw_curlev_multi(u->curl);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 65536L);
	curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)connections_max);
	return u;
}

void bw_upstream_destroy(bw_upstream_t *u)
{
	if (!u)
		return;
	g_ptr_array_free(u->idle_handles, TRUE);
	bw_curlev_destroy(u->curl);
	g_hash_table_destroy(u->by_tuple);
	g_hash_table_destroy(u->by_socket);
	g_free(u);
}

bw_attempt_t *bw_attempt_start(bw_upstream_t *u,
			       const bw_attempt_request_t *request, void *ctx)
{
	bw_attempt_t *a = g_new0(bw_attempt_t, 1);

	a->upstream = u;
	a->ctx = ctx;
	a->request = *request;
	a->length = LENGTH_UNKNOWN;
	if (u->idle_handles->len > 0)
		a->easy = g_ptr_array_steal_index_fast(
			u->idle_handles, u->idle_handles->len - 1);
	else
		a->easy = curl_easy_init();
	set_options(a, false);
	bw_curlev_add(u->curl, a->easy);
	return a;
}

void bw_attempt_resume(bw_attempt_t *a)
{
	curl_easy_pause(a->easy, CURLPAUSE_CONT);
}

void bw_attempt_abort(bw_attempt_t *a)
{
	bw_curlev_remove(a->upstream->curl, a->easy);
	free_attempt(a);
}
