#include "fleet/ownership.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/** Each further rank waits this much longer before it claims: several times
 * what the store's watch needs to report the claim of an earlier rank. */
#define RANK_STEP_MS 250
/** Nodes that started within this time of each other count as started
 * together. */
#define SAME_START_MS 700
/** A pool is handed over only to a node that has been registered this long: it
 * has renewed a lease of 2 s many times. */
#define STEADY_MS 5000
/** Time between two handovers by a node, and between a claim and a handover, so
 * that the other nodes' views and the pool's workers settle in between. */
#define PAUSE_MS 3000
/** An owner that has not read the jobs of its pool after this time gives it up:
 * longer than an earlier owner that was cut off may act. */
#define UNREAD_MS 6000
/** A handover needs two writes to the store, which may each be repeated. */
#define LEASE_LEFT_MIN_MS 1000
/** Ratio of loads from which a handover is worth its pause in starting tasks;
 * equal nodes that are restarted in turn reach a ratio of three. */
#define HANDOVER_FACTOR 4.0

/* Returns the largest known amount of each resource. */
static bw_node_capacity_t
find_largest(const bw_ownership_candidate_t *candidates, uint32_t count)
{
	bw_node_capacity_t largest = { { 0 } };
	uint32_t i;
	int r;

	for (i = 0; i < count; i++)
		for (r = 0; r < BW_NODE_RESOURCE_COUNT; r++)
			largest.amounts[r] =
				MAX(largest.amounts[r],
				    candidates[i].capacity.amounts[r]);
	return largest;
}

static double share_of(const bw_node_capacity_t *capacity,
		       const bw_node_capacity_t *largest)
{
	double share = 1.0;
	int r;

	for (r = 0; r < BW_NODE_RESOURCE_COUNT; r++) {
		if (capacity->amounts[r] <= 0)
			continue;
		share = MIN(share, (double)capacity->amounts[r] /
					   (double)largest->amounts[r]);
	}
	return share;
}

static double load_of(const bw_ownership_candidate_t *c, uint32_t roles,
		      const bw_node_capacity_t *largest)
{
	return (double)roles / share_of(&c->capacity, largest);
}

/* Returns the power of two of a node's load with one more role. */
static int load_tier(const bw_ownership_candidate_t *c,
		     const bw_node_capacity_t *largest)
{
	return ilogb(load_of(c, c->owned + 1, largest));
}

/* Weight of a node for a role in rendezvous hashing. */
static uint64_t claim_weight(const char *role, const char *name)
{
	g_assert(name != NULL);
	return XXH64(name, strlen(name), XXH64(role, strlen(role), 0));
}

/* Returns whether candidate a ranks before b. */
static bool ranks_before(const char *role, const bw_ownership_candidate_t *a,
			 const bw_ownership_candidate_t *b,
			 const bw_node_capacity_t *largest)
{
	int a_tier = load_tier(a, largest);
	int b_tier = load_tier(b, largest);
	int64_t start_diff_ms = a->started_ms - b->started_ms;

	if (a_tier != b_tier)
		return a_tier < b_tier;
	if (a->owned != b->owned)
		return a->owned < b->owned;
	if (start_diff_ms > SAME_START_MS || start_diff_ms < -SAME_START_MS)
		return start_diff_ms > 0;
	return claim_weight(role, a->name) > claim_weight(role, b->name);
}

uint32_t bw_ownership_rank(const char *role,
			   const bw_ownership_candidate_t *candidates,
			   uint32_t count, uint32_t self)
{
	bw_node_capacity_t largest = find_largest(candidates, count);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (i != self && ranks_before(role, &candidates[i],
					      &candidates[self], &largest))
			rank++;
	return rank;
}

int64_t bw_ownership_claim_delay_ms(uint32_t rank, int64_t lease_ms)
{
	return MIN((int64_t)rank * RANK_STEP_MS, lease_ms);
}

bool bw_ownership_find_better(const char *pool,
			      const bw_ownership_candidate_t *candidates,
			      uint32_t count, uint32_t self, int64_t now_ms,
			      bw_handover_t *out)
{
	bw_node_capacity_t largest = find_largest(candidates, count);
	const bw_ownership_candidate_t *owner = &candidates[self];
	const bw_ownership_candidate_t *best = owner;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (ranks_before(pool, &candidates[i], best, &largest))
			best = &candidates[i];
	if (best == owner || now_ms - best->seen_ms < STEADY_MS)
		return false;
	out->to = best->name;
	out->load = load_of(owner, owner->owned, &largest);
	out->to_load = load_of(best, best->owned + 1, &largest);
	return out->load >= HANDOVER_FACTOR * out->to_load;
}

bool bw_ownership_may_hand_over(const bw_handover_state_t *state,
				int64_t now_ms)
{
	int64_t owned_min_ms = state->jobs_loaded ? PAUSE_MS : UNREAD_MS;

	if (state->leaving || state->in_progress || !state->store_reachable)
		return false;
	if (state->jobs_loaded && !state->recovered)
		return false;
	if (now_ms - state->owned_since_ms < owned_min_ms)
		return false;
	if (state->last_handover_ms != 0 &&
	    now_ms - state->last_handover_ms < PAUSE_MS)
		return false;
	return state->lease_end_ms - now_ms >= LEASE_LEFT_MIN_MS;
}

bool bw_ownership_may_give_back(const bw_unreadable_state_t *state,
				int64_t now_ms)
{
	if (!state->store_reachable)
		return false;
	return state->predecessor_stopped ||
	       now_ms - state->owned_since_ms >= UNREAD_MS;
}
