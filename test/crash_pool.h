/**
 * @file
 * A pool of machines whose workers run what its scheduler starts, and crash.
 */
#ifndef BW_TEST_CRASH_POOL_H
#define BW_TEST_CRASH_POOL_H

#include "fleet/reports.h"
#include "sched_orders.h"

#define MACHINES_MAX 24
#define RUNS_MAX     64
#define STEP_MS	     50
/** A new worker is on the machine of a crashed one after this time. */
#define BACK_MS 3400

/** A machine with a worker; the worker's runs are listed to the scheduler. */
typedef struct machine {
	char name[16];
	char worker[16];
	uint32_t boots;
	bool up;
	bool silent; /**< Its answers are lost. */
	int64_t back_ms; /**< When it is up again. */
	uint32_t run_count;
	bw_run_row_t runs[RUNS_MAX];
	int64_t began_ms[RUNS_MAX];
} machine_t;

/** A pool in which the first task of some jobs crashes its workers. */
typedef struct pool {
	orders_t o;
	machine_t machines[MACHINES_MAX];
	uint32_t machine_count;
	const char *crashing_job; /**< NULL: none. */
	bool starts_unanswered;
	bool starts_refused; /**< As starts of runs that have ended before. */
	bool same_id; /**< Workers restart under their identifier. */
	bool late_starts; /**< Each is carried out by the worker's next boot. */
	bw_end_kind_t end_kind; /**< Of runs whose time has come. */
	int64_t back_ms; /**< Time until a crashed machine is up again. */
	/** Time until the controller tells that no machine runs a crashed
	 *  worker; 0: it does not. */
	int64_t unlisted_ms;
	bw_worker_end_t told_cause; /**< That it tells. */
	uint32_t handled; /**< Starts that were carried out. */
	uint32_t crashes; /**< Of workers, by the crashing job. */
	int64_t run_ms; /**< Runs end after this; 0: they do not. */
	uint64_t last_end;
} pool_t;

/** Creates a scheduler whose workers are known, one on each machine. */
void pool_begin(pool_t *p, uint32_t machines);
void pool_end(pool_t *p);

/** Registers a machine's worker. */
void pool_register(const pool_t *p, const machine_t *m, bool draining);

/** Starts a worker on a machine: a new one, or the same again. */
void pool_boot(pool_t *p, machine_t *m);
/** Ends a machine's worker with its runs; it is back after the pool's time. */
void pool_crash(const pool_t *p, machine_t *m);

/** Lets the workers report, the scheduler run, and its starts be carried out.
 */
void pool_step(pool_t *p);
void pool_play(pool_t *p, int64_t ms);

/** Passes the pool to a successor, in order or after a crash of the owner. */
void pool_change_owner(pool_t *p, bool in_order);

bw_job_state_t pool_state_of(const pool_t *p, const char *job);
/** Counts the starts of a job's tasks. */
uint32_t pool_starts_of(const pool_t *p, const char *job);
/** Lets time pass until so many runs of a job's tasks were started. */
void pool_await_starts(pool_t *p, const char *job, uint32_t count);
/** Lets time pass until so many workers have crashed, for 10 s at most. */
void pool_await_crashes(pool_t *p, uint32_t count);
/** Returns the machine with the given worker, or NULL. */
machine_t *pool_machine_with(pool_t *p, const char *worker);
/** Returns the machine on which a job's task was started last, or NULL. */
machine_t *pool_machine_of(pool_t *p, const char *job);

#endif
