#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

/** Lowest HTTP status that reports an error. */
#define HTTP_STATUS_ERROR_MIN 400

/** A store call that is waited for, and its result. */
typedef struct store_call {
	bw_ctl_t *ctl;
	const char *key;
	bw_ctl_value_t value;
	bw_status_t status;
} store_call_t;

static void on_read(void *ctx, const bw_store_reply_t *reply);
static void on_written(void *ctx, const bw_store_reply_t *reply);
static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents);

static void on_read(void *ctx, const bw_store_reply_t *reply)
{
	store_call_t *call = ctx;
	size_t i;

	call->value.status = reply->status;
	for (i = 0; i < reply->kv_count; i++) {
		if (strcmp(reply->kvs[i].key, call->key) != 0)
			continue;
		call->value.text = g_strdup(reply->kvs[i].value);
		call->value.revision = reply->kvs[i].mod_revision;
	}
	ev_break(call->ctl->loop, EVBREAK_ALL);
}

bw_ctl_value_t bw_ctl_read(bw_ctl_t *c, const char *name)
{
	char *key = g_strconcat(c->prefix, "/", name, NULL);
	store_call_t call = { .ctl = c, .key = key };

	c->store.ops->range(c->store.impl, key, on_read, &call);
	ev_run(c->loop, 0);
	g_free(key);
	return call.value;
}

/** A range read that is waited for, and its callback. */
typedef struct range_call {
	bw_ctl_t *ctl;
	void (*fn)(void *ctx, const char *name, const char *text,
		   int64_t revision);
	void *ctx;
	bw_status_t status;
} range_call_t;

static void on_range(void *ctx, const bw_store_reply_t *reply)
{
	range_call_t *call = ctx;
	size_t skip = strlen(call->ctl->prefix) + 1;
	size_t i;

	call->status = reply->status;
	for (i = 0; i < reply->kv_count; i++)
		call->fn(call->ctx, reply->kvs[i].key + skip,
			 reply->kvs[i].value, reply->kvs[i].mod_revision);
	ev_break(call->ctl->loop, EVBREAK_ALL);
}

bw_status_t bw_ctl_read_all(bw_ctl_t *c, const char *name,
			    void (*fn)(void *ctx, const char *name,
				       const char *text, int64_t revision),
			    void *ctx)
{
	char *prefix = g_strconcat(c->prefix, "/", name, NULL);
	range_call_t call = { .ctl = c, .fn = fn, .ctx = ctx };

	c->store.ops->range(c->store.impl, prefix, on_range, &call);
	ev_run(c->loop, 0);
	g_free(prefix);
	return call.status;
}

static void on_written(void *ctx, const bw_store_reply_t *reply)
{
	store_call_t *call = ctx;

	call->status = reply->status;
	if (reply->status == BW_OK && !reply->succeeded)
		call->status = bw_status_set(
			BW_ECONFLICT, "the key was changed by another write");
	ev_break(call->ctl->loop, EVBREAK_ALL);
}

bw_status_t bw_ctl_write(bw_ctl_t *c, const char *name, int64_t revision,
			 const char *text)
{
	char *key = g_strconcat(c->prefix, "/", name, NULL);
	bw_store_cas_t cas = { .key = key,
			       .value = text,
			       .bytes = strlen(text),
			       .mod_revision = revision };
	store_call_t call = { .ctl = c };

	c->store.ops->cas(c->store.impl, &cas, on_written, &call);
	ev_run(c->loop, 0);
	g_free(key);
	return call.status;
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

char *bw_ctl_call(bw_ctl_t *c, const char *method, const char *address,
		  const char *path, const char *body, long *status,
		  bw_status_t *outcome)
{
	CURL *easy = curl_easy_init();
	GString *answer = g_string_new(NULL);
	char *url = g_strconcat("http://", address, path, NULL);
	CURLcode result;
	long sent_bytes = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)c->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	result = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	curl_easy_cleanup(easy);
	g_free(url);
	*outcome = BW_OK;
	if (result == CURLE_OK)
		return g_string_free(answer, FALSE);
	*outcome = bw_status_set(sent_bytes > 0 ? BW_ELOST : BW_EUNAVAIL,
				 "%s: %s", address, curl_easy_strerror(result));
	g_string_free(answer, TRUE);
	return NULL;
}

char *bw_ctl_get(bw_ctl_t *c, const char *address, const char *path)
{
	long status = 0;
	bw_status_t outcome;
	char *body =
		bw_ctl_call(c, "GET", address, path, NULL, &status, &outcome);

	if (!body || status < HTTP_STATUS_ERROR_MIN)
		return body;
	bw_status_set(BW_EUNAVAIL, "%s: HTTP status %ld", address, status);
	g_free(body);
	return NULL;
}

char *bw_ctl_read_file(const char *path)
{
	GError *error = NULL;
	char *text = NULL;

	if (!strcmp(path, "-"))
		path = "/dev/stdin";
	if (g_file_get_contents(path, &text, NULL, &error))
		return text;
	fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
	return NULL;
}

bw_exit_t bw_ctl_report_error(bw_status_t status)
{
	fprintf(stderr, "bramleyctl: %s: %s\n", bw_status_name(status),
		bw_status_message());
	if (status == BW_ELOST)
		return BW_EXIT_UNKNOWN;
	if (status == BW_ECONFLICT)
		return BW_EXIT_CONFLICT;
	return BW_EXIT_UNAVAILABLE;
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

void bw_ctl_sleep(bw_ctl_t *c, int64_t ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, (double)ms / 1000.0, 0.0);
	ev_timer_start(c->loop, &timer);
	ev_run(c->loop, 0);
}
