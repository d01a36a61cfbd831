/**
 * @file
 * Which event lines are written: a rate for each kind by its class, a bound in
 * bytes for all, and none while nobody reads. Pure; times are given.
 */
#ifndef BW_BASE_LOGLIMITER_H
#define BW_BASE_LOGLIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/event.h"

/** Longest line, with its end. */
#define BW_LOG_LINE_BYTES_MAX 900
/** Lines that were not read yet. */
#define BW_LOG_BACKLOG_BYTES_MAX ((size_t)256 << 10)

/** Lines of one kind in the present second. */
typedef struct bw_log_kind {
	int64_t second;
	uint32_t lines;
	uint32_t missed; /**< Since the last line of the kind. */
} bw_log_kind_t;

/** State of the gate; zeroed but for @p bytes_max when it begins. */
typedef struct bw_log_gate {
	int64_t bytes_max; /**< In a second. */
	int64_t second;
	int64_t bytes; /**< In the present second. */
	bw_log_kind_t kinds[BW_EVENT_KIND_COUNT];
	uint64_t lost[BW_EVENT_LOSS_COUNT];
} bw_log_gate_t;

/**
 * Whether a line of a kind may be written now; if not, it is counted.
 * @param backlog_bytes written before and not read yet
 */
bool bw_log_gate_admit(bw_log_gate_t *gate, bw_event_kind_t kind,
		       int64_t now_ms, size_t backlog_bytes);

/**
 * Takes that a line was written.
 * @return lines of its kind that were left out before it
 */
uint32_t bw_log_gate_missed(bw_log_gate_t *gate, bw_event_kind_t kind);

/** Takes the size of a line that was written. */
void bw_log_gate_written(bw_log_gate_t *gate, size_t bytes);

#endif
