#include "conf/settings.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>

#include <glib.h>

#include "base/address.h"
#include "conf/keys.h"
#include "conf/toml.h"

#define MIB ((int64_t)1 << 20)
#define TEXT_KEY(path, kind, field)                                            \
	{                                                                      \
		path, kind, offsetof(bw_settings_t, field), 0, 0, 0, true      \
	}
#define NUMBER_KEY(path, field, min, max, fallback)                            \
	{                                                                      \
		path, BW_KEY_NUMBER, offsetof(bw_settings_t, field), min, max, \
			fallback, false                                        \
	}

static const bw_key_spec_t key_specs[] = {
	TEXT_KEY("entry.name", BW_KEY_NAME, name),
	TEXT_KEY("entry.site", BW_KEY_NAME, site),
	TEXT_KEY("entry.zone", BW_KEY_NAME, zone),
	TEXT_KEY("entry.callers", BW_KEY_ADDRESS, callers),
	TEXT_KEY("entry.peers", BW_KEY_ADDRESS, peers_listen),
	TEXT_KEY("entry.operators", BW_KEY_ADDRESS, operators),
	TEXT_KEY("store.prefix", BW_KEY_TEXT, store_prefix),
	NUMBER_KEY("store.timeout_ms", store_timeout_ms, 10, 60000, 1000),
	NUMBER_KEY("entry.lease_ms", lease_ms, 500, 600000, 5000),
	NUMBER_KEY("entry.heartbeat_ms", heartbeat_ms, 20, 10000, 200),
	NUMBER_KEY("entry.clock_skew_ms", clock_skew_ms, 1, 10000, 500),
	NUMBER_KEY("limits.connections", connections_max, 1, 1000000, 10000),
	NUMBER_KEY("limits.connections_per_address",
		   connections_per_address_max, 1, 1000000, 4096),
	NUMBER_KEY("limits.idle_timeout_ms", idle_timeout_ms, 1000, 3600000,
		   30000),
	NUMBER_KEY("limits.header_bytes", header_bytes_max, 1024, 65536, 16384),
	NUMBER_KEY("limits.body_bytes", body_bytes_max, 1024, 1024 * MIB,
		   8 * MIB),
	NUMBER_KEY("limits.body_memory_bytes", body_memory_bytes, 65536,
		   4096 * MIB, 96 * MIB),
	NUMBER_KEY("limits.stop_timeout_ms", stop_timeout_ms, 0, 86400000, 0),
	NUMBER_KEY("once.key_window_ms", key_window_ms, 1000, 86400000, 600000),
	NUMBER_KEY("once.answer_memory_bytes", answer_memory_bytes, 0,
		   1024 * MIB, 16 * MIB),
};

static const bw_keys_t keys = { key_specs, G_N_ELEMENTS(key_specs) };

static void take_endpoint(bw_settings_t *s, const bw_toml_item_t *item,
			  bw_findings_t *f);
static void take_peer(bw_settings_t *s, const bw_toml_item_t *item,
		      bw_findings_t *f);
static void take_item(bw_settings_t *s, const bw_toml_item_t *item,
		      bw_findings_t *f);
static void check_required(const bw_settings_t *s, bw_findings_t *f);

static void take_endpoint(bw_settings_t *s, const bw_toml_item_t *item,
			  bw_findings_t *f)
{
	if (item->type != BW_TOML_STRING ||
	    !g_str_has_prefix(item->string, "http")) {
		bw_findings_add(f, BW_F_BAD_VALUE, item->line, item->column,
				"%s takes a URL such as "
				"\"http://127.0.0.1:2379\"",
				item->path);
		return;
	}
	if (s->endpoint_count == BW_SETTINGS_ENDPOINTS_MAX) {
		bw_findings_add(f, BW_F_OUT_OF_RANGE, item->line, item->column,
				"more than %d store endpoints",
				BW_SETTINGS_ENDPOINTS_MAX);
		return;
	}
	s->endpoints[s->endpoint_count++] = g_strdup(item->string);
}

static void take_peer(bw_settings_t *s, const bw_toml_item_t *item,
		      bw_findings_t *f)
{
	char ip[46];
	uint16_t port;
	char *end;
	guint64 index =
		g_ascii_strtoull(item->path + strlen("peer["), &end, 10);

	if (index >= BW_SETTINGS_PEERS_MAX) {
		bw_findings_add(f, BW_F_OUT_OF_RANGE, item->line, item->column,
				"more than %d peers", BW_SETTINGS_PEERS_MAX);
		return;
	}
	if (item->type != BW_TOML_STRING) {
		bw_findings_add(f, BW_F_WRONG_TYPE, item->line, item->column,
				"%s takes a string", item->path);
		return;
	}
	if (index >= s->peer_count)
		s->peer_count = (uint32_t)index + 1;
	if (!strcmp(end, "].name") && !s->peers[index].name) {
		s->peers[index].name = g_strdup(item->string);
	} else if (!strcmp(end, "].address") && !s->peers[index].address) {
		if (bw_address_split(item->string, ip, &port) != BW_OK)
			bw_findings_add(f, BW_F_BAD_VALUE, item->line,
					item->column, "%s: %s", item->path,
					bw_status_message());
		s->peers[index].address = g_strdup(item->string);
	} else {
		bw_findings_add(f, BW_F_UNKNOWN_KEY, item->line, item->column,
				"%s", item->path);
	}
}

static void take_item(bw_settings_t *s, const bw_toml_item_t *item,
		      bw_findings_t *f)
{
	if (g_str_has_prefix(item->path, "store.endpoints["))
		take_endpoint(s, item, f);
	else if (g_str_has_prefix(item->path, "peer["))
		take_peer(s, item, f);
	else
		bw_keys_set_value(&keys, s, item, f);
}

static void check_required(const bw_settings_t *s, bw_findings_t *f)
{
	size_t i;

	bw_keys_check_required(&keys, s, f);
	if (s->endpoint_count == 0)
		bw_findings_add(f, BW_F_MISSING_KEY, 0, 0, "store.endpoints");
	for (i = 0; i < s->peer_count; i++)
		if (!s->peers[i].name || !s->peers[i].address)
			bw_findings_add(f, BW_F_MISSING_KEY, 0, 0,
					"peer[%zu] needs name and address", i);
}

bw_status_t bw_settings_read(const char *path, bw_settings_t *s,
			     bw_findings_t *findings)
{
	bw_toml_doc_t doc;
	bw_status_t status;
	size_t i;

	memset(s, 0, sizeof(*s));
	bw_keys_set_defaults(&keys, s);
	status = bw_toml_read(path, &doc, findings);
	if (status != BW_OK)
		return status;
	for (i = 0; i < doc.count; i++)
		take_item(s, &doc.items[i], findings);
	bw_toml_clear(&doc);
	check_required(s, findings);
	if (bw_findings_count(findings) > 0)
		return bw_status_set(BW_EINVAL, "%s has %zu mistakes", path,
				     bw_findings_count(findings));
	return BW_OK;
}

void bw_settings_clear(bw_settings_t *s)
{
	size_t i;

	bw_keys_clear(&keys, s);
	for (i = 0; i < s->endpoint_count; i++)
		g_free(s->endpoints[i]);
	for (i = 0; i < s->peer_count; i++) {
		g_free(s->peers[i].name);
		g_free(s->peers[i].address);
	}
	s->endpoint_count = 0;
	s->peer_count = 0;
}
