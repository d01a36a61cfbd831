/*
 * What nodes know of earlier owners: each follows the claims by a watch of the
 * store, and an owner that has not settled its takeover asks whether the one
 * before it has stopped, as the fleet code does.
 */
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
	bool read; /**< By that process. */
	bool cut; /**< The watch has lost its connection. */
	guint applied; /**< Changes that the watch has reported. */
	int64_t next_check_ms;
	claim_t owner;
	claim_t previous;
} view_t;

struct world_owners {
	GArray *changes;
	claim_t claim; /**< In the store. */
	view_t views[NODE_COUNT];
};

/** A question whether a node holds the pool. */
typedef struct question {
	node_t *from;
	uint64_t fence; /**< Of the asking owner. */
	claim_t claim;
} question_t;

static void on_watch(world_t *w, void *arg);
static void on_question(world_t *w, void *arg);
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
		view->next_check_ms =
			world_owners_between(w, 1, CHECK_INTERVAL_MS);
		world_schedule(w, world_owners_between(w, 1, WATCH_INTERVAL_MS),
			       on_watch, view);
	}
}

void world_clear_owners(world_t *w)
{
	if (!w->owners)
		return;
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
	if (view->owner.fence != 0) {
		view->previous = view->owner;
		check_own_claim(view, &view->owner);
	}
	view->owner = *claim;
	trace_claim(w, claim->fence > 0 ? "watch" : "watch-gone", view->node,
		    claim);
}

/* Reads the present claim; those before it are not seen. */
static void read_claim(world_t *w, view_t *view)
{
	apply(w, view, &w->owners->claim);
	view->applied = w->owners->changes->len;
}

/* A new process ends its predecessor's claim, which it finds in the store. */
static void start_view(world_t *w, view_t *view)
{
	const node_t *node = view->node;

	if (w->owner_fence != 0 && w->owner_node == node->index &&
	    node->fence != w->owner_fence)
		world_end_claim(w);
	view->process = node->process;
	view->read = true;
	view->owner = (claim_t){ 0 };
	view->previous = (claim_t){ 0 };
	read_claim(w, view);
}

static void follow_claims(world_t *w, view_t *view)
{
	const GArray *changes = w->owners->changes;

	if (!reaches_store(w, view->node)) {
		view->cut = true;
		return;
	}
	if (!view->read || view->process != view->node->process)
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

static void report_stopped(world_t *w, node_t *node, const char *event,
			   const claim_t *claim)
{
	trace_claim(w, event, node, claim);
	bw_sched_predecessor_stopped(node->sched, w->now_ms);
}

static void ask(world_t *w, node_t *node, const claim_t *claim)
{
	question_t *question = g_new0(question_t, 1);

	question->from = node;
	question->fence = node->fence;
	question->claim = *claim;
	world_schedule(w, world_owners_between(w, 1, QUESTION_MAX_MS),
		       on_question, question);
}

/* A node that does not run or is not reached gives no answer. */
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

static void on_answer(world_t *w, void *arg)
{
	question_t *question = arg;
	node_t *node = question->from;

	if (world_node_running(w, node) && node->sched &&
	    node->fence == question->fence)
		report_stopped(w, node, "earlier-owner-stopped",
			       &question->claim);
	g_free(question);
}

void world_free_question(event_fn fn, void *arg)
{
	if (fn == on_question || fn == on_answer)
		g_free(arg);
}

static bool has_ended(const world_t *w, const node_t *node,
		      const claim_t *claim)
{
	const node_t *owner = &w->nodes[claim->node];

	return owner == node ||
	       (owner->alive && owner->process != claim->process);
}

static void check_previous(world_t *w, view_t *view)
{
	node_t *node = view->node;

	if (w->now_ms < view->next_check_ms)
		return;
	view->next_check_ms = w->now_ms + CHECK_INTERVAL_MS;
	if (!node->sched || node->fence == 0 ||
	    bw_sched_recovered(node->sched) || view->previous.fence == 0)
		return;
	if (has_ended(w, node, &view->previous))
		report_stopped(w, node, "earlier-owner-ended", &view->previous);
	else
		ask(w, node, &view->previous);
}

static void on_watch(world_t *w, void *arg)
{
	view_t *view = arg;

	follow_claims(w, view);
	if (world_node_running(w, view->node))
		check_previous(w, view);
	if (w->now_ms < w->end_ms)
		world_schedule(w, WATCH_INTERVAL_MS, on_watch, view);
}
