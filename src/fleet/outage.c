#include "fleet/outage.h"

#include <glib.h>

/** A report that the store can't be reached is valid for this long. */
#define UNREACHABLE_AGE_MAX_MS 1200
/** The same of one that it can: a node that is not heard any more may have
 *  claimed pools since. Longer than a lease and the grace, so that the orders
 *  have ended for good by then. */
#define REACHABLE_AGE_MAX_MS 4000
/** A node counts for this long after its registration has ended: it may be back
 *  and own pools, unseen by one that the store turns away. */
#define NODE_KEPT_MS 30000

typedef struct report {
	int64_t received_ms;
	bool reachable;
} report_t;

struct bw_outage {
	int64_t grace_ms;
	/** Name of another node to when its registration ended, as int64_t;
	 *  INT64_MAX: it is registered. */
	GHashTable *nodes;
	GHashTable *reports; /**< Peer to report_t. */
	int64_t answered_ms; /**< Last answer of the store to another node. */
	bool over; /**< No orders until the lease is renewed. */
};

bw_outage_t *bw_outage_create(int64_t grace_ms)
{
	bw_outage_t *o = g_new0(bw_outage_t, 1);

	o->grace_ms = grace_ms;
	o->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	return o;
}

void bw_outage_destroy(bw_outage_t *o)
{
	if (!o)
		return;
	g_hash_table_destroy(o->nodes);
	g_hash_table_destroy(o->reports);
	g_free(o);
}

static gboolean is_gone(gpointer name, gpointer ended_ms, gpointer now_ms)
{
	(void)name;
	return *(const int64_t *)now_ms - *(const int64_t *)ended_ms >=
	       NODE_KEPT_MS;
}

void bw_outage_node(bw_outage_t *o, int64_t now_ms, const char *name,
		    bool registered)
{
	int64_t *ended_ms = g_new(int64_t, 1);

	*ended_ms = registered ? INT64_MAX : now_ms;
	g_hash_table_replace(o->nodes, g_strdup(name), ended_ms);
}

/* Returns the number of other nodes that may own pools. */
static uint32_t count_others(bw_outage_t *o, int64_t now_ms)
{
	g_hash_table_foreach_remove(o->nodes, is_gone, &now_ms);
	return g_hash_table_size(o->nodes);
}

void bw_outage_report(bw_outage_t *o, int64_t now_ms,
		      const bw_store_report_t *report)
{
	report_t *known = g_new0(report_t, 1);

	known->received_ms = now_ms;
	known->reachable = report->reachable;
	g_hash_table_replace(o->reports,
			     g_memdup2(&report->peer, sizeof(report->peer)),
			     known);
	o->answered_ms = MAX(o->answered_ms, report->answered_ms);
}

static gboolean is_outdated(gpointer peer, gpointer report, gpointer now_ms)
{
	(void)peer;
	return *(const int64_t *)now_ms - ((report_t *)report)->received_ms >
	       REACHABLE_AGE_MAX_MS;
}

/* Whether more than half of the nodes, this one included, have lately reported
 * that they can't reach the store, and none that it can. A node without others
 * can't tell. */
static bool is_down_for_all(bw_outage_t *o, int64_t now_ms,
			    const bw_outage_view_t *view)
{
	uint32_t others = count_others(o, now_ms);
	uint32_t unreachable = 1;
	GHashTableIter iter;
	gpointer value;

	if (view->store_reachable || others == 0)
		return false;
	g_hash_table_foreach_remove(o->reports, is_outdated, &now_ms);
	g_hash_table_iter_init(&iter, o->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const report_t *report = value;

		if (report->reachable)
			return false;
		if (now_ms - report->received_ms <= UNREACHABLE_AGE_MAX_MS)
			unreachable++;
	}
	return unreachable * 2 > others + 1;
}

bool bw_outage_may_order(bw_outage_t *o, int64_t now_ms,
			 const bw_outage_view_t *view)
{
	bool down;

	if (now_ms < view->lease_end_ms) {
		o->over = false;
		return true;
	}
	down = is_down_for_all(o, now_ms, view);
	if (o->answered_ms > view->lease_end_ms ||
	    (!down && now_ms - view->lease_end_ms >= o->grace_ms))
		o->over = true;
	return down && !o->over;
}
