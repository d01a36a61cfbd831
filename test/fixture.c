#include "fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>

#include "store/etcd.h"
#include "table/table.h"

#define VIEW_KEY	   "/test/view"
#define LISTEN_IP	   "127.0.0.1"
#define DELAY_S		   0.05
#define EXCHANGE_TIMEOUT_S 30.0

static const char table_text[] =
	"{\"version\":1,\"pools\":[{\"name\":\"a\"}],\"services\":"
	"[{\"name\":\"s\",\"prefix\":\"/s/\",\"wait_ms\":20000}],"
	"\"cells\":[{\"service\":\"s\",\"pool\":\"a\",\"weight\":10}]}";

static const char workers_format[] =
	"{\"workers\":[{\"name\":\"w\",\"address\":\"%s\","
	"\"zone\":\"z\",\"pool\":\"a\"}]}";

/** A connection of the backend server. */
typedef struct connection {
	fixture_t *fixture;
	ev_io io;
	ev_timer delay;
	int fd;
	GString *in;
	GString *out;
	const script_t *script;
	bool closing;
} connection_t;

static void connection_free(connection_t *c)
{
	ev_io_stop(c->fixture->loop, &c->io);
	ev_timer_stop(c->fixture->loop, &c->delay);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_ptr_array_remove(c->fixture->connections, c);
	g_free(c);
}

static void connection_update_events(connection_t *c)
{
	int events = EV_READ | (c->out->len > 0 ? EV_WRITE : 0);

	ev_io_stop(c->fixture->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->fixture->loop, &c->io);
}

static void on_delay(struct ev_loop *loop, ev_timer *timer, int revents)
{
	connection_t *c = timer->data;

	(void)loop;
	(void)revents;
	g_string_append(c->out, c->script->delayed);
	connection_update_events(c);
}

/* Returns the length of the first request, or 0 if it is incomplete. */
static size_t request_length(const GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	const char *length = strstr(in->str, "Content-Length: ");
	size_t bytes;

	if (!end)
		return 0;
	bytes = (size_t)(end - in->str) + 4;
	if (length && length < end)
		bytes += strtoul(length + strlen("Content-Length: "), NULL, 10);
	return in->len >= bytes ? bytes : 0;
}

/* Refuses connections from now on. */
static void end_server(fixture_t *f)
{
	ev_io_stop(f->loop, &f->accept);
	close(f->listen_fd);
	f->listen_fd = -1;
}

static void connection_answer(connection_t *c)
{
	fixture_t *f = c->fixture;
	size_t length = request_length(c->in);
	char *line;
	size_t i;

	if (length == 0)
		return;
	f->requests++;
	if (f->stop_after_request)
		bw_node_stop(f->node);
	f->stop_after_request = false;
	if (f->end_after_request)
		end_server(f);
	f->end_after_request = false;
	line = g_strndup(c->in->str, strcspn(c->in->str, "\r"));
	c->script = NULL;
	for (i = 0; i < f->script_count && !c->script; i++)
		if (strstr(line, f->scripts[i].path))
			c->script = &f->scripts[i];
	g_free(line);
	g_string_erase(c->in, 0, (gssize)length);
	c->closing = !c->script || !c->script->answer || c->script->close_after;
	if (c->script && c->script->answer)
		g_string_append_len(
			c->out, c->script->answer,
			c->script->answer_bytes > 0
				? (gssize)c->script->answer_bytes
				: (gssize)strlen(c->script->answer));
	if (c->script && c->script->delayed) {
		ev_timer_set(&c->delay, DELAY_S, 0.0);
		ev_timer_start(f->loop, &c->delay);
	}
}

static void on_connection_io(struct ev_loop *loop, ev_io *io, int revents)
{
	connection_t *c = io->data;
	char buffer[65536];
	ssize_t n;

	(void)loop;
	if (revents & EV_READ) {
		n = recv(c->fd, buffer, sizeof(buffer), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			connection_free(c);
			return;
		}
		if (n > 0)
			g_string_append_len(c->in, buffer, n);
		connection_answer(c);
	}
	if (c->out->len > 0) {
		n = send(c->fd, c->out->str, c->out->len, MSG_NOSIGNAL);
		if (n > 0)
			g_string_erase(c->out, 0, n);
	}
	if (c->closing && c->out->len == 0) {
		connection_free(c);
		return;
	}
	connection_update_events(c);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	fixture_t *f = io->data;
	connection_t *c;
	int fd = accept4(f->listen_fd, NULL, NULL, SOCK_NONBLOCK);

	(void)revents;
	if (fd < 0)
		return;
	c = g_new0(connection_t, 1);
	c->fixture = f;
	c->fd = fd;
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	ev_io_init(&c->io, on_connection_io, fd, EV_READ);
	ev_timer_init(&c->delay, on_delay, 0.0, 0.0);
	c->io.data = c;
	c->delay.data = c;
	ev_io_start(loop, &c->io);
	g_ptr_array_add(f->connections, c);
}

static struct sockaddr_in make_address(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	inet_pton(AF_INET, LISTEN_IP, &address.sin_addr);
	return address;
}

static void start_server(fixture_t *f)
{
	struct sockaddr_in address = make_address(f->server.port);
	int one = 1;

	f->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(f->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(f->listen_fd, (struct sockaddr *)&address, sizeof(address)) <
		    0 ||
	    listen(f->listen_fd, 64) < 0)
		abort();
	ev_io_init(&f->accept, on_accept, f->listen_fd, EV_READ);
	f->accept.data = f;
	ev_io_start(f->loop, &f->accept);
}

static void on_run_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

void fixture_run(fixture_t *f, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_run_timeout, seconds, 0.0);
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, 0);
	ev_timer_stop(f->loop, &timer);
}

static void on_put_answer(void *ctx, const bw_store_reply_t *reply)
{
	if (reply->status != BW_OK || !reply->succeeded)
		abort();
	ev_break(((fixture_t *)ctx)->loop, EVBREAK_ALL);
}

static bw_store_t connect_store(fixture_t *f, bw_counters_t *counters)
{
	const char *const endpoints[] = { f->store.url };
	bw_etcd_config_t config = { .endpoints = endpoints,
				    .endpoint_count = 1,
				    .timeout_ms = 5000 };

	return bw_etcd_create(f->loop, &config, counters);
}

/** A read of a key. */
typedef struct read_ctx {
	fixture_t *f;
	char *value;
} read_ctx_t;

static void on_read_answer(void *ctx, const bw_store_reply_t *reply)
{
	read_ctx_t *read = ctx;

	if (reply->status != BW_OK)
		abort();
	if (reply->kv_count > 0)
		read->value =
			g_strndup(reply->kvs[0].value, reply->kvs[0].bytes);
	ev_break(read->f->loop, EVBREAK_ALL);
}

char *fixture_view(fixture_t *f)
{
	bw_counters_t counters = { { 0 } };
	bw_store_t store = connect_store(f, &counters);
	read_ctx_t read = { .f = f };

	store.ops->range(store.impl, VIEW_KEY, on_read_answer, &read);
	ev_run(f->loop, 0);
	store.ops->destroy(store.impl);
	return read.value;
}

/* Writes a key to the store and waits for the answer. */
static void put(fixture_t *f, const char *key, const char *text)
{
	bw_counters_t counters = { { 0 } };
	bw_store_t store = connect_store(f, &counters);
	bw_store_cas_t cas = { .key = key,
			       .value = text,
			       .bytes = strlen(text) };

	store.ops->cas(store.impl, &cas, on_put_answer, f);
	ev_run(f->loop, 0);
	store.ops->destroy(store.impl);
}

static void put_workers(fixture_t *f)
{
	char *text = g_strdup_printf(workers_format, f->server.address);
	char key[32];

	g_snprintf(key, sizeof(key), "/test/workers/%02x", bw_worker_part("w"));
	put(f, key, text);
	g_free(text);
}

static void reserve_addresses(fixture_t *f)
{
	bw_anyport_t *const addresses[] = { &f->store, &f->server, &f->callers,
					    &f->peers, &f->operators };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(addresses); i++)
		if (bw_anyport_reserve(LISTEN_IP, addresses[i]) != BW_OK)
			abort();
}

static void release_addresses(fixture_t *f)
{
	bw_anyport_release(&f->store);
	bw_anyport_release(&f->server);
	bw_anyport_release(&f->callers);
	bw_anyport_release(&f->peers);
	bw_anyport_release(&f->operators);
}

static void replace(char **setting, const char *value)
{
	g_free(*setting);
	*setting = g_strdup(value);
}

/* The file's addresses are placeholders. */
static void set_addresses(fixture_t *f)
{
	bw_settings_t *s = &f->settings;

	replace(&s->callers, f->callers.address);
	replace(&s->peers_listen, f->peers.address);
	replace(&s->operators, f->operators.address);
	replace(&s->endpoints[0], f->store.url);
}

static void read_settings(fixture_t *f)
{
	bw_findings_t *findings = bw_findings_create("test");

	if (bw_settings_read("test/entry.toml", &f->settings, findings) !=
	    BW_OK) {
		bw_findings_print(findings, stderr);
		abort();
	}
	bw_findings_destroy(findings);
	set_addresses(f);
}

static fixture_t *create(const script_t *scripts, size_t count, bool with_table,
			 const char *view)
{
	fixture_t *f = g_new0(fixture_t, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	f->loop = ev_default_loop(0);
	f->scripts = scripts;
	f->script_count = count;
	f->connections = g_ptr_array_new();
	reserve_addresses(f);
	start_server(f);
	if (bw_standin_kv_create(f->loop, f->store.address, &f->kv) != BW_OK)
		abort();
	if (with_table) {
		put(f, "/test/table", table_text);
		put_workers(f);
	}
	if (view)
		put(f, VIEW_KEY, view);
	read_settings(f);
	if (bw_node_create(f->loop, &f->settings, &f->node) != BW_OK)
		abort();
	/* Covers the registration, the first view and the takeover delay. */
	fixture_run(f, with_table ? 1.6 : 0.3);
	return f;
}

fixture_t *fixture_create(const script_t *scripts, size_t count,
			  bool with_table)
{
	return create(scripts, count, with_table, NULL);
}

fixture_t *fixture_create_with_view(const char *view)
{
	return create(NULL, 0, true, view);
}

void fixture_destroy(fixture_t *f)
{
	bw_node_destroy(f->node);
	bw_standin_kv_destroy(f->kv);
	ev_io_stop(f->loop, &f->accept);
	if (f->listen_fd >= 0)
		close(f->listen_fd);
	while (f->connections->len > 0)
		connection_free(g_ptr_array_index(f->connections, 0));
	g_ptr_array_free(f->connections, TRUE);
	bw_settings_clear(&f->settings);
	release_addresses(f);
	ev_loop_destroy(f->loop);
	g_free(f);
}

/** A connection of a caller to the entry. */
typedef struct caller {
	struct ev_loop *loop;
	ev_io io;
	int fd;
	const char *out;
	size_t out_bytes;
	GString *in;
	bool closed;
} caller_t;

static void on_caller_io(struct ev_loop *loop, ev_io *io, int revents)
{
	caller_t *c = io->data;
	char buffer[65536];
	ssize_t n;

	if ((revents & EV_WRITE) && c->out_bytes > 0) {
		n = send(c->fd, c->out, c->out_bytes, MSG_NOSIGNAL);
		if (n > 0) {
			c->out += n;
			c->out_bytes -= (size_t)n;
		}
		if (c->out_bytes == 0) {
			ev_io_stop(loop, io);
			ev_io_set(io, c->fd, EV_READ);
			ev_io_start(loop, io);
		}
	}
	if (!(revents & EV_READ))
		return;
	n = recv(c->fd, buffer, sizeof(buffer), 0);
	if (n > 0)
		g_string_append_len(c->in, buffer, n);
	else if (n == 0 || errno != EAGAIN) {
		c->closed = true;
		ev_break(loop, EVBREAK_ALL);
	}
}

GString *fixture_exchange(fixture_t *f, const char *request, size_t bytes)
{
	struct sockaddr_in address = make_address(f->callers.port);
	caller_t c = { .loop = f->loop,
		       .out = request,
		       .out_bytes = bytes,
		       .in = g_string_new(NULL) };

	c.fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(c.fd, (struct sockaddr *)&address, sizeof(address)) < 0)
		abort();
	fcntl(c.fd, F_SETFL, O_NONBLOCK);
	ev_io_init(&c.io, on_caller_io, c.fd, EV_READ | EV_WRITE);
	c.io.data = &c;
	ev_io_start(f->loop, &c.io);
	fixture_run(f, EXCHANGE_TIMEOUT_S);
	ev_io_stop(f->loop, &c.io);
	close(c.fd);
	/* The entry handles the closed connection before the next test. */
	fixture_run(f, 0.01);
	if (c.closed)
		return c.in;
	g_string_free(c.in, TRUE);
	return NULL;
}

int fixture_answer_status(const GString *answer)
{
	if (!g_str_has_prefix(answer->str, "HTTP/1.1 "))
		return 0;
	return atoi(answer->str + strlen("HTTP/1.1 "));
}

const char *fixture_answer_body(const GString *answer)
{
	const char *end = strstr(answer->str, "\r\n\r\n");

	return end ? end + 4 : "";
}
