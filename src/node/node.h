/**
 * @file
 * One entry process: creates its modules and connects them.
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
 * @param out receives the entry; unchanged on failure
 * @return BW_OK, or the status of the server that could not be started
 */
bw_status_t bw_node_create(struct ev_loop *loop, const bw_settings_t *settings,
			   bw_node_t **out);

/**
 * Stops an entry gracefully: reports not ready, finishes the requests in
 * progress, revokes its lease, then breaks the loop. A second call breaks the
 * loop at once.
 */
void bw_node_stop(bw_node_t *n);

/** Returns whether callers still wait for answers. */
bool bw_node_busy(const bw_node_t *n);

/** Destroys an entry that is not busy; NULL is allowed. */
void bw_node_destroy(bw_node_t *n);

#endif
