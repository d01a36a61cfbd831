/**
 * @file
 * Communication with the other nodes of the fleet: queries to the owners of
 * pools, messages, and heartbeats that report whether the store is reachable.
 */
#ifndef BW_FLEET_PEERS_H
#define BW_FLEET_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/counters.h"
#include "base/status.h"
#include "fleet/config_sync.h"
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
	/** Whose the job is, or NULL; valid like the answer itself. */
	const char *tenant;
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

/** Sharing of the configuration among the nodes. */
typedef struct bw_fleet_config_ops {
	void (*reported)(void *ctx, const bw_config_report_t *report);
	void (*lost)(void *ctx, uint64_t peer);
	/** A node asks for a newer version than it has. */
	void (*asked)(void *ctx, uint64_t peer, int64_t revision);
	/** A version came from a node that was asked. */
	void (*received)(void *ctx, int64_t revision, const char *value,
			 size_t bytes);
} bw_fleet_config_ops_t;

/** Sets who handles what nodes tell about the configuration. */
void bw_fleet_peers_set_config_ops(bw_fleet_peers_t *p,
				   const bw_fleet_config_ops_t *ops, void *ctx);

/**
 * Sets what heartbeats report on the configuration. A change of the revision is
 * sent with the next tick.
 * @param revision 0: they report nothing
 * @param confirmed_ms when the store confirmed last that it is the newest; 0:
 *        not known
 */
void bw_fleet_peers_set_config(bw_fleet_peers_t *p, int64_t revision,
			       int64_t confirmed_ms);

/** Returns the name of a node that was added; "-" if there is none. */
const char *bw_fleet_peers_name(const bw_fleet_peers_t *p, uint64_t peer);

/** Asks a node for a newer version than the one with this revision. */
void bw_fleet_peers_ask_config(bw_fleet_peers_t *p, uint64_t peer,
			       int64_t revision);

/** Sends a version to a node. */
void bw_fleet_peers_send_config(bw_fleet_peers_t *p, uint64_t peer,
				int64_t revision, GBytes *value);

/**
 * Adds a node or changes its address; NULL: it is not registered any more. A
 * node that the store turns away loses its registration too: while the
 * configuration is shared, it stays connected for some time, to get versions.
 */
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

/** Sends a message to all nodes that are connected. */
void bw_fleet_peers_broadcast(bw_fleet_peers_t *p, const Bramley__Frame *frame);

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
