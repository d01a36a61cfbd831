#include "aim.h"

#include <stdbool.h>

#include "owner.h"

/** Time in which the owner gets the answer to a renewal, and the time after it
 *  in which the lease counts as new. */
#define ANSWERED_MS 30
#define RENEWED_MS  80

static bool has_renewed(const soak_store_t *store, uint32_t pool)
{
	int64_t ago_ms = soak_owner_renewed_ago_ms(store, pool);

	return ago_ms >= ANSWERED_MS && ago_ms < RENEWED_MS;
}

static void add_targets(GArray *out, soak_fault_t fault,
			const soak_workers_t *workers)
{
	uint32_t wanted = fault.target;
	uint32_t busiest;

	if (wanted != SOAK_BUSIEST && wanted != SOAK_NOT_BUSIEST) {
		g_array_append_val(out, fault);
		return;
	}
	busiest = soak_workers_busiest(workers, fault.pool);
	for (fault.target = fault.pool; fault.target < SOAK_WORKERS;
	     fault.target += SOAK_POOLS)
		if ((fault.target == busiest) == (wanted == SOAK_BUSIEST))
			g_array_append_val(out, fault);
}

GArray *soak_aim(const soak_fault_t *fault, const soak_store_t *store,
		 const soak_workers_t *workers)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(soak_fault_t));
	soak_fault_t aimed = *fault;
	uint32_t owner;

	if (fault->renewed && !has_renewed(store, fault->pool))
		return out;
	if (fault->node != SOAK_OWNER && fault->node != SOAK_NOT_OWNER) {
		add_targets(out, aimed, workers);
		return out;
	}
	owner = soak_owner_find(store, fault->pool);
	for (aimed.node = 0; owner != SOAK_ALL_NODES && aimed.node < SOAK_NODES;
	     aimed.node++)
		if ((aimed.node == owner) == (fault->node == SOAK_OWNER))
			add_targets(out, aimed, workers);
	return out;
}
