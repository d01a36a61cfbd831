/**
 * @file
 * Reads a TOML file into a flat list of values with their positions.
 */
#ifndef BW_CONF_TOML_H
#define BW_CONF_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#include "base/findings.h"
#include "base/status.h"

/** Type of a TOML value. */
typedef enum bw_toml_type {
	BW_TOML_STRING,
	BW_TOML_INTEGER,
	BW_TOML_BOOLEAN,
	BW_TOML_FLOAT,
	BW_TOML_OTHER,
	BW_TOML_TYPE_COUNT
} bw_toml_type_t;

/** One value; paths look like "store.endpoints[0]" or "peer[1].name". */
typedef struct bw_toml_item {
	char *path;
	char *string; /**< NULL unless the type is BW_TOML_STRING. */
	int64_t integer;
	double number; /**< Set only for BW_TOML_FLOAT. */
	bool boolean;
	bw_toml_type_t type;
	uint32_t line;
	uint32_t column;
} bw_toml_item_t;

/** The values of a file. */
typedef struct bw_toml_doc {
	bw_toml_item_t *items;
	size_t count;
} bw_toml_doc_t;

/**
 * Parses a file.
 * @param path file to read
 * @param doc receives the values; release with bw_toml_clear()
 * @param findings receives syntax errors
 * @return BW_OK, BW_EIO or BW_EPARSE
 */
bw_status_t bw_toml_read(const char *path, bw_toml_doc_t *doc,
			 bw_findings_t *findings);

/** Releases the values of a document. */
void bw_toml_clear(bw_toml_doc_t *doc);

#ifdef __cplusplus
}
#endif

#endif
