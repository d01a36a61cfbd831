/* Parses and formats the JSON of the table and of the worker list. */
#include "table/table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/address.h"

#define WAIT_MS_MAX	  86400000
#define QUEUE_DEFAULT	  1000
#define WAIT_MS_DEFAULT	  5000
#define RETRY_PCT_DEFAULT 10
#define ATTEMPTS_DEFAULT  3

/** Position of a list item, for findings such as "services[2].wait_ms". */
typedef struct position {
	const char *list;
	size_t index;
	bw_findings_t *findings;
} position_t;

static void add_finding(const position_t *at, bw_finding_code_t code,
			const char *key, const char *text);
static char *parse_name(const position_t *at, json_t *object, const char *key,
			bool required);
static uint32_t parse_number(const position_t *at, json_t *object,
			     const char *key, int64_t min, int64_t max,
			     int64_t fallback);
static uint32_t parse_choice(const position_t *at, json_t *object,
			     const char *key, const char *const *names,
			     uint32_t count);
static void check_keys(const position_t *at, json_t *object,
		       const char *const *valid_keys);
static json_t *parse_object(const char *text, size_t bytes,
			    bw_findings_t *findings);
static json_t *find_list(json_t *root, const char *key, size_t max,
			 bw_findings_t *findings);
static void parse_pool(const position_t *at, json_t *object, bw_table_t *t);
static void parse_service(const position_t *at, json_t *object, bw_table_t *t);
static void parse_cell(const position_t *at, json_t *object, bw_table_t *t,
		       bool *listed);
static void parse_worker(const position_t *at, json_t *object, bw_worker_t *w);
static void check_service_prefixes(const bw_table_t *t,
				   bw_findings_t *findings);

static void add_finding(const position_t *at, bw_finding_code_t code,
			const char *key, const char *text)
{
	char *position =
		g_strdup_printf("%s[%zu].%s", at->list, at->index, key);

	bw_findings_add_at(at->findings, code, position, "%s", text);
	g_free(position);
}

static char *parse_name(const position_t *at, json_t *object, const char *key,
			bool required)
{
	json_t *value = json_object_get(object, key);

	if (!value && required)
		add_finding(at, BW_F_MISSING_KEY, key, "required");
	if (!value)
		return g_strdup("");
	if (!json_is_string(value)) {
		add_finding(at, BW_F_WRONG_TYPE, key, "must be a string");
		return g_strdup("");
	}
	if (required && json_string_length(value) == 0)
		add_finding(at, BW_F_BAD_VALUE, key, "must not be empty");
	if (strpbrk(json_string_value(value), ",\"\n"))
		add_finding(at, BW_F_BAD_VALUE, key,
			    "must not have a comma, quote or newline");
	return g_strdup(json_string_value(value));
}

static uint32_t parse_number(const position_t *at, json_t *object,
			     const char *key, int64_t min, int64_t max,
			     int64_t fallback)
{
	json_t *value = json_object_get(object, key);
	char text[96];

	if (!value)
		return (uint32_t)fallback;
	if (!json_is_integer(value)) {
		add_finding(at, BW_F_WRONG_TYPE, key, "must be an integer");
		return (uint32_t)fallback;
	}
	if (json_integer_value(value) < min ||
	    json_integer_value(value) > max) {
		snprintf(text, sizeof(text), "must be %" PRId64 " to %" PRId64,
			 min, max);
		add_finding(at, BW_F_OUT_OF_RANGE, key, text);
		return (uint32_t)fallback;
	}
	return (uint32_t)json_integer_value(value);
}

static uint32_t parse_choice(const position_t *at, json_t *object,
			     const char *key, const char *const *names,
			     uint32_t count)
{
	json_t *value = json_object_get(object, key);
	uint32_t i;

	if (!value)
		return 0;
	for (i = 0; i < count; i++)
		if (json_is_string(value) &&
		    !strcmp(json_string_value(value), names[i]))
			return i;
	add_finding(at, BW_F_BAD_VALUE, key, "is not an allowed value");
	return 0;
}

static void check_keys(const position_t *at, json_t *object,
		       const char *const *valid_keys)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		size_t i;

		for (i = 0; valid_keys[i]; i++)
			if (!strcmp(valid_keys[i], key))
				break;
		if (!valid_keys[i])
			add_finding(at, BW_F_UNKNOWN_KEY, key, "not supported");
	}
}

static json_t *parse_object(const char *text, size_t bytes,
			    bw_findings_t *findings)
{
	json_error_t error;
	json_t *root = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &error);

	if (!root) {
		bw_findings_add(findings, BW_F_SYNTAX, (uint32_t)error.line,
				(uint32_t)error.column, "%s", error.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		bw_findings_add(findings, BW_F_WRONG_TYPE, 1, 1,
				"must be an object");
		json_decref(root);
		return NULL;
	}
	return root;
}

static void check_top_keys(json_t *root, const char *const *valid_keys,
			   bw_findings_t *findings)
{
	const char *key;
	json_t *value;

	json_object_foreach(root, key, value)
	{
		size_t i;

		for (i = 0; valid_keys[i]; i++)
			if (!strcmp(valid_keys[i], key))
				break;
		if (!valid_keys[i])
			bw_findings_add_at(findings, BW_F_UNKNOWN_KEY, key,
					   "not supported");
	}
}

static json_t *find_list(json_t *root, const char *key, size_t max,
			 bw_findings_t *findings)
{
	json_t *list = json_object_get(root, key);
	size_t index;
	json_t *item;

	if (!json_is_array(list)) {
		bw_findings_add_at(findings, BW_F_MISSING_KEY, key,
				   "must be a list");
		return NULL;
	}
	if (json_array_size(list) > max) {
		bw_findings_add_at(findings, BW_F_OUT_OF_RANGE, key,
				   "has more than %zu items", max);
		return NULL;
	}
	json_array_foreach(list, index, item)
	{
		if (json_is_object(item))
			continue;
		bw_findings_add_at(findings, BW_F_WRONG_TYPE, key,
				   "item %zu is not an object", index);
		return NULL;
	}
	return list;
}

static void parse_pool(const position_t *at, json_t *object, bw_table_t *t)
{
	static const char *const valid_keys[] = { "name", NULL };
	char *name = parse_name(at, object, "name", true);

	check_keys(at, object, valid_keys);
	if (bw_table_pool_index(t, name) != UINT32_MAX)
		add_finding(at, BW_F_DUPLICATE, "name", "is listed twice");
	t->pools[at->index].name = name;
}

static void parse_service(const position_t *at, json_t *object, bw_table_t *t)
{
	static const char *const valid_keys[] = {
		"name",	     "prefix",	  "class",	  "once", "wait_ms",
		"queue_max", "retry_pct", "attempts_max", NULL,
	};
	bw_service_t *s = &t->services[at->index];
	char *name = parse_name(at, object, "name", true);

	check_keys(at, object, valid_keys);
	if (bw_table_service_index(t, name) != UINT32_MAX)
		add_finding(at, BW_F_DUPLICATE, "name", "is listed twice");
	s->name = name;
	s->prefix = parse_name(at, object, "prefix", true);
	if (s->prefix[0] != '/')
		add_finding(at, BW_F_BAD_VALUE, "prefix", "must begin with /");
	s->class = parse_choice(at, object, "class", bw_class_names,
				BW_CLASS_COUNT);
	s->once = parse_choice(at, object, "once", bw_once_rule_names,
			       BW_ONCE_RULE_COUNT);
	s->wait_ms = parse_number(at, object, "wait_ms", 1, WAIT_MS_MAX,
				  WAIT_MS_DEFAULT);
	s->queue_max = parse_number(at, object, "queue_max", 0, 1000000,
				    QUEUE_DEFAULT);
	s->retry_pct = parse_number(at, object, "retry_pct", 0, 100,
				    RETRY_PCT_DEFAULT);
	s->attempts_max = parse_number(at, object, "attempts_max", 1, 10,
				       ATTEMPTS_DEFAULT);
}

/* Also a cell of zeros counts as listed, so @p listed tells them apart. */
static void parse_cell(const position_t *at, json_t *object, bw_table_t *t,
		       bool *listed)
{
	static const char *const valid_keys[] = { "service", "pool",  "weight",
						  "spill",   "limit", NULL };
	char *service = parse_name(at, object, "service", true);
	char *pool = parse_name(at, object, "pool", true);
	uint32_t s = bw_table_service_index(t, service);
	uint32_t p = bw_table_pool_index(t, pool);
	bw_cell_t cell;
	bool *seen;

	check_keys(at, object, valid_keys);
	if (s == UINT32_MAX)
		add_finding(at, BW_F_UNKNOWN_NAME, "service", service);
	if (p == UINT32_MAX)
		add_finding(at, BW_F_UNKNOWN_NAME, "pool", pool);
	g_free(service);
	g_free(pool);
	cell.weight = (uint16_t)parse_number(at, object, "weight", 0,
					     BW_WEIGHT_MAX, 0);
	cell.spill = (uint16_t)parse_number(at, object, "spill", 0,
					    BW_WEIGHT_MAX, 0);
	cell.limit = parse_number(at, object, "limit", 0, 1000000, 0);
	if (s == UINT32_MAX || p == UINT32_MAX)
		return;
	seen = &listed[(size_t)s * t->pool_count + p];
	if (*seen)
		add_finding(at, BW_F_DUPLICATE, "service",
			    "cell is listed twice");
	*seen = true;
	*bw_table_cell(t, s, p) = cell;
}

static void check_service_prefixes(const bw_table_t *t, bw_findings_t *findings)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < t->service_count; i++)
		for (k = 0; k < i; k++)
			if (!strcmp(t->services[i].prefix,
				    t->services[k].prefix))
				bw_findings_add_at(findings, BW_F_DUPLICATE,
						   t->services[i].name,
						   "same prefix as \"%s\"",
						   t->services[k].name);
}

bw_table_t *bw_table_parse(const char *text, size_t bytes,
			   bw_findings_t *findings)
{
	static const char *const valid_keys[] = {
		"version", "edit", "history", "pools", "services", "cells", NULL
	};
	json_t *root = parse_object(text, bytes, findings);
	size_t before = bw_findings_count(findings);
	json_t *pools;
	json_t *services;
	json_t *cells;
	bw_table_t *t;
	json_t *item;
	position_t at = { .findings = findings };
	bool *listed;

	if (!root)
		return NULL;
	check_top_keys(root, valid_keys, findings);
	pools = find_list(root, "pools", BW_POOLS_MAX, findings);
	services = find_list(root, "services", BW_SERVICES_MAX, findings);
	cells = find_list(root, "cells", BW_POOLS_MAX * BW_SERVICES_MAX,
			  findings);
	t = bw_table_create((uint32_t)json_array_size(services),
			    (uint32_t)json_array_size(pools));
	t->version = json_integer_value(json_object_get(root, "version"));
	t->edit = g_strdup(json_string_value(json_object_get(root, "edit")));
	at.list = "pools";
	json_array_foreach(pools, at.index, item) parse_pool(&at, item, t);
	at.list = "services";
	json_array_foreach(services, at.index, item)
		parse_service(&at, item, t);
	at.list = "cells";
	listed = g_new0(bool, (size_t)t->service_count * t->pool_count);
	json_array_foreach(cells, at.index, item)
		parse_cell(&at, item, t, listed);
	g_free(listed);
	json_decref(root);
	if (bw_findings_count(findings) == before)
		check_service_prefixes(t, findings);
	if (bw_findings_count(findings) == before)
		return t;
	bw_table_destroy(t);
	return NULL;
}

char *bw_table_format(const bw_table_t *t)
{
	json_t *pools = json_array();
	json_t *services = json_array();
	json_t *cells = json_array();
	json_t *root;
	char *text;
	uint32_t s;
	uint32_t p;

	for (p = 0; p < t->pool_count; p++)
		json_array_append_new(
			pools, json_pack("{s:s}", "name", t->pools[p].name));
	for (s = 0; s < t->service_count; s++) {
		const bw_service_t *v = &t->services[s];

		json_array_append_new(
			services,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name",
				  v->name, "prefix", v->prefix, "class",
				  bw_class_names[v->class], "once",
				  bw_once_rule_names[v->once], "wait_ms",
				  (int)v->wait_ms, "queue_max",
				  (int)v->queue_max, "retry_pct",
				  (int)v->retry_pct, "attempts_max",
				  (int)v->attempts_max));
		for (p = 0; p < t->pool_count; p++) {
			const bw_cell_t *c = bw_table_cell(t, s, p);

			if (!c->weight && !c->spill && !c->limit)
				continue;
			json_array_append_new(
				cells,
				json_pack("{s:s,s:s,s:i,s:i,s:i}", "service",
					  v->name, "pool", t->pools[p].name,
					  "weight", (int)c->weight, "spill",
					  (int)c->spill, "limit",
					  (int)c->limit));
		}
	}
	root = json_pack("{s:I,s:s,s:o,s:o,s:o}", "version",
			 (json_int_t)t->version, "edit", t->edit ? t->edit : "",
			 "pools", pools, "services", services, "cells", cells);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void parse_worker(const position_t *at, json_t *object, bw_worker_t *w)
{
	static const char *const valid_keys[] = {
		"name",	 "address",	"zone",	 "rack", "pool",
		"slots", "connections", "state", NULL,
	};
	char ip[46];
	uint16_t port;

	check_keys(at, object, valid_keys);
	w->name = parse_name(at, object, "name", true);
	w->address = parse_name(at, object, "address", true);
	w->zone = parse_name(at, object, "zone", true);
	w->rack = parse_name(at, object, "rack", false);
	w->pool = parse_name(at, object, "pool", true);
	w->slots = parse_number(at, object, "slots", 1, BW_SLOTS_MAX, 8);
	w->connections = parse_number(at, object, "connections", 1, 65535, 64);
	w->state = parse_choice(at, object, "state", bw_worker_state_names,
				BW_WORKER_STATE_COUNT);
	if (bw_address_split(w->address, ip, &port) != BW_OK)
		add_finding(at, BW_F_BAD_VALUE, "address", bw_status_message());
}

bw_workers_t *bw_workers_parse(const char *text, size_t bytes,
			       bw_findings_t *findings)
{
	json_t *root = parse_object(text, bytes, findings);
	size_t before = bw_findings_count(findings);
	position_t at = { .list = "workers", .findings = findings };
	GHashTable *names;
	bw_workers_t *w;
	json_t *list;
	json_t *item;

	if (!root)
		return NULL;
	list = find_list(root, "workers", BW_WORKERS_MAX, findings);
	w = g_new0(bw_workers_t, 1);
	w->count = (uint32_t)json_array_size(list);
	w->items = g_new0(bw_worker_t, w->count);
	names = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(list, at.index, item)
	{
		bw_worker_t *worker = &w->items[at.index];

		parse_worker(&at, item, worker);
		if (!g_hash_table_add(names, worker->name))
			add_finding(&at, BW_F_DUPLICATE, "name", worker->name);
	}
	g_hash_table_destroy(names);
	json_decref(root);
	if (bw_findings_count(findings) == before)
		return w;
	bw_workers_destroy(w);
	return NULL;
}

char *bw_workers_format(const bw_workers_t *w)
{
	json_t *list = json_array();
	json_t *root;
	char *text;
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		const bw_worker_t *v = &w->items[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:s}", "name",
				  v->name, "address", v->address, "zone",
				  v->zone, "rack", v->rack, "pool", v->pool,
				  "slots", (int)v->slots, "connections",
				  (int)v->connections, "state",
				  bw_worker_state_names[v->state]));
	}
	root = json_pack("{s:o}", "workers", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
