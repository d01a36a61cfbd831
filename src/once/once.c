#include "once/once.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "place/share.h"

#define UUID_TEXT_BYTES 36
#define UUID_VERSION_AT 14
#define UUID_VARIANT_AT 19

/** State of a key. */
typedef enum record_state {
	RECORD_RUNNING,
	RECORD_ANSWERED,
	RECORD_NOT_RUN,
	RECORD_OUTCOME_UNKNOWN,
	RECORD_STATE_COUNT
} record_state_t;

/** A claim that waits for the end of the granted one. */
typedef struct waiter {
	uint64_t claimant;
	uint64_t claim;
} waiter_t;

/** The granted claim of a key and its outcome. */
typedef struct record {
	uint64_t key;
	uint64_t key_check;
	uint64_t fingerprint;
	uint64_t claimant;
	uint64_t claim;
	int64_t issued_ms;
	record_state_t state;
	GBytes *answer; /**< NULL when it is not in memory. */
	GArray *waiters; /**< waiter_t, or NULL. */
	GList answer_link; /**< In the queue of stored answers. */
} record_t;

/** A view that this entry adopted, the current one or an earlier one. */
typedef struct adopted_view {
	uint64_t epoch;
	int64_t active_ms; /**< When all members had it, or INT64_MAX. */
	GArray *members;
} adopted_view_t;

struct bw_once {
	bw_once_config_t config;
	bw_once_send_fn send;
	void *ctx;
	GHashTable *records;
	GQueue by_issue_time; /**< record_t, in the order of issued_ms. */
	GQueue answers; /**< Records with a stored answer, oldest first. */
	size_t answer_bytes;
	GPtrArray *views; /**< adopted_view_t, oldest first. */
};

static const bw_once_verdict_t state_verdicts[RECORD_STATE_COUNT] = {
	[RECORD_RUNNING] = BW_ONCE_RUNNING,
	[RECORD_ANSWERED] = BW_ONCE_ANSWERED,
	[RECORD_NOT_RUN] = BW_ONCE_NOT_RUN,
	[RECORD_OUTCOME_UNKNOWN] = BW_ONCE_OUTCOME_UNKNOWN,
};

static const record_state_t result_states[BW_ONCE_RESULT_COUNT] = {
	[BW_ONCE_RESULT_ANSWERED] = RECORD_ANSWERED,
	[BW_ONCE_RESULT_NOT_RUN] = RECORD_NOT_RUN,
	[BW_ONCE_RESULT_UNKNOWN] = RECORD_OUTCOME_UNKNOWN,
};

static void record_free(gpointer data);
static void view_free(gpointer data);
static int64_t owned_since(const bw_once_t *o, uint64_t key);
static bw_once_verdict_t decide_verdict(const bw_once_t *o,
					const bw_once_msg_t *msg,
					const record_t *record, bool fenced,
					int64_t now_ms);
static void add_record(bw_once_t *o, uint64_t claimant,
		       const bw_once_msg_t *msg);
static void send_verdict(bw_once_t *o, const record_t *record,
			 uint64_t claimant, uint64_t claim,
			 bw_once_verdict_t verdict);
static bw_once_verdict_t recorded_verdict(const record_t *record);
static void finish_record(bw_once_t *o, record_t *record, record_state_t state);
static void store_answer(bw_once_t *o, record_t *record,
			 const bw_once_msg_t *msg);
static void evict_answer(bw_once_t *o, record_t *record);

bool bw_once_parse_key(const char *key, int64_t *issued_ms)
{
	int64_t time_ms = 0;
	int digits = 0;
	int i;

	if (!key || strlen(key) != UUID_TEXT_BYTES)
		return false;
	for (i = 0; i < UUID_TEXT_BYTES; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (dash != (key[i] == '-'))
			return false;
		if (dash)
			continue;
		if (!g_ascii_isxdigit(key[i]))
			return false;
		if (digits++ < 12)
			time_ms = time_ms * 16 + g_ascii_xdigit_value(key[i]);
	}
	if (key[UUID_VERSION_AT] != '7')
		return false;
	if ((g_ascii_xdigit_value(key[UUID_VARIANT_AT]) & 0xc) != 0x8)
		return false;
	*issued_ms = time_ms;
	return true;
}

void bw_once_make_key(char out[37], int64_t now_ms, uint64_t random_a,
		      uint64_t random_b)
{
	g_snprintf(out, UUID_TEXT_BYTES + 1, "%08x-%04x-7%03x-%04x-%012" PRIx64,
		   (unsigned int)(now_ms >> 16), (unsigned int)now_ms & 0xffff,
		   (unsigned int)random_a & 0xfff,
		   0x8000 | ((unsigned int)(random_a >> 12) & 0x3fff),
		   random_b & 0xffffffffffff);
}

static void record_free(gpointer data)
{
	record_t *record = data;

	if (record->answer)
		g_bytes_unref(record->answer);
	if (record->waiters)
		g_array_free(record->waiters, TRUE);
	g_free(record);
}

static void view_free(gpointer data)
{
	adopted_view_t *view = data;

	g_array_free(view->members, TRUE);
	g_free(view);
}

bw_once_t *bw_once_create(const bw_once_config_t *config, bw_once_send_fn send,
			  void *ctx)
{
	bw_once_t *o = g_new0(bw_once_t, 1);

	o->config = *config;
	o->send = send;
	o->ctx = ctx;
	o->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   record_free);
	o->views = g_ptr_array_new_with_free_func(view_free);
	g_queue_init(&o->by_issue_time);
	g_queue_init(&o->answers);
	return o;
}

void bw_once_destroy(bw_once_t *o)
{
	if (!o)
		return;
	g_queue_clear(&o->by_issue_time);
	g_hash_table_destroy(o->records);
	g_ptr_array_free(o->views, TRUE);
	g_free(o);
}

void bw_once_set_view(bw_once_t *o, uint64_t epoch, const uint64_t *members,
		      uint32_t member_count)
{
	adopted_view_t *view;

	if (o->views->len > 0) {
		view = g_ptr_array_index(o->views, o->views->len - 1);
		if (epoch <= view->epoch)
			return;
	}
	view = g_new0(adopted_view_t, 1);
	view->epoch = epoch;
	view->active_ms = INT64_MAX;
	view->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_vals(view->members, members, member_count);
	g_ptr_array_add(o->views, view);
}

void bw_once_activate(bw_once_t *o, uint64_t epoch, int64_t now_ms)
{
	guint i;

	for (i = 0; i < o->views->len; i++) {
		adopted_view_t *view = g_ptr_array_index(o->views, i);

		if (view->epoch <= epoch && view->active_ms == INT64_MAX)
			view->active_ms = now_ms;
	}
}

static uint64_t view_owner(const adopted_view_t *view, uint64_t key)
{
	return bw_share_owner(key, (const uint64_t *)view->members->data,
			      view->members->len);
}

uint64_t bw_once_owner(const bw_once_t *o, uint64_t key)
{
	if (o->views->len == 0)
		return 0;
	return view_owner(g_ptr_array_index(o->views, o->views->len - 1), key);
}

/*
 * Returns since when this entry has owned a key without interruption, or
 * INT64_MAX when it isn't the owner or its views are not active yet.
 */
static int64_t owned_since(const bw_once_t *o, uint64_t key)
{
	int64_t since_ms = INT64_MAX;
	guint i;

	for (i = o->views->len; i > 0; i--) {
		const adopted_view_t *view = g_ptr_array_index(o->views, i - 1);

		if (view_owner(view, key) != o->config.self)
			break;
		since_ms = view->active_ms;
		/* A view that this entry missed may have had another owner. */
		if (i > 1) {
			const adopted_view_t *previous =
				g_ptr_array_index(o->views, i - 2);

			if (previous->epoch + 1 != view->epoch)
				break;
		}
	}
	return since_ms;
}

static bw_once_verdict_t recorded_verdict(const record_t *record)
{
	if (record->state == RECORD_ANSWERED && !record->answer)
		return BW_ONCE_ANSWER_DROPPED;
	return state_verdicts[record->state];
}

static bw_once_verdict_t decide_verdict(const bw_once_t *o,
					const bw_once_msg_t *msg,
					const record_t *record, bool fenced,
					int64_t now_ms)
{
	int64_t skew_ms = o->config.clock_skew_ms;
	int64_t since_ms;

	if (record) {
		if (record->key_check != msg->key_check)
			return BW_ONCE_OLD;
		if (record->fingerprint != msg->fingerprint)
			return BW_ONCE_REUSED;
		return recorded_verdict(record);
	}
	if (fenced || bw_once_owner(o, msg->key) != o->config.self)
		return BW_ONCE_FENCED;
	if (msg->issued_ms > now_ms + skew_ms)
		return BW_ONCE_IN_FUTURE;
	if (msg->issued_ms < now_ms - o->config.key_window_ms)
		return BW_ONCE_OLD;
	since_ms = owned_since(o, msg->key);
	if (since_ms == INT64_MAX)
		return BW_ONCE_FENCED;
	/*
	 * An earlier owner's clock may be one skew ahead of this one's, and the
	 * issuer's clock ahead of that: the owner granted keys that were issued
	 * up to one skew in its future.
	 */
	if (msg->issued_ms <= since_ms + 2 * skew_ms)
		return BW_ONCE_OLD;
	return BW_ONCE_GRANTED;
}

static void send_verdict(bw_once_t *o, const record_t *record,
			 uint64_t claimant, uint64_t claim,
			 bw_once_verdict_t verdict)
{
	bw_once_msg_t msg = { .type = BW_ONCE_MSG_VERDICT,
			      .verdict = verdict,
			      .claim = claim };

	if (record)
		msg.key = record->key;
	if (verdict == BW_ONCE_ANSWERED) {
		gsize bytes;

		msg.answer = g_bytes_get_data(record->answer, &bytes);
		msg.answer_bytes = bytes;
	}
	o->send(o->ctx, claimant, &msg);
}

static gint compare_issue_time(gconstpointer a, gconstpointer b, gpointer data)
{
	const record_t *x = a;
	const record_t *y = b;

	(void)data;
	return (x->issued_ms > y->issued_ms) - (x->issued_ms < y->issued_ms);
}

static void add_record(bw_once_t *o, uint64_t claimant,
		       const bw_once_msg_t *msg)
{
	record_t *record = g_new0(record_t, 1);
	GList *after;

	record->key = msg->key;
	record->key_check = msg->key_check;
	record->fingerprint = msg->fingerprint;
	record->claimant = claimant;
	record->claim = msg->claim;
	record->issued_ms = msg->issued_ms;
	record->answer_link.data = record;
	g_hash_table_insert(o->records, &record->key, record);
	/* Keys arrive nearly in the order of issue, so search from the end. */
	after = o->by_issue_time.tail;
	while (after && compare_issue_time(after->data, record, NULL) > 0)
		after = after->prev;
	g_queue_insert_after(&o->by_issue_time, after, record);
}

/* Claims are resent until the verdict is final, so this skips duplicates. */
static void add_waiter(record_t *record, const waiter_t *waiter)
{
	guint i;

	if (!record->waiters)
		record->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	for (i = 0; i < record->waiters->len; i++) {
		const waiter_t *w =
			&g_array_index(record->waiters, waiter_t, i);

		if (w->claimant == waiter->claimant &&
		    w->claim == waiter->claim)
			return;
	}
	g_array_append_val(record->waiters, *waiter);
}

void bw_once_claim(bw_once_t *o, uint64_t claimant, const bw_once_msg_t *msg,
		   bool fenced, int64_t now_ms)
{
	record_t *record = g_hash_table_lookup(o->records, &msg->key);
	bw_once_verdict_t verdict =
		decide_verdict(o, msg, record, fenced, now_ms);
	waiter_t waiter = { .claimant = claimant, .claim = msg->claim };

	/* The claimant resends its claim when the verdict was lost. */
	if (verdict == BW_ONCE_RUNNING && record->claimant == claimant &&
	    record->claim == msg->claim) {
		send_verdict(o, record, claimant, msg->claim, BW_ONCE_GRANTED);
		return;
	}
	if (verdict == BW_ONCE_RUNNING) {
		add_waiter(record, &waiter);
		send_verdict(o, record, claimant, msg->claim, BW_ONCE_RUNNING);
		return;
	}
	if (verdict == BW_ONCE_GRANTED)
		add_record(o, claimant, msg);
	send_verdict(o, record, claimant, msg->claim, verdict);
}

static void evict_answer(bw_once_t *o, record_t *record)
{
	if (!record->answer)
		return;
	o->answer_bytes -= g_bytes_get_size(record->answer);
	g_queue_unlink(&o->answers, &record->answer_link);
	g_bytes_unref(record->answer);
	record->answer = NULL;
}

static void store_answer(bw_once_t *o, record_t *record,
			 const bw_once_msg_t *msg)
{
	if (!msg->answer || msg->answer_bytes > o->config.answer_memory_bytes)
		return;
	while (o->answer_bytes + msg->answer_bytes >
	       o->config.answer_memory_bytes)
		evict_answer(o, g_queue_peek_head(&o->answers));
	record->answer = g_bytes_new(msg->answer, msg->answer_bytes);
	o->answer_bytes += msg->answer_bytes;
	g_queue_push_tail_link(&o->answers, &record->answer_link);
}

static void finish_record(bw_once_t *o, record_t *record, record_state_t state)
{
	GArray *waiters = record->waiters;
	guint i;

	record->state = state;
	record->waiters = NULL;
	if (!waiters)
		return;
	for (i = 0; i < waiters->len; i++) {
		const waiter_t *w = &g_array_index(waiters, waiter_t, i);

		send_verdict(o, record, w->claimant, w->claim,
			     recorded_verdict(record));
	}
	g_array_free(waiters, TRUE);
}

void bw_once_result(bw_once_t *o, uint64_t claimant, const bw_once_msg_t *msg,
		    int64_t now_ms)
{
	record_t *record = g_hash_table_lookup(o->records, &msg->key);

	(void)now_ms;
	if (!record || msg->result >= BW_ONCE_RESULT_COUNT)
		return;
	if (record->claimant != claimant || record->claim != msg->claim)
		return;
	/* A claimant that was taken for lost may still report the outcome. */
	if (record->state != RECORD_RUNNING &&
	    record->state != RECORD_OUTCOME_UNKNOWN)
		return;
	if (msg->result == BW_ONCE_RESULT_ANSWERED)
		store_answer(o, record, msg);
	finish_record(o, record, result_states[msg->result]);
}

void bw_once_claimant_lost(bw_once_t *o, uint64_t claimant, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	(void)now_ms;
	g_hash_table_iter_init(&iter, o->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (record->claimant == claimant &&
		    record->state == RECORD_RUNNING)
			finish_record(o, record, RECORD_OUTCOME_UNKNOWN);
	}
}

void bw_once_tick(bw_once_t *o, int64_t now_ms)
{
	int64_t oldest_ms = now_ms - o->config.key_window_ms;
	record_t *record;

	/* Keys of this age are refused, so their records are not needed. */
	while ((record = g_queue_peek_head(&o->by_issue_time)) != NULL) {
		if (record->issued_ms >= oldest_ms - o->config.clock_skew_ms)
			break;
		if (record->state == RECORD_RUNNING)
			finish_record(o, record, RECORD_OUTCOME_UNKNOWN);
		evict_answer(o, record);
		g_queue_pop_head(&o->by_issue_time);
		g_hash_table_remove(o->records, &record->key);
	}
	while (o->views->len > 1) {
		const adopted_view_t *second = g_ptr_array_index(o->views, 1);

		if (second->active_ms >= oldest_ms)
			break;
		g_ptr_array_remove_index(o->views, 0);
	}
}
