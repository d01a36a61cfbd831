/**
 * @file
 * Places requests on workers: routing by the table's weights and limits,
 * queues with deadlines, early refusal, and slots lent between entries.
 *
 * This is decision code: it does no I/O, keeps no clock and takes its
 * randomness from a seed. Its effects go through bw_place_ops_t.
 */
#ifndef BW_PLACE_PLACE_H
#define BW_PLACE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "place/health.h"
#include "place/retry.h"
#include "table/table.h"

typedef struct bw_place bw_place_t;

/** No worker, service or pool. */
#define BW_NONE UINT32_MAX

/** Why a request is refused; the request has not run. */
typedef enum bw_refusal {
	BW_REFUSE_TOO_LATE, /**< On arrival: it can't be done in time. */
	BW_REFUSE_QUEUE_DEADLINE, /**< Its time ran out while it waited. */
	BW_REFUSE_QUEUE_FULL,
	BW_REFUSE_NO_SERVICE, /**< The table has no such service any more. */
	BW_REFUSAL_COUNT
} bw_refusal_t;

/** A request as the placement sees it; embedded by the caller. */
typedef struct bw_place_request {
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t started_us; /**< Start of the current attempt. */
	void *queued; /**< Position in its queue, or NULL. */
	uint32_t service; /**< From bw_place_service(). */
	uint32_t worker; /**< Worker of the current attempt, or BW_NONE. */
	uint32_t pool; /**< Pool of the current attempt. */
	uint32_t avoid; /**< Worker that failed it before, or BW_NONE. */
	uint32_t attempts; /**< Attempts started. */
	bool holds_long; /**< Holds a slot of this entry's own share. */
} bw_place_request_t;

/** A number of slots of one worker. */
typedef struct bw_loan {
	uint64_t worker;
	uint32_t count;
} bw_loan_t;

/** Messages between the placements of two entries. */
typedef enum bw_place_msg_type {
	BW_PMSG_WANT, /**< Asks for slots in a pool. */
	BW_PMSG_GRANT, /**< Lends slots; empty when there are none. */
	BW_PMSG_RETURN, /**< Gives lent slots back. */
	BW_PMSG_ACK, /**< Tells the view in use and workers over its share. */
	BW_PMSG_TYPE_COUNT
} bw_place_msg_type_t;

/** Most items in one message. */
#define BW_LOANS_MAX 64

typedef struct bw_place_msg {
	uint64_t pool; /**< WANT, GRANT: pool id. */
	uint64_t epoch; /**< ACK: the sender's view. */
	int64_t stamp_us; /**< WANT: sender's clock; GRANT: copy of it. */
	uint32_t type; /**< A bw_place_msg_type_t. */
	uint32_t count; /**< WANT: slots asked for. */
	uint32_t rank; /**< WANT: rank of the waiting work, 0 is first. */
	bool all_over_share; /**< ACK: every worker may be over its share. */
	bool reply_requested; /**< ACK: the receiver answers with its own. */
	uint32_t loan_count;
	bw_loan_t loans[BW_LOANS_MAX]; /**< ACK: workers over their share. */
} bw_place_msg_t;

/** Effects of decisions; called from inside bw_place functions. */
typedef struct bw_place_ops {
	/** Starts an attempt of @p r at worker r->worker. */
	void (*start)(void *ctx, bw_place_request_t *r);
	/** Refuses @p r, which the placement no longer knows afterwards. */
	void (*refuse)(void *ctx, bw_place_request_t *r, bw_refusal_t why,
		       int64_t retry_after_us);
	/** Sends a message to another entry; may lose it. */
	void (*send)(void *ctx, uint64_t peer, const bw_place_msg_t *msg);
} bw_place_ops_t;

typedef struct bw_place_config {
	uint64_t self; /**< bw_name_id() of this entry. */
	const char *zone; /**< Availability zone; copied. */
	int64_t loan_ttl_us; /**< Time in which a lent slot may be used. */
	int64_t run_max_us; /**< Longest request on a lent slot. */
	int64_t takeover_delay_us; /**< Wait before taking a lost entry's slots.
				    */
	int64_t stall_us; /**< A pause after which others may have acted. */
	uint32_t seed;
	bool lending; /**< Whether slots are lent at all. */
} bw_place_config_t;

/** What operators are shown of a worker. */
typedef struct bw_worker_view {
	const char *name;
	const char *address;
	const char *zone;
	const char *rack;
	const char *pool;
	uint32_t slots;
	uint32_t share;
	uint32_t lent;
	uint32_t borrowed;
	uint32_t busy;
	bool leaving;
	bw_health_state_t health;
	int64_t latency_us;
} bw_worker_view_t;

/** What operators are shown of a service. */
typedef struct bw_service_view {
	const char *name;
	uint32_t waiting;
	uint32_t running;
	int64_t service_us;
	uint64_t started;
	uint64_t refused;
} bw_service_view_t;

/**
 * Creates a placement without a table or a view.
 * @param ops effects; must outlive the placement
 * @param ctx passed to each effect
 * @param counters counters to add to; must outlive the placement
 */
bw_place_t *bw_place_create(const bw_place_config_t *config,
			    const bw_place_ops_t *ops, void *ctx,
			    bw_counters_t *counters);

/** Destroys a placement; requests in it are forgotten. */
void bw_place_destroy(bw_place_t *p);

/**
 * Puts a table and a worker list in force.
 *
 * Queued requests of removed services are refused; running requests go on.
 */
void bw_place_configure(bw_place_t *p, const bw_table_t *table,
			const bw_workers_t *workers, int64_t now_us);

/**
 * Puts a view in force: the entries among which slots are divided.
 *
 * A larger share is used only when every other member has acknowledged the
 * view, and, where an entry left, after the settle time.
 * @param members identifiers of the entries, this one included
 */
void bw_place_set_view(bw_place_t *p, uint64_t epoch, const uint64_t *members,
		       uint32_t member_count, int64_t now_us);

/** Index of a service by name, or BW_NONE. */
uint32_t bw_place_service(const bw_place_t *p, const char *name);

/** Prepares a request for its first bw_place_submit(). */
void bw_place_request_init(bw_place_request_t *r, uint32_t service,
			   int64_t arrived_us, int64_t deadline_us);

/** Takes a request: starts it, queues it or refuses it. */
void bw_place_submit(bw_place_t *p, bw_place_request_t *r, int64_t now_us);

/** Notes the end of the current attempt, which frees its slot. */
void bw_place_finish(bw_place_t *p, bw_place_request_t *r,
		     bw_attempt_result_t result, int64_t now_us);

/** Decides whether a failed request is tried again; takes the budget. */
bw_retry_verdict_t bw_place_retry(bw_place_t *p, const bw_place_request_t *r,
				  bool once, bool answer_started,
				  bw_attempt_result_t result, int64_t now_us);

/** Removes a request that waits; a running one needs bw_place_finish(). */
void bw_place_cancel(bw_place_t *p, bw_place_request_t *r);

/** Takes a message of another entry. */
void bw_place_receive(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us);

/** Notes that the link to another entry broke or went silent. */
void bw_place_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us);

/** Notes that a link to another entry was set up. */
void bw_place_peer_up(bw_place_t *p, uint64_t peer, int64_t now_us);

/** Does what is due; called every few milliseconds. */
void bw_place_tick(bw_place_t *p, int64_t now_us);

/** Address of a worker by index. */
const char *bw_place_worker_address(const bw_place_t *p, uint32_t worker);

/** Name of a worker by index. */
const char *bw_place_worker_name(const bw_place_t *p, uint32_t worker);

/** Number of worker indices in use. */
uint32_t bw_place_worker_count(const bw_place_t *p);

/** @return false when the index holds no worker */
bool bw_place_worker_view(const bw_place_t *p, uint32_t worker,
			  bw_worker_view_t *out);

/** Number of service indices in use. */
uint32_t bw_place_service_count(const bw_place_t *p);

/** @return false when the index holds no service */
bool bw_place_service_view(const bw_place_t *p, uint32_t service,
			   bw_service_view_t *out);

/** Requests waiting in all queues. */
uint32_t bw_place_waiting(const bw_place_t *p);

/** Name of a refusal, a static string. */
const char *bw_refusal_name(bw_refusal_t why);

#endif
