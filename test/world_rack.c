/*
 * Racks of the simulation: a run away from its data takes longer. What is drawn
 * for them comes from a generator of its own.
 */
#include "world_internal.h"

#define RACK_COUNT 3U
/** A run away from its data takes this many times as long. */
#define REMOTE_FACTOR 3.0
/** Seed of the generator, combined with that of the simulation. */
#define RACK_SEED 0x4acbU

static const char *const racks[RACK_COUNT] = { "r1", "r2", "r3" };

void world_init_racks(world_t *w)
{
	GRand *rand = g_rand_new_with_seed(w->config.seed ^ RACK_SEED);
	uint32_t step;
	guint i;

	for (i = 0; i < w->jobs->len && w->config.near_share > 0.0; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		for (step = 0; step < job->record.spec->step_count; step++) {
			bw_step_spec_t *spec = &job->record.spec->steps[step];
			gint32 rack = g_rand_int_range(rand, 0, RACK_COUNT);

			if (g_rand_double(rand) >= w->config.near_share)
				continue;
			if (spec->gang)
				spec->same_rack = true;
			else
				spec->rack = g_strdup(racks[rack]);
		}
	}
	g_rand_free(rand);
}

const char *world_rack(const world_t *w, const fake_worker_t *worker)
{
	return racks[w->config.near_share > 0.0 ? worker->machine % RACK_COUNT
						: 0];
}

double world_remote_factor(const world_t *w)
{
	return w->config.near_share > 0.0 ? REMOTE_FACTOR : 0.0;
}

int64_t world_run_ms(const world_t *w, const fake_worker_t *worker,
		     const bw_step_spec_t *step, int64_t near_ms)
{
	if (!step->rack || !g_strcmp0(step->rack, world_rack(w, worker)) ||
	    w->config.near_share <= 0.0)
		return near_ms;
	return (int64_t)(REMOTE_FACTOR * (double)near_ms);
}
