/**
 * @file
 * A store with given answers, and stored records of jobs, for tests of the
 * fleet's parts.
 */
#ifndef BW_TEST_FAKE_STORE_H
#define BW_TEST_FAKE_STORE_H

#include "fleet/peers.h"
#include "fleet/request.h"
#include "store/store.h"

/** Short records of ended jobs as stored: version 1 and the state. */
#define SHORT_COMPLETED "\x08\x01\x48\x03"
#define SHORT_FAILED	"\x08\x01\x48\x04"
#define SHORT_CANCELLED "\x08\x01\x48\x05"
#define SHORT_BYTES	4

/** A store that answers calls with given results, and what it was asked. */
typedef struct fake_store {
	bw_status_t results[8]; /**< Results of calls, in order. */
	bool succeeded[8];
	uint32_t calls;
	bool store_reachable;
	const char *key; /**< That replies name; NULL: "k". */
	bool absent; /**< Replies say that this key does not exist. */
	const char *value; /**< That reads return; NULL: empty. */
	size_t value_bytes;
	bw_answer_t answer;
	uint32_t answers;
	uint32_t expects; /**< Conditions of the last transaction. */
	uint32_t writes;
	int64_t lease_ttl_ms; /**< Of the last lease. */
	char first_key[64];
	uint32_t notices; /**< To owners: 1 a job, 100 a cancellation. */
	char reason[64];
	bool hold; /**< The next transaction gets no answer for now. */
	bw_store_done_fn held_done; /**< Its callback; NULL: none is held. */
	void *held_ctx;
} fake_store_t;

/** Reads and transactions of a fake_store_t. */
extern const bw_store_ops_t fake_ops;

/** Answers the transaction that is held, with the next result. */
void fake_answer_held(fake_store_t *f);

/** Takes the status of a call, and does nothing. */
void ignore_result(void *ctx, bw_status_t status);

/** Returns no owner, for any pool. */
const char *no_owner(void *ctx, const char *pool);

/** Answers no query. */
void no_answer(void *ctx, const char *pool, const char *job, const char *queue,
	       bw_fleet_query_answer_t *out);

/** Returns the record of a job that was accepted some time ago; release with
 * g_free(). */
uint8_t *record_of_age(int64_t age_ms, size_t *bytes);

#endif
