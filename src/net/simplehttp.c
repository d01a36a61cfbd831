#include "net/simplehttp.h"

#include <inttypes.h>
#include <string.h>

#include <ev.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"

#define CONNECTION_MEMORY_BYTES 32768
/** Connections beside those that the bound allows, as some are being closed. */
#define CONNECTION_SLACK 16
#define SWEEP_INTERVAL_S 1.0
/** Bytes that are read of a refused body, beside those of 64 legal ones;
 *  then its connection is closed before its end. */
#define DROPPED_BYTES_MAX  65536U
#define DROPPED_BODIES_MAX 64U
/** Time in which a client has to read some of an answer. */
#define UNREAD_TIMEOUT_S 60U

/** A client's connection. */
typedef struct conn {
	bw_budget_item_t item; /**< First: the budget's items are these. */
	struct MHD_Connection *connection;
	bw_simple_request_t *request; /**< While one is open. */
	bool ended; /**< Closed by this server. */
} conn_t;

struct bw_simplehttp {
	struct ev_loop *loop;
	bw_mhdev_t *mhd;
	char *address;
	bool limited;
	bool shown;
	bw_budget_t budget;
	ev_timer sweep; /**< Active while there are connections. */
	bw_simple_handler_fn handler;
	void *ctx;
	size_t body_bytes_max;
};

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code);

static conn_t *conn_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void show(const bw_simplehttp_t *s)
{
	if (!s->shown)
		return;
	bw_metrics_set(BW_MG_CALLER_CONNECTIONS, s->budget.connections);
	bw_metrics_set(BW_MG_HELD_BYTES, s->budget.held_bytes);
	bw_metrics_set(BW_MG_HELD_PEAK_BYTES, s->budget.peak_bytes);
}

static void report(bw_simplehttp_t *s, bw_budget_cause_t cause)
{
	uint32_t count = bw_budget_report(&s->budget, cause, bw_clock_now_ms());

	if (count == 0)
		return;
	bw_event(BW_EVENT_FRONT_LIMIT,
		 "address=%s cause=%s count=%u connections=%u "
		 "held_bytes=%" PRIu64,
		 s->address, bw_budget_cause_name(cause), count,
		 s->budget.connections, s->budget.held_bytes);
}

static void note(bw_simplehttp_t *s, bw_budget_cause_t cause)
{
	bw_budget_note(&s->budget, cause);
	bw_metrics_count(BW_MC_CLIENTS, cause, 0);
	report(s, cause);
}

/* Closes a connection whose request is not whole, and drops its body now. */
static void end_connection(bw_simplehttp_t *s, bw_budget_item_t *item,
			   bw_budget_cause_t cause)
{
	conn_t *conn = (conn_t *)item;

	conn->ended = true;
	if (conn->request) {
		g_string_free(conn->request->body, TRUE);
		conn->request->body = g_string_new(NULL);
	}
	bw_budget_remove(&s->budget, item);
	bw_mhdev_end(conn->connection);
	note(s, cause);
}

/* Makes room for bytes of a body; returns whether there is enough. */
static bool take_bytes(bw_simplehttp_t *s, conn_t *conn, size_t bytes)
{
	int64_t now_ms = bw_clock_now_ms();

	while (!bw_budget_take(&s->budget, &conn->item, bytes, now_ms)) {
		bw_budget_item_t *holder =
			bw_budget_holder(&s->budget, &conn->item);

		if (!holder)
			return false;
		end_connection(s, holder, BW_BUDGET_CLOSED_MEMORY);
	}
	return true;
}

static void drop_body(bw_simplehttp_t *s, conn_t *conn, bw_simple_request_t *r)
{
	g_string_free(r->body, TRUE);
	r->body = g_string_new(NULL);
	if (conn)
		bw_budget_release(&s->budget, &conn->item);
}

/* Drops the rest of a refused body, so that the answer can be sent. */
static enum MHD_Result skip_body(bw_simplehttp_t *s, bw_simple_request_t *r,
				 size_t bytes)
{
	r->dropped_bytes += bytes;
	if (!s->limited ||
	    r->dropped_bytes <=
		    DROPPED_BYTES_MAX + DROPPED_BODIES_MAX * s->body_bytes_max)
		return MHD_YES;
	note(s, BW_BUDGET_CLOSED_LONG);
	return MHD_NO;
}

static enum MHD_Result append_body(bw_simplehttp_t *s, conn_t *conn,
				   bw_simple_request_t *r, const char *data,
				   size_t bytes)
{
	if (r->body_too_large || r->body_refused)
		return skip_body(s, r, bytes);
	if (r->body->len + bytes > s->body_bytes_max) {
		r->body_too_large = true;
		drop_body(s, conn, r);
		return skip_body(s, r, bytes);
	}
	if (conn && !take_bytes(s, conn, bytes)) {
		r->body_refused = true;
		drop_body(s, conn, r);
		note(s, BW_BUDGET_REFUSED);
		return skip_body(s, r, bytes);
	}
	g_string_append_len(r->body, data, (gssize)bytes);
	return MHD_YES;
}

static enum MHD_Result reply_refused(bw_simple_request_t *r)
{
	static char text[] = "{\"error\":\"no memory for the body\"}";
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
	result = MHD_queue_response(r->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result serve_whole(bw_simplehttp_t *s, conn_t *conn,
				   bw_simple_request_t *r)
{
	enum MHD_Result result;

	if (conn && conn->item.state != BW_BUDGET_SERVED)
		bw_budget_serve(&s->budget, &conn->item);
	if (r->body_too_large)
		return bw_simple_reply(r, MHD_HTTP_CONTENT_TOO_LARGE,
				       "application/json",
				       "{\"error\":\"body too long\"}", 25);
	if (r->body_refused)
		return reply_refused(r);
	result = s->handler(s->ctx, r);
	r->calls++;
	return result;
}

static bw_simple_request_t *create_request(bw_simplehttp_t *s,
					   struct MHD_Connection *connection,
					   const char *url, const char *method)
{
	bw_simple_request_t *r = g_new0(bw_simple_request_t, 1);

	r->connection = connection;
	r->server = s;
	r->method = method;
	r->path = url;
	r->body = g_string_new(NULL);
	return r;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state)
{
	bw_simplehttp_t *s = ctx;
	conn_t *conn = s->limited ? conn_of(connection) : NULL;
	bw_simple_request_t *r = *state;
	size_t bytes = *data_bytes;

	(void)version;
	if (conn && conn->ended)
		return MHD_NO;
	if (!r) {
		r = create_request(s, connection, url, method);
		*state = r;
		if (!conn)
			return MHD_YES;
		conn->request = r;
		bw_budget_begin(&s->budget, &conn->item, bw_clock_now_ms());
		return MHD_YES;
	}
	if (bytes == 0)
		return serve_whole(s, conn, r);
	*data_bytes = 0;
	return append_body(s, conn, r, data, bytes);
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	bw_simplehttp_t *s = ctx;
	conn_t *conn = s->limited ? conn_of(connection) : NULL;
	bw_simple_request_t *r = *state;

	(void)code;
	if (conn) {
		conn->request = NULL;
		if (!conn->ended)
			bw_budget_wait(&s->budget, &conn->item,
				       bw_clock_now_ms());
	}
	if (!r)
		return;
	if (r->user_free)
		r->user_free(r->user);
	g_string_free(r->body, TRUE);
	g_free(r);
	*state = NULL;
}

static void on_opened(bw_simplehttp_t *s, struct MHD_Connection *connection,
		      void **state)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->connection = connection;
	*state = conn;
	bw_budget_wait(&s->budget, &conn->item, bw_clock_now_ms());
	if (bw_budget_is_crowded(&s->budget))
		end_connection(s, bw_budget_stalest(&s->budget),
			       BW_BUDGET_CLOSED_CONNECTIONS);
	if (!ev_is_active(&s->sweep))
		ev_timer_again(s->loop, &s->sweep);
}

static void on_connection(void *ctx, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	bw_simplehttp_t *s = ctx;
	conn_t *conn = *state;

	if (!s->limited)
		return;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		on_opened(s, connection, state);
		return;
	}
	bw_budget_remove(&s->budget, &conn->item);
	g_free(conn);
	*state = NULL;
}

/* Closes the connections that have brought nothing for too long; tells of those
 * that ended without a line of their own. */
static void on_sweep(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_simplehttp_t *s = timer->data;
	int64_t now_ms = bw_clock_now_ms();
	bw_budget_cause_t cause;
	bw_budget_item_t *item;
	int i;

	(void)revents;
	while ((item = bw_budget_late(&s->budget, now_ms, &cause)))
		end_connection(s, item, cause);
	for (i = 0; i < BW_BUDGET_CAUSE_COUNT; i++)
		report(s, (bw_budget_cause_t)i);
	show(s);
	if (s->budget.connections == 0)
		ev_timer_stop(loop, timer);
}

static void init_limits(bw_simplehttp_t *s, const bw_simple_config_t *config)
{
	static const bw_family_labels_t labels = {
		.first = "cause",
		.first_count = BW_BUDGET_CAUSE_COUNT,
	};
	bw_family_labels_t all = labels;

	s->limited = config->limits != NULL;
	s->shown = config->shown;
	if (!s->limited)
		return;
	all.first_values = bw_budget_cause_names();
	bw_metrics_define_once(BW_MC_CLIENTS, &all);
	bw_budget_init(&s->budget, config->limits);
	ev_timer_init(&s->sweep, on_sweep, 0.0, SWEEP_INTERVAL_S);
	s->sweep.data = s;
}

bw_status_t bw_simplehttp_create(struct ev_loop *loop,
				 const bw_simple_config_t *config,
				 bw_simple_handler_fn handler, void *ctx,
				 bw_simplehttp_t **out)
{
	bw_simplehttp_t *s = g_new0(bw_simplehttp_t, 1);
	bw_mhdev_config_t mhd = {
		.address = config->address,
		.handler = on_request,
		.completed = on_completed,
		.connection = on_connection,
		.ctx = s,
		.connection_memory = CONNECTION_MEMORY_BYTES,
		.connections_max = config->connections_max,
		.socket_buffer_bytes = config->socket_buffer_bytes,
	};
	bw_status_t status;

	s->loop = loop;
	s->address = g_strdup(config->address);
	init_limits(s, config);
	if (s->limited)
		mhd.idle_timeout_s = UNREAD_TIMEOUT_S;
	if (s->limited && s->budget.limits.connections_max > 0)
		mhd.connections_max =
			s->budget.limits.connections_max + CONNECTION_SLACK;
	s->handler = handler;
	s->ctx = ctx;
	s->body_bytes_max = config->body_bytes_max;
	status = bw_mhdev_create(loop, &mhd, &s->mhd);
	if (status != BW_OK) {
		g_free(s->address);
		g_free(s);
		return status;
	}
	*out = s;
	return BW_OK;
}

void bw_simplehttp_destroy(bw_simplehttp_t *s)
{
	if (!s)
		return;
	bw_mhdev_destroy(s->mhd);
	if (s->limited)
		ev_timer_stop(s->loop, &s->sweep);
	g_free(s->address);
	g_free(s);
}

void bw_simple_suspend(bw_simple_request_t *r)
{
	MHD_suspend_connection(r->connection);
}

void bw_simple_resume(bw_simplehttp_t *s, struct MHD_Connection *connection)
{
	bw_mhdev_resume(s->mhd, connection);
}

enum MHD_Result bw_simple_wait(bw_simple_request_t *r)
{
	r->waiting = true;
	bw_simple_suspend(r);
	return MHD_YES;
}

void bw_simple_wake(bw_simple_request_t *r)
{
	r->woken = true;
	if (r->waiting)
		bw_simple_resume(r->server, r->connection);
}

enum MHD_Result bw_simple_reply(bw_simple_request_t *r, unsigned int status,
				const char *content_type, const char *body,
				size_t bytes)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		bytes, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				content_type);
	if (r->close)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	result = MHD_queue_response(r->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

int64_t bw_simple_arg(const bw_simple_request_t *r, const char *name,
		      int64_t fallback)
{
	const char *text = MHD_lookup_connection_value(
		r->connection, MHD_GET_ARGUMENT_KIND, name);

	if (!text)
		return fallback;
	return g_ascii_strtoll(text, NULL, 10);
}
