#include "fleet/maintenance.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/missing.h"
#include "fleet/wave_pace.h"
#include "fleet/wave_record.h"

/** Age from which a wave's record is read from the store again. */
#define RECORD_MAX_AGE_MS 2000
#define ORDER_RETRY_MS	  400
/** The list of machines shows a maintenance after at most this time. */
#define MAINTENANCE_LAG_MAX_MS 300
#define CALL_RETRY_MS	       300

/** A machine that may be reserved. */
typedef struct candidate {
	const char *machine;
	uint32_t tasks;
	uint32_t lasting; /**< How many of the tasks are lasting. */
	int64_t started_ms; /**< Unix time of its worker's start; 0: not known.
			     */
} candidate_t;

typedef struct wave {
	bw_maintenance_t *m;
	bw_wave_order_t *order;
	char *key;
	GHashTable *entries; /**< Machine to bw_wave_entry_t. */
	bw_missing_t *missing; /**< Its machines that the list lacks. */
	int64_t revision;
	int64_t read_ms;
	int64_t begin_ms; /**< When this node first ticked it; 0: not yet. */
	int64_t next_ms; /**< No store call before this time. */
	bool record_read; /**< The record has been read. */
	bool unreadable; /**< This version can't read the record. */
	bool call_pending;
	bool start_written; /**< It has a status in the store. */
	bool completed;
	bool status_pending;
} wave_t;

struct bw_maintenance {
	bw_maintenance_env_t env;
	bw_maintenance_ops_t ops;
	void *ctx;
	GHashTable *waves; /**< Number to wave_t. */
	const bw_maintenance_view_t *view; /**< During a tick. */
	uint32_t refs; /**< The owner and each call in progress. */
	bool closed;
};

/** Context of an order to a machine. */
typedef struct order_ctx {
	wave_t *wave;
	char *machine;
} order_ctx_t;

static void read_record(wave_t *wave);
static void on_record(void *ctx, const bw_store_reply_t *reply);
static bw_status_t merge_record(wave_t *wave, const bw_store_kv_t *kv);
static void write_record(wave_t *wave);
static void on_written(void *ctx, const bw_store_reply_t *reply);
static void order_maintenance(wave_t *wave, bw_wave_entry_t *entry,
			      int64_t now_ms);
static void on_ordered(void *ctx, bw_machine_result_t result);
static void tick_wave(wave_t *wave, int64_t now_ms);
static void write_status(wave_t *wave, bool completed);
static void on_start_written(void *ctx, const bw_store_reply_t *reply);
static void on_completion_written(void *ctx, const bw_store_reply_t *reply);

static const char *const result_names[BW_MACHINE_RESULT_COUNT] = {
	[BW_MACHINE_OK] = "ok",		  [BW_MACHINE_FENCED] = "fenced",
	[BW_MACHINE_BUSY] = "busy",	  [BW_MACHINE_NOT_DUE] = "not-due",
	[BW_MACHINE_REFUSED] = "refused", [BW_MACHINE_FAILED] = "failed",
};

static void wave_free(gpointer data)
{
	wave_t *wave = data;

	bw_wave_order_free(wave->order);
	g_hash_table_destroy(wave->entries);
	bw_missing_destroy(wave->missing);
	g_free(wave->key);
	g_free(wave);
}

bw_maintenance_t *bw_maintenance_create(const bw_maintenance_env_t *env,
					const bw_maintenance_ops_t *ops,
					void *ctx)
{
	bw_maintenance_t *m = g_new0(bw_maintenance_t, 1);

	m->env = *env;
	m->ops = *ops;
	m->ctx = ctx;
	m->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 wave_free);
	m->refs = 1;
	return m;
}

static void unref(bw_maintenance_t *m)
{
	if (--m->refs > 0)
		return;
	g_hash_table_destroy(m->waves);
	g_free(m);
}

void bw_maintenance_destroy(bw_maintenance_t *m)
{
	if (!m)
		return;
	m->closed = true;
	unref(m);
}

void bw_maintenance_add_wave(bw_maintenance_t *m, bw_wave_order_t *order)
{
	wave_t *wave;

	if (g_hash_table_contains(m->waves, &order->number)) {
		bw_wave_order_free(order);
		return;
	}
	wave = g_new0(wave_t, 1);
	wave->m = m;
	wave->order = order;
	wave->key = g_strdup_printf("bw/w/%" G_GINT64_FORMAT, order->number);
	wave->entries = bw_wave_entries_new();
	wave->missing = bw_missing_create();
	g_hash_table_insert(m->waves, &order->number, wave);
	bw_event(BW_EVENT_UPKEEP_WAVE,
		 "wave=%" G_GINT64_FORMAT " machines=%u at_once=%u "
		 "duration_ms=%" G_GINT64_FORMAT,
		 order->number, g_strv_length(order->machines),
		 order->at_once_max, order->duration_ms);
}

static void read_record(wave_t *wave)
{
	bw_store_t *store = &wave->m->env.store;

	wave->call_pending = true;
	wave->m->refs++;
	store->ops->get(store->impl, wave->key, on_record, wave);
}

/* Leaves a wave alone whose record can't be read, for a node that can. */
static void refuse_record(wave_t *wave, int64_t now_ms)
{
	wave->unreadable = true;
	wave->record_read = false;
	wave->next_ms = now_ms + RECORD_MAX_AGE_MS;
	bw_event(BW_EVENT_UPKEEP_RECORD_UNREADABLE,
		 "wave=%" G_GINT64_FORMAT " error=\"%s\"", wave->order->number,
		 bw_status_message());
}

static void handle_read(wave_t *wave, const bw_store_reply_t *reply)
{
	int64_t now_ms = bw_clock_now_ms();

	wave->call_pending = false;
	wave->m->ops.store_result(wave->m->ctx, reply->status);
	if (reply->status == BW_ENOTFOUND) {
		wave->revision = 0;
	} else if (reply->status != BW_OK || reply->kv_count == 0) {
		wave->next_ms = now_ms + CALL_RETRY_MS;
		return;
	} else if (merge_record(wave, &reply->kvs[0]) != BW_OK) {
		refuse_record(wave, now_ms);
		return;
	}
	wave->unreadable = false;
	wave->record_read = true;
	wave->read_ms = now_ms;
}

static void on_record(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *m = ((wave_t *)ctx)->m;

	if (!m->closed)
		handle_read(ctx, reply);
	unref(m);
}

static bw_status_t merge_record(wave_t *wave, const bw_store_kv_t *kv)
{
	bw_status_t status = bw_wave_record_merge(
		wave->entries, (const uint8_t *)kv->value, kv->bytes);

	if (status == BW_OK)
		wave->revision = kv->mod_revision;
	return status;
}

static void write_record(wave_t *wave)
{
	bw_store_t *store = &wave->m->env.store;
	bw_store_expect_t expect = { wave->key, wave->revision };
	bw_store_write_t write = { .key = wave->key };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };
	uint8_t *data = bw_wave_record_pack(wave->entries, &write.bytes);

	write.value = (const char *)data;
	wave->call_pending = true;
	wave->m->refs++;
	store->ops->txn(store->impl, &txn, on_written, wave);
	g_free(data);
}

static void handle_written(wave_t *wave, const bw_store_reply_t *reply)
{
	bool good = reply->status == BW_OK && reply->succeeded;
	GHashTableIter iter;
	gpointer value;

	wave->call_pending = false;
	wave->m->ops.store_result(wave->m->ctx, reply->status);
	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_wave_entry_t *entry = value;

		/*
		 * After a failure, entries that were not stored before are
		 * removed. If the store did write them, reading the record
		 * adds them again.
		 */
		if (good)
			entry->stored = entry->progress;
		else if (entry->stored == 0)
			g_hash_table_iter_remove(&iter);
	}
	if (good) {
		wave->revision = reply->revision;
		return;
	}
	wave->record_read = false;
	wave->next_ms = bw_clock_now_ms() + CALL_RETRY_MS;
}

static void on_written(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *m = ((wave_t *)ctx)->m;

	if (!m->closed)
		handle_written(ctx, reply);
	unref(m);
}

static void order_maintenance(wave_t *wave, bw_wave_entry_t *entry,
			      int64_t now_ms)
{
	bw_maintenance_t *m = wave->m;
	order_ctx_t *order = g_new0(order_ctx_t, 1);

	order->wave = wave;
	order->machine = g_strdup(entry->machine);
	entry->call_pending = true;
	entry->next_ms = now_ms + ORDER_RETRY_MS;
	m->refs++;
	m->env.machines.maintain(m->env.machines.impl, entry->machine,
				 wave->order->number, &m->env.holder,
				 on_ordered, order);
}

static void record_order_result(order_ctx_t *order, bw_machine_result_t result)
{
	int64_t now_ms = bw_clock_now_ms();
	bw_wave_entry_t *entry =
		g_hash_table_lookup(order->wave->entries, order->machine);

	bw_event(BW_EVENT_UPKEEP_ORDERED,
		 "wave=%" G_GINT64_FORMAT " machine=%s result=%s",
		 order->wave->order->number, order->machine,
		 result_names[result]);
	if (!entry)
		return;
	entry->call_pending = false;
	entry->next_ms = now_ms + ORDER_RETRY_MS;
	if (result == BW_MACHINE_OK)
		entry->ordered_ms = now_ms;
	if (result == BW_MACHINE_NOT_DUE || result == BW_MACHINE_REFUSED) {
		/*
		 * There is no maintenance to wait for: "?" differs from every
		 * worker, so that the machine counts as back.
		 */
		entry->ordered_ms = now_ms;
		g_free(entry->worker);
		entry->worker = g_strdup("?");
	}
	if (result == BW_MACHINE_FENCED)
		order->wave->m->ops.superseded(order->wave->m->ctx);
}

static void on_ordered(void *ctx, bw_machine_result_t result)
{
	order_ctx_t *order = ctx;
	bw_maintenance_t *m = order->wave->m;

	if (!m->closed)
		record_order_result(order, result);
	g_free(order->machine);
	g_free(order);
	unref(m);
}

/*
 * "Running" is written only where there is no status yet: a write without an
 * answer may be carried out when the wave has been completed, and a new
 * controller does not know whether it has.
 */
static void write_status(wave_t *wave, bool completed)
{
	bw_maintenance_t *m = wave->m;
	char *key = m->env.values->format_wave_status_key(wave->order->number);
	char *value = m->env.values->format_wave_status(wave->order->number,
							completed);
	bw_store_expect_t no_status = { key, 0 };
	bw_store_write_t write = { key, value, strlen(value), 0 };
	bw_store_txn_t txn = { &no_status, completed ? 0 : 1, &write, 1 };

	wave->status_pending = true;
	m->refs++;
	m->env.store.ops->txn(
		m->env.store.impl, &txn,
		completed ? on_completion_written : on_start_written, wave);
	g_free(value);
	g_free(key);
}

static void record_start_written(wave_t *wave, const bw_store_reply_t *reply)
{
	wave->status_pending = false;
	wave->m->ops.store_result(wave->m->ctx, reply->status);
	wave->start_written = reply->status == BW_OK;
	wave->next_ms =
		bw_clock_now_ms() + (wave->start_written ? 0 : CALL_RETRY_MS);
}

static void on_start_written(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *m = ((wave_t *)ctx)->m;

	if (!m->closed)
		record_start_written(ctx, reply);
	unref(m);
}

static void record_completion_written(wave_t *wave,
				      const bw_store_reply_t *reply)
{
	wave->status_pending = false;
	wave->m->ops.store_result(wave->m->ctx, reply->status);
	wave->completed = reply->status == BW_OK;
	wave->next_ms = bw_clock_now_ms() + CALL_RETRY_MS;
	if (wave->completed)
		bw_event(BW_EVENT_UPKEEP_COMPLETED, "wave=%" G_GINT64_FORMAT,
			 wave->order->number);
}

static void on_completion_written(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *m = ((wave_t *)ctx)->m;

	if (!m->closed)
		record_completion_written(ctx, reply);
	unref(m);
}

static uint32_t count_reserved(const wave_t *wave)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((bw_wave_entry_t *)value)->progress == BW_WAVE_RESERVED)
			count++;
	return count;
}

/* Finds out what runs on a machine; returns false if it can't be reserved. */
static bool fill_candidate(const wave_t *wave, candidate_t *candidate)
{
	const bw_maintenance_view_t *view = wave->m->view;
	const bw_machine_t *machine =
		g_hash_table_lookup(view->machines, candidate->machine);
	const bw_worker_report_t *worker;

	if (!machine || !machine->up ||
	    g_hash_table_contains(wave->entries, candidate->machine))
		return false;
	if (machine->worker[0] == '\0')
		return true;
	if (!bw_reports_is_fresh(view->reports, view->now_ms, machine->pool))
		return false;
	worker = bw_reports_worker(view->reports, machine->pool,
				   machine->worker);
	if (!worker)
		return true;
	candidate->tasks = worker->tasks;
	candidate->lasting = worker->lasting;
	candidate->started_ms = worker->started_ms;
	return true;
}

/* Counts the reserved machines that still run lasting tasks. */
static uint32_t count_costly(const wave_t *wave)
{
	const bw_maintenance_view_t *view = wave->m->view;
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bw_wave_entry_t *entry = value;
		const bw_machine_t *machine =
			g_hash_table_lookup(view->machines, entry->machine);
		const bw_worker_report_t *worker =
			machine ? bw_reports_worker(view->reports,
						    machine->pool,
						    machine->worker)
				: NULL;

		if (entry->progress == BW_WAVE_RESERVED &&
		    entry->ordered_ms == 0 && worker && worker->lasting > 0)
			count++;
	}
	return count;
}

/* Lasting tasks weigh more than any number of others: they move one by one. */
static int compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->lasting != y->lasting)
		return x->lasting > y->lasting ? 1 : -1;
	return (x->tasks > y->tasks) - (x->tasks < y->tasks);
}

/* Returns the machines that may be reserved, the easiest to drain first. */
static GArray *list_candidates(const wave_t *wave)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	char **name;

	for (name = wave->order->machines; *name; name++) {
		candidate_t candidate = { .machine = *name };

		if (fill_candidate(wave, &candidate))
			g_array_append_val(list, candidate);
	}
	g_array_sort(list, compare_candidates);
	return list;
}

static uint32_t count_candidates_with_lasting(const GArray *candidates)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < candidates->len; i++)
		if (g_array_index(candidates, candidate_t, i).lasting > 0)
			count++;
	return count;
}

static void reserve_machine(wave_t *wave, const candidate_t *candidate,
			    uint32_t reserved)
{
	const bw_machine_t *machine = g_hash_table_lookup(
		wave->m->view->machines, candidate->machine);

	bw_wave_entry_add(wave->entries, candidate->machine, machine->worker,
			  candidate->started_ms, BW_WAVE_RESERVED);
	bw_event(BW_EVENT_UPKEEP_RESERVE,
		 "wave=%" G_GINT64_FORMAT " machine=%s worker=%s "
		 "tasks=%u reserved=%u",
		 wave->order->number, candidate->machine, machine->worker,
		 candidate->tasks, reserved);
}

/* Reserves machines up to the wave's limit, the easiest to drain first. */
static void reserve(wave_t *wave)
{
	GArray *candidates = list_candidates(wave);
	uint32_t reserved = count_reserved(wave);
	uint32_t costly = count_costly(wave);
	uint32_t costly_max =
		bw_wave_pace(costly + count_candidates_with_lasting(candidates),
			     wave->m->view->now_ms - wave->begin_ms,
			     wave->order->duration_ms);
	guint i;

	for (i = 0; i < candidates->len && reserved < wave->order->at_once_max;
	     i++) {
		const candidate_t *candidate =
			&g_array_index(candidates, candidate_t, i);

		if (candidate->lasting > 0 && costly >= costly_max)
			break;
		costly += candidate->lasting > 0;
		reserve_machine(wave, candidate, reserved++);
	}
	g_array_free(candidates, TRUE);
}

/* Returns whether a machine runs no tasks and gets no new ones. */
static bool is_drained(const bw_maintenance_view_t *view,
		       const bw_machine_t *machine)
{
	const bw_worker_report_t *worker;

	if (machine->worker[0] == '\0')
		return true;
	if (!bw_reports_is_fresh(view->reports, view->now_ms, machine->pool))
		return false;
	worker = bw_reports_worker(view->reports, machine->pool,
				   machine->worker);
	/* A worker that the owner does not list runs none of its tasks. */
	return !worker || (worker->idle && worker->cordoned);
}

/* Whether a machine has another worker than when it was reserved, or a later
 * boot under the same identifier. */
static bool has_new_worker(const bw_maintenance_view_t *view,
			   const bw_machine_t *machine,
			   const bw_wave_entry_t *entry)
{
	const bw_worker_report_t *worker;

	if (strcmp(machine->worker, entry->worker) != 0 ||
	    entry->worker[0] == '\0')
		return true;
	worker = bw_reports_worker(view->reports, machine->pool,
				   machine->worker);
	return worker && entry->worker_started_ms > 0 &&
	       worker->started_ms > entry->worker_started_ms;
}

/* Drains a reserved machine, orders its maintenance, then awaits its return. */
static void advance_machine(wave_t *wave, bw_wave_entry_t *entry)
{
	const bw_maintenance_view_t *view = wave->m->view;
	const bw_machine_t *machine =
		g_hash_table_lookup(view->machines, entry->machine);

	if (!machine)
		return;
	if (entry->ordered_ms > 0) {
		bw_reports_add_dead(view->reports, machine->pool, entry->worker,
				    entry->worker_started_ms,
				    BW_WORKER_END_ORDERED);
		if (!machine->up || !has_new_worker(view, machine, entry) ||
		    view->list_ms < entry->ordered_ms + MAINTENANCE_LAG_MAX_MS)
			return;
		entry->progress = BW_WAVE_DONE;
		bw_event(BW_EVENT_UPKEEP_DONE,
			 "wave=%" G_GINT64_FORMAT " machine=%s worker=%s",
			 wave->order->number, entry->machine, machine->worker);
		return;
	}
	/* Also until the order for its maintenance is answered. */
	bw_reports_add_order(view->reports, machine->pool, machine->worker,
			     BW_WORKER_CORDON);
	if (entry->call_pending)
		return;
	if (machine->up && view->may_order && view->now_ms >= entry->next_ms &&
	    is_drained(view, machine))
		order_maintenance(wave, entry, view->now_ms);
}

/* Marks workers as due for maintenance, so that long work goes to others. */
static void mark_maintenance_due(wave_t *wave)
{
	const bw_maintenance_view_t *view = wave->m->view;
	char **name;

	for (name = wave->order->machines; *name; name++) {
		const bw_machine_t *machine =
			g_hash_table_lookup(view->machines, *name);
		const bw_wave_entry_t *entry =
			g_hash_table_lookup(wave->entries, *name);

		if (machine && (!entry || entry->progress != BW_WAVE_DONE))
			bw_reports_add_order(view->reports, machine->pool,
					     machine->worker,
					     BW_WORKER_MAINTENANCE_DUE);
	}
}

static bool has_unstored(const wave_t *wave)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((bw_wave_entry_t *)value)->stored !=
		    ((bw_wave_entry_t *)value)->progress)
			return true;
	return false;
}

/* A machine of the wave may be newer than the list that lacks it. */
static void note_missing(wave_t *wave)
{
	const bw_maintenance_view_t *view = wave->m->view;
	char **name;

	for (name = wave->order->machines; *name; name++)
		if (!g_hash_table_contains(view->machines, *name))
			bw_missing_note(wave->missing, view->now_ms, *name,
					view->list_ms);
	bw_missing_forget(wave->missing, view->now_ms);
}

/* Whether each machine has had its maintenance or has left. */
static bool all_done(const wave_t *wave)
{
	char **name;

	for (name = wave->order->machines; *name; name++) {
		const bw_wave_entry_t *entry =
			g_hash_table_lookup(wave->entries, *name);

		if (!(entry && entry->progress == BW_WAVE_DONE) &&
		    !bw_missing_has_left(wave->missing, *name))
			return false;
	}
	return true;
}

/*
 * Orders to owners expire, so they are repeated on every tick, also while a
 * store call is pending.
 */
static void advance_machines(wave_t *wave)
{
	GHashTableIter iter;
	gpointer value;

	mark_maintenance_due(wave);
	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_wave_entry_t *entry = value;

		if (entry->stored == BW_WAVE_RESERVED &&
		    entry->progress == BW_WAVE_RESERVED)
			advance_machine(wave, entry);
	}
}

static void tick_wave(wave_t *wave, int64_t now_ms)
{
	if (wave->completed)
		return;
	if (wave->begin_ms == 0)
		wave->begin_ms = now_ms;
	note_missing(wave);
	advance_machines(wave);
	if (wave->call_pending || wave->status_pending ||
	    now_ms < wave->next_ms)
		return;
	if (!wave->record_read || now_ms - wave->read_ms > RECORD_MAX_AGE_MS) {
		read_record(wave);
		return;
	}
	if (!wave->start_written) {
		write_status(wave, false);
		return;
	}
	reserve(wave);
	if (has_unstored(wave))
		write_record(wave);
	else if (all_done(wave))
		write_status(wave, true);
}

bool bw_maintenance_in_progress(const bw_maintenance_t *m)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((wave_t *)value)->completed)
			return true;
	return false;
}

/* Any machine of a wave that can't be read may be reserved. */
static bool wave_may_reserve(const wave_t *wave, const char *machine)
{
	const bw_wave_entry_t *entry =
		g_hash_table_lookup(wave->entries, machine);

	if (entry && entry->progress == BW_WAVE_RESERVED)
		return true;
	return wave->unreadable &&
	       g_strv_contains((const char *const *)wave->order->machines,
			       machine);
}

bool bw_maintenance_is_reserved(const bw_maintenance_t *m, const char *machine)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (wave_may_reserve(value, machine))
			return true;
	return false;
}

void bw_maintenance_tick(bw_maintenance_t *m, const bw_maintenance_view_t *view)
{
	GHashTableIter iter;
	gpointer value;

	m->view = view;
	g_hash_table_iter_init(&iter, m->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_wave(value, view->now_ms);
	m->view = NULL;
}

void bw_maintenance_foreach_wave(const bw_maintenance_t *m,
				 void (*fn)(void *ctx,
					    const bw_wave_progress_t *wave),
				 void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const wave_t *wave = value;
		bw_wave_progress_t progress = {
			.number = wave->order->number,
			.machines = g_strv_length(wave->order->machines),
			.at_once_max = wave->order->at_once_max,
			.reserved = count_reserved(wave),
			.completed = wave->completed,
		};

		progress.done =
			g_hash_table_size(wave->entries) - progress.reserved;
		fn(ctx, &progress);
	}
}
