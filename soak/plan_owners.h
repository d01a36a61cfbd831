/**
 * @file
 * The plan of owners in turn: the owner of a pool is cut off from the store and
 * from all workers but one, which only it reaches, and other nodes own the pool
 * one after another while it still acts. The next owners must count the grants
 * of that worker from when the first one has stopped.
 */
#ifndef SOAK_PLAN_OWNERS_H
#define SOAK_PLAN_OWNERS_H

#include "plan.h"

/** Draws the jobs and the faults; the plan has none before. */
void soak_plan_fill_owners(soak_plan_t *plan, GRand *jobs, GRand *faults);

#endif
