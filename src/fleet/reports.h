/**
 * @file
 * What the owners of pools report to the node that directs machines, and the
 * orders that go back to them.
 */
#ifndef BW_FLEET_REPORTS_H
#define BW_FLEET_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"
#include "wire/bramley.pb-c.h"

/** Age up to which a report is acted on. */
#define BW_REPORT_FRESH_MS 500

typedef struct bw_reports bw_reports_t;

/** A worker in a report. */
typedef struct bw_worker_report {
	char *id;
	uint32_t tasks;
	uint32_t lasting; /**< Of the tasks, those that last. */
	bool idle; /**< Nothing runs or may run on it. */
	bool emptied; /**< Its owner starts nothing on it. */
	bool reachable; /**< It answers and is to stay. */
} bw_worker_report_t;

/** What a worker's owner is told to do with it. */
typedef enum bw_worker_order {
	BW_WORKER_EMPTY, /**< Start nothing on it. */
	BW_WORKER_DUE, /**< Use it last: it is due for upkeep. */
	BW_WORKER_DEAD, /**< It has ended. */
	BW_WORKER_ORDER_COUNT
} bw_worker_order_t;

bw_reports_t *bw_reports_create(void);
void bw_reports_destroy(bw_reports_t *r);

/** Packs a pool's report into @p frame, and passes that to a function. */
void bw_reports_pack(const char *pool, uint64_t fence, const bw_sched_t *sched,
		     int64_t now_ms,
		     void (*send)(void *ctx, const Bramley__Frame *frame),
		     void *ctx);

/** Takes a report. */
void bw_reports_take(bw_reports_t *r, int64_t now_ms,
		     const Bramley__PoolReport *report);

/** Whether a pool has reported lately. */
bool bw_reports_fresh(const bw_reports_t *r, int64_t now_ms, const char *pool);

/** Demand of a pool; zeros without a report. */
bw_pool_demand_t bw_reports_demand(const bw_reports_t *r, const char *pool);

/** A worker of a pool, or NULL. */
const bw_worker_report_t *bw_reports_worker(const bw_reports_t *r,
					    const char *pool, const char *id);

/** Forgets the orders of the last round. */
void bw_reports_clear_orders(bw_reports_t *r);

/** Adds an order about a worker. */
void bw_reports_order(bw_reports_t *r, const char *pool, const char *worker,
		      bw_worker_order_t order);

/** Tells that new workers of a pool are on their way. */
void bw_reports_await(bw_reports_t *r, const char *pool);

/** Passes the orders for each pool to a function. */
void bw_reports_send_orders(bw_reports_t *r,
			    void (*send)(void *ctx, const char *pool,
					 const Bramley__Frame *frame),
			    void *ctx);

/** Carries out an order for a pool. */
void bw_reports_apply_order(bw_sched_t *sched, const Bramley__PoolOrder *order);

/** Ends what the last order asked for, since no newer one has come. */
void bw_reports_uncordon_all(bw_sched_t *sched);

#endif
