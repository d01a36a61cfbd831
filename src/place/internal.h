/**
 * @file
 * State shared by the files of the placement package.
 */
#ifndef BW_PLACE_INTERNAL_H
#define BW_PLACE_INTERNAL_H

#include <glib.h>

#include "place/place.h"
#include "place/share.h"

/** Ranks of waiting work, the first served first. */
#define RANK_URGENT	      0
#define RANK_URGENT_SPILL     1
#define RANK_DEFERRABLE	      2
#define RANK_DEFERRABLE_SPILL 3
#define RANK_COUNT	      4

/** Time for which a peer's unmet request for slots is remembered. */
#define WANT_KEPT_US 30000

/** Slots of one worker lent to, or borrowed from, one peer. */
typedef struct loan {
	uint64_t peer;
	uint32_t count;
	bool lost; /**< Lent: the peer is lost; lapses at until_us. */
	int64_t until_us;
} loan_t;

typedef struct place_worker {
	uint64_t id;
	char *name;
	char *address;
	char *zone;
	char *rack;
	uint32_t pool;
	uint32_t slots;
	uint32_t connections; /**< This entry's part of the cap. */
	uint32_t share; /**< Slots of this entry that may be used now. */
	uint32_t target; /**< Slots of this entry under the view. */
	uint32_t lent;
	uint32_t borrowed;
	uint32_t busy;
	uint32_t busy_long; /**< Running requests that need an own slot. */
	uint32_t open_at; /**< Position in the pool's open list. */
	bool open; /**< Can take a request. */
	bool near;
	bool leaving;
	bool present; /**< In the worker list in force. */
	bool was_owed; /**< Reported over its share in the last ACK. */
	int64_t idle_since_us; /**< Since when a borrowed slot is idle. */
	bw_health_t health;
	GArray *loans_in; /**< loan_t */
	GArray *loans_out; /**< loan_t */
} place_worker_t;

/** A service's use of a pool. */
typedef struct route {
	uint32_t pool;
	uint32_t weight;
	uint32_t spill;
	uint32_t limit; /**< Of the whole site; 0 is none. */
	uint32_t limit_share; /**< This entry's part that may be used now. */
	uint32_t limit_target; /**< This entry's part under the view. */
	bool was_owed; /**< Reported over its part in the last ACK. */
	uint32_t running;
} route_t;

typedef struct place_service {
	char *name;
	uint64_t id;
	bool present;
	bw_service_t spec; /**< Its strings are not used. */
	GArray *routes; /**< route_t */
	GSequence *queue; /**< bw_place_request_t by deadline. */
	bw_retry_budget_t budget;
	int64_t service_us; /**< Moving average of an attempt's time. */
	int64_t backlog_since_us; /**< 0 when nothing waits. */
	int64_t window_start_us;
	uint32_t window_starts; /**< Queued requests started in the window. */
	uint32_t rate_per_s; /**< Of the last whole backlogged window. */
	bool rate_valid;
	uint32_t waiting;
	uint32_t running;
	uint64_t started;
	uint64_t refused;
} place_service_t;

/** A peer's unmet request for slots. */
typedef struct want {
	uint64_t peer;
	int64_t stamp_us;
	int64_t until_us;
	uint32_t rank;
	uint32_t count;
} want_t;

/** Open workers are kept by distance, so that a choice looks at no others. */
typedef enum distance { NEAR, FAR, DISTANCE_COUNT } distance_t;

typedef struct place_pool {
	char *name;
	uint64_t id;
	bool present;
	GArray *open[DISTANCE_COUNT]; /**< Worker indices. */
	GArray *members; /**< Worker indices. */
	GArray *users; /**< Service indices with a route to this pool. */
	GArray *wants; /**< want_t */
	int64_t latency_us;
	int64_t next_ask_us;
	int64_t ask_backoff_us;
	uint32_t ask_cursor;
	uint32_t asks_open; /**< WANTs without an answer. */
	uint32_t ejected;
} place_pool_t;

/** What is known of another entry. */
typedef struct peer_state {
	uint64_t id;
	uint64_t epoch; /**< Highest view it has acknowledged. */
	bool up;
	bool all_owed;
	GHashTable *owed; /**< Ids of workers over its share. */
	bw_place_msg_t *returns; /**< Loans to give back to it, or NULL. */
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
	GArray *ejected; /**< Worker indices to look at in a tick. */
	GArray *borrowing; /**< Worker indices with loans_in. */
	GArray *lending; /**< Worker indices with lost loans_out. */
	uint64_t epoch;
	GArray *members; /**< uint64_t */
	GPtrArray *peers; /**< peer_state_t */
	int64_t settle_until_us;
	bool rising; /**< Some share is below its target. */
	bool owing; /**< The last ACK named workers over their share. */
	uint32_t waiting;
	int64_t last_prune_us;
	int64_t last_us; /**< Time of the last call. */
	int64_t next_ask_us; /**< When peers may be asked for slots again. */
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

/** Requests that this entry may start at a worker now. */
uint32_t place_free(const bw_place_t *p, const place_worker_t *w);

/** Brings the open lists in line after a worker changed. */
void place_refresh(bw_place_t *p, uint32_t worker);

/** Open workers of a pool. */
uint32_t place_open_count(const place_pool_t *pool);

/** Chooses a worker of a pool, or BW_NONE. */
uint32_t place_pick(bw_place_t *p, uint32_t pool, const bw_place_request_t *r,
		    int64_t now_us);

/** Chooses a route with room, or NULL. */
route_t *place_pick_route(bw_place_t *p, const place_service_t *s);

/** A service's route to a pool, or NULL. */
route_t *place_route(const place_service_t *s, uint32_t pool);

/** Whether a route may start one more request. */
bool place_route_has_room(const route_t *route);

/** Whether a request may only use a slot of this entry's own share. */
bool place_is_long(const bw_place_t *p, const bw_place_request_t *r,
		   int64_t now_us);

/* queue.c */

/** Queues a request or refuses it. */
void place_enqueue(bw_place_t *p, bw_place_request_t *r, int64_t now_us);

/** First request of a queue, or NULL. */
bw_place_request_t *place_queue_head(const place_service_t *s);

/** Takes a request out of its queue. */
void place_queue_remove(bw_place_t *p, bw_place_request_t *r);

/** Refuses waiting requests that can't be done in time any more. */
void place_prune(bw_place_t *p, int64_t now_us);

/** Updates the drain rates of the services. */
void place_measure_rates(bw_place_t *p, int64_t now_us);

/** Rank of a service's first waiting request in a pool. */
uint32_t place_rank(const bw_place_t *p, const place_service_t *s,
		    const route_t *route, int64_t now_us);

/** Best rank of this entry's work waiting for a pool, or RANK_COUNT. */
uint32_t place_best_rank(const bw_place_t *p, uint32_t pool, int64_t now_us);

/** Refuses a request and counts it. */
void place_refuse(bw_place_t *p, bw_place_request_t *r, bw_refusal_t why,
		  int64_t retry_after_us);

/* place.c */

/** Destroys a worker's state; NULL is allowed. */
void place_worker_free(gpointer worker);

/** Starts waiting requests while the pool has room. */
void place_dispatch(bw_place_t *p, uint32_t pool, int64_t now_us);

/** Does place_dispatch() for every pool. */
void place_dispatch_all(bw_place_t *p, int64_t now_us);

/* loan.c */

/** Asks peers for slots of the pools that a service waits for. */
void place_ask(bw_place_t *p, const place_service_t *s, int64_t now_us);

/** Asks again for every service with waiting requests. */
void place_ask_all(bw_place_t *p, int64_t now_us);

/** Lends free slots of a pool to peers whose work ranks first. */
void place_lend_to_wants(bw_place_t *p, uint32_t pool, int64_t now_us);

/** Lapses and returns loans that are due. */
void place_loan_tick(bw_place_t *p, int64_t now_us);

void place_take_want(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		     int64_t now_us);
void place_take_grant(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		      int64_t now_us);
void place_take_return(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		       int64_t now_us);

/** Drops loans from a lost peer and starts the lapse of loans to it. */
void place_loan_peer_lost(bw_place_t *p, uint64_t peer, int64_t now_us);

/* view.c */

/** State of a peer, made when missing. */
peer_state_t *place_peer(bw_place_t *p, uint64_t id);

/** Recomputes targets after a change of view or of the worker list. */
void place_divide(bw_place_t *p, int64_t now_us);

/** Raises shares to their targets where this is allowed by now. */
void place_raise_shares(bw_place_t *p, int64_t now_us);

/**
 * Tells the view in use and the workers over their share.
 * @param peer the receiver, or 0 for all
 * @param ask whether the receivers answer with their own
 */
void place_send_ack(bw_place_t *p, uint64_t peer, bool ask);

/**
 * Notes the time. After a pause in which others may have taken this entry for
 * lost, its shares are void until every member has answered again.
 */
void place_note_time(bw_place_t *p, int64_t now_us);

/** Tells peers again when workers came down to their share. */
void place_settle_debts(bw_place_t *p);

void place_take_ack(bw_place_t *p, uint64_t peer, const bw_place_msg_t *msg,
		    int64_t now_us);

/** Destroys a peer's state. */
void place_peer_free(gpointer peer);

#endif
