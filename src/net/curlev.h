/**
 * @file
 * Runs libcurl's multi interface on a libev loop.
 */
#ifndef BW_NET_CURLEV_H
#define BW_NET_CURLEV_H

#include <curl/curl.h>

struct ev_loop;

/** Driver of a multi handle and its transfers. */
typedef struct bw_curlev bw_curlev_t;

/**
 * Called at the end of a transfer, after its removal from the multi handle.
 * @param ctx value of CURLOPT_PRIVATE
 */
typedef void (*bw_curlev_done_fn)(void *ctx, CURL *easy, CURLcode result);

/**
 * Called at the end of a transfer, before its removal from the multi handle,
 * while libcurl can still give information on its connection.
 */
typedef void (*bw_curlev_before_done_fn)(void *ctx, CURL *easy,
					 CURLcode result);

/**
 * Creates a driver.
 * @param done called after each transfer
 * @param before_done called before @p done, or NULL
 */
bw_curlev_t *bw_curlev_create(struct ev_loop *loop, bw_curlev_done_fn done,
			      bw_curlev_before_done_fn before_done);

/** Destroys a driver; its transfers must have been removed. */
void bw_curlev_destroy(bw_curlev_t *c);

/** Returns the multi handle, for setting its options. */
CURLM *bw_curlev_multi(bw_curlev_t *c);

/** Starts a transfer; @p easy stays the caller's. */
void bw_curlev_add(bw_curlev_t *c, CURL *easy);

/** Ends a transfer without its callbacks. */
void bw_curlev_remove(bw_curlev_t *c, CURL *easy);

#endif
