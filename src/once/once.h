/**
 * @file
 * Requests that may run only once: which entry owns an idempotency key, and
 * how the owner answers a claim of it.
 *
 * A key is a UUIDv7 (RFC 9562), which carries its time of issue. Under a view
 * each key has one owner, which keeps the key's record in memory only. An owner
 * that took over from another doesn't know what ran before, so it grants only
 * keys issued after it took over and answers "unknown" for older ones. It also
 * grants only while its lease is valid. So a key is never granted twice, even
 * when its owner changes or two entries act as its owner at once.
 *
 * These are pure decisions: no I/O, and the caller passes the time.
 */
#ifndef BW_ONCE_ONCE_H
#define BW_ONCE_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Answer to a claim. */
typedef enum bw_once_verdict {
	BW_ONCE_GRANTED, /**< Only this claimant may run the request. */
	BW_ONCE_RUNNING, /**< Granted before; the verdict follows later. */
	BW_ONCE_ANSWERED, /**< Ran before; the verdict has its answer. */
	BW_ONCE_ANSWER_DROPPED, /**< Ran before; its answer is not in memory. */
	BW_ONCE_NOT_RUN, /**< Ended as "not run" before; it never runs. */
	BW_ONCE_OUTCOME_UNKNOWN, /**< Granted before; its outcome is unknown. */
	BW_ONCE_REUSED, /**< The key belongs to a different request. */
	BW_ONCE_OLD, /**< Too old: may have run under an earlier owner. */
	BW_ONCE_IN_FUTURE, /**< Issued in the future. */
	BW_ONCE_FENCED, /**< This entry may not act as the owner now. */
	BW_ONCE_VERDICT_COUNT
} bw_once_verdict_t;

/** Messages between a claimant and an owner. */
typedef enum bw_once_msg_type {
	BW_ONCE_MSG_CLAIM, /**< Requests the right to run a key's request. */
	BW_ONCE_MSG_VERDICT, /**< Answers a claim. */
	BW_ONCE_MSG_RESULT, /**< Reports how a granted claim ended. */
	BW_ONCE_MSG_TYPE_COUNT
} bw_once_msg_type_t;

/** How a granted claim ended. */
typedef enum bw_once_result {
	BW_ONCE_RESULT_ANSWERED,
	BW_ONCE_RESULT_NOT_RUN,
	BW_ONCE_RESULT_UNKNOWN,
	BW_ONCE_RESULT_COUNT
} bw_once_result_t;

typedef struct bw_once_msg {
	uint32_t type; /**< A bw_once_msg_type_t. */
	uint32_t verdict; /**< VERDICT: a bw_once_verdict_t. */
	uint32_t result; /**< RESULT: a bw_once_result_t. */
	uint64_t key; /**< Hash of the key. */
	uint64_t key_check; /**< Second, independent hash of the key. */
	uint64_t fingerprint; /**< CLAIM: hash of the request. */
	uint64_t claim; /**< Number that the claimant gave the claim. */
	int64_t issued_ms; /**< CLAIM: the key's time of issue. */
	const void *answer; /**< RESULT, VERDICT: encoded answer, or NULL. */
	size_t answer_bytes;
} bw_once_msg_t;

typedef struct bw_once_config {
	uint64_t self; /**< Identifier of this entry. */
	int64_t key_window_ms; /**< Age up to which keys are accepted. */
	int64_t clock_skew_ms; /**< Largest difference between two clocks. */
	size_t answer_memory_bytes; /**< Limit of the stored answers' size. */
} bw_once_config_t;

typedef struct bw_once bw_once_t;

/** Sends a verdict to a claimant, which may be this entry itself. */
typedef void (*bw_once_send_fn)(void *ctx, uint64_t claimant,
				const bw_once_msg_t *msg);

/** Creates the records of the keys that this entry owns. */
bw_once_t *bw_once_create(const bw_once_config_t *config, bw_once_send_fn send,
			  void *ctx);

/** Destroys the records; NULL is allowed. */
void bw_once_destroy(bw_once_t *o);

/**
 * Parses a UUIDv7.
 * @param key text as the caller sent it, or NULL
 * @param issued_ms receives its time of issue, Unix time
 * @return false when it is not a UUIDv7
 */
bool bw_once_parse_key(const char *key, int64_t *issued_ms);

/** Writes a UUIDv7 with 74 random bits, taken from the two random words. */
void bw_once_make_key(char out[37], int64_t now_ms, uint64_t random_a,
		      uint64_t random_b);

/**
 * Adopts a view. Keys that it assigns to others are no longer granted; keys
 * that it assigns to this entry are granted once the view is active.
 */
void bw_once_set_view(bw_once_t *o, uint64_t epoch, const uint64_t *members,
		      uint32_t member_count);

/**
 * Records that every member of a view has adopted it, so that no other entry
 * grants keys under an earlier view.
 * @param now_ms Unix time, as in all functions of this file
 */
void bw_once_activate(bw_once_t *o, uint64_t epoch, int64_t now_ms);

/** Returns the owner of a key, or 0 without a view. */
uint64_t bw_once_owner(const bw_once_t *o, uint64_t key);

/**
 * Decides a claim and sends the verdict to the claimant. A claim of a key that
 * is running gets BW_ONCE_RUNNING now and a final verdict when the run ends.
 * @param fenced whether this entry may not act as an owner now
 */
void bw_once_claim(bw_once_t *o, uint64_t claimant, const bw_once_msg_t *msg,
		   bool fenced, int64_t now_ms);

/** Records how a granted claim ended and answers the claims that wait. */
void bw_once_result(bw_once_t *o, uint64_t claimant, const bw_once_msg_t *msg,
		    int64_t now_ms);

/** Ends the running claims of a lost entry with an unknown outcome. */
void bw_once_claimant_lost(bw_once_t *o, uint64_t claimant, int64_t now_ms);

/** Removes records and views that are older than the key window. */
void bw_once_tick(bw_once_t *o, int64_t now_ms);

#endif
