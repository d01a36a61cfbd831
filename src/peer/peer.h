/**
 * @file
 * Connections to the other entries (peers).
 *
 * Each entry sends on the connection that it opened and receives on the one
 * that the peer opened. A peer is up while both are open and frames arrive from
 * it. When either fails, both are closed, so that the two sides agree that
 * messages were lost.
 */
#ifndef BW_PEER_PEER_H
#define BW_PEER_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "wire/frame.h"

struct ev_loop;

typedef struct bw_peers bw_peers_t;

/** Event callbacks. */
typedef struct bw_peers_ops {
	/** Both connections to a peer are open. */
	void (*up)(void *ctx, uint64_t peer);
	/** A peer that was up is disconnected. */
	void (*lost)(void *ctx, uint64_t peer);
	/** Received a message other than Hello; valid during the call. */
	void (*frame)(void *ctx, uint64_t peer, const Bramley__Frame *frame);
} bw_peers_ops_t;

typedef struct bw_peers_config {
	const char *name; /**< Name of this entry; copied. */
	const char *site; /**< Peers of other sites are refused; copied. */
	const char *listen; /**< ip:port to listen on. */
	uint64_t incarnation;
	/** A peer from which no frame arrives for this time is lost. */
	int64_t silence_timeout_us;
	/** Connections that may be open before they say whose they are; 0 is
	 *  512. */
	uint32_t strangers_max;
} bw_peers_config_t;

/** Starts listening for peers. @param ops must outlive the connections */
bw_status_t bw_peers_create(struct ev_loop *loop,
			    const bw_peers_config_t *config,
			    const bw_peers_ops_t *ops, void *ctx,
			    bw_counters_t *counters, bw_peers_t **out);

/** Closes all connections without calling lost(). */
void bw_peers_destroy(bw_peers_t *p);

/** Adds a peer, or changes its address, which reconnects it. */
void bw_peers_add(bw_peers_t *p, const char *name, const char *address);

/** Removes a peer and closes its connections. */
void bw_peers_remove(bw_peers_t *p, const char *name);

/** Sends a message; it is dropped while the peer is not connected. */
void bw_peers_send(bw_peers_t *p, uint64_t peer, const Bramley__Frame *frame);

/** Returns the number of peers that are up. */
uint32_t bw_peers_up_count(const bw_peers_t *p);

/** Reconnects to peers and disconnects silent ones; called periodically. */
void bw_peers_tick(bw_peers_t *p, int64_t now_us);

/**
 * Calls a function for each peer.
 * @param fn receives the peer's identifier, its name and whether it is up
 */
void bw_peers_foreach(const bw_peers_t *p,
		      void (*fn)(void *ctx, uint64_t peer, const char *name,
				 bool up),
		      void *ctx);

#endif
