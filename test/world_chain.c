/*
 * Chains of owners: one is cut off from the store and loses its claim, but acts
 * until its lease ends, and those after it lose theirs within a short time. A
 * worker is reached by the first one only.
 */
#include "world_internal.h"

/** Longest time from the cut until the claim is gone. */
#define REVOKED_MAX_MS 300
/** Range of the time until the store is reached again. */
#define CUT_MIN_MS 2000
#define CUT_MAX_MS 7000
/** Range of the time in which only one node reaches a worker. */
#define APART_MIN_MS 6000
#define APART_MAX_MS 10000
/** Range of the time in its part of the traffic at which a chain begins. The
 * last owner settles its takeover within 10 s. */
#define BEGIN_MIN_MS 1500
#define BEGIN_MAX_MS 3000
/** Workers that only the first owner reaches. */
#define APART_WORKERS_MAX 3
/** Share of first owners that reach no other workers. */
#define ALONE_SHARE 0.8
/** Losses of a claim by the owners after the first one. */
#define LOSSES_MAX 2
/** Range of the time until the next one. */
#define LOSS_MIN_MS 50
#define LOSS_MAX_MS 1000
/** While there is no owner, the loss waits this long. */
#define NO_OWNER_WAIT_MS 20
/** Range of the time until an owner that was killed starts again. */
#define BACK_MIN_MS 50
#define BACK_MAX_MS 500

typedef void (*loss_fn)(world_t *w, node_t *owner);

static node_t *current_owner(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];

	return w->owner_fence != 0 && owner->sched &&
			       owner->fence == w->owner_fence &&
			       world_node_running(w, owner)
		       ? owner
		       : NULL;
}

/* Lets only one node reach a worker that has runs, if one is found. */
static void set_apart(world_t *w, const node_t *owner)
{
	guint at =
		(guint)world_owners_between(w, 0, (int64_t)w->workers->len - 1);
	fake_worker_t *worker = g_ptr_array_index(w->workers, at);
	uint32_t i;

	if (!worker->alive || worker->runs->len == 0)
		return;
	world_trace(w, "apart", worker->id);
	for (i = 0; i < NODE_COUNT; i++)
		worker->unreachable_from[i] = i != owner->index;
	world_schedule(w, world_owners_between(w, APART_MIN_MS, APART_MAX_MS),
		       world_on_worker_recovery, worker);
}

/* Cuts the owner off from all other workers. One that a later owner has reached
 * would refuse its orders, which tells it to stop. */
static void set_others_apart(world_t *w, const node_t *owner)
{
	const uint32_t other = (owner->index + 1) % NODE_COUNT;
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		if (!worker->alive || worker->unreachable_from[other])
			continue;
		worker->unreachable_from[owner->index] = true;
		world_schedule(w,
			       world_owners_between(w, CUT_MIN_MS, CUT_MAX_MS),
			       world_on_worker_recovery, worker);
	}
}

static void on_reconnected(world_t *w, void *arg)
{
	node_t *node = arg;

	(void)w;
	node->store_unreachable = false;
	node->peers_unreachable = false;
}

static void cut_off(world_t *w, node_t *owner)
{
	world_trace(w, "store-unreachable", "owner");
	owner->store_unreachable = true;
	owner->peers_unreachable = world_owners_bool(w, 0.5);
	world_schedule(w, world_owners_between(w, CUT_MIN_MS, CUT_MAX_MS),
		       on_reconnected, owner);
}

static void on_revoked(world_t *w, void *arg)
{
	const node_t *owner = arg;

	if (owner->fence != 0 && owner->fence == w->owner_fence)
		world_end_claim(w);
}

/* The owner is killed; its next process ends its claim. */
static void lose_by_kill(world_t *w, node_t *owner)
{
	world_kill_node(w, owner,
			world_owners_between(w, BACK_MIN_MS, BACK_MAX_MS));
}

/* The owner learns by its watch. */
static void lose_by_revocation(world_t *w, node_t *owner)
{
	(void)owner;
	world_trace(w, "revoke", "");
	world_end_claim(w);
}

static void give_back(world_t *w, node_t *owner)
{
	world_trace(w, "give-back", "");
	owner->fence = 0;
	world_destroy_sched(owner);
	world_end_claim(w);
}

static void on_loss(world_t *w, void *arg)
{
	static const loss_fn losses[] = { lose_by_kill, lose_by_revocation,
					  give_back };
	uint32_t left = GPOINTER_TO_UINT(arg);
	node_t *owner = current_owner(w);

	if (w->now_ms >= w->config.traffic_ms)
		return;
	if (!owner) {
		world_schedule(w, NO_OWNER_WAIT_MS, on_loss, arg);
		return;
	}
	losses[world_owners_between(w, 0, G_N_ELEMENTS(losses) - 1)](w, owner);
	if (left > 1)
		world_schedule(
			w, world_owners_between(w, LOSS_MIN_MS, LOSS_MAX_MS),
			on_loss, GUINT_TO_POINTER(left - 1));
}

static void on_chain(world_t *w, void *arg)
{
	node_t *owner = current_owner(w);
	int64_t losses = world_owners_between(w, 1, LOSSES_MAX);
	int64_t revoked_ms = world_owners_between(w, 0, REVOKED_MAX_MS);
	uint32_t i;

	(void)arg;
	if (!owner || owner->store_unreachable)
		return;
	for (i = 0; i < APART_WORKERS_MAX; i++)
		set_apart(w, owner);
	if (world_owners_bool(w, ALONE_SHARE))
		set_others_apart(w, owner);
	cut_off(w, owner);
	world_schedule(w, revoked_ms, on_revoked, owner);
	world_schedule(
		w,
		revoked_ms + world_owners_between(w, LOSS_MIN_MS, LOSS_MAX_MS),
		on_loss, GUINT_TO_POINTER(losses));
}

void world_init_chains(world_t *w)
{
	uint32_t i;

	for (i = 0; w->config.chains > 0 && i < w->jobs->len; i++)
		((fake_job_t *)g_ptr_array_index(w->jobs, i))->is_long =
			world_owners_bool(w, w->config.long_share);
	for (i = 0; i < w->config.chains; i++)
		world_schedule(w,
			       i * w->config.traffic_ms / w->config.chains +
				       world_owners_between(w, BEGIN_MIN_MS,
							    BEGIN_MAX_MS),
			       on_chain, NULL);
}
