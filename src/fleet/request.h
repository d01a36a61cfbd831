/**
 * @file
 * Callers' requests about jobs, independent of the protocol that carries them.
 */
#ifndef BW_FLEET_REQUEST_H
#define BW_FLEET_REQUEST_H

#include "job/job.h"

/** Kinds of requests. */
typedef enum bw_request_kind {
	BW_REQUEST_SUBMIT,
	BW_REQUEST_STATE,
	BW_REQUEST_CANCEL,
	BW_REQUEST_QUEUE, /**< Number of waiting jobs of a queue. */
	BW_REQUEST_KIND_COUNT
} bw_request_kind_t;

/** A request; valid during the call that passes it. */
typedef struct bw_request {
	bw_request_kind_t kind;
	const char *host;
	const char *path; /**< A queue's prefix, then a job's identifier. */
	/** Name of the queue, or NULL; if set, path is only the identifier. */
	const char *queue;
	const char *key; /**< API key of the caller's tenant, or NULL. */
	bw_job_spec_t *spec; /**< For a submission; the caller frees it. */
	int64_t caller_timeout_ms; /**< How long the caller waits for an answer.
				    */
} bw_request_t;

/** Kinds of answers. */
typedef enum bw_answer_kind {
	BW_ANSWER_DONE, /**< The job is accepted, or its cancellation. */
	BW_ANSWER_STATE,
	BW_ANSWER_WAITING,
	BW_ANSWER_REFUSED, /**< Not accepted; the job will not run. */
	BW_ANSWER_UNKNOWN, /**< Outcome unknown; the caller may retry. */
	BW_ANSWER_NO_JOB,
	BW_ANSWER_NO_QUEUE,
	BW_ANSWER_BAD_REQUEST, /**< The request is malformed. */
	BW_ANSWER_UNAUTHORIZED, /**< No tenant has the request's key. */
	BW_ANSWER_KIND_COUNT
} bw_answer_kind_t;

/** Answer to a request. */
typedef struct bw_answer {
	bw_answer_kind_t kind;
	bw_job_state_t state;
	uint32_t waiting;
	uint32_t retry_after_s; /**< For BW_ANSWER_REFUSED. */
	const char *reason; /**< Valid during the callback. */
} bw_answer_t;

typedef void (*bw_answer_fn)(void *ctx, const bw_answer_t *answer);

/** Interface of a server of requests. */
typedef struct bw_request_handler {
	void *impl;
	/** Calls @p done exactly once, possibly before it returns. */
	void (*serve)(void *impl, const bw_request_t *request,
		      bw_answer_fn done, void *ctx);
	/** Returns whether callers should open new connections. */
	bool (*ready)(void *impl);
} bw_request_handler_t;

#endif
