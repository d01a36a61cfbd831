/**
 * @file
 * Event lines on standard output, one for each decision: "time part event
 * name=value ...".
 *
 * Lines are buffered and written without blocking. Each kind of event has a
 * line rate limit by its class, and all kinds share a byte rate limit. A line
 * above a limit, or that does not fit into the buffer because standard output
 * is not read, is dropped and counted; the next line of its kind has the number
 * as left_out. Messages that libraries send through GLib's structured logging
 * are written as lines too.
 */
#ifndef BW_BASE_EVENT_H
#define BW_BASE_EVENT_H

#include <stdarg.h>
#include <stdint.h>

#include <glib.h>

struct ev_loop;

/** Kinds of events, by part; eventlist.c lists their fields. */
typedef enum bw_event_kind {
	BW_EVENT_MAIN_STARTED,
	BW_EVENT_MAIN_STOPPING,
	BW_EVENT_MAIN_STOPPED,
	BW_EVENT_MAIN_RELOAD,
	BW_EVENT_MAIN_MESSAGE,
	BW_EVENT_FLEET_STORE_LOST,
	BW_EVENT_FLEET_STORE_REGAINED,
	BW_EVENT_FLEET_CONFIG,
	BW_EVENT_FLEET_CONFIG_REMARKS,
	BW_EVENT_FLEET_CONFIG_ASKED,
	BW_EVENT_FLEET_CONFIG_DOUBTED,
	BW_EVENT_FLEET_CONFIG_OLDER,
	BW_EVENT_FLEET_CONFIG_UNREADABLE,
	BW_EVENT_FLEET_WAVE_UNREADABLE,
	BW_EVENT_FLEET_OPERATORS_UNSERVED,
	BW_EVENT_FLEET_NODE,
	BW_EVENT_FLEET_POOL_LOST,
	BW_EVENT_FLEET_HANDOVER,
	BW_EVENT_FLEET_POOL_HANDED_OVER,
	BW_EVENT_FLEET_PREDECESSOR_STOPPED,
	BW_EVENT_FLEET_LEFT,
	BW_EVENT_FLEET_READ,
	BW_EVENT_FLEET_LATE,
	BW_EVENT_FLEET_QUOTAS_TOO_LARGE,
	BW_EVENT_MEMBER_REGISTERED,
	BW_EVENT_MEMBER_LEASE_LOST,
	BW_EVENT_MEMBER_RENEWAL_FAILED,
	BW_EVENT_MEMBER_CLAIMED,
	BW_EVENT_MEMBER_CLAIM_FAILED,
	BW_EVENT_MEMBER_OWNER,
	BW_EVENT_MEMBER_OWNER_GONE,
	BW_EVENT_MEMBER_GIVEN_BACK,
	BW_EVENT_MEMBER_UNREADABLE,
	BW_EVENT_POOL_LOADED,
	BW_EVENT_POOL_STATE_UNREADABLE,
	BW_EVENT_POOL_SAVE_FAILED,
	BW_EVENT_POOL_HOLD_FAILED,
	BW_EVENT_POOL_THROTTLE_FAILED,
	BW_EVENT_POOL_QUOTAS,
	BW_EVENT_POOL_STOP,
	BW_EVENT_POOL_REMOVED,
	BW_EVENT_POOL_SHORTENED,
	BW_EVENT_POOL_NOTICE_OLD,
	BW_EVENT_POOL_JOB_UNREADABLE,
	BW_EVENT_SCHED_JOB,
	BW_EVENT_SCHED_START,
	BW_EVENT_SCHED_STARTED,
	BW_EVENT_SCHED_END,
	BW_EVENT_SCHED_ADOPT,
	BW_EVENT_SCHED_OCCURRENCE_DONE,
	BW_EVENT_SCHED_JOB_FINISHED,
	BW_EVENT_SCHED_JOB_FORGOTTEN,
	BW_EVENT_SCHED_RUN_GONE,
	BW_EVENT_SCHED_RUN_MISSING,
	BW_EVENT_SCHED_STOP_UNKNOWN,
	BW_EVENT_SCHED_EVACUATE,
	BW_EVENT_SCHED_KEPT,
	BW_EVENT_SCHED_HELD,
	BW_EVENT_SCHED_END_UNREAD,
	BW_EVENT_SCHED_FILL_SHARE,
	BW_EVENT_SCHED_ORDERS,
	BW_EVENT_SCHED_SUSPENDED,
	BW_EVENT_SCHED_SETTLED,
	BW_EVENT_SCHED_WORKER,
	BW_EVENT_SCHED_WORKER_DRAINING,
	BW_EVENT_SCHED_WORKER_GONE,
	BW_EVENT_SCHED_WORKER_DEAD,
	BW_EVENT_SCHED_WORKER_REBORN,
	BW_EVENT_SCHED_SUSPECTED,
	BW_EVENT_SCHED_GIVEN_UP,
	BW_EVENT_SCHED_QUOTA,
	BW_EVENT_CONTROLLER_POOL,
	BW_EVENT_CONTROLLER_MOVED,
	BW_EVENT_CONTROLLER_LENDER,
	BW_EVENT_CONTROLLER_CAP,
	BW_EVENT_CONTROLLER_CAP_EXCEEDED,
	BW_EVENT_UPKEEP_WAVE,
	BW_EVENT_UPKEEP_RESERVE,
	BW_EVENT_UPKEEP_ORDERED,
	BW_EVENT_UPKEEP_DONE,
	BW_EVENT_UPKEEP_COMPLETED,
	BW_EVENT_UPKEEP_RECORD_UNREADABLE,
	BW_EVENT_FRONT_LIMIT,
	BW_EVENT_SERVICE_REQUEST,
	BW_EVENT_SERVICE_REQUEST_REFUSED,
	BW_EVENT_SERVICE_STORE_FAILED,
	BW_EVENT_SERVICE_COUNT_MISSING,
	BW_EVENT_DIRECTORY_ENTRY_UNREADABLE,
	BW_EVENT_KIND_COUNT
} bw_event_kind_t;

/** Classes of events, which set the line rate limit of a kind. */
typedef enum bw_event_class {
	BW_EVENT_REQUEST, /**< Requests, and decisions about a job. */
	BW_EVENT_BELIEF, /**< Changes in the process's view of the fleet. */
	BW_EVENT_SELDOM, /**< Starts, stops, reloads, lost dependencies. */
	BW_EVENT_CLASS_COUNT
} bw_event_class_t;

/** Why a line was dropped. */
typedef enum bw_event_drop {
	BW_EVENT_DROP_RATE, /**< Its kind reached its line rate limit. */
	BW_EVENT_DROP_BYTES, /**< The process reached its byte rate limit. */
	BW_EVENT_DROP_READER, /**< The buffer is full, output is not read. */
	BW_EVENT_DROP_COUNT
} bw_event_drop_t;

/** Description of a kind of event. */
typedef struct bw_event_spec {
	const char *part; /**< Part of the program that writes it. */
	const char *name; /**< Without spaces. */
	bw_event_class_t class;
	const char *when; /**< When it is written, for the documentation. */
	const char *fields; /**< Field names in order, separated by spaces. */
} bw_event_spec_t;

/** Returns the description of a kind, a static object. */
const bw_event_spec_t *bw_event_spec(bw_event_kind_t kind);

/** Returns how many lines each kind of a class may write in a second. */
uint32_t bw_event_class_lines(bw_event_class_t which);

/** Returns a reason's label value in metrics, a static string. */
const char *bw_event_drop_name(bw_event_drop_t why);

/** Appends the Markdown table of all kinds that docs/LOGS.md contains. */
void bw_event_print_table(GString *out);

/**
 * Starts writing event lines; makes standard output non-blocking.
 * @param loop loop that writes the buffered lines every 100 ms
 * @param bytes_s byte rate limit per second
 */
void bw_event_init(struct ev_loop *loop, int64_t bytes_s);

/** Writes one line; @p fmt must have the kind's fields in their order. */
void bw_event(bw_event_kind_t kind, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Like bw_event(), for a kind whose first field is the pool. */
void bw_event_of_pool(bw_event_kind_t kind, const char *pool, const char *fmt,
		      va_list args) __attribute__((format(printf, 3, 0)));

/** Returns the total number of lines dropped so far, over all reasons. */
uint64_t bw_event_dropped(void);

/** Returns the number of lines dropped so far for the reason @p why. */
uint64_t bw_event_dropped_for(bw_event_drop_t why);

/** Returns the number of lines added to the buffer so far. */
uint64_t bw_event_lines(void);

/** Returns the number of bytes added to the buffer so far. */
uint64_t bw_event_bytes(void);

/** Discards the buffered lines; for benchmarks that nothing reads. */
void bw_event_drop_backlog(void);

/** Writes as many buffered bytes as standard output accepts at once. */
void bw_event_flush(void);

#endif
