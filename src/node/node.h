/**
 * @file
 * One entry: connects the tasks and the decisions.
 */
#ifndef BW_NODE_NODE_H
#define BW_NODE_NODE_H

#include <stdbool.h>

#include "base/status.h"
#include "conf/settings.h"

struct ev_loop;

typedef struct bw_node bw_node_t;

/**
 * Starts an entry.
 * @param settings must outlive the entry
 */
bw_status_t bw_node_create(struct ev_loop *loop, const bw_settings_t *settings,
			   bw_node_t **out);

/**
 * Stops gracefully: not ready, finishes what is in progress, gives up its
 * lease, then breaks the loop. A second call ends at once.
 */
void bw_node_stop(bw_node_t *n);

/** Whether callers still wait for answers. */
bool bw_node_busy(const bw_node_t *n);

/** Destroys an entry that is not busy. */
void bw_node_destroy(bw_node_t *n);

#endif
