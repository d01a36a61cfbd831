/**
 * @file
 * Jobs as callers hand them in: steps of tasks, and how they are stored.
 */
#ifndef BW_JOB_JOB_H
#define BW_JOB_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/** Characters of a job's identifier. */
#define BW_JOB_ID_CHARS	 16
#define BW_JOB_STEPS_MAX 256
#define BW_JOB_TASKS_MAX 20000

/** Resources of a task, or of a worker. */
typedef struct bw_resources {
	int64_t cpu_millis; /**< Thousandths of a core. */
	int64_t mem_mb;
	int64_t gpus;
} bw_resources_t;

/** A step: tasks of the same kind. */
typedef struct bw_step_spec {
	uint32_t count; /**< Tasks. */
	bw_resources_t need; /**< Of each task. */
	uint32_t estimate_ms; /**< The caller's guess of a task's duration. */
	uint32_t *after; /**< Earlier steps that must be done first. */
	uint32_t after_count;
	bool checkpoints;
	bool gang; /**< All tasks run together. */
	bool same_rack; /**< Slower on more than one rack. */
	bool duplicates; /**< Copies may run in parallel. */
	bool lasting; /**< Runs until the job is cancelled. */
	bool filler; /**< Its processor use is not counted. */
	char *label; /**< Label that the worker must have, or NULL. */
	char *rack; /**< Rack of its data, or NULL. */
	char *image; /**< What the tasks run, or NULL. */
	uint32_t per_worker_max; /**< Tasks on one worker; 0 is no limit. */
	uint32_t tail_ms_max; /**< Bound on its own users' latency; 0: none. */
	uint32_t away_max; /**< Tasks that we may have away at a time. */
} bw_step_spec_t;

/** A job; released with bw_job_spec_free(). */
typedef struct bw_job_spec {
	char *text; /**< Passed to each task as it is. */
	bw_step_spec_t *steps;
	uint32_t step_count;
	uint32_t repeats; /**< 0: once, at once. */
	int64_t first_due_ms; /**< Unix time of the first occurrence. */
	int64_t interval_ms;
} bw_job_spec_t;

/** A job as it is stored. */
typedef struct bw_job_record {
	char *queue;
	int64_t accepted_ms; /**< Unix time. */
	bw_job_spec_t *spec;
} bw_job_record_t;

/** Names a task. */
typedef struct bw_task_name {
	char job[BW_JOB_ID_CHARS + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} bw_task_name_t;

/** What callers are told of a job. */
typedef enum bw_job_state {
	BW_JOB_UNKNOWN,
	BW_JOB_QUEUED,
	BW_JOB_RUNNING,
	BW_JOB_COMPLETED,
	BW_JOB_FAILED,
	BW_JOB_CANCELLED,
	BW_JOB_STATE_COUNT
} bw_job_state_t;

/** Name of a state for logs, a static string. */
const char *bw_job_state_name(bw_job_state_t state);

/** Whether a text is a well-formed identifier. */
bool bw_job_id_valid(const char *id);

/** Creates a job without steps. */
bw_job_spec_t *bw_job_spec_new(uint32_t step_count);

void bw_job_spec_free(bw_job_spec_t *spec);

/**
 * Checks that a job can be carried out as written.
 * @return BW_OK, or BW_EINVAL with the reason as status message
 */
bw_status_t bw_job_spec_check(const bw_job_spec_t *spec);

/** Tasks of one occurrence. */
uint32_t bw_job_spec_tasks(const bw_job_spec_t *spec);

/**
 * Encodes a record.
 * @return bytes to be released with g_free()
 */
uint8_t *bw_job_record_pack(const bw_job_record_t *record, size_t *bytes);

/**
 * Decodes a record; release with bw_job_record_clear().
 * @return BW_OK, or BW_EPARSE
 */
bw_status_t bw_job_record_unpack(const uint8_t *data, size_t bytes,
				 bw_job_record_t *out);

void bw_job_record_clear(bw_job_record_t *record);

#endif
