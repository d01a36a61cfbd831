/**
 * @file
 * HTTP client with concurrent calls on a libev loop.
 */
#ifndef BW_NET_HTTPCALL_H
#define BW_NET_HTTPCALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/cause.h"

struct ev_loop;

/** Each call of a client gets a connection at once. */
#define BW_HTTP_NO_LIMIT 0U

/** A client with its own connection cache. */
typedef struct bw_http_client bw_http_client_t;

/** How a call ended. */
typedef enum bw_http_outcome {
	BW_HTTP_ANSWERED, /**< A complete answer was received. */
	BW_HTTP_NOT_SENT, /**< No byte was sent; the call had no effect. */
	BW_HTTP_LOST, /**< Perhaps sent; no complete answer of at most 64 MB. */
	BW_HTTP_OUTCOME_COUNT
} bw_http_outcome_t;

/** Answer of a call; valid during the callback. */
typedef struct bw_http_answer {
	bw_http_outcome_t outcome;
	uint32_t status; /**< HTTP status, when answered. */
	bw_cause_t cause; /**< Why there is no answer. */
	uint32_t copies; /**< Times that the request was sent. */
	int64_t queued_ms; /**< Waited for a connection; not told by keephttp.
			    */
	int64_t took_ms; /**< With that; not told by keephttp. */
	/** The connection had taken a request before; not told by keephttp. */
	bool kept_connection;
	const char *body; /**< NUL-terminated after @p bytes. */
	size_t bytes;
} bw_http_answer_t;

/** Receives the answer of a call. */
typedef void (*bw_http_done_fn)(void *ctx, const bw_http_answer_t *answer);

/** Releases the context of a call that ends without its callback. */
typedef void (*bw_http_release_fn)(void *ctx);

/** One call; strings are copied. Its end needs one of the two limits. */
typedef struct bw_http_request {
	const char *method;
	const char *url;
	const char *const *headers; /**< "Name: value"; NULL-terminated. */
	const char *body; /**< NULL is none. */
	size_t bytes;
	int64_t timeout_ms; /**< Of the whole call; 0 is none. */
	/**
	 * Time in which no byte is sent or received after which the call ends;
	 * 0 is none. Connecting is silence, and so is waiting for a connection
	 * unless the call may queue.
	 */
	int64_t stall_ms;
	bool may_queue; /**< It waits for a connection as long as need be. */
	int64_t wait_ms; /**< Added to stall_ms until the body begins. */
	bw_http_release_fn release; /**< NULL: the context needs none. */
} bw_http_request_t;

/**
 * Creates a client.
 * @param host_connections_max connections to one host and port; calls beyond
 * them are queued; or BW_HTTP_NO_LIMIT
 */
bw_http_client_t *bw_http_client_create(struct ev_loop *loop,
					uint32_t host_connections_max);

/**
 * Ends all calls without their callbacks, and releases their contexts and the
 * client.
 */
void bw_http_client_destroy(bw_http_client_t *client);

/**
 * Starts a call; @p done is called from the loop, once. A GET is sent again
 * when a kept connection closes under it, any other method never.
 */
void bw_http_call(bw_http_client_t *client, const bw_http_request_t *request,
		  bw_http_done_fn done, void *ctx);

#endif
