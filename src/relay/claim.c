#include "relay/claim.h"

#include <string.h>

#include <xxhash.h>

#define CLAIM_RETRY_US		100000
#define CLAIM_TIMEOUT_US	2000000
#define KEY_CHECK_SEED		0x62726d6cULL
#define STORED_ANSWER_BYTES_MAX 65536
#define ANSWER_VARIANT_TYPE	"(ua(ss)ay)"

static void send_claim(bw_relay_t *r, bw_call_t *call, int64_t now_us);
static void handle_verdict(bw_relay_t *r, uint64_t owner,
			   const bw_once_msg_t *msg);
static void on_granted(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_running(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_answered(bw_relay_t *r, bw_call_t *call,
			const bw_once_msg_t *msg);
static void on_not_run(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_key_reused(bw_relay_t *r, bw_call_t *call,
			  const bw_once_msg_t *msg);
static void on_fenced(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg);
static void on_key_old(bw_relay_t *r, bw_call_t *call,
		       const bw_once_msg_t *msg);
static void on_issued_in_future(bw_relay_t *r, bw_call_t *call,
				const bw_once_msg_t *msg);
static void on_outcome_unknown(bw_relay_t *r, bw_call_t *call,
			       const bw_once_msg_t *msg);
static GBytes *encode_answer(const bw_answer_t *answer);
static bool decode_answer(bw_answer_t *answer, const void *data, size_t bytes);

typedef void (*verdict_handler_fn)(bw_relay_t *r, bw_call_t *call,
				   const bw_once_msg_t *msg);

static const verdict_handler_fn verdict_handlers[BW_ONCE_VERDICT_COUNT] = {
	[BW_ONCE_GRANTED] = on_granted,
	[BW_ONCE_RUNNING] = on_running,
	[BW_ONCE_ANSWERED] = on_answered,
	[BW_ONCE_ANSWER_DROPPED] = on_outcome_unknown,
	[BW_ONCE_NOT_RUN] = on_not_run,
	[BW_ONCE_OUTCOME_UNKNOWN] = on_outcome_unknown,
	[BW_ONCE_REUSED] = on_key_reused,
	[BW_ONCE_OLD] = on_key_old,
	[BW_ONCE_IN_FUTURE] = on_issued_in_future,
	[BW_ONCE_FENCED] = on_fenced,
};

void relay_claim_key(bw_relay_t *r, bw_call_t *call)
{
	const char *key = call->key_text;

	call->state = BW_CALL_CLAIMING;
	if (!bw_once_parse_key(key, &call->issued_ms)) {
		/* No entry runs an invalid key, so "not run" is certain. */
		call->never_runs = true;
		relay_end_not_run(r, call, 400, BW_C_REFUSED_KEY_INVALID, 0);
		return;
	}
	call->key_hash = XXH3_64bits(key, strlen(key));
	call->key_check =
		XXH3_64bits_withSeed(key, strlen(key), KEY_CHECK_SEED);
	call->fingerprint = relay_fingerprint(call);
	call->claim_id = ++r->next_claim_id;
	call->claim_deadline_us = MIN(call->received_us + CLAIM_TIMEOUT_US,
				      call->place_request.deadline_us);
	g_hash_table_insert(r->claims, &call->claim_id, call);
	send_claim(r, call, call->received_us);
}

static void send_claim(bw_relay_t *r, bw_call_t *call, int64_t now_us)
{
	bw_once_msg_t msg = {
		.type = BW_ONCE_MSG_CLAIM,
		.key = call->key_hash,
		.key_check = call->key_check,
		.fingerprint = call->fingerprint,
		.claim = call->claim_id,
		.issued_ms = call->issued_ms,
	};

	call->claim_retry_us = now_us + CLAIM_RETRY_US;
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
		handle_verdict(r, claimant, msg);
	else
		r->ops->send_once_msg(r->ctx, claimant, msg);
}

void bw_relay_handle_once_msg(bw_relay_t *r, uint64_t peer,
			      const bw_once_msg_t *msg)
{
	/* Each clock is read once, so a pause can't separate the checks. */
	int64_t now_us = bw_now_us();
	int64_t now_ms = bw_wall_ms();

	if (msg->type == BW_ONCE_MSG_CLAIM)
		bw_once_claim(r->once, peer, msg,
			      !r->ops->owner_valid(r->ctx, now_us), now_ms);
	else if (msg->type == BW_ONCE_MSG_RESULT)
		bw_once_result(r->once, peer, msg, now_ms);
	else if (msg->type == BW_ONCE_MSG_VERDICT)
		handle_verdict(r, peer, msg);
}

static void handle_verdict(bw_relay_t *r, uint64_t owner,
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
	bw_place_submit(r->place, &call->place_request, bw_now_us());
}

static void on_running(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)r;
	(void)msg;
	call->claim_deadline_us = call->place_request.deadline_us;
}

static void on_answered(bw_relay_t *r, bw_call_t *call,
			const bw_once_msg_t *msg)
{
	if (!decode_answer(&call->answer, msg->answer, msg->answer_bytes)) {
		relay_end_unknown(r, call, 409, BW_C_UNKNOWN_OWNER);
		return;
	}
	bw_count(r->counters, BW_C_ANSWER_REPLAYED, 1);
	call->outcome = BW_OUTCOME_ANSWERED;
	relay_finish(r, call);
}

static void on_not_run(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	call->never_runs = true;
	relay_end_not_run(r, call, 503, BW_C_REFUSED_KEY_NOT_RUN, 1);
}

static void on_key_reused(bw_relay_t *r, bw_call_t *call,
			  const bw_once_msg_t *msg)
{
	(void)msg;
	/* This request never runs; the one that claimed the key may. */
	call->never_runs = true;
	relay_end_not_run(r, call, 422, BW_C_REFUSED_KEY_REUSED, 0);
}

static void on_fenced(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)r;
	(void)call;
	(void)msg;
	/* Resent by relay_claim_tick(): the view may be changing. */
}

static void on_key_old(bw_relay_t *r, bw_call_t *call, const bw_once_msg_t *msg)
{
	(void)msg;
	relay_end_unknown(r, call, 409, BW_C_UNKNOWN_KEY_OLD);
}

static void on_issued_in_future(bw_relay_t *r, bw_call_t *call,
				const bw_once_msg_t *msg)
{
	(void)msg;
	relay_end_unknown(r, call, 409, BW_C_UNKNOWN_KEY_AHEAD);
}

static void on_outcome_unknown(bw_relay_t *r, bw_call_t *call,
			       const bw_once_msg_t *msg)
{
	(void)msg;
	relay_end_unknown(r, call, 409, BW_C_UNKNOWN_FIRST);
}

void relay_send_claim_result(bw_relay_t *r, bw_call_t *call)
{
	static const bw_once_result_t results[BW_OUTCOME_COUNT] = {
		[BW_OUTCOME_ANSWERED] = BW_ONCE_RESULT_ANSWERED,
		[BW_OUTCOME_NOT_RUN] = BW_ONCE_RESULT_NOT_RUN,
		[BW_OUTCOME_UNKNOWN] = BW_ONCE_RESULT_UNKNOWN,
	};
	bw_once_msg_t msg = { .type = BW_ONCE_MSG_RESULT,
			      .key = call->key_hash,
			      .claim = call->claim_id,
			      .result = results[call->outcome] };
	GBytes *answer = NULL;
	gsize bytes;

	if (call->outcome == BW_OUTCOME_ANSWERED && !call->replying &&
	    call->answer.body->len <= STORED_ANSWER_BYTES_MAX) {
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
	GVariant *variant;
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
	variant = g_variant_new("(ua(ss)@ay)", answer->status, &headers, body);
	g_variant_ref_sink(variant);
	bytes = g_variant_get_data_as_bytes(variant);
	g_variant_unref(variant);
	return bytes;
}

static bool decode_answer(bw_answer_t *answer, const void *data, size_t bytes)
{
	GBytes *copy = g_bytes_new(data, bytes);
	GVariant *variant = g_variant_new_from_bytes(
		G_VARIANT_TYPE(ANSWER_VARIANT_TYPE), copy, FALSE);
	GVariantIter *headers;
	GVariant *body;
	const char *name;
	const char *value;
	const char *text;
	gsize length;
	guint32 status;

	g_variant_ref_sink(variant);
	g_bytes_unref(copy);
	if (!g_variant_is_normal_form(variant)) {
		g_variant_unref(variant);
		return false;
	}
	bw_answer_clear(answer);
	g_variant_get(variant, "(ua(ss)@ay)", &status, &headers, &body);
	answer->status = status;
	while (g_variant_iter_next(headers, "(&s&s)", &name, &value))
		bw_answer_add_header(answer, name, value);
	bw_answer_add_header(answer, "Idempotency-Replayed", "true");
	text = g_variant_get_fixed_array(body, &length, 1);
	g_string_append_len(answer->body, text, (gssize)length);
	answer->length = length;
	answer->complete = true;
	g_variant_iter_free(headers);
	g_variant_unref(body);
	g_variant_unref(variant);
	return true;
}

void relay_claim_tick(bw_relay_t *r, int64_t now_us)
{
	GPtrArray *calls = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, r->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bw_call_t *call = value;

		if (call->state == BW_CALL_CLAIMING &&
		    (now_us >= call->claim_retry_us ||
		     now_us >= call->claim_deadline_us))
			g_ptr_array_add(calls, call);
	}
	for (i = 0; i < calls->len; i++) {
		bw_call_t *call = g_ptr_array_index(calls, i);

		if (now_us >= call->claim_deadline_us)
			relay_end_unknown(r, call, 504, BW_C_UNKNOWN_OWNER);
		else
			send_claim(r, call, now_us);
	}
	g_ptr_array_free(calls, TRUE);
}
