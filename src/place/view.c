/* Divides slots and limits among the members of a view without overlap. */
#include "place/internal.h"

static bool over_target(const place_worker_t *w);
static bool raise_allowed(const bw_place_t *p, uint64_t object);
static bool raise_limits(bw_place_t *p);
static void add_over_share(bw_place_msg_t *msg, uint64_t object);
static bool usage_reduced(const bw_place_t *p);
static uint64_t cell_id(const bw_place_t *p, const place_service_t *s,
			const route_t *route);
static bool all_acked(const bw_place_t *p);
static bool is_member(const GArray *members, uint64_t id);
static void update_limit_targets(bw_place_t *p);

peer_state_t *place_get_peer(bw_place_t *p, uint64_t id)
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
	peer->over_share = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	g_ptr_array_add(p->peers, peer);
	return peer;
}

void place_peer_free(gpointer data)
{
	peer_state_t *peer = data;

	g_hash_table_destroy(peer->over_share);
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

/* Returns the identifier of a table cell, under which its limit is divided. */
static uint64_t cell_id(const bw_place_t *p, const place_service_t *s,
			const route_t *route)
{
	return s->id ^ pool_at(p, route->pool)->id;
}

static void update_limit_targets(bw_place_t *p)
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
				p->raise_pending = true;
		}
	}
}

void place_update_targets(bw_place_t *p, int64_t now_us)
{
	const uint64_t *members = (const uint64_t *)p->members->data;
	uint32_t i;

	if (p->members->len == 0)
		return;
	update_limit_targets(p);
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w)
			continue;
		w->target = bw_share(w->id, w->present ? w->slots : 0, members,
				     p->members->len, p->config.self);
		w->share = MIN(w->share, w->target);
		if (w->share < w->target)
			p->raise_pending = true;
		place_update_available(p, i);
	}
	place_raise_shares(p, now_us);
}

void bw_place_set_view(bw_place_t *p, uint64_t epoch, const uint64_t *members,
		       uint32_t member_count, int64_t now_us)
{
	GArray *next;
	uint32_t i;
	bool member_left;

	if (epoch <= p->epoch)
		return;
	next = g_array_sized_new(FALSE, FALSE, sizeof(uint64_t), member_count);
	g_array_append_vals(next, members, member_count);
	/* An entry that left, even unnoticed, may still run requests. */
	member_left = p->epoch > 0 && epoch != p->epoch + 1;
	for (i = 0; i < p->members->len && !member_left; i++)
		member_left = !is_member(
			next, g_array_index(p->members, uint64_t, i));
	if (member_left || p->epoch == 0)
		p->raise_after_us = now_us + p->config.takeover_delay_us;
	g_array_free(p->members, TRUE);
	p->members = next;
	p->epoch = epoch;
	place_update_targets(p, now_us);
	place_send_ack(p, 0, false);
	place_dispatch_all(p, now_us);
}

static bool over_target(const place_worker_t *w)
{
	return w->busy + w->lent > w->target + w->borrowed;
}

static bool all_acked(const bw_place_t *p)
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
		if (peer->all_over_share ||
		    g_hash_table_contains(peer->over_share, &object))
			return false;
	}
	return true;
}

/* Returns whether some limit stays below its target. */
static bool raise_limits(bw_place_t *p)
{
	bool remaining = false;
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
				remaining = true;
		}
	}
	return remaining;
}

void place_raise_shares(bw_place_t *p, int64_t now_us)
{
	bool remaining;
	uint32_t i;

	if (!p->raise_pending || now_us < p->raise_after_us || !all_acked(p))
		return;
	remaining = raise_limits(p);
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w || w->share >= w->target)
			continue;
		if (!raise_allowed(p, w->id)) {
			remaining = true;
			continue;
		}
		w->share = w->target;
		place_update_available(p, i);
	}
	p->raise_pending = remaining;
	place_dispatch_all(p, now_us);
}

static bool over_limit(const route_t *route)
{
	return route->limit > 0 && route->running > route->limit_target;
}

static void add_over_share(bw_place_msg_t *msg, uint64_t object)
{
	if (msg->loan_count == BW_LOANS_MAX) {
		msg->all_over_share = true;
		return;
	}
	msg->loans[msg->loan_count].worker = object;
	msg->loans[msg->loan_count].count = 1;
	msg->loan_count++;
}

void place_send_ack(bw_place_t *p, uint64_t peer, bool reply_requested)
{
	bw_place_msg_t msg = { .type = BW_PLACE_MSG_ACK,
			       .epoch = p->epoch,
			       .reply_requested = reply_requested };
	uint32_t i;
	uint32_t k;

	p->reported_over_share = false;
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w)
			continue;
		w->was_over_share = over_target(w);
		if (w->was_over_share)
			add_over_share(&msg, w->id);
	}
	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			route_t *route = &g_array_index(s->routes, route_t, k);

			route->was_over_limit = over_limit(route);
			if (route->was_over_limit)
				add_over_share(&msg, cell_id(p, s, route));
		}
	}
	p->reported_over_share = msg.loan_count > 0;
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

static bool usage_reduced(const bw_place_t *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->workers->len; i++) {
		const place_worker_t *w = worker_at(p, i);

		if (w && w->was_over_share && !over_target(w))
			return true;
	}
	for (i = 0; i < p->services->len; i++) {
		const place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			const route_t *route =
				&g_array_index(s->routes, route_t, k);

			if (route->was_over_limit && !over_limit(route))
				return true;
		}
	}
	return false;
}

void place_report_reduced_usage(bw_place_t *p)
{
	if (p->reported_over_share && usage_reduced(p))
		place_send_ack(p, 0, false);
}

void place_handle_ack(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us)
{
	peer_state_t *state = place_get_peer(p, peer);
	uint32_t i;

	if (msg->reply_requested)
		place_send_ack(p, peer, false);
	if (msg->epoch < state->epoch)
		return;
	state->epoch = msg->epoch;
	state->all_over_share = msg->all_over_share;
	g_hash_table_remove_all(state->over_share);
	for (i = 0; i < msg->loan_count; i++) {
		uint64_t *id = g_new(uint64_t, 1);

		*id = msg->loans[i].worker;
		g_hash_table_add(state->over_share, id);
	}
	place_raise_shares(p, now_us);
}

void place_record_time(bw_place_t *p, int64_t now_us)
{
	int64_t previous_us = p->last_us;
	uint32_t i;
	uint32_t k;

	p->last_us = now_us;
	if (p->epoch == 0 || previous_us == 0 || p->config.stall_us == 0)
		return;
	if (now_us - previous_us < p->config.stall_us)
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
		place_update_available(p, i);
	}
	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++)
			g_array_index(s->routes, route_t, k).limit_share = 0;
	}
	p->raise_pending = true;
	place_send_ack(p, 0, true);
}
