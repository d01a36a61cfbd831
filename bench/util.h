/**
 * @file
 * Shared by the benches: tables and worker lists, generated in any size or read
 * from files, and the processor time of the process.
 */
#ifndef BW_BENCH_UTIL_H
#define BW_BENCH_UTIL_H

#include "table/table.h"

/**
 * Generates a table with one pool for each service. The last pool is the spare
 * one: every service may spill into it, and into the pools of some others.
 * @param spills number of pools besides the spare one that a service may spill
 *        into
 */
bw_table_t *bench_make_table(uint32_t pools, uint32_t spills);

/** Generates workers, spread evenly over pools, racks of four and zones. */
bw_workers_t *bench_make_workers(const bw_table_t *table, uint32_t count,
				 uint32_t zones);

/** Reads a table from a file; exits with the findings when it is invalid. */
bw_table_t *bench_read_table(const char *path);

/** Reads a worker list from a file; exits when it is invalid. */
bw_workers_t *bench_read_workers(const char *path);

/** Returns the processor time that this process has used, in seconds. */
double bench_cpu_time_s(void);

#endif
