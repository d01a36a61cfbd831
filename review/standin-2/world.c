#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#define CONNS_MAX 4096
#define RUNS_MAX 20000
#define ENDS_MAX 4000
#define EVENTS_MAX 200000
#define ITEMS_MAX 4000
#define LEASES_MAX 1000
#define ORDERS_MAX 100
#define HEARTBEAT_MS 1500
#define SILENCES 3
#define UPKEEP_MS 2000
#define MOVE_MS 1500
#define TICK_MS 3
#define STOP_MS 60
#define SLOW_MS 240
#define PORT_STORE 0
#define PORT_CLOUD 1
#define PORT_WORKER 2

typedef struct item {
	char *key;
	char *value; /* Base64. */
	int64_t revision;
	int64_t created;
	int64_t lease;
} item_t;

typedef struct event {
	char *key;
	char *value; /* NULL: deleted. */
	int64_t revision;
	int64_t created;
	int64_t lease;
} event_t;

typedef struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t until_ms;
} lease_t;

typedef struct end {
	int64_t number;
	char task[80];
	int64_t run;
	const char *how;
} end_t;

typedef struct run {
	char task[80];
	int64_t run;
	int worker;
	int64_t boot;
	int64_t began_ms;
	int64_t work_ms; /* -1: lasts. */
	bool fails;
	int64_t stop_at_ms; /* 0: not being stopped. */
	int64_t over_ms; /* 0: goes on. */
	const char *how;
	bool noted; /* Its end was acknowledged. */
} run_t;

typedef struct worker {
	worker_spec_t spec;
	char pool[64];
	char id[24];
	char machine[16];
	int port;
	int listener;
	bool up;
	bool silent;
	int64_t boot; /* Number of this life. */
	int64_t booted_ms;
	int64_t born_unix_ms;
	int64_t seq;
	int64_t next_beat_ms;
	int64_t gone_ms; /* When it crashed. */
	bool registered;
	int64_t fence;
	int64_t lease_clock; /* On its own clock. */
	int64_t lapsed_ms; /* When its lease was last over; 0: never. */
	int64_t last_number;
	end_t ends[ENDS_MAX];
	int end_count;
	GHashTable *high; /* Task to the highest run stopped or ended. */
	int64_t delay_ms; /* Of the next start. */
	char state[12]; /* Of its machine. */
	int64_t back_ms; /* When the machine is up again. */
	int64_t machine_fence;
	int64_t wave;
} worker_t;

typedef struct order {
	int worker;
	char *target;
	json_t *body;
	int64_t at_ms;
} order_t;

typedef struct conn {
	int fd;
	int kind;
	int index; /* Worker, or node at the store. */
	GString *in;
	GString *out;
	bool close;
	/* Deferred answers. */
	int wait; /* 0: none; 1: watch; 2: hold; 3: never. */
	int64_t until_ms;
	int64_t slow_until_ms; /* Its answer is not sent before. */
	int64_t after;
	char prefix[200];
} conn_t;

typedef struct node {
	pid_t pid;
	char ip[20];
	int callers;
	int ready;
	int store_fd;
	int store_port;
	char name[32];
	char path[200];
	char fault[12];
	int starts;
} node_t;

static pthread_mutex_t lock;
static pthread_t thread;
static bool stopping;
static FILE *record;
static int64_t zero_ms;
static int64_t max_hold;
static bool same_id;
static char folder[64];
static int64_t ids;
static int peers_port;
static int metrics_port;

static item_t items[ITEMS_MAX];
static int item_count;
static event_t events[EVENTS_MAX];
static int event_count;
static int64_t revision = 100;
static lease_t leases[LEASES_MAX];
static int lease_count;

static worker_t workers[WORKERS_MAX];
static int worker_count;
static run_t runs[RUNS_MAX];
static int run_count;
static order_t orders[ORDERS_MAX];
static int order_count;
static conn_t conns[CONNS_MAX];
static int conn_count;
static int cloud_fd;
static int cloud_port;
static node_t nodes[NODES_MAX];
static int node_count;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000 - zero_ms;
}

static int64_t unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&t, NULL);
}

void note(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&lock);
	fprintf(record, "%8.3f ", (double)now_ms() / 1000.0);
	va_start(args, fmt);
	vfprintf(record, fmt, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

static int listen_on(const char *ip, int *port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t size = sizeof(a);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	a.sin_port = htons((uint16_t)*port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(fd, 256) < 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&a, &size);
	*port = ntohs(a.sin_port);
	return fd;
}

/* A port that is free now, below those that connections get by themselves. */
static int free_port(const char *ip)
{
	int fd = -1;
	int port = 0;

	while (fd < 0) {
		port = g_random_int_range(12000, 32000);
		fd = listen_on(ip, &port);
	}
	close(fd);
	return port;
}

/* ---- the store ---- */

static item_t *find_item(const char *key)
{
	int i;

	for (i = 0; i < item_count; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static void add_event(const item_t *item, bool deleted)
{
	event_t *e = &events[event_count++];

	g_assert(event_count < EVENTS_MAX);
	e->key = g_strdup(item->key);
	e->value = deleted ? NULL : g_strdup(item->value);
	e->revision = revision;
	e->created = item->created;
	e->lease = item->lease;
}

static void put_item(const char *key, const char *value, int64_t lease)
{
	item_t *item = find_item(key);

	if (!item) {
		g_assert(item_count < ITEMS_MAX);
		item = &items[item_count++];
		*item = (item_t){ .key = g_strdup(key), .created = revision };
	}
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = revision;
	item->lease = lease;
	add_event(item, false);
}

static void delete_item(const char *key)
{
	item_t *item = find_item(key);

	if (!item)
		return;
	add_event(item, true);
	g_free(item->key);
	g_free(item->value);
	*item = items[--item_count];
}

static lease_t *find_lease(int64_t id)
{
	int i;

	for (i = 0; i < lease_count; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

static void end_lease(int64_t id)
{
	lease_t *lease = find_lease(id);
	int i;

	if (!lease)
		return;
	*lease = leases[--lease_count];
	revision++;
	for (i = item_count - 1; i >= 0; i--)
		if (items[i].lease == id)
			delete_item(items[i].key);
}

static void expire_leases(void)
{
	int i;

	for (i = lease_count - 1; i >= 0; i--)
		if (leases[i].until_ms <= now_ms())
			end_lease(leases[i].id);
}

static json_t *item_json(const item_t *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created_rev", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static void answer_json(conn_t *c, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	g_string_append_printf(
		c->out,
		"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s"
		"Content-Length: %zu\r\n\r\n%s",
		status, c->close ? "Connection: close\r\n" : "", strlen(text),
		text);
	free(text);
	json_decref(body);
}

static int compare_items(const void *a, const void *b)
{
	return strcmp((*(const item_t *const *)a)->key,
		      (*(const item_t *const *)b)->key);
}

static void answer_range(conn_t *c, const char *prefix, const char *after)
{
	const item_t *list[ITEMS_MAX];
	json_t *rows = json_array();
	int count = 0;
	int i;

	for (i = 0; i < item_count; i++)
		if (g_str_has_prefix(items[i].key, prefix) &&
		    (!after || strcmp(items[i].key, after) > 0))
			list[count++] = &items[i];
	qsort(list, (size_t)count, sizeof(list[0]), compare_items);
	for (i = 0; i < count && i < 500; i++)
		json_array_append_new(rows, item_json(list[i]));
	answer_json(c, 200,
		    json_pack("{s:o,s:b,s:I}", "items", rows, "has_more",
			      count > 500, "at_rev", (json_int_t)revision));
}

static bool answer_watch(conn_t *c, bool final)
{
	json_t *rows = json_array();
	int i = event_count;

	while (i > 0 && events[i - 1].revision > c->after)
		i--;
	for (; i < event_count; i++) {
		const event_t *e = &events[i];

		if (!g_str_has_prefix(e->key, c->prefix))
			continue;
		if (e->value)
			json_array_append_new(
				rows,
				json_pack("{s:s,s:s,s:I,s:I,s:I}", "key",
					  e->key, "value", e->value,
					  "revision", (json_int_t)e->revision,
					  "created_rev",
					  (json_int_t)e->created, "lease",
					  (json_int_t)e->lease));
		else
			json_array_append_new(
				rows, json_pack("{s:s,s:I,s:b}", "key", e->key,
						"revision",
						(json_int_t)e->revision,
						"compacted", 1));
	}
	if (json_array_size(rows) == 0 && !final) {
		json_decref(rows);
		return false;
	}
	answer_json(c, 200,
		    json_pack("{s:o,s:I}", "events", rows, "at_rev",
			      (json_int_t)revision));
	return true;
}

static int64_t int_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static void answer_txn(conn_t *c, const json_t *body)
{
	json_t *expects = json_object_get(body, "expected_rev");
	json_t *row;
	bool good = true;
	size_t i;

	json_array_foreach(expects, i, row)
	{
		const item_t *item = find_item(text_of(row, "key"));

		if ((item ? item->revision : 0) != int_of(row, "revision"))
			good = false;
	}
	if (!good) {
		json_t *rows = json_array();

		json_array_foreach(expects, i, row)
		{
			const item_t *item = find_item(text_of(row, "key"));

			if (item)
				json_array_append_new(rows, item_json(item));
		}
		answer_json(c, 412, json_pack("{s:o}", "items", rows));
		return;
	}
	json_array_foreach(json_object_get(body, "writes"), i, row) if (
		int_of(row, "lease") && !find_lease(int_of(row, "lease")))
	{
		answer_json(c, 404, json_object());
		return;
	}
	revision++;
	json_array_foreach(json_object_get(body, "writes"), i, row)
		put_item(text_of(row, "key"), text_of(row, "value"),
			 int_of(row, "lease"));
	json_array_foreach(json_object_get(body, "deletes"), i, row)
		delete_item(json_string_value(row));
	answer_json(c, 200,
		    json_pack("{s:I}", "revision", (json_int_t)revision));
}

static char *query_of(const char *query, const char *name)
{
	char **parts = g_strsplit(query, "&", -1);
	char *found = NULL;
	int i;

	for (i = 0; parts[i] && !found; i++)
		if (g_str_has_prefix(parts[i], name) &&
		    parts[i][strlen(name)] == '=')
			found = g_uri_unescape_string(
				parts[i] + strlen(name) + 1, NULL);
	g_strfreev(parts);
	return found;
}

static void serve_store(conn_t *c, const char *method, const char *path,
			const char *query, const json_t *body)
{
	const char *fault = nodes[c->index].fault;
	lease_t *lease;

	expire_leases();
	if (!strcmp(fault, "silent")) {
		c->wait = 3;
		return;
	}
	if (!strcmp(fault, "slow"))
		c->slow_until_ms = now_ms() + SLOW_MS;
	if (!strcmp(fault, "busy")) {
		answer_json(c, 503, json_object());
		return;
	}
	if (!strcmp(path, "/v1/kv-key")) {
		char *key = query_of(query, "key");
		const item_t *item = find_item(key ? key : "");
		json_t *out = item ? item_json(item) : json_object();

		json_object_set_new(out, "at_rev", json_integer(revision));
		answer_json(c, item ? 200 : 404, out);
		g_free(key);
	} else if (!strcmp(path, "/v1/kv-range")) {
		char *prefix = query_of(query, "prefix");
		char *after = query_of(query, "after");

		answer_range(c, prefix ? prefix : "", after);
		g_free(prefix);
		g_free(after);
	} else if (!strcmp(path, "/v1/kv-watch")) {
		char *prefix = query_of(query, "prefix");
		char *after = query_of(query, "after");
		char *wait = query_of(query, "wait_ms");

		g_strlcpy(c->prefix, prefix ? prefix : "", sizeof(c->prefix));
		c->after = after ? atoll(after) : 0;
		c->until_ms = now_ms() + (wait ? atoll(wait) : 0);
		if (!answer_watch(c, false))
			c->wait = 1;
		g_free(prefix);
		g_free(after);
		g_free(wait);
	} else if (!strcmp(path, "/v1/kv-txn")) {
		answer_txn(c, body);
	} else if (!strcmp(path, "/v1/kv-lease")) {
		lease = &leases[lease_count++];
		lease->id = ++ids * 7919;
		lease->ttl_ms = int_of(body, "ttl_ms");
		lease->until_ms = now_ms() + lease->ttl_ms;
		answer_json(c, 200,
			    json_pack("{s:I,s:I}", "lease",
				      (json_int_t)lease->id, "ttl_ms",
				      (json_int_t)lease->ttl_ms));
	} else if (g_str_has_prefix(path, "/v1/kv-keep/")) {
		lease = find_lease(atoll(path + strlen("/v1/kv-keep/")));
		if (lease)
			lease->until_ms = now_ms() + lease->ttl_ms;
		answer_json(c, lease ? 200 : 404,
			    json_pack("{s:I}", "ttl_ms",
				      (json_int_t)(lease ? lease->ttl_ms : 0)));
	} else if (g_str_has_prefix(path, "/v1/kv-lease-end/") &&
		   !strcmp(method, "DELETE")) {
		end_lease(atoll(path + strlen("/v1/kv-lease-end/")));
		answer_json(c, 200, json_object());
	} else {
		answer_json(c, 400, json_object());
	}
}

void store_put(const char *key, const char *value)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));

	pthread_mutex_lock(&lock);
	revision++;
	put_item(key, text, 0);
	pthread_mutex_unlock(&lock);
	note("operator writes %s: %s", key, value);
	g_free(text);
}

char *store_get(const char *key)
{
	const item_t *item;
	char *value = NULL;
	gsize bytes;

	pthread_mutex_lock(&lock);
	item = find_item(key);
	if (item) {
		guchar *data = g_base64_decode(item->value, &bytes);

		value = g_strndup((const char *)data, bytes);
		g_free(data);
	}
	pthread_mutex_unlock(&lock);
	return value;
}

int store_owner(const char *pool)
{
	char *key = g_strconcat("bw/m/own/", pool, NULL);
	char *value = store_get(key);
	int found = -1;
	int i;

	for (i = 0; value && i < node_count; i++)
		if (strstr(value, nodes[i].name))
			found = i;
	g_free(value);
	g_free(key);
	return found;
}

void store_fault(int node, const char *how)
{
	pthread_mutex_lock(&lock);
	g_strlcpy(nodes[node].fault, how, sizeof(nodes[node].fault));
	pthread_mutex_unlock(&lock);
	note("the store is %s for %s", how[0] ? how : "good again",
	     nodes[node].name);
}

/* ---- workers ---- */

static int64_t clock_of(const worker_t *w)
{
	return now_ms() - w->booted_ms + 1000;
}

static void register_worker(worker_t *w)
{
	json_t *entry = json_pack(
		"{s:s,s:o,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:i},s:[s,s],s:I,s:I,"
		"s:s,s:I}",
		"service", w->pool, "address",
		json_sprintf("127.0.0.1:%d", w->port), "zone", "andina-norte",
		"version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu",
		(json_int_t)w->spec.cpu_millis, "mem_mb",
		(json_int_t)w->spec.mem_mb, "gpu", 0, "labels", "a",
		w->spec.rack, "clock_ms", (json_int_t)clock_of(w), "seq",
		(json_int_t)++w->seq, "machine", w->machine, "born",
		(json_int_t)w->born_unix_ms);
	char *text = json_dumps(entry, JSON_COMPACT);
	char *value = g_base64_encode((const guchar *)text, strlen(text));
	char *key = g_strconcat("servers/", w->id, NULL);

	revision++;
	put_item(key, value, 0);
	w->registered = true;
	w->next_beat_ms = now_ms() + HEARTBEAT_MS;
	g_free(key);
	g_free(value);
	free(text);
	json_decref(entry);
}

static void unregister_worker(worker_t *w)
{
	char *key = g_strconcat("servers/", w->id, NULL);

	revision++;
	delete_item(key);
	w->registered = false;
	g_free(key);
}

static void begin_life(worker_t *w, bool same)
{
	if (!same || w->id[0] == '\0') {
		if (w->registered)
			unregister_worker(w);
		g_snprintf(w->id, sizeof(w->id), "i-%08x",
			   (unsigned)(0x1f000000 + ++ids * 40503));
	}
	w->boot++;
	w->booted_ms = now_ms();
	w->born_unix_ms = unix_ms();
	w->seq = 0;
	w->fence = 0;
	w->lease_clock = 0;
	w->last_number = 0;
	w->end_count = 0;
	w->up = true;
	w->silent = false;
	strcpy(w->state, "up");
	g_hash_table_remove_all(w->high);
	w->listener = listen_on("127.0.0.1", &w->port);
	g_assert(w->listener >= 0);
	register_worker(w);
	note("worker %s (%s) is up on machine %s, port %d", w->id, w->pool,
	     w->machine, w->port);
}

static void reset_conn(conn_t *c)
{
	struct linger hard = { 1, 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(c->fd);
	c->fd = -1;
}

static void end_life(worker_t *w, const char *why)
{
	int index = (int)(w - workers);
	int i;

	if (!w->up)
		return;
	note("worker %s is gone: %s", w->id, why);
	w->up = false;
	w->gone_ms = now_ms();
	strcpy(w->state, "down");
	close(w->listener);
	w->listener = -1;
	for (i = 0; i < conn_count; i++)
		if (conns[i].fd >= 0 && conns[i].kind == PORT_WORKER &&
		    conns[i].index == index)
			reset_conn(&conns[i]);
	for (i = 0; i < run_count; i++)
		if (runs[i].worker == index && runs[i].over_ms == 0) {
			runs[i].over_ms = now_ms();
			runs[i].how = "lost";
			note("run over: %s run %" PRId64 " on %s: lost",
			     runs[i].task, runs[i].run, w->id);
		}
}

int worker_add(const worker_spec_t *spec)
{
	worker_t *w;

	pthread_mutex_lock(&lock);
	g_assert(worker_count < WORKERS_MAX);
	w = &workers[worker_count++];
	w->spec = *spec;
	g_strlcpy(w->pool, spec->pool, sizeof(w->pool));
	g_snprintf(w->machine, sizeof(w->machine), "m-%05x",
		   0x4a000 + worker_count * 77);
	w->high = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->listener = -1;
	begin_life(w, false);
	pthread_mutex_unlock(&lock);
	return worker_count - 1;
}

void worker_crash(int index)
{
	pthread_mutex_lock(&lock);
	end_life(&workers[index], "crash");
	pthread_mutex_unlock(&lock);
}

void worker_restart(int index, bool same)
{
	worker_crash(index);
	/* The other thread's poll() may still hold the closed socket. */
	sleep_ms(4 * TICK_MS);
	pthread_mutex_lock(&lock);
	begin_life(&workers[index], same);
	pthread_mutex_unlock(&lock);
}

void world_same_id_after_upkeep(bool same)
{
	same_id = same;
}

void worker_delay_next_start(int index, int64_t ms)
{
	pthread_mutex_lock(&lock);
	workers[index].delay_ms = ms;
	pthread_mutex_unlock(&lock);
}

void worker_silence(int index, bool silent)
{
	pthread_mutex_lock(&lock);
	workers[index].silent = silent;
	pthread_mutex_unlock(&lock);
	note("worker %s is %s", workers[index].id,
	     silent ? "silent" : "heard again");
}

static run_t *find_run(int worker, const char *task, int64_t run)
{
	int i;

	for (i = 0; i < run_count; i++)
		if (runs[i].worker == worker && runs[i].over_ms == 0 &&
		    (run < 0 || runs[i].run == run) &&
		    !strcmp(runs[i].task, task))
			return &runs[i];
	return NULL;
}

static void raise_high(worker_t *w, const char *task, int64_t run)
{
	int64_t high = (int64_t)(intptr_t)g_hash_table_lookup(w->high, task);

	if (run > high)
		g_hash_table_insert(w->high, g_strdup(task),
				    (gpointer)(intptr_t)run);
}

static void end_run(run_t *r, const char *how)
{
	worker_t *w = &workers[r->worker];
	end_t *end;

	r->over_ms = now_ms();
	r->how = how;
	raise_high(w, r->task, r->run);
	g_assert(w->end_count < ENDS_MAX);
	end = &w->ends[w->end_count++];
	end->number = ++w->last_number;
	g_strlcpy(end->task, r->task, sizeof(end->task));
	end->run = r->run;
	end->how = how;
	note("run over: %s run %" PRId64 " on %s: %s, end %" PRId64, r->task,
	     r->run, w->id, how, end->number);
}

static void grant(worker_t *w, const json_t *body)
{
	int64_t until = int_of(body, "deadline_ms");
	int64_t clock = clock_of(w);

	until = MIN(until, clock + max_hold);
	w->lease_clock = MAX(w->lease_clock, until);
}

static json_t *with_clock(const worker_t *w, json_t *body)
{
	json_object_set_new(body, "clock_ms", json_integer(clock_of(w)));
	return body;
}

static json_t *refusal(const worker_t *w, const char *reason)
{
	return with_clock(w, json_pack("{s:s}", "reason", reason));
}

/* Returns the status; the reason if it is 409. */
static int do_start(worker_t *w, const json_t *body, const char **reason)
{
	const char *task = text_of(body, "task");
	const char *spec = text_of(body, "spec");
	int64_t run = int_of(body, "run");
	int64_t fence = int_of(body, "fence_token");
	int64_t high = (int64_t)(intptr_t)g_hash_table_lookup(w->high, task);
	int index = (int)(w - workers);
	run_t *r;

	*reason = NULL;
	if (fence < w->fence) {
		*reason = "fence";
		return 409;
	}
	w->fence = fence;
	if (find_run(index, task, run)) {
		grant(w, body);
		return 200;
	}
	if (run <= high || find_run(index, task, -1)) {
		grant(w, body);
		*reason = "old";
		return 409;
	}
	if (int_of(body, "deadline_ms") <= clock_of(w)) {
		*reason = "late";
		return 409;
	}
	grant(w, body);
	g_assert(run_count < RUNS_MAX);
	r = &runs[run_count++];
	*r = (run_t){ .run = run,
		      .worker = index,
		      .boot = w->boot,
		      .began_ms = now_ms(),
		      .work_ms = -1 };
	g_strlcpy(r->task, task, sizeof(r->task));
	if (strstr(spec, "work="))
		r->work_ms = atoll(strstr(spec, "work=") + 5);
	r->fails = run == 1 && strstr(spec, "fails-first");
	note("run begins: %s run %" PRId64 " on %s, fence %" PRId64, task, run,
	     w->id, fence);
	return 200;
}

static bool answer_hold(conn_t *c, bool final)
{
	worker_t *w = &workers[c->index];
	json_t *running;
	json_t *ended;
	int i;

	if (w->end_count == 0 && !final)
		return false;
	running = json_array();
	ended = json_array();
	for (i = 0; i < run_count; i++) {
		const run_t *r = &runs[i];
		int64_t age = now_ms() - r->began_ms;
		int64_t percent = r->work_ms < 0 ? (age >= 500 ? 100 : 0)
						 : MIN(99, age * 100 /
							       MAX(r->work_ms,
								   1));

		if (r->worker != c->index || r->over_ms > 0)
			continue;
		json_array_append_new(
			running,
			json_pack("[s,I,s,I,f]", r->task, (json_int_t)r->run,
				  "", (json_int_t)percent, 100.0));
	}
	for (i = 0; i < w->end_count && i < 500; i++)
		json_array_append_new(
			ended, json_pack("[I,s,I,s,s]",
					 (json_int_t)w->ends[i].number,
					 w->ends[i].task,
					 (json_int_t)w->ends[i].run,
					 w->ends[i].how, ""));
	answer_json(c, 200,
		    with_clock(w, json_pack("{s:o,s:o,s:I}", "running",
					    running, "ended", ended, "born",
					    (json_int_t)w->born_unix_ms)));
	return true;
}

/* An end has been taken note of; not if the lease has lapsed since. */
static void note_end(int worker, int64_t boot, const end_t *end)
{
	int i;

	for (i = 0; i < run_count; i++)
		if (runs[i].worker == worker && runs[i].boot == boot &&
		    runs[i].run == end->run &&
		    !strcmp(runs[i].task, end->task))
			runs[i].noted = workers[worker].lapsed_ms <
					runs[i].over_ms;
}

static void serve_hold(conn_t *c, worker_t *w, const json_t *body)
{
	int64_t seen = int_of(body, "last_seen");
	int i = 0;

	if (int_of(body, "fence_token") < w->fence) {
		answer_json(c, 409, refusal(w, "fence"));
		return;
	}
	w->fence = int_of(body, "fence_token");
	if (int_of(body, "deadline_ms") > 0)
		grant(w, body);
	for (; i < w->end_count && w->ends[i].number <= seen; i++)
		note_end(c->index, w->boot, &w->ends[i]);
	if (i > 0)
		note("%s forgets its ends up to %" PRId64
		     " (life %" PRId64 ")",
		     w->id, seen, w->boot);
	memmove(w->ends, w->ends + i,
		(size_t)(w->end_count - i) * sizeof(w->ends[0]));
	w->end_count -= i;
	c->until_ms = now_ms() + int_of(body, "wait_ms");
	if (!answer_hold(c, int_of(body, "wait_ms") == 0))
		c->wait = 2;
}

static void serve_stop(conn_t *c, worker_t *w, const json_t *body)
{
	const char *task = text_of(body, "task");
	int64_t run = int_of(body, "run");
	run_t *r;

	if (int_of(body, "fence_token") < w->fence) {
		answer_json(c, 409, refusal(w, "fence"));
		return;
	}
	w->fence = int_of(body, "fence_token");
	raise_high(w, task, run);
	r = find_run(c->index, task, run);
	if (r && r->stop_at_ms == 0)
		r->stop_at_ms = now_ms() + STOP_MS;
	note("%s is told to stop %s run %" PRId64 "%s", w->id, task, run,
	     r ? "" : ", which it does not run");
	answer_json(c, 200, with_clock(w, json_object()));
}

static void serve_worker(conn_t *c, const char *path, const char *target,
			 json_t *body)
{
	worker_t *w = &workers[c->index];
	const char *reason;
	int status;

	if (strcmp(target, w->id) != 0) {
		answer_json(c, 421, with_clock(w, json_object()));
		return;
	}
	if (!strcmp(path, "/v1/hold")) {
		serve_hold(c, w, body);
	} else if (!strcmp(path, "/v1/run-stop")) {
		serve_stop(c, w, body);
	} else if (!strcmp(path, "/v1/pace")) {
		answer_json(c, 200, with_clock(w, json_object()));
	} else if (!strcmp(path, "/v1/run-start") && w->delay_ms > 0) {
		order_t *o = &orders[order_count++];

		g_assert(order_count < ORDERS_MAX);
		*o = (order_t){ c->index, g_strdup(target), json_incref(body),
				now_ms() + w->delay_ms };
		note("%s gets the start of %s run %" PRId64
		     ", does not answer, and will carry it out at %.3f",
		     w->id, text_of(body, "task"), int_of(body, "run"),
		     (double)o->at_ms / 1000.0);
		w->delay_ms = 0;
		c->wait = 3;
	} else if (!strcmp(path, "/v1/run-start")) {
		status = do_start(w, body, &reason);
		if (reason)
			note("%s refuses the start of %s run %" PRId64 ": %s",
			     w->id, text_of(body, "task"), int_of(body, "run"),
			     reason);
		answer_json(c, status,
			    reason ? refusal(w, reason)
				   : with_clock(w, json_object()));
	} else {
		answer_json(c, 400, with_clock(w, json_object()));
	}
}

static void carry_out_orders(void)
{
	int i;

	for (i = order_count - 1; i >= 0; i--) {
		order_t *o = &orders[i];
		worker_t *w = &workers[o->worker];
		const char *reason;
		int status;

		if (now_ms() < o->at_ms)
			continue;
		if (w->up && !strcmp(w->id, o->target)) {
			status = do_start(w, o->body, &reason);
			note("%s carries out the late start of %s run %" PRId64
			     ": %d %s",
			     w->id, text_of(o->body, "task"),
			     int_of(o->body, "run"), status,
			     reason ? reason : "");
		}
		json_decref(o->body);
		g_free(o->target);
		*o = orders[--order_count];
	}
}

static void tick_workers(void)
{
	int i;

	carry_out_orders();
	for (i = 0; i < run_count; i++) {
		run_t *r = &runs[i];

		if (r->over_ms > 0)
			continue;
		if (r->stop_at_ms > 0 && now_ms() >= r->stop_at_ms)
			end_run(r, "stopped");
		else if (clock_of(&workers[r->worker]) >
			 workers[r->worker].lease_clock)
			end_run(r, "lapsed");
		else if (r->work_ms >= 0 &&
			 now_ms() - r->began_ms >= r->work_ms)
			end_run(r, r->fails ? "failed" : "done");
	}
	for (i = 0; i < worker_count; i++) {
		worker_t *w = &workers[i];

		if (w->up && clock_of(w) > w->lease_clock)
			w->lapsed_ms = now_ms();
		if (w->up && now_ms() >= w->next_beat_ms)
			register_worker(w);
		if (!w->up && w->registered &&
		    now_ms() - w->gone_ms > SILENCES * HEARTBEAT_MS)
			unregister_worker(w);
		if (w->back_ms > 0 && now_ms() >= w->back_ms) {
			w->back_ms = 0;
			begin_life(w, same_id);
		}
	}
}

int worker_of_job(const char *job, int after)
{
	int found = -1;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count && found < 0; i++)
		if (runs[i].over_ms == 0 && runs[i].worker > after &&
		    g_str_has_prefix(runs[i].task, job))
			found = runs[i].worker;
	pthread_mutex_unlock(&lock);
	return found;
}

int runs_now(const char *job)
{
	int count = 0;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count; i++)
		count += runs[i].over_ms == 0 &&
			 g_str_has_prefix(runs[i].task, job);
	pthread_mutex_unlock(&lock);
	return count;
}

int runs_everywhere(void)
{
	return runs_now("");
}

int starts_of(const char *job)
{
	int count = 0;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count; i++)
		count += g_str_has_prefix(runs[i].task, job);
	pthread_mutex_unlock(&lock);
	return count;
}

int ends_of(const char *job, const char *how)
{
	int count = 0;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count; i++)
		count += runs[i].over_ms > 0 && !strcmp(runs[i].how, how) &&
			 g_str_has_prefix(runs[i].task, job);
	pthread_mutex_unlock(&lock);
	return count;
}

int begun_after_done(const char *job)
{
	int count = 0;
	int i;
	int k;

	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count; i++)
		for (k = 0; k < run_count; k++)
			count += g_str_has_prefix(runs[i].task, job) &&
				 !strcmp(runs[k].task, runs[i].task) &&
				 runs[k].over_ms > 0 && runs[k].noted &&
				 !strcmp(runs[k].how, "done") &&
				 runs[i].began_ms > runs[k].over_ms;
	pthread_mutex_unlock(&lock);
	return count;
}

int most_at_once(const char *job)
{
	int most = 0;
	int i;
	int k;

	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count; i++) {
		int count = 0;

		if (!g_str_has_prefix(runs[i].task, job))
			continue;
		for (k = 0; k < run_count; k++)
			count += !strcmp(runs[k].task, runs[i].task) &&
				 runs[k].began_ms <= runs[i].began_ms &&
				 (runs[k].over_ms == 0 ||
				  runs[k].over_ms > runs[i].began_ms);
		most = MAX(most, count);
	}
	pthread_mutex_unlock(&lock);
	return most;
}

/* ---- machines ---- */

static worker_t *find_machine(const char *name)
{
	int i;

	for (i = 0; i < worker_count; i++)
		if (!strcmp(workers[i].machine, name))
			return &workers[i];
	return NULL;
}

static json_t *list_machines(void)
{
	json_t *rows = json_array();
	int i;

	for (i = 0; i < worker_count; i++) {
		const worker_t *w = &workers[i];

		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:I,s:i},"
				  "s:s}",
				  "machine", w->machine, "pool", w->pool,
				  "state", w->state, "zone", "andina-norte",
				  "labels", "a", w->spec.rack, "capacity",
				  "cpu", (json_int_t)w->spec.cpu_millis,
				  "mem_mb", (json_int_t)w->spec.mem_mb, "gpu",
				  0, "id", w->up ? w->id : ""));
	}
	return json_pack("{s:o,s:n}", "machines", rows, "next_token");
}

static void serve_cloud(conn_t *c, const char *path, const char *holder,
			int64_t fence, const json_t *body)
{
	worker_t *w = find_machine(text_of(body, "machine"));
	bool move = !strcmp(path, "/v1/machine-move");

	if (!strcmp(path, "/v1/machines")) {
		answer_json(c, 200, list_machines());
		return;
	}
	if (!w) {
		answer_json(c, 400, json_object());
		return;
	}
	if (fence < w->machine_fence) {
		answer_json(c, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	w->machine_fence = fence;
	if (move ? !strcmp(w->pool, text_of(body, "pool"))
		 : w->wave == int_of(body, "wave")) {
		answer_json(c, 200, json_object());
		return;
	}
	if (strcmp(w->state, "up") != 0) {
		answer_json(c, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	note("%s orders machine %s: %s", holder, w->machine,
	     move ? text_of(body, "pool") : "upkeep");
	end_life(w, move ? "move" : "upkeep");
	if (move)
		g_strlcpy(w->pool, text_of(body, "pool"), sizeof(w->pool));
	else
		w->wave = int_of(body, "wave");
	strcpy(w->state, move ? "moving" : "upkeep");
	w->back_ms = now_ms() + (move ? MOVE_MS : UPKEEP_MS);
	answer_json(c, 200, json_object());
}

/* ---- connections ---- */

static void accept_all(int fd, int kind, int index)
{
	int one = 1;
	int got;

	while ((got = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
	       0) {
		conn_t *c = NULL;
		int i;

		for (i = 0; i < conn_count && !c; i++)
			if (conns[i].fd < 0)
				c = &conns[i];
		if (!c) {
			g_assert(conn_count < CONNS_MAX);
			c = &conns[conn_count++];
		}
		if (!c->in) {
			c->in = g_string_new(NULL);
			c->out = g_string_new(NULL);
		}
		setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		g_string_truncate(c->in, 0);
		g_string_truncate(c->out, 0);
		c->fd = got;
		c->kind = kind;
		c->index = index;
		c->wait = 0;
		c->slow_until_ms = 0;
		c->close = kind == PORT_WORKER &&
			   workers[index].spec.keep == CLOSE_EACH;
	}
}

static void header_of(const char *head, const char *name, char *out,
		      size_t bytes)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	int i;

	out[0] = '\0';
	for (i = 0; lines[i]; i++)
		if (!g_ascii_strncasecmp(lines[i], name, strlen(name)) &&
		    lines[i][strlen(name)] == ':')
			g_strlcpy(out,
				  g_strstrip(lines[i] + strlen(name) + 1),
				  bytes);
	g_strfreev(lines);
}

static void serve(conn_t *c, const char *head, const char *text, size_t bytes)
{
	char method[16] = "";
	char target[1500] = "";
	char worker[64];
	char holder[64];
	char fence[32];
	char *query;
	json_t *body = bytes ? json_loadb(text, bytes, 0, NULL) : NULL;

	sscanf(head, "%15s %1499s", method, target);
	query = strchr(target, '?');
	if (query)
		*query++ = '\0';
	if (c->kind == PORT_STORE) {
		serve_store(c, method, target, query ? query : "", body);
	} else if (c->kind == PORT_CLOUD) {
		header_of(head, "X-Lease-Holder", holder, sizeof(holder));
		header_of(head, "X-Fencing-Token", fence, sizeof(fence));
		serve_cloud(c, target, holder, atoll(fence), body);
	} else {
		header_of(head, "X-Target-Instance", worker, sizeof(worker));
		serve_worker(c, target, worker, body);
	}
	json_decref(body);
}

/* Serves the requests that were received as a whole. */
static void serve_conn(conn_t *c)
{
	while (c->fd >= 0 && c->wait == 0) {
		char *end = strstr(c->in->str, "\r\n\r\n");
		char length[32];
		char *head;
		size_t total;
		size_t bytes;

		if (!end)
			return;
		head = g_strndup(c->in->str, (gsize)(end - c->in->str));
		header_of(head, "Content-Length", length, sizeof(length));
		bytes = (size_t)atoll(length);
		total = (size_t)(end - c->in->str) + 4 + bytes;
		if (c->in->len >= total) {
			char *body = g_strndup(end + 4, bytes);

			g_string_erase(c->in, 0, (gssize)total);
			serve(c, head, body, bytes);
			g_free(body);
			g_free(head);
		} else {
			g_free(head);
			return;
		}
	}
}

static void flush_conn(conn_t *c)
{
	if (now_ms() < c->slow_until_ms)
		return;
	while (c->fd >= 0 && c->out->len > 0) {
		ssize_t sent =
			send(c->fd, c->out->str, c->out->len, MSG_NOSIGNAL);

		if (sent < 0) {
			if (errno != EAGAIN)
				reset_conn(c);
			return;
		}
		g_string_erase(c->out, 0, sent);
		if (c->out->len == 0 && c->close) {
			shutdown(c->fd, SHUT_WR);
			close(c->fd);
			c->fd = -1;
		}
	}
}

static void read_conn(conn_t *c)
{
	char buffer[65536];
	ssize_t got;

	if (c->kind == PORT_WORKER && workers[c->index].silent)
		return;
	while (c->fd >= 0 &&
	       (got = recv(c->fd, buffer, sizeof(buffer), 0)) != 0) {
		if (got < 0) {
			if (errno != EAGAIN) {
				close(c->fd);
				c->fd = -1;
			}
			break;
		}
		g_string_append_len(c->in, buffer, got);
	}
	if (c->fd >= 0 && got == 0) {
		close(c->fd);
		c->fd = -1;
	}
	serve_conn(c);
}

static void answer_deferred(conn_t *c)
{
	bool final = now_ms() >= c->until_ms;
	bool done = false;

	if (c->wait == 1)
		done = answer_watch(c, final);
	else if (c->wait == 2 && !workers[c->index].silent)
		done = answer_hold(c, final);
	if (!done)
		return;
	c->wait = 0;
	serve_conn(c);
}

static void *loop(void *arg)
{
	static struct pollfd fds[CONNS_MAX + WORKERS_MAX + NODES_MAX + 1];
	int i;

	(void)arg;
	while (!stopping) {
		nfds_t count = 0;

		pthread_mutex_lock(&lock);
		for (i = 0; i < conn_count; i++)
			if (conns[i].fd >= 0)
				fds[count++] = (struct pollfd){
					conns[i].fd,
					(short)(POLLIN |
						(conns[i].out->len ? POLLOUT
								   : 0)),
					0
				};
		for (i = 0; i < worker_count; i++)
			if (workers[i].listener >= 0)
				fds[count++] = (struct pollfd){
					workers[i].listener, POLLIN, 0
				};
		for (i = 0; i < node_count; i++)
			fds[count++] = (struct pollfd){ nodes[i].store_fd,
							POLLIN, 0 };
		fds[count++] = (struct pollfd){ cloud_fd, POLLIN, 0 };
		pthread_mutex_unlock(&lock);
		poll(fds, count, TICK_MS);
		pthread_mutex_lock(&lock);
		for (i = 0; i < worker_count; i++)
			if (workers[i].listener >= 0 && !workers[i].silent)
				accept_all(workers[i].listener, PORT_WORKER,
					   i);
		for (i = 0; i < node_count; i++)
			accept_all(nodes[i].store_fd, PORT_STORE, i);
		accept_all(cloud_fd, PORT_CLOUD, 0);
		tick_workers();
		expire_leases();
		for (i = 0; i < conn_count; i++) {
			if (conns[i].fd >= 0)
				read_conn(&conns[i]);
			if (conns[i].fd >= 0 && conns[i].wait > 0)
				answer_deferred(&conns[i]);
			if (conns[i].fd >= 0)
				flush_conn(&conns[i]);
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

/* ---- nodes ---- */

static void write_settings(const node_t *n, bool first)
{
	FILE *f = fopen(n->path, "w");

	g_assert(f != NULL);
	fprintf(f,
		"[node]\nname = \"%s\"\nzone = \"andina-norte\"\n"
		"ip = \"%s\"\ncallers = \"%s:%d\"\nready = \"%s:%d\"\n"
		"peers_port = %d\nmetrics_port = %d\n%s"
		"[platform]\nstore = \"127.0.0.1:%d\"\nlease_min_ms = 1000\n"
		"machines = \"127.0.0.1:%d\"\n"
		"[limits]\ngrant_max_ms = %" PRId64 "\nstop_ms = 400\n"
		"keep_s = %s\ngrace_s = 6\nholder_ms = 3000\n"
		"[capacity]\ncore_share = 0.25\ncores = 1\nmemory_mb = 260\n"
		"link_mbps = 1000.0\ndescriptors = 4100\n",
		n->name, n->ip, n->ip, n->callers, n->ip, n->ready, peers_port,
		metrics_port, first ? "first_start = true\n" : "",
		n->store_port, cloud_port, max_hold,
		getenv("KEEP_S") ? getenv("KEEP_S") : "120");
	fclose(f);
}

static void launch(node_t *n)
{
	char *out = g_strdup_printf("%s/%s.log", folder, n->name);

	write_settings(n, n->starts == 0);
	n->starts++;
	n->pid = fork();
	if (n->pid == 0) {
		int fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* A test program that is ended takes its nodes with it. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("BRAMLEYWING_BOOT", n->path, 1);
		execl("target/bramley-fleetd", "target/bramley-fleetd",
		      "--settings", n->path, (char *)NULL);
		_exit(127);
	}
	note("node %s starts (process %d)", n->name, (int)n->pid);
	g_free(out);
}

int node_start(void)
{
	node_t *n;

	pthread_mutex_lock(&lock);
	g_assert(node_count < NODES_MAX);
	n = &nodes[node_count];
	/* Two test programs at a time don't meet. */
	g_snprintf(n->ip, sizeof(n->ip), "127.%d.%d.%d",
		   1 + (int)getpid() / 250 % 250, (int)getpid() % 250,
		   11 + node_count);
	g_snprintf(n->name, sizeof(n->name), "front-andina-norte-%d",
		   node_count + 1);
	g_snprintf(n->path, sizeof(n->path), "%s/%s.toml", folder, n->name);
	n->callers = free_port(n->ip);
	n->ready = free_port(n->ip);
	n->store_port = 0;
	n->store_fd = listen_on("127.0.0.1", &n->store_port);
	node_count++;
	pthread_mutex_unlock(&lock);
	launch(n);
	return node_count - 1;
}

void node_signal(int node, int signal)
{
	note("signal %d to %s", signal, nodes[node].name);
	kill(nodes[node].pid, signal);
}

void node_restart(int node)
{
	waitpid(nodes[node].pid, NULL, 0);
	launch(&nodes[node]);
}

bool node_alive(int node)
{
	return waitpid(nodes[node].pid, NULL, WNOHANG) == 0;
}

static int open_to(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	struct timeval limit = { 4, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	a.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static answer_t exchange(const char *ip, int port, const char *method,
			 const char *path, const char *body)
{
	answer_t answer = { 0 };
	GString *in = g_string_new(NULL);
	char buffer[8192];
	char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: pule25.example\r\n"
		"Content-Type: application/json\r\n"
		"X-Deadline-Remaining: 3000\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, path, strlen(body), body);
	int fd = open_to(ip, port);
	ssize_t got;

	if (fd >= 0 && send(fd, request, strlen(request), MSG_NOSIGNAL) > 0)
		while ((got = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			g_string_append_len(in, buffer, got);
	if (fd >= 0)
		close(fd);
	if (sscanf(in->str, "HTTP/1.1 %d", &answer.status) == 1 &&
	    strstr(in->str, "\r\n\r\n"))
		g_strlcpy(answer.body, strstr(in->str, "\r\n\r\n") + 4,
			  sizeof(answer.body));
	g_string_free(in, TRUE);
	g_free(request);
	return answer;
}

answer_t call(int node, const char *method, const char *path, const char *body)
{
	answer_t answer = exchange(nodes[node].ip, nodes[node].callers, method,
				   path, body);

	note("caller at %s: %s %s %s -> %d %s", nodes[node].name, method, path,
	     body, answer.status, answer.body);
	return answer;
}

bool nodes_ready(void)
{
	int64_t until = now_ms() + 15000;
	int i;

	for (i = 0; i < node_count;) {
		if (exchange(nodes[i].ip, nodes[i].ready, "GET",
			     "/v1/readiness", "")
			    .status == 200) {
			i++;
			continue;
		}
		if (now_ms() > until)
			return false;
		sleep_ms(50);
	}
	return true;
}

void world_start(const char *path, int64_t max_hold_ms)
{
	pthread_mutexattr_t attr;

	signal(SIGPIPE, SIG_IGN);
	pthread_mutexattr_init(&attr);
	pthread_mutexattr_settype(&attr, PTHREAD_MUTEX_RECURSIVE);
	pthread_mutex_init(&lock, &attr);
	zero_ms = now_ms();
	max_hold = max_hold_ms;
	record = fopen(path, "w");
	g_assert(record != NULL);
	strcpy(folder, "/tmp/review-2-XXXXXX");
	g_assert(mkdtemp(folder) != NULL);
	cloud_fd = listen_on("127.0.0.1", &cloud_port);
	peers_port = free_port("127.0.0.1");
	metrics_port = free_port("127.0.0.1");
	pthread_create(&thread, NULL, loop, NULL);
}

void world_stop(void)
{
	int i;

	for (i = 0; i < node_count; i++) {
		kill(nodes[i].pid, SIGCONT);
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
	}
	stopping = true;
	pthread_join(thread, NULL);
	if (getenv("KEEP_LOGS")) {
		fprintf(stderr, "logs of the nodes: %s\n", folder);
		return;
	}
	for (i = 0; i < node_count; i++) {
		char *log = g_strdup_printf("%s/%s.log", folder,
					    nodes[i].name);

		unlink(nodes[i].path);
		unlink(log);
		g_free(log);
	}
	rmdir(folder);
}
