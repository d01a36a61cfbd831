/**
 * @file
 * Parts of the world test: its events and truth (world.c), fake workers and the
 * calls to them (world_worker.c), nodes and the store (world_node.c).
 */
#ifndef BW_TEST_WORLD_INTERNAL_H
#define BW_TEST_WORLD_INTERNAL_H

#include <glib.h>

#include "sched/sched.h"
#include "world.h"

#define NODES	  3
#define WORKERS	  7
#define LEASE_MS  2000
#define GRANT_MS  5000
#define OUTAGE_MS 3500
#define STOP_MS	  400
/** A task that lasts is at work after this. */
#define START_UP_MS	300
#define TICK_MS		100
#define DIRECTORY_MS	800
#define CALL_TIMEOUT_MS 700
#define LATE_MAX_MS	12000
#define SAVE_GAP_MS	60
#define ATTEMPTS	3
#define LOOK_MS		20
#define STRANDED_MS	30000
/** A reading of the store may be so old. */
#define STALE_MS	2000
#define REMOVED_AT_ONCE 4
/** Jobs that last take no more than a part of the room. */
#define LASTING_MAX 2

typedef struct world world_t;
typedef void (*event_fn)(world_t *w, void *arg);

typedef struct event {
	int64_t at_ms;
	uint64_t number;
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
	int64_t began_ms;
	int64_t ends_ms; /**< INT64_MAX for tasks that last. */
} run_t;

/** What the world knows of a task. */
typedef struct truth {
	uint32_t running; /**< Runs on live workers. */
	bool done;
	bool done_acked;
	bool away; /**< Ended by an order, and not at work again. */
	uint32_t failed_acked;
	uint32_t failed;
} truth_t;

typedef struct fake_job {
	char id[BW_JOB_ID_CHARS + 1];
	bw_job_record_t record;
	bool poison;
	int64_t stored_ms;
	int64_t cancelled_ms; /**< 0: not. */
	bool shown; /**< As completed. */
	bool shown_cancelled;
	int64_t removed_ms; /**< 0: still in the store. */
	truth_t *tasks;
} fake_job_t;

typedef struct fake_end {
	uint64_t number;
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
} fake_end_t;

typedef struct fake_worker {
	uint32_t machine;
	char id[32];
	char name[32];
	bool alive;
	bool dark; /**< When dead, calls get no answer instead of a refusal. */
	bool registered;
	bool bad; /**< Fails all that it starts. */
	bool wanted; /**< Its owner is to empty it. */
	int64_t born_ms;
	int64_t registered_until_ms;
	double rate;
	uint64_t fence;
	int64_t deadline;
	uint64_t last_end;
	uint64_t acked;
	GArray *runs;
	GArray *ends;
	GHashTable *highest; /**< Task text to the highest run ended there. */
	bool cut[NODES];
} fake_worker_t;

typedef struct node {
	world_t *w;
	uint32_t index;
	bool alive;
	int64_t paused_until_ms;
	bool store_cut;
	int64_t lease_until_ms; /**< By its own knowledge. */
	bw_sched_t *sched;
	uint64_t fence;
	uint64_t life; /**< Answers to an earlier life are dropped. */
	int64_t state_rev;
	uint64_t saving;
	bool save_out;
	bool leaving; /**< Hands its pool over. */
	int64_t saved_at_ms;
} node_t;

struct world {
	world_config_t config;
	world_result_t *result;
	GRand *rand;
	GSequence *events;
	uint64_t last_event;
	int64_t now_ms;
	node_t nodes[NODES];
	GPtrArray *workers; /**< All that ever lived. */
	GPtrArray *jobs;
	bool store_down;
	int64_t rev;
	uint64_t owner_fence; /**< 0: none. */
	int64_t owner_until_ms;
	uint32_t owner_node;
	int64_t state_rev;
	GBytes *state;
	uint32_t births;
	uint32_t lasting;
	int64_t end_ms;
};

void world_at(world_t *w, int64_t delay_ms, event_fn fn, void *arg);
int64_t world_between(world_t *w, int64_t low, int64_t high);
void world_breach(world_t *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
bool world_chance(world_t *w, double share);
fake_job_t *world_find_job(world_t *w, const char *id);
truth_t *world_find_truth(fake_job_t *job, const bw_task_name_t *task);
void world_task_text(const bw_task_name_t *task, char *out, size_t bytes);
void world_trace(world_t *w, const char *event, const char *text);
bool world_all_done(const fake_job_t *job);
bool world_any_out_of_tries(const fake_job_t *job);
bool world_any_running(const fake_job_t *job);
void world_drop_sched(node_t *node);
void world_give_job(world_t *w, node_t *node, const fake_job_t *job);
bool world_node_works(const world_t *w, const node_t *node);
void world_on_directory(world_t *w, void *arg);
void world_on_tick(world_t *w, void *arg);
void world_order_superseded(void *ctx);
void world_run_node(world_t *w, node_t *node);

/** Releases a call whose event is not carried out; other events are ignored. */
void world_call_drop(event_fn fn, void *arg);
/** Releases a save whose event is not carried out; other events are ignored. */
void world_save_drop(event_fn fn, void *arg);

/** What a node's scheduler orders; its context is the node. */
extern const bw_sched_ops_t world_sched_ops;

#endif
