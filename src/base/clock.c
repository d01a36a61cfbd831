#include "base/clock.h"

#include <time.h>

static int64_t read_ms(clockid_t clock);

static int64_t read_ms(clockid_t clock)
{
	struct timespec time;

	clock_gettime(clock, &time);
	return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

int64_t bw_clock_now_ms(void)
{
	return read_ms(CLOCK_BOOTTIME);
}

int64_t bw_clock_wall_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}
