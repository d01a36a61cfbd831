#include "fleet/peers.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "fleet/outage.h"
#include "peer/peer.h"
#include "place/share.h"

/** A query ends without an answer after this time. */
#define ANSWER_TIMEOUT_MS     300
#define HEARTBEAT_INTERVAL_MS 500
/** A peer that sends nothing for this long counts as lost. */
#define PEER_SILENCE_MS 3500
/** A node stays connected for this long after its registration has ended, as
 *  the store may have turned it away; as long as outage.c counts it. */
#define KEPT_MS	  30000
#define US_PER_MS 1000
#define SITE	  "fleet"

/** A query that awaits its answer. */
typedef struct query {
	bw_fleet_query_done_fn done;
	void *ctx;
	int64_t deadline_ms;
	uint64_t peer;
} query_t;

struct bw_fleet_peers {
	bw_peers_t *peers;
	char *name;
	bw_fleet_query_handler_fn query_local;
	bw_fleet_peers_frame_fn on_frame;
	void *ctx;
	GHashTable *queries; /**< Number to query_t. */
	GHashTable *connected; /**< Set of peers. */
	GHashTable *addresses; /**< Name of each node to its address. */
	GHashTable *kept; /**< Name of a node that is not registered any more
			     to the end of its time, as int64_t. */
	uint64_t last_number;
	int64_t heartbeat_sent_ms;
	bw_outage_t *outage;
	bool store_reachable;
	int64_t store_answered_ms; /**< Of the store's last answer. */
	bool reported_reachable; /**< Sent in the last heartbeat. */
	const bw_fleet_config_ops_t *config_ops; /**< NULL: not shared. */
	void *config_ctx;
	int64_t config_revision;
	int64_t config_confirmed_ms;
	int64_t reported_revision; /**< Sent in the last heartbeat. */
};

/** Search for the nodes at an address. */
typedef struct address_search {
	bw_fleet_peers_t *p;
	const char *address;
} address_search_t;

static void on_peer_up(void *ctx, uint64_t peer);
static void on_peer_lost(void *ctx, uint64_t peer);
static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame);
static void answer_query(bw_fleet_peers_t *p, uint64_t peer,
			 const Bramley__StateAsk *request);
static void handle_answer(bw_fleet_peers_t *p,
			  const Bramley__StateAnswer *answer);
static void handle_heartbeat(bw_fleet_peers_t *p, uint64_t peer,
			     const Bramley__Heartbeat *heartbeat);
static void end_query(bw_fleet_peers_t *p, uint64_t number,
		      const bw_fleet_query_answer_t *answer);
static bool handle_config(bw_fleet_peers_t *p, uint64_t peer,
			  const Bramley__Frame *frame);

static const bw_peers_ops_t peer_ops = { on_peer_up, on_peer_lost, on_frame };

bw_status_t bw_fleet_peers_create(struct ev_loop *loop, const char *name,
				  const char *listen, uint32_t strangers_max,
				  uint64_t incarnation,
				  bw_fleet_query_handler_fn local,
				  bw_fleet_peers_frame_fn other, void *ctx,
				  bw_counters_t *counters,
				  bw_fleet_peers_t **out)
{
	bw_fleet_peers_t *p = g_new0(bw_fleet_peers_t, 1);
	bw_peers_config_t config = {
		.name = name,
		.site = SITE,
		.listen = listen,
		.strangers_max = strangers_max,
		.incarnation = incarnation,
		.silence_timeout_us = (int64_t)PEER_SILENCE_MS * US_PER_MS,
	};
	bw_status_t status;

	status = bw_peers_create(loop, &config, &peer_ops, p, counters,
				 &p->peers);
	if (status != BW_OK) {
		g_free(p);
		return status;
	}
	p->name = g_strdup(name);
	p->query_local = local;
	p->on_frame = other;
	p->ctx = ctx;
	p->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	p->connected = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	p->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->kept =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->outage = bw_outage_create(BW_OUTAGE_GRACE_MS);
	p->store_reachable = true;
	p->reported_reachable = true;
	*out = p;
	return BW_OK;
}

void bw_fleet_peers_destroy(bw_fleet_peers_t *p)
{
	if (!p)
		return;
	bw_peers_destroy(p->peers);
	g_hash_table_destroy(p->queries);
	g_hash_table_destroy(p->connected);
	g_hash_table_destroy(p->addresses);
	g_hash_table_destroy(p->kept);
	bw_outage_destroy(p->outage);
	g_free(p->name);
	g_free(p);
}

static void *dup_key(uint64_t number)
{
	return g_memdup2(&number, sizeof(number));
}

static void on_peer_up(void *ctx, uint64_t peer)
{
	bw_fleet_peers_t *p = ctx;

	g_hash_table_add(p->connected, dup_key(peer));
}

static void on_peer_lost(void *ctx, uint64_t peer)
{
	bw_fleet_peers_t *p = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove(p->connected, &peer);
	if (p->config_ops)
		p->config_ops->lost(p->config_ctx, peer);
	/* The next tick ends these queries. */
	g_hash_table_iter_init(&iter, p->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		query_t *query = value;

		if (query->peer == peer)
			query->deadline_ms = 0;
	}
}

static void on_frame(void *ctx, uint64_t peer, const Bramley__Frame *frame)
{
	bw_fleet_peers_t *p = ctx;

	if (frame->body_case == BRAMLEY__FRAME__BODY_STATE_ASK)
		answer_query(p, peer, frame->state_ask);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_STATE_ANSWER)
		handle_answer(p, frame->state_answer);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_HEARTBEAT)
		handle_heartbeat(p, peer, frame->heartbeat);
	else if (!handle_config(p, peer, frame))
		p->on_frame(p->ctx, frame);
}

/* Handles a message about the configuration itself; false if it is another. */
static bool handle_config(bw_fleet_peers_t *p, uint64_t peer,
			  const Bramley__Frame *frame)
{
	const Bramley__Document *document = frame->document;

	if (frame->body_case == BRAMLEY__FRAME__BODY_ASK && p->config_ops)
		p->config_ops->asked(p->config_ctx, peer, frame->ask->after);
	else if (frame->body_case == BRAMLEY__FRAME__BODY_DOCUMENT &&
		 p->config_ops)
		p->config_ops->received(p->config_ctx, document->revision,
					(const char *)document->value.data,
					document->value.len);
	else
		return false;
	return true;
}

static void report_config(bw_fleet_peers_t *p, uint64_t peer,
			  const Bramley__Heartbeat *heartbeat)
{
	bw_config_report_t report = {
		.peer = peer,
		.revision = heartbeat->config_revision,
		.age_ms = heartbeat->config_age_ms,
	};

	if (p->config_ops && report.revision > 0)
		p->config_ops->reported(p->config_ctx, &report);
}

/* Earlier versions don't tell the age of the last answer. */
static int64_t answered_ms(const Bramley__Heartbeat *heartbeat, int64_t now_ms)
{
	if (!heartbeat->store_good && heartbeat->store_answer_age_ms == 0)
		return 0;
	return now_ms - heartbeat->store_answer_age_ms;
}

static void handle_heartbeat(bw_fleet_peers_t *p, uint64_t peer,
			     const Bramley__Heartbeat *heartbeat)
{
	int64_t now_ms = bw_clock_now_ms();
	bw_store_report_t report = {
		.peer = peer,
		.reachable = heartbeat->store_good,
		.answered_ms = answered_ms(heartbeat, now_ms),
	};

	if (!g_hash_table_contains(p->connected, &peer))
		return;
	bw_outage_report(p->outage, now_ms, &report);
	report_config(p, peer, heartbeat);
}

static void answer_query(bw_fleet_peers_t *p, uint64_t peer,
			 const Bramley__StateAsk *request)
{
	Bramley__StateAnswer message = BRAMLEY__STATE_ANSWER__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	bw_fleet_query_answer_t answer = { 0 };

	p->query_local(p->ctx, request->pool,
		       request->job[0] ? request->job : NULL,
		       request->queue[0] ? request->queue : NULL, &answer);
	message.number = request->number;
	message.owner = answer.owner;
	message.holds = answer.may_order;
	message.state = answer.state;
	message.waiting = answer.waiting;
	if (answer.tenant)
		message.tenant = (char *)answer.tenant;
	frame.body_case = BRAMLEY__FRAME__BODY_STATE_ANSWER;
	frame.state_answer = &message;
	bw_peers_send(p->peers, peer, &frame);
}

static void end_query(bw_fleet_peers_t *p, uint64_t number,
		      const bw_fleet_query_answer_t *answer)
{
	query_t *query = g_hash_table_lookup(p->queries, &number);
	bw_fleet_query_done_fn done;
	void *ctx;

	if (!query)
		return;
	done = query->done;
	ctx = query->ctx;
	g_hash_table_remove(p->queries, &number);
	done(ctx, answer);
}

static void handle_answer(bw_fleet_peers_t *p,
			  const Bramley__StateAnswer *answer)
{
	bw_fleet_query_answer_t out = {
		.may_order = answer->holds,
		.owner = answer->owner && answer->state < BW_JOB_STATE_COUNT,
		.state = (bw_job_state_t)answer->state,
		.waiting = answer->waiting,
		.tenant = answer->tenant[0] ? answer->tenant : NULL,
	};

	end_query(p, answer->number, &out);
}

static void remove_node(bw_fleet_peers_t *p, const char *name)
{
	bw_peers_remove(p->peers, name);
	g_hash_table_remove(p->addresses, name);
}

static gboolean is_at_address(gpointer name, gpointer until_ms, gpointer ctx)
{
	const address_search_t *search = ctx;

	(void)until_ms;
	if (g_strcmp0(g_hash_table_lookup(search->p->addresses, name),
		      search->address) != 0)
		return FALSE;
	remove_node(search->p, name);
	return TRUE;
}

/* The address of a node that is gone may be another one's by now. */
static void add_node(bw_fleet_peers_t *p, const char *name, const char *address)
{
	address_search_t search = { p, address };

	g_hash_table_remove(p->kept, name);
	g_hash_table_foreach_remove(p->kept, is_at_address, &search);
	g_hash_table_replace(p->addresses, g_strdup(name), g_strdup(address));
	bw_peers_add(p->peers, name, address);
}

static void keep_node(bw_fleet_peers_t *p, const char *name)
{
	int64_t until_ms = bw_clock_now_ms() + KEPT_MS;

	if (g_hash_table_contains(p->addresses, name) &&
	    !g_hash_table_contains(p->kept, name))
		g_hash_table_insert(p->kept, g_strdup(name),
				    g_memdup2(&until_ms, sizeof(until_ms)));
}

static void remove_kept(bw_fleet_peers_t *p, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer name;
	gpointer until_ms;

	g_hash_table_iter_init(&iter, p->kept);
	while (g_hash_table_iter_next(&iter, &name, &until_ms)) {
		if (now_ms < *(const int64_t *)until_ms)
			continue;
		remove_node(p, name);
		g_hash_table_iter_remove(&iter);
	}
}

void bw_fleet_peers_set_node(bw_fleet_peers_t *p, const char *name,
			     const char *address)
{
	if (!strcmp(name, p->name))
		return;
	bw_outage_node(p->outage, bw_clock_now_ms(), name, address != NULL);
	if (address)
		add_node(p, name, address);
	else if (p->config_revision > 0)
		keep_node(p, name);
	else
		remove_node(p, name);
}

void bw_fleet_peers_query(bw_fleet_peers_t *p, const char *node,
			  const char *pool, const char *job, const char *queue,
			  bw_fleet_query_done_fn done, void *ctx)
{
	Bramley__StateAsk message = BRAMLEY__STATE_ASK__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	uint64_t peer = bw_name_id(node);
	query_t *query;

	if (!g_hash_table_contains(p->connected, &peer)) {
		done(ctx, NULL);
		return;
	}
	query = g_new0(query_t, 1);
	query->done = done;
	query->ctx = ctx;
	query->peer = peer;
	query->deadline_ms = bw_clock_now_ms() + ANSWER_TIMEOUT_MS;
	message.number = ++p->last_number;
	message.pool = (char *)pool;
	if (job)
		message.job = (char *)job;
	if (queue)
		message.queue = (char *)queue;
	g_hash_table_insert(p->queries, dup_key(message.number), query);
	frame.body_case = BRAMLEY__FRAME__BODY_STATE_ASK;
	frame.state_ask = &message;
	bw_peers_send(p->peers, peer, &frame);
}

static void end_expired_queries(bw_fleet_peers_t *p, int64_t now_ms)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, p->queries);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (now_ms >= ((query_t *)value)->deadline_ms)
			g_array_append_val(expired, *(uint64_t *)key);
	for (i = 0; i < expired->len; i++)
		end_query(p, g_array_index(expired, uint64_t, i), NULL);
	g_array_free(expired, TRUE);
}

static void send_heartbeat(void *ctx, uint64_t peer, const char *name, bool up)
{
	bw_fleet_peers_t *p = ctx;
	Bramley__Heartbeat heartbeat = BRAMLEY__HEARTBEAT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	(void)name;
	if (!up)
		return;
	frame.body_case = BRAMLEY__FRAME__BODY_HEARTBEAT;
	heartbeat.store_good = p->store_reachable;
	heartbeat.store_answer_age_ms =
		MAX(bw_clock_now_ms() - p->store_answered_ms, 1);
	heartbeat.config_revision = p->config_revision;
	if (p->config_confirmed_ms > 0)
		heartbeat.config_age_ms =
			MAX(bw_clock_now_ms() - p->config_confirmed_ms, 1);
	frame.heartbeat = &heartbeat;
	bw_peers_send(p->peers, peer, &frame);
}

void bw_fleet_peers_tick(bw_fleet_peers_t *p, int64_t now_ms)
{
	end_expired_queries(p, now_ms);
	remove_kept(p, now_ms);
	bw_peers_tick(p->peers, now_ms * US_PER_MS);
	if (now_ms - p->heartbeat_sent_ms < HEARTBEAT_INTERVAL_MS &&
	    p->reported_reachable == p->store_reachable &&
	    p->reported_revision == p->config_revision)
		return;
	p->heartbeat_sent_ms = now_ms;
	p->reported_revision = p->config_revision;
	p->reported_reachable = p->store_reachable;
	bw_peers_foreach(p->peers, send_heartbeat, p);
}

void bw_fleet_peers_set_store(bw_fleet_peers_t *p, bool reachable,
			      int64_t answered_ms)
{
	p->store_reachable = reachable;
	p->store_answered_ms = answered_ms;
}

void bw_fleet_peers_set_config_ops(bw_fleet_peers_t *p,
				   const bw_fleet_config_ops_t *ops, void *ctx)
{
	p->config_ops = ops;
	p->config_ctx = ctx;
}

void bw_fleet_peers_set_config(bw_fleet_peers_t *p, int64_t revision,
			       int64_t confirmed_ms)
{
	p->config_revision = revision;
	p->config_confirmed_ms = revision > 0 ? confirmed_ms : 0;
}

/** Search for the name of a node. */
typedef struct name_search {
	uint64_t peer;
	const char *name;
} name_search_t;

static void compare_name(void *ctx, uint64_t peer, const char *name, bool up)
{
	name_search_t *search = ctx;

	(void)up;
	if (peer == search->peer)
		search->name = name;
}

const char *bw_fleet_peers_name(const bw_fleet_peers_t *p, uint64_t peer)
{
	name_search_t search = { peer, "-" };

	bw_peers_foreach(p->peers, compare_name, &search);
	return search.name;
}

void bw_fleet_peers_ask_config(bw_fleet_peers_t *p, uint64_t peer,
			       int64_t revision)
{
	Bramley__DocumentAsk message = BRAMLEY__DOCUMENT_ASK__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	message.after = revision;
	frame.body_case = BRAMLEY__FRAME__BODY_ASK;
	frame.ask = &message;
	bw_peers_send(p->peers, peer, &frame);
}

void bw_fleet_peers_send_config(bw_fleet_peers_t *p, uint64_t peer,
				int64_t revision, GBytes *value)
{
	Bramley__Document message = BRAMLEY__DOCUMENT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	gsize bytes;

	message.revision = revision;
	message.value.data = (uint8_t *)g_bytes_get_data(value, &bytes);
	message.value.len = bytes;
	frame.body_case = BRAMLEY__FRAME__BODY_DOCUMENT;
	frame.document = &message;
	bw_peers_send(p->peers, peer, &frame);
}

bool bw_fleet_peers_may_order(bw_fleet_peers_t *p, int64_t now_ms,
			      int64_t lease_end_ms)
{
	bw_outage_view_t view = {
		.lease_end_ms = lease_end_ms,
		.store_reachable = p->store_reachable,
	};

	return bw_outage_may_order(p->outage, now_ms, &view);
}

void bw_fleet_peers_send(bw_fleet_peers_t *p, const char *node,
			 const Bramley__Frame *frame)
{
	bw_peers_send(p->peers, bw_name_id(node), frame);
}

/** A message to all nodes. */
typedef struct broadcast {
	bw_fleet_peers_t *p;
	const Bramley__Frame *frame;
} broadcast_t;

static void send_to_peer(void *ctx, uint64_t peer, const char *name, bool up)
{
	broadcast_t *broadcast = ctx;

	(void)name;
	if (up)
		bw_peers_send(broadcast->p->peers, peer, broadcast->frame);
}

void bw_fleet_peers_broadcast(bw_fleet_peers_t *p, const Bramley__Frame *frame)
{
	broadcast_t broadcast = { p, frame };

	bw_peers_foreach(p->peers, send_to_peer, &broadcast);
}
