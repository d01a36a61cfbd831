/**
 * @file
 * Order in which tenants are served when a pool is short of room, after
 * weighted dominant resource fairness (Ghodsi et al., NSDI 2011): what a tenant
 * has is the part of the pool that it uses of the resource of which it uses the
 * largest part. The jobs of tenants that have no more than their due go first,
 * in the order of the jobs; then those of whoever has the least of its due.
 * Whatever room is left goes to whoever waits. Also which jobs a tenant is
 * owed, by a token bucket.
 */
#ifndef BW_SCHED_FAIR_H
#define BW_SCHED_FAIR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "job/job.h"

/** A tenant in the order. All zero but the weight at first. */
typedef struct bw_fair_party {
	double weight; /**< 0 or less counts as very little. */
	bw_resources_t used; /**< Of the pool, at present. */
	GQueue waiting; /**< Its items; internal. */
} bw_fair_party_t;

/** What a tenant is owed: jobs a second. All zero at first. */
typedef struct bw_fair_rate {
	bool begun;
	double tokens;
	int64_t at_ms;
} bw_fair_rate_t;

typedef struct bw_fair bw_fair_t;

bw_fair_t *bw_fair_create(void);
void bw_fair_destroy(bw_fair_t *f);

/** Returns the largest part of a pool that a party uses of any resource, per
 *  weight. */
double bw_fair_share(const bw_fair_party_t *party,
		     const bw_resources_t *capacity);

/** Begins a round; all items of the last one have been taken. */
void bw_fair_begin(bw_fair_t *f, const bw_resources_t *capacity);

/** Adds an item of a party; the order of the calls is that of the items. */
void bw_fair_add(bw_fair_t *f, bw_fair_party_t *party, void *item);

/** Takes the next item; NULL: none is left. What has been used for the item
 *  before is in its party by now. */
void *bw_fair_next(bw_fair_t *f);

/** Whether the item that was taken last may use more before the others' turn.
 */
bool bw_fair_goes_on(const bw_fair_t *f);

/** Puts the item that was taken last back, as the first of its party. */
void bw_fair_put_back(bw_fair_t *f);

/**
 * Whether a job is owed to a tenant; to be called once for each job.
 * @param weight jobs a second
 * @param at_ms when it arrived; earlier times than before count as the same
 */
bool bw_fair_owed(bw_fair_rate_t *rate, double weight, int64_t at_ms);

#endif
