/**
 * @file
 * Makes tables and worker lists of any size for the benches.
 */
#ifndef BW_BENCH_UTIL_H
#define BW_BENCH_UTIL_H

#include "table/table.h"

/**
 * Makes a table in which each service has a pool of its own, the last of which
 * is spare, and spills into the spare pool and some others.
 * @param spills pools that a service spills into besides the spare one
 */
bw_table_t *fleet_table(uint32_t pools, uint32_t spills);

/** Makes workers spread evenly over pools, racks of four and zones. */
bw_workers_t *fleet_workers(const bw_table_t *table, uint32_t count,
			    uint32_t zones);

/** Reads a table or worker list of a file; ends the program on a mistake. */
bw_table_t *fleet_read_table(const char *path);
bw_workers_t *fleet_read_workers(const char *path);

/** Processor time of this process in seconds. */
double fleet_cpu_s(void);

#endif
