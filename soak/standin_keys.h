/**
 * @file
 * Callers with keys of tenants, one of which is taken away while another one is
 * added: they ask each node for the number of waiting jobs, again and again,
 * and check whom it serves.
 */
#ifndef SOAK_STANDIN_KEYS_H
#define SOAK_STANDIN_KEYS_H

#include <stdint.h>

#include <jansson.h>

#include "contact.h"
#include "judge.h"
#include "plan.h"
#include "standin_store.h"

/** Header of callers whose tenant keeps its key. */
#define SOAK_KEY_HEADER "X-Api-Key: key-kept"
/** A node in touch has a version in force within this time. */
#define SOAK_APPLY_MS 2000
/** Added to it for all other nodes, also those that hear nobody. */
#define SOAK_OUTAGE_MS 2500

struct ev_loop;

typedef struct soak_keys soak_keys_t;

/** All must outlive the callers. */
typedef struct soak_keys_config {
	struct ev_loop *loop;
	const soak_plan_t *plan;
	const soak_contact_t *contact;
	soak_judge_t *judge;
	soak_store_t *store;
	const char *nodes[SOAK_NODES]; /**< ip:port; copied. */
} soak_keys_config_t;

soak_keys_t *soak_keys_create(const soak_keys_config_t *config);

/** Begins with the plan: its times count from now on. */
void soak_keys_start(soak_keys_t *k);

/** Returns the tenants of a version of the configuration. */
json_t *soak_keys_tenants(int version);

#endif
