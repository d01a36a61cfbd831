/* Tenants: what each uses of the pool, and the quota that bounds it. */
#include "sched/internal.h"

/** Least time between counts of what may run, while that only shrinks. */
#define COUNT_INTERVAL_MS 20
/** Least time between log lines on starts that a quota holds back. */
#define LOG_INTERVAL_MS 1000
/** Weight of jobs without a tenant, and of tenants that are not configured. */
#define WEIGHT_OF_NOBODY 1.0

/** Room of the workers on which unknown runs may go on. */
typedef struct hidden_room {
	bool any; /**< There is such a worker. */
	bool unbounded; /**< The capacity of one is not known. */
	bw_resources_t room;
} hidden_room_t;

static void tenant_free(gpointer data)
{
	tenant_t *tenant = data;

	g_free(tenant->name);
	g_free(tenant);
}

tenants_t *sched_tenants_create(void)
{
	tenants_t *tenants = g_new0(tenants_t, 1);

	tenants->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 tenant_free);
	/* Until the first count. */
	tenants->in_doubt = true;
	tenants->hidden = true;
	tenants->stale = true;
	tenants->fair = bw_fair_create();
	tenants->nobody.party.weight = WEIGHT_OF_NOBODY;
	return tenants;
}

void sched_tenants_destroy(tenants_t *tenants)
{
	g_hash_table_destroy(tenants->by_name);
	bw_fair_destroy(tenants->fair);
	g_free(tenants);
}

tenant_t *sched_tenant(bw_sched_t *s, const char *name)
{
	tenant_t *tenant;

	if (!name)
		return NULL;
	tenant = g_hash_table_lookup(s->tenants->by_name, name);
	if (tenant)
		return tenant;
	tenant = g_new0(tenant_t, 1);
	tenant->name = g_strdup(name);
	tenant->party.weight = WEIGHT_OF_NOBODY;
	g_hash_table_insert(s->tenants->by_name, tenant->name, tenant);
	return tenant;
}

static bool is_limited(const tenant_t *tenant)
{
	const bw_resources_t *cap = &tenant->terms.cap;

	return tenant->configured &&
	       (cap->cpu_millis > 0 || cap->mem_mb > 0 || cap->gpus > 0);
}

/* The quota of one that is gone must not hold for a later one of its name; one
 * that is set before its tenant is configured holds. */
static void drop_gone(bw_sched_t *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->tenants->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tenant_t *tenant = value;

		if (!tenant->gone)
			continue;
		tenant->gone = false;
		tenant->configured = false;
		tenant->has_quota = false;
		tenant->terms = (bw_tenant_terms_t){ 0 };
		tenant->party.weight = WEIGHT_OF_NOBODY;
	}
}

void bw_sched_set_tenants(bw_sched_t *s, const bw_tenant_config_t *tenants,
			  uint32_t count)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, s->tenants->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((tenant_t *)value)->gone = ((tenant_t *)value)->configured;
	for (i = 0; i < count; i++) {
		tenant_t *tenant = sched_tenant(s, tenants[i].name);

		tenant->gone = false;
		tenant->configured = true;
		tenant->terms = tenants[i].terms;
		tenant->party.weight = tenants[i].terms.weight;
	}
	drop_gone(s);
	s->tenants->configured = count;
}

void bw_sched_set_quota(bw_sched_t *s, const char *tenant,
			const bw_resources_t *quota)
{
	tenant_t *t = sched_tenant(s, tenant);

	t->has_quota = true;
	t->quota = *quota;
	t->quota_ms = s->run_ms;
}

const char *bw_sched_job_tenant(const bw_sched_t *s, const char *id)
{
	const job_t *job = g_hash_table_lookup(s->jobs, id);

	return job && job->tenant ? job->tenant->name : NULL;
}

static void add(bw_resources_t *sum, const bw_resources_t *need, int64_t times)
{
	sum->cpu_millis += times * need->cpu_millis;
	sum->mem_mb += times * need->mem_mb;
	sum->gpus += times * need->gpus;
}

void sched_raise_to(bw_resources_t *sum, const bw_resources_t *other)
{
	sum->cpu_millis = MAX(sum->cpu_millis, other->cpu_millis);
	sum->mem_mb = MAX(sum->mem_mb, other->mem_mb);
	sum->gpus = MAX(sum->gpus, other->gpus);
}

static void bound_by(bw_resources_t *sum, const bw_resources_t *other)
{
	sum->cpu_millis = MIN(sum->cpu_millis, other->cpu_millis);
	sum->mem_mb = MIN(sum->mem_mb, other->mem_mb);
	sum->gpus = MIN(sum->gpus, other->gpus);
}

static bool within(const bw_resources_t *a, const bw_resources_t *b)
{
	return a->cpu_millis <= b->cpu_millis && a->mem_mb <= b->mem_mb &&
	       a->gpus <= b->gpus;
}

void sched_tenant_hold(const task_t *task, int64_t sign)
{
	tenant_t *tenant = task->occurrence->job->tenant;
	const bw_step_spec_t *step = sched_task_step(task);
	bw_resources_t need = step->need;

	if (!tenant)
		return;
	add(&tenant->attached, &need, sign);
	/* Fillers use the processor that others leave free. */
	if (step->filler)
		need.cpu_millis = 0;
	add(&tenant->party.used, &need, sign);
}

void sched_tenants_add_room(bw_sched_t *s, const bw_resources_t *capacity)
{
	add(&s->tenants->capacity, capacity, 1);
}

void sched_tenant_arrived(job_t *job)
{
	tenant_t *tenant = job->tenant;

	if (tenant && tenant->configured)
		job->beyond = !bw_fair_owed(&tenant->rate, tenant->terms.weight,
					    job->arrived_ms);
}

bw_fair_party_t *sched_tenant_party(bw_sched_t *s, const job_t *job)
{
	return job->tenant ? &job->tenant->party : &s->tenants->nobody.party;
}

bool sched_turn_over(bw_sched_t *s)
{
	tenants_t *tenants = s->tenants;

	if (tenants->in_turn && !bw_fair_goes_on(tenants->fair))
		tenants->yielded = true;
	return tenants->yielded;
}

void sched_tenants_doubt(bw_sched_t *s)
{
	s->tenants->in_doubt = true;
	s->tenants->stale = true;
}

/*
 * Whether runs that this owner has not listed may go on, on a worker: of an
 * earlier owner until it has listed its runs, and those that are being stopped,
 * which it lists no more.
 */
static bool may_hide_runs(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms)
{
	if (worker->dead)
		return false;
	if (!worker->synced)
		return !s->recovered;
	return worker->inherited &&
	       now_ms - worker->synced_ms < s->config.stop_ms + STOP_MARGIN_MS;
}

/* Adds the most that unlisted runs may use on a worker: what is free, or all of
 * a worker that has not listed its runs. One whose capacity was lowered may run
 * what it ran before. */
static void add_room(const worker_t *worker, hidden_room_t *hidden)
{
	bw_resources_t room = worker->capacity_max;
	bw_resources_t none = { 0 };

	hidden->any = true;
	hidden->unbounded |= !worker->described;
	if (worker->synced)
		add(&room, &worker->used, -1);
	sched_raise_to(&room, &none);
	add(&hidden->room, &room, 1);
}

/* Tasks that an earlier owner may have started wait here. */
static void add_flagged(const occurrence_t *occurrence)
{
	const job_t *job = occurrence->job;
	uint32_t i;

	for (i = 0; i < occurrence->task_count; i++) {
		const task_t *task = &occurrence->tasks[i];
		const bw_step_spec_t *step = sched_task_step(task);
		bw_resources_t need = step->need;

		if (!task->maybe_running || task->worker)
			continue;
		if (step->filler) {
			job->tenant->flagged_filler_millis += need.cpu_millis;
			need.cpu_millis = 0;
		}
		add(&job->tenant->flagged, &need, 1);
	}
}

/* An earlier owner may start the next occurrence as soon as it is due. */
static void add_next_occurrence(const bw_sched_t *s, const job_t *job)
{
	uint32_t i;

	if (s->first_owner || s->handed_over || s->recovered ||
	    job->finished_version > 0 || !job->spec ||
	    job->next_occurrence >= job->spec->repeats)
		return;
	for (i = 0; i < job->spec->step_count; i++)
		add(&job->tenant->flagged, &job->spec->steps[i].need,
		    job->spec->steps[i].count);
}

static void add_flagged_of_jobs(const bw_sched_t *s, const GPtrArray *jobs)
{
	guint i;
	guint k;

	for (i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		if (job->tenant)
			add_next_occurrence(s, job);
		for (k = 0; job->tenant && k < job->occurrences->len; k++)
			add_flagged(g_ptr_array_index(job->occurrences, k));
	}
}

/** A count of the tasks that earlier owners held. */
typedef struct hold_count {
	const job_t *job; /**< Only of this one; NULL: of all. */
	bool hidden; /**< Flagged tasks are counted already. */
	uint32_t count;
} hold_count_t;

static void add_held(void *ctx, const task_t *task)
{
	hold_count_t *holds = ctx;
	tenant_t *tenant = task->occurrence->job->tenant;

	holds->count++;
	if (tenant && !(holds->hidden && task->maybe_running))
		add(&tenant->doubted, &sched_task_step(task)->need, 1);
}

static void count_of_job(void *ctx, const task_t *task)
{
	hold_count_t *holds = ctx;

	holds->count += task->occurrence->job == holds->job;
}

static bool has_hold(const bw_sched_t *s, const job_t *job)
{
	hold_count_t holds = { .job = job };

	sched_holds_each(s, count_of_job, &holds);
	return holds.count > 0;
}

static bool has_orphan(const bw_sched_t *s, const job_t *job)
{
	guint i;
	uint32_t k;

	for (i = 0; i < job->occurrences->len; i++) {
		occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (k = 0; k < occurrence->task_count; k++)
			if (sched_has_orphan(s, &occurrence->tasks[k]))
				return true;
	}
	return false;
}

static void add_orphans(const bw_sched_t *s, const worker_t *worker)
{
	guint i;

	for (i = 0; worker->orphans && i < worker->orphans->len; i++) {
		const task_t *task = sched_find_task(
			s, &g_array_index(worker->orphans, bw_task_name_t, i));

		if (task && task->occurrence->job->tenant)
			add(&task->occurrence->job->tenant->listed,
			    &sched_task_step(task)->need, 1);
	}
}

/* A run that a worker lists no more, as it is being stopped, goes on for a
 * while. */
static bool settle_orphaned(const bw_sched_t *s, tenant_t *tenant,
			    int64_t now_ms)
{
	bool fewer = within(&tenant->listed, &tenant->orphaned);

	if (!fewer || within(&tenant->orphaned, &tenant->listed)) {
		sched_raise_to(&tenant->orphaned, &tenant->listed);
		tenant->orphaned_ms = now_ms;
	} else if (now_ms - tenant->orphaned_ms >=
		   s->config.stop_ms + STOP_MARGIN_MS) {
		tenant->orphaned = tenant->listed;
		tenant->orphaned_ms = now_ms;
	}
	return tenant->orphaned.cpu_millis > 0 || tenant->orphaned.mem_mb > 0 ||
	       tenant->orphaned.gpus > 0;
}

static bool settle(const bw_sched_t *s, const hidden_room_t *hidden,
		   int64_t now_ms)
{
	bool any = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->tenants->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tenant_t *tenant = value;

		if (!hidden->unbounded)
			bound_by(&tenant->flagged, &hidden->room);
		add(&tenant->doubted, &tenant->flagged, 1);
		tenant->doubted.cpu_millis += tenant->flagged_filler_millis;
		any |= settle_orphaned(s, tenant, now_ms);
	}
	return any;
}

static void clear_sums(tenants_t *tenants)
{
	bw_resources_t none = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tenants->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tenant_t *tenant = value;

		tenant->doubted = none;
		tenant->flagged = none;
		tenant->flagged_filler_millis = 0;
		tenant->listed = none;
	}
}

static bool lists_unknown_runs(const worker_t *worker, int64_t now_ms)
{
	return worker->unknown_runs && !worker->dead &&
	       now_ms - worker->last_heartbeat_ms < WORKER_SILENT_MS;
}

/* They may be anybody's, so each tenant's starts leave room for all. */
static void add_unknown(tenants_t *tenants, const worker_t *worker)
{
	bw_resources_t room = worker->capacity_max;
	bw_resources_t none = { 0 };

	add(&room, &worker->used, -1);
	sched_raise_to(&room, &none);
	add(&tenants->unknown, &room, 1);
	tenants->unknown_runs = true;
	tenants->unknown_unbounded |= !worker->described;
}

static void count_doubt(const bw_sched_t *s, int64_t now_ms)
{
	hidden_room_t hidden = { .any = false };
	hold_count_t holds = { .job = NULL };
	bool orphans;
	GHashTableIter iter;
	gpointer value;

	clear_sums(s->tenants);
	s->tenants->unknown_runs = false;
	s->tenants->unknown_unbounded = false;
	s->tenants->unknown = (bw_resources_t){ 0 };
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (may_hide_runs(s, worker, now_ms))
			add_room(worker, &hidden);
		add_orphans(s, worker);
		if (lists_unknown_runs(worker, now_ms))
			add_unknown(s->tenants, worker);
	}
	/* A worker of which an earlier owner stored nothing may be unknown. */
	hidden.unbounded |= !s->recovered && g_hash_table_size(s->workers) == 0;
	holds.hidden = hidden.any || hidden.unbounded;
	if (holds.hidden) {
		add_flagged_of_jobs(s, s->active);
		add_flagged_of_jobs(s, s->ending);
	}
	sched_holds_each(s, add_held, &holds);
	orphans = settle(s, &hidden, now_ms);
	s->tenants->hidden = holds.hidden || !s->recovered;
	s->tenants->in_doubt = s->tenants->hidden || orphans ||
			       holds.count > 0 || s->tenants->unknown_runs;
	s->tenants->stale = false;
	s->tenants->counted_ms = now_ms;
}

void sched_tenants_count(const bw_sched_t *s, int64_t now_ms)
{
	const tenants_t *tenants = s->tenants;

	if (tenants->configured == 0 || !tenants->in_doubt)
		return;
	if (tenants->stale || now_ms - tenants->counted_ms >= COUNT_INTERVAL_MS)
		count_doubt(s, now_ms);
}

bool sched_tenants_keep(const bw_sched_t *s, const job_t *job)
{
	if (s->tenants->configured == 0 || !s->tenants->in_doubt ||
	    !job->tenant)
		return false;
	return s->tenants->hidden || has_orphan(s, job) || has_hold(s, job);
}

static bw_resources_t held(const tenant_t *tenant)
{
	bw_resources_t sum = tenant->attached;

	add(&sum, &tenant->doubted, 1);
	add(&sum, &tenant->orphaned, 1);
	return sum;
}

/* What a start doesn't need it can't bring above the limit. */
static bool amount_fits(int64_t cap, int64_t held, int64_t need, int64_t most)
{
	return cap == 0 || need == 0 || held + need <= most;
}

static bool all_fit(const bw_resources_t *cap, const bw_resources_t *held,
		    const bw_resources_t *need, const bw_resources_t *most)
{
	return amount_fits(cap->cpu_millis, held->cpu_millis, need->cpu_millis,
			   most->cpu_millis) &&
	       amount_fits(cap->mem_mb, held->mem_mb, need->mem_mb,
			   most->mem_mb) &&
	       amount_fits(cap->gpus, held->gpus, need->gpus, most->gpus);
}

/* Whether a start exceeds the cap by no more than one of its tasks. */
static bool exceeds_by_a_task(const tenant_t *tenant,
			      const bw_step_spec_t *step, uint32_t count)
{
	const bw_resources_t *cap = &tenant->terms.cap;
	bw_resources_t none = { 0 };
	bw_resources_t others = { 0 };

	add(&others, &step->need, (int64_t)count - 1);
	return all_fit(cap, &none, &others, cap);
}

static bool fits(const tenants_t *tenants, const tenant_t *tenant,
		 const bw_step_spec_t *step, uint32_t count)
{
	const bw_resources_t *cap = &tenant->terms.cap;
	bw_resources_t none = { 0 };
	bw_resources_t now_held = held(tenant);
	bw_resources_t need = { 0 };

	add(&now_held, &tenants->unknown, 1);
	add(&need, &step->need, count);
	if (!tenant->has_quota || tenants->unknown_unbounded ||
	    !all_fit(cap, &now_held, &need, &tenant->quota))
		return false;
	if (all_fit(cap, &now_held, &need, cap))
		return true;
	/* Alone. */
	return all_fit(cap, &now_held, &now_held, &none) &&
	       exceeds_by_a_task(tenant, step, count);
}

static void log_refusal(bw_sched_t *s, const job_t *job,
			const bw_resources_t *need, int64_t now_ms)
{
	tenants_t *tenants = s->tenants;
	const tenant_t *tenant = job->tenant;
	bw_resources_t now_held = held(tenant);

	tenants->refused++;
	if (now_ms < tenants->next_log_ms)
		return;
	sched_log(s, BW_EVENT_SCHED_QUOTA,
		  "job=%s tenant=%s held=%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
		  "/%" G_GINT64_FORMAT " need=%" G_GINT64_FORMAT
		  "/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
		  " quota=%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
		  "/%" G_GINT64_FORMAT " quota_age_ms=%" G_GINT64_FORMAT
		  " counted_age_ms=%" G_GINT64_FORMAT
		  " unknown=%d times=%" G_GUINT64_FORMAT,
		  job->id, tenant->name, now_held.cpu_millis, now_held.mem_mb,
		  now_held.gpus, need->cpu_millis, need->mem_mb, need->gpus,
		  tenant->quota.cpu_millis, tenant->quota.mem_mb,
		  tenant->quota.gpus,
		  tenant->has_quota ? now_ms - tenant->quota_ms : -1,
		  tenants->in_doubt ? now_ms - tenants->counted_ms : 0,
		  tenants->unknown_runs,
		  tenants->refused - tenants->refused_logged);
	tenants->refused_logged = tenants->refused;
	tenants->next_log_ms = now_ms + LOG_INTERVAL_MS;
}

bool sched_quota_allows(bw_sched_t *s, const job_t *job,
			const bw_step_spec_t *step, uint32_t count,
			int64_t now_ms)
{
	bw_resources_t need = { 0 };

	if (!job->tenant || !is_limited(job->tenant))
		return true;
	if (fits(s->tenants, job->tenant, step, count))
		return true;
	add(&need, &step->need, count);
	log_refusal(s, job, &need, now_ms);
	return false;
}

/* Adds the waiting tasks of a step to a report. */
static void add_wanted(const bw_sched_t *s, const occurrence_t *occurrence,
		       uint32_t number, bw_tenant_use_t *use)
{
	const bw_step_spec_t *step = &occurrence->job->spec->steps[number];
	const step_state_t *state = &occurrence->steps[number];
	bw_resources_t largest = { 0 };
	uint32_t waiting = 0;
	uint32_t i;

	for (i = 0; i < step->count && state->waiting > 0; i++) {
		const task_t *task = &occurrence->tasks[state->first_task + i];

		waiting += task->state == TASK_WAITING &&
			   (s->recovered || !task->maybe_running);
	}
	if (waiting == 0 || (step->gang && waiting < step->count))
		return;
	/* It can never start. */
	if (step->gang && is_limited(occurrence->job->tenant) &&
	    !exceeds_by_a_task(occurrence->job->tenant, step, step->count))
		return;
	add(&use->wanted, &step->need, waiting);
	add(&largest, &step->need, step->gang ? step->count : 1);
	sched_raise_to(&use->largest, &largest);
}

static void add_use(const bw_sched_t *s, const occurrence_t *occurrence)
{
	const job_t *job = occurrence->job;
	uint32_t i;

	if (!job->tenant || job->finished_version > 0)
		return;
	if (!job->started && job->spec->repeats == 0)
		job->tenant->use.jobs_waiting++;
	for (i = 0; i < job->spec->step_count; i++)
		if (occurrence->steps[i].waiting > 0 &&
		    sched_step_ready(occurrence, i))
			add_wanted(s, occurrence, i, &job->tenant->use);
}

static void clear_uses(tenants_t *tenants)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tenants->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((tenant_t *)value)->use = (bw_tenant_use_t){ 0 };
}

static bool is_reported(const bw_tenant_use_t *use)
{
	bw_resources_t none = { 0 };

	return use->has_quota || use->jobs_waiting > 0 ||
	       !within(&use->held, &none) || !within(&use->wanted, &none);
}

void bw_sched_tenant_uses(const bw_sched_t *s, int64_t now_ms,
			  void (*fn)(void *ctx, const bw_tenant_use_t *use),
			  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	if (s->tenants->in_doubt)
		count_doubt(s, now_ms);
	clear_uses(s->tenants);
	g_hash_table_iter_init(&iter, s->startable);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		add_use(s, value);
	g_hash_table_iter_init(&iter, s->tenants->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tenant_t *tenant = value;

		tenant->use.name = tenant->name;
		tenant->use.held = held(tenant);
		tenant->use.has_quota = tenant->has_quota;
		tenant->use.quota = tenant->quota;
		if (is_reported(&tenant->use))
			fn(ctx, &tenant->use);
	}
}

void bw_sched_set_job_tenant(bw_sched_t *s, const char *id, const char *tenant)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	if (job && !job->tenant)
		job->tenant = sched_tenant(s, tenant);
}
