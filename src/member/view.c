#include "member/view.h"

#include <string.h>

#include <glib.h>

#include "place/share.h"

/* Delay between entries that would write the same view, by their rank. */
#define PROPOSE_STAGGER_US 200000

/** State of another entry, whether a member or not. */
typedef struct peer {
	uint64_t id;
	char *name;
	bool present; /**< Its lease key is in the store. */
	bool exclusion_forced; /**< An operator confirmed that it is dead. */
	bool included_self; /**< It has used a view with this entry in it. */
	uint64_t epoch; /**< Epoch in its last heartbeat. */
	int64_t stamp_us; /**< Its clock in its last heartbeat. */
	int64_t given_promise_end_us; /**< Promise to the peer. */
	int64_t received_promise_end_us; /**< Promise from the peer. */
} peer_t;

struct bw_view {
	bw_view_config_t config;
	char *name;
	char *address;
	uint64_t id;
	uint64_t epoch;
	GArray *members; /**< bw_member_t */
	GPtrArray *peers;
	bool store_current;
	int64_t joined_us;
	uint64_t joined_epoch; /**< Of the first view with this entry. */
	int64_t lease_expiry_us;
	int64_t last_renewal_us;
	int64_t change_since_us; /**< Since when a new view is needed, or 0. */
};

/** Tests a condition on another member. */
typedef bool (*peer_predicate_fn)(const bw_view_t *v, const peer_t *peer,
				  int64_t now_us);

static void member_clear(gpointer data);
static void peer_free(gpointer data);
static peer_t *find_peer(const bw_view_t *v, uint64_t id);
static peer_t *find_or_add_peer(bw_view_t *v, const char *name);
static bool is_member(const bw_view_t *v, uint64_t id);
static bool may_exclude(const bw_view_t *v, const peer_t *peer, int64_t now_us);
static uint32_t rank_among_present(const bw_view_t *v);
static bool all_others(const bw_view_t *v, peer_predicate_fn predicate,
		       int64_t now_us);
static bool has_promised(const bw_view_t *v, const peer_t *peer,
			 int64_t now_us);
static bool has_adopted(const bw_view_t *v, const peer_t *peer, int64_t now_us);

static void member_clear(gpointer data)
{
	bw_member_t *m = data;

	g_free(m->name);
	g_free(m->address);
}

static void peer_free(gpointer data)
{
	peer_t *peer = data;

	g_free(peer->name);
	g_free(peer);
}

bw_view_t *bw_view_create(const bw_view_config_t *config)
{
	bw_view_t *v = g_new0(bw_view_t, 1);

	v->config = *config;
	v->name = g_strdup(config->name);
	v->address = g_strdup(config->address);
	v->id = bw_name_id(config->name);
	v->members = g_array_new(FALSE, FALSE, sizeof(bw_member_t));
	g_array_set_clear_func(v->members, member_clear);
	v->peers = g_ptr_array_new_with_free_func(peer_free);
	return v;
}

void bw_view_destroy(bw_view_t *v)
{
	if (!v)
		return;
	g_array_free(v->members, TRUE);
	g_ptr_array_free(v->peers, TRUE);
	g_free(v->name);
	g_free(v->address);
	g_free(v);
}

static peer_t *find_peer(const bw_view_t *v, uint64_t id)
{
	guint i;

	for (i = 0; i < v->peers->len; i++) {
		peer_t *peer = g_ptr_array_index(v->peers, i);

		if (peer->id == id)
			return peer;
	}
	return NULL;
}

static peer_t *find_or_add_peer(bw_view_t *v, const char *name)
{
	uint64_t id = bw_name_id(name);
	peer_t *peer = find_peer(v, id);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->id = id;
	peer->name = g_strdup(name);
	g_ptr_array_add(v->peers, peer);
	return peer;
}

static bool is_member(const bw_view_t *v, uint64_t id)
{
	guint i;

	for (i = 0; i < v->members->len; i++)
		if (bw_name_id(
			    g_array_index(v->members, bw_member_t, i).name) ==
		    id)
			return true;
	return false;
}

bool bw_view_adopt(bw_view_t *v, uint64_t epoch, const bw_member_t *members,
		   uint32_t member_count, int64_t now_us)
{
	bool was_member = bw_view_is_member(v);
	uint32_t i;

	if (epoch <= v->epoch || member_count > BW_MEMBERS_MAX)
		return false;
	v->epoch = epoch;
	g_array_set_size(v->members, 0);
	for (i = 0; i < member_count; i++) {
		bw_member_t m = { .name = g_strdup(members[i].name),
				  .address = g_strdup(members[i].address) };

		g_array_append_val(v->members, m);
		if (strcmp(m.name, v->name) != 0)
			find_or_add_peer(v, m.name);
	}
	if (!was_member && bw_view_is_member(v))
		v->joined_us = now_us;
	if (!was_member)
		v->joined_epoch = epoch;
	v->change_since_us = 0;
	return true;
}

uint64_t bw_view_epoch(const bw_view_t *v)
{
	return v->epoch;
}

const bw_member_t *bw_view_members(const bw_view_t *v, uint32_t *count)
{
	*count = v->members->len;
	return (const bw_member_t *)v->members->data;
}

bool bw_view_is_member(const bw_view_t *v)
{
	return is_member(v, v->id);
}

void bw_view_set_lease_present(bw_view_t *v, const char *name, bool present)
{
	peer_t *peer;

	if (!strcmp(name, v->name))
		return;
	peer = find_or_add_peer(v, name);
	peer->present = present;
	if (present)
		peer->exclusion_forced = false;
}

void bw_view_set_store_current(bw_view_t *v, bool current)
{
	v->store_current = current;
}

void bw_view_lease_renewed(bw_view_t *v, int64_t asked_us)
{
	v->lease_expiry_us = asked_us + v->config.lease_us;
	v->last_renewal_us = asked_us;
}

void bw_view_handle_heartbeat(bw_view_t *v, uint64_t peer,
			      const bw_view_heartbeat_t *beat, int64_t now_us)
{
	peer_t *p = find_peer(v, peer);

	(void)now_us;
	if (!p)
		return;
	p->epoch = beat->epoch;
	p->stamp_us = beat->stamp_us;
	/* The peer's view has this entry, so it needs this entry's promise. */
	if (bw_view_is_member(v) && beat->epoch >= v->joined_epoch)
		p->included_self = true;
	if (beat->promise && beat->epoch == v->epoch && beat->echo_us > 0)
		p->received_promise_end_us =
			MAX(p->received_promise_end_us,
			    beat->echo_us + v->config.promise_us);
}

void bw_view_make_heartbeat(bw_view_t *v, uint64_t peer, int64_t now_us,
			    bw_view_heartbeat_t *out)
{
	peer_t *p = find_peer(v, peer);

	memset(out, 0, sizeof(*out));
	out->epoch = v->epoch;
	out->stamp_us = now_us;
	if (!p)
		return;
	out->echo_us = p->stamp_us;
	if (p->epoch != v->epoch || !is_member(v, peer))
		return;
	/* An entry that has lost its lease key may be excluded. */
	if (v->store_current && !p->present)
		return;
	out->promise = true;
	p->given_promise_end_us = now_us + v->config.promise_us;
}

/* Returns whether a condition is true of every other member. */
static bool all_others(const bw_view_t *v, peer_predicate_fn predicate,
		       int64_t now_us)
{
	guint i;

	for (i = 0; i < v->members->len; i++) {
		const char *name =
			g_array_index(v->members, bw_member_t, i).name;
		const peer_t *peer = find_peer(v, bw_name_id(name));

		if (!strcmp(name, v->name))
			continue;
		if (!peer || !predicate(v, peer, now_us))
			return false;
	}
	return true;
}

static bool has_promised(const bw_view_t *v, const peer_t *peer, int64_t now_us)
{
	(void)v;
	return now_us < peer->received_promise_end_us;
}

static bool has_adopted(const bw_view_t *v, const peer_t *peer, int64_t now_us)
{
	(void)now_us;
	return peer->epoch >= v->epoch;
}

bool bw_view_owner_valid(const bw_view_t *v, int64_t now_us)
{
	if (!bw_view_is_member(v))
		return false;
	if (now_us < v->lease_expiry_us)
		return true;
	/* Promises replace the lease only for a limited time. */
	if (now_us >= v->last_renewal_us + v->config.store_outage_max_us)
		return false;
	/* A sole member has no peer that could promise anything. */
	return v->members->len > 1 && all_others(v, has_promised, now_us);
}

bool bw_view_active(const bw_view_t *v)
{
	return bw_view_is_member(v) && all_others(v, has_adopted, 0);
}

void bw_view_force_exclusion(bw_view_t *v, const char *name)
{
	find_or_add_peer(v, name)->exclusion_forced = true;
}

static bool may_exclude(const bw_view_t *v, const peer_t *peer, int64_t now_us)
{
	if (peer->present || now_us < peer->given_promise_end_us)
		return false;
	/*
	 * An entry that never used a view with this one in it doesn't depend
	 * on this one's promise and may still act as an owner without it. So
	 * this one waits, or an operator confirms that the entry is dead.
	 */
	return peer->included_self || peer->exclusion_forced ||
	       now_us >= v->joined_us + v->config.store_outage_max_us;
}

static uint32_t rank_among_present(const bw_view_t *v)
{
	uint32_t rank = 0;
	guint i;

	for (i = 0; i < v->peers->len; i++) {
		const peer_t *peer = g_ptr_array_index(v->peers, i);

		if (peer->present && peer->id < v->id && is_member(v, peer->id))
			rank++;
	}
	return rank;
}

uint32_t bw_view_propose(bw_view_t *v, int64_t now_us, bw_member_t *members,
			 const char **excluded, uint32_t *excluded_count)
{
	bool joining = !bw_view_is_member(v);
	uint32_t count = 0;
	bool change = joining;
	guint i;

	*excluded_count = 0;
	/* Without a valid lease this entry may itself be excluded by others. */
	if (!v->store_current || now_us >= v->lease_expiry_us)
		return 0;
	/* Only an exclusion, which members decide on, may remove a member. */
	if (joining && v->members->len >= BW_MEMBERS_MAX)
		return 0;
	for (i = 0; i < v->members->len; i++) {
		bw_member_t m = g_array_index(v->members, bw_member_t, i);
		const peer_t *peer = find_peer(v, bw_name_id(m.name));

		if (peer && strcmp(m.name, v->name) != 0 && !joining &&
		    may_exclude(v, peer, now_us)) {
			change = true;
			excluded[(*excluded_count)++] = m.name;
			continue;
		}
		if (!strcmp(m.name, v->name)) {
			change = change || strcmp(m.address, v->address) != 0;
			m.address = v->address;
		}
		members[count++] = m;
	}
	if (joining) {
		members[count].name = v->name;
		members[count].address = v->address;
		count++;
	}
	if (!change) {
		v->change_since_us = 0;
		return 0;
	}
	if (v->change_since_us == 0)
		v->change_since_us = now_us;
	/* Entries that write at the same time only make each other fail. */
	if (!joining &&
	    now_us < v->change_since_us +
			     rank_among_present(v) * PROPOSE_STAGGER_US)
		return 0;
	return count;
}
