/**
 * @file
 * Serves callers over HTTP/1.1: reads requests, hands them to the relay and
 * writes the answers.
 */
#ifndef BW_RELAY_FRONT_H
#define BW_RELAY_FRONT_H

#include "base/counters.h"
#include "base/mbox.h"
#include "relay/call.h"

struct ev_loop;

typedef struct bw_front bw_front_t;

/** Messages to the relay's mailbox; the argument is a bw_call_t. */
typedef enum bw_relay_msg {
	BW_RELAY_REQUEST, /**< A whole request was read. */
	BW_RELAY_DRAINED, /**< The caller took bytes of the answer. */
	BW_RELAY_GONE, /**< The front has finished with the call. */
} bw_relay_msg_t;

typedef struct bw_front_config {
	const char *address; /**< ip:port for callers. */
	uint32_t connections_max;
	uint32_t connections_per_address_max;
	uint32_t idle_timeout_ms; /**< To send a whole request. */
	size_t header_bytes_max;
	size_t body_bytes_max;
	size_t body_memory_bytes; /**< For the bodies of all requests. */
} bw_front_config_t;

/** Starts to serve callers. */
bw_status_t bw_front_create(struct ev_loop *loop,
			    const bw_front_config_t *config, bw_mbox_t *relay,
			    bw_counters_t *counters, bw_front_t **out);

/** Stops taking new connections. */
void bw_front_quiesce(bw_front_t *f);

/** Destroys a front; no call may be open. */
void bw_front_destroy(bw_front_t *f);

/** Tells that the answer can begin, goes on or has ended. */
void bw_front_answer(bw_front_t *f, bw_call_t *call);

/** Requests being read or answered. */
uint32_t bw_front_open_calls(const bw_front_t *f);

/** Callers' connections. */
uint32_t bw_front_connections(const bw_front_t *f);

#endif
