/**
 * @file
 * What one seed decides: the jobs that callers submit and the faults, with
 * their times. The answers that callers get depend on real processes and are
 * not part of it.
 */
#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "job/job.h"

#define SOAK_NODES 3U
#define SOAK_POOLS 2U
/** Pools without workers, of which each node has more than a few; what a node
 *  does for each pool goes on for all of them. */
#define SOAK_IDLE_POOLS 66U
/** Worker w is in pool w % SOAK_POOLS. */
#define SOAK_WORKERS   6U
#define SOAK_STEPS_MAX 3U
/** As a fault's node: all of them. */
#define SOAK_ALL_NODES SOAK_NODES
/** As a fault's node: the owner of its pool, by the claim in the store when the
 *  fault happens, or all others. It waits until there is a claim. */
#define SOAK_OWNER     (SOAK_NODES + 1U)
#define SOAK_NOT_OWNER (SOAK_NODES + 2U)
/** As a fault's target: the store in place of a worker. */
#define SOAK_STORE SOAK_WORKERS
/** As a fault's target: the worker of its pool that has the most runs when the
 *  fault happens, or all others of the pool. */
#define SOAK_BUSIEST	 (SOAK_WORKERS + 1U)
#define SOAK_NOT_BUSIEST (SOAK_WORKERS + 2U)
/** Failed runs after which a task makes its job fail. */
#define SOAK_ATTEMPTS_MAX 3U

typedef struct soak_step {
	uint32_t task_count;
	int64_t work_ms; /**< Of each task. */
	int64_t cpu_millis;
	bool fails_once; /**< The first run of the first task fails. */
} soak_step_t;

/** A job; each step starts after the one before. */
typedef struct soak_job {
	char id[BW_JOB_ID_CHARS + 1];
	uint32_t index; /**< In the plan. */
	uint32_t pool;
	int64_t at_ms; /**< When it is submitted, from the seed's begin. */
	uint32_t step_count;
	soak_step_t steps[SOAK_STEPS_MAX];
	uint32_t refusals_max; /**< Its caller gives up after so many. */
	int64_t repeat_ms; /**< Submitted again so long after the first answer
				2xx; 0: never. */
	int64_t cancel_ms; /**< Cancelled so long after it; 0: never. */
	uint32_t draw; /**< Decides which nodes its caller calls. */
} soak_job_t;

/** Kinds of faults; those before SOAK_LINK_KIND_COUNT are of one link. */
typedef enum soak_fault_kind {
	SOAK_CUT_ANSWERS, /**< Connections end when an answer begins. */
	SOAK_REFUSE, /**< The port refuses connections. */
	SOAK_TURN_AWAY, /**< The link answers itself, with a status. */
	SOAK_HOLD_REQUESTS, /**< Silent one way, towards the target. */
	SOAK_HOLD_ANSWERS,
	SOAK_DELAY, /**< Of all bytes, by some ms. */
	SOAK_THROTTLE, /**< To some bytes in a tick. */
	SOAK_RESET, /**< All open connections, once. */
	SOAK_LINK_KIND_COUNT,
	SOAK_TERMINATE = SOAK_LINK_KIND_COUNT,
	SOAK_KILL,
	SOAK_PAUSE,
	SOAK_STORE_DOWN,
	SOAK_CRASH, /**< Of a worker, which comes back. */
	SOAK_TAKE_CLAIM, /**< The claim of the pool is deleted. */
	SOAK_FAULT_KIND_COUNT
} soak_fault_kind_t;

typedef struct soak_fault {
	soak_fault_kind_t kind;
	int64_t at_ms;
	int64_t for_ms; /**< Of a restart: the time until it. */
	uint32_t node; /**< Or SOAK_ALL_NODES. */
	uint32_t target; /**< A worker, or SOAK_STORE. */
	uint32_t pool; /**< Whose owner and workers are meant. */
	int64_t amount; /**< Status, ms or bytes, by its kind. */
	/** A reset in place of a close; leases run on in an outage; a worker
	 *  comes back under its identifier. */
	bool hard;
	bool renewed; /**< It waits until the owner has renewed its lease. */
} soak_fault_t;

typedef struct soak_plan {
	uint32_t seed;
	int64_t length_ms; /**< All jobs are submitted and all faults over. */
	GArray *jobs; /**< soak_job_t, by time. */
	GArray *faults; /**< soak_fault_t, by time. */
} soak_plan_t;

/** What is drawn. */
typedef enum soak_plan_kind {
	SOAK_PLAN_MIXED, /**< Series of all kinds. */
	SOAK_PLAN_QUIET, /**< No faults. */
	SOAK_PLAN_OWNERS /**< Owners in turn, see plan_owners.h. */
} soak_plan_kind_t;

soak_plan_t *soak_plan_create(uint32_t seed, int64_t length_ms,
			      soak_plan_kind_t kind);

/** Gives the next job of the plan its number and a drawn identifier. */
void soak_plan_name_job(const soak_plan_t *plan, GRand *rand, soak_job_t *job);

/** Adds a fault. All end with the plan's time; those of later times are left
 *  out. */
void soak_plan_add_fault(soak_plan_t *plan, soak_fault_t fault);

void soak_plan_destroy(soak_plan_t *plan);

/** Returns the job with an identifier, or NULL. */
const soak_job_t *soak_plan_find(const soak_plan_t *plan, const char *id);

const char *soak_fault_name(soak_fault_kind_t kind);

#endif
