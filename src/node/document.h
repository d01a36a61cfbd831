/**
 * @file
 * The documents that all entries share: table, view and workers.
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
#include "table/table.h"

/** Number of a document; the worker list is packed into many. */
typedef uint32_t bw_document_id_t;

#define BW_DOC_TABLE   0
#define BW_DOC_VIEW    1
#define BW_DOC_WORKERS 2 /**< First of BW_WORKER_PARTS. */
#define BW_DOC_COUNT   (BW_DOC_WORKERS + BW_WORKER_PARTS)

typedef struct bw_document {
	int64_t revision; /**< 0 before the first. */
	GBytes *value;
} bw_document_t;

/** Bytes that bw_document_key() writes at most. */
#define BW_DOCUMENT_KEY_BYTES 16

/** Key of a document below the site's prefix. */
void bw_document_key(bw_document_id_t id, char out[BW_DOCUMENT_KEY_BYTES]);

/** Document with a key, or BW_DOC_COUNT. */
bw_document_id_t bw_document_find(const char *key);

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
