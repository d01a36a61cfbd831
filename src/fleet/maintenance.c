#include "fleet/maintenance.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "wire/record.pb-c.h"

#define RECORD_VERSION 1
/** Moving a task that lasts is worth as much as so many other tasks. */
#define LASTING_COST 10U
/** Machines with such tasks that are emptied at a time. */
#define LASTING_AT_ONCE 4U
/** Age from which a wave's record is read again. */
#define RECORD_AGE_MS  2000
#define ORDER_AGAIN_MS 400
/** An upkeep shows in the list of machines within this. */
#define ORDER_SHOWS_MS 300
#define CALL_AGAIN_MS  300

/** Progress of a machine in a wave. */
typedef enum progress {
	PROGRESS_RESERVED = 1, /**< Counts as down; is emptied. */
	PROGRESS_DONE = 2
} progress_t;

typedef struct entry {
	char *machine;
	char *worker; /**< That lived on it when it was reserved. */
	progress_t progress;
	progress_t stored; /**< What the store has; 0 is nothing. */
	int64_t ordered_ms; /**< When the order was answered; 0 is never. */
	int64_t next_ms;
	bool call_out;
} entry_t;

typedef struct wave {
	bw_maintenance_t *u;
	bw_wave_order_t *order;
	char *key;
	GHashTable *entries; /**< Machine to entry_t. */
	int64_t revision;
	int64_t read_ms;
	int64_t next_ms; /**< No call before. */
	bool known; /**< The record has been read. */
	bool call_out;
	bool begun; /**< Operators have been told that it runs. */
	bool completed;
	bool status_out;
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

/** An order in progress. */
typedef struct order_ctx {
	wave_t *wave;
	char *machine;
} order_ctx_t;

static void read_record(wave_t *wave);
static void on_record(void *ctx, const bw_store_reply_t *reply);
static void take_record(wave_t *wave, const bw_store_kv_t *kv);
static void write_record(wave_t *wave);
static void on_written(void *ctx, const bw_store_reply_t *reply);
static void order_upkeep(wave_t *wave, entry_t *entry, int64_t now_ms);
static void on_ordered(void *ctx, bw_machine_result_t result);
static void tick_wave(wave_t *wave, int64_t now_ms);
static void tell_status(wave_t *wave, bool completed);
static void on_begun(void *ctx, const bw_store_reply_t *reply);
static void on_completed(void *ctx, const bw_store_reply_t *reply);

static const char *const result_names[BW_MACHINE_RESULT_COUNT] = {
	[BW_MACHINE_OK] = "ok",		  [BW_MACHINE_FENCED] = "fenced",
	[BW_MACHINE_BUSY] = "busy",	  [BW_MACHINE_NOT_DUE] = "not-due",
	[BW_MACHINE_REFUSED] = "refused", [BW_MACHINE_FAILED] = "failed",
};

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->machine);
	g_free(entry->worker);
	g_free(entry);
}

static void wave_free(gpointer data)
{
	wave_t *wave = data;

	bw_wave_order_free(wave->order);
	g_hash_table_destroy(wave->entries);
	g_free(wave->key);
	g_free(wave);
}

bw_maintenance_t *bw_maintenance_create(const bw_maintenance_env_t *env,
					const bw_maintenance_ops_t *ops,
					void *ctx)
{
	bw_maintenance_t *u = g_new0(bw_maintenance_t, 1);

	u->env = *env;
	u->ops = *ops;
	u->ctx = ctx;
	u->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 wave_free);
	u->refs = 1;
	return u;
}

static void unref(bw_maintenance_t *u)
{
	if (--u->refs > 0)
		return;
	g_hash_table_destroy(u->waves);
	g_free(u);
}

void bw_maintenance_destroy(bw_maintenance_t *u)
{
	if (!u)
		return;
	u->closed = true;
	unref(u);
}

void bw_maintenance_add_wave(bw_maintenance_t *u, bw_wave_order_t *order)
{
	wave_t *wave;

	if (g_hash_table_contains(u->waves, &order->number)) {
		bw_wave_order_free(order);
		return;
	}
	wave = g_new0(wave_t, 1);
	wave->u = u;
	wave->order = order;
	wave->key = g_strdup_printf("bw/w/%" G_GINT64_FORMAT, order->number);
	wave->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      entry_free);
	g_hash_table_insert(u->waves, &order->number, wave);
	bw_event(BW_EVENT_UPKEEP_WAVE,
		 "wave=%" G_GINT64_FORMAT " machines=%u at_once=%u "
		 "duration_ms=%" G_GINT64_FORMAT,
		 order->number, g_strv_length(order->machines),
		 order->at_once_max, order->duration_ms);
}

static void read_record(wave_t *wave)
{
	bw_store_t *store = &wave->u->env.store;

	wave->call_out = true;
	wave->u->refs++;
	store->ops->get(store->impl, wave->key, on_record, wave);
}

static void take_read(wave_t *wave, const bw_store_reply_t *reply)
{
	int64_t now_ms = bw_clock_now_ms();

	wave->call_out = false;
	wave->u->ops.result(wave->u->ctx, reply->status);
	if (reply->status == BW_ENOTFOUND) {
		wave->revision = 0;
	} else if (reply->status == BW_OK && reply->kv_count > 0) {
		take_record(wave, &reply->kvs[0]);
	} else {
		wave->next_ms = now_ms + CALL_AGAIN_MS;
		return;
	}
	wave->known = true;
	wave->read_ms = now_ms;
}

static void on_record(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *u = ((wave_t *)ctx)->u;

	if (!u->closed)
		take_read(ctx, reply);
	unref(u);
}

static entry_t *entry_add(wave_t *wave, const char *machine, const char *worker,
			  progress_t progress)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->machine = g_strdup(machine);
	entry->worker = g_strdup(worker);
	entry->progress = progress;
	g_hash_table_replace(wave->entries, entry->machine, entry);
	return entry;
}

/* Takes what the store has; what this node knows of its orders stays. */
static void take_record(wave_t *wave, const bw_store_kv_t *kv)
{
	Bramley__WaveRecord *record = bramley__wave_record__unpack(
		NULL, kv->bytes, (const uint8_t *)kv->value);
	size_t i;

	wave->revision = kv->mod_revision;
	if (!record)
		return;
	for (i = 0; i < record->n_machines; i++) {
		const Bramley__WaveMachine *row = record->machines[i];
		entry_t *entry =
			g_hash_table_lookup(wave->entries, row->machine);

		if (!entry)
			entry = entry_add(wave, row->machine, row->worker,
					  (progress_t)row->state);
		else if (row->state == PROGRESS_DONE)
			entry->progress = PROGRESS_DONE;
		entry->stored = (progress_t)row->state;
	}
	bramley__wave_record__free_unpacked(record, NULL);
}

static void write_record(wave_t *wave)
{
	bw_store_t *store = &wave->u->env.store;
	guint count = g_hash_table_size(wave->entries);
	Bramley__WaveRecord record = BRAMLEY__WAVE_RECORD__INIT;
	Bramley__WaveMachine *rows = g_new(Bramley__WaveMachine, count + 1);
	bw_store_expect_t expect = { wave->key, wave->revision };
	bw_store_write_t write = { .key = wave->key };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };
	GHashTableIter iter;
	gpointer value;
	uint8_t *data;

	record.version = RECORD_VERSION;
	record.machines = g_new(Bramley__WaveMachine *, count + 1);
	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		Bramley__WaveMachine *row = &rows[record.n_machines];

		bramley__wave_machine__init(row);
		row->machine = entry->machine;
		row->worker = entry->worker;
		row->state = entry->progress;
		record.machines[record.n_machines++] = row;
	}
	write.bytes = bramley__wave_record__get_packed_size(&record);
	data = g_malloc(write.bytes + 1);
	bramley__wave_record__pack(&record, data);
	write.value = (const char *)data;
	wave->call_out = true;
	wave->u->refs++;
	store->ops->txn(store->impl, &txn, on_written, wave);
	g_free(data);
	g_free(record.machines);
	g_free(rows);
}

static void take_written(wave_t *wave, const bw_store_reply_t *reply)
{

	bool good = reply->status == BW_OK && reply->succeeded;
	GHashTableIter iter;
	gpointer value;

	wave->call_out = false;
	wave->u->ops.result(wave->u->ctx, reply->status);
	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		/* What may be stored all the same comes with the record. */
		if (good)
			entry->stored = entry->progress;
		else if (entry->stored == 0)
			g_hash_table_iter_remove(&iter);
	}
	if (good) {
		wave->revision = reply->revision;
		return;
	}
	wave->known = false;
	wave->next_ms = bw_clock_now_ms() + CALL_AGAIN_MS;
}

static void on_written(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *u = ((wave_t *)ctx)->u;

	if (!u->closed)
		take_written(ctx, reply);
	unref(u);
}

static void order_upkeep(wave_t *wave, entry_t *entry, int64_t now_ms)
{
	bw_maintenance_t *u = wave->u;
	order_ctx_t *order = g_new0(order_ctx_t, 1);

	order->wave = wave;
	order->machine = g_strdup(entry->machine);
	entry->call_out = true;
	entry->next_ms = now_ms + ORDER_AGAIN_MS;
	u->refs++;
	u->env.machines.maintain(u->env.machines.impl, entry->machine,
				 wave->order->number, &u->env.holder,
				 on_ordered, order);
}

static void take_ordered(order_ctx_t *order, bw_machine_result_t result)
{
	int64_t now_ms = bw_clock_now_ms();
	entry_t *entry =
		g_hash_table_lookup(order->wave->entries, order->machine);

	bw_event(BW_EVENT_UPKEEP_ORDERED,
		 "wave=%" G_GINT64_FORMAT " machine=%s result=%s",
		 order->wave->order->number, order->machine,
		 result_names[result]);
	if (!entry)
		return;
	entry->call_out = false;
	entry->next_ms = now_ms + ORDER_AGAIN_MS;
	if (result == BW_MACHINE_OK)
		entry->ordered_ms = now_ms;
	if (result == BW_MACHINE_NOT_DUE || result == BW_MACHINE_REFUSED) {
		/* There is nothing to wait for. */
		entry->ordered_ms = now_ms;
		g_free(entry->worker);
		entry->worker = g_strdup("?");
	}
	if (result == BW_MACHINE_FENCED)
		order->wave->u->ops.superseded(order->wave->u->ctx);
}

static void on_ordered(void *ctx, bw_machine_result_t result)
{
	order_ctx_t *order = ctx;
	bw_maintenance_t *u = order->wave->u;

	if (!u->closed)
		take_ordered(order, result);
	g_free(order->machine);
	g_free(order);
	unref(u);
}

static void tell_status(wave_t *wave, bool completed)
{
	bw_maintenance_t *u = wave->u;
	char *key = u->env.values->format_wave_status_key(wave->order->number);
	char *value = u->env.values->format_wave_status(wave->order->number,
							completed);
	bw_store_write_t write = { key, value, strlen(value), 0 };
	bw_store_txn_t txn = { NULL, 0, &write, 1 };

	wave->status_out = true;
	u->refs++;
	u->env.store.ops->txn(u->env.store.impl, &txn,
			      completed ? on_completed : on_begun, wave);
	g_free(value);
	g_free(key);
}

static void take_begun(wave_t *wave, const bw_store_reply_t *reply)
{

	wave->status_out = false;
	wave->u->ops.result(wave->u->ctx, reply->status);
	wave->begun = reply->status == BW_OK;
	wave->next_ms = bw_clock_now_ms() + (wave->begun ? 0 : CALL_AGAIN_MS);
}

static void on_begun(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *u = ((wave_t *)ctx)->u;

	if (!u->closed)
		take_begun(ctx, reply);
	unref(u);
}

static void take_completed(wave_t *wave, const bw_store_reply_t *reply)
{

	wave->status_out = false;
	wave->u->ops.result(wave->u->ctx, reply->status);
	wave->completed = reply->status == BW_OK;
	wave->next_ms = bw_clock_now_ms() + CALL_AGAIN_MS;
	if (wave->completed)
		bw_event(BW_EVENT_UPKEEP_COMPLETED, "wave=%" G_GINT64_FORMAT,
			 wave->order->number);
}

static void on_completed(void *ctx, const bw_store_reply_t *reply)
{
	bw_maintenance_t *u = ((wave_t *)ctx)->u;

	if (!u->closed)
		take_completed(ctx, reply);
	unref(u);
}

static uint32_t count_reserved(const wave_t *wave)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((entry_t *)value)->progress == PROGRESS_RESERVED)
			count++;
	return count;
}

/* What it takes to empty a machine that could be reserved; UINT32_MAX: none. */
static uint32_t cost_of(const wave_t *wave, const char *name)
{
	const bw_maintenance_view_t *view = wave->u->view;
	const bw_machine_t *machine = g_hash_table_lookup(view->machines, name);
	const bw_worker_report_t *worker;

	if (!machine || !machine->up ||
	    g_hash_table_contains(wave->entries, name))
		return UINT32_MAX;
	if (machine->worker[0] == '\0')
		return 0;
	if (!bw_reports_fresh(view->reports, view->now_ms, machine->pool))
		return UINT32_MAX;
	worker = bw_reports_worker(view->reports, machine->pool,
				   machine->worker);
	return worker ? worker->tasks + LASTING_COST * worker->lasting : 0;
}

/* Reserved machines that tasks that last have still to leave. */
static uint32_t count_slow(const wave_t *wave)
{
	const bw_maintenance_view_t *view = wave->u->view;
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		const bw_machine_t *machine =
			g_hash_table_lookup(view->machines, entry->machine);
		const bw_worker_report_t *worker =
			machine ? bw_reports_worker(view->reports,
						    machine->pool,
						    machine->worker)
				: NULL;

		if (entry->progress == PROGRESS_RESERVED &&
		    entry->ordered_ms == 0 && worker && worker->lasting > 0)
			count++;
	}
	return count;
}

/* Reserves machines, the emptiest first, while the wave has room. */
static void reserve(wave_t *wave)
{
	uint32_t reserved = count_reserved(wave);

	uint32_t slow = count_slow(wave);

	while (reserved < wave->order->at_once_max) {
		const bw_machine_t *machine;
		const char *best = NULL;
		uint32_t best_cost = UINT32_MAX;
		char **name;

		for (name = wave->order->machines; *name; name++) {
			uint32_t cost = cost_of(wave, *name);

			if (cost < best_cost) {
				best_cost = cost;
				best = *name;
			}
		}
		if (!best ||
		    (best_cost >= LASTING_COST && slow >= LASTING_AT_ONCE))
			break;
		slow += best_cost >= LASTING_COST;
		machine = g_hash_table_lookup(wave->u->view->machines, best);
		entry_add(wave, best, machine->worker, PROGRESS_RESERVED);
		bw_event(BW_EVENT_UPKEEP_RESERVE,
			 "wave=%" G_GINT64_FORMAT " machine=%s worker=%s "
			 "tasks=%u reserved=%u",
			 wave->order->number, best, machine->worker, best_cost,
			 reserved);
		reserved++;
	}
}

/* Whether nothing runs on a machine, and nothing will be started there. */
static bool is_empty(const bw_maintenance_view_t *view,
		     const bw_machine_t *machine)
{
	const bw_worker_report_t *worker;

	if (machine->worker[0] == '\0')
		return true;
	if (!bw_reports_fresh(view->reports, view->now_ms, machine->pool))
		return false;
	worker = bw_reports_worker(view->reports, machine->pool,
				   machine->worker);
	/* A worker that its owner does not know runs nothing of ours. */
	return !worker || (worker->idle && worker->emptied);
}

/* Takes a reserved machine further. */
static void advance(wave_t *wave, entry_t *entry)
{
	const bw_maintenance_view_t *view = wave->u->view;
	const bw_machine_t *machine =
		g_hash_table_lookup(view->machines, entry->machine);

	if (!machine || entry->call_out)
		return;
	if (entry->ordered_ms > 0) {
		bw_reports_order(view->reports, machine->pool, entry->worker,
				 BW_WORKER_DEAD);
		if (!machine->up ||
		    (!strcmp(machine->worker, entry->worker) &&
		     entry->worker[0] != '\0') ||
		    view->list_ms < entry->ordered_ms + ORDER_SHOWS_MS)
			return;
		entry->progress = PROGRESS_DONE;
		bw_event(BW_EVENT_UPKEEP_DONE,
			 "wave=%" G_GINT64_FORMAT " machine=%s worker=%s",
			 wave->order->number, entry->machine, machine->worker);
		return;
	}
	bw_reports_order(view->reports, machine->pool, machine->worker,
			 BW_WORKER_EMPTY);
	if (machine->up && view->may_order && view->now_ms >= entry->next_ms &&
	    is_empty(view, machine))
		order_upkeep(wave, entry, view->now_ms);
}

/* Marks workers that are due, so that they get long work last. */
static void mark_due(wave_t *wave)
{
	const bw_maintenance_view_t *view = wave->u->view;
	char **name;

	for (name = wave->order->machines; *name; name++) {
		const bw_machine_t *machine =
			g_hash_table_lookup(view->machines, *name);
		const entry_t *entry =
			g_hash_table_lookup(wave->entries, *name);

		if (machine && (!entry || entry->progress != PROGRESS_DONE))
			bw_reports_order(view->reports, machine->pool,
					 machine->worker, BW_WORKER_DUE);
	}
}

static bool has_unstored(const wave_t *wave)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((entry_t *)value)->stored != ((entry_t *)value)->progress)
			return true;
	return false;
}

static bool all_done(const wave_t *wave)
{
	char **name;

	for (name = wave->order->machines; *name; name++) {
		const entry_t *entry =
			g_hash_table_lookup(wave->entries, *name);

		if (g_hash_table_contains(wave->u->view->machines, *name) &&
		    (!entry || entry->progress != PROGRESS_DONE))
			return false;
	}
	return true;
}

/* Orders of owners lapse, so they are repeated whatever else is awaited. */
static void advance_all(wave_t *wave)
{
	GHashTableIter iter;
	gpointer value;

	mark_due(wave);
	g_hash_table_iter_init(&iter, wave->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		if (entry->stored == PROGRESS_RESERVED &&
		    entry->progress == PROGRESS_RESERVED)
			advance(wave, entry);
	}
}

static void tick_wave(wave_t *wave, int64_t now_ms)
{
	if (wave->completed)
		return;
	advance_all(wave);
	if (wave->call_out || wave->status_out || now_ms < wave->next_ms)
		return;
	if (!wave->known || now_ms - wave->read_ms > RECORD_AGE_MS) {
		read_record(wave);
		return;
	}
	if (!wave->begun) {
		tell_status(wave, false);
		return;
	}
	reserve(wave);
	if (has_unstored(wave))
		write_record(wave);
	else if (all_done(wave))
		tell_status(wave, true);
}

bool bw_maintenance_in_progress(const bw_maintenance_t *u)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, u->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((wave_t *)value)->completed)
			return true;
	return false;
}

bool bw_maintenance_is_reserved(const bw_maintenance_t *u, const char *machine)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, u->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const wave_t *wave = value;
		const entry_t *entry =
			g_hash_table_lookup(wave->entries, machine);

		if (entry && entry->progress == PROGRESS_RESERVED)
			return true;
	}
	return false;
}

void bw_maintenance_tick(bw_maintenance_t *u, const bw_maintenance_view_t *view)
{
	GHashTableIter iter;
	gpointer value;

	u->view = view;
	g_hash_table_iter_init(&iter, u->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_wave(value, view->now_ms);
	u->view = NULL;
}

void bw_maintenance_foreach_wave(const bw_maintenance_t *u,
				 void (*fn)(void *ctx,
					    const bw_wave_progress_t *wave),
				 void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, u->waves);
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
