/*
 * play_world FIRST COUNT [FAILURES_MAX
 * [plain|late|late-calls|gangs|plain-gangs|closing|closing-faults|owners|
 * owners-faults]]: plays simulations with COUNT seeds from FIRST on, or until
 * FAILURES_MAX of them have failed; exits with 1 if a rule was violated. With
 * "plain", workers do not restart under their identifier and no task crashes
 * them; with "late", besides, half of all orders have no answer, and most of
 * these are carried out later; with "late-calls", one call to a worker in ten
 * is carried out late without an answer, or half of them; with "gangs", half of
 * the steps are gangs, and each saved state is compared with what a successor
 * reads, with all faults or as "plain". With "closing", workers that keep no
 * connections restart, without other faults. With "owners", owners lose their
 * claims in quick succession, as "plain" without faults of its own, or with
 * all. WORLD_TRACE=1 prints each event of note.
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "world.h"

int main(int argc, char **argv)
{
	uint32_t first = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	uint32_t count = argc > 2 ? (uint32_t)atoi(argv[2]) : 100;
	uint32_t failures_max = argc > 3 ? (uint32_t)atoi(argv[3]) : UINT32_MAX;
	bool plain_gangs = argc > 4 && !strcmp(argv[4], "plain-gangs");
	bool gangs = plain_gangs || (argc > 4 && !strcmp(argv[4], "gangs"));
	bool late = argc > 4 && !strcmp(argv[4], "late");
	bool late_calls = argc > 4 && !strcmp(argv[4], "late-calls");
	bool closing_faults = argc > 4 && !strcmp(argv[4], "closing-faults");
	bool closing =
		closing_faults || (argc > 4 && !strcmp(argv[4], "closing"));
	bool owners_faults = argc > 4 && !strcmp(argv[4], "owners-faults");
	bool owners = argc > 4 && !strcmp(argv[4], "owners");
	bool plain = late || late_calls || plain_gangs || owners ||
		     (argc > 4 && !strcmp(argv[4], "plain"));
	uint64_t events = 0;
	uint32_t failures = 0;
	uint32_t crashing_failed = 0;
	uint32_t sound_failed = 0;
	uint32_t i;

	for (i = 0; i < count && failures < failures_max; i++) {
		world_config_t config;
		world_result_t result;
		uint32_t faults;

		world_draw_config(first + i, &config);
		if (plain) {
			world_clear_restarts(&config);
			world_clear_crashes(&config);
		}
		if (late)
			world_delay_orders(&config);
		if (late_calls)
			config.late_call_share = world_late_share(first + i);
		if (gangs)
			world_add_gangs(&config);
		if (owners) {
			config.faults = 0;
			config.resizes = 0;
		}
		if (owners || owners_faults)
			world_change_owners(first + i, &config);
		faults = config.faults;
		if (closing)
			world_close_connections(first + i, &config);
		if (closing_faults)
			config.faults = faults;
		world_play(&config, &result);
		events += result.events;
		crashing_failed += result.crashing_failed;
		sound_failed += result.sound_failed;
		if (result.violations == 0)
			continue;
		failures++;
		printf("seed %u: violations=%u, first at %s\n", first + i,
		       result.violations, result.first_violation);
	}
	printf("seeds=%u failures=%u events=%" G_GUINT64_FORMAT
	       " crashing_failed=%u sound_failed=%u\n",
	       i, failures, events, crashing_failed, sound_failed);
	return failures > 0;
}
