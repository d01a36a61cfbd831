/**
 * @file
 * The claimant's side of non-repeatable requests: asks the owner of a key
 * before a request is placed, and tells it the end.
 */
#ifndef BW_RELAY_CLAIM_H
#define BW_RELAY_CLAIM_H

#include "relay/internal.h"

/** Claims the key of a call; places it once the claim is granted. */
void relay_claim(bw_relay_t *r, bw_call_t *call);

/** Tells the owner how a granted claim ended. */
void relay_send_result(bw_relay_t *r, bw_call_t *call);

/** Repeats claims without a verdict and gives up those out of time. */
void relay_claim_tick(bw_relay_t *r, int64_t now_us);

#endif
