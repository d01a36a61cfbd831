#include "fleet/quota_client.h"

#include <string.h>

#include <glib.h>

/** Time between reports if nothing changes. */
#define REPORT_INTERVAL_MS 300
/** Least time between reports, and between reports that go on asking for more.
 */
#define ASK_INTERVAL_MS	      40
#define ASK_AGAIN_INTERVAL_MS 140
/** A report is sent 1 ms later for so many tenants in the last one, which
 *  bounds the bytes a second on slow links. */
#define TENANTS_PER_MS 10
/** A tenant that neither holds nor wants anything keeps its quota so long. */
#define IDLE_MS 30000

struct bw_quota_client {
	char *pool;
	uint64_t fence;
	bw_quota_client_ops_t ops;
	void *ctx;
	uint64_t lender; /**< Fence of the lender that it obeys. */
	uint64_t number; /**< Of that one's last order that was applied. */
	GHashTable *idle; /**< Tenants with a quota: idle since, in ms. */
	int64_t reported_ms;
	int64_t looked_ms; /**< When the scheduler was asked for the uses. */
	uint32_t reported; /**< Tenants in the last report. */
	bool asked; /**< The last report asked for more. */
	bool applied; /**< An order was applied since the last report. */
};

/** A report that is being written. */
typedef struct draft {
	bw_quota_client_t *c;
	int64_t now_ms;
	GArray *uses; /**< bw_tenant_use_t. */
	GPtrArray *dropped; /**< Names of tenants. */
	bool asks; /**< A tenant wants more than its quota. */
} draft_t;

/** Room for a tenant's part of a report. */
typedef struct packed_use {
	Bramley__TenantUse use;
	Bramley__Resources held;
	Bramley__Resources wanted;
	Bramley__Resources largest;
	Bramley__Resources quota;
} packed_use_t;

bw_quota_client_t *bw_quota_client_create(const char *pool, uint64_t fence,
					  const bw_quota_client_ops_t *ops,
					  void *ctx)
{
	bw_quota_client_t *c = g_new0(bw_quota_client_t, 1);

	c->pool = g_strdup(pool);
	c->fence = fence;
	c->ops = *ops;
	c->ctx = ctx;
	c->idle =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void bw_quota_client_destroy(bw_quota_client_t *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->idle);
	g_free(c->pool);
	g_free(c);
}

uint64_t bw_quota_client_fence(const bw_quota_client_t *c)
{
	return c->fence;
}

void bw_quota_client_lender(bw_quota_client_t *c, uint64_t fence)
{
	if (fence <= c->lender)
		return;
	c->lender = fence;
	c->number = 0;
	c->applied = true;
}

static bw_resources_t unpack_quota(const Bramley__Resources *from)
{
	bw_resources_t out = { 0 };

	if (!from)
		return out;
	out.cpu_millis = MAX(from->cpu_millis, 0);
	out.mem_mb = MAX(from->mem_mb, 0);
	out.gpus = MAX(from->gpus, 0);
	return out;
}

bw_quota_result_t bw_quota_client_apply(bw_quota_client_t *c,
					const Bramley__QuotaOrder *order)
{
	size_t i;

	if (order->fence != c->fence)
		return BW_QUOTA_OTHER_OWNER;
	if (order->lender < c->lender)
		return BW_QUOTA_OLD_LENDER;
	bw_quota_client_lender(c, order->lender);
	if (order->number <= c->number)
		return BW_QUOTA_OLD_ORDER;
	c->number = order->number;
	c->applied = true;
	for (i = 0; i < order->n_tenants; i++) {
		const Bramley__TenantQuota *tenant = order->tenants[i];
		bw_resources_t quota = unpack_quota(tenant->quota);

		c->ops.set_quota(c->ctx, tenant->tenant, &quota);
	}
	return BW_QUOTA_APPLIED;
}

static bool is_zero(const bw_resources_t *amount)
{
	return amount->cpu_millis == 0 && amount->mem_mb == 0 &&
	       amount->gpus == 0;
}

static bool exceeds(int64_t held, int64_t wanted, int64_t quota)
{
	return wanted > 0 && held + wanted > quota;
}

static bool wants_more(const bw_tenant_use_t *use)
{
	const bw_resources_t *held = &use->held;
	const bw_resources_t *wanted = &use->wanted;

	return exceeds(held->cpu_millis, wanted->cpu_millis,
		       use->quota.cpu_millis) ||
	       exceeds(held->mem_mb, wanted->mem_mb, use->quota.mem_mb) ||
	       exceeds(held->gpus, wanted->gpus, use->quota.gpus);
}

/* Whether a tenant's quota has been of no use for so long that it is dropped.
 */
static bool is_forgotten(draft_t *draft, const bw_tenant_use_t *use)
{
	GHashTable *idle = draft->c->idle;
	const int64_t *since_ms = g_hash_table_lookup(idle, use->name);

	if (!is_zero(&use->held) || !is_zero(&use->wanted)) {
		if (since_ms)
			g_hash_table_remove(idle, use->name);
		return false;
	}
	if (since_ms)
		return draft->now_ms - *since_ms >= IDLE_MS;
	g_hash_table_replace(idle, g_strdup(use->name),
			     g_memdup2(&draft->now_ms, sizeof(draft->now_ms)));
	return false;
}

static void add_use(void *arg, const bw_tenant_use_t *use)
{
	draft_t *draft = arg;
	bw_tenant_use_t copy = *use;

	if (!use->has_quota)
		memset(&copy.quota, 0, sizeof(copy.quota));
	/* A tenant without anything is left out, which says the same. */
	if (is_zero(&copy.quota) && is_zero(&use->held) &&
	    is_zero(&use->wanted)) {
		g_hash_table_remove(draft->c->idle, use->name);
		return;
	}
	if (is_forgotten(draft, &copy)) {
		g_ptr_array_add(draft->dropped, g_strdup(use->name));
		return;
	}
	g_array_append_val(draft->uses, copy);
	if (!draft->asks && wants_more(&copy))
		draft->asks = draft->c->ops.capped(draft->c->ctx, use->name);
}

static void pack_resources(const bw_resources_t *from, Bramley__Resources *out)
{
	bramley__resources__init(out);
	out->cpu_millis = from->cpu_millis;
	out->mem_mb = from->mem_mb;
	out->gpus = from->gpus;
}

static void pack_use(const bw_tenant_use_t *from, packed_use_t *out)
{
	bramley__tenant_use__init(&out->use);
	out->use.tenant = (char *)from->name;
	pack_resources(&from->held, &out->held);
	pack_resources(&from->wanted, &out->wanted);
	pack_resources(&from->largest, &out->largest);
	pack_resources(&from->quota, &out->quota);
	out->use.held = &out->held;
	out->use.wanted = &out->wanted;
	out->use.largest = &out->largest;
	out->use.quota = from->has_quota ? &out->quota : NULL;
}

static void send_report(const draft_t *draft,
			void (*send)(void *ctx, const Bramley__Frame *frame),
			void *ctx)
{
	Bramley__QuotaReport report = BRAMLEY__QUOTA_REPORT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	guint count = draft->uses->len;
	packed_use_t *uses = g_new0(packed_use_t, count);
	Bramley__TenantUse **list = g_new0(Bramley__TenantUse *, count);
	guint i;

	for (i = 0; i < count; i++) {
		pack_use(&g_array_index(draft->uses, bw_tenant_use_t, i),
			 &uses[i]);
		list[i] = &uses[i].use;
	}
	report.pool = draft->c->pool;
	report.fence = draft->c->fence;
	report.lender = draft->c->lender;
	report.number = draft->c->number;
	report.n_tenants = count;
	report.tenants = list;
	frame.body_case = BRAMLEY__FRAME__BODY_QUOTA_REPORT;
	frame.quota_report = &report;
	send(ctx, &frame);
	g_free(list);
	g_free(uses);
}

/* An owner may always lower a quota; the report shows it. */
static void drop_quotas(bw_quota_client_t *c, const GPtrArray *tenants)
{
	bw_resources_t none = { 0 };
	guint i;

	for (i = 0; i < tenants->len; i++) {
		const char *tenant = g_ptr_array_index(tenants, i);

		c->ops.set_quota(c->ctx, tenant, &none);
		g_hash_table_remove(c->idle, tenant);
	}
}

static bool is_due(const draft_t *draft)
{
	const bw_quota_client_t *c = draft->c;
	int64_t age_ms = draft->now_ms - c->reported_ms;
	int64_t more_ms = c->reported / TENANTS_PER_MS;
	int64_t ask_ms = c->asked ? ASK_AGAIN_INTERVAL_MS : ASK_INTERVAL_MS;

	return c->applied || age_ms >= REPORT_INTERVAL_MS + more_ms ||
	       (draft->asks && age_ms >= ask_ms + more_ms);
}

void bw_quota_client_tick(bw_quota_client_t *c, int64_t now_ms,
			  void (*send)(void *ctx, const Bramley__Frame *frame),
			  void *ctx)
{
	draft_t draft = { .c = c, .now_ms = now_ms };

	if (!c->applied && now_ms - c->looked_ms < ASK_INTERVAL_MS)
		return;
	c->looked_ms = now_ms;
	draft.uses = g_array_new(FALSE, FALSE, sizeof(bw_tenant_use_t));
	draft.dropped = g_ptr_array_new_with_free_func(g_free);
	c->ops.uses(c->ctx, now_ms, add_use, &draft);
	drop_quotas(c, draft.dropped);
	if (is_due(&draft)) {
		c->reported_ms = now_ms;
		c->reported = draft.uses->len;
		c->applied = false;
		c->asked = draft.asks;
		send_report(&draft, send, ctx);
	}
	g_array_free(draft.uses, TRUE);
	g_ptr_array_free(draft.dropped, TRUE);
}
