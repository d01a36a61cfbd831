/**
 * @file
 * The claims of one pool that a node has seen, and which of their owners may
 * still give orders. An owner that is cut off from the store goes on for some
 * time after its claim is gone, so that several owners in a row may act at
 * once; the last one tells nothing of those before it.
 */
#ifndef BW_FLEET_CLAIM_HISTORY_H
#define BW_FLEET_CLAIM_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

typedef struct bw_claim_history bw_claim_history_t;

/** A claim of a pool, as its record in the store says. */
typedef struct bw_claim {
	const char *node; /**< "": not known, the record can't be read. */
	uint64_t incarnation;
	int64_t revision;
} bw_claim_t;

/** What the owner of a claim needs to know of those before it. */
typedef struct bw_claim_scope {
	int64_t own_revision; /**< Of its own claim. */
	/** Revision of a claim whose owner knew all runs of the owners before
	 *  it when it stored the pool's state, so that claims before that which
	 *  this node has not seen don't matter; 0: there is none. */
	int64_t known_from;
	bool handed_over; /**< That owner gave no orders afterwards. */
	/** All changes after a claim that was seen since then are seen. */
	int64_t read_started_ms;
	/** Since when all changes are seen; INT64_MAX: some may be missed now.
	 */
	int64_t complete_since_ms;
} bw_claim_scope_t;

/**
 * @param outage_ms an owner gives no orders this long after its claim is gone
 */
bw_claim_history_t *bw_claim_history_create(int64_t outage_ms);
void bw_claim_history_destroy(bw_claim_history_t *h);

/** Records that a claim was read; any other one is gone then. */
void bw_claim_history_add(bw_claim_history_t *h, int64_t now_ms,
			  const bw_claim_t *claim);

/** Records that the pool has no claim. */
void bw_claim_history_end(bw_claim_history_t *h, int64_t now_ms);

/** Returns whether a claim is certainly gone: its end was seen, or a later
 * claim was. */
bool bw_claim_history_is_gone(const bw_claim_history_t *h, int64_t revision);

/** Records that the owner of a claim gives no orders any more. */
void bw_claim_history_stopped(bw_claim_history_t *h, int64_t revision);

/**
 * Calls a function for each earlier claim in a scope whose owner may still give
 * orders.
 * @param fn returns whether the owner has stopped; the claim is valid until it
 *     returns
 * @return whether all owners of earlier claims have stopped, also those of
 *     claims that this node may not have seen
 */
bool bw_claim_history_check(bw_claim_history_t *h, int64_t now_ms,
			    const bw_claim_scope_t *scope,
			    bool (*fn)(void *ctx, const bw_claim_t *claim),
			    void *ctx);

#endif
