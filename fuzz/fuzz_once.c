/*
 * Stateful fuzzer of requests that may run only once: ownership under views,
 * claims and their results. Messages are delayed, duplicated and lost, entries
 * are paused and killed, the store is unreachable, and clocks differ.
 *
 * Oracle: a key is granted to at most one claim, and a key whose claimant
 * reported "not run" is never granted afterwards.
 */
#include <string.h>

#include <glib.h>

#include "member/view.h"
#include "once/once.h"
#include "place/share.h"
#include "world.h"

#define ENTRIES	     4
#define KEYS	     64
#define SKEW_MS	     50
#define WINDOW_MS    600000
#define LEASE_US     2000000
#define PROMISE_US   2000000
#define HEARTBEAT_US 200000
#define MESSAGES_MAX 256

typedef enum message_kind { KIND_ONCE, KIND_HEARTBEAT } message_kind_t;

/** A message in transit. */
typedef struct message {
	message_kind_t kind;
	uint32_t from;
	uint32_t to;
	bw_once_msg_t once;
	bw_view_heartbeat_t heartbeat;
} message_t;

typedef struct entry {
	struct world *world;
	bw_once_t *once;
	bw_view_t *view;
	bool alive;
	bool paused;
	int64_t skew_ms; /**< Added to its time of day. */
	bool store_cut; /**< It can't reach the store, though others may. */
	int64_t lease_expiry_us; /**< Expiry of its lease in the store. */
	bool registered; /**< It has had a lease in the store. */
	uint64_t active_epoch;
} entry_t;

typedef struct key {
	bool used;
	uint64_t id;
	int64_t issued_ms;
	uint32_t grants;
	bool not_run; /**< The claimant reports "not run". */
	uint64_t claim; /**< The granted claim. */
	uint32_t claimant;
	bool finished; /**< The claimant has sent the result. */
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
	GPtrArray *messages;
	choices_t choices;
} world_t;

static const char *const names[ENTRIES] = { "a", "b", "c", "d" };

static int64_t wall_clock_ms(const world_t *w, uint32_t i)
{
	return w->now_us / 1000 + w->entries[i].skew_ms;
}

static void send_message(world_t *w, const message_t *message)
{
	if (w->messages->len < MESSAGES_MAX)
		g_ptr_array_add(w->messages,
				g_memdup2(message, sizeof(*message)));
}

static void check_verdict(world_t *w, uint32_t to, const bw_once_msg_t *msg)
{
	uint32_t k;

	for (k = 0; k < KEYS; k++) {
		once_key_t *key = &w->keys[k];

		if (!key->used || key->id != msg->key)
			continue;
		if (msg->verdict == BW_ONCE_NOT_RUN)
			FUZZ_ASSERT(key->not_run,
				    "a claimant reported not run");
		if (msg->verdict != BW_ONCE_GRANTED ||
		    (key->grants == 1 && key->claim == msg->claim))
			return;
		FUZZ_ASSERT(key->grants == 0, "a key is granted once");
		FUZZ_ASSERT(!key->not_run, "a key reported not run never runs");
		key->grants++;
		key->claim = msg->claim;
		key->claimant = to;
	}
}

/* Grants are checked when sent, since their messages may arrive late. */
static void on_verdict(void *ctx, uint64_t claimant, const bw_once_msg_t *msg)
{
	entry_t *e = ctx;
	world_t *w = e->world;
	message_t message = { .kind = KIND_ONCE,
			      .from = (uint32_t)(e - w->entries),
			      .once = *msg };
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (bw_name_id(names[i]) == claimant)
			message.to = i;
	message.once.answer = NULL;
	check_verdict(w, message.to, msg);
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

static void adopt_view(world_t *w, uint32_t i)
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
	       w->now_us < w->entries[i].lease_expiry_us;
}

/* Renews the lease, reads the view and lease keys, and may write a view. */
static void sync_with_store(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	uint32_t excluded_count;
	uint32_t count;
	uint32_t k;

	if (!w->store_up || e->store_cut) {
		bw_view_set_store_current(e->view, false);
		return;
	}
	e->registered = true;
	e->lease_expiry_us = w->now_us + LEASE_US;
	adopt_view(w, i);
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
	adopt_view(w, i);
}

static void send_heartbeats(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	uint32_t k;

	for (k = 0; k < ENTRIES; k++) {
		message_t message = { .kind = KIND_HEARTBEAT,
				      .from = i,
				      .to = k };

		if (k == i)
			continue;
		bw_view_make_heartbeat(e->view, bw_name_id(names[k]), w->now_us,
				       &message.heartbeat);
		send_message(w, &message);
	}
	if (bw_view_active(e->view) &&
	    e->active_epoch != bw_view_epoch(e->view)) {
		e->active_epoch = bw_view_epoch(e->view);
		bw_once_activate(e->once, e->active_epoch, wall_clock_ms(w, i));
	}
	bw_once_tick(e->once, wall_clock_ms(w, i));
}

static void deliver_at(world_t *w, uint32_t at)
{
	message_t *message;
	entry_t *e;

	if (w->messages->len == 0)
		return;
	/* Messages arrive in order per link, and in any order across links. */
	message = g_ptr_array_index(w->messages, at % w->messages->len);
	for (at = 0; at < w->messages->len; at++) {
		message_t *first = g_ptr_array_index(w->messages, at);

		if (first->from == message->from && first->to == message->to)
			break;
	}
	message = g_ptr_array_index(w->messages, at);
	e = &w->entries[message->to];
	if (e->paused)
		return;
	g_ptr_array_steal_index(w->messages, at);
	if (e->alive && message->kind == KIND_HEARTBEAT)
		bw_view_handle_heartbeat(e->view,
					 bw_name_id(names[message->from]),
					 &message->heartbeat, w->now_us);
	else if (e->alive && message->once.type == BW_ONCE_MSG_CLAIM)
		bw_once_claim(e->once, bw_name_id(names[message->from]),
			      &message->once,
			      !bw_view_owner_valid(e->view, w->now_us),
			      wall_clock_ms(w, message->to));
	else if (e->alive)
		bw_once_result(e->once, bw_name_id(names[message->from]),
			       &message->once, wall_clock_ms(w, message->to));
	g_free(message);
}

static void deliver_random(world_t *w)
{
	deliver_at(w, choose(&w->choices, 255));
}

/* Delivers all messages that can be delivered, in the order of sending. */
static void deliver_all(world_t *w)
{
	uint32_t rounds;

	for (rounds = w->messages->len; rounds > 0; rounds--)
		deliver_at(w, 0);
}

static void issue_key(world_t *w)
{
	once_key_t *key = &w->keys[w->next_key++ % KEYS];

	memset(key, 0, sizeof(*key));
	key->used = true;
	key->id = bw_name_id("k") + w->next_key * 7919;
	/* The issuer's clock may be ahead, too. */
	key->issued_ms = w->now_us / 1000 + choose(&w->choices, SKEW_MS);
}

static void claim(world_t *w, uint32_t i, const once_key_t *key)
{
	entry_t *e = &w->entries[i];
	message_t message = { .kind = KIND_ONCE, .from = i };
	uint64_t owner;
	uint32_t k;

	owner = bw_once_owner(e->once, key->id);
	if (!key->used || owner == 0)
		return;
	message.once.type = BW_ONCE_MSG_CLAIM;
	message.once.key = key->id;
	message.once.key_check = key->id;
	message.once.claim = ++w->next_claim;
	message.once.issued_ms = key->issued_ms;
	for (k = 0; k < ENTRIES; k++)
		if (bw_name_id(names[k]) == owner)
			message.to = k;
	send_message(w, &message);
	if (choose(&w->choices, 8) == 0)
		send_message(w, &message);
}

static void claim_random_key(world_t *w, uint32_t i)
{
	if (!w->entries[i].paused)
		claim(w, i, &w->keys[choose(&w->choices, KEYS)]);
}

/* Sends the same key through several entries at once, as callers may do. */
static void claim_everywhere(world_t *w)
{
	const once_key_t *key;
	uint32_t i;

	issue_key(w);
	key = &w->keys[(w->next_key - 1) % KEYS];
	for (i = 0; i < ENTRIES; i++)
		if (!w->entries[i].paused && choose(&w->choices, 4))
			claim(w, i, key);
	if (choose(&w->choices, 2))
		deliver_all(w);
}

static void finish_claim(world_t *w)
{
	once_key_t *key = &w->keys[choose(&w->choices, KEYS)];
	message_t message = { .kind = KIND_ONCE, .from = key->claimant };

	if (key->grants == 0 || key->finished)
		return;
	key->finished = true;
	key->not_run = choose(&w->choices, 2);
	message.once.type = BW_ONCE_MSG_RESULT;
	message.once.key = key->id;
	message.once.claim = key->claim;
	message.once.result =
		key->not_run ? BW_ONCE_RESULT_NOT_RUN : BW_ONCE_RESULT_ANSWERED;
	message.to = choose(&w->choices, ENTRIES);
	send_message(w, &message);
}

static void kill_entry(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];

	int64_t lease_expiry_us = e->lease_expiry_us;

	bw_once_destroy(e->once);
	bw_view_destroy(e->view);
	start_entry(w, i);
	/* The lease of the killed entry stays in the store until it expires. */
	e->registered = true;
	e->lease_expiry_us = lease_expiry_us;
}

static void advance(world_t *w, int64_t us)
{
	uint32_t i;

	while (us > 0) {
		w->now_us += HEARTBEAT_US;
		us -= HEARTBEAT_US;
		for (i = 0; i < ENTRIES; i++) {
			if (w->entries[i].paused)
				continue;
			sync_with_store(w, i);
			send_heartbeats(w, i);
		}
		if (choose(&w->choices, 4))
			deliver_all(w);
	}
}

static void toggle_store_access(world_t *w, uint32_t i)
{
	if (choose(&w->choices, 4) == 0)
		w->store_up = !w->store_up;
	else
		w->entries[i].store_cut = !w->entries[i].store_cut;
}

static void step(world_t *w)
{
	uint32_t action = choose(&w->choices, 32);
	uint32_t i = choose(&w->choices, ENTRIES);

	if (action < 6)
		claim_everywhere(w);
	else if (action < 10)
		claim_random_key(w, i);
	else if (action < 12)
		finish_claim(w);
	else if (action < 24)
		deliver_random(w);
	else if (action < 27)
		advance(w,
			(int64_t)(choose(&w->choices, 4) + 1) * HEARTBEAT_US);
	else if (action == 27)
		toggle_store_access(w, i);
	else if (action == 28)
		w->entries[i].paused = !w->entries[i].paused;
	else if (action == 29 && choose(&w->choices, 4) == 0)
		kill_entry(w, i);
	else if (action == 30)
		advance(w, (int64_t)3000000);
	else
		deliver_all(w);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *w = g_new0(world_t, 1);
	uint32_t i;

	w->choices.data = data;
	w->choices.left = size;
	w->now_us = (int64_t)1000000 * 1000000;
	w->store_up = true;
	w->messages = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < ENTRIES; i++)
		start_entry(w, i);
	advance(w, HEARTBEAT_US);
	while (w->choices.left > 0)
		step(w);
	for (i = 0; i < ENTRIES; i++) {
		bw_once_destroy(w->entries[i].once);
		bw_view_destroy(w->entries[i].view);
	}
	g_ptr_array_free(w->messages, TRUE);
	g_free(w);
	return 0;
}
