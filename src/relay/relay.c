#include "relay/relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include <ev.h>
#include <xxhash.h>

#include "relay/claim.h"
#include "relay/internal.h"
#include "relay/problem.h"

/* Upper bound of the wait preference of a request. */
#define WAIT_MAX_S 86400

static const bw_counter_t failure_counters[BW_ATTEMPT_RESULT_COUNT] = {
	[BW_ATTEMPT_OK] = BW_C_ANSWERS,
	[BW_ATTEMPT_NOT_SENT] = BW_C_REFUSED_NOT_SENT,
	[BW_ATTEMPT_BROKEN] = BW_C_UNKNOWN_BROKEN,
	[BW_ATTEMPT_TIMEOUT] = BW_C_UNKNOWN_TIMEOUT,
	[BW_ATTEMPT_STATUS] = BW_C_UNKNOWN_BROKEN,
	[BW_ATTEMPT_BAD_ANSWER] = BW_C_UNKNOWN_BAD_ANSWER,
};

static const unsigned int failure_statuses[BW_ATTEMPT_RESULT_COUNT] = {
	[BW_ATTEMPT_OK] = 500,	   [BW_ATTEMPT_NOT_SENT] = 503,
	[BW_ATTEMPT_BROKEN] = 502, [BW_ATTEMPT_TIMEOUT] = 504,
	[BW_ATTEMPT_STATUS] = 502, [BW_ATTEMPT_BAD_ANSWER] = 502,
};

static void on_message(void *ctx, uint32_t type, void *arg);
static void handle_request(bw_relay_t *r, bw_call_t *call);
static void handle_answer_consumed(bw_relay_t *r, bw_call_t *call);
static void handle_released(bw_relay_t *r, bw_call_t *call);
static int64_t request_deadline(const bw_call_t *call, const bw_service_t *s);
static const char *header_value(const bw_call_t *call, const char *name);
static bw_place_request_t *place_request_of(bw_call_t *call);
static bw_call_t *call_of(bw_place_request_t *place_request);
static void handle_failed_attempt(bw_relay_t *r, bw_call_t *call,
				  bw_attempt_result_t result, int64_t now_us);
static bool worker_refused(const bw_call_t *call);

static void on_status(void *ctx, unsigned int status);
static void on_header(void *ctx, const char *name, const char *value);
static void on_length(void *ctx, uint64_t bytes);
static int on_data(void *ctx, const char *data, size_t bytes);
static void on_done(void *ctx, bw_attempt_result_t result);

const bw_attempt_ops_t bw_relay_attempt_ops = {
	.status = on_status,
	.header = on_header,
	.length = on_length,
	.data = on_data,
	.done = on_done,
};

int64_t bw_now_us(void)
{
	return g_get_monotonic_time();
}

int64_t bw_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

static bw_place_request_t *place_request_of(bw_call_t *call)
{
	return &call->place_request;
}

static bw_call_t *call_of(bw_place_request_t *place_request)
{
	return (bw_call_t *)place_request;
}

bw_relay_t *bw_relay_create(struct ev_loop *loop,
			    const bw_relay_config_t *config,
			    const bw_relay_ops_t *ops, void *ctx,
			    bw_counters_t *counters)
{
	bw_relay_t *r = g_new0(bw_relay_t, 1);

	r->config = *config;
	r->ops = ops;
	r->ctx = ctx;
	r->counters = counters;
	r->mbox = bw_mbox_create(loop, on_message, r);
	r->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
	r->next_claim_id = (uint64_t)bw_wall_ms() << 20;
	r->rand = g_rand_new();
	return r;
}

void bw_relay_destroy(bw_relay_t *r)
{
	if (!r)
		return;
	bw_mbox_destroy(r->mbox);
	g_hash_table_destroy(r->claims);
	g_rand_free(r->rand);
	g_free(r->service_index);
	g_free(r);
}

bw_mbox_t *bw_relay_mbox(bw_relay_t *r)
{
	return r->mbox;
}

void bw_relay_attach(bw_relay_t *r, bw_place_t *place, bw_once_t *once,
		     bw_front_t *front, bw_upstream_t *upstream)
{
	r->place = place;
	r->once = once;
	r->front = front;
	r->upstream = upstream;
}

void bw_relay_set_table(bw_relay_t *r, const bw_table_t *table)
{
	uint32_t i;

	r->table = table;
	g_free(r->service_index);
	r->service_index = g_new0(uint32_t, r->table->service_count + 1);
	for (i = 0; i < r->table->service_count; i++)
		r->service_index[i] =
			bw_place_service(r->place, r->table->services[i].name);
}

void bw_relay_set_ready(bw_relay_t *r, bool ready)
{
	r->ready = ready;
}

uint32_t bw_relay_calls(const bw_relay_t *r)
{
	return r->calls;
}

static void on_message(void *ctx, uint32_t type, void *arg)
{
	static void (*const handlers[])(bw_relay_t *, bw_call_t *) = {
		[BW_RELAY_REQUEST] = handle_request,
		[BW_RELAY_ANSWER_CONSUMED] = handle_answer_consumed,
		[BW_RELAY_RELEASED] = handle_released,
	};

	handlers[type](ctx, arg);
}

static const char *header_value(const bw_call_t *call, const char *name)
{
	const struct curl_slist *line;
	size_t length = strlen(name);

	for (line = call->headers; line; line = line->next) {
		if (strncasecmp(line->data, name, length) != 0)
			continue;
		if (line->data[length] == ':')
			return line->data + length + 2;
	}
	return NULL;
}

/* From the wait preference (RFC 7240) if given, else from the table. */
static int64_t request_deadline(const bw_call_t *call, const bw_service_t *s)
{
	const char *prefer = header_value(call, "Prefer");
	const char *wait = prefer ? strstr(prefer, "wait=") : NULL;
	guint64 wait_s;

	if (!wait || !g_ascii_isdigit(wait[5]))
		return call->received_us + (int64_t)s->wait_ms * 1000;
	wait_s = g_ascii_strtoull(wait + 5, NULL, 10);
	if (wait_s > WAIT_MAX_S)
		wait_s = WAIT_MAX_S;
	return call->received_us + (int64_t)wait_s * 1000000;
}

uint64_t relay_fingerprint(const bw_call_t *call)
{
	XXH3_state_t *state = XXH3_createState();
	const char *credentials = header_value(call, "Authorization");
	uint64_t hash;

	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, call->method, strlen(call->method) + 1);
	XXH3_64bits_update(state, call->target, strlen(call->target) + 1);
	if (credentials)
		XXH3_64bits_update(state, credentials, strlen(credentials));
	XXH3_64bits_update(state, "", 1);
	XXH3_64bits_update(state, call->body->str, call->body->len);
	hash = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return hash;
}

static void handle_request(bw_relay_t *r, bw_call_t *call)
{
	const bw_service_t *service;
	uint32_t index;

	r->calls++;
	call->relay = r;
	call->received_us = bw_now_us();
	call->state = BW_CALL_PLACING;
	/* Until the service is known, a key alone marks a run-once request. */
	call->run_once = call->key_text != NULL;
	if (!r->ready) {
		relay_end_not_run(r, call, 503, BW_C_REFUSED_NOT_READY, 1);
		return;
	}
	index = bw_table_service_for_path(r->table, call->target);
	if (index == UINT32_MAX) {
		relay_end_not_run(r, call, 404, BW_C_REFUSED_NO_SERVICE, 0);
		return;
	}
	service = &r->table->services[index];
	call->run_once = bw_service_runs_once(service, call->method);
	bw_place_request_init(place_request_of(call), r->service_index[index],
			      call->received_us,
			      request_deadline(call, service));
	if (call->run_once && call->key_text)
		relay_claim_key(r, call);
	else
		bw_place_submit(r->place, place_request_of(call),
				call->received_us);
}

void bw_relay_start_attempt(bw_relay_t *r, bw_place_request_t *place_request)
{
	bw_call_t *call = call_of(place_request);
	bw_attempt_request_t request = {
		.address = bw_place_worker_address(r->place,
						   place_request->worker),
		.method = call->method,
		.target = call->target,
		.headers = call->headers,
		.timeout_ms =
			(place_request->deadline_us - bw_now_us()) / 1000 + 1,
	};

	if (request.timeout_ms < 1)
		request.timeout_ms = 1;
	if (call->body->len > 0 || !strcmp(call->method, "POST") ||
	    !strcmp(call->method, "PUT")) {
		request.body = call->body->str;
		request.body_bytes = call->body->len;
	}
	call->state = BW_CALL_RUNNING;
	bw_answer_clear(&call->answer);
	call->attempt = bw_attempt_start(r->upstream, &request, call);
}

void bw_relay_refuse(bw_relay_t *r, bw_place_request_t *place_request,
		     bw_refusal_t why, int64_t retry_after_us)
{
	static const unsigned int statuses[BW_REFUSAL_COUNT] = {
		[BW_REFUSE_TOO_LATE] = 503,
		[BW_REFUSE_QUEUE_DEADLINE] = 503,
		[BW_REFUSE_QUEUE_FULL] = 503,
		[BW_REFUSE_NO_SERVICE] = 404,
	};
	bw_call_t *call = call_of(place_request);
	int64_t retry_after_s = (retry_after_us + 999999) / 1000000;

	relay_end_with_problem(r, call, statuses[why], BW_OUTCOME_NOT_RUN,
			       bw_refusal_name(why), retry_after_s);
}

void relay_end_with_problem(bw_relay_t *r, bw_call_t *call, unsigned int status,
			    bw_outcome_t outcome, const char *reason,
			    int64_t retry_after_s)
{
	bw_answer_t *a = &call->answer;
	char ticket[37];
	char number[24];
	char *text;

	/* Another entry may run a key that was not granted to this call. */
	if (outcome == BW_OUTCOME_NOT_RUN && call->run_once && call->key_text &&
	    !call->claimed && !call->never_runs)
		outcome = BW_OUTCOME_UNKNOWN;
	/* What became of the last attempt says nothing of earlier ones. */
	if (outcome == BW_OUTCOME_NOT_RUN && call->may_have_run)
		outcome = BW_OUTCOME_UNKNOWN;
	bw_once_make_key(ticket, bw_wall_ms(), relay_random(r),
			 relay_random(r));
	text = bw_problem_text(status, outcome, reason,
			       call->run_once ? ticket : NULL);
	bw_answer_clear(a);
	a->status = status;
	bw_answer_add_header(a, "Content-Type", BW_PROBLEM_TYPE);
	if (retry_after_s > 0) {
		g_snprintf(number, sizeof(number), "%" PRId64, retry_after_s);
		bw_answer_add_header(a, "Retry-After", number);
	}
	g_string_assign(a->body, text);
	free(text);
	a->length = a->body->len;
	a->complete = true;
	call->outcome = outcome;
	relay_finish(r, call);
}

uint64_t relay_random(bw_relay_t *r)
{
	return (uint64_t)g_rand_int(r->rand) << 32 | g_rand_int(r->rand);
}

void relay_end_not_run(bw_relay_t *r, bw_call_t *call, unsigned int status,
		       bw_counter_t counter, int64_t retry_after_s)
{
	bw_count(r->counters, counter, 1);
	relay_end_with_problem(r, call, status, BW_OUTCOME_NOT_RUN,
			       bw_counter_name(counter), retry_after_s);
}

void relay_end_unknown(bw_relay_t *r, bw_call_t *call, unsigned int status,
		       bw_counter_t counter)
{
	bw_count(r->counters, counter, 1);
	relay_end_with_problem(r, call, status, BW_OUTCOME_UNKNOWN,
			       bw_counter_name(counter), 0);
}

void relay_finish(bw_relay_t *r, bw_call_t *call)
{
	if (call->claim_id != 0)
		g_hash_table_remove(r->claims, &call->claim_id);
	if (call->claimed)
		relay_send_claim_result(r, call);
	if (call->outcome == BW_OUTCOME_ANSWERED)
		bw_count(r->counters, BW_C_ANSWERS, 1);
	call->state = BW_CALL_DONE;
	r->calls--;
	if (call->released)
		bw_call_destroy(call);
	else
		bw_front_answer_changed(r->front, call);
}

static void handle_answer_consumed(bw_relay_t *r, bw_call_t *call)
{
	(void)r;
	if (!call->paused ||
	    call->answer.body->len > BW_ANSWER_WINDOW_BYTES / 2)
		return;
	call->paused = false;
	bw_attempt_resume(call->attempt);
}

static void handle_released(bw_relay_t *r, bw_call_t *call)
{
	call->released = true;
	if (call->state == BW_CALL_DONE) {
		bw_call_destroy(call);
		return;
	}
	/* A running attempt continues: its slot is in use until it ends. */
	if (call->state == BW_CALL_RUNNING) {
		if (call->paused) {
			call->paused = false;
			bw_attempt_resume(call->attempt);
		}
		return;
	}
	if (call->state == BW_CALL_PLACING)
		bw_place_cancel(r->place, place_request_of(call));
	call->outcome = BW_OUTCOME_NOT_RUN;
	relay_finish(r, call);
}

static void on_status(void *ctx, unsigned int status)
{
	bw_call_t *call = ctx;

	call->answer.status = status;
}

static void on_header(void *ctx, const char *name, const char *value)
{
	bw_call_t *call = ctx;

	if (bw_header_is_hop_by_hop(name) ||
	    !strcasecmp(name, "Content-Length"))
		return;
	bw_answer_add_header(&call->answer, name, value);
}

static void on_length(void *ctx, uint64_t bytes)
{
	bw_call_t *call = ctx;

	call->answer.length = bytes;
}

static int on_data(void *ctx, const char *data, size_t bytes)
{
	bw_call_t *call = ctx;
	GString *body = call->answer.body;

	if (call->released)
		return 1;
	if (body->len > BW_ANSWER_WINDOW_BYTES) {
		call->paused = true;
		return 0;
	}
	g_string_append_len(body, data, (gssize)bytes);
	call->answer.received += bytes;
	/* Long answers are forwarded while they are received. */
	if (body->len > BW_ANSWER_WINDOW_BYTES || call->replying)
		bw_front_answer_changed(call->front, call);
	return 1;
}

/* Whether the worker's status says that it did not handle the request. */
static bool worker_refused(const bw_call_t *call)
{
	unsigned int status = call->answer.status;

	return !call->run_once && !call->replying && status >= 502 &&
	       status <= 504;
}

static void on_done(void *ctx, bw_attempt_result_t result)
{
	bw_call_t *call = ctx;
	bw_relay_t *r = call->relay;
	int64_t now_us = bw_now_us();

	call->attempt = NULL;
	if (result == BW_ATTEMPT_OK && worker_refused(call))
		result = BW_ATTEMPT_STATUS;
	bw_place_finish(r->place, place_request_of(call), result, now_us);
	if (result != BW_ATTEMPT_OK) {
		handle_failed_attempt(r, call, result, now_us);
		return;
	}
	call->answer.complete = true;
	if (!call->replying && strcmp(call->method, "HEAD") != 0)
		call->answer.length = call->answer.received;
	call->outcome = BW_OUTCOME_ANSWERED;
	relay_finish(r, call);
}

static void handle_failed_attempt(bw_relay_t *r, bw_call_t *call,
				  bw_attempt_result_t result, int64_t now_us)
{
	bool answer_started = call->replying ||
			      call->answer.received > BW_ANSWER_WINDOW_BYTES;

	if (result != BW_ATTEMPT_NOT_SENT)
		call->may_have_run = true;
	if (!call->released &&
	    bw_place_retry(r->place, place_request_of(call), call->run_once,
			   answer_started, result, now_us) == BW_RETRY_YES) {
		call->state = BW_CALL_PLACING;
		bw_place_submit(r->place, place_request_of(call), now_us);
		return;
	}
	if (result == BW_ATTEMPT_STATUS) {
		/* Without a retry, the caller gets the worker's answer. */
		call->answer.complete = true;
		call->outcome = BW_OUTCOME_ANSWERED;
		relay_finish(r, call);
		return;
	}
	if (answer_started) {
		bw_count(r->counters, BW_C_ANSWER_CUT, 1);
		call->answer.truncated = true;
		call->outcome = BW_OUTCOME_UNKNOWN;
		relay_finish(r, call);
		return;
	}
	bw_count(r->counters, failure_counters[result], 1);
	relay_end_with_problem(r, call, failure_statuses[result],
			       result == BW_ATTEMPT_NOT_SENT
				       ? BW_OUTCOME_NOT_RUN
				       : BW_OUTCOME_UNKNOWN,
			       bw_counter_name(failure_counters[result]),
			       result == BW_ATTEMPT_NOT_SENT ? 1 : 0);
}

void bw_relay_tick(bw_relay_t *r)
{
	relay_claim_tick(r, bw_now_us());
}
