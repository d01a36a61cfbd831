#include "net/curlconn.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

/** Two addresses and ports as text. */
#define KEY_BYTES 128

struct bw_curlconn {
	GHashTable *by_addresses; /**< Key of the addresses to socket + 1. */
	GHashTable *by_socket; /**< Socket + 1 to that key. */
};

bw_curlconn_t *bw_curlconn_create(void)
{
	bw_curlconn_t *c = g_new0(bw_curlconn_t, 1);

	c->by_addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->by_socket = g_hash_table_new(NULL, NULL);
	return c;
}

void bw_curlconn_destroy(bw_curlconn_t *c)
{
	g_hash_table_destroy(c->by_socket);
	g_hash_table_destroy(c->by_addresses);
	g_free(c);
}

static void format_key(char key[KEY_BYTES], const char *remote_ip,
		       int remote_port, const char *local_ip, int local_port)
{
	g_snprintf(key, KEY_BYTES, "%s:%d %s:%d", remote_ip, remote_port,
		   local_ip, local_port);
}

static void record(bw_curlconn_t *c, curl_socket_t fd, const char *remote_ip,
		   int remote_port, const char *local_ip, int local_port)
{
	char *key = g_malloc(KEY_BYTES);

	format_key(key, remote_ip, remote_port, local_ip, local_port);
	g_hash_table_replace(c->by_addresses, key, GINT_TO_POINTER(fd + 1));
	g_hash_table_replace(c->by_socket, GINT_TO_POINTER(fd + 1), key);
}

static int local_port_of(curl_socket_t fd)
{
	/* The port stands in the same place for IPv4. */
	struct sockaddr_in6 address = { 0 };
	socklen_t bytes = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &bytes) < 0)
		return 0;
	return ntohs(address.sin6_port);
}

void bw_curlconn_begin(bw_curlconn_t *c, curl_socket_t fd,
		       const char *remote_ip, int remote_port,
		       const char *local_ip, int local_port)
{
	if (fd != CURL_SOCKET_BAD && local_port_of(fd) == local_port)
		record(c, fd, remote_ip, remote_port, local_ip, local_port);
}

void bw_curlconn_keep(bw_curlconn_t *c, CURL *easy)
{
	curl_socket_t fd = CURL_SOCKET_BAD;
	char *remote_ip = NULL;
	char *local_ip = NULL;
	long remote_port = 0;
	long local_port = 0;

	curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &fd);
	if (fd == CURL_SOCKET_BAD ||
	    g_hash_table_contains(c->by_socket, GINT_TO_POINTER(fd + 1)))
		return;
	curl_easy_getinfo(easy, CURLINFO_PRIMARY_IP, &remote_ip);
	curl_easy_getinfo(easy, CURLINFO_PRIMARY_PORT, &remote_port);
	curl_easy_getinfo(easy, CURLINFO_LOCAL_IP, &local_ip);
	curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &local_port);
	record(c, fd, remote_ip, (int)remote_port, local_ip, (int)local_port);
}

int bw_curlconn_close(void *ctx, curl_socket_t fd)
{
	bw_curlconn_t *c = ctx;
	const char *key =
		g_hash_table_lookup(c->by_socket, GINT_TO_POINTER(fd + 1));

	if (key) {
		g_hash_table_remove(c->by_socket, GINT_TO_POINTER(fd + 1));
		g_hash_table_remove(c->by_addresses, key);
	}
	return close(fd);
}

bw_curlconn_state_t bw_curlconn_state(const bw_curlconn_t *c,
				      const char *remote_ip, int remote_port,
				      const char *local_ip, int local_port)
{
	char key[KEY_BYTES];
	gpointer found;
	char byte;
	ssize_t n;

	format_key(key, remote_ip, remote_port, local_ip, local_port);
	found = g_hash_table_lookup(c->by_addresses, key);
	if (!found)
		return BW_CURLCONN_NEW;
	n = recv(GPOINTER_TO_INT(found) - 1, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		return BW_CURLCONN_BYTES;
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
		return BW_CURLCONN_IDLE;
	return BW_CURLCONN_ENDED;
}
