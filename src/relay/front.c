#include "relay/front.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <ev.h>

#define BW_LOG_PART "front"
#include "base/log.h"

#include "base/clock.h"
#include "net/budget.h"
#include "net/mhdev.h"
#include "relay/problem.h"

#define SWEEP_INTERVAL_S 1.0
/* The load balancer needs this long to notice that an entry is stopping. */
#define STOPPING_IDLE_TIMEOUT_S 2.0
#define CONNECTION_SLACK	16
#define MEMORY_SLACK		4096
#define ANSWER_BLOCK_BYTES	65536

/** A caller's connection, closed when no request arrives in time. */
typedef struct conn {
	bw_budget_item_t item; /**< First: the budget's items are these. */
	GList link;
	bw_call_t *call; /**< Whose body is read, or NULL. */
	bool ended; /**< Closed by this front. */
	struct MHD_Connection *connection;
	uint32_t ip;
	bool busy; /**< A complete request is being answered. */
	double wait_start; /**< When the wait for a request began. */
} conn_t;

struct bw_front {
	struct ev_loop *loop;
	bw_front_config_t config;
	bw_mhdev_t *mhd;
	bw_mbox_t *relay;
	bw_counters_t *counters;
	GHashTable *per_ip; /**< Number of connections by IP address. */
	GQueue conns; /**< conn_t */
	bw_budget_t budget;
	uint32_t open_calls;
	uint32_t connections;
	bool quiesced;
	ev_timer sweep;
};

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state);
static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *c);
static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code);
static void on_connection(void *ctx, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code);
static enum MHD_Result on_accept(void *ctx, const struct sockaddr *address,
				 socklen_t bytes);
static void on_sweep(struct ev_loop *loop, ev_timer *timer, int revents);
static enum MHD_Result handle_head(bw_front_t *f, bw_call_t *call,
				   const char *method);
static void handle_body(bw_front_t *f, bw_call_t *call, const char *data,
			size_t bytes);
static bool reserve_body(bw_front_t *f, bw_call_t *call, size_t bytes);
static void end_connection(bw_front_t *f, bw_budget_item_t *item,
			   bw_budget_cause_t cause);
static enum MHD_Result collect_header(void *ctx, enum MHD_ValueKind kind,
				      const char *name, const char *value);
static enum MHD_Result queue_refusal(bw_front_t *f, bw_call_t *call,
				     struct MHD_Connection *connection);
static enum MHD_Result queue_answer(bw_call_t *call);
static ssize_t read_answer(void *ctx, uint64_t pos, char *buf, size_t max);
static conn_t *conn_of(struct MHD_Connection *connection);
static void set_refusal(bw_call_t *call, unsigned int status,
			bw_counter_t counter);

static conn_t *conn_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *c)
{
	bw_front_t *f = ctx;
	bw_call_t *call = bw_call_create(uri);

	call->connection = c;
	call->front = f;
	f->open_calls++;
	return call;
}

static void set_refusal(bw_call_t *call, unsigned int status,
			bw_counter_t counter)
{
	if (call->refusal_status != 0)
		return;
	call->refusal_status = status;
	call->refusal_counter = counter;
}

static void report(bw_front_t *f, bw_budget_cause_t cause)
{
	uint32_t count = bw_budget_report(&f->budget, cause, bw_clock_now_ms());

	if (count > 0)
		g_warning("Callers met a bound: %s %u, connections %u, bodies "
			  "of %" PRIu64 " bytes.",
			  bw_budget_cause_name(cause), count,
			  f->budget.connections, f->budget.held_bytes);
}

static void note(bw_front_t *f, bw_budget_cause_t cause)
{
	static const bw_counter_t counters[BW_BUDGET_CAUSE_COUNT] = {
		[BW_BUDGET_REFUSED] = BW_C_COUNT,
		[BW_BUDGET_CLOSED_MEMORY] = BW_C_CLOSED_BODY_MEMORY,
		[BW_BUDGET_CLOSED_CONNECTIONS] = BW_C_CLOSED_CONNECTIONS,
		[BW_BUDGET_CLOSED_HEAD] = BW_C_REFUSED_SLOW,
		[BW_BUDGET_CLOSED_STILL] = BW_C_REFUSED_SLOW,
		[BW_BUDGET_CLOSED_LONG] = BW_C_COUNT,
	};
	/* Refusals are counted when they are answered. */
	if (counters[cause] != BW_C_COUNT)
		bw_count(f->counters, counters[cause], 1);
	bw_budget_note(&f->budget, cause);
	report(f, cause);
}

static void drop_body(bw_front_t *f, conn_t *conn, bw_call_t *call)
{
	g_string_free(call->body, TRUE);
	call->body = g_string_new(NULL);
	if (conn)
		bw_budget_release(&f->budget, &conn->item);
}

/* Closes a connection whose request is not whole, and drops its body now. */
static void end_connection(bw_front_t *f, bw_budget_item_t *item,
			   bw_budget_cause_t cause)
{
	conn_t *conn = (conn_t *)item;

	conn->ended = true;
	if (conn->call)
		drop_body(f, conn, conn->call);
	bw_budget_remove(&f->budget, item);
	bw_mhdev_end(conn->connection);
	note(f, cause);
}

/* Makes room for more bytes of a body; refuses the call if there is none. */
static bool reserve_body(bw_front_t *f, bw_call_t *call, size_t bytes)
{
	conn_t *conn = conn_of(call->connection);
	int64_t now_ms = bw_clock_now_ms();

	if (call->body->len + bytes > f->config.body_bytes_max) {
		set_refusal(call, 413, BW_C_REFUSED_BODY_TOO_LARGE);
		return false;
	}
	while (conn &&
	       !bw_budget_take(&f->budget, &conn->item, bytes, now_ms)) {
		bw_budget_item_t *holder =
			bw_budget_holder(&f->budget, &conn->item);

		if (!holder) {
			set_refusal(call, 503, BW_C_REFUSED_BODY_MEMORY);
			note(f, BW_BUDGET_REFUSED);
			return false;
		}
		end_connection(f, holder, BW_BUDGET_CLOSED_MEMORY);
	}
	return true;
}

static enum MHD_Result collect_header(void *ctx, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	bw_call_t *call = ctx;
	char *line;

	(void)kind;
	if (bw_header_is_hop_by_hop(name) ||
	    !strcasecmp(name, "Content-Length") || !strcasecmp(name, "Expect"))
		return MHD_YES;
	if (!strcasecmp(name, "Idempotency-Key") && !call->key_text)
		call->key_text = g_strdup(value ? value : "");
	if (value && *value)
		line = g_strconcat(name, ": ", value, NULL);
	else
		line = g_strconcat(name, ";", NULL);
	call->headers = curl_slist_append(call->headers, line);
	g_free(line);
	return MHD_YES;
}

static enum MHD_Result handle_head(bw_front_t *f, bw_call_t *call,
				   const char *method)
{
	const char *length = MHD_lookup_connection_value(
		call->connection, MHD_HEADER_KIND, "Content-Length");
	conn_t *conn = conn_of(call->connection);
	guint64 bytes = 0;

	call->head_read = true;
	if (conn) {
		conn->call = call;
		bw_budget_begin(&f->budget, &conn->item, bw_clock_now_ms());
	}
	call->method = g_strdup(method);
	bw_count(f->counters, BW_C_REQUESTS, 1);
	if (call->target[0] != '/')
		set_refusal(call, 400, BW_C_REFUSED_BAD_REQUEST);
	if (!strcmp(method, "CONNECT") || !strcmp(method, "TRACE"))
		set_refusal(call, 501, BW_C_REFUSED_METHOD);
	if (length && !g_ascii_string_to_unsigned(length, 10, 0, G_MAXINT64,
						  &bytes, NULL))
		set_refusal(call, 400, BW_C_REFUSED_BAD_REQUEST);
	if (bytes > f->config.body_bytes_max)
		set_refusal(call, 413, BW_C_REFUSED_BODY_TOO_LARGE);
	/* An answer before the body lets the caller stop sending it. */
	if (call->refusal_status != 0)
		return queue_refusal(f, call, call->connection);
	MHD_get_connection_values(call->connection, MHD_HEADER_KIND,
				  collect_header, call);
	return MHD_YES;
}

static void handle_body(bw_front_t *f, bw_call_t *call, const char *data,
			size_t bytes)
{
	if (call->refusal_status != 0)
		return;
	if (!reserve_body(f, call, bytes)) {
		drop_body(f, conn_of(call->connection), call);
		return;
	}
	g_string_append_len(call->body, data, (gssize)bytes);
}

static enum MHD_Result queue_refusal(bw_front_t *f, bw_call_t *call,
				     struct MHD_Connection *connection)
{
	struct MHD_Response *response;
	bw_outcome_t outcome;
	enum MHD_Result result;
	char *text;

	bw_count(f->counters, call->refusal_counter, 1);
	/* Another entry may run the key; only its owner can rule that out. */
	outcome = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					      "Idempotency-Key")
			  ? BW_OUTCOME_UNKNOWN
			  : BW_OUTCOME_NOT_RUN;
	text = bw_problem_text(call->refusal_status, outcome,
			       bw_counter_name(call->refusal_counter), NULL);
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", BW_PROBLEM_TYPE);
	if (call->refusal_status == 503)
		MHD_add_response_header(response, "Retry-After", "1");
	call->replying = true;
	result = MHD_queue_response(connection, call->refusal_status, response);
	MHD_destroy_response(response);
	return result;
}

static ssize_t read_answer(void *ctx, uint64_t pos, char *buf, size_t max)
{
	bw_call_t *call = ctx;
	GString *body = call->answer.body;
	size_t n = MIN(max, body->len);

	(void)pos;
	if (n == 0) {
		if (call->answer.truncated)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		if (call->answer.complete)
			return MHD_CONTENT_READER_END_OF_STREAM;
		call->awaiting_body = true;
		call->suspended = true;
		MHD_suspend_connection(call->connection);
		return 0;
	}
	memcpy(buf, body->str, n);
	g_string_erase(body, 0, (gssize)n);
	bw_mbox_post(call->front->relay, BW_RELAY_ANSWER_CONSUMED, call);
	return (ssize_t)n;
}

static enum MHD_Result queue_answer(bw_call_t *call)
{
	bw_answer_t *a = &call->answer;
	bool is_head = !strcmp(call->method, "HEAD");
	struct MHD_Response *response;
	enum MHD_Result result;
	guint i;

	call->replying = true;
	if (a->complete && !is_head) {
		gsize bytes = a->body->len;
		char *text = g_string_free(a->body, FALSE);

		a->body = g_string_new(NULL);
		response = MHD_create_response_from_buffer(
			bytes, text, MHD_RESPMEM_MUST_FREE);
	} else {
		response = MHD_create_response_from_callback(
			a->length == UINT64_MAX ? MHD_SIZE_UNKNOWN : a->length,
			ANSWER_BLOCK_BYTES, read_answer, call, NULL);
	}
	for (i = 0; i < a->headers->len; i++) {
		const bw_header_t *h =
			&g_array_index(a->headers, bw_header_t, i);

		MHD_add_response_header(response, h->name, h->value);
	}
	if (call->front->quiesced)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(call->connection, a->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state)
{
	bw_front_t *f = ctx;
	bw_call_t *call = *state;
	conn_t *conn = conn_of(connection);

	(void)url;
	(void)version;
	if (conn && conn->ended)
		return MHD_NO;
	if (!call->head_read)
		return handle_head(f, call, method);
	if (*data_bytes > 0) {
		handle_body(f, call, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (call->replying)
		return MHD_YES;
	if (call->refusal_status != 0)
		return queue_refusal(f, call, connection);
	if (call->relay)
		return queue_answer(call);
	if (conn) {
		conn->busy = true;
		bw_budget_serve(&f->budget, &conn->item);
	}
	call->suspended = true;
	MHD_suspend_connection(connection);
	bw_mbox_post(f->relay, BW_RELAY_REQUEST, call);
	return MHD_YES;
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	bw_front_t *f = ctx;
	bw_call_t *call = *state;
	conn_t *conn = conn_of(connection);

	if (conn) {
		conn->call = NULL;
		conn->busy = false;
		conn->wait_start = ev_now(f->loop);
		if (!conn->ended)
			bw_budget_wait(&f->budget, &conn->item,
				       bw_clock_now_ms());
	}
	if (!call)
		return;
	*state = NULL;
	f->open_calls--;
	call->connection = NULL;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		bw_count(f->counters, BW_C_CALLER_GONE, 1);
	if (call->relay)
		bw_mbox_post(f->relay, BW_RELAY_RELEASED, call);
	else
		bw_call_destroy(call);
}

static enum MHD_Result on_accept(void *ctx, const struct sockaddr *address,
				 socklen_t bytes)
{
	bw_front_t *f = ctx;
	const struct sockaddr_in *in = (const struct sockaddr_in *)address;
	guint count;

	(void)bytes;
	count = GPOINTER_TO_UINT(g_hash_table_lookup(
		f->per_ip, GUINT_TO_POINTER(in->sin_addr.s_addr)));
	/* Another connection, which brings nothing, is closed for it. */
	if (count < f->config.connections_per_address_max &&
	    (f->budget.connections < f->config.connections_max ||
	     bw_budget_stalest(&f->budget)))
		return MHD_YES;
	bw_count(f->counters, BW_C_REFUSED_CONNECTIONS, 1);
	return MHD_NO;
}

static void on_connection(void *ctx, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	bw_front_t *f = ctx;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	conn_t *conn = *state;
	gpointer ip;
	guint count;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = g_new0(conn_t, 1);
		conn->link.data = conn;
		conn->connection = connection;
		conn->ip = ((const struct sockaddr_in *)info->client_addr)
				   ->sin_addr.s_addr;
		conn->wait_start = ev_now(f->loop);
		g_queue_push_tail_link(&f->conns, &conn->link);
		*state = conn;
		f->connections++;
		bw_budget_wait(&f->budget, &conn->item, bw_clock_now_ms());
	}
	ip = GUINT_TO_POINTER(conn->ip);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(f->per_ip, ip));
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		g_hash_table_insert(f->per_ip, ip, GUINT_TO_POINTER(count + 1));
		if (bw_budget_is_crowded(&f->budget))
			end_connection(f, bw_budget_stalest(&f->budget),
				       BW_BUDGET_CLOSED_CONNECTIONS);
		return;
	}
	if (count <= 1)
		g_hash_table_remove(f->per_ip, ip);
	else
		g_hash_table_insert(f->per_ip, ip, GUINT_TO_POINTER(count - 1));
	bw_budget_remove(&f->budget, &conn->item);
	g_queue_unlink(&f->conns, &conn->link);
	f->connections--;
	g_free(conn);
	*state = NULL;
}

/* Closes connections whose caller did not send a request in time. */
static void on_sweep(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_front_t *f = timer->data;
	double timeout_s = f->quiesced ? STOPPING_IDLE_TIMEOUT_S
				       : f->config.idle_timeout_ms / 1000.0;
	double oldest = ev_now(loop) - timeout_s;
	GList *link;
	int i;

	(void)revents;
	for (i = 0; i < BW_BUDGET_CAUSE_COUNT; i++)
		report(f, (bw_budget_cause_t)i);
	for (link = f->conns.head; link; link = link->next) {
		conn_t *conn = link->data;

		if (conn->busy || conn->wait_start > oldest)
			continue;
		bw_mhdev_end(conn->connection);
		conn->wait_start = ev_now(loop);
		if (!f->quiesced)
			bw_count(f->counters, BW_C_REFUSED_SLOW, 1);
	}
}

bw_status_t bw_front_create(struct ev_loop *loop,
			    const bw_front_config_t *config, bw_mbox_t *relay,
			    bw_counters_t *counters, bw_front_t **out)
{
	bw_front_t *f = g_new0(bw_front_t, 1);
	bw_mhdev_config_t mhd = {
		.address = config->address,
		.handler = on_request,
		.uri = on_uri,
		.completed = on_completed,
		.connection = on_connection,
		.accept = on_accept,
		.ctx = f,
		.connection_memory = config->header_bytes_max + MEMORY_SLACK,
		.connections_max = config->connections_max + CONNECTION_SLACK,
		.idle_timeout_s = MAX(config->idle_timeout_ms / 1000, 1),
	};
	bw_budget_limits_t limits = {
		.connections_max = config->connections_max,
		.bytes_max = config->body_memory_bytes,
	};
	bw_status_t status;

	f->loop = loop;
	f->config = *config;
	bw_budget_init(&f->budget, &limits);
	f->relay = relay;
	f->counters = counters;
	f->per_ip = g_hash_table_new(NULL, NULL);
	g_queue_init(&f->conns);
	status = bw_mhdev_create(loop, &mhd, &f->mhd);
	if (status != BW_OK) {
		g_hash_table_destroy(f->per_ip);
		g_free(f);
		return status;
	}
	ev_timer_init(&f->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
	f->sweep.data = f;
	ev_timer_start(loop, &f->sweep);
	*out = f;
	return BW_OK;
}

void bw_front_quiesce(bw_front_t *f)
{
	if (f->quiesced)
		return;
	f->quiesced = true;
	bw_mhdev_quiesce(f->mhd);
}

void bw_front_destroy(bw_front_t *f)
{
	if (!f)
		return;
	ev_timer_stop(f->loop, &f->sweep);
	bw_mhdev_destroy(f->mhd);
	g_hash_table_destroy(f->per_ip);
	g_free(f);
}

void bw_front_answer_changed(bw_front_t *f, bw_call_t *call)
{
	if (!call->connection || !call->suspended)
		return;
	if (call->replying && !call->awaiting_body)
		return;
	call->suspended = false;
	call->awaiting_body = false;
	bw_mhdev_resume(f->mhd, call->connection);
}

uint32_t bw_front_open_calls(const bw_front_t *f)
{
	return f->open_calls;
}

uint32_t bw_front_connections(const bw_front_t *f)
{
	return f->connections;
}

uint64_t bw_front_held_bytes(const bw_front_t *f)
{
	return f->budget.held_bytes;
}
