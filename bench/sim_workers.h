/**
 * @file
 * Simulated workers of one pool, on a clock that the bench advances. They take
 * a scheduler's orders and end each run after the processing time of its task.
 */
#ifndef BW_BENCH_SIM_WORKERS_H
#define BW_BENCH_SIM_WORKERS_H

#include "sched/sched.h"

typedef struct sim_workers sim_workers_t;

/** Callbacks to the bench; called from within sim_workers_advance() only. */
typedef struct sim_workers_ops {
	/** A worker answers a heartbeat; @p call identifies the heartbeat. */
	void (*heartbeat_answered)(void *ctx, const char *worker,
				   const bw_heartbeat_answer_t *answer,
				   void *call);
	/** A run ended, by itself or because it was stopped. */
	void (*run_ended)(void *ctx, const bw_task_name_t *task,
			  bw_end_kind_t kind);
} sim_workers_ops_t;

/** Resources and processing time that a task needs. */
typedef struct sim_workers_demand {
	bw_resources_t need;
	int64_t work_ms; /**< In all, without a checkpoint. */
	bool checkpoints; /**< A stop saves the progress in a checkpoint. */
} sim_workers_demand_t;

/** Creates an empty set of workers; @p ops is copied. */
sim_workers_t *sim_workers_create(const sim_workers_ops_t *ops, void *ctx);

/** Destroys the workers; open heartbeats are not answered. */
void sim_workers_destroy(sim_workers_t *workers);

/** Adds a worker. */
void sim_workers_add(sim_workers_t *workers, const char *id,
		     const bw_resources_t *capacity);

/**
 * Starts a run.
 * @return BW_ORDER_OK, or BW_ORDER_NO_RESOURCES when its needs exceed what is
 * free
 */
bw_order_result_t sim_workers_start(sim_workers_t *workers, int64_t now_ms,
				    const bw_start_order_t *order,
				    const sim_workers_demand_t *demand);

/**
 * Stops a run, which ends a fixed time later. A run that would end before that
 * by itself, or has ended, is left alone.
 */
bw_order_result_t sim_workers_stop(sim_workers_t *workers, int64_t now_ms,
				   const bw_run_order_t *order);

/**
 * Accepts a heartbeat. It is answered, with @p call, when the order's wait has
 * passed or as soon as there is an end that the order does not acknowledge.
 */
void sim_workers_heartbeat(sim_workers_t *workers,
			   const bw_heartbeat_order_t *order, void *call);

/** Ends the runs and answers the heartbeats that are due. */
void sim_workers_advance(sim_workers_t *workers, int64_t now_ms);

/** Returns when a run ends or an answer is due next; INT64_MAX for never. */
int64_t sim_workers_next_ms(const sim_workers_t *workers);

/** Returns the CPU in use on all workers, in thousandths of a core. */
int64_t sim_workers_used_millis(const sim_workers_t *workers);

#endif
