/*
 * Debian packages no TOML parser for C, so this file alone is C++ and uses
 * toml++. It catches every exception, since its callers are C.
 */
#include "conf/toml.h"

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <toml++/toml.h>

static void flatten(const std::string &path, const toml::node &node,
		    std::vector<bw_toml_item_t> &out);

static bw_toml_item_t make_item(const std::string &path, const toml::node &node)
{
	bw_toml_item_t item = {};

	item.path = strdup(path.c_str());
	item.type = BW_TOML_OTHER;
	item.line = node.source().begin.line;
	item.column = node.source().begin.column;
	if (auto s = node.as_string()) {
		item.type = BW_TOML_STRING;
		item.string = strdup(s->get().c_str());
	} else if (auto i = node.as_integer()) {
		item.type = BW_TOML_INTEGER;
		item.integer = i->get();
	} else if (auto f = node.as_floating_point()) {
		item.type = BW_TOML_FLOAT;
		item.number = f->get();
	} else if (auto b = node.as_boolean()) {
		item.type = BW_TOML_BOOLEAN;
		item.boolean = b->get();
	}
	return item;
}

static void flatten_table(const std::string &path, const toml::table &table,
			  std::vector<bw_toml_item_t> &out)
{
	for (auto &&[key, value] : table) {
		std::string name(key.str());

		flatten(path.empty() ? name : path + "." + name, value, out);
	}
}

static void flatten_array(const std::string &path, const toml::array &array,
			  std::vector<bw_toml_item_t> &out)
{
	size_t index = 0;

	for (auto &&value : array)
		flatten(path + "[" + std::to_string(index++) + "]", value, out);
}

static void flatten(const std::string &path, const toml::node &node,
		    std::vector<bw_toml_item_t> &out)
{
	if (auto table = node.as_table())
		flatten_table(path, *table, out);
	else if (auto array = node.as_array())
		flatten_array(path, *array, out);
	else
		out.push_back(make_item(path, node));
}

static void store_items(bw_toml_doc_t *doc,
			const std::vector<bw_toml_item_t> &items)
{
	doc->count = items.size();
	doc->items = static_cast<bw_toml_item_t *>(
		calloc(items.size() + 1, sizeof(bw_toml_item_t)));
	if (!items.empty())
		memcpy(doc->items, items.data(),
		       items.size() * sizeof(bw_toml_item_t));
}

extern "C" bw_status_t bw_toml_read(const char *path, bw_toml_doc_t *doc,
				    bw_findings_t *findings)
{
	doc->items = nullptr;
	doc->count = 0;
	try {
		std::ifstream file(path);

		if (!file)
			return bw_status_set(BW_EIO, "cannot open %s", path);
		std::stringstream text;
		text << file.rdbuf();
		toml::table table = toml::parse(text.str());
		std::vector<bw_toml_item_t> items;
		flatten_table("", table, items);
		store_items(doc, items);
	} catch (const toml::parse_error &error) {
		bw_findings_add(findings, BW_F_SYNTAX,
				error.source().begin.line,
				error.source().begin.column, "%s",
				std::string(error.description()).c_str());
		return bw_status_set(BW_EPARSE, "%s is not valid TOML", path);
	} catch (...) {
		return bw_status_set(BW_EIO, "cannot read %s", path);
	}
	return BW_OK;
}

extern "C" void bw_toml_clear(bw_toml_doc_t *doc)
{
	for (size_t i = 0; i < doc->count; i++) {
		free(doc->items[i].path);
		free(doc->items[i].string);
	}
	free(doc->items);
	doc->items = nullptr;
	doc->count = 0;
}
