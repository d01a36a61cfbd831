/**
 * @file
 * State of a node's membership, shared by its files.
 */
#ifndef BW_FLEET_MEMBER_INTERNAL_H
#define BW_FLEET_MEMBER_INTERNAL_H

#include <glib.h>

#include "fleet/claim_history.h"
#include "fleet/member.h"
#include "fleet/watch_cache.h"

#define OWNER_PREFIX "bw/m/own/"
/** Node of a claim that can't be read; no node has this name. */
#define NODE_UNKNOWN ""

typedef enum phase {
	PHASE_NO_LEASE,
	PHASE_LEASE_REQUESTED,
	PHASE_REGISTERING,
	PHASE_REGISTERED
} phase_t;

/** A live node. */
typedef struct node {
	bw_node_capacity_t capacity;
	int64_t started_ms;
	int64_t seen_ms; /**< When its registration was first read. */
	uint64_t incarnation;
} node_t;

/** A pool's owner, as recorded in the store. */
typedef struct owner {
	char *node;
	uint64_t incarnation;
	uint64_t nonce;
	int64_t revision;
} owner_t;

/** A pool that this node hands over; its claim may still be in the store. */
typedef struct handed_over {
	int64_t revision; /**< Of the claim. */
	int64_t since_ms;
	int64_t pause_ms; /**< Not claimed again for this long. */
	int64_t next_call_ms; /**< When its deletion is repeated. */
} handed_over_t;

struct bw_fleet_member {
	bw_store_t store;
	char *name;
	char *address;
	uint64_t incarnation;
	int64_t lease_ms;
	int64_t outage_ms;
	bw_node_capacity_t capacity;
	bw_fleet_member_ops_t ops;
	void *ctx;
	bw_watch_cache_t *cache;
	GHashTable *nodes; /**< Name to node_t. */
	GHashTable *owners; /**< Pool to owner_t. */
	GHashTable *histories; /**< Pool to its bw_claim_history_t. */
	GHashTable *owned; /**< Pools of this node, to claim revision. */
	GHashTable *claiming; /**< Pools that are being claimed, to the claim.
			       */
	GHashTable *handed_over; /**< Pool to handed_over_t. */
	GHashTable *ownerless; /**< Pool to when it was found ownerless. */
	phase_t phase;
	int64_t lease_id;
	int64_t sent_ms; /**< When the last call about the lease was sent. */
	int64_t renewed_ms; /**< Sending time of the last good renewal. */
	int64_t next_call_ms;
	int64_t registered_ms; /**< When the registration was answered. */
	int64_t registered_revision; /**< Of the store with it. */
	int64_t started_ms;
	int64_t started_wall_ms;
	bool call_pending;
	bool synced;
	bool first_start;
	bool leaving;
	bool ended;
};

/** Claims a pool if it has no owner and this node is the one to own it.
 * @param arg the membership */
void member_try_claim(void *arg, const char *pool);

/** Sends the claims again that got no answer. */
void member_repeat_claims(bw_fleet_member_t *m, int64_t now_ms);

/** Releases the claims that got no answer and are not under way. */
void member_end_claims(bw_fleet_member_t *m);

/** Deletes a claim of this process that the store has and nobody uses, so that
 * any node can claim the pool. */
void member_delete_abandoned(bw_fleet_member_t *m, const char *pool);

/* member_earlier.c */
/** Notes a claim that was read, for those that own the pool later. */
void member_note_claim(bw_fleet_member_t *m, const char *pool,
		       const owner_t *owner, int64_t now_ms);
/** Notes that a pool has no claim. */
void member_note_claim_gone(bw_fleet_member_t *m, const char *pool,
			    int64_t now_ms);

/** Whether a claim of a pool is known to be gone. */
bool member_claim_gone(bw_fleet_member_t *m, const char *pool,
		       int64_t revision);

/** Ends this node's ownership of a pool, which it does not own if not known.
 */
void member_drop_pool(bw_fleet_member_t *m, const char *pool,
		      const char *reason);
/** Repeats deletions of claims that failed, and forgets those that were seen.
 */
void member_follow_handed_over(bw_fleet_member_t *m, int64_t now_ms);

#endif
