/* Encodes the state of a pool for the store, and loads it. */
#include "sched/internal.h"

#include <string.h>

#include "wire/version.h"

/** From so many done tasks of an occurrence on they are named by their bits: a
 *  record of each would take ten bytes and more. */
#define DONE_BITS_MIN 1000U

/** A record under construction; the arena owns what is allocated for it. */
typedef struct packer {
	GPtrArray *arena;
} packer_t;

static void *alloc(packer_t *p, size_t bytes);
static void pack_task(const bw_sched_t *s, task_t *task, uint32_t number,
		      Bramley__TaskRecord *record);
static Bramley__JobProgress *pack_job(packer_t *p, const bw_sched_t *s,
				      const job_t *job);
static void pack_jobs(packer_t *p, bw_sched_t *s, Bramley__PoolRecord *out);
static void pack_workers(packer_t *p, bw_sched_t *s, Bramley__PoolRecord *out);
static void load_task(job_t *job, const Bramley__TaskRecord *record,
		      bool handed_over, int64_t now_ms);

static void *alloc(packer_t *p, size_t bytes)
{
	void *data = g_malloc0(bytes);

	g_ptr_array_add(p->arena, data);
	return data;
}

static void pack_task(const bw_sched_t *s, task_t *task, uint32_t number,
		      Bramley__TaskRecord *record)
{
	bramley__task_record__init(record);
	record->occurrence = task->occurrence->number;
	record->number = number;
	record->run = task->run;
	record->failures = task->failures;
	record->crashes = task->crashes;
	record->unsure_crashes = task->unsure_crashes;
	record->hidden_runs = task->hidden_runs;
	record->failed_runs = (uint32_t *)task->failed_runs;
	record->n_failed_runs = MIN(task->failures, FAILED_RUNS_KEPT);
	record->done = task->done;
	record->placed = task->worker != NULL || task->maybe_running;
	/* A successor is told of the run that is expected only. */
	record->unsure = (task->maybe_running && !task->run_known) ||
			 sched_has_orphan(s, task);
	if (task->checkpoint)
		record->checkpoint = task->checkpoint;
	sched_pack_hold(s, task, record);
}

/*
 * Whether a successor must know of a task; until this owner is settled it hands
 * on which tasks may run. The end of one member of a gang is that of all, also
 * of those of which this owner knows no run.
 */
static bool has_progress(const bw_sched_t *s, const task_t *task)
{
	return task->run > 0 || task->done ||
	       (s->handing_over && task->maybe_running);
}

/* Whether nothing but its end matters of a task. */
static bool is_only_done(const bw_sched_t *s, task_t *task)
{
	return task->done && !task->worker && !task->maybe_running &&
	       !sched_has_orphan(s, task);
}

static uint32_t count_done(const occurrence_t *occurrence)
{
	uint32_t count = 0;
	uint32_t k;

	for (k = 0; k < occurrence->task_count; k++)
		count += occurrence->tasks[k].done;
	return count;
}

static Bramley__DoneTasks *pack_done_tasks(packer_t *p, const bw_sched_t *s,
					   const occurrence_t *occurrence)
{
	Bramley__DoneTasks *record = alloc(p, sizeof(*record));
	uint32_t k;

	bramley__done_tasks__init(record);
	record->occurrence = occurrence->number;
	record->bits.len = occurrence->task_count / 8 + 1;
	record->bits.data = alloc(p, record->bits.len);
	for (k = 0; k < occurrence->task_count; k++)
		if (is_only_done(s, &occurrence->tasks[k]))
			record->bits.data[k / 8] |= (uint8_t)(1U << (k % 8));
	return record;
}

static bool has_bit(const Bramley__DoneTasks *record, uint32_t number)
{
	return number / 8 < record->bits.len &&
	       (record->bits.data[number / 8] >> (number % 8)) & 1U;
}

static void pack_tasks(packer_t *p, const bw_sched_t *s, const job_t *job,
		       Bramley__JobProgress *out)
{
	Bramley__TaskRecord *records;
	size_t total = 0;
	guint i;
	uint32_t k;

	for (i = 0; i < job->occurrences->len; i++) {
		const occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		total += occurrence->task_count;
	}
	out->tasks = alloc(p, total * sizeof(*out->tasks) + 1);
	out->done_tasks =
		alloc(p, job->occurrences->len * sizeof(*out->done_tasks) + 1);
	records = alloc(p, total * sizeof(*records) + 1);
	for (i = 0; i < job->occurrences->len; i++) {
		const occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);
		const Bramley__DoneTasks *done = NULL;

		if (occurrence->remaining == 0)
			continue;
		if (count_done(occurrence) >= DONE_BITS_MIN)
			done = out->done_tasks[out->n_done_tasks++] =
				pack_done_tasks(p, s, occurrence);
		for (k = 0; k < occurrence->task_count; k++)
			if (has_progress(s, &occurrence->tasks[k]) &&
			    !(done && has_bit(done, k))) {
				pack_task(s, &occurrence->tasks[k], k, records);
				out->tasks[out->n_tasks++] = records++;
			}
	}
}

static Bramley__JobProgress *pack_job(packer_t *p, const bw_sched_t *s,
				      const job_t *job)
{
	Bramley__JobProgress *record = alloc(p, sizeof(*record));

	bramley__job_progress__init(record);
	record->id = (char *)job->id;
	record->state = job->state;
	record->started = job->started;
	if (job->finished_version > 0)
		return record;
	pack_tasks(p, s, job, record);
	record->occurrences_done =
		(uint32_t *)(void *)job->occurrences_done->data;
	record->n_occurrences_done = job->occurrences_done->len;
	return record;
}

static bool must_pack(const bw_sched_t *s, const job_t *job)
{
	if (job->finished_version > 0)
		return sched_value_needs(s, job);
	return job->start_ordered || (s->handing_over && !s->recovered);
}

/* Passes on what an earlier owner stored of jobs that can't be read here. */
static void pack_unreadable(const bw_sched_t *s, Bramley__PoolRecord *out)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, s->unreadable);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		Bramley__JobProgress *progress =
			g_hash_table_lookup(s->stored_progress, id);

		if (progress)
			out->jobs[out->n_jobs++] = progress;
	}
}

/* Whether all runs of the pool's jobs are known. */
static bool knows_all_jobs(const bw_sched_t *s)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, s->unreadable);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(s->jobs, id))
			return false;
	return true;
}

static void pack_jobs(packer_t *p, bw_sched_t *s, Bramley__PoolRecord *out)
{
	size_t count =
		g_hash_table_size(s->jobs) + g_hash_table_size(s->unreadable);
	GHashTableIter iter;
	gpointer value;

	out->jobs = alloc(p, (count + 1) * sizeof(*out->jobs));
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (must_pack(s, job))
			out->jobs[out->n_jobs++] = pack_job(p, s, job);
	}
	pack_unreadable(s, out);
}

/*
 * Returns whether a successor must wait for a worker's answer. In an orderly
 * handover, a worker that is gone and runs nothing needs none.
 */
static bool must_list(const bw_sched_t *s, const worker_t *worker,
		      bool handed_over)
{
	if (worker->dead)
		return false;
	return !handed_over || worker->registered || !worker->synced ||
	       worker->has_orphans || worker->tasks->len > 0 ||
	       sched_holds_for(s, worker);
}

/** Where records of departed workers are added. */
typedef struct departed_packer {
	packer_t *p;
	Bramley__PoolRecord *out;
} departed_packer_t;

static void pack_departed(void *ctx, const char *worker, int64_t boot_ms)
{
	departed_packer_t *to = ctx;
	Bramley__WorkerRecord *record = alloc(to->p, sizeof(*record));

	bramley__worker_record__init(record);
	record->id = (char *)worker;
	record->started_ms = boot_ms;
	to->out->departed[to->out->n_departed++] = record;
}

static void pack_workers(packer_t *p, bw_sched_t *s, Bramley__PoolRecord *out)
{
	departed_packer_t departed = { p, out };
	size_t count = g_hash_table_size(s->workers);
	GHashTableIter iter;
	gpointer value;

	out->workers = alloc(p, (count + 1) * sizeof(*out->workers));
	count += g_hash_table_size(s->departed);
	out->departed = alloc(p, (count + 1) * sizeof(*out->departed));
	sched_departed_each(s, pack_departed, &departed);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;
		Bramley__WorkerRecord *record;

		if (!must_list(s, worker, out->handed_over)) {
			pack_departed(&departed, worker->id,
				      sched_worker_boot_ms(worker));
			continue;
		}
		record = alloc(p, sizeof(*record));
		bramley__worker_record__init(record);
		record->id = worker->id;
		record->address = worker->address;
		record->earlier_grant = worker->earlier_grant_until_ms > 0;
		record->started_ms = sched_worker_boot_ms(worker);
		worker->ends_packed = sched_ackable(worker);
		out->workers[out->n_workers++] = record;
	}
}

/* A successor can't see the resources of a task that is being stopped. */
static bool any_stopping(const bw_sched_t *s)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		for (i = 0; i < worker->tasks->len; i++) {
			const task_t *task =
				g_ptr_array_index(worker->tasks, i);

			if (task->state == TASK_STOPPING)
				return true;
		}
	}
	return false;
}

/* Whether a record names done tasks by their bits. */
static bool any_bits(const Bramley__PoolRecord *record)
{
	size_t i;

	for (i = 0; i < record->n_jobs; i++)
		if (record->jobs[i]->n_done_tasks > 0)
			return true;
	return false;
}

/* Whether a record has tasks that are held, also of jobs that are passed on. */
static bool any_held(const Bramley__PoolRecord *record)
{
	size_t i;
	size_t k;

	for (i = 0; i < record->n_jobs; i++)
		for (k = 0; k < record->jobs[i]->n_tasks; k++)
			if (record->jobs[i]->tasks[k]->held_by[0] != '\0')
				return true;
	return false;
}

static uint32_t value_version(const Bramley__PoolRecord *record)
{
	if (any_bits(record))
		return BW_POOL_BITS_VERSION;
	return any_held(record) ? BW_POOL_HELD_VERSION : BW_RECORD_VERSION;
}

uint8_t *bw_sched_pack(bw_sched_t *s, size_t *bytes)
{
	Bramley__PoolRecord record = BRAMLEY__POOL_RECORD__INIT;
	packer_t p = { 0 };
	uint8_t *data;

	s->packed_ms = s->run_ms;
	p.arena = g_ptr_array_new_with_free_func(g_free);
	record.fence = s->config.fence;
	record.term = s->term;
	/* Before it is settled, it knows which runs it doesn't know, unless the
	 * earlier owner may still act. */
	record.handed_over = s->handing_over && knows_all_jobs(s) &&
			     (s->recovered || s->predecessor_stopped_ms > 0);
	record.stopping = any_stopping(s) || !s->recovered;
	record.settled = s->recovered;
	record.confirm_ms = sched_pack_confirm_ms(s);
	pack_workers(&p, s, &record);
	pack_jobs(&p, s, &record);
	record.version = value_version(&record);
	*bytes = bramley__pool_record__get_packed_size(&record);
	data = g_malloc(*bytes + 1);
	bramley__pool_record__pack(&record, data);
	g_ptr_array_free(p.arena, TRUE);
	return data;
}

void bw_sched_saved(bw_sched_t *s, int64_t now_ms, uint64_t version)
{
	GHashTableIter iter;
	gpointer value;

	s->saved_version = MAX(s->saved_version, version);
	s->confirmed_ms = s->packed_ms;
	s->save_took_ms = now_ms - s->packed_ms;
	s->confirm_age_ms = s->packed_confirm_ms;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (worker->stored_version <= s->saved_version)
			worker->stored = true;
		if (worker->ends_packed <= worker->ends_acked)
			continue;
		worker->ends_acked = worker->ends_packed;
		worker->next_heartbeat_ms =
			MIN(worker->next_heartbeat_ms, now_ms);
	}
}

static void set_done(task_t *task)
{
	step_state_t *state = sched_step_state(task);

	if (task->done)
		return;
	task->done = true;
	task->state = TASK_DONE;
	state->waiting--;
	state->remaining--;
	task->occurrence->remaining--;
}

static occurrence_t *loaded_occurrence(job_t *job, uint32_t number,
				       int64_t now_ms)
{
	occurrence_t *occurrence = sched_find_occurrence(job, number);

	return occurrence ? occurrence
			  : sched_occurrence_new(job, number, now_ms);
}

static void load_done_tasks(job_t *job, const Bramley__DoneTasks *record,
			    int64_t now_ms)
{
	occurrence_t *occurrence =
		loaded_occurrence(job, record->occurrence, now_ms);
	uint32_t k;

	for (k = 0; k < occurrence->task_count; k++)
		if (has_bit(record, k))
			set_done(&occurrence->tasks[k]);
}

static void load_task(job_t *job, const Bramley__TaskRecord *record,
		      bool handed_over, int64_t now_ms)
{
	occurrence_t *occurrence =
		loaded_occurrence(job, record->occurrence, now_ms);
	task_t *task;
	guint i;

	if (record->number >= occurrence->task_count)
		return;
	task = &occurrence->tasks[record->number];
	task->maybe_running = record->placed || record->unsure;
	task->run_known = handed_over && !record->unsure;
	task->ends_unknown = task->maybe_running && !task->run_known;
	task->run = record->run;
	task->failures = record->failures;
	task->crashes = record->crashes;
	task->unsure_crashes = record->unsure_crashes;
	task->hidden_runs = record->hidden_runs;
	task->run_missed = record->placed && record->run > 0;
	/* Whether it survived its starts is not stored. */
	task->suspect = record->crashes + record->unsure_crashes > 0;
	for (i = 0; i < MIN(record->n_failed_runs, FAILED_RUNS_KEPT); i++)
		task->failed_runs[i] = record->failed_runs[i];
	task->checkpoint =
		record->checkpoint[0] ? g_strdup(record->checkpoint) : NULL;
	if (record->done)
		set_done(task);
}

/* Earlier versions stored only those members of a finished gang whose runs they
 * knew. */
static void complete_gangs(occurrence_t *occurrence)
{
	const bw_job_spec_t *spec = occurrence->job->spec;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < spec->step_count; i++) {
		const step_state_t *state = &occurrence->steps[i];
		uint32_t count = spec->steps[i].count;

		if (!spec->steps[i].gang || state->remaining == count)
			continue;
		for (k = 0; k < count; k++)
			set_done(&occurrence->tasks[state->first_task + k]);
	}
}

/* Completes what the loaded ends imply; that may end the job. */
static void complete_occurrences(bw_sched_t *s, const job_t *job,
				 int64_t now_ms)
{
	guint i;

	for (i = 0; i < job->occurrences->len; i++) {
		occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		complete_gangs(occurrence);
		if (occurrence->remaining == 0)
			sched_occurrence_done(s, occurrence, now_ms);
	}
}

void sched_load_progress(bw_sched_t *s, job_t *job, int64_t now_ms)
{
	Bramley__JobProgress *progress =
		g_hash_table_lookup(s->stored_progress, job->id);
	size_t i;

	if (!progress)
		return;
	job->start_ordered = true;
	job->started = progress->started;
	for (i = 0; i < progress->n_occurrences_done; i++) {
		g_array_append_val(job->occurrences_done,
				   progress->occurrences_done[i]);
		job->occurrences_left--;
	}
	for (i = 0; i < progress->n_tasks; i++)
		load_task(job, progress->tasks[i], s->handed_over, now_ms);
	for (i = 0; i < progress->n_done_tasks; i++)
		load_done_tasks(job, progress->done_tasks[i], now_ms);
	g_hash_table_remove(s->stored_progress, job->id);
	complete_occurrences(s, job, now_ms);
}

static void load_job(bw_sched_t *s, const Bramley__JobProgress *progress,
		     int64_t now_ms)
{
	size_t bytes = bramley__job_progress__get_packed_size(progress);
	uint8_t *data;

	if (progress->state >= BW_JOB_COMPLETED) {
		sched_add_finished(s, progress->id, progress->state, now_ms);
		return;
	}
	data = g_malloc(bytes + 1);
	bramley__job_progress__pack(progress, data);
	g_hash_table_insert(s->stored_progress, g_strdup(progress->id),
			    bramley__job_progress__unpack(NULL, bytes, data));
	g_free(data);
}

void sched_progress_free(gpointer data)
{
	bramley__job_progress__free_unpacked(data, NULL);
}

static void load_holds(bw_sched_t *s, const Bramley__JobProgress *progress,
		       int64_t now_ms)
{
	size_t i;

	for (i = 0; i < progress->n_tasks; i++)
		sched_load_hold(s, progress->id, progress->tasks[i], now_ms);
}

bw_status_t bw_sched_load(bw_sched_t *s, int64_t now_ms, const uint8_t *data,
			  size_t bytes)
{
	Bramley__PoolRecord *record =
		bramley__pool_record__unpack(NULL, bytes, data);
	size_t i;

	if (!record)
		return bw_status_set(BW_EPARSE, "not a pool record");
	if (sched_check_value(record) != BW_OK) {
		bramley__pool_record__free_unpacked(record, NULL);
		return BW_EPARSE;
	}
	s->first_owner = false;
	s->handed_over = record->handed_over;
	s->loaded_fence = record->fence;
	s->loaded_settled = record->settled;
	s->term = record->term + 1;
	sched_load_confirm_ms(s, record->confirm_ms);
	s->inherits_stops = !record->handed_over || record->stopping;
	for (i = 0; i < record->n_jobs; i++)
		load_job(s, record->jobs[i], now_ms);
	for (i = 0; i < record->n_workers; i++) {
		worker_t *worker =
			sched_worker_new(s, record->workers[i]->id, now_ms);

		worker->address = g_strdup(record->workers[i]->address);
		worker->stored = true;
		worker->stored_boot_ms = record->workers[i]->started_ms;
		if (record->workers[i]->earlier_grant)
			sched_expect_earlier_grant(s, worker, now_ms);
	}
	for (i = 0; i < record->n_departed; i++)
		sched_departed_load(s, record->departed[i]->id,
				    record->departed[i]->started_ms, now_ms);
	for (i = 0; i < record->n_jobs; i++)
		load_holds(s, record->jobs[i], now_ms);
	bramley__pool_record__free_unpacked(record, NULL);
	return BW_OK;
}
