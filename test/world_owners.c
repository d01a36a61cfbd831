/*
 * What nodes know of earlier owners: each follows the claims by a watch of the
 * store, and an owner that has not settled its takeover asks whether those
 * before it have stopped, as the fleet code does.
 */
#include "fleet/claim_history.h"
#include "world_internal.h"

/** Time between two looks of a watch. */
#define WATCH_INTERVAL_MS 20
/** Time between checks of earlier owners. */
#define CHECK_INTERVAL_MS 250
/** Longest time until a watch reports a change. */
#define WATCH_DELAY_MAX_MS 60
/** Longest way of a question or an answer. */
#define QUESTION_MAX_MS 5
/** Share of connections to the store that come back too late for the watch to
 * go on, so that a read tells the present claim only. */
#define READ_AGAIN_SHARE 0.2

/** A claim of the pool. */
typedef struct claim {
	uint32_t node;
	uint64_t process;
	uint64_t fence; /**< 0: no claim. */
} claim_t;

/** A change of claims in the store. */
typedef struct change {
	claim_t claim; /**< Without a fence: the one before is gone. */
	int64_t due_ms[NODE_COUNT]; /**< When the watches report it. */
} change_t;

/** What a node knows of the claims. */
typedef struct view {
	node_t *node;
	uint64_t process; /**< That it knows this in. */
	int64_t read_ms; /**< When it last read the claim; INT64_MAX: never. */
	bool cut; /**< The watch has lost its connection. */
	guint applied; /**< Changes that the watch has reported. */
	int64_t next_check_ms;
	claim_t owner;
	bw_claim_history_t *history;
} view_t;

struct world_owners {
	GArray *changes;
	claim_t claim; /**< In the store. */
	view_t views[NODE_COUNT];
};

/** A question whether a node holds the pool. */
typedef struct question {
	node_t *from;
	uint64_t process; /**< Of the asking node. */
	claim_t claim;
} question_t;

static void on_watch(world_t *w, void *arg);
static void on_answer(world_t *w, void *arg);

int64_t world_owners_between(world_t *w, int64_t low, int64_t high)
{
	return g_rand_int_range(w->owners_rand, (gint32)low, (gint32)high + 1);
}

bool world_owners_bool(world_t *w, double probability)
{
	return g_rand_double(w->owners_rand) < probability;
}

static void trace_claim(world_t *w, const char *event, const node_t *by,
			const claim_t *claim)
{
	char text[100];

	g_snprintf(text, sizeof(text),
		   "by=node%u claim=%" G_GUINT64_FORMAT
		   " of=node%u process=%" G_GUINT64_FORMAT,
		   by->index, claim->fence, claim->node, claim->process);
	world_trace(w, event, text);
}

void world_init_owners(world_t *w)
{
	uint32_t i;

	if (w->config.chains == 0)
		return;
	w->owners = g_new0(world_owners_t, 1);
	w->owners->changes = g_array_new(FALSE, TRUE, sizeof(change_t));
	for (i = 0; i < NODE_COUNT; i++) {
		view_t *view = &w->owners->views[i];

		view->node = &w->nodes[i];
		view->read_ms = INT64_MAX;
		view->history = bw_claim_history_create(OUTAGE_MS);
		view->next_check_ms =
			world_owners_between(w, 1, CHECK_INTERVAL_MS);
		world_schedule(w, world_owners_between(w, 1, WATCH_INTERVAL_MS),
			       on_watch, view);
	}
}

void world_clear_owners(world_t *w)
{
	uint32_t i;

	if (!w->owners)
		return;
	for (i = 0; i < NODE_COUNT; i++)
		bw_claim_history_destroy(w->owners->views[i].history);
	g_array_free(w->owners->changes, TRUE);
	g_free(w->owners);
}

/* The claims in the store. */

static void note_change(world_t *w, const claim_t *claim)
{
	change_t change = { .claim = *claim };
	uint32_t i;

	for (i = 0; i < NODE_COUNT; i++)
		change.due_ms[i] =
			w->now_ms +
			world_owners_between(w, 1, WATCH_DELAY_MAX_MS);
	w->owners->claim = *claim;
	g_array_append_val(w->owners->changes, change);
}

void world_note_claim(world_t *w, const node_t *node)
{
	const claim_t claim = { node->index, node->process, node->fence };

	if (!w->owners)
		return;
	trace_claim(w, "claim", node, &claim);
	note_change(w, &claim);
}

void world_note_claim_end(world_t *w)
{
	const claim_t none = { 0 };

	if (!w->owners)
		return;
	trace_claim(w, "claim-gone", &w->nodes[w->owner_node],
		    &w->owners->claim);
	note_change(w, &none);
}

/* The watches. */

/* The module knows nodes by their names. */
static const char *const names[NODE_COUNT] = { "0", "1", "2" };

static void note_seen(const world_t *w, view_t *view, const claim_t *claim)
{
	const bw_claim_t seen = { names[claim->node], claim->process,
				  (int64_t)claim->fence };

	if (claim->fence > 0)
		bw_claim_history_add(view->history, w->now_ms, &seen);
	else
		bw_claim_history_end(view->history, w->now_ms);
}

static bool reaches_store(const world_t *w, const node_t *node)
{
	return world_node_running(w, node) && !node->store_unreachable &&
	       !w->store_down;
}

/* A node that is told of the end of its claim, or of a later one, stops. */
static void check_own_claim(const view_t *view, const claim_t *gone)
{
	node_t *node = view->node;

	if (node->sched && node->fence != 0 && gone->node == node->index &&
	    gone->fence == node->fence)
		world_superseded(node);
}

static void apply(world_t *w, view_t *view, const claim_t *claim)
{
	if (view->owner.fence == claim->fence)
		return;
	check_own_claim(view, &view->owner);
	view->owner = *claim;
	note_seen(w, view, claim);
	trace_claim(w, claim->fence > 0 ? "watch" : "watch-gone", view->node,
		    claim);
}

/* Reads the present claim; those before it are not seen. */
static void read_claim(world_t *w, view_t *view)
{
	apply(w, view, &w->owners->claim);
	view->applied = w->owners->changes->len;
	view->read_ms = w->now_ms;
}

/* A new process ends its predecessor's claim, which it finds in the store. */
static void start_view(world_t *w, view_t *view)
{
	const node_t *node = view->node;

	if (w->owner_fence != 0 && w->owner_node == node->index &&
	    node->fence != w->owner_fence)
		world_end_claim(w);
	view->process = node->process;
	view->owner = (claim_t){ 0 };
	bw_claim_history_destroy(view->history);
	view->history = bw_claim_history_create(OUTAGE_MS);
	read_claim(w, view);
}

static void follow_claims(world_t *w, view_t *view)
{
	const GArray *changes = w->owners->changes;

	if (!reaches_store(w, view->node)) {
		view->cut = true;
		return;
	}
	if (view->read_ms == INT64_MAX || view->process != view->node->process)
		start_view(w, view);
	else if (view->cut && world_owners_bool(w, READ_AGAIN_SHARE))
		read_claim(w, view);
	view->cut = false;
	for (; view->applied < changes->len; view->applied++) {
		const change_t *change =
			&g_array_index(changes, change_t, view->applied);

		if (change->due_ms[view->node->index] > w->now_ms)
			break;
		apply(w, view, &change->claim);
	}
}

/* Questions to earlier owners. */

/* Event: a question arrives. A node that does not run or is not reached gives
 * no answer. */
static void on_question(world_t *w, void *arg)
{
	question_t *question = arg;
	const node_t *node = &w->nodes[question->claim.node];

	if (!world_node_running(w, node) || node->peers_unreachable ||
	    question->from->peers_unreachable ||
	    (node->sched && node->fence != 0)) {
		g_free(question);
		return;
	}
	world_schedule(w, world_owners_between(w, 1, QUESTION_MAX_MS),
		       on_answer, question);
}

/* Event: a node answers that it does not hold the pool. */
static void on_answer(world_t *w, void *arg)
{
	question_t *question = arg;
	const node_t *node = question->from;
	const view_t *view = &w->owners->views[node->index];

	if (world_node_running(w, node) && view->process == question->process) {
		trace_claim(w, "earlier-owner-stopped", node, &question->claim);
		bw_claim_history_stopped(view->history,
					 (int64_t)question->claim.fence);
	}
	g_free(question);
}

void world_free_question(event_fn fn, void *arg)
{
	if (fn == on_question || fn == on_answer)
		g_free(arg);
}

static void ask(world_t *w, const view_t *view, const claim_t *claim)
{
	question_t *question = g_new0(question_t, 1);

	question->from = view->node;
	question->process = view->process;
	question->claim = *claim;
	world_schedule(w, world_owners_between(w, 1, QUESTION_MAX_MS),
		       on_question, question);
}

/* Whether the process that made a claim has ended; a node has given up its own
 * earlier claims. */
static bool has_ended(const world_t *w, const node_t *node,
		      const claim_t *claim)
{
	const node_t *owner = &w->nodes[claim->node];

	return owner == node ||
	       (owner->alive && owner->process != claim->process);
}

static bool check_claim(void *ctx, const bw_claim_t *earlier)
{
	const view_t *view = ctx;
	world_t *w = view->node->w;
	const claim_t claim = { (uint32_t)(earlier->node[0] - '0'),
				earlier->incarnation,
				(uint64_t)earlier->revision };

	if (!has_ended(w, view->node, &claim)) {
		ask(w, view, &claim);
		return false;
	}
	trace_claim(w, "earlier-owner-ended", view->node, &claim);
	return true;
}

static bool all_stopped(const world_t *w, view_t *view)
{
	const node_t *node = view->node;
	int64_t handed_over_by = bw_sched_handed_over_by(node->sched);
	const bw_claim_scope_t scope = {
		.own_revision = (int64_t)node->fence,
		.known_from = MAX((int64_t)node->known_from, handed_over_by),
		.handed_over = handed_over_by != 0,
		.read_started_ms = view->read_ms,
		.complete_since_ms = view->read_ms,
	};

	return bw_claim_history_check(view->history, w->now_ms, &scope,
				      check_claim, view);
}

static void check_earlier(world_t *w, view_t *view)
{
	node_t *node = view->node;

	if (w->now_ms < view->next_check_ms)
		return;
	view->next_check_ms = w->now_ms + CHECK_INTERVAL_MS;
	if (!node->sched || node->fence == 0 ||
	    bw_sched_recovered(node->sched) || !all_stopped(w, view))
		return;
	trace_claim(w, "all-earlier-owners-stopped", node, &view->owner);
	bw_sched_predecessor_stopped(node->sched, w->now_ms);
}

static void on_watch(world_t *w, void *arg)
{
	view_t *view = arg;

	follow_claims(w, view);
	if (world_node_running(w, view->node))
		check_earlier(w, view);
	if (w->now_ms < w->end_ms)
		world_schedule(w, WATCH_INTERVAL_MS, on_watch, view);
}
