#include "place/place.h"

#include <string.h>

#include "place/internal.h"

#define LATENCY_WEIGHT 16 /* A new sample counts one in sixteen. */
#define PRUNE_EVERY_US 5000

static const bw_counter_t verdict_counters[BW_RETRY_VERDICT_COUNT] = {
	[BW_RETRY_YES] = BW_C_COUNT,
	[BW_RETRY_NO_UNSAFE] = BW_C_RETRY_DENIED_UNSAFE,
	[BW_RETRY_NO_DEADLINE] = BW_C_RETRY_DENIED_DEADLINE,
	[BW_RETRY_NO_ATTEMPTS] = BW_C_RETRY_DENIED_BUDGET,
	[BW_RETRY_NO_BUDGET] = BW_C_RETRY_DENIED_BUDGET,
};

static const bw_counter_t retry_counters[BW_ATTEMPT_RESULT_COUNT] = {
	[BW_ATTEMPT_OK] = BW_C_COUNT,
	[BW_ATTEMPT_NOT_SENT] = BW_C_RETRY_NOT_SENT,
	[BW_ATTEMPT_BROKEN] = BW_C_RETRY_BROKEN,
	[BW_ATTEMPT_TIMEOUT] = BW_C_RETRY_TIMEOUT,
	[BW_ATTEMPT_STATUS] = BW_C_RETRY_STATUS,
	[BW_ATTEMPT_BAD_ANSWER] = BW_C_RETRY_BROKEN,
};

static void service_free(gpointer data);
static void pool_free(gpointer data);
static void start_at(bw_place_t *p, bw_place_request_t *r, route_t *route,
		     uint32_t worker, int64_t now_us);
static bool try_start(bw_place_t *p, bw_place_request_t *r, int64_t now_us);
static bool choose(bw_place_t *p, const bw_place_request_t *r, int64_t now_us,
		   route_t **route, uint32_t *worker);
static place_service_t *next_service(bw_place_t *p, uint32_t pool,
				     int64_t now_us, uint32_t *rank);
static void note_result(bw_place_t *p, bw_place_request_t *r,
			bw_attempt_result_t result, int64_t now_us);
static void note_health(bw_place_t *p, uint32_t worker,
			bw_health_state_t before);
static void tick_ejected(bw_place_t *p, int64_t now_us);

bw_place_t *bw_place_create(const bw_place_config_t *config,
			    const bw_place_ops_t *ops, void *ctx,
			    bw_counters_t *counters)
{
	bw_place_t *p = g_new0(bw_place_t, 1);

	p->config = *config;
	p->zone = g_strdup(config->zone);
	p->config.zone = p->zone;
	p->ops = ops;
	p->ctx = ctx;
	p->counters = counters;
	p->rand = g_rand_new_with_seed(config->seed);
	p->workers = g_ptr_array_new_with_free_func(place_worker_free);
	p->services = g_ptr_array_new_with_free_func(service_free);
	p->pools = g_ptr_array_new_with_free_func(pool_free);
	p->peers = g_ptr_array_new_with_free_func(place_peer_free);
	p->worker_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->ejected = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->borrowing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->lending = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return p;
}

void bw_place_destroy(bw_place_t *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->worker_index);
	g_ptr_array_free(p->workers, TRUE);
	g_ptr_array_free(p->services, TRUE);
	g_ptr_array_free(p->pools, TRUE);
	g_ptr_array_free(p->peers, TRUE);
	g_array_free(p->ejected, TRUE);
	g_array_free(p->borrowing, TRUE);
	g_array_free(p->lending, TRUE);
	g_array_free(p->members, TRUE);
	g_rand_free(p->rand);
	g_free(p->zone);
	g_free(p);
}

void place_worker_free(gpointer data)
{
	place_worker_t *w = data;

	if (!w)
		return;
	if (w->loans_in)
		g_array_free(w->loans_in, TRUE);
	if (w->loans_out)
		g_array_free(w->loans_out, TRUE);
	g_free(w->name);
	g_free(w->address);
	g_free(w->zone);
	g_free(w->rack);
	g_free(w);
}

static void service_free(gpointer data)
{
	place_service_t *s = data;

	g_array_free(s->routes, TRUE);
	g_sequence_free(s->queue);
	g_free(s->name);
	g_free(s);
}

static void pool_free(gpointer data)
{
	place_pool_t *pool = data;

	g_array_free(pool->open[NEAR], TRUE);
	g_array_free(pool->open[FAR], TRUE);
	g_array_free(pool->members, TRUE);
	g_array_free(pool->users, TRUE);
	g_array_free(pool->wants, TRUE);
	g_free(pool->name);
	g_free(pool);
}

uint32_t bw_place_service(const bw_place_t *p, const char *name)
{
	uint32_t i;

	for (i = 0; i < p->services->len; i++) {
		const place_service_t *s = service_at(p, i);

		if (s->present && !strcmp(s->name, name))
			return i;
	}
	return BW_NONE;
}

void bw_place_request_init(bw_place_request_t *r, uint32_t service,
			   int64_t arrived_us, int64_t deadline_us)
{
	memset(r, 0, sizeof(*r));
	r->service = service;
	r->worker = BW_NONE;
	r->pool = BW_NONE;
	r->avoid = BW_NONE;
	r->arrived_us = arrived_us;
	r->deadline_us = deadline_us;
}

static bool choose(bw_place_t *p, const bw_place_request_t *r, int64_t now_us,
		   route_t **route, uint32_t *worker)
{
	const place_service_t *s = service_at(p, r->service);
	uint32_t i;

	*route = place_pick_route(p, s);
	if (!*route)
		return false;
	*worker = place_pick(p, (*route)->pool, r, now_us);
	if (*worker != BW_NONE)
		return true;
	/* The pool has room, but not for this request; try the others. */
	for (i = 0; i < s->routes->len; i++) {
		*route = &g_array_index(s->routes, route_t, i);
		if ((*route)->weight == 0 && (*route)->spill == 0)
			continue;
		if (!place_route_has_room(*route))
			continue;
		*worker = place_pick(p, (*route)->pool, r, now_us);
		if (*worker != BW_NONE)
			return true;
	}
	return false;
}

static void start_at(bw_place_t *p, bw_place_request_t *r, route_t *route,
		     uint32_t worker, int64_t now_us)
{
	place_service_t *s = service_at(p, r->service);
	place_worker_t *w = worker_at(p, worker);

	r->worker = worker;
	r->pool = w->pool;
	r->started_us = now_us;
	r->holds_long = place_is_long(p, r, now_us);
	r->attempts++;
	route->running++;
	s->running++;
	s->started++;
	w->busy++;
	w->busy_long += r->holds_long ? 1 : 0;
	place_refresh(p, worker);
	p->ops->start(p->ctx, r);
}

static bool try_start(bw_place_t *p, bw_place_request_t *r, int64_t now_us)
{
	route_t *route;
	uint32_t worker;

	if (!choose(p, r, now_us, &route, &worker))
		return false;
	start_at(p, r, route, worker, now_us);
	return true;
}

void bw_place_submit(bw_place_t *p, bw_place_request_t *r, int64_t now_us)
{
	place_service_t *s;

	place_note_time(p, now_us);
	if (r->service >= p->services->len ||
	    !service_at(p, r->service)->present) {
		place_refuse(p, r, BW_REFUSE_NO_SERVICE, 0);
		return;
	}
	s = service_at(p, r->service);
	if (r->attempts == 0)
		bw_retry_earn(&s->budget, s->spec.retry_pct);
	if (now_us >= r->deadline_us) {
		place_refuse(p, r, BW_REFUSE_TOO_LATE, 0);
		return;
	}
	/* Waiting requests of the same service go first. */
	if (s->waiting == 0 && try_start(p, r, now_us))
		return;
	place_enqueue(p, r, now_us);
	place_ask(p, s, now_us);
}

static place_service_t *next_service(bw_place_t *p, uint32_t pool,
				     int64_t now_us, uint32_t *rank)
{
	place_pool_t *q = pool_at(p, pool);
	place_service_t *best = NULL;
	uint32_t total = 0;
	uint32_t i;

	*rank = RANK_COUNT;
	for (i = 0; i < q->users->len; i++) {
		place_service_t *s =
			service_at(p, g_array_index(q->users, uint32_t, i));
		const route_t *route;
		uint32_t weight;
		uint32_t its_rank;

		if (s->waiting == 0)
			continue;
		route = place_route(s, pool);
		if (!route || !place_route_has_room(route))
			continue;
		its_rank = place_rank(p, s, route, now_us);
		if (its_rank > *rank)
			continue;
		if (its_rank < *rank)
			total = 0;
		*rank = its_rank;
		weight = route->weight > 0 ? route->weight : route->spill;
		if (weight == 0)
			continue;
		total += weight;
		/* Chooses among equal ranks in proportion to the weights. */
		if ((uint64_t)g_rand_int(p->rand) * total >> 32 < weight)
			best = s;
	}
	return best;
}

void place_dispatch(bw_place_t *p, uint32_t pool, int64_t now_us)
{
	place_pool_t *q = pool_at(p, pool);

	while (place_open_count(q) > 0) {
		uint32_t rank;
		place_service_t *s;
		bw_place_request_t *r;
		uint32_t worker;

		place_lend_to_wants(p, pool, now_us);
		if (p->waiting == 0 || place_open_count(q) == 0)
			return;
		s = next_service(p, pool, now_us, &rank);
		if (!s)
			return;
		r = place_queue_head(s);
		worker = place_pick(p, pool, r, now_us);
		if (worker == BW_NONE)
			return;
		place_queue_remove(p, r);
		s->window_starts++;
		start_at(p, r, place_route(s, pool), worker, now_us);
	}
}

void place_dispatch_all(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < p->pools->len; i++)
		place_dispatch(p, i, now_us);
}

static void note_health(bw_place_t *p, uint32_t worker,
			bw_health_state_t before)
{
	place_worker_t *w = worker_at(p, worker);
	place_pool_t *pool = pool_at(p, w->pool);
	bool was = before == BW_HEALTH_EJECTED;
	bool is = w->health.state == BW_HEALTH_EJECTED;

	if (is == was)
		return;
	if (!is) {
		pool->ejected--;
		return;
	}
	pool->ejected++;
	g_array_append_val(p->ejected, worker);
}

static void note_result(bw_place_t *p, bw_place_request_t *r,
			bw_attempt_result_t result, int64_t now_us)
{
	place_service_t *s = service_at(p, r->service);
	place_worker_t *w = worker_at(p, r->worker);
	place_pool_t *pool = pool_at(p, w->pool);
	int64_t elapsed_us = now_us - r->started_us;
	bw_health_state_t before = w->health.state;

	if (result != BW_ATTEMPT_OK) {
		bw_health_failure(&w->health, now_us);
		note_health(p, r->worker, before);
		return;
	}
	bw_health_success(&w->health, elapsed_us, pool->latency_us, now_us);
	note_health(p, r->worker, before);
	if (pool->latency_us == 0)
		pool->latency_us = elapsed_us;
	if (s->service_us == 0)
		s->service_us = elapsed_us;
	pool->latency_us += (elapsed_us - pool->latency_us) / LATENCY_WEIGHT;
	s->service_us += (elapsed_us - s->service_us) / LATENCY_WEIGHT;
}

void bw_place_finish(bw_place_t *p, bw_place_request_t *r,
		     bw_attempt_result_t result, int64_t now_us)
{
	place_service_t *s = service_at(p, r->service);
	uint32_t worker = r->worker;
	place_worker_t *w = worker_at(p, worker);
	route_t *route = place_route(s, r->pool);

	place_note_time(p, now_us);
	note_result(p, r, result, now_us);
	if (route && route->running > 0)
		route->running--;
	s->running--;
	w->busy--;
	w->busy_long -= r->holds_long ? 1 : 0;
	r->holds_long = false;
	r->avoid = result == BW_ATTEMPT_OK ? BW_NONE : worker;
	r->worker = BW_NONE;
	place_refresh(p, worker);
	place_dispatch(p, w->pool, now_us);
}

bw_retry_verdict_t bw_place_retry(bw_place_t *p, const bw_place_request_t *r,
				  bool once, bool answer_started,
				  bw_attempt_result_t result, int64_t now_us)
{
	place_service_t *s = service_at(p, r->service);
	bw_retry_request_t request = {
		.once = once,
		.answer_started = answer_started,
		.attempts = r->attempts,
		.attempts_max = s->spec.attempts_max,
		.deadline_us = r->deadline_us,
		.service_us = s->service_us,
	};
	bw_retry_verdict_t verdict =
		bw_retry_decide(&s->budget, &request, result, now_us);

	if (verdict == BW_RETRY_YES)
		bw_count(p->counters, retry_counters[result], 1);
	else
		bw_count(p->counters, verdict_counters[verdict], 1);
	return verdict;
}

void bw_place_cancel(bw_place_t *p, bw_place_request_t *r)
{
	if (r->queued)
		place_queue_remove(p, r);
}

void bw_place_receive(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us)
{
	static void (*const handlers[BW_PMSG_TYPE_COUNT])(
		bw_place_t *, uint64_t, const bw_place_msg_t *, int64_t) = {
		[BW_PMSG_WANT] = place_take_want,
		[BW_PMSG_GRANT] = place_take_grant,
		[BW_PMSG_RETURN] = place_take_return,
		[BW_PMSG_ACK] = place_take_ack,
	};

	place_note_time(p, now_us);
	if (msg->type < BW_PMSG_TYPE_COUNT)
		handlers[msg->type](p, peer, msg, now_us);
}

void bw_place_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us)
{
	place_peer(p, peer)->up = false;
	place_loan_peer_lost(p, peer, now_us);
}

void bw_place_peer_up(bw_place_t *p, uint64_t peer, int64_t now_us)
{
	(void)now_us;
	place_peer(p, peer)->up = true;
	if (p->epoch > 0)
		place_send_ack(p, peer, false);
}

static void tick_ejected(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < p->ejected->len;) {
		uint32_t worker = g_array_index(p->ejected, uint32_t, i);
		place_worker_t *w = worker_at(p, worker);
		bw_health_state_t before;

		if (w && w->health.state == BW_HEALTH_EJECTED) {
			before = w->health.state;
			if (!bw_health_tick(&w->health, now_us)) {
				i++;
				continue;
			}
			note_health(p, worker, before);
			place_refresh(p, worker);
			place_dispatch(p, w->pool, now_us);
		}
		g_array_remove_index_fast(p->ejected, i);
	}
}

void bw_place_tick(bw_place_t *p, int64_t now_us)
{
	place_note_time(p, now_us);
	place_loan_tick(p, now_us);
	tick_ejected(p, now_us);
	place_raise_shares(p, now_us);
	place_settle_debts(p);
	place_measure_rates(p, now_us);
	if (now_us - p->last_prune_us >= PRUNE_EVERY_US) {
		p->last_prune_us = now_us;
		place_prune(p, now_us);
	}
	place_ask_all(p, now_us);
}

const char *bw_place_worker_address(const bw_place_t *p, uint32_t worker)
{
	return worker_at(p, worker)->address;
}

const char *bw_place_worker_name(const bw_place_t *p, uint32_t worker)
{
	return worker_at(p, worker)->name;
}

uint32_t bw_place_worker_count(const bw_place_t *p)
{
	return p->workers->len;
}

bool bw_place_worker_view(const bw_place_t *p, uint32_t worker,
			  bw_worker_view_t *out)
{
	const place_worker_t *w = worker_at(p, worker);

	if (!w || !w->present)
		return false;
	out->name = w->name;
	out->address = w->address;
	out->zone = w->zone;
	out->rack = w->rack;
	out->pool = pool_at(p, w->pool)->name;
	out->slots = w->slots;
	out->share = w->share;
	out->lent = w->lent;
	out->borrowed = w->borrowed;
	out->busy = w->busy;
	out->leaving = w->leaving;
	out->health = w->health.state;
	out->latency_us = w->health.latency_us;
	return true;
}

uint32_t bw_place_service_count(const bw_place_t *p)
{
	return p->services->len;
}

bool bw_place_service_view(const bw_place_t *p, uint32_t service,
			   bw_service_view_t *out)
{
	const place_service_t *s = service_at(p, service);

	if (!s->present)
		return false;
	out->name = s->name;
	out->waiting = s->waiting;
	out->running = s->running;
	out->service_us = s->service_us;
	out->started = s->started;
	out->refused = s->refused;
	return true;
}

uint32_t bw_place_waiting(const bw_place_t *p)
{
	return p->waiting;
}
