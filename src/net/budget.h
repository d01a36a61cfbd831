/**
 * @file
 * Bounds of what a server holds for connections whose requests are not whole:
 * their number, the bytes of their bodies all together, and the time in which
 * they bring nothing.
 *
 * A connection moves when a request begins or ends, and when the bytes of its
 * body that have come since the last move are at least a sixteenth of what it
 * holds. When a bound is met, the one whose last move is longest ago is closed.
 * One that has brought all of its request is never chosen, and one that holds
 * little only when no other one holds much.
 *
 * This is decision code: no I/O, no clock. Times are in milliseconds of any
 * steady clock.
 */
#ifndef BW_NET_BUDGET_H
#define BW_NET_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** A body up to this size counts as a small one. */
#define BW_BUDGET_SMALL_BYTES ((uint64_t)16384)

/** Bounds; 0 is none. */
typedef struct bw_budget_limits {
	uint32_t connections_max;
	uint64_t bytes_max; /**< Of all bodies together. */
	int64_t head_wait_ms; /**< Until the head of a request is whole. */
	int64_t body_still_ms; /**< In which a body does not move. */
} bw_budget_limits_t;

/** Why a request was refused or its connection was closed. */
typedef enum bw_budget_cause {
	BW_BUDGET_REFUSED, /**< No memory for its body: 503. */
	BW_BUDGET_CLOSED_MEMORY, /**< Closed to make room for another body. */
	BW_BUDGET_CLOSED_CONNECTIONS, /**< There were too many. */
	BW_BUDGET_CLOSED_HEAD, /**< The head did not become whole in time. */
	BW_BUDGET_CLOSED_STILL, /**< The body stood still. */
	BW_BUDGET_CLOSED_LONG, /**< It sent on after its body was refused. */
	BW_BUDGET_CAUSE_COUNT
} bw_budget_cause_t;

/** What a connection is doing. */
typedef enum bw_budget_state {
	BW_BUDGET_OUT, /**< Not counted. */
	BW_BUDGET_WAITING, /**< Has not brought the head of a request. */
	BW_BUDGET_SMALL, /**< Is bringing a body, of which little is held. */
	BW_BUDGET_LARGE, /**< The same, of which much is held. */
	BW_BUDGET_SERVED, /**< Its request is whole. */
	BW_BUDGET_STATE_COUNT
} bw_budget_state_t;

/** A connection, initialised with zeros; part of an object of the caller. */
typedef struct bw_budget_item {
	GList link;
	bw_budget_state_t state;
	uint64_t held_bytes;
	uint64_t unmoved_bytes; /**< That came since @p moved_ms. */
	int64_t moved_ms; /**< When it last moved. */
} bw_budget_item_t;

/** All connections of a server; initialised by bw_budget_init(). */
typedef struct bw_budget {
	bw_budget_limits_t limits;
	GQueue queues[BW_BUDGET_STATE_COUNT]; /**< By the last move. */
	uint64_t held_bytes;
	uint64_t peak_bytes;
	uint32_t connections;
	uint32_t unsaid[BW_BUDGET_CAUSE_COUNT]; /**< Noted, not reported. */
	int64_t next_report_ms[BW_BUDGET_CAUSE_COUNT];
} bw_budget_t;

void bw_budget_init(bw_budget_t *b, const bw_budget_limits_t *limits);

/** A connection opened, or its request ended: it waits for another one. */
void bw_budget_wait(bw_budget_t *b, bw_budget_item_t *item, int64_t now_ms);

/** The head of a request is whole. */
void bw_budget_begin(bw_budget_t *b, bw_budget_item_t *item, int64_t now_ms);

/**
 * Counts bytes of a body as held.
 * @return false without a change if that would exceed the bound
 */
bool bw_budget_take(bw_budget_t *b, bw_budget_item_t *item, uint64_t bytes,
		    int64_t now_ms);

/** The request is whole; what is held stays counted until it ends. */
void bw_budget_serve(bw_budget_t *b, bw_budget_item_t *item);

/** Counts nothing of a body as held any more; its bytes were dropped. */
void bw_budget_release(bw_budget_t *b, bw_budget_item_t *item);

/** The connection closed, or is about to. */
void bw_budget_remove(bw_budget_t *b, bw_budget_item_t *item);

/** Whether there are more connections than the bound allows. */
bool bw_budget_is_crowded(const bw_budget_t *b);

/** Returns the connection to close so that another one can stay, or NULL. */
bw_budget_item_t *bw_budget_stalest(const bw_budget_t *b);

/**
 * Returns the connection to close so that @p item can hold more, or NULL if
 * nobody but itself and those that are served hold any bytes.
 */
bw_budget_item_t *bw_budget_holder(const bw_budget_t *b,
				   const bw_budget_item_t *item);

/** Returns a connection that has brought nothing for too long, or NULL. */
bw_budget_item_t *bw_budget_late(const bw_budget_t *b, int64_t now_ms,
				 bw_budget_cause_t *cause);

/** Notes a refusal or closure. */
void bw_budget_note(bw_budget_t *b, bw_budget_cause_t cause);

/**
 * Returns how many were noted for a cause since its last report, and takes them
 * as reported; 0 if a report came less than a second before.
 */
uint32_t bw_budget_report(bw_budget_t *b, bw_budget_cause_t cause,
			  int64_t now_ms);

/** Returns a cause's name in logs and metrics, a static string. */
const char *bw_budget_cause_name(bw_budget_cause_t cause);

/** Returns the names of all causes, for bw_metrics_define(). */
const char *const *bw_budget_cause_names(void);

#endif
