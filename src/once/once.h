/**
 * @file
 * Non-repeatable requests: which entry owns a key, and what the owner answers
 * to a claim.
 *
 * A key is a UUIDv7 (RFC 9562), which carries its time of issue. Each key has
 * one owner under a view; the owner's memory is the record. An owner that took
 * over from another can't know what ran before, so it grants only keys issued
 * after it took over, and answers "unknown" for older ones. It also grants
 * only while its lease is valid. So two owners of a key, one after the other
 * or both at once, never grant it twice.
 *
 * This is decision code: no I/O, no clock.
 */
#ifndef BW_ONCE_ONCE_H
#define BW_ONCE_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Answer to a claim. */
typedef enum bw_once_verdict {
	BW_ONCE_GRANTED, /**< The claimant alone may run it. */
	BW_ONCE_RUNNING, /**< Claimed before; its answer is awaited. */
	BW_ONCE_ANSWERED, /**< Ran before; its answer is held. */
	BW_ONCE_ANSWER_DROPPED, /**< Ran before; its answer is not held any
				   more. */
	BW_ONCE_NOT_RUN, /**< Was told "not run" before; it never runs. */
	BW_ONCE_OUTCOME_UNKNOWN, /**< Claimed before; its outcome is unknown. */
	BW_ONCE_REUSED, /**< The key belongs to another request. */
	BW_ONCE_OLD, /**< May have run under an earlier owner. */
	BW_ONCE_IN_FUTURE, /**< Issued in the future. */
	BW_ONCE_FENCED, /**< This entry may not act as the owner now. */
	BW_ONCE_VERDICT_COUNT
} bw_once_verdict_t;

/** Messages between a claimant and an owner. */
typedef enum bw_once_msg_type {
	BW_ONCE_MSG_CLAIM, /**< Asks for the right to run a key. */
	BW_ONCE_MSG_VERDICT, /**< Answers a claim. */
	BW_ONCE_MSG_RESULT, /**< Tells the owner how a granted claim ended. */
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
	uint32_t verdict; /**< VERDICT. */
	uint32_t result; /**< RESULT. */
	uint64_t key; /**< Hash of the key. */
	uint64_t key_check; /**< Second, independent hash of the key. */
	uint64_t fingerprint; /**< CLAIM: hash of the request. */
	uint64_t claim; /**< The claimant's number for the claim. */
	int64_t issued_ms; /**< CLAIM: the key's time of issue. */
	const void *answer; /**< RESULT, VERDICT: encoded answer, or NULL. */
	size_t answer_bytes;
} bw_once_msg_t;

typedef struct bw_once_config {
	uint64_t self;
	int64_t key_window_ms; /**< Age up to which a key is known. */
	int64_t clock_skew_ms; /**< Largest difference of two clocks. */
	size_t answer_memory_bytes; /**< For held answers. */
} bw_once_config_t;

typedef struct bw_once bw_once_t;

/** Sends a verdict to a claimant; the claimant may be this entry. */
typedef void (*bw_once_send_fn)(void *ctx, uint64_t claimant,
				const bw_once_msg_t *msg);

/** Creates an owner's record. */
bw_once_t *bw_once_create(const bw_once_config_t *config, bw_once_send_fn send,
			  void *ctx);

/** Destroys a record. */
void bw_once_destroy(bw_once_t *o);

/**
 * Reads a UUIDv7.
 * @param key text as the caller sent it
 * @param issued_ms receives its time of issue
 * @return false when it is not a UUIDv7
 */
bool bw_once_parse_key(const char *key, int64_t *issued_ms);

/**
 * Makes a UUIDv7.
 * @param random 74 random bits are taken from the two words
 */
void bw_once_make_key(char out[37], int64_t now_ms, uint64_t random_a,
		      uint64_t random_b);

/**
 * Adopts a view. Keys that it gives to others are granted no more; keys that it
 * gives to this entry are granted once it is active.
 */
void bw_once_set_view(bw_once_t *o, uint64_t epoch, const uint64_t *members,
		      uint32_t member_count);

/**
 * Notes that every member of a view has adopted it, so that no other entry
 * grants keys under an earlier one. @param now_ms time of day
 */
void bw_once_activate(bw_once_t *o, uint64_t epoch, int64_t now_ms);

/** Owner of a key, or 0 without a view. */
uint64_t bw_once_owner(const bw_once_t *o, uint64_t key);

/**
 * Takes a claim; the verdict is sent to the claimant, now or, for a claim that
 * waits for another's answer, later.
 * @param fenced whether this entry's lease is not valid now
 */
void bw_once_claim(bw_once_t *o, uint64_t claimant, const bw_once_msg_t *msg,
		   bool fenced, int64_t now_ms);

/** Takes the end of a granted claim. */
void bw_once_result(bw_once_t *o, uint64_t claimant, const bw_once_msg_t *msg,
		    int64_t now_ms);

/** Settles the open claims of an entry that is gone as unknown. */
void bw_once_claimant_lost(bw_once_t *o, uint64_t claimant, int64_t now_ms);

/** Forgets what is older than the window. */
void bw_once_tick(bw_once_t *o, int64_t now_ms);

#endif
