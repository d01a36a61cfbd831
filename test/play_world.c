/*
 * play_world FIRST COUNT [MOST]: plays worlds by seed, until MOST of them have
 * failed; exits with 1 if one broke a promise. WORLD_TRACE=1 prints what
 * happens.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "world.h"

int main(int argc, char **argv)
{
	uint32_t first = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	uint32_t count = argc > 2 ? (uint32_t)atoi(argv[2]) : 100;
	uint32_t most = argc > 3 ? (uint32_t)atoi(argv[3]) : UINT32_MAX;
	uint64_t events = 0;
	uint32_t failures = 0;
	uint32_t i;

	for (i = 0; i < count && failures < most; i++) {
		world_config_t config;
		world_result_t result;

		world_draw(first + i, &config);
		world_play(&config, &result);
		events += result.events;
		if (result.broken == 0)
			continue;
		failures++;
		printf("seed %u: %u broken, first at %s\n", first + i,
		       result.broken, result.first);
	}
	printf("seeds=%u failures=%u events=%" G_GUINT64_FORMAT "\n", i,
	       failures, events);
	return failures > 0;
}
