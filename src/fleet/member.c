#include "fleet/member.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/watch_cache.h"
#include "wire/record.pb-c.h"

#define PREFIX	     "bw/m/"
#define NODE_PREFIX  "bw/m/node/"
#define OWNER_PREFIX "bw/m/own/"
/** Renewals in the time of a lease. */
#define RENEWALS 5
/** A node claims this long after the node before it in rank would. */
#define RANK_STEP_MS 250
/** After its start a node lets the others register first. */
#define START_WAIT_MS 1500
#define CALL_AGAIN_MS 150
/** Nodes that started within this time count as equally old. */
#define SAME_START_MS 700

typedef enum phase {
	PHASE_NO_LEASE,
	PHASE_GRANTING,
	PHASE_REGISTERING,
	PHASE_REGISTERED
} phase_t;

/** A live node. */
typedef struct node {
	int64_t started_ms;
	uint64_t incarnation;
} node_t;

/** A pool's owner in the store. */
typedef struct owner {
	char *node;
	uint64_t incarnation;
	uint64_t nonce;
	int64_t revision;
} owner_t;

/** A claim in progress. */
typedef struct claim {
	bw_fleet_member_t *m;
	char *pool;
	char *key;
	uint64_t nonce;
	int64_t lease;
	bool in_doubt; /**< An earlier attempt has no answer. */
} claim_t;

struct bw_fleet_member {
	bw_store_t store;
	char *name;
	char *address;
	uint64_t incarnation;
	int64_t lease_ms;
	bw_fleet_member_ops_t ops;
	void *ctx;
	bw_watch_cache_t *mirror;
	GHashTable *nodes; /**< Name to node_t. */
	GHashTable *owners; /**< Pool to owner_t. */
	GHashTable *before; /**< Pool to its owner_t before. */
	GHashTable *owned; /**< Pools of this node, to their revision. */
	GHashTable *claims; /**< Pools that are being claimed. */
	GHashTable *absent; /**< Pool to the time since it has no owner. */
	phase_t phase;
	int64_t lease;
	int64_t sent_ms; /**< Of the call in progress. */
	int64_t renewed_ms; /**< Sending time of the last good renewal. */
	int64_t next_ms;
	int64_t started_ms;
	int64_t started_wall_ms;
	bool call_out;
	bool synced;
	bool first_start;
	bool leaving;
	bool ended;
};

static void grant(bw_fleet_member_t *m, int64_t now_ms);
static void on_granted(void *ctx, const bw_store_reply_t *reply);
static void register_node(bw_fleet_member_t *m);
static void on_registered(void *ctx, const bw_store_reply_t *reply);
static void renew(bw_fleet_member_t *m, int64_t now_ms);
static void on_renewed(void *ctx, const bw_store_reply_t *reply);
static void lease_lost(bw_fleet_member_t *m);
static void try_claim(void *arg, const char *pool);
static void send_claim(claim_t *claim);
static void give_back(bw_fleet_member_t *m, const char *key, int64_t revision);
static void on_claimed(void *ctx, const bw_store_reply_t *reply);
static void on_changed(void *ctx, const bw_store_kv_t *kv);
static void on_synced(void *ctx);
static void on_result(void *ctx, bw_status_t status);
static void on_revoked(void *ctx, const bw_store_reply_t *reply);

static void on_revoked(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->ops.store_result(m->ctx, reply->status);
}

static void owner_free(gpointer data)
{
	owner_t *owner = data;

	g_free(owner->node);
	g_free(owner);
}

static owner_t *owner_copy(const owner_t *owner)
{
	owner_t *copy = g_new0(owner_t, 1);

	*copy = *owner;
	copy->node = g_strdup(owner->node);
	return copy;
}

bw_fleet_member_t *
bw_fleet_member_create(struct ev_loop *loop, const bw_store_t *store,
		       const bw_fleet_member_config_t *config,
		       const bw_fleet_member_ops_t *ops, void *ctx)
{
	static const bw_watch_cache_ops_t mirror_ops = { on_changed, on_synced,
							 on_result };
	bw_fleet_member_t *m = g_new0(bw_fleet_member_t, 1);

	m->store = *store;
	m->name = g_strdup(config->name);
	m->address = g_strdup(config->address);
	m->incarnation = config->incarnation;
	m->lease_ms = config->lease_ms;
	m->first_start = config->first_start;
	m->started_wall_ms = config->started_ms;
	m->ops = *ops;
	m->ctx = ctx;
	m->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  owner_free);
	m->before = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  owner_free);
	m->owned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->claims =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->absent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->started_ms = bw_clock_now_ms();
	m->mirror = bw_watch_cache_create(loop, store, PREFIX, &mirror_ops, m);
	return m;
}

void bw_fleet_member_destroy(bw_fleet_member_t *m)
{
	if (!m)
		return;
	bw_watch_cache_destroy(m->mirror);
	g_hash_table_destroy(m->nodes);
	g_hash_table_destroy(m->owners);
	g_hash_table_destroy(m->before);
	g_hash_table_destroy(m->owned);
	g_hash_table_destroy(m->claims);
	g_hash_table_destroy(m->absent);
	g_free(m->name);
	g_free(m->address);
	g_free(m);
}

int64_t bw_fleet_member_lease_end_ms(const bw_fleet_member_t *m)
{
	return m->renewed_ms + m->lease_ms;
}

const char *bw_fleet_member_owner(const bw_fleet_member_t *m, const char *pool)
{
	const owner_t *owner = g_hash_table_lookup(m->owners, pool);

	return owner ? owner->node : NULL;
}

bw_predecessor_t bw_fleet_member_predecessor(const bw_fleet_member_t *m,
					     const char *pool,
					     const char **node)
{
	const owner_t *before = g_hash_table_lookup(m->before, pool);
	const node_t *now;

	if (!before)
		return BW_PREDECESSOR_UNKNOWN;
	*node = before->node;
	/* What this process owned itself is over as well. */
	if (!strcmp(before->node, m->name))
		return BW_PREDECESSOR_ENDED;
	now = g_hash_table_lookup(m->nodes, before->node);
	if (!now)
		return BW_PREDECESSOR_UNREGISTERED;
	return now->incarnation == before->incarnation ? BW_PREDECESSOR_ALIVE
						       : BW_PREDECESSOR_ENDED;
}

char *bw_fleet_owner_key(const char *pool)
{
	return g_strconcat(OWNER_PREFIX, pool, NULL);
}

static uint64_t weight(const char *pool, const char *name)
{
	g_assert(name != NULL);
	return XXH64(name, strlen(name), XXH64(pool, strlen(pool), 0));
}

/* Whether candidate a comes before b. */
static bool comes_first(const char *pool, const bw_claim_candidate_t *a,
			const bw_claim_candidate_t *b, uint32_t owned_max)
{
	bool a_full = a->owned >= owned_max;
	bool b_full = b->owned >= owned_max;
	int64_t younger_ms = a->started_ms - b->started_ms;

	if (a_full != b_full)
		return b_full;
	if (younger_ms > SAME_START_MS || younger_ms < -SAME_START_MS)
		return younger_ms > 0;
	return weight(pool, a->name) > weight(pool, b->name);
}

uint32_t bw_fleet_claim_rank(const char *pool,
			     const bw_claim_candidate_t *candidates,
			     uint32_t count, uint32_t self, uint32_t roles)
{
	uint32_t owned_max = roles / MAX(count, 1U) + 1;
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (i != self && comes_first(pool, &candidates[i],
					     &candidates[self], owned_max))
			rank++;
	return rank;
}

static void grant(bw_fleet_member_t *m, int64_t now_ms)
{
	m->phase = PHASE_GRANTING;
	m->call_out = true;
	m->sent_ms = now_ms;
	m->store.ops->lease_grant(m->store.impl, m->lease_ms, on_granted, m);
}

static void on_granted(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->call_out = false;
	m->ops.store_result(m->ctx, reply->status);
	if (reply->status != BW_OK) {
		m->phase = PHASE_NO_LEASE;
		m->next_ms = bw_clock_now_ms() + CALL_AGAIN_MS;
		return;
	}
	m->lease = reply->lease_id;
	m->lease_ms = reply->ttl_ms;
	m->renewed_ms = m->sent_ms;
	m->phase = PHASE_REGISTERING;
	register_node(m);
}

static void register_node(bw_fleet_member_t *m)
{
	Bramley__NodeRecord record = BRAMLEY__NODE_RECORD__INIT;
	char *key = g_strconcat(NODE_PREFIX, m->name, NULL);
	bw_store_write_t write = { .key = key, .lease_id = m->lease };
	bw_store_txn_t txn = { .writes = &write, .write_count = 1 };
	uint8_t *data;

	record.address = m->address;
	record.incarnation = m->incarnation;
	record.lease = m->lease;
	record.started_ms = m->started_wall_ms;
	write.bytes = bramley__node_record__get_packed_size(&record);
	data = g_malloc(write.bytes + 1);
	bramley__node_record__pack(&record, data);
	write.value = (const char *)data;
	m->call_out = true;
	m->store.ops->txn(m->store.impl, &txn, on_registered, m);
	g_free(data);
	g_free(key);
}

static void on_registered(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->call_out = false;
	m->ops.store_result(m->ctx, reply->status);
	if (reply->status == BW_OK) {
		m->phase = PHASE_REGISTERED;
		bw_event(BW_EVENT_MEMBER_REGISTERED,
			 "node=%s lease=%" G_GINT64_FORMAT, m->name, m->lease);
	} else if (reply->status == BW_ENOTFOUND) {
		m->phase = PHASE_NO_LEASE;
	}
	m->next_ms = bw_clock_now_ms() + CALL_AGAIN_MS;
}

static void renew(bw_fleet_member_t *m, int64_t now_ms)
{
	m->call_out = true;
	m->sent_ms = now_ms;
	m->next_ms = now_ms + m->lease_ms / RENEWALS;
	m->store.ops->lease_keepalive(m->store.impl, m->lease, on_renewed, m);
}

static void on_renewed(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->call_out = false;
	m->ops.store_result(m->ctx, reply->status);
	if (reply->status == BW_OK)
		m->renewed_ms = m->sent_ms;
	else if (reply->status == BW_ENOTFOUND && !m->ended)
		lease_lost(m);
	else
		m->next_ms = bw_clock_now_ms() + CALL_AGAIN_MS;
}

static void drop(bw_fleet_member_t *m, const char *pool, const char *reason)
{
	char *name = g_strdup(pool);

	if (g_hash_table_remove(m->owned, name))
		m->ops.lost(m->ctx, name, reason);
	g_free(name);
}

static void lease_lost(bw_fleet_member_t *m)
{
	GList *pools = g_hash_table_get_keys(m->owned);
	GList *at;

	bw_event(BW_EVENT_MEMBER_LEASE_LOST, "node=%s lease=%" G_GINT64_FORMAT,
		 m->name, m->lease);
	for (at = pools; at; at = at->next)
		drop(m, at->data, "lease-lost");
	g_list_free(pools);
	m->phase = PHASE_NO_LEASE;
	m->next_ms = 0;
}

void bw_fleet_member_drop_pool(bw_fleet_member_t *m, const char *pool)
{
	drop(m, pool, "superseded");
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

static void count_role(void *arg, const char *pool)
{
	(void)pool;
	(*(uint32_t *)arg)++;
}

/* UINT32_MAX while this node is not in its own view. */
static uint32_t own_rank(bw_fleet_member_t *m, const char *pool)
{
	uint32_t count = g_hash_table_size(m->nodes);
	bw_claim_candidate_t *candidates =
		g_new0(bw_claim_candidate_t, count + 1);
	uint32_t roles = 0;
	uint32_t self = UINT32_MAX;
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint32_t rank = UINT32_MAX;
	uint32_t i = 0;

	m->ops.foreach_pool(m->ctx, count_role, &roles);
	g_hash_table_iter_init(&iter, m->nodes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		candidates[i].name = key;
		candidates[i].owned = count_owned(m, key);
		candidates[i].started_ms = ((node_t *)value)->started_ms;
		if (!strcmp(key, m->name))
			self = i;
		i++;
	}
	if (self != UINT32_MAX)
		rank = bw_fleet_claim_rank(pool, candidates, count, self,
					   roles);
	g_free(candidates);
	return rank;
}

/* Whether it is this node's turn to claim a pool without an owner. */
static bool its_turn(bw_fleet_member_t *m, const char *pool, int64_t now_ms)
{
	int64_t *since_ms = g_hash_table_lookup(m->absent, pool);
	uint32_t rank;

	if (!since_ms) {
		since_ms = g_new(int64_t, 1);
		*since_ms = now_ms;
		g_hash_table_insert(m->absent, g_strdup(pool), since_ms);
	}
	rank = own_rank(m, pool);
	return rank != UINT32_MAX && now_ms - *since_ms >= rank * RANK_STEP_MS;
}

static void try_claim(void *arg, const char *pool)
{
	bw_fleet_member_t *m = arg;
	claim_t *claim;

	if (g_hash_table_contains(m->owners, pool) ||
	    g_hash_table_contains(m->claims, pool) ||
	    g_hash_table_contains(m->owned, pool) ||
	    !its_turn(m, pool, bw_clock_now_ms()))
		return;
	claim = g_new0(claim_t, 1);
	claim->m = m;
	claim->pool = g_strdup(pool);
	claim->key = bw_fleet_owner_key(pool);
	claim->lease = m->lease;
	claim->nonce = ((uint64_t)g_random_int() << 32) | g_random_int();
	g_hash_table_add(m->claims, g_strdup(pool));
	send_claim(claim);
}

static void send_claim(claim_t *claim)
{
	bw_fleet_member_t *m = claim->m;
	Bramley__OwnerRecord record = BRAMLEY__OWNER_RECORD__INIT;
	bw_store_expect_t expect = { claim->key, 0 };
	bw_store_write_t write = { .key = claim->key,
				   .lease_id = claim->lease };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };
	uint8_t *data;

	record.node = m->name;
	record.incarnation = m->incarnation;
	record.nonce = claim->nonce;
	write.bytes = bramley__owner_record__get_packed_size(&record);
	data = g_malloc(write.bytes + 1);
	bramley__owner_record__pack(&record, data);
	write.value = (const char *)data;
	m->store.ops->txn(m->store.impl, &txn, on_claimed, claim);
	g_free(data);
}

/* Revision of our own claim, which may have been written without an answer. */
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

static void gain(bw_fleet_member_t *m, const claim_t *claim, int64_t revision)
{
	int64_t *kept;

	if (m->leaving || m->phase != PHASE_REGISTERED ||
	    m->lease != claim->lease) {
		give_back(m, claim->key, revision);
		return;
	}
	kept = g_new(int64_t, 1);
	*kept = revision;
	g_hash_table_replace(m->owned, g_strdup(claim->pool), kept);
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
	if (reply->status == BW_ELOST && m->lease == claim->lease) {
		/* The same claim again finds out what became of it. */
		send_claim(claim);
		return;
	}
	if (reply->status == BW_OK)
		revision = reply->succeeded ? reply->revision
					    : own_revision(claim, reply);
	g_hash_table_remove(m->claims, claim->pool);
	if (revision > 0)
		gain(m, claim, revision);
	claim_free(claim);
}

static void take_node(bw_fleet_member_t *m, const bw_store_kv_t *kv)
{
	const char *name = kv->key + strlen(NODE_PREFIX);
	Bramley__NodeRecord *record = NULL;
	node_t *node;

	if (!kv->deleted)
		record = bramley__node_record__unpack(
			NULL, kv->bytes, (const uint8_t *)kv->value);
	if (!record) {
		g_hash_table_remove(m->nodes, name);
		m->ops.node_changed(m->ctx, name, NULL);
		if (!strcmp(name, m->name) && m->phase == PHASE_REGISTERED)
			m->phase = PHASE_REGISTERING;
		return;
	}
	/* A lease of an earlier life of this node only delays the others. */
	if (!strcmp(name, m->name) && record->incarnation != m->incarnation)
		m->store.ops->lease_revoke(m->store.impl, record->lease,
					   on_revoked, m);
	node = g_new0(node_t, 1);
	node->started_ms = record->started_ms;
	node->incarnation = record->incarnation;
	g_hash_table_replace(m->nodes, g_strdup(name), node);
	m->ops.node_changed(m->ctx, name, record->address);
	bramley__node_record__free_unpacked(record, NULL);
}

/* Whether the store has a claim of this process that it does not act on. */
static bool is_forgotten(const bw_fleet_member_t *m, const char *pool,
			 const owner_t *owner)
{
	return !strcmp(owner->node, m->name) &&
	       owner->incarnation == m->incarnation &&
	       !g_hash_table_contains(m->owned, pool) &&
	       !g_hash_table_contains(m->claims, pool);
}

static void on_given_back(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->ops.store_result(m->ctx, reply->status);
}

/* Deletes a claim, so that any node may claim the pool. */
static void give_back(bw_fleet_member_t *m, const char *key, int64_t revision)
{
	bw_store_expect_t expect = { key, revision };
	bw_store_write_t write = { .key = key };
	bw_store_txn_t txn = { &expect, 1, &write, 1 };

	bw_event(BW_EVENT_MEMBER_GIVEN_BACK,
		 "pool=%s revision=%" G_GINT64_FORMAT,
		 key + strlen(OWNER_PREFIX), revision);
	m->store.ops->txn(m->store.impl, &txn, on_given_back, m);
}

static void take_owner(bw_fleet_member_t *m, const bw_store_kv_t *kv)
{
	const char *pool = kv->key + strlen(OWNER_PREFIX);
	const int64_t *own = g_hash_table_lookup(m->owned, pool);
	Bramley__OwnerRecord *record = NULL;
	owner_t *owner = g_hash_table_lookup(m->owners, pool);

	if (owner)
		g_hash_table_replace(m->before, g_strdup(pool),
				     owner_copy(owner));
	/* A watch may tell after our claim what happened before it. */
	if (own && kv->mod_revision > *own)
		drop(m, pool, kv->deleted ? "claim-gone" : "claimed-away");
	if (!kv->deleted)
		record = bramley__owner_record__unpack(
			NULL, kv->bytes, (const uint8_t *)kv->value);
	if (!record) {
		g_hash_table_remove(m->owners, pool);
		g_hash_table_remove(m->absent, pool);
		return;
	}
	owner = g_new0(owner_t, 1);
	owner->node = g_strdup(record->node);
	owner->incarnation = record->incarnation;
	owner->nonce = record->nonce;
	owner->revision = kv->mod_revision;
	g_hash_table_replace(m->owners, g_strdup(pool), owner);
	g_hash_table_remove(m->absent, pool);
	bw_event(BW_EVENT_MEMBER_OWNER,
		 "pool=%s node=%s revision=%" G_GINT64_FORMAT, pool,
		 owner->node, owner->revision);
	bramley__owner_record__free_unpacked(record, NULL);
	if (is_forgotten(m, pool, owner))
		give_back(m, kv->key, owner->revision);
}

static void on_changed(void *ctx, const bw_store_kv_t *kv)
{
	bw_fleet_member_t *m = ctx;

	if (g_str_has_prefix(kv->key, NODE_PREFIX))
		take_node(m, kv);
	else if (g_str_has_prefix(kv->key, OWNER_PREFIX))
		take_owner(m, kv);
}

static void on_synced(void *ctx)
{
	((bw_fleet_member_t *)ctx)->synced = true;
}

static void on_result(void *ctx, bw_status_t status)
{
	bw_fleet_member_t *m = ctx;

	m->ops.store_result(m->ctx, status);
}

void bw_fleet_member_tick(bw_fleet_member_t *m, int64_t now_ms)
{
	if (m->ended)
		return;
	if (!m->call_out && now_ms >= m->next_ms) {
		if (m->phase == PHASE_NO_LEASE)
			grant(m, now_ms);
		else if (m->phase == PHASE_REGISTERING)
			register_node(m);
		else if (m->phase == PHASE_REGISTERED)
			renew(m, now_ms);
	}
	if (m->leaving || !m->synced || m->phase != PHASE_REGISTERED ||
	    (m->first_start && now_ms - m->started_ms < START_WAIT_MS) ||
	    now_ms >= bw_fleet_member_lease_end_ms(m))
		return;
	m->ops.foreach_pool(m->ctx, try_claim, m);
}

void bw_fleet_member_stop_claiming(bw_fleet_member_t *m)
{
	m->leaving = true;
}

void bw_fleet_member_end_lease(bw_fleet_member_t *m)
{
	if (m->ended)
		return;
	m->ended = true;
	if (m->lease != 0)
		m->store.ops->lease_revoke(m->store.impl, m->lease, on_revoked,
					   m);
}
