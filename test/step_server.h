/**
 * @file
 * A server of raw HTTP on the loopback that does with each request what a test
 * says: for tests of clients, which need to see what a server's faults look
 * like on the connection.
 */
#ifndef BW_TEST_STEP_SERVER_H
#define BW_TEST_STEP_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

/** What the server does with a request, after the answer's bytes if any. */
typedef enum reaction {
	REACT_ANSWER,
	REACT_ANSWER_AND_CLOSE,
	REACT_CLOSE,
	REACT_RESET, /**< Closes with a TCP reset. */
	REACT_CLOSE_ALL, /**< Closes the listening socket as well. */
	REACT_NOTHING
} reaction_t;

typedef struct step {
	reaction_t reaction;
	const char *answer; /**< NULL: no bytes. */
} step_t;

typedef struct step_server {
	struct ev_loop *loop;
	int listen_fd;
	ev_io accept;
	char address[64]; /**< 127.0.0.1:port. */
	uint32_t port;
	GPtrArray *connections; /**< ev_io */
	uint32_t accepted;
	uint32_t requests;
	const step_t *steps; /**< For each request in turn; the last repeats. */
	uint32_t step_count;
	GString *last_request;
} step_server_t;

/** Listens on all addresses of the machine, on a port that is free. */
void step_server_open(step_server_t *s, struct ev_loop *loop,
		      const step_t *steps, uint32_t count);

/** Closes the listening socket and all connections. */
void step_server_close(step_server_t *s);

/** Closes the connection that was accepted first of those that are open. */
void step_server_drop_first(step_server_t *s);

/** Sends bytes that answer no request on the first open connection. */
void step_server_send_unasked(step_server_t *s, const char *bytes);

#endif
