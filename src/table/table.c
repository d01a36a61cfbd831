#include "table/table.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

const char *const bw_class_names[BW_CLASS_COUNT] = {
	[BW_CLASS_URGENT] = "urgent",
	[BW_CLASS_DEFERRABLE] = "deferrable",
};

const char *const bw_once_rule_names[BW_ONCE_RULE_COUNT] = {
	[BW_ONCE_RULE_UNSAFE] = "unsafe",
	[BW_ONCE_RULE_ALL] = "all",
	[BW_ONCE_RULE_NONE] = "none",
};

const char *const bw_worker_state_names[BW_WORKER_STATE_COUNT] = {
	[BW_WORKER_SERVING] = "serving",
	[BW_WORKER_LEAVING] = "leaving",
};

/* Safe methods of RFC 9110, section 9.2.1. */
static const char *const safe_methods[] = { "GET", "HEAD", "OPTIONS", "TRACE" };

bw_table_t *bw_table_create(uint32_t service_count, uint32_t pool_count)
{
	bw_table_t *t = g_new0(bw_table_t, 1);

	t->service_count = service_count;
	t->pool_count = pool_count;
	t->services = g_new0(bw_service_t, service_count);
	t->pools = g_new0(bw_pool_t, pool_count);
	t->cells = g_new0(bw_cell_t, (size_t)service_count * pool_count);
	return t;
}

void bw_table_destroy(bw_table_t *t)
{
	uint32_t i;

	if (!t)
		return;
	for (i = 0; i < t->pool_count; i++)
		g_free(t->pools[i].name);
	for (i = 0; i < t->service_count; i++) {
		g_free(t->services[i].name);
		g_free(t->services[i].prefix);
	}
	g_free(t->edit);
	g_free(t->pools);
	g_free(t->services);
	g_free(t->cells);
	g_free(t);
}

uint32_t bw_table_pool_index(const bw_table_t *t, const char *name)
{
	uint32_t i;

	for (i = 0; i < t->pool_count; i++)
		if (!g_strcmp0(t->pools[i].name, name))
			return i;
	return UINT32_MAX;
}

uint32_t bw_table_service_index(const bw_table_t *t, const char *name)
{
	uint32_t i;

	for (i = 0; i < t->service_count; i++)
		if (!g_strcmp0(t->services[i].name, name))
			return i;
	return UINT32_MAX;
}

uint32_t bw_table_service_for_path(const bw_table_t *t, const char *path)
{
	uint32_t best = UINT32_MAX;
	size_t best_length = 0;
	uint32_t i;

	for (i = 0; i < t->service_count; i++) {
		size_t length = strlen(t->services[i].prefix);

		if (length <= best_length)
			continue;
		if (strncmp(path, t->services[i].prefix, length) != 0)
			continue;
		best = i;
		best_length = length;
	}
	return best;
}

bool bw_service_runs_once(const bw_service_t *service, const char *method)
{
	size_t i;

	if (service->once != BW_ONCE_RULE_UNSAFE)
		return service->once == BW_ONCE_RULE_ALL;
	for (i = 0; i < G_N_ELEMENTS(safe_methods); i++)
		if (!strcmp(method, safe_methods[i]))
			return false;
	return true;
}

uint32_t bw_worker_part(const char *name)
{
	return (uint32_t)(XXH3_64bits(name, strlen(name)) % BW_WORKER_PARTS);
}

bw_workers_t *bw_workers_select_part(const bw_workers_t *w, uint32_t part)
{
	bw_workers_t *out = g_new0(bw_workers_t, 1);
	uint32_t i;

	out->items = g_new0(bw_worker_t, w->count + 1);
	for (i = 0; i < w->count; i++) {
		bw_worker_t *to = &out->items[out->count];

		if (bw_worker_part(w->items[i].name) != part)
			continue;
		*to = w->items[i];
		to->name = g_strdup(to->name);
		to->address = g_strdup(to->address);
		to->zone = g_strdup(to->zone);
		to->rack = g_strdup(to->rack);
		to->pool = g_strdup(to->pool);
		out->count++;
	}
	return out;
}

void bw_workers_destroy(bw_workers_t *w)
{
	uint32_t i;

	if (!w)
		return;
	for (i = 0; i < w->count; i++) {
		g_free(w->items[i].name);
		g_free(w->items[i].address);
		g_free(w->items[i].zone);
		g_free(w->items[i].rack);
		g_free(w->items[i].pool);
	}
	g_free(w->items);
	g_free(w);
}
