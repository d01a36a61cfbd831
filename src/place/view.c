/* The division of slots under a view, and its change without overlap. */
#include "place/internal.h"

static bool over_target(const place_worker_t *w);
static bool raise_allowed(const bw_place_t *p, uint64_t object);
static bool raise_limits(bw_place_t *p);
static void add_debt(bw_place_msg_t *msg, uint64_t object);
static bool debts_shrank(const bw_place_t *p);
static uint64_t cell_id(const bw_place_t *p, const place_service_t *s,
			const route_t *route);
static bool all_acknowledged(const bw_place_t *p);
static bool is_member(const GArray *members, uint64_t id);
static void divide_limits(bw_place_t *p);

peer_state_t *place_peer(bw_place_t *p, uint64_t id)
{
	peer_state_t *peer;
	uint32_t i;

	for (i = 0; i < p->peers->len; i++) {
		peer = g_ptr_array_index(p->peers, i);
		if (peer->id == id)
			return peer;
	}
	peer = g_new0(peer_state_t, 1);
	peer->id = id;
	peer->owed = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	g_ptr_array_add(p->peers, peer);
	return peer;
}

void place_peer_free(gpointer data)
{
	peer_state_t *peer = data;

	g_hash_table_destroy(peer->owed);
	g_free(peer->returns);
	g_free(peer);
}

static bool is_member(const GArray *members, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < members->len; i++)
		if (g_array_index(members, uint64_t, i) == id)
			return true;
	return false;
}

/* Identifies a table cell where its limit is divided or owed. */
static uint64_t cell_id(const bw_place_t *p, const place_service_t *s,
			const route_t *route)
{
	return s->id ^ pool_at(p, route->pool)->id;
}

static void divide_limits(bw_place_t *p)
{
	const uint64_t *members = (const uint64_t *)p->members->data;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			route_t *route = &g_array_index(s->routes, route_t, k);

			route->limit_target = bw_share(
				cell_id(p, s, route), route->limit, members,
				p->members->len, p->config.self);
			route->limit_share =
				MIN(route->limit_share, route->limit_target);
			if (route->limit_share < route->limit_target)
				p->rising = true;
		}
	}
}

void place_divide(bw_place_t *p, int64_t now_us)
{
	const uint64_t *members = (const uint64_t *)p->members->data;
	uint32_t i;

	if (p->members->len == 0)
		return;
	divide_limits(p);
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w)
			continue;
		w->target = bw_share(w->id, w->present ? w->slots : 0, members,
				     p->members->len, p->config.self);
		w->share = MIN(w->share, w->target);
		if (w->share < w->target)
			p->rising = true;
		place_refresh(p, i);
	}
	place_raise_shares(p, now_us);
}

void bw_place_set_view(bw_place_t *p, uint64_t epoch, const uint64_t *members,
		       uint32_t member_count, int64_t now_us)
{
	GArray *next;
	uint32_t i;
	bool skipped;

	if (epoch <= p->epoch)
		return;
	next = g_array_sized_new(FALSE, FALSE, sizeof(uint64_t), member_count);
	g_array_append_vals(next, members, member_count);
	/* An entry that left unseen may still have requests running. */
	skipped = p->epoch > 0 && epoch != p->epoch + 1;
	for (i = 0; i < p->members->len && !skipped; i++)
		skipped = !is_member(next,
				     g_array_index(p->members, uint64_t, i));
	if (skipped || p->epoch == 0)
		p->settle_until_us = now_us + p->config.takeover_delay_us;
	g_array_free(p->members, TRUE);
	p->members = next;
	p->epoch = epoch;
	place_divide(p, now_us);
	place_send_ack(p, 0, false);
	place_dispatch_all(p, now_us);
}

static bool over_target(const place_worker_t *w)
{
	return w->busy + w->lent > w->target + w->borrowed;
}

static bool all_acknowledged(const bw_place_t *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->members->len; i++) {
		uint64_t id = g_array_index(p->members, uint64_t, i);
		bool acknowledged = id == p->config.self;

		for (k = 0; k < p->peers->len && !acknowledged; k++) {
			const peer_state_t *peer =
				g_ptr_array_index(p->peers, k);

			acknowledged =
				peer->id == id && peer->epoch == p->epoch;
		}
		if (!acknowledged)
			return false;
	}
	return true;
}

static bool raise_allowed(const bw_place_t *p, uint64_t object)
{
	uint32_t i;

	for (i = 0; i < p->peers->len; i++) {
		const peer_state_t *peer = g_ptr_array_index(p->peers, i);

		if (!is_member(p->members, peer->id))
			continue;
		if (peer->all_owed ||
		    g_hash_table_contains(peer->owed, &object))
			return false;
	}
	return true;
}

/* @return whether some limit stays below its target */
static bool raise_limits(bw_place_t *p)
{
	bool left = false;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			route_t *route = &g_array_index(s->routes, route_t, k);

			if (route->limit_share >= route->limit_target)
				continue;
			if (raise_allowed(p, cell_id(p, s, route)))
				route->limit_share = route->limit_target;
			else
				left = true;
		}
	}
	return left;
}

void place_raise_shares(bw_place_t *p, int64_t now_us)
{
	bool left;
	uint32_t i;

	if (!p->rising || now_us < p->settle_until_us || !all_acknowledged(p))
		return;
	left = raise_limits(p);
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w || w->share >= w->target)
			continue;
		if (!raise_allowed(p, w->id)) {
			left = true;
			continue;
		}
		w->share = w->target;
		place_refresh(p, i);
	}
	p->rising = left;
	place_dispatch_all(p, now_us);
}

static bool over_limit(const route_t *route)
{
	return route->limit > 0 && route->running > route->limit_target;
}

static void add_debt(bw_place_msg_t *msg, uint64_t object)
{
	if (msg->loan_count == BW_LOANS_MAX) {
		msg->all_over_share = true;
		return;
	}
	msg->loans[msg->loan_count].worker = object;
	msg->loans[msg->loan_count].count = 1;
	msg->loan_count++;
}

void place_send_ack(bw_place_t *p, uint64_t peer, bool ask)
{
	bw_place_msg_t msg = { .type = BW_PMSG_ACK,
			       .epoch = p->epoch,
			       .reply_requested = ask };
	uint32_t i;
	uint32_t k;

	p->owing = false;
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w)
			continue;
		w->was_owed = over_target(w);
		if (w->was_owed)
			add_debt(&msg, w->id);
	}
	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			route_t *route = &g_array_index(s->routes, route_t, k);

			route->was_owed = over_limit(route);
			if (route->was_owed)
				add_debt(&msg, cell_id(p, s, route));
		}
	}
	p->owing = msg.loan_count > 0;
	if (peer != 0) {
		p->ops->send(p->ctx, peer, &msg);
		return;
	}
	for (i = 0; i < p->members->len; i++) {
		uint64_t id = g_array_index(p->members, uint64_t, i);

		if (id != p->config.self)
			p->ops->send(p->ctx, id, &msg);
	}
}

static bool debts_shrank(const bw_place_t *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->workers->len; i++) {
		const place_worker_t *w = worker_at(p, i);

		if (w && w->was_owed && !over_target(w))
			return true;
	}
	for (i = 0; i < p->services->len; i++) {
		const place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			const route_t *route =
				&g_array_index(s->routes, route_t, k);

			if (route->was_owed && !over_limit(route))
				return true;
		}
	}
	return false;
}

void place_settle_debts(bw_place_t *p)
{
	if (p->owing && debts_shrank(p))
		place_send_ack(p, 0, false);
}

void place_take_ack(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		    int64_t now_us)
{
	peer_state_t *state = place_peer(p, peer);
	uint32_t i;

	if (msg->reply_requested)
		place_send_ack(p, peer, false);
	if (msg->epoch < state->epoch)
		return;
	state->epoch = msg->epoch;
	state->all_owed = msg->all_over_share;
	g_hash_table_remove_all(state->owed);
	for (i = 0; i < msg->loan_count; i++) {
		uint64_t *id = g_new(uint64_t, 1);

		*id = msg->loans[i].worker;
		g_hash_table_add(state->owed, id);
	}
	place_raise_shares(p, now_us);
}

void place_note_time(bw_place_t *p, int64_t now_us)
{
	int64_t before_us = p->last_us;
	uint32_t i;
	uint32_t k;

	p->last_us = now_us;
	if (p->epoch == 0 || before_us == 0 || p->config.stall_us == 0)
		return;
	if (now_us - before_us < p->config.stall_us)
		return;
	for (i = 0; i < p->peers->len; i++) {
		peer_state_t *peer = g_ptr_array_index(p->peers, i);

		peer->epoch = 0;
	}
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w)
			continue;
		w->share = 0;
		place_refresh(p, i);
	}
	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++)
			g_array_index(s->routes, route_t, k).limit_share = 0;
	}
	p->rising = true;
	place_send_ack(p, 0, true);
}
