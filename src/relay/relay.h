/**
 * @file
 * The relay task: takes callers' requests from the front, has them placed,
 * sends them to backend servers and settles their outcome.
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

/** What the relay asks of other tasks. */
typedef struct bw_relay_ops {
	/** Sends a claim message to another entry; may lose it. */
	void (*send_once_msg)(void *ctx, uint64_t peer,
			      const bw_once_msg_t *msg);
	/** Whether this entry may act as an owner of keys at @p now_us. */
	bool (*owner_valid)(void *ctx, int64_t now_us);
} bw_relay_ops_t;

typedef struct bw_relay_config {
	uint64_t self;
} bw_relay_config_t;

/** Creates a relay. @param place and @param once must outlive it */
bw_relay_t *bw_relay_create(struct ev_loop *loop,
			    const bw_relay_config_t *config,
			    const bw_relay_ops_t *ops, void *ctx,
			    bw_counters_t *counters);

/** Destroys a relay; no call may be open. */
void bw_relay_destroy(bw_relay_t *r);

/** Mailbox for the front's messages. */
bw_mbox_t *bw_relay_mbox(bw_relay_t *r);

/** Connects the parts that are created after the relay. */
void bw_relay_attach(bw_relay_t *r, bw_place_t *place, bw_once_t *once,
		     bw_front_t *front, bw_upstream_t *upstream);

/** Sends a verdict: the send function of the owner's record. */
void bw_relay_send_verdict(void *relay, uint64_t claimant,
			   const bw_once_msg_t *msg);

/** Effects for bw_upstream_create(). */
extern const bw_attempt_ops_t bw_relay_attempt_ops;

/** Starts an attempt: the start effect of the placement. */
void bw_relay_start_attempt(bw_relay_t *r, bw_place_request_t *preq);

/** Refuses a request: the refuse effect of the placement. */
void bw_relay_refuse(bw_relay_t *r, bw_place_request_t *preq, bw_refusal_t why,
		     int64_t retry_after_us);

/**
 * Puts the table in force that maps paths to services.
 * @param table must stay valid until the next call
 */
void bw_relay_set_table(bw_relay_t *r, const bw_table_t *table);

/** Says whether requests are taken; others are refused as not run. */
void bw_relay_set_ready(bw_relay_t *r, bool ready);

/** Takes a claim message of another entry. */
void bw_relay_handle_once_msg(bw_relay_t *r, uint64_t peer,
			      const bw_once_msg_t *msg);

/** Does what is due. */
void bw_relay_tick(bw_relay_t *r);

/** Calls in progress. */
uint32_t bw_relay_calls(const bw_relay_t *r);

/** Present time in microseconds, from a clock that never goes back. */
int64_t bw_now_us(void);

/** Present time of day in milliseconds since 1970. */
int64_t bw_wall_ms(void);

#endif
