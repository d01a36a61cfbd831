/* Deadline queues, ranks of waiting requests and early refusal. */
#include "place/internal.h"

#define RATE_WINDOW_US	   100000
#define RETRY_AFTER_MIN_US 1000000
#define RETRY_AFTER_MAX_US 60000000

/*
 * A deferrable request counts as urgent when the time to its deadline is below
 * the larger of these two.
 */
#define PROMOTE_SERVICE_TIMES 8
#define PROMOTE_MIN_US	      2000000

static const bw_counter_t refusal_counters[BW_REFUSAL_COUNT] = {
	[BW_REFUSE_TOO_LATE] = BW_C_REFUSED_TOO_LATE,
	[BW_REFUSE_QUEUE_DEADLINE] = BW_C_REFUSED_QUEUE_DEADLINE,
	[BW_REFUSE_QUEUE_FULL] = BW_C_REFUSED_QUEUE_FULL,
	[BW_REFUSE_NO_SERVICE] = BW_C_REFUSED_NO_SERVICE,
};

static const char *const refusal_names[BW_REFUSAL_COUNT] = {
	[BW_REFUSE_TOO_LATE] = "too-late",
	[BW_REFUSE_QUEUE_DEADLINE] = "queue-deadline",
	[BW_REFUSE_QUEUE_FULL] = "queue-full",
	[BW_REFUSE_NO_SERVICE] = "no-service",
};

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data);
static int64_t wait_estimate(const bw_place_t *p, const place_service_t *s,
			     uint32_t position);
static uint64_t service_slots(const bw_place_t *p, const place_service_t *s);
static int64_t clamp_retry_after(int64_t us);
static bool near_deadline(const place_service_t *s, const bw_place_request_t *r,
			  int64_t now_us);

const char *bw_refusal_name(bw_refusal_t why)
{
	if (why >= BW_REFUSAL_COUNT)
		return "unknown";
	return refusal_names[why];
}

void place_refuse(bw_place_t *p, bw_place_request_t *r, bw_refusal_t why,
		  int64_t retry_after_us)
{
	if (r->service < p->services->len)
		service_at(p, r->service)->refused++;
	bw_count(p->counters, refusal_counters[why], 1);
	p->ops->refuse(p->ctx, r, why, clamp_retry_after(retry_after_us));
}

static int64_t clamp_retry_after(int64_t us)
{
	return CLAMP(us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
}

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const bw_place_request_t *x = a;
	const bw_place_request_t *y = b;

	(void)data;
	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	if (x->arrived_us != y->arrived_us)
		return x->arrived_us < y->arrived_us ? -1 : 1;
	return 0;
}

static uint64_t service_slots(const bw_place_t *p, const place_service_t *s)
{
	uint64_t slots = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->routes->len; i++) {
		const route_t *route = &g_array_index(s->routes, route_t, i);
		const place_pool_t *pool = pool_at(p, route->pool);
		uint64_t part = 0;

		for (k = 0; k < pool->members->len; k++) {
			const place_worker_t *w = worker_at(
				p, g_array_index(pool->members, uint32_t, k));

			if (!w->leaving)
				part += w->share;
		}
		if (route->limit > 0)
			part = MIN(part, route->limit_share);
		slots += part;
	}
	return slots;
}

static int64_t wait_estimate(const bw_place_t *p, const place_service_t *s,
			     uint32_t position)
{
	uint64_t slots;

	if (s->rate_valid)
		return (int64_t)position * 1000000 / MAX(s->rate_per_s, 1);
	if (s->service_us == 0)
		return 0;
	slots = service_slots(p, s);
	return (int64_t)position * s->service_us / (int64_t)MAX(slots, 1);
}

void place_enqueue(bw_place_t *p, bw_place_request_t *r, int64_t now_us)
{
	place_service_t *s = service_at(p, r->service);
	int64_t wait_us = 0;
	GSequenceIter *iter;

	if (s->waiting >= s->spec.queue_max) {
		wait_us = wait_estimate(p, s, s->waiting);
		place_refuse(p, r, BW_REFUSE_QUEUE_FULL, wait_us);
		return;
	}
	if (now_us + s->service_us > r->deadline_us) {
		place_refuse(p, r, BW_REFUSE_TOO_LATE, 0);
		return;
	}
	iter = g_sequence_insert_sorted(s->queue, r, by_deadline, NULL);
	r->queue_iter = iter;
	s->waiting++;
	p->waiting++;
	if (s->backlog_since_us == 0)
		s->backlog_since_us = now_us;
	/* The start rate doesn't predict waits that may last hours. */
	if (s->spec.class != BW_CLASS_URGENT)
		return;
	wait_us = wait_estimate(
		p, s, (uint32_t)g_sequence_iter_get_position(iter) + 1);
	if (now_us + wait_us + s->service_us <= r->deadline_us)
		return;
	place_queue_remove(p, r);
	place_refuse(p, r, BW_REFUSE_TOO_LATE, wait_us);
}

bw_place_request_t *place_queue_head(const place_service_t *s)
{
	if (s->waiting == 0)
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(s->queue));
}

void place_queue_remove(bw_place_t *p, bw_place_request_t *r)
{
	place_service_t *s = service_at(p, r->service);

	g_sequence_remove(r->queue_iter);
	r->queue_iter = NULL;
	s->waiting--;
	p->waiting--;
	if (s->waiting > 0)
		return;
	s->backlog_since_us = 0;
	s->rate_valid = false;
}

void place_prune(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);
		bw_place_request_t *r;

		while ((r = place_queue_head(s)) != NULL) {
			/* Half the mean: it may still complete in time. */
			if (now_us + s->service_us / 2 <= r->deadline_us)
				break;
			place_queue_remove(p, r);
			place_refuse(p, r, BW_REFUSE_QUEUE_DEADLINE,
				     wait_estimate(p, s, s->waiting));
		}
	}
}

void place_measure_rates(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);
		int64_t elapsed_us = now_us - s->window_start_us;

		if (elapsed_us < RATE_WINDOW_US)
			continue;
		if (s->backlog_since_us > 0 &&
		    s->backlog_since_us <= s->window_start_us) {
			s->rate_per_s =
				(uint32_t)(s->window_starts * (int64_t)1000000 /
					   elapsed_us);
			s->rate_valid = true;
		}
		s->window_start_us = now_us;
		s->window_starts = 0;
	}
}

static bool near_deadline(const place_service_t *s, const bw_place_request_t *r,
			  int64_t now_us)
{
	int64_t margin_us = s->service_us * PROMOTE_SERVICE_TIMES;

	return r->deadline_us - now_us < MAX(margin_us, PROMOTE_MIN_US);
}

uint32_t place_rank(const bw_place_t *p, const place_service_t *s,
		    const route_t *route, int64_t now_us)
{
	bool urgent = s->spec.class == BW_CLASS_URGENT;
	const bw_place_request_t *head = place_queue_head(s);

	(void)p;
	if (!urgent && head)
		urgent = near_deadline(s, head, now_us);
	if (urgent)
		return route->weight > 0 ? RANK_URGENT : RANK_URGENT_SPILL;
	return route->weight > 0 ? RANK_DEFERRABLE : RANK_DEFERRABLE_SPILL;
}

uint32_t place_best_rank(const bw_place_t *p, uint32_t pool, int64_t now_us)
{
	const place_pool_t *q = pool_at(p, pool);
	uint32_t best = RANK_COUNT;
	uint32_t i;

	for (i = 0; i < q->users->len; i++) {
		const place_service_t *s =
			service_at(p, g_array_index(q->users, uint32_t, i));
		const route_t *route;
		uint32_t rank;

		if (s->waiting == 0)
			continue;
		route = place_find_route(s, pool);
		if (!route || !place_route_below_limit(route))
			continue;
		rank = place_rank(p, s, route, now_us);
		best = MIN(best, rank);
	}
	return best;
}
