/**
 * @file
 * The task that talks with the store: keeps this entry's lease and lease key,
 * reads the documents, watches them and writes views.
 */
#ifndef BW_NODE_SESSION_H
#define BW_NODE_SESSION_H

#include "node/document.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_session bw_session_t;

/** Events. */
typedef struct bw_session_ops {
	void (*document)(void *ctx, bw_document_id_t id, int64_t revision,
			 const void *data, size_t bytes);
	/** An entry's lease key was seen, or seen to be gone. */
	void (*present)(void *ctx, const char *name, bool present);
	/** Whether what was told is current. */
	void (*current)(void *ctx, bool current);
	/** The lease was renewed by a call sent at @p asked_us. */
	void (*renewed)(void *ctx, int64_t asked_us);
} bw_session_ops_t;

typedef struct bw_session_config {
	const char *prefix; /**< Key prefix without a slash at its end. */
	const char *name; /**< Of this entry. */
	const char *value; /**< Of this entry's lease key. */
	int64_t lease_ms;
	uint32_t seed;
} bw_session_config_t;

/** Starts a session. @param store must outlive it */
bw_session_t *bw_session_create(struct ev_loop *loop,
				const bw_session_config_t *config,
				const bw_store_t *store,
				const bw_session_ops_t *ops, void *ctx);

/** Ends a session at once; the store must be destroyed before. */
void bw_session_destroy(bw_session_t *s);

/** Gives up the lease; @p done is called when the store has answered. */
void bw_session_leave(bw_session_t *s, void (*done)(void *ctx), void *ctx);

/**
 * Writes a view if the store still has the one with @p revision and none of
 * the excluded entries has a lease key. One write at a time; more are ignored.
 */
void bw_session_write_view(bw_session_t *s, int64_t revision, const char *text,
			   const char *const *excluded, uint32_t count);

#endif
