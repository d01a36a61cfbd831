#include "fleet/quota_lender.h"

#include <string.h>

#include <glib.h>

#include "base/event.h"
#include "fleet/quota_split.h"

/** An order that no report confirms is replaced by a new one after this. */
#define ORDER_RETRY_MS 200
/** For how long one pool comes first where a cap is too small for all. */
#define TURN_MS 1000
/** For how long tasks that exceed a cap come last, then first, by turns. */
#define OVERSIZED_TURN_MS 4000
/** Less than this part of a cap, as a divisor, is not moved from one pool to
 *  another, unless a pool could start nothing otherwise. */
#define MOVED_MIN_DIVISOR 32
/** Least time between orders about a tenant, unless a pool lacks this part of
 *  the cap, as a divisor, or what it needs for one start. */
#define PACE_MS	       100
#define URGENT_DIVISOR 8
/** A pool outside the configuration is forgotten when it had no owner for so
 *  long: an owner that was cut off has stopped, and its grants are over. */
#define FORGET_MS 15000
/** Time after which all owners are taken to have a configuration that limits a
 *  tenant; until then they may start its tasks without a limit. */
#define CAP_KNOWN_MS 5000
/** A pool that wants more and has left quota unused for this long can't start
 *  it, for example because it is full. */
#define UNUSED_MS 500
/** Such a pool gets one start more than it holds, or this part more, as a
 *  divisor. */
#define SLACK_DIVISOR 8
/** What a pool wants counts for so long after its owner's last report, a few
 *  report intervals, and 1 ms longer for so many tenants: their reports are
 *  sent less often, see TENANTS_PER_MS in quota_client.c. */
#define REPORT_VALID_MS	      1500
#define REPORT_TENANTS_PER_MS 5

/** What a tenant has of a pool, as reported and as ordered since. */
typedef struct row {
	struct tenant *tenant;
	struct pool *pool;
	bw_amounts_t held;
	bw_amounts_t wanted;
	bw_amounts_t largest;
	/** What it wants counts up to this; doubles as it uses its quota. */
	bw_amounts_t slack;
	int64_t unused_ms; /**< Since when it leaves quota unused; 0: not. */
	bw_amounts_t quota; /**< As last reported. */
	bw_amounts_t ordered; /**< By the last order that is not confirmed. */
	bw_amounts_t ordered_most; /**< By any order that is not confirmed. */
	uint64_t ordered_number; /**< Of the last one; 0: all are confirmed. */
	int64_t ordered_ms;
	bool refreshed; /**< Ordered since the cap changed. */
	uint64_t report; /**< Last report of the pool that names the tenant. */
} row_t;

typedef struct tenant {
	char *name;
	bw_amounts_t cap;
	bool capped;
	bool listed; /**< In the configuration. */
	bool configured; /**< Has been in it. */
	int64_t limited_ms; /**< When an amount was limited that was not. */
	bool pending; /**< Among those to decide on. */
	int64_t ordered_ms; /**< Of its last order to any pool. */
	bool oversized; /**< An oversized start has been logged. */
	bool shrunk; /**< Pools may hold more than the cap, as it was lowered.
		      */
	GPtrArray *rows; /**< row_t. */
} tenant_t;

typedef struct pool {
	char *name;
	bool listed; /**< In the configuration. */
	bool known; /**< Its owner obeys this lender, and has reported. */
	bool owned; /**< It has an owner, as far as is known. */
	uint64_t claim; /**< Highest revision of a claim that is known. */
	uint64_t fence; /**< Of the owner that has reported last. */
	/** Fence of an owner that obeys an earlier lender, and is sent an empty
	 *  order so that it obeys this one; 0: none. */
	uint64_t unaware;
	int64_t announced_ms; /**< When it was sent last. */
	uint64_t number; /**< Last order that the owner has applied. */
	uint64_t sent; /**< Number of the last order. */
	uint64_t reports;
	int64_t reported_ms;
	int64_t owned_ms; /**< When it last had an owner. */
	GPtrArray *rows; /**< row_t; owned by the pool. */
	GPtrArray *changes; /**< row_t whose orders are due. */
} pool_t;

struct bw_quota_lender {
	uint64_t fence;
	GHashTable *pools; /**< Name to pool_t. */
	GHashTable *tenants; /**< Name to tenant_t. */
	GPtrArray *pending; /**< tenant_t to decide on. */
	bool claims_known;
	bool superseded;
	bool lends; /**< All pools were known at the last decision. */
	bool awaits; /**< Not all pools are known: nothing is raised. */
	uint32_t capped;
	uint64_t orders;
};

static void pool_free(gpointer data)
{
	pool_t *pool = data;

	g_free(pool->name);
	g_ptr_array_free(pool->rows, TRUE);
	g_ptr_array_free(pool->changes, TRUE);
	g_free(pool);
}

static void tenant_free(gpointer data)
{
	tenant_t *t = data;

	g_free(t->name);
	g_ptr_array_free(t->rows, TRUE);
	g_free(t);
}

bw_quota_lender_t *bw_quota_lender_create(uint64_t fence)
{
	bw_quota_lender_t *l = g_new0(bw_quota_lender_t, 1);

	l->fence = fence;
	l->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	l->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   tenant_free);
	l->pending = g_ptr_array_new();
	return l;
}

void bw_quota_lender_destroy(bw_quota_lender_t *l)
{
	if (!l)
		return;
	g_ptr_array_free(l->pending, TRUE);
	g_hash_table_destroy(l->tenants);
	g_hash_table_destroy(l->pools);
	g_free(l);
}

static bw_amounts_t amounts(const bw_resources_t *from)
{
	return (bw_amounts_t){ { from->cpu_millis, from->mem_mb, from->gpus } };
}

static bw_amounts_t amounts_received(const Bramley__Resources *from)
{
	if (!from)
		return (bw_amounts_t){ { 0 } };
	return (bw_amounts_t){ {
		CLAMP(from->cpu_millis, 0, BW_QUOTA_UNLIMITED),
		CLAMP(from->mem_mb, 0, BW_QUOTA_UNLIMITED),
		CLAMP(from->gpus, 0, BW_QUOTA_UNLIMITED),
	} };
}

static bool is_zero(const bw_amounts_t *amount)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (amount->of[kind] != 0)
			return false;
	return true;
}

static void raise_to(bw_amounts_t *at, const bw_amounts_t *least)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		at->of[kind] = MAX(at->of[kind], least->of[kind]);
}

static void lower_to(bw_amounts_t *at, const bw_amounts_t *most)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		at->of[kind] = MIN(at->of[kind], most->of[kind]);
}

static pool_t *get_pool(bw_quota_lender_t *l, const char *name)
{
	pool_t *pool = g_hash_table_lookup(l->pools, name);

	if (pool)
		return pool;
	pool = g_new0(pool_t, 1);
	pool->name = g_strdup(name);
	pool->rows = g_ptr_array_new_with_free_func(g_free);
	pool->changes = g_ptr_array_new();
	g_hash_table_replace(l->pools, pool->name, pool);
	return pool;
}

static tenant_t *get_tenant(bw_quota_lender_t *l, const char *name)
{
	tenant_t *t = g_hash_table_lookup(l->tenants, name);

	if (t)
		return t;
	t = g_new0(tenant_t, 1);
	t->name = g_strdup(name);
	t->rows = g_ptr_array_new();
	g_hash_table_replace(l->tenants, t->name, t);
	return t;
}

static bw_amounts_t unlimited(void)
{
	return (bw_amounts_t){ { BW_QUOTA_UNLIMITED, BW_QUOTA_UNLIMITED,
				 BW_QUOTA_UNLIMITED } };
}

static row_t *get_row(tenant_t *t, pool_t *pool)
{
	row_t *row;
	guint i;

	for (i = 0; i < t->rows->len; i++) {
		row = g_ptr_array_index(t->rows, i);
		if (row->pool == pool)
			return row;
	}
	row = g_new0(row_t, 1);
	row->tenant = t;
	row->pool = pool;
	row->slack = unlimited();
	g_ptr_array_add(t->rows, row);
	g_ptr_array_add(pool->rows, row);
	return row;
}

static void mark_pending(bw_quota_lender_t *l, tenant_t *t)
{
	if (t->pending || !t->capped)
		return;
	t->pending = true;
	g_ptr_array_add(l->pending, t);
}

static bool limits_more(const bw_amounts_t *old, const bw_amounts_t *new)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (old->of[kind] == 0 && new->of[kind] > 0)
			return true;
	return false;
}

static bool limits_below(const bw_amounts_t *old, const bw_amounts_t *new)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (new->of[kind] > 0 && new->of[kind] < old->of[kind])
			return true;
	return limits_more(old, new);
}

static void set_cap(bw_quota_lender_t *l, int64_t now_ms, tenant_t *t,
		    const bw_amounts_t *cap)
{
	bool changed = memcmp(&t->cap, cap, sizeof(*cap)) != 0;
	bool first = !t->configured;
	guint i;

	if (limits_more(&t->cap, cap))
		t->limited_ms = now_ms;
	t->shrunk = (t->shrunk && !is_zero(cap)) ||
		    (!first && limits_below(&t->cap, cap));
	t->cap = *cap;
	t->capped = !is_zero(cap);
	t->configured = true;
	l->capped += t->capped;
	if (!changed)
		return;
	t->oversized = false;
	for (i = 0; i < t->rows->len; i++)
		((row_t *)g_ptr_array_index(t->rows, i))->refreshed = false;
	mark_pending(l, t);
	if (first)
		return;
	bw_event(BW_EVENT_CONTROLLER_CAP,
		 "tenant=%s cpu_millis=%" G_GINT64_FORMAT
		 " mem_mb=%" G_GINT64_FORMAT " gpus=%" G_GINT64_FORMAT,
		 t->name, cap->of[BW_AMOUNT_CPU_MILLIS],
		 cap->of[BW_AMOUNT_MEM_MB], cap->of[BW_AMOUNT_GPUS]);
}

static void configure_tenants(bw_quota_lender_t *l, int64_t now_ms,
			      const bw_fleet_config_t *config)
{
	bw_amounts_t none = { { 0 } };
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	l->capped = 0;
	g_hash_table_iter_init(&iter, l->tenants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((tenant_t *)value)->listed = false;
	for (i = 0; i < config->tenant_count; i++) {
		const bw_tenant_t *from = &config->tenants[i];
		bw_amounts_t cap = amounts(&from->terms.cap);
		tenant_t *t = get_tenant(l, from->name);

		if (t->listed)
			continue;
		t->listed = true;
		set_cap(l, now_ms, t, &cap);
	}
	g_hash_table_iter_init(&iter, l->tenants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((tenant_t *)value)->listed)
			set_cap(l, now_ms, value, &none);
}

void bw_quota_lender_configure(bw_quota_lender_t *l, int64_t now_ms,
			       const bw_fleet_config_t *config)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, l->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((pool_t *)value)->listed = false;
	for (i = 0; i < config->pool_count; i++)
		get_pool(l, config->pools[i].name)->listed = true;
	configure_tenants(l, now_ms, config);
}

/* What was lent to the pool is free for others from now on. */
static void forget_pool(bw_quota_lender_t *l, pool_t *pool)
{
	guint i;

	for (i = 0; i < pool->rows->len; i++) {
		row_t *row = g_ptr_array_index(pool->rows, i);

		g_ptr_array_remove(row->tenant->rows, row);
		mark_pending(l, row->tenant);
	}
}

void bw_quota_lender_read_claims(bw_quota_lender_t *l, int64_t now_ms,
				 bw_quota_claim_fn claim, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	l->claims_known = true;
	g_hash_table_iter_init(&iter, l->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_t *pool = value;
		uint64_t revision = claim(ctx, pool->name);

		pool->claim = MAX(pool->claim, revision);
		pool->owned = revision > 0;
		if (revision > 0 || pool->owned_ms == 0)
			pool->owned_ms = now_ms;
		if (pool->listed || now_ms - pool->owned_ms < FORGET_MS)
			continue;
		forget_pool(l, pool);
		g_hash_table_iter_remove(&iter);
	}
}

/* What may run in the pool now, or after orders that are under way. */
static bw_amounts_t lent(const row_t *row)
{
	bw_amounts_t out = row->quota;

	raise_to(&out, &row->held);
	if (row->ordered_number > 0)
		raise_to(&out, &row->ordered_most);
	return out;
}

/* The quota once all orders have arrived. */
static bw_amounts_t expected(const row_t *row)
{
	return row->ordered_number > 0 ? row->ordered : row->quota;
}

/*
 * What is held, as far as it can be: no more runs than was lent. An owner that
 * took over reports all that earlier owners may have started, which may be far
 * more than their quotas.
 */
static bw_amounts_t held_at_most(const row_t *row, int64_t now_ms,
				 const bw_amounts_t *reported)
{
	const tenant_t *t = row->tenant;
	bw_amounts_t most = lent(row);
	bw_amounts_t out = *reported;
	int kind;

	if (!row->pool->known || now_ms - t->limited_ms < CAP_KNOWN_MS)
		return out;
	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (t->cap.of[kind] > 0)
			out.of[kind] = MIN(out.of[kind], most.of[kind]);
	return out;
}

/* Whether the quota has room for the largest of what the pool wants. */
static bool has_unused(const row_t *row)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (row->tenant->cap.of[kind] > 0 &&
		    row->quota.of[kind] - row->held.of[kind] <
			    row->largest.of[kind])
			return false;
	return true;
}

static void double_slack(row_t *row)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		row->slack.of[kind] =
			MIN(2 * row->slack.of[kind], BW_QUOTA_UNLIMITED);
}

static void set_slack(row_t *row)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		row->slack.of[kind] =
			MAX(MAX(row->largest.of[kind],
				row->held.of[kind] / SLACK_DIVISOR),
			    1);
}

/* Finds pools that don't start what they want although their quotas allow it;
 * the cap is better lent to others. */
static void update_slack(row_t *row, int64_t now_ms)
{
	if (is_zero(&row->wanted)) {
		row->slack = unlimited();
		row->unused_ms = 0;
	} else if (!has_unused(row)) {
		double_slack(row);
		row->unused_ms = 0;
	} else if (row->unused_ms == 0) {
		row->unused_ms = now_ms;
	} else if (now_ms - row->unused_ms >= UNUSED_MS) {
		set_slack(row);
	}
}

static void record_use(bw_quota_lender_t *l, pool_t *pool, int64_t now_ms,
		       const Bramley__TenantUse *use)
{
	tenant_t *t = get_tenant(l, use->tenant);
	row_t *row = get_row(t, pool);
	bw_amounts_t reported = amounts_received(use->held);
	row_t before = *row;

	row->held = held_at_most(row, now_ms, &reported);
	row->wanted = amounts_received(use->wanted);
	row->largest = amounts_received(use->largest);
	row->quota = amounts_received(use->quota);
	row->report = pool->reports;
	update_slack(row, now_ms);
	if (memcmp(&before.held, &row->held, sizeof(row->held)) != 0 ||
	    memcmp(&before.slack, &row->slack, sizeof(row->slack)) != 0 ||
	    memcmp(&before.wanted, &row->wanted, sizeof(row->wanted)) != 0 ||
	    memcmp(&before.quota, &row->quota, sizeof(row->quota)) != 0)
		mark_pending(l, t);
}

static bool is_unused(const row_t *row)
{
	return row->ordered_number == 0 && is_zero(&row->held) &&
	       is_zero(&row->wanted) && is_zero(&row->quota);
}

static void record_absent(bw_quota_lender_t *l, row_t *row)
{
	if (!is_unused(row))
		mark_pending(l, row->tenant);
	memset(&row->held, 0, sizeof(row->held));
	memset(&row->wanted, 0, sizeof(row->wanted));
	memset(&row->largest, 0, sizeof(row->largest));
	memset(&row->quota, 0, sizeof(row->quota));
}

static void record_uses(bw_quota_lender_t *l, pool_t *pool, int64_t now_ms,
			const Bramley__QuotaReport *report)
{
	size_t i;

	pool->reports++;
	for (i = 0; i < report->n_tenants; i++)
		record_use(l, pool, now_ms, report->tenants[i]);
	for (i = pool->rows->len; i > 0; i--) {
		row_t *row = g_ptr_array_index(pool->rows, i - 1);

		if (row->ordered_number <= pool->number)
			row->ordered_number = 0;
		if (row->report == pool->reports)
			continue;
		record_absent(l, row);
		if (!is_unused(row))
			continue;
		g_ptr_array_remove(row->tenant->rows, row);
		g_ptr_array_remove_index_fast(pool->rows, (guint)i - 1);
	}
}

/* Another owner, which has no order of this lender; what has been ordered may
 * still run as what it holds. */
static void change_owner(pool_t *pool, uint64_t fence)
{
	guint i;

	for (i = 0; i < pool->rows->len; i++) {
		row_t *row = g_ptr_array_index(pool->rows, i);

		row->held = lent(row);
		row->ordered_number = 0;
	}
	pool->fence = fence;
	pool->number = 0;
}

void bw_quota_lender_report(bw_quota_lender_t *l, int64_t now_ms,
			    const Bramley__QuotaReport *report)
{
	pool_t *pool = get_pool(l, report->pool);

	if (report->lender > l->fence)
		l->superseded = true;
	if (l->superseded || !l->claims_known || report->fence < pool->claim ||
	    report->fence < pool->fence)
		return;
	if (report->lender < l->fence) {
		/* The report may be older than the last one of this owner. */
		if (!pool->known || report->fence > pool->fence)
			pool->unaware = report->fence;
		pool->known = pool->known && report->fence == pool->fence;
		return;
	}
	if (pool->known && report->fence == pool->fence &&
	    report->number < pool->number)
		return;
	if (report->fence > pool->fence)
		change_owner(pool, report->fence);
	pool->number = report->number;
	pool->reported_ms = now_ms;
	record_uses(l, pool, now_ms, report);
	pool->known = true;
	pool->unaware = 0;
}

static void send_order(bw_quota_lender_t *l, pool_t *pool, uint64_t fence,
		       Bramley__QuotaOrder *message, bw_quota_order_fn order,
		       void *ctx)
{
	message->pool = pool->name;
	message->fence = fence;
	message->lender = l->fence;
	message->number = pool->sent;
	l->orders++;
	order(ctx, message);
}

/* Makes owners that obey an earlier lender obey this one. */
static void announce_lender(bw_quota_lender_t *l, int64_t now_ms,
			    bw_quota_order_fn order, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		Bramley__QuotaOrder message = BRAMLEY__QUOTA_ORDER__INIT;
		pool_t *pool = value;

		if (pool->unaware == 0 ||
		    (pool->announced_ms != 0 &&
		     now_ms - pool->announced_ms < ORDER_RETRY_MS))
			continue;
		pool->announced_ms = now_ms;
		pool->sent++;
		send_order(l, pool, pool->unaware, &message, order, ctx);
	}
}

void bw_quota_lender_foreach_awaited(const bw_quota_lender_t *l,
				     void (*fn)(void *ctx, const char *pool),
				     void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pool_t *pool = value;

		if (pool->listed && !pool->known)
			fn(ctx, pool->name);
	}
}

static void count_pool(void *ctx, const char *pool)
{
	(void)pool;
	++*(uint32_t *)ctx;
}

static uint32_t awaited(const bw_quota_lender_t *l)
{
	uint32_t count = 0;

	bw_quota_lender_foreach_awaited(l, count_pool, &count);
	return count;
}

void bw_quota_lender_stats(const bw_quota_lender_t *l,
			   bw_quota_lender_stats_t *out)
{
	out->tenants = l->capped;
	out->pools_awaited = awaited(l);
	out->orders = l->orders;
	out->superseded = l->superseded;
}

/** A decision about a tenant; arrays are by the tenant's rows. */
typedef struct decision {
	bw_quota_lender_t *l;
	tenant_t *tenant;
	int64_t now_ms;
	uint32_t count;
	bw_quota_part_t *parts;
	bw_amounts_t *quotas; /**< That the pools are to have. */
	bw_amounts_t room; /**< Of the cap, that is lent to nobody. */
	bool reclaim[BW_AMOUNT_COUNT]; /**< Quotas above their goals fall. */
} decision_t;

static row_t *row_at(const decision_t *d, uint32_t i)
{
	return g_ptr_array_index(d->tenant->rows, i);
}

static bool is_limited(const decision_t *d, int kind)
{
	return d->tenant->cap.of[kind] > 0;
}

/* Whether a pool's owner is likely to act on an order. */
static bool is_led(const decision_t *d, const pool_t *pool)
{
	int64_t valid_ms =
		REPORT_VALID_MS + pool->rows->len / REPORT_TENANTS_PER_MS;

	return pool->known && pool->owned && pool->claim <= pool->fence &&
	       d->now_ms - pool->reported_ms < valid_ms;
}

static void fill_parts(decision_t *d)
{
	int kind;
	uint32_t i;

	d->room = d->tenant->cap;
	for (i = 0; i < d->count; i++) {
		const row_t *row = row_at(d, i);
		bw_amounts_t used = lent(row);

		d->parts[i].held = row->held;
		d->quotas[i] = expected(row);
		for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
			d->room.of[kind] -= used.of[kind];
		/* Such a pool keeps what it has, and gets nothing more. */
		if (!row->pool->listed || !is_led(d, row->pool))
			continue;
		d->parts[i].wanted = row->wanted;
		lower_to(&d->parts[i].wanted, &row->slack);
		d->parts[i].largest = row->largest;
	}
}

/* Whether a pool's quota keeps it from what it wants to start. */
static bool is_stopped(const decision_t *d, uint32_t i, int kind)
{
	const bw_quota_part_t *part = &d->parts[i];
	int64_t least = MIN(part->largest.of[kind], part->wanted.of[kind]);

	return is_limited(d, kind) &&
	       d->quotas[i].of[kind] - part->held.of[kind] < least;
}

/* Whether a pool's quota is so much too small that others should give. */
static bool is_lacking(const decision_t *d, uint32_t i, int kind)
{
	const bw_quota_part_t *part = &d->parts[i];
	int64_t gap = part->needed.of[kind] - d->quotas[i].of[kind];

	if (!is_limited(d, kind) || gap <= 0)
		return false;
	return gap >= d->tenant->cap.of[kind] / MOVED_MIN_DIVISOR ||
	       is_stopped(d, i, kind);
}

/* Finds the amounts of which the free room is too little for those that lack;
 * what has been lent to a pool is not taken from the room again. */
static void find_reclaims(decision_t *d)
{
	int kind;
	uint32_t i;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++) {
		int64_t lack = 0;

		for (i = 0; i < d->count; i++) {
			bw_amounts_t used = lent(row_at(d, i));

			if (is_lacking(d, i, kind))
				lack += MAX(d->parts[i].needed.of[kind] -
						    used.of[kind],
					    0);
		}
		d->reclaim[kind] =
			is_limited(d, kind) &&
			(d->room.of[kind] < 0 || lack > d->room.of[kind]);
	}
}

/* If pools hold more than the cap, because it was lowered, a quota falls as far
 * as the others' holdings need; else a pool could start within its goal while
 * another one goes on above its own. */
static int64_t lowered(const decision_t *d, uint32_t i, int kind)
{
	bw_amounts_t used = lent(row_at(d, i));
	int64_t goal = d->parts[i].goal.of[kind];

	if (d->room.of[kind] >= 0 || !d->tenant->shrunk)
		return goal;
	return MIN(goal, MAX(used.of[kind] + d->room.of[kind], 0));
}

static void lower_quotas(decision_t *d)
{
	int kind;
	uint32_t i;

	for (i = 0; i < d->count; i++)
		for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
			if (d->reclaim[kind])
				d->quotas[i].of[kind] =
					MIN(d->quotas[i].of[kind],
					    lowered(d, i, kind));
}

/*
 * Raises a quota into what is lent to the pool anyway and the free room. The
 * room is negative if pools hold more than the cap; then that much is free of
 * what the pool holds.
 */
static void raise_quota(decision_t *d, uint32_t i, int kind, int64_t to)
{
	bw_amounts_t used = lent(row_at(d, i));
	int64_t already = MAX(used.of[kind], d->quotas[i].of[kind]);
	int64_t quota = MIN(to, already + d->room.of[kind]);

	if (quota <= d->quotas[i].of[kind])
		return;
	d->quotas[i].of[kind] = quota;
	d->room.of[kind] -= MAX(quota - already, 0);
}

static void raise_quotas(decision_t *d, uint32_t first)
{
	int kind;
	uint32_t n;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++) {
		for (n = 0; n < d->count; n++) {
			uint32_t i = (first + n) % d->count;

			if (is_lacking(d, i, kind))
				raise_quota(d, i, kind,
					    d->parts[i].needed.of[kind]);
		}
		if (!is_limited(d, kind) || d->reclaim[kind])
			continue;
		for (n = 0; n < d->count; n++) {
			const bw_quota_part_t *part = &d->parts[n];
			int64_t half =
				(part->needed.of[kind] + part->goal.of[kind]) /
				2;

			if (d->quotas[n].of[kind] < half)
				raise_quota(d, n, kind, part->goal.of[kind]);
		}
	}
}

static void log_oversized(decision_t *d, uint32_t alone)
{
	tenant_t *t = d->tenant;

	if (t->oversized)
		return;
	t->oversized = true;
	bw_event(BW_EVENT_CONTROLLER_CAP_EXCEEDED,
		 "tenant=%s pool=%s cpu_millis=%" G_GINT64_FORMAT
		 " mem_mb=%" G_GINT64_FORMAT " gpus=%" G_GINT64_FORMAT,
		 t->name, row_at(d, alone)->pool->name,
		 d->parts[alone].largest.of[BW_AMOUNT_CPU_MILLIS],
		 d->parts[alone].largest.of[BW_AMOUNT_MEM_MB],
		 d->parts[alone].largest.of[BW_AMOUNT_GPUS]);
}

static bool is_free(const decision_t *d, const row_t *row)
{
	bw_amounts_t used = lent(row);
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (is_limited(d, kind) && used.of[kind] > 0)
			return false;
	return true;
}

/* Lends more than the cap to one pool, once nothing is lent to the others. */
static void lend_alone(decision_t *d, uint32_t alone)
{
	bool nothing_lent = true;
	uint32_t i;

	log_oversized(d, alone);
	for (i = 0; i < d->count; i++) {
		if (i == alone)
			continue;
		nothing_lent = nothing_lent && is_free(d, row_at(d, i));
		memset(&d->quotas[i], 0, sizeof(d->quotas[i]));
	}
	if (nothing_lent)
		raise_to(&d->quotas[alone], &d->parts[alone].goal);
}

/* Whether an order is needed for a row to get its quota. */
static bool differs(const decision_t *d, const row_t *row,
		    const bw_amounts_t *quota)
{
	bw_amounts_t now = expected(row);
	bool any = false;
	bool bounded = false;
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++) {
		if (is_limited(d, kind) && quota->of[kind] != now.of[kind])
			return true;
		if (is_limited(d, kind))
			any |= quota->of[kind] > 0;
		else
			bounded |= now.of[kind] < BW_QUOTA_UNLIMITED;
	}
	return any && bounded && !row->refreshed;
}

/* A row awaits the report on its last order for a while, then it gets another
 * one, as that may be lost. */
static bool awaits_report(const row_t *row, int64_t now_ms)
{
	return row->ordered_number > 0 &&
	       now_ms - row->ordered_ms < ORDER_RETRY_MS;
}

static void order_quota(decision_t *d, uint32_t i)
{
	row_t *row = row_at(d, i);
	bw_amounts_t quota = d->quotas[i];
	bool again = row->ordered_number > 0;
	int kind;

	if (!is_led(d, row->pool) || awaits_report(row, d->now_ms) ||
	    (!again && !differs(d, row, &quota)))
		return;
	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (!is_limited(d, kind))
			quota.of[kind] = BW_QUOTA_UNLIMITED;
	if (row->ordered_number == 0)
		row->ordered_most = quota;
	raise_to(&row->ordered_most, &quota);
	row->refreshed = true;
	row->ordered = quota;
	row->ordered_number = row->pool->sent + 1;
	row->ordered_ms = d->now_ms;
	row->tenant->ordered_ms = d->now_ms;
	g_ptr_array_add(row->pool->changes, row);
}

/* Whether something may change without another report. */
static bool is_open(const decision_t *d)
{
	uint32_t i;
	int kind;

	for (i = 0; i < d->count; i++) {
		if (row_at(d, i)->ordered_number > 0)
			return true;
		for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
			if (is_stopped(d, i, kind) || is_lacking(d, i, kind))
				return true;
	}
	return false;
}

/* Whether a pool lacks so much that it can't wait for the pace. */
static bool is_urgent(const decision_t *d, uint32_t i, int kind)
{
	const bw_quota_part_t *part = &d->parts[i];
	int64_t quota = d->quotas[i].of[kind];
	int64_t gap = part->needed.of[kind] - quota;
	int64_t least = MIN(part->largest.of[kind], part->wanted.of[kind]);

	return is_limited(d, kind) && gap > 0 &&
	       (gap >= d->tenant->cap.of[kind] / URGENT_DIVISOR ||
		quota < least);
}

static bool is_paced(const decision_t *d)
{
	uint32_t i;
	int kind;

	if (d->now_ms - d->tenant->ordered_ms >= PACE_MS)
		return false;
	for (i = 0; i < d->count; i++)
		for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
			if (is_urgent(d, i, kind))
				return false;
	return true;
}

static void note_room(decision_t *d)
{
	int kind;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		if (is_limited(d, kind) && d->room.of[kind] < 0)
			return;
	d->tenant->shrunk = false;
}

/* A lowered cap does not wait for pools that are not known yet; what they hold
 * only makes less room. */
static void keep_to_lowered(decision_t *d)
{
	int kind;
	uint32_t i;

	for (kind = 0; kind < BW_AMOUNT_COUNT; kind++)
		d->reclaim[kind] = is_limited(d, kind) && d->room.of[kind] < 0;
	lower_quotas(d);
	for (i = 0; i < d->count; i++)
		order_quota(d, i);
	mark_pending(d->l, d->tenant);
}

static void decide_quotas(decision_t *d)
{
	int64_t turn_ms = d->now_ms / TURN_MS;
	bw_quota_turn_t turn = {
		.first = (uint32_t)(turn_ms % d->count),
		.oversized = d->now_ms / OVERSIZED_TURN_MS % 2 == 1,
	};
	uint32_t alone;
	uint32_t i;

	fill_parts(d);
	alone = bw_quota_split(&d->tenant->cap, d->parts, d->count, &turn);
	if (d->l->awaits) {
		keep_to_lowered(d);
		return;
	}
	note_room(d);
	if (is_paced(d)) {
		mark_pending(d->l, d->tenant);
		return;
	}
	if (alone != BW_QUOTA_NOBODY) {
		lend_alone(d, alone);
	} else {
		find_reclaims(d);
		lower_quotas(d);
		raise_quotas(d, turn.first);
	}
	for (i = 0; i < d->count; i++)
		order_quota(d, i);
}

static void decide_tenant(bw_quota_lender_t *l, tenant_t *t, int64_t now_ms)
{
	decision_t d = { .l = l, .tenant = t, .now_ms = now_ms };

	t->pending = false;
	d.count = t->rows->len;
	if (!t->capped || d.count == 0)
		return;
	d.parts = g_new0(bw_quota_part_t, d.count);
	d.quotas = g_new0(bw_amounts_t, d.count);
	decide_quotas(&d);
	if (is_open(&d))
		mark_pending(l, t);
	g_free(d.parts);
	g_free(d.quotas);
}

static void decide_tenants(bw_quota_lender_t *l, int64_t now_ms)
{
	GPtrArray *due = l->pending;
	guint i;

	l->pending = g_ptr_array_new();
	for (i = 0; i < due->len; i++) {
		tenant_t *t = g_ptr_array_index(due, i);

		if (!l->awaits || t->shrunk)
			decide_tenant(l, t, now_ms);
		else
			g_ptr_array_add(l->pending, t);
	}
	g_ptr_array_free(due, TRUE);
}

static void pack_amounts(const bw_amounts_t *from, Bramley__Resources *out)
{
	bramley__resources__init(out);
	out->cpu_millis = from->of[BW_AMOUNT_CPU_MILLIS];
	out->mem_mb = from->of[BW_AMOUNT_MEM_MB];
	out->gpus = from->of[BW_AMOUNT_GPUS];
}

static void send_changes(bw_quota_lender_t *l, pool_t *pool,
			 bw_quota_order_fn order, void *ctx)
{
	guint count = pool->changes->len;
	Bramley__QuotaOrder message = BRAMLEY__QUOTA_ORDER__INIT;
	Bramley__TenantQuota *quotas = g_new0(Bramley__TenantQuota, count);
	Bramley__TenantQuota **list = g_new0(Bramley__TenantQuota *, count);
	Bramley__Resources *values = g_new0(Bramley__Resources, count);
	guint i;

	pool->sent++;
	for (i = 0; i < count; i++) {
		row_t *row = g_ptr_array_index(pool->changes, i);

		bramley__tenant_quota__init(&quotas[i]);
		quotas[i].tenant = row->tenant->name;
		pack_amounts(&row->ordered, &values[i]);
		quotas[i].quota = &values[i];
		list[i] = &quotas[i];
	}
	g_ptr_array_set_size(pool->changes, 0);
	message.n_tenants = count;
	message.tenants = list;
	send_order(l, pool, pool->fence, &message, order, ctx);
	g_free(values);
	g_free(list);
	g_free(quotas);
}

static void log_state(bw_quota_lender_t *l, uint32_t waits_for)
{
	bool lends = waits_for == 0;

	if (lends == l->lends)
		return;
	l->lends = lends;
	bw_event(BW_EVENT_CONTROLLER_LENDER,
		 "fence=%" G_GUINT64_FORMAT " lends=%d awaited=%u tenants=%u",
		 l->fence, lends, waits_for, l->capped);
}

void bw_quota_lender_decide(bw_quota_lender_t *l, int64_t now_ms,
			    bw_quota_order_fn order, void *ctx)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t waits_for;

	if (l->superseded || !l->claims_known)
		return;
	announce_lender(l, now_ms, order, ctx);
	waits_for = awaited(l);
	log_state(l, waits_for);
	l->awaits = waits_for > 0;
	decide_tenants(l, now_ms);
	g_hash_table_iter_init(&iter, l->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_t *pool = value;

		if (pool->changes->len > 0)
			send_changes(l, pool, order, ctx);
	}
}
