/* The earlier owners of pools: which of them may still give orders. */
#include "fleet/member_internal.h"

#include <string.h>

#include "base/event.h"

/** A check of the earlier owners of a pool. */
typedef struct check {
	bw_fleet_member_t *m;
	const char *pool;
	void (*ask)(void *ctx, const bw_earlier_owner_t *owner);
	void *ctx;
} check_t;

static bw_claim_history_t *get_history(bw_fleet_member_t *m, const char *pool)
{
	bw_claim_history_t *history = g_hash_table_lookup(m->histories, pool);

	if (history)
		return history;
	history = bw_claim_history_create(m->outage_ms);
	g_hash_table_insert(m->histories, g_strdup(pool), history);
	return history;
}

void member_note_claim(bw_fleet_member_t *m, const char *pool,
		       const owner_t *owner, int64_t now_ms)
{
	bw_claim_t claim = { owner->node, owner->incarnation, owner->revision };

	bw_claim_history_add(get_history(m, pool), now_ms, &claim);
}

void member_note_claim_gone(bw_fleet_member_t *m, const char *pool,
			    int64_t now_ms)
{
	bw_claim_history_end(get_history(m, pool), now_ms);
}

bool member_claim_gone(bw_fleet_member_t *m, const char *pool, int64_t revision)
{
	return bw_claim_history_is_gone(get_history(m, pool), revision);
}

static void log_stopped(const char *pool, const char *node, const char *reason)
{
	bw_event(BW_EVENT_FLEET_PREDECESSOR_STOPPED,
		 "pool=%s node=%s reason=%s", pool, node, reason);
}

/* Whether the process that made a claim has ended; this node itself has given
 * up its earlier claims. */
static bool has_ended(const bw_fleet_member_t *m, const bw_claim_t *claim)
{
	const node_t *node = g_hash_table_lookup(m->nodes, claim->node);

	return !strcmp(claim->node, m->name) ||
	       (node && node->incarnation != claim->incarnation);
}

static bool check_claim(void *ctx, const bw_claim_t *claim)
{
	check_t *check = ctx;
	bw_earlier_owner_t owner = { check->pool, claim->node,
				     claim->revision };

	if (has_ended(check->m, claim)) {
		log_stopped(check->pool, claim->node, "ended");
		return true;
	}
	/* Any node may have made a claim that can't be read. */
	if (strcmp(claim->node, NODE_UNKNOWN) != 0)
		check->ask(check->ctx, &owner);
	return false;
}

bool bw_fleet_member_earlier_stopped(
	bw_fleet_member_t *m, const char *pool, int64_t now_ms,
	const bw_known_owners_t *known,
	void (*ask)(void *ctx, const bw_earlier_owner_t *owner), void *ctx)
{
	const int64_t *own = g_hash_table_lookup(m->owned, pool);
	check_t check = { m, pool, ask, ctx };
	bw_claim_scope_t scope = {
		.own_revision = own ? *own : 0,
		.known_from = known->known_from,
		.handed_over = known->handed_over,
		.read_started_ms = bw_watch_cache_read_started_ms(m->cache),
		.complete_since_ms = bw_watch_cache_complete_since_ms(m->cache),
	};

	return own && bw_claim_history_check(get_history(m, pool), now_ms,
					     &scope, check_claim, &check);
}

void bw_fleet_member_owner_stopped(bw_fleet_member_t *m,
				   const bw_earlier_owner_t *owner)
{
	log_stopped(owner->pool, owner->node, "asked");
	bw_claim_history_stopped(get_history(m, owner->pool), owner->revision);
}

/** A search for an earlier owner whose process has not ended. */
typedef struct search {
	const bw_fleet_member_t *m;
	bool found;
} search_t;

static bool find_running(void *ctx, const bw_claim_t *claim)
{
	search_t *search = ctx;

	search->found |= !has_ended(search->m, claim);
	return false;
}

bool bw_fleet_member_has_predecessor(bw_fleet_member_t *m, const char *pool,
				     int64_t now_ms)
{
	const int64_t *own = g_hash_table_lookup(m->owned, pool);
	const owner_t *reported = g_hash_table_lookup(m->owners, pool);
	bw_claim_scope_t scope = { .own_revision = own ? *own : 0 };
	search_t search = { .m = m };

	if (!own || !reported || reported->revision != *own)
		return true;
	bw_claim_history_check(get_history(m, pool), now_ms, &scope,
			       find_running, &search);
	return search.found;
}
