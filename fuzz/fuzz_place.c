/*
 * Stateful fuzzer of the placements of several entries: routing, limits and
 * slots lent between them. Messages are delayed and lost, entries paused and
 * killed, and views and worker states changed.
 *
 * Oracle: a worker never runs more requests than it has slots, a leaving or
 * removed worker gets no new request from an entry that has this configuration,
 * a cell's limit holds over all entries, each request ends once, and no slot
 * stays lent once the faults are over and the requests have ended.
 */
#include <string.h>

#include <glib.h>

#include "place/place.h"
#include "place/share.h"
#include "world.h"

#define ENTRIES	   4
#define WORKERS	   3
#define REQUESTS   200
#define STALL_US   1000000
#define RUN_MAX_US 10000000
#define LIMIT	   3

typedef struct request {
	bw_place_request_t place_request;
	uint32_t entry;
	int worker; /**< Worker that still runs it, or -1. */
	bool used;
	bool running; /**< According to its entry. */
	int64_t ends_us; /**< When the worker completes it. */
} request_t;

typedef struct entry {
	struct world *world;
	bw_place_t *place;
	bw_counters_t counters;
	uint64_t id;
	uint64_t epoch; /**< View that it uses. */
	bool alive;
	bool paused;
	int64_t paused_us;
	bool leaving_configured[WORKERS];
} entry_t;

/** Messages in transit, and sides that have not noticed a break yet. */
typedef struct link {
	GQueue *queue[2];
	bool up;
	bool break_unreported[2];
} link_t;

typedef struct world {
	int64_t now_us;
	entry_t entries[ENTRIES];
	link_t links[ENTRIES][ENTRIES]; /**< Used for i < j. */
	request_t requests[REQUESTS];
	bool leaving[WORKERS];
	uint64_t epoch;
	bool member[ENTRIES];
	choices_t choices;
} world_t;

static const char *const entry_names[ENTRIES] = { "a", "b", "c", "d" };

static const char table_text[] =
	"{\"pools\":[{\"name\":\"p\"},{\"name\":\"q\"}],\"services\":["
	"{\"name\":\"s\",\"prefix\":\"/s/\"},"
	"{\"name\":\"t\",\"prefix\":\"/t/\",\"class\":\"deferrable\"}],"
	"\"cells\":[{\"service\":\"s\",\"pool\":\"p\",\"weight\":10},"
	"{\"service\":\"s\",\"pool\":\"q\",\"spill\":5,\"limit\":3},"
	"{\"service\":\"t\",\"pool\":\"q\",\"weight\":10}]}";

static const uint32_t worker_slots[WORKERS] = { 3, 8, 2 };
static const char *const worker_pools[WORKERS] = { "p", "q", "q" };

static link_t *link_of(world_t *w, uint32_t i, uint32_t j)
{
	return i < j ? &w->links[i][j] : &w->links[j][i];
}

static void check_worker(world_t *w, int worker)
{
	uint32_t running = 0;
	uint32_t i;

	for (i = 0; i < REQUESTS; i++)
		if (w->requests[i].worker == worker)
			running++;
	FUZZ_ASSERT(running <= worker_slots[worker],
		    "a worker runs no more requests than it has slots");
}

static void check_limit(world_t *w)
{
	uint32_t running = 0;
	uint32_t i;

	for (i = 0; i < REQUESTS; i++) {
		const request_t *r = &w->requests[i];

		if (r->running && r->place_request.service == 0 &&
		    r->worker > 0)
			running++;
	}
	FUZZ_ASSERT(running <= LIMIT,
		    "the limit of a cell holds over all entries");
}

static void on_start(void *ctx, bw_place_request_t *place_request)
{
	entry_t *e = ctx;
	world_t *w = e->world;
	request_t *r = (request_t *)place_request;
	const char *name =
		bw_place_worker_name(e->place, place_request->worker);
	int64_t left_us = place_request->deadline_us - w->now_us;

	FUZZ_ASSERT(r->used && !r->running, "a request starts once");
	r->worker = name[1] - '0';
	r->running = true;
	r->ends_us = w->now_us + left_us * (choose(&w->choices, 4) + 1) / 4;
	FUZZ_ASSERT(!e->leaving_configured[r->worker],
		    "a leaving worker gets no request");
	check_worker(w, r->worker);
	check_limit(w);
}

static void on_refuse(void *ctx, bw_place_request_t *place_request,
		      bw_refusal_t why, int64_t retry_after_us)
{
	request_t *r = (request_t *)place_request;

	(void)ctx;
	(void)why;
	(void)retry_after_us;
	FUZZ_ASSERT(r->used && !r->running, "a refused request never ran");
	r->used = false;
}

static void on_send(void *ctx, uint64_t peer, const bw_place_msg_t *msg)
{
	entry_t *e = ctx;
	world_t *w = e->world;
	uint32_t from = (uint32_t)(e - w->entries);
	uint32_t to;

	for (to = 0; to < ENTRIES; to++)
		if (w->entries[to].id == peer && to != from) {
			link_t *link = link_of(w, from, to);

			if (link->up)
				g_queue_push_tail(link->queue[from < to],
						  g_memdup2(msg, sizeof(*msg)));
		}
}

static const bw_place_ops_t ops = { .start = on_start,
				    .refuse = on_refuse,
				    .send = on_send };

static void configure(world_t *w, entry_t *e)
{
	static bw_table_t *table;
	bw_findings_t *f = bw_findings_create("fuzz");
	bw_workers_t list = { .count = WORKERS };
	bw_worker_t items[WORKERS];
	char names[WORKERS][4];
	uint32_t i;

	if (!table)
		table = bw_table_parse(table_text, strlen(table_text), f);
	memset(items, 0, sizeof(items));
	for (i = 0; i < WORKERS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "w%u", i);
		items[i].name = names[i];
		items[i].address = (char *)"127.0.0.1:1";
		items[i].zone = (char *)"z";
		items[i].rack = names[i];
		items[i].pool = (char *)worker_pools[i];
		items[i].slots = worker_slots[i];
		items[i].connections = 640;
		items[i].state =
			w->leaving[i] ? BW_WORKER_LEAVING : BW_WORKER_SERVING;
		e->leaving_configured[i] = w->leaving[i];
	}
	list.items = items;
	bw_place_configure(e->place, table, &list, w->now_us);
	bw_findings_destroy(f);
}

static void apply_view(world_t *w, entry_t *e)
{
	uint64_t ids[ENTRIES];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (w->member[i])
			ids[count++] = bw_name_id(entry_names[i]);
	if (!w->member[e - w->entries] || e->epoch == w->epoch)
		return;
	e->epoch = w->epoch;
	bw_place_set_view(e->place, w->epoch, ids, count, w->now_us);
}

static void start_entry(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	bw_place_config_t config = { .self = bw_name_id(entry_names[i]),
				     .zone = "z",
				     .loan_ttl_us = 500000,
				     .run_max_us = RUN_MAX_US,
				     .takeover_delay_us = 1000000,
				     .stall_us = STALL_US,
				     .seed = i + 1,
				     .lending = true };

	memset(e, 0, sizeof(*e));
	e->world = w;
	e->id = config.self;
	e->alive = true;
	e->place = bw_place_create(&config, &ops, e, &e->counters);
	configure(w, e);
}

static void break_link(world_t *w, uint32_t i, uint32_t j)
{
	link_t *link = link_of(w, i, j);
	uint32_t side;

	if (!link->up)
		return;
	link->up = false;
	for (side = 0; side < 2; side++) {
		while (!g_queue_is_empty(link->queue[side]))
			g_free(g_queue_pop_head(link->queue[side]));
		link->break_unreported[side] = true;
	}
}

/* Reports broken links to an entry that is not paused. */
static void report_broken_links(world_t *w, uint32_t i)
{
	uint32_t j;

	for (j = 0; j < ENTRIES; j++) {
		link_t *link = link_of(w, i, j);
		bool *break_unreported = &link->break_unreported[i < j];

		if (j == i || !*break_unreported)
			continue;
		*break_unreported = false;
		bw_place_peer_lost(w->entries[i].place,
				   bw_name_id(entry_names[j]), w->now_us);
	}
}

static void connect_link(world_t *w, uint32_t i, uint32_t j)
{
	link_t *link = link_of(w, i, j);
	entry_t *a = &w->entries[i];
	entry_t *b = &w->entries[j];

	if (i == j || link->up || !a->alive || !b->alive || a->paused ||
	    b->paused || link->break_unreported[0] || link->break_unreported[1])
		return;
	link->up = true;
	bw_place_peer_up(a->place, b->id, w->now_us);
	bw_place_peer_up(b->place, a->id, w->now_us);
}

static void deliver(world_t *w, uint32_t from, uint32_t to)
{
	link_t *link = link_of(w, from, to);
	entry_t *e = &w->entries[to];
	bw_place_msg_t *msg;

	if (from == to || !link->up || !e->alive || e->paused)
		return;
	msg = g_queue_pop_head(link->queue[from < to]);
	if (!msg)
		return;
	bw_place_receive(e->place, w->entries[from].id, msg, w->now_us);
	g_free(msg);
}

static void submit(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	int64_t wait_us = (int64_t)(choose(&w->choices, 24) + 1) * 500000;
	uint32_t k;

	if (!e->alive || e->paused)
		return;
	for (k = 0; k < REQUESTS; k++)
		if (!w->requests[k].used)
			break;
	if (k == REQUESTS)
		return;
	w->requests[k].used = true;
	w->requests[k].entry = i;
	w->requests[k].worker = -1;
	bw_place_request_init(&w->requests[k].place_request,
			      choose(&w->choices, 2), w->now_us,
			      w->now_us + wait_us);
	bw_place_submit(e->place, &w->requests[k].place_request, w->now_us);
}

/*
 * Workers complete requests independently of the entries; only entries that are
 * not paused record it.
 */
static void finish_requests(world_t *w)
{
	uint32_t i;

	for (i = 0; i < REQUESTS; i++) {
		request_t *r = &w->requests[i];
		entry_t *e = &w->entries[r->entry];

		if (!r->running || w->now_us < r->ends_us)
			continue;
		r->worker = -1;
		if (!e->alive || e->paused)
			continue;
		r->running = false;
		r->used = false;
		bw_place_finish(e->place, &r->place_request, BW_ATTEMPT_OK,
				w->now_us);
	}
}

static void advance(world_t *w, int64_t us)
{
	uint32_t i;
	uint32_t j;

	w->now_us += us;
	for (i = 0; i < ENTRIES; i++)
		for (j = 0; j < ENTRIES; j++)
			if (i != j && w->entries[i].paused &&
			    w->now_us - w->entries[i].paused_us > STALL_US)
				break_link(w, i, j);
	finish_requests(w);
	for (i = 0; i < ENTRIES; i++) {
		if (!w->entries[i].alive || w->entries[i].paused)
			continue;
		report_broken_links(w, i);
		bw_place_tick(w->entries[i].place, w->now_us);
	}
}

static void toggle_pause(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];

	if (!e->alive)
		return;
	e->paused = !e->paused;
	e->paused_us = w->now_us;
}

static void kill_entry(world_t *w, uint32_t i)
{
	uint32_t k;

	if (!w->entries[i].alive)
		return;
	for (k = 0; k < REQUESTS; k++)
		if (w->requests[k].entry == i)
			memset(&w->requests[k], 0, sizeof(w->requests[k]));
	for (k = 0; k < REQUESTS; k++)
		if (!w->requests[k].used)
			w->requests[k].worker = -1;
	for (k = 0; k < ENTRIES; k++)
		if (k != i) {
			break_link(w, i, k);
			link_of(w, i, k)->break_unreported[i < k] = false;
		}
	bw_place_destroy(w->entries[i].place);
	w->entries[i].place = NULL;
	w->entries[i].alive = false;
	w->entries[i].paused = false;
}

/* Excludes an entry only if it is dead or paused for longer than its lease. */
static void change_view(world_t *w, uint32_t i)
{
	entry_t *e = &w->entries[i];
	uint32_t k;

	if (w->member[i]) {
		bool failed =
			!e->alive ||
			(e->paused && w->now_us - e->paused_us > 2 * STALL_US);

		if (!failed)
			return;
		w->member[i] = false;
		/*
		 * A paused entry's connections stay open, and its slots are
		 * reassigned after the takeover delay, so its running requests
		 * may exceed the slots. Those that it starts later count again.
		 */
		for (k = 0; k < REQUESTS; k++)
			if (w->requests[k].entry == i)
				w->requests[k].worker = -1;
	} else if (e->alive && !e->paused) {
		w->member[i] = true;
	} else {
		return;
	}
	w->epoch++;
}

static void restart_entry(world_t *w, uint32_t i)
{
	/* The name is used again only after the view has excluded it. */
	if (!w->entries[i].alive && !w->member[i])
		start_entry(w, i);
}

static void change_worker(world_t *w, uint32_t i)
{
	uint32_t worker = choose(&w->choices, WORKERS);
	uint32_t k;

	if (choose(&w->choices, 2))
		w->leaving[worker] = !w->leaving[worker];
	for (k = 0; k < ENTRIES; k++)
		if ((k == i || choose(&w->choices, 2)) && w->entries[k].alive &&
		    !w->entries[k].paused)
			configure(w, &w->entries[k]);
}

static void deliver_all(world_t *w)
{
	uint32_t i;
	uint32_t j;
	int round;

	for (round = 0; round < 8; round++)
		for (i = 0; i < ENTRIES; i++)
			for (j = 0; j < ENTRIES; j++)
				deliver(w, i, j);
}

/* Repairs most faults, since most entries of a site run most of the time. */
static void repair(world_t *w)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < ENTRIES; i++) {
		restart_entry(w, i);
		change_view(w, i);
	}
	for (i = 0; i < ENTRIES; i++) {
		if (w->entries[i].alive && !w->entries[i].paused) {
			report_broken_links(w, i);
			apply_view(w, &w->entries[i]);
		}
	}
	for (i = 0; i < ENTRIES; i++)
		for (j = i + 1; j < ENTRIES; j++)
			connect_link(w, i, j);
	/* Resume last: a resumed entry still has its old view and links. */
	for (i = 0; i < ENTRIES; i++)
		if (w->entries[i].paused && choose(&w->choices, 2))
			toggle_pause(w, i);
}

static void apply_view_unless_paused(world_t *w, uint32_t i)
{
	if (w->entries[i].alive && !w->entries[i].paused)
		apply_view(w, &w->entries[i]);
}

static void step(world_t *w)
{
	uint32_t action = choose(&w->choices, 64);
	uint32_t i = choose(&w->choices, ENTRIES);
	uint32_t j = choose(&w->choices, ENTRIES);

	if (action < 24)
		submit(w, i);
	else if (action < 32)
		deliver(w, i, j);
	else if (action < 40)
		deliver_all(w);
	else if (action < 50)
		advance(w, (int64_t)(choose(&w->choices, 100) + 1) * 5000);
	else if (action < 54)
		repair(w);
	else if (action == 54)
		break_link(w, i, j);
	else if (action == 55)
		connect_link(w, i, j);
	else if (action < 58)
		toggle_pause(w, i);
	else if (action == 58)
		kill_entry(w, i);
	else if (action == 59)
		change_view(w, i);
	else if (action < 62)
		apply_view_unless_paused(w, i);
	else if (action == 62)
		restart_entry(w, i);
	else
		change_worker(w, i);
}

static void setup(world_t *w)
{
	uint32_t i;
	uint32_t j;

	w->now_us = 1000000;
	w->epoch = 1;
	for (i = 0; i < REQUESTS; i++)
		w->requests[i].worker = -1;
	for (i = 0; i < ENTRIES; i++) {
		start_entry(w, i);
		w->member[i] = true;
		for (j = i + 1; j < ENTRIES; j++) {
			w->links[i][j].queue[0] = g_queue_new();
			w->links[i][j].queue[1] = g_queue_new();
		}
	}
	for (i = 0; i < ENTRIES; i++)
		for (j = i + 1; j < ENTRIES; j++)
			connect_link(w, i, j);
	for (i = 0; i < ENTRIES; i++)
		apply_view(w, &w->entries[i]);
	deliver_all(w);
	advance(w, 900000);
	advance(w, 200000);
}

/* Ends all faults and waits until requests and loans of before are over. */
static void settle(world_t *w)
{
	uint32_t i;
	int round;

	for (i = 0; i < ENTRIES; i++)
		if (w->entries[i].paused)
			toggle_pause(w, i);
	/* Requests end within 12 s, and loans to lost peers lapse 10.5 s later.
	 */
	for (round = 0; round < 60; round++) {
		repair(w);
		deliver_all(w);
		advance(w, 500000);
	}
}

static void check_lent(const world_t *w)
{
	bw_worker_view_t view;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < ENTRIES; i++) {
		const bw_place_t *place = w->entries[i].place;

		for (k = 0; k < bw_place_worker_count(place); k++)
			FUZZ_ASSERT(!bw_place_worker_view(place, k, &view) ||
					    view.lent == 0,
				    "no slot stays lent");
	}
}

static void teardown(world_t *w)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < ENTRIES; i++) {
		bw_place_destroy(w->entries[i].place);
		for (j = i + 1; j < ENTRIES; j++) {
			g_queue_free_full(w->links[i][j].queue[0], g_free);
			g_queue_free_full(w->links[i][j].queue[1], g_free);
		}
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *w = g_new0(world_t, 1);

	w->choices.data = data;
	w->choices.left = size;
	setup(w);
	while (w->choices.left > 0)
		step(w);
	settle(w);
	check_lent(w);
	teardown(w);
	g_free(w);
	return 0;
}
