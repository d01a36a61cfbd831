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

/** Types of messages to the relay's mailbox; the argument is a bw_call_t. */
typedef enum bw_relay_msg {
	BW_RELAY_REQUEST, /**< A complete request was read. */
	BW_RELAY_ANSWER_CONSUMED, /**< Answer bytes went to the caller. */
	BW_RELAY_RELEASED, /**< The front does not use the call any more. */
} bw_relay_msg_t;

typedef struct bw_front_config {
	const char *address; /**< ip:port to listen on for callers. */
	uint32_t connections_max;
	uint32_t connections_per_address_max;
	uint32_t idle_timeout_ms; /**< To send a complete request. */
	size_t header_bytes_max;
	size_t body_bytes_max;
	size_t body_memory_bytes; /**< For the bodies of all open requests. */
} bw_front_config_t;

/** Starts listening for callers. @param relay mailbox for bw_relay_msg_t */
bw_status_t bw_front_create(struct ev_loop *loop,
			    const bw_front_config_t *config, bw_mbox_t *relay,
			    bw_counters_t *counters, bw_front_t **out);

/** Stops accepting connections; answers now carry "Connection: close". */
void bw_front_quiesce(bw_front_t *f);

/** Destroys a front; no call may be open. */
void bw_front_destroy(bw_front_t *f);

/** Resumes sending: the answer of a call began, has more data or ended. */
void bw_front_answer_changed(bw_front_t *f, bw_call_t *call);

/** Returns the number of requests being read or answered. */
uint32_t bw_front_open_calls(const bw_front_t *f);

/** Returns the number of callers' connections. */
uint32_t bw_front_connections(const bw_front_t *f);

/** Returns the bytes held of callers' bodies. */
uint64_t bw_front_held_bytes(const bw_front_t *f);

#endif
