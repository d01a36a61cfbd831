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

#define STEP_S		  0.001
#define SURGE_FACTOR	  5.0
#define QUIET_FACTOR	  0.05
#define CLIENT_TIMEOUT_MS 30000L
#define DEFAULT_WAIT_US	  5000000
#define LATENCIES_MAX	  2000000
#define COPY_SOON_US	  60000
#define COPY_LATE_US	  3000000
#define COPY_LATE_SHARE	  0.2
#define TARGET_DOWN_US	  500000

/** What callers were told of one key. */
typedef struct told {
	bool answered;
	bool not_run;
} told_t;

/** One request in progress. */
typedef struct flight {
	struct load *load;
	CURL *easy;
	struct curl_slist *headers;
	GString *body;
	char token[40];
	char target[128];
	char url[192];
	const bw_load_service_t *service;
	int64_t started_us;
	uint32_t target_index;
	bool post;
} flight_t;

/** A copy to send later. */
typedef struct copy {
	char key[40];
	const bw_load_service_t *service;
	int64_t due_us;
} copy_t;

typedef struct load {
	const bw_load_config_t *config;
	bw_load_result_t *result;
	struct ev_loop *loop;
	bw_curlev_t *curl;
	ev_timer step;
	GPtrArray *idle;
	GArray *latencies; /**< int64_t */
	GHashTable *told; /**< Key to told_t. */
	GSequence *copies; /**< copy_t by due time. */
	GRand *rand;
	double due[BW_LOAD_SERVICES_MAX]; /**< Next arrival, seconds. */
	int64_t start_us;
	uint32_t in_flight;
	uint64_t next_token;
	uint32_t next_target;
	int64_t down_until_us[BW_LOAD_TARGETS_MAX];
	uint64_t originals;
} load_t;

/* Kept for bw_load_check_runs(), which needs what each key was told. */
static GHashTable *last_told;

static void on_step(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_done(void *ctx, CURL *easy, CURLcode code);
static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static void send_one(load_t *l, const bw_load_service_t *service,
		     const char *key);
static void send_original(load_t *l, const bw_load_service_t *service);
static void judge(load_t *l, flight_t *f, CURLcode code);
static void note_failure(load_t *l, const flight_t *f, const char *what);
static double rate_at(const load_t *l, uint32_t service, double now_s);
static bool finished(const load_t *l, int64_t now_us);
static void fill_closed(load_t *l);
static void send_copies(load_t *l, int64_t now_us);

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	flight_t *f = ctx;

	g_string_append_len(f->body, data, (gssize)(size * count));
	return size * count;
}

static void note_failure(load_t *l, const flight_t *f, const char *what)
{
	if (*l->result->first_failure)
		return;
	snprintf(l->result->first_failure, sizeof(l->result->first_failure),
		 "%s: %s", what, f->url);
}

static told_t *told_of(load_t *l, const char *key)
{
	told_t *told = g_hash_table_lookup(l->told, key);

	if (told)
		return told;
	told = g_new0(told_t, 1);
	g_hash_table_insert(l->told, g_strdup(key), told);
	return told;
}

static bool answer_matches(const flight_t *f)
{
	char expected[256];

	snprintf(expected, sizeof(expected), "%s %s token=%s ",
		 f->post ? "POST" : "GET", f->target, f->token);
	return g_str_has_prefix(f->body->str, expected);
}

static void judge(load_t *l, flight_t *f, CURLcode code)
{
	bw_load_result_t *r = l->result;
	int64_t elapsed_us = g_get_monotonic_time() - f->started_us;
	int64_t wait_us = f->service->wait_s > 0
				  ? (int64_t)f->service->wait_s * 1000000
				  : DEFAULT_WAIT_US;
	told_t *told = f->post ? told_of(l, f->token) : NULL;
	long status = 0;

	curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK) {
		r->failed++;
		note_failure(l, f, curl_easy_strerror(code));
		return;
	}
	if (status == 200) {
		if (!answer_matches(f)) {
			r->wrong++;
			note_failure(l, f, "wrong answer");
			return;
		}
		r->answered++;
		if (told)
			told->answered = true;
		if (l->latencies->len < LATENCIES_MAX)
			g_array_append_val(l->latencies, elapsed_us);
		if (elapsed_us > wait_us)
			r->late++;
		else
			r->class_in_time[f->service->class]++;
		return;
	}
	if (strstr(f->body->str, "\"outcome\":\"not-run\"")) {
		r->not_run++;
		if (told)
			told->not_run = true;
		return;
	}
	r->unknown++;
	if (!strstr(f->body->str, "\"outcome\""))
		note_failure(l, f, "answer without an outcome");
}

/* Leaves out an entry that can't be connected to, as a balancer does. */
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

static void aim(load_t *l, flight_t *f)
{
	f->target_index = choose_target(l, g_get_monotonic_time());
	snprintf(f->url, sizeof(f->url), "http://%s%s",
		 l->config->targets[f->target_index], f->target);
	curl_easy_setopt(f->easy, CURLOPT_URL, f->url);
}

static void on_done(void *ctx, CURL *easy, CURLcode code)
{
	flight_t *f = ctx;
	load_t *l = f->load;
	int64_t now_us = g_get_monotonic_time();

	if (code == CURLE_COULDNT_CONNECT &&
	    now_us - f->started_us < DEFAULT_WAIT_US) {
		l->down_until_us[f->target_index] = now_us + TARGET_DOWN_US;
		aim(l, f);
		bw_curlev_add(l->curl, easy);
		return;
	}
	judge(l, f, code);
	curl_slist_free_all(f->headers);
	g_string_free(f->body, TRUE);
	curl_easy_reset(easy);
	g_ptr_array_add(l->idle, easy);
	g_free(f);
	l->in_flight--;
	if (l->config->open_loop)
		return;
	/* Copies go first, else they would fall ever further behind. */
	send_copies(l, now_us);
	fill_closed(l);
}

static void send_one(load_t *l, const bw_load_service_t *service,
		     const char *key)
{
	flight_t *f = g_new0(flight_t, 1);
	char line[96];

	f->load = l;
	f->service = service;
	f->post = key != NULL;
	f->started_us = g_get_monotonic_time();
	f->body = g_string_sized_new(256);
	if (key)
		g_strlcpy(f->token, key, sizeof(f->token));
	else
		snprintf(f->token, sizeof(f->token), "t%" G_GUINT64_FORMAT,
			 l->next_token++);
	snprintf(f->target, sizeof(f->target), "%s&n=%s", service->path,
		 f->token);
	snprintf(line, sizeof(line), "X-Token: %s", f->token);
	f->headers = curl_slist_append(NULL, line);
	if (service->wait_s > 0) {
		snprintf(line, sizeof(line), "Prefer: wait=%u",
			 service->wait_s);
		f->headers = curl_slist_append(f->headers, line);
	}
	f->easy = l->idle->len > 0 ? g_ptr_array_steal_index_fast(
					     l->idle, l->idle->len - 1)
				   : curl_easy_init();
	if (key) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", key);
		f->headers = curl_slist_append(f->headers, line);
		curl_easy_setopt(f->easy, CURLOPT_POSTFIELDS, "reserve");
	}
	aim(l, f);
	curl_easy_setopt(f->easy, CURLOPT_HTTPHEADER, f->headers);
	curl_easy_setopt(f->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(f->easy, CURLOPT_WRITEDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_PRIVATE, f);
	curl_easy_setopt(f->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(f->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(f->easy, CURLOPT_TIMEOUT_MS, CLIENT_TIMEOUT_MS);
	bw_curlev_add(l->curl, f->easy);
	l->in_flight++;
	l->result->sent++;
	l->result->class_sent[service->class]++;
}

/* Most copies follow at once, some after faults had time to happen. */
static int64_t copy_delay(load_t *l)
{
	bool late = g_rand_double(l->rand) < COPY_LATE_SHARE;

	return g_rand_int_range(l->rand, 0, late ? COPY_LATE_US : COPY_SOON_US);
}

static gint by_due(gconstpointer a, gconstpointer b, gpointer data)
{
	const copy_t *x = a;
	const copy_t *y = b;

	(void)data;
	return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

static void send_original(load_t *l, const bw_load_service_t *service)
{
	copy_t copy = { .service = service };
	uint32_t copies;
	uint32_t i;

	l->originals++;
	if (l->config->copies == 0) {
		send_one(l, service, NULL);
		return;
	}
	bw_once_make_key(
		copy.key, g_get_real_time() / 1000,
		(uint64_t)g_rand_int(l->rand) << 32 | g_rand_int(l->rand),
		(uint64_t)g_rand_int(l->rand) << 32 | g_rand_int(l->rand));
	send_one(l, service, copy.key);
	copies = (uint32_t)g_rand_int_range(l->rand, 0,
					    (gint32)l->config->copies);
	for (i = 0; i < copies; i++) {
		copy_t *later = g_memdup2(&copy, sizeof(copy));

		later->due_us = g_get_monotonic_time() + copy_delay(l);
		g_sequence_insert_sorted(l->copies, later, by_due, NULL);
	}
}

static double rate_at(const load_t *l, uint32_t service, double now_s)
{
	const bw_load_config_t *c = l->config;
	double turn_s = (double)c->surge_ms / 1000.0;
	uint32_t turn;

	if (!c->surges)
		return c->services[service].rate;
	turn = (uint32_t)(now_s / turn_s) % c->service_count;
	return c->services[service].rate *
	       (turn == service ? SURGE_FACTOR : QUIET_FACTOR);
}

static bool finished(const load_t *l, int64_t now_us)
{
	const bw_load_config_t *c = l->config;

	if (c->requests > 0 && l->originals >= c->requests)
		return true;
	return c->duration_ms > 0 &&
	       now_us - l->start_us >= c->duration_ms * 1000;
}

static bool within_pace(const load_t *l, int64_t now_us)
{
	if (l->config->pace == 0)
		return true;
	return l->originals * 1000000 <=
	       (uint64_t)(now_us - l->start_us) * l->config->pace;
}

static void fill_closed(load_t *l)
{
	int64_t now_us = g_get_monotonic_time();

	while (l->in_flight < l->config->concurrency && !finished(l, now_us) &&
	       within_pace(l, now_us)) {
		uint32_t s = (uint32_t)l->originals % l->config->service_count;

		send_original(l, &l->config->services[s]);
	}
}

static void send_arrivals(load_t *l, int64_t now_us)
{
	double now_s = (double)(now_us - l->start_us) / 1e6;
	uint32_t s;

	for (s = 0; s < l->config->service_count; s++) {
		double rate = rate_at(l, s, now_s);

		while (l->due[s] <= now_s && !finished(l, now_us)) {
			double gap = -log(1.0 - g_rand_double(l->rand)) / rate;

			/* A long gap of a quiet time must not hide a surge. */
			l->due[s] += MIN(gap, 0.1);
			if (gap < 0.1 && l->in_flight < l->config->concurrency)
				send_original(l, &l->config->services[s]);
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
		send_one(l, copy->service, copy->key);
		g_sequence_remove(first);
	}
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int revents)
{
	load_t *l = timer->data;
	int64_t now_us = g_get_monotonic_time();

	(void)revents;
	send_copies(l, now_us);
	if (l->config->open_loop)
		send_arrivals(l, now_us);
	else
		fill_closed(l);
	if (finished(l, now_us) && l->in_flight == 0 &&
	    g_sequence_is_empty(l->copies))
		ev_break(loop, EVBREAK_ALL);
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void summarise(load_t *l)
{
	GArray *v = l->latencies;

	l->result->seconds =
		(double)(g_get_monotonic_time() - l->start_us) / 1e6;
	l->result->keys = g_hash_table_size(l->told);
	if (v->len == 0)
		return;
	qsort(v->data, v->len, sizeof(int64_t), by_value);
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
	l.told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l.rand = g_rand_new_with_seed(config->seed);
	l.copies = g_sequence_new(g_free);
	l.start_us = g_get_monotonic_time();
	ev_timer_init(&l.step, on_step, STEP_S, STEP_S);
	l.step.data = &l;
	ev_timer_start(l.loop, &l.step);
	ev_run(l.loop, 0);
	ev_timer_stop(l.loop, &l.step);
	summarise(&l);
	if (last_told)
		g_hash_table_destroy(last_told);
	last_told = l.told;
	g_sequence_free(l.copies);
	g_array_free(l.latencies, TRUE);
	g_ptr_array_free(l.idle, TRUE);
	bw_curlev_destroy(l.curl);
	g_rand_free(l.rand);
	ev_loop_destroy(l.loop);
	return BW_OK;
}

static size_t on_text(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static void check_line(const char *line, GHashTable *ran,
		       bw_load_result_t *result)
{
	char *key;
	guint64 runs = g_ascii_strtoull(line, &key, 10);

	if (*key != ' ')
		return;
	if (runs > 1)
		result->ran_twice++;
	g_hash_table_add(ran, g_strdup(key + 1));
}

bw_status_t bw_load_check_runs(const char *control, bw_load_result_t *result)
{
	CURL *easy = curl_easy_init();
	GString *text = g_string_new(NULL);
	char *url = g_strconcat("http://", control, "/standin/keys", NULL);
	GHashTable *ran =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	CURLcode code;
	char **lines;
	guint i;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_text);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	code = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	lines = g_strsplit(text->str, "\n", -1);
	for (i = 0; lines[i]; i++)
		check_line(lines[i], ran, result);
	g_hash_table_iter_init(&iter, last_told);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const told_t *told = value;
		bool it_ran = g_hash_table_contains(ran, key);

		if (told->not_run && it_ran)
			result->false_not_run++;
		if (told->answered && !it_ran)
			result->not_ran++;
	}
	g_strfreev(lines);
	g_hash_table_destroy(ran);
	g_string_free(text, TRUE);
	g_free(url);
	if (code != CURLE_OK)
		return bw_status_set(BW_EIO, "%s: %s", control,
				     curl_easy_strerror(code));
	return BW_OK;
}
