/**
 * @file
 * The documents that all entries share: table, workers and view.
 *
 * A document's revision is that of its key in the store. Only a higher revision
 * replaces a document, so that no configuration reverts, whether it comes from
 * the store or from a peer.
 */
#ifndef BW_NODE_DOCUMENT_H
#define BW_NODE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "member/view.h"

typedef enum bw_document_kind {
	BW_DOC_TABLE,
	BW_DOC_WORKERS,
	BW_DOC_VIEW,
	BW_DOC_COUNT
} bw_document_kind_t;

typedef struct bw_document {
	int64_t revision; /**< 0 before the first. */
	GBytes *value;
} bw_document_t;

/** Last part of a document's key in the store. */
const char *bw_document_key(bw_document_kind_t kind);

/**
 * Replaces a document by a newer one.
 * @return true when @p revision was higher
 */
bool bw_document_set(bw_document_t *doc, int64_t revision, const void *data,
		     size_t bytes);

/** Releases a document's value. */
void bw_document_clear(bw_document_t *doc);

/** A view as written to the store, to be released with free(). */
char *bw_view_format(uint64_t epoch, const bw_member_t *members,
		     uint32_t count);

/**
 * Parses a view.
 * @param members receives bw_member_t with owned strings; may hold old ones
 * @return false when the text is not a view
 */
bool bw_view_parse(const char *text, size_t bytes, uint64_t *epoch,
		   GArray *members);

/** An array for bw_view_parse(). */
GArray *bw_members_new(void);

#endif
