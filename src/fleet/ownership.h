/**
 * @file
 * Decides which node owns a pool or another role. All nodes come to the same
 * order from the same registrations; the store settles who was first.
 */
#ifndef BW_FLEET_OWNERSHIP_H
#define BW_FLEET_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/capacity.h"

/** A live node that may claim a role. */
typedef struct bw_ownership_candidate {
	const char *name;
	uint32_t owned; /**< Number of roles that it owns. */
	int64_t started_ms; /**< Start of the process, in Unix time. */
	int64_t seen_ms; /**< When this node learned of it, steady clock. */
	bw_node_capacity_t capacity;
} bw_ownership_candidate_t;

/**
 * Returns a node's rank for claiming a role; rank 0 claims first. A node's load
 * with one more role is (owned + 1) / share, where share is the least part that
 * it has of the largest amount of any resource among the candidates; amounts
 * that are not known are left out. Nodes whose loads have the same power of two
 * are ordered by their number of roles, then by their start, the last first,
 * since in a rolling restart that one will not be restarted again; those that
 * started together by rendezvous hashing.
 * @param self index of the node
 */
uint32_t bw_ownership_rank(const char *role,
			   const bw_ownership_candidate_t *candidates,
			   uint32_t count, uint32_t self);

/**
 * Returns how long a node waits before it claims a role without an owner. The
 * nodes before it in the order claim in this time, or, if they have died, their
 * registrations end with their leases; so nobody waits longer than a lease.
 */
int64_t bw_ownership_claim_delay_ms(uint32_t rank, int64_t lease_ms);

/** A planned handover of a pool to another node. */
typedef struct bw_handover {
	const char *to; /**< Node that will claim the pool first. */
	double load; /**< Of the owner, with the pool. */
	double to_load; /**< Of the other node, with the pool. */
} bw_handover_t;

/**
 * Returns whether a pool's owner should hand it over: the node that ranks first
 * has been registered for some seconds, and with the pool its load would be at
 * most a quarter of the owner's. That node can't hand it back, as its load
 * would have to be four times what the owner's was; and equal nodes of a fleet
 * that is restarted in turn don't differ that much.
 * @param self index of the owner
 * @param out receives the handover
 */
bool bw_ownership_find_better(const char *pool,
			      const bw_ownership_candidate_t *candidates,
			      uint32_t count, uint32_t self, int64_t now_ms,
			      bw_handover_t *out);

/** What an owner knows about itself before it hands over a pool. */
typedef struct bw_handover_state {
	bool leaving;
	bool in_progress; /**< It is handing over another pool. */
	bool store_reachable;
	bool jobs_loaded; /**< The pool's, see bw_pool_jobs_loaded(). */
	bool recovered; /**< The pool's, see bw_sched_recovered(). */
	int64_t lease_end_ms;
	int64_t owned_since_ms; /**< Of the pool. */
	int64_t last_handover_ms; /**< Of any pool by this node; 0 if none. */
} bw_handover_state_t;

/**
 * Returns whether an owner is steady enough to hand over a pool now. A pool
 * whose jobs can't be read is handed over too, as nothing can be lost: this
 * owner has started nothing.
 */
bool bw_ownership_may_hand_over(const bw_handover_state_t *state,
				int64_t now_ms);

/** What an owner knows of a pool that it can't read. */
typedef struct bw_unreadable_state {
	bool store_reachable;
	bool predecessor_stopped; /**< The earlier owner sends no orders. */
	int64_t owned_since_ms; /**< Of the pool. */
} bw_unreadable_state_t;

/**
 * Returns whether an owner that can't read its pool gives the claim back now.
 * The next owner asks only this one whether it has stopped, so this one waits
 * until the owner before it sends no more orders.
 */
bool bw_ownership_may_give_back(const bw_unreadable_state_t *state,
				int64_t now_ms);

#endif
