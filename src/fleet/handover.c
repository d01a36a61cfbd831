/* Planned handover of this node's pools to nodes that can carry them better. */
#include "fleet/internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"

/** Handovers are rare, and each check compares all nodes. */
#define CHECK_INTERVAL_MS 500

static bool is_handed_over(const bw_fleet_t *f, const char *pool)
{
	return f->handing_over && !strcmp(f->handing_over, pool);
}

static bool may_hand_over(const bw_fleet_t *f, bw_pool_t *pool, int64_t now_ms)
{
	bw_sched_t *sched = bw_pool_sched(pool);
	bw_handover_state_t state = {
		.leaving = f->leaving,
		.in_progress = f->handing_over != NULL,
		.store_reachable = f->store_reachable,
		.jobs_loaded = bw_pool_jobs_loaded(pool),
		.recovered = sched && bw_sched_recovered(sched),
		.lease_end_ms = bw_fleet_member_lease_end_ms(f->member),
		.owned_since_ms = bw_pool_owned_since_ms(pool),
		.last_handover_ms = f->last_handover_ms,
	};

	return bw_ownership_may_hand_over(&state, now_ms);
}

void fleet_start_handover(bw_fleet_t *f, int64_t now_ms)
{
	bw_pool_t *chosen = NULL;
	bw_handover_t handover;
	GHashTableIter iter;
	gpointer pool;

	if (now_ms < f->next_handover_check_ms)
		return;
	f->next_handover_check_ms = now_ms + CHECK_INTERVAL_MS;
	g_hash_table_iter_init(&iter, f->pools);
	while (!chosen && g_hash_table_iter_next(&iter, NULL, &pool))
		if (may_hand_over(f, pool, now_ms) &&
		    bw_fleet_member_find_better(f->member, bw_pool_name(pool),
						now_ms, &handover))
			chosen = pool;
	if (!chosen)
		return;
	bw_event(BW_EVENT_FLEET_HANDOVER,
		 "pool=%s to=%s load=%.2f to_load=%.2f", bw_pool_name(chosen),
		 handover.to, handover.load, handover.to_load);
	f->handing_over = g_strdup(bw_pool_name(chosen));
	f->last_handover_ms = now_ms;
	bw_pool_stop(chosen);
}

void fleet_finish_handover(bw_fleet_t *f, const char *pool)
{
	if (!is_handed_over(f, pool))
		return;
	bw_fleet_member_hand_over(f->member, pool, bw_clock_now_ms());
	g_clear_pointer(&f->handing_over, g_free);
}

void fleet_abandon_handover(bw_fleet_t *f, const char *pool)
{
	if (is_handed_over(f, pool))
		g_clear_pointer(&f->handing_over, g_free);
}

/* The next owner looks at all earlier ones itself, so that those which this
 * node can't have seen need not be waited for. */
static bool may_give_back(const bw_fleet_t *f, const bw_pool_t *pool,
			  int64_t now_ms)
{
	bw_unreadable_state_t state = {
		.store_reachable = f->store_reachable,
		.predecessor_stopped = !bw_fleet_member_has_predecessor(
			f->member, bw_pool_name(pool), now_ms),
		.owned_since_ms = bw_pool_owned_since_ms(pool),
	};

	return bw_pool_unreadable(pool) &&
	       bw_ownership_may_give_back(&state, now_ms);
}

void fleet_give_back_unreadable(bw_fleet_t *f, int64_t now_ms)
{
	char *name = NULL;
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, f->pools);
	while (!name && g_hash_table_iter_next(&iter, NULL, &pool))
		if (may_give_back(f, pool, now_ms))
			name = g_strdup(bw_pool_name(pool));
	/* This removes the pool. */
	if (name)
		bw_fleet_member_give_back(f->member, name, now_ms);
	g_free(name);
}
