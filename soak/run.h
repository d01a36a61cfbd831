/**
 * @file
 * One seed: the real nodes, their surroundings, the faults and the checks.
 */
#ifndef SOAK_RUN_H
#define SOAK_RUN_H

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"

typedef struct soak_run_config {
	uint32_t seed;
	int64_t length_ms; /**< Of the faults. */
	soak_plan_kind_t plan;
	const char *program; /**< bramley-fleetd */
	const char *ctl; /**< bramleyctl */
	const char *dir; /**< For all files of the seed; it exists. */
} soak_run_config_t;

/** What happened in a seed. */
typedef struct soak_result {
	uint32_t failures; /**< Of checks. */
	uint64_t faults;
	uint64_t requests; /**< Of callers. */
	uint64_t jobs;
	uint64_t starts; /**< Of tasks. */
	uint64_t late_ms; /**< Longest time for which this process stood still.
			   */
} soak_result_t;

/**
 * Plays a seed in this process. The failures, and what bramleyctl explain says
 * about the first job of them, are in report.txt of the folder.
 * @return false if the nodes could not be started, or if a fault has waited in
 *     vain for an owner
 */
bool soak_run(const soak_run_config_t *config, soak_result_t *result);

#endif
