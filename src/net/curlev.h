/**
 * @file
 * Runs libcurl's multi interface on a libev loop, and knows how often each
 * request was sent.
 */
#ifndef BW_NET_CURLEV_H
#define BW_NET_CURLEV_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "base/cause.h"
#include "base/counters.h"

struct ev_loop;

/** Driver of a multi handle and its transfers. */
typedef struct bw_curlev bw_curlev_t;

/** A transfer, part of its caller's context. */
typedef struct bw_transfer {
	CURL *easy; /**< The caller's, with its options but those of the driver.
		     */
	void *ctx; /**< For the driver's callback. */
	/** The request is sent once at most. Else libcurl sends it again when a
	 *  kept connection turns out to be closed. */
	bool once;
	int64_t timeout_ms; /**< Of all its tries together; 0: none. */
	/* Set by the driver. */
	uint32_t copies; /**< Times that it was sent, or begun to be sent. */
	bool kept_connection; /**< The last copy's had taken a request before.
			       */
	bool unusable_connection;
	int64_t deadline_ms;
	int64_t added_ms; /**< When it was started. */
	int64_t begun_ms; /**< When a connection was opened for it, or a kept
			       one taken; 0: it waits for one. */
	curl_socket_t opened; /**< The last socket that was opened for it. */
	bw_curlev_t *driver;
} bw_transfer_t;

/** Called at the end of a transfer, after its removal from the multi handle. */
typedef void (*bw_curlev_done_fn)(void *ctx, bw_transfer_t *transfer,
				  CURLcode result);

/**
 * Creates a driver.
 * @param done called after each transfer
 * @param counters counts kept connections with unexpected bytes, or NULL
 */
bw_curlev_t *bw_curlev_create(struct ev_loop *loop, bw_curlev_done_fn done,
			      bw_counters_t *counters);

/** Destroys a driver; its transfers must have been removed. */
void bw_curlev_destroy(bw_curlev_t *c);

/** Returns the multi handle, for setting its options. */
CURLM *bw_curlev_multi(bw_curlev_t *c);

/** Starts a transfer, which must stay until its end. */
void bw_curlev_add(bw_curlev_t *c, bw_transfer_t *transfer);

/** Ends a transfer without its callback. */
void bw_curlev_remove(bw_curlev_t *c, bw_transfer_t *transfer);

/** Returns how long a transfer waited, or has waited, for its turn. */
int64_t bw_transfer_queued_ms(const bw_transfer_t *transfer, int64_t now_ms);

/** Returns why a transfer with a result of libcurl failed. */
bw_cause_t bw_transfer_cause(const bw_transfer_t *transfer, CURLcode result);

#endif
