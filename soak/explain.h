/**
 * @file
 * What is said about a failing seed: the failures, and the merged log of nodes,
 * callers, workers and faults about one job.
 */
#ifndef SOAK_EXPLAIN_H
#define SOAK_EXPLAIN_H

#include <stdint.h>

/**
 * Writes report.txt in a folder that has soak.log.
 * @param ctl path of bramleyctl, whose command "explain" selects the lines
 * @param logs paths of the nodes' logs
 * @param failures text of the failures
 * @param job identifier, or NULL if none failed by itself
 */
void soak_explain(const char *dir, const char *ctl, const char *const *logs,
		  uint32_t log_count, const char *failures, const char *job);

#endif
