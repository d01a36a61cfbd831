/**
 * @file
 * Questions to the owners of pools, which may be other nodes.
 */
#ifndef BW_FLEET_INQUIRY_H
#define BW_FLEET_INQUIRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "job/job.h"
#include "wire/bramley.pb-c.h"

struct ev_loop;

typedef struct bw_inquiry bw_inquiry_t;

/** What an owner says. */
typedef struct bw_inquiry_answer {
	bool holds; /**< The node may still give orders for the pool. */
	bool owner; /**< The node owns the pool; the rest is valid. */
	bw_job_state_t state;
	uint32_t waiting; /**< Jobs of the queue that have not begun. */
} bw_inquiry_answer_t;

/** @param answer NULL when none came in time */
typedef void (*bw_inquiry_fn)(void *ctx, const bw_inquiry_answer_t *answer);

/** Takes another message of a node; valid during the call. */
typedef void (*bw_inquiry_frame_fn)(void *ctx, const Bramley__Frame *frame);

/** Answers a question of another node. */
typedef void (*bw_inquiry_local_fn)(void *ctx, const char *pool,
				    const char *job, const char *queue,
				    bw_inquiry_answer_t *out);

/** Listens for other nodes. */
bw_status_t bw_inquiry_create(struct ev_loop *loop, const char *name,
			      const char *listen, uint64_t incarnation,
			      bw_inquiry_local_fn local,
			      bw_inquiry_frame_fn other, void *ctx,
			      bw_counters_t *counters, bw_inquiry_t **out);
void bw_inquiry_destroy(bw_inquiry_t *q);

/** Adds a node, or removes it when @p address is NULL. */
void bw_inquiry_node(bw_inquiry_t *q, const char *name, const char *address);

/**
 * Asks a node.
 * @param job NULL: only about the queue
 * @param queue NULL: only about the job
 */
void bw_inquiry_ask(bw_inquiry_t *q, const char *node, const char *pool,
		    const char *job, const char *queue, bw_inquiry_fn done,
		    void *ctx);

/** Sends a message to a node; it is lost if the node is not connected. */
void bw_inquiry_send(bw_inquiry_t *q, const char *node,
		     const Bramley__Frame *frame);

/** Sets what heartbeats tell of the store. */
void bw_inquiry_set_store_good(bw_inquiry_t *q, bool good);

/**
 * Whether the store is down for all: half of the known nodes, with this one,
 * have said so lately, and none has said otherwise.
 */
bool bw_inquiry_outage(const bw_inquiry_t *q, int64_t now_ms);

/** Sends heartbeats and ends questions without an answer. */
void bw_inquiry_tick(bw_inquiry_t *q, int64_t now_ms);

#endif
