/**
 * @file
 * Tenants within a pool's scheduler: what the tasks of each hold, the quota
 * that bounds it, and which of its jobs it is owed.
 *
 * What a tenant holds is an upper bound of what runs of it in this pool. Tasks
 * on a worker are added up as they come and go. What earlier owners may have
 * started, and runs that should not go on, are added up anew while there may be
 * any.
 */
#ifndef BW_SCHED_TENANT_H
#define BW_SCHED_TENANT_H

#include <glib.h>

#include "sched/fair.h"
#include "sched/sched.h"

struct job;
struct task;

/** A tenant of this pool's jobs. */
typedef struct tenant {
	char *name;
	bw_tenant_terms_t terms;
	bool configured; /**< Otherwise it has no limits. */
	bool gone; /**< Not in the configuration that is being set. */
	bool has_quota;
	bw_resources_t quota;
	int64_t quota_ms; /**< When it was set. */
	bw_resources_t attached; /**< Of tasks that are on a worker. */
	/** Of tasks on none that may run, by a start of an earlier owner. */
	bw_resources_t doubted;
	bw_resources_t orphaned; /**< Of runs that should not go on. */
	int64_t orphaned_ms; /**< When workers last listed that many. */
	/** In the order of the tenants; its use is that of tasks on workers,
	 *  without the processor of fillers. */
	bw_fair_party_t party;
	bw_fair_rate_t rate;
	/* Sums of a count in progress, or of a report. */
	bw_resources_t flagged; /**< Of tasks that may run unlisted. */
	int64_t flagged_filler_millis; /**< No worker's capacity bounds it. */
	bw_resources_t listed; /**< Of orphans that workers list. */
	bw_tenant_use_t use;
} tenant_t;

/** The tenants of a pool. */
typedef struct tenants {
	GHashTable *by_name;
	uint32_t configured; /**< 0: jobs are placed whosever they are. */
	bool in_doubt; /**< More may run than the tasks on workers. */
	bool hidden; /**< The same; no worker may list some of it. */
	bool stale; /**< More may run than was counted last. */
	int64_t counted_ms;
	bool unknown_runs; /**< A worker lists runs of which nobody knows whose
			      they are. */
	bool unknown_unbounded; /**< Nor what such a worker has. */
	bw_resources_t unknown; /**< The most that these runs use. */
	bw_fair_t *fair;
	tenant_t nobody; /**< Stands for jobs without a tenant in the order. */
	bw_resources_t capacity; /**< Of the pool, as of the last sweep. */
	bool in_turn; /**< Tasks are being placed in turns. */
	bool yielded; /**< The turn has ended before the job was placed. */
	uint64_t refused; /**< Starts that a quota held back. */
	uint64_t refused_logged;
	int64_t next_log_ms;
} tenants_t;

tenants_t *sched_tenants_create(void);
void sched_tenants_destroy(tenants_t *tenants);

/** Returns the tenant of a name, which may be new; NULL for none. */
tenant_t *sched_tenant(bw_sched_t *s, const char *name);

/** Raises each amount to another one that is higher. */
void sched_raise_to(bw_resources_t *sum, const bw_resources_t *other);

/** Adds what a task needs to what its tenant holds; subtracts with sign -1. */
void sched_tenant_hold(const struct task *task, int64_t sign);

/** Notes that more may run than was counted. */
void sched_tenants_doubt(bw_sched_t *s);

/** Counts what may run beside the tasks on workers, where there may be any; to
 *  be called before tasks are placed. */
void sched_tenants_count(const bw_sched_t *s, int64_t now_ms);

/** Whether the tasks of an ended job are still needed, as they may run. */
bool sched_tenants_keep(const bw_sched_t *s, const struct job *job);

/** Adds the capacity of a worker to that of the pool. */
void sched_tenants_add_room(bw_sched_t *s, const bw_resources_t *capacity);

/** Notes whether a job that has just arrived is owed to its tenant. */
void sched_tenant_arrived(struct job *job);

/** Returns the party of a job in the order of the tenants. */
bw_fair_party_t *sched_tenant_party(bw_sched_t *s, const struct job *job);

/** Whether it is the turn of other tenants' jobs. */
bool sched_turn_over(bw_sched_t *s);

/** Whether a number of tasks of a step may start within the quota of their
 *  tenant. */
bool sched_quota_allows(bw_sched_t *s, const struct job *job,
			const bw_step_spec_t *step, uint32_t count,
			int64_t now_ms);

#endif
