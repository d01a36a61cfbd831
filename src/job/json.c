#include "job/json.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

/** Type of the member of bw_step_spec_t that a key sets. */
typedef enum field_type {
	FIELD_UINT32,
	FIELD_INT64,
	FIELD_BOOL,
	FIELD_STRING
} field_type_t;

typedef struct field {
	const char *name;
	field_type_t type;
	size_t offset;
} field_t;

static const field_t fields[] = {
	{ "tasks", FIELD_UINT32, offsetof(bw_step_spec_t, count) },
	{ "cpu_millis", FIELD_INT64,
	  offsetof(bw_step_spec_t, need.cpu_millis) },
	{ "mem_mb", FIELD_INT64, offsetof(bw_step_spec_t, need.mem_mb) },
	{ "gpus", FIELD_INT64, offsetof(bw_step_spec_t, need.gpus) },
	{ "estimate_ms", FIELD_UINT32, offsetof(bw_step_spec_t, estimate_ms) },
	{ "checkpoints", FIELD_BOOL, offsetof(bw_step_spec_t, checkpoints) },
	{ "gang", FIELD_BOOL, offsetof(bw_step_spec_t, gang) },
	{ "same_rack", FIELD_BOOL, offsetof(bw_step_spec_t, same_rack) },
	{ "duplicates", FIELD_BOOL, offsetof(bw_step_spec_t, duplicates) },
	{ "lasting", FIELD_BOOL, offsetof(bw_step_spec_t, lasting) },
	{ "filler", FIELD_BOOL, offsetof(bw_step_spec_t, filler) },
	{ "label", FIELD_STRING, offsetof(bw_step_spec_t, label) },
	{ "rack", FIELD_STRING, offsetof(bw_step_spec_t, rack) },
	{ "image", FIELD_STRING, offsetof(bw_step_spec_t, image) },
	{ "per_worker_max", FIELD_UINT32,
	  offsetof(bw_step_spec_t, per_worker_max) },
	{ "tail_ms_max", FIELD_UINT32, offsetof(bw_step_spec_t, tail_ms_max) },
	{ "away_max", FIELD_UINT32, offsetof(bw_step_spec_t, away_max) },
};

static const char *const job_keys[] = { "text", "steps", "schedule", NULL };
static const char *const schedule_keys[] = { "repeats", "first_due_ms",
					     "interval_ms", NULL };

static const field_t *find_field(const char *name);
static bool parse_number(json_t *value, int64_t max, int64_t *out);
static void parse_field(const field_t *field, json_t *value, uint32_t step,
			bw_step_spec_t *out, bw_findings_t *findings);
static void parse_after(json_t *value, uint32_t step, bw_step_spec_t *out,
			bw_findings_t *findings);
static void parse_step(json_t *value, uint32_t step, bw_step_spec_t *out,
		       bw_findings_t *findings);
static void check_keys(json_t *object, const char *prefix,
		       const char *const *valid_keys, bw_findings_t *findings);
static void parse_schedule(json_t *root, bw_findings_t *findings,
			   bw_job_spec_t *out);
static bw_status_t parse_job(json_t *root, bw_findings_t *findings,
			     bw_job_spec_t **out);

static const field_t *find_field(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

static bool parse_number(json_t *value, int64_t max, int64_t *out)
{
	if (!json_is_integer(value))
		return false;
	*out = json_integer_value(value);
	return *out >= 0 && *out <= max;
}

static void parse_field(const field_t *field, json_t *value, uint32_t step,
			bw_step_spec_t *out, bw_findings_t *findings)
{
	char *member = (char *)out + field->offset;
	int64_t number = 0;
	bool valid = false;

	switch (field->type) {
	case FIELD_UINT32:
		valid = parse_number(value, G_MAXINT32, &number);
		*(uint32_t *)(void *)member = (uint32_t)number;
		break;
	case FIELD_INT64:
		valid = parse_number(value, INT64_MAX, &number);
		*(int64_t *)(void *)member = number;
		break;
	case FIELD_BOOL:
		valid = json_is_boolean(value);
		*(bool *)member = json_is_true(value);
		break;
	case FIELD_STRING:
		valid = json_is_string(value);
		*(char **)(void *)member = g_strdup(json_string_value(value));
		break;
	}
	if (!valid)
		bw_findings_add(findings, BW_F_BAD_VALUE, 0, 0, "steps[%u].%s",
				step, field->name);
}

static void parse_after(json_t *value, uint32_t step, bw_step_spec_t *out,
			bw_findings_t *findings)
{
	size_t i;

	if (!json_is_array(value)) {
		bw_findings_add(findings, BW_F_WRONG_TYPE, 0, 0,
				"steps[%u].after is not a list", step);
		return;
	}
	out->after_count = (uint32_t)json_array_size(value);
	out->after = g_new0(uint32_t, out->after_count + 1);
	for (i = 0; i < out->after_count; i++) {
		int64_t number = 0;

		if (!parse_number(json_array_get(value, i), BW_JOB_STEPS_MAX,
				  &number))
			bw_findings_add(findings, BW_F_BAD_VALUE, 0, 0,
					"steps[%u].after[%zu]", step, i);
		out->after[i] = (uint32_t)number;
	}
}

static void parse_step(json_t *value, uint32_t step, bw_step_spec_t *out,
		       bw_findings_t *findings)
{
	const char *name;
	json_t *item;

	if (!json_is_object(value)) {
		bw_findings_add(findings, BW_F_WRONG_TYPE, 0, 0,
				"steps[%u] is not an object", step);
		return;
	}
	json_object_foreach(value, name, item)
	{
		const field_t *field = find_field(name);

		if (field)
			parse_field(field, item, step, out, findings);
		else if (!strcmp(name, "after"))
			parse_after(item, step, out, findings);
		else
			bw_findings_add(findings, BW_F_UNKNOWN_KEY, 0, 0,
					"steps[%u].%s", step, name);
	}
}

static void check_keys(json_t *object, const char *prefix,
		       const char *const *valid_keys, bw_findings_t *findings)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		if (!g_strv_contains(valid_keys, key))
			bw_findings_add(findings, BW_F_UNKNOWN_KEY, 0, 0,
					"%s%s", prefix, key);
	}
}

static void parse_schedule(json_t *root, bw_findings_t *findings,
			   bw_job_spec_t *out)
{
	json_t *schedule = json_object_get(root, "schedule");
	int64_t repeats = 0;

	if (!schedule)
		return;
	check_keys(schedule, "schedule.", schedule_keys, findings);
	if (!parse_number(json_object_get(schedule, "repeats"), G_MAXINT32,
			  &repeats) ||
	    !parse_number(json_object_get(schedule, "first_due_ms"), INT64_MAX,
			  &out->first_due_ms) ||
	    !parse_number(json_object_get(schedule, "interval_ms"), INT64_MAX,
			  &out->interval_ms))
		bw_findings_add(findings, BW_F_BAD_VALUE, 0, 0,
				"schedule needs repeats, first_due_ms and "
				"interval_ms as integers of at least 0");
	out->repeats = (uint32_t)repeats;
}

static bw_status_t parse_job(json_t *root, bw_findings_t *findings,
			     bw_job_spec_t **out)
{
	json_t *steps = json_object_get(root, "steps");
	const char *text = json_string_value(json_object_get(root, "text"));
	bw_job_spec_t *spec;
	uint32_t i;

	check_keys(root, "", job_keys, findings);
	if (!text)
		bw_findings_add(findings, BW_F_MISSING_KEY, 0, 0, "text");
	if (!json_is_array(steps))
		bw_findings_add(findings, BW_F_MISSING_KEY, 0, 0, "steps");
	spec = bw_job_spec_new(
		(uint32_t)MIN(json_array_size(steps), BW_JOB_STEPS_MAX + 1));
	spec->text = g_strdup(text ? text : "");
	parse_schedule(root, findings, spec);
	for (i = 0; i < spec->step_count; i++)
		parse_step(json_array_get(steps, i), i, &spec->steps[i],
			   findings);
	if (bw_findings_count(findings) == 0 &&
	    bw_job_spec_check(spec) != BW_OK)
		bw_findings_add(findings, BW_F_BAD_VALUE, 0, 0, "%s",
				bw_status_message());
	if (bw_findings_count(findings) > 0) {
		bw_job_spec_free(spec);
		return bw_status_set(BW_EINVAL, "the job has %zu errors",
				     bw_findings_count(findings));
	}
	*out = spec;
	return BW_OK;
}

bw_status_t bw_job_spec_from_json(const char *text, size_t bytes,
				  bw_findings_t *findings, bw_job_spec_t **out)
{
	json_error_t error;
	bw_status_t status;
	json_t *root;

	if (!bw_job_json_can_be_one(text, bytes)) {
		bw_findings_add(findings, BW_F_OUT_OF_RANGE, 0, 0,
				"more values than a job has");
		return BW_EINVAL;
	}
	root = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(root)) {
		bw_findings_add(findings, BW_F_SYNTAX,
				(uint32_t)MAX(error.line, 0),
				(uint32_t)MAX(error.column, 0), "%s",
				root ? "not an object" : error.text);
		json_decref(root);
		return bw_status_set(BW_EPARSE, "the job is not valid JSON");
	}
	status = parse_job(root, findings, out);
	json_decref(root);
	return status;
}
