/**
 * @file
 * Membership views: which entries share the work, and whether this entry may
 * act as an owner of keys.
 *
 * A view is a list of entries in the store, numbered by its epoch. An entry
 * adds itself by a compare-and-swap. Another entry may exclude it once its
 * lease in the store has expired and the excluding entry's own promise not to
 * exclude it has expired too.
 *
 * An entry may act as an owner while its lease in the store is valid or, when
 * the store is unreachable, while every other member of its view keeps
 * promising not to exclude it. An entry that lacks one of these promises stops
 * acting as an owner.
 *
 * These are pure decisions: no I/O, and the caller passes the time.
 */
#ifndef BW_MEMBER_VIEW_H
#define BW_MEMBER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#define BW_MEMBERS_MAX 256

typedef struct bw_view bw_view_t;

/** A member of a view, as stored. */
typedef struct bw_member {
	char *name;
	char *address; /**< ip:port on which other entries reach it. */
} bw_member_t;

typedef struct bw_view_config {
	const char *name; /**< Name of this entry; copied. */
	const char *address; /**< ip:port for other entries; copied. */
	int64_t lease_us; /**< Duration of the lease in the store. */
	int64_t promise_us; /**< Duration of a promise. */
	/**
	 * Longest time without the store for which promises alone allow an
	 * entry to act as an owner. It is also the wait before an entry is
	 * excluded that never reported a view with this entry in it.
	 */
	int64_t store_outage_max_us;
} bw_view_config_t;

/** Part of a heartbeat that concerns views. */
typedef struct bw_view_heartbeat {
	uint64_t epoch;
	int64_t stamp_us; /**< Sender's clock. */
	int64_t echo_us; /**< Last stamp received from the receiver, or 0. */
	bool promise; /**< The sender will not exclude the receiver. */
} bw_view_heartbeat_t;

/** Creates a membership without a view. */
bw_view_t *bw_view_create(const bw_view_config_t *config);

/** Destroys a membership; NULL is allowed. */
void bw_view_destroy(bw_view_t *v);

/**
 * Adopts a view if its epoch is newer than the current one.
 * @return true when the view was adopted
 */
bool bw_view_adopt(bw_view_t *v, uint64_t epoch, const bw_member_t *members,
		   uint32_t member_count, int64_t now_us);

/** Returns the epoch of the current view, or 0 before the first one. */
uint64_t bw_view_epoch(const bw_view_t *v);

/**
 * Returns the members of the current view, owned by the membership.
 * @param count receives their number
 */
const bw_member_t *bw_view_members(const bw_view_t *v, uint32_t *count);

/** Returns whether the current view has this entry as a member. */
bool bw_view_is_member(const bw_view_t *v);

/** Records whether the store has the lease key of an entry. */
void bw_view_set_lease_present(bw_view_t *v, const char *name, bool present);

/** Records whether the state of the lease keys is current or may be stale. */
void bw_view_set_store_current(bw_view_t *v, bool current);

/**
 * Records that this entry's lease was renewed.
 * @param asked_us when the renewal was sent, from which the lease counts
 */
void bw_view_lease_renewed(bw_view_t *v, int64_t asked_us);

/** Applies a peer's heartbeat, with its promise; unknown peers are ignored. */
void bw_view_handle_heartbeat(bw_view_t *v, uint64_t peer,
			      const bw_view_heartbeat_t *beat, int64_t now_us);

/** Fills in the heartbeat for a peer and records the promise made in it. */
void bw_view_make_heartbeat(bw_view_t *v, uint64_t peer, int64_t now_us,
			    bw_view_heartbeat_t *out);

/** Returns whether this entry may act as an owner of keys. */
bool bw_view_owner_valid(const bw_view_t *v, int64_t now_us);

/** Returns whether every member has reported this view or a later one. */
bool bw_view_active(const bw_view_t *v);

/**
 * Records an operator's confirmation that an entry is dead, so that it is
 * excluded without the wait. A lease key of it that appears later revokes this.
 */
void bw_view_force_exclusion(bw_view_t *v, const char *name);

/**
 * Decides whether to write a new view.
 * @param members receives up to BW_MEMBERS_MAX members; the strings belong to
 *        the membership
 * @param excluded receives up to BW_MEMBERS_MAX names of excluded entries; the
 *        write must fail if one of them has a lease key
 * @return number of members, or 0 when there is nothing to write now, also when
 *         this entry would join a view of BW_MEMBERS_MAX members
 */
uint32_t bw_view_propose(bw_view_t *v, int64_t now_us, bw_member_t *members,
			 const char **excluded, uint32_t *excluded_count);

#endif
