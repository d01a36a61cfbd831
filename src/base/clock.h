/**
 * @file
 * Clocks of a process.
 */
#ifndef BW_BASE_CLOCK_H
#define BW_BASE_CLOCK_H

#include <stdint.h>

/** Milliseconds of a clock that also runs while the VM is suspended. */
int64_t bw_clock_now_ms(void);

/** Unix time in milliseconds; it may jump. */
int64_t bw_clock_wall_ms(void);

#endif
