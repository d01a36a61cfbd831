/* Messages between nodes: reports, orders and notices. */
#include "fleet/internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"

/** Time between reports of pools to the controller. */
#define REPORT_INTERVAL_MS 100
/** The controller's orders for a pool expire without a newer one. */
#define ORDER_TIMEOUT_MS 1500

static void apply_order(bw_fleet_t *f, const Bramley__PoolOrder *order)
{
	bw_pool_t *pool = g_hash_table_lookup(f->pools, order->pool);
	int64_t *ordered_ms;

	if (!pool || !bw_pool_sched(pool))
		return;
	ordered_ms = g_new(int64_t, 1);
	*ordered_ms = bw_clock_now_ms();
	g_hash_table_replace(f->last_orders, g_strdup(order->pool), ordered_ms);
	if (order->awaits)
		bw_directory_expect_workers(f->directory, bw_clock_now_ms());
	bw_reports_apply_order(bw_pool_sched(pool), bw_clock_now_ms(), order);
	bw_pool_wake(pool);
}

void fleet_send_order(void *ctx, const char *pool, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;
	const char *owner = fleet_pool_owner(f, pool);

	if (owner && !strcmp(owner, f->env.settings->name))
		apply_order(f, frame->pool_order);
	else if (owner)
		bw_fleet_peers_send(f->peers, owner, frame);
}

static void apply_notice(bw_fleet_t *f, const Bramley__JobNotice *notice)
{
	bw_pool_t *pool = g_hash_table_lookup(f->pools, notice->pool);

	if (!pool || !bw_job_id_valid(notice->job))
		return;
	if (notice->cancelled)
		bw_pool_cancel_job(pool, notice->job);
	else
		bw_pool_add_job(pool, notice->job, notice->record.data,
				notice->record.len);
}

void fleet_notify_owner(void *ctx, const char *pool, const char *id,
			const uint8_t *record, size_t bytes)
{
	bw_fleet_t *f = ctx;
	const char *owner = fleet_pool_owner(f, pool);
	Bramley__JobNotice notice = BRAMLEY__JOB_NOTICE__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	if (!owner)
		return;
	notice.pool = (char *)pool;
	notice.job = (char *)id;
	notice.record.data = (uint8_t *)record;
	notice.record.len = bytes;
	notice.cancelled = record == NULL;
	frame.body_case = BRAMLEY__FRAME__BODY_JOB_NOTICE;
	frame.job_notice = &notice;
	if (!strcmp(owner, f->env.settings->name))
		apply_notice(f, &notice);
	else
		bw_fleet_peers_send(f->peers, owner, &frame);
}

static void send_report(void *ctx, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;
	const char *node = bw_fleet_member_owner(f->member, BW_CONTROLLER_ROLE);

	if (f->controller)
		bw_controller_record_report(f->controller, bw_clock_now_ms(),
					    frame->pool_report);
	else if (node)
		bw_fleet_peers_send(f->peers, node, frame);
}

static void add_machine(void *ctx, const char *machine)
{
	g_ptr_array_add(ctx, (char *)machine);
}

void fleet_release_controller(bw_fleet_t *f, int64_t now_ms)
{
	GPtrArray *machines;
	Bramley__RoleReleased released = BRAMLEY__ROLE_RELEASED__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	if (f->released_claim == 0 ||
	    (f->machine_calls &&
	     !bw_machine_calls_settled(f->machine_calls, now_ms)))
		return;
	machines = g_ptr_array_new();
	if (f->machine_calls)
		bw_machine_calls_recent(f->machine_calls, now_ms,
					f->env.settings->holder_ms, add_machine,
					machines);
	released.machines = (char **)machines->pdata;
	released.n_machines = machines->len;
	released.role = (char *)BW_CONTROLLER_ROLE;
	released.node = f->env.settings->name;
	released.revision = f->released_claim;
	frame.body_case = BRAMLEY__FRAME__BODY_ROLE_RELEASED;
	frame.role_released = &released;
	bw_fleet_peers_broadcast(f->peers, &frame);
	f->released_claim = 0;
	g_ptr_array_free(machines, TRUE);
}

static void apply_released(bw_fleet_t *f, const Bramley__RoleReleased *released)
{
	bw_earlier_owner_t owner = { released->role, released->node,
				     released->revision };
	int64_t until_ms = bw_clock_now_ms() + f->env.settings->holder_ms;
	size_t i;

	if (strcmp(released->role, BW_CONTROLLER_ROLE) != 0)
		return;
	for (i = 0; f->machine_calls && i < released->n_machines; i++)
		bw_machine_calls_hold(f->machine_calls, released->machines[i],
				      until_ms);
	bw_fleet_member_owner_stopped(f->member, &owner);
}

void fleet_on_frame(void *ctx, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;

	if (frame->body_case == BRAMLEY__FRAME__BODY_JOB_NOTICE)
		apply_notice(f, frame->job_notice);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_POOL_ORDER)
		apply_order(f, frame->pool_order);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_POOL_REPORT &&
		 f->controller)
		bw_controller_record_report(f->controller, bw_clock_now_ms(),
					    frame->pool_report);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_ROLE_RELEASED)
		apply_released(f, frame->role_released);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_QUOTA_REPORT)
		fleet_take_quota_report(f, frame->quota_report);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_QUOTA_ORDER)
		fleet_take_quota_order(f, frame->quota_order);
}

/* Withdraws the controller's orders for a pool if no newer ones came. */
static void expire_orders(bw_fleet_t *f, bw_pool_t *pool, int64_t now_ms)
{
	const int64_t *ordered_ms =
		g_hash_table_lookup(f->last_orders, bw_pool_name(pool));

	if (!ordered_ms || now_ms - *ordered_ms < ORDER_TIMEOUT_MS)
		return;
	g_hash_table_remove(f->last_orders, bw_pool_name(pool));
	bw_reports_uncordon_all(bw_pool_sched(pool));
}

void fleet_send_reports(bw_fleet_t *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms - f->last_report_ms < REPORT_INTERVAL_MS)
		return;
	f->last_report_ms = now_ms;
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_pool_t *pool = value;

		if (!bw_pool_sched(pool) || !bw_pool_jobs_loaded(pool))
			continue;
		expire_orders(f, pool, now_ms);
		bw_reports_pack(bw_pool_name(pool),
				(uint64_t)bw_pool_fence(pool),
				bw_pool_sched(pool), now_ms, send_report, f);
	}
}
