/**
 * @file
 * Runs libcurl's multi interface on a libev loop.
 */
#ifndef BW_NET_CURLEV_H
#define BW_NET_CURLEV_H

#include <curl/curl.h>

struct ev_loop;

typedef struct bw_curlev bw_curlev_t;

/**
 * Tells the end of a transfer, which is no longer in the multi handle.
 * @param ctx value of CURLOPT_PRIVATE
 */
typedef void (*bw_curlev_done_fn)(void *ctx, CURL *easy, CURLcode result);

/** Tells the end of a transfer while its connection is still known to it. */
typedef void (*bw_curlev_ending_fn)(void *ctx, CURL *easy, CURLcode result);

/**
 * Creates a driver.
 * @param done called at the end of each transfer
 * @param ending called just before, or NULL
 */
bw_curlev_t *bw_curlev_create(struct ev_loop *loop, bw_curlev_done_fn done,
			      bw_curlev_ending_fn ending);

/** Destroys a driver; its transfers must have been removed. */
void bw_curlev_destroy(bw_curlev_t *c);

/** The multi handle, for its options. */
CURLM *bw_curlev_multi(bw_curlev_t *c);

/** Starts a transfer. */
void bw_curlev_add(bw_curlev_t *c, CURL *easy);

/** Ends a transfer without calling the done function. */
void bw_curlev_remove(bw_curlev_t *c, CURL *easy);

#endif
