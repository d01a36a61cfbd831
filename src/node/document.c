#include "node/document.h"

#include <string.h>

#include <jansson.h>

/** Format of a view; it is raised when older entries would misunderstand one.
 */
#define VIEW_FORMAT 1

static void member_clear(gpointer data);

void bw_document_key(bw_document_id_t id, char out[BW_DOCUMENT_KEY_BYTES])
{
	if (id == BW_DOC_TABLE)
		g_strlcpy(out, "table", BW_DOCUMENT_KEY_BYTES);
	else if (id == BW_DOC_VIEW)
		g_strlcpy(out, "view", BW_DOCUMENT_KEY_BYTES);
	else
		g_snprintf(out, BW_DOCUMENT_KEY_BYTES, "workers/%02x",
			   id - BW_DOC_WORKERS);
}

bw_document_id_t bw_document_find(const char *key)
{
	char text[BW_DOCUMENT_KEY_BYTES];
	bw_document_id_t id;

	for (id = 0; id < BW_DOC_COUNT; id++) {
		bw_document_key(id, text);
		if (!strcmp(key, text))
			return id;
	}
	return BW_DOC_COUNT;
}

bool bw_document_set(bw_document_t *doc, int64_t revision, const void *data,
		     size_t bytes)
{
	if (revision <= doc->revision)
		return false;
	if (doc->value)
		g_bytes_unref(doc->value);
	doc->value = g_bytes_new(data, bytes);
	doc->revision = revision;
	return true;
}

void bw_document_clear(bw_document_t *doc)
{
	if (doc->value)
		g_bytes_unref(doc->value);
	doc->value = NULL;
	doc->revision = 0;
}

static void member_clear(gpointer data)
{
	bw_member_t *m = data;

	g_free(m->name);
	g_free(m->address);
}

GArray *bw_members_new(void)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(bw_member_t));

	g_array_set_clear_func(members, member_clear);
	return members;
}

char *bw_view_format(uint64_t epoch, const bw_member_t *members, uint32_t count)
{
	json_t *list = json_array();
	json_t *root;
	char *text;
	uint32_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(
			list, json_pack("{s:s,s:s}", "name", members[i].name,
					"address", members[i].address));
	root = json_pack("{s:i,s:I,s:o}", "format", VIEW_FORMAT, "epoch",
			 (json_int_t)epoch, "members", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Views of before have no format. */
static bool is_format_known(const json_t *root)
{
	const json_t *format = json_object_get(root, "format");

	return !format || (json_is_integer(format) &&
			   json_integer_value(format) == VIEW_FORMAT);
}

bool bw_view_parse(const char *text, size_t bytes, uint64_t *epoch,
		   GArray *members)
{
	json_t *root = json_loadb(text, bytes, 0, NULL);
	json_t *item;
	size_t i;
	bool valid;

	g_array_set_size(members, 0);
	*epoch = (uint64_t)json_integer_value(json_object_get(root, "epoch"));
	json_array_foreach(json_object_get(root, "members"), i, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "name"));
		const char *address =
			json_string_value(json_object_get(item, "address"));
		bw_member_t m;

		if (!name || !address)
			break;
		m.name = g_strdup(name);
		m.address = g_strdup(address);
		g_array_append_val(members, m);
	}
	valid = is_format_known(root) && *epoch > 0 && members->len > 0 &&
		members->len ==
			json_array_size(json_object_get(root, "members"));
	json_decref(root);
	return valid;
}
