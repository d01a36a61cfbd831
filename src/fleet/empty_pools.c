#include "fleet/empty_pools.h"

#include <string.h>

#include <glib.h>

/** Nodes that have not read the configuration yet accept a queue's jobs in its
 *  earlier pool; after this time none does. */
#define SETTLE_MS 10000

typedef struct queue_pools {
	char *pool; /**< The queue's present one. */
	int64_t since_ms; /**< When it became known. */
	GHashTable *empty; /**< Names of pools that had none of its jobs. */
	bool configured; /**< The configuration has the queue. */
} queue_pools_t;

struct bw_empty_pools {
	GHashTable *queues; /**< Name to queue_pools_t. */
};

static void queue_pools_free(gpointer data)
{
	queue_pools_t *queue = data;

	g_hash_table_destroy(queue->empty);
	g_free(queue->pool);
	g_free(queue);
}

bw_empty_pools_t *bw_empty_pools_create(void)
{
	bw_empty_pools_t *e = g_new0(bw_empty_pools_t, 1);

	e->queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  queue_pools_free);
	return e;
}

void bw_empty_pools_destroy(bw_empty_pools_t *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->queues);
	g_free(e);
}

static queue_pools_t *queue_pools_new(const char *pool, int64_t now_ms)
{
	queue_pools_t *queue = g_new0(queue_pools_t, 1);

	queue->pool = g_strdup(pool);
	queue->since_ms = now_ms;
	queue->empty =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return queue;
}

static void configure_queue(bw_empty_pools_t *e, int64_t now_ms,
			    const bw_queue_t *config)
{
	queue_pools_t *queue = g_hash_table_lookup(e->queues, config->name);

	if (!queue || g_strcmp0(queue->pool, config->pool) != 0) {
		queue = queue_pools_new(config->pool, now_ms);
		g_hash_table_replace(e->queues, g_strdup(config->name), queue);
	}
	queue->configured = true;
}

static gboolean forget_unless_configured(gpointer name, gpointer value,
					 gpointer ctx)
{
	queue_pools_t *queue = value;
	bool configured = queue->configured;

	(void)name;
	(void)ctx;
	queue->configured = false;
	return !configured;
}

void bw_empty_pools_configure(bw_empty_pools_t *e, int64_t now_ms,
			      const bw_fleet_config_t *config)
{
	uint32_t i;

	for (i = 0; i < config->queue_count; i++)
		configure_queue(e, now_ms, &config->queues[i]);
	g_hash_table_foreach_remove(e->queues, forget_unless_configured, NULL);
}

void bw_empty_pools_note(bw_empty_pools_t *e, int64_t now_ms, const char *queue,
			 const char *pool, uint32_t waiting)
{
	queue_pools_t *known = g_hash_table_lookup(e->queues, queue);

	if (!known || !strcmp(known->pool, pool))
		return;
	if (waiting > 0)
		g_hash_table_remove(known->empty, pool);
	else if (now_ms - known->since_ms >= SETTLE_MS &&
		 !g_hash_table_contains(known->empty, pool))
		g_hash_table_add(known->empty, g_strdup(pool));
}

bool bw_empty_pools_is_empty(const bw_empty_pools_t *e, const char *queue,
			     const char *pool)
{
	const queue_pools_t *known = g_hash_table_lookup(e->queues, queue);

	return known && g_hash_table_contains(known->empty, pool);
}
