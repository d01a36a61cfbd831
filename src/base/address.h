/**
 * @file
 * Parses addresses.
 */
#ifndef BW_BASE_ADDRESS_H
#define BW_BASE_ADDRESS_H

#include <stdint.h>

#include "base/status.h"

/**
 * Splits an IPv4 address and port.
 * @param address text such as "127.0.0.1:8080"
 * @param ip receives the IP address
 * @param port receives the port, 1 to 65535
 * @return BW_OK or BW_EINVAL
 */
bw_status_t bw_address_split(const char *address, char ip[46], uint16_t *port);

#endif
