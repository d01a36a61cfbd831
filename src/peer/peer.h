/**
 * @file
 * Connections to the other entries.
 *
 * Each entry sends on a connection that it made and receives on one that the
 * peer made. A peer is up while both are open and it is heard from; when either
 * fails, both are closed, so that the two sides agree that messages were lost.
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

/** Events; called from the loop. */
typedef struct bw_peers_ops {
	void (*up)(void *ctx, uint64_t peer);
	void (*lost)(void *ctx, uint64_t peer);
	/** A message other than Hello; valid during the call. */
	void (*frame)(void *ctx, uint64_t peer, const Bramley__Frame *frame);
} bw_peers_ops_t;

typedef struct bw_peers_config {
	const char *name; /**< Of this entry; copied. */
	const char *site; /**< Copied. */
	const char *listen; /**< ip:port. */
	uint64_t incarnation;
	int64_t silence_timeout_us; /**< A peer this long silent is lost. */
} bw_peers_config_t;

/** Starts to listen. */
bw_status_t bw_peers_create(struct ev_loop *loop,
			    const bw_peers_config_t *config,
			    const bw_peers_ops_t *ops, void *ctx,
			    bw_counters_t *counters, bw_peers_t **out);

/** Closes all connections. */
void bw_peers_destroy(bw_peers_t *p);

/** Adds a peer or changes its address. */
void bw_peers_add(bw_peers_t *p, const char *name, const char *address);

/** Drops a peer and its connections. */
void bw_peers_remove(bw_peers_t *p, const char *name);

/** Sends a message; it is lost when the peer is not up. */
void bw_peers_send(bw_peers_t *p, uint64_t peer, const Bramley__Frame *frame);

/** Number of peers that are up. */
uint32_t bw_peers_up_count(const bw_peers_t *p);

/** Connects again where needed and finds silent peers. */
void bw_peers_tick(bw_peers_t *p, int64_t now_us);

/**
 * Calls a function for each peer.
 * @param fn gets the peer's identifier, name and whether it is up
 */
void bw_peers_foreach(const bw_peers_t *p,
		      void (*fn)(void *ctx, uint64_t peer, const char *name,
				 bool up),
		      void *ctx);

#endif
