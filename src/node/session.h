/**
 * @file
 * The entry's session with the store: keeps its lease and lease key, reads and
 * watches the documents, and writes views.
 */
#ifndef BW_NODE_SESSION_H
#define BW_NODE_SESSION_H

#include "node/document.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_session bw_session_t;

/** Callbacks of a session. */
typedef struct bw_session_ops {
	/** A document was read or changed. */
	void (*document)(void *ctx, bw_document_id_t id, int64_t revision,
			 const void *data, size_t bytes);
	/** An entry's lease key exists, or no longer exists. */
	void (*entry_lease)(void *ctx, const char *name, bool present);
	/** The state reported so far is current, or may be out of date. */
	void (*store_current)(void *ctx, bool current);
	/** The lease was renewed by a call sent at @p sent_us. */
	void (*lease_renewed)(void *ctx, int64_t sent_us);
} bw_session_ops_t;

/** Configuration of a session; the strings are copied. */
typedef struct bw_session_config {
	const char *prefix; /**< Key prefix without a trailing slash. */
	const char *name; /**< Name of this entry. */
	const char *value; /**< Value of this entry's lease key. */
	int64_t lease_ms;
	uint32_t seed; /**< For the jitter of retries. */
} bw_session_config_t;

/**
 * Starts a session: requests a lease and reads the documents.
 * @param store must outlive the session's calls, see bw_session_destroy()
 */
bw_session_t *bw_session_create(struct ev_loop *loop,
				const bw_session_config_t *config,
				const bw_store_t *store,
				const bw_session_ops_t *ops, void *ctx);

/**
 * Destroys a session. The store must be destroyed first, since its callbacks
 * use the session.
 */
void bw_session_destroy(bw_session_t *s);

/**
 * Revokes the lease, also one that is being granted.
 * @param done called when the store has answered, or at once without a lease
 */
void bw_session_leave(bw_session_t *s, void (*done)(void *ctx), void *ctx);

/**
 * Writes a view if the view in the store still has @p revision and no excluded
 * entry has a lease key. Ignored while another write is in progress.
 */
void bw_session_write_view(bw_session_t *s, int64_t revision, const char *text,
			   const char *const *excluded, uint32_t count);

#endif
