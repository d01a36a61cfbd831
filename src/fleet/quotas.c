/* Tenants' quotas: the lender, if this node has the controller's role, and the
 * owner's side of each pool of this node. */
#include "fleet/internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"
#include "fleet/quota_client.h"
#include "fleet/quota_lender.h"
#include "wire/frame.h"

/** Reports that come within this time are decided on together. */
#define GATHER_S 0.01

/** A pool of this node. */
typedef struct quota_pool {
	bw_fleet_t *f;
	bw_pool_t *pool; /**< Valid while f->pools has it. */
	bw_quota_client_t *client;
} quota_pool_t;

struct fleet_quotas {
	GHashTable *pools; /**< Name to quota_pool_t. */
	GHashTable *capped; /**< Set of the tenants with a cap. */
	bw_quota_lender_t *lender; /**< NULL unless this node lends. */
	ev_timer gather;
};

static void on_gather(struct ev_loop *loop, ev_timer *timer, int revents);
static void send_order(void *ctx, const Bramley__QuotaOrder *order);
static void send_report(void *ctx, const Bramley__Frame *frame);
static void lend(bw_fleet_t *f, int64_t now_ms);
static void report_pools(bw_fleet_t *f, int64_t now_ms);

static const char *const result_names[BW_QUOTA_RESULT_COUNT] = {
	[BW_QUOTA_APPLIED] = "applied",
	[BW_QUOTA_OTHER_OWNER] = "other-owner",
	[BW_QUOTA_OLD_LENDER] = "old-lender",
	[BW_QUOTA_OLD_ORDER] = "old-order",
};

static bool has_cap(const bw_tenant_terms_t *terms)
{
	return terms->cap.cpu_millis > 0 || terms->cap.mem_mb > 0 ||
	       terms->cap.gpus > 0;
}

bool fleet_has_caps(const bw_fleet_config_t *config)
{
	uint32_t i;

	for (i = 0; i < config->tenant_count; i++)
		if (has_cap(&config->tenants[i].terms))
			return true;
	return false;
}

static bool is_capped(void *ctx, const char *tenant)
{
	const quota_pool_t *pool = ctx;

	return g_hash_table_contains(pool->f->quotas->capped, tenant);
}

static void set_quota(void *ctx, const char *tenant,
		      const bw_resources_t *quota)
{
	const quota_pool_t *pool = ctx;

	bw_sched_set_quota(bw_pool_sched(pool->pool), tenant, quota);
}

static void list_uses(void *ctx, int64_t now_ms,
		      void (*fn)(void *arg, const bw_tenant_use_t *use),
		      void *arg)
{
	const quota_pool_t *pool = ctx;

	bw_sched_tenant_uses(bw_pool_sched(pool->pool), now_ms, fn, arg);
}

static const bw_quota_client_ops_t client_ops = { is_capped, set_quota,
						  list_uses };

static void quota_pool_free(gpointer data)
{
	quota_pool_t *pool = data;

	bw_quota_client_destroy(pool->client);
	g_free(pool);
}

void fleet_create_quotas(bw_fleet_t *f)
{
	bw_family_labels_t labels = {
		"result", result_names, BW_QUOTA_RESULT_COUNT, NULL, NULL, 0
	};
	fleet_quotas_t *q = g_new0(fleet_quotas_t, 1);

	bw_metrics_define(BW_MC_QUOTA_ORDERS, &labels);
	q->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 quota_pool_free);
	q->capped =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&q->gather, on_gather, GATHER_S, 0);
	q->gather.data = f;
	f->quotas = q;
}

void fleet_configure_quotas(bw_fleet_t *f)
{
	fleet_quotas_t *q = f->quotas;
	uint32_t i;

	g_hash_table_remove_all(q->capped);
	for (i = 0; i < f->config->tenant_count; i++)
		if (has_cap(&f->config->tenants[i].terms))
			g_hash_table_add(q->capped,
					 g_strdup(f->config->tenants[i].name));
	if (q->lender)
		bw_quota_lender_configure(q->lender, bw_clock_now_ms(),
					  f->config);
}

void fleet_start_lending(bw_fleet_t *f, int64_t revision)
{
	fleet_stop_lending(f);
	f->quotas->lender = bw_quota_lender_create((uint64_t)revision);
	bw_quota_lender_configure(f->quotas->lender, bw_clock_now_ms(),
				  f->config);
}

void fleet_stop_lending(bw_fleet_t *f)
{
	bw_quota_lender_destroy(f->quotas->lender);
	f->quotas->lender = NULL;
}

static uint64_t claim_of(void *ctx, const char *pool)
{
	const bw_fleet_t *f = ctx;

	return (uint64_t)bw_fleet_member_claim(f->member, pool);
}

void fleet_take_quota_report(bw_fleet_t *f, const Bramley__QuotaReport *report)
{
	fleet_quotas_t *q = f->quotas;

	if (!q->lender)
		return;
	bw_quota_lender_report(q->lender, bw_clock_now_ms(), report);
	if (!ev_is_active(&q->gather)) {
		ev_timer_set(&q->gather, GATHER_S, 0);
		ev_timer_start(f->env.loop, &q->gather);
	}
}

/* Whether this node still owns the pool by the same claim. */
static bool is_current(const bw_fleet_t *f, const char *name,
		       const quota_pool_t *pool)
{
	const bw_pool_t *now = g_hash_table_lookup(f->pools, name);

	return now == pool->pool && (uint64_t)bw_pool_fence(now) ==
					    bw_quota_client_fence(pool->client);
}

/* Reports are sent after the event, since an order may come from a decision. */
void fleet_take_quota_order(bw_fleet_t *f, const Bramley__QuotaOrder *order)
{
	quota_pool_t *pool = g_hash_table_lookup(f->quotas->pools, order->pool);
	bw_quota_result_t result;

	if (!pool || !is_current(f, order->pool, pool))
		return;
	result = bw_quota_client_apply(pool->client, order);
	bw_metrics_count(BW_MC_QUOTA_ORDERS, result, 0);
	bw_event(BW_EVENT_POOL_QUOTAS,
		 "pool=%s lender=%" G_GUINT64_FORMAT
		 " number=%" G_GUINT64_FORMAT " tenants=%u result=%d",
		 order->pool, order->lender, order->number,
		 (unsigned int)order->n_tenants, (int)result);
	if (result != BW_QUOTA_APPLIED)
		return;
	bw_pool_wake(pool->pool);
	if (!f->quotas->lender)
		report_pools(f, bw_clock_now_ms());
}

/* A peer ends the connection at a longer message. What is left out of a report
 * would count as nothing, so it is sent whole or not at all. */
static bool fits(const Bramley__Frame *frame, const char *pool, size_t tenants)
{
	size_t bytes = bramley__frame__get_packed_size(frame);

	if (bytes <= BW_FRAME_BODY_MAX)
		return true;
	bw_event(BW_EVENT_FLEET_QUOTAS_TOO_LARGE, "pool=%s tenants=%u bytes=%u",
		 pool, (unsigned int)tenants, (unsigned int)bytes);
	return false;
}

static void send_order(void *ctx, const Bramley__QuotaOrder *order)
{
	bw_fleet_t *f = ctx;
	const char *owner = fleet_pool_owner(f, order->pool);
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	if (!owner)
		return;
	frame.body_case = BRAMLEY__FRAME__BODY_QUOTA_ORDER;
	frame.quota_order = (Bramley__QuotaOrder *)order;
	if (!strcmp(owner, f->env.settings->name))
		fleet_take_quota_order(f, order);
	else if (fits(&frame, order->pool, order->n_tenants))
		bw_fleet_peers_send(f->peers, owner, &frame);
}

static void send_report(void *ctx, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;
	const char *node = bw_fleet_member_owner(f->member, BW_CONTROLLER_ROLE);

	if (f->quotas->lender)
		fleet_take_quota_report(f, frame->quota_report);
	else if (node && fits(frame, frame->quota_report->pool,
			      frame->quota_report->n_tenants))
		bw_fleet_peers_send(f->peers, node, frame);
}

/*
 * Starts the owner's side of a pool once its jobs have been read, so that a
 * report has all that it holds, and once all claims of the lender's role before
 * the pool's claim are known, so that it obeys none of the earlier lenders.
 */
static void add_pool(bw_fleet_t *f, bw_pool_t *pool)
{
	const char *name = bw_pool_name(pool);
	quota_pool_t *new;

	if (!bw_pool_sched(pool) || !bw_pool_jobs_loaded(pool) ||
	    g_hash_table_contains(f->quotas->pools, name) ||
	    !bw_fleet_member_knows_claims(f->member, name))
		return;
	new = g_new0(quota_pool_t, 1);
	new->f = f;
	new->pool = pool;
	new->client = bw_quota_client_create(
		name, (uint64_t)bw_pool_fence(pool), &client_ops, new);
	g_hash_table_replace(f->quotas->pools, g_strdup(name), new);
}

/* Follows which pools this node owns. */
static void update_pools(bw_fleet_t *f)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, f->quotas->pools);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (!is_current(f, name, value))
			g_hash_table_iter_remove(&iter);
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_pool(f, value);
}

static void report_pools(bw_fleet_t *f, int64_t now_ms)
{
	uint64_t lender = claim_of(f, BW_CONTROLLER_ROLE);
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(f->quotas->capped) == 0)
		return;
	update_pools(f);
	g_hash_table_iter_init(&iter, f->quotas->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quota_pool_t *pool = value;

		bw_quota_client_lender(pool->client, lender);
		bw_quota_client_tick(pool->client, now_ms, send_report, f);
	}
}

static void lend(bw_fleet_t *f, int64_t now_ms)
{
	bw_quota_lender_t *lender = f->quotas->lender;

	if (!lender || !f->may_order)
		return;
	if (bw_fleet_member_knows_claims(f->member, BW_CONTROLLER_ROLE))
		bw_quota_lender_read_claims(lender, now_ms, claim_of, f);
	bw_quota_lender_decide(lender, now_ms, send_order, f);
}

static void on_gather(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_fleet_t *f = timer->data;
	int64_t now_ms = bw_clock_now_ms();

	(void)loop;
	(void)revents;
	lend(f, now_ms);
	report_pools(f, now_ms);
}

void fleet_tick_quotas(bw_fleet_t *f, int64_t now_ms)
{
	report_pools(f, now_ms);
	lend(f, now_ms);
	report_pools(f, now_ms);
}

static void add_name(void *ctx, const char *pool)
{
	json_array_append_new(ctx, json_string(pool));
}

json_t *fleet_show_lender(const bw_fleet_t *f)
{
	const bw_quota_lender_t *lender = f->quotas->lender;
	bw_quota_lender_stats_t stats;
	json_t *pools;

	if (!lender)
		return json_null();
	pools = json_array();
	bw_quota_lender_foreach_awaited(lender, add_name, pools);
	bw_quota_lender_stats(lender, &stats);
	return json_pack("{s:b,s:o,s:i,s:I,s:b}", "lends",
			 (int)(stats.pools_awaited == 0), "awaited", pools,
			 "tenants_capped", (int)stats.tenants, "orders",
			 (json_int_t)stats.orders, "superseded",
			 (int)stats.superseded);
}

void fleet_show_lender_gauges(const bw_fleet_t *f, GString *out)
{
	bw_quota_lender_stats_t stats;

	if (!f->quotas->lender)
		return;
	bw_quota_lender_stats(f->quotas->lender, &stats);
	bw_metrics_gauge(out, "bramley_tenants_capped", NULL, stats.tenants);
	bw_metrics_gauge(out, "bramley_lender_pools_awaited", NULL,
			 stats.pools_awaited);
	bw_metrics_gauge(out, "bramley_lender_orders_total", NULL,
			 (double)stats.orders);
}
