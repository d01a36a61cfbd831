#include "place/share.h"

#include <string.h>

#include <xxhash.h>

static uint64_t score(uint64_t object, uint64_t member);
static uint32_t rank_of(uint64_t object, const uint64_t *members,
			uint32_t member_count, uint64_t self);

uint64_t bw_name_id(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static uint64_t score(uint64_t object, uint64_t member)
{
	uint64_t pair[2] = { object, member };

	return XXH3_64bits(pair, sizeof(pair));
}

static uint32_t rank_of(uint64_t object, const uint64_t *members,
			uint32_t member_count, uint64_t self)
{
	uint64_t own = score(object, self);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < member_count; i++) {
		uint64_t other = score(object, members[i]);

		if (other > own || (other == own && members[i] > self))
			rank++;
	}
	return rank;
}

uint32_t bw_share(uint64_t object, uint32_t quantity, const uint64_t *members,
		  uint32_t member_count, uint64_t self)
{
	uint32_t group = member_count;
	uint32_t rank;

	if (member_count == 0)
		return 0;
	if (group > BW_SHARE_GROUP)
		group = BW_SHARE_GROUP;
	rank = rank_of(object, members, member_count, self);
	if (rank >= group)
		return 0;
	return quantity / group + (rank < quantity % group ? 1 : 0);
}

int bw_share_in_group(uint64_t object, const uint64_t *members,
		      uint32_t member_count, uint64_t self)
{
	return rank_of(object, members, member_count, self) < BW_SHARE_GROUP;
}

uint64_t bw_share_owner(uint64_t object, const uint64_t *members,
			uint32_t member_count)
{
	uint64_t best = members[0];
	uint64_t best_score = score(object, best);
	uint32_t i;

	for (i = 1; i < member_count; i++) {
		uint64_t s = score(object, members[i]);

		if (s < best_score || (s == best_score && members[i] < best))
			continue;
		best = members[i];
		best_score = s;
	}
	return best;
}

uint32_t bw_share_connections(uint32_t connections)
{
	return connections / (BW_SHARE_GROUP + 1);
}
