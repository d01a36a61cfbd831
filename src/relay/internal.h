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
	uint32_t *service_index; /**< Table row to placement index. */
	GHashTable *claims; /**< Claim number to bw_call_t. */
	uint64_t next_claim;
	GRand *rand;
	uint32_t calls;
	bool ready;
};

/** Ends a call with a problem answer. */
void relay_problem(bw_relay_t *r, bw_call_t *call, unsigned int status,
		   bw_outcome_t outcome, const char *reason,
		   int64_t retry_after_s);

/** Ends a call that has not run; counts the reason. */
void relay_fail(bw_relay_t *r, bw_call_t *call, unsigned int status,
		bw_counter_t counter, int64_t retry_after_s);

/** Ends a call that may have run; counts the reason. */
void relay_unknown(bw_relay_t *r, bw_call_t *call, unsigned int status,
		   bw_counter_t counter);

/** Hands a finished call back to the front. */
void relay_finish(bw_relay_t *r, bw_call_t *call);

/** 64 random bits. */
uint64_t relay_random(bw_relay_t *r);

/** Hash of what makes two requests the same. */
uint64_t relay_fingerprint(const bw_call_t *call);

#endif
