/**
 * @file
 * Divides the slots of workers and the limits of table cells among the entries.
 *
 * Entries are ranked per worker by rendezvous hashing. The first
 * BW_SHARE_GROUP entries form the worker's group. The slots are divided evenly
 * within the group; the remainder goes to the higher ranks. Every entry
 * computes the same division from the same member list.
 */
#ifndef BW_PLACE_SHARE_H
#define BW_PLACE_SHARE_H

#include <stdint.h>

/** Maximum number of entries with slots or connections of one worker. */
#define BW_SHARE_GROUP 9

/**
 * Returns the identifier of a name (entry, worker, service or pool) in
 * messages and hashes.
 * @param name NUL-terminated
 */
uint64_t bw_name_id(const char *name);

/**
 * Returns the share of a member in a quantity.
 * @param object identifier of the worker or table cell that is divided
 * @param quantity number of units to divide
 * @param members identifiers of all entries of the view, in any order
 * @param member_count number of @p members
 * @param self one of @p members
 * @return units of @p self; the shares of all members sum to
 *         @p quantity
 */
uint32_t bw_share(uint64_t object, uint32_t quantity, const uint64_t *members,
		  uint32_t member_count, uint64_t self);

/**
 * Returns whether an entry belongs to a worker's group.
 * @return nonzero when the rank of @p self is below BW_SHARE_GROUP
 */
int bw_share_in_group(uint64_t object, const uint64_t *members,
		      uint32_t member_count, uint64_t self);

/**
 * Returns the member with the highest rank for an object.
 * @param member_count at least 1
 */
uint64_t bw_share_owner(uint64_t object, const uint64_t *members,
			uint32_t member_count);

/**
 * Returns the number of connections that one entry may hold to a worker.
 *
 * Divides by one more than the group, since the groups of two successive views
 * differ by one entry and both are in use during a change.
 */
uint32_t bw_share_connections(uint32_t connections);

#endif
