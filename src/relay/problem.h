/**
 * @file
 * Error answers in the form of RFC 9457, with the request's outcome.
 */
#ifndef BW_RELAY_PROBLEM_H
#define BW_RELAY_PROBLEM_H

#include "relay/call.h"

#define BW_PROBLEM_TYPE "application/problem+json"

/**
 * Body of an error answer.
 * @param reason a short word, as in the counters
 * @param ticket a fresh Idempotency-Key for another try, or NULL
 * @return text to be released with free()
 */
char *bw_problem_text(unsigned int status, bw_outcome_t outcome,
		      const char *reason, const char *ticket);

#endif
