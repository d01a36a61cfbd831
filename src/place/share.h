/**
 * @file
 * Divides a worker's slots among the entries.
 *
 * Entries are ranked per worker by rendezvous hash. The highest-ranked
 * BW_SHARE_GROUP entries form the worker's group; the slots are divided evenly
 * in the group, the remainder going to the higher ranks. Every entry computes
 * the same division from the same member list.
 */
#ifndef BW_PLACE_SHARE_H
#define BW_PLACE_SHARE_H

#include <stdint.h>

/** Most entries that hold slots or connections of one worker. */
#define BW_SHARE_GROUP 9

/**
 * Identifier of a name (entry, worker or pool) in messages and hashes.
 * @param name NUL-terminated
 */
uint64_t bw_name_id(const char *name);

/**
 * Share of a member in a quantity.
 * @param object identifier of the worker or table cell that is divided
 * @param quantity how much there is to divide
 * @param members identifiers of all entries of the view, in any order
 * @param member_count number of @p members
 * @param self one of @p members
 * @return the units that @p self holds; over all members they sum to
 *         @p quantity
 */
uint32_t bw_share(uint64_t object, uint32_t quantity, const uint64_t *members,
		  uint32_t member_count, uint64_t self);

/**
 * Whether an entry belongs to a worker's group.
 * @return rank of @p self among @p members, from 0, compared with the group
 */
int bw_share_in_group(uint64_t object, const uint64_t *members,
		      uint32_t member_count, uint64_t self);

/**
 * The member with the highest rank for an object.
 * @param member_count at least 1
 */
uint64_t bw_share_owner(uint64_t object, const uint64_t *members,
			uint32_t member_count);

/**
 * Connections that one entry may hold to a worker.
 *
 * One more than the group is counted, since while a view changes the group of
 * the old view and that of the new one differ by one entry.
 */
uint32_t bw_share_connections(uint32_t connections);

#endif
