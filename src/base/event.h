/**
 * @file
 * Event lines on standard output, one for each decision: "time part event
 * name=value ...".
 *
 * Lines are buffered and written without blocking. Each kind has a rate by its
 * class, and all kinds share a bound in bytes; what exceeds them, or does not
 * fit while nobody reads, is counted and told. Messages of libraries, sent
 * through GLib's structured logging, become lines too.
 */
#ifndef BW_BASE_EVENT_H
#define BW_BASE_EVENT_H

#include <stdarg.h>
#include <stdint.h>

#include <glib.h>

struct ev_loop;

/** Kinds of events, by part; eventlist.c tells their fields. */
typedef enum bw_event_kind {
	BW_EVENT_MAIN_STARTED,
	BW_EVENT_MAIN_STOPPING,
	BW_EVENT_MAIN_STOPPED,
	BW_EVENT_MAIN_RELOAD,
	BW_EVENT_MAIN_MESSAGE,
	BW_EVENT_FLEET_STORE_LOST,
	BW_EVENT_FLEET_STORE_REGAINED,
	BW_EVENT_FLEET_CONFIG,
	BW_EVENT_FLEET_CONFIG_OLDER,
	BW_EVENT_FLEET_CONFIG_UNREADABLE,
	BW_EVENT_FLEET_WAVE_UNREADABLE,
	BW_EVENT_FLEET_OPERATORS_UNSERVED,
	BW_EVENT_FLEET_NODE,
	BW_EVENT_FLEET_POOL_LOST,
	BW_EVENT_FLEET_POOL_HANDED_OVER,
	BW_EVENT_FLEET_PREDECESSOR_STOPPED,
	BW_EVENT_FLEET_LEFT,
	BW_EVENT_MEMBER_REGISTERED,
	BW_EVENT_MEMBER_LEASE_LOST,
	BW_EVENT_MEMBER_CLAIMED,
	BW_EVENT_MEMBER_OWNER,
	BW_EVENT_MEMBER_GIVEN_BACK,
	BW_EVENT_POOL_LOADED,
	BW_EVENT_POOL_STATE_UNREADABLE,
	BW_EVENT_POOL_SAVE_FAILED,
	BW_EVENT_POOL_HOLD_FAILED,
	BW_EVENT_POOL_THROTTLE_FAILED,
	BW_EVENT_POOL_STOP,
	BW_EVENT_POOL_REMOVED,
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
	BW_EVENT_SCHED_FILL_SHARE,
	BW_EVENT_SCHED_ORDERS,
	BW_EVENT_SCHED_SETTLED,
	BW_EVENT_SCHED_WORKER,
	BW_EVENT_SCHED_WORKER_DRAINING,
	BW_EVENT_SCHED_WORKER_GONE,
	BW_EVENT_SCHED_WORKER_DEAD,
	BW_EVENT_SCHED_WORKER_REBORN,
	BW_EVENT_CONTROLLER_POOL,
	BW_EVENT_CONTROLLER_MOVED,
	BW_EVENT_UPKEEP_WAVE,
	BW_EVENT_UPKEEP_RESERVE,
	BW_EVENT_UPKEEP_ORDERED,
	BW_EVENT_UPKEEP_DONE,
	BW_EVENT_UPKEEP_COMPLETED,
	BW_EVENT_SERVICE_REQUEST,
	BW_EVENT_SERVICE_REQUEST_REFUSED,
	BW_EVENT_DIRECTORY_ENTRY_UNREADABLE,
	BW_EVENT_KIND_COUNT
} bw_event_kind_t;

/** How many lines of a kind are written in a second. */
typedef enum bw_event_class {
	BW_EVENT_REQUEST, /**< Decisions that touch a job. */
	BW_EVENT_BELIEF, /**< Changes of what the process believes. */
	BW_EVENT_SELDOM, /**< Starts, stops, reloads, lost dependencies. */
	BW_EVENT_CLASS_COUNT
} bw_event_class_t;

/** Why a line was left out. */
typedef enum bw_event_loss {
	BW_EVENT_LOSS_RATE, /**< Its kind wrote enough in this second. */
	BW_EVENT_LOSS_BYTES, /**< The process wrote enough in this second. */
	BW_EVENT_LOSS_READER, /**< The buffer is full as nobody reads. */
	BW_EVENT_LOSS_COUNT
} bw_event_loss_t;

/** What is said of a kind. */
typedef struct bw_event_spec {
	const char *part; /**< Prefix of the part of the program. */
	const char *name; /**< A name without spaces. */
	bw_event_class_t class;
	const char *when;
	const char *fields; /**< Names, in their order. */
} bw_event_spec_t;

const bw_event_spec_t *bw_event_spec(bw_event_kind_t kind);

/** Lines of one kind of a class in a second. */
uint32_t bw_event_class_lines(bw_event_class_t which);

/** Name of a reason for metrics, a static string. */
const char *bw_event_loss_name(bw_event_loss_t loss);

/** Appends the table of all kinds, as docs/LOGS.md has it. */
void bw_event_print_table(GString *out);

/**
 * Starts to write; standard output becomes non-blocking.
 * @param loop on which lines are written every 100 ms
 * @param bytes_s bound of what is written in a second
 */
void bw_event_init(struct ev_loop *loop, int64_t bytes_s);

/** Writes one line; @p fmt has the fields that the kind's table tells. */
void bw_event(bw_event_kind_t kind, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** The same for a kind whose first field is the pool. */
void bw_event_of_pool(bw_event_kind_t kind, const char *pool, const char *fmt,
		      va_list args) __attribute__((format(printf, 3, 0)));

/** Lines that were left out so far, for any reason. */
uint64_t bw_event_dropped(void);

/** Lines that were left out so far for one reason. */
uint64_t bw_event_lost(bw_event_loss_t loss);

/** Lines that were written into the buffer so far. */
uint64_t bw_event_lines(void);

/** Bytes of these lines. */
uint64_t bw_event_bytes(void);

/** Forgets what is buffered; for benches whose reader is gone. */
void bw_event_drop_backlog(void);

/** Writes what is buffered, as far as that is possible at once. */
void bw_event_flush(void);

#endif
