/**
 * @file
 * One kept HTTP/1.1 connection of a client: sends a request at a time and reads
 * its answer, which http-parser decodes.
 */
#ifndef BW_NET_KEEPCONN_H
#define BW_NET_KEEPCONN_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct ev_loop;

/** A connection. */
typedef struct bw_keepconn bw_keepconn_t;

/** Callbacks, called from the event loop; both may destroy the connection. */
typedef struct bw_keepconn_ops {
	/**
	 * The answer is complete.
	 * @param body the callee's, to be released with g_string_free()
	 * @param reusable whether another request may be sent
	 */
	void (*answered)(void *ctx, uint32_t status, GString *body,
			 bool reusable);
	/** It could not connect, was closed, or received no valid answer. */
	void (*ended)(void *ctx);
} bw_keepconn_ops_t;

/**
 * Starts to connect; a failure is reported by the callback.
 * @param address NULL if it is not valid, which is a failure
 */
bw_keepconn_t *bw_keepconn_create(struct ev_loop *loop,
				  const struct sockaddr_in *address,
				  const bw_keepconn_ops_t *ops, void *ctx);

/** Closes a connection without a callback. */
void bw_keepconn_destroy(bw_keepconn_t *c);

/**
 * Sends a request, as soon as the connection is established. The previous
 * answer must have been complete.
 * @param request must stay until a callback, or the end of the connection
 */
void bw_keepconn_send(bw_keepconn_t *c, const GString *request);

/** Returns whether it was established. */
bool bw_keepconn_connected(const bw_keepconn_t *c);

/**
 * Returns whether a connection whose previous answer is complete can take a
 * request: it is open, and nothing has arrived on it that would be taken for
 * the answer.
 */
bool bw_keepconn_usable(const bw_keepconn_t *c);

#endif
