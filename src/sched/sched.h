/**
 * @file
 * Decides for one pool: which task starts on which worker, when tasks are
 * stopped or throttled, and what callers are told.
 *
 * Pure: events come in with the present time, orders go out through callbacks.
 * Times named now_ms are of a clock that also runs while a VM is suspended;
 * wall_ms is Unix time and used for scheduled starts alone.
 */
#ifndef BW_SCHED_SCHED_H
#define BW_SCHED_SCHED_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/event.h"
#include "job/job.h"

typedef struct bw_sched bw_sched_t;

/** Limits of a pool, from the platform's settings. */
typedef struct bw_sched_config {
	int64_t grant_ms; /**< How long running tasks are granted at a time. */
	int64_t grant_ms_max; /**< Longest that any owner may grant. */
	int64_t outage_ms; /**< An owner may act this long past its lease. */
	int64_t stop_ms; /**< A stop takes at most this long. */
	int64_t retention_ms; /**< Finished jobs stay stored. */
	int64_t removed_ms; /**< Jobs gone from the store stay known so long. */
	uint64_t fence; /**< Fencing token of this ownership. */
} bw_sched_config_t;

/** A queue, from the operators' configuration. */
typedef struct bw_queue_config {
	const char *name;
	uint32_t priority; /**< 0 comes first. */
	uint32_t attempts_max; /**< Failed runs of a task; 0 is no limit. */
	double objective_factor; /**< Objective as a multiple of the longest
				    chain. */
	int64_t objective_offset_ms; /**< Added to the objective. */
	bool advised; /**< Workers for it must be asked for. */
} bw_queue_config_t;

/** A worker, from its registration. */
typedef struct bw_worker_info {
	const char *id;
	const char *address;
	bw_resources_t capacity;
	const char *const *labels;
	uint32_t label_count;
	const char *rack; /**< NULL if it tells none. */
	const char *machine; /**< On which it lives; NULL if it tells none. */
	int64_t started_ms; /**< Unix time of its start; 0 is not known. */
	bool draining;
} bw_worker_info_t;

/** How an order to a worker ended. */
typedef enum bw_order_result {
	BW_ORDER_OK,
	BW_ORDER_FENCED, /**< A higher fencing token has been seen. */
	BW_ORDER_OLD_RUN, /**< A run as high was stopped or ended there. */
	BW_ORDER_EXPIRED, /**< The grant had passed. */
	BW_ORDER_NO_RESOURCES,
	BW_ORDER_NO_TICKET,
	BW_ORDER_UNHEALTHY, /**< The worker did nothing. */
	BW_ORDER_OTHER_BOOT, /**< Another worker lives at the address. */
	BW_ORDER_REFUSED, /**< The order makes no sense to the worker. */
	BW_ORDER_NOT_SENT, /**< Had no effect. */
	BW_ORDER_LOST, /**< May take effect later. */
	BW_ORDER_RESULT_COUNT
} bw_order_result_t;

/** Name of a result for logs, a static string. */
const char *bw_order_result_name(bw_order_result_t result);

/** How a run ended. */
typedef enum bw_end_kind {
	BW_END_DONE,
	BW_END_FAILED,
	BW_END_STOPPED,
	BW_END_EXPIRED, /**< Its grant passed. */
	BW_END_GANG_BROKEN, /**< Another member of its gang ended. */
	BW_END_GANG_ALONE, /**< The others of its gang did not come. */
	BW_END_KIND_COUNT
} bw_end_kind_t;

/** Name of a kind of end for logs, a static string. */
const char *bw_end_kind_name(bw_end_kind_t kind);

/** A run that a worker holds. */
typedef struct bw_run_row {
	bw_task_name_t task;
	uint32_t run;
	const char *checkpoint; /**< "" is none. */
	uint32_t progress; /**< Percent; a task that lasts is at work at 100. */
	int64_t tail_ms; /**< Its own users' latency; cpu for other tasks. */
} bw_run_row_t;

/** A run that ended. */
typedef struct bw_end_row {
	uint64_t number; /**< Rises within a life of the worker. */
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
	const char *checkpoint;
} bw_end_row_t;

/** Answer to a hold. */
typedef struct bw_heartbeat_answer {
	bw_order_result_t result;
	int64_t sent_ms;
	int64_t clock_ms; /**< Worker's clock; with BW_ORDER_OK. */
	int64_t started_ms; /**< 0 is not told. */
	const bw_run_row_t *runs;
	uint32_t run_count;
	const bw_end_row_t *ends;
	uint32_t end_count;
} bw_heartbeat_answer_t;

/** Order to start a run. */
typedef struct bw_start_order {
	const char *worker;
	const char *address;
	bw_task_name_t task;
	uint32_t run;
	const char *text;
	int64_t grant_clock_ms; /**< End of the grant, on the worker's clock. */
	uint64_t fence;
	const char *checkpoint; /**< NULL is none. */
	const char *ticket; /**< NULL is none. */
	int64_t waited_ms; /**< Since the job was due. */
} bw_start_order_t;

/** Order to stop or throttle a run. */
typedef struct bw_run_order {
	const char *worker;
	const char *address;
	bw_task_name_t task;
	uint32_t run;
	uint32_t percent; /**< Of a throttle. */
	uint64_t fence;
} bw_run_order_t;

/** Order to renew a worker's grant and to list its runs. */
typedef struct bw_heartbeat_order {
	const char *worker;
	const char *address;
	int64_t grant_clock_ms; /**< 0: its clock is not known yet. */
	uint64_t fence;
	uint64_t acked; /**< Ends up to this number may be forgotten. */
	int64_t wait_ms; /**< The answer waits this long for an end. */
	int64_t now_ms; /**< When it is sent. */
} bw_heartbeat_order_t;

/** Orders and notices; called from within events. */
typedef struct bw_sched_ops {
	void (*start)(void *ctx, const bw_start_order_t *order);
	void (*stop)(void *ctx, const bw_run_order_t *order);
	void (*throttle)(void *ctx, const bw_run_order_t *order);
	void (*heartbeat)(void *ctx, const bw_heartbeat_order_t *order);
	/** Asks which workers may run a step; answered by advice. */
	void (*advise)(void *ctx, const bw_task_name_t *step,
		       const char *const *workers, uint32_t count);
	/** Another owner has taken over. */
	void (*superseded)(void *ctx);
	/** One line for a decision; formats its fields as "name=value". */
	void (*log)(void *ctx, bw_event_kind_t kind, const char *fmt,
		    va_list args);
} bw_sched_ops_t;

/** Numbers of a pool. */
typedef struct bw_sched_stats {
	uint32_t jobs_active;
	uint32_t jobs_waiting; /**< Unscheduled, without a started task. */
	uint32_t tasks_running;
	uint32_t workers;
	uint32_t workers_usable;
	bw_resources_t capacity;
	bw_resources_t used;
} bw_sched_stats_t;

bw_sched_t *bw_sched_create(const bw_sched_config_t *config,
			    const bw_sched_ops_t *ops, void *ctx,
			    int64_t now_ms);
void bw_sched_destroy(bw_sched_t *s);

/** Sets the attributes of a queue. */
void bw_sched_set_queue(bw_sched_t *s, const bw_queue_config_t *queue);

/** Takes a worker's registration. */
void bw_sched_worker_registered(bw_sched_t *s, int64_t now_ms,
				const bw_worker_info_t *info);

/** A worker is no longer registered. */
void bw_sched_worker_unregistered(bw_sched_t *s, int64_t now_ms,
				  const char *id);

/** A worker is known to have ended, with all that ran on it. */
void bw_sched_worker_dead(bw_sched_t *s, const char *id, const char *reason);

/** Calls a function for each worker. */
void bw_sched_workers(const bw_sched_t *s,
		      void (*fn)(void *ctx, const char *id, bool registered),
		      void *ctx);

/** Keeps new tasks off a worker and moves lasting ones, or no longer. */
void bw_sched_worker_cordon(bw_sched_t *s, const char *id, bool empty);

/** Marks a worker that is due for upkeep, so that it is used last. */
void bw_sched_worker_maintenance_due(bw_sched_t *s, const char *id, bool due);

/** Takes an accepted job; the record is moved. Known jobs are ignored. */
void bw_sched_add_job(bw_sched_t *s, int64_t now_ms, int64_t wall_ms,
		      const char *id, bw_job_record_t *record);

/**
 * Finished jobs whose records may be removed from the store: their end is
 * stored, nothing of them runs, and this owner has known it for long enough.
 * @param ids receives at most @p max identifiers, owned by the scheduler
 */
uint32_t bw_sched_removable(const bw_sched_t *s, int64_t now_ms,
			    const char **ids, uint32_t max);

/** A finished job's records are gone from the store. */
void bw_sched_job_removed(bw_sched_t *s, int64_t now_ms, const char *id);

/** Takes a cancellation that is stored. */
void bw_sched_cancel(bw_sched_t *s, int64_t now_ms, const char *id);

void bw_sched_heartbeat_answered(bw_sched_t *s, int64_t now_ms,
				 const char *worker,
				 const bw_heartbeat_answer_t *answer);

/**
 * Takes the answer to a start or stop.
 * @param clock_ms worker's clock, or 0
 */
void bw_sched_start_answered(bw_sched_t *s, int64_t now_ms, const char *worker,
			     const bw_task_name_t *task, uint32_t run,
			     bw_order_result_t result, int64_t clock_ms);
void bw_sched_stop_answered(bw_sched_t *s, int64_t now_ms, const char *worker,
			    const bw_task_name_t *task, uint32_t run,
			    bw_order_result_t result);

/** Takes advice: workers with their tickets, valid for a time. */
void bw_sched_advised(bw_sched_t *s, int64_t now_ms, const bw_task_name_t *step,
		      const char *const *workers, const char *const *tickets,
		      uint32_t count, int64_t valid_ms);

/** Whether orders may still be given; see bw_sched_config_t.outage_ms. */
void bw_sched_allow_orders(bw_sched_t *s, bool allowed);

/** The earlier owner is known to give no more orders. */
void bw_sched_predecessor_stopped(bw_sched_t *s, int64_t now_ms);

/** Whether all that an earlier owner started is known. */
bool bw_sched_recovered(const bw_sched_t *s);

/** Gives no more orders; what is packed next is final. */
void bw_sched_hand_over(bw_sched_t *s);

/** Places tasks and sends what is due; to be called often. */
void bw_sched_run(bw_sched_t *s, int64_t now_ms, int64_t wall_ms);

/** Version of what is to be stored; it rises with each change. */
uint64_t bw_sched_version(const bw_sched_t *s);

/** Whether a change should be stored without delay. */
bool bw_sched_urgent(const bw_sched_t *s);

/** Encodes what is to be stored; release with g_free(). */
uint8_t *bw_sched_pack(bw_sched_t *s, size_t *bytes);

/** A version has been stored. */
void bw_sched_saved(bw_sched_t *s, int64_t now_ms, uint64_t version);

/** Takes what an earlier owner stored, before any other event. */
bw_status_t bw_sched_load(bw_sched_t *s, int64_t now_ms, const uint8_t *data,
			  size_t bytes);

/** State of a job, never ahead of what is stored. */
bw_job_state_t bw_sched_job_state(const bw_sched_t *s, const char *id);

/** A worker as a pool has it. */
typedef struct bw_worker_view {
	const char *id;
	uint32_t tasks;
	uint32_t lasting; /**< Of the tasks, those that last. */
	bool idle; /**< Nothing runs or may run on it. */
	bool cordoned; /**< Nothing is started on it. */
	bool reachable; /**< It answers and is to stay. */
} bw_worker_view_t;

/** Processor that a pool uses and could use. */
typedef struct bw_pool_demand {
	int64_t used_millis;
	int64_t waiting_millis; /**< Of tasks that could start now. */
	int64_t lasting_millis; /**< Part of used_millis. */
	int64_t offered_millis; /**< Work arriving a second, without lasting. */
} bw_pool_demand_t;

void bw_sched_demand(const bw_sched_t *s, int64_t now_ms,
		     bw_pool_demand_t *out);

/** Calls a function for each worker. */
void bw_sched_views(const bw_sched_t *s, int64_t now_ms,
		    void (*fn)(void *ctx, const bw_worker_view_t *view),
		    void *ctx);

/** A job as its pool has it. */
typedef struct bw_job_view {
	const char *id;
	const char *queue;
	bw_job_state_t state;
	bool lasting;
	int64_t age_ms;
	uint32_t tasks; /**< Of occurrences that are due. */
	uint32_t running;
	uint32_t waiting;
} bw_job_view_t;

/** Calls a function for each job that is not finished. */
void bw_sched_jobs(const bw_sched_t *s, int64_t now_ms,
		   void (*fn)(void *ctx, const bw_job_view_t *view), void *ctx);

/** Accepted jobs of a queue, without a schedule, that have not begun. */
uint32_t bw_sched_waiting(const bw_sched_t *s, const char *queue);

void bw_sched_stats(const bw_sched_t *s, bw_sched_stats_t *out);

#endif
