/**
 * @file
 * Sends one attempt of a request to a backend server over HTTP/1.1 and reads
 * its answer.
 */
#ifndef BW_RELAY_UPSTREAM_H
#define BW_RELAY_UPSTREAM_H

#include <stddef.h>
#include <stdint.h>

#include <curl/curl.h>

#include "base/counters.h"
#include "place/retry.h"

struct ev_loop;

typedef struct bw_upstream bw_upstream_t;
typedef struct bw_attempt bw_attempt_t;

/** Request of an attempt; its pointers must stay valid until the end. */
typedef struct bw_attempt_request {
	const char *address; /**< ip:port of the backend server. */
	const char *method;
	const char *target; /**< Path and query as received. */
	struct curl_slist *headers; /**< "Name: value" lines. */
	const char *body; /**< NULL when the request has none. */
	size_t body_bytes;
	int64_t timeout_ms;
} bw_attempt_request_t;

/** Events of an attempt; none comes after done() or bw_attempt_abort(). */
typedef struct bw_attempt_ops {
	/** The status of the final answer; its headers and body follow. */
	void (*status)(void *ctx, unsigned int status);
	/** A header of the final answer; strings are valid during the call. */
	void (*header)(void *ctx, const char *name, const char *value);
	/** The declared length of the body; not called without one. */
	void (*length)(void *ctx, uint64_t bytes);
	/**
	 * Body bytes.
	 * @return 0 to pause the attempt; bw_attempt_resume() continues it and
	 *         passes the same bytes again
	 */
	int (*data)(void *ctx, const char *data, size_t bytes);
	/** The attempt ended; its handle is not valid any more. */
	void (*done)(void *ctx, bw_attempt_result_t result);
} bw_attempt_ops_t;

/**
 * Creates an HTTP client.
 * @param connections_max connections per backend server; 0: unlimited
 */
bw_upstream_t *bw_upstream_create(struct ev_loop *loop,
				  const bw_attempt_ops_t *ops,
				  uint32_t connections_max,
				  bw_counters_t *counters);

/** Destroys a client; its attempts must have ended. */
void bw_upstream_destroy(bw_upstream_t *u);

/** Starts an attempt; its events are called later, from the loop. */
bw_attempt_t *bw_attempt_start(bw_upstream_t *u,
			       const bw_attempt_request_t *request, void *ctx);

/** Resumes a paused attempt. */
void bw_attempt_resume(bw_attempt_t *a);

/** Ends an attempt without further events and closes its connection. */
void bw_attempt_abort(bw_attempt_t *a);

#endif
