#include "net/simplehttp.h"

#include <string.h>

#define CONNECTION_MEMORY_BYTES 32768

struct bw_simplehttp {
	bw_mhdev_t *mhd;
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

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state)
{
	bw_simplehttp_t *s = ctx;
	bw_simple_request_t *r = *state;
	enum MHD_Result result;

	(void)version;
	if (!r) {
		r = g_new0(bw_simple_request_t, 1);
		r->connection = connection;
		r->server = s;
		r->method = method;
		r->path = url;
		r->body = g_string_new(NULL);
		*state = r;
		return MHD_YES;
	}
	if (*data_bytes > 0) {
		if (r->body->len + *data_bytes > s->body_bytes_max) {
			/* Drops the rest, so that the answer can be sent. */
			r->body_too_large = true;
			*data_bytes = 0;
			return MHD_YES;
		}
		g_string_append_len(r->body, data, (gssize)*data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (r->body_too_large)
		return bw_simple_reply(r, MHD_HTTP_CONTENT_TOO_LARGE,
				       "application/json",
				       "{\"error\":\"body too long\"}", 25);
	result = s->handler(s->ctx, r);
	r->calls++;
	return result;
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	bw_simple_request_t *r = *state;

	(void)ctx;
	(void)connection;
	(void)code;
	if (!r)
		return;
	if (r->user_free)
		r->user_free(r->user);
	g_string_free(r->body, TRUE);
	g_free(r);
	*state = NULL;
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
		.ctx = s,
		.connection_memory = CONNECTION_MEMORY_BYTES,
		.connections_max = config->connections_max,
	};
	bw_status_t status;

	s->handler = handler;
	s->ctx = ctx;
	s->body_bytes_max = config->body_bytes_max;
	status = bw_mhdev_create(loop, &mhd, &s->mhd);
	if (status != BW_OK) {
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
