/* Asks the earlier owners of this node's pools whether they have stopped. */
#include "fleet/internal.h"

#include "base/clock.h"

/** Time between queries to the earlier owners of a pool. */
#define QUERY_INTERVAL_MS 250

/** Context of a query to an earlier owner. */
typedef struct owner_query {
	bw_fleet_t *f;
	char *pool;
	char *node;
	int64_t revision; /**< Of its claim. */
} owner_query_t;

static void on_answer(void *ctx, const bw_fleet_query_answer_t *answer)
{
	owner_query_t *query = ctx;
	bw_earlier_owner_t owner = { query->pool, query->node,
				     query->revision };

	if (answer && !answer->may_order)
		bw_fleet_member_owner_stopped(query->f->member, &owner);
	g_free(query->node);
	g_free(query->pool);
	g_free(query);
}

static void ask_owner(void *ctx, const bw_earlier_owner_t *owner)
{
	bw_fleet_t *f = ctx;
	owner_query_t *query = g_new0(owner_query_t, 1);

	query->f = f;
	query->pool = g_strdup(owner->pool);
	query->node = g_strdup(owner->node);
	query->revision = owner->revision;
	bw_fleet_peers_query(f->peers, owner->node, owner->pool, NULL, NULL,
			     on_answer, query);
}

static void check_pool(bw_fleet_t *f, bw_pool_t *pool, int64_t now_ms)
{
	const bw_sched_t *sched = bw_pool_sched(pool);
	bw_known_owners_t known = { 0 };

	if (sched) {
		known.known_from = bw_sched_known_from(sched);
		known.handed_over = bw_sched_handed_over_by(sched) != 0;
	}
	if (bw_fleet_member_earlier_stopped(f->member, bw_pool_name(pool),
					    now_ms, &known, ask_owner, f))
		bw_pool_predecessor_stopped(pool, now_ms);
}

void fleet_query_earlier_owners(bw_fleet_t *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer pool;

	if (now_ms < f->next_owner_query_ms)
		return;
	f->next_owner_query_ms = now_ms + QUERY_INTERVAL_MS;
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		if (bw_pool_awaits_predecessor(pool))
			check_pool(f, pool, now_ms);
}
