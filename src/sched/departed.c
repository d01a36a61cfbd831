/*
 * Workers that left and were forgotten. Orders to one are carried out for a
 * while yet, by its next boot if it starts again under its identifier: that
 * boot is met as one of a worker that restarted, not as that of a new one.
 */
#include "sched/internal.h"

#include <string.h>

/** What has to be known of such a worker until its orders are over. */
typedef struct departed {
	int64_t boot_ms; /**< Start of its last known boot; 0: not known. */
	bool loaded; /**< Only an earlier owner has sent it orders. */
	uint64_t fence; /**< Fencing token of the orders to it. */
	int64_t until_ms; /**< No order to it is carried out later. */
	int64_t lost_ack_boot_ms; /**< As in worker_t. */
	int64_t lost_ack_until_ms;
} departed_t;

void sched_departed_init(bw_sched_t *s)
{
	s->departed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sched_departed_clear(bw_sched_t *s)
{
	g_hash_table_destroy(s->departed);
}

void sched_departed_note(bw_sched_t *s, const worker_t *worker, int64_t now_ms)
{
	departed_t *departed = g_new0(departed_t, 1);

	departed->boot_ms = sched_worker_boot_ms(worker);
	departed->fence = worker->fence;
	departed->until_ms = now_ms + ORDER_DELAY_MAX_MS;
	departed->lost_ack_boot_ms = worker->lost_ack_boot_ms;
	departed->lost_ack_until_ms = worker->lost_ack_until_ms;
	g_hash_table_replace(s->departed, g_strdup(worker->id), departed);
}

void sched_departed_return(bw_sched_t *s, worker_t *worker, int64_t started_ms,
			   int64_t now_ms)
{
	const departed_t *departed =
		g_hash_table_lookup(s->departed, worker->id);

	if (!departed)
		return;
	if (now_ms < departed->until_ms) {
		if (departed->loaded)
			worker->stored_boot_ms = departed->boot_ms;
		else
			worker->started_ms = departed->boot_ms;
		worker->fence = departed->fence;
		worker->lost_ack_boot_ms = departed->lost_ack_boot_ms;
		worker->lost_ack_until_ms = departed->lost_ack_until_ms;
		/* A later boot than the known one shows by its start. */
		if (departed->boot_ms == 0 || started_ms == 0)
			sched_refuse_earlier_orders(s, worker, now_ms);
	}
	g_hash_table_remove(s->departed, worker->id);
}

void sched_departed_load(bw_sched_t *s, const char *worker, int64_t boot_ms,
			 int64_t now_ms)
{
	departed_t *departed = g_new0(departed_t, 1);

	departed->boot_ms = boot_ms;
	departed->loaded = true;
	departed->fence = s->config.fence;
	departed->until_ms = now_ms + ORDER_DELAY_MAX_MS;
	g_hash_table_replace(s->departed, g_strdup(worker), departed);
}

void sched_departed_each(const bw_sched_t *s,
			 void (*fn)(void *ctx, const char *worker,
				    int64_t boot_ms),
			 void *ctx)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, s->departed);
	while (g_hash_table_iter_next(&iter, &id, &value))
		fn(ctx, id, ((const departed_t *)value)->boot_ms);
}

void sched_departed_forget(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->departed);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now_ms >= ((const departed_t *)value)->until_ms)
			g_hash_table_iter_remove(&iter);
}
