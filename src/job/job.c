#include "job/job.h"

#include <string.h>

#include <glib.h>

#include "wire/record.pb-c.h"
#include "wire/version.h"

/* Bits of StepRecord.flags. */
enum step_flag {
	FLAG_CHECKPOINTS = 1,
	FLAG_GANG = 2,
	FLAG_SAME_RACK = 4,
	FLAG_DUPLICATES = 8,
	FLAG_LASTING = 16,
	FLAG_FILLER = 32
};

static const bw_json_bounds_t json_bounds = {
	BW_JOB_JSON_CONTAINERS_MAX,
	BW_JOB_JSON_SEPARATORS_MAX,
	BW_JOB_JSON_DEPTH_MAX,
};

static const char *const state_names[BW_JOB_STATE_COUNT] = {
	[BW_JOB_UNKNOWN] = "unknown", [BW_JOB_QUEUED] = "queued",
	[BW_JOB_RUNNING] = "running", [BW_JOB_COMPLETED] = "completed",
	[BW_JOB_FAILED] = "failed",   [BW_JOB_CANCELLED] = "cancelled",
};

static bw_status_t check_step(const bw_job_spec_t *spec, uint32_t number);
static void step_clear(bw_step_spec_t *step);
static void pack_step(const bw_step_spec_t *step, Bramley__StepRecord *out);
static void unpack_step(const Bramley__StepRecord *record, bw_step_spec_t *out);
static char *dup_nonempty(const char *text);
static bw_job_spec_t *unpack_spec(const Bramley__JobRecord *record);

const char *bw_job_state_name(bw_job_state_t state)
{
	return state_names[state];
}

bool bw_job_state_final(bw_job_state_t state)
{
	return state >= BW_JOB_COMPLETED && state < BW_JOB_STATE_COUNT;
}

bool bw_task_name_equal(const bw_task_name_t *a, const bw_task_name_t *b)
{
	return a->step == b->step && a->index == b->index &&
	       a->occurrence == b->occurrence && !strcmp(a->job, b->job);
}

bool bw_job_id_valid(const char *id)
{
	size_t i;

	for (i = 0; i < BW_JOB_ID_CHARS; i++)
		if (!g_ascii_isxdigit(id[i]))
			return false;
	return id[BW_JOB_ID_CHARS] == '\0';
}

bw_job_spec_t *bw_job_spec_new(uint32_t step_count)
{
	bw_job_spec_t *spec = g_new0(bw_job_spec_t, 1);

	spec->steps = g_new0(bw_step_spec_t, step_count);
	spec->step_count = step_count;
	return spec;
}

static void step_clear(bw_step_spec_t *step)
{
	g_free(step->after);
	g_free(step->label);
	g_free(step->rack);
	g_free(step->image);
}

void bw_job_spec_free(bw_job_spec_t *spec)
{
	uint32_t i;

	if (!spec)
		return;
	for (i = 0; i < spec->step_count; i++)
		step_clear(&spec->steps[i]);
	g_free(spec->steps);
	g_free(spec->text);
	g_free(spec);
}

static bw_status_t check_step(const bw_job_spec_t *spec, uint32_t number)
{
	const bw_step_spec_t *step = &spec->steps[number];
	uint32_t i;

	if (step->count == 0)
		return bw_status_set(BW_EINVAL, "step %u has no tasks", number);
	if (step->need.cpu_millis < 0 || step->need.mem_mb < 0 ||
	    step->need.gpus < 0)
		return bw_status_set(BW_EINVAL,
				     "step %u has a negative resource amount",
				     number);
	for (i = 0; i < step->after_count; i++)
		if (step->after[i] >= number)
			return bw_status_set(BW_EINVAL,
					     "step %u comes after step %u, "
					     "which is not an earlier one",
					     number, step->after[i]);
	return BW_OK;
}

/* Whether the times at which occurrences are due can be computed. */
static bool is_last_due_valid(const bw_job_spec_t *spec)
{
	if (spec->repeats == 0)
		return true;
	return spec->interval_ms >= 0 && spec->first_due_ms >= 0 &&
	       spec->interval_ms <=
		       (INT64_MAX - spec->first_due_ms) / spec->repeats;
}

bw_status_t bw_job_spec_check(const bw_job_spec_t *spec)
{
	uint32_t i;

	if (spec->step_count == 0 || spec->step_count > BW_JOB_STEPS_MAX)
		return bw_status_set(BW_EINVAL, "a job has 1 to %d steps",
				     BW_JOB_STEPS_MAX);
	for (i = 0; i < spec->step_count; i++)
		if (check_step(spec, i) != BW_OK)
			return BW_EINVAL;
	if (bw_job_spec_tasks(spec) > BW_JOB_TASKS_MAX)
		return bw_status_set(BW_EINVAL, "a job has at most %d tasks",
				     BW_JOB_TASKS_MAX);
	if (!is_last_due_valid(spec))
		return bw_status_set(BW_EINVAL,
				     "the last occurrence is too late");
	return BW_OK;
}

uint32_t bw_job_spec_tasks(const bw_job_spec_t *spec)
{
	uint64_t tasks = 0;
	uint32_t i;

	for (i = 0; i < spec->step_count; i++)
		tasks += spec->steps[i].count;
	return (uint32_t)MIN(tasks, (uint64_t)UINT32_MAX);
}

static void pack_step(const bw_step_spec_t *step, Bramley__StepRecord *out)
{
	out->count = step->count;
	out->cpu_millis = step->need.cpu_millis;
	out->mem_mb = step->need.mem_mb;
	out->gpus = step->need.gpus;
	out->estimate_ms = step->estimate_ms;
	out->after = step->after;
	out->n_after = step->after_count;
	out->flags = (step->checkpoints ? FLAG_CHECKPOINTS : 0U) |
		     (step->gang ? FLAG_GANG : 0U) |
		     (step->same_rack ? FLAG_SAME_RACK : 0U) |
		     (step->duplicates ? FLAG_DUPLICATES : 0U) |
		     (step->lasting ? FLAG_LASTING : 0U) |
		     (step->filler ? FLAG_FILLER : 0U);
	out->label = step->label ? step->label : out->label;
	out->rack = step->rack ? step->rack : out->rack;
	out->image = step->image ? step->image : out->image;
	out->per_worker_max = step->per_worker_max;
	out->tail_ms_max = step->tail_ms_max;
	out->away_max = step->away_max;
}

static void pack_terms(const bw_queue_terms_t *terms, Bramley__QueueTerms *out)
{
	out->priority = terms->priority;
	out->attempts_max = terms->attempts_max;
	out->objective_factor = terms->objective_factor;
	out->objective_offset_ms = terms->objective_offset_ms;
	out->advised = terms->advised;
}

static void unpack_terms(const Bramley__QueueTerms *record,
			 bw_queue_terms_t *out)
{
	out->priority = record->priority;
	out->attempts_max = record->attempts_max;
	out->objective_factor = record->objective_factor;
	out->objective_offset_ms = record->objective_offset_ms;
	out->advised = record->advised;
}

uint8_t *bw_job_record_pack(const bw_job_record_t *record, size_t *bytes)
{
	const bw_job_spec_t *spec = record->spec;
	Bramley__JobRecord message = BRAMLEY__JOB_RECORD__INIT;
	Bramley__QueueTerms terms = BRAMLEY__QUEUE_TERMS__INIT;
	Bramley__StepRecord *steps =
		g_new(Bramley__StepRecord, spec->step_count);
	Bramley__StepRecord **step_refs =
		g_new(Bramley__StepRecord *, spec->step_count);
	uint8_t *data;
	uint32_t i;

	for (i = 0; i < spec->step_count; i++) {
		bramley__step_record__init(&steps[i]);
		pack_step(&spec->steps[i], &steps[i]);
		step_refs[i] = &steps[i];
	}
	message.version = BW_RECORD_VERSION;
	message.queue = record->queue;
	if (record->tenant)
		message.tenant = record->tenant;
	message.accepted_ms = record->accepted_ms;
	message.text = spec->text ? spec->text : message.text;
	message.steps = step_refs;
	message.n_steps = spec->step_count;
	message.repeats = spec->repeats;
	message.first_due_ms = spec->first_due_ms;
	message.interval_ms = spec->interval_ms;
	if (record->has_terms) {
		pack_terms(&record->terms, &terms);
		message.terms = &terms;
	}
	*bytes = bramley__job_record__get_packed_size(&message);
	data = g_malloc(*bytes + 1);
	bramley__job_record__pack(&message, data);
	g_free(step_refs);
	g_free(steps);
	return data;
}

uint8_t *bw_job_record_pack_short(bw_job_state_t state, const char *tenant,
				  size_t *bytes)
{
	Bramley__JobRecord message = BRAMLEY__JOB_RECORD__INIT;
	uint8_t *data;

	message.version = BW_RECORD_VERSION;
	message.state = state;
	if (tenant)
		message.tenant = (char *)tenant;
	*bytes = bramley__job_record__get_packed_size(&message);
	data = g_malloc(*bytes + 1);
	bramley__job_record__pack(&message, data);
	return data;
}

static char *dup_nonempty(const char *text)
{
	return text[0] ? g_strdup(text) : NULL;
}

static void unpack_step(const Bramley__StepRecord *record, bw_step_spec_t *out)
{
	out->count = record->count;
	out->need.cpu_millis = record->cpu_millis;
	out->need.mem_mb = record->mem_mb;
	out->need.gpus = record->gpus;
	out->estimate_ms = record->estimate_ms;
	out->after = g_memdup2(record->after,
			       record->n_after * sizeof(*record->after));
	out->after_count = (uint32_t)record->n_after;
	out->checkpoints = (record->flags & FLAG_CHECKPOINTS) != 0;
	out->gang = (record->flags & FLAG_GANG) != 0;
	out->same_rack = (record->flags & FLAG_SAME_RACK) != 0;
	out->duplicates = (record->flags & FLAG_DUPLICATES) != 0;
	out->lasting = (record->flags & FLAG_LASTING) != 0;
	out->filler = (record->flags & FLAG_FILLER) != 0;
	out->label = dup_nonempty(record->label);
	out->rack = dup_nonempty(record->rack);
	out->image = dup_nonempty(record->image);
	out->per_worker_max = record->per_worker_max;
	out->tail_ms_max = record->tail_ms_max;
	out->away_max = record->away_max;
}

static bw_job_spec_t *unpack_spec(const Bramley__JobRecord *record)
{
	bw_job_spec_t *spec = bw_job_spec_new((uint32_t)record->n_steps);
	uint32_t i;

	spec->text = g_strdup(record->text);
	spec->repeats = record->repeats;
	spec->first_due_ms = record->first_due_ms;
	spec->interval_ms = record->interval_ms;
	for (i = 0; i < spec->step_count; i++)
		unpack_step(record->steps[i], &spec->steps[i]);
	return spec;
}

/* Takes the contents of a record over; BW_EPARSE if they are not valid. */
static bw_status_t take_contents(const Bramley__JobRecord *record,
				 bw_job_record_t *out)
{
	if (bw_record_check_version("job", record->version) != BW_OK)
		return BW_EPARSE;
	out->tenant = dup_nonempty(record->tenant);
	if (record->state != BW_JOB_UNKNOWN) {
		if (!bw_job_state_final(record->state))
			return bw_status_set(BW_EPARSE,
					     "a job record's state %u is not "
					     "final",
					     record->state);
		out->state = record->state;
		return BW_OK;
	}
	/* Tasks get the text as JSON. */
	if (!g_utf8_validate(record->text, -1, NULL))
		return bw_status_set(BW_EPARSE, "a job's text is not UTF-8");
	out->queue = g_strdup(record->queue);
	out->accepted_ms = record->accepted_ms;
	out->spec = unpack_spec(record);
	out->has_terms = record->terms != NULL;
	if (record->terms)
		unpack_terms(record->terms, &out->terms);
	return bw_job_spec_check(out->spec) == BW_OK ? BW_OK : BW_EPARSE;
}

bw_status_t bw_job_record_unpack(const uint8_t *data, size_t bytes,
				 bw_job_record_t *out)
{
	Bramley__JobRecord *record =
		bramley__job_record__unpack(NULL, bytes, data);
	bw_status_t status;

	memset(out, 0, sizeof(*out));
	if (!record)
		return bw_status_set(BW_EPARSE, "not a job record");
	status = take_contents(record, out);
	bramley__job_record__free_unpacked(record, NULL);
	if (status != BW_OK)
		bw_job_record_clear(out);
	return status;
}

void bw_job_record_clear(bw_job_record_t *record)
{
	g_free(record->queue);
	g_free(record->tenant);
	bw_job_spec_free(record->spec);
	memset(record, 0, sizeof(*record));
}

bool bw_job_json_can_be_one(const char *text, size_t bytes)
{
	return bw_json_is_within(text, bytes, &json_bounds);
}
