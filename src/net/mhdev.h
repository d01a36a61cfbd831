/**
 * @file
 * Runs a libmicrohttpd daemon on a libev loop.
 */
#ifndef BW_NET_MHDEV_H
#define BW_NET_MHDEV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

#include "base/status.h"

struct ev_loop;

/** An HTTP server. */
typedef struct bw_mhdev bw_mhdev_t;

/** Callbacks and limits of a server. */
typedef struct bw_mhdev_config {
	const char *address; /**< ip:port to listen on. */
	MHD_AccessHandlerCallback handler;
	/**
	 * Called with the URI of a new request; returns the handler's initial
	 * request state. May be NULL.
	 */
	void *(*uri)(void *ctx, const char *uri, struct MHD_Connection *c);
	MHD_RequestCompletedCallback completed; /**< May be NULL. */
	MHD_NotifyConnectionCallback connection; /**< May be NULL. */
	MHD_AcceptPolicyCallback accept; /**< May be NULL. */
	void *ctx; /**< Passed to all callbacks. */
	size_t connection_memory; /**< Bytes per connection, for headers. */
	uint32_t connections_max;
	uint32_t idle_timeout_s; /**< 0 is none. */
	int socket_buffer_bytes; /**< Of a connection; 0: the system's. */
} bw_mhdev_config_t;

/**
 * Starts a server.
 * @param out receives the server
 * @return BW_OK, BW_EINVAL for a bad address, or BW_EIO
 */
bw_status_t bw_mhdev_create(struct ev_loop *loop,
			    const bw_mhdev_config_t *config, bw_mhdev_t **out);

/** Ends a connection that is not suspended; its callbacks follow soon. */
void bw_mhdev_end(struct MHD_Connection *connection);

/** Stops listening; open connections are still served. */
void bw_mhdev_quiesce(bw_mhdev_t *m);

/** Stops the server, closing its connections; none may be suspended. */
void bw_mhdev_destroy(bw_mhdev_t *m);

/** Resumes a suspended connection; it is served in this loop iteration. */
void bw_mhdev_resume(bw_mhdev_t *m, struct MHD_Connection *connection);

#endif
