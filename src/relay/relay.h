/**
 * @file
 * The relay task: receives callers' requests from the front, has workers
 * selected by the placement, sends the requests to backend servers and
 * determines their outcome.
 */
#ifndef BW_RELAY_RELAY_H
#define BW_RELAY_RELAY_H

#include "base/mbox.h"
#include "once/once.h"
#include "place/place.h"
#include "relay/call.h"
#include "relay/front.h"
#include "relay/upstream.h"

struct ev_loop;

typedef struct bw_relay bw_relay_t;

/** Functions of other tasks that the relay calls. */
typedef struct bw_relay_ops {
	/** Sends a claim message to another entry; it may be lost. */
	void (*send_once_msg)(void *ctx, uint64_t peer,
			      const bw_once_msg_t *msg);
	/** Whether this entry may act as an owner of keys at @p now_us. */
	bool (*owner_valid)(void *ctx, int64_t now_us);
} bw_relay_ops_t;

typedef struct bw_relay_config {
	uint64_t self; /**< bw_name_id() of this entry. */
} bw_relay_config_t;

/** Creates a relay. @param ops and @param counters must outlive it */
bw_relay_t *bw_relay_create(struct ev_loop *loop,
			    const bw_relay_config_t *config,
			    const bw_relay_ops_t *ops, void *ctx,
			    bw_counters_t *counters);

/** Destroys a relay; no call may be open. */
void bw_relay_destroy(bw_relay_t *r);

/** Returns the mailbox for the front's messages, see bw_relay_msg_t. */
bw_mbox_t *bw_relay_mbox(bw_relay_t *r);

/** Sets the modules that are created after the relay. */
void bw_relay_attach(bw_relay_t *r, bw_place_t *place, bw_once_t *once,
		     bw_front_t *front, bw_upstream_t *upstream);

/**
 * Sends a verdict of this entry, as the owner of a key, to the claimant.
 * @param relay the bw_relay_t, given to bw_once_create() as the context
 */
void bw_relay_send_verdict(void *relay, uint64_t claimant,
			   const bw_once_msg_t *msg);

/** Attempt events, to be given to bw_upstream_create(). */
extern const bw_attempt_ops_t bw_relay_attempt_ops;

/** Starts an attempt at the selected worker, for bw_place_ops_t. */
void bw_relay_start_attempt(bw_relay_t *r, bw_place_request_t *place_request);

/** Ends a request that the placement refused, for bw_place_ops_t. */
void bw_relay_refuse(bw_relay_t *r, bw_place_request_t *place_request,
		     bw_refusal_t why, int64_t retry_after_us);

/**
 * Sets the table that maps paths to services.
 * @param table must stay valid until the next call
 */
void bw_relay_set_table(bw_relay_t *r, const bw_table_t *table);

/**
 * Sets whether requests are accepted. Otherwise they are refused as not run or,
 * if they have a key, with an unknown outcome.
 */
void bw_relay_set_ready(bw_relay_t *r, bool ready);

/** Handles a claim message of another entry. */
void bw_relay_handle_once_msg(bw_relay_t *r, uint64_t peer,
			      const bw_once_msg_t *msg);

/** Resends and times out claims; called periodically. */
void bw_relay_tick(bw_relay_t *r);

/** Returns the number of calls in progress. */
uint32_t bw_relay_calls(const bw_relay_t *r);

/** Returns the monotonic time in microseconds. */
int64_t bw_now_us(void);

/** Returns the Unix time in milliseconds. */
int64_t bw_wall_ms(void);

#endif
