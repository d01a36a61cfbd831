/**
 * @file
 * Internal types and functions of the placement module.
 */
#ifndef BW_PLACE_INTERNAL_H
#define BW_PLACE_INTERNAL_H

#include <glib.h>

#include "place/place.h"
#include "place/share.h"

/** Ranks of waiting requests; the lowest rank is served first. */
#define RANK_URGENT	      0
#define RANK_URGENT_SPILL     1
#define RANK_DEFERRABLE	      2
#define RANK_DEFERRABLE_SPILL 3
#define RANK_COUNT	      4

/** Time for which a peer's unmet slot request is kept. */
#define SLOT_REQUEST_TTL_US 30000

/** Slots of one worker lent to or borrowed from one peer. */
typedef struct loan {
	uint64_t peer;
	uint32_t count;
	bool peer_lost; /**< Lent: the borrower is lost; ends at expires_us. */
	int64_t expires_us;
} loan_t;

typedef struct place_worker {
	uint64_t id;
	char *name;
	char *address;
	char *zone;
	char *rack;
	uint32_t pool;
	uint32_t slots;
	uint32_t connections; /**< This entry's part of the connection limit. */
	uint32_t share; /**< Slots that this entry may use now. */
	uint32_t target; /**< Slots of this entry according to the view. */
	uint32_t lent;
	uint32_t borrowed;
	uint32_t busy;
	uint32_t busy_long; /**< Running requests that need own slots. */
	uint32_t available_index; /**< Position in the pool's list. */
	bool available; /**< Can take a request; in the pool's list. */
	bool same_zone; /**< In this entry's availability zone. */
	bool leaving;
	bool present; /**< In the current worker list. */
	bool was_over_share; /**< Reported over its share in the last ACK. */
	int64_t idle_since_us; /**< Start of idle time of borrowed slots. */
	bw_health_t health;
	GArray *loans_in; /**< loan_t, slots borrowed from peers. */
	GArray *loans_out; /**< loan_t, slots lent to peers. */
} place_worker_t;

/** A service's cell of the table for one pool. */
typedef struct route {
	uint32_t pool;
	uint32_t weight;
	uint32_t spill;
	uint32_t limit; /**< For all entries together; 0 means none. */
	uint32_t limit_share; /**< This entry's part that may be used now. */
	uint32_t limit_target; /**< This entry's part according to the view. */
	bool was_over_limit; /**< Reported over its part in the last ACK. */
	uint32_t running;
} route_t;

typedef struct place_service {
	char *name;
	uint64_t id;
	bool present;
	bw_service_t spec; /**< Its strings are not used. */
	GArray *routes; /**< route_t */
	GSequence *queue; /**< bw_place_request_t, ordered by deadline. */
	bw_retry_budget_t budget;
	int64_t service_us; /**< Moving average of attempt times. */
	int64_t backlog_since_us; /**< 0 while the queue is empty. */
	int64_t window_start_us;
	uint32_t window_starts; /**< Queued requests started in the window. */
	uint32_t rate_per_s; /**< Of the last fully backlogged window. */
	bool rate_valid;
	uint32_t waiting;
	uint32_t running;
	uint64_t started;
	uint64_t refused;
} place_service_t;

/** A slot request of a peer that is not fully served yet. */
typedef struct slot_request {
	uint64_t peer;
	int64_t stamp_us;
	int64_t expires_us;
	uint32_t rank;
	uint32_t count;
} slot_request_t;

/** Available workers are listed by zone, so that a choice scans only them. */
typedef enum locality { SAME_ZONE, OTHER_ZONE, LOCALITY_COUNT } locality_t;

typedef struct place_pool {
	char *name;
	uint64_t id;
	bool present;
	GArray *available[LOCALITY_COUNT]; /**< Indices of workers. */
	GArray *members; /**< Worker indices. */
	GArray *users; /**< Service indices with a route to this pool. */
	GArray *slot_requests; /**< slot_request_t */
	int64_t latency_us; /**< Moving average over all workers. */
	int64_t next_slot_request_us;
	int64_t slot_request_backoff_us;
	uint32_t peer_cursor;
	uint32_t ejected;
} place_pool_t;

/** State of another entry. */
typedef struct peer_state {
	uint64_t id;
	uint64_t epoch; /**< Latest view that it has acknowledged. */
	bool connected;
	bool all_over_share; /**< Its ACK could not list them all. */
	GHashTable *over_share; /**< Ids of workers and cells over its share. */
	bw_place_msg_t *returns; /**< Loans to return to it, or NULL. */
} peer_state_t;

struct bw_place {
	bw_place_config_t config;
	char *zone;
	const bw_place_ops_t *ops;
	void *ctx;
	bw_counters_t *counters;
	GRand *rand;
	GPtrArray *workers; /**< place_worker_t, NULL where free. */
	GPtrArray *services; /**< place_service_t */
	GPtrArray *pools; /**< place_pool_t */
	GHashTable *worker_index; /**< id to index + 1 */
	GArray *ejected; /**< Indices of workers to check in a tick. */
	GArray *borrowing; /**< Indices of workers with loans_in. */
	GArray *lent_to_lost; /**< Indices of workers lent to lost peers. */
	uint64_t epoch;
	GArray *members; /**< uint64_t */
	GPtrArray *peers; /**< peer_state_t */
	int64_t raise_after_us; /**< End of the takeover delay. */
	bool raise_pending; /**< Some share is below its target. */
	bool reported_over_share; /**< The last ACK listed workers or cells. */
	uint32_t waiting;
	int64_t last_prune_us;
	int64_t last_us; /**< Time of the last call. */
	int64_t next_slot_request_us; /**< Earliest next request. */
};

static inline place_worker_t *worker_at(const bw_place_t *p, uint32_t i)
{
	return g_ptr_array_index(p->workers, i);
}

static inline place_service_t *service_at(const bw_place_t *p, uint32_t i)
{
	return g_ptr_array_index(p->services, i);
}

static inline place_pool_t *pool_at(const bw_place_t *p, uint32_t i)
{
	return g_ptr_array_index(p->pools, i);
}

/* pick.c */

/** Returns how many requests this entry may start at a worker now. */
uint32_t place_free_slots(const bw_place_t *p, const place_worker_t *w);

/** Updates the lists of available workers after a worker changed. */
void place_update_available(bw_place_t *p, uint32_t worker);

/** Returns the number of available workers of a pool. */
uint32_t place_available_count(const place_pool_t *pool);

/** Returns a worker of a pool for a request, or BW_NONE. */
uint32_t place_pick_worker(bw_place_t *p, uint32_t pool,
			   const bw_place_request_t *r, int64_t now_us);

/** Returns a route below its limit with an available worker, or NULL. */
route_t *place_pick_route(bw_place_t *p, const place_service_t *s);

/** Returns a service's route to a pool, or NULL. */
route_t *place_find_route(const place_service_t *s, uint32_t pool);

/** Returns whether a route may start one more request. */
bool place_route_below_limit(const route_t *route);

/**
 * Returns whether a request may run longer than a lent slot allows, so that it
 * needs a slot of this entry's own share.
 */
bool place_is_long(const bw_place_t *p, const bw_place_request_t *r,
		   int64_t now_us);

/* queue.c */

/** Queues a request or refuses it. */
void place_enqueue(bw_place_t *p, bw_place_request_t *r, int64_t now_us);

/** Returns the first request of a queue, or NULL. */
bw_place_request_t *place_queue_head(const place_service_t *s);

/** Removes a request from its queue. */
void place_queue_remove(bw_place_t *p, bw_place_request_t *r);

/** Refuses waiting requests that can no longer complete in time. */
void place_prune(bw_place_t *p, int64_t now_us);

/** Updates the rates at which the services' queues empty. */
void place_measure_rates(bw_place_t *p, int64_t now_us);

/** Returns the rank of a service's first waiting request in a pool. */
uint32_t place_rank(const bw_place_t *p, const place_service_t *s,
		    const route_t *route, int64_t now_us);

/** Returns this entry's lowest rank waiting for a pool, or RANK_COUNT. */
uint32_t place_best_rank(const bw_place_t *p, uint32_t pool, int64_t now_us);

/** Refuses a request and counts the refusal. */
void place_refuse(bw_place_t *p, bw_place_request_t *r, bw_refusal_t why,
		  int64_t retry_after_us);

/* place.c */

/** Destroys a worker's state; NULL is allowed. */
void place_worker_free(gpointer worker);

/** Starts waiting requests while the pool has available workers. */
void place_dispatch(bw_place_t *p, uint32_t pool, int64_t now_us);

/** Calls place_dispatch() for every pool. */
void place_dispatch_all(bw_place_t *p, int64_t now_us);

/* loan.c */

/** Requests slots from peers in the pools that a service waits for. */
void place_request_slots(bw_place_t *p, const place_service_t *s,
			 int64_t now_us);

/** Repeats the slot requests of every service with waiting requests. */
void place_request_slots_all(bw_place_t *p, int64_t now_us);

/** Lends free slots of a pool to peers whose requests rank first. */
void place_serve_slot_requests(bw_place_t *p, uint32_t pool, int64_t now_us);

/** Returns idle and expired loans, and ends expired loans to lost peers. */
void place_loan_tick(bw_place_t *p, int64_t now_us);

void place_handle_slot_request(bw_place_t *p, uint64_t peer,
			       const bw_place_msg_t *msg, int64_t now_us);
void place_handle_grant(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
			int64_t now_us);
void place_handle_return(bw_place_t *p, uint64_t peer,
			 const bw_place_msg_t *msg, int64_t now_us);

/** Drops loans from a lost peer and sets an end to the loans to it. */
void place_loan_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us);

/* view.c */

/** Returns the state of a peer and creates it if it does not exist. */
peer_state_t *place_get_peer(bw_place_t *p, uint64_t id);

/** Recomputes the targets after a change of the view, table or workers. */
void place_update_targets(bw_place_t *p, int64_t now_us);

/**
 * Raises shares to their targets once the takeover delay is over and every
 * member has acknowledged the view, except where a peer is over its share.
 */
void place_raise_shares(bw_place_t *p, int64_t now_us);

/**
 * Sends the view in use and the workers and cells over their share.
 * @param peer the receiver, or 0 for all members
 * @param reply_requested whether the receivers reply with their own
 */
void place_send_ack(bw_place_t *p, uint64_t peer, bool reply_requested);

/**
 * Records the time of a call. After a pause of at least stall_us the other
 * entries may have declared this one lost, so its shares are set to 0 until
 * every member has acknowledged the view again.
 */
void place_record_time(bw_place_t *p, int64_t now_us);

/** Sends a new ACK when a worker or cell came down to its share. */
void place_report_reduced_usage(bw_place_t *p);

void place_handle_ack(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us);

/** Destroys a peer's state. */
void place_peer_free(gpointer peer);

#endif
