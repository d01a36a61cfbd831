/**
 * @file
 * Stand-in for backend servers: many addresses of 127.0.0.0/8 in one process.
 *
 * The query of a request sets what it does: ms (service time), bytes (size of
 * the answer's padding). The answer repeats the request's method, target and
 * X-Token header, so that a caller can tell its own answer. Requests with an
 * Idempotency-Key are counted by key.
 *
 * The control address takes POST /standin/worker?index=N&mode=M&ms=T (modes:
 * ok, fail, drop, hang; index -1 is all; ms is added to the service time), GET
 * /standin/stats, GET /standin/keys (a line per key: runs and key) and GET
 * /standin/workers.
 */
#ifndef BW_STANDIN_BACKEND_H
#define BW_STANDIN_BACKEND_H

#include <stdint.h>

#include "base/status.h"

struct ev_loop;

typedef struct bw_standin_backend bw_standin_backend_t;

typedef struct bw_standin_backend_config {
	const char *control; /**< ip:port of the control address. */
	const char *first_ip; /**< First of the workers' IPs. */
	uint16_t port;
	uint32_t count; /**< Workers, at consecutive IPs. */
	uint32_t slots; /**< Requests of a worker that run at once. */
	uint32_t service_ms; /**< Time of a request that names none. */
} bw_standin_backend_config_t;

/** Starts the stand-in. */
bw_status_t bw_standin_backend_create(struct ev_loop *loop,
				      const bw_standin_backend_config_t *config,
				      bw_standin_backend_t **out);

/** Stops it. */
void bw_standin_backend_destroy(bw_standin_backend_t *b);

#endif
