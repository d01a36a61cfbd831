/**
 * @file
 * Event counters of one entry: one for each refusal reason, each retry reason
 * and each kind of bad input.
 */
#ifndef BW_BASE_COUNTERS_H
#define BW_BASE_COUNTERS_H

#include <stdint.h>

/** Index of a counter; counter_names has its printed name. */
typedef enum bw_counter {
	BW_C_REQUESTS,
	BW_C_ANSWERS,
	BW_C_CALLER_GONE,
	/* Refusals, which the caller receives as "not-run". */
	BW_C_REFUSED_NO_SERVICE,
	BW_C_REFUSED_TOO_LATE,
	BW_C_REFUSED_QUEUE_DEADLINE,
	BW_C_REFUSED_QUEUE_FULL,
	BW_C_REFUSED_NOT_READY,
	BW_C_REFUSED_BODY_TOO_LARGE,
	BW_C_REFUSED_BODY_MEMORY,
	BW_C_REFUSED_METHOD,
	BW_C_REFUSED_BAD_REQUEST,
	BW_C_REFUSED_NOT_SENT,
	BW_C_REFUSED_KEY_INVALID,
	BW_C_REFUSED_KEY_REUSED,
	BW_C_REFUSED_KEY_NOT_RUN,
	BW_C_REFUSED_CONNECTIONS,
	BW_C_REFUSED_SLOW,
	/* Connections closed before their requests were whole. */
	BW_C_CLOSED_BODY_MEMORY,
	BW_C_CLOSED_CONNECTIONS,
	/* Outcomes that the entry can't determine, answered as "unknown". */
	BW_C_UNKNOWN_BROKEN,
	BW_C_UNKNOWN_TIMEOUT,
	BW_C_UNKNOWN_OWNER,
	BW_C_UNKNOWN_FIRST,
	BW_C_UNKNOWN_KEY_OLD,
	BW_C_UNKNOWN_KEY_AHEAD,
	BW_C_UNKNOWN_BAD_ANSWER,
	/* Retries, by why the attempt failed, and retries denied. */
	BW_C_RETRY_NOT_SENT,
	BW_C_RETRY_BROKEN,
	BW_C_RETRY_TIMEOUT,
	BW_C_RETRY_STATUS,
	BW_C_RETRY_DENIED_BUDGET,
	BW_C_RETRY_DENIED_DEADLINE,
	BW_C_RETRY_DENIED_UNSAFE,
	/* Answers. */
	BW_C_ANSWER_CUT,
	BW_C_ANSWER_REPLAYED,
	BW_C_STALE_BYTES,
	/* Slots shared between entries. */
	BW_C_LOANS_ASKED,
	BW_C_LOANS_GRANTED,
	BW_C_LOANS_RETURNED,
	BW_C_LOANS_LAPSED,
	/* Peers and store. */
	BW_C_FRAMES_IN,
	BW_C_FRAMES_OUT,
	BW_C_FRAME_BYTES_IN,
	BW_C_FRAME_BYTES_OUT,
	BW_C_FRAMES_BAD,
	BW_C_FRAMES_VERSION,
	BW_C_FRAMES_TOO_LONG,
	BW_C_PEERS_STRANGERS,
	BW_C_STORE_CALLS,
	BW_C_STORE_ERRORS,
	BW_C_TABLE_APPLIED,
	BW_C_TABLE_REJECTED,
	BW_C_COUNT
} bw_counter_t;

/** Values of all counters; not thread-safe. */
typedef struct bw_counters {
	uint64_t value[BW_C_COUNT];
} bw_counters_t;

/** Adds to a counter. */
static inline void bw_count(bw_counters_t *c, bw_counter_t which, uint64_t n)
{
	c->value[which] += n;
}

/** Returns the printed name of a counter, a static string. */
const char *bw_counter_name(bw_counter_t which);

#endif
