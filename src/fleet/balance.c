#include "fleet/balance.h"

#include <string.h>

#include <glib.h>

/** Ratio of the wanted capacity to the demand. */
#define HEADROOM 1.15
/** Machines that a pool keeps beyond that capacity. */
#define SPARE_MACHINES 1
/** Fewest machines of a pool, unless it has no machines and no demand. */
#define MACHINES_MIN 3
/**
 * Share of its initial machines that a pool keeps when machines are turned
 * off, so that a surge finds them running.
 */
#define KEPT_SHARE 0.6
/** A pool keeps machines for so long after it last needed them. */
#define RELEASE_DELAY_MS 1500
/** The load is observed for so long before the first machine moves. */
#define WARMUP_MS 500

/** What is kept of a pool from one decision to the next. */
typedef struct pool_history {
	uint32_t wanted; /**< Machines; lowered only after a delay. */
	int64_t wanted_ms; /**< When at least so many were last needed. */
	uint32_t initial; /**< Machines at its first fresh report. */
	bw_balance_state_t last; /**< At the last decision. */
} pool_history_t;

/** Counts of a pool during one decision. */
typedef struct pool_state {
	uint32_t listed; /**< All machines, usable or not. */
	uint32_t have; /**< Machines that are usable now or soon. */
	int64_t capacity_millis; /**< Capacity of these. */
	uint32_t needed; /**< Machines for the current demand. */
	uint32_t wanted;
	uint32_t kept; /**< Lower bound when machines are turned off. */
} pool_state_t;

struct bw_balance {
	GHashTable *histories; /**< Pool name to pool_history_t. */
	int64_t started_ms;
};

bw_balance_t *bw_balance_create(void)
{
	bw_balance_t *b = g_new0(bw_balance_t, 1);

	b->histories =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void bw_balance_destroy(bw_balance_t *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->histories);
	g_free(b);
}

static pool_history_t *get_history(bw_balance_t *b, const char *pool)
{
	pool_history_t *history = g_hash_table_lookup(b->histories, pool);

	if (!history) {
		history = g_new0(pool_history_t, 1);
		g_hash_table_insert(b->histories, g_strdup(pool), history);
	}
	return history;
}

/*
 * Returns how many machines a pool needs for the tasks that run and wait, or
 * for its lasting tasks and the arriving load if these are more.
 */
static uint32_t machines_needed(const bw_balance_pool_t *pool,
				const pool_state_t *state)
{
	const bw_pool_demand_t *demand = &pool->demand;
	int64_t present = demand->used_millis + demand->waiting_millis;
	int64_t coming = demand->lasting_millis + demand->offered_millis;
	double asked = (double)MAX(present, coming) * HEADROOM;
	double each;

	if (state->have == 0 || state->capacity_millis == 0)
		return asked > 0.0 ? MACHINES_MIN : 0;
	each = (double)state->capacity_millis / state->have;
	return MAX((uint32_t)(asked / each) + SPARE_MACHINES, MACHINES_MIN);
}

static void count_machines(const bw_balance_machine_t *machines,
			   uint32_t machine_count, pool_state_t *states)
{
	uint32_t i;

	for (i = 0; i < machine_count; i++) {
		states[machines[i].pool].listed++;
		if (!machines[i].usable)
			continue;
		states[machines[i].pool].have++;
		states[machines[i].pool].capacity_millis +=
			machines[i].capacity_millis;
	}
}

static void update_wanted(bw_balance_t *b, int64_t now_ms,
			  const bw_balance_pool_t *pool, pool_state_t *state)
{
	pool_history_t *history = get_history(b, pool->name);

	if (!pool->report_fresh) {
		state->wanted = state->have;
		state->needed = state->have;
		state->kept = state->have;
		return;
	}
	state->needed = machines_needed(pool, state);
	if (state->needed >= history->wanted ||
	    now_ms - history->wanted_ms > RELEASE_DELAY_MS) {
		history->wanted = state->needed;
		history->wanted_ms = now_ms;
	}
	if (history->initial == 0)
		history->initial = state->listed;
	state->kept = (uint32_t)(history->initial * KEPT_SHARE);
	state->wanted = history->wanted;
	history->last.have = state->have;
	history->last.needed = state->needed;
	history->last.wanted = state->wanted;
}

bw_balance_state_t bw_balance_state(const bw_balance_t *b, const char *pool)
{
	const pool_history_t *history = g_hash_table_lookup(b->histories, pool);

	return history ? history->last : (bw_balance_state_t){ 0 };
}

/*
 * Shares the machines out in proportion to the wanted counts, if the pools
 * want more machines in total than are usable.
 */
static void ration(const bw_balance_pool_t *pools, uint32_t pool_count,
		   pool_state_t *states)
{
	uint32_t total = 0;
	uint32_t wanted = 0;
	uint32_t least = 0;
	uint32_t i;

	for (i = 0; i < pool_count; i++) {
		total += states[i].have;
		if (pools[i].standby)
			continue;
		wanted += states[i].wanted;
		least += MIN(states[i].wanted, MACHINES_MIN);
	}
	if (wanted <= total || total <= least)
		return;
	for (i = 0; i < pool_count; i++) {
		pool_state_t *state = &states[i];
		uint32_t base = MIN(state->wanted, MACHINES_MIN);

		if (pools[i].standby)
			continue;
		state->wanted = base + (state->wanted - base) *
					       (total - least) /
					       (wanted - least);
		state->needed = MIN(state->needed, state->wanted);
	}
}

static bool can_release(const bw_balance_pool_t *pools,
			const pool_state_t *states,
			const bw_balance_machine_t *machine)
{
	const pool_state_t *state = &states[machine->pool];

	if (!machine->up || machine->excluded || machine->lasting > 0)
		return false;
	if (!pools[machine->pool].standby && !machine->usable)
		return false;
	return pools[machine->pool].standby ||
	       (pools[machine->pool].report_fresh &&
		state->have > state->wanted);
}

/* Returns the next machine to move to a pool in need, or UINT32_MAX. */
static uint32_t pick_source(const bw_balance_pool_t *pools,
			    const pool_state_t *states,
			    const bw_balance_machine_t *machines,
			    uint32_t machine_count, const bool *used)
{
	uint32_t best = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < machine_count; i++) {
		const bw_balance_machine_t *machine = &machines[i];

		if (used[i] || !can_release(pools, states, machine))
			continue;
		/* Machines that are off first, then those with fewest tasks. */
		if (best == UINT32_MAX ||
		    pools[machine->pool].standby >
			    pools[machines[best].pool].standby ||
		    (pools[machine->pool].standby ==
			     pools[machines[best].pool].standby &&
		     machine->tasks < machines[best].tasks))
			best = i;
	}
	return best;
}

/* Returns the pool that lacks most machines, or UINT32_MAX. */
static uint32_t pick_pool_in_need(const bw_balance_pool_t *pools,
				  const pool_state_t *states,
				  uint32_t pool_count)
{
	uint32_t best = UINT32_MAX;
	uint32_t most = 0;
	uint32_t i;

	for (i = 0; i < pool_count; i++) {
		uint32_t lack;

		if (pools[i].standby || states[i].needed <= states[i].have)
			continue;
		lack = states[i].needed - states[i].have;
		if (lack > most) {
			most = lack;
			best = i;
		}
	}
	return best;
}

static uint32_t find_standby(const bw_balance_pool_t *pools,
			     uint32_t pool_count)
{
	uint32_t i;

	for (i = 0; i < pool_count; i++)
		if (pools[i].standby)
			return i;
	return UINT32_MAX;
}

/* Returns a machine that its pool does not need, or UINT32_MAX. */
static uint32_t pick_surplus(const bw_balance_pool_t *pools,
			     const pool_state_t *states,
			     const bw_balance_machine_t *machines,
			     uint32_t machine_count, const bool *used)
{
	uint32_t best = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < machine_count; i++) {
		const bw_balance_machine_t *machine = &machines[i];
		const pool_state_t *state = &states[machine->pool];

		if (used[i] || pools[machine->pool].standby ||
		    state->have <= MAX(state->wanted, state->kept) ||
		    !can_release(pools, states, machine))
			continue;
		if (best == UINT32_MAX || machine->tasks < machines[best].tasks)
			best = i;
	}
	return best;
}

/* Plans the move of a machine, or its cordon if it cannot move yet. */
static void plan_move(const bw_balance_machine_t *machines, uint32_t source,
		      uint32_t target, pool_state_t *states, bool *used,
		      bw_balance_action_t *action)
{
	used[source] = true;
	states[machines[source].pool].have--;
	action->kind =
		machines[source].movable ? BW_BALANCE_MOVE : BW_BALANCE_CORDON;
	action->machine = source;
	action->pool = target;
}

/* Moves machines that no pool needs to the standby pool, which is off. */
static uint32_t turn_off_surplus(const bw_balance_pool_t *pools,
				 uint32_t pool_count, pool_state_t *states,
				 const bw_balance_machine_t *machines,
				 uint32_t machine_count, bool *used,
				 bw_balance_action_t *actions)
{
	uint32_t standby = find_standby(pools, pool_count);
	uint32_t count = 0;

	while (standby != UINT32_MAX) {
		uint32_t source = pick_surplus(pools, states, machines,
					       machine_count, used);

		if (source == UINT32_MAX)
			break;
		plan_move(machines, source, standby, states, used,
			  &actions[count++]);
	}
	return count;
}

uint32_t bw_balance_decide(bw_balance_t *b, int64_t now_ms,
			   const bw_balance_pool_t *pools, uint32_t pool_count,
			   const bw_balance_machine_t *machines,
			   uint32_t machine_count, bw_balance_action_t *actions)
{
	pool_state_t *states = g_new0(pool_state_t, pool_count + 1);
	bool *used = g_new0(bool, machine_count + 1);
	uint32_t count = 0;
	uint32_t i;

	if (b->started_ms == 0)
		b->started_ms = now_ms;
	count_machines(machines, machine_count, states);
	for (i = 0; i < pool_count; i++)
		if (!pools[i].standby)
			update_wanted(b, now_ms, &pools[i], &states[i]);
	ration(pools, pool_count, states);
	while (now_ms - b->started_ms >= WARMUP_MS) {
		uint32_t target = pick_pool_in_need(pools, states, pool_count);
		uint32_t source;

		if (target == UINT32_MAX)
			break;
		source = pick_source(pools, states, machines, machine_count,
				     used);
		if (source == UINT32_MAX)
			break;
		plan_move(machines, source, target, states, used,
			  &actions[count++]);
		states[target].have++;
	}
	if (now_ms - b->started_ms >= WARMUP_MS)
		count += turn_off_surplus(pools, pool_count, states, machines,
					  machine_count, used, actions + count);
	g_free(used);
	g_free(states);
	return count;
}
