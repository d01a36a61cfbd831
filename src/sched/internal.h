/**
 * @file
 * State shared by the files of the pool scheduler.
 */
#ifndef BW_SCHED_INTERNAL_H
#define BW_SCHED_INTERNAL_H

#include <glib.h>

#include "sched/arrivals.h"
#include "sched/resend.h"
#include "sched/sched.h"
#include "sched/start_window.h"
#include "sched/tenant.h"
#include "wire/record.pb-c.h"

/** A start whose call failed is stopped unless the run is listed by then. */
#define START_CONFIRM_MS 600
/** Pause before a stop without an answer is sent again. */
#define STOP_RETRY_MS 400
/** Added to the time that a worker takes to stop a task. */
#define STOP_MARGIN_MS 100
/** Longest wait of a heartbeat call; bounds the age of a worker's run list. */
#define HEARTBEAT_WAIT_MS 1000
/** The same while a lasting task starts up. */
#define HEARTBEAT_SHORT_WAIT_MS 250
/** A worker whose last answer is older may have restarted unnoticed: the wait
 *  of a heartbeat and its usual timeout. */
#define BOOT_SURE_MS (HEARTBEAT_WAIT_MS + BW_ORDER_TIMEOUT_MS)
/** Copies of an order: with half of the answers lost, one in 128 has none. */
#define COPIES_MAX 7U
/** Value of percent for a task that an earlier owner may have throttled. */
#define PERCENT_UNKNOWN 101
/** A worker that has no connection left after each of this many answers in turn
 *  keeps none; its grant could not be renewed over kept ones. */
#define UNCONNECTED_MAX 3U
/** Pause before a failed heartbeat is sent again. */
#define HEARTBEAT_RETRY_MS 250
/** Pause between heartbeats while reported ends are not stored yet. */
#define HEARTBEAT_UNSAVED_MS 300
/** A worker that did not answer for this long gets no new tasks. */
#define WORKER_SILENT_MS 1900
/** The grant of a worker that did not answer for this long is not renewed, and
 *  its tasks may be away: the wait of a heartbeat plus what its answer may take
 *  on the network. */
#define GRANT_SILENT_MS 1300
/** Orders that were sent before a fencing token was raised are answered within
 *  this time. */
#define FENCE_SETTLE_MS 2000
/** Lowest assumed rate of a worker's clock relative to the local one. */
#define CLOCK_RATE_MIN 0.98
/** An order without an answer is not carried out any more after this time. */
#define ORDER_DELAY_MAX_MS 12000
/** Added to bounds that compare the clocks of two processes. */
#define CLOCK_MARGIN_MS 500
/** No starts on a worker for this long after it lacked the resources for one;
 *  also the delay before a refused task is started again. */
#define NO_RESOURCES_PAUSE_MS 150
/** No starts on a worker for this long after it reported to be unhealthy. */
#define UNHEALTHY_PAUSE_MS 1000

/** Number of failed runs kept per task to detect repeated reports. */
#define FAILED_RUNS_KEPT 8

typedef struct job job_t;
typedef struct occurrence occurrence_t;
typedef struct worker worker_t;
typedef struct capacity_index capacity_index_t;
typedef struct near_view near_view_t;

/** Preference of a worker for placement; the lowest class is used first. */
typedef enum placement_class {
	PLACEMENT_NORMAL,
	PLACEMENT_MAINTENANCE_DUE,
	PLACEMENT_FAILING, /**< Many recent runs failed on it. */
	PLACEMENT_CLASS_COUNT
} placement_class_t;

/** What is known of a job's short record. */
typedef enum short_record {
	SHORT_NONE,
	SHORT_SENT, /**< It may be stored, and may still be written. */
	SHORT_STORED
} short_record_t;

typedef enum task_state {
	TASK_WAITING,
	TASK_STARTING, /**< Start sent, not confirmed. */
	TASK_RUNNING,
	TASK_STOPPING, /**< Uses its resources until the end is certain. */
	TASK_DONE
} task_state_t;

/** Whether a worker has listed a run as running. */
typedef enum listing {
	LISTING_NONE,
	LISTING_EARLY,
	LISTING_LATE /**< Some time after its start, which it has survived. */
} listing_t;

/** One task; at most one run of it is tracked at a time. */
typedef struct task {
	occurrence_t *occurrence;
	uint32_t step;
	uint32_t index;
	task_state_t state;
	bool done; /**< Another run of it may still be stopping. */
	bool ready; /**< Lasting task: it has started up. */
	bool maybe_running; /**< By a start of an earlier owner. */
	bool ends_unknown; /**< An earlier owner may have started runs that
			      failed and are not counted yet. */
	bool run_known; /**< Only this run may go on, if maybe_running is set.
			 */
	bool stop_answered;
	bool start_in_flight; /**< It counts in the window on starts. */
	bool start_accepted; /**< A boot of the worker has answered that it has
				begun this run. */
	bool start_due; /**< Its last copy had no answer; send another. */
	listing_t listing; /**< Of this run. */
	bool orphaned; /**< A worker has listed another run of it, which may
			  still go on. */
	bool end_dropped; /**< The worker may have dropped the end of this run
			     unread. */
	bool asked_again; /**< The worker was ordered to start this run once
			     more, to tell which; its answer is awaited. */
	bool trial; /**< A run of a suspect that has not survived yet. */
	bool suspect; /**< May have crashed a worker by its start. */
	uint32_t charged_run; /**< Last run that a crash was counted for. */
	bool crash_open; /**< That crash was counted as unsure, as the worker's
			    next boot may have begun the run. */
	bool crash_isolated; /**< Nothing else may have caused that crash. */
	uint32_t crashes; /**< Workers that crashed under a run of it. */
	uint32_t unsure_crashes; /**< Those of which the run may have ended
				    or may not have begun before. */
	/** No start before it is saved, as its run was taken for gone; 0: none.
	 */
	uint64_t confirm_version;
	bool run_missed; /**< An earlier owner has left a run of which no end is
			    known. */
	uint32_t hidden_runs; /**< Runs under earlier owners of which no end is
				 known; any may have crashed its worker. */
	int64_t isolate_since_ms; /**< Since when a suspect waits for a worker
				     of its own; 0: it does not. */
	int64_t next_search_ms; /**< Of such a worker. */
	int64_t ready_since_ms; /**< Lasting task: of this run; 0: not ready. */
	uint32_t run; /**< Number of the last start. */
	bool away; /**< That run is not near its data or its gang, and takes
		      longer. */
	uint32_t failures;
	/** Last runs counted as failures; their ends may be reported again. */
	uint32_t failed_runs[FAILED_RUNS_KEPT];
	uint32_t percent; /**< Speed limit last sent; 100: not throttled. */
	worker_t *worker; /**< Where it was started; NULL when waiting. */
	uint64_t failed_worker; /**< Number of that where it failed last; 0:
				   none. */
	int64_t ordered_ms; /**< When the start was sent. */
	uint32_t copies; /**< Of the start of this run that were sent. */
	int64_t asked_ms; /**< When the last of them was sent. */
	int64_t answer_ms; /**< How long its answer is waited for. */
	int64_t start_answered_ms; /**< 0: no answer; -1: the call failed. */
	int64_t accepted_ms; /**< When the only copy of the start was answered
				as accepted; 0: it was not. */
	int64_t accepted_clock_ms; /**< The worker's clock in that answer. */
	bool stop_due; /**< The last stop had no answer; send another. */
	uint32_t stop_copies; /**< Of the stop that were sent. */
	int64_t stop_sent_ms;
	int64_t stop_answer_ms; /**< How long its answer is waited for. */
	int64_t stop_answered_ms;
	int64_t stop_unsure_until_ms; /**< A stop of before a restart of its
					 worker may be answered until then. */
	int64_t stop_possible_until_ms; /**< An earlier stop of this run may be
					   carried out until then; 0: none. */
	int64_t retry_ms; /**< Not started again before this. */
	int64_t tail_latency_ms; /**< Of its requests, as last reported. */
	char *checkpoint;
} task_t;

/** Progress of a step of one occurrence. */
typedef struct step_state {
	uint32_t first_task; /**< Index into the occurrence's tasks. */
	uint32_t remaining; /**< Tasks that are not done. */
	uint32_t waiting; /**< Tasks in TASK_WAITING. */
	int64_t longest_run_ms; /**< Of its tasks' successful runs. */
	GHashTable *tickets; /**< Worker identifier to ticket, or NULL. */
	int64_t tickets_until_ms;
	bool advice_requested;
	uint64_t advice_after; /**< Number of the last worker that was named. */
	uint32_t advice_named; /**< Workers that the last calls named, none of
				  which may run the step. */
	bool advice_partial; /**< There are more than these. */
} step_state_t;

struct occurrence {
	job_t *job;
	uint32_t number;
	step_state_t *steps;
	task_t *tasks;
	uint32_t task_count;
	uint32_t remaining; /**< Tasks that are not done. */
	int64_t due_ms; /**< Earliest start. */
	int64_t objective_ms; /**< Target for its end; updated as steps end. */
	int64_t deadline_ms; /**< Finishing later has no value. */
	bool last_chance; /**< It went before jobs that are in time. */
};

typedef struct queue {
	char *name;
	bw_queue_terms_t terms;
	bool configured; /**< The configuration has it, or had it. */
	/** Running mean of actual over estimated duration. */
	double estimate_ratio;
	double duration_ms; /**< Running mean of a task's duration. */
} queue_t;

struct job {
	char id[BW_JOB_ID_CHARS + 1];
	queue_t *queue;
	tenant_t *tenant; /**< NULL: nobody's. */
	bw_job_spec_t *spec; /**< NULL once finished. */
	bw_job_state_t state;
	uint64_t finished_version; /**< First version that has its end; 0: not
				      finished. */
	int64_t finished_ms; /**< When this owner learned of its end. */
	int64_t removed_ms; /**< When its records were removed; 0: not yet. */
	int64_t arrived_ms;
	uint32_t next_occurrence;
	uint32_t occurrences_left;
	short_record_t short_record;
	uint64_t confirm_version; /**< No start before it is saved; 0: none. */
	uint64_t revision; /**< That created its record; 0: not known. */
	bool beyond; /**< It exceeds the rate of jobs that its tenant is owed.
		      */
	bool maybe_foreign; /**< It was read after the first save, and an
			       earlier owner may have started it. */
	bool end_stored; /**< An earlier owner has stored its end. */
	bool start_ordered; /**< A start of one of its tasks was sent. */
	bool started; /**< A run of one of its tasks is confirmed. */
	bool lasting; /**< Has a step of lasting tasks. */
	GHashTable *startable; /**< The scheduler's set. */
	GPtrArray *occurrences; /**< Due and not released. */
	GArray *occurrences_done; /**< Numbers of completed occurrences. */
};

struct worker {
	char *id;
	uint64_t number; /**< Among all that this owner has known. */
	char *address;
	char *rack;
	char *machine;
	char **labels;
	bw_resources_t capacity;
	bw_resources_t capacity_max; /**< Highest amounts that it had. */
	bw_resources_t used;
	GPtrArray *tasks; /**< Tasks whose worker is this one. */
	GArray *orphans; /**< Tasks of runs that it lists and should not run;
			    NULL: none. */
	GArray *unread; /**< Its runs and ends of unread jobs; NULL: none. */
	uint32_t trials; /**< Tasks on it with the flag of that name. */
	bool registered;
	bool described; /**< Its capacity is that of its present start. */
	bool stored; /**< Is in the stored state, which a successor loads. */
	uint64_t stored_version;
	bool draining;
	bool cordoned; /**< Gets no tasks and is evacuated. */
	bool maintenance_due;
	bool dead; /**< Known to have ended, with all its runs. */
	bool ended_by_order; /**< Dead by an order of the fleet that names no
				boot, and may name it for a while. */
	bool inherited; /**< May still carry out stops of an earlier owner. */
	bool synced; /**< Has accepted our fencing token and listed its runs
			and ends. */
	bool has_orphans; /**< Runs tasks that it should not run; their resource
			       use is unknown. */
	bool unknown_runs; /**< Runs tasks of which nobody knows whose they
			      are. */
	bool heartbeat_pending; /**< A heartbeat is not answered yet. */
	bool fence_outdated; /**< Orders to its earlier boot had the same. */
	bool boot_unsure; /**< The last heartbeat failed, so the worker may have
			     restarted since. */
	bool answer_missing; /**< The last heartbeat had no answer, and the
				worker answered shortly before. */
	int64_t heartbeat_wait_ms; /**< That the last heartbeat asked for. */
	uint64_t heartbeat_acked; /**< That the last heartbeat acknowledged. */
	int64_t heartbeat_boot_ms; /**< Start of the boot that it was for. */
	int64_t lost_ack_boot_ms; /**< The same of the last one that has
				     acknowledged ends and got no answer. */
	int64_t lost_ack_until_ms; /**< The next boot may carry that one out
				      until then; 0: there is none. */
	bool heartbeat_same_boot; /**< The last one was for the known boot. */
	uint32_t unconnected; /**< Heartbeats in turn that found no connection
				 to the known boot. */
	int64_t heartbeat_answer_ms; /**< How long its answer is waited for
					beyond that. */
	uint32_t heartbeats_missing; /**< Without an answer since the last. */
	int64_t answered_in_ms; /**< Time of its last answer to one that did not
				   wait for an end; 0: none yet. */
	GPtrArray *siblings; /**< Workers that run or ran on its machine, with
				itself; NULL: machine not reported. */
	capacity_index_t *index;
	bw_start_window_t *start_window; /**< The scheduler's. */
	bool indexed; /**< Is in the index under the next two. */
	placement_class_t placement_class;
	int64_t indexed_free_millis; /**< Free processor. */
	int64_t started_ms; /**< Unix time; 0: unknown. */
	int64_t stored_boot_ms; /**< Start of the boot that an earlier owner
				   knew; 0: none. */
	uint64_t fence; /**< Fencing token of the orders to it. */
	int64_t fence_raised_ms; /**< When it was raised; 0: never. */
	int64_t restarted_ms; /**< When a restart under its identifier became
				 known; 0: none did. */
	int64_t last_heartbeat_ms; /**< Last answered heartbeat. */
	int64_t listed_ms; /**< When the worker gave that answer, at the
			      latest. */
	int64_t synced_ms;
	int64_t evacuating_since_ms; /**< 0: not evacuated. */
	int64_t next_heartbeat_ms;
	int64_t pause_until_ms; /**< No starts before. */
	int64_t clock_ms; /**< Its clock at clock_at_ms; 0: unknown. */
	int64_t clock_at_ms;
	int64_t granted_clock_ms; /**< Latest end of a grant ever sent. */
	/** A grant by the clock before a restart may last until then; 0: none.
	 */
	int64_t earlier_grant_until_ms;
	int64_t orphan_stop_ms;
	uint64_t ends_processed; /**< Number of the last end processed. */
	uint64_t ends_packed; /**< The same when the state was last packed. */
	uint64_t ends_acked; /**< Number of the last end that is stored. */
	uint64_t ends_dropped; /**< The worker has answered that it need not
				  list ends up to this number any more. */
	double failures; /**< Decayed count of failed runs. */
	double successes; /**< Decayed count of successful runs. */
	int64_t filler_percent; /**< Processor share that fillers may use. */
	int64_t filler_changed_ms;
};

/** The workers as suspects see them while tasks are placed. */
typedef struct isolation_view {
	bool valid;
	GArray *places; /**< Those that can be used. */
	uint32_t on_trial; /**< Of these, those with a suspect that starts. */
	uint32_t sound; /**< Of these, those that have not crashed lately. */
} isolation_view_t;

struct bw_sched {
	bw_sched_config_t config;
	bw_sched_ops_t ops;
	void *ctx;
	GHashTable *queues;
	GHashTable *jobs;
	GPtrArray *active; /**< Jobs that are not finished. */
	GPtrArray *ending; /**< Finished jobs whose tasks may still run. */
	GQueue *finished; /**< Finished jobs, ordered by finished_ms. */
	GQueue *unshortened; /**< Jobs that ended under this owner and have no
				short record yet. */
	GQueue *removed; /**< Jobs removed from the store, by removed_ms. */
	GHashTable *stored_progress; /**< Loaded, until the job is added. */
	GHashTable *unreadable; /**< Identifiers of jobs that can't be read. */
	GHashTable *workers;
	GHashTable
		*departed; /**< Identifiers of workers that were forgotten. */
	uint64_t last_worker; /**< Highest number of one. */
	GHashTable *machines; /**< Name to a GPtrArray of workers. */
	GHashTable *crashed_machines; /**< Name to the time of a crash. */
	GPtrArray *lapses; /**< Runs whose grant expired on silent workers. */
	GPtrArray *holds; /**< Tasks that an earlier owner held. */
	tenants_t *tenants;
	isolation_view_t isolation;
	near_view_t *near; /**< Of the racks that tasks wait for. */
	capacity_index_t *index; /**< Workers by free processor. */
	bw_start_window_t *start_window; /**< Bounds starts in flight. */
	bw_resend_t *resend; /**< Bounds orders that are sent again. */
	bool resends_due; /**< Some task's order is to be sent again. */
	GHashTable *startable; /**< Occurrences that may have tasks to start. */
	int64_t created_ms;
	bw_arrivals_t *arrivals;
	/* As of the last sweep, in thousandths of a core. */
	int64_t capacity_millis;
	int64_t last_chance_millis; /**< Used by jobs with a last chance. */
	int64_t predecessor_stopped_ms; /**< 0: it may still send orders. */
	int64_t next_sweep_ms; /**< Of all tasks and workers. */
	bool handing_over; /**< What is packed from now on is final. */
	bool inherits_stops; /**< The earlier owner may have sent stops. */
	bool handed_over; /**< The earlier owner ended in order. */
	uint64_t term; /**< Number of owners up to this one; stored before its
			first start. */
	uint64_t loaded_fence; /**< Of the owner that saved the loaded state. */
	bool loaded_settled; /**< That owner knew all runs of earlier ones. */
	bool first_owner; /**< No earlier owner has stored anything. */
	bool recovered; /**< All runs of earlier owners are known. */
	bool orders_allowed;
	bool outage; /**< The store is down for all nodes. */
	uint64_t owned_at; /**< Highest revision at which it was the owner. */
	uint64_t version;
	uint64_t saved_version;
	uint64_t urgent_version;
	uint64_t confirm_version; /**< No start before it is saved. */
	int64_t run_ms; /**< When the scheduler ran last. */
	int64_t packed_ms; /**< When the state was last packed. */
	int64_t confirmed_ms; /**< When the last state that is saved was. */
	int64_t save_took_ms; /**< How long that save took. */
	int64_t confirm_age_ms; /**< A new job is started at once up to this
				   long after the last save. */
	int64_t packed_confirm_ms; /**< The same, as last packed. */
	int64_t earlier_confirm_ms; /**< The same of the earlier owner. */
	int64_t earlier_saved_ms; /**< Its last save was not later. */
	bool alone; /**< That time has passed since then. */
	bool packed_alone; /**< The same when the state was last packed. */
	/** Revision of such a state: no earlier owner has started a job that
	 *  was created later. 0: none is stored yet. */
	uint64_t alone_revision;
	int64_t registrations_ms; /**< When their last read began; 0: not
				     reported. */
	int64_t registrations_from_ms; /**< No start before a read that began
					  then or later. */
};

/* sched.c */
void sched_log(bw_sched_t *s, bw_event_kind_t kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** Marks the state as changed; an urgent change is stored without delay. */
void sched_changed(bw_sched_t *s, bool urgent);

/** Returns whether this is certainly the owner, which may start runs. */
bool sched_may_start(const bw_sched_t *s);
/** Lets a job that has just arrived wait for a save, unless the last one was a
 *  short time ago. */
void sched_confirm_job(bw_sched_t *s, job_t *job, int64_t now_ms);
/** Lets a task whose run was taken for gone, without its end, wait for a save.
 */
void sched_confirm_restart(bw_sched_t *s, task_t *task);
/** Whether a task need not wait for a save after its last run. */
bool sched_restart_confirmed(const bw_sched_t *s, const task_t *task);

/* foreign.c */
/** Whether an earlier owner may have started a job that is read now, after the
 *  first save. */
bool sched_maybe_foreign(const bw_sched_t *s, const job_t *job);
/** Notes the revision that created a known job's record. */
void sched_note_revision(const bw_sched_t *s, job_t *job, uint64_t revision);
/** Requests a save once earlier owners start no new jobs. */
void sched_check_alone(bw_sched_t *s, int64_t now_ms);
/** Notes that the state which was packed last is stored at a revision. */
void sched_note_alone(bw_sched_t *s, uint64_t revision);
/** Returns how long new jobs are started after the save of the state that is
 *  being packed, by this owner or an earlier one; 0: not known. */
uint32_t sched_pack_confirm_ms(bw_sched_t *s);
void sched_load_confirm_ms(bw_sched_t *s, uint32_t confirm_ms);

/* job.c */
job_t *sched_job_new(bw_sched_t *s, const char *id, const char *queue);
void sched_job_free(gpointer data);
queue_t *sched_queue(bw_sched_t *s, const char *name);
occurrence_t *sched_occurrence_new(job_t *job, uint32_t number, int64_t due_ms);
/** Returns the occurrence of a job with a number; NULL: it has ended, or is not
 *  due here yet. */
occurrence_t *sched_find_occurrence(const job_t *job, uint32_t number);
task_t *sched_find_task(const bw_sched_t *s, const bw_task_name_t *name);
/** The same for a task that a worker reports: an occurrence that is not due
 * here yet was due for an earlier owner, and is created. */
task_t *sched_reported_task(bw_sched_t *s, const bw_task_name_t *name,
			    int64_t now_ms);
void sched_task_name(const task_t *task, bw_task_name_t *out);
const bw_step_spec_t *sched_task_step(const task_t *task);
step_state_t *sched_step_state(const task_t *task);
/** Takes a task off its worker; unless it is done, it waits to be started. */
void sched_task_wait(task_t *task);
void sched_task_done(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Records that all tasks of an occurrence are done; the last one ends its job.
 */
void sched_occurrence_done(bw_sched_t *s, const occurrence_t *occurrence,
			   int64_t now_ms);
void sched_job_finish(bw_sched_t *s, job_t *job, bw_job_state_t state,
		      int64_t now_ms);
/** Creates the occurrences of scheduled jobs that are due. */
void sched_create_due_occurrences(bw_sched_t *s, int64_t now_ms,
				  int64_t wall_ms);
/** Releases the tasks of finished jobs once none of them runs. */
void sched_jobs_reap(bw_sched_t *s);
/** Returns whether the end of a job is stored. */
bool sched_end_stored(const bw_sched_t *s, const job_t *job);
/** Adds an occurrence to those that may have tasks to start. */
void sched_mark_startable(const occurrence_t *occurrence);
/** Computes the objective from actual step durations and from estimates. */
void sched_set_objective(occurrence_t *occurrence);
/** Returns the longest estimated chain from a step on. */
int64_t sched_chain_ms(const job_t *job, uint32_t step);
int64_t sched_estimate_ms(const job_t *job, const bw_step_spec_t *step);

/* capacity_index.c */
capacity_index_t *sched_index_create(void);
void sched_index_destroy(capacity_index_t *index);
/** Updates the position of a worker after a change of its capacity, use,
 *  failure counts, maintenance or registration, or after its death. */
void sched_index_update(worker_t *worker);
/** Removes a worker; required before its labels or rack change. */
void sched_index_remove(worker_t *worker);
/** Returns the workers with a label, or all; NULL if there are none. */
GTree *sched_index_by_label(const capacity_index_t *index, const char *label);
/** Returns the workers in a rack; NULL if there are none. */
GTree *sched_index_by_rack(const capacity_index_t *index, const char *rack);
/** Returns the names of all racks, sorted, up to NULL; release the array with
 *  g_free(). */
const char **sched_index_racks(const capacity_index_t *index);
/**
 * Searches the workers of a class that have enough free processor, starting
 * with the least free processor.
 * @param fn returns whether to accept a worker
 * @return the first accepted worker, or NULL
 */
worker_t *sched_index_search(GTree *tree, placement_class_t class,
			     int64_t need_millis,
			     bool (*fn)(void *ctx, worker_t *worker),
			     void *ctx);

/* retention.c */
void sched_mark_finished(bw_sched_t *s, job_t *job, int64_t now_ms);
/** Creates a job whose end an earlier owner has stored. */
void sched_add_finished(bw_sched_t *s, const char *id, bw_job_state_t state,
			int64_t now_ms);
/** Returns whether the pool's value must list a finished job. */
bool sched_value_needs(const bw_sched_t *s, const job_t *job);
/** Drops jobs whose records were removed at least config.removed_ms ago. */
void sched_jobs_discard(bw_sched_t *s, int64_t now_ms);

/* heartbeat.c */
/** Records that a run of one of the job's tasks is confirmed. */
void sched_mark_started(bw_sched_t *s, const task_t *task);
/** Handle a row of a worker's list; the request was sent at @p sent_ms. */
void sched_handle_end(bw_sched_t *s, worker_t *worker, const bw_end_row_t *end,
		      int64_t now_ms);
void sched_handle_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		      int64_t sent_ms, int64_t now_ms);

/* orphan.c */
/** Records that a worker lists a run of a task that it should not run. */
void sched_orphan_listed(worker_t *worker, task_t *task);
/** Records that all such runs on a worker have certainly ended. */
void sched_orphans_ended(worker_t *worker);
/** Whether such a run of a task may go on. */
bool sched_has_orphan(const bw_sched_t *s, task_t *task);

/* hold.c */
/** Creates the state of the module. */
void sched_holds_init(bw_sched_t *s);
void sched_holds_clear(bw_sched_t *s);
/** Takes a hold over from an earlier owner, once the workers are loaded. */
void sched_load_hold(bw_sched_t *s, const char *job,
		     const Bramley__TaskRecord *record, int64_t now_ms);
void sched_pack_hold(const bw_sched_t *s, const task_t *task,
		     Bramley__TaskRecord *record);
/** Whether a worker may have dropped the end of a task's last run unread. */
bool sched_is_held(const bw_sched_t *s, const task_t *task);
/** Whether a task is held on its worker, and how its run has ended matters. */
bool sched_is_in_doubt(const task_t *task);
/** Holds a task whose run has ended unread on its worker, once it leaves that.
 */
void sched_hold_ended_run(bw_sched_t *s, const task_t *task);
/** Returns the worker whose present boot is to be asked for a task that is not
 *  on it; NULL: none. */
worker_t *sched_hold_worker(bw_sched_t *s, const task_t *task);
/** Holds a task that is on its worker, or ends that; a successor has to know of
 *  it. */
void sched_set_held(bw_sched_t *s, task_t *task, bool held);
/** Calls a function for each task that an earlier owner held, unless its run
 * has certainly ended. */
void sched_holds_each(const bw_sched_t *s,
		      void (*fn)(void *ctx, const task_t *task), void *ctx);
/** Whether an earlier owner held a task for a worker's end. */
bool sched_holds_for(const bw_sched_t *s, const worker_t *worker);
/** Records that a worker has listed the run of a task, or its end. */
void sched_hold_ended(bw_sched_t *s, const task_t *task);
/** Records that a worker's boots that started before a time have ended, as one
 *  did that started then. */
void sched_holds_ended(bw_sched_t *s, const worker_t *worker,
		       int64_t before_ms);
/** Records that a worker has ended. */
void sched_holds_worker_ended(bw_sched_t *s, const worker_t *worker);
/** Records that a boot that started at a time has answered: it has dropped no
 *  end that the next one might. */
void sched_holds_same_boot(bw_sched_t *s, const worker_t *worker,
			   int64_t started_ms);
/** Records that a worker's boot has dropped no end unread. */
void sched_holds_doubtless(bw_sched_t *s, const worker_t *worker);
/** Records that a worker has listed all its runs and ends. */
void sched_holds_decided(bw_sched_t *s, const worker_t *worker);

/* ask.c */
/** Asks the worker of a held task what became of its run, if that may be asked
 *  now. */
void sched_ask(bw_sched_t *s, task_t *task, int64_t now_ms);
/** The same for a task that an earlier owner held, which takes its room on the
 *  worker. */
void sched_ask_for_stored_hold(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Handles the answer to that question. */
void sched_question_answered(bw_sched_t *s, task_t *task,
			     bw_order_result_t result, int64_t now_ms);

/* unread.c */
/** Keep a listed end or run of a job that is not read yet; false if it is read,
 *  or was waited for long enough. */
bool sched_defer_end(bw_sched_t *s, worker_t *worker, const bw_end_row_t *end,
		     int64_t now_ms);
bool sched_defer_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		     int64_t now_ms);
/** Returns up to which number the worker may drop its ends once what was
 *  processed is stored. */
uint64_t sched_ackable(const worker_t *worker);
/** Drops what is not waited for any more, after a list has been handled. */
void sched_drop_unread(bw_sched_t *s, worker_t *worker, int64_t now_ms);
/** Handles what was kept of a job that has just been read. */
void sched_apply_unread(bw_sched_t *s, const char *job, int64_t now_ms);

/** Returns whether a job is stored, but can't be read by this version. */
bool sched_is_unreadable(const bw_sched_t *s, const char *job);

/* departed.c */
/** Creates the state of the module. */
void sched_departed_init(bw_sched_t *s);
void sched_departed_clear(bw_sched_t *s);
/** Notes a worker that is about to be forgotten. */
void sched_departed_note(bw_sched_t *s, const worker_t *worker, int64_t now_ms);
/**
 * Restores what is known of a new worker whose identifier was forgotten lately.
 * @param started_ms when its boot started, Unix time; 0: not known
 */
void sched_departed_return(bw_sched_t *s, worker_t *worker, int64_t started_ms,
			   int64_t now_ms);
/** Takes such a worker over from an earlier owner. */
void sched_departed_load(bw_sched_t *s, const char *worker, int64_t boot_ms,
			 int64_t now_ms);
/** Calls a function for each of them, with the start of its last known boot; 0:
 *  not known. */
void sched_departed_each(const bw_sched_t *s,
			 void (*fn)(void *ctx, const char *worker,
				    int64_t boot_ms),
			 void *ctx);
/** Drops those to which no order is carried out any more. */
void sched_departed_forget(bw_sched_t *s, int64_t now_ms);

/* order.c */
void sched_attach(task_t *task, worker_t *worker);
/** Takes a task off its worker, if it is on one. */
void sched_detach(task_t *task);
void sched_stop_task(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Sends a stop again if it has had no answer for long enough. */
void sched_retry_stop(bw_sched_t *s, task_t *task, int64_t now_ms);
void sched_send_stop(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Returns the end of a new grant on the worker's clock; 0: not known. */
int64_t sched_grant_clock(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms);
void sched_record_clock(worker_t *worker, int64_t now_ms, int64_t clock_ms);
/** Handles an order that was refused for a higher fencing token.
 * @param sent_ms 0: not known, as an earlier copy may have been refused */
void sched_order_fenced(bw_sched_t *s, const worker_t *worker, int64_t sent_ms,
			int64_t now_ms);
void sched_send_heartbeats(bw_sched_t *s, int64_t now_ms);
void sched_resend_stops(bw_sched_t *s, int64_t now_ms);

/* unanswered.c */
/** Sends the start of a task's run, the first copy or a further one. */
void sched_send_start(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Notes that the last copy of a start had no answer; false if no other may be
 *  sent. */
bool sched_repeat_start(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Notes that the last copy of a stop had no answer. */
void sched_repeat_stop(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Whether the runs of a worker fit on it; it may have shrunk meanwhile. */
bool sched_has_room(const worker_t *worker);
/** Ends the wait for an answer to a start. */
void sched_end_wait(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Returns whether a copy of the run's start may still be carried out. */
bool sched_copy_outstanding(const task_t *task, int64_t now_ms);
/** Sends the orders again whose answers are missing. */
void sched_send_again(bw_sched_t *s, int64_t now_ms);

/* worker.c */
/** Records when a worker started; a later time than was known, to this owner or
 *  to an earlier one, means that it restarted, which ended its runs. */
void sched_record_start_time(bw_sched_t *s, worker_t *worker, int64_t now_ms,
			     int64_t started_ms);
/** Records that a worker has ended, with all its runs, by no order. */
void sched_worker_crashed(bw_sched_t *s, worker_t *worker, const char *reason,
			  int64_t now_ms);
/** Ends the earlier workers of a worker's machine, once it has answered. */
void sched_mark_predecessors_dead(bw_sched_t *s, const worker_t *worker,
				  int64_t now_ms);
/** Records that a boot may carry out orders to the one before it; it refuses
 *  them once it has seen a higher fencing token, which the next save brings. */
void sched_refuse_earlier_orders(bw_sched_t *s, worker_t *worker,
				 int64_t now_ms);
/** Records that orders by a worker's clock before its restart may still reach
 *  it. */
void sched_expect_earlier_grant(const bw_sched_t *s, worker_t *worker,
				int64_t now_ms);
/** Handles an answer to a heartbeat: once a worker that restarted has seen the
 *  raised fencing token, it takes no order of before any more. */
void sched_bound_earlier_grant(const bw_sched_t *s, worker_t *worker,
			       int64_t sent_ms, int64_t now_ms);
worker_t *sched_worker(bw_sched_t *s, const char *id);
/** Returns the start of the last boot that is known, Unix time; 0: unknown. */
int64_t sched_worker_boot_ms(const worker_t *worker);
worker_t *sched_worker_new(bw_sched_t *s, const char *id, int64_t now_ms);
void sched_worker_free(gpointer data);
/** Releases the tasks of workers that are dead, or silent with expired grants;
 *  drops those of them that are not registered. */
void sched_workers_expire(bw_sched_t *s, int64_t now_ms);
/** Returns whether a worker answers and is not draining. */
bool sched_worker_reachable(const worker_t *worker, int64_t now_ms);
/** Returns whether tasks may be started on a worker now. */
bool sched_worker_usable(const bw_sched_t *s, const worker_t *worker,
			 int64_t now_ms);

/* crashes.c */
/** Creates the state of the module. */
void sched_crashes_init(bw_sched_t *s);
void sched_crashes_clear(bw_sched_t *s);
/**
 * Counts a crash against the tasks that run on a worker or may have run there.
 * @param restarted a run that was not listed may be one of its next boot
 * @return tasks to give up, for sched_give_up(), once their runs are released
 */
GPtrArray *sched_charge_crash(bw_sched_t *s, const worker_t *worker,
			      bool restarted, int64_t now_ms);
/** Ends the jobs of tasks that are given up as failed; releases the array. */
void sched_give_up(bw_sched_t *s, GPtrArray *tasks, int64_t now_ms);
/** Keeps the runs of a worker whose grants have expired: it may prove to have
 *  crashed. */
void sched_note_lapses(bw_sched_t *s, const worker_t *worker, int64_t now_ms);
/** Forgets these runs of a worker that has not crashed. */
void sched_drop_lapses(bw_sched_t *s, const char *worker);
/** Forgets such runs of workers that have been silent for long. */
void sched_forget_lapses(bw_sched_t *s, int64_t now_ms);
/** Counts a crash against the runs of earlier workers of a machine whose grants
 *  expired before. */
void sched_charge_machine(bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms);
/**
 * Records that a worker's list has no trace of a run whose start a boot of it
 * has accepted before: that boot has crashed under the run.
 * @param given_up receives the task if it is to be given up
 */
void sched_run_lost(bw_sched_t *s, task_t *task, GPtrArray *given_up);
/** Records that a worker has listed a task's run or its end: if it had
 *  restarted before, the run was begun afterwards. */
void sched_run_found(bw_sched_t *s, task_t *task);
/** Records that a run that was lost may have begun anew: a crash counts again.
 */
void sched_run_begun_again(task_t *task);
/** Records that a worker lists a task's run. */
void sched_run_listed(bw_sched_t *s, task_t *task, int64_t now_ms);
/** Records where a task is being started. */
void sched_begin_run(task_t *task, worker_t *worker);
bool sched_is_suspect(const task_t *task);
/** Whether a crash may be the work of a task that runs on the worker. */
bool sched_may_crash(const task_t *task);
/** Whether a worker's machine has crashed a short time ago. */
bool sched_crashed_lately(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms);
/** Whether more starts might crash more workers than is allowed. */
bool sched_crashes_pending(const bw_sched_t *s, const task_t *task);

/* isolate.c */
/** Creates the state of the module. */
void sched_isolation_init(bw_sched_t *s);
void sched_isolation_clear(bw_sched_t *s);
/** To be called before tasks are placed, and when one was or was taken back. */
void sched_isolation_changed(bw_sched_t *s);
/** Records that a task's run on its worker is over or survived its start. */
void sched_end_trial(task_t *task);
/** Whether a start on a worker has to wait for a suspect that starts there. */
bool sched_is_on_trial(const worker_t *worker, const task_t *task);
/** Returns the worker on which a crash would tell most; NULL to wait. */
worker_t *sched_pick_isolated(bw_sched_t *s, task_t *task, int64_t now_ms);

/* evacuate.c */
/** Returns whether a stop may be sent again, though the run may be at work. */
bool sched_may_repeat_stop(const task_t *task, int64_t now_ms);
/** Moves tasks off workers that are cordoned or draining. */
void sched_evacuate(bw_sched_t *s, int64_t now_ms);

/* save.c */
/** Applies what an earlier owner stored about a job. */
void sched_load_progress(bw_sched_t *s, job_t *job, int64_t now_ms);
void sched_progress_free(gpointer data);

/* value_check.c */
/**
 * Checks that this version can read all of a pool's value.
 * @return BW_OK, or BW_EPARSE with the reason as status message
 */
bw_status_t sched_check_value(const Bramley__PoolRecord *record);

/* filler.c */
/** Throttles a worker's fillers by the tail latency of its serving tasks. */
void sched_adjust_fillers(bw_sched_t *s, worker_t *worker, int64_t now_ms);

/* report.c */
/** Adds the work of a job that has just arrived to the arrival rate. */
void sched_record_arrival(bw_sched_t *s, const job_t *job, int64_t now_ms);
uint32_t sched_count_lasting(const worker_t *worker);

/* advice.c */
/** Returns the ticket of a task's step for a worker; NULL: none is valid. */
const char *sched_ticket(const task_t *task, const worker_t *worker,
			 int64_t now_ms);
/** Asks which workers may run a step, unless that is known or asked. */
void sched_request_advice(bw_sched_t *s, occurrence_t *occurrence,
			  uint32_t step, int64_t now_ms);
/** Drops a ticket that its worker has refused. */
void sched_ticket_refused(const task_t *task, const worker_t *worker);
/** Drops all tickets for a worker: they were valid until it restarted. */
void sched_forget_tickets(bw_sched_t *s, const worker_t *worker);

/* wait.c */
near_view_t *sched_near_create(void);
void sched_near_destroy(near_view_t *near);
/** To be called before tasks are placed: what was expected may have changed. */
void sched_near_changed(bw_sched_t *s);
/** Records whether a task's worker is away from its data or its gang. */
void sched_note_place(task_t *task);
/** Returns how many times as long a task's run takes, by its place. */
double sched_run_factor(const bw_sched_t *s, const task_t *task);
/**
 * Decides whether a task rather waits for a place near its data, which is set
 * aside for the rest of the pass.
 * @param worker where it could start now
 */
bool sched_wait_pays(bw_sched_t *s, const task_t *task, const worker_t *worker,
		     int64_t now_ms);
/** Returns whether tasks wait for a place in any rack, or in a worker's: others
 *  rather start elsewhere. */
bool sched_any_waited_for(const bw_sched_t *s);
bool sched_is_waited_for(const bw_sched_t *s, const worker_t *worker);
/** Returns whether a gang of waiting tasks is to start on one rack. */
bool sched_wants_one_rack(const bw_sched_t *s, const task_t *tasks,
			  uint32_t count);
/**
 * The same decision as sched_wait_pays() for a gang that fits on no rack now.
 * @param racks names of those that suit it, up to NULL
 */
bool sched_gang_wait_pays(bw_sched_t *s, const task_t *tasks, uint32_t count,
			  const char *const *racks, int64_t now_ms);

/* place.c */
/** Returns whether a worker may run a task, apart from its resources. */
bool sched_suits(const worker_t *worker, const task_t *task, int64_t now_ms);
/** Returns whether a worker has the resources for a task and may run it. */
bool sched_is_allowed(const worker_t *worker, const task_t *task,
		      int64_t now_ms);
/** Returns whether the steps that a step depends on are done. */
bool sched_step_ready(const occurrence_t *occurrence, uint32_t step);
/** Adds up the pool's processor, and what jobs with a last chance use of it. */
void sched_measure_last_chances(bw_sched_t *s);
/** Starts waiting tasks on workers, in the order of their urgency. */
void sched_place(bw_sched_t *s, int64_t now_ms);

#endif
