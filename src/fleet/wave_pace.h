/**
 * @file
 * Pace of a maintenance wave: how many machines with lasting tasks are drained
 * at a time. Each of them takes capacity out of use until its tasks have moved
 * one by one, so there are few, but enough for the wave to end in time. It
 * reads no clock.
 */
#ifndef BW_FLEET_WAVE_PACE_H
#define BW_FLEET_WAVE_PACE_H

#include <stdint.h>

/**
 * Returns the most machines with lasting tasks to drain at a time.
 * @param left such machines that are not in maintenance yet
 * @param elapsed_ms since the wave began, as far as is known
 * @param duration_ms in which the wave is to be completed; 0 is no limit
 */
uint32_t bw_wave_pace(uint32_t left, int64_t elapsed_ms, int64_t duration_ms);

#endif
