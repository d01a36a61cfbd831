/**
 * @file
 * HTTP client for many short calls to many servers over kept connections. It
 * costs a fraction of bw_http_call()'s processor time, and does no more than
 * calls to workers need: IPv4 addresses, and bodies that fit into memory.
 */
#ifndef BW_NET_KEEPHTTP_H
#define BW_NET_KEEPHTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/httpcall.h"

/** A client with its connections. */
typedef struct bw_keephttp bw_keephttp_t;

/** A call with the method POST; strings are copied. */
typedef struct bw_keephttp_request {
	const char *address; /**< ip:port. */
	const char *path;
	/** Lines of the header, each ended by CR LF, or NULL. */
	const char *headers;
	const char *body;
	size_t bytes;
	int64_t timeout_ms; /**< Of the whole call, with all waits. */
	/** Send it only over an idle connection that has answered before: a new
	 *  one may reach a server that has restarted since. Without one the
	 *  call ends as not sent, and does not wait. */
	bool kept_only;
	/** Limit on the wait for the answer, from when a connection was taken;
	 *  it does not count until one is established. 0: none. */
	int64_t answer_ms;
	bw_http_release_fn release; /**< NULL: the context needs none. */
} bw_keephttp_request_t;

/**
 * Creates a client.
 * @param host_connections_max connections to one address; calls beyond them are
 * queued
 * @param connections_max in all, above which the one that is idle longest is
 * closed for a new one; two for each address are kept in any case
 */
bw_keephttp_t *bw_keephttp_create(struct ev_loop *loop,
				  uint32_t host_connections_max,
				  uint32_t connections_max);

/**
 * Ends all calls without their callbacks, and releases their contexts and the
 * client.
 */
void bw_keephttp_destroy(bw_keephttp_t *client);

/**
 * Starts a call; @p done is called from the loop, once. No call is sent again,
 * also when a kept connection turns out to be closed: the first copy may have
 * been carried out.
 */
void bw_keephttp_call(bw_keephttp_t *client,
		      const bw_keephttp_request_t *request,
		      bw_http_done_fn done, void *ctx);

#endif
