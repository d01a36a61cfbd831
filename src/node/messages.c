/* Encodes messages between entries as frames and decodes received frames. */
#include "node/internal.h"

#include <string.h>

static void on_up(void *ctx, uint64_t peer);
static void on_lost(void *ctx, uint64_t peer);
static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame);
static void handle_heartbeat(bw_node_t *n, uint64_t peer,
			     const Bramley__Frame *frame);
static void handle_place(bw_node_t *n, uint64_t peer,
			 const Bramley__Frame *frame);
static void handle_once(bw_node_t *n, uint64_t peer,
			const Bramley__Frame *frame);
static void handle_document_request(bw_node_t *n, uint64_t peer,
				    const Bramley__Frame *frame);
static void handle_document(bw_node_t *n, uint64_t peer,
			    const Bramley__Frame *frame);
static void send_heartbeat(bw_node_t *n, uint64_t peer);

const bw_peers_ops_t node_peers_ops = {
	.up = on_up,
	.lost = on_lost,
	.frame = on_frame,
};

typedef void (*frame_fn)(bw_node_t *n, uint64_t peer,
			 const Bramley__Frame *frame);

static const frame_fn frame_handlers[] = {
	[BRAMLEY__FRAME__BODY_HEARTBEAT] = handle_heartbeat,
	[BRAMLEY__FRAME__BODY_PLACE] = handle_place,
	[BRAMLEY__FRAME__BODY_ONCE] = handle_once,
	[BRAMLEY__FRAME__BODY_ASK] = handle_document_request,
	[BRAMLEY__FRAME__BODY_DOCUMENT] = handle_document,
};

static void on_up(void *ctx, uint64_t peer)
{
	bw_node_t *n = ctx;

	send_heartbeat(n, peer);
	bw_place_peer_up(n->place, peer, bw_now_us());
}

static void on_lost(void *ctx, uint64_t peer)
{
	bw_node_t *n = ctx;

	bw_place_peer_lost(n->place, peer, bw_now_us());
	bw_once_claimant_lost(n->once, peer, bw_wall_ms());
}

static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame)
{
	if (frame->body_case < G_N_ELEMENTS(frame_handlers) &&
	    frame_handlers[frame->body_case])
		frame_handlers[frame->body_case](ctx, peer, frame);
}

static void send_heartbeat(bw_node_t *n, uint64_t peer)
{
	Bramley__Heartbeat beat = BRAMLEY__HEARTBEAT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	bw_view_heartbeat_t view;

	bw_view_make_heartbeat(n->view, peer, bw_now_us(), &view);
	beat.epoch = view.epoch;
	beat.stamp_us = view.stamp_us;
	beat.echo_us = view.echo_us;
	beat.promise = view.promise;
	beat.known = n->latest_revision;
	frame.body_case = BRAMLEY__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	bw_peers_send(n->peers, peer, &frame);
}

static void send_heartbeat_if_up(void *ctx, uint64_t peer, const char *name,
				 bool up)
{
	(void)name;
	if (up)
		send_heartbeat(ctx, peer);
}

void node_send_heartbeats(bw_node_t *n)
{
	bw_peers_foreach(n->peers, send_heartbeat_if_up, n);
}

static void handle_heartbeat(bw_node_t *n, uint64_t peer,
			     const Bramley__Frame *frame)
{
	const Bramley__Heartbeat *beat = frame->heartbeat;
	bw_view_heartbeat_t view = { .epoch = beat->epoch,
				     .stamp_us = beat->stamp_us,
				     .echo_us = beat->echo_us,
				     .promise = beat->promise };
	Bramley__DocumentAsk request = BRAMLEY__DOCUMENT_ASK__INIT;
	Bramley__Frame out = BRAMLEY__FRAME__INIT;

	bw_view_handle_heartbeat(n->view, peer, &view, bw_now_us());
	if (beat->known <= n->latest_revision)
		return;
	request.after = n->latest_revision;
	out.body_case = BRAMLEY__FRAME__BODY_ASK;
	out.ask = &request;
	bw_peers_send(n->peers, peer, &out);
}

static void send_document(bw_node_t *n, uint64_t peer, bw_document_id_t id)
{
	Bramley__Document document = BRAMLEY__DOCUMENT__INIT;
	Bramley__Frame out = BRAMLEY__FRAME__INIT;
	const bw_document_t *doc = &n->documents[id];
	gsize bytes;

	document.document = id;
	document.revision = doc->revision;
	document.value.data = (uint8_t *)g_bytes_get_data(doc->value, &bytes);
	document.value.len = bytes;
	out.body_case = BRAMLEY__FRAME__BODY_DOCUMENT;
	out.document = &document;
	bw_peers_send(n->peers, peer, &out);
}

/*
 * Returns the document with the lowest revision above a given one, or
 * BW_DOC_COUNT.
 */
static bw_document_id_t next_document_after(const bw_node_t *n,
					    int64_t revision)
{
	bw_document_id_t best = BW_DOC_COUNT;
	bw_document_id_t id;

	for (id = 0; id < BW_DOC_COUNT; id++) {
		int64_t candidate = n->documents[id].revision;

		if (candidate <= revision)
			continue;
		if (best == BW_DOC_COUNT ||
		    candidate < n->documents[best].revision)
			best = id;
	}
	return best;
}

static void handle_document_request(bw_node_t *n, uint64_t peer,
				    const Bramley__Frame *frame)
{
	int64_t after = frame->ask->after;
	bw_document_id_t id;

	/* In order: a peer requests only what is above its latest_revision. */
	while ((id = next_document_after(n, after)) != BW_DOC_COUNT) {
		send_document(n, peer, id);
		after = n->documents[id].revision;
	}
}

static void handle_document(bw_node_t *n, uint64_t peer,
			    const Bramley__Frame *frame)
{
	const Bramley__Document *d = frame->document;

	(void)peer;
	if (d->document < BW_DOC_COUNT)
		node_handle_document(n, d->document, d->revision, d->value.data,
				     d->value.len);
}

static void handle_place(bw_node_t *n, uint64_t peer,
			 const Bramley__Frame *frame)
{
	const Bramley__Place *in = frame->place;
	bw_place_msg_t msg = { .type = in->type,
			       .pool = in->pool,
			       .epoch = in->epoch,
			       .stamp_us = in->stamp_us,
			       .count = in->count,
			       .rank = in->rank,
			       .all_over_share = in->all,
			       .reply_requested = in->ask };
	size_t i;

	for (i = 0; i < in->n_loans && i < BW_LOANS_MAX; i++) {
		msg.loans[i].worker = in->loans[i]->worker;
		msg.loans[i].count = in->loans[i]->count;
		msg.loan_count++;
	}
	bw_place_receive(n->place, peer, &msg, bw_now_us());
}

void node_send_place(void *ctx, uint64_t peer, const bw_place_msg_t *msg)
{
	bw_node_t *n = ctx;
	Bramley__Place place = BRAMLEY__PLACE__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	Bramley__Loan loans[BW_LOANS_MAX];
	Bramley__Loan *pointers[BW_LOANS_MAX];
	uint32_t i;

	if (!n->peers)
		return;
	for (i = 0; i < msg->loan_count; i++) {
		bramley__loan__init(&loans[i]);
		loans[i].worker = msg->loans[i].worker;
		loans[i].count = msg->loans[i].count;
		pointers[i] = &loans[i];
	}
	place.type = msg->type;
	place.pool = msg->pool;
	place.epoch = msg->epoch;
	place.stamp_us = msg->stamp_us;
	place.count = msg->count;
	place.rank = msg->rank;
	place.all = msg->all_over_share;
	place.ask = msg->reply_requested;
	place.n_loans = msg->loan_count;
	place.loans = pointers;
	frame.body_case = BRAMLEY__FRAME__BODY_PLACE;
	frame.place = &place;
	bw_peers_send(n->peers, peer, &frame);
}

static void handle_once(bw_node_t *n, uint64_t peer,
			const Bramley__Frame *frame)
{
	const Bramley__Once *in = frame->once;
	bw_once_msg_t msg = { .type = in->type,
			      .verdict = in->verdict,
			      .result = in->result,
			      .key = in->key,
			      .key_check = in->key_check,
			      .fingerprint = in->fingerprint,
			      .claim = in->claim,
			      .issued_ms = in->issued_ms };

	if (in->has_answer) {
		msg.answer = in->answer.data;
		msg.answer_bytes = in->answer.len;
	}
	bw_relay_handle_once_msg(n->relay, peer, &msg);
}

void node_send_once(void *ctx, uint64_t peer, const bw_once_msg_t *msg)
{
	bw_node_t *n = ctx;
	Bramley__Once once = BRAMLEY__ONCE__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	once.type = msg->type;
	once.verdict = msg->verdict;
	once.result = msg->result;
	once.key = msg->key;
	once.key_check = msg->key_check;
	once.fingerprint = msg->fingerprint;
	once.claim = msg->claim;
	once.issued_ms = msg->issued_ms;
	once.has_answer = msg->answer != NULL;
	once.answer.data = (uint8_t *)msg->answer;
	once.answer.len = msg->answer_bytes;
	frame.body_case = BRAMLEY__FRAME__BODY_ONCE;
	frame.once = &once;
	bw_peers_send(n->peers, peer, &frame);
}
