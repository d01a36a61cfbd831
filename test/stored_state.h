/**
 * @file
 * Compares what the owner of a pool knows of its jobs with what a successor
 * reads from the stored state.
 */
#ifndef BW_TEST_STORED_STATE_H
#define BW_TEST_STORED_STATE_H

#include <stdbool.h>
#include <stddef.h>

#include "sched/sched.h"

/**
 * Returns whether a successor knows the same of each job that has not ended,
 * and whether each job is in a state that can be reached.
 * @param successor has loaded the packed state of @p owner, and its jobs
 * @param out receives the first difference
 */
bool stored_state_matches(const bw_sched_t *owner, const bw_sched_t *successor,
			  char *out, size_t bytes);

#endif
