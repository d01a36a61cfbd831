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

/* Returns the power of two of a node's load with one more role. */
static int load_tier(const bw_ownership_candidate_t *c,
		     const bw_node_capacity_t *largest)
{
	return ilogb(((double)c->owned + 1.0) /
		     share_of(&c->capacity, largest));
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
	(void)pool;
	(void)candidates;
	(void)count;
	(void)self;
	(void)now_ms;
	(void)out;
	return false;
}
