/**
 * @file
 * Which nodes are in touch: the rules with a time bound hold only for nodes
 * that were not disturbed for a while, with a store that was not either.
 */
#ifndef SOAK_CONTACT_H
#define SOAK_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"

/** Time without disturbance after which a node is in touch. */
#define SOAK_CONTACT_MS 3000

typedef struct soak_contact {
	int64_t node_until_ms[SOAK_NODES];
	int64_t store_until_ms;
} soak_contact_t;

/** Notes that a node, or all of them, are disturbed until a time. */
void soak_contact_disturb(soak_contact_t *c, uint32_t node, int64_t until_ms);

/** The same of the store. */
void soak_contact_disturb_store(soak_contact_t *c, int64_t until_ms);

bool soak_contact_in_touch(const soak_contact_t *c, uint32_t node,
			   int64_t now_ms);

/** Returns when the last disturbance of anything ends. */
int64_t soak_contact_last_ms(const soak_contact_t *c);

#endif
