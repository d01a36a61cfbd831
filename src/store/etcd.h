/**
 * @file
 * Store adapter for the etcd v3 JSON gateway over HTTP.
 */
#ifndef BW_STORE_ETCD_H
#define BW_STORE_ETCD_H

#include "base/counters.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_etcd_config {
	const char *const *endpoints; /**< Base URLs; copied. */
	uint32_t endpoint_count;
	int64_t timeout_ms; /**< Of one call, not of a watch. */
} bw_etcd_config_t;

/**
 * Creates an adapter.
 *
 * A call that can't connect moves on to the next endpoint for the calls after
 * it. Calls are not repeated.
 * @param counters receives store_calls and store_errors; must outlive it
 */
bw_store_t bw_etcd_create(struct ev_loop *loop, const bw_etcd_config_t *config,
			  bw_counters_t *counters);

#endif
