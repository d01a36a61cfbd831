/*
 * Stateful fuzzer of non-repeatable requests: ownership under views, claims and
 * their results, with messages delayed, doubled and lost, entries paused and
 * killed, the store out of reach, and clocks that differ.
 *
 * Oracle: a key is granted to at most one claim, and a key whose claimant said
 * "not run" is granted to no claim afterwards.
 */
#include <string.h>

#include <glib.h>

#include "member/view.h"
#include "once/once.h"
#include "place/share.h"
#include "world.h"

#define ENTRIES	   4
#define KEYS	   64
#define SKEW_MS	   50
#define WINDOW_MS  600000
#define LEASE_US   2000000
#define PROMISE_US 2000000
#define BEAT_US	   200000
#define PENDING	   256

typedef enum kind { KIND_ONCE, KIND_BEAT } kind_t;

/** A message on its way. */
typedef struct parcel {
	kind_t kind;
	uint32_t from;
	uint32_t to;
	bw_once_msg_t once;
	bw_view_heartbeat_t beat;
} parcel_t;

typedef struct entry {
	struct world *world;
	bw_once_t *once;
	bw_view_t *view;
	bool alive;
	bool paused;
	int64_t skew_ms; /**< Of its time of day. */
	bool cut; /**< Can't reach the store, which others may. */
	int64_t lease_until_us; /**< At the store. */
	bool registered;
	uint64_t active_epoch;
} entry_t;

typedef struct key {
	bool used;
	uint64_t id;
	int64_t issued_ms;
	uint32_t grants;
	bool not_run;
	uint64_t claim; /**< Of the grant. */
	uint32_t claimant;
	bool settled;
} once_key_t;

typedef struct world {
	int64_t now_us;
	bool store_up;
	uint64_t store_epoch;
	bool store_member[ENTRIES];
	entry_t entries[ENTRIES];
	once_key_t keys[KEYS];
	uint32_t next_key;
	uint64_t next_claim;
	GPtrArray *parcels;
	choices_t choices;
} world_t;

static const char *const names[ENTRIES] = { "a", "b", "c", "d" };

static int64_t wall_ms(const world_t *w, uint32_t i)
{
	return w->now_us / 1000 + w->entries[i].skew_ms;
}

static void post(world_t *w, const parcel_t *parcel)
{
	if (w->parcels->len < PENDING)
		g_ptr_array_add(w->parcels, g_memdup2(parcel, sizeof(*parcel)));
}

static void take_verdict(world_t *w, uint32_t to, const bw_once_msg_t *msg)
{
	uint32_t k;

	for (k = 0; k < KEYS; k++) {
		once_key_t *key = &w->keys[k];

		if (!key->used || key->id != msg->key)
			continue;
		if (msg->verdict == BW_ONCE_NOT_RUN)
			FUZZ_ASSERT(key->not_run,
				    "not run was said by a claimant");
		if (msg->verdict != BW_ONCE_GRANTED ||
		    (key->grants == 1 && key->claim == msg->claim))
			return;
		FUZZ_ASSERT(key->grants == 0, "a key is granted once");
		FUZZ_ASSERT(!key->not_run, "a key told not run never runs");
		key->grants++;
		key->claim = msg->claim;
		key->claimant = to;
	}
}

/* A grant counts when it is given, since its message may only be late. */
static void on_verdict(void *ctx, uint64_t claimant, const bw_once_msg_t *msg)
{
	entry_t *e = ctx;
	world_t *w = e->world;
	parcel_t parcel = { .kind = KIND_ONCE,
			    .from = (uint32_t)(e - w->entries),
			    .once = *msg };
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (bw_name_id(names[i]) == claimant)
			parcel.to = i;
	parcel.once.answer = NULL;
	take_verdict(w, parcel.to, msg);
}

static void start_entry(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	bw_once_config_t once = { .self = bw_name_id(names[i]),
				  .key_window_ms = WINDOW_MS,
				  .clock_skew_ms = SKEW_MS,
				  .answer_memory_bytes = 1000 };
	bw_view_config_t view = { .name = names[i],
				  .address = names[i],
				  .lease_us = LEASE_US,
				  .promise_us = PROMISE_US,
				  .store_outage_max_us =
					  (int64_t)3600 * 1000000 };

	memset(e, 0, sizeof(*e));
	e->world = w;
	e->alive = true;
	e->skew_ms = (int64_t)i * SKEW_MS / ENTRIES;
	e->once = bw_once_create(&once, on_verdict, e);
	e->view = bw_view_create(&view);
}

static void adopt(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	bw_member_t members[ENTRIES];
	uint64_t ids[ENTRIES];
	uint32_t count = 0;
	uint32_t k;

	for (k = 0; k < ENTRIES; k++)
		if (w->store_member[k]) {
			members[count].name = (char *)names[k];
			members[count].address = (char *)names[k];
			ids[count++] = bw_name_id(names[k]);
		}
	if (count > 0 &&
	    bw_view_adopt(e->view, w->store_epoch, members, count, w->now_us))
		bw_once_set_view(e->once, w->store_epoch, ids, count);
}

static bool registered(const world_t *w, uint32_t i)
{
	return w->entries[i].registered &&
	       w->now_us < w->entries[i].lease_until_us;
}

/* What an entry does when it reaches the store. */
static void talk_to_store(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	uint32_t excluded_count;
	uint32_t count;
	uint32_t k;

	if (!w->store_up || e->cut) {
		bw_view_set_store_current(e->view, false);
		return;
	}
	e->registered = true;
	e->lease_until_us = w->now_us + LEASE_US;
	adopt(w, i);
	for (k = 0; k < ENTRIES; k++)
		if (k != i)
			bw_view_set_lease_present(e->view, names[k],
						  registered(w, k));
	bw_view_set_store_current(e->view, true);
	bw_view_lease_renewed(e->view, w->now_us);
	count = bw_view_propose(e->view, w->now_us, members, excluded,
				&excluded_count);
	if (count == 0)
		return;
	memset(w->store_member, 0, sizeof(w->store_member));
	for (k = 0; k < count; k++)
		w->store_member[members[k].name[0] - 'a'] = true;
	w->store_epoch++;
	adopt(w, i);
}

static void beat(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	uint32_t k;

	for (k = 0; k < ENTRIES; k++) {
		parcel_t parcel = { .kind = KIND_BEAT, .from = i, .to = k };

		if (k == i)
			continue;
		bw_view_make_heartbeat(e->view, bw_name_id(names[k]), w->now_us,
				       &parcel.beat);
		post(w, &parcel);
	}
	if (bw_view_active(e->view) &&
	    e->active_epoch != bw_view_epoch(e->view)) {
		e->active_epoch = bw_view_epoch(e->view);
		bw_once_activate(e->once, e->active_epoch, wall_ms(w, i));
	}
	bw_once_tick(e->once, wall_ms(w, i));
}

static void deliver_at(world_t *w, uint32_t at)
{
	parcel_t *parcel;
	entry_t *e;

	if (w->parcels->len == 0)
		return;
	/* Messages of one link come in order, those of others in any. */
	parcel = g_ptr_array_index(w->parcels, at % w->parcels->len);
	for (at = 0; at < w->parcels->len; at++) {
		parcel_t *first = g_ptr_array_index(w->parcels, at);

		if (first->from == parcel->from && first->to == parcel->to)
			break;
	}
	parcel = g_ptr_array_index(w->parcels, at);
	e = &w->entries[parcel->to];
	if (e->paused)
		return;
	g_ptr_array_steal_index(w->parcels, at);
	if (e->alive && parcel->kind == KIND_BEAT)
		bw_view_handle_heartbeat(e->view,
					 bw_name_id(names[parcel->from]),
					 &parcel->beat, w->now_us);
	else if (e->alive && parcel->once.type == BW_ONCE_MSG_CLAIM)
		bw_once_claim(e->once, bw_name_id(names[parcel->from]),
			      &parcel->once,
			      !bw_view_owner_valid(e->view, w->now_us),
			      wall_ms(w, parcel->to));
	else if (e->alive)
		bw_once_result(e->once, bw_name_id(names[parcel->from]),
			       &parcel->once, wall_ms(w, parcel->to));
	g_free(parcel);
}

static void deliver(world_t *w)
{
	deliver_at(w, choose(&w->choices, 255));
}

/* Delivers what can be delivered, in the order in which it was sent. */
static void drain(world_t *w)
{
	uint32_t rounds;

	for (rounds = w->parcels->len; rounds > 0; rounds--)
		deliver_at(w, 0);
}

static void issue(world_t *w)
{
	once_key_t *key = &w->keys[w->next_key++ % KEYS];

	memset(key, 0, sizeof(*key));
	key->used = true;
	key->id = bw_name_id("k") + w->next_key * 7919;
	/* The issuer's clock differs too. */
	key->issued_ms = w->now_us / 1000 + choose(&w->choices, SKEW_MS);
}

static void claim(world_t *w, uint32_t i, const once_key_t *key)
{
	entry_t *e = &w->entries[i];
	parcel_t parcel = { .kind = KIND_ONCE, .from = i };
	uint64_t owner;
	uint32_t k;

	owner = bw_once_owner(e->once, key->id);
	if (!key->used || owner == 0)
		return;
	parcel.once.type = BW_ONCE_MSG_CLAIM;
	parcel.once.key = key->id;
	parcel.once.key_check = key->id;
	parcel.once.claim = ++w->next_claim;
	parcel.once.issued_ms = key->issued_ms;
	for (k = 0; k < ENTRIES; k++)
		if (bw_name_id(names[k]) == owner)
			parcel.to = k;
	post(w, &parcel);
	if (choose(&w->choices, 8) == 0)
		post(w, &parcel);
}

static void claim_any(world_t *w, uint32_t i)
{
	if (!w->entries[i].paused)
		claim(w, i, &w->keys[choose(&w->choices, KEYS)]);
}

/* A caller's devices ask through several entries at once. */
static void claim_everywhere(world_t *w)
{
	const once_key_t *key;
	uint32_t i;

	issue(w);
	key = &w->keys[(w->next_key - 1) % KEYS];
	for (i = 0; i < ENTRIES; i++)
		if (!w->entries[i].paused && choose(&w->choices, 4))
			claim(w, i, key);
	if (choose(&w->choices, 2))
		drain(w);
}

static void settle(world_t *w)
{
	once_key_t *key = &w->keys[choose(&w->choices, KEYS)];
	parcel_t parcel = { .kind = KIND_ONCE, .from = key->claimant };

	if (key->grants == 0 || key->settled)
		return;
	key->settled = true;
	key->not_run = choose(&w->choices, 2);
	parcel.once.type = BW_ONCE_MSG_RESULT;
	parcel.once.key = key->id;
	parcel.once.claim = key->claim;
	parcel.once.result =
		key->not_run ? BW_ONCE_RESULT_NOT_RUN : BW_ONCE_RESULT_ANSWERED;
	parcel.to = choose(&w->choices, ENTRIES);
	post(w, &parcel);
}

static void kill_entry(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];

	int64_t lease_until_us = e->lease_until_us;

	bw_once_destroy(e->once);
	bw_view_destroy(e->view);
	start_entry(w, i);
	/* Its lease in the store goes on until it lapses. */
	e->registered = true;
	e->lease_until_us = lease_until_us;
}

static void advance(world_t *w, int64_t us)
{
	uint32_t i;

	while (us > 0) {
		w->now_us += BEAT_US;
		us -= BEAT_US;
		for (i = 0; i < ENTRIES; i++) {
			if (w->entries[i].paused)
				continue;
			talk_to_store(w, i);
			beat(w, i);
		}
		if (choose(&w->choices, 4))
			drain(w);
	}
}

static void cut_or_mend(world_t *w, uint32_t i)
{
	if (choose(&w->choices, 4) == 0)
		w->store_up = !w->store_up;
	else
		w->entries[i].cut = !w->entries[i].cut;
}

static void step(world_t *w)
{
	uint32_t what = choose(&w->choices, 32);
	uint32_t i = choose(&w->choices, ENTRIES);

	if (what < 6)
		claim_everywhere(w);
	else if (what < 10)
		claim_any(w, i);
	else if (what < 12)
		settle(w);
	else if (what < 24)
		deliver(w);
	else if (what < 27)
		advance(w, (int64_t)(choose(&w->choices, 4) + 1) * BEAT_US);
	else if (what == 27)
		cut_or_mend(w, i);
	else if (what == 28)
		w->entries[i].paused = !w->entries[i].paused;
	else if (what == 29 && choose(&w->choices, 4) == 0)
		kill_entry(w, i);
	else if (what == 30)
		advance(w, (int64_t)3000000);
	else
		drain(w);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *w = g_new0(world_t, 1);
	uint32_t i;

	w->choices.data = data;
	w->choices.left = size;
	w->now_us = (int64_t)1000000 * 1000000;
	w->store_up = true;
	w->parcels = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < ENTRIES; i++)
		start_entry(w, i);
	advance(w, BEAT_US);
	while (w->choices.left > 0)
		step(w);
	for (i = 0; i < ENTRIES; i++) {
		bw_once_destroy(w->entries[i].once);
		bw_view_destroy(w->entries[i].view);
	}
	g_ptr_array_free(w->parcels, TRUE);
	g_free(w);
	return 0;
}
