#include "fleet/wave_record.h"

#include "wire/record.pb-c.h"
#include "wire/version.h"

static void entry_free(gpointer data)
{
	bw_wave_entry_t *entry = data;

	g_free(entry->machine);
	g_free(entry->worker);
	g_free(entry);
}

GHashTable *bw_wave_entries_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
}

bw_wave_entry_t *bw_wave_entry_add(GHashTable *entries, const char *machine,
				   const char *worker, int64_t started_ms,
				   bw_wave_entry_progress_t progress)
{
	bw_wave_entry_t *entry = g_new0(bw_wave_entry_t, 1);

	entry->machine = g_strdup(machine);
	entry->worker = g_strdup(worker);
	entry->worker_started_ms = started_ms;
	entry->progress = progress;
	g_hash_table_replace(entries, entry->machine, entry);
	return entry;
}

static bw_status_t check_record(const Bramley__WaveRecord *record)
{
	size_t i;

	if (!record)
		return bw_status_set(BW_EPARSE, "not a wave record");
	if (bw_record_check_version("wave", record->version) != BW_OK)
		return BW_EPARSE;
	for (i = 0; i < record->n_machines; i++)
		if (record->machines[i]->state != BW_WAVE_RESERVED &&
		    record->machines[i]->state != BW_WAVE_DONE)
			return bw_status_set(BW_EPARSE,
					     "a wave record with machine %s "
					     "in the unknown state %u",
					     record->machines[i]->machine,
					     record->machines[i]->state);
	return BW_OK;
}

bw_status_t bw_wave_record_merge(GHashTable *entries, const uint8_t *data,
				 size_t bytes)
{
	Bramley__WaveRecord *record =
		bramley__wave_record__unpack(NULL, bytes, data);
	size_t i;

	if (check_record(record) != BW_OK) {
		if (record)
			bramley__wave_record__free_unpacked(record, NULL);
		return BW_EPARSE;
	}
	for (i = 0; i < record->n_machines; i++) {
		const Bramley__WaveMachine *row = record->machines[i];
		bw_wave_entry_t *entry =
			g_hash_table_lookup(entries, row->machine);

		if (!entry)
			entry = bw_wave_entry_add(
				entries, row->machine, row->worker,
				row->worker_started_ms,
				(bw_wave_entry_progress_t)row->state);
		else if (row->state == BW_WAVE_DONE)
			entry->progress = BW_WAVE_DONE;
		entry->stored = (bw_wave_entry_progress_t)row->state;
	}
	bramley__wave_record__free_unpacked(record, NULL);
	return BW_OK;
}

uint8_t *bw_wave_record_pack(GHashTable *entries, size_t *bytes)
{
	guint count = g_hash_table_size(entries);
	Bramley__WaveRecord record = BRAMLEY__WAVE_RECORD__INIT;
	Bramley__WaveMachine *rows = g_new(Bramley__WaveMachine, count + 1);
	GHashTableIter iter;
	gpointer value;
	uint8_t *data;

	record.version = BW_RECORD_VERSION;
	record.machines = g_new(Bramley__WaveMachine *, count + 1);
	g_hash_table_iter_init(&iter, entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bw_wave_entry_t *entry = value;
		Bramley__WaveMachine *row = &rows[record.n_machines];

		bramley__wave_machine__init(row);
		row->machine = entry->machine;
		row->worker = entry->worker;
		row->worker_started_ms = entry->worker_started_ms;
		row->state = entry->progress;
		record.machines[record.n_machines++] = row;
	}
	*bytes = bramley__wave_record__get_packed_size(&record);
	data = g_malloc(*bytes + 1);
	bramley__wave_record__pack(&record, data);
	g_free(record.machines);
	g_free(rows);
	return data;
}
