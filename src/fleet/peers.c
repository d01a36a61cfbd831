#include "fleet/peers.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "peer/peer.h"
#include "place/share.h"

/** A question without an answer for this long is given up. */
#define ANSWER_TIMEOUT_MS 300
#define HEARTBEAT_MS	  500
/** What a peer said of the store holds for so long. */
#define STORE_WORD_MS 1200
#define SILENCE_MS    3500
#define US_PER_MS     1000
#define SITE	      "fleet"

/** A question in progress. */
typedef struct question {
	bw_fleet_query_done_fn done;
	void *ctx;
	int64_t until_ms;
	uint64_t peer;
} question_t;

/** What a peer last said of the store. */
typedef struct word {
	int64_t heard_ms; /**< 0: nothing yet. */
	bool store_good;
} word_t;

struct bw_fleet_peers {
	bw_peers_t *peers;
	char *name;
	bw_fleet_query_handler_fn local;
	bw_fleet_peers_frame_fn other;
	void *ctx;
	GHashTable *questions; /**< Number to question_t. */
	GHashTable *up; /**< Connected peers, to word_t. */
	GHashTable *names; /**< Known nodes besides this one. */
	uint64_t last;
	int64_t beat_ms;
	bool store_good;
	bool told_good; /**< In the last heartbeat. */
};

static void on_up(void *ctx, uint64_t peer);
static void on_lost(void *ctx, uint64_t peer);
static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame);
static void answer_ask(bw_fleet_peers_t *q, uint64_t peer,
		       const Bramley__StateAsk *ask);
static void take_answer(bw_fleet_peers_t *q,
			const Bramley__StateAnswer *answer);
static void take_beat(bw_fleet_peers_t *q, uint64_t peer,
		      const Bramley__Heartbeat *beat);
static void end_question(bw_fleet_peers_t *q, uint64_t number,
			 const bw_fleet_query_answer_t *answer);

static const bw_peers_ops_t peer_ops = { on_up, on_lost, on_frame };

bw_status_t bw_fleet_peers_create(struct ev_loop *loop, const char *name,
				  const char *listen, uint64_t incarnation,
				  bw_fleet_query_handler_fn local,
				  bw_fleet_peers_frame_fn other, void *ctx,
				  bw_counters_t *counters,
				  bw_fleet_peers_t **out)
{
	bw_fleet_peers_t *q = g_new0(bw_fleet_peers_t, 1);
	bw_peers_config_t config = {
		.name = name,
		.site = SITE,
		.listen = listen,
		.incarnation = incarnation,
		.silence_timeout_us = (int64_t)SILENCE_MS * US_PER_MS,
	};
	bw_status_t status;

	status = bw_peers_create(loop, &config, &peer_ops, q, counters,
				 &q->peers);
	if (status != BW_OK) {
		g_free(q);
		return status;
	}
	q->name = g_strdup(name);
	q->local = local;
	q->other = other;
	q->ctx = ctx;
	q->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	q->up = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      g_free);
	q->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->store_good = true;
	q->told_good = true;
	*out = q;
	return BW_OK;
}

void bw_fleet_peers_destroy(bw_fleet_peers_t *q)
{
	if (!q)
		return;
	bw_peers_destroy(q->peers);
	g_hash_table_destroy(q->questions);
	g_hash_table_destroy(q->up);
	g_hash_table_destroy(q->names);
	g_free(q->name);
	g_free(q);
}

static void *key_of(uint64_t number)
{
	return g_memdup2(&number, sizeof(number));
}

static void on_up(void *ctx, uint64_t peer)
{
	bw_fleet_peers_t *q = ctx;

	g_hash_table_replace(q->up, key_of(peer), g_new0(word_t, 1));
}

static void on_lost(void *ctx, uint64_t peer)
{
	bw_fleet_peers_t *q = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove(q->up, &peer);
	/* Ended by the next tick. */
	g_hash_table_iter_init(&iter, q->questions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		question_t *question = value;

		if (question->peer == peer)
			question->until_ms = 0;
	}
}

static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame)
{
	bw_fleet_peers_t *q = ctx;

	if (frame->body_case == BRAMLEY__FRAME__BODY_STATE_ASK)
		answer_ask(q, peer, frame->state_ask);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_STATE_ANSWER)
		take_answer(q, frame->state_answer);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_HEARTBEAT)
		take_beat(q, peer, frame->heartbeat);
	else
		q->other(q->ctx, frame);
}

static void take_beat(bw_fleet_peers_t *q, uint64_t peer,
		      const Bramley__Heartbeat *beat)
{
	word_t *word = g_hash_table_lookup(q->up, &peer);

	if (!word)
		return;
	word->heard_ms = bw_clock_now_ms();
	word->store_good = beat->store_good;
}

static void answer_ask(bw_fleet_peers_t *q, uint64_t peer,
		       const Bramley__StateAsk *ask)
{
	Bramley__StateAnswer message = BRAMLEY__STATE_ANSWER__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	bw_fleet_query_answer_t answer = { 0 };

	q->local(q->ctx, ask->pool, ask->job[0] ? ask->job : NULL,
		 ask->queue[0] ? ask->queue : NULL, &answer);
	message.number = ask->number;
	message.owner = answer.owner;
	message.holds = answer.holds;
	message.state = answer.state;
	message.waiting = answer.waiting;
	frame.body_case = BRAMLEY__FRAME__BODY_STATE_ANSWER;
	frame.state_answer = &message;
	bw_peers_send(q->peers, peer, &frame);
}

static void end_question(bw_fleet_peers_t *q, uint64_t number,
			 const bw_fleet_query_answer_t *answer)
{
	question_t *question = g_hash_table_lookup(q->questions, &number);
	bw_fleet_query_done_fn done;
	void *ctx;

	if (!question)
		return;
	done = question->done;
	ctx = question->ctx;
	g_hash_table_remove(q->questions, &number);
	done(ctx, answer);
}

static void take_answer(bw_fleet_peers_t *q, const Bramley__StateAnswer *answer)
{
	bw_fleet_query_answer_t out = {
		.holds = answer->holds,
		.owner = answer->owner && answer->state < BW_JOB_STATE_COUNT,
		.state = (bw_job_state_t)answer->state,
		.waiting = answer->waiting,
	};

	end_question(q, answer->number, &out);
}

void bw_fleet_peers_set_node(bw_fleet_peers_t *q, const char *name,
			     const char *address)
{
	if (!strcmp(name, q->name))
		return;
	if (address)
		g_hash_table_add(q->names, g_strdup(name));
	else
		g_hash_table_remove(q->names, name);
	if (address)
		bw_peers_add(q->peers, name, address);
	else
		bw_peers_remove(q->peers, name);
}

void bw_fleet_peers_query(bw_fleet_peers_t *q, const char *node,
			  const char *pool, const char *job, const char *queue,
			  bw_fleet_query_done_fn done, void *ctx)
{
	Bramley__StateAsk message = BRAMLEY__STATE_ASK__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	uint64_t peer = bw_name_id(node);
	question_t *question;

	if (!g_hash_table_contains(q->up, &peer)) {
		done(ctx, NULL);
		return;
	}
	question = g_new0(question_t, 1);
	question->done = done;
	question->ctx = ctx;
	question->peer = peer;
	question->until_ms = bw_clock_now_ms() + ANSWER_TIMEOUT_MS;
	message.number = ++q->last;
	message.pool = (char *)pool;
	if (job)
		message.job = (char *)job;
	if (queue)
		message.queue = (char *)queue;
	g_hash_table_insert(q->questions, key_of(message.number), question);
	frame.body_case = BRAMLEY__FRAME__BODY_STATE_ASK;
	frame.state_ask = &message;
	bw_peers_send(q->peers, peer, &frame);
}

static void end_expired(bw_fleet_peers_t *q, int64_t now_ms)
{
	GArray *over = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, q->questions);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (now_ms >= ((question_t *)value)->until_ms)
			g_array_append_val(over, *(uint64_t *)key);
	for (i = 0; i < over->len; i++)
		end_question(q, g_array_index(over, uint64_t, i), NULL);
	g_array_free(over, TRUE);
}

static void send_beat(void *ctx, uint64_t peer, const char *name, bool up)
{
	bw_fleet_peers_t *q = ctx;
	Bramley__Heartbeat beat = BRAMLEY__HEARTBEAT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	(void)name;
	if (!up)
		return;
	frame.body_case = BRAMLEY__FRAME__BODY_HEARTBEAT;
	beat.store_good = q->store_good;
	frame.heartbeat = &beat;
	bw_peers_send(q->peers, peer, &frame);
}

void bw_fleet_peers_tick(bw_fleet_peers_t *q, int64_t now_ms)
{
	end_expired(q, now_ms);
	bw_peers_tick(q->peers, now_ms * US_PER_MS);
	if (now_ms - q->beat_ms < HEARTBEAT_MS && q->told_good == q->store_good)
		return;
	q->beat_ms = now_ms;
	q->told_good = q->store_good;
	bw_peers_foreach(q->peers, send_beat, q);
}

void bw_fleet_peers_set_store_reachable(bw_fleet_peers_t *q, bool good)
{
	q->store_good = good;
}

bool bw_fleet_peers_store_outage(const bw_fleet_peers_t *q, int64_t now_ms)
{
	uint32_t agree = 1;
	GHashTableIter iter;
	gpointer value;

	if (q->store_good)
		return false;
	g_hash_table_iter_init(&iter, q->up);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const word_t *word = value;

		if (word->heard_ms == 0 ||
		    now_ms - word->heard_ms > STORE_WORD_MS)
			continue;
		if (word->store_good)
			return false;
		agree++;
	}
	return agree * 2 > g_hash_table_size(q->names) + 1;
}

void bw_fleet_peers_send(bw_fleet_peers_t *q, const char *node,
			 const Bramley__Frame *frame)
{
	bw_peers_send(q->peers, bw_name_id(node), frame);
}
