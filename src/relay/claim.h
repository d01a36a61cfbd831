/**
 * @file
 * The claimant's side of idempotency keys: claims a key with its owner before
 * the request is placed, and reports the result to the owner.
 */
#ifndef BW_RELAY_CLAIM_H
#define BW_RELAY_CLAIM_H

#include "relay/internal.h"

/** Claims the key of a call; the call is placed once the claim is granted. */
void relay_claim_key(bw_relay_t *r, bw_call_t *call);

/** Reports to the owner how a granted claim ended. */
void relay_send_claim_result(bw_relay_t *r, bw_call_t *call);

/** Resends claims without a verdict and ends calls whose claim timed out. */
void relay_claim_tick(bw_relay_t *r, int64_t now_us);

#endif
