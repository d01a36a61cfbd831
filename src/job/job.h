/**
 * @file
 * Jobs as callers submit them, as steps of tasks, and their stored records.
 */
#ifndef BW_JOB_JOB_H
#define BW_JOB_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/jsonscan.h"
#include "base/status.h"

/** Characters of a job's identifier. */
#define BW_JOB_ID_CHARS	 16
#define BW_JOB_STEPS_MAX 256
#define BW_JOB_TASKS_MAX 20000

/** More than the JSON text of a legal job has, with every dependency and
 *  members that nobody knows. */
#define BW_JOB_JSON_CONTAINERS_MAX 4096
#define BW_JOB_JSON_SEPARATORS_MAX 65536
#define BW_JOB_JSON_DEPTH_MAX	   32

/** Resources that a task needs or a worker has. */
typedef struct bw_resources {
	int64_t cpu_millis; /**< Thousandths of a core. */
	int64_t mem_mb;
	int64_t gpus;
} bw_resources_t;

/** Whether a text can be a job's, so that parsing it takes little memory. */
bool bw_job_json_can_be_one(const char *text, size_t bytes);

/** What a tenant may use; the limits hold over all pools together. */
typedef struct bw_tenant_terms {
	/** Share of a full pool relative to other tenants; also the submissions
	 *  a second that the tenant is entitled to. */
	double weight;
	bw_resources_t cap; /**< Most that may run; an amount of 0 is no limit.
			     */
} bw_tenant_terms_t;

/** A step: a number of tasks with the same requirements. */
typedef struct bw_step_spec {
	uint32_t count; /**< Number of tasks. */
	bw_resources_t need; /**< Resources of each task. */
	uint32_t estimate_ms; /**< Caller's estimate of a task's duration. */
	uint32_t *after; /**< Earlier steps that must complete first. */
	uint32_t after_count;
	bool checkpoints; /**< The tasks write checkpoints. */
	bool gang; /**< All tasks run at the same time. */
	bool same_rack; /**< Slower when spread over several racks. */
	bool duplicates; /**< Copies of a task may run in parallel. */
	bool lasting; /**< Runs until the job is cancelled. */
	bool filler; /**< Its CPU use is not counted. */
	char *label; /**< Label that the worker must have, or NULL. */
	char *rack; /**< Rack of its data, or NULL. */
	char *image; /**< Image that the tasks run, or NULL. */
	uint32_t per_worker_max; /**< Tasks on one worker; 0 is no limit. */
	uint32_t tail_ms_max; /**< Bound on its requests' tail latency; 0 is no
				 bound. */
	uint32_t away_max; /**< Tasks that evacuating a cordoned worker may
			      leave unavailable; 0 counts as 1. */
} bw_step_spec_t;

/** A job; released with bw_job_spec_free(). */
typedef struct bw_job_spec {
	char *text; /**< Passed to each task unchanged. */
	bw_step_spec_t *steps;
	uint32_t step_count;
	uint32_t repeats; /**< 0: runs once, immediately. */
	int64_t first_due_ms; /**< Unix time of the first occurrence. */
	int64_t interval_ms; /**< Time between occurrences. */
} bw_job_spec_t;

/** Identifies a task by indexes from 0. */
typedef struct bw_task_name {
	char job[BW_JOB_ID_CHARS + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} bw_task_name_t;

/** Returns whether two names are of one task. */
bool bw_task_name_equal(const bw_task_name_t *a, const bw_task_name_t *b);

/** State of a job as reported to callers. */
typedef enum bw_job_state {
	BW_JOB_UNKNOWN,
	BW_JOB_QUEUED,
	BW_JOB_RUNNING,
	BW_JOB_COMPLETED,
	BW_JOB_FAILED,
	BW_JOB_CANCELLED,
	BW_JOB_STATE_COUNT
} bw_job_state_t;

/** How the jobs of a queue are run. */
typedef struct bw_queue_terms {
	uint32_t priority; /**< 0 is the highest. */
	uint32_t attempts_max; /**< Limit on failed runs of a task; 0: none. */
	double objective_factor; /**< Objective as a multiple of the longest
				      chain of steps. */
	int64_t objective_offset_ms; /**< Added to the multiple. */
	bool advised; /**< Tasks run only on workers that advice names. */
} bw_queue_terms_t;

/** A job as stored. Once it has ended a short record replaces it, which has
 *  only the final state and the tenant. */
typedef struct bw_job_record {
	char *queue;
	/** Of the queue when the job was accepted; they hold when the
	 *  configuration has no such queue any more. */
	bw_queue_terms_t terms;
	bool has_terms; /**< Earlier versions did not store them. */
	char *tenant; /**< Whose job it is; NULL: nobody's. */
	int64_t accepted_ms; /**< Unix time. */
	bw_job_spec_t *spec; /**< NULL in a short record. */
	bw_job_state_t state; /**< BW_JOB_UNKNOWN unless the record is short. */
	/** Revision of the store that created it; 0: not known. Not a part of
	 *  the stored record. */
	uint64_t revision;
} bw_job_record_t;

/** Returns the name of a state as a static string. */
const char *bw_job_state_name(bw_job_state_t state);

/** Returns whether a job in this state has ended. */
bool bw_job_state_final(bw_job_state_t state);

/** Returns whether a string is a well-formed job identifier. */
bool bw_job_id_valid(const char *id);

/** Creates a job with @p step_count steps that are all zero. */
bw_job_spec_t *bw_job_spec_new(uint32_t step_count);

/** Releases a job; NULL is allowed. */
void bw_job_spec_free(bw_job_spec_t *spec);

/**
 * Checks a job's limits, amounts and dependencies.
 * @return BW_OK, or BW_EINVAL with the reason as status message
 */
bw_status_t bw_job_spec_check(const bw_job_spec_t *spec);

/** Returns the number of tasks of one occurrence. */
uint32_t bw_job_spec_tasks(const bw_job_spec_t *spec);

/**
 * Encodes a record.
 * @return bytes to be released with g_free()
 */
uint8_t *bw_job_record_pack(const bw_job_record_t *record, size_t *bytes);

/**
 * Encodes a short record.
 * @param state final state of the job
 * @param tenant whose job it is, or NULL
 * @return bytes to be released with g_free()
 */
uint8_t *bw_job_record_pack_short(bw_job_state_t state, const char *tenant,
				  size_t *bytes);

/**
 * Decodes a record and checks its job, or the state of a short record.
 * @param out receives the record, to be released with bw_job_record_clear()
 * @return BW_OK, or BW_EPARSE
 */
bw_status_t bw_job_record_unpack(const uint8_t *data, size_t bytes,
				 bw_job_record_t *out);

/** Releases the contents of a record. */
void bw_job_record_clear(bw_job_record_t *record);

#endif
