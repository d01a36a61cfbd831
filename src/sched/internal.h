/**
 * @file
 * State shared by the files of the pool scheduler.
 */
#ifndef BW_SCHED_INTERNAL_H
#define BW_SCHED_INTERNAL_H

#include <glib.h>

#include "sched/sched.h"

/** A start or stop that is this long without an answer is in doubt. */
#define DOUBT_MS 600
/** Pause before a stop without an answer is sent again. */
#define STOP_AGAIN_MS 400
/** Added to the time that a worker takes to stop a task. */
#define STOP_SLACK_MS 100
/** Longest wait of a hold, which bounds how old a worker's view gets. */
#define HOLD_WAIT_MS 1000
/** The same while a task that lasts starts up. */
#define HOLD_SHORT_WAIT_MS 250
/** Speed of a task that an earlier owner may have throttled. */
#define PERCENT_UNKNOWN 101
/** Pause before a failed hold is sent again. */
#define HOLD_AGAIN_MS 250
/** Pause between looks while ends wait to be stored. */
#define HOLD_UNSAVED_MS 300
/** A worker that did not answer for this long gets no new tasks. */
#define WORKER_SILENT_MS 1900
/** A worker whose answer is so late gets no longer grants: a hold's wait and
 *  what its answer may take on the way. */
#define GRANT_SILENT_MS 1300
/** Workers' clocks run at this share of ours at least. */
#define CLOCK_RATE_MIN 0.98
/** Added to bounds that compare clocks of two programs. */
#define CLOCK_MARGIN_MS 500
/** A worker that refused a start for want of room gets none for this long. */
#define ROOM_PAUSE_MS 150
/** A worker that was unhealthy gets no start for this long. */
#define UNHEALTHY_PAUSE_MS 1000

/** Failed runs of a task that are told apart. */
#define FAILED_RUNS_KEPT 8

typedef struct job job_t;
typedef struct occurrence occurrence_t;
typedef struct worker worker_t;
typedef struct fit fit_t;

/** How willingly a worker is used; the first class goes first. */
typedef enum fit_class {
	FIT_GOOD,
	FIT_DUE, /**< For upkeep. */
	FIT_SICK, /**< Tasks fail there. */
	FIT_CLASS_COUNT
} fit_class_t;

typedef enum task_state {
	TASK_WAITING,
	TASK_STARTING, /**< Ordered; the answer is not known yet. */
	TASK_RUNNING,
	TASK_STOPPING, /**< Ends or is ended, and counts until that is sure. */
	TASK_DONE
} task_state_t;

/** One task; at most one run of it is known at a time. */
typedef struct task {
	occurrence_t *occurrence;
	uint32_t step;
	uint32_t index;
	task_state_t state;
	bool done; /**< Another run of it may still be stopping. */
	bool at_work; /**< Of a task that lasts: it has started up. */
	bool suspect; /**< May run unseen for an earlier owner. */
	bool stop_answered;
	uint32_t run; /**< Number of the last start. */
	uint32_t failures;
	/** Last runs counted as failures; their ends may come again. */
	uint32_t failed_runs[FAILED_RUNS_KEPT];
	uint32_t percent;
	worker_t *at; /**< Where it was ordered; NULL when waiting. */
	worker_t *failed_at; /**< Where it failed last. */
	int64_t ordered_ms;
	int64_t answered_ms; /**< Of the start; 0 is none. */
	int64_t stop_sent_ms;
	int64_t stop_answered_ms;
	int64_t retry_ms; /**< Not started again before this. */
	int64_t tail_ms; /**< Latency of its own users, as last told. */
	char *checkpoint;
} task_t;

/** Progress of a step of one occurrence. */
typedef struct step_state {
	uint32_t first; /**< Number of its first task. */
	uint32_t left; /**< Tasks that are not done. */
	uint32_t waiting; /**< Tasks in TASK_WAITING. */
	int64_t longest_ms; /**< Of the good runs of its tasks. */
	GHashTable *tickets; /**< Worker identifier to ticket, or NULL. */
	int64_t tickets_until_ms;
	bool asked;
} step_state_t;

struct occurrence {
	job_t *job;
	uint32_t number;
	step_state_t *steps;
	task_t *tasks;
	uint32_t task_count;
	uint32_t left; /**< Tasks that are not done. */
	int64_t due_ms; /**< When it could start. */
	int64_t objective_ms; /**< When it should be done, as far as known. */
	int64_t late_ms; /**< After this it is worth nothing. */
};

typedef struct queue {
	char *name;
	uint32_t priority;
	uint32_t attempts_max;
	double stretch;
	int64_t target_ms;
	bool advised;
	/** Actual over estimated duration, as a running mean. */
	double estimate_ratio;
	double duration_ms; /**< Running mean of a task's duration. */
} queue_t;

struct job {
	char id[BW_JOB_ID_CHARS + 1];
	queue_t *queue;
	bw_job_spec_t *spec; /**< NULL once finished. */
	bw_job_state_t state;
	uint64_t finished_version; /**< Stored from this version on. */
	int64_t over_ms; /**< When this owner knew that it is finished. */
	int64_t removed_ms; /**< When it was gone from the store; 0 is not. */
	int64_t arrived_ms;
	uint32_t next_occurrence;
	uint32_t occurrences_left;
	bool stored; /**< Its end has been stored by an earlier owner. */
	bool ordered; /**< A start has been ordered. */
	bool started; /**< A task is known to have begun. */
	bool lasting; /**< Has a step whose tasks last. */
	GHashTable *startable; /**< Of the scheduler. */
	GPtrArray *occurrences; /**< Those that are due and not done. */
	GArray *done; /**< Numbers of occurrences that are done. */
};

struct worker {
	char *id;
	char *address;
	char *rack;
	char *machine;
	char **labels;
	bw_resources_t room;
	bw_resources_t used;
	GPtrArray *tasks; /**< Tasks whose at is this worker. */
	bool registered;
	bool stored; /**< A successor would know it. */
	uint64_t stored_version;
	bool draining;
	bool empty; /**< Is to be emptied. */
	bool due; /**< Is due for upkeep. */
	bool dead; /**< Ended for sure, with all that ran on it. */
	bool inherited; /**< An earlier owner may have given it orders. */
	bool learned; /**< Has seen our token and told what it runs. */
	bool has_orphans; /**< Runs what should not, and whose room is unknown.
			   */
	bool hold_out; /**< A hold is unanswered. */
	GPtrArray *siblings; /**< Workers that lived on its machine, or NULL. */
	fit_t *fit; /**< The orders that it is in. */
	bool fitted; /**< Whether it is in them, by the next two. */
	fit_class_t fit_class;
	int64_t fit_free_millis; /**< Processor. */
	int64_t born_ms;
	int64_t first_seen_ms;
	int64_t heard_ms;
	int64_t learned_ms;
	int64_t empty_ms; /**< Since when it is emptied; 0: it is not. */
	int64_t hold_at_ms;
	int64_t pause_until_ms; /**< No starts before. */
	int64_t clock_ms; /**< Its clock at clock_at_ms; 0 is not known. */
	int64_t clock_at_ms;
	int64_t granted_clock_ms; /**< Longest grant ever sent. */
	int64_t orphan_stop_ms;
	uint64_t seen; /**< Ends processed. */
	uint64_t packed; /**< Ends processed when last packed. */
	uint64_t acked; /**< Ends that are stored. */
	double failures; /**< Decayed count of failed runs. */
	double successes;
	int64_t fill_share; /**< Percent that fillers may use. */
	int64_t fill_changed_ms;
};

struct bw_sched {
	bw_sched_config_t config;
	bw_sched_ops_t ops;
	void *ctx;
	GHashTable *queues;
	GHashTable *jobs;
	GPtrArray *active; /**< Jobs that are not finished. */
	GPtrArray *ending; /**< Finished jobs whose tasks still end. */
	GQueue *over; /**< Finished jobs in the order of their over_ms. */
	GQueue *removed; /**< Those gone from the store, by removed_ms. */
	GHashTable *progress; /**< Loaded, for jobs that were not seen yet. */
	GHashTable *workers;
	GHashTable *machines; /**< Name to a GPtrArray of workers. */
	fit_t *fit; /**< Workers by their free room. */
	GHashTable *startable; /**< Occurrences that may have tasks to start. */
	int64_t created_ms;
	double offered_work; /**< Arrived core-milliseconds, decayed. */
	int64_t offered_ms; /**< When it was decayed last. */
	int64_t stopped_ms; /**< The earlier owner acts no more; 0: unknown. */
	bool leaving; /**< What is packed from now on is final. */
	bool inherits_stops; /**< The earlier owner may have ordered stops. */
	bool handed_over; /**< The earlier owner gave up in order. */
	bool fresh; /**< No earlier owner has stored anything. */
	bool settled; /**< All that an earlier owner started is known. */
	bool allowed;
	uint64_t version;
	uint64_t saved_version;
	uint64_t urgent_version;
};

/* sched.c */
void sched_log(bw_sched_t *s, bw_event_kind_t kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void sched_changed(bw_sched_t *s, bool urgent);

/* job.c */
job_t *sched_job_new(bw_sched_t *s, const char *id, const char *queue);
void sched_job_free(gpointer data);
queue_t *sched_queue(bw_sched_t *s, const char *name);
occurrence_t *sched_occurrence_new(job_t *job, uint32_t number, int64_t due_ms);
task_t *sched_find_task(bw_sched_t *s, const bw_task_name_t *name);
void sched_task_name(const task_t *task, bw_task_name_t *out);
const bw_step_spec_t *sched_task_step(const task_t *task);
step_state_t *sched_step_state(const task_t *task);
/** Puts a task that runs nowhere back in line. */
void sched_task_wait(task_t *task);
void sched_task_done(bw_sched_t *s, task_t *task, int64_t now_ms);
void sched_job_finish(bw_sched_t *s, job_t *job, bw_job_state_t state,
		      int64_t now_ms);
/** Makes occurrences whose time has come. */
void sched_jobs_due(bw_sched_t *s, int64_t now_ms, int64_t wall_ms);
/** Releases the tasks of finished jobs once none is left anywhere. */
void sched_jobs_reap(bw_sched_t *s);
/** Whether a successor would know that a job is finished. */
bool sched_end_stored(const bw_sched_t *s, const job_t *job);
/** An occurrence may have tasks to start from now on. */
void sched_startable(const occurrence_t *occurrence);

/* fit.c */
fit_t *sched_fit_create(void);
void sched_fit_destroy(fit_t *fit);
/** Brings a worker to its place, after a change of its room or health. */
void sched_fit_update(worker_t *worker);
/** Takes a worker out, before a change of its labels or rack. */
void sched_fit_leave(worker_t *worker);
/** Workers with a label, or all; NULL if there are none. */
GTree *sched_fit_tree(const fit_t *fit, const char *label);
GTree *sched_fit_rack(const fit_t *fit, const char *rack);
/**
 * Walks over workers of a class with so much free processor, from the fullest.
 * @param fn returns whether the walk ends at a worker
 * @return that worker, or NULL
 */
worker_t *sched_fit_walk(GTree *tree, fit_class_t class, int64_t need_millis,
			 bool (*fn)(void *ctx, worker_t *worker), void *ctx);

/* forget.c */
void sched_job_over(bw_sched_t *s, job_t *job, int64_t now_ms);
/** Forgets jobs that have been gone from the store for long enough. */
void sched_jobs_forget(bw_sched_t *s, int64_t now_ms);
/** Sets the objective from what its steps took, and estimates of the rest. */
void sched_set_objective(occurrence_t *occurrence);
/** Longest chain of a step and those after it, from estimates. */
int64_t sched_chain_ms(const job_t *job, uint32_t step);
int64_t sched_estimate_ms(const job_t *job, const bw_step_spec_t *step);

/* listing.c */
/** A task of the job is known to have begun. */
void sched_mark_begun(bw_sched_t *s, const task_t *task);

/* order.c */
void sched_attach(task_t *task, worker_t *worker);
/** Takes a task off its worker, if it is on one. */
void sched_detach(task_t *task);
void sched_stop_task(bw_sched_t *s, task_t *task, int64_t now_ms);
int64_t sched_grant_clock(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms);
void sched_take_clock(worker_t *worker, int64_t now_ms, int64_t clock_ms);
void sched_workers_hold(bw_sched_t *s, int64_t now_ms);
void sched_workers_stops(bw_sched_t *s, int64_t now_ms);

/* worker.c */
/** A new life of a worker runs nothing of the life before. */
void sched_take_birth(bw_sched_t *s, worker_t *worker, int64_t born_ms);
worker_t *sched_worker(bw_sched_t *s, const char *id);
worker_t *sched_worker_new(bw_sched_t *s, const char *id, int64_t now_ms);
void sched_worker_free(gpointer data);
/** Frees tasks of workers whose grants have run out. */
void sched_workers_expire(bw_sched_t *s, int64_t now_ms);
/** Whether a worker answers and is to stay. */
bool sched_worker_reachable(const worker_t *worker, int64_t now_ms);
/** Whether tasks may be started on it now. */
bool sched_worker_usable(const bw_sched_t *s, const worker_t *worker,
			 int64_t now_ms);

/* evacuate.c */
void sched_evacuate(bw_sched_t *s, int64_t now_ms);

/* save.c */
/** Gives a job what an earlier owner stored of it. */
void sched_load_progress(bw_sched_t *s, job_t *job, int64_t now_ms);
void sched_progress_free(gpointer data);

/* fill.c */
void sched_fill_look(bw_sched_t *s, worker_t *worker, int64_t now_ms);

/* report.c */
/** Counts the work of a job that has just arrived. */
void sched_offer(bw_sched_t *s, const job_t *job, int64_t now_ms);
uint32_t sched_count_lasting(const worker_t *worker);

/* place.c */
/** Whether the steps before one are done. */
bool sched_step_ready(const occurrence_t *occurrence, uint32_t step);
void sched_place(bw_sched_t *s, int64_t now_ms);

#endif
