/* Chooses a pool by weight, and a worker as the better of two random ones. */
#include "place/internal.h"

/* Available workers scanned for one in another failure domain. */
#define AVOID_SCAN_MAX 64

/* Assumed latency of an unmeasured worker, so that it gets requests. */
#define LATENCY_UNKNOWN_US 1000

static void remove_available(bw_place_t *p, uint32_t worker);
static void add_available(bw_place_t *p, uint32_t worker);
static bool less_loaded(const place_worker_t *a, const place_worker_t *b);
static uint32_t random_below(bw_place_t *p, uint32_t n);
static uint32_t random_worker(bw_place_t *p, const GArray *list);
static bool can_take(const bw_place_t *p, const bw_place_request_t *r,
		     uint32_t worker, bool is_long);
static bool same_domain(const bw_place_t *p, uint32_t a, uint32_t b);
static uint32_t pick_avoiding(bw_place_t *p, const GArray *list,
			      const bw_place_request_t *r, bool is_long,
			      bool other_domain);
static uint32_t pick_other(bw_place_t *p, place_pool_t *q,
			   const bw_place_request_t *r, bool is_long);
static uint32_t pick_long(bw_place_t *p, const GArray *list);
static uint32_t pick_from(bw_place_t *p, const GArray *list, bool is_long);
static route_t *pick_weighted(bw_place_t *p, const place_service_t *s,
			      bool spill);
static uint32_t route_weight(const bw_place_t *p, const route_t *route,
			     bool spill);

uint32_t place_free_slots(const bw_place_t *p, const place_worker_t *w)
{
	const place_pool_t *pool = pool_at(p, w->pool);
	uint32_t slots = w->share + w->borrowed;
	uint32_t cap;

	if (w->leaving || !w->present || slots <= w->lent)
		return 0;
	slots -= w->lent;
	if (slots > w->connections)
		slots = w->connections;
	/*
	 * If more than half of a pool is ejected, the cause is unlikely to be
	 * the workers, and excluding them would overload the rest.
	 */
	if (pool->ejected * 2 <= pool->members->len) {
		cap = bw_health_requests_max(&w->health, w->slots);
		if (slots > cap)
			slots = cap;
	}
	return slots > w->busy ? slots - w->busy : 0;
}

static void remove_available(bw_place_t *p, uint32_t worker)
{
	place_worker_t *w = worker_at(p, worker);
	GArray *list =
		pool_at(p, w->pool)
			->available[w->same_zone ? SAME_ZONE : OTHER_ZONE];
	uint32_t last = g_array_index(list, uint32_t, list->len - 1);

	g_array_index(list, uint32_t, w->available_index) = last;
	worker_at(p, last)->available_index = w->available_index;
	g_array_set_size(list, list->len - 1);
	w->available = false;
}

static void add_available(bw_place_t *p, uint32_t worker)
{
	place_worker_t *w = worker_at(p, worker);
	GArray *list =
		pool_at(p, w->pool)
			->available[w->same_zone ? SAME_ZONE : OTHER_ZONE];

	w->available_index = list->len;
	g_array_append_val(list, worker);
	w->available = true;
}

void place_update_available(bw_place_t *p, uint32_t worker)
{
	place_worker_t *w = worker_at(p, worker);
	bool available = place_free_slots(p, w) > 0;

	if (available == w->available)
		return;
	if (available)
		add_available(p, worker);
	else
		remove_available(p, worker);
}

uint32_t place_available_count(const place_pool_t *pool)
{
	return pool->available[SAME_ZONE]->len +
	       pool->available[OTHER_ZONE]->len;
}

static bool less_loaded(const place_worker_t *a, const place_worker_t *b)
{
	uint64_t latency_a = a->health.latency_us;
	uint64_t latency_b = b->health.latency_us;

	if (latency_a == 0)
		latency_a = LATENCY_UNKNOWN_US;
	if (latency_b == 0)
		latency_b = LATENCY_UNKNOWN_US;
	return latency_a * (a->busy + 1) < latency_b * (b->busy + 1);
}

static uint32_t random_below(bw_place_t *p, uint32_t n)
{
	return (uint32_t)(((uint64_t)g_rand_int(p->rand) * n) >> 32);
}

static uint32_t random_worker(bw_place_t *p, const GArray *list)
{
	return g_array_index(list, uint32_t, random_below(p, list->len));
}

bool place_is_long(const bw_place_t *p, const bw_place_request_t *r,
		   int64_t now_us)
{
	return r->deadline_us - now_us > p->config.run_max_us;
}

static bool can_take(const bw_place_t *p, const bw_place_request_t *r,
		     uint32_t worker, bool is_long)
{
	const place_worker_t *w = worker_at(p, worker);

	if (worker == r->avoid)
		return false;
	/* A borrowed slot must be returned in time: no long request uses it. */
	return !is_long || w->busy_long + w->lent < w->share;
}

static bool same_domain(const bw_place_t *p, uint32_t a, uint32_t b)
{
	const place_worker_t *x = worker_at(p, a);
	const place_worker_t *y = worker_at(p, b);

	return !g_strcmp0(x->rack, y->rack) && !g_strcmp0(x->zone, y->zone);
}

static uint32_t pick_avoiding(bw_place_t *p, const GArray *list,
			      const bw_place_request_t *r, bool is_long,
			      bool other_domain)
{
	uint32_t scanned = MIN(list->len, AVOID_SCAN_MAX);
	uint32_t start = random_below(p, list->len);
	uint32_t i;

	for (i = 0; i < scanned; i++) {
		uint32_t worker =
			g_array_index(list, uint32_t, (start + i) % list->len);

		if (!can_take(p, r, worker, is_long))
			continue;
		if (!other_domain || !worker_at(p, r->avoid) ||
		    !same_domain(p, worker, r->avoid))
			return worker;
	}
	return BW_NONE;
}

/*
 * Prefers another failure domain, even one in another zone, and falls back to
 * the same failure domain.
 */
static uint32_t pick_other(bw_place_t *p, place_pool_t *q,
			   const bw_place_request_t *r, bool is_long)
{
	uint32_t worker = BW_NONE;
	uint32_t d;

	for (d = 0; d < LOCALITY_COUNT && worker == BW_NONE; d++)
		worker = pick_avoiding(p, q->available[d], r, is_long, true);
	for (d = 0; d < LOCALITY_COUNT && worker == BW_NONE; d++)
		worker = pick_avoiding(p, q->available[d], r, is_long, false);
	return worker;
}

static uint32_t pick_long(bw_place_t *p, const GArray *list)
{
	uint32_t start = random_below(p, list->len);
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		uint32_t worker =
			g_array_index(list, uint32_t, (start + i) % list->len);
		const place_worker_t *w = worker_at(p, worker);

		if (w->busy_long + w->lent < w->share)
			return worker;
	}
	return BW_NONE;
}

static uint32_t pick_from(bw_place_t *p, const GArray *list, bool is_long)
{
	uint32_t a;
	uint32_t b;

	if (list->len == 0)
		return BW_NONE;
	if (is_long)
		return pick_long(p, list);
	a = random_worker(p, list);
	b = random_worker(p, list);
	return less_loaded(worker_at(p, a), worker_at(p, b)) ? a : b;
}

uint32_t place_pick_worker(bw_place_t *p, uint32_t pool,
			   const bw_place_request_t *r, int64_t now_us)
{
	bool is_long = place_is_long(p, r, now_us);
	place_pool_t *q = pool_at(p, pool);
	uint32_t worker = BW_NONE;

	if (r->avoid < p->workers->len)
		worker = pick_other(p, q, r, is_long);
	if (worker == BW_NONE)
		worker = pick_from(p, q->available[SAME_ZONE], is_long);
	if (worker == BW_NONE)
		worker = pick_from(p, q->available[OTHER_ZONE], is_long);
	return worker;
}

route_t *place_find_route(const place_service_t *s, uint32_t pool)
{
	uint32_t i;

	for (i = 0; i < s->routes->len; i++) {
		route_t *route = &g_array_index(s->routes, route_t, i);

		if (route->pool == pool)
			return route;
	}
	return NULL;
}

bool place_route_below_limit(const route_t *route)
{
	return route->limit == 0 || route->running < route->limit_share;
}

static uint32_t route_weight(const bw_place_t *p, const route_t *route,
			     bool spill)
{
	if (!place_route_below_limit(route))
		return 0;
	if (place_available_count(pool_at(p, route->pool)) == 0)
		return 0;
	return spill ? route->spill : route->weight;
}

static route_t *pick_weighted(bw_place_t *p, const place_service_t *s,
			      bool spill)
{
	uint32_t total = 0;
	uint32_t remaining;
	uint32_t i;

	for (i = 0; i < s->routes->len; i++)
		total += route_weight(p, &g_array_index(s->routes, route_t, i),
				      spill);
	if (total == 0)
		return NULL;
	remaining = random_below(p, total);
	for (i = 0; i < s->routes->len; i++) {
		route_t *route = &g_array_index(s->routes, route_t, i);
		uint32_t weight = route_weight(p, route, spill);

		if (remaining < weight)
			return route;
		remaining -= weight;
	}
	return NULL;
}

route_t *place_pick_route(bw_place_t *p, const place_service_t *s)
{
	route_t *route = pick_weighted(p, s, false);

	return route ? route : pick_weighted(p, s, true);
}
