/**
 * @file
 * The documents that all entries share: the table, the view and the worker
 * list.
 *
 * A document's revision is the mod revision of its key in the store. Only a
 * higher revision replaces a document, so that an entry never returns to an
 * older configuration, whether it comes from the store or from a peer.
 */
#ifndef BW_NODE_DOCUMENT_H
#define BW_NODE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "member/view.h"
#include "table/table.h"

/** Index of a document; the worker list is split into several documents. */
typedef uint32_t bw_document_id_t;

#define BW_DOC_TABLE   0
#define BW_DOC_VIEW    1
#define BW_DOC_WORKERS 2 /**< First of BW_WORKER_PARTS documents. */
#define BW_DOC_COUNT   (BW_DOC_WORKERS + BW_WORKER_PARTS)

/** The newest version of a document that this entry has. */
typedef struct bw_document {
	int64_t revision; /**< 0 when there is none yet. */
	GBytes *value; /**< NULL when there is none yet. */
} bw_document_t;

/** Size of the buffer for bw_document_key(), in bytes. */
#define BW_DOCUMENT_KEY_BYTES 16

/** Writes the key of a document, without the site's prefix. */
void bw_document_key(bw_document_id_t id, char out[BW_DOCUMENT_KEY_BYTES]);

/** Returns the document with a key, or BW_DOC_COUNT when there is none. */
bw_document_id_t bw_document_find(const char *key);

/**
 * Replaces a document if @p revision is higher than its revision.
 * @return true when the document was replaced
 */
bool bw_document_set(bw_document_t *doc, int64_t revision, const void *data,
		     size_t bytes);

/** Releases a document's value. */
void bw_document_clear(bw_document_t *doc);

/** Formats a view as JSON for the store; release the text with free(). */
char *bw_view_format(uint64_t epoch, const bw_member_t *members,
		     uint32_t count);

/**
 * Parses a view from JSON.
 * @param members receives the members (bw_member_t), which replace its content;
 *        the array owns their strings
 * @return false when the text is not a valid view, or of a newer format
 */
bool bw_view_parse(const char *text, size_t bytes, uint64_t *epoch,
		   GArray *members);

/** Creates an empty array for bw_view_parse(); it frees its strings. */
GArray *bw_members_new(void);

#endif
