/**
 * @file
 * Parts of the simulation: events, jobs, faults and checks (world.c), fake
 * workers and the calls to them (world_worker.c), nodes and the store
 * (world_node.c), tasks that crash their workers (world_crash.c), gangs
 * (world_gang.c), racks (world_rack.c), what nodes know of earlier owners
 * (world_owners.c), owners that lose their claims in quick succession
 * (world_chain.c), tenants with caps (world_tenant.c).
 */
#ifndef BW_TEST_WORLD_INTERNAL_H
#define BW_TEST_WORLD_INTERNAL_H

#include <glib.h>

#include "sched/sched.h"
#include "world.h"

#define NODE_COUNT   3
#define WORKER_COUNT 7
#define TENANTS_MAX  4U
#define TENANT_CHARS 8U
/** Lease of the pool's owner. */
#define LEASE_MS 2000
#define GRANT_MS 5000
/** Workers shorten longer grants to this. */
#define GRANT_CAP_MS 10000
/** An owner may give orders for this long past its lease. */
#define OUTAGE_MS 3500
/** Longest time that a worker takes to stop a run. */
#define STOP_MS 400
/** A run of a lasting task is ready this long after its start. */
#define STARTUP_MS 300
/** A lasting task that is not at work for this long counts as away. */
#define NOTICE_MS	      4500
#define TICK_INTERVAL_MS      100
#define DIRECTORY_INTERVAL_MS 800
/** A node whose scheduler did not run for longer was suspended. */
#define SUSPENDED_MS	400
#define CALL_TIMEOUT_MS 700
/** A connection to a worker that does not answer is tried again after this. */
#define CONNECT_RETRY_MS 200
/** Longest delay of a call that is executed after its caller gave up. */
#define DELAYED_CALL_MAX_MS 12000
/** Shortest one of calls that are drawn as late. */
#define LATE_CALL_MIN_MS	2000
#define SAVE_INTERVAL_MS	60
#define ATTEMPTS_MAX		3
#define STATE_CHECK_INTERVAL_MS 20
/** Capacity of a worker unless it has shrunk. */
#define WORKER_CPU_MILLIS 32000
#define WORKER_MEM_MB	  64000
/** A job that makes no progress for this long is stuck. */
#define STUCK_AFTER_MS 30000
/** Reads of the store may be this old. */
#define STALE_MS 2000
/** Records that are replaced in the store at a time. */
#define SHORTENED_MAX 6
/** Jobs that are removed from the store at a time. */
#define REMOVED_MAX 4
/** Longest delay of a late answer; its caller gives up before at its timeout.
 */
#define LATE_ANSWER_MAX_MS 2000
/** Ends in one answer; small, so that ends often wait for a later one. */
#define ENDS_PAGE 5
/** Limits lasting jobs, so that they use only a part of the capacity. */
#define LASTING_JOBS_MAX 2
/** Machines on which crashes without a cause are drawn. */
#define FLAPPING_MACHINES 2U

typedef struct world world_t;
typedef struct world_owners world_owners_t;
typedef void (*event_fn)(world_t *w, void *arg);

/** An event; events due at the same time run in order of their sequence. */
typedef struct event {
	int64_t due_ms;
	uint64_t sequence;
	event_fn fn;
	void *arg;
} event_t;

/** A run on a fake worker. */
typedef struct run {
	bw_task_name_t task;
	uint32_t number;
	bw_resources_t need;
	bool fails;
	bool stopping;
	bool waits; /**< For the other members of its gang. */
	int64_t started_ms;
	int64_t ends_ms; /**< INT64_MAX: until it is stopped. */
	uint64_t order; /**< Increases with each order that is sent. */
	bw_resources_t told; /**< Capacity that the sender had read by then. */
} run_t;

/** Actual state of a task; the scheduler sees it only through answers. */
typedef struct task_state {
	uint32_t running; /**< Runs on live workers. */
	bool done;
	bool done_acked; /**< The scheduler has acknowledged the end. */
	int64_t started_ms; /**< Its last start. */
	bool unavailable; /**< Lasting: was stopped by an order, and no run of
			    it is ready since. */
	int64_t at_work_ms; /**< Lasting: when it was last; 0: never yet. */
	uint32_t failed_acked;
	uint32_t failed;
	uint32_t crashes; /**< Workers that crashed under a run of it. */
	uint32_t starts_after_crashes; /**< That should not have been. */
} task_state_t;

/** A job and the states that callers were shown. */
typedef struct fake_job {
	char id[BW_JOB_ID_CHARS + 1];
	bw_job_record_t record;
	uint32_t tenant; /**< Its number, from 1; 0: nobody's. */
	bool always_fails; /**< All runs of the first task of each step. */
	int64_t stored_ms; /**< 0: not yet. */
	int64_t revision; /**< Of the store that created its record. */
	int64_t cancelled_ms; /**< 0: not cancelled. */
	bool shown_completed;
	bool shown_cancelled;
	bool shown_failed;
	bool crashes_workers; /**< By the first task of a step. */
	uint32_t crashing_step;
	bool is_long; /**< Runs of its first step take 6 to 12 s. */
	int64_t short_ms; /**< When a short record replaced its record. */
	bw_job_state_t short_state; /**< In the short record. */
	int64_t removed_ms; /**< 0: still in the store. */
	task_state_t *tasks;
} fake_job_t;

/** End of a run, kept until the scheduler acknowledges it. */
typedef struct fake_end {
	uint64_t number;
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
	int64_t ended_ms;
	bool listed; /**< In an answer, which may have been lost. */
	bool lapsed; /**< The worker's grant has expired since. */
} fake_end_t;

/** One boot of a worker; a restart creates another one on the same machine. */
typedef struct fake_worker {
	uint32_t machine;
	char id[32]; /**< A restart may keep it. */
	char name[32]; /**< Of its machine. */
	bool alive;
	bool silent_when_dead; /**< Calls to it time out after its crash;
				  otherwise they are refused. */
	bool registered;
	bool fails_runs; /**< Every run that it starts fails. */
	bool cordoned; /**< Its tasks are to be moved away. */
	int64_t started_ms;
	int64_t registered_until_ms;
	bw_resources_t capacity;
	/** Its capacity as each node has read it last. */
	bw_resources_t told[NODE_COUNT];
	double clock_rate; /**< Of its clock against the virtual time. */
	uint64_t fence; /**< Highest fencing token that it has received. */
	int64_t grant_clock_ms; /**< End of its grant, on its own clock. */
	uint64_t last_end_number;
	uint64_t acked;
	GArray *runs;
	GArray *ends;
	/** Task to the highest number of a run that ended or was stopped. */
	GHashTable *highest_ended;
	bool unreachable_from[NODE_COUNT]; /**< By calls of these nodes. */
	bool connected[NODE_COUNT]; /**< These keep a connection for heartbeats,
				       on which it has answered. */
} fake_worker_t;

/** A node; it owns the pool while its fencing token is the stored one. */
typedef struct node {
	world_t *w;
	uint32_t index;
	bool alive;
	int64_t paused_until_ms;
	uint64_t process; /**< Increases with each restart of the node. */
	bool store_unreachable;
	bool peers_unreachable; /**< It reaches no other node. */
	int64_t lease_end_ms; /**< As far as it knows. */
	bool orders_over; /**< Until the lease is renewed. */
	bw_sched_t *sched;
	uint64_t fence; /**< Fencing token of its ownership; 0: none. */
	uint64_t incarnation; /**< Changes when its scheduler is destroyed, so
				 that answers to the earlier one are ignored. */
	int64_t state_rev; /**< Expected revision of the stored state. */
	uint64_t saved_version; /**< 0: none, or the last save failed. */
	bool save_pending;
	/** Fencing token of the owner that stored the loaded state, if that one
	 *  knew all runs of those before it; otherwise 0. */
	uint64_t known_from;
	bool handing_over; /**< Its pool; the next save is the last. */
	int64_t last_save_ms;
	int64_t last_run_ms; /**< Of its scheduler; 0: never. */
} node_t;

struct world {
	world_config_t config;
	world_result_t *result;
	GRand *rand;
	GRand *fault_rand; /**< For later faults, so that the draws of earlier
			      ones stay the same. */
	GRand *crash_rand;
	GRand *gang_rand;
	GRand *late_rand; /**< Draws calls that are carried out late. */
	GRand *resize_rand; /**< Draws how workers shrink. */
	GRand *connection_rand; /**< Draws which connections are closed. */
	GRand *tenant_rand; /**< Draws tenants and their caps. */
	bw_resources_t caps[TENANTS_MAX];
	GRand *owners_rand; /**< Draws chains of owners, and what nodes learn of
			       each other. */
	GSequence *events;
	uint64_t last_sequence;
	int64_t now_ms;
	node_t nodes[NODE_COUNT];
	int64_t cut_until_ms[WORKER_COUNT]; /**< Machines, from all nodes. */
	GPtrArray *workers; /**< Crashed ones included. */
	GPtrArray *jobs;
	bool store_down;
	int64_t rev; /**< Of the store. */
	uint64_t owner_fence; /**< Fencing token; 0: the pool has no owner. */
	int64_t owner_lease_end_ms;
	uint32_t owner_node; /**< The current owner or the last one. */
	world_owners_t *owners; /**< NULL: nodes do not follow the claims. */
	int64_t state_rev;
	GBytes *state;
	uint64_t state_known_from; /**< What node_t.known_from will be. */
	uint32_t workers_started;
	uint32_t lasting_jobs;
	int64_t end_ms;
};

/** Schedules an event. */
void world_schedule(world_t *w, int64_t delay_ms, event_fn fn, void *arg);

/** Draws a number from @p low to @p high, both included. */
int64_t world_random_between(world_t *w, int64_t low, int64_t high);

/** Draws true with a probability. */
bool world_random_bool(world_t *w, double probability);

/** The same for the later faults, from a generator of their own. */
int64_t world_fault_between(world_t *w, int64_t low, int64_t high);
bool world_fault_bool(world_t *w, double probability);

/** Returns the newest boot of a worker, or NULL. */
fake_worker_t *world_find_worker(world_t *w, const char *id);

/** Records a violated rule; the text of the first one is kept. */
void world_violation(world_t *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Prints a line if WORLD_TRACE is set. */
void world_trace(world_t *w, const char *event, const char *text);

/** Returns a job, or NULL. */
fake_job_t *world_find_job(world_t *w, const char *id);

/** Returns the actual state of a task. */
task_state_t *world_find_task(fake_job_t *job, const bw_task_name_t *task);

/** Formats the name of a task. */
void world_task_text(const bw_task_name_t *task, char *out, size_t bytes);

/** Returns whether all tasks of a job are done. */
bool world_all_done(const fake_job_t *job);

/** Returns whether a task of a job has failed as often as it may. */
bool world_any_out_of_attempts(const fake_job_t *job);

/** Returns whether a task of a job runs. */
bool world_any_running(const fake_job_t *job);

/** Records which lasting tasks are at work on a worker. */
void world_record_at_work(world_t *w, const fake_worker_t *worker);

/** Returns whether a node is alive and not paused. */
bool world_node_running(const world_t *w, const node_t *node);

/** Runs a node's scheduler and saves its state, if it has a fencing token. */
void world_run_sched(world_t *w, node_t *node);

/** Destroys a node's scheduler; answers to its calls will be ignored. */
void world_destroy_sched(node_t *node);

/**
 * Passes a stored job, and its cancellation, to a node's scheduler.
 * @param revision of the store that created it; 0: a notice does not tell
 */
void world_add_job(world_t *w, node_t *node, const fake_job_t *job,
		   int64_t revision);

/**
 * Event: a node reads the registrations and jobs from the store, and removes
 * finished jobs from it.
 */
void world_on_directory(world_t *w, void *arg);

/** Event: renews the owner's lease, elects an owner, runs all schedulers. */
void world_on_tick(world_t *w, void *arg);

/** Ends a node's ownership; its scheduler has learned of a newer owner. */
void world_superseded(void *ctx);

/** Releases the call of an event that does not run; ignores other events. */
void world_free_call(event_fn fn, void *arg);

/** Releases the save of an event that does not run; ignores other events. */
void world_free_save(event_fn fn, void *arg);

/** Callbacks of a node's scheduler; their context is the node. */
extern const bw_sched_ops_t world_sched_ops;

/** Ends a worker with its runs; another one starts on its machine later. */
void world_crash_worker(world_t *w, fake_worker_t *worker, bool silent,
			int64_t back_ms);

/** Draws which jobs crash workers, and crashes that have no such cause. */
void world_init_crashes(world_t *w);

/** Records a crash under each run of a worker. */
void world_record_crash(world_t *w, const fake_worker_t *worker);
/** Lets the owner be told that no machine runs a worker any more. */
void world_tell_end(world_t *w, fake_worker_t *worker);

/**
 * Checks the start of a task and, if it crashes its workers, schedules that.
 * @param delayed whether the order is carried out late
 */
void world_start_crashing(world_t *w, fake_worker_t *worker,
			  const bw_task_name_t *task, bool delayed);

/** Returns whether several workers have crashed under a task of a job. */
bool world_any_crashed_workers(const fake_job_t *job);

/** Counts a job that is shown as failed. */
void world_count_failed(world_t *w, fake_job_t *job);

/** Draws which steps have their data in a rack; the gangs are drawn before. */
void world_init_racks(world_t *w);

/** Returns the name of a worker's rack. */
const char *world_rack(const world_t *w, const fake_worker_t *worker);

/** Returns how many times as long a run takes away from its data; 0: none is.
 */
double world_remote_factor(const world_t *w);

/** Returns how long a run of a step takes on a worker. */
int64_t world_run_ms(const world_t *w, const fake_worker_t *worker,
		     const bw_step_spec_t *step, int64_t near_ms);

/** Draws which steps are gangs. */
void world_init_gangs(world_t *w);

/** Returns whether a task is a member of a gang. */
bool world_is_gang(world_t *w, const bw_task_name_t *task);

/** Lets a member that has just started wait for the others, or all work. */
void world_start_member(world_t *w, fake_worker_t *worker, guint index);

/** Ends the other members of a run's gang, if it is one. */
void world_end_others(world_t *w, const run_t *run, bw_end_kind_t kind);

/** Ends the members elsewhere of all gangs on a worker that has crashed. */
void world_break_gangs(world_t *w, const fake_worker_t *worker);

/** Ends a run, of whose gang the others are left as they are. */
void world_end_run(world_t *w, fake_worker_t *worker, guint index,
		   bw_end_kind_t kind);

/** Event: ends the runs of a worker whose time has come. */
void world_end_due_runs(world_t *w, void *arg);

/** Ends a node's process, which restarts. */
void world_kill_node(world_t *w, node_t *node, int64_t back_ms);

/** Ends the claim of the pool in the store. */
void world_end_claim(world_t *w);

/** Draws from the generator for chains of owners. */
int64_t world_owners_between(world_t *w, int64_t low, int64_t high);
bool world_owners_bool(world_t *w, double probability);

/** Lets the nodes follow the claims, if there are chains of owners. */
void world_init_owners(world_t *w);
void world_clear_owners(world_t *w);

/** Records that a node has claimed the pool, or that the claim is gone. */
void world_note_claim(world_t *w, const node_t *node);
void world_note_claim_end(world_t *w);

/** Releases the question of an event that does not run; ignores other events.
 */
void world_free_question(event_fn fn, void *arg);

/** Draws whose the jobs are, once they are drawn, and the caps. */
void world_init_tenants(world_t *w);

/** Tells a new owner's scheduler the tenants and their quotas. */
void world_set_tenants(world_t *w, bw_sched_t *sched);

/** Checks the cap of a job's tenant before a task of it starts. */
void world_check_cap(world_t *w, const fake_job_t *job,
		     const bw_resources_t *need);

/** Draws chains of owners, and which jobs have long runs. */
void world_init_chains(world_t *w);

/** Event: ends all faults of a worker that are not crashes. */
void world_on_worker_recovery(world_t *w, void *arg);

/** Draws the part of a configuration that concerns crashes. */
void world_draw_crashes(uint32_t seed, world_config_t *out);

#endif
