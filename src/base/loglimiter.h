/**
 * @file
 * Limits event lines: a line rate for each kind by its class, a byte rate for
 * all kinds, and the size of the buffer of lines that were not read yet.
 *
 * This is decision code: no I/O, no clock.
 */
#ifndef BW_BASE_LOGLIMITER_H
#define BW_BASE_LOGLIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/event.h"

/** Longest line in bytes, with its newline. */
#define BW_LOG_LINE_BYTES_MAX 900
/** Most bytes of lines that were not read yet. */
#define BW_LOG_BACKLOG_BYTES_MAX ((size_t)256 << 10)

/** Lines of one kind. */
typedef struct bw_log_kind {
	int64_t second; /**< Second that @p lines counts. */
	uint32_t lines;
	uint32_t dropped; /**< Since the last line of the kind. */
} bw_log_kind_t;

/** State of a limiter; initialise with zeros and @p bytes_max. */
typedef struct bw_log_limiter {
	int64_t bytes_max; /**< Byte rate limit per second. */
	int64_t second; /**< Second that @p bytes counts. */
	int64_t bytes;
	bw_log_kind_t kinds[BW_EVENT_KIND_COUNT];
	uint64_t dropped[BW_EVENT_DROP_COUNT];
} bw_log_limiter_t;

/**
 * Decides whether a line of a kind may be written now, and counts it as written
 * or dropped.
 * @param backlog_bytes bytes in the buffer that were not read yet
 */
bool bw_log_limiter_admit(bw_log_limiter_t *limiter, bw_event_kind_t which,
			  int64_t now_ms, size_t backlog_bytes);

/** Returns and resets the lines of a kind dropped since its last line. */
uint32_t bw_log_limiter_reset_dropped(bw_log_limiter_t *limiter,
				      bw_event_kind_t kind);

/** Adds the size of a written line to the byte rate. */
void bw_log_limiter_add_bytes(bw_log_limiter_t *limiter, size_t bytes);

#endif
