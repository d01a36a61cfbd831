/**
 * @file
 * Membership: which entries share the work, under which view, and whether this
 * entry may act as an owner of keys.
 *
 * A view is a numbered list of entries in the store. An entry adds itself by a
 * compare-and-swap; it is excluded by another one after its lease in the store
 * has lapsed and the excluding entry's own promise to it has run out.
 *
 * An entry may act as an owner while its lease in the store is renewed, or,
 * when the store is out of reach, while every other member of its view keeps
 * promising not to exclude it. An entry that can't get all promises stops.
 *
 * This is decision code: no I/O, no clock.
 */
#ifndef BW_MEMBER_VIEW_H
#define BW_MEMBER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#define BW_MEMBERS_MAX 256

typedef struct bw_view bw_view_t;

/** A member as kept in the store. */
typedef struct bw_member {
	char *name;
	char *address; /**< ip:port for other entries. */
} bw_member_t;

typedef struct bw_view_config {
	const char *name; /**< Of this entry; copied. */
	const char *address; /**< ip:port for other entries; copied. */
	int64_t lease_us; /**< Of the store's lease. */
	int64_t promise_us; /**< How long a promise holds. */
	/**
	 * Wait before an entry that was never met is excluded, and longest
	 * time without the store in which promises alone are enough.
	 */
	int64_t store_outage_max_us;
} bw_view_config_t;

/** What heartbeats carry about views. */
typedef struct bw_view_make_heartbeat {
	uint64_t epoch;
	int64_t stamp_us; /**< Sender's clock. */
	int64_t echo_us; /**< Receiver's last stamp that the sender has. */
	bool promise;
} bw_view_heartbeat_t;

/** Creates a membership without a view. */
bw_view_t *bw_view_create(const bw_view_config_t *config);

/** Destroys it. */
void bw_view_destroy(bw_view_t *v);

/**
 * Adopts a view of the store or of a peer.
 * @return true when it is newer than the one in use
 */
bool bw_view_adopt(bw_view_t *v, uint64_t epoch, const bw_member_t *members,
		   uint32_t member_count, int64_t now_us);

/** Epoch in use, 0 before the first. */
uint64_t bw_view_epoch(const bw_view_t *v);

/** Members in use. @param count receives their number */
const bw_member_t *bw_view_members(const bw_view_t *v, uint32_t *count);

/** Whether this entry is a member. */
bool bw_view_is_member(const bw_view_t *v);

/** Notes that an entry's lease key is in the store, or is not. */
void bw_view_set_lease_present(bw_view_t *v, const char *name, bool present);

/** Notes that what is known of lease keys is current, or may be old. */
void bw_view_set_store_current(bw_view_t *v, bool current);

/** Notes a renewed lease. @param asked_us when the renewal was sent */
void bw_view_lease_renewed(bw_view_t *v, int64_t asked_us);

/** Takes a peer's heartbeat. */
void bw_view_handle_heartbeat(bw_view_t *v, uint64_t peer,
			      const bw_view_heartbeat_t *beat, int64_t now_us);

/** Makes the heartbeat for a peer. */
void bw_view_make_heartbeat(bw_view_t *v, uint64_t peer, int64_t now_us,
			    bw_view_heartbeat_t *out);

/** Whether this entry may act as an owner of keys. */
bool bw_view_owner_valid(const bw_view_t *v, int64_t now_us);

/** Whether every member has told that it adopted the view in use. */
bool bw_view_active(const bw_view_t *v);

/** Lets an entry be excluded without the wait, by an operator's word. */
void bw_view_force_exclusion(bw_view_t *v, const char *name);

/**
 * Decides whether to write a new view.
 * @param members receives the new list, of BW_MEMBERS_MAX; its strings belong
 *        to the membership
 * @param excluded receives the names left out, of BW_MEMBERS_MAX; the write
 *        must fail if one of them has a lease key
 * @return number of members, or 0 when no change is due
 */
uint32_t bw_view_propose(bw_view_t *v, int64_t now_us, bw_member_t *members,
			 const char **excluded, uint32_t *excluded_count);

#endif
