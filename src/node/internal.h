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
	bw_store_t store;
	bw_session_t *session;
	bw_simplehttp_t *operators;
	bw_document_t documents[BW_DOC_COUNT];
	bw_table_t *table;
	bw_table_t *next_table; /**< Read, but not yet in force. */
	bw_workers_t *parts[BW_WORKER_PARTS];
	int64_t known_revision; /**< All documents up to it are known. */
	bool dirty; /**< Documents wait to be put in force. */
	ev_timer tick;
	ev_timer heartbeat;
	ev_timer leave;
	uint64_t once_epoch; /**< Last view told active to the record. */
	bool ready;
	bool stopping;
	bool left;
	int64_t stop_us;
};

/** Takes a document of the store or of a peer if it is newer. */
void node_take_document(bw_node_t *n, bw_document_id_t id, int64_t revision,
			const void *data, size_t bytes);

/** Adopts a view document. */
void node_take_view(bw_node_t *n, const void *data, size_t bytes);

/** Sends a heartbeat to every peer. */
void node_send_heartbeats(bw_node_t *n);

/** Effects of the peer connections. */
extern const bw_peers_ops_t node_peers_ops;

/** Effects of the session with the store. */
extern const bw_session_ops_t node_session_ops;

/** Sends a placement message. */
void node_send_place(void *ctx, uint64_t peer, const bw_place_msg_t *msg);

/** Sends a claim message. */
void node_send_once(void *ctx, uint64_t peer, const bw_once_msg_t *msg);

/** Answers operators. */
enum MHD_Result node_operators(void *ctx, bw_simple_request_t *r);

#endif
