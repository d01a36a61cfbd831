/**
 * @file
 * A fleet node's interface for operators: status, pools, jobs and waves as
 * JSON, and metrics as text.
 */
#ifndef BW_FLEET_OPERATORS_H
#define BW_FLEET_OPERATORS_H

#include <glib.h>
#include <jansson.h>

#include "base/status.h"
#include "fleet/request.h"

struct ev_loop;

typedef struct bw_fleet_operators bw_fleet_operators_t;

/** What the interface shows. */
typedef struct bw_fleet_operators_ops {
	json_t *(*status)(void *ctx);
	json_t *(*pools)(void *ctx);
	json_t *(*waves)(void *ctx);
	/** Jobs of a pool that this node owns, or NULL. */
	json_t *(*jobs)(void *ctx, const char *pool);
	/** Appends gauges. */
	void (*gauges)(void *ctx, GString *out);
} bw_fleet_operators_ops_t;

bw_status_t bw_fleet_operators_create(struct ev_loop *loop, const char *address,
				      const bw_request_handler_t *requests,
				      const bw_fleet_operators_ops_t *ops,
				      void *ctx, bw_fleet_operators_t **out);
void bw_fleet_operators_destroy(bw_fleet_operators_t *o);

#endif
