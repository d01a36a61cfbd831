/**
 * @file
 * Collects the errors found in one input, each with its position, so that they
 * are reported together.
 */
#ifndef BW_BASE_FINDINGS_H
#define BW_BASE_FINDINGS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Kind of error. */
typedef enum bw_finding_code {
	BW_F_SYNTAX, /**< The text does not follow its format. */
	BW_F_UNKNOWN_KEY,
	BW_F_MISSING_KEY,
	BW_F_WRONG_TYPE,
	BW_F_OUT_OF_RANGE,
	BW_F_DUPLICATE,
	BW_F_UNKNOWN_NAME, /**< A reference to an undefined object. */
	BW_F_BAD_VALUE,
	BW_F_CODE_COUNT
} bw_finding_code_t;

typedef struct bw_findings bw_findings_t;

/**
 * Creates an empty collection.
 * @param source file or object name, printed before each position; copied
 * @return a collection owned by the caller
 */
bw_findings_t *bw_findings_create(const char *source);

/** Destroys a collection; NULL is allowed. */
void bw_findings_destroy(bw_findings_t *f);

/**
 * Adds an error at a line and column.
 * @param line line from 1, or 0 when unknown; such errors are listed last
 * @param column column from 1, or 0 when unknown
 */
void bw_findings_add(bw_findings_t *f, bw_finding_code_t code, uint32_t line,
		     uint32_t column, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/**
 * Adds an error at a named position, such as the cell "row inventory, column
 * spare"; listed after errors with a line.
 */
void bw_findings_add_at(bw_findings_t *f, bw_finding_code_t code,
			const char *position, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/** Returns the number of errors collected. */
size_t bw_findings_count(const bw_findings_t *f);

/**
 * Returns the text of one error: source, position, kind and message.
 * @param index index below bw_findings_count()
 * @return a string owned by the collection
 */
const char *bw_findings_text(const bw_findings_t *f, size_t index);

/** Prints one line for each error. */
void bw_findings_print(const bw_findings_t *f, FILE *out);

#endif
