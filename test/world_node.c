/* Nodes, one of which owns the pool at a time, and their common store. */
#include "world_internal.h"

#include <stdio.h>
#include <string.h>

#include "stored_state.h"

static const bw_queue_config_t queue_config = {
	"q", { 0, ATTEMPTS_MAX, 1.6, 600, false }
};

/* The store. */

/** A write of a scheduler's state to the store. */
typedef struct save {
	node_t *node;
	uint64_t incarnation;
	uint64_t fence;
	int64_t expected_rev; /**< The write fails at another revision. */
	uint64_t version; /**< Of the scheduler's state. */
	GBytes *data;
	bool settled; /**< The state has all runs of earlier owners. */
	bool answer_lost;
	bool executed;
	bool final; /**< The node hands its pool over once it is stored. */
	int64_t revision; /**< Of the stored state after the call. */
	bool superseded; /**< The pool has another owner, or none. */
} save_t;

static void save_free(save_t *save)
{
	g_bytes_unref(save->data);
	g_free(save);
}

void world_end_claim(world_t *w)
{
	if (w->owner_fence != 0)
		world_note_claim_end(w);
	w->owner_fence = 0;
}

/* Releases the pool, as the final state is stored. */
static void finish_hand_over(world_t *w, node_t *node)
{
	world_trace(w, "handed-over", "");
	if (w->owner_fence == node->fence)
		world_end_claim(w);
	node->fence = 0;
	node->handing_over = false;
	world_destroy_sched(node);
}

static void on_save_answer(world_t *w, void *arg)
{
	save_t *save = arg;
	node_t *node = save->node;

	if (node->alive && w->now_ms < node->paused_until_ms) {
		world_schedule(w, node->paused_until_ms - w->now_ms,
			       on_save_answer, save);
		return;
	}
	if (node->incarnation == save->incarnation && node->alive &&
	    node->sched) {
		node->save_pending = false;
		node->saved_version = 0;
		if (!save->answer_lost && save->superseded)
			world_superseded(node);
		else if (!save->answer_lost)
			node->state_rev = save->revision;
		if (!save->answer_lost && save->executed) {
			node->saved_version = save->version;
			bw_sched_owned_at(node->sched,
					  (uint64_t)save->revision);
			bw_sched_saved(node->sched, w->now_ms, save->version);
			if (save->final)
				finish_hand_over(w, node);
		}
		if (node->sched && !save->executed)
			bw_sched_save_failed(node->sched);
		if (node->sched)
			world_run_sched(w, node);
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
		w->state_known_from = save->settled ? save->fence : 0;
		save->executed = true;
	}
	save->revision = w->state_rev;
}

static void on_save(world_t *w, void *arg)
{
	save_t *save = arg;

	if (w->store_down || save->node->store_unreachable) {
		save->answer_lost = true;
		world_schedule(w, CALL_TIMEOUT_MS, on_save_answer, save);
		return;
	}
	execute_save(w, save);
	save->answer_lost = w->now_ms < w->config.traffic_ms &&
			    world_random_bool(w, w->config.lost_share);
	world_schedule(w, save->answer_lost ? CALL_TIMEOUT_MS : 3,
		       on_save_answer, save);
}

static uint8_t *pack_stored(const fake_job_t *job, size_t *bytes)
{
	if (job->short_ms > 0)
		return bw_job_record_pack_short(job->short_state, NULL, bytes);
	return bw_job_record_pack(&job->record, bytes);
}

/* Adds a packed record, which is released. */
static void add_packed_job(world_t *w, bw_sched_t *sched, const char *id,
			   uint8_t *data, size_t bytes, int64_t revision)
{
	bw_job_record_t copy;

	if (bw_job_record_unpack(data, bytes, &copy) == BW_OK) {
		copy.revision = (uint64_t)revision;
		if (copy.spec)
			bw_sched_add_job(sched, w->now_ms, w->now_ms, id,
					 &copy);
		else
			bw_sched_add_ended(sched, w->now_ms, id, copy.state);
		bw_job_record_clear(&copy);
	} else {
		world_violation(w, "a packed job record does not unpack");
	}
	g_free(data);
}

/* Checks what a successor would read of a node's state, if it were stored. All
 * jobs have their whole records, so that only the state can tell of an end. */
static void check_stored(world_t *w, const node_t *node, const uint8_t *data,
			 size_t bytes)
{
	const bw_sched_config_t config = { .fence = node->fence + 1 };
	const bw_sched_ops_t ops = { .log = NULL };
	bw_sched_t *successor = bw_sched_create(&config, &ops, NULL, w->now_ms);
	char text[160];
	guint i;

	bw_sched_set_queue(successor, &queue_config);
	if (bw_sched_load(successor, w->now_ms, data, bytes) != BW_OK)
		world_violation(w, "a state can't be loaded");
	for (i = 0; i < w->jobs->len; i++) {
		const fake_job_t *job = g_ptr_array_index(w->jobs, i);
		size_t record_bytes;
		uint8_t *record;

		if (job->stored_ms == 0)
			continue;
		record = bw_job_record_pack(&job->record, &record_bytes);
		add_packed_job(w, successor, job->id, record, record_bytes,
			       job->revision);
	}
	if (!stored_state_matches(node->sched, successor, text, sizeof(text)))
		world_violation(w, "%s", text);
	bw_sched_destroy(successor);
}

/* Sends the state to the store if it changed and no save is pending. */
static void save_state(world_t *w, node_t *node)
{
	save_t *save;
	uint8_t *data;
	size_t bytes;

	if (node->save_pending || node->fence == 0 ||
	    node->saved_version == bw_sched_version(node->sched) ||
	    (!node->handing_over &&
	     w->now_ms - node->last_save_ms < SAVE_INTERVAL_MS))
		return;
	data = bw_sched_pack(node->sched, &bytes);
	if (w->config.check_stored)
		check_stored(w, node, data, bytes);
	save = g_new0(save_t, 1);
	save->node = node;
	save->incarnation = node->incarnation;
	save->fence = node->fence;
	save->expected_rev = node->state_rev;
	save->version = bw_sched_version(node->sched);
	save->final = node->handing_over;
	save->settled = bw_sched_recovered(node->sched);
	save->data = g_bytes_new_take(data, bytes);
	node->save_pending = true;
	node->last_save_ms = w->now_ms;
	world_schedule(w, world_random_between(w, 1, 4), on_save, save);
}

/* Nodes. */

/* Once the store has answered others after the lease may have ended, an owner
 * stops until its lease is renewed, as by src/fleet/outage.h. */
static bool may_order(const world_t *w, node_t *node)
{
	if (w->now_ms < node->lease_end_ms)
		node->orders_over = false;
	else if (!w->store_down)
		node->orders_over = true;
	return !node->orders_over;
}

static void allow_orders(const world_t *w, node_t *node)
{
	bool allowed = may_order(w, node);

	bw_sched_set_outage(node->sched,
			    allowed && w->now_ms >= node->lease_end_ms);
	bw_sched_allow_orders(node->sched, allowed);
}

void world_run_sched(world_t *w, node_t *node)
{
	guint i;

	if (!node->sched || !world_node_running(w, node) || node->fence == 0)
		return;
	for (i = 0; i < w->workers->len; i++) {
		const fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		bw_sched_worker_cordon(node->sched, worker->id,
				       worker->cordoned);
	}
	if (!node->handing_over)
		allow_orders(w, node);
	if (node->last_run_ms > 0 &&
	    w->now_ms - node->last_run_ms > SUSPENDED_MS)
		bw_sched_suspended(node->sched, w->now_ms,
				   w->now_ms - node->last_run_ms);
	node->last_run_ms = w->now_ms;
	bw_sched_run(node->sched, w->now_ms, w->now_ms);
	if (node->sched && node->fence != 0)
		save_state(w, node);
}

void world_add_job(world_t *w, node_t *node, const fake_job_t *job,
		   int64_t revision)
{
	size_t bytes;
	uint8_t *data = pack_stored(job, &bytes);

	add_packed_job(w, node->sched, job->id, data, bytes, revision);
	if (job->cancelled_ms > 0)
		bw_sched_cancel(node->sched, w->now_ms, job->id);
}

static void load_jobs(world_t *w, node_t *node)
{
	guint i;

	for (i = 0; i < w->jobs->len; i++) {
		const fake_job_t *job = g_ptr_array_index(w->jobs, i);

		/* A stale read still lists jobs that were removed since. */
		if (job->removed_ms > 0 &&
		    w->now_ms - job->removed_ms >= STALE_MS)
			continue;
		if (job->stored_ms > 0 && job->stored_ms <= w->now_ms)
			world_add_job(w, node, job, job->revision);
	}
}

/* Checks that a job that is removed, or whose record is replaced, has ended. */
static void check_ended(world_t *w, const fake_job_t *job, const char *change)
{
	if (job->cancelled_ms == 0 && !world_all_done(job) &&
	    !world_any_out_of_attempts(job) && !world_any_crashed_workers(job))
		world_violation(w, "job %s is %s and not finished", job->id,
				change);
	if (world_any_running(job))
		world_violation(w, "job %s is %s and runs", job->id, change);
}

/* Replaces records by short ones; the call or its answer may be lost. */
static void shorten_jobs(world_t *w, node_t *node)
{
	bw_ended_job_t ended[SHORTENED_MAX];
	uint32_t count;
	uint32_t i;

	if (node->fence == 0 || node->fence != w->owner_fence)
		return;
	count = bw_sched_shortenable(node->sched, w->now_ms, ended,
				     SHORTENED_MAX);
	for (i = 0; i < count; i++) {
		fake_job_t *job = world_find_job(w, ended[i].id);

		bw_sched_short_sent(node->sched, ended[i].id);
		if (world_random_bool(w, w->config.lost_share))
			continue;
		check_ended(w, job, "shortened");
		if (job->removed_ms > 0)
			world_violation(w, "job %s is brought back", job->id);
		if (job->short_ms == 0)
			job->short_ms = w->now_ms;
		job->short_state = ended[i].state;
		if (!world_random_bool(w, w->config.lost_share))
			bw_sched_short_stored(node->sched, job->id);
	}
}

/* Removes finished jobs from the store; the answer to the node may be lost. */
static void remove_jobs(world_t *w, node_t *node)
{
	const char *ids[REMOVED_MAX];
	uint32_t count;
	uint32_t i;

	if (node->fence == 0 || node->fence != w->owner_fence)
		return;
	count = bw_sched_removable(node->sched, w->now_ms, ids, REMOVED_MAX);
	for (i = 0; i < count; i++) {
		fake_job_t *job = world_find_job(w, ids[i]);

		check_ended(w, job, "removed");
		if (job->removed_ms == 0)
			job->removed_ms = w->now_ms;
		if (!world_random_bool(w, w->config.lost_share))
			bw_sched_job_removed(node->sched, w->now_ms, ids[i]);
	}
}

/* A registration expires 4.5 s after the worker was last read alive. */
static void load_workers(world_t *w, node_t *node)
{
	static const char *const labels[] = { "a", "r1" };
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);
		bw_worker_info_t info = {
			.id = worker->id,
			.address = worker->name,
			.capacity = worker->capacity,
			.labels = labels,
			.label_count = 2,
			.rack = world_rack(w, worker),
			.machine = worker->name,
			.started_ms = worker->started_ms + 1000000,
		};

		/* A later boot under its id has replaced its registration. */
		if (world_find_worker(w, worker->id) != worker)
			continue;
		worker->told[node->index] = worker->capacity;
		if (worker->alive)
			worker->registered_until_ms = w->now_ms + 4500;
		if (w->now_ms < worker->registered_until_ms)
			bw_sched_worker_registered(node->sched, w->now_ms,
						   &info);
		else
			bw_sched_worker_unregistered(node->sched, w->now_ms,
						     worker->id);
	}
	bw_sched_registrations_read(node->sched, w->now_ms);
}

void world_on_directory(world_t *w, void *arg)
{
	node_t *node = arg;

	if (node->sched && world_node_running(w, node) && !w->store_down &&
	    !node->store_unreachable) {
		load_workers(w, node);
		load_jobs(w, node);
		shorten_jobs(w, node);
		remove_jobs(w, node);
		world_run_sched(w, node);
	}
	if (w->now_ms < w->end_ms)
		world_schedule(w, DIRECTORY_INTERVAL_MS, world_on_directory,
			       node);
}

/* Makes a node the owner: its scheduler starts from what is stored. */
static void take_over(world_t *w, node_t *node)
{
	bw_sched_config_t config = {
		.grant_ms = GRANT_MS,
		.grant_ms_max = GRANT_MS,
		.grant_cap_ms = GRANT_CAP_MS,
		.outage_ms = OUTAGE_MS,
		.stop_ms = STOP_MS,
		.retention_ms = w->config.retention_ms,
		.removed_ms = STALE_MS + 1,
		.confirm_ms = w->config.confirm_ms,
		.remote_factor = world_remote_factor(w),
	};
	gsize bytes;
	const uint8_t *data;

	if (node->sched)
		world_destroy_sched(node);
	w->owner_fence = (uint64_t)++w->rev;
	w->owner_node = node->index;
	w->owner_lease_end_ms = w->now_ms + LEASE_MS;
	node->fence = w->owner_fence;
	node->lease_end_ms = w->owner_lease_end_ms;
	node->saved_version = 0;
	node->last_save_ms = 0;
	node->last_run_ms = 0;
	config.fence = node->fence;
	world_note_claim(w, node);
	node->sched =
		bw_sched_create(&config, &world_sched_ops, node, w->now_ms);
	bw_sched_set_queue(node->sched, &queue_config);
	world_set_tenants(w, node->sched);
	node->state_rev = w->state_rev;
	node->known_from = w->state_known_from;
	if (w->state) {
		data = g_bytes_get_data(w->state, &bytes);
		if (bw_sched_load(node->sched, w->now_ms, data, bytes) != BW_OK)
			world_violation(w, "the stored state does not load");
	}
	load_jobs(w, node);
	load_workers(w, node);
	world_run_sched(w, node);
	world_trace(w, "takeover",
		    node->index == 0   ? "0"
		    : node->index == 1 ? "1"
				       : "2");
}

static void renew_lease(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];

	if (w->owner_fence == 0 || owner->fence != w->owner_fence ||
	    !world_node_running(w, owner) || owner->store_unreachable ||
	    w->store_down)
		return;
	w->owner_lease_end_ms = w->now_ms + LEASE_MS;
	owner->lease_end_ms = w->owner_lease_end_ms;
}

/* Ends an expired lease and picks a new owner, at random. */
static void elect_owner(world_t *w)
{
	uint32_t start = (uint32_t)world_random_between(w, 0, NODE_COUNT - 1);
	uint32_t i;

	if (w->store_down)
		return;
	if (w->owner_fence != 0 && w->now_ms >= w->owner_lease_end_ms)
		world_end_claim(w);
	if (w->owner_fence != 0 || world_random_bool(w, 0.5))
		return;
	for (i = 0; i < NODE_COUNT; i++) {
		node_t *node = &w->nodes[(start + i) % NODE_COUNT];

		if (!world_node_running(w, node) || node->store_unreachable)
			continue;
		take_over(w, node);
		return;
	}
}

/* Sometimes reports to the owner that no earlier owner has a scheduler left. */
static void report_predecessor_stopped(world_t *w)
{
	uint32_t i;

	if (w->owner_fence == 0 || !world_random_bool(w, 0.2))
		return;
	for (i = 0; i < NODE_COUNT; i++)
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
	elect_owner(w);
	if (!w->owners)
		report_predecessor_stopped(w);
	for (i = 0; i < NODE_COUNT; i++)
		world_run_sched(w, &w->nodes[i]);
	if (w->now_ms < w->end_ms)
		world_schedule(w, TICK_INTERVAL_MS, world_on_tick, arg);
}

void world_free_save(event_fn fn, void *arg)
{
	if (fn == on_save || fn == on_save_answer)
		save_free(arg);
}
