/**
 * @file
 * Problem documents (RFC 9457): error answers that state the request's outcome.
 */
#ifndef BW_RELAY_PROBLEM_H
#define BW_RELAY_PROBLEM_H

#include "relay/call.h"

#define BW_PROBLEM_TYPE "application/problem+json"

/**
 * Formats a problem document.
 * @param reason the name of the counter or refusal that applies
 * @param ticket a new Idempotency-Key for another attempt, or NULL
 * @return JSON text, to be released with free()
 */
char *bw_problem_text(unsigned int status, bw_outcome_t outcome,
		      const char *reason, const char *ticket);

#endif
