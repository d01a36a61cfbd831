/**
 * @file
 * Membership of the fleet, kept in the store: renews this node's lease and
 * registration, follows the live nodes and the owners of pools, and claims
 * pools that have no owner.
 */
#ifndef BW_FLEET_MEMBER_H
#define BW_FLEET_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/capacity.h"
#include "fleet/ownership.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_fleet_member bw_fleet_member_t;

typedef struct bw_fleet_member_config {
	const char *name; /**< Of this node. */
	const char *address; /**< ip:port for other nodes. */
	uint64_t incarnation;
	int64_t lease_ms;
	/** An owner gives no orders this long after its claim is gone. */
	int64_t outage_ms;
	int64_t started_ms; /**< Start of the process, in Unix time. */
	bool first_start; /**< All nodes of the site start at once. */
	bw_node_capacity_t capacity; /**< Of this node. */
} bw_fleet_member_config_t;

typedef struct bw_fleet_member_ops {
	/** A node was added, changed its address, or (NULL) was removed. */
	void (*node_changed)(void *ctx, const char *name, const char *address);
	/** This node has become the owner of a pool. */
	void (*gained)(void *ctx, const char *pool, int64_t revision);
	/**
	 * This node no longer owns a pool.
	 * @param reason lease-lost, superseded, claim-gone, claimed-away or
	 *     unreadable
	 */
	void (*lost)(void *ctx, const char *pool, const char *reason);
	/** Calls a function for each pool that needs an owner. */
	void (*foreach_pool)(void *ctx, void (*fn)(void *arg, const char *pool),
			     void *arg);
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
} bw_fleet_member_ops_t;

bw_fleet_member_t *
bw_fleet_member_create(struct ev_loop *loop, const bw_store_t *store,
		       const bw_fleet_member_config_t *config,
		       const bw_fleet_member_ops_t *ops, void *ctx);
void bw_fleet_member_destroy(bw_fleet_member_t *m);

/** Renews the lease and claims pools; must be called several times a second. */
void bw_fleet_member_tick(bw_fleet_member_t *m, int64_t now_ms);

/** Returns the revision of the store with this node's registration, and when
 *  that was known. No pool is claimed shortly after. */
bw_store_seen_t bw_fleet_member_registered(const bw_fleet_member_t *m);

/**
 * Returns the earliest time at which this node's lease may expire, as of
 * bw_clock_now_ms().
 */
int64_t bw_fleet_member_lease_end_ms(const bw_fleet_member_t *m);

/** Returns the owner of a pool, or NULL if there is none, or if its claim can't
 * be read. */
const char *bw_fleet_member_owner(const bw_fleet_member_t *m, const char *pool);

/** Returns the revision of a pool's claim as it was read last, or 0 if there is
 *  none. */
int64_t bw_fleet_member_claim(const bw_fleet_member_t *m, const char *pool);

/** Returns whether this node owns a pool and has read all claims of other pools
 *  that are older than its own claim, as far as they matter still. */
bool bw_fleet_member_knows_claims(const bw_fleet_member_t *m, const char *pool);

/** What the owner of a pool has read of the owners before it in its state. */
typedef struct bw_known_owners {
	/** Fencing token of one that knew all runs of those before it, or these
	 *  had stopped, so that they don't matter; 0: there is none. */
	int64_t known_from;
	bool handed_over; /**< That one gave no orders afterwards. */
} bw_known_owners_t;

/** An earlier owner of a pool. */
typedef struct bw_earlier_owner {
	const char *pool;
	const char *node; /**< "": not known, as its claim can't be read. */
	int64_t revision; /**< Of its claim. */
} bw_earlier_owner_t;

/**
 * Returns whether no earlier owner of a pool of this node gives orders any
 * more. One that is cut off from the store may go on, and so may several: the
 * last one tells nothing of those before it.
 * @param ask called for each that may still give orders and can be asked;
 *     bw_fleet_member_owner_stopped() takes the answer
 */
bool bw_fleet_member_earlier_stopped(
	bw_fleet_member_t *m, const char *pool, int64_t now_ms,
	const bw_known_owners_t *known,
	void (*ask)(void *ctx, const bw_earlier_owner_t *owner), void *ctx);

/** Records that an earlier owner gives no orders any more. */
void bw_fleet_member_owner_stopped(bw_fleet_member_t *m,
				   const bw_earlier_owner_t *owner);

/**
 * Returns whether an earlier owner of a pool of this node, of those that it has
 * seen, may still give orders; true until its own claim has been reported.
 */
bool bw_fleet_member_has_predecessor(bw_fleet_member_t *m, const char *pool,
				     int64_t now_ms);

/** Returns the store key of a pool's owner; release with g_free(). */
char *bw_fleet_owner_key(const char *pool);

/** Stops claiming pools; pools already owned are kept. */
void bw_fleet_member_stop_claiming(bw_fleet_member_t *m);

/** Revokes the lease, which ends this node's ownership of pools. */
void bw_fleet_member_end_lease(bw_fleet_member_t *m);

/**
 * Returns whether another node should own a pool of this node, see
 * bw_ownership_find_better().
 * @param out receives the handover; its name is valid until the next tick
 */
bool bw_fleet_member_find_better(bw_fleet_member_t *m, const char *pool,
				 int64_t now_ms, bw_handover_t *out);

/**
 * Deletes this node's claim of a pool so that another node claims it. This node
 * does not claim it again within a lease.
 */
void bw_fleet_member_hand_over(bw_fleet_member_t *m, const char *pool,
			       int64_t now_ms);

/**
 * Gives up a pool that this node can't read, and deletes its claim. This node
 * does not claim it again before all others could.
 */
void bw_fleet_member_give_back(bw_fleet_member_t *m, const char *pool,
			       int64_t now_ms);

/** Returns whether this node owns a pool or is claiming it, so that it may give
 *  orders for it now or soon. */
bool bw_fleet_member_may_own(const bw_fleet_member_t *m, const char *pool);

/** Gives up a pool that turned out to have another owner. */
void bw_fleet_member_drop_pool(bw_fleet_member_t *m, const char *pool);

#endif
