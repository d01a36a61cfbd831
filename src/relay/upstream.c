#include "relay/upstream.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <glib.h>

#include "net/curlev.h"

#define RECEIVE_BUFFER_BYTES 65536L
#define CONNECT_TIMEOUT_MS   1000L
#define IDLE_HANDLES_MAX     1024
#define IDLE_CONNECTION_S    60L
#define LENGTH_UNKNOWN	     UINT64_MAX

struct bw_attempt {
	bw_upstream_t *upstream;
	bw_transfer_t transfer;
	void *ctx;
	bw_attempt_request_t request;
	unsigned int status;
	uint64_t length; /**< Declared body length, or LENGTH_UNKNOWN. */
	bool chunked;
	bool malformed; /**< The answer violates HTTP. */
	bool in_body;
	bool status_reported;
};

struct bw_upstream {
	bw_curlev_t *curl;
	const bw_attempt_ops_t *ops;
	GPtrArray *idle_handles; /**< CURL handles to reuse. */
};

static void set_options(bw_attempt_t *a);
static size_t on_header(char *data, size_t size, size_t count, void *ctx);
static size_t on_data(char *data, size_t size, size_t count, void *ctx);
static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode result);
static bool parse_status_line(bw_attempt_t *a, const char *line);
static void handle_header(bw_attempt_t *a, char *line);
static void handle_head_end(bw_attempt_t *a);
static void parse_content_length(bw_attempt_t *a, const char *value);
static bool end_is_marked(const bw_attempt_t *a);
static bw_attempt_result_t classify(const bw_attempt_t *a, CURLcode result);
static void free_attempt(bw_attempt_t *a);

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
	if (a->transfer.copies == 0)
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
		curl_easy_reset(a->transfer.easy);
		g_ptr_array_add(a->upstream->idle_handles, a->transfer.easy);
	} else {
		curl_easy_cleanup(a->transfer.easy);
	}
	g_free(a);
}

static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode result)
{
	bw_attempt_t *a = ctx;
	bw_upstream_t *u = a->upstream;
	void *attempt_ctx = a->ctx;
	bw_attempt_result_t attempt_result = classify(a, result);

	(void)transfer;
	free_attempt(a);
	u->ops->done(attempt_ctx, attempt_result);
}

static void set_options(bw_attempt_t *a)
{
	const bw_attempt_request_t *r = &a->request;
	CURL *easy = a->transfer.easy;
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
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_S);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, a);
}

bw_upstream_t *bw_upstream_create(struct ev_loop *loop,
				  const bw_attempt_ops_t *ops,
				  uint32_t connections_max,
				  bw_counters_t *counters)
{
	bw_upstream_t *u = g_new0(bw_upstream_t, 1);
	CURLM *multi;

	u->curl = bw_curlev_create(loop, on_done, counters);
	u->ops = ops;
	u->idle_handles = g_ptr_array_new_with_free_func(curl_easy_cleanup);
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
		a->transfer.easy = g_ptr_array_steal_index_fast(
			u->idle_handles, u->idle_handles->len - 1);
	else
		a->transfer.easy = curl_easy_init();
	/* Whether a request is tried again is decided by its caller. */
	a->transfer.once = true;
	a->transfer.ctx = a;
	a->transfer.timeout_ms = request->timeout_ms;
	set_options(a);
	bw_curlev_add(u->curl, &a->transfer);
	return a;
}

void bw_attempt_resume(bw_attempt_t *a)
{
	curl_easy_pause(a->transfer.easy, CURLPAUSE_CONT);
}

void bw_attempt_abort(bw_attempt_t *a)
{
	bw_curlev_remove(a->upstream->curl, &a->transfer);
	free_attempt(a);
}
