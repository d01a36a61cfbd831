/**
 * @file
 * The platform's key-value store, behind a callback interface.
 *
 * Another store is put in its place by one file that fills bw_store_ops_t.
 */
#ifndef BW_STORE_STORE_H
#define BW_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/** A key with its value at a revision. */
typedef struct bw_store_kv {
	const char *key;
	const char *value; /**< NUL-terminated after @p bytes. */
	size_t bytes;
	int64_t mod_revision; /**< Revision of the last write of the key. */
	int64_t version; /**< Writes since the key was made. */
	bool deleted; /**< In a watch: the key was deleted. */
} bw_store_kv_t;

/**
 * Answer of a call.
 *
 * BW_EUNAVAIL: the call had no effect. BW_ELOST: a write may have taken effect.
 * BW_ENOTFOUND: no such key or lease. BW_ESTALE: the history is gone.
 */
typedef struct bw_store_reply {
	bw_status_t status;
	bool succeeded; /**< A transaction's comparisons held. */
	int64_t revision; /**< Revision of the store. */
	int64_t lease_id;
	int64_t ttl_ms;
	bool has_more; /**< Of a page: others follow. */
	const bw_store_kv_t *kvs; /**< Valid during the callback. */
	size_t kv_count;
} bw_store_reply_t;

typedef void (*bw_store_done_fn)(void *ctx, const bw_store_reply_t *reply);

/** One compare-and-swap: writes @p key if its mod revision is as given. */
typedef struct bw_store_cas {
	const char *key;
	const char *value; /**< NULL deletes the key. */
	size_t bytes;
	int64_t mod_revision; /**< Expected; 0 when the key must not exist. */
	int64_t lease_id; /**< 0 is none. */
	const char *const *absent; /**< Keys that must not exist. */
	uint32_t absent_count;
} bw_store_cas_t;

/** A key that a transaction expects at a revision. */
typedef struct bw_store_expect {
	const char *key;
	int64_t mod_revision; /**< 0: the key must not exist. */
} bw_store_expect_t;

/** A key that a transaction writes. */
typedef struct bw_store_write {
	const char *key;
	const char *value; /**< NULL deletes the key. */
	size_t bytes;
	int64_t lease_id; /**< 0 is none. */
} bw_store_write_t;

/** Writes that all happen, if all expectations hold, or not at all. */
typedef struct bw_store_txn {
	const bw_store_expect_t *expects;
	uint32_t expect_count;
	const bw_store_write_t *writes;
	uint32_t write_count;
} bw_store_txn_t;

/** One page of the keys with a prefix, in their order. */
typedef struct bw_store_page {
	const char *prefix;
	const char *after; /**< Last key of the page before, or NULL. */
	bool allow_stale; /**< May be seconds old, and is cheap. */
} bw_store_page_t;

/** A watch that can be ended. */
typedef struct bw_store_watch bw_store_watch_t;

/** What an adapter provides; all calls return before their callback. */
typedef struct bw_store_ops {
	/** Reads all keys with a prefix. */
	void (*range)(void *impl, const char *prefix, bw_store_done_fn done,
		      void *ctx);
	/** Does one compare-and-swap; the reply has the key when it failed. */
	void (*cas)(void *impl, const bw_store_cas_t *cas,
		    bw_store_done_fn done, void *ctx);
	void (*lease_grant)(void *impl, int64_t ttl_ms, bw_store_done_fn done,
			    void *ctx);
	void (*lease_keepalive)(void *impl, int64_t lease_id,
				bw_store_done_fn done, void *ctx);
	void (*lease_revoke)(void *impl, int64_t lease_id,
			     bw_store_done_fn done, void *ctx);
	/**
	 * Reports changes of keys with a prefix from a revision on. A reply
	 * that is not BW_OK ends the watch.
	 */
	bw_store_watch_t *(*watch)(void *impl, const char *prefix,
				   int64_t revision, bw_store_done_fn event,
				   void *ctx);
	void (*watch_end)(void *impl, bw_store_watch_t *watch);
	/**
	 * Does a transaction; when it failed, the reply has the expected keys
	 * as they are. NULL in adapters without it, like the next two.
	 */
	void (*txn)(void *impl, const bw_store_txn_t *txn,
		    bw_store_done_fn done, void *ctx);
	void (*page)(void *impl, const bw_store_page_t *page,
		     bw_store_done_fn done, void *ctx);
	/** Reads one key; BW_ENOTFOUND when it does not exist. */
	void (*get)(void *impl, const char *key, bw_store_done_fn done,
		    void *ctx);
	void (*destroy)(void *impl);
} bw_store_ops_t;

/** A store: an adapter's operations and its state. */
typedef struct bw_store {
	const bw_store_ops_t *ops;
	void *impl;
} bw_store_t;

#endif
