/**
 * @file
 * The connections that libcurl keeps. Before it sends a request, libcurl tells
 * the addresses of the connection, but not its socket; this finds the socket,
 * to see whether the connection can still take a request.
 */
#ifndef BW_NET_CURLCONN_H
#define BW_NET_CURLCONN_H

#include <curl/curl.h>

typedef struct bw_curlconn bw_curlconn_t;

/** State of a connection before a request is sent. */
typedef enum bw_curlconn_state {
	BW_CURLCONN_NEW, /**< It has taken no request. */
	BW_CURLCONN_IDLE, /**< Kept; open, and without bytes to read. */
	BW_CURLCONN_ENDED, /**< Kept; closed by the other side. */
	BW_CURLCONN_BYTES /**< Kept; has bytes that answer no request. */
} bw_curlconn_state_t;

bw_curlconn_t *bw_curlconn_create(void);

/** All connections must have been closed. */
void bw_curlconn_destroy(bw_curlconn_t *c);

/**
 * Records a new connection that takes its first request. Another transfer may
 * get it before the end of this one is reported.
 * @param fd the socket that was opened last, perhaps of another connection
 */
void bw_curlconn_begin(bw_curlconn_t *c, curl_socket_t fd,
		       const char *remote_ip, int remote_port,
		       const char *local_ip, int local_port);

/** Records the connection of a transfer that has ended well, if need be. */
void bw_curlconn_keep(bw_curlconn_t *c, CURL *easy);

/** Closes a socket; for CURLOPT_CLOSESOCKETFUNCTION. @param ctx connections */
int bw_curlconn_close(void *ctx, curl_socket_t fd);

/** Returns the state of the connection between two addresses. */
bw_curlconn_state_t bw_curlconn_state(const bw_curlconn_t *c,
				      const char *remote_ip, int remote_port,
				      const char *local_ip, int local_port);

#endif
