/* Registration of this node under its lease, and what the store says of nodes
 * and owners. */
#include "fleet/member_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"
#include "wire/record.pb-c.h"
#include "wire/version.h"

#define MEMBER_PREFIX "bw/m/"
#define NODE_PREFIX   "bw/m/node/"
/** The lease is renewed this many times in its length. */
#define RENEWALS_PER_LEASE 5
/** On the first start of a site no node claims before this, so that the other
 * nodes can register. */
#define FIRST_START_WAIT_MS 1500
/** No claims for this long after a registration: nodes that lost power together
 * start within 0.3 s of each other and take a moment to register. */
#define REGISTERED_WAIT_MS 400
#define RETRY_MS	   150

static void request_lease(bw_fleet_member_t *m, int64_t now_ms);
static void on_granted(void *ctx, const bw_store_reply_t *reply);
static void register_node(bw_fleet_member_t *m);
static void on_registered(void *ctx, const bw_store_reply_t *reply);
static void renew_lease(bw_fleet_member_t *m, int64_t now_ms);
static void on_renewed(void *ctx, const bw_store_reply_t *reply);
static void handle_lease_lost(bw_fleet_member_t *m);
static void on_key_changed(void *ctx, const bw_store_kv_t *kv);
static void on_synced(void *ctx);
static void on_store_result(void *ctx, bw_status_t status);
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

static void history_free(gpointer data)
{
	bw_claim_history_destroy(data);
}

bw_fleet_member_t *
bw_fleet_member_create(struct ev_loop *loop, const bw_store_t *store,
		       const bw_fleet_member_config_t *config,
		       const bw_fleet_member_ops_t *ops, void *ctx)
{
	static const bw_watch_cache_ops_t cache_ops = { on_key_changed,
							on_synced,
							on_store_result };
	bw_fleet_member_t *m = g_new0(bw_fleet_member_t, 1);

	m->store = *store;
	m->name = g_strdup(config->name);
	m->address = g_strdup(config->address);
	m->incarnation = config->incarnation;
	m->lease_ms = config->lease_ms;
	m->outage_ms = config->outage_ms;
	m->first_start = config->first_start;
	m->capacity = config->capacity;
	m->started_wall_ms = config->started_ms;
	m->ops = *ops;
	m->ctx = ctx;
	m->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  owner_free);
	m->histories = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     history_free);
	m->owned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->claiming =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->handed_over =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->ownerless =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->started_ms = bw_clock_now_ms();
	m->cache = bw_watch_cache_create(loop, store, MEMBER_PREFIX, &cache_ops,
					 m);
	return m;
}

void bw_fleet_member_destroy(bw_fleet_member_t *m)
{
	if (!m)
		return;
	bw_watch_cache_destroy(m->cache);
	member_end_claims(m);
	g_hash_table_destroy(m->nodes);
	g_hash_table_destroy(m->owners);
	g_hash_table_destroy(m->histories);
	g_hash_table_destroy(m->owned);
	g_hash_table_destroy(m->claiming);
	g_hash_table_destroy(m->handed_over);
	g_hash_table_destroy(m->ownerless);
	g_free(m->name);
	g_free(m->address);
	g_free(m);
}

int64_t bw_fleet_member_lease_end_ms(const bw_fleet_member_t *m)
{
	return m->renewed_ms + m->lease_ms;
}

bw_store_seen_t bw_fleet_member_registered(const bw_fleet_member_t *m)
{
	return (bw_store_seen_t){ .revision = m->registered_revision,
				  .ms = m->registered_ms };
}

static bool is_known(const owner_t *owner)
{
	return strcmp(owner->node, NODE_UNKNOWN) != 0;
}

const char *bw_fleet_member_owner(const bw_fleet_member_t *m, const char *pool)
{
	const owner_t *owner = g_hash_table_lookup(m->owners, pool);

	return owner && is_known(owner) ? owner->node : NULL;
}

int64_t bw_fleet_member_claim(const bw_fleet_member_t *m, const char *pool)
{
	const owner_t *owner = g_hash_table_lookup(m->owners, pool);

	return owner ? owner->revision : 0;
}

bool bw_fleet_member_knows_claims(const bw_fleet_member_t *m, const char *pool)
{
	const int64_t *own = g_hash_table_lookup(m->owned, pool);

	return own && bw_fleet_member_claim(m, pool) >= *own &&
	       bw_watch_cache_complete_since_ms(m->cache) != INT64_MAX;
}

static void request_lease(bw_fleet_member_t *m, int64_t now_ms)
{
	m->phase = PHASE_LEASE_REQUESTED;
	m->call_pending = true;
	m->sent_ms = now_ms;
	m->store.ops->lease_grant(m->store.impl, m->lease_ms, on_granted, m);
}

static void on_granted(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->call_pending = false;
	m->ops.store_result(m->ctx, reply->status);
	if (reply->status != BW_OK) {
		m->phase = PHASE_NO_LEASE;
		m->next_call_ms = bw_clock_now_ms() + RETRY_MS;
		return;
	}
	m->lease_id = reply->lease_id;
	m->lease_ms = reply->ttl_ms;
	m->renewed_ms = m->sent_ms;
	m->phase = PHASE_REGISTERING;
	register_node(m);
}

static void put_capacity(Bramley__NodeRecord *record,
			 const bw_node_capacity_t *capacity)
{
	record->cpu_millis = capacity->amounts[BW_NODE_CPU_MILLIS];
	record->memory_mb = capacity->amounts[BW_NODE_MEMORY_MB];
	record->link_kbits = capacity->amounts[BW_NODE_LINK_KBITS];
	record->descriptors = capacity->amounts[BW_NODE_DESCRIPTORS];
}

static bw_node_capacity_t get_capacity(const Bramley__NodeRecord *record)
{
	return (bw_node_capacity_t){
		.amounts = {
			[BW_NODE_CPU_MILLIS] = record->cpu_millis,
			[BW_NODE_MEMORY_MB] = record->memory_mb,
			[BW_NODE_LINK_KBITS] = record->link_kbits,
			[BW_NODE_DESCRIPTORS] = record->descriptors,
		},
	};
}

static void register_node(bw_fleet_member_t *m)
{
	Bramley__NodeRecord record = BRAMLEY__NODE_RECORD__INIT;
	char *key = g_strconcat(NODE_PREFIX, m->name, NULL);
	bw_store_write_t write = { .key = key, .lease_id = m->lease_id };
	bw_store_txn_t txn = { .writes = &write, .write_count = 1 };
	uint8_t *data;

	record.address = m->address;
	record.incarnation = m->incarnation;
	record.lease = m->lease_id;
	record.started_ms = m->started_wall_ms;
	record.version = BW_RECORD_VERSION;
	put_capacity(&record, &m->capacity);
	write.bytes = bramley__node_record__get_packed_size(&record);
	data = g_malloc(write.bytes + 1);
	bramley__node_record__pack(&record, data);
	write.value = (const char *)data;
	m->call_pending = true;
	m->store.ops->txn(m->store.impl, &txn, on_registered, m);
	g_free(data);
	g_free(key);
}

static void on_registered(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->call_pending = false;
	m->ops.store_result(m->ctx, reply->status);
	if (reply->status == BW_OK) {
		m->phase = PHASE_REGISTERED;
		m->registered_ms = bw_clock_now_ms();
		m->registered_revision = reply->revision;
		bw_event(BW_EVENT_MEMBER_REGISTERED,
			 "node=%s lease=%" G_GINT64_FORMAT, m->name,
			 m->lease_id);
	} else if (reply->status == BW_ENOTFOUND && !m->ended) {
		handle_lease_lost(m);
	}
	m->next_call_ms = bw_clock_now_ms() + RETRY_MS;
}

static void renew_lease(bw_fleet_member_t *m, int64_t now_ms)
{
	m->call_pending = true;
	m->sent_ms = now_ms;
	m->next_call_ms = now_ms + m->lease_ms / RENEWALS_PER_LEASE;
	m->store.ops->lease_keepalive(m->store.impl, m->lease_id, on_renewed,
				      m);
}

static void on_renewed(void *ctx, const bw_store_reply_t *reply)
{
	bw_fleet_member_t *m = ctx;

	m->call_pending = false;
	m->ops.store_result(m->ctx, reply->status);
	if (reply->status == BW_OK) {
		m->renewed_ms = m->sent_ms;
	} else if (reply->status == BW_ENOTFOUND && !m->ended) {
		handle_lease_lost(m);
	} else {
		bw_event(BW_EVENT_MEMBER_RENEWAL_FAILED,
			 "node=%s status=%s cause=%s "
			 "queued_ms=%" G_GINT64_FORMAT
			 " took_ms=%" G_GINT64_FORMAT,
			 m->name, bw_status_name(reply->status),
			 bw_cause_name(reply->trace.cause),
			 reply->trace.queued_ms, reply->trace.took_ms);
		m->next_call_ms = bw_clock_now_ms() + RETRY_MS;
	}
}

void member_drop_pool(bw_fleet_member_t *m, const char *pool,
		      const char *reason)
{
	char *name = g_strdup(pool);

	if (g_hash_table_remove(m->owned, name))
		m->ops.lost(m->ctx, name, reason);
	g_free(name);
}

static void handle_lease_lost(bw_fleet_member_t *m)
{
	GList *pools = g_hash_table_get_keys(m->owned);
	GList *at;

	bw_event(BW_EVENT_MEMBER_LEASE_LOST, "node=%s lease=%" G_GINT64_FORMAT,
		 m->name, m->lease_id);
	for (at = pools; at; at = at->next)
		member_drop_pool(m, at->data, "lease-lost");
	g_list_free(pools);
	m->phase = PHASE_NO_LEASE;
	m->next_call_ms = 0;
}

void bw_fleet_member_drop_pool(bw_fleet_member_t *m, const char *pool)
{
	member_drop_pool(m, pool, "superseded");
}

static void log_unreadable(const bw_store_kv_t *kv)
{
	bw_event(BW_EVENT_MEMBER_UNREADABLE, "key=%s error=\"%s\"", kv->key,
		 bw_status_message());
}

static bw_status_t check_node(const Bramley__NodeRecord *record)
{
	if (!record)
		return bw_status_set(BW_EPARSE, "not a node record");
	if (record->address[0] == '\0')
		return bw_status_set(BW_EPARSE, "a node without an address");
	return bw_record_check_late_version("node", record->version);
}

/* Returns a registration, or NULL if this version can't read it. */
static Bramley__NodeRecord *read_node(const bw_store_kv_t *kv)
{
	Bramley__NodeRecord *record = bramley__node_record__unpack(
		NULL, kv->bytes, (const uint8_t *)kv->value);

	if (check_node(record) == BW_OK)
		return record;
	log_unreadable(kv);
	if (record)
		bramley__node_record__free_unpacked(record, NULL);
	return NULL;
}

static void register_again(bw_fleet_member_t *m, const char *name)
{
	if (!strcmp(name, m->name) && m->phase == PHASE_REGISTERED)
		m->phase = PHASE_REGISTERING;
}

static void remove_node(bw_fleet_member_t *m, const char *name)
{
	g_hash_table_remove(m->nodes, name);
	m->ops.node_changed(m->ctx, name, NULL);
	register_again(m, name);
}

static void apply_node(bw_fleet_member_t *m, const bw_store_kv_t *kv)
{
	const char *name = kv->key + strlen(NODE_PREFIX);
	Bramley__NodeRecord *record;
	const node_t *known = g_hash_table_lookup(m->nodes, name);
	node_t *node;

	if (kv->deleted) {
		remove_node(m, name);
		return;
	}
	record = read_node(kv);
	if (!record) {
		/* What was known of another node stays. */
		register_again(m, name);
		return;
	}
	/* Revoke the lease of an earlier process of this node: until it
	 * expires, its claims keep other nodes from claiming. */
	if (!strcmp(name, m->name) && record->incarnation != m->incarnation)
		m->store.ops->lease_revoke(m->store.impl, record->lease,
					   on_revoked, m);
	node = g_new0(node_t, 1);
	node->started_ms = record->started_ms;
	node->incarnation = record->incarnation;
	node->capacity = get_capacity(record);
	node->seen_ms = known && known->incarnation == record->incarnation
				? known->seen_ms
				: bw_clock_now_ms();
	g_hash_table_replace(m->nodes, g_strdup(name), node);
	m->ops.node_changed(m->ctx, name, record->address);
	bramley__node_record__free_unpacked(record, NULL);
}

static bw_status_t check_owner(const Bramley__OwnerRecord *record)
{
	if (!record)
		return bw_status_set(BW_EPARSE, "not an owner record");
	if (record->node[0] == '\0')
		return bw_status_set(BW_EPARSE, "a claim of no node");
	return bw_record_check_late_version("owner", record->version);
}

/* Returns a claim; one that can't be read is somebody's, but nobody known. */
static owner_t *read_owner(const bw_store_kv_t *kv)
{
	Bramley__OwnerRecord *record = bramley__owner_record__unpack(
		NULL, kv->bytes, (const uint8_t *)kv->value);
	owner_t *owner = g_new0(owner_t, 1);

	owner->revision = kv->mod_revision;
	if (check_owner(record) == BW_OK) {
		owner->node = g_strdup(record->node);
		owner->incarnation = record->incarnation;
		owner->nonce = record->nonce;
	} else {
		owner->node = g_strdup(NODE_UNKNOWN);
		log_unreadable(kv);
	}
	if (record)
		bramley__owner_record__free_unpacked(record, NULL);
	return owner;
}

static void log_owner_gone(const char *pool, const owner_t *owner)
{
	if (owner)
		bw_event(BW_EVENT_MEMBER_OWNER_GONE,
			 "pool=%s node=%s revision=%" G_GINT64_FORMAT, pool,
			 owner->node, owner->revision);
}

static void apply_owner(bw_fleet_member_t *m, const bw_store_kv_t *kv)
{
	const char *pool = kv->key + strlen(OWNER_PREFIX);
	const int64_t *own = g_hash_table_lookup(m->owned, pool);
	owner_t *owner;

	/* The watch may deliver changes that are older than this node's claim;
	 * these are ignored. */
	if (own && kv->mod_revision > *own)
		member_drop_pool(m, pool,
				 kv->deleted ? "claim-gone" : "claimed-away");
	g_hash_table_remove(m->ownerless, pool);
	if (kv->deleted) {
		log_owner_gone(pool, g_hash_table_lookup(m->owners, pool));
		member_note_claim_gone(m, pool, bw_clock_now_ms());
		g_hash_table_remove(m->owners, pool);
		return;
	}
	owner = read_owner(kv);
	g_hash_table_replace(m->owners, g_strdup(pool), owner);
	member_note_claim(m, pool, owner, bw_clock_now_ms());
	bw_event(BW_EVENT_MEMBER_OWNER,
		 "pool=%s node=%s revision=%" G_GINT64_FORMAT, pool,
		 owner->node, owner->revision);
	member_delete_abandoned(m, pool);
}

static void on_key_changed(void *ctx, const bw_store_kv_t *kv)
{
	bw_fleet_member_t *m = ctx;

	if (g_str_has_prefix(kv->key, NODE_PREFIX))
		apply_node(m, kv);
	else if (g_str_has_prefix(kv->key, OWNER_PREFIX))
		apply_owner(m, kv);
}

static void on_synced(void *ctx)
{
	((bw_fleet_member_t *)ctx)->synced = true;
}

static void on_store_result(void *ctx, bw_status_t status)
{
	bw_fleet_member_t *m = ctx;

	m->ops.store_result(m->ctx, status);
}

void bw_fleet_member_tick(bw_fleet_member_t *m, int64_t now_ms)
{
	if (m->ended)
		return;
	if (!m->call_pending && now_ms >= m->next_call_ms) {
		if (m->phase == PHASE_NO_LEASE)
			request_lease(m, now_ms);
		else if (m->phase == PHASE_REGISTERING)
			register_node(m);
		else if (m->phase == PHASE_REGISTERED)
			renew_lease(m, now_ms);
	}
	member_repeat_claims(m, now_ms);
	if (m->leaving || !m->synced || m->phase != PHASE_REGISTERED ||
	    now_ms - m->registered_ms < REGISTERED_WAIT_MS ||
	    (m->first_start && now_ms - m->started_ms < FIRST_START_WAIT_MS) ||
	    now_ms >= bw_fleet_member_lease_end_ms(m))
		return;
	member_follow_handed_over(m, now_ms);
	m->ops.foreach_pool(m->ctx, member_try_claim, m);
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
	if (m->lease_id != 0)
		m->store.ops->lease_revoke(m->store.impl, m->lease_id,
					   on_revoked, m);
}
