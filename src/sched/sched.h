/**
 * @file
 * Scheduler of one pool: decides which task starts on which worker, when tasks
 * are stopped or throttled, and which state of a job callers see.
 *
 * It does no I/O and reads no clock: events are passed in with the current
 * time, orders are sent through callbacks. Times named now_ms are of a clock
 * that also runs while a VM is suspended; wall_ms is Unix time and is used for
 * scheduled starts only.
 */
#ifndef BW_SCHED_SCHED_H
#define BW_SCHED_SCHED_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/event.h"
#include "job/job.h"

typedef struct bw_sched bw_sched_t;

/** Timeout of an order; its worker may still carry it out. */
#define BW_ORDER_TIMEOUT_MS 700

/** Limits of a pool, from the settings. */
typedef struct bw_sched_config {
	int64_t grant_ms; /**< Duration of a grant on running tasks. */
	int64_t grant_ms_max; /**< Longest grant of any owner. */
	int64_t grant_cap_ms; /**< Workers shorten longer grants to this. */
	/** An earlier owner may act this long after its claim is gone. */
	int64_t outage_ms;
	int64_t stop_ms; /**< Longest time that a worker takes to stop a run. */
	int64_t retention_ms; /**< Finished jobs stay stored for this long. */
	int64_t removed_ms; /**< Jobs stay known for this long after their
			       records were removed. */
	uint64_t fence; /**< Fencing token of this ownership. */
	/** A job that arrives longer after the last save waits for the next
	 *  one, which proves that the pool is still this owner's; longer while
	 *  saves are slow. So does each task whose run was taken for gone
	 *  without its end. 0: none waits. */
	int64_t confirm_ms;
	/** A task away from the rack of its data, or a gang over several racks
	 *  that wants one, takes this many times as long. Up to 1: no longer,
	 *  and none waits for such a place. */
	double remote_factor;
} bw_sched_config_t;

/** A queue, from the configuration. */
typedef struct bw_queue_config {
	const char *name;
	bw_queue_terms_t terms;
} bw_queue_config_t;

/** A tenant, from the configuration. */
typedef struct bw_tenant_config {
	const char *name;
	bw_tenant_terms_t terms;
} bw_tenant_config_t;

/** What a tenant uses of a pool. */
typedef struct bw_tenant_use {
	const char *name; /**< Owned by the scheduler. */
	bw_resources_t held; /**< Of tasks that run or may still run. */
	bw_resources_t wanted; /**< Of waiting tasks that could start now. */
	/** Most of these that must start together: one task, or a gang. */
	bw_resources_t largest;
	bool has_quota;
	bw_resources_t quota;
	uint32_t jobs_waiting;
} bw_tenant_use_t;

/** A worker, from its registration. */
typedef struct bw_worker_info {
	const char *id;
	const char *address;
	bw_resources_t capacity;
	const char *const *labels;
	uint32_t label_count;
	const char *rack; /**< NULL if not reported. */
	const char *machine; /**< On which it runs; NULL if not reported. */
	int64_t started_ms; /**< Unix time of its start; 0: unknown. */
	bool draining;
} bw_worker_info_t;

/** Result of an order to a worker. */
typedef enum bw_order_result {
	BW_ORDER_OK,
	BW_ORDER_FENCED, /**< The worker has seen a higher fencing token. */
	BW_ORDER_OLD_RUN, /**< A run with this or a higher number was stopped
			      or has ended on the worker. */
	BW_ORDER_EXPIRED, /**< The grant had expired. */
	BW_ORDER_NO_RESOURCES,
	BW_ORDER_NO_TICKET,
	BW_ORDER_UNHEALTHY, /**< The worker is unhealthy and did nothing. */
	BW_ORDER_OTHER_BOOT, /**< Another worker has the address now. */
	BW_ORDER_REFUSED, /**< The worker rejected the order as invalid. */
	BW_ORDER_NOT_SENT, /**< It had no effect. */
	BW_ORDER_LOST, /**< No valid answer; it may still take effect. */
	BW_ORDER_RESULT_COUNT
} bw_order_result_t;

/** Returns the name of a result for logs, a static string. */
const char *bw_order_result_name(bw_order_result_t result);

/** How a run ended. */
typedef enum bw_end_kind {
	BW_END_DONE,
	BW_END_FAILED,
	BW_END_STOPPED,
	BW_END_EXPIRED, /**< Its grant expired. */
	BW_END_GANG_BROKEN, /**< Another member of its gang ended. */
	BW_END_GANG_ALONE, /**< The other members of its gang did not start. */
	BW_END_KIND_COUNT
} bw_end_kind_t;

/** Returns the name of a kind of end for logs, a static string. */
const char *bw_end_kind_name(bw_end_kind_t kind);

/** A run that a worker lists. */
typedef struct bw_run_row {
	bw_task_name_t task;
	uint32_t run;
	const char *checkpoint; /**< "": none. */
	uint32_t progress; /**< Percent; 100: a lasting task has started up. */
	int64_t tail_ms; /**< Tail latency of its requests; CPU usage for tasks
			    that serve none. */
} bw_run_row_t;

/** A run that ended. */
typedef struct bw_end_row {
	uint64_t number; /**< Increases until the worker restarts. */
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
	const char *checkpoint;
} bw_end_row_t;

/** Answer to a heartbeat. */
typedef struct bw_heartbeat_answer {
	bw_order_result_t result;
	int64_t sent_ms;
	int64_t clock_ms; /**< Worker's clock; set with BW_ORDER_OK. */
	int64_t started_ms; /**< Unix time of its start; 0: not reported. */
	const bw_run_row_t *runs;
	uint32_t run_count;
	const bw_end_row_t *ends;
	uint32_t end_count;
	bool more_ends; /**< Others wait until these are acknowledged. */
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
	const char *checkpoint; /**< NULL: none. */
	const char *ticket; /**< NULL: none. */
	int64_t waited_ms; /**< Since the job was due. */
	/** Limit on the wait for the answer once the order is sent; 0: only
	 *  that on the whole order. */
	int64_t answer_ms;
} bw_start_order_t;

/** Order to stop or throttle a run. */
typedef struct bw_run_order {
	const char *worker;
	const char *address;
	bw_task_name_t task;
	uint32_t run;
	uint32_t percent; /**< Speed limit of a throttle order. */
	uint64_t fence;
	int64_t answer_ms; /**< As that of a start. */
} bw_run_order_t;

/** Heartbeat: renews a worker's grant and lists its runs and ends. */
typedef struct bw_heartbeat_order {
	const char *worker;
	const char *address;
	int64_t grant_clock_ms; /**< End of the grant on the worker's clock; 0:
				   none. */
	uint64_t fence;
	uint64_t acked; /**< The worker may drop ends up to this number. */
	int64_t wait_ms; /**< How long the worker waits for an end. */
	/** It concerns the boot that answered last: it goes over a connection
	 *  on which the worker has answered, as a connection does not outlive a
	 *  boot. Without one, its result is BW_ORDER_NOT_SENT. */
	bool same_boot;
	int64_t answer_ms; /**< Limit on the wait beyond that, once it is sent;
			      0: the usual one. */
	int64_t now_ms; /**< When it is sent. */
} bw_heartbeat_order_t;

/** Callbacks for orders and notices, called while an event is handled. */
typedef struct bw_sched_ops {
	void (*start)(void *ctx, const bw_start_order_t *order);
	void (*stop)(void *ctx, const bw_run_order_t *order);
	void (*throttle)(void *ctx, const bw_run_order_t *order);
	void (*heartbeat)(void *ctx, const bw_heartbeat_order_t *order);
	/** Requests advice on which workers may run a step; answered by
	 *  bw_sched_advised(). */
	void (*advise)(void *ctx, const bw_task_name_t *step,
		       const char *const *workers, uint32_t count);
	/** Another owner has taken over. */
	void (*superseded)(void *ctx);
	/** Logs a decision; its fields are formatted as "name=value". */
	void (*log)(void *ctx, bw_event_kind_t kind, const char *fmt,
		    va_list args);
} bw_sched_ops_t;

/** Counts and resources of a pool. */
typedef struct bw_sched_stats {
	uint32_t jobs_active;
	uint32_t jobs_waiting; /**< Without a schedule and not started. */
	uint32_t tasks_running;
	uint32_t workers;
	uint32_t workers_usable;
	bw_resources_t capacity;
	bw_resources_t used;
	uint64_t quota_refusals; /**< Starts that a quota held back. */
} bw_sched_stats_t;

bw_sched_t *bw_sched_create(const bw_sched_config_t *config,
			    const bw_sched_ops_t *ops, void *ctx,
			    int64_t now_ms);
void bw_sched_destroy(bw_sched_t *s);

/** Sets the attributes of a queue. */
void bw_sched_set_queue(bw_sched_t *s, const bw_queue_config_t *config);

/**
 * Sets the tenants; without any, jobs are placed whosever they are. A tenant
 * with a cap starts nothing in this pool before it has a quota.
 */
void bw_sched_set_tenants(bw_sched_t *s, const bw_tenant_config_t *tenants,
			  uint32_t count);

/** Sets the most that a tenant may have running in this pool, its part of the
 *  cap; what runs beyond it goes on. */
void bw_sched_set_quota(bw_sched_t *s, const char *tenant,
			const bw_resources_t *quota);

/** Reports each tenant that has a quota, or jobs that hold or want room. */
void bw_sched_tenant_uses(const bw_sched_t *s, int64_t now_ms,
			  void (*fn)(void *ctx, const bw_tenant_use_t *use),
			  void *ctx);

/** Returns the name of a job's tenant, also of one that has ended; NULL: it has
 *  none, or is not known. */
const char *bw_sched_job_tenant(const bw_sched_t *s, const char *id);

/** Records that a save has failed: the pool may have another owner. */
void bw_sched_save_failed(bw_sched_t *s);

/** Records that a worker is registered, with its attributes. */
void bw_sched_worker_registered(bw_sched_t *s, int64_t now_ms,
				const bw_worker_info_t *info);

/** Records that a worker is no longer registered. */
void bw_sched_worker_unregistered(bw_sched_t *s, int64_t now_ms,
				  const char *id);

/** Records that an order of the fleet has ended a worker, with all its runs. */
void bw_sched_worker_dead(bw_sched_t *s, const char *id, const char *reason);

/**
 * The same of the boot of a worker that started at a time, and those before it;
 * a later one goes on, or may register yet.
 */
void bw_sched_boot_dead(bw_sched_t *s, const char *id, int64_t started_ms,
			const char *reason);

/**
 * Records that no machine runs the boot of a worker that started at a time, nor
 * one before it. Unless it was being emptied, it has crashed.
 */
void bw_sched_boot_unlisted(bw_sched_t *s, int64_t now_ms, const char *id,
			    int64_t started_ms);

/** Calls a function for each worker. */
void bw_sched_workers(const bw_sched_t *s,
		      void (*fn)(void *ctx, const char *id, bool registered),
		      void *ctx);

/** Cordons a worker or ends that: no new tasks, and its tasks are moved. */
void bw_sched_worker_cordon(bw_sched_t *s, const char *id, bool cordoned);

/** Marks a worker as due for maintenance, so that others are preferred. */
void bw_sched_worker_maintenance_due(bw_sched_t *s, const char *id,
				     bool maintenance_due);

/** Adds an accepted job, unless it is known; of a known one, the revision of
 *  its record may be new. Moves the specification out of the record. */
void bw_sched_add_job(bw_sched_t *s, int64_t now_ms, int64_t wall_ms,
		      const char *id, bw_job_record_t *record);

/** Sets whose job a known job is, from its record; it stays whose it is. */
void bw_sched_set_job_tenant(bw_sched_t *s, const char *id, const char *tenant);

/**
 * Notes a stored job whose record this version can't read. It is left to an
 * owner that can: its runs go on, their ends stay unacknowledged and its
 * progress is stored on, until bw_sched_add_job() or bw_sched_add_ended().
 */
void bw_sched_add_unreadable(bw_sched_t *s, const char *id);

/**
 * Adds a job that has ended under an earlier owner, from its short record. A
 * job that is known as active ends.
 * @param state its final state
 */
void bw_sched_add_ended(bw_sched_t *s, int64_t now_ms, const char *id,
			bw_job_state_t state);

/** A job that has ended. */
typedef struct bw_ended_job {
	const char *id; /**< Owned by the scheduler. */
	bw_job_state_t state;
	const char *tenant; /**< The same, or NULL. */
} bw_ended_job_t;

/**
 * Lists jobs whose records may be replaced by short ones: they ended under this
 * owner, their end is stored, none of their tasks runs, and their records are
 * certain to be in the store, as none is removed before the short one is
 * confirmed.
 * @param out receives at most @p max jobs
 * @return number of jobs
 */
uint32_t bw_sched_shortenable(const bw_sched_t *s, int64_t now_ms,
			      bw_ended_job_t *out, uint32_t max);

/** Records that a short record was sent; it may be stored from now on. */
void bw_sched_short_sent(bw_sched_t *s, const char *id);

/** Records that a short record is stored. */
void bw_sched_short_stored(bw_sched_t *s, const char *id);

/**
 * Lists finished jobs whose records may be removed from the store: their end
 * is stored, none of their tasks runs, and this owner has known of the end for
 * the retention time.
 * @param ids receives at most @p max identifiers, owned by the scheduler
 * @return number of identifiers
 */
uint32_t bw_sched_removable(const bw_sched_t *s, int64_t now_ms,
			    const char **ids, uint32_t max);

/** Records that a finished job's records were removed from the store. */
void bw_sched_job_removed(bw_sched_t *s, int64_t now_ms, const char *id);

/** Cancels a job; the cancellation is stored already. */
void bw_sched_cancel(bw_sched_t *s, int64_t now_ms, const char *id);

/** Handles the answer to a heartbeat, or its failure. */
void bw_sched_heartbeat_answered(bw_sched_t *s, int64_t now_ms,
				 const char *worker_id,
				 const bw_heartbeat_answer_t *answer);

/**
 * Handles the answer to a start.
 * @param clock_ms worker's clock; 0: not reported
 */
void bw_sched_start_answered(bw_sched_t *s, int64_t now_ms,
			     const char *worker_id, const bw_task_name_t *name,
			     uint32_t run, bw_order_result_t result,
			     int64_t clock_ms);

/** Handles the answer to a stop. */
void bw_sched_stop_answered(bw_sched_t *s, int64_t now_ms,
			    const char *worker_id, const bw_task_name_t *name,
			    uint32_t run, bw_order_result_t result);

/** Records advice: workers with their tickets, valid for a time. */
void bw_sched_advised(bw_sched_t *s, int64_t now_ms, const bw_task_name_t *step,
		      const char *const *workers, const char *const *tickets,
		      uint32_t count, int64_t valid_ms);

/**
 * Records that the process was suspended or starved for a time, in which the
 * pool may have got another owner, whatever the lease said. Nothing is started
 * until a state that is packed after this has been saved.
 */
void bw_sched_suspended(bw_sched_t *s, int64_t now_ms, int64_t gap_ms);

/**
 * Records that the workers are registered as a read of the registrations found
 * them. After a suspension nothing is started until a recent one is reported;
 * an owner that reports none does not wait.
 * @param began_ms when the read began
 */
void bw_sched_registrations_read(bw_sched_t *s, int64_t began_ms);

/** Sets whether orders may be sent; see bw_sched_config_t.outage_ms. */
void bw_sched_allow_orders(bw_sched_t *s, bool allowed);

/** Sets whether the store is down for all nodes, so that no other one can claim
 *  the pool. */
void bw_sched_set_outage(bw_sched_t *s, bool outage);

/** Records that no earlier owner has stored a state after a time; otherwise
 *  each has stored its last one before this scheduler was created. */
void bw_sched_earlier_saved_by(bw_sched_t *s, int64_t ms);

/** Records that no earlier owner sends orders any more. */
void bw_sched_predecessor_stopped(bw_sched_t *s, int64_t now_ms);

/** Returns the fencing token of the owner that stored the loaded state; 0: none
 *  was loaded. */
int64_t bw_sched_saved_by(const bw_sched_t *s);

/** Returns the fencing token of the owner that handed the pool over in order,
 * as the loaded state says; 0 if none did. */
int64_t bw_sched_handed_over_by(const bw_sched_t *s);

/** Returns the fencing token of the owner that stored the loaded state if it
 *  knew all runs of the owners before it, or these had stopped; otherwise 0. */
int64_t bw_sched_known_from(const bw_sched_t *s);

/** Returns whether all runs that an earlier owner started are known. */
bool bw_sched_recovered(const bw_sched_t *s);

/** Stops sending orders; the state that is packed next is final. */
void bw_sched_hand_over(bw_sched_t *s);

/** Starts tasks and sends heartbeats and stops that are due; to be called
 *  often. */
void bw_sched_run(bw_sched_t *s, int64_t now_ms, int64_t wall_ms);

/** Returns the version of the state to store; each change increases it. */
uint64_t bw_sched_version(const bw_sched_t *s);

/** Returns whether a change should be stored without delay. */
bool bw_sched_urgent(const bw_sched_t *s);

/** Encodes the state to store; release with g_free(). */
uint8_t *bw_sched_pack(bw_sched_t *s, size_t *bytes);

/**
 * Records a revision of the store at which the pool was still this owner's. It
 * may serve as a higher fencing token, as that of any later owner is higher
 * yet.
 */
void bw_sched_owned_at(bw_sched_t *s, uint64_t revision);

/** Records that a version has been stored. */
void bw_sched_saved(bw_sched_t *s, int64_t now_ms, uint64_t version);

/**
 * Loads the state that an earlier owner stored; call before any other event.
 * @return BW_EPARSE if the data is not a pool record that this version can
 *     read, with the reason as status message; nothing has been loaded then
 */
bw_status_t bw_sched_load(bw_sched_t *s, int64_t now_ms, const uint8_t *data,
			  size_t bytes);

/** Returns the state of a job; an end counts only once it is stored. */
bw_job_state_t bw_sched_job_state(const bw_sched_t *s, const char *id);

/** A worker from the point of view of its pool. */
typedef struct bw_worker_view {
	const char *id;
	uint32_t tasks;
	uint32_t lasting; /**< Number of lasting tasks. */
	bool idle; /**< No task runs or may run on it. */
	bool cordoned; /**< Gets no tasks and is evacuated. */
	bool reachable; /**< It answers and is not draining. */
	bool silent; /**< It has not answered this owner, or not lately. */
	int64_t started_ms; /**< Unix time of its start; 0: not known. */
} bw_worker_view_t;

/** Processor that a pool uses and could use, in thousandths of a core. */
typedef struct bw_pool_demand {
	int64_t used_millis;
	int64_t waiting_millis; /**< Of tasks that could start now. */
	int64_t lasting_millis; /**< Part of used_millis. */
	int64_t offered_millis; /**< Rate of arriving work when machines that
				   are ordered now can be used; without lasting
				   tasks, fillers and scheduled jobs. */
} bw_pool_demand_t;

/** Computes the processor demand of the pool. */
void bw_sched_demand(const bw_sched_t *s, int64_t now_ms,
		     bw_pool_demand_t *out);

/** Calls a function with the view of each worker that is not dead. */
void bw_sched_views(const bw_sched_t *s, int64_t now_ms,
		    void (*fn)(void *ctx, const bw_worker_view_t *view),
		    void *ctx);

/** A job from the point of view of its pool. */
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

/** Counts the jobs of a queue that have no schedule and are not started. */
uint32_t bw_sched_waiting(const bw_sched_t *s, const char *queue);

/** Computes the counts and resources of the pool. */
void bw_sched_stats(const bw_sched_t *s, bw_sched_stats_t *out);

#endif
