/**
 * @file
 * Chooses the workers that requests run on: routing by the table's weights and
 * limits, deadline queues, early refusal, and slots lent between entries.
 *
 * The code does no I/O, reads no clock and draws its random numbers from a
 * seed. Its effects go through bw_place_ops_t.
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

/** Why a request is refused. A refused request has not run. */
typedef enum bw_refusal {
	BW_REFUSE_TOO_LATE, /**< On arrival: it can't complete in time. */
	BW_REFUSE_QUEUE_DEADLINE, /**< Queued too long to complete in time. */
	BW_REFUSE_QUEUE_FULL,
	BW_REFUSE_NO_SERVICE, /**< The table has no such service. */
	BW_REFUSAL_COUNT
} bw_refusal_t;

/** The placement's state of a request; embedded in the owner's struct. */
typedef struct bw_place_request {
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t started_us; /**< Start of the current attempt. */
	void *queue_iter; /**< Position in its queue, or NULL. */
	uint32_t service; /**< From bw_place_service(). */
	uint32_t worker; /**< Worker of the current attempt, or BW_NONE. */
	uint32_t pool; /**< Pool of the current attempt. */
	uint32_t avoid; /**< Worker of the last failed attempt, or BW_NONE. */
	uint32_t attempts; /**< Attempts started. */
	bool counted_as_long; /**< Needs a slot of the entry's own share. */
} bw_place_request_t;

/** A number of slots of one worker. */
typedef struct bw_loan {
	uint64_t worker;
	uint32_t count;
} bw_loan_t;

/** Messages between the placements of two entries. */
typedef enum bw_place_msg_type {
	BW_PLACE_MSG_SLOT_REQUEST, /**< Requests slots in a pool. */
	BW_PLACE_MSG_GRANT, /**< Lends slots; empty when none are free. */
	BW_PLACE_MSG_RETURN, /**< Returns borrowed slots. */
	BW_PLACE_MSG_ACK, /**< Reports the view and what exceeds its share. */
	BW_PLACE_MSG_TYPE_COUNT
} bw_place_msg_type_t;

/** Maximum number of items in one message. */
#define BW_LOANS_MAX 64

typedef struct bw_place_msg {
	uint64_t pool; /**< SLOT_REQUEST, GRANT: pool id. */
	uint64_t epoch; /**< ACK: the sender's view. */
	int64_t stamp_us; /**< SLOT_REQUEST: sender's clock; GRANT: copy. */
	uint32_t type; /**< A bw_place_msg_type_t. */
	uint32_t count; /**< SLOT_REQUEST: number of slots. */
	uint32_t rank; /**< SLOT_REQUEST: 0 is served first. */
	bool all_over_share; /**< ACK: too many to list; any may be over. */
	bool reply_requested; /**< ACK: the receiver replies with its own. */
	uint32_t loan_count;
	bw_loan_t loans[BW_LOANS_MAX]; /**< ACK: workers, cells over share. */
} bw_place_msg_t;

/** Effects of decisions, called by the bw_place functions. */
typedef struct bw_place_ops {
	/** Starts an attempt of @p r at worker r->worker. */
	void (*start)(void *ctx, bw_place_request_t *r);
	/** Refuses @p r; the placement keeps no reference to it. */
	void (*refuse)(void *ctx, bw_place_request_t *r, bw_refusal_t why,
		       int64_t retry_after_us);
	/** Sends a message to another entry; it may get lost. */
	void (*send)(void *ctx, uint64_t peer, const bw_place_msg_t *msg);
} bw_place_ops_t;

typedef struct bw_place_config {
	uint64_t self; /**< bw_name_id() of this entry. */
	const char *zone; /**< Availability zone; copied. */
	int64_t loan_ttl_us; /**< Time for which a lent slot may be used. */
	int64_t run_max_us; /**< Longest time to the deadline on a lent slot. */
	/** Wait before the slots of a lost entry are used. */
	int64_t takeover_delay_us;
	/**
	 * Length of a pause of this entry after which the others may have
	 * declared it lost, so that its shares are void; 0 disables the check.
	 */
	int64_t stall_us;
	uint32_t seed;
	bool lending; /**< Whether slots are lent and borrowed. */
} bw_place_config_t;

/** State of a worker as operators see it. */
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

/** State of a service as operators see it. */
typedef struct bw_service_view {
	const char *name;
	uint32_t waiting;
	uint32_t running;
	int64_t service_us;
	uint64_t started;
	uint64_t refused;
} bw_service_view_t;

/**
 * Creates a placement without a table and a view.
 * @param ops effects; must outlive the placement
 * @param ctx passed to each effect
 * @param counters counters to update; must outlive the placement
 */
bw_place_t *bw_place_create(const bw_place_config_t *config,
			    const bw_place_ops_t *ops, void *ctx,
			    bw_counters_t *counters);

/** Destroys a placement; its requests are neither refused nor ended. */
void bw_place_destroy(bw_place_t *p);

/**
 * Applies a table and a worker list.
 *
 * Queued requests of removed services are refused; running requests continue.
 */
void bw_place_configure(bw_place_t *p, const bw_table_t *table,
			const bw_workers_t *workers, int64_t now_us);

/**
 * Applies a view: the list of entries among which slots are divided. Older
 * epochs are ignored.
 *
 * A larger share is used only after every other member has acknowledged the
 * view and, where an entry left, after the takeover delay.
 * @param members identifiers of the entries, this one included
 */
void bw_place_set_view(bw_place_t *p, uint64_t epoch, const uint64_t *members,
		       uint32_t member_count, int64_t now_us);

/** Returns the index of a service by name, or BW_NONE. */
uint32_t bw_place_service(const bw_place_t *p, const char *name);

/** Initializes a request before its first bw_place_submit(). */
void bw_place_request_init(bw_place_request_t *r, uint32_t service,
			   int64_t arrived_us, int64_t deadline_us);

/** Starts, queues or refuses a request. */
void bw_place_submit(bw_place_t *p, bw_place_request_t *r, int64_t now_us);

/** Records the end of the current attempt and frees its slot. */
void bw_place_finish(bw_place_t *p, bw_place_request_t *r,
		     bw_attempt_result_t result, int64_t now_us);

/** Decides on a retry of a failed request and charges the budget for it. */
bw_retry_verdict_t bw_place_retry(bw_place_t *p, const bw_place_request_t *r,
				  bool once, bool response_started,
				  bw_attempt_result_t result, int64_t now_us);

/** Removes a queued request; a running one needs bw_place_finish(). */
void bw_place_cancel(bw_place_t *p, bw_place_request_t *r);

/** Handles a message from another entry. */
void bw_place_receive(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us);

/** Records that the link to another entry broke or timed out. */
void bw_place_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us);

/** Records that a link to another entry was established. */
void bw_place_peer_up(bw_place_t *p, uint64_t peer, int64_t now_us);

/** Runs the periodic work; called every few milliseconds. */
void bw_place_tick(bw_place_t *p, int64_t now_us);

/** Returns the address of a worker by index. */
const char *bw_place_worker_address(const bw_place_t *p, uint32_t worker);

/** Returns the name of a worker by index. */
const char *bw_place_worker_name(const bw_place_t *p, uint32_t worker);

/** Returns the number of worker indices, including unused ones. */
uint32_t bw_place_worker_count(const bw_place_t *p);

/** Fills in the state of a worker; returns false for an unused index. */
bool bw_place_worker_view(const bw_place_t *p, uint32_t worker,
			  bw_worker_view_t *out);

/** Returns the number of service indices, including removed services. */
uint32_t bw_place_service_count(const bw_place_t *p);

/** Fills in the state of a service; returns false for a removed one. */
bool bw_place_service_view(const bw_place_t *p, uint32_t service,
			   bw_service_view_t *out);

/** Returns the number of requests waiting in all queues. */
uint32_t bw_place_waiting(const bw_place_t *p);

/** Returns the name of a refusal, a static string. */
const char *bw_refusal_name(bw_refusal_t why);

#endif
