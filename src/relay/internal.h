/**
 * @file
 * State shared by the files of the relay.
 */
#ifndef BW_RELAY_INTERNAL_H
#define BW_RELAY_INTERNAL_H

#include "relay/relay.h"

struct bw_relay {
	bw_relay_config_t config;
	const bw_relay_ops_t *ops;
	void *ctx;
	bw_counters_t *counters;
	bw_mbox_t *mbox;
	bw_place_t *place;
	bw_once_t *once;
	bw_front_t *front;
	bw_upstream_t *upstream;
	const bw_table_t *table;
	uint32_t *service_index; /**< Placement index by table index. */
	GHashTable *claims; /**< bw_call_t by claim_id */
	uint64_t next_claim_id; /**< From the clock: unique across restarts. */
	GRand *rand;
	uint32_t calls; /**< Calls in progress. */
	bool ready; /**< Requests are accepted. */
};

/** Ends a call with a problem document. @param retry_after_s 0: none */
void relay_end_with_problem(bw_relay_t *r, bw_call_t *call, unsigned int status,
			    bw_outcome_t outcome, const char *reason,
			    int64_t retry_after_s);

/** Ends a call that did not run; adds to @p counter, which is the reason. */
void relay_end_not_run(bw_relay_t *r, bw_call_t *call, unsigned int status,
		       bw_counter_t counter, int64_t retry_after_s);

/** Ends a call that may have run; adds to @p counter, which is the reason. */
void relay_end_unknown(bw_relay_t *r, bw_call_t *call, unsigned int status,
		       bw_counter_t counter);

/** Ends a call: reports the result of its claim, lets the front answer. */
void relay_finish(bw_relay_t *r, bw_call_t *call);

/** Returns 64 random bits. */
uint64_t relay_random(bw_relay_t *r);

/**
 * Hashes the parts by which requests with the same key are compared: method,
 * target, credentials and body.
 */
uint64_t relay_fingerprint(const bw_call_t *call);

#endif
