#include "fleet/quota_split.h"

#include <string.h>

#include <glib.h>

static int64_t demand(const bw_quota_part_t *part, int kind)
{
	return part->held.of[kind] + part->wanted.of[kind];
}

static bool wants_any(const bw_quota_part_t *part)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (part->wanted.of[kind] > 0)
			return true;
	return false;
}

/* Whether it wants to start something that exceeds the whole cap. */
static bool is_oversized(const bw_amounts_t *cap, const bw_quota_part_t *part)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (cap->of[kind] > 0 && part->wanted.of[kind] > 0 &&
		    part->largest.of[kind] > cap->of[kind])
			return true;
	return false;
}

/* Gives each pool that isn't fixed its max-min share of the room. */
static void share_out(bw_quota_part_t *pools, uint32_t count, int kind,
		      int64_t room, const bool *fixed)
{
	bool *done = g_new0(bool, count);
	uint32_t left = 0;
	bool again = true;
	uint32_t i;

	for (i = 0; i < count; i++) {
		done[i] = fixed[i];
		left += !fixed[i];
	}
	while (again && left > 0) {
		int64_t share = MAX(room, 0) / left;

		again = false;
		for (i = 0; i < count; i++) {
			if (done[i] || demand(&pools[i], kind) > share)
				continue;
			pools[i].needed.of[kind] = demand(&pools[i], kind);
			room -= pools[i].needed.of[kind];
			done[i] = true;
			left--;
			again = true;
		}
	}
	for (i = 0; i < count; i++)
		if (!done[i])
			pools[i].needed.of[kind] = MAX(room, 0) / left;
	g_free(done);
}

static int64_t fixed_sum(const bw_quota_part_t *pools, uint32_t count, int kind,
			 const bool *fixed)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (fixed[i])
			sum += pools[i].needed.of[kind];
	return sum;
}

static void share_all(const bw_amounts_t *cap, bw_quota_part_t *pools,
		      uint32_t count, const bool *fixed)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (cap->of[kind] > 0)
			share_out(pools, count, kind,
				  cap->of[kind] -
					  fixed_sum(pools, count, kind, fixed),
				  fixed);
}

/* What a pool must get to start its largest waiting unit from nothing. */
static int64_t unit(const bw_quota_part_t *part, int kind)
{
	return MIN(part->largest.of[kind], demand(part, kind));
}

static bool is_stuck(const bw_amounts_t *cap, const bw_quota_part_t *part)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (cap->of[kind] > 0 &&
		    part->needed.of[kind] < unit(part, kind))
			return true;
	return false;
}

static bool unit_fits(const bw_amounts_t *cap, const bw_quota_part_t *pools,
		      uint32_t count, const bool *fixed, uint32_t pool)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (cap->of[kind] > 0 &&
		    fixed_sum(pools, count, kind, fixed) +
				    unit(&pools[pool], kind) >
			    cap->of[kind])
			return false;
	return true;
}

/*
 * Gives whole units, in the order of the turn, to pools whose shares are too
 * small for one; else none of them might start anything.
 */
static void give_units(const bw_amounts_t *cap, bw_quota_part_t *pools,
		       uint32_t count, uint32_t first)
{
	bool *fixed = g_new0(bool, count);
	uint32_t i;
	int kind;

	share_all(cap, pools, count, fixed);
	for (i = 0; i < count; i++) {
		uint32_t pool = (first + i) % count;

		if (is_oversized(cap, &pools[pool]) ||
		    !is_stuck(cap, &pools[pool]) ||
		    !unit_fits(cap, pools, count, fixed, pool))
			continue;
		fixed[pool] = true;
		for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
			pools[pool].needed.of[kind] = unit(&pools[pool], kind);
		share_all(cap, pools, count, fixed);
	}
	g_free(fixed);
}

/* Adds to the needs what is left, in proportion to what pools hold and want. */
static void set_goals(bw_quota_part_t *pools, uint32_t count, int kind,
		      int64_t cap)
{
	int64_t needed = 0;
	int64_t demands = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		needed += pools[i].needed.of[kind];
		demands += demand(&pools[i], kind);
	}
	for (i = 0; i < count; i++) {
		double share = demands > 0 ? (double)demand(&pools[i], kind) /
						     (double)demands
					   : 0;
		double rest = (double)MAX(cap - needed, 0);

		pools[i].goal.of[kind] =
			pools[i].needed.of[kind] + (int64_t)(rest * share);
	}
}

static uint32_t find_oversized(const bw_amounts_t *cap,
			       const bw_quota_part_t *pools, uint32_t count,
			       const bw_quota_turn_t *turn)
{
	bool others = false;
	uint32_t i;

	for (i = 0; i < count; i++)
		others |= wants_any(&pools[i]) && !is_oversized(cap, &pools[i]);
	for (i = 0; i < count; i++) {
		uint32_t pool = (turn->first + i) % count;

		if (is_oversized(cap, &pools[pool]) &&
		    (!others || turn->oversized))
			return pool;
	}
	return BW_QUOTA_NOBODY;
}

uint32_t bw_quota_split(const bw_amounts_t *cap, bw_quota_part_t *pools,
			uint32_t count, const bw_quota_turn_t *turn)
{
	uint32_t alone = find_oversized(cap, pools, count, turn);
	uint32_t i;
	int kind;

	for (i = 0; i < count; i++) {
		memset(&pools[i].needed, 0, sizeof(pools[i].needed));
		memset(&pools[i].goal, 0, sizeof(pools[i].goal));
	}
	if (alone != BW_QUOTA_NOBODY) {
		pools[alone].needed = pools[alone].largest;
		pools[alone].goal = pools[alone].largest;
		return alone;
	}
	give_units(cap, pools, count, turn->first);
	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (cap->of[kind] > 0)
			set_goals(pools, count, kind, cap->of[kind]);
	return BW_QUOTA_NOBODY;
}
