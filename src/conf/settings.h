/**
 * @file
 * Settings of one entry process, read from bramleywing.toml.
 */
#ifndef BW_CONF_SETTINGS_H
#define BW_CONF_SETTINGS_H

#include <stdint.h>

#include "base/findings.h"
#include "base/status.h"

/** Largest number of peers and of store endpoints in a settings file. */
#define BW_SETTINGS_PEERS_MAX	  64
#define BW_SETTINGS_ENDPOINTS_MAX 8

/** Address of another entry. */
typedef struct bw_settings_peer {
	char *name;
	char *address;
} bw_settings_peer_t;

/** Settings; strings are owned by the structure. */
typedef struct bw_settings {
	char *name; /**< Name of this entry, unique in its site. */
	char *site;
	char *zone;
	char *callers; /**< ip:port that serves callers. */
	char *peers_listen; /**< ip:port that serves other entries. */
	char *operators; /**< ip:port that serves status and counters. */
	char *store_prefix;
	char *endpoints[BW_SETTINGS_ENDPOINTS_MAX];
	bw_settings_peer_t peers[BW_SETTINGS_PEERS_MAX];
	uint32_t endpoint_count;
	uint32_t peer_count;
	int64_t store_timeout_ms;
	int64_t lease_ms;
	int64_t heartbeat_ms;
	int64_t clock_skew_ms;
	int64_t connections_max;
	int64_t connections_per_address_max;
	int64_t idle_timeout_ms;
	int64_t header_bytes_max;
	int64_t body_bytes_max;
	int64_t body_memory_bytes;
	int64_t stop_timeout_ms;
	int64_t key_window_ms;
	int64_t answer_memory_bytes;
} bw_settings_t;

/**
 * Reads and checks a settings file.
 * @param path file to read
 * @param s receives the settings; release with bw_settings_clear()
 * @param findings receives every error with its line and column
 * @return BW_OK, BW_EIO, BW_EPARSE, or BW_EINVAL when findings were added
 */
bw_status_t bw_settings_read(const char *path, bw_settings_t *s,
			     bw_findings_t *findings);

/** Releases the strings of settings. */
void bw_settings_clear(bw_settings_t *s);

#endif
