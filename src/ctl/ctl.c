#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

/** Waits for one store call. */
typedef struct wait {
	bw_ctl_t *ctl;
	const char *key;
	bw_ctl_value_t value;
	bw_status_t status;
} wait_t;

static void on_read(void *ctx, const bw_store_reply_t *reply);
static void on_written(void *ctx, const bw_store_reply_t *reply);
/** HTTP statuses from here on are errors. */
#define HTTP_ERRORS 400

static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static void on_slept(struct ev_loop *loop, ev_timer *timer, int revents);

static void on_read(void *ctx, const bw_store_reply_t *reply)
{
	wait_t *w = ctx;
	size_t i;

	w->value.status = reply->status;
	for (i = 0; i < reply->kv_count; i++) {
		if (strcmp(reply->kvs[i].key, w->key) != 0)
			continue;
		w->value.text = g_strdup(reply->kvs[i].value);
		w->value.revision = reply->kvs[i].mod_revision;
	}
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

bw_ctl_value_t bw_ctl_read(bw_ctl_t *c, const char *name)
{
	char *key = g_strconcat(c->prefix, "/", name, NULL);
	wait_t w = { .ctl = c, .key = key };

	c->store.ops->range(c->store.impl, key, on_read, &w);
	ev_run(c->loop, 0);
	g_free(key);
	return w.value;
}

/** Waits for the keys of a range. */
typedef struct wait_all {
	bw_ctl_t *ctl;
	void (*fn)(void *ctx, const char *name, const char *text,
		   int64_t revision);
	void *ctx;
	bw_status_t status;
} wait_all_t;

static void on_read_all(void *ctx, const bw_store_reply_t *reply)
{
	wait_all_t *w = ctx;
	size_t skip = strlen(w->ctl->prefix) + 1;
	size_t i;

	w->status = reply->status;
	for (i = 0; i < reply->kv_count; i++)
		w->fn(w->ctx, reply->kvs[i].key + skip, reply->kvs[i].value,
		      reply->kvs[i].mod_revision);
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

bw_status_t bw_ctl_read_all(bw_ctl_t *c, const char *name,
			    void (*fn)(void *ctx, const char *name,
				       const char *text, int64_t revision),
			    void *ctx)
{
	char *prefix = g_strconcat(c->prefix, "/", name, NULL);
	wait_all_t w = { .ctl = c, .fn = fn, .ctx = ctx };

	c->store.ops->range(c->store.impl, prefix, on_read_all, &w);
	ev_run(c->loop, 0);
	g_free(prefix);
	return w.status;
}

static void on_written(void *ctx, const bw_store_reply_t *reply)
{
	wait_t *w = ctx;

	w->status = reply->status;
	if (reply->status == BW_OK && !reply->succeeded)
		w->status =
			bw_status_set(BW_ECONFLICT, "another write came first");
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

bw_status_t bw_ctl_write(bw_ctl_t *c, const char *name, int64_t revision,
			 const char *text)
{
	char *key = g_strconcat(c->prefix, "/", name, NULL);
	bw_store_cas_t cas = { .key = key,
			       .value = text,
			       .bytes = strlen(text),
			       .mod_revision = revision };
	wait_t w = { .ctl = c };

	c->store.ops->cas(c->store.impl, &cas, on_written, &w);
	ev_run(c->loop, 0);
	g_free(key);
	return w.status;
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

char *bw_ctl_call(bw_ctl_t *c, const char *method, const char *address,
		  const char *path, const char *body, long *status)
{
	CURL *easy = curl_easy_init();
	GString *answer = g_string_new(NULL);
	char *url = g_strconcat("http://", address, path, NULL);
	CURLcode result;

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
	curl_easy_cleanup(easy);
	g_free(url);
	if (result == CURLE_OK)
		return g_string_free(answer, FALSE);
	bw_status_set(BW_EUNAVAIL, "%s: %s", address,
		      curl_easy_strerror(result));
	g_string_free(answer, TRUE);
	return NULL;
}

char *bw_ctl_get(bw_ctl_t *c, const char *address, const char *path)
{
	long status = 0;
	char *body = bw_ctl_call(c, "GET", address, path, NULL, &status);

	if (!body || status < HTTP_ERRORS)
		return body;
	bw_status_set(BW_EUNAVAIL, "%s: status %ld", address, status);
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

bw_exit_t bw_ctl_fail(bw_status_t status)
{
	fprintf(stderr, "bramleyctl: %s: %s\n", bw_status_name(status),
		bw_status_message());
	if (status == BW_ELOST)
		return BW_EXIT_UNKNOWN;
	if (status == BW_ECONFLICT)
		return BW_EXIT_CONFLICT;
	return BW_EXIT_UNAVAILABLE;
}

static void on_slept(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

void bw_ctl_sleep(bw_ctl_t *c, int64_t ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_slept, (double)ms / 1000.0, 0.0);
	ev_timer_start(c->loop, &timer);
	ev_run(c->loop, 0);
}
