/**
 * @file
 * A fleet node's HTTP interface for operators: status, pools, tenants, jobs and
 * waves as JSON, and metrics as text. Operators can also submit, query and
 * cancel jobs.
 */
#ifndef BW_FLEET_OPERATORS_H
#define BW_FLEET_OPERATORS_H

#include <glib.h>
#include <jansson.h>

#include "base/status.h"
#include "fleet/request.h"

struct ev_loop;

typedef struct bw_fleet_operators bw_fleet_operators_t;

/** Supplies the data; the interface releases the returned JSON values. */
typedef struct bw_fleet_operators_ops {
	json_t *(*status)(void *ctx);
	json_t *(*pools)(void *ctx);
	json_t *(*waves)(void *ctx);
	json_t *(*tenants)(void *ctx);
	/** Returns a pool's jobs, or NULL if this node does not own it. */
	json_t *(*jobs)(void *ctx, const char *pool);
	/** Appends gauges in the text format of metrics. */
	void (*gauges)(void *ctx, GString *out);
} bw_fleet_operators_ops_t;

/**
 * Starts to listen.
 * @param address ip:port
 * @param requests serves requests about jobs
 */
bw_status_t bw_fleet_operators_create(struct ev_loop *loop, const char *address,
				      const bw_request_handler_t *requests,
				      const bw_fleet_operators_ops_t *ops,
				      void *ctx, bw_fleet_operators_t **out);
void bw_fleet_operators_destroy(bw_fleet_operators_t *o);

#endif
