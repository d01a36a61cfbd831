/**
 * @file
 * Counts the orders to machines that are in progress, to tell whether one may
 * still be carried out. A controller that gives its role up tells the other
 * nodes so only when none may be, as the next one then gives orders at once.
 */
#ifndef BW_FLEET_MACHINE_CALLS_H
#define BW_FLEET_MACHINE_CALLS_H

#include "fleet/interfaces.h"

typedef struct bw_machine_calls bw_machine_calls_t;

/** @param api passes the calls on; copied, must outlive all of them */
bw_machine_calls_t *bw_machine_calls_create(const bw_machine_api_t *api);
/** Its calls in progress still end. */
void bw_machine_calls_destroy(bw_machine_calls_t *c);

/** Returns the same interface, whose orders are counted. */
bw_machine_api_t bw_machine_calls_api(bw_machine_calls_t *c);

/**
 * Calls a function for each machine that was ordered in the last while.
 * @param within_ms how long ago at the most
 */
void bw_machine_calls_recent(const bw_machine_calls_t *c, int64_t now_ms,
			     int64_t within_ms,
			     void (*fn)(void *ctx, const char *machine),
			     void *ctx);

/** Answers orders to a machine that it is busy, up to a time: another node has
 *  ordered it a short time ago. */
void bw_machine_calls_hold(bw_machine_calls_t *c, const char *machine,
			   int64_t until_ms);

/** Returns whether no order may be carried out any more: each has an answer, or
 *  was sent long ago. */
bool bw_machine_calls_settled(const bw_machine_calls_t *c, int64_t now_ms);

#endif
