/*
 * play_world FIRST COUNT [FAILURES_MAX
 * [plain|late|late-calls|gangs|plain-gangs|closing|closing-faults|away|
 * unlisted|owners|owners-faults|racks|plain-racks|tenants|tenants-MODE]]: plays
 * simulations with COUNT seeds from FIRST on, or until FAILURES_MAX of them
 * have failed; exits with 1 if a rule was violated. With "plain", workers do
 * not restart under their identifier and no task crashes them; with "late",
 * besides, half of all orders have no answer, and most of these are carried out
 * later; with "late-calls", one call to a worker in ten is carried out late
 * without an answer, or half of them; with "gangs", half of the steps are
 * gangs, and each saved state is compared with what a successor reads, with all
 * faults or as "plain". With "closing", workers that keep no connections
 * restart, without other faults; with "away", workers restart under their
 * identifier after they were forgotten, while calls are carried out late. With
 * "owners", owners lose their claims in quick succession, as "plain" without
 * faults of its own, or with all. With "racks", most steps have their data in
 * one of three racks, and half are gangs, of which most want one rack, with all
 * faults or as "plain". With "tenants", most jobs are of tenants with caps, and
 * with "tenants-" before another mode, too. WORLD_TRACE=1 prints each event of
 * note.
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
	const char *mode = argc > 4 ? argv[4] : "";
	bool tenants = g_str_has_prefix(mode, "tenants");
	bool plain_gangs;
	bool plain_racks;
	bool racks;
	bool gangs;
	bool late;
	bool late_calls;
	bool closing_faults;
	bool closing;
	bool away;
	bool unlisted;
	bool owners_faults;
	bool owners;
	bool plain;
	uint32_t at_cap = 0;
	uint64_t events = 0;
	uint32_t failures = 0;
	uint32_t crashing_failed = 0;
	uint32_t sound_failed = 0;
	uint32_t i;

	if (g_str_has_prefix(mode, "tenants-"))
		mode += strlen("tenants-");
	plain_gangs = !strcmp(mode, "plain-gangs");
	plain_racks = !strcmp(mode, "plain-racks");
	racks = plain_racks || !strcmp(mode, "racks");
	gangs = racks || plain_gangs || !strcmp(mode, "gangs");
	late = !strcmp(mode, "late");
	late_calls = !strcmp(mode, "late-calls");
	closing_faults = !strcmp(mode, "closing-faults");
	closing = closing_faults || !strcmp(mode, "closing");
	away = !strcmp(mode, "away");
	unlisted = !strcmp(mode, "unlisted");
	owners_faults = !strcmp(mode, "owners-faults");
	owners = !strcmp(mode, "owners");
	plain = late || late_calls || plain_gangs || plain_racks || owners ||
		!strcmp(mode, "plain");
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
		if (racks)
			world_add_racks(&config);
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
		if (away)
			world_restart_away(first + i, &config);
		if (unlisted)
			world_tell_ends(&config);
		if (tenants)
			world_add_tenants(&config);
		world_play(&config, &result);
		at_cap += result.at_cap;
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
	       " crashing_failed=%u sound_failed=%u",
	       i, failures, events, crashing_failed, sound_failed);
	if (tenants)
		printf(" at_cap=%u", at_cap);
	printf("\n");
	return failures > 0;
}
