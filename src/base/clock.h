/**
 * @file
 * System clocks in milliseconds.
 */
#ifndef BW_BASE_CLOCK_H
#define BW_BASE_CLOCK_H

#include <stdint.h>

/** Returns a monotonic time that also advances while the VM is suspended. */
int64_t bw_clock_now_ms(void);

/** Returns the Unix time, which may jump. */
int64_t bw_clock_wall_ms(void);

#endif
