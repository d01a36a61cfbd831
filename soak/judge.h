/**
 * @file
 * The promises, checked from what callers and workers see. Each check reports
 * only what the users' rules forbid; the rules with a time bound count only for
 * nodes in touch.
 */
#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "contact.h"
#include "job/job.h"
#include "plan.h"
#include "record.h"

typedef enum soak_check {
	SOAK_REFUSED_NOT_RUN,
	SOAK_ACCEPTED_NOT_LOST,
	SOAK_ONE_RUN_AT_A_TIME,
	SOAK_STATE_IS_TRUE,
	SOAK_CANCELLED_IS_GONE,
	SOAK_ORDER,
	SOAK_AS_ASKED, /**< What starts was submitted, with that text. */
	SOAK_CAPACITY, /**< No start brings a worker over its capacity. */
	SOAK_ATTEMPTS, /**< No start after the last attempt has failed. */
	SOAK_KEYS, /**< A key is in force when the configuration says so. */
	SOAK_KEEPS_RUNNING, /**< No node ends by itself. */
	SOAK_CHECK_COUNT
} soak_check_t;

/** How a caller's try ended. */
typedef enum soak_reply {
	SOAK_REPLY_ACCEPTED, /**< 2xx */
	SOAK_REPLY_REFUSED, /**< 429, 503 or 404: the job never runs. */
	SOAK_REPLY_UNKNOWN, /**< No answer, or one that says nothing. */
	SOAK_REPLY_NOT_SENT /**< No byte left the caller. */
} soak_reply_t;

/** A run on a worker. */
typedef struct soak_run {
	bw_task_name_t task;
	uint32_t number;
	uint32_t life; /**< Of the worker; each start of it has another. */
	uint32_t node; /**< Whose order started it. */
} soak_run_t;

typedef struct soak_judge soak_judge_t;

/** The three must outlive it. */
soak_judge_t *soak_judge_create(const soak_plan_t *plan,
				const soak_contact_t *contact,
				soak_record_t *record);

void soak_judge_destroy(soak_judge_t *j);

/** Reports a failed check; @p job is an identifier, or "-". */
void soak_judge_fail(soak_judge_t *j, soak_check_t check, const char *job,
		     const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/** A caller begins to submit a job, once more or for the first time. */
void soak_judge_submitted(soak_judge_t *j, const soak_job_t *job);

/** The try has ended. */
void soak_judge_answered(soak_judge_t *j, const soak_job_t *job,
			 soak_reply_t reply, int64_t now_ms);

/** The caller tries no more. */
void soak_judge_given_up(soak_judge_t *j, const soak_job_t *job);

/** A caller begins to cancel a job; an answer may confirm it later. */
void soak_judge_cancelling(soak_judge_t *j, const soak_job_t *job);
void soak_judge_cancelled(soak_judge_t *j, const soak_job_t *job,
			  int64_t now_ms);

/** A node shows a job's state; NULL: it knows no such job. */
void soak_judge_shown(soak_judge_t *j, const soak_job_t *job, uint32_t node,
		      const char *state, int64_t now_ms);

/** A worker has begun a run. */
void soak_judge_started(soak_judge_t *j, const soak_run_t *run,
			const char *text, int64_t now_ms);

/** A run has ended: "done", "failed", "gone" with its worker and so on. */
void soak_judge_ended(soak_judge_t *j, const soak_run_t *run, const char *how,
		      int64_t now_ms);

/** A run's end was taken note of, and the worker's grant had not lapsed. */
void soak_judge_noted(soak_judge_t *j, const soak_run_t *run, const char *how);

/** Returns whether all jobs have come to their end, as far as callers know. */
bool soak_judge_settled(const soak_judge_t *j);

/** Checks what holds only in the end, when nothing has been disturbed long. */
void soak_judge_finish(soak_judge_t *j, int64_t now_ms);

uint32_t soak_judge_failures(const soak_judge_t *j);

/** Returns the identifier of the first job that failed a check, or NULL. */
const char *soak_judge_first_job(const soak_judge_t *j);

/** Returns all failures, a line each. */
const char *soak_judge_report(const soak_judge_t *j);

/** Returns the text of a job, which its starts must carry. */
void soak_job_text(const soak_job_t *job, char *out, size_t bytes);

#endif
