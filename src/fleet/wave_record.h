/**
 * @file
 * The machines of a maintenance wave that are reserved or done, and the record
 * that has them in the store.
 */
#ifndef BW_FLEET_WAVE_RECORD_H
#define BW_FLEET_WAVE_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/status.h"

/** Progress of a machine in a wave. */
typedef enum bw_wave_entry_progress {
	/** Being drained, or in maintenance; counts for the wave's limit. */
	BW_WAVE_RESERVED = 1,
	BW_WAVE_DONE = 2
} bw_wave_entry_progress_t;

/** A machine of a wave. */
typedef struct bw_wave_entry {
	char *machine;
	char *worker; /**< That ran on it when it was reserved. */
	int64_t worker_started_ms; /**< Unix time of its start; 0: not known. */
	bw_wave_entry_progress_t progress;
	/** Progress in the store; 0: not stored. */
	bw_wave_entry_progress_t stored;
	int64_t ordered_ms; /**< When the order was answered; 0: not yet. */
	int64_t next_ms;
	bool call_pending;
} bw_wave_entry_t;

/** Creates an empty set: machine to bw_wave_entry_t; it owns the entries. */
GHashTable *bw_wave_entries_new(void);

/** Adds a machine, or replaces its entry.
 *  @param started_ms of the worker; 0: not known */
bw_wave_entry_t *bw_wave_entry_add(GHashTable *entries, const char *machine,
				   const char *worker, int64_t started_ms,
				   bw_wave_entry_progress_t progress);

/** Encodes the entries; release with g_free(). */
uint8_t *bw_wave_record_pack(GHashTable *entries, size_t *bytes);

/**
 * Merges the stored progress into the entries. What only this node knows of
 * its orders is kept.
 * @return BW_EPARSE if the record can't be read, with the reason as status
 *     message; nothing is changed then
 */
bw_status_t bw_wave_record_merge(GHashTable *entries, const uint8_t *data,
				 size_t bytes);

#endif
