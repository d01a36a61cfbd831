/* Lending of slots between entries for short times. */
#include "place/internal.h"

#define SLOT_REQUEST_FANOUT	    2
#define SLOT_REQUEST_INTERVAL_US    20000 /* For all pools together. */
#define SLOT_REQUEST_SLOTS_MAX	    16
#define SLOT_REQUEST_BACKOFF_MIN_US 20000
#define SLOT_REQUEST_BACKOFF_MAX_US 200000
#define IDLE_RETURN_US		    100000

static loan_t *find_loan(GArray *loans, uint64_t peer);
static void add_loan(GArray **loans, uint64_t peer, uint32_t count,
		     int64_t expires_us);
static uint32_t recount_borrowed(place_worker_t *w, int64_t now_us);
static uint32_t idle_borrowed(const place_worker_t *w);
static void return_idle(bw_place_t *p, uint32_t worker, int64_t now_us);
static void return_expired(bw_place_t *p, uint32_t worker, int64_t now_us);
static void queue_return(bw_place_t *p, uint64_t peer, const place_worker_t *w,
			 uint32_t count);
static void flush_returns(bw_place_t *p, peer_state_t *state);
static uint32_t lendable_slots(const bw_place_t *p, const place_worker_t *w);
static uint32_t lend_slots(bw_place_t *p, uint32_t pool, uint64_t peer,
			   uint32_t count, bw_place_msg_t *msg);
static void request_pool_slots(bw_place_t *p, uint32_t pool, uint32_t count,
			       uint32_t rank, int64_t now_us);
static uint64_t next_connected_peer(bw_place_t *p, place_pool_t *pool);
static bool promised_to_peer(const place_pool_t *pool, uint32_t rank);
static void drop_expired_requests(place_pool_t *pool, int64_t now_us);
static void expire_lost_loans(bw_place_t *p, int64_t now_us);
static uint32_t find_pool(const bw_place_t *p, uint64_t id);

/*
 * Loans to a lost peer are left out: they lapse by themselves, and the peer
 * does not return them when it is back.
 */
static loan_t *find_loan(GArray *loans, uint64_t peer)
{
	uint32_t i;

	if (!loans)
		return NULL;
	for (i = 0; i < loans->len; i++) {
		loan_t *loan = &g_array_index(loans, loan_t, i);

		if (loan->peer == peer && !loan->peer_lost)
			return loan;
	}
	return NULL;
}

static void add_loan(GArray **loans, uint64_t peer, uint32_t count,
		     int64_t expires_us)
{
	loan_t loan = { .peer = peer,
			.count = count,
			.expires_us = expires_us };
	loan_t *existing;

	if (!*loans)
		*loans = g_array_new(FALSE, FALSE, sizeof(loan_t));
	existing = find_loan(*loans, peer);
	/*
	 * One expiry time per peer keeps the list short; the earlier one is
	 * safe for both loans.
	 */
	if (existing) {
		existing->count += count;
		existing->expires_us = MIN(existing->expires_us, expires_us);
		return;
	}
	g_array_append_val(*loans, loan);
}

static uint32_t find_pool(const bw_place_t *p, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < p->pools->len; i++)
		if (pool_at(p, i)->id == id)
			return i;
	return BW_NONE;
}

/* Serving drops them only while the pool has available workers. */
static void drop_expired_requests(place_pool_t *pool, int64_t now_us)
{
	GArray *requests = pool->slot_requests;
	uint32_t i;

	for (i = requests->len; i > 0; i--)
		if (now_us >=
		    g_array_index(requests, slot_request_t, i - 1).expires_us)
			g_array_remove_index_fast(requests, i - 1);
}

static bool promised_to_peer(const place_pool_t *pool, uint32_t rank)
{
	uint32_t i;

	/* A peer's request of a better rank gets the next free slot. */
	for (i = 0; i < pool->slot_requests->len; i++)
		if (g_array_index(pool->slot_requests, slot_request_t, i).rank <
		    rank)
			return true;
	return false;
}

static uint64_t next_connected_peer(bw_place_t *p, place_pool_t *pool)
{
	uint32_t tries;

	for (tries = 0; tries < p->members->len; tries++) {
		uint32_t at = pool->peer_cursor++ % p->members->len;
		uint64_t id = g_array_index(p->members, uint64_t, at);

		if (id != p->config.self && place_get_peer(p, id)->connected)
			return id;
	}
	return 0;
}

static void request_pool_slots(bw_place_t *p, uint32_t pool, uint32_t count,
			       uint32_t rank, int64_t now_us)
{
	place_pool_t *q = pool_at(p, pool);
	bw_place_msg_t msg = { .type = BW_PLACE_MSG_SLOT_REQUEST,
			       .pool = q->id,
			       .stamp_us = now_us,
			       .rank = rank };
	uint32_t i;

	if (now_us < p->next_slot_request_us ||
	    now_us < q->next_slot_request_us)
		return;
	drop_expired_requests(q, now_us);
	if (promised_to_peer(q, rank))
		return;
	p->next_slot_request_us = now_us + SLOT_REQUEST_INTERVAL_US;
	msg.count = MIN(count, SLOT_REQUEST_SLOTS_MAX);
	q->slot_request_backoff_us =
		CLAMP(q->slot_request_backoff_us * 2,
		      SLOT_REQUEST_BACKOFF_MIN_US, SLOT_REQUEST_BACKOFF_MAX_US);
	q->next_slot_request_us = now_us + q->slot_request_backoff_us;
	for (i = 0; i < SLOT_REQUEST_FANOUT && i + 1 < p->members->len; i++) {
		uint64_t peer = next_connected_peer(p, q);

		if (peer == 0)
			return;
		bw_count(p->counters, BW_C_LOANS_ASKED, 1);
		p->ops->send(p->ctx, peer, &msg);
	}
}

void place_request_slots(bw_place_t *p, const place_service_t *s,
			 int64_t now_us)
{
	uint32_t i;

	if (!p->config.lending || p->members->len < 2 || s->waiting == 0)
		return;
	for (i = 0; i < s->routes->len; i++) {
		const route_t *route = &g_array_index(s->routes, route_t, i);

		if (route->weight == 0 && route->spill == 0)
			continue;
		if (!place_route_below_limit(route))
			continue;
		request_pool_slots(p, route->pool, s->waiting,
				   place_rank(p, s, route, now_us), now_us);
	}
}

void place_request_slots_all(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	if (p->waiting == 0)
		return;
	for (i = 0; i < p->services->len; i++)
		place_request_slots(p, service_at(p, i), now_us);
}

static uint32_t lendable_slots(const bw_place_t *p, const place_worker_t *w)
{
	uint32_t free_slots = place_free_slots(p, w);
	uint32_t own;

	if (w->share <= w->lent + w->busy_long)
		return 0;
	own = w->share - w->lent - w->busy_long;
	return MIN(free_slots, own);
}

static uint32_t lend_slots(bw_place_t *p, uint32_t pool, uint64_t peer,
			   uint32_t count, bw_place_msg_t *msg)
{
	place_pool_t *q = pool_at(p, pool);
	const uint64_t *members = (const uint64_t *)p->members->data;
	uint32_t lent = 0;
	uint32_t d;
	uint32_t i;

	for (d = 0; d < LOCALITY_COUNT; d++) {
		GArray *list = q->available[d];

		/* Backwards: lending may remove the worker from the list. */
		for (i = list->len; i > 0 && lent < count; i--) {
			uint32_t worker = g_array_index(list, uint32_t, i - 1);
			place_worker_t *w = worker_at(p, worker);

			if (lendable_slots(p, w) == 0)
				continue;
			if (!bw_share_in_group(w->id, members, p->members->len,
					       peer))
				continue;
			w->lent++;
			add_loan(&w->loans_out, peer, 1, INT64_MAX);
			place_update_available(p, worker);
			msg->loans[msg->loan_count].worker = w->id;
			msg->loans[msg->loan_count].count = 1;
			msg->loan_count++;
			lent++;
		}
	}
	bw_count(p->counters, BW_C_LOANS_GRANTED, lent);
	return lent;
}

void place_handle_slot_request(bw_place_t *p, uint64_t peer,
			       const bw_place_msg_t *msg, int64_t now_us)
{
	uint32_t pool = find_pool(p, msg->pool);
	bw_place_msg_t reply = { .type = BW_PLACE_MSG_GRANT,
				 .pool = msg->pool,
				 .stamp_us = msg->stamp_us };
	slot_request_t request = { .peer = peer,
				   .stamp_us = msg->stamp_us,
				   .expires_us = now_us + SLOT_REQUEST_TTL_US,
				   .rank = msg->rank,
				   .count = MIN(msg->count,
						SLOT_REQUEST_SLOTS_MAX) };
	uint32_t lent = 0;
	uint32_t available;

	if (pool != BW_NONE && p->config.lending &&
	    place_best_rank(p, pool, now_us) > msg->rank) {
		available = place_available_count(pool_at(p, pool));
		lent = lend_slots(p, pool, peer,
				  MIN(request.count, (available + 1) / 2),
				  &reply);
	}
	p->ops->send(p->ctx, peer, &reply);
	if (pool == BW_NONE || lent >= request.count)
		return;
	request.count -= lent;
	drop_expired_requests(pool_at(p, pool), now_us);
	g_array_append_val(pool_at(p, pool)->slot_requests, request);
}

void place_serve_slot_requests(bw_place_t *p, uint32_t pool, int64_t now_us)
{
	place_pool_t *q = pool_at(p, pool);
	uint32_t best;
	uint32_t i;

	if (q->slot_requests->len == 0)
		return;
	best = place_best_rank(p, pool, now_us);
	for (i = 0;
	     i < q->slot_requests->len && place_available_count(q) > 0;) {
		slot_request_t request =
			g_array_index(q->slot_requests, slot_request_t, i);
		bw_place_msg_t msg = { .type = BW_PLACE_MSG_GRANT,
				       .pool = q->id,
				       .stamp_us = request.stamp_us };
		uint32_t lent = 0;

		if (now_us < request.expires_us && request.rank < best)
			lent = lend_slots(p, pool, request.peer, request.count,
					  &msg);
		if (lent > 0)
			p->ops->send(p->ctx, request.peer, &msg);
		g_array_index(q->slot_requests, slot_request_t, i).count -=
			lent;
		if (lent == request.count || now_us >= request.expires_us)
			g_array_remove_index_fast(q->slot_requests, i);
		else
			i++;
	}
}

void place_handle_grant(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
			int64_t now_us)
{
	/* Counted from the request, so that it ends before the lender's. */
	int64_t expires_us = msg->stamp_us + p->config.loan_ttl_us;
	uint32_t pool = find_pool(p, msg->pool);
	uint32_t i;

	for (i = 0; i < msg->loan_count; i++) {
		gpointer found = g_hash_table_lookup(p->worker_index,
						     &msg->loans[i].worker);
		uint32_t worker = GPOINTER_TO_UINT(found) - 1;
		place_worker_t *w;

		if (!found) {
			bw_place_msg_t return_msg = {
				.type = BW_PLACE_MSG_RETURN, .loan_count = 1
			};

			return_msg.loans[0] = msg->loans[i];
			p->ops->send(p->ctx, peer, &return_msg);
			continue;
		}
		w = worker_at(p, worker);
		if (!w->loans_in || w->loans_in->len == 0)
			g_array_append_val(p->borrowing, worker);
		add_loan(&w->loans_in, peer, msg->loans[i].count, expires_us);
		w->borrowed += msg->loans[i].count;
		w->idle_since_us = now_us;
		place_update_available(p, worker);
	}
	if (pool == BW_NONE)
		return;
	if (msg->loan_count > 0) {
		pool_at(p, pool)->slot_request_backoff_us = 0;
		pool_at(p, pool)->next_slot_request_us = now_us;
	}
	place_dispatch(p, pool, now_us);
}

void place_handle_return(bw_place_t *p, uint64_t peer,
			 const bw_place_msg_t *msg, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < msg->loan_count; i++) {
		gpointer found = g_hash_table_lookup(p->worker_index,
						     &msg->loans[i].worker);
		uint32_t worker = GPOINTER_TO_UINT(found) - 1;
		uint32_t count = msg->loans[i].count;
		place_worker_t *w;
		loan_t *loan;

		if (!found)
			continue;
		w = worker_at(p, worker);
		loan = find_loan(w->loans_out, peer);
		if (!loan)
			continue;
		count = MIN(count, loan->count);
		loan->count -= count;
		w->lent -= count;
		bw_count(p->counters, BW_C_LOANS_RETURNED, count);
		if (loan->count == 0)
			g_array_remove_index_fast(
				w->loans_out,
				(guint)(loan - (loan_t *)w->loans_out->data));
		place_update_available(p, worker);
		place_dispatch(p, w->pool, now_us);
	}
}

/* Batches the returns of a tick into one message per peer. */
static void queue_return(bw_place_t *p, uint64_t peer, const place_worker_t *w,
			 uint32_t count)
{
	peer_state_t *state = place_get_peer(p, peer);

	if (!state->returns) {
		state->returns = g_new0(bw_place_msg_t, 1);
		state->returns->type = BW_PLACE_MSG_RETURN;
	}
	if (state->returns->loan_count == BW_LOANS_MAX)
		flush_returns(p, state);
	state->returns->loans[state->returns->loan_count].worker = w->id;
	state->returns->loans[state->returns->loan_count].count = count;
	state->returns->loan_count++;
}

static void flush_returns(bw_place_t *p, peer_state_t *state)
{
	if (!state->returns || state->returns->loan_count == 0)
		return;
	p->ops->send(p->ctx, state->id, state->returns);
	state->returns->loan_count = 0;
}

static uint32_t idle_borrowed(const place_worker_t *w)
{
	uint32_t slots = w->share + w->borrowed;
	uint32_t used = w->lent + w->busy;

	if (slots <= used)
		return 0;
	return MIN(slots - used, w->borrowed);
}

/*
 * Counts only valid loans as borrowed. Expired slots are returned once no
 * request uses them. Returns the number of expired slots.
 */
static uint32_t recount_borrowed(place_worker_t *w, int64_t now_us)
{
	uint32_t valid = 0;
	uint32_t expired = 0;
	uint32_t i;

	for (i = 0; i < w->loans_in->len; i++) {
		loan_t *loan = &g_array_index(w->loans_in, loan_t, i);

		if (now_us < loan->expires_us)
			valid += loan->count;
		else
			expired += loan->count;
	}
	w->borrowed = valid;
	return expired;
}

static void return_expired(bw_place_t *p, uint32_t worker, int64_t now_us)
{
	place_worker_t *w = worker_at(p, worker);
	uint32_t expired = recount_borrowed(w, now_us);
	uint32_t used = w->busy + w->lent;
	uint32_t covered = w->share + w->borrowed;
	uint32_t in_use = used > covered ? used - covered : 0;
	uint32_t spare = expired > in_use ? expired - in_use : 0;
	uint32_t i;

	for (i = 0; i < w->loans_in->len && spare > 0;) {
		loan_t *loan = &g_array_index(w->loans_in, loan_t, i);
		uint32_t n = MIN(spare, loan->count);

		if (now_us < loan->expires_us) {
			i++;
			continue;
		}
		queue_return(p, loan->peer, w, n);
		loan->count -= n;
		spare -= n;
		if (loan->count == 0)
			g_array_remove_index_fast(w->loans_in, i);
		else
			i++;
	}
}

static void return_idle(bw_place_t *p, uint32_t worker, int64_t now_us)
{
	place_worker_t *w = worker_at(p, worker);
	uint32_t idle = idle_borrowed(w);
	uint32_t i;

	if (idle == 0) {
		w->idle_since_us = now_us;
		return;
	}
	if (now_us - w->idle_since_us < IDLE_RETURN_US)
		return;
	for (i = 0; i < w->loans_in->len && idle > 0;) {
		loan_t *loan = &g_array_index(w->loans_in, loan_t, i);
		uint32_t n = MIN(idle, loan->count);

		if (now_us >= loan->expires_us) {
			i++;
			continue;
		}
		queue_return(p, loan->peer, w, n);
		loan->count -= n;
		w->borrowed -= n;
		idle -= n;
		if (loan->count == 0)
			g_array_remove_index_fast(w->loans_in, i);
		else
			i++;
	}
}

static void expire_lost_loans(bw_place_t *p, int64_t now_us)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->lent_to_lost->len;) {
		uint32_t worker = g_array_index(p->lent_to_lost, uint32_t, i);
		place_worker_t *w = worker_at(p, worker);
		bool remaining = false;

		for (k = 0; w && w->loans_out && k < w->loans_out->len;) {
			loan_t *loan = &g_array_index(w->loans_out, loan_t, k);

			if (!loan->peer_lost || now_us < loan->expires_us) {
				remaining = remaining || loan->peer_lost;
				k++;
				continue;
			}
			w->lent -= loan->count;
			bw_count(p->counters, BW_C_LOANS_LAPSED, loan->count);
			g_array_remove_index_fast(w->loans_out, k);
			place_update_available(p, worker);
			place_dispatch(p, w->pool, now_us);
		}
		if (remaining)
			i++;
		else
			g_array_remove_index_fast(p->lent_to_lost, i);
	}
}

void place_loan_tick(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < p->borrowing->len;) {
		uint32_t worker = g_array_index(p->borrowing, uint32_t, i);
		place_worker_t *w = worker_at(p, worker);

		if (w && w->loans_in) {
			return_expired(p, worker, now_us);
			return_idle(p, worker, now_us);
			place_update_available(p, worker);
		}
		if (w && w->loans_in && w->loans_in->len > 0)
			i++;
		else
			g_array_remove_index_fast(p->borrowing, i);
	}
	for (i = 0; i < p->peers->len; i++)
		flush_returns(p, g_ptr_array_index(p->peers, i));
	expire_lost_loans(p, now_us);
}

void place_loan_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us)
{
	int64_t expires_us =
		now_us + p->config.loan_ttl_us + p->config.run_max_us;
	uint32_t i;

	for (i = 0; i < p->workers->len; i++) {
		place_worker_t *w = worker_at(p, i);
		loan_t *loan;

		if (!w)
			continue;
		loan = find_loan(w->loans_in, peer);
		if (loan) {
			g_array_remove_index_fast(
				w->loans_in,
				(guint)(loan - (loan_t *)w->loans_in->data));
			recount_borrowed(w, now_us);
		}
		loan = find_loan(w->loans_out, peer);
		if (loan) {
			loan->peer_lost = true;
			loan->expires_us = expires_us;
			g_array_append_val(p->lent_to_lost, i);
		}
		place_update_available(p, i);
	}
	if (place_get_peer(p, peer)->returns)
		place_get_peer(p, peer)->returns->loan_count = 0;
	for (i = 0; i < p->pools->len; i++) {
		GArray *slot_requests = pool_at(p, i)->slot_requests;
		uint32_t k;

		for (k = 0; k < slot_requests->len;) {
			if (g_array_index(slot_requests, slot_request_t, k)
				    .peer == peer)
				g_array_remove_index_fast(slot_requests, k);
			else
				k++;
		}
	}
}
