/* Slots lent between entries for short times. */
#include "place/internal.h"

#define ASK_FANOUT	   2
#define ASK_EVERY_US	   20000 /* Between questions about any pools. */
#define ASK_COUNT_MAX	   16
#define ASK_BACKOFF_MIN_US 20000
#define ASK_BACKOFF_MAX_US 200000
#define IDLE_RETURN_US	   100000

static loan_t *find_loan(GArray *loans, uint64_t peer);
static void add_loan(GArray **loans, uint64_t peer, uint32_t count,
		     int64_t until_us);
static uint32_t drop_lapsed_in(place_worker_t *w, int64_t now_us);
static uint32_t idle_borrowed(const place_worker_t *w);
static void give_back(bw_place_t *p, uint32_t worker, int64_t now_us);
static void return_expired(bw_place_t *p, uint32_t worker, int64_t now_us);
static void queue_return(bw_place_t *p, uint64_t peer, const place_worker_t *w,
			 uint32_t count);
static void flush_returns(bw_place_t *p, peer_state_t *state);
static uint32_t lendable(const bw_place_t *p, const place_worker_t *w);
static uint32_t collect(bw_place_t *p, uint32_t pool, uint64_t peer,
			uint32_t count, bw_place_msg_t *msg);
static void ask_pool(bw_place_t *p, uint32_t pool, uint32_t count,
		     uint32_t rank, int64_t now_us);
static uint64_t next_peer(bw_place_t *p, place_pool_t *pool);
static bool idle_by_choice(const place_pool_t *pool, uint32_t rank);
static void lapse_lent(bw_place_t *p, int64_t now_us);
static uint32_t find_pool(const bw_place_t *p, uint64_t id);

static loan_t *find_loan(GArray *loans, uint64_t peer)
{
	uint32_t i;

	if (!loans)
		return NULL;
	for (i = 0; i < loans->len; i++) {
		loan_t *loan = &g_array_index(loans, loan_t, i);

		if (loan->peer == peer)
			return loan;
	}
	return NULL;
}

static void add_loan(GArray **loans, uint64_t peer, uint32_t count,
		     int64_t until_us)
{
	loan_t loan = { .peer = peer, .count = count, .until_us = until_us };
	loan_t *known;

	if (!*loans)
		*loans = g_array_new(FALSE, FALSE, sizeof(loan_t));
	known = find_loan(*loans, peer);
	/*
	 * One time limit per peer keeps the list short; the earlier one is
	 * safe for both.
	 */
	if (known && !known->lost) {
		known->count += count;
		known->until_us = MIN(known->until_us, until_us);
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

static bool idle_by_choice(const place_pool_t *pool, uint32_t rank)
{
	uint32_t i;

	/* A peer's better work was promised the next free slot. */
	for (i = 0; i < pool->wants->len; i++)
		if (g_array_index(pool->wants, want_t, i).rank < rank)
			return true;
	return false;
}

static uint64_t next_peer(bw_place_t *p, place_pool_t *pool)
{
	uint32_t tries;

	for (tries = 0; tries < p->members->len; tries++) {
		uint32_t at = pool->ask_cursor++ % p->members->len;
		uint64_t id = g_array_index(p->members, uint64_t, at);

		if (id != p->config.self && place_peer(p, id)->up)
			return id;
	}
	return 0;
}

static void ask_pool(bw_place_t *p, uint32_t pool, uint32_t count,
		     uint32_t rank, int64_t now_us)
{
	place_pool_t *q = pool_at(p, pool);
	bw_place_msg_t msg = { .type = BW_PMSG_WANT,
			       .pool = q->id,
			       .stamp_us = now_us,
			       .rank = rank };
	uint32_t i;

	if (now_us < p->next_ask_us || now_us < q->next_ask_us ||
	    idle_by_choice(q, rank))
		return;
	p->next_ask_us = now_us + ASK_EVERY_US;
	msg.count = MIN(count, ASK_COUNT_MAX);
	q->ask_backoff_us = CLAMP(q->ask_backoff_us * 2, ASK_BACKOFF_MIN_US,
				  ASK_BACKOFF_MAX_US);
	q->next_ask_us = now_us + q->ask_backoff_us;
	for (i = 0; i < ASK_FANOUT && i + 1 < p->members->len; i++) {
		uint64_t peer = next_peer(p, q);

		if (peer == 0)
			return;
		bw_count(p->counters, BW_C_LOANS_ASKED, 1);
		p->ops->send(p->ctx, peer, &msg);
	}
}

void place_ask(bw_place_t *p, const place_service_t *s, int64_t now_us)
{
	uint32_t i;

	if (!p->config.lending || p->members->len < 2 || s->waiting == 0)
		return;
	for (i = 0; i < s->routes->len; i++) {
		const route_t *route = &g_array_index(s->routes, route_t, i);

		if (route->weight == 0 && route->spill == 0)
			continue;
		if (!place_route_has_room(route))
			continue;
		ask_pool(p, route->pool, s->waiting,
			 place_rank(p, s, route, now_us), now_us);
	}
}

void place_ask_all(bw_place_t *p, int64_t now_us)
{
	uint32_t i;

	if (p->waiting == 0)
		return;
	for (i = 0; i < p->services->len; i++)
		place_ask(p, service_at(p, i), now_us);
}

static uint32_t lendable(const bw_place_t *p, const place_worker_t *w)
{
	uint32_t free_slots = place_free(p, w);
	uint32_t own;

	if (w->share <= w->lent + w->busy_long)
		return 0;
	own = w->share - w->lent - w->busy_long;
	return MIN(free_slots, own);
}

static uint32_t collect(bw_place_t *p, uint32_t pool, uint64_t peer,
			uint32_t count, bw_place_msg_t *msg)
{
	place_pool_t *q = pool_at(p, pool);
	const uint64_t *members = (const uint64_t *)p->members->data;
	uint32_t taken = 0;
	uint32_t d;
	uint32_t i;

	for (d = 0; d < DISTANCE_COUNT; d++) {
		GArray *list = q->open[d];

		/* From the end, since lending may take a worker off the list.
		 */
		for (i = list->len; i > 0 && taken < count; i--) {
			uint32_t worker = g_array_index(list, uint32_t, i - 1);
			place_worker_t *w = worker_at(p, worker);

			if (lendable(p, w) == 0)
				continue;
			if (!bw_share_in_group(w->id, members, p->members->len,
					       peer))
				continue;
			w->lent++;
			add_loan(&w->loans_out, peer, 1, INT64_MAX);
			place_refresh(p, worker);
			msg->loans[msg->loan_count].worker = w->id;
			msg->loans[msg->loan_count].count = 1;
			msg->loan_count++;
			taken++;
		}
	}
	bw_count(p->counters, BW_C_LOANS_GRANTED, taken);
	return taken;
}

void place_take_want(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		     int64_t now_us)
{
	uint32_t pool = find_pool(p, msg->pool);
	bw_place_msg_t reply = { .type = BW_PMSG_GRANT,
				 .pool = msg->pool,
				 .stamp_us = msg->stamp_us };
	want_t want = { .peer = peer,
			.stamp_us = msg->stamp_us,
			.until_us = now_us + WANT_KEPT_US,
			.rank = msg->rank,
			.count = MIN(msg->count, ASK_COUNT_MAX) };
	uint32_t taken = 0;
	uint32_t open;

	if (pool != BW_NONE && p->config.lending &&
	    place_best_rank(p, pool, now_us) > msg->rank) {
		open = place_open_count(pool_at(p, pool));
		taken = collect(p, pool, peer, MIN(want.count, (open + 1) / 2),
				&reply);
	}
	p->ops->send(p->ctx, peer, &reply);
	if (pool == BW_NONE || taken >= want.count)
		return;
	want.count -= taken;
	g_array_append_val(pool_at(p, pool)->wants, want);
}

void place_lend_to_wants(bw_place_t *p, uint32_t pool, int64_t now_us)
{
	place_pool_t *q = pool_at(p, pool);
	uint32_t best;
	uint32_t i;

	if (q->wants->len == 0)
		return;
	best = place_best_rank(p, pool, now_us);
	for (i = 0; i < q->wants->len && place_open_count(q) > 0;) {
		want_t want = g_array_index(q->wants, want_t, i);
		bw_place_msg_t msg = { .type = BW_PMSG_GRANT,
				       .pool = q->id,
				       .stamp_us = want.stamp_us };
		uint32_t taken = 0;

		if (now_us < want.until_us && want.rank < best)
			taken = collect(p, pool, want.peer, want.count, &msg);
		if (taken > 0)
			p->ops->send(p->ctx, want.peer, &msg);
		g_array_index(q->wants, want_t, i).count -= taken;
		if (taken == want.count || now_us >= want.until_us)
			g_array_remove_index_fast(q->wants, i);
		else
			i++;
	}
}

void place_take_grant(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us)
{
	/* Counted from the question, so that it ends before the lender's. */
	int64_t until_us = msg->stamp_us + p->config.loan_ttl_us;
	uint32_t pool = find_pool(p, msg->pool);
	uint32_t i;

	for (i = 0; i < msg->loan_count; i++) {
		gpointer found = g_hash_table_lookup(p->worker_index,
						     &msg->loans[i].worker);
		uint32_t worker = GPOINTER_TO_UINT(found) - 1;
		place_worker_t *w;

		if (!found) {
			bw_place_msg_t back = { .type = BW_PMSG_RETURN,
						.loan_count = 1 };

			back.loans[0] = msg->loans[i];
			p->ops->send(p->ctx, peer, &back);
			continue;
		}
		w = worker_at(p, worker);
		if (!w->loans_in || w->loans_in->len == 0)
			g_array_append_val(p->borrowing, worker);
		add_loan(&w->loans_in, peer, msg->loans[i].count, until_us);
		w->borrowed += msg->loans[i].count;
		w->idle_since_us = now_us;
		place_refresh(p, worker);
	}
	if (pool == BW_NONE)
		return;
	if (msg->loan_count > 0) {
		pool_at(p, pool)->ask_backoff_us = 0;
		pool_at(p, pool)->next_ask_us = now_us;
	}
	place_dispatch(p, pool, now_us);
}

void place_take_return(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		       int64_t now_us)
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
		if (!loan || loan->lost)
			continue;
		count = MIN(count, loan->count);
		loan->count -= count;
		w->lent -= count;
		bw_count(p->counters, BW_C_LOANS_RETURNED, count);
		if (loan->count == 0)
			g_array_remove_index_fast(
				w->loans_out,
				(guint)(loan - (loan_t *)w->loans_out->data));
		place_refresh(p, worker);
		place_dispatch(p, w->pool, now_us);
	}
}

/* Collects the returns of a tick, so that a peer gets them in one message. */
static void queue_return(bw_place_t *p, uint64_t peer, const place_worker_t *w,
			 uint32_t count)
{
	peer_state_t *state = place_peer(p, peer);

	if (!state->returns) {
		state->returns = g_new0(bw_place_msg_t, 1);
		state->returns->type = BW_PMSG_RETURN;
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
	uint32_t rights = w->share + w->borrowed;
	uint32_t used = w->lent + w->busy;

	if (rights <= used)
		return 0;
	return MIN(rights - used, w->borrowed);
}

/* Stops counting lapsed loans; they go back once no request uses them. */
static uint32_t drop_lapsed_in(place_worker_t *w, int64_t now_us)
{
	uint32_t valid = 0;
	uint32_t lapsed = 0;
	uint32_t i;

	for (i = 0; i < w->loans_in->len; i++) {
		loan_t *loan = &g_array_index(w->loans_in, loan_t, i);

		if (now_us < loan->until_us)
			valid += loan->count;
		else
			lapsed += loan->count;
	}
	w->borrowed = valid;
	return lapsed;
}

static void return_expired(bw_place_t *p, uint32_t worker, int64_t now_us)
{
	place_worker_t *w = worker_at(p, worker);
	uint32_t lapsed = drop_lapsed_in(w, now_us);
	uint32_t used = w->busy + w->lent;
	uint32_t covered = w->share + w->borrowed;
	uint32_t in_use = used > covered ? used - covered : 0;
	uint32_t spare = lapsed > in_use ? lapsed - in_use : 0;
	uint32_t i;

	for (i = 0; i < w->loans_in->len && spare > 0;) {
		loan_t *loan = &g_array_index(w->loans_in, loan_t, i);
		uint32_t n = MIN(spare, loan->count);

		if (now_us < loan->until_us) {
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

static void give_back(bw_place_t *p, uint32_t worker, int64_t now_us)
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

		if (now_us >= loan->until_us) {
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

static void lapse_lent(bw_place_t *p, int64_t now_us)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->lending->len;) {
		uint32_t worker = g_array_index(p->lending, uint32_t, i);
		place_worker_t *w = worker_at(p, worker);
		bool left = false;

		for (k = 0; w && w->loans_out && k < w->loans_out->len;) {
			loan_t *loan = &g_array_index(w->loans_out, loan_t, k);

			if (!loan->lost || now_us < loan->until_us) {
				left = left || loan->lost;
				k++;
				continue;
			}
			w->lent -= loan->count;
			bw_count(p->counters, BW_C_LOANS_LAPSED, loan->count);
			g_array_remove_index_fast(w->loans_out, k);
			place_refresh(p, worker);
			place_dispatch(p, w->pool, now_us);
		}
		if (left)
			i++;
		else
			g_array_remove_index_fast(p->lending, i);
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
			give_back(p, worker, now_us);
			place_refresh(p, worker);
		}
		if (w && w->loans_in && w->loans_in->len > 0)
			i++;
		else
			g_array_remove_index_fast(p->borrowing, i);
	}
	for (i = 0; i < p->peers->len; i++)
		flush_returns(p, g_ptr_array_index(p->peers, i));
	lapse_lent(p, now_us);
}

void place_loan_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us)
{
	int64_t until_us =
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
			drop_lapsed_in(w, now_us);
		}
		loan = find_loan(w->loans_out, peer);
		if (loan && !loan->lost) {
			loan->lost = true;
			loan->until_us = until_us;
			g_array_append_val(p->lending, i);
		}
		place_refresh(p, i);
	}
	if (place_peer(p, peer)->returns)
		place_peer(p, peer)->returns->loan_count = 0;
	for (i = 0; i < p->pools->len; i++) {
		GArray *wants = pool_at(p, i)->wants;
		uint32_t k;

		for (k = 0; k < wants->len;) {
			if (g_array_index(wants, want_t, k).peer == peer)
				g_array_remove_index_fast(wants, k);
			else
				k++;
		}
	}
}
