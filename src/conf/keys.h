/**
 * @file
 * Tables of settings keys: how a key's value is checked, and which field of a
 * structure it is stored in.
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
	BW_KEY_NAME, /**< Text without slashes and whitespace. */
	BW_KEY_ADDRESS, /**< ip:port. */
	BW_KEY_TEXT,
	BW_KEY_NUMBER,
	BW_KEY_SECONDS, /**< Seconds, stored as milliseconds. */
	BW_KEY_FRACTION, /**< Number, stored in thousandths. */
	BW_KEY_BOOLEAN
} bw_key_kind_t;

/** One key. */
typedef struct bw_key_spec {
	const char *path;
	bw_key_kind_t kind;
	size_t offset; /**< Of the field, a char *, int64_t or bool. */
	int64_t min; /**< Of the stored number; thousandths for seconds and
			fractions. */
	int64_t max;
	int64_t fallback; /**< Default of the stored number. */
	bool required; /**< Only checked for text. */
} bw_key_spec_t;

/** All keys of a file. */
typedef struct bw_keys {
	const bw_key_spec_t *specs;
	size_t count;
} bw_keys_t;

/** Sets numbers to their defaults; @p base must be zeroed before. */
void bw_keys_set_defaults(const bw_keys_t *keys, void *base);

/** Checks one value and stores it in its field; adds a finding if invalid. */
void bw_keys_set_value(const bw_keys_t *keys, void *base,
		       const bw_toml_item_t *item, bw_findings_t *f);

/** Adds a finding for each required key that is missing. */
void bw_keys_check_required(const bw_keys_t *keys, const void *base,
			    bw_findings_t *f);

/** Releases the strings that bw_keys_set_value() stored. */
void bw_keys_clear(const bw_keys_t *keys, void *base);

#endif
