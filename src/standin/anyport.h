/**
 * @file
 * Addresses with a port that the system chooses, for servers that need their
 * address before they listen.
 */
#ifndef BW_STANDIN_ANYPORT_H
#define BW_STANDIN_ANYPORT_H

#include <stdint.h>

#include "base/status.h"

/** A reserved address. */
typedef struct bw_anyport {
	int fd; /**< Holds the port; it does not listen. */
	uint16_t port;
	char address[64]; /**< ip:port. */
	char url[80]; /**< http://ip:port. */
} bw_anyport_t;

/**
 * Reserves a free port of an IP address. Until the release the system gives the
 * port to nobody else, calls to it are refused, and a server that sets
 * SO_REUSEADDR can listen on it.
 * @return BW_OK, BW_EINVAL for a bad IP address, or BW_EIO
 */
bw_status_t bw_anyport_reserve(const char *ip, bw_anyport_t *out);

/** Releases an address; a server that listens on it keeps it. */
void bw_anyport_release(bw_anyport_t *a);

#endif
