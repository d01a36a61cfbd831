/**
 * @file
 * The live nodes and the owners of pools, as the store has them: this node's
 * lease and registration, and claims of pools without an owner.
 */
#ifndef BW_FLEET_MEMBER_H
#define BW_FLEET_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "store/store.h"

struct ev_loop;

typedef struct bw_fleet_member bw_fleet_member_t;

typedef struct bw_fleet_member_config {
	const char *name; /**< Of this node. */
	const char *address; /**< ip:port for other nodes. */
	uint64_t incarnation;
	int64_t lease_ms;
	int64_t started_ms; /**< Unix time. */
	bool first_start; /**< The other nodes start at the same time. */
} bw_fleet_member_config_t;

typedef struct bw_fleet_member_ops {
	/** A node came, changed its address, or (NULL) went. */
	void (*node_changed)(void *ctx, const char *name, const char *address);
	/** This node owns a pool now. */
	void (*gained)(void *ctx, const char *pool, int64_t revision);
	/** This node owns a pool no longer. */
	void (*lost)(void *ctx, const char *pool, const char *reason);
	/** Calls a function for each pool that is to have an owner. */
	void (*foreach_pool)(void *ctx, void (*fn)(void *arg, const char *pool),
			     void *arg);
	/** A call to the store ended so. */
	void (*store_result)(void *ctx, bw_status_t status);
} bw_fleet_member_ops_t;

bw_fleet_member_t *
bw_fleet_member_create(struct ev_loop *loop, const bw_store_t *store,
		       const bw_fleet_member_config_t *config,
		       const bw_fleet_member_ops_t *ops, void *ctx);
void bw_fleet_member_destroy(bw_fleet_member_t *m);

/** Renews the lease and claims pools; to be called often. */
void bw_fleet_member_tick(bw_fleet_member_t *m, int64_t now_ms);

/** Until when the lease holds for sure. */
int64_t bw_fleet_member_lease_end_ms(const bw_fleet_member_t *m);

/** Owner of a pool, or NULL. */
const char *bw_fleet_member_owner(const bw_fleet_member_t *m, const char *pool);

/** What is known of a pool's owner before the present one. */
typedef enum bw_predecessor {
	BW_PREDECESSOR_UNKNOWN, /**< This node has seen none. */
	BW_PREDECESSOR_ENDED, /**< Its process has ended. */
	BW_PREDECESSOR_UNREGISTERED, /**< It is not registered, but may still
					run. */
	BW_PREDECESSOR_ALIVE
} bw_predecessor_t;

/** @param node receives its name, if it is known */
bw_predecessor_t bw_fleet_member_predecessor(const bw_fleet_member_t *m,
					     const char *pool,
					     const char **node);

/** Key of a pool's owner; release with g_free(). */
char *bw_fleet_owner_key(const char *pool);

/** Claims no more. */
void bw_fleet_member_stop_claiming(bw_fleet_member_t *m);

/** Ends the lease, which frees all that this node owns. */
void bw_fleet_member_end_lease(bw_fleet_member_t *m);

/** Another owner was met; the pool is given up. */
void bw_fleet_member_drop_pool(bw_fleet_member_t *m, const char *pool);

/** A live node, as a candidate for a pool. */
typedef struct bw_claim_candidate {
	const char *name;
	uint32_t owned; /**< Pools that it owns. */
	int64_t started_ms; /**< Unix time. */
} bw_claim_candidate_t;

/**
 * Rank of a node for a pool among live nodes: 0 claims first. Nodes with few
 * pools come first; among these the youngest, as those have been through a
 * rolling restart already.
 * @param self index of the node
 * @param roles pools that are shared out
 */
uint32_t bw_fleet_claim_rank(const char *pool,
			     const bw_claim_candidate_t *candidates,
			     uint32_t count, uint32_t self, uint32_t roles);

#endif
