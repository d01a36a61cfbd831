#include "fleet/config_sync.h"

#include <glib.h>

/** How long the store's own word of a newer version is waited for. */
#define ASK_DELAY_MS 150
/** Time in which an asked node answers; the configuration may be large, and
 *  links slow. */
#define ASK_TIMEOUT_MS 700
/** How late another node's word may arrive: its age counts from then. */
#define CONFIRM_DELAY_MS 500
/** A confirmation is up to 2 s old when the next one comes, so none for a
 *  shorter time means nothing. */
#define CONFIRMED_MIN_MS 3000

/** What is known of another node. */
typedef struct peer {
	int64_t revision;
	int64_t confirmed_ms; /**< Of this revision; 0: not known. */
	int64_t asked_ms; /**< INT64_MIN: never. */
} peer_t;

struct bw_config_sync {
	int64_t behind_ms; /**< After the last confirmation; 0: never. */
	int64_t doubt_ms; /**< The same. */
	uint64_t salt;
	GHashTable *peers; /**< Identifier to peer_t. */
	int64_t revision;
	int64_t newest;
	int64_t refused; /**< Newest version that can't be used here. */
	int64_t confirmed_ms; /**< 0: never. */
	int64_t behind_since_ms; /**< Valid while a newer one is known. */
	int64_t asked_ms; /**< Any node; INT64_MIN: none since behind. */
};

/* Returns for how long a confirmation counts within a bound. */
static int64_t confirmed_for_ms(int64_t bound_ms)
{
	return MAX(bound_ms - CONFIRM_DELAY_MS, CONFIRMED_MIN_MS);
}

bw_config_sync_t *bw_config_sync_create(const bw_config_bounds_t *bounds,
					uint64_t salt)
{
	bw_config_sync_t *c = g_new0(bw_config_sync_t, 1);

	if (bounds->apply_ms > 0) {
		c->behind_ms = confirmed_for_ms(bounds->apply_ms);
		c->doubt_ms =
			confirmed_for_ms(bounds->apply_ms + bounds->outage_ms);
	}
	c->salt = salt;
	c->asked_ms = INT64_MIN;
	c->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	return c;
}

void bw_config_sync_destroy(bw_config_sync_t *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->peers);
	g_free(c);
}

void bw_config_sync_confirm(bw_config_sync_t *c, int64_t at_ms)
{
	c->confirmed_ms = MAX(c->confirmed_ms, at_ms);
}

/* A node with the same version or an older one has seen no newer one. */
static void confirm_by(bw_config_sync_t *c, const peer_t *peer)
{
	if (peer->revision <= c->revision)
		c->confirmed_ms = MAX(c->confirmed_ms, peer->confirmed_ms);
}

static peer_t *get_peer(bw_config_sync_t *c, uint64_t id)
{
	peer_t *peer = g_hash_table_lookup(c->peers, &id);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->asked_ms = INT64_MIN;
	g_hash_table_insert(c->peers, g_memdup2(&id, sizeof(id)), peer);
	return peer;
}

void bw_config_sync_report(bw_config_sync_t *c, int64_t now_ms,
			   const bw_config_report_t *report)
{
	peer_t *peer;

	if (report->revision <= 0)
		return;
	peer = get_peer(c, report->peer);
	peer->revision = report->revision;
	peer->confirmed_ms =
		report->age_ms > 0 ? MAX(now_ms - report->age_ms, 0) : 0;
	confirm_by(c, peer);
	if (report->revision <= c->newest)
		return;
	if (c->newest <= c->revision) {
		c->behind_since_ms = now_ms;
		c->asked_ms = INT64_MIN;
	}
	c->newest = report->revision;
}

void bw_config_sync_lost(bw_config_sync_t *c, uint64_t peer)
{
	g_hash_table_remove(c->peers, &peer);
}

bool bw_config_sync_take(bw_config_sync_t *c, int64_t revision)
{
	GHashTableIter iter;
	gpointer peer;

	if (revision <= c->revision)
		return false;
	c->revision = revision;
	c->newest = MAX(c->newest, revision);
	c->asked_ms = INT64_MIN;
	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		confirm_by(c, peer);
	return true;
}

bool bw_config_sync_is_new(const bw_config_sync_t *c, int64_t revision)
{
	return revision > MAX(c->revision, c->refused);
}

void bw_config_sync_refuse(bw_config_sync_t *c, int64_t revision)
{
	c->refused = MAX(c->refused, revision);
	c->newest = MAX(c->newest, revision);
}

int64_t bw_config_sync_revision(const bw_config_sync_t *c)
{
	return c->revision;
}

int64_t bw_config_sync_newest(const bw_config_sync_t *c)
{
	return c->newest;
}

int64_t bw_config_sync_silent_ms(const bw_config_sync_t *c, int64_t now_ms)
{
	return c->confirmed_ms > 0 ? now_ms - c->confirmed_ms : INT64_MAX;
}

bw_config_trust_t bw_config_sync_trust(const bw_config_sync_t *c,
				       int64_t now_ms)
{
	int64_t silent_ms = bw_config_sync_silent_ms(c, now_ms);

	if (c->doubt_ms > 0 && silent_ms >= c->doubt_ms)
		return BW_CONFIG_DOUBTED;
	if (c->behind_ms > 0 && silent_ms >= c->behind_ms)
		return BW_CONFIG_BEHIND;
	return c->newest > c->revision ? BW_CONFIG_BEHIND : BW_CONFIG_NEWEST;
}

/* Nodes that fell behind together ask different ones. */
static uint64_t preference(const bw_config_sync_t *c, uint64_t id)
{
	uint64_t mixed = (id ^ c->salt) * UINT64_C(0x9e3779b97f4a7c15);

	return mixed ^ (mixed >> 32);
}

/* Of the nodes that have a newer version, the one asked longest ago. */
static uint64_t choose_peer(const bw_config_sync_t *c)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	const peer_t *best = NULL;
	uint64_t best_id = 0;

	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const peer_t *peer = value;
		uint64_t id = *(const uint64_t *)key;

		if (peer->revision <= c->revision)
			continue;
		if (best && (peer->asked_ms > best->asked_ms ||
			     (peer->asked_ms == best->asked_ms &&
			      preference(c, id) <= preference(c, best_id))))
			continue;
		best = peer;
		best_id = id;
	}
	return best_id;
}

uint64_t bw_config_sync_ask(bw_config_sync_t *c, int64_t now_ms)
{
	uint64_t id;

	if (c->newest <= MAX(c->revision, c->refused) ||
	    now_ms - c->behind_since_ms < ASK_DELAY_MS)
		return 0;
	if (c->asked_ms != INT64_MIN && now_ms - c->asked_ms < ASK_TIMEOUT_MS)
		return 0;
	id = choose_peer(c);
	if (id == 0)
		return 0;
	c->asked_ms = now_ms;
	get_peer(c, id)->asked_ms = now_ms;
	return id;
}
