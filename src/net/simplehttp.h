/**
 * @file
 * A small HTTP server that collects a request's body before it calls the
 * handler.
 */
#ifndef BW_NET_SIMPLEHTTP_H
#define BW_NET_SIMPLEHTTP_H

#include <glib.h>

#include "net/budget.h"
#include "net/mhdev.h"

/** A server. */
typedef struct bw_simplehttp bw_simplehttp_t;

/** A request with its complete body. */
typedef struct bw_simple_request {
	struct MHD_Connection *connection;
	bw_simplehttp_t *server;
	const char *method;
	const char *path; /**< Without the query. */
	GString *body;
	bool body_too_large; /**< The body was over the limit. */
	bool body_refused; /**< There was no memory for the body. */
	uint64_t dropped_bytes; /**< Of a body that is too large or refused. */
	void *user; /**< Owned by the handler; NULL at its first call. */
	void (*user_free)(void *user); /**< Called at the end, if set. */
	uint32_t calls; /**< Previous calls of the handler. */
	bool waiting; /**< Suspended by bw_simple_wait(). */
	bool woken; /**< bw_simple_wake() was called. */
	bool close; /**< Set by the handler: the connection ends with the
		       answer. */
} bw_simple_request_t;

/**
 * Handles a request: answers it with bw_simple_reply(), or suspends its
 * connection and is called again when that is resumed.
 */
typedef enum MHD_Result (*bw_simple_handler_fn)(void *ctx,
						bw_simple_request_t *r);

/** Limits of the server. */
typedef struct bw_simple_config {
	const char *address;
	size_t body_bytes_max;
	uint32_t connections_max; /**< Above it none is accepted. */
	/** Bounds of what clients may hold, or NULL: none. Its number of
	 *  connections counts in place of connections_max. */
	const bw_budget_limits_t *limits;
	/** Receive buffer of a connection in bytes, 0: the system's. */
	int socket_buffer_bytes;
	bool shown; /**< What it holds is in the process's metrics. */
} bw_simple_config_t;

/** Starts a server; returns what bw_mhdev_create() does. */
bw_status_t bw_simplehttp_create(struct ev_loop *loop,
				 const bw_simple_config_t *config,
				 bw_simple_handler_fn handler, void *ctx,
				 bw_simplehttp_t **out);

/** Stops a server; no connection may be suspended. */
void bw_simplehttp_destroy(bw_simplehttp_t *s);

/** Suspends the connection of a request; the handler returns MHD_YES. */
void bw_simple_suspend(bw_simple_request_t *r);

/** Resumes a suspended connection. */
void bw_simple_resume(bw_simplehttp_t *s, struct MHD_Connection *connection);

/**
 * Suspends a request until bw_simple_wake(), after which its handler is called
 * again.
 * @return the result that the handler must return
 */
enum MHD_Result bw_simple_wait(bw_simple_request_t *r);

/** Wakes a request; may be called before bw_simple_wait(). */
void bw_simple_wake(bw_simple_request_t *r);

/** Queues an answer; @p body is copied. */
enum MHD_Result bw_simple_reply(bw_simple_request_t *r, unsigned int status,
				const char *content_type, const char *body,
				size_t bytes);

/** Returns an integer argument of the query, or @p fallback without it. */
int64_t bw_simple_arg(const bw_simple_request_t *r, const char *name,
		      int64_t fallback);

#endif
