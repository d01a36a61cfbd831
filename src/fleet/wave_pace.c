#include "fleet/wave_pace.h"

#include <glib.h>

/** Fewest machines at a time, which disturb little. */
#define AT_A_TIME_MIN 4U
/** From the reservation of a machine to its order into maintenance. */
#define DRAIN_MS 3000
/** Part of the duration in which all should be drained, in percent: what comes
 *  late, or fails and is repeated, has the rest. */
#define TARGET_PERCENT 60

uint32_t bw_wave_pace(uint32_t left, int64_t elapsed_ms, int64_t duration_ms)
{
	int64_t target_ms = duration_ms * TARGET_PERCENT / 100;
	int64_t left_ms = MAX(target_ms - elapsed_ms, DRAIN_MS);
	int64_t needed = ((int64_t)left * DRAIN_MS + left_ms - 1) / left_ms;

	if (duration_ms <= 0)
		return AT_A_TIME_MIN;
	return MAX((uint32_t)needed, AT_A_TIME_MIN);
}
