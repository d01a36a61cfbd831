/**
 * @file
 * Serves callers' requests about jobs: accepts and cancels by writing to the
 * store, and tells states as the owner of the pool has them.
 */
#ifndef BW_FLEET_SERVICE_H
#define BW_FLEET_SERVICE_H

#include "fleet/peers.h"
#include "fleet/interfaces.h"
#include "fleet/request.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_service bw_service_t;

typedef struct bw_service_ops {
	/** Owner of a pool, or NULL. */
	const char *(*owner)(void *ctx, const char *pool);
	/** Answers from this node's own pools. */
	bw_fleet_query_handler_fn local;
	/** A call to the store ended so. */
	void (*result)(void *ctx, bw_status_t status);
	/** A job, or with record NULL its cancellation, has been stored. */
	void (*stored)(void *ctx, const char *pool, const char *id,
		       const uint8_t *record, size_t bytes);
	/** Whether the store has been answering. */
	bool (*store_good)(void *ctx);
} bw_service_ops_t;

bw_service_t *bw_service_create(struct ev_loop *loop, const char *node,
				const bw_store_t *store,
				bw_fleet_peers_t *inquiry,
				const bw_service_ops_t *ops, void *ctx);
void bw_service_destroy(bw_service_t *s);

/** Sets the configuration in force; it must outlive its use. */
void bw_service_configure(bw_service_t *s, const bw_fleet_config_t *config);

/** Serves one request; see bw_request_handler_t. */
void bw_service_serve(bw_service_t *s, const bw_request_t *request,
		      bw_answer_fn done, void *ctx);

/**
 * Queue of a request: the longest prefix of its path on its host.
 * @return NULL if there is none
 */
const bw_queue_t *bw_fleet_find_queue(const bw_fleet_config_t *config,
				      const char *host, const char *path);

#endif
