/**
 * @file
 * Edits of the stored table. Each edit is one compare-and-swap that increments
 * the version and records the edit's identifier in the table's history, so that
 * an edit whose answer was lost can be found again.
 */
#ifndef BW_TABLE_EDIT_H
#define BW_TABLE_EDIT_H

#include "table/table.h"

/** Edits kept in the table's history. */
#define BW_HISTORY_MAX 100

/** Entry of the table's history for one edit. */
typedef struct bw_edit {
	const char *id; /**< Unique identifier. */
	const char *who; /**< User who made it. */
	const char *what; /**< Short description. */
	int64_t when_ms; /**< Unix time. */
} bw_edit_t;

/** One cell to change. */
typedef struct bw_cell_edit {
	const char *service;
	const char *pool;
	bw_cell_t cell;
} bw_cell_edit_t;

/**
 * Changes cells of a stored table.
 * @param text the table as stored, NUL-terminated
 * @param findings receives syntax errors and unknown names
 * @return the new text, to be released with free(), or NULL
 */
char *bw_edit_cells(const char *text, const bw_cell_edit_t *cells, size_t count,
		    const bw_edit_t *edit, bw_findings_t *findings);

/**
 * Replaces a stored table, keeping its history.
 * @param old the table as stored, or NULL for the first one
 * @param next the new table
 * @return the new text, to be released with free(), or NULL
 */
char *bw_edit_replace(const char *old, const char *next, const bw_edit_t *edit,
		      bw_findings_t *findings);

/** Returns the version that an edit made, or 0 if the history lacks it. */
uint64_t bw_edit_find_version(const char *text, const char *id);

/**
 * Lists the cells of @p b that differ from @p a.
 * @return lines 'service pool: "old" -> "new"', to be released with g_free()
 */
char *bw_table_diff(const bw_table_t *a, const bw_table_t *b);

#endif
