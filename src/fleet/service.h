/**
 * @file
 * Serves callers' requests about jobs. Jobs and cancellations are written to
 * the store; states and counts are queried from the owner of the pool.
 */
#ifndef BW_FLEET_SERVICE_H
#define BW_FLEET_SERVICE_H

#include "fleet/config_sync.h"
#include "fleet/peers.h"
#include "fleet/interfaces.h"
#include "fleet/request.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_service bw_service_t;

/** Callbacks of the service to its node. */
typedef struct bw_service_ops {
	/** Returns the owner of a pool, or NULL if there is none. */
	const char *(*owner)(void *ctx, const char *pool);
	/** Answers a query from this node's own pools. */
	bw_fleet_query_handler_fn query_local;
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
	/** A job, or its cancellation (record is NULL), has been stored. */
	void (*job_stored)(void *ctx, const char *pool, const char *id,
			   const uint8_t *record, size_t bytes);
	/** Returns whether the store has been answering lately. */
	bool (*store_reachable)(void *ctx);
} bw_service_ops_t;

/** @param peers sends queries to other nodes; not owned */
bw_service_t *bw_service_create(struct ev_loop *loop, const char *node,
				const bw_store_t *store,
				bw_fleet_peers_t *peers,
				const bw_service_ops_t *ops, void *ctx);
void bw_service_destroy(bw_service_t *s);

/** Sets what tells whether the configuration is the newest; without it, it
 *  always is. Not owned. */
void bw_service_set_config_sync(bw_service_t *s, const bw_config_sync_t *sync);

/** Sets the configuration; it must stay valid until it is replaced. */
void bw_service_configure(bw_service_t *s, const bw_fleet_config_t *config);

/** Serves one request; see bw_request_handler_t.serve. */
void bw_service_serve(bw_service_t *s, const bw_request_t *request,
		      bw_answer_fn done, void *ctx);

/**
 * Returns the queue of a request: of the queues that match its host, the one
 * with the longest prefix of its path; NULL if none matches.
 */
const bw_queue_t *bw_fleet_find_queue(const bw_fleet_config_t *config,
				      const char *host, const char *path);

#endif
