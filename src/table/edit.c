#include "table/edit.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

static json_t *parse_object(const char *text, bw_findings_t *findings);
static void record_edit(json_t *root, json_t *history, uint64_t version,
			const bw_edit_t *edit);
static void set_cell(json_t *cells, const bw_cell_edit_t *edit);
static bool has_name(json_t *root, const char *list, const char *name);

static json_t *parse_object(const char *text, bw_findings_t *findings)
{
	json_error_t error;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(root))
		return root;
	bw_findings_add(findings, BW_F_SYNTAX, (uint32_t)error.line,
			(uint32_t)error.column, "%s", error.text);
	json_decref(root);
	return NULL;
}

static void record_edit(json_t *root, json_t *history, uint64_t version,
			const bw_edit_t *edit)
{
	json_t *list = history ? json_deep_copy(history) : json_array();

	json_array_append_new(
		list,
		json_pack("{s:s,s:I,s:s,s:I,s:s}", "id", edit->id, "version",
			  (json_int_t)version, "who", edit->who, "when_ms",
			  (json_int_t)edit->when_ms, "what", edit->what));
	while (json_array_size(list) > BW_HISTORY_MAX)
		json_array_remove(list, 0);
	json_object_set_new(root, "version", json_integer((json_int_t)version));
	json_object_set_new(root, "edit", json_string(edit->id));
	json_object_set_new(root, "history", list);
}

static bool has_name(json_t *root, const char *list, const char *name)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(root, list), i, item)
	{
		const char *item_name =
			json_string_value(json_object_get(item, "name"));

		if (!g_strcmp0(item_name, name))
			return true;
	}
	return false;
}

static void set_cell(json_t *cells, const bw_cell_edit_t *edit)
{
	json_t *cell = json_pack(
		"{s:s,s:s,s:i,s:i,s:i}", "service", edit->service, "pool",
		edit->pool, "weight", (int)edit->cell.weight, "spill",
		(int)edit->cell.spill, "limit", (int)edit->cell.limit);
	bool empty =
		!edit->cell.weight && !edit->cell.spill && !edit->cell.limit;
	json_t *item;
	size_t i;

	json_array_foreach(cells, i, item)
	{
		const char *service =
			json_string_value(json_object_get(item, "service"));
		const char *pool =
			json_string_value(json_object_get(item, "pool"));

		if (g_strcmp0(service, edit->service) ||
		    g_strcmp0(pool, edit->pool))
			continue;
		json_array_remove(cells, i);
		break;
	}
	if (empty)
		json_decref(cell);
	else
		json_array_append_new(cells, cell);
}

char *bw_edit_cells(const char *text, const bw_cell_edit_t *cells, size_t count,
		    const bw_edit_t *edit, bw_findings_t *findings)
{
	json_t *root = parse_object(text, findings);
	size_t before = bw_findings_count(findings);
	char *out = NULL;
	uint64_t version;
	size_t i;

	if (!root)
		return NULL;
	for (i = 0; i < count; i++) {
		if (!has_name(root, "services", cells[i].service))
			bw_findings_add_at(findings, BW_F_UNKNOWN_NAME, "cell",
					   "no service \"%s\"",
					   cells[i].service);
		if (!has_name(root, "pools", cells[i].pool))
			bw_findings_add_at(findings, BW_F_UNKNOWN_NAME, "cell",
					   "no pool \"%s\"", cells[i].pool);
	}
	if (bw_findings_count(findings) == before) {
		for (i = 0; i < count; i++)
			set_cell(json_object_get(root, "cells"), &cells[i]);
		version = (uint64_t)json_integer_value(
			json_object_get(root, "version"));
		record_edit(root, json_object_get(root, "history"), version + 1,
			    edit);
		out = json_dumps(root, JSON_COMPACT);
	}
	json_decref(root);
	return out;
}

char *bw_edit_replace(const char *old, const char *next, const bw_edit_t *edit,
		      bw_findings_t *findings)
{
	bw_table_t *table = bw_table_parse(next, strlen(next), findings);
	json_t *before = NULL;
	json_t *root;
	uint64_t version = 0;
	char *out;

	if (!table)
		return NULL;
	bw_table_destroy(table);
	if (old)
		before = json_loads(old, 0, NULL);
	/* Without its version and history the count would begin anew. */
	if (old && !json_is_object(before)) {
		bw_findings_add_at(
			findings, BW_F_SYNTAX, "stored table",
			"can't be read; repair or delete it in the store");
		json_decref(before);
		return NULL;
	}
	version = (uint64_t)json_integer_value(
		json_object_get(before, "version"));
	root = parse_object(next, findings);
	record_edit(root, json_object_get(before, "history"), version + 1,
		    edit);
	out = json_dumps(root, JSON_COMPACT);
	json_decref(before);
	json_decref(root);
	return out;
}

uint64_t bw_edit_find_version(const char *text, const char *id)
{
	json_t *root = json_loads(text, 0, NULL);
	uint64_t version = 0;
	json_t *item;
	size_t i;

	json_array_foreach(
		json_object_get(root, "history"), i,
		item) if (!g_strcmp0(json_string_value(json_object_get(item,
								       "id")),
				     id)) version =
		(uint64_t)json_integer_value(json_object_get(item, "version"));
	json_decref(root);
	return version;
}

char *bw_table_diff(const bw_table_t *a, const bw_table_t *b)
{
	GString *out = g_string_new(NULL);
	uint32_t s;
	uint32_t p;

	for (s = 0; s < b->service_count; s++) {
		const char *service = b->services[s].name;
		uint32_t row = bw_table_service_index(a, service);

		for (p = 0; p < b->pool_count; p++) {
			const char *pool = b->pools[p].name;
			uint32_t column = bw_table_pool_index(a, pool);
			const bw_cell_t empty_cell = { 0 };
			const bw_cell_t *old_cell = &empty_cell;
			const bw_cell_t *new_cell = bw_table_cell(b, s, p);
			char before[64];
			char after[64];

			if (row != UINT32_MAX && column != UINT32_MAX)
				old_cell = bw_table_cell(a, row, column);
			if (old_cell->weight == new_cell->weight &&
			    old_cell->spill == new_cell->spill &&
			    old_cell->limit == new_cell->limit)
				continue;
			bw_cell_format(old_cell, before, sizeof(before));
			bw_cell_format(new_cell, after, sizeof(after));
			g_string_append_printf(out, "%s %s: \"%s\" -> \"%s\"\n",
					       service, pool, before, after);
		}
	}
	return g_string_free(out, FALSE);
}
