/**
 * @file
 * A stand-in of the callers: they submit the plan's jobs, try again on other
 * nodes, ask for states and cancel, over connections that they keep open until
 * the node's process is gone.
 */
#ifndef SOAK_STANDIN_CALLERS_H
#define SOAK_STANDIN_CALLERS_H

#include <stdint.h>

#include "judge.h"
#include "plan.h"
#include "record.h"

struct ev_loop;

typedef struct soak_callers soak_callers_t;

/** All must outlive the callers. */
typedef struct soak_callers_config {
	struct ev_loop *loop;
	const soak_plan_t *plan;
	soak_judge_t *judge;
	soak_record_t *record;
	const char *nodes[SOAK_NODES]; /**< ip:port; copied. */
} soak_callers_config_t;

soak_callers_t *soak_callers_create(const soak_callers_config_t *config);

/** Begins with the plan: its times count from now on. */
void soak_callers_start(soak_callers_t *c);

/** Returns the number of requests so far. */
uint64_t soak_callers_requests(const soak_callers_t *c);

/** Name that callers use for each node. */
#define SOAK_HOST	 "soak.example"
#define SOAK_HOST_HEADER "Host: soak.example"

/** Returns a version of the configuration in which the jobs' queues exist, as
 *  text; see soak_keys_tenants(). */
char *soak_callers_configuration(int version);

#endif
