/* Tenants for operators: what each holds and wants of this node's pools. */
#include "fleet/internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/metrics.h"

/** Size of the labels of a gauge: the names of a pool and of a tenant, of up to
 *  200 bytes each. */
#define LABEL_BYTES 512
/** Tenants in the metrics of a pool, those that hold or want most. */
#define GAUGES_MAX 20

/** Tenants of a pool that are being listed. */
typedef struct listing {
	const char *pool;
	GHashTable *rows; /**< Tenant to JSON array of its pools. */
	GArray *uses; /**< bw_tenant_use_t. */
} listing_t;

static void show_resources(json_t *row, const char *name,
			   const bw_resources_t *amount)
{
	json_object_set_new(row, name,
			    json_pack("{s:I,s:I,s:I}", "cpu_millis",
				      (json_int_t)amount->cpu_millis, "mem_mb",
				      (json_int_t)amount->mem_mb, "gpus",
				      (json_int_t)amount->gpus));
}

static json_t *show_use(const char *pool, const bw_tenant_use_t *use)
{
	json_t *row = json_pack("{s:s,s:i}", "pool", pool, "jobs_waiting",
				(int)use->jobs_waiting);

	show_resources(row, "held", &use->held);
	show_resources(row, "wanted", &use->wanted);
	show_resources(row, "largest", &use->largest);
	if (use->has_quota)
		show_resources(row, "quota", &use->quota);
	return row;
}

static json_t *pools_of(GHashTable *rows, const char *tenant)
{
	json_t *pools = g_hash_table_lookup(rows, tenant);

	if (pools)
		return pools;
	pools = json_array();
	g_hash_table_replace(rows, g_strdup(tenant), pools);
	return pools;
}

static void list_use(void *ctx, const bw_tenant_use_t *use)
{
	listing_t *listing = ctx;

	json_array_append_new(pools_of(listing->rows, use->name),
			      show_use(listing->pool, use));
}

static void list_pools(bw_fleet_t *f, GHashTable *rows)
{
	listing_t listing = { .rows = rows };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_pool_t *pool = value;

		if (!bw_pool_sched(pool))
			continue;
		listing.pool = bw_pool_name(pool);
		bw_sched_tenant_uses(bw_pool_sched(pool), bw_clock_now_ms(),
				     list_use, &listing);
	}
}

static json_t *show_tenant(GHashTable *rows, const bw_tenant_t *tenant)
{
	json_t *row = json_pack("{s:s,s:f,s:O}", "tenant", tenant->name,
				"weight", tenant->terms.weight, "pools",
				pools_of(rows, tenant->name));

	show_resources(row, "cap", &tenant->terms.cap);
	return row;
}

json_t *fleet_show_tenants(void *ctx)
{
	bw_fleet_t *f = ctx;
	GHashTable *rows = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	json_t *list = json_array();
	uint32_t i;

	list_pools(f, rows);
	for (i = 0; f->config && i < f->config->tenant_count; i++)
		json_array_append_new(
			list, show_tenant(rows, &f->config->tenants[i]));
	g_hash_table_destroy(rows);
	return json_pack("{s:s?,s:o?,s:o}", "lent_by",
			 bw_fleet_member_owner(f->member, BW_CONTROLLER_ROLE),
			 "lender", fleet_show_lender(f), "tenants", list);
}

static void collect_use(void *ctx, const bw_tenant_use_t *use)
{
	g_array_append_val(((listing_t *)ctx)->uses, *use);
}

static gint compare_uses(gconstpointer a, gconstpointer b)
{
	const bw_tenant_use_t *x = a;
	const bw_tenant_use_t *y = b;
	int64_t left = x->held.cpu_millis + x->wanted.cpu_millis;
	int64_t right = y->held.cpu_millis + y->wanted.cpu_millis;

	if (left != right)
		return left > right ? -1 : 1;
	return strcmp(x->name, y->name);
}

static void show_use_gauges(const char *pool, const bw_tenant_use_t *use,
			    GString *out)
{
	char label[LABEL_BYTES];
	char *name = g_strdup(use->name);

	g_strdelimit(name, "\"\\\n", '_');
	g_snprintf(label, sizeof(label), "pool=\"%s\",tenant=\"%s\"", pool,
		   name);
	g_free(name);
	bw_metrics_gauge(out, "bramley_tenant_cpu_millis_held", label,
			 (double)use->held.cpu_millis);
	bw_metrics_gauge(out, "bramley_tenant_cpu_millis_wanted", label,
			 (double)use->wanted.cpu_millis);
	bw_metrics_gauge(out, "bramley_tenant_jobs_waiting", label,
			 use->jobs_waiting);
	if (use->has_quota)
		bw_metrics_gauge(out, "bramley_tenant_cpu_millis_quota", label,
				 (double)use->quota.cpu_millis);
}

void fleet_show_tenant_gauges(bw_fleet_t *f, bw_pool_t *pool, GString *out)
{
	listing_t listing = { .pool = bw_pool_name(pool) };
	guint i;

	if (!f->config || f->config->tenant_count == 0)
		return;
	listing.uses = g_array_new(FALSE, FALSE, sizeof(bw_tenant_use_t));
	bw_sched_tenant_uses(bw_pool_sched(pool), bw_clock_now_ms(),
			     collect_use, &listing);
	g_array_sort(listing.uses, compare_uses);
	for (i = 0; i < MIN(listing.uses->len, GAUGES_MAX); i++)
		show_use_gauges(
			listing.pool,
			&g_array_index(listing.uses, bw_tenant_use_t, i), out);
	g_array_free(listing.uses, TRUE);
}
