#include "sched_fixture.h"

#include <glib.h>

bw_sched_t *sched_fixture_create(const bw_sched_ops_t *ops, void *ctx,
				 int64_t now_ms)
{
	static const bw_sched_config_t config = { .grant_ms = 5000,
						  .grant_ms_max = 5000,
						  .grant_cap_ms = 10000,
						  .outage_ms = 3500,
						  .stop_ms = 400,
						  .retention_ms = 120000,
						  .removed_ms = 30000,
						  .fence = 1 };
	static const bw_queue_config_t queue = {
		.name = "q",
		.terms = { .attempts_max = 4,
			   .objective_factor = SCHED_FIXTURE_OBJECTIVE_FACTOR,
			   .objective_offset_ms =
				   SCHED_FIXTURE_OBJECTIVE_OFFSET_MS },
	};
	bw_sched_t *sched = bw_sched_create(&config, ops, ctx, now_ms);

	bw_sched_set_queue(sched, &queue);
	return sched;
}

void sched_fixture_save(bw_sched_t *sched, int64_t now_ms)
{
	uint64_t version = bw_sched_version(sched);
	size_t bytes;

	g_free(bw_sched_pack(sched, &bytes));
	bw_sched_saved(sched, now_ms, version);
}
