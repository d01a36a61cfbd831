/**
 * @file
 * Counts what a JSON text would take when it is parsed, so that one which can't
 * be legal is refused before. It does not check the text.
 */
#ifndef BW_BASE_JSONSCAN_H
#define BW_BASE_JSONSCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The most that a text may have. */
typedef struct bw_json_bounds {
	uint32_t containers_max; /**< Objects and arrays. */
	uint32_t separators_max; /**< Commas: nearly one for each value. */
	uint32_t depth_max;
} bw_json_bounds_t;

/** Whether a text is within the bounds, however malformed it may be. */
bool bw_json_is_within(const char *text, size_t bytes,
		       const bw_json_bounds_t *bounds);

#endif
