/**
 * @file
 * Stand-in for backend servers: one process that listens on many addresses of
 * 127.0.0.0/8.
 *
 * Query arguments of a request: ms (service time) and bytes (size of the
 * padding in the answer). The answer repeats the request's method, target and
 * X-Token header, so that a caller can check that the answer belongs to its
 * request. Requests with an Idempotency-Key header are counted per key.
 *
 * The control address serves POST /standin/worker?index=N&mode=M&ms=T (modes:
 * ok, fail, drop, hang; index -1 stands for all workers; ms is added to the
 * service time), GET /standin/stats, GET /standin/keys (a line per key: number
 * of runs and key) and GET /standin/workers.
 */
#ifndef BW_STANDIN_BACKEND_H
#define BW_STANDIN_BACKEND_H

#include <stdint.h>

#include "base/status.h"

struct ev_loop;

typedef struct bw_standin_backend bw_standin_backend_t;

/** Addresses and behaviour of the servers, which are called workers. */
typedef struct bw_standin_backend_config {
	const char *control; /**< ip:port of the control address. */
	const char *first_ip; /**< IPv4 address of the first worker. */
	uint16_t port;
	uint32_t count; /**< Number of workers, at consecutive addresses. */
	uint32_t slots; /**< Requests that a worker runs at once. */
	uint32_t service_ms; /**< Service time of a request without ms. */
} bw_standin_backend_config_t;

/**
 * Starts the stand-in.
 * @return BW_OK, BW_EINVAL for a bad address, or BW_EIO
 */
bw_status_t bw_standin_backend_create(struct ev_loop *loop,
				      const bw_standin_backend_config_t *config,
				      bw_standin_backend_t **out);

/** Stops the stand-in; NULL is allowed. */
void bw_standin_backend_destroy(bw_standin_backend_t *b);

#endif
