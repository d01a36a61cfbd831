/**
 * @file
 * Whether this node has the newest version of the operators' configuration, and
 * which other node to ask for it. Pure; fed with the store's confirmations and
 * other nodes' heartbeats.
 *
 * A version is known by its revision in the store, which only ever grows. A
 * node that the store turns away learns of a newer version from the heartbeats
 * of the others, and asks one of them for it. Once neither the store nor a node
 * that hears it has confirmed for some time that there is no newer version, the
 * version that the node has is in doubt.
 */
#ifndef BW_FLEET_CONFIG_SYNC_H
#define BW_FLEET_CONFIG_SYNC_H

#include <stdbool.h>
#include <stdint.h>

typedef struct bw_config_sync bw_config_sync_t;

/** What a version of the configuration is worth, at a time. */
typedef enum bw_config_trust {
	BW_CONFIG_NEWEST, /**< No newer version is known of. */
	/** There is a newer one, or may be; this one may still hold. */
	BW_CONFIG_BEHIND,
	BW_CONFIG_DOUBTED /**< It must not be relied on any more. */
} bw_config_trust_t;

/** A heartbeat of another node. */
typedef struct bw_config_report {
	uint64_t peer;
	int64_t revision; /**< Of the version that it has; 0: not told. */
	/** Since the store confirmed to it that this is the newest; 0: not
	 *  known. */
	int64_t age_ms;
} bw_config_report_t;

/** How soon a version must be in force; see bw_fleet_settings_t. */
typedef struct bw_config_bounds {
	int64_t apply_ms; /**< At each node; 0: no bound. */
	int64_t outage_ms; /**< Longer at nodes that the store turns away. */
} bw_config_bounds_t;

/** @param salt spreads the nodes that are asked; differs by node */
bw_config_sync_t *bw_config_sync_create(const bw_config_bounds_t *bounds,
					uint64_t salt);
void bw_config_sync_destroy(bw_config_sync_t *c);

/** Records that the store showed at @p at_ms that there is no newer version
 *  than the one this node has. */
void bw_config_sync_confirm(bw_config_sync_t *c, int64_t at_ms);

/** Records a heartbeat. */
void bw_config_sync_report(bw_config_sync_t *c, int64_t now_ms,
			   const bw_config_report_t *report);

/** Records that a node is not connected any more. */
void bw_config_sync_lost(bw_config_sync_t *c, uint64_t peer);

/**
 * Takes a version, from the store or another node.
 * @return false if this node has it, or a newer one
 */
bool bw_config_sync_take(bw_config_sync_t *c, int64_t revision);

/** Returns whether a version is newer than all that were taken or refused. */
bool bw_config_sync_is_new(const bw_config_sync_t *c, int64_t revision);

/** Records a version that can't be used here: this node stays behind. */
void bw_config_sync_refuse(bw_config_sync_t *c, int64_t revision);

/** Returns the revision of the version that this node has; 0: none. */
int64_t bw_config_sync_revision(const bw_config_sync_t *c);

/** Returns the newest revision that is known of. */
int64_t bw_config_sync_newest(const bw_config_sync_t *c);

/** Returns for how long the store has not confirmed the version, to this node
 *  or to one that has told it; INT64_MAX: it never has. */
int64_t bw_config_sync_silent_ms(const bw_config_sync_t *c, int64_t now_ms);

/** Returns what the version is worth. */
bw_config_trust_t bw_config_sync_trust(const bw_config_sync_t *c,
				       int64_t now_ms);

/**
 * Returns the node to ask for a newer version now, or 0. The store usually
 * sends it first; one that does not answer in time is followed by another.
 */
uint64_t bw_config_sync_ask(bw_config_sync_t *c, int64_t now_ms);

#endif
