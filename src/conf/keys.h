/**
 * @file
 * Tables of settings: which keys a file may have, and where their values go.
 */
#ifndef BW_CONF_KEYS_H
#define BW_CONF_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/findings.h"
#include "conf/toml.h"

/** How the value of a key is checked. */
typedef enum bw_key_kind {
	BW_KEY_NAME, /**< Text without slashes and spaces. */
	BW_KEY_ADDRESS, /**< ip:port. */
	BW_KEY_TEXT,
	BW_KEY_NUMBER,
	BW_KEY_SECONDS, /**< Seconds, kept as milliseconds. */
	BW_KEY_BOOLEAN
} bw_key_kind_t;

/** One key. */
typedef struct bw_key_spec {
	const char *path;
	bw_key_kind_t kind;
	size_t offset; /**< Of the field: char *, int64_t or bool. */
	int64_t min;
	int64_t max;
	int64_t fallback; /**< Default of a number. */
	bool required;
} bw_key_spec_t;

/** All keys of a file. */
typedef struct bw_keys {
	const bw_key_spec_t *specs;
	size_t count;
} bw_keys_t;

/** Sets numbers to their defaults; the rest must be zeroed. */
void bw_keys_set_defaults(const bw_keys_t *keys, void *base);

/** Takes one value; mistakes become findings. */
void bw_keys_set_value(const bw_keys_t *keys, void *base,
		       const bw_toml_item_t *item, bw_findings_t *f);

/** Adds a finding for each required text that is missing. */
void bw_keys_check_required(const bw_keys_t *keys, const void *base,
			    bw_findings_t *f);

/** Releases texts. */
void bw_keys_clear(const bw_keys_t *keys, void *base);

#endif
