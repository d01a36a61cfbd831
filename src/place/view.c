/* The division of slots under a view, and its change without overlap. */
#include "place/internal.h"

static bool over_target(const place_worker_t *w);
static bool raise_allowed(const bw_place_t *p, const place_worker_t *w,
			  int64_t now_us);
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

static void divide_limits(bw_place_t *p)
{
	const uint64_t *members = (const uint64_t *)p->members->data;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->services->len; i++) {
		place_service_t *s = service_at(p, i);

		for (k = 0; k < s->routes->len; k++) {
			route_t *route = &g_array_index(s->routes, route_t, k);
			uint64_t object = s->id ^ pool_at(p, route->pool)->id;

			route->limit_share =
				bw_share(object, route->limit, members,
					 p->members->len, p->config.self);
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
		p->settle_until_us = now_us + p->config.settle_us;
	g_array_free(p->members, TRUE);
	p->members = next;
	p->epoch = epoch;
	place_divide(p, now_us);
	place_send_ack(p, 0);
	place_dispatch_all(p, now_us);
}

uint64_t bw_place_epoch(const bw_place_t *p)
{
	return p->epoch;
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
				peer->id == id && peer->epoch >= p->epoch;
		}
		if (!acknowledged)
			return false;
	}
	return true;
}

static bool raise_allowed(const bw_place_t *p, const place_worker_t *w,
			  int64_t now_us)
{
	uint32_t i;

	if (now_us < p->settle_until_us)
		return false;
	for (i = 0; i < p->peers->len; i++) {
		const peer_state_t *peer = g_ptr_array_index(p->peers, i);

		if (!is_member(p->members, peer->id))
			continue;
		if (peer->all_owed || g_hash_table_contains(peer->owed, &w->id))
			return false;
	}
	return true;
}

void place_raise_shares(bw_place_t *p, int64_t now_us)
{
	bool left = false;
	uint32_t i;

	if (!p->rising || now_us < p->settle_until_us || !all_acknowledged(p))
		return;
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w || w->share >= w->target)
			continue;
		if (!raise_allowed(p, w, now_us)) {
			left = true;
			continue;
		}
		w->share = w->target;
		place_refresh(p, i);
	}
	p->rising = left;
	place_dispatch_all(p, now_us);
}

void place_send_ack(bw_place_t *p, uint64_t peer)
{
	bw_place_msg_t msg = { .type = BW_PMSG_ACK, .epoch = p->epoch };
	uint32_t i;

	p->owing = false;
	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);

		if (!w)
			continue;
		w->was_owed = over_target(w);
		if (!w->was_owed)
			continue;
		p->owing = true;
		if (msg.loan_count == BW_LOANS_MAX) {
			msg.all = true;
			continue;
		}
		msg.loans[msg.loan_count].worker = w->id;
		msg.loans[msg.loan_count].count = 1;
		msg.loan_count++;
	}
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

void place_settle_debts(bw_place_t *p)
{
	uint32_t i;

	if (!p->owing)
		return;
	for (i = 0; i < p->workers->len; i++) {
		const place_worker_t *w = worker_at(p, i);

		if (w && w->was_owed && !over_target(w)) {
			place_send_ack(p, 0);
			return;
		}
	}
}

void place_take_ack(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		    int64_t now_us)
{
	peer_state_t *state = place_peer(p, peer);
	uint32_t i;

	if (msg->epoch < state->epoch)
		return;
	state->epoch = msg->epoch;
	state->all_owed = msg->all;
	g_hash_table_remove_all(state->owed);
	for (i = 0; i < msg->loan_count; i++) {
		uint64_t *id = g_new(uint64_t, 1);

		*id = msg->loans[i].worker;
		g_hash_table_add(state->owed, id);
	}
	place_raise_shares(p, now_us);
}
