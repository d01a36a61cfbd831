/* Puts a table and a worker list in force while requests run. */
#include <string.h>

#include "place/internal.h"

static uint32_t ensure_pool(bw_place_t *p, const char *name);
static uint32_t ensure_service(bw_place_t *p, const char *name);
static void configure_pools(bw_place_t *p, const bw_table_t *table);
static void configure_services(bw_place_t *p, const bw_table_t *table,
			       int64_t now_us);
static void configure_routes(bw_place_t *p, place_service_t *s,
			     const bw_table_t *table, uint32_t row);
static void configure_workers(bw_place_t *p, const bw_workers_t *workers);
static void take_worker(bw_place_t *p, const bw_worker_t *spec);
static uint32_t ensure_worker(bw_place_t *p, const bw_worker_t *spec);
static void detach(bw_place_t *p, uint32_t worker);
static void refuse_waiting(bw_place_t *p, place_service_t *s);
static void forget_unused(bw_place_t *p);
static void replace_text(char **field, const char *text);

static void replace_text(char **field, const char *text)
{
	if (!g_strcmp0(*field, text))
		return;
	g_free(*field);
	*field = g_strdup(text);
}

static uint32_t ensure_pool(bw_place_t *p, const char *name)
{
	uint64_t id = bw_name_id(name);
	place_pool_t *pool;
	uint32_t d;
	uint32_t i;

	for (i = 0; i < p->pools->len; i++)
		if (pool_at(p, i)->id == id)
			return i;
	pool = g_new0(place_pool_t, 1);
	pool->name = g_strdup(name);
	pool->id = id;
	for (d = 0; d < DISTANCE_COUNT; d++)
		pool->open[d] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	pool->members = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	pool->users = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	pool->wants = g_array_new(FALSE, FALSE, sizeof(want_t));
	g_ptr_array_add(p->pools, pool);
	return p->pools->len - 1;
}

static uint32_t ensure_service(bw_place_t *p, const char *name)
{
	place_service_t *s;
	uint32_t i;

	for (i = 0; i < p->services->len; i++)
		if (!strcmp(service_at(p, i)->name, name))
			return i;
	s = g_new0(place_service_t, 1);
	s->name = g_strdup(name);
	s->id = bw_name_id(name);
	s->routes = g_array_new(FALSE, FALSE, sizeof(route_t));
	s->queue = g_sequence_new(NULL);
	bw_retry_init(&s->budget);
	g_ptr_array_add(p->services, s);
	return p->services->len - 1;
}

static void configure_pools(bw_place_t *p, const bw_table_t *table)
{
	uint32_t i;

	for (i = 0; i < p->pools->len; i++) {
		pool_at(p, i)->present = false;
		g_array_set_size(pool_at(p, i)->users, 0);
		g_array_set_size(pool_at(p, i)->members, 0);
	}
	for (i = 0; i < table->pool_count; i++)
		pool_at(p, ensure_pool(p, table->pools[i].name))->present =
			true;
}

static void refuse_waiting(bw_place_t *p, place_service_t *s)
{
	bw_place_request_t *r;

	while ((r = place_queue_head(s)) != NULL) {
		place_queue_remove(p, r);
		place_refuse(p, r, BW_REFUSE_NO_SERVICE, 0);
	}
}

static void configure_routes(bw_place_t *p, place_service_t *s,
			     const bw_table_t *table, uint32_t row)
{
	GArray *old = s->routes;
	uint32_t service = ensure_service(p, s->name);
	uint32_t i;

	s->routes = g_array_new(FALSE, FALSE, sizeof(route_t));
	for (i = 0; i < table->pool_count; i++) {
		const bw_cell_t *cell = bw_table_cell(table, row, i);
		route_t route = { .pool = ensure_pool(p, table->pools[i].name),
				  .weight = cell->weight,
				  .spill = cell->spill,
				  .limit = cell->limit };
		uint32_t k;

		for (k = 0; k < old->len; k++) {
			const route_t *before = &g_array_index(old, route_t, k);

			if (before->pool != route.pool)
				continue;
			route.running = before->running;
			route.limit_share = before->limit_share;
			route.was_owed = before->was_owed;
		}
		/* A route with running requests stays known until they end. */
		if (route.weight == 0 && route.spill == 0 && route.running == 0)
			continue;
		g_array_append_val(s->routes, route);
		if (route.weight > 0 || route.spill > 0)
			g_array_append_val(pool_at(p, route.pool)->users,
					   service);
	}
	g_array_free(old, TRUE);
}

static void configure_services(bw_place_t *p, const bw_table_t *table,
			       int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < p->services->len; i++)
		service_at(p, i)->present = false;
	for (i = 0; i < table->service_count; i++) {
		const bw_service_t *spec = &table->services[i];
		place_service_t *s =
			service_at(p, ensure_service(p, spec->name));

		s->present = true;
		s->spec = *spec;
		s->spec.name = NULL;
		s->spec.prefix = NULL;
		if (s->window_start_us == 0)
			s->window_start_us = now_us;
		configure_routes(p, s, table, i);
	}
	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		if (s->present)
			continue;
		refuse_waiting(p, s);
		if (s->running == 0)
			g_array_set_size(s->routes, 0);
	}
}

static void detach(bw_place_t *p, uint32_t worker)
{
	place_worker_t *w = worker_at(p, worker);

	w->present = false;
	place_refresh(p, worker);
}

static uint32_t ensure_worker(bw_place_t *p, const bw_worker_t *spec)
{
	uint64_t id = bw_name_id(spec->name);
	gpointer found = g_hash_table_lookup(p->worker_index, &id);
	place_worker_t *w;
	uint32_t i;

	if (found)
		return GPOINTER_TO_UINT(found) - 1;
	for (i = 0; i < p->workers->len; i++)
		if (!worker_at(p, i))
			break;
	if (i == p->workers->len)
		g_ptr_array_add(p->workers, NULL);
	w = g_new0(place_worker_t, 1);
	w->id = id;
	w->name = g_strdup(spec->name);
	w->pool = ensure_pool(p, spec->pool);
	p->workers->pdata[i] = w;
	g_hash_table_insert(p->worker_index, &w->id, GUINT_TO_POINTER(i + 1));
	return i;
}

static void take_worker(bw_place_t *p, const bw_worker_t *spec)
{
	uint32_t worker = ensure_worker(p, spec);
	place_worker_t *w = worker_at(p, worker);
	uint32_t pool = ensure_pool(p, spec->pool);
	bool was_ejected = w->health.state == BW_HEALTH_EJECTED;

	/* Off the open list first, since the list depends on pool and zone. */
	detach(p, worker);
	if (w->pool != pool || g_strcmp0(w->address, spec->address))
		memset(&w->health, 0, sizeof(w->health));
	if (was_ejected && w->health.state != BW_HEALTH_EJECTED)
		pool_at(p, w->pool)->ejected--;
	w->pool = pool;
	replace_text(&w->address, spec->address);
	replace_text(&w->zone, spec->zone);
	replace_text(&w->rack, spec->rack);
	w->near = !g_strcmp0(w->zone, p->zone);
	w->slots = spec->slots;
	w->connections = bw_share_connections(spec->connections);
	w->leaving = spec->state == BW_WORKER_LEAVING;
	w->present = true;
	g_array_append_val(pool_at(p, pool)->members, worker);
}

static void configure_workers(bw_place_t *p, const bw_workers_t *workers)
{
	uint32_t i;

	for (i = 0; i < p->workers->len; i++)
		if (worker_at(p, i))
			detach(p, i);
	for (i = 0; i < workers->count; i++)
		take_worker(p, &workers->items[i]);
}

static void forget_unused(bw_place_t *p)
{
	uint32_t i;

	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w || w->present || w->busy > 0 || w->lent > 0)
			continue;
		if (w->loans_in && w->loans_in->len > 0)
			continue;
		if (w->health.state == BW_HEALTH_EJECTED)
			pool_at(p, w->pool)->ejected--;
		g_hash_table_remove(p->worker_index, &w->id);
		place_worker_free(w);
		p->workers->pdata[i] = NULL;
	}
}

void bw_place_configure(bw_place_t *p, const bw_table_t *table,
			const bw_workers_t *workers, int64_t now_us)
{
	configure_pools(p, table);
	configure_services(p, table, now_us);
	configure_workers(p, workers);
	forget_unused(p);
	place_divide(p, now_us);
	place_send_ack(p, 0, false);
	place_dispatch_all(p, now_us);
}
