#include "relay/claim.h"

#include <string.h>

#include <xxhash.h>

#define CLAIM_AGAIN_US	    100000
#define CLAIM_TIME_US	    2000000
#define KEY_CHECK_SEED	    0x62726d6cULL
#define ANSWER_HELD_MAX	    65536
#define ANSWER_VARIANT_TYPE "(ua(ss)ay)"

static void send_claim(bw_relay_t *r, bw_call_t *call, int64_t now_us);
static void take_verdict(bw_relay_t *r, uint64_t owner,
			 const bw_once_msg_t *msg);
static void on_granted(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_running(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_answered(bw_relay_t *r, bw_call_t *call,
			const bw_once_msg_t *msg);
static void on_not_run(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_reused(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg);
static void on_fenced(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg);
static void on_old(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg);
static void on_ahead(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg);
static void on_broken(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg);
static GBytes *encode_answer(const bw_answer_t *answer);
static bool decode_answer(bw_answer_t *answer, const void *data, size_t bytes);

typedef void (*verdict_fn)(bw_relay_t *r, bw_call_t *call,
			   const bw_once_msg_t *msg);

static const verdict_fn verdict_handlers[BW_ONCE_VERDICT_COUNT] = {
	[BW_ONCE_GRANTED] = on_granted,	  [BW_ONCE_RUNNING] = on_running,
	[BW_ONCE_ANSWERED] = on_answered, [BW_ONCE_ANSWER_DROPPED] = on_broken,
	[BW_ONCE_NOT_RUN] = on_not_run,	  [BW_ONCE_OUTCOME_UNKNOWN] = on_broken,
	[BW_ONCE_REUSED] = on_reused,	  [BW_ONCE_OLD] = on_old,
	[BW_ONCE_IN_FUTURE] = on_ahead,	  [BW_ONCE_FENCED] = on_fenced,
};

void relay_claim(bw_relay_t *r, bw_call_t *call)
{
	const char *key = call->key_text;

	call->state = BW_CALL_CLAIMING;
	if (!bw_once_parse_key(key, &call->issued_ms)) {
		/* No entry ever runs such a key, so "not run" is safe. */
		call->sealed = true;
		relay_fail(r, call, 400, BW_C_REFUSED_KEY_INVALID, 0);
		return;
	}
	call->key_hash = XXH3_64bits(key, strlen(key));
	call->key_check =
		XXH3_64bits_withSeed(key, strlen(key), KEY_CHECK_SEED);
	call->fingerprint = relay_fingerprint(call);
	call->claim = ++r->next_claim;
	call->claim_until_us =
		MIN(call->received_us + CLAIM_TIME_US, call->preq.deadline_us);
	g_hash_table_insert(r->claims, &call->claim, call);
	send_claim(r, call, call->received_us);
}

static void send_claim(bw_relay_t *r, bw_call_t *call, int64_t now_us)
{
	bw_once_msg_t msg = {
		.type = BW_ONCE_MSG_CLAIM,
		.key = call->key_hash,
		.key_check = call->key_check,
		.fingerprint = call->fingerprint,
		.claim = call->claim,
		.issued_ms = call->issued_ms,
	};

	call->claim_again_us = now_us + CLAIM_AGAIN_US;
	call->owner = bw_once_owner(r->once, call->key_hash);
	if (call->owner == 0)
		return;
	if (call->owner == r->config.self)
		bw_relay_handle_once_msg(r, r->config.self, &msg);
	else
		r->ops->send_once_msg(r->ctx, call->owner, &msg);
}

void bw_relay_send_verdict(void *relay, uint64_t claimant,
			   const bw_once_msg_t *msg)
{
	bw_relay_t *r = relay;

	if (claimant == r->config.self)
		take_verdict(r, claimant, msg);
	else
		r->ops->send_once_msg(r->ctx, claimant, msg);
}

void bw_relay_handle_once_msg(bw_relay_t *r, uint64_t peer,
			      const bw_once_msg_t *msg)
{
	/* One reading of each clock, so that a pause can't come between. */
	int64_t now_us = bw_now_us();
	int64_t now_ms = bw_wall_ms();

	if (msg->type == BW_ONCE_MSG_CLAIM)
		bw_once_claim(r->once, peer, msg,
			      !r->ops->owner_valid(r->ctx, now_us), now_ms);
	else if (msg->type == BW_ONCE_MSG_RESULT)
		bw_once_result(r->once, peer, msg, now_ms);
	else if (msg->type == BW_ONCE_MSG_VERDICT)
		take_verdict(r, peer, msg);
}

static void take_verdict(bw_relay_t *r, uint64_t owner,
			 const bw_once_msg_t *msg)
{
	bw_call_t *call = g_hash_table_lookup(r->claims, &msg->claim);

	if (!call || call->state != BW_CALL_CLAIMING || call->owner != owner)
		return;
	if (msg->verdict < BW_ONCE_VERDICT_COUNT)
		verdict_handlers[msg->verdict](r, call, msg);
}

static void on_granted(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	call->claimed = true;
	call->state = BW_CALL_PLACING;
	bw_place_submit(r->place, &call->preq, bw_now_us());
}

static void on_running(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)r;
	(void)msg;
	call->claim_until_us = call->preq.deadline_us;
}

static void on_answered(bw_relay_t *r, bw_call_t *call,
			const bw_once_msg_t *msg)
{
	if (!decode_answer(&call->answer, msg->answer, msg->answer_bytes)) {
		relay_unknown(r, call, 409, BW_C_UNKNOWN_OWNER);
		return;
	}
	bw_count(r->counters, BW_C_ANSWER_REPLAYED, 1);
	call->outcome = BW_OUTCOME_ANSWERED;
	relay_finish(r, call);
}

static void on_not_run(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	call->sealed = true;
	relay_fail(r, call, 503, BW_C_REFUSED_KEY_NOT_RUN, 1);
}

static void on_reused(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	/* This request never runs; the one that has the key may. */
	call->sealed = true;
	relay_fail(r, call, 422, BW_C_REFUSED_KEY_REUSED, 0);
}

static void on_fenced(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)r;
	(void)call;
	(void)msg;
	/* Asked again in a while: the view may be changing. */
}

static void on_old(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	relay_unknown(r, call, 409, BW_C_UNKNOWN_KEY_OLD);
}

static void on_ahead(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	relay_unknown(r, call, 409, BW_C_UNKNOWN_KEY_AHEAD);
}

static void on_broken(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	relay_unknown(r, call, 409, BW_C_UNKNOWN_FIRST);
}

void relay_send_result(bw_relay_t *r, bw_call_t *call)
{
	static const bw_once_result_t results[BW_OUTCOME_COUNT] = {
		[BW_OUTCOME_ANSWERED] = BW_ONCE_RESULT_ANSWERED,
		[BW_OUTCOME_NOT_RUN] = BW_ONCE_RESULT_NOT_RUN,
		[BW_OUTCOME_UNKNOWN] = BW_ONCE_RESULT_UNKNOWN,
	};
	bw_once_msg_t msg = { .type = BW_ONCE_MSG_RESULT,
			      .key = call->key_hash,
			      .claim = call->claim,
			      .result = results[call->outcome] };
	GBytes *answer = NULL;
	gsize bytes;

	if (call->outcome == BW_OUTCOME_ANSWERED && !call->replying &&
	    call->answer.body->len <= ANSWER_HELD_MAX) {
		answer = encode_answer(&call->answer);
		msg.answer = g_bytes_get_data(answer, &bytes);
		msg.answer_bytes = bytes;
	}
	if (call->owner == r->config.self)
		bw_relay_handle_once_msg(r, r->config.self, &msg);
	else
		r->ops->send_once_msg(r->ctx, call->owner, &msg);
	if (answer)
		g_bytes_unref(answer);
}

static GBytes *encode_answer(const bw_answer_t *answer)
{
	GVariantBuilder headers;
	GVariant *body;
	GVariant *all;
	GBytes *bytes;
	guint i;

	g_variant_builder_init(&headers, G_VARIANT_TYPE("a(ss)"));
	for (i = 0; i < answer->headers->len; i++) {
		const bw_header_t *h =
			&g_array_index(answer->headers, bw_header_t, i);
		char *value = g_utf8_make_valid(h->value, -1);

		g_variant_builder_add(&headers, "(ss)", h->name, value);
		g_free(value);
	}
	body = g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, answer->body->str,
					 answer->body->len, 1);
	all = g_variant_new("(ua(ss)@ay)", answer->status, &headers, body);
	g_variant_ref_sink(all);
	bytes = g_variant_get_data_as_bytes(all);
	g_variant_unref(all);
	return bytes;
}

static bool decode_answer(bw_answer_t *answer, const void *data, size_t bytes)
{
	GBytes *copy = g_bytes_new(data, bytes);
	GVariant *all = g_variant_new_from_bytes(
		G_VARIANT_TYPE(ANSWER_VARIANT_TYPE), copy, FALSE);
	GVariantIter *headers;
	GVariant *body;
	const char *name;
	const char *value;
	const char *text;
	gsize length;
	guint32 status;

	g_variant_ref_sink(all);
	g_bytes_unref(copy);
	if (!g_variant_is_normal_form(all)) {
		g_variant_unref(all);
		return false;
	}
	bw_answer_clear(answer);
	g_variant_get(all, "(ua(ss)@ay)", &status, &headers, &body);
	answer->status = status;
	while (g_variant_iter_next(headers, "(&s&s)", &name, &value))
		bw_answer_header(answer, name, value);
	bw_answer_header(answer, "Idempotency-Replayed", "true");
	text = g_variant_get_fixed_array(body, &length, 1);
	g_string_append_len(answer->body, text, (gssize)length);
	answer->length = length;
	answer->whole = true;
	g_variant_iter_free(headers);
	g_variant_unref(body);
	g_variant_unref(all);
	return true;
}

void relay_claim_tick(bw_relay_t *r, int64_t now_us)
{
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, r->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_call_t *call = value;

		if (call->state == BW_CALL_CLAIMING &&
		    (now_us >= call->claim_again_us ||
		     now_us >= call->claim_until_us))
			g_ptr_array_add(due, call);
	}
	for (i = 0; i < due->len; i++) {
		bw_call_t *call = g_ptr_array_index(due, i);

		if (now_us >= call->claim_until_us)
			relay_unknown(r, call, 504, BW_C_UNKNOWN_OWNER);
		else
			send_claim(r, call, now_us);
	}
	g_ptr_array_free(due, TRUE);
}
