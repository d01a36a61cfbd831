/**
 * @file
 * One caller's request with its answer, shared by the front task, which owns
 * the caller's connection, and the relay task, which owns the decisions.
 */
#ifndef BW_RELAY_CALL_H
#define BW_RELAY_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "place/place.h"

struct MHD_Connection;

/** Answer bytes kept while the caller reads slowly. */
#define BW_ANSWER_WINDOW_BYTES ((size_t)256 << 10)

/** Whether a request that got no answer may have run. */
typedef enum bw_outcome {
	BW_OUTCOME_ANSWERED,
	BW_OUTCOME_NOT_RUN, /**< It has not run and will not run. */
	BW_OUTCOME_UNKNOWN, /**< It may have run. */
	BW_OUTCOME_COUNT
} bw_outcome_t;

/** A header of an answer. */
typedef struct bw_header {
	char *name;
	char *value;
} bw_header_t;

/** An answer, filled while it arrives. */
typedef struct bw_answer {
	unsigned int status;
	GArray *headers; /**< bw_header_t */
	GString *body; /**< Bytes not yet taken by the caller. */
	uint64_t length; /**< Declared, or UINT64_MAX. */
	uint64_t received; /**< Body bytes received so far. */
	bool whole; /**< All of it has arrived. */
	bool cut; /**< It will not become whole. */
} bw_answer_t;

/** How far the relay is with a call. */
typedef enum bw_call_state {
	BW_CALL_READING, /**< The front reads the request. */
	BW_CALL_CLAIMING, /**< The owner of the key is asked. */
	BW_CALL_PLACING, /**< Waits for a worker. */
	BW_CALL_RUNNING, /**< An attempt is in progress. */
	BW_CALL_DONE, /**< The relay has finished with it. */
	BW_CALL_STATE_COUNT
} bw_call_state_t;

typedef struct bw_call {
	bw_place_request_t preq;
	/* The front's. */
	struct MHD_Connection *connection; /**< NULL once the caller is gone. */
	struct bw_front *front;
	char *method;
	char *target; /**< Path and query as received. */
	GString *body;
	size_t reserved; /**< Bytes taken from the body budget. */
	bool head_taken;
	bool suspended;
	bool replying; /**< The answer's head was queued. */
	bool waiting_data; /**< Suspended until more of the body arrives. */
	unsigned int refuse_status; /**< Refused while reading. */
	bw_counter_t refuse_counter;
	/* The relay's. */
	struct bw_relay *relay;
	bw_call_state_t state;
	struct curl_slist *headers;
	char *key_text; /**< Idempotency-Key, or NULL. */
	uint64_t fingerprint; /**< Of method, target, body and credentials. */
	int64_t received_us;
	struct bw_attempt *attempt;
	bw_answer_t answer;
	bw_outcome_t outcome;
	bool once; /**< May run only once. */
	bool claimed; /**< The key is claimed for this call. */
	bool gone; /**< The front has finished with it. */
	bool paused; /**< The attempt is paused. */
	uint64_t claim; /**< Number of the claim, 0 before the first. */
	uint64_t key_hash;
	uint64_t key_check;
	uint64_t owner; /**< Entry that was asked last. */
	int64_t issued_ms;
	int64_t claim_until_us;
	int64_t claim_again_us;
	bool sealed; /**< No entry will run it. */
} bw_call_t;

/** Creates a call. @param target path and query; copied */
bw_call_t *bw_call_create(const char *target);

/** Destroys a call that neither task needs any more. */
void bw_call_destroy(bw_call_t *call);

/** Empties an answer. */
void bw_answer_clear(bw_answer_t *answer);

/** Adds a header to an answer; both strings are copied. */
void bw_answer_header(bw_answer_t *answer, const char *name, const char *value);

/** Whether a header belongs to one connection only (RFC 9110, 7.6.1). */
bool bw_hop_header(const char *name);

#endif
