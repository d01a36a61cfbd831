/**
 * @file
 * A small HTTP server for operators and stand-ins: the request body is
 * collected before the handler is called.
 */
#ifndef BW_NET_SIMPLEHTTP_H
#define BW_NET_SIMPLEHTTP_H

#include <glib.h>

#include "net/mhdev.h"

typedef struct bw_simplehttp bw_simplehttp_t;

/** A whole request. */
typedef struct bw_simple_request {
	struct MHD_Connection *connection;
	bw_simplehttp_t *server;
	const char *method;
	const char *path; /**< Without the query. */
	GString *body;
	bool too_long; /**< The body was over the limit. */
	void *user; /**< The handler's; NULL at the first call. */
	void (*user_free)(void *user); /**< Called at the end, if set. */
	uint32_t calls; /**< Calls of the handler before this one. */
	bool waits; /**< Its connection is suspended by bw_simple_wait(). */
	bool woken; /**< What it waits for has come. */
} bw_simple_request_t;

/**
 * Answers a request with bw_simple_reply(), or suspends its connection; it is
 * called again once that is resumed.
 */
typedef enum MHD_Result (*bw_simple_fn)(void *ctx, bw_simple_request_t *r);

/** Limits of the server. */
typedef struct bw_simple_config {
	const char *address;
	size_t body_bytes_max;
	uint32_t connections_max;
} bw_simple_config_t;

/** Starts a server; see bw_mhdev_create() for errors. */
bw_status_t bw_simplehttp_create(struct ev_loop *loop,
				 const bw_simple_config_t *config,
				 bw_simple_fn fn, void *ctx,
				 bw_simplehttp_t **out);

/** Stops a server; no connection may be suspended. */
void bw_simplehttp_destroy(bw_simplehttp_t *s);

/** Suspends the connection of a request; the handler returns MHD_YES. */
void bw_simple_suspend(bw_simple_request_t *r);

/** Resumes a suspended connection. */
void bw_simple_resume(bw_simplehttp_t *s, struct MHD_Connection *connection);

/**
 * Lets a request wait until bw_simple_wake(); its handler is called again then.
 * @return what the handler returns
 */
enum MHD_Result bw_simple_wait(bw_simple_request_t *r);

/** What a request waits for, or would wait for, has come. */
void bw_simple_wake(bw_simple_request_t *r);

/** Queues an answer. */
enum MHD_Result bw_simple_reply(bw_simple_request_t *r, unsigned int status,
				const char *content_type, const char *body,
				size_t bytes);

/** Integer argument of the query, or @p fallback. */
int64_t bw_simple_arg(const bw_simple_request_t *r, const char *name,
		      int64_t fallback);

#endif
