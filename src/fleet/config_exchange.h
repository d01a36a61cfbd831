/**
 * @file
 * Exchange of the operators' configuration between the nodes: each tells the
 * others which version it has, and gets a newer one from them that the store
 * does not send. Nothing is told before a version with tenants has come.
 */
#ifndef BW_FLEET_CONFIG_EXCHANGE_H
#define BW_FLEET_CONFIG_EXCHANGE_H

#include <stddef.h>

#include "fleet/peers.h"

typedef struct bw_config_exchange bw_config_exchange_t;

/** Applies a version that another node has sent; it may be an old one. */
typedef void (*bw_config_received_fn)(void *ctx, int64_t revision,
				      const char *value, size_t bytes);

/** @param peers carries the messages; not owned, must live as long */
bw_config_exchange_t *
bw_config_exchange_create(const char *node, const bw_config_bounds_t *bounds,
			  bw_fleet_peers_t *peers,
			  bw_config_received_fn received, void *ctx);
void bw_config_exchange_destroy(bw_config_exchange_t *x);

/**
 * Takes a version as stored, also one that can't be read.
 * @return false if this node has it, or a newer one
 */
bool bw_config_exchange_take(bw_config_exchange_t *x, int64_t revision,
			     const char *value, size_t bytes);

/** Returns whether a version is newer than all that this node has taken or
 *  refused. */
bool bw_config_exchange_is_new(const bw_config_exchange_t *x, int64_t revision);

/** Refuses a version that can't be used here; the one before stays. */
void bw_config_exchange_refuse(bw_config_exchange_t *x, int64_t revision);

/** Tells the other nodes which version this node has, from now on. */
void bw_config_exchange_share(bw_config_exchange_t *x);

/**
 * Asks another node for a newer version if one is due.
 * @param confirmed_ms when the store last showed this node that it has the
 *        newest version; 0: never
 */
void bw_config_exchange_tick(bw_config_exchange_t *x, int64_t now_ms,
			     int64_t confirmed_ms);

/** Returns what is known of the versions; valid as long as the exchange. */
const bw_config_sync_t *bw_config_exchange_sync(const bw_config_exchange_t *x);

#endif
