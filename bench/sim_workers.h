/**
 * @file
 * Workers of one pool that run tasks in a time that the bench passes in.
 */
#ifndef BW_BENCH_SIM_WORKERS_H
#define BW_BENCH_SIM_WORKERS_H

#include "sched/sched.h"

typedef struct crew crew_t;

/** What a bench is told; called from within crew_run() only. */
typedef struct crew_ops {
	/** A worker answers a hold. */
	void (*held)(void *ctx, const char *worker,
		     const bw_heartbeat_answer_t *answer, void *call);
	/** A run ended, also when it was stopped. */
	void (*ended)(void *ctx, const bw_task_name_t *task,
		      bw_end_kind_t kind);
} crew_ops_t;

/** What a task takes. */
typedef struct crew_work {
	bw_resources_t need;
	int64_t work_ms; /**< On a worker, from its beginning. */
	bool checkpoints; /**< A stop keeps what was done. */
} crew_work_t;

crew_t *crew_create(const crew_ops_t *ops, void *ctx);
void crew_destroy(crew_t *crew);

void crew_add(crew_t *crew, const char *id, const bw_resources_t *room);

/** Carries out an order to start, if there is room. */
bw_order_result_t crew_start(crew_t *crew, int64_t now_ms,
			     const bw_start_order_t *order,
			     const crew_work_t *work);

/** Carries out an order to stop; the run ends within the time to stop. */
bw_order_result_t crew_stop(crew_t *crew, int64_t now_ms,
			    const bw_run_order_t *order);

/** Takes a hold, answered later with @p call. */
void crew_hold(crew_t *crew, const bw_heartbeat_order_t *order, void *call);

/** Ends what is over and answers holds. */
void crew_run(crew_t *crew, int64_t now_ms);

/** When something is next to be done; INT64_MAX: never. */
int64_t crew_next_ms(const crew_t *crew);

/** Processor in use, in thousandths. */
int64_t crew_used_millis(const crew_t *crew);

#endif
