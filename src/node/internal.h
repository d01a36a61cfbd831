/**
 * @file
 * State shared by the files of the node package.
 */
#ifndef BW_NODE_INTERNAL_H
#define BW_NODE_INTERNAL_H

#include <ev.h>

#include "base/counters.h"
#include "member/view.h"
#include "net/simplehttp.h"
#include "node/document.h"
#include "node/node.h"
#include "node/session.h"
#include "peer/peer.h"
#include "relay/relay.h"
#include "store/store.h"

struct bw_node {
	struct ev_loop *loop;
	const bw_settings_t *settings;
	uint64_t id;
	bw_counters_t counters;
	bw_place_t *place;
	bw_once_t *once;
	bw_relay_t *relay;
	bw_upstream_t *upstream;
	bw_front_t *front;
	bw_peers_t *peers;
	bw_view_t *view;
	bool view_unreadable; /**< This version can't read the stored one. */
	bw_store_t store;
	bw_session_t *session;
	bw_simplehttp_t *operators;
	bw_document_t documents[BW_DOC_COUNT];
	bw_table_t *table;
	bw_table_t *next_table; /**< Parsed, but not yet applied. */
	bw_workers_t *worker_parts[BW_WORKER_PARTS];
	int64_t latest_revision; /**< All documents up to it arrived. */
	bool dirty; /**< Documents were parsed, but not yet applied. */
	ev_timer tick;
	ev_timer heartbeat;
	ev_timer leave;
	uint64_t once_epoch; /**< Of the last view activated in @p once. */
	bool ready;
	bool stopping;
	bool leaving; /**< The lease is being revoked. */
	int64_t stop_us; /**< When the stop began. */
};

/** Handles a document from the store or a peer; older ones are ignored. */
void node_handle_document(bw_node_t *n, bw_document_id_t id, int64_t revision,
			  const void *data, size_t bytes);

/** Parses a view document and adopts it if its epoch is newer. */
void node_apply_view(bw_node_t *n, const void *data, size_t bytes);

/** Sends a heartbeat to every connected peer. */
void node_send_heartbeats(bw_node_t *n);

/** Callbacks of the peer connections. */
extern const bw_peers_ops_t node_peers_ops;

/** Callbacks of the store session. */
extern const bw_session_ops_t node_session_ops;

/** Sends a placement message to a peer. */
void node_send_place(void *ctx, uint64_t peer, const bw_place_msg_t *msg);

/** Sends a claim, verdict or result message to a peer. */
void node_send_once(void *ctx, uint64_t peer, const bw_once_msg_t *msg);

/** Handles a request to the operators' HTTP interface. */
enum MHD_Result node_handle_operator_request(void *ctx, bw_simple_request_t *r);

#endif
