#include "standin/anyport.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

bw_status_t bw_anyport_reserve(const char *ip, bw_anyport_t *out)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	struct sockaddr *address = (struct sockaddr *)&in;
	socklen_t bytes = sizeof(in);
	int one = 1;

	if (inet_pton(AF_INET, ip, &in.sin_addr) != 1)
		return bw_status_set(BW_EINVAL, "\"%s\" is not an IPv4 address",
				     ip);
	out->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (out->fd < 0)
		return bw_status_set(BW_EIO, "cannot create a socket: %s",
				     strerror(errno));
	/* Both sockets need it for the server to bind the same port. */
	setsockopt(out->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(out->fd, address, bytes) < 0 ||
	    getsockname(out->fd, address, &bytes) < 0) {
		close(out->fd);
		return bw_status_set(BW_EIO, "no free port at %s: %s", ip,
				     strerror(errno));
	}
	out->port = ntohs(in.sin_port);
	g_snprintf(out->address, sizeof(out->address), "%s:%u", ip, out->port);
	g_snprintf(out->url, sizeof(out->url), "http://%s", out->address);
	return BW_OK;
}

void bw_anyport_release(bw_anyport_t *a)
{
	close(a->fd);
}
