/**
 * @file
 * Stand-in for the platform's store: a subset of the etcd v3 JSON gateway,
 * kept in memory, with faults that tests can inject.
 *
 * POST /standin/fault sets faults by its query arguments: down_ms (calls get no
 * answer for this time), slow_ms (delays each answer; 0 ends it) and lose (the
 * next writes, as many as given, take effect but get no answer). GET
 * /standin/stats returns the numbers of calls and the revision.
 */
#ifndef BW_STANDIN_KV_H
#define BW_STANDIN_KV_H

#include "base/status.h"

struct ev_loop;

typedef struct bw_standin_kv bw_standin_kv_t;

/** Starts the stand-in on an ip:port. */
bw_status_t bw_standin_kv_create(struct ev_loop *loop, const char *address,
				 bw_standin_kv_t **out);

/** Stops the stand-in and closes its connections. */
void bw_standin_kv_destroy(bw_standin_kv_t *kv);

#endif
