/**
 * @file
 * Interface of the platform's key-value store, with callbacks.
 *
 * An adapter for a particular store is one file that fills bw_store_ops_t.
 */
#ifndef BW_STORE_STORE_H
#define BW_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/cause.h"
#include "base/status.h"

/** A key with its value at a revision. */
typedef struct bw_store_kv {
	const char *key;
	const char *value; /**< NUL-terminated after @p bytes. */
	size_t bytes;
	int64_t mod_revision; /**< Revision of the last write of the key. */
	int64_t version; /**< Number of writes since the key was created. */
	bool deleted; /**< In a watch: the key was deleted. */
} bw_store_kv_t;

/** A revision that the store had before a time. */
typedef struct bw_store_seen {
	int64_t revision; /**< 0: not known. */
	int64_t ms; /**< As of bw_clock_now_ms(). */
} bw_store_seen_t;

/** How a call went, for logs; adapters may leave it empty. */
typedef struct bw_store_trace {
	bw_cause_t cause; /**< Why it failed. */
	uint32_t copies; /**< Times that it was sent. */
	int64_t queued_ms; /**< Waited in this process for a connection. */
	int64_t took_ms; /**< With that. */
	bool kept_connection; /**< It had taken a call before. */
} bw_store_trace_t;

/**
 * Reply to a call.
 *
 * The status BW_EUNAVAIL says that the call had no effect, BW_ELOST that a
 * write may have taken effect, BW_ENOTFOUND that there is no such key or lease,
 * and BW_ESTALE that the store no longer has the history that a watch needs.
 */
typedef struct bw_store_reply {
	bw_status_t status;
	bool succeeded; /**< All expectations of a transaction held. */
	int64_t revision; /**< Revision of the store. */
	int64_t lease_id;
	int64_t ttl_ms;
	bool has_more; /**< More pages follow this one. */
	const bw_store_kv_t *kvs; /**< Valid during the callback. */
	size_t kv_count;
	bw_store_trace_t trace;
} bw_store_reply_t;

/** Receives the reply to a call, or events of a watch. */
typedef void (*bw_store_done_fn)(void *ctx, const bw_store_reply_t *reply);

/** A compare-and-swap: writes @p key if its mod revision is as expected. */
typedef struct bw_store_cas {
	const char *key;
	const char *value; /**< NULL deletes the key. */
	size_t bytes;
	int64_t mod_revision; /**< Expected; 0: the key must not exist. */
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

/** Writes that are applied atomically if all expectations hold. */
typedef struct bw_store_txn {
	const bw_store_expect_t *expects;
	uint32_t expect_count;
	const bw_store_write_t *writes;
	uint32_t write_count;
} bw_store_txn_t;

/** Request for one page of the keys with a prefix, in key order. */
typedef struct bw_store_page {
	const char *prefix;
	const char *after; /**< Last key of the previous page, or NULL. */
	bool allow_stale; /**< Data may be seconds old; cheaper. */
} bw_store_page_t;

/** A watch in progress. */
typedef struct bw_store_watch bw_store_watch_t;

/** Operations of an adapter; all return before their callback is called. */
typedef struct bw_store_ops {
	/** Reads all keys with a prefix. */
	void (*range)(void *impl, const char *prefix, bw_store_done_fn done,
		      void *ctx);
	/** Does one compare-and-swap; a failed one replies with the key. */
	void (*cas)(void *impl, const bw_store_cas_t *cas,
		    bw_store_done_fn done, void *ctx);
	/** Grants a lease; the reply has its identifier and duration. */
	void (*lease_grant)(void *impl, int64_t ttl_ms, bw_store_done_fn done,
			    void *ctx);
	/** Renews a lease. */
	void (*lease_keepalive)(void *impl, int64_t lease_id,
				bw_store_done_fn done, void *ctx);
	/** Ends a lease; the store deletes the keys attached to it. */
	void (*lease_revoke)(void *impl, int64_t lease_id,
			     bw_store_done_fn done, void *ctx);
	/**
	 * Reports changes of keys with a prefix from a revision on. A reply
	 * with a status other than BW_OK ends the watch.
	 */
	bw_store_watch_t *(*watch)(void *impl, const char *prefix,
				   int64_t revision, bw_store_done_fn event,
				   void *ctx);
	/** Ends a watch; its callback is not called again. */
	void (*watch_end)(void *impl, bw_store_watch_t *watch);
	/**
	 * Does a transaction; a failed one replies with the current values of
	 * the expected keys. NULL in adapters without it, as are page and get.
	 */
	void (*txn)(void *impl, const bw_store_txn_t *txn,
		    bw_store_done_fn done, void *ctx);
	/** Reads one page of the keys with a prefix. */
	void (*page)(void *impl, const bw_store_page_t *page,
		     bw_store_done_fn done, void *ctx);
	/**
	 * Reads the changes of keys with a prefix after a revision; the reply's
	 * revision is where the next call continues. BW_ESTALE when the store
	 * no longer has them all. NULL in adapters without it.
	 */
	void (*changes)(void *impl, const char *prefix, int64_t after,
			bw_store_done_fn done, void *ctx);
	/** Reads one key; BW_ENOTFOUND when it does not exist. */
	void (*get)(void *impl, const char *key, bw_store_done_fn done,
		    void *ctx);
	/** Ends all calls and watches without callbacks. */
	void (*destroy)(void *impl);
} bw_store_ops_t;

/** A store: an adapter's operations and its state. */
typedef struct bw_store {
	const bw_store_ops_t *ops;
	void *impl;
} bw_store_t;

#endif
