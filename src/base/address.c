#include "base/address.h"

#include <arpa/inet.h>
#include <string.h>

#include <glib.h>

bw_status_t bw_address_split(const char *address, char ip[46], uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	struct in_addr in4;
	guint64 number;

	if (!colon || colon - address >= 46)
		return bw_status_set(BW_EINVAL, "\"%s\" is not ip:port",
				     address);
	memcpy(ip, address, colon - address);
	ip[colon - address] = '\0';
	if (inet_pton(AF_INET, ip, &in4) != 1)
		return bw_status_set(BW_EINVAL, "\"%s\" is not an IPv4 address",
				     ip);
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &number, NULL))
		return bw_status_set(BW_EINVAL, "\"%s\" is not a port",
				     colon + 1);
	*port = (uint16_t)number;
	return BW_OK;
}
