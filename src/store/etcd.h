/**
 * @file
 * Store adapter for the etcd v3 JSON gateway over HTTP.
 */
#ifndef BW_STORE_ETCD_H
#define BW_STORE_ETCD_H

#include "base/counters.h"
#include "store/store.h"

struct ev_loop;

/** Settings of the adapter. */
typedef struct bw_etcd_config {
	const char *const *endpoints; /**< Base URLs; copied. */
	uint32_t endpoint_count;
	int64_t timeout_ms; /**< Of a call, or of the connect of a watch. */
} bw_etcd_config_t;

/**
 * Creates an adapter.
 *
 * Calls are not repeated. After a call without a complete answer, the calls
 * that follow go to the next endpoint.
 * @param counters receives store_calls and store_errors; must outlive it
 */
bw_store_t bw_etcd_create(struct ev_loop *loop, const bw_etcd_config_t *config,
			  bw_counters_t *counters);

#endif
