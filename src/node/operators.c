/* Serves status, counters and lists to operators, as JSON over HTTP. */
#include "node/internal.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define BW_LOG_PART "operators"
#include "base/log.h"

static json_t *status_page(bw_node_t *n);
static json_t *counters_page(bw_node_t *n);
static json_t *workers_page(bw_node_t *n);
static json_t *services_page(bw_node_t *n);
static json_t *peers_page(bw_node_t *n);

typedef struct page {
	const char *path;
	json_t *(*fn)(bw_node_t *n);
} page_t;

static const page_t pages[] = {
	{ "/status", status_page },   { "/counters", counters_page },
	{ "/workers", workers_page }, { "/services", services_page },
	{ "/peers", peers_page },
};

static json_t *status_page(bw_node_t *n)
{
	uint32_t member_count;

	bw_view_members(n->view, &member_count);
	return json_pack(
		"{s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:I,s:b,s:b,s:i,s:i,s:i,s:i,"
		"s:i,s:I}",
		"name", n->settings->name, "site", n->settings->site, "zone",
		n->settings->zone, "ready", (int)n->ready, "stopping",
		(int)n->stopping, "table_version",
		(json_int_t)(n->table ? n->table->version : 0),
		"table_revision",
		(json_int_t)n->documents[BW_DOC_TABLE].revision,
		"known_revision", (json_int_t)n->latest_revision, "epoch",
		(json_int_t)bw_view_epoch(n->view), "owner_valid",
		(int)bw_view_owner_valid(n->view, bw_now_us()), "view_active",
		(int)bw_view_active(n->view), "members", (int)member_count,
		"peers_up", (int)bw_peers_up_count(n->peers), "calls",
		(int)bw_relay_calls(n->relay), "waiting",
		(int)bw_place_waiting(n->place), "connections",
		(int)bw_front_connections(n->front), "held_bytes",
		(json_int_t)bw_front_held_bytes(n->front));
}

static json_t *counters_page(bw_node_t *n)
{
	json_t *out = json_object();
	uint32_t i;

	for (i = 0; i < BW_C_COUNT; i++)
		json_object_set_new(
			out, bw_counter_name(i),
			json_integer((json_int_t)n->counters.value[i]));
	return out;
}

static json_t *workers_page(bw_node_t *n)
{
	json_t *out = json_array();
	bw_worker_view_t w;
	uint32_t i;

	for (i = 0; i < bw_place_worker_count(n->place); i++) {
		if (!bw_place_worker_view(n->place, i, &w))
			continue;
		json_array_append_new(
			out,
			json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,"
				  "s:b,s:s,s:I}",
				  "name", w.name, "address", w.address, "pool",
				  w.pool, "zone", w.zone, "rack", w.rack,
				  "slots", (int)w.slots, "share", (int)w.share,
				  "lent", (int)w.lent, "borrowed",
				  (int)w.borrowed, "busy", (int)w.busy,
				  "leaving", (int)w.leaving, "health",
				  bw_health_state_name(w.health), "latency_us",
				  (json_int_t)w.latency_us));
	}
	return out;
}

static json_t *services_page(bw_node_t *n)
{
	json_t *out = json_array();
	bw_service_view_t s;
	uint32_t i;

	for (i = 0; i < bw_place_service_count(n->place); i++) {
		if (!bw_place_service_view(n->place, i, &s))
			continue;
		json_array_append_new(
			out, json_pack("{s:s,s:i,s:i,s:I,s:I,s:I}", "name",
				       s.name, "waiting", (int)s.waiting,
				       "running", (int)s.running, "service_us",
				       (json_int_t)s.service_us, "started",
				       (json_int_t)s.started, "refused",
				       (json_int_t)s.refused));
	}
	return out;
}

static void add_peer(void *ctx, uint64_t peer, const char *name, bool up)
{
	(void)peer;
	json_array_append_new(
		ctx, json_pack("{s:s,s:b}", "name", name, "up", (int)up));
}

static json_t *peers_page(bw_node_t *n)
{
	json_t *out = json_array();

	bw_peers_foreach(n->peers, add_peer, out);
	return out;
}

/* Lets an entry that an operator reports as dead be excluded without a wait. */
static enum MHD_Result handle_forget(bw_node_t *n, bw_simple_request_t *r)
{
	const char *name = MHD_lookup_connection_value(
		r->connection, MHD_GET_ARGUMENT_KIND, "name");

	if (strcmp(r->method, "POST") != 0 || !name || !*name)
		return bw_simple_reply(r, 400, "text/plain",
				       "POST /forget?name=NAME\n", 23);
	g_message("An operator reported entry %s as dead.", name);
	bw_view_force_exclusion(n->view, name);
	return bw_simple_reply(r, 200, "text/plain", "noted\n", 6);
}

enum MHD_Result node_handle_operator_request(void *ctx, bw_simple_request_t *r)
{
	bw_node_t *n = ctx;
	enum MHD_Result result;
	json_t *body = NULL;
	char *text;
	size_t i;

	if (!strcmp(r->path, "/forget"))
		return handle_forget(n, r);
	if (!strcmp(r->path, "/ready"))
		return n->ready && !n->stopping
			       ? bw_simple_reply(r, 200, "text/plain",
						 "ready\n", 6)
			       : bw_simple_reply(r, 503, "text/plain",
						 "not ready\n", 10);
	for (i = 0; i < G_N_ELEMENTS(pages) && !body; i++)
		if (!strcmp(r->path, pages[i].path))
			body = pages[i].fn(n);
	if (!body)
		return bw_simple_reply(r, 404, "text/plain", "no such page\n",
				       13);
	text = json_dumps(body, JSON_INDENT(1));
	json_decref(body);
	result =
		bw_simple_reply(r, 200, "application/json", text, strlen(text));
	free(text);
	return result;
}
