#include "fleet/inquiry.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "peer/peer.h"
#include "place/share.h"

/** A question without an answer for this long is given up. */
#define ANSWER_TIMEOUT_MS 300
#define HEARTBEAT_MS	  1000
#define SILENCE_MS	  3500
#define US_PER_MS	  1000
#define SITE		  "fleet"

/** A question in progress. */
typedef struct question {
	bw_inquiry_fn done;
	void *ctx;
	int64_t until_ms;
	uint64_t peer;
} question_t;

struct bw_inquiry {
	bw_peers_t *peers;
	char *name;
	bw_inquiry_local_fn local;
	void *ctx;
	GHashTable *questions; /**< Number to question_t. */
	GHashTable *up; /**< Identifiers of peers that are connected. */
	uint64_t last;
	int64_t beat_ms;
};

static void on_up(void *ctx, uint64_t peer);
static void on_lost(void *ctx, uint64_t peer);
static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame);
static void answer_ask(bw_inquiry_t *q, uint64_t peer,
		       const Bramley__StateAsk *ask);
static void take_answer(bw_inquiry_t *q, const Bramley__StateAnswer *answer);
static void end_question(bw_inquiry_t *q, uint64_t number,
			 const bw_inquiry_answer_t *answer);

static const bw_peers_ops_t peer_ops = { on_up, on_lost, on_frame };

bw_status_t bw_inquiry_create(struct ev_loop *loop, const char *name,
			      const char *listen, uint64_t incarnation,
			      bw_inquiry_local_fn local, void *ctx,
			      bw_counters_t *counters, bw_inquiry_t **out)
{
	bw_inquiry_t *q = g_new0(bw_inquiry_t, 1);
	bw_peers_config_t config = {
		.name = name,
		.site = SITE,
		.listen = listen,
		.incarnation = incarnation,
		.silence_us = (int64_t)SILENCE_MS * US_PER_MS,
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
	q->ctx = ctx;
	q->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	q->up = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      NULL);
	*out = q;
	return BW_OK;
}

void bw_inquiry_destroy(bw_inquiry_t *q)
{
	if (!q)
		return;
	bw_peers_destroy(q->peers);
	g_hash_table_destroy(q->questions);
	g_hash_table_destroy(q->up);
	g_free(q->name);
	g_free(q);
}

static void *key_of(uint64_t number)
{
	return g_memdup2(&number, sizeof(number));
}

static void on_up(void *ctx, uint64_t peer)
{
	bw_inquiry_t *q = ctx;

	g_hash_table_add(q->up, key_of(peer));
}

static void on_lost(void *ctx, uint64_t peer)
{
	bw_inquiry_t *q = ctx;
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
	bw_inquiry_t *q = ctx;

	if (frame->body_case == BRAMLEY__FRAME__BODY_STATE_ASK)
		answer_ask(q, peer, frame->state_ask);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_STATE_ANSWER)
		take_answer(q, frame->state_answer);
}

static void answer_ask(bw_inquiry_t *q, uint64_t peer,
		       const Bramley__StateAsk *ask)
{
	Bramley__StateAnswer message = BRAMLEY__STATE_ANSWER__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	bw_inquiry_answer_t answer = { 0 };

	q->local(q->ctx, ask->pool, ask->job[0] ? ask->job : NULL,
		 ask->queue[0] ? ask->queue : NULL, &answer);
	message.number = ask->number;
	message.owner = answer.owner;
	message.state = answer.state;
	message.waiting = answer.waiting;
	frame.body_case = BRAMLEY__FRAME__BODY_STATE_ANSWER;
	frame.state_answer = &message;
	bw_peers_send(q->peers, peer, &frame);
}

static void end_question(bw_inquiry_t *q, uint64_t number,
			 const bw_inquiry_answer_t *answer)
{
	question_t *question = g_hash_table_lookup(q->questions, &number);
	bw_inquiry_fn done;
	void *ctx;

	if (!question)
		return;
	done = question->done;
	ctx = question->ctx;
	g_hash_table_remove(q->questions, &number);
	done(ctx, answer);
}

static void take_answer(bw_inquiry_t *q, const Bramley__StateAnswer *answer)
{
	bw_inquiry_answer_t out = {
		.owner = answer->owner && answer->state < BW_JOB_STATE_COUNT,
		.state = (bw_job_state_t)answer->state,
		.waiting = answer->waiting,
	};

	end_question(q, answer->number, &out);
}

void bw_inquiry_node(bw_inquiry_t *q, const char *name, const char *address)
{
	if (!strcmp(name, q->name))
		return;
	if (address)
		bw_peers_add(q->peers, name, address);
	else
		bw_peers_remove(q->peers, name);
}

void bw_inquiry_ask(bw_inquiry_t *q, const char *node, const char *pool,
		    const char *job, const char *queue, bw_inquiry_fn done,
		    void *ctx)
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

static void end_expired(bw_inquiry_t *q, int64_t now_ms)
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
	bw_inquiry_t *q = ctx;
	Bramley__Heartbeat beat = BRAMLEY__HEARTBEAT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	(void)name;
	if (!up)
		return;
	frame.body_case = BRAMLEY__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	bw_peers_send(q->peers, peer, &frame);
}

void bw_inquiry_tick(bw_inquiry_t *q, int64_t now_ms)
{
	end_expired(q, now_ms);
	bw_peers_tick(q->peers, now_ms * US_PER_MS);
	if (now_ms - q->beat_ms < HEARTBEAT_MS)
		return;
	q->beat_ms = now_ms;
	bw_peers_foreach(q->peers, send_beat, q);
}
