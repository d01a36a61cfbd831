/**
 * @file
 * Callers' requests about jobs, independent of the protocol they come by.
 */
#ifndef BW_FLEET_REQUEST_H
#define BW_FLEET_REQUEST_H

#include "job/job.h"

typedef enum bw_request_kind {
	BW_REQUEST_SUBMIT,
	BW_REQUEST_STATE,
	BW_REQUEST_CANCEL,
	BW_REQUEST_QUEUE, /**< Counts a queue's waiting jobs. */
	BW_REQUEST_KIND_COUNT
} bw_request_kind_t;

/** A request; valid during the call that passes it. */
typedef struct bw_request {
	bw_request_kind_t kind;
	const char *host;
	const char *path; /**< A queue's prefix, then a job's identifier. */
	/** Names the queue; the path is then the identifier alone. */
	const char *queue;
	bw_job_spec_t *spec; /**< Of a submission; moved. */
	int64_t caller_timeout_ms; /**< How long the caller waits. */
} bw_request_t;

typedef enum bw_answer_kind {
	BW_ANSWER_DONE, /**< Accepted, or cancelled. */
	BW_ANSWER_STATE,
	BW_ANSWER_WAITING,
	BW_ANSWER_REFUSED, /**< Not accepted; it never runs. */
	BW_ANSWER_UNKNOWN, /**< Not settled; the caller may ask again. */
	BW_ANSWER_NO_JOB,
	BW_ANSWER_NO_QUEUE,
	BW_ANSWER_BAD_REQUEST, /**< The request can't be understood. */
	BW_ANSWER_KIND_COUNT
} bw_answer_kind_t;

/** Answer to a request. */
typedef struct bw_answer {
	bw_answer_kind_t kind;
	bw_job_state_t state;
	uint32_t waiting;
	uint32_t retry_after_s; /**< With a refusal. */
	const char *reason; /**< Valid during the callback. */
} bw_answer_t;

typedef void (*bw_answer_fn)(void *ctx, const bw_answer_t *answer);

/** What serves requests. */
typedef struct bw_request_handler {
	void *impl;
	/** Answers once, possibly before it returns. */
	void (*serve)(void *impl, const bw_request_t *request,
		      bw_answer_fn done, void *ctx);
	/** Whether new connections are welcome. */
	bool (*ready)(void *impl);
} bw_request_handler_t;

#endif
