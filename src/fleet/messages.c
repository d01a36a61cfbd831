/* What a node tells others: reports, orders, notices and questions. */
#include "fleet/internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"

#define PREDECESSOR_ASK_MS 250
/** Pause between reports of pools to the node that directs machines. */
#define REPORT_MS 100
/** An order of that node ends without a newer one. */
#define ORDER_LAPSES_MS 1500

/** A question to the node that owned a pool before. */
typedef struct predecessor_ask {
	bw_fleet_t *f;
	char *pool;
	int64_t fence;
} predecessor_ask_t;

static void on_predecessor(void *ctx, const bw_fleet_query_answer_t *answer)
{
	predecessor_ask_t *ask = ctx;
	bw_pool_t *pool = g_hash_table_lookup(ask->f->pools, ask->pool);

	if (answer && !answer->holds && pool &&
	    bw_pool_fence(pool) == ask->fence && bw_pool_sched(pool)) {
		bw_event(BW_EVENT_FLEET_PREDECESSOR_STOPPED, "pool=%s",
			 ask->pool);
		bw_sched_predecessor_stopped(bw_pool_sched(pool),
					     bw_clock_now_ms());
	}
	g_free(ask->pool);
	g_free(ask);
}

/* Once the node that owned a pool says that it does not any more, what it
 * granted to workers out of reach runs out in a known time. */
void fleet_ask_predecessors(bw_fleet_t *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms < f->predecessor_ms)
		return;
	f->predecessor_ms = now_ms + PREDECESSOR_ASK_MS;
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_sched_t *sched = bw_pool_sched(value);
		const char *name = bw_pool_name(value);
		const char *node = NULL;
		predecessor_ask_t *ask;
		bw_predecessor_t before =
			bw_fleet_member_predecessor(f->member, name, &node);

		if (!sched || bw_sched_recovered(sched) ||
		    before == BW_PREDECESSOR_UNKNOWN)
			continue;
		if (before == BW_PREDECESSOR_ENDED) {
			bw_sched_predecessor_stopped(sched, now_ms);
			continue;
		}
		ask = g_new0(predecessor_ask_t, 1);
		ask->f = f;
		ask->pool = g_strdup(name);
		ask->fence = bw_pool_fence(value);
		bw_fleet_peers_query(f->inquiry, node, name, NULL, NULL,
				     on_predecessor, ask);
	}
}

static void apply_order(bw_fleet_t *f, const Bramley__PoolOrder *order)
{
	bw_pool_t *pool = g_hash_table_lookup(f->pools, order->pool);
	int64_t *at_ms;

	if (!pool || !bw_pool_sched(pool))
		return;
	at_ms = g_new(int64_t, 1);
	*at_ms = bw_clock_now_ms();
	g_hash_table_replace(f->ordered, g_strdup(order->pool), at_ms);
	if (order->awaits)
		bw_directory_expect_workers(f->directory, bw_clock_now_ms());
	bw_reports_apply_order(bw_pool_sched(pool), order);
	bw_pool_wake(pool);
}

void fleet_send_order(void *ctx, const char *pool, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;
	const char *owner = fleet_owner_of(f, pool);

	if (owner && !strcmp(owner, f->env.settings->name))
		apply_order(f, frame->pool_order);
	else if (owner)
		bw_fleet_peers_send(f->inquiry, owner, frame);
}

static void take_notice(bw_fleet_t *f, const Bramley__JobNotice *notice)
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

/* Tells the owner, whose watch may be late. */
void fleet_on_stored(void *ctx, const char *pool, const char *id,
		     const uint8_t *record, size_t bytes)
{
	bw_fleet_t *f = ctx;
	const char *owner = fleet_owner_of(f, pool);
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
		take_notice(f, &notice);
	else
		bw_fleet_peers_send(f->inquiry, owner, &frame);
}

static void send_report(void *ctx, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;
	const char *node = bw_fleet_member_owner(f->member, BW_CONTROLLER_ROLE);

	if (f->controller)
		bw_controller_record_report(f->controller, bw_clock_now_ms(),
					    frame->pool_report);
	else if (node)
		bw_fleet_peers_send(f->inquiry, node, frame);
}

void fleet_on_frame(void *ctx, const Bramley__Frame *frame)
{
	bw_fleet_t *f = ctx;

	if (frame->body_case == BRAMLEY__FRAME__BODY_JOB_NOTICE)
		take_notice(f, frame->job_notice);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_POOL_ORDER)
		apply_order(f, frame->pool_order);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_POOL_REPORT &&
		 f->controller)
		bw_controller_record_report(f->controller, bw_clock_now_ms(),
					    frame->pool_report);
}

/* Ends what the node that directs machines asked for, if it is silent. */
static void lapse_orders(bw_fleet_t *f, bw_pool_t *pool, int64_t now_ms)
{
	const int64_t *at_ms =
		g_hash_table_lookup(f->ordered, bw_pool_name(pool));

	if (!at_ms || now_ms - *at_ms < ORDER_LAPSES_MS)
		return;
	g_hash_table_remove(f->ordered, bw_pool_name(pool));
	bw_reports_uncordon_all(bw_pool_sched(pool));
}

/* Tells the node that directs machines how the pools stand. */
void fleet_exchange_reports(bw_fleet_t *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms - f->report_ms < REPORT_MS)
		return;
	f->report_ms = now_ms;
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_pool_t *pool = value;

		if (!bw_pool_sched(pool) || !bw_pool_jobs_loaded(pool))
			continue;
		lapse_orders(f, pool, now_ms);
		bw_reports_pack(bw_pool_name(pool),
				(uint64_t)bw_pool_fence(pool),
				bw_pool_sched(pool), now_ms, send_report, f);
	}
}
