/**
 * @file
 * Reports from the owners of pools to the controller, the node that directs
 * machines, and the controller's orders to the owners.
 */
#ifndef BW_FLEET_REPORTS_H
#define BW_FLEET_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"
#include "wire/bramley.pb-c.h"

/** Age up to which a report is used for decisions. */
#define BW_REPORT_FRESH_MS 500

typedef struct bw_reports bw_reports_t;

/** A worker in a report. */
typedef struct bw_worker_report {
	char *id;
	uint32_t tasks;
	uint32_t lasting; /**< How many of the tasks are lasting. */
	bool idle; /**< No task runs or may still run on it. */
	bool cordoned; /**< Its owner evacuates it and starts no tasks on it. */
	bool reachable; /**< It answers and is not draining. */
	bool silent; /**< Its owner does not hear it. */
	int64_t started_ms; /**< Unix time of its start; 0: not known. */
} bw_worker_report_t;

/** What the controller orders the owner to do with a worker. */
typedef enum bw_worker_order {
	BW_WORKER_CORDON, /**< Start no tasks on it, and move its tasks. */
	BW_WORKER_MAINTENANCE_DUE, /**< Prefer other workers to it. */
	BW_WORKER_DEAD, /**< Treat it as ended. */
	BW_WORKER_ORDER_COUNT
} bw_worker_order_t;

bw_reports_t *bw_reports_create(void);
void bw_reports_destroy(bw_reports_t *r);

/**
 * Builds a pool's report from the state of its scheduler, and passes it to
 * @p send, which must not keep it.
 */
void bw_reports_pack(const char *pool, uint64_t fence, const bw_sched_t *sched,
		     int64_t now_ms,
		     void (*send)(void *ctx, const Bramley__Frame *frame),
		     void *ctx);

/** Records a report, in place of the pool's earlier one; ignores that of an
 *  earlier owner. */
void bw_reports_record(bw_reports_t *r, int64_t now_ms,
		       const Bramley__PoolReport *message);

/** Returns whether a pool's last report is recent enough to be used. */
bool bw_reports_is_fresh(const bw_reports_t *r, int64_t now_ms,
			 const char *pool);

/** Returns a pool's reported demand; zeros without a report. */
bw_pool_demand_t bw_reports_demand(const bw_reports_t *r, const char *pool);

/** Returns a worker of a pool's last report, or NULL. */
const bw_worker_report_t *bw_reports_worker(const bw_reports_t *r,
					    const char *pool, const char *id);

/** Calls a function for each worker of a pool's last report. */
void bw_reports_foreach_worker(const bw_reports_t *r, const char *pool,
			       void (*fn)(void *ctx, const char *pool,
					  const bw_worker_report_t *worker),
			       void *ctx);

/** Removes all orders, to begin a new round. */
void bw_reports_clear_orders(bw_reports_t *r);

/** Adds another order about a worker; none if the identifier is "". */
void bw_reports_add_order(bw_reports_t *r, const char *pool, const char *worker,
			  bw_worker_order_t order);

/** Why a worker has ended, as in messages. */
typedef enum bw_worker_end {
	BW_WORKER_END_ORDERED, /**< Its machine was moved or maintained. */
	BW_WORKER_END_UNLISTED /**< No machine runs it; it may have crashed. */
} bw_worker_end_t;

/**
 * Adds the order to treat a worker as ended; none if the identifier is "".
 * @param started_ms of the boot that has ended; later ones go on; 0: any
 */
void bw_reports_add_dead(bw_reports_t *r, const char *pool, const char *worker,
			 int64_t started_ms, bw_worker_end_t cause);

/** Adds to a pool's order that new workers will start soon. */
void bw_reports_expect_workers(bw_reports_t *r, const char *pool);

/** Passes each pool's orders as one message to @p send. */
void bw_reports_send_orders(bw_reports_t *r,
			    void (*send)(void *ctx, const char *pool,
					 const Bramley__Frame *frame),
			    void *ctx);

/** Carries out a controller's order in a pool's scheduler. */
void bw_reports_apply_order(bw_sched_t *sched, int64_t now_ms,
			    const Bramley__PoolOrder *order);

/** Uncordons all workers, as the controller has stopped sending orders. */
void bw_reports_uncordon_all(bw_sched_t *sched);

#endif
