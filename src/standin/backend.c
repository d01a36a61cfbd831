#include "standin/backend.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "net/mhdev.h"
#include "net/simplehttp.h"

#define CONNECTION_MEMORY_BYTES 65536
#define CONNECTIONS_MAX		4096
#define PADDING_BYTES_MAX	((int64_t)64 << 20)

typedef enum worker_mode {
	WORKER_OK,
	WORKER_FAIL,
	WORKER_DROP,
	WORKER_HANG,
	WORKER_MODE_COUNT
} worker_mode_t;

static const char *const mode_names[WORKER_MODE_COUNT] = {
	[WORKER_OK] = "ok",
	[WORKER_FAIL] = "fail",
	[WORKER_DROP] = "drop",
	[WORKER_HANG] = "hang",
};

typedef struct worker {
	bw_standin_backend_t *backend;
	bw_mhdev_t *mhd;
	char *address;
	worker_mode_t mode;
	int64_t added_service_ms;
	uint32_t running;
	uint32_t running_max;
	uint32_t connections;
	uint32_t connections_max;
	uint64_t requests;
	GQueue waiting; /**< Requests that wait for a free slot. */
} worker_t;

typedef struct request {
	worker_t *worker;
	struct MHD_Connection *connection;
	char *target;
	GString *body;
	ev_timer timer;
	bool headers_received; /**< on_request() was called for its headers. */
	bool accepted; /**< Runs, or waits for a slot. */
	bool running;
	bool suspended;
	bool served; /**< Its service time has passed. */
	int64_t service_ms;
} request_t;

struct bw_standin_backend {
	struct ev_loop *loop;
	bw_standin_backend_config_t config;
	bw_simplehttp_t *control;
	worker_t *workers;
	GHashTable *runs_by_key; /**< Idempotency key to number of runs. */
	uint64_t requests;
	uint64_t ran_twice;
	uint64_t slot_breaches;
};

static const char *query_arg(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);
}

static int64_t query_int_arg(struct MHD_Connection *c, const char *name,
			     int64_t fallback)
{
	const char *text = query_arg(c, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

static const char *request_header(struct MHD_Connection *c, const char *name)
{
	const char *text =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);

	return text ? text : "";
}

static void count_run(request_t *r)
{
	bw_standin_backend_t *b = r->worker->backend;
	const char *key = request_header(r->connection, "Idempotency-Key");
	guint run_count;

	b->requests++;
	r->worker->requests++;
	if (!*key)
		return;
	run_count =
		GPOINTER_TO_UINT(g_hash_table_lookup(b->runs_by_key, key)) + 1;
	if (run_count == 2)
		b->ran_twice++;
	g_hash_table_replace(b->runs_by_key, g_strdup(key),
			     GUINT_TO_POINTER(run_count));
}

static void start_service(request_t *r);

static void on_served(struct ev_loop *loop, ev_timer *timer, int revents)
{
	request_t *r = timer->data;

	(void)loop;
	(void)revents;
	r->served = true;
	if (!r->suspended)
		return;
	r->suspended = false;
	bw_mhdev_resume(r->worker->mhd, r->connection);
}

static void start_service(request_t *r)
{
	worker_t *w = r->worker;
	struct ev_loop *loop = w->backend->loop;

	r->running = true;
	w->running++;
	w->running_max = MAX(w->running_max, w->running);
	count_run(r);
	if (w->mode == WORKER_HANG)
		return;
	if (r->service_ms <= 0) {
		on_served(loop, &r->timer, 0);
		return;
	}
	ev_timer_set(&r->timer, (double)r->service_ms / 1000.0, 0.0);
	ev_timer_start(loop, &r->timer);
}

static void accept_request(request_t *r)
{
	worker_t *w = r->worker;

	r->accepted = true;
	ev_timer_init(&r->timer, on_served, 0.0, 0.0);
	r->timer.data = r;
	r->service_ms = w->added_service_ms +
			query_int_arg(r->connection, "ms",
				      w->backend->config.service_ms);
	if (w->running < w->backend->config.slots) {
		start_service(r);
		return;
	}
	w->backend->slot_breaches++;
	g_queue_push_tail(&w->waiting, r);
}

static enum MHD_Result send_answer(request_t *r, const char *method)
{
	int64_t padding = query_int_arg(r->connection, "bytes", 0);
	GString *text = g_string_new(NULL);
	struct MHD_Response *response;
	enum MHD_Result result;
	gsize bytes;

	padding = CLAMP(padding, 0, PADDING_BYTES_MAX);
	g_string_append_printf(
		text, "%s %s token=%s body=%zu\n", method, r->target,
		request_header(r->connection, "X-Token"), r->body->len);
	bytes = text->len;
	g_string_set_size(text, bytes + (gsize)padding);
	memset(text->str + bytes, '.', (size_t)padding);
	bytes = text->len;
	response = MHD_create_response_from_buffer(
		bytes, g_string_free(text, FALSE), MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "text/plain");
	result = MHD_queue_response(r->connection,
				    r->worker->mode == WORKER_FAIL ? 503 : 200,
				    response);
	MHD_destroy_response(response);
	return result;
}

static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *c)
{
	request_t *r = g_new0(request_t, 1);

	r->worker = ctx;
	r->connection = c;
	r->target = g_strdup(uri);
	r->body = g_string_new(NULL);
	return r;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state)
{
	worker_t *w = ctx;
	request_t *r = *state;

	(void)connection;
	(void)url;
	(void)version;
	if (*data_bytes > 0) {
		g_string_append_len(r->body, data, (gssize)*data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (!r->headers_received) {
		r->headers_received = true;
		return MHD_YES;
	}
	if (!r->accepted) {
		accept_request(r);
		if (!r->served) {
			r->suspended = true;
			MHD_suspend_connection(r->connection);
			return MHD_YES;
		}
	}
	if (!r->served)
		return MHD_YES;
	if (w->mode == WORKER_DROP)
		return MHD_NO;
	return send_answer(r, method);
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	worker_t *w = ctx;
	request_t *r = *state;
	request_t *next;

	(void)connection;
	(void)code;
	if (!r)
		return;
	ev_timer_stop(w->backend->loop, &r->timer);
	if (r->running)
		w->running--;
	else
		g_queue_remove(&w->waiting, r);
	g_string_free(r->body, TRUE);
	g_free(r->target);
	g_free(r);
	*state = NULL;
	if (w->running >= w->backend->config.slots)
		return;
	next = g_queue_pop_head(&w->waiting);
	if (next)
		start_service(next);
}

static void on_connection(void *ctx, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	worker_t *w = ctx;

	(void)connection;
	(void)state;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		w->connections++;
	else
		w->connections--;
	w->connections_max = MAX(w->connections_max, w->connections);
}

static void set_mode(bw_standin_backend_t *b, bw_simple_request_t *r)
{
	int64_t index = bw_simple_arg(r, "index", -1);
	const char *mode = query_arg(r->connection, "mode");
	uint32_t i;
	uint32_t m;

	for (i = 0; i < b->config.count; i++) {
		worker_t *w = &b->workers[i];

		if (index >= 0 && index != i)
			continue;
		w->added_service_ms =
			bw_simple_arg(r, "ms", w->added_service_ms);
		for (m = 0; mode && m < WORKER_MODE_COUNT; m++)
			if (!strcmp(mode, mode_names[m]))
				w->mode = (worker_mode_t)m;
	}
}

static char *stats_text(const bw_standin_backend_t *b)
{
	uint32_t running_max = 0;
	uint32_t connections_max = 0;
	uint32_t i;

	for (i = 0; i < b->config.count; i++) {
		running_max = MAX(running_max, b->workers[i].running_max);
		connections_max =
			MAX(connections_max, b->workers[i].connections_max);
	}
	return g_strdup_printf(
		"{\"requests\":%" PRIu64 ",\"keys\":%u,"
		"\"ran_twice\":%" PRIu64 ",\"slot_breaches\":%" PRIu64
		",\"running_max\":%u,\"connections_max\":%u}\n",
		b->requests, g_hash_table_size(b->runs_by_key), b->ran_twice,
		b->slot_breaches, running_max, connections_max);
}

static char *keys_text(const bw_standin_backend_t *b)
{
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer run_count;

	g_hash_table_iter_init(&iter, b->runs_by_key);
	while (g_hash_table_iter_next(&iter, &key, &run_count))
		g_string_append_printf(out, "%u %s\n",
				       GPOINTER_TO_UINT(run_count),
				       (const char *)key);
	return g_string_free(out, FALSE);
}

static char *workers_text(const bw_standin_backend_t *b)
{
	GString *out = g_string_new("[");
	uint32_t i;

	for (i = 0; i < b->config.count; i++) {
		const worker_t *w = &b->workers[i];

		g_string_append_printf(
			out,
			"%s{\"address\":\"%s\",\"requests\":%" PRIu64
			",\"running\":%u,\"running_max\":%u,"
			"\"connections_max\":%u}",
			i ? "," : "", w->address, w->requests, w->running,
			w->running_max, w->connections_max);
	}
	g_string_append(out, "]\n");
	return g_string_free(out, FALSE);
}

static enum MHD_Result on_control(void *ctx, bw_simple_request_t *r)
{
	bw_standin_backend_t *b = ctx;
	enum MHD_Result result;
	char *text = NULL;

	if (!strcmp(r->path, "/standin/worker")) {
		set_mode(b, r);
		text = g_strdup("ok\n");
	} else if (!strcmp(r->path, "/standin/stats")) {
		text = stats_text(b);
	} else if (!strcmp(r->path, "/standin/keys")) {
		text = keys_text(b);
	} else if (!strcmp(r->path, "/standin/workers")) {
		text = workers_text(b);
	}
	if (!text)
		return bw_simple_reply(r, 404, "text/plain", "not found\n", 10);
	result = bw_simple_reply(r, 200, "text/plain", text, strlen(text));
	g_free(text);
	return result;
}

static bw_status_t start_worker(bw_standin_backend_t *b, uint32_t index)
{
	worker_t *w = &b->workers[index];
	struct in_addr ip;
	bw_mhdev_config_t config = {
		.handler = on_request,
		.uri = on_uri,
		.completed = on_completed,
		.connection = on_connection,
		.ctx = w,
		.connection_memory = CONNECTION_MEMORY_BYTES,
		.connections_max = CONNECTIONS_MAX,
	};
	char text[INET_ADDRSTRLEN];

	if (inet_pton(AF_INET, b->config.first_ip, &ip) != 1)
		return bw_status_set(BW_EINVAL, "%s is not an IPv4 address",
				     b->config.first_ip);
	ip.s_addr = htonl(ntohl(ip.s_addr) + index);
	inet_ntop(AF_INET, &ip, text, sizeof(text));
	w->address = g_strdup_printf("%s:%u", text, b->config.port);
	w->backend = b;
	g_queue_init(&w->waiting);
	config.address = w->address;
	return bw_mhdev_create(b->loop, &config, &w->mhd);
}

bw_status_t bw_standin_backend_create(struct ev_loop *loop,
				      const bw_standin_backend_config_t *config,
				      bw_standin_backend_t **out)
{
	bw_standin_backend_t *b = g_new0(bw_standin_backend_t, 1);
	bw_simple_config_t control = { .address = config->control,
				       .body_bytes_max = 65536,
				       .connections_max = 64 };
	bw_status_t status;
	uint32_t i;

	b->loop = loop;
	b->config = *config;
	b->runs_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->workers = g_new0(worker_t, config->count);
	status = bw_simplehttp_create(loop, &control, on_control, b,
				      &b->control);
	for (i = 0; i < config->count && status == BW_OK; i++)
		status = start_worker(b, i);
	if (status != BW_OK) {
		bw_standin_backend_destroy(b);
		return status;
	}
	*out = b;
	return BW_OK;
}

void bw_standin_backend_destroy(bw_standin_backend_t *b)
{
	uint32_t i;

	if (!b)
		return;
	for (i = 0; i < b->config.count; i++) {
		bw_mhdev_destroy(b->workers[i].mhd);
		g_free(b->workers[i].address);
	}
	bw_simplehttp_destroy(b->control);
	g_hash_table_destroy(b->runs_by_key);
	g_free(b->workers);
	g_free(b);
}
