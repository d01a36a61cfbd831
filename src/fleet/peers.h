/**
 * @file
 * Questions to the owners of pools, which may be other nodes.
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

/** What an owner says. */
typedef struct bw_fleet_query_answer {
	bool holds; /**< The node may still give orders for the pool. */
	bool owner; /**< The node owns the pool; the rest is valid. */
	bw_job_state_t state;
	uint32_t waiting; /**< Jobs of the queue that have not begun. */
} bw_fleet_query_answer_t;

/** @param answer NULL when none came in time */
typedef void (*bw_fleet_query_done_fn)(void *ctx,
				       const bw_fleet_query_answer_t *answer);

/** Takes another message of a node; valid during the call. */
typedef void (*bw_fleet_peers_frame_fn)(void *ctx, const Bramley__Frame *frame);

/** Answers a question of another node. */
typedef void (*bw_fleet_query_handler_fn)(void *ctx, const char *pool,
					  const char *job, const char *queue,
					  bw_fleet_query_answer_t *out);

/** Listens for other nodes. */
bw_status_t bw_fleet_peers_create(struct ev_loop *loop, const char *name,
				  const char *listen, uint64_t incarnation,
				  bw_fleet_query_handler_fn local,
				  bw_fleet_peers_frame_fn other, void *ctx,
				  bw_counters_t *counters,
				  bw_fleet_peers_t **out);
void bw_fleet_peers_destroy(bw_fleet_peers_t *q);

/** Adds a node, or removes it when @p address is NULL. */
void bw_fleet_peers_set_node(bw_fleet_peers_t *q, const char *name,
			     const char *address);

/**
 * Asks a node.
 * @param job NULL: only about the queue
 * @param queue NULL: only about the job
 */
void bw_fleet_peers_query(bw_fleet_peers_t *q, const char *node,
			  const char *pool, const char *job, const char *queue,
			  bw_fleet_query_done_fn done, void *ctx);

/** Sends a message to a node; it is lost if the node is not connected. */
void bw_fleet_peers_send(bw_fleet_peers_t *q, const char *node,
			 const Bramley__Frame *frame);

/** Sets what heartbeats tell of the store. */
void bw_fleet_peers_set_store_reachable(bw_fleet_peers_t *q, bool good);

/**
 * Whether the store is down for all: half of the known nodes, with this one,
 * have said so lately, and none has said otherwise.
 */
bool bw_fleet_peers_store_outage(const bw_fleet_peers_t *q, int64_t now_ms);

/** Sends heartbeats and ends questions without an answer. */
void bw_fleet_peers_tick(bw_fleet_peers_t *q, int64_t now_ms);

#endif
