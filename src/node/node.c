#include "node/node.h"

#include <stdlib.h>
#include <string.h>

#include "place/share.h"

#include "node/internal.h"
#include "store/etcd.h"

#define BW_LOG_PART "node"
#include "base/log.h"

#define TICK_S		      0.005
#define LOAN_TTL_US	      500000
#define RUN_MAX_US	      10000000
#define TAKEOVER_DELAY_US     1000000
#define MISSED_HEARTBEATS_MAX 5
#define PROMISE_HEARTBEATS    5
#define STORE_OUTAGE_MAX_US   ((int64_t)3600 * 1000000)
#define OPERATOR_BODY_BYTES   65536
#define LEAVE_TIMEOUT_S	      2.0

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_heartbeat(struct ev_loop *loop, ev_timer *timer, int revents);
static void start_request(void *ctx, bw_place_request_t *r);
static void refuse_request(void *ctx, bw_place_request_t *r, bw_refusal_t why,
			   int64_t retry_after_us);
static bool owner_valid(void *ctx, int64_t now_us);
static void on_document(void *ctx, bw_document_id_t id, int64_t revision,
			const void *data, size_t bytes);
static void on_entry_lease(void *ctx, const char *name, bool present);
static void on_store_current(void *ctx, bool current);
static void on_lease_renewed(void *ctx, int64_t sent_us);
static void apply_documents(bw_node_t *n);
static void log_findings(const bw_findings_t *findings);
static void propose_view(bw_node_t *n, int64_t now_us);
static void continue_stop(bw_node_t *n);
static void create_modules(bw_node_t *n);
static bw_status_t create_servers(bw_node_t *n);
static void create_session(bw_node_t *n);

const bw_session_ops_t node_session_ops = {
	.document = on_document,
	.entry_lease = on_entry_lease,
	.store_current = on_store_current,
	.lease_renewed = on_lease_renewed,
};

static const bw_place_ops_t place_ops = {
	.start = start_request,
	.refuse = refuse_request,
	.send = node_send_place,
};

static const bw_relay_ops_t relay_ops = {
	.send_once_msg = node_send_once,
	.owner_valid = owner_valid,
};

static void start_request(void *ctx, bw_place_request_t *r)
{
	bw_node_t *n = ctx;

	bw_relay_start_attempt(n->relay, r);
}

static void refuse_request(void *ctx, bw_place_request_t *r, bw_refusal_t why,
			   int64_t retry_after_us)
{
	bw_node_t *n = ctx;

	bw_relay_refuse(n->relay, r, why, retry_after_us);
}

static bool owner_valid(void *ctx, int64_t now_us)
{
	const bw_node_t *n = ctx;

	return bw_view_owner_valid(n->view, now_us);
}

static void log_findings(const bw_findings_t *findings)
{
	size_t i;

	for (i = 0; i < bw_findings_count(findings); i++)
		g_warning("Document rejected: %s.",
			  bw_findings_text(findings, i));
}

/* Joins the parts of the worker list; strings still belong to the parts. */
static bw_workers_t join_worker_parts(const bw_node_t *n)
{
	bw_workers_t all = { 0 };
	uint32_t i;

	for (i = 0; i < BW_WORKER_PARTS; i++)
		all.count += n->worker_parts[i] ? n->worker_parts[i]->count : 0;
	all.items = g_new0(bw_worker_t, all.count + 1);
	all.count = 0;
	for (i = 0; i < BW_WORKER_PARTS; i++) {
		const bw_workers_t *part = n->worker_parts[i];

		if (!part)
			continue;
		memcpy(&all.items[all.count], part->items,
		       part->count * sizeof(*part->items));
		all.count += part->count;
	}
	return all;
}

/* Applies the documents parsed since the last tick together. */
static void apply_documents(bw_node_t *n)
{
	bw_table_t *old = n->table;
	bw_workers_t all;

	if (!n->dirty || (!n->table && !n->next_table))
		return;
	n->dirty = false;
	if (n->next_table) {
		n->table = n->next_table;
		n->next_table = NULL;
	}
	all = join_worker_parts(n);
	bw_place_configure(n->place, n->table, &all, bw_now_us());
	bw_relay_set_table(n->relay, n->table);
	bw_count(&n->counters, BW_C_TABLE_APPLIED, 1);
	if (old != n->table)
		g_message("Table version %" G_GUINT64_FORMAT " is in force.",
			  n->table->version);
	if (!n->ready && all.count > 0) {
		g_message("Ready with %u workers.", all.count);
		n->ready = true;
		bw_relay_set_ready(n->relay, true);
	}
	g_free(all.items);
	if (old != n->table)
		bw_table_destroy(old);
}

static void parse_table(bw_node_t *n, const char *text, size_t bytes)
{
	bw_findings_t *findings = bw_findings_create("table");
	bw_table_t *table = bw_table_parse(text, bytes, findings);

	log_findings(findings);
	bw_findings_destroy(findings);
	if (!table) {
		bw_count(&n->counters, BW_C_TABLE_REJECTED, 1);
		return;
	}
	bw_table_destroy(n->next_table);
	n->next_table = table;
	n->dirty = true;
}

static void check_worker_part(const bw_workers_t *workers, uint32_t part,
			      bw_findings_t *findings)
{
	uint32_t i;

	for (i = 0; i < workers->count; i++)
		if (bw_worker_part(workers->items[i].name) != part)
			bw_findings_add_at(findings, BW_F_BAD_VALUE,
					   workers->items[i].name,
					   "is in the wrong part of the "
					   "worker list");
}

static void parse_workers(bw_node_t *n, uint32_t part, const char *text,
			  size_t bytes)
{
	bw_findings_t *findings = bw_findings_create("workers");
	bw_workers_t *workers = bw_workers_parse(text, bytes, findings);
	bool good;

	if (workers)
		check_worker_part(workers, part, findings);
	good = bw_findings_count(findings) == 0;
	log_findings(findings);
	bw_findings_destroy(findings);
	if (!good) {
		bw_workers_destroy(workers);
		bw_count(&n->counters, BW_C_TABLE_REJECTED, 1);
		return;
	}
	bw_workers_destroy(n->worker_parts[part]);
	n->worker_parts[part] = workers;
	n->dirty = true;
}

/** Collects the names of peers in neither the view nor the settings. */
typedef struct unlisted_peers {
	const bw_node_t *node;
	const GArray *members;
	GPtrArray *names;
} unlisted_peers_t;

static void collect_unlisted_peer(void *ctx, uint64_t peer, const char *name,
				  bool up)
{
	unlisted_peers_t *s = ctx;
	const bw_settings_t *settings = s->node->settings;
	uint32_t i;

	(void)peer;
	(void)up;
	for (i = 0; i < s->members->len; i++)
		if (!strcmp(g_array_index(s->members, bw_member_t, i).name,
			    name))
			return;
	for (i = 0; i < settings->peer_count; i++)
		if (!strcmp(settings->peers[i].name, name))
			return;
	g_ptr_array_add(s->names, g_strdup(name));
}

static void remove_unlisted_peers(bw_node_t *n, const GArray *members)
{
	unlisted_peers_t s = { .node = n,
			       .members = members,
			       .names =
				       g_ptr_array_new_with_free_func(g_free) };
	guint i;

	bw_peers_foreach(n->peers, collect_unlisted_peer, &s);
	for (i = 0; i < s.names->len; i++)
		bw_peers_remove(n->peers, g_ptr_array_index(s.names, i));
	g_ptr_array_free(s.names, TRUE);
}

void node_apply_view(bw_node_t *n, const void *data, size_t bytes)
{
	GArray *members = bw_members_new();
	const bw_member_t *list;
	uint64_t *ids;
	uint64_t epoch;
	uint32_t count;
	uint32_t i;

	n->view_unreadable = !bw_view_parse(data, bytes, &epoch, members);
	if (n->view_unreadable) {
		g_warning("Document rejected: the view is malformed, or a "
			  "newer version wrote it. This entry writes none.");
		g_array_free(members, TRUE);
		return;
	}
	list = (const bw_member_t *)members->data;
	count = members->len;
	if (bw_view_adopt(n->view, epoch, list, count, bw_now_us())) {
		g_message("View %" G_GUINT64_FORMAT " adopted; %u entries.",
			  epoch, count);
		if (count == BW_MEMBERS_MAX && !bw_view_is_member(n->view))
			g_warning("The view is full; this entry waits until "
				  "another one leaves.");
		ids = g_new0(uint64_t, count);
		for (i = 0; i < count; i++) {
			ids[i] = bw_name_id(list[i].name);
			if (ids[i] != n->id)
				bw_peers_add(n->peers, list[i].name,
					     list[i].address);
		}
		bw_place_set_view(n->place, epoch, ids, count, bw_now_us());
		bw_once_set_view(n->once, epoch, ids, count);
		remove_unlisted_peers(n, members);
		g_free(ids);
		node_send_heartbeats(n);
	}
	g_array_free(members, TRUE);
}

void node_handle_document(bw_node_t *n, bw_document_id_t id, int64_t revision,
			  const void *data, size_t bytes)
{
	if (!bw_document_set(&n->documents[id], revision, data, bytes))
		return;
	n->latest_revision = MAX(n->latest_revision, revision);
	if (id == BW_DOC_TABLE)
		parse_table(n, data, bytes);
	else if (id == BW_DOC_VIEW)
		node_apply_view(n, data, bytes);
	else
		parse_workers(n, id - BW_DOC_WORKERS, data, bytes);
}

static void on_document(void *ctx, bw_document_id_t id, int64_t revision,
			const void *data, size_t bytes)
{
	node_handle_document(ctx, id, revision, data, bytes);
}

static void on_entry_lease(void *ctx, const char *name, bool present)
{
	bw_node_t *n = ctx;

	bw_view_set_lease_present(n->view, name, present);
}

static void on_store_current(void *ctx, bool current)
{
	bw_node_t *n = ctx;

	bw_view_set_store_current(n->view, current);
	if (!current)
		g_warning("The store watch ended; reading the documents "
			  "again.");
}

static void on_lease_renewed(void *ctx, int64_t sent_us)
{
	bw_node_t *n = ctx;

	bw_view_lease_renewed(n->view, sent_us);
}

static void propose_view(bw_node_t *n, int64_t now_us)
{
	bw_member_t members[BW_MEMBERS_MAX];
	const char *excluded[BW_MEMBERS_MAX];
	uint32_t excluded_count;
	uint32_t count;
	char *text;

	if (n->stopping || n->view_unreadable)
		return;
	count = bw_view_propose(n->view, now_us, members, excluded,
				&excluded_count);
	if (count == 0)
		return;
	text = bw_view_format(bw_view_epoch(n->view) + 1, members, count);
	bw_session_write_view(n->session, n->documents[BW_DOC_VIEW].revision,
			      text, excluded, excluded_count);
	free(text);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_node_t *n = timer->data;
	int64_t now_us = bw_now_us();

	(void)loop;
	(void)revents;
	if (n->dirty) {
		apply_documents(n);
		/* Informs peers that can't reach the store at once. */
		node_send_heartbeats(n);
	}
	bw_place_tick(n->place, now_us);
	bw_relay_tick(n->relay);
	bw_peers_tick(n->peers, now_us);
	if (n->stopping)
		continue_stop(n);
}

static void on_heartbeat(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_node_t *n = timer->data;
	int64_t now_us = bw_now_us();

	(void)loop;
	(void)revents;
	node_send_heartbeats(n);
	propose_view(n, now_us);
	bw_once_tick(n->once, bw_wall_ms());
	if (bw_view_active(n->view) &&
	    n->once_epoch != bw_view_epoch(n->view)) {
		n->once_epoch = bw_view_epoch(n->view);
		bw_once_activate(n->once, n->once_epoch, bw_wall_ms());
	}
}

static void create_modules(bw_node_t *n)
{
	const bw_settings_t *s = n->settings;
	int64_t heartbeat_us = s->heartbeat_ms * 1000;
	bw_place_config_t place = {
		.self = n->id,
		.zone = s->zone,
		.loan_ttl_us = LOAN_TTL_US,
		.run_max_us = RUN_MAX_US,
		.takeover_delay_us = TAKEOVER_DELAY_US,
		.stall_us = heartbeat_us * MISSED_HEARTBEATS_MAX,
		.seed = g_random_int(),
		.lending = true,
	};
	bw_once_config_t once = {
		.self = n->id,
		.key_window_ms = s->key_window_ms,
		.clock_skew_ms = s->clock_skew_ms,
		.answer_memory_bytes = (size_t)s->answer_memory_bytes,
	};
	bw_view_config_t view = {
		.name = s->name,
		.address = s->peers_listen,
		.lease_us = s->lease_ms * 1000,
		.promise_us = heartbeat_us * PROMISE_HEARTBEATS,
		.store_outage_max_us = STORE_OUTAGE_MAX_US,
	};
	bw_relay_config_t relay = { .self = n->id };

	n->place = bw_place_create(&place, &place_ops, n, &n->counters);
	n->view = bw_view_create(&view);
	n->relay =
		bw_relay_create(n->loop, &relay, &relay_ops, n, &n->counters);
	n->once = bw_once_create(&once, bw_relay_send_verdict, n->relay);
	n->upstream = bw_upstream_create(n->loop, &bw_relay_attempt_ops, 0,
					 &n->counters);
}

/** Of the operators' port, apart from the bounds for callers. */
static const bw_budget_limits_t operator_limits = {
	.connections_max = 64,
	.bytes_max = 4U << 20,
	.head_wait_ms = 60000,
	.body_still_ms = 15000,
};

static bw_status_t create_servers(bw_node_t *n)
{
	const bw_settings_t *s = n->settings;
	bw_front_config_t front = {
		.address = s->callers,
		.connections_max = (uint32_t)s->connections_max,
		.connections_per_address_max =
			(uint32_t)s->connections_per_address_max,
		.idle_timeout_ms = (uint32_t)s->idle_timeout_ms,
		.header_bytes_max = (size_t)s->header_bytes_max,
		.body_bytes_max = (size_t)s->body_bytes_max,
		.body_memory_bytes = (size_t)s->body_memory_bytes,
	};
	bw_peers_config_t peers = {
		.name = s->name,
		.site = s->site,
		.listen = s->peers_listen,
		.incarnation = (uint64_t)bw_wall_ms(),
		.silence_timeout_us =
			s->heartbeat_ms * 1000 * MISSED_HEARTBEATS_MAX,
	};
	bw_simple_config_t operators = {
		.address = s->operators,
		.body_bytes_max = OPERATOR_BODY_BYTES,
		.limits = &operator_limits,
	};
	bw_status_t status;
	uint32_t i;

	status = bw_peers_create(n->loop, &peers, &node_peers_ops, n,
				 &n->counters, &n->peers);
	if (status != BW_OK)
		return status;
	for (i = 0; i < s->peer_count; i++)
		if (strcmp(s->peers[i].name, s->name) != 0)
			bw_peers_add(n->peers, s->peers[i].name,
				     s->peers[i].address);
	status = bw_front_create(n->loop, &front, bw_relay_mbox(n->relay),
				 &n->counters, &n->front);
	if (status != BW_OK)
		return status;
	return bw_simplehttp_create(n->loop, &operators,
				    node_handle_operator_request, n,
				    &n->operators);
}

static void create_session(bw_node_t *n)
{
	const bw_settings_t *s = n->settings;
	bw_etcd_config_t etcd = {
		.endpoints = (const char *const *)s->endpoints,
		.endpoint_count = s->endpoint_count,
		.timeout_ms = s->store_timeout_ms,
	};
	bw_session_config_t session = {
		.prefix = s->store_prefix,
		.name = s->name,
		.value = s->peers_listen,
		.lease_ms = s->lease_ms,
		.seed = g_random_int(),
	};

	n->store = bw_etcd_create(n->loop, &etcd, &n->counters);
	n->session = bw_session_create(n->loop, &session, &n->store,
				       &node_session_ops, n);
}

bw_status_t bw_node_create(struct ev_loop *loop, const bw_settings_t *settings,
			   bw_node_t **out)
{
	bw_node_t *n = g_new0(bw_node_t, 1);
	bw_status_t status;

	n->loop = loop;
	n->settings = settings;
	n->id = bw_name_id(settings->name);
	create_modules(n);
	status = create_servers(n);
	if (status != BW_OK) {
		bw_node_destroy(n);
		return status;
	}
	bw_relay_attach(n->relay, n->place, n->once, n->front, n->upstream);
	create_session(n);
	ev_timer_init(&n->tick, on_tick, TICK_S, TICK_S);
	ev_timer_init(&n->heartbeat, on_heartbeat, 0.0,
		      (double)settings->heartbeat_ms / 1000.0);
	n->tick.data = n;
	n->heartbeat.data = n;
	ev_timer_start(loop, &n->tick);
	ev_timer_start(loop, &n->heartbeat);
	g_message("Entry %s of site %s serves callers on %s.", settings->name,
		  settings->site, settings->callers);
	*out = n;
	return BW_OK;
}

static void on_lease_revoked(void *ctx)
{
	bw_node_t *n = ctx;

	ev_break(n->loop, EVBREAK_ALL);
}

static void on_leave_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

/*
 * Revokes the lease once no request and no caller's connection remains, or the
 * stop timeout has passed.
 */
static void continue_stop(bw_node_t *n)
{
	int64_t limit_us = n->settings->stop_timeout_ms * 1000;
	bool late = limit_us > 0 && bw_now_us() - n->stop_us > limit_us;

	if (n->leaving)
		return;
	if (!late && (bw_relay_calls(n->relay) > 0 ||
		      bw_front_connections(n->front) > 0))
		return;
	if (bw_relay_calls(n->relay) > 0)
		g_warning("Stop timeout: %u requests are still in progress.",
			  bw_relay_calls(n->relay));
	n->leaving = true;
	ev_timer_init(&n->leave, on_leave_timeout, LEAVE_TIMEOUT_S, 0.0);
	ev_timer_start(n->loop, &n->leave);
	bw_session_leave(n->session, on_lease_revoked, n);
}

void bw_node_stop(bw_node_t *n)
{
	if (n->stopping) {
		ev_break(n->loop, EVBREAK_ALL);
		return;
	}
	g_message("Stopping; %u requests are in progress.",
		  bw_relay_calls(n->relay));
	n->stopping = true;
	n->stop_us = bw_now_us();
	bw_front_quiesce(n->front);
}

bool bw_node_busy(const bw_node_t *n)
{
	return bw_front_open_calls(n->front) > 0;
}

void bw_node_destroy(bw_node_t *n)
{
	uint32_t i;

	if (!n)
		return;
	ev_timer_stop(n->loop, &n->tick);
	ev_timer_stop(n->loop, &n->heartbeat);
	ev_timer_stop(n->loop, &n->leave);
	if (n->store.ops)
		n->store.ops->destroy(n->store.impl);
	bw_session_destroy(n->session);
	bw_simplehttp_destroy(n->operators);
	bw_peers_destroy(n->peers);
	n->peers = NULL;
	bw_front_destroy(n->front);
	bw_upstream_destroy(n->upstream);
	bw_once_destroy(n->once);
	bw_relay_destroy(n->relay);
	bw_place_destroy(n->place);
	bw_view_destroy(n->view);
	bw_table_destroy(n->table);
	bw_table_destroy(n->next_table);
	for (i = 0; i < BW_WORKER_PARTS; i++)
		bw_workers_destroy(n->worker_parts[i]);
	for (i = 0; i < BW_DOC_COUNT; i++)
		bw_document_clear(&n->documents[i]);
	g_free(n);
}
