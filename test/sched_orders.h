/**
 * @file
 * A pool's scheduler whose orders are recorded, for tests that answer them.
 */
#ifndef BW_TEST_SCHED_ORDERS_H
#define BW_TEST_SCHED_ORDERS_H

#include "sched/sched.h"

#define ORDERS_MAX  1024
#define ADVISED_MAX 256
#define JOB_A	    "00000000000000aa"
#define JOB_B	    "00000000000000bb"
#define JOB_EARLY   "00000000000000cc"
#define DAY_MS	    ((int64_t)86400000)

/** A scheduler and the orders that it sent. */
typedef struct orders {
	bw_sched_t *sched;
	struct {
		bw_task_name_t task;
		uint32_t run;
		int64_t answer_ms; /**< Limit on the wait for its answer. */
		char worker[16];
		char checkpoint[16]; /**< Of a start; empty: none. */
	} starts[ORDERS_MAX], stops[ORDERS_MAX];
	uint32_t start_count;
	uint32_t stop_count;
	uint32_t heartbeat_count;
	uint32_t heartbeats_at_start; /**< Sent before the last start. */
	uint32_t stops_at_start; /**< The same of stops. */
	int64_t grant_clock_ms; /**< Of the last heartbeat; 0: none. */
	uint64_t acked; /**< The same of its acknowledged end. */
	uint64_t fence; /**< The same of its fencing token. */
	bool same_boot; /**< The same of its flag for a kept connection. */
	bool keeps_no_connection; /**< A worker closes each after an answer. */
	int64_t heartbeat_wait_ms; /**< The same of its wait for an end. */
	int64_t heartbeat_answer_ms; /**< And of that for the answer. */
	/** Worker with a held run 1 of JOB_A, NULL: none. An order to start
	 * this very run there is a question, and none of the starts above. */
	const char *held_on;
	uint32_t question_count;
	uint32_t stops_answered; /**< By held_pass(). */
	uint32_t questions_answered;
	uint32_t superseded;
	uint32_t advice_calls;
	uint32_t advice_count; /**< Workers that the last one named. */
	char advised[ADVISED_MAX][16]; /**< The same: their identifiers. */
	int64_t now_ms;
	double remote_factor; /**< Setting; 0: none. */
} orders_t;

/** Callbacks that record the orders in an orders_t. */
extern const bw_sched_ops_t orders_ops;

/** Creates a scheduler with the queue "q", which allows three attempts. */
void orders_begin(orders_t *o);

/** The same; a job that arrives longer after the last save waits. */
void orders_begin_confirming(orders_t *o, int64_t confirm_ms);

/** The same; tasks away from their rack take this many times as long. */
void orders_begin_remote(orders_t *o, double remote_factor);

/** The same with one worker, w1, in its stored state. */
void orders_begin_with_worker(orders_t *o);

void orders_add_worker_with(orders_t *o, const char *id, int64_t cpu_millis);

/** Adds a worker with eight cores. */
void orders_add_worker(orders_t *o, const char *id);

/** Registers a boot of w1; its first one started at 5. */
void orders_register_boot(orders_t *o, int64_t started_ms);

/** Answers a heartbeat that was sent just now. */
void orders_answer_heartbeat(orders_t *o, const char *id,
			     const bw_run_row_t *runs, uint32_t run_count,
			     const bw_end_row_t *ends, uint32_t end_count);

/** The same for a worker with another start time than 5. */
void orders_answer_as_boot(orders_t *o, const char *id, int64_t started_ms,
			   const bw_run_row_t *runs, uint32_t run_count,
			   const bw_end_row_t *ends, uint32_t end_count);

/** What a boot of w1 says in an answer to a heartbeat. */
typedef struct orders_boot {
	int64_t started_ms;
	int64_t clock_ms;
	const bw_run_row_t *runs;
	uint32_t run_count;
	const bw_end_row_t *ends;
	uint32_t end_count;
} orders_boot_t;

/** The same with the boot's clock. */
void orders_answer_boot(orders_t *o, const orders_boot_t *boot);

/** Lets a heartbeat have no answer. */
void orders_fail_heartbeat(orders_t *o, const char *id);

/** Creates the scheduler of a successor from the state of an earlier owner,
 * which ends. */
void orders_succeed(orders_t *before, orders_t *o);

/** Stores the scheduler's state. */
void orders_save(orders_t *o);

/** Lets time pass, then runs the scheduler. */
void orders_run(orders_t *o, int64_t ms);

/** Adds a job of one step. */
void orders_add_job(orders_t *o, const char *id, uint32_t tasks, bool lasting,
		    int64_t cpu_millis, uint32_t estimate_ms);

/** Answers the questions that are not answered yet. */
void orders_answer_questions(orders_t *o, bw_order_result_t result);

/** Fills in the row of a run of a lasting task of JOB_A that is at work. */
void orders_init_lasting_row(bw_run_row_t *row, uint32_t index);

#endif
