/**
 * @file
 * The nodes and targets of a fault that are known only when it happens.
 */
#ifndef SOAK_AIM_H
#define SOAK_AIM_H

#include <glib.h>

#include "plan.h"
#include "standin_store.h"
#include "standin_workers.h"

/**
 * Returns the faults, with nodes and targets by their numbers, that a fault
 * stands for now; none if it has to wait, for an owner of its pool or for the
 * owner's renewal. The caller frees the array of soak_fault_t.
 */
GArray *soak_aim(const soak_fault_t *fault, const soak_store_t *store,
		 const soak_workers_t *workers);

#endif
