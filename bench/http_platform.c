#include "http_platform.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"

#define LISTEN_COUNT  64
#define READ_BYTES    65536U
#define ADDRESS_BYTES 32U
#define ID_BYTES      32U
#define TASK_BYTES    80U
/** Time between writes of a worker's registration, and that between writes of
 *  a part of them. */
#define REGISTER_S	3.0
#define REGISTER_PART_S 0.1
/** Keys on a page of the store. */
#define PAGE_KEYS 500U
#define MS_PER_S  1000.0

/** A task that runs or has ended. */
typedef struct run {
	char task[TASK_BYTES];
	int64_t number; /**< Of the start; of the end, once it has ended. */
	int64_t start;
	int64_t end_ms;
} run_t;

typedef struct endpoint {
	http_platform_t *platform;
	bool is_store;
	int fd;
	ev_io accept;
	char id[ID_BYTES];
	char address[ADDRESS_BYTES];
	GArray *runs; /**< run_t, by end_ms. */
	GArray *ends; /**< run_t that the owner has not acknowledged. */
	int64_t end_count;
	struct connection *parked; /**< Its heartbeat waits for an end. */
	ev_timer timer; /**< The next end, or the end of the wait. */
	int64_t parked_until_ms;
} endpoint_t;

typedef struct connection {
	endpoint_t *endpoint;
	int fd;
	ev_io io;
	ev_timer wait; /**< Of a watch. */
	int64_t watch_after;
	bool watches_workers;
	GString *in;
} connection_t;

struct http_platform {
	struct ev_loop *loop;
	ev_async stop;
	ev_timer registrations_timer;
	GThread *thread;
	endpoint_t store;
	endpoint_t *workers;
	uint32_t worker_count;
	uint32_t registrations;
	int64_t task_ms;
	int64_t revision;
	int64_t *registered; /**< Revision of each registration. */
	uint32_t next_registered;
	GPtrArray *connections;
	http_platform_counts_t counts;
};

static void die(const char *what)
{
	fprintf(stderr, "http_platform: %s: %s\n", what, strerror(errno));
	exit(1);
}

static void connection_close(connection_t *c)
{
	http_platform_t *p = c->endpoint->platform;

	if (c->endpoint->parked == c)
		c->endpoint->parked = NULL;
	ev_io_stop(p->loop, &c->io);
	ev_timer_stop(p->loop, &c->wait);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_ptr_array_remove_fast(p->connections, c);
	g_free(c);
}

static void reply(connection_t *c, int status, const char *body)
{
	http_platform_t *p = c->endpoint->platform;
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\n"
				     "Content-Type: application/json\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     status, strlen(body), body);
	size_t bytes = strlen(text);
	size_t sent = 0;

	p->counts.bytes += bytes;
	while (sent < bytes) {
		ssize_t n =
			send(c->fd, text + sent, bytes - sent, MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN)
			break;
		sent += n > 0 ? (size_t)n : 0;
	}
	g_free(text);
}

static int64_t get_number(const char *body, const char *name)
{
	const char *at = strstr(body, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : 0;
}

static void get_text(const char *body, const char *name, char *out,
		     size_t bytes)
{
	const char *at = strstr(body, name);
	const char *end = at ? strchr(at + strlen(name), '"') : NULL;

	out[0] = '\0';
	if (end)
		g_strlcpy(out, at + strlen(name),
			  MIN(bytes, (size_t)(end - at) - strlen(name) + 1));
}

/* Moves runs that are over to the ends. */
static void end_runs(endpoint_t *e, int64_t now_ms)
{
	while (e->runs->len > 0) {
		run_t run = g_array_index(e->runs, run_t, 0);

		if (run.end_ms > now_ms)
			return;
		g_array_remove_index(e->runs, 0);
		run.number = ++e->end_count;
		g_array_append_val(e->ends, run);
	}
}

static void reply_heartbeat(connection_t *c, int64_t now_ms)
{
	endpoint_t *e = c->endpoint;
	GString *body = g_string_new(NULL);
	guint i;

	g_string_printf(body,
			"{\"clock_ms\":%" G_GINT64_FORMAT
			",\"born\":1700000000000,\"running\":[",
			now_ms);
	for (i = 0; i < e->runs->len; i++) {
		const run_t *run = &g_array_index(e->runs, run_t, i);

		g_string_append_printf(
			body, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",41,4500]",
			i ? "," : "", run->task, run->start);
	}
	g_string_append(body, "],\"ended\":[");
	for (i = 0; i < e->ends->len; i++) {
		const run_t *run = &g_array_index(e->ends, run_t, i);

		g_string_append_printf(
			body,
			"%s[%" G_GINT64_FORMAT ",\"%s\",%" G_GINT64_FORMAT
			",\"done\",\"\"]",
			i ? "," : "", run->number, run->task, run->start);
	}
	g_string_append(body, "]}");
	reply(c, 200, body->str);
	g_string_free(body, TRUE);
}

static void set_timer(endpoint_t *e, int64_t now_ms)
{
	struct ev_loop *loop = e->platform->loop;
	int64_t at_ms = INT64_MAX;

	if (e->runs->len > 0)
		at_ms = g_array_index(e->runs, run_t, 0).end_ms;
	if (e->parked)
		at_ms = MIN(at_ms, e->parked_until_ms);
	ev_timer_stop(loop, &e->timer);
	if (at_ms == INT64_MAX)
		return;
	ev_timer_set(&e->timer, (double)MAX(at_ms - now_ms, 1) / MS_PER_S, 0.0);
	ev_timer_start(loop, &e->timer);
}

static void on_endpoint_timer(struct ev_loop *loop, ev_timer *timer,
			      int revents)
{
	endpoint_t *e = timer->data;
	int64_t now_ms = bw_clock_now_ms();

	(void)loop;
	(void)revents;
	end_runs(e, now_ms);
	if (e->parked && (e->ends->len > 0 || now_ms >= e->parked_until_ms)) {
		connection_t *c = e->parked;

		e->parked = NULL;
		reply_heartbeat(c, now_ms);
	}
	set_timer(e, now_ms);
}

static void serve_start(connection_t *c, const char *body, int64_t now_ms)
{
	endpoint_t *e = c->endpoint;
	run_t run = {
		.start = get_number(body, "\"run\":"),
		.end_ms = now_ms + e->platform->task_ms,
	};
	char answer[ADDRESS_BYTES];

	get_text(body, "\"task\":\"", run.task, sizeof(run.task));
	g_array_append_val(e->runs, run);
	e->platform->counts.starts++;
	g_snprintf(answer, sizeof(answer),
		   "{\"clock_ms\":%" G_GINT64_FORMAT "}", now_ms);
	reply(c, 200, answer);
	set_timer(e, now_ms);
}

static void serve_heartbeat(connection_t *c, const char *body, int64_t now_ms)
{
	endpoint_t *e = c->endpoint;
	int64_t seen = get_number(body, "\"last_seen\":");
	int64_t wait_ms = get_number(body, "\"wait_ms\":");

	e->platform->counts.heartbeats++;
	end_runs(e, now_ms);
	while (e->ends->len > 0 &&
	       g_array_index(e->ends, run_t, 0).number <= seen)
		g_array_remove_index(e->ends, 0);
	if (e->ends->len > 0 || wait_ms == 0 || e->parked) {
		reply_heartbeat(c, now_ms);
		return;
	}
	e->parked = c;
	e->parked_until_ms = now_ms + wait_ms;
	set_timer(e, now_ms);
}

static void append_registration(http_platform_t *p, GString *body, uint32_t i)
{
	char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"seq\":%" G_GINT64_FORMAT ",\"cold_remaining_ms\":0,"
		"\"born\":1700000000000,\"capacity\":{\"cpu\":32000,"
		"\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-%u\"],"
		"\"machine\":\"m-%05u\",\"clock_ms\":%" G_GINT64_FORMAT "}",
		i < p->worker_count ? "pool" : "other",
		i < p->worker_count ? p->workers[i].address : "127.0.0.1:1",
		p->registered[i], i / 20, i, bw_clock_now_ms());
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(body,
			       "%s{\"key\":\"servers/w-%05u\",\"value\":\"%s\","
			       "\"revision\":%" G_GINT64_FORMAT
			       ",\"created_rev\":1,\"lease\":0}",
			       body->str[body->len - 1] == '[' ? "" : ",", i,
			       encoded, p->revision);
	g_free(encoded);
	g_free(value);
}

static void serve_page(connection_t *c, const char *line)
{
	http_platform_t *p = c->endpoint->platform;
	const char *after = strstr(line, "after=servers%2Fw-");
	uint32_t first =
		after ? (uint32_t)strtoul(after + 18, NULL, 10) + 1 : 0;
	uint32_t last = MIN(p->registrations, first + PAGE_KEYS);
	GString *body = g_string_new("{\"items\":[");
	uint32_t i;

	if (!strstr(line, "prefix=servers"))
		last = first;
	for (i = first; i < last; i++)
		append_registration(p, body, i);
	g_string_append_printf(
		body, "],\"has_more\":%s,\"at_rev\":%" G_GINT64_FORMAT "}",
		last > first && last < p->registrations ? "true" : "false",
		p->revision);
	reply(c, 200, body->str);
	g_string_free(body, TRUE);
}

/* Sends what a watch has after its wait: the registrations written since. */
static void reply_watch(connection_t *c)
{
	http_platform_t *p = c->endpoint->platform;
	GString *body = g_string_new("{\"events\":[");
	uint32_t i;

	for (i = 0; c->watches_workers && i < p->registrations; i++)
		if (p->registered[i] > c->watch_after)
			append_registration(p, body, i);
	g_string_append_printf(body, "],\"at_rev\":%" G_GINT64_FORMAT "}",
			       p->revision);
	reply(c, 200, body->str);
	g_string_free(body, TRUE);
}

static void on_watch_wait(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	reply_watch(timer->data);
}

static void serve_store(connection_t *c, const char *line)
{
	http_platform_t *p = c->endpoint->platform;
	char body[ADDRESS_BYTES * 2];

	p->counts.store_calls++;
	if (strstr(line, "/v1/kv-range")) {
		serve_page(c, line);
	} else if (strstr(line, "/v1/kv-watch")) {
		c->watch_after = get_number(line, "after=");
		c->watches_workers = strstr(line, "prefix=servers") != NULL;
		ev_timer_set(&c->wait,
			     (double)get_number(line, "wait_ms=") / MS_PER_S,
			     0.0);
		ev_timer_start(p->loop, &c->wait);
	} else if (strstr(line, "/v1/kv-key")) {
		reply(c, 404, "{}");
	} else {
		g_snprintf(body, sizeof(body),
			   "{\"revision\":%" G_GINT64_FORMAT "}",
			   ++p->revision);
		reply(c, 200, body);
	}
}

static void serve(connection_t *c, const char *head, const char *body)
{
	int64_t now_ms = bw_clock_now_ms();

	if (c->endpoint->is_store)
		serve_store(c, head);
	else if (strstr(head, "/v1/run-start"))
		serve_start(c, body, now_ms);
	else if (strstr(head, "/v1/hold"))
		serve_heartbeat(c, body, now_ms);
	else
		reply(c, 200, "{\"clock_ms\":1}");
}

/* Serves one request if it is complete; returns whether it was. */
static bool serve_next(connection_t *c)
{
	char *end = strstr(c->in->str, "\r\n\r\n");
	size_t head_bytes;
	size_t body_bytes;
	char *body;

	if (!end)
		return false;
	*end = '\0';
	head_bytes = (size_t)(end - c->in->str) + 4;
	body_bytes = (size_t)get_number(c->in->str, "Content-Length: ");
	if (c->in->len < head_bytes + body_bytes) {
		*end = '\r';
		return false;
	}
	body = g_strndup(c->in->str + head_bytes, body_bytes);
	serve(c, c->in->str, body);
	g_free(body);
	g_string_erase(c->in, 0, (gssize)(head_bytes + body_bytes));
	return true;
}

static void on_readable(struct ev_loop *loop, ev_io *io, int revents)
{
	connection_t *c = io->data;
	char buffer[READ_BYTES];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);

	(void)loop;
	(void)revents;
	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		connection_close(c);
		return;
	}
	if (n < 0)
		return;
	c->endpoint->platform->counts.bytes += (uint64_t)n;
	g_string_append_len(c->in, buffer, n);
	while (serve_next(c))
		;
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	endpoint_t *e = io->data;
	int one = 1;
	int fd = accept4(e->fd, NULL, NULL, SOCK_NONBLOCK);
	connection_t *c;

	(void)revents;
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c = g_new0(connection_t, 1);
	c->endpoint = e;
	c->fd = fd;
	c->in = g_string_new(NULL);
	ev_io_init(&c->io, on_readable, fd, EV_READ);
	ev_timer_init(&c->wait, on_watch_wait, 0.0, 0.0);
	c->io.data = c;
	c->wait.data = c;
	ev_io_start(loop, &c->io);
	g_ptr_array_add(e->platform->connections, c);
	e->platform->counts.connections++;
}

static void endpoint_open(http_platform_t *p, endpoint_t *e)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	e->platform = p;
	e->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (e->fd < 0 || bind(e->fd, (struct sockaddr *)&in, bytes) < 0 ||
	    listen(e->fd, LISTEN_COUNT) < 0 ||
	    getsockname(e->fd, (struct sockaddr *)&in, &bytes) < 0)
		die("cannot listen");
	g_snprintf(e->address, sizeof(e->address), "127.0.0.1:%u",
		   ntohs(in.sin_port));
	e->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
	e->ends = g_array_new(FALSE, FALSE, sizeof(run_t));
	ev_io_init(&e->accept, on_accept, e->fd, EV_READ);
	ev_timer_init(&e->timer, on_endpoint_timer, 0.0, 0.0);
	e->accept.data = e;
	e->timer.data = e;
	ev_io_start(p->loop, &e->accept);
}

static void endpoint_close(http_platform_t *p, endpoint_t *e)
{
	ev_io_stop(p->loop, &e->accept);
	ev_timer_stop(p->loop, &e->timer);
	close(e->fd);
	g_array_free(e->runs, TRUE);
	g_array_free(e->ends, TRUE);
}

static void on_registrations(struct ev_loop *loop, ev_timer *timer, int revents)
{
	http_platform_t *p = timer->data;
	uint32_t count =
		(uint32_t)(p->registrations * REGISTER_PART_S / REGISTER_S);

	(void)loop;
	(void)revents;
	for (; count > 0; count--) {
		p->registered[p->next_registered] = ++p->revision;
		p->next_registered =
			(p->next_registered + 1) % p->registrations;
	}
}

static void on_stop(struct ev_loop *loop, ev_async *async, int revents)
{
	(void)async;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static gpointer run_thread(gpointer data)
{
	ev_run(((http_platform_t *)data)->loop, 0);
	return NULL;
}

http_platform_t *http_platform_start(uint32_t pool_workers,
				     uint32_t registrations, int64_t task_ms)
{
	http_platform_t *p = g_new0(http_platform_t, 1);
	uint32_t i;

	p->loop = ev_loop_new(0);
	p->worker_count = pool_workers;
	p->registrations = registrations;
	p->task_ms = task_ms;
	p->revision = 1;
	p->connections = g_ptr_array_new();
	p->workers = g_new0(endpoint_t, pool_workers);
	p->registered = g_new0(int64_t, registrations);
	p->store.is_store = true;
	endpoint_open(p, &p->store);
	for (i = 0; i < pool_workers; i++) {
		endpoint_open(p, &p->workers[i]);
		g_snprintf(p->workers[i].id, ID_BYTES, "w-%05u", i);
	}
	ev_async_init(&p->stop, on_stop);
	ev_async_start(p->loop, &p->stop);
	ev_timer_init(&p->registrations_timer, on_registrations,
		      REGISTER_PART_S, REGISTER_PART_S);
	p->registrations_timer.data = p;
	ev_timer_start(p->loop, &p->registrations_timer);
	p->thread = g_thread_new("platform", run_thread, p);
	return p;
}

void http_platform_stop(http_platform_t *p)
{
	uint32_t i;

	ev_async_send(p->loop, &p->stop);
	g_thread_join(p->thread);
	while (p->connections->len > 0)
		connection_close(g_ptr_array_index(p->connections, 0));
	g_ptr_array_free(p->connections, TRUE);
	endpoint_close(p, &p->store);
	for (i = 0; i < p->worker_count; i++)
		endpoint_close(p, &p->workers[i]);
	ev_timer_stop(p->loop, &p->registrations_timer);
	ev_async_stop(p->loop, &p->stop);
	ev_loop_destroy(p->loop);
	g_free(p->workers);
	g_free(p->registered);
	g_free(p);
}

const char *http_platform_store(const http_platform_t *p)
{
	return p->store.address;
}

const char *http_platform_worker(const http_platform_t *p, uint32_t index)
{
	return p->workers[index].id;
}

const char *http_platform_address(const http_platform_t *p, uint32_t index)
{
	return p->workers[index].address;
}

http_platform_counts_t http_platform_counts(http_platform_t *p)
{
	return p->counts;
}
