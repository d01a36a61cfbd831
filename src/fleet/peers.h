/**
 * @file
 * Communication with the other nodes of the fleet: queries to the owners of
 * pools, messages, and heartbeats that report whether the store is reachable.
 */
#ifndef BW_FLEET_PEERS_H
#define BW_FLEET_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "job/job.h"
#include "wire/bramley.pb-c.h"

struct ev_loop;

typedef struct bw_fleet_peers bw_fleet_peers_t;

/** Answer to a query. */
typedef struct bw_fleet_query_answer {
	bool may_order; /**< The node may still send orders for the pool. */
	bool owner; /**< The node owns the pool; the rest is valid. */
	bw_job_state_t state;
	uint32_t waiting; /**< Jobs of the queue that have not started. */
} bw_fleet_query_answer_t;

/**
 * Ends a query.
 * @param answer NULL if none came in time; valid during the call
 */
typedef void (*bw_fleet_query_done_fn)(void *ctx,
				       const bw_fleet_query_answer_t *answer);

/** Handles any other message of a node; @p frame is valid during the call. */
typedef void (*bw_fleet_peers_frame_fn)(void *ctx, const Bramley__Frame *frame);

/**
 * Answers a query of another node.
 * @param job NULL: only about the queue
 * @param queue NULL: only about the job
 */
typedef void (*bw_fleet_query_handler_fn)(void *ctx, const char *pool,
					  const char *job, const char *queue,
					  bw_fleet_query_answer_t *out);

/**
 * Starts to listen for other nodes.
 * @param listen ip:port
 * @param strangers_max see bw_peers_config_t
 * @param local answers queries of other nodes
 * @param other handles messages that are neither queries nor heartbeats
 */
bw_status_t bw_fleet_peers_create(struct ev_loop *loop, const char *name,
				  const char *listen, uint32_t strangers_max,
				  uint64_t incarnation,
				  bw_fleet_query_handler_fn local,
				  bw_fleet_peers_frame_fn other, void *ctx,
				  bw_counters_t *counters,
				  bw_fleet_peers_t **out);
void bw_fleet_peers_destroy(bw_fleet_peers_t *p);

/** Adds a node or changes its address; NULL removes the node. */
void bw_fleet_peers_set_node(bw_fleet_peers_t *p, const char *name,
			     const char *address);

/**
 * Queries a node. Calls @p done once, possibly before it returns.
 * @param job NULL: only about the queue
 * @param queue NULL: only about the job
 */
void bw_fleet_peers_query(bw_fleet_peers_t *p, const char *node,
			  const char *pool, const char *job, const char *queue,
			  bw_fleet_query_done_fn done, void *ctx);

/** Sends a message to a node; it is lost if the node is not connected. */
void bw_fleet_peers_send(bw_fleet_peers_t *p, const char *node,
			 const Bramley__Frame *frame);

/**
 * Sets what heartbeats report on the store.
 * @param answered_ms when it last answered this node
 */
void bw_fleet_peers_set_store(bw_fleet_peers_t *p, bool reachable,
			      int64_t answered_ms);

/**
 * Returns whether this node may give orders for its pools, see
 * bw_outage_may_order().
 * @param lease_end_ms its lease may end from then on
 */
bool bw_fleet_peers_may_order(bw_fleet_peers_t *p, int64_t now_ms,
			      int64_t lease_end_ms);

/** Sends heartbeats and ends queries that timed out. */
void bw_fleet_peers_tick(bw_fleet_peers_t *p, int64_t now_ms);

#endif
