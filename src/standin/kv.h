/**
 * @file
 * Stand-in for the platform's store: a subset of the etcd v3 JSON gateway,
 * kept in memory, with faults that a test can switch on.
 *
 * Faults are set by POST /standin/fault with the query arguments down_ms (no
 * call is answered), slow_ms (each answer is delayed; 0 ends it) and lose (so
 * many writes take effect but lose their answers). GET /standin/stats tells
 * the number of calls.
 */
#ifndef BW_STANDIN_KV_H
#define BW_STANDIN_KV_H

#include "base/status.h"

struct ev_loop;

typedef struct bw_standin_kv bw_standin_kv_t;

/** Starts the stand-in on an ip:port. */
bw_status_t bw_standin_kv_create(struct ev_loop *loop, const char *address,
				 bw_standin_kv_t **out);

/** Stops it, closing its connections. */
void bw_standin_kv_destroy(bw_standin_kv_t *kv);

#endif
