#include "fleet/settings.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

#include "conf/keys.h"

#define DAY_MS ((int64_t)86400000)
/** Largest number in table capacity; fractions in thousandths. */
#define AMOUNT_MAX	   ((int64_t)1000000000)
#define FRACTION_MAX_MILLI ((int64_t)1000000000)
/** Processor speed that counts when none is given: one core. */
#define ONE_CORE_MILLIS 1000
/** Default of remote_factor_milli: a task is as fast on each rack. */
#define NOT_SLOWER_MILLI 1000
/** Callers' connections of a node whose memory and descriptors suffice. */
#define CONNECTIONS_MAX ((int64_t)3000)
/**
 * Callers' bodies take this part of a node's memory at most, as a divisor. A
 * connection takes up to 84 KB beside its body, 20 KB of the server and 64 KB
 * in the kernel, so that 8 connections for each megabyte take two thirds.
 */
#define BODY_MEMORY_DIVISOR 8
#define CONNECTIONS_PER_MB  8
/** Body memory of a node that doesn't know its memory. */
#define BODY_MEMORY_BYTES     ((int64_t)64 << 20)
#define BODY_MEMORY_MIN_BYTES ((int64_t)1 << 20)
#define BYTES_PER_MB	      ((int64_t)1 << 20)
/** Files and connections to the store, workers and nodes. */
#define OWN_DESCRIPTORS ((int64_t)1100)
/** Callers get at least this part of the descriptors, as a divisor. */
#define DESCRIPTORS_DIVISOR 4
/** Part of the descriptors for incoming connections of peers before their
 *  Hello, as a divisor, and the bounds of their number. */
#define STRANGERS_DIVISOR 8
#define STRANGERS_MIN	  8
#define STRANGERS_MAX	  512
#define TEXT(path, kind, field, required)                                      \
	{                                                                      \
		path, kind, offsetof(bw_fleet_settings_t, field), 0, 0, 0,     \
			required                                               \
	}
#define NUMBER(path, field, min, max, fallback)                                \
	{                                                                      \
		path, BW_KEY_NUMBER, offsetof(bw_fleet_settings_t, field),     \
			min, max, fallback, false                              \
	}
#define SECONDS(path, field, fallback_ms)                                      \
	{                                                                      \
		path, BW_KEY_SECONDS, offsetof(bw_fleet_settings_t, field), 0, \
			DAY_MS, fallback_ms, false                             \
	}
#define FRACTION(path, field, fallback)                                        \
	{                                                                      \
		path, BW_KEY_FRACTION, offsetof(bw_fleet_settings_t, field),   \
			0, FRACTION_MAX_MILLI, fallback, false                 \
	}

static const bw_key_spec_t key_specs[] = {
	TEXT("node.name", BW_KEY_NAME, name, true),
	TEXT("node.zone", BW_KEY_NAME, zone, true),
	TEXT("node.ip", BW_KEY_NAME, ip, true),
	TEXT("node.callers", BW_KEY_ADDRESS, callers, true),
	TEXT("node.ready", BW_KEY_ADDRESS, ready, true),
	TEXT("platform.store", BW_KEY_ADDRESS, store, true),
	TEXT("platform.machines", BW_KEY_ADDRESS, machines, false),
	TEXT("platform.advice", BW_KEY_ADDRESS, advice, false),
	{ "node.first_start", BW_KEY_BOOLEAN,
	  offsetof(bw_fleet_settings_t, first_start), 0, 0, 0, false },
	NUMBER("node.peers_port", peers_port, 1, 65535, 7060),
	NUMBER("node.metrics_port", metrics_port, 1, 65535, 7061),
	NUMBER("platform.lease_min_ms", lease_min_ms, 1, DAY_MS, 1000),
	NUMBER("limits.grant_max_ms", grant_max_ms, 500, DAY_MS, 6000),
	NUMBER("limits.stop_ms", stop_ms, 1, DAY_MS, 400),
	FRACTION("limits.remote_factor", remote_factor_milli, NOT_SLOWER_MILLI),
	NUMBER("limits.holder_ms", holder_ms, 0, DAY_MS, 3000),
	NUMBER("limits.config_apply_ms", config_apply_ms, 0, DAY_MS, 0),
	NUMBER("limits.config_outage_ms", config_outage_ms, 0, DAY_MS, 0),
	NUMBER("limits.log_bytes_s", log_bytes_s, 4096, 1 << 30, 262144),
	NUMBER("limits.connections", connections_max, 0, 1000000, 0),
	NUMBER("limits.body_memory_bytes", body_memory_bytes, 0,
	       (int64_t)4 << 30, 0),
	NUMBER("limits.head_wait_ms", head_wait_ms, 0, DAY_MS, 60000),
	NUMBER("limits.body_still_ms", body_still_ms, 0, DAY_MS, 15000),
	SECONDS("limits.keep_s", retention_ms, 120000),
	SECONDS("limits.grace_s", grace_ms, 6000),
	FRACTION("capacity.core_share", core_share_milli, 0),
	FRACTION("capacity.cores", cores_milli, ONE_CORE_MILLIS),
	FRACTION("capacity.link_mbps", link_kbits, 0),
	NUMBER("capacity.memory_mb", memory_mb, 0, AMOUNT_MAX, 0),
	NUMBER("capacity.descriptors", descriptors, 0, AMOUNT_MAX, 0),
};

static const bw_keys_t keys = { key_specs, G_N_ELEMENTS(key_specs) };

bw_status_t bw_fleet_settings_read(const char *path, bw_fleet_settings_t *s,
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
		bw_keys_set_value(&keys, s, &doc.items[i], findings);
	bw_toml_clear(&doc);
	bw_keys_check_required(&keys, s, findings);
	if (bw_findings_count(findings) > 0)
		return bw_status_set(BW_EINVAL, "%s has %zu errors", path,
				     bw_findings_count(findings));
	return BW_OK;
}

bw_node_capacity_t bw_fleet_settings_capacity(const bw_fleet_settings_t *s)
{
	return (bw_node_capacity_t){
		.amounts = {
			[BW_NODE_CPU_MILLIS] =
				s->core_share_milli * s->cores_milli / 1000,
			[BW_NODE_MEMORY_MB] = s->memory_mb,
			[BW_NODE_LINK_KBITS] = s->link_kbits,
			[BW_NODE_DESCRIPTORS] = s->descriptors,
		},
	};
}

static int64_t connections_of(const bw_fleet_settings_t *s)
{
	int64_t out = CONNECTIONS_MAX;

	if (s->connections_max > 0)
		return s->connections_max;
	if (s->memory_mb > 0)
		out = MIN(out, s->memory_mb * CONNECTIONS_PER_MB);
	if (s->descriptors > 0)
		out = MIN(out, MAX(s->descriptors - OWN_DESCRIPTORS,
				   s->descriptors / DESCRIPTORS_DIVISOR));
	return MAX(out, 1);
}

static int64_t body_memory_of(const bw_fleet_settings_t *s)
{
	if (s->body_memory_bytes > 0)
		return s->body_memory_bytes;
	if (s->memory_mb == 0)
		return BODY_MEMORY_BYTES;
	return MAX(s->memory_mb * BYTES_PER_MB / BODY_MEMORY_DIVISOR,
		   BODY_MEMORY_MIN_BYTES);
}

bw_budget_limits_t bw_fleet_settings_limits(const bw_fleet_settings_t *s)
{
	return (bw_budget_limits_t){
		.connections_max = (uint32_t)connections_of(s),
		.bytes_max = (uint64_t)body_memory_of(s),
		.head_wait_ms = s->head_wait_ms,
		.body_still_ms = s->body_still_ms,
	};
}

uint32_t bw_fleet_settings_strangers(const bw_fleet_settings_t *s)
{
	if (s->descriptors == 0)
		return 0;
	return (uint32_t)CLAMP(s->descriptors / STRANGERS_DIVISOR,
			       STRANGERS_MIN, STRANGERS_MAX);
}

void bw_fleet_settings_clear(bw_fleet_settings_t *s)
{
	bw_keys_clear(&keys, s);
}
