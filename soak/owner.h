/**
 * @file
 * The owner of a pool, by the claim that the stand-in of the store has.
 */
#ifndef SOAK_OWNER_H
#define SOAK_OWNER_H

#include <stdint.h>

#include "standin_store.h"

/** Returns the node that holds the claim, SOAK_ALL_NODES if none does. */
uint32_t soak_owner_find(const soak_store_t *store, uint32_t pool);

/** Returns how long ago the owner renewed its lease, -1 if there is none. */
int64_t soak_owner_renewed_ago_ms(const soak_store_t *store, uint32_t pool);

/** Deletes the claim; nodes that reach the store learn of it by their watches.
 */
void soak_owner_remove(soak_store_t *store, uint32_t pool);

#endif
