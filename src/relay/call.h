/**
 * @file
 * One caller's request and its answer. The front task, which owns the caller's
 * connection, and the relay task, which decides on the request, share it.
 */
#ifndef BW_RELAY_CALL_H
#define BW_RELAY_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "place/place.h"

struct MHD_Connection;

/**
 * Answer bytes buffered for a slow caller; beyond this the attempt is paused.
 */
#define BW_ANSWER_WINDOW_BYTES ((size_t)256 << 10)

/** How a request ended: answered, or whether it may have run without one. */
typedef enum bw_outcome {
	BW_OUTCOME_ANSWERED,
	BW_OUTCOME_NOT_RUN, /**< It did not run and will not run. */
	BW_OUTCOME_UNKNOWN, /**< It may have run. */
	BW_OUTCOME_COUNT
} bw_outcome_t;

/** A header of an answer. */
typedef struct bw_header {
	char *name;
	char *value;
} bw_header_t;

/** An answer, filled as it is received. */
typedef struct bw_answer {
	unsigned int status;
	GArray *headers; /**< bw_header_t */
	GString *body; /**< Bytes not yet passed to the caller. */
	uint64_t length; /**< Declared body length, or UINT64_MAX. */
	uint64_t received; /**< Body bytes received so far. */
	bool complete; /**< All of it has been received. */
	bool truncated; /**< It ended early; the rest will not come. */
} bw_answer_t;

/** Progress of a call. */
typedef enum bw_call_state {
	BW_CALL_READING, /**< The front is reading the request. */
	BW_CALL_CLAIMING, /**< Waits for the verdict of the key's owner. */
	BW_CALL_PLACING, /**< Waits for a worker. */
	BW_CALL_RUNNING, /**< An attempt is in progress. */
	BW_CALL_DONE, /**< The relay has finished with it. */
	BW_CALL_STATE_COUNT
} bw_call_state_t;

/** A request and its answer, kept until neither task uses it. */
typedef struct bw_call {
	/** First, so that a pointer to it can be cast to a call. */
	bw_place_request_t place_request;
	/* Fields of the front task. */
	/** NULL once the request has ended. */
	struct MHD_Connection *connection;
	struct bw_front *front;
	char *method;
	char *target; /**< Path and query as received. */
	GString *body;
	bool head_read;
	bool suspended;
	bool replying; /**< The answer's head has been queued. */
	bool awaiting_body; /**< Suspended until more of the answer arrives. */
	unsigned int refusal_status; /**< 0 unless refused while reading. */
	bw_counter_t refusal_counter;
	/* Fields of the relay task. */
	struct bw_relay *relay;
	bw_call_state_t state;
	struct curl_slist *headers;
	char *key_text; /**< Idempotency-Key, or NULL. */
	uint64_t fingerprint; /**< Of method, target, body and credentials. */
	int64_t received_us;
	struct bw_attempt *attempt;
	bw_answer_t answer;
	bw_outcome_t outcome;
	bool run_once; /**< May run only once. */
	bool claimed; /**< The owner granted the key to this call. */
	bool released; /**< The front does not use it any more. */
	bool paused; /**< The attempt is paused. */
	uint64_t claim_id; /**< 0 before the first claim. */
	uint64_t key_hash;
	uint64_t key_check; /**< Second, independent hash of the key. */
	uint64_t owner; /**< Entry to which the claim was last sent. */
	int64_t issued_ms; /**< Time of issue in the key. */
	int64_t claim_deadline_us;
	int64_t claim_retry_us;
	bool may_have_run; /**< An attempt was sent. */
	bool never_runs; /**< Certain: no entry runs this request. */
} bw_call_t;

/** Creates a call. @param target path and query; copied */
bw_call_t *bw_call_create(const char *target);

/** Destroys a call that neither task uses any more. */
void bw_call_destroy(bw_call_t *call);

/** Removes the status, headers and body of an answer. */
void bw_answer_clear(bw_answer_t *answer);

/** Adds a header to an answer; both strings are copied. */
void bw_answer_add_header(bw_answer_t *answer, const char *name,
			  const char *value);

/** Whether a header is hop-by-hop, so not forwarded (RFC 9110, 7.6.1). */
bool bw_header_is_hop_by_hop(const char *name);

#endif
