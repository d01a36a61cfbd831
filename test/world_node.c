/* Nodes that own the pool in turn, and the store that they share. */
#include "world_internal.h"

#include <stdio.h>
#include <string.h>

/* The store. */

typedef struct save {
	node_t *node;
	uint64_t life;
	uint64_t fence;
	int64_t expected_rev;
	uint64_t version;
	GBytes *data;
	bool lost;
	bool executed;
	bool final; /**< Of a node that leaves. */
	int64_t revision;
	bool superseded;
} save_t;

static void save_free(save_t *save)
{
	g_bytes_unref(save->data);
	g_free(save);
}

/* The last state is stored: the pool is free for a successor. */
static void hand_over(world_t *w, node_t *node)
{
	world_trace(w, "handed-over", "");
	if (w->owner_fence == node->fence)
		w->owner_fence = 0;
	node->fence = 0;
	node->leaving = false;
	world_drop_sched(node);
}

static void on_save_answer(world_t *w, void *arg)
{
	save_t *save = arg;
	node_t *node = save->node;

	if (node->alive && w->now_ms < node->paused_until_ms) {
		world_at(w, node->paused_until_ms - w->now_ms, on_save_answer,
			 save);
		return;
	}
	if (node->life == save->life && node->alive && node->sched) {
		node->save_out = false;
		node->saving = 0;
		if (!save->lost && save->superseded)
			world_order_superseded(node);
		else if (!save->lost)
			node->state_rev = save->revision;
		if (!save->lost && save->executed) {
			node->saving = save->version;
			bw_sched_saved(node->sched, w->now_ms, save->version);
			if (save->final)
				hand_over(w, node);
		}
		if (node->sched)
			world_run_node(w, node);
	}
	save_free(save);
}

static void execute_save(world_t *w, save_t *save)
{
	save->superseded = w->owner_fence != save->fence;
	if (!save->superseded && w->state_rev == save->expected_rev) {
		w->state_rev = ++w->rev;
		if (w->state)
			g_bytes_unref(w->state);
		w->state = g_bytes_ref(save->data);
		save->executed = true;
	}
	save->revision = w->state_rev;
}

static void on_save(world_t *w, void *arg)
{
	save_t *save = arg;

	if (w->store_down || save->node->store_cut) {
		save->lost = true;
		world_at(w, CALL_TIMEOUT_MS, on_save_answer, save);
		return;
	}
	execute_save(w, save);
	save->lost = w->now_ms < w->config.traffic_ms &&
		     world_chance(w, w->config.lost_share);
	world_at(w, save->lost ? CALL_TIMEOUT_MS : 3, on_save_answer, save);
}

static void save_node(world_t *w, node_t *node)
{
	save_t *save;
	uint8_t *data;
	size_t bytes;

	if (node->save_out || node->fence == 0 ||
	    node->saving == bw_sched_version(node->sched) ||
	    (!node->leaving && w->now_ms - node->saved_at_ms < SAVE_GAP_MS))
		return;
	data = bw_sched_pack(node->sched, &bytes);
	save = g_new0(save_t, 1);
	save->node = node;
	save->life = node->life;
	save->fence = node->fence;
	save->expected_rev = node->state_rev;
	save->version = bw_sched_version(node->sched);
	save->final = node->leaving;
	save->data = g_bytes_new_take(data, bytes);
	node->save_out = true;
	node->saved_at_ms = w->now_ms;
	world_at(w, world_between(w, 1, 4), on_save, save);
}

/* Nodes. */

void world_run_node(world_t *w, node_t *node)
{
	guint i;

	if (!node->sched || !world_node_works(w, node) || node->fence == 0)
		return;
	for (i = 0; i < w->workers->len; i++) {
		const fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		bw_sched_worker_cordon(node->sched, worker->id, worker->wanted);
	}
	if (!node->leaving)
		bw_sched_allow_orders(node->sched,
				      w->now_ms < node->lease_until_ms ||
					      w->store_down);
	bw_sched_run(node->sched, w->now_ms, w->now_ms);
	if (node->sched && node->fence != 0)
		save_node(w, node);
}

void world_give_job(world_t *w, node_t *node, const fake_job_t *job)
{
	size_t bytes;
	uint8_t *data = bw_job_record_pack(&job->record, &bytes);
	bw_job_record_t copy;

	if (bw_job_record_unpack(data, bytes, &copy) == BW_OK) {
		bw_sched_add_job(node->sched, w->now_ms, w->now_ms, job->id,
				 &copy);
		bw_job_record_clear(&copy);
	} else {
		world_breach(w, "a record can't be read back");
	}
	g_free(data);
	if (job->cancelled_ms > 0)
		bw_sched_cancel(node->sched, w->now_ms, job->id);
}

static void feed_jobs(world_t *w, node_t *node)
{
	guint i;

	for (i = 0; i < w->jobs->len; i++) {
		const fake_job_t *job = g_ptr_array_index(w->jobs, i);

		/* A reading may be old and still show what is removed. */
		if (job->removed_ms > 0 &&
		    w->now_ms - job->removed_ms >= STALE_MS)
			continue;
		if (job->stored_ms > 0 && job->stored_ms <= w->now_ms)
			world_give_job(w, node, job);
	}
}

static void check_removed(world_t *w, const fake_job_t *job)
{
	if (job->cancelled_ms == 0 && !world_all_done(job) &&
	    !world_any_out_of_tries(job))
		world_breach(w, "job %s is removed unfinished", job->id);
	if (world_any_running(job))
		world_breach(w, "job %s is removed and runs", job->id);
}

/* Removes finished jobs from the store; the answer may be lost. */
static void remove_jobs(world_t *w, node_t *node)
{
	const char *ids[REMOVED_AT_ONCE];
	uint32_t count;
	uint32_t i;

	if (node->fence == 0 || node->fence != w->owner_fence)
		return;
	count = bw_sched_removable(node->sched, w->now_ms, ids,
				   REMOVED_AT_ONCE);
	for (i = 0; i < count; i++) {
		fake_job_t *job = world_find_job(w, ids[i]);

		check_removed(w, job);
		if (job->removed_ms == 0)
			job->removed_ms = w->now_ms;
		if (!world_chance(w, w->config.lost_share))
			bw_sched_job_removed(node->sched, w->now_ms, ids[i]);
	}
}

static void feed_workers(world_t *w, node_t *node)
{
	static const char *const labels[] = { "a", "r1" };
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);
		bw_worker_info_t info = {
			.id = worker->id,
			.address = worker->name,
			.capacity = { 32000, 64000, 0 },
			.labels = labels,
			.label_count = 2,
			.rack = "r1",
			.machine = worker->name,
			.started_ms = worker->born_ms + 1000000,
		};

		if (worker->alive)
			worker->registered_until_ms = w->now_ms + 4500;
		if (w->now_ms < worker->registered_until_ms)
			bw_sched_worker_registered(node->sched, w->now_ms,
						   &info);
		else
			bw_sched_worker_unregistered(node->sched, w->now_ms,
						     worker->id);
	}
}

void world_on_directory(world_t *w, void *arg)
{
	node_t *node = arg;

	if (node->sched && world_node_works(w, node) && !w->store_down &&
	    !node->store_cut) {
		feed_workers(w, node);
		feed_jobs(w, node);
		remove_jobs(w, node);
		world_run_node(w, node);
	}
	if (w->now_ms < w->end_ms)
		world_at(w, DIRECTORY_MS, world_on_directory, node);
}

static void take_over(world_t *w, node_t *node)
{
	bw_sched_config_t config = {
		.grant_ms = GRANT_MS,
		.grant_ms_max = GRANT_MS,
		.outage_ms = OUTAGE_MS,
		.stop_ms = STOP_MS,
		.retention_ms = w->config.keep_ms,
		.removed_ms = STALE_MS + 1,
	};
	bw_queue_config_t queue = { "q", 0, ATTEMPTS, 1.6, 600, false };
	gsize bytes;
	const uint8_t *data;

	if (node->sched)
		world_drop_sched(node);
	w->owner_fence = (uint64_t)++w->rev;
	w->owner_node = node->index;
	w->owner_until_ms = w->now_ms + LEASE_MS;
	node->fence = w->owner_fence;
	node->lease_until_ms = w->owner_until_ms;
	node->saving = 0;
	node->saved_at_ms = 0;
	config.fence = node->fence;
	node->sched =
		bw_sched_create(&config, &world_sched_ops, node, w->now_ms);
	bw_sched_set_queue(node->sched, &queue);
	node->state_rev = w->state_rev;
	if (w->state) {
		data = g_bytes_get_data(w->state, &bytes);
		if (bw_sched_load(node->sched, w->now_ms, data, bytes) != BW_OK)
			world_breach(w, "the state can't be read back");
	}
	feed_jobs(w, node);
	feed_workers(w, node);
	world_run_node(w, node);
	world_trace(w, "takeover",
		    node->index == 0   ? "0"
		    : node->index == 1 ? "1"
				       : "2");
}

static void renew_lease(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];

	if (w->owner_fence == 0 || owner->fence != w->owner_fence ||
	    !world_node_works(w, owner) || owner->store_cut || w->store_down)
		return;
	w->owner_until_ms = w->now_ms + LEASE_MS;
	owner->lease_until_ms = w->owner_until_ms;
}

static void elect(world_t *w)
{
	uint32_t start = (uint32_t)world_between(w, 0, NODES - 1);
	uint32_t i;

	if (w->store_down)
		return;
	if (w->owner_fence != 0 && w->now_ms >= w->owner_until_ms)
		w->owner_fence = 0;
	if (w->owner_fence != 0 || world_chance(w, 0.5))
		return;
	for (i = 0; i < NODES; i++) {
		node_t *node = &w->nodes[(start + i) % NODES];

		if (!world_node_works(w, node) || node->store_cut)
			continue;
		take_over(w, node);
		return;
	}
}

/* A new owner may hear that the earlier one has stopped. */
static void tell_stopped(world_t *w)
{
	uint32_t i;

	if (w->owner_fence == 0 || !world_chance(w, 0.2))
		return;
	for (i = 0; i < NODES; i++)
		if (i != w->owner_node && w->nodes[i].sched)
			return;
	if (w->nodes[w->owner_node].sched)
		bw_sched_predecessor_stopped(w->nodes[w->owner_node].sched,
					     w->now_ms);
}

void world_on_tick(world_t *w, void *arg)
{
	uint32_t i;

	renew_lease(w);
	elect(w);
	tell_stopped(w);
	for (i = 0; i < NODES; i++)
		world_run_node(w, &w->nodes[i]);
	if (w->now_ms < w->end_ms)
		world_at(w, TICK_MS, world_on_tick, arg);
}

/* Releases a save whose event is not carried out. */
void world_save_drop(event_fn fn, void *arg)
{
	if (fn == on_save || fn == on_save_answer)
		save_free(arg);
}
