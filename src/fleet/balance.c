#include "fleet/balance.h"

#include <string.h>

#include <glib.h>

/** Room wanted over what is asked at present. */
#define HEADROOM 1.15
/** Machines that a pool keeps beyond that. */
#define SPARE_MACHINES 1
/** A pool keeps at least so many machines. */
#define MACHINES_MIN 3
/** Of the machines that it had when first seen, a pool keeps such a share. */
#define KEPT_SHARE 0.6
/** A pool that needs fewer machines keeps them for so long. */
#define RELEASE_MS 1500
/** After its start the load is watched for so long before a move. */
#define WATCH_MS 500

/** What is remembered of a pool. */
typedef struct memory {
	uint32_t wanted; /**< Machines, with the delay of releases. */
	int64_t wanted_ms; /**< When so many were last needed. */
	uint32_t given; /**< Machines that it had when first seen. */
	bw_balance_state_t last; /**< At the last decision. */
} memory_t;

/** A pool in one decision. */
typedef struct state {
	uint32_t listed; /**< Machines, usable or not. */
	uint32_t have; /**< Usable machines, or those that soon are. */
	int64_t room_millis; /**< Of all of them. */
	uint32_t needed; /**< At present. */
	uint32_t wanted;
	uint32_t kept; /**< Machines that are not turned off. */
} state_t;

struct bw_balance {
	GHashTable *memories; /**< Pool to memory_t. */
	int64_t started_ms;
};

bw_balance_t *bw_balance_create(void)
{
	bw_balance_t *b = g_new0(bw_balance_t, 1);

	b->memories =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void bw_balance_destroy(bw_balance_t *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->memories);
	g_free(b);
}

static memory_t *memory_of(bw_balance_t *b, const char *pool)
{
	memory_t *memory = g_hash_table_lookup(b->memories, pool);

	if (!memory) {
		memory = g_new0(memory_t, 1);
		g_hash_table_insert(b->memories, g_strdup(pool), memory);
	}
	return memory;
}

/* Machines that would carry what a pool runs and could start, or what comes. */
static uint32_t needed(const bw_balance_pool_t *pool, const state_t *state)
{
	const bw_pool_demand_t *demand = &pool->demand;
	int64_t present = demand->used_millis + demand->waiting_millis;
	int64_t coming = demand->lasting_millis + demand->offered_millis;
	double asked = (double)MAX(present, coming) * HEADROOM;
	double each;

	if (state->have == 0 || state->room_millis == 0)
		return asked > 0.0 ? MACHINES_MIN : 0;
	each = (double)state->room_millis / state->have;
	return MAX((uint32_t)(asked / each) + SPARE_MACHINES, MACHINES_MIN);
}

static void count_machines(const bw_balance_machine_t *machines,
			   uint32_t machine_count, state_t *states)
{
	uint32_t i;

	for (i = 0; i < machine_count; i++) {
		states[machines[i].pool].listed++;
		if (!machines[i].usable)
			continue;
		states[machines[i].pool].have++;
		states[machines[i].pool].room_millis += machines[i].room_millis;
	}
}

static void set_wanted(bw_balance_t *b, int64_t now_ms,
		       const bw_balance_pool_t *pool, state_t *state)
{
	memory_t *memory = memory_of(b, pool->name);

	if (!pool->known) {
		state->wanted = state->have;
		state->needed = state->have;
		state->kept = state->have;
		return;
	}
	state->needed = needed(pool, state);
	if (state->needed >= memory->wanted ||
	    now_ms - memory->wanted_ms > RELEASE_MS) {
		memory->wanted = state->needed;
		memory->wanted_ms = now_ms;
	}
	if (memory->given == 0)
		memory->given = state->listed;
	state->kept = (uint32_t)(memory->given * KEPT_SHARE);
	state->wanted = memory->wanted;
	memory->last.have = state->have;
	memory->last.needed = state->needed;
	memory->last.wanted = state->wanted;
}

bw_balance_state_t bw_balance_state(const bw_balance_t *b, const char *pool)
{
	const memory_t *memory = g_hash_table_lookup(b->memories, pool);

	return memory ? memory->last : (bw_balance_state_t){ 0 };
}

/* Divides the machines there are by need, when pools want more than all. */
static void ration(const bw_balance_pool_t *pools, uint32_t pool_count,
		   state_t *states)
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
		state_t *state = &states[i];
		uint32_t base = MIN(state->wanted, MACHINES_MIN);

		if (pools[i].standby)
			continue;
		state->wanted = base + (state->wanted - base) *
					       (total - least) /
					       (wanted - least);
		state->needed = MIN(state->needed, state->wanted);
	}
}

static bool could_give(const bw_balance_pool_t *pools, const state_t *states,
		       const bw_balance_machine_t *machine)
{
	const state_t *state = &states[machine->pool];

	if (!machine->up || machine->held || machine->lasting > 0)
		return false;
	if (!pools[machine->pool].standby && !machine->usable)
		return false;
	return pools[machine->pool].standby ||
	       (pools[machine->pool].known && state->have > state->wanted);
}

/* Machine that a pool in need takes next; UINT32_MAX if there is none. */
static uint32_t pick_giver(const bw_balance_pool_t *pools,
			   const state_t *states,
			   const bw_balance_machine_t *machines,
			   uint32_t machine_count, const bool *used)
{
	uint32_t best = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < machine_count; i++) {
		const bw_balance_machine_t *machine = &machines[i];

		if (used[i] || !could_give(pools, states, machine))
			continue;
		/* Machines that are off come first, then the emptiest. */
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

/* Pool that lacks most machines; UINT32_MAX if none lacks any. */
static uint32_t pick_taker(const bw_balance_pool_t *pools,
			   const state_t *states, uint32_t pool_count)
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

/* A machine that its pool does not need; UINT32_MAX if there is none. */
static uint32_t pick_surplus(const bw_balance_pool_t *pools,
			     const state_t *states,
			     const bw_balance_machine_t *machines,
			     uint32_t machine_count, const bool *used)
{
	uint32_t best = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < machine_count; i++) {
		const bw_balance_machine_t *machine = &machines[i];
		const state_t *state = &states[machine->pool];

		if (used[i] || pools[machine->pool].standby ||
		    state->have <= MAX(state->wanted, state->kept) ||
		    !could_give(pools, states, machine))
			continue;
		if (best == UINT32_MAX || machine->tasks < machines[best].tasks)
			best = i;
	}
	return best;
}

/* Takes a machine from its pool; it is emptied first if it has to be. */
static void give(const bw_balance_machine_t *machines, uint32_t giver,
		 uint32_t taker, state_t *states, bool *used,
		 bw_balance_action_t *action)
{
	used[giver] = true;
	states[machines[giver].pool].have--;
	action->kind =
		machines[giver].free ? BW_BALANCE_MOVE : BW_BALANCE_EMPTY;
	action->machine = giver;
	action->pool = taker;
}

/* Turns machines off that no pool needs. */
static uint32_t park(const bw_balance_pool_t *pools, uint32_t pool_count,
		     state_t *states, const bw_balance_machine_t *machines,
		     uint32_t machine_count, bool *used,
		     bw_balance_action_t *actions)
{
	uint32_t standby = find_standby(pools, pool_count);
	uint32_t count = 0;

	while (standby != UINT32_MAX) {
		uint32_t giver = pick_surplus(pools, states, machines,
					      machine_count, used);

		if (giver == UINT32_MAX)
			break;
		give(machines, giver, standby, states, used, &actions[count++]);
	}
	return count;
}

uint32_t bw_balance_decide(bw_balance_t *b, int64_t now_ms,
			   const bw_balance_pool_t *pools, uint32_t pool_count,
			   const bw_balance_machine_t *machines,
			   uint32_t machine_count, bw_balance_action_t *actions)
{
	state_t *states = g_new0(state_t, pool_count + 1);
	bool *used = g_new0(bool, machine_count + 1);
	uint32_t count = 0;
	uint32_t i;

	if (b->started_ms == 0)
		b->started_ms = now_ms;
	count_machines(machines, machine_count, states);
	for (i = 0; i < pool_count; i++)
		if (!pools[i].standby)
			set_wanted(b, now_ms, &pools[i], &states[i]);
	ration(pools, pool_count, states);
	while (now_ms - b->started_ms >= WATCH_MS) {
		uint32_t taker = pick_taker(pools, states, pool_count);
		uint32_t giver;

		if (taker == UINT32_MAX)
			break;
		giver = pick_giver(pools, states, machines, machine_count,
				   used);
		if (giver == UINT32_MAX)
			break;
		give(machines, giver, taker, states, used, &actions[count++]);
		states[taker].have++;
	}
	if (now_ms - b->started_ms >= WATCH_MS)
		count += park(pools, pool_count, states, machines,
			      machine_count, used, actions + count);
	g_free(used);
	g_free(states);
	return count;
}
