#include "load/load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "net/curlev.h"
#include "once/once.h"

#define TICK_S		       0.001
#define SURGE_FACTOR	       5.0
#define QUIET_FACTOR	       0.05
#define CLIENT_TIMEOUT_MS      30000
#define DEFAULT_WAIT_US	       5000000
#define LATENCIES_MAX	       2000000
#define COPY_DELAY_MAX_US      60000
#define LATE_COPY_DELAY_MAX_US 3000000
#define LATE_COPY_SHARE	       0.2
#define TARGET_RETRY_US	       500000

/** Kinds of answers that the callers of one key got. */
typedef struct key_answers {
	bool answered;
	bool not_run;
} key_answers_t;

/** One request in progress. */
typedef struct request {
	struct load *load;
	bw_transfer_t transfer;
	struct curl_slist *headers;
	GString *body;
	char token[40];
	char target[128];
	char url[192];
	const bw_load_service_t *service;
	int64_t started_us;
	uint32_t target_index;
	bool post;
} request_t;

/** A request with an idempotency key that is sent again later. */
typedef struct copy {
	char key[40];
	const bw_load_service_t *service;
	int64_t due_us;
} copy_t;

/** State of a run. */
typedef struct load {
	const bw_load_config_t *config;
	bw_load_result_t *result;
	struct ev_loop *loop;
	bw_curlev_t *curl;
	ev_timer tick;
	GPtrArray *idle; /**< CURL handles for reuse. */
	GArray *latencies; /**< int64_t */
	GHashTable *answers; /**< Idempotency key to key_answers_t. */
	GSequence *copies; /**< copy_t by due time. */
	GRand *rand;
	double next_arrival_s[BW_LOAD_SERVICES_MAX]; /**< Since the start. */
	int64_t start_us;
	uint32_t in_flight;
	uint64_t next_token;
	uint32_t next_target;
	int64_t down_until_us[BW_LOAD_TARGETS_MAX];
	uint64_t requests_sent; /**< Without copies. */
} load_t;

/* Answers by key of the last run, for bw_load_check_runs(). */
static GHashTable *last_answers;

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode code);
static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static void send_http_request(load_t *l, const bw_load_service_t *service,
			      const char *key);
static void send_with_copies(load_t *l, const bw_load_service_t *service);
static void record_answer(load_t *l, request_t *req, CURLcode code);
static void record_first_failure(load_t *l, const request_t *req,
				 const char *what);
static double rate_at(const load_t *l, uint32_t service, double now_s);
static bool all_sent(const load_t *l, int64_t now_us);
static void send_closed_loop(load_t *l);
static void send_copies(load_t *l, int64_t now_us);

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	request_t *req = ctx;

	g_string_append_len(req->body, data, (gssize)(size * count));
	return size * count;
}

static void record_first_failure(load_t *l, const request_t *req,
				 const char *what)
{
	if (*l->result->first_failure)
		return;
	snprintf(l->result->first_failure, sizeof(l->result->first_failure),
		 "%s: %s", what, req->url);
}

static key_answers_t *key_answers_for(load_t *l, const char *key)
{
	key_answers_t *answers = g_hash_table_lookup(l->answers, key);

	if (answers)
		return answers;
	answers = g_new0(key_answers_t, 1);
	g_hash_table_insert(l->answers, g_strdup(key), answers);
	return answers;
}

static bool answer_matches(const request_t *req)
{
	char expected[256];

	snprintf(expected, sizeof(expected), "%s %s token=%s ",
		 req->post ? "POST" : "GET", req->target, req->token);
	return g_str_has_prefix(req->body->str, expected);
}

static void record_answer(load_t *l, request_t *req, CURLcode code)
{
	bw_load_result_t *r = l->result;
	int64_t elapsed_us = g_get_monotonic_time() - req->started_us;
	int64_t wait_us = req->service->wait_s > 0
				  ? (int64_t)req->service->wait_s * 1000000
				  : DEFAULT_WAIT_US;
	key_answers_t *answers =
		req->post ? key_answers_for(l, req->token) : NULL;
	long status = 0;

	curl_easy_getinfo(req->transfer.easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK) {
		r->failed++;
		record_first_failure(l, req, curl_easy_strerror(code));
		return;
	}
	if (status == 200) {
		if (!answer_matches(req)) {
			r->wrong++;
			record_first_failure(l, req, "wrong answer");
			return;
		}
		r->answered++;
		if (answers)
			answers->answered = true;
		if (l->latencies->len < LATENCIES_MAX)
			g_array_append_val(l->latencies, elapsed_us);
		if (elapsed_us > wait_us)
			r->late++;
		else
			r->class_in_time[req->service->class]++;
		return;
	}
	if (strstr(req->body->str, "\"outcome\":\"not-run\"")) {
		r->not_run++;
		if (answers)
			answers->not_run = true;
		return;
	}
	r->unknown++;
	if (!strstr(req->body->str, "\"outcome\""))
		record_first_failure(l, req, "answer without an outcome");
}

/* Skips entries that lately refused a connection, as a balancer does. */
static uint32_t choose_target(load_t *l, int64_t now_us)
{
	uint32_t count = MAX(l->config->target_count, 1);
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t target = l->next_target++ % count;

		if (now_us >= l->down_until_us[target])
			return target;
	}
	return l->next_target++ % count;
}

static void set_target(load_t *l, request_t *req)
{
	req->target_index = choose_target(l, g_get_monotonic_time());
	snprintf(req->url, sizeof(req->url), "http://%s%s",
		 l->config->targets[req->target_index], req->target);
	curl_easy_setopt(req->transfer.easy, CURLOPT_URL, req->url);
}

static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode code)
{
	request_t *req = ctx;
	load_t *l = req->load;
	int64_t now_us = g_get_monotonic_time();

	if (code == CURLE_COULDNT_CONNECT && transfer->copies == 0 &&
	    now_us - req->started_us < DEFAULT_WAIT_US) {
		l->down_until_us[req->target_index] = now_us + TARGET_RETRY_US;
		set_target(l, req);
		bw_curlev_add(l->curl, transfer);
		return;
	}
	record_answer(l, req, code);
	curl_slist_free_all(req->headers);
	g_string_free(req->body, TRUE);
	curl_easy_reset(transfer->easy);
	g_ptr_array_add(l->idle, transfer->easy);
	g_free(req);
	l->in_flight--;
	if (l->config->open_loop)
		return;
	/*
	 * If new requests were sent first, they would take every free slot, and
	 * the delay of copies would grow without bound.
	 */
	send_copies(l, now_us);
	send_closed_loop(l);
}

static void send_http_request(load_t *l, const bw_load_service_t *service,
			      const char *key)
{
	request_t *req = g_new0(request_t, 1);
	char line[96];

	req->load = l;
	req->transfer.ctx = req;
	req->transfer.once = true;
	req->transfer.timeout_ms = CLIENT_TIMEOUT_MS;
	req->service = service;
	req->post = key != NULL;
	req->started_us = g_get_monotonic_time();
	req->body = g_string_sized_new(256);
	if (key)
		g_strlcpy(req->token, key, sizeof(req->token));
	else
		snprintf(req->token, sizeof(req->token), "t%" G_GUINT64_FORMAT,
			 l->next_token++);
	snprintf(req->target, sizeof(req->target), "%s&n=%s", service->path,
		 req->token);
	snprintf(line, sizeof(line), "X-Token: %s", req->token);
	req->headers = curl_slist_append(NULL, line);
	if (service->wait_s > 0) {
		snprintf(line, sizeof(line), "Prefer: wait=%u",
			 service->wait_s);
		req->headers = curl_slist_append(req->headers, line);
	}
	req->transfer.easy = l->idle->len > 0
				     ? g_ptr_array_steal_index_fast(
					       l->idle, l->idle->len - 1)
				     : curl_easy_init();
	if (key) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", key);
		req->headers = curl_slist_append(req->headers, line);
		curl_easy_setopt(req->transfer.easy, CURLOPT_POSTFIELDS,
				 "reserve");
	}
	set_target(l, req);
	curl_easy_setopt(req->transfer.easy, CURLOPT_HTTPHEADER, req->headers);
	curl_easy_setopt(req->transfer.easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(req->transfer.easy, CURLOPT_WRITEDATA, req);
	curl_easy_setopt(req->transfer.easy, CURLOPT_PROXY, "");
	curl_easy_setopt(req->transfer.easy, CURLOPT_NOSIGNAL, 1L);
	bw_curlev_add(l->curl, &req->transfer);
	l->in_flight++;
	l->result->sent++;
	l->result->class_sent[service->class]++;
}

/* Most copies follow soon, some late enough for a fault to come in between. */
static int64_t random_copy_delay_us(load_t *l)
{
	bool is_late = g_rand_double(l->rand) < LATE_COPY_SHARE;

	return g_rand_int_range(l->rand, 0,
				is_late ? LATE_COPY_DELAY_MAX_US
					: COPY_DELAY_MAX_US);
}

static gint compare_due(gconstpointer a, gconstpointer b, gpointer data)
{
	const copy_t *x = a;
	const copy_t *y = b;

	(void)data;
	return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

static void send_with_copies(load_t *l, const bw_load_service_t *service)
{
	copy_t copy = { .service = service };
	uint32_t copies;
	uint32_t i;

	l->requests_sent++;
	if (l->config->copies == 0) {
		send_http_request(l, service, NULL);
		return;
	}
	bw_once_make_key(
		copy.key, g_get_real_time() / 1000,
		(uint64_t)g_rand_int(l->rand) << 32 | g_rand_int(l->rand),
		(uint64_t)g_rand_int(l->rand) << 32 | g_rand_int(l->rand));
	send_http_request(l, service, copy.key);
	copies = (uint32_t)g_rand_int_range(l->rand, 0,
					    (gint32)l->config->copies);
	for (i = 0; i < copies; i++) {
		copy_t *queued = g_memdup2(&copy, sizeof(copy));

		queued->due_us =
			g_get_monotonic_time() + random_copy_delay_us(l);
		g_sequence_insert_sorted(l->copies, queued, compare_due, NULL);
	}
}

static double rate_at(const load_t *l, uint32_t service, double now_s)
{
	const bw_load_config_t *c = l->config;
	double surge_s = (double)c->surge_ms / 1000.0;
	uint32_t surging;

	if (!c->surges)
		return c->services[service].rate;
	surging = (uint32_t)(now_s / surge_s) % c->service_count;
	return c->services[service].rate *
	       (surging == service ? SURGE_FACTOR : QUIET_FACTOR);
}

static bool all_sent(const load_t *l, int64_t now_us)
{
	const bw_load_config_t *c = l->config;

	if (c->requests > 0 && l->requests_sent >= c->requests)
		return true;
	return c->duration_ms > 0 &&
	       now_us - l->start_us >= c->duration_ms * 1000;
}

static bool pace_allows(const load_t *l, int64_t now_us)
{
	if (l->config->pace == 0)
		return true;
	return l->requests_sent * 1000000 <=
	       (uint64_t)(now_us - l->start_us) * l->config->pace;
}

static void send_closed_loop(load_t *l)
{
	int64_t now_us = g_get_monotonic_time();

	while (l->in_flight < l->config->concurrency && !all_sent(l, now_us) &&
	       pace_allows(l, now_us)) {
		uint32_t s =
			(uint32_t)l->requests_sent % l->config->service_count;

		send_with_copies(l, &l->config->services[s]);
	}
}

static void send_open_loop(load_t *l, int64_t now_us)
{
	double now_s = (double)(now_us - l->start_us) / 1e6;
	uint32_t s;

	for (s = 0; s < l->config->service_count; s++) {
		double rate = rate_at(l, s, now_s);

		while (l->next_arrival_s[s] <= now_s && !all_sent(l, now_us)) {
			double gap_s =
				-log(1.0 - g_rand_double(l->rand)) / rate;

			/*
			 * A longer gap is cut to 0.1 s and sends no
			 * request, so that a gap drawn in a quiet time
			 * doesn't reach into a surge.
			 */
			l->next_arrival_s[s] += MIN(gap_s, 0.1);
			if (gap_s < 0.1 &&
			    l->in_flight < l->config->concurrency)
				send_with_copies(l, &l->config->services[s]);
		}
	}
}

static void send_copies(load_t *l, int64_t now_us)
{
	while (!g_sequence_is_empty(l->copies) &&
	       l->in_flight < l->config->concurrency) {
		GSequenceIter *first = g_sequence_get_begin_iter(l->copies);
		copy_t *copy = g_sequence_get(first);

		if (copy->due_us > now_us)
			return;
		send_http_request(l, copy->service, copy->key);
		g_sequence_remove(first);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	load_t *l = timer->data;
	int64_t now_us = g_get_monotonic_time();

	(void)revents;
	send_copies(l, now_us);
	if (l->config->open_loop)
		send_open_loop(l, now_us);
	else
		send_closed_loop(l);
	if (all_sent(l, now_us) && l->in_flight == 0 &&
	    g_sequence_is_empty(l->copies))
		ev_break(loop, EVBREAK_ALL);
}

static int compare_latencies(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void compute_summary(load_t *l)
{
	GArray *v = l->latencies;

	l->result->seconds =
		(double)(g_get_monotonic_time() - l->start_us) / 1e6;
	l->result->keys = g_hash_table_size(l->answers);
	if (v->len == 0)
		return;
	qsort(v->data, v->len, sizeof(int64_t), compare_latencies);
	l->result->p50_us = g_array_index(v, int64_t, v->len / 2);
	l->result->p99_us = g_array_index(v, int64_t, (guint)(v->len * 0.99));
}

bw_status_t bw_load_run(const bw_load_config_t *config,
			bw_load_result_t *result)
{
	load_t l = { .config = config, .result = result };

	memset(result, 0, sizeof(*result));
	if (config->target_count == 0 || config->service_count == 0)
		return bw_status_set(BW_EINVAL, "no target or no service");
	l.loop = ev_loop_new(0);
	l.curl = bw_curlev_create(l.loop, on_done, NULL);
	curl_multi_setopt(bw_curlev_multi(l.curl), CURLMOPT_MAXCONNECTS,
			  (long)config->concurrency *
				  (long)config->target_count);
	l.idle = g_ptr_array_new_with_free_func(curl_easy_cleanup);
	l.latencies = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l.answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l.rand = g_rand_new_with_seed(config->seed);
	l.copies = g_sequence_new(g_free);
	l.start_us = g_get_monotonic_time();
	ev_timer_init(&l.tick, on_tick, TICK_S, TICK_S);
	l.tick.data = &l;
	ev_timer_start(l.loop, &l.tick);
	ev_run(l.loop, 0);
	ev_timer_stop(l.loop, &l.tick);
	compute_summary(&l);
	if (last_answers)
		g_hash_table_destroy(last_answers);
	last_answers = l.answers;
	g_sequence_free(l.copies);
	g_array_free(l.latencies, TRUE);
	g_ptr_array_free(l.idle, TRUE);
	bw_curlev_destroy(l.curl);
	g_rand_free(l.rand);
	ev_loop_destroy(l.loop);
	return BW_OK;
}

static size_t on_keys_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static void check_line(const char *line, GHashTable *keys_run,
		       bw_load_result_t *result)
{
	char *key;
	guint64 runs = g_ascii_strtoull(line, &key, 10);

	if (*key != ' ')
		return;
	if (runs > 1)
		result->ran_twice++;
	g_hash_table_add(keys_run, g_strdup(key + 1));
}

bw_status_t bw_load_check_runs(const char *control, bw_load_result_t *result)
{
	CURL *easy = curl_easy_init();
	GString *text = g_string_new(NULL);
	char *url = g_strconcat("http://", control, "/standin/keys", NULL);
	GHashTable *keys_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	CURLcode code;
	char **lines;
	guint i;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_keys_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	code = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	lines = g_strsplit(text->str, "\n", -1);
	for (i = 0; lines[i]; i++)
		check_line(lines[i], keys_run, result);
	g_hash_table_iter_init(&iter, last_answers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const key_answers_t *answers = value;
		bool key_ran = g_hash_table_contains(keys_run, key);

		if (answers->not_run && key_ran)
			result->false_not_run++;
		if (answers->answered && !key_ran)
			result->not_ran++;
	}
	g_strfreev(lines);
	g_hash_table_destroy(keys_run);
	g_string_free(text, TRUE);
	g_free(url);
	if (code != CURLE_OK)
		return bw_status_set(BW_EIO, "%s: %s", control,
				     curl_easy_strerror(code));
	return BW_OK;
}
