/**
 * @file
 * Decides which node owns a pool or another role. All nodes come to the same
 * order from the same registrations; the store settles who was first.
 */
#ifndef BW_FLEET_OWNERSHIP_H
#define BW_FLEET_OWNERSHIP_H

#include <stdint.h>

#include "fleet/capacity.h"

/** A live node that may claim a role. */
typedef struct bw_ownership_candidate {
	const char *name;
	uint32_t owned; /**< Number of roles that it owns. */
	int64_t started_ms; /**< Start of the process, in Unix time. */
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

#endif
