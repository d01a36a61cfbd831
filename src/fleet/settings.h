/**
 * @file
 * Settings of one fleet node, read from a TOML file.
 */
#ifndef BW_FLEET_SETTINGS_H
#define BW_FLEET_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/status.h"

/** Settings; strings are owned by the structure. */
typedef struct bw_fleet_settings {
	char *name; /**< Of this node, unique in its site. */
	char *zone;
	char *ip;
	char *callers; /**< ip:port where callers are served. */
	char *ready; /**< ip:port of the readiness probe. */
	char *store; /**< ip:port of the platform's store. */
	char *machines; /**< ip:port of the machines' interface. */
	char *advice; /**< ip:port of the advice service, or NULL. */
	int64_t peers_port; /**< Where other nodes connect. */
	int64_t metrics_port;
	int64_t lease_min_ms; /**< Shortest lease that the store grants. */
	int64_t grant_max_ms; /**< Longest grant that workers accept. */
	int64_t stop_ms; /**< A worker stops a task within this. */
	int64_t retention_ms; /**< Finished jobs stay known. */
	int64_t holder_ms; /**< Between orders of two nodes to a machine. */
	bool first_start; /**< The whole site starts for the first time. */
	int64_t grace_ms; /**< Between a stop signal and the kill. */
	int64_t log_bytes_s; /**< Event lines are bounded so. */
} bw_fleet_settings_t;

/**
 * Reads and checks a settings file; see bw_settings_read() for errors.
 * @param s receives the settings; release with bw_fleet_settings_clear()
 */
bw_status_t bw_fleet_settings_read(const char *path, bw_fleet_settings_t *s,
				   bw_findings_t *findings);

void bw_fleet_settings_clear(bw_fleet_settings_t *s);

#endif
