#include "standin_workers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "net/simplehttp.h"
#include "platform.h"
#include "standin/anyport.h"

#define BODY_BYTES_MAX	 (1U << 20)
#define CONNECTIONS_MAX	 128U
#define ENDS_LISTED_MAX	 500U
#define TICK_S		 0.005
#define HEARTBEAT_MS	 500
#define GRANT_MAX_MS	 4000
#define WAIT_MAX_MS	 2000
#define STOP_MS		 50
#define CPU_MILLIS	 8000
#define MEM_MB		 65536
#define ID_BYTES	 32
#define TASK_BYTES	 80
#define CLOCK_START_MS	 100000
#define CLOCK_START_STEP 1000
/** Workers' clocks may be so slow, by the users' pages. */
#define CLOCK_RATE_SLOW	  0.98
#define ENTRY_LOST_BEATS  3
#define REASON_BYTES	  16
#define WORKERS_IN_A_RACK 2U

/** A run that is present. */
typedef struct run {
	soak_run_t key;
	int64_t cpu_millis;
	int64_t begun_ms;
	int64_t end_ms; /**< When its work is done. */
	bool fails;
	int64_t stop_ms; /**< When it is stopped; 0: it isn't. */
} run_t;

/** An end that no node has taken note of. */
typedef struct end {
	int64_t number;
	soak_run_t key;
	const char *how;
	int64_t at_ms;
} end_t;

/** A heartbeat that waits for an end. */
typedef struct waiter {
	struct worker *worker;
	bw_simple_request_t *request;
	ev_timer timer;
	bool woken;
} waiter_t;

typedef struct server {
	struct worker *worker;
	uint32_t node;
	bw_anyport_t port;
	bw_simplehttp_t *http;
	char *public_address;
} server_t;

typedef struct worker {
	soak_workers_t *all;
	uint32_t index;
	char id[ID_BYTES];
	bool up;
	uint32_t life;
	int64_t born_ms;
	int64_t boot_ms;
	int64_t seq;
	int64_t fence;
	int64_t grant_ms; /**< On its clock. */
	int64_t lapsed_ms; /**< When the grant lapsed last; 0: never. */
	int64_t last_end;
	GArray *runs; /**< run_t */
	GArray *ends; /**< end_t */
	GHashTable *highest; /**< Highest run that ended, by task. */
	GPtrArray *waiters;
	int64_t beat_ms; /**< When its entry is written next. */
	int64_t back_ms; /**< When it starts again. */
	bool same_id;
	char lost_id[ID_BYTES]; /**< Its earlier entry, not yet removed. */
	int64_t lost_ms; /**< When that is removed. */
	server_t servers[SOAK_NODES];
} worker_t;

struct soak_workers {
	soak_workers_config_t config;
	worker_t workers[SOAK_WORKERS];
	uint32_t lives;
	uint64_t starts;
	bool store_down;
	ev_timer tick;
};

/** A call: its body, and when it came. */
typedef struct call {
	worker_t *worker;
	uint32_t node;
	json_t *body;
	int64_t now_ms;
} call_t;

void soak_pool_name(uint32_t pool, char *out, size_t bytes)
{
	g_snprintf(out, bytes, "pool-%u", pool);
}

static int64_t get_int(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static int64_t clock_start_ms(const worker_t *w)
{
	return CLOCK_START_MS + CLOCK_START_STEP * (int64_t)w->life;
}

static double clock_rate(const worker_t *w)
{
	return w->life % 2 ? 1.0 : CLOCK_RATE_SLOW;
}

/* Each life has a clock of its own, and every other one is slow. */
static int64_t clock_ms(const worker_t *w, int64_t now_ms)
{
	return clock_start_ms(w) +
	       (int64_t)((double)(now_ms - w->boot_ms) * clock_rate(w));
}

/* Returns when the clock has passed the grant. */
static int64_t lapse_time_ms(const worker_t *w)
{
	int64_t left_ms = w->grant_ms - clock_start_ms(w) + 1;

	return w->boot_ms + (int64_t)((double)left_ms / clock_rate(w));
}

/* One worker of each pool ends each connection with its answer. */
static bool keeps_no_connection(const worker_t *w)
{
	return w->index < SOAK_POOLS;
}

static json_t *pack_entry(const worker_t *w, uint32_t node)
{
	char pool[ID_BYTES];
	char rack[ID_BYTES];
	char machine[ID_BYTES];

	soak_pool_name(w->index % SOAK_POOLS, pool, sizeof(pool));
	g_snprintf(rack, sizeof(rack), "r1-%u", w->index / WORKERS_IN_A_RACK);
	g_snprintf(machine, sizeof(machine), "m-%u", w->index);
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:s,s:{s:i,s:i,s:i},"
		"s:[s,s]}",
		"service", pool, "address", w->servers[node].public_address,
		"zone", "zone-a", "version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "seq", (json_int_t)w->seq, "born",
		(json_int_t)w->born_ms, "machine", machine, "capacity", "cpu",
		CPU_MILLIS, "mem_mb", MEM_MB, "gpu", 0, "labels", "a", rack);
}

static void write_entry(worker_t *w, int64_t now_ms)
{
	char *values[SOAK_NODES];
	char key[2 * ID_BYTES];
	uint32_t i;

	w->beat_ms = now_ms + HEARTBEAT_MS;
	if (w->all->store_down)
		return;
	w->seq++;
	for (i = 0; i < SOAK_NODES; i++) {
		json_t *entry = pack_entry(w, i);

		values[i] = json_dumps(entry, JSON_COMPACT);
		json_decref(entry);
	}
	g_snprintf(key, sizeof(key), "servers/%s", w->id);
	soak_store_put_each(w->all->config.store, key,
			    (const char *const *)values);
	for (i = 0; i < SOAK_NODES; i++)
		free(values[i]);
}

static void remove_entry(worker_t *w)
{
	char key[2 * ID_BYTES];

	g_snprintf(key, sizeof(key), "servers/%s", w->lost_id);
	soak_store_remove(w->all->config.store, key);
	w->lost_ms = 0;
}

static void boot(worker_t *w, int64_t now_ms)
{
	soak_workers_t *all = w->all;

	w->life = ++all->lives;
	if (!w->same_id)
		g_snprintf(w->id, sizeof(w->id), "i-%u-%u", w->index, w->life);
	else
		w->lost_ms = 0;
	w->up = true;
	w->born_ms = bw_clock_wall_ms();
	w->boot_ms = now_ms;
	w->seq = 0;
	w->fence = 0;
	w->grant_ms = 0;
	w->lapsed_ms = 0;
	w->last_end = 0;
	w->back_ms = 0;
	soak_record(all->config.record,
		    "worker up worker=%s life=%u machine=%u", w->id, w->life,
		    w->index);
	write_entry(w, now_ms);
}

static void wake_heartbeats(worker_t *w)
{
	guint i;

	for (i = 0; i < w->waiters->len; i++) {
		waiter_t *waiter = g_ptr_array_index(w->waiters, i);

		if (waiter->woken)
			continue;
		waiter->woken = true;
		bw_simple_wake(waiter->request);
	}
}

static void raise_highest(worker_t *w, const soak_run_t *run)
{
	char task[TASK_BYTES];
	gpointer highest;

	platform_task_format(&run->task, task, sizeof(task));
	highest = g_hash_table_lookup(w->highest, task);
	if (GPOINTER_TO_UINT(highest) < run->number)
		g_hash_table_insert(w->highest, g_strdup(task),
				    GUINT_TO_POINTER(run->number));
}

static void record_run(const worker_t *w, const char *event,
		       const soak_run_t *run, const char *more)
{
	char task[TASK_BYTES];

	platform_task_format(&run->task, task, sizeof(task));
	soak_record(w->all->config.record,
		    "worker %s worker=%s life=%u task=%s run=%u %s", event,
		    w->id, w->life, task, run->number, more);
}

static void end_run(worker_t *w, guint index, const char *how, int64_t at_ms)
{
	run_t run = g_array_index(w->runs, run_t, index);
	end_t end = { .key = run.key, .how = how, .at_ms = at_ms };

	g_array_remove_index_fast(w->runs, index);
	end.number = ++w->last_end;
	g_array_append_val(w->ends, end);
	raise_highest(w, &run.key);
	record_run(w, "ended", &run.key, how);
	soak_judge_ended(w->all->config.judge, &run.key, how, at_ms);
	wake_heartbeats(w);
}

/* Returns when a run ends, and how, unless an order changes that. */
static int64_t next_end(const worker_t *w, const run_t *run, const char **how)
{
	int64_t lapse_ms = lapse_time_ms(w);
	int64_t at_ms = run->end_ms;

	*how = run->fails ? "failed" : "done";
	if (run->stop_ms > 0 && run->stop_ms < at_ms) {
		at_ms = run->stop_ms;
		*how = "stopped";
	}
	if (lapse_ms < at_ms) {
		at_ms = lapse_ms;
		*how = "lapsed";
	}
	return at_ms;
}

/* Brings a worker to the present, also if this process was late. */
static void settle(worker_t *w, int64_t now_ms)
{
	guint i = w->runs->len;

	while (i-- > 0) {
		const char *how;
		int64_t at_ms =
			next_end(w, &g_array_index(w->runs, run_t, i), &how);

		if (at_ms <= now_ms)
			end_run(w, i, how, at_ms);
	}
	if (clock_ms(w, now_ms) > w->grant_ms)
		w->lapsed_ms = now_ms;
}

static void settle_all(soak_workers_t *all, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < SOAK_WORKERS; i++)
		if (all->workers[i].up)
			settle(&all->workers[i], now_ms);
}

static void tick_worker(worker_t *w, int64_t now_ms)
{
	bool same_entry = w->up && !strcmp(w->id, w->lost_id);

	if (w->lost_ms > 0 && now_ms >= w->lost_ms && !w->all->store_down &&
	    !same_entry)
		remove_entry(w);
	if (w->back_ms > 0 && now_ms >= w->back_ms)
		boot(w, now_ms);
	if (!w->up)
		return;
	settle(w, now_ms);
	if (now_ms >= w->beat_ms)
		write_entry(w, now_ms);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_workers_t *all = timer->data;
	int64_t now_ms = bw_clock_now_ms();
	uint32_t i;

	(void)loop;
	(void)revents;
	for (i = 0; i < SOAK_WORKERS; i++)
		tick_worker(&all->workers[i], now_ms);
}

void soak_workers_crash(soak_workers_t *all, uint32_t worker, int64_t back_ms,
			bool same_id)
{
	worker_t *w = &all->workers[worker];
	int64_t now_ms = bw_clock_now_ms();
	guint i;

	if (!w->up)
		return;
	settle(w, now_ms);
	soak_record(all->config.record, "fault worker-crash worker=%s", w->id);
	w->up = false;
	for (i = 0; i < w->runs->len; i++) {
		const run_t *run = &g_array_index(w->runs, run_t, i);

		record_run(w, "ended", &run->key, "gone");
		soak_judge_ended(all->config.judge, &run->key, "gone", now_ms);
	}
	g_array_set_size(w->runs, 0);
	g_array_set_size(w->ends, 0);
	g_hash_table_remove_all(w->highest);
	if (w->lost_ms > 0)
		remove_entry(w);
	g_strlcpy(w->lost_id, w->id, sizeof(w->lost_id));
	w->lost_ms = now_ms + (int64_t)ENTRY_LOST_BEATS * HEARTBEAT_MS;
	w->back_ms = now_ms + back_ms;
	w->same_id = same_id;
	wake_heartbeats(w);
}

void soak_workers_set_store_down(soak_workers_t *all, bool down)
{
	all->store_down = down;
}

static enum MHD_Result reply(bw_simple_request_t *r, unsigned int status,
			     json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	enum MHD_Result result = bw_simple_reply(r, status, "application/json",
						 text, strlen(text));

	free(text);
	json_decref(body);
	return result;
}

static enum MHD_Result accept_call(bw_simple_request_t *r, const call_t *call)
{
	return reply(
		r, 200,
		json_pack("{s:I}", "clock_ms",
			  (json_int_t)clock_ms(call->worker, call->now_ms)));
}

static enum MHD_Result reject_call(bw_simple_request_t *r, const call_t *call,
				   const char *reason)
{
	return reply(r, 409,
		     json_pack("{s:I,s:s}", "clock_ms",
			       (json_int_t)clock_ms(call->worker, call->now_ms),
			       "reason", reason));
}

static void extend_grant(const call_t *call)
{
	worker_t *w = call->worker;
	int64_t grant_ms = MIN(get_int(call->body, "deadline_ms"),
			       clock_ms(w, call->now_ms) + GRANT_MAX_MS);

	w->grant_ms = MAX(w->grant_ms, grant_ms);
}

static bool get_run(const call_t *call, soak_run_t *run)
{
	*run = (soak_run_t){
		.number = (uint32_t)get_int(call->body, "run"),
		.life = call->worker->life,
		.node = call->node,
	};
	return platform_task_parse(
		json_string_value(json_object_get(call->body, "task")),
		&run->task);
}

static run_t *find_run(worker_t *w, const bw_task_name_t *task)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		run_t *run = &g_array_index(w->runs, run_t, i);

		if (bw_task_name_equal(&run->key.task, task))
			return run;
	}
	return NULL;
}

static uint32_t highest_run(const worker_t *w, const bw_task_name_t *name)
{
	char task[TASK_BYTES];

	platform_task_format(name, task, sizeof(task));
	return GPOINTER_TO_UINT(g_hash_table_lookup(w->highest, task));
}

static void check_capacity(worker_t *w, const run_t *run)
{
	int64_t used = run->cpu_millis;
	guint i;

	for (i = 0; i < w->runs->len; i++)
		used += g_array_index(w->runs, run_t, i).cpu_millis;
	if (used > CPU_MILLIS)
		soak_judge_fail(w->all->config.judge, SOAK_CAPACITY,
				run->key.task.job,
				"worker %s uses %" PRId64 " of %d cpu", w->id,
				used, CPU_MILLIS);
}

static void begin_run(const call_t *call, const soak_run_t *key)
{
	worker_t *w = call->worker;
	soak_workers_t *all = w->all;
	const soak_job_t *job = soak_plan_find(all->config.plan, key->task.job);
	run_t run = { .key = *key, .begun_ms = call->now_ms };
	char more[64];

	g_snprintf(more, sizeof(more), "node=node-%u fence=%" PRId64, key->node,
		   w->fence);
	record_run(w, "started", key, more);
	settle_all(all, call->now_ms);
	soak_judge_started(
		all->config.judge, key,
		json_string_value(json_object_get(call->body, "spec")),
		call->now_ms);
	if (job && key->task.step < job->step_count) {
		const soak_step_t *step = &job->steps[key->task.step];

		run.cpu_millis = step->cpu_millis;
		run.end_ms = call->now_ms + step->work_ms;
		run.fails = step->fails_once && key->task.index == 0 &&
			    key->number == 1;
	}
	check_capacity(w, &run);
	g_array_append_val(w->runs, run);
	all->starts++;
}

static enum MHD_Result serve_start(bw_simple_request_t *r, const call_t *call)
{
	worker_t *w = call->worker;
	const run_t *present;
	soak_run_t run;

	if (!get_run(call, &run))
		return reply(r, 400, json_object());
	extend_grant(call);
	present = find_run(w, &run.task);
	if (present && present->key.number == run.number)
		return accept_call(r, call);
	if (present || run.number <= highest_run(w, &run.task))
		return reject_call(r, call, "old");
	if (w->grant_ms <= clock_ms(w, call->now_ms))
		return reject_call(r, call, "late");
	begin_run(call, &run);
	return accept_call(r, call);
}

static enum MHD_Result serve_stop(bw_simple_request_t *r, const call_t *call)
{
	worker_t *w = call->worker;
	soak_run_t run;
	run_t *present;

	if (!get_run(call, &run))
		return reply(r, 400, json_object());
	record_run(w, "stop", &run, "");
	raise_highest(w, &run);
	present = find_run(w, &run.task);
	if (present && present->key.number == run.number &&
	    present->stop_ms == 0)
		present->stop_ms = call->now_ms + STOP_MS;
	return accept_call(r, call);
}

/* An end before which the grant lapsed is never taken note of. */
static void forget_ends(const call_t *call)
{
	int64_t seen = get_int(call->body, "last_seen");
	worker_t *w = call->worker;

	while (w->ends->len > 0 &&
	       g_array_index(w->ends, end_t, 0).number <= seen) {
		const end_t *end = &g_array_index(w->ends, end_t, 0);

		record_run(w, "noted", &end->key, end->how);
		if (w->lapsed_ms < end->at_ms)
			soak_judge_noted(w->all->config.judge, &end->key,
					 end->how);
		g_array_remove_index(w->ends, 0);
	}
}

static json_t *pack_runs(const worker_t *w, int64_t now_ms)
{
	json_t *rows = json_array();
	char task[TASK_BYTES];
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const run_t *run = &g_array_index(w->runs, run_t, i);
		int64_t whole_ms = MAX(run->end_ms - run->begun_ms, 1);

		platform_task_format(&run->key.task, task, sizeof(task));
		json_array_append_new(
			rows,
			json_pack("[s,I,s,I,i]", task,
				  (json_int_t)run->key.number, "",
				  (json_int_t)(100 * (now_ms - run->begun_ms) /
					       whole_ms),
				  100));
	}
	return rows;
}

static json_t *pack_ends(const worker_t *w)
{
	json_t *rows = json_array();
	char task[TASK_BYTES];
	guint i;

	for (i = 0; i < MIN(w->ends->len, ENDS_LISTED_MAX); i++) {
		const end_t *end = &g_array_index(w->ends, end_t, i);

		platform_task_format(&end->key.task, task, sizeof(task));
		json_array_append_new(
			rows,
			json_pack("[I,s,I,s,s]", (json_int_t)end->number, task,
				  (json_int_t)end->key.number, end->how, ""));
	}
	return rows;
}

static void waiter_free(void *user)
{
	waiter_t *waiter = user;

	ev_timer_stop(waiter->worker->all->config.loop, &waiter->timer);
	g_ptr_array_remove_fast(waiter->worker->waiters, waiter);
	g_free(waiter);
}

static void on_wait_over(struct ev_loop *loop, ev_timer *timer, int revents)
{
	waiter_t *waiter = timer->data;

	(void)loop;
	(void)revents;
	if (waiter->woken)
		return;
	waiter->woken = true;
	bw_simple_wake(waiter->request);
}

static enum MHD_Result wait_for_end(bw_simple_request_t *r, worker_t *w,
				    int64_t wait_ms)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->worker = w;
	waiter->request = r;
	r->user = waiter;
	r->user_free = waiter_free;
	ev_timer_init(&waiter->timer, on_wait_over, (double)wait_ms / 1000.0,
		      0.0);
	waiter->timer.data = waiter;
	ev_timer_start(w->all->config.loop, &waiter->timer);
	g_ptr_array_add(w->waiters, waiter);
	return bw_simple_wait(r);
}

static enum MHD_Result serve_heartbeat(bw_simple_request_t *r,
				       const call_t *call)
{
	worker_t *w = call->worker;
	int64_t wait_ms = MIN(get_int(call->body, "wait_ms"), WAIT_MAX_MS);

	/* The second call of the handler, after the wait, changes nothing. */
	if (!r->user) {
		extend_grant(call);
		forget_ends(call);
		if (w->ends->len == 0 && wait_ms > 0)
			return wait_for_end(r, w, wait_ms);
	}
	return reply(r, 200,
		     json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			       (json_int_t)clock_ms(w, call->now_ms), "born",
			       (json_int_t)w->born_ms, "running",
			       pack_runs(w, call->now_ms), "ended",
			       pack_ends(w)));
}

static enum MHD_Result serve_pace(bw_simple_request_t *r, const call_t *call)
{
	return accept_call(r, call);
}

static const struct {
	const char *path;
	enum MHD_Result (*serve)(bw_simple_request_t *r, const call_t *call);
} calls[] = {
	{ "/v1/run-start", serve_start },
	{ "/v1/run-stop", serve_stop },
	{ "/v1/hold", serve_heartbeat },
	{ "/v1/pace", serve_pace },
};

static enum MHD_Result serve(bw_simple_request_t *r, const call_t *call)
{
	int64_t fence = get_int(call->body, "fence_token");
	size_t i;

	/* A heartbeat that has waited was accepted before. */
	if (!r->user && fence < call->worker->fence)
		return reject_call(r, call, "fence");
	call->worker->fence = MAX(call->worker->fence, fence);
	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		if (!strcmp(r->path, calls[i].path))
			return calls[i].serve(r, call);
	return reply(r, 400, json_object());
}

static enum MHD_Result on_request(void *ctx, bw_simple_request_t *r)
{
	const server_t *server = ctx;
	worker_t *w = server->worker;
	const char *target = MHD_lookup_connection_value(
		r->connection, MHD_HEADER_KIND, "X-Target-Instance");
	call_t call = { .worker = w,
			.node = server->node,
			.now_ms = bw_clock_now_ms() };
	enum MHD_Result result;

	if (!w->up)
		return MHD_NO;
	r->close = keeps_no_connection(w);
	if (target && strcmp(target, w->id) != 0)
		return reply(r, 421, json_object());
	settle(w, call.now_ms);
	call.body = json_loadb(r->body->str, r->body->len, 0, NULL);
	result = serve(r, &call);
	json_decref(call.body);
	return result;
}

static void start_server(worker_t *w, uint32_t node)
{
	server_t *server = &w->servers[node];
	bw_simple_config_t config = { .address = server->port.address,
				      .body_bytes_max = BODY_BYTES_MAX,
				      .connections_max = CONNECTIONS_MAX };

	server->worker = w;
	server->node = node;
	if (bw_anyport_reserve("127.0.0.1", &server->port) == BW_OK &&
	    bw_simplehttp_create(w->all->config.loop, &config, on_request,
				 server, &server->http) == BW_OK)
		return;
	fprintf(stderr, "soak: worker: %s\n", bw_status_message());
	exit(2);
}

soak_workers_t *soak_workers_create(const soak_workers_config_t *config)
{
	soak_workers_t *all = g_new0(soak_workers_t, 1);
	uint32_t i;
	uint32_t node;

	all->config = *config;
	for (i = 0; i < SOAK_WORKERS; i++) {
		worker_t *w = &all->workers[i];

		w->all = all;
		w->index = i;
		w->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
		w->ends = g_array_new(FALSE, FALSE, sizeof(end_t));
		w->highest = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
		w->waiters = g_ptr_array_new();
		for (node = 0; node < SOAK_NODES; node++)
			start_server(w, node);
	}
	return all;
}

const char *soak_workers_address(const soak_workers_t *all, uint32_t worker,
				 uint32_t node)
{
	return all->workers[worker].servers[node].port.address;
}

void soak_workers_set_public(soak_workers_t *all, uint32_t worker,
			     uint32_t node, const char *address)
{
	all->workers[worker].servers[node].public_address = g_strdup(address);
}

void soak_workers_start(soak_workers_t *all)
{
	int64_t now_ms = bw_clock_now_ms();
	uint32_t i;

	for (i = 0; i < SOAK_WORKERS; i++)
		boot(&all->workers[i], now_ms);
	ev_timer_init(&all->tick, on_tick, TICK_S, TICK_S);
	all->tick.data = all;
	ev_timer_start(all->config.loop, &all->tick);
}

uint64_t soak_workers_starts(const soak_workers_t *all)
{
	return all->starts;
}

uint32_t soak_workers_busiest(const soak_workers_t *all, uint32_t pool)
{
	uint32_t busiest = pool;
	uint32_t i;

	for (i = pool; i < SOAK_WORKERS; i += SOAK_POOLS)
		if (all->workers[i].runs->len > all->workers[busiest].runs->len)
			busiest = i;
	return busiest;
}
