/* Claims of pools, and their handover to other nodes. */
#include "fleet/member_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"
#include "wire/record.pb-c.h"
#include "wire/version.h"

/** Time after which the deletion of a claim is repeated: longer than a call to
 * the store and the watch's event take. */
#define RELEASE_RETRY_MS 1000
/** Pause before a claim is repeated that got no answer: a store that resets
 * connections would be asked as often as it does. */
#define CLAIM_RETRY_MS 100
/** A node that can't read a pool leaves it to the others for this long, which
 * claim within a lease of 2 s and, if they can't read it either, give it back
 * within 6 s. */
#define UNREADABLE_PAUSE_MS 10000

/** A claim in progress. */
typedef struct claim {
	bw_fleet_member_t *m;
	char *pool;
	char *key;
	uint64_t nonce;
	int64_t lease_id;
	int64_t repeat_ms; /**< When it is sent again; 0: it is under way. */
} claim_t;

static void send_claim(claim_t *claim);
static void on_claimed(void *ctx, const bw_store_reply_t *reply);
static void delete_handed_over(bw_fleet_member_t *m, const char *pool,
			       handed_over_t *entry, int64_t now_ms);

char *bw_fleet_owner_key(const char *pool)
{
	return g_strconcat(OWNER_PREFIX, pool, NULL);
}

static void on_claim_released(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->ops.store_result(m->ctx, reply->status);
}

static void release_claim(bw_fleet_member_t *m, const char *key,
			  int64_t revision)
{
	bw_store_expect_t expect = { key, revision };
	bw_store_write_t write = { .key = key };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };

	bw_event(BW_EVENT_MEMBER_GIVEN_BACK,
		 "pool=%s revision=%" G_GINT64_FORMAT,
		 key + strlen(OWNER_PREFIX), revision);
	m->store.ops->txn(m->store.impl, &txn, on_claim_released, m);
}

static void claim_free(claim_t *claim)
{
	g_free(claim->pool);
	g_free(claim->key);
	g_free(claim);
}

static uint32_t count_owned(const bw_fleet_member_t *m, const char *node)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, m->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!strcmp(((owner_t *)value)->node, node))
			count++;
	return count;
}

/* Returns the size of a set of pools without those whose claims by this node
 * the watch has reported. */
static uint32_t count_unreported(const bw_fleet_member_t *m, GHashTable *pools)
{
	GHashTableIter iter;
	gpointer pool;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, &pool, NULL)) {
		const owner_t *owner = g_hash_table_lookup(m->owners, pool);

		if (!owner || strcmp(owner->node, m->name) != 0)
			count++;
	}
	return count;
}

/* Counts this node's claims from when they are sent, so that it does not claim
 * every free pool for which it ranks first. A pool is either owned or being
 * claimed. */
static uint32_t count_own(const bw_fleet_member_t *m)
{
	return count_owned(m, m->name) + count_unreported(m, m->owned) +
	       count_unreported(m, m->claiming);
}

/* Returns an array of the registered nodes; the caller frees it.
 * @param self receives this node's index, or UINT32_MAX until its own
 * registration has been read */
static bw_ownership_candidate_t *
list_candidates(bw_fleet_member_t *m, uint32_t *count, uint32_t *self)
{
	bw_ownership_candidate_t *candidates = g_new0(
		bw_ownership_candidate_t, g_hash_table_size(m->nodes) + 1);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint32_t i = 0;

	*self = UINT32_MAX;
	g_hash_table_iter_init(&iter, m->nodes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const node_t *node = value;

		candidates[i].name = key;
		candidates[i].owned = count_owned(m, key);
		candidates[i].started_ms = node->started_ms;
		candidates[i].seen_ms = node->seen_ms;
		candidates[i].capacity = node->capacity;
		if (!strcmp(key, m->name)) {
			candidates[i].owned = count_own(m);
			*self = i;
		}
		i++;
	}
	*count = i;
	return candidates;
}

/* Returns UINT32_MAX until this node's own registration has been read. */
static uint32_t own_claim_rank(bw_fleet_member_t *m, const char *pool)
{
	uint32_t rank = UINT32_MAX;
	uint32_t count;
	uint32_t self;
	bw_ownership_candidate_t *candidates =
		list_candidates(m, &count, &self);

	if (self != UINT32_MAX)
		rank = bw_ownership_rank(pool, candidates, count, self);
	g_free(candidates);
	return rank;
}

bool bw_fleet_member_find_better(bw_fleet_member_t *m, const char *pool,
				 int64_t now_ms, bw_handover_t *out)
{
	bool better = false;
	uint32_t count;
	uint32_t self;
	bw_ownership_candidate_t *candidates =
		list_candidates(m, &count, &self);

	if (self != UINT32_MAX)
		better = bw_ownership_find_better(pool, candidates, count, self,
						  now_ms, out);
	g_free(candidates);
	return better;
}

/* Deletes a claim of this node, and leaves the pool to others for a while. */
static void delete_claim(bw_fleet_member_t *m, const char *pool,
			 int64_t revision, int64_t now_ms, int64_t pause_ms)
{
	handed_over_t *entry = g_new0(handed_over_t, 1);

	entry->revision = revision;
	entry->since_ms = now_ms;
	entry->pause_ms = pause_ms;
	g_hash_table_replace(m->handed_over, g_strdup(pool), entry);
	delete_handed_over(m, pool, entry, now_ms);
}

static void leave_to_others(bw_fleet_member_t *m, const char *pool,
			    int64_t now_ms, int64_t pause_ms)
{
	const int64_t *revision = g_hash_table_lookup(m->owned, pool);

	if (revision)
		delete_claim(m, pool, *revision, now_ms, pause_ms);
}

/* Returns whether the store has a claim of this process that is not in use. */
static bool is_abandoned_claim(const bw_fleet_member_t *m, const char *pool,
			       const owner_t *owner)
{
	const handed_over_t *entry = g_hash_table_lookup(m->handed_over, pool);

	return !strcmp(owner->node, m->name) &&
	       owner->incarnation == m->incarnation &&
	       !g_hash_table_contains(m->owned, pool) &&
	       !g_hash_table_contains(m->claiming, pool) &&
	       (!entry || entry->revision != owner->revision);
}

void member_delete_abandoned(bw_fleet_member_t *m, const char *pool)
{
	const owner_t *owner = g_hash_table_lookup(m->owners, pool);

	if (owner && is_abandoned_claim(m, pool, owner))
		delete_claim(m, pool, owner->revision, bw_clock_now_ms(), 0);
}

void bw_fleet_member_hand_over(bw_fleet_member_t *m, const char *pool,
			       int64_t now_ms)
{
	leave_to_others(m, pool, now_ms, m->lease_ms);
	g_hash_table_remove(m->owned, pool);
}

void bw_fleet_member_give_back(bw_fleet_member_t *m, const char *pool,
			       int64_t now_ms)
{
	leave_to_others(m, pool, now_ms, UNREADABLE_PAUSE_MS);
	member_drop_pool(m, pool, "unreadable");
}

/* Deletes the claim of a pool that was handed over. */
static void delete_handed_over(bw_fleet_member_t *m, const char *pool,
			       handed_over_t *entry, int64_t now_ms)
{
	char *key = bw_fleet_owner_key(pool);

	entry->next_call_ms = now_ms + RELEASE_RETRY_MS;
	release_claim(m, key, entry->revision);
	g_free(key);
}

void member_follow_handed_over(bw_fleet_member_t *m, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer pool;
	gpointer value;

	g_hash_table_iter_init(&iter, m->handed_over);
	while (g_hash_table_iter_next(&iter, &pool, &value)) {
		const owner_t *owner = g_hash_table_lookup(m->owners, pool);
		handed_over_t *entry = value;

		if (owner && owner->revision == entry->revision) {
			if (now_ms >= entry->next_call_ms)
				delete_handed_over(m, pool, entry, now_ms);
		} else if (now_ms - entry->since_ms >= entry->pause_ms) {
			g_hash_table_iter_remove(&iter);
		}
	}
}

/* Returns whether this node's rank lets it claim an ownerless pool now. */
static bool may_claim(bw_fleet_member_t *m, const char *pool, int64_t now_ms)
{
	int64_t *since_ms = g_hash_table_lookup(m->ownerless, pool);
	uint32_t rank;

	if (!since_ms) {
		since_ms = g_new(int64_t, 1);
		*since_ms = now_ms;
		g_hash_table_insert(m->ownerless, g_strdup(pool), since_ms);
	}
	rank = own_claim_rank(m, pool);
	return rank != UINT32_MAX &&
	       now_ms - *since_ms >=
		       bw_ownership_claim_delay_ms(rank, m->lease_ms);
}

void member_try_claim(void *arg, const char *pool)
{
	bw_fleet_member_t *m = arg;
	claim_t *claim;

	/* It may have been written while another claim was under way. */
	member_delete_abandoned(m, pool);
	if (g_hash_table_contains(m->owners, pool) ||
	    g_hash_table_contains(m->claiming, pool) ||
	    g_hash_table_contains(m->owned, pool) ||
	    g_hash_table_contains(m->handed_over, pool) ||
	    !may_claim(m, pool, bw_clock_now_ms()))
		return;
	claim = g_new0(claim_t, 1);
	claim->m = m;
	claim->pool = g_strdup(pool);
	claim->key = bw_fleet_owner_key(pool);
	claim->lease_id = m->lease_id;
	claim->nonce = ((uint64_t)g_random_int() << 32) | g_random_int();
	g_hash_table_insert(m->claiming, g_strdup(pool), claim);
	send_claim(claim);
}

static void send_claim(claim_t *claim)
{
	bw_fleet_member_t *m = claim->m;
	Bramley__OwnerRecord record = BRAMLEY__OWNER_RECORD__INIT;
	bw_store_expect_t expect = { claim->key, 0 };
	bw_store_write_t write = { .key = claim->key,
				   .lease_id = claim->lease_id };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };
	uint8_t *data;

	record.node = m->name;
	record.incarnation = m->incarnation;
	record.nonce = claim->nonce;
	record.version = BW_RECORD_VERSION;
	write.bytes = bramley__owner_record__get_packed_size(&record);
	data = g_malloc(write.bytes + 1);
	bramley__owner_record__pack(&record, data);
	write.value = (const char *)data;
	m->store.ops->txn(m->store.impl, &txn, on_claimed, claim);
	g_free(data);
}

/* Returns the revision of this node's claim if an earlier attempt, whose answer
 * was lost, has written it; otherwise 0. */
static int64_t own_revision(const claim_t *claim, const bw_store_reply_t *reply)
{
	Bramley__OwnerRecord *record;
	int64_t revision = 0;

	if (reply->kv_count == 0 || reply->kvs[0].mod_revision == 0)
		return 0;
	record = bramley__owner_record__unpack(
		NULL, reply->kvs[0].bytes,
		(const uint8_t *)reply->kvs[0].value);
	if (record && record->nonce == claim->nonce)
		revision = reply->kvs[0].mod_revision;
	if (record)
		bramley__owner_record__free_unpacked(record, NULL);
	return revision;
}

/* Whether a claim can be used that was written some time ago: its answer may
 * come after its end. */
static bool is_usable(bw_fleet_member_t *m, const claim_t *claim,
		      int64_t revision, int64_t now_ms)
{
	return !m->leaving && m->phase == PHASE_REGISTERED &&
	       m->lease_id == claim->lease_id &&
	       now_ms < bw_fleet_member_lease_end_ms(m) &&
	       !member_claim_gone(m, claim->pool, revision);
}

static void acquire_pool(bw_fleet_member_t *m, const claim_t *claim,
			 int64_t revision)
{
	int64_t now_ms = bw_clock_now_ms();
	int64_t *held_revision;

	if (!is_usable(m, claim, revision, now_ms)) {
		delete_claim(m, claim->pool, revision, now_ms, 0);
		return;
	}
	held_revision = g_new(int64_t, 1);
	*held_revision = revision;
	g_hash_table_replace(m->owned, g_strdup(claim->pool), held_revision);
	bw_event(BW_EVENT_MEMBER_CLAIMED, "pool=%s fence=%" G_GINT64_FORMAT,
		 claim->pool, revision);
	m->ops.gained(m->ctx, claim->pool, revision);
}

static void on_claimed(void *ctx, const bw_store_reply_t *reply)
{
	claim_t *claim = ctx;
	bw_fleet_member_t *m = claim->m;
	int64_t revision = 0;

	m->ops.store_result(m->ctx, reply->status);
	if (reply->status != BW_OK)
		bw_event(BW_EVENT_MEMBER_CLAIM_FAILED,
			 "pool=%s status=%s cause=%s "
			 "queued_ms=%" G_GINT64_FORMAT
			 " took_ms=%" G_GINT64_FORMAT,
			 claim->pool, bw_status_name(reply->status),
			 bw_cause_name(reply->trace.cause),
			 reply->trace.queued_ms, reply->trace.took_ms);
	if (reply->status == BW_ELOST) {
		claim->repeat_ms = bw_clock_now_ms() + CLAIM_RETRY_MS;
		return;
	}
	if (reply->status == BW_OK)
		revision = reply->succeeded ? reply->revision
					    : own_revision(claim, reply);
	g_hash_table_remove(m->claiming, claim->pool);
	if (revision > 0)
		acquire_pool(m, claim, revision);
	claim_free(claim);
}

bool bw_fleet_member_may_own(const bw_fleet_member_t *m, const char *pool)
{
	return g_hash_table_contains(m->owned, pool) ||
	       g_hash_table_contains(m->claiming, pool);
}

static void end_claim(claim_t *claim)
{
	g_hash_table_remove(claim->m->claiming, claim->pool);
	claim_free(claim);
}

/* Sending a claim again shows whether it was written. */
static void repeat_claim(claim_t *claim)
{
	claim->repeat_ms = 0;
	if (claim->m->lease_id == claim->lease_id)
		send_claim(claim);
	else
		end_claim(claim);
}

/* Returns an array of the claims that are to be sent again by a time. */
static GPtrArray *list_unanswered(const bw_fleet_member_t *m, int64_t until_ms)
{
	GPtrArray *claims = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->claiming);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const claim_t *claim = value;

		if (claim->repeat_ms > 0 && claim->repeat_ms <= until_ms)
			g_ptr_array_add(claims, value);
	}
	return claims;
}

void member_repeat_claims(bw_fleet_member_t *m, int64_t now_ms)
{
	GPtrArray *claims = list_unanswered(m, now_ms);
	guint i;

	for (i = 0; i < claims->len; i++)
		repeat_claim(g_ptr_array_index(claims, i));
	g_ptr_array_free(claims, TRUE);
}

void member_end_claims(bw_fleet_member_t *m)
{
	GPtrArray *claims = list_unanswered(m, INT64_MAX);
	guint i;

	for (i = 0; i < claims->len; i++)
		end_claim(g_ptr_array_index(claims, i));
	g_ptr_array_free(claims, TRUE);
}
