/*
 * A crowd of clients that nobody controls, against one process:
 *
 *   crowd --target=IP:PORT --pid=PID --kind=KIND --memory-mb=N
 *         --descriptors=N [--path=PATH] [--host=HOST] [--count=N]
 *         [--ordinary=IP:PORT] [--get=PATH]
 *
 * Each client opens a connection and sends one request. Three of four stop just
 * short of its end, and all stay open. Then one ordinary request is sent.
 * Checks that the process lives, that its memory, with what it has not read
 * yet, and its descriptors stay under the bounds, and that the request is
 * answered.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/address.h"

#define BODY_BYTES	  262144
#define SPEC_BYTES	  4000
#define PIECE_BYTES	  4096
#define LARGE_CHUNK_BYTES 32768
#define SMALL_CHUNK_BYTES 32
#define HEADER_BYTES	  14000
#define HEADER_LINE_BYTES 100
#define SHORT_BYTES	  40 /* Left out by those that stop short. */
#define KIB		  1024
#define ORDINARY_BYTES	  200
/* One of so many sends its whole request. */
#define WHOLE_EVERY 4
/* The crowd has sent all that it could when nothing moves for so long. */
#define STILL_MS  1000
#define SAMPLE_MS 20
/* Far more than an answer takes; it only tells a hang from an answer. */
#define HANG_S	     20
#define ANSWER_BYTES 4096

typedef enum kind {
	KIND_WHOLE,
	KIND_PIECES,
	KIND_CHUNKS,
	KIND_SMALL_CHUNKS,
	KIND_HEADERS,
	KIND_IDLE,
	KIND_FRAMES, /* What nodes send each other. */
	KIND_COUNT
} kind_t;

typedef struct client {
	int fd;
	GString *request;
	size_t end; /* Sends up to here. */
	size_t sent;
	bool ended; /* The process closed the connection. */
} client_t;

/* The most that was seen of the process. */
typedef struct peak {
	int64_t resident_kb;
	int64_t unread_kb;
	int64_t together_kb;
	uint32_t descriptors;
} peak_t;

static const char *const kind_names[KIND_COUNT] = {
	[KIND_WHOLE] = "whole",	    [KIND_PIECES] = "pieces",
	[KIND_CHUNKS] = "chunks",   [KIND_SMALL_CHUNKS] = "small-chunks",
	[KIND_HEADERS] = "headers", [KIND_IDLE] = "idle",
	[KIND_FRAMES] = "frames",
};

static char *option_target;
static char *option_kind;
static char *option_path = "/";
static char *option_host = "localhost";
static char *option_ordinary;
static char *option_get;
static int option_pid;
static int option_count = 300;
static int option_memory_mb;
static int option_descriptors;

static GOptionEntry options[] = {
	{ "target", 0, 0, G_OPTION_ARG_STRING, &option_target, NULL, NULL },
	{ "kind", 0, 0, G_OPTION_ARG_STRING, &option_kind, NULL, NULL },
	{ "path", 0, 0, G_OPTION_ARG_STRING, &option_path, NULL, NULL },
	{ "host", 0, 0, G_OPTION_ARG_STRING, &option_host, NULL, NULL },
	{ "ordinary", 0, 0, G_OPTION_ARG_STRING, &option_ordinary, NULL, NULL },
	{ "get", 0, 0, G_OPTION_ARG_STRING, &option_get, NULL, NULL },
	{ "pid", 0, 0, G_OPTION_ARG_INT, &option_pid, NULL, NULL },
	{ "count", 0, 0, G_OPTION_ARG_INT, &option_count, NULL, NULL },
	{ "memory-mb", 0, 0, G_OPTION_ARG_INT, &option_memory_mb, NULL, NULL },
	{ "descriptors", 0, 0, G_OPTION_ARG_INT, &option_descriptors, NULL,
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static struct sockaddr_in target;
static struct sockaddr_in ordinary;

static void die(const char *what)
{
	fprintf(stderr, "crowd: %s: %s\n", what, strerror(errno));
	exit(2);
}

static kind_t parse_kind(void)
{
	int i;

	for (i = 0; i < KIND_COUNT; i++)
		if (option_kind && !strcmp(option_kind, kind_names[i]))
			return i;
	errno = EINVAL;
	die("kind");
	return KIND_COUNT;
}

/* A job as large as a body may be: the space is legal and means nothing. */
static GString *job_body(size_t bytes)
{
	GString *out = g_string_new("{\"spec\":\"");
	static const char end[] =
		"\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,"
		"\"est_duration_ms\":1000}]}";
	size_t text = MIN(bytes, SPEC_BYTES);

	while (out->len < text)
		g_string_append_c(out, 'a');
	while (out->len + strlen(end) < bytes)
		g_string_append(out, out->len == text ? "\"" : " ");
	if (out->len > text)
		g_string_append(out, end + 1);
	else
		g_string_append(out, end);
	return out;
}

static void append_head(GString *out, uint32_t number, bool has_body)
{
	g_string_append_printf(out,
			       "%s %s%016x HTTP/1.1\r\nHost: %s\r\n"
			       "X-Deadline-Remaining: 3000\r\n",
			       has_body ? "POST" : "GET", option_path,
			       0x10000000U + number, option_host);
}

static void append_chunks(GString *out, const GString *body, size_t chunk)
{
	size_t at;

	for (at = 0; at < body->len; at += chunk) {
		size_t n = MIN(chunk, body->len - at);

		g_string_append_printf(out, "%zx\r\n", n);
		g_string_append_len(out, body->str + at, (gssize)n);
		g_string_append(out, "\r\n");
	}
	g_string_append(out, "0\r\n\r\n");
}

/* A frame of a length that frames may have, whose end doesn't come. */
static void append_frame(GString *out, const GString *body)
{
	uint32_t length = htonl((uint32_t)body->len + PIECE_BYTES);

	g_string_append_len(out, "BW\001", 4);
	g_string_append_len(out, (const char *)&length, sizeof(length));
	g_string_append_len(out, body->str, (gssize)body->len);
}

static GString *make_request(kind_t kind, uint32_t number, size_t body_bytes)
{
	GString *out = g_string_new(NULL);
	GString *body = job_body(body_bytes);

	append_head(out, number, kind < KIND_HEADERS);
	if (kind == KIND_CHUNKS || kind == KIND_SMALL_CHUNKS) {
		g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
		append_chunks(out, body,
			      kind == KIND_CHUNKS ? LARGE_CHUNK_BYTES
						  : SMALL_CHUNK_BYTES);
	} else if (kind == KIND_HEADERS) {
		while (out->len < HEADER_BYTES)
			g_string_append_printf(out, "X-%zu: %0*d\r\n", out->len,
					       HEADER_LINE_BYTES, 0);
	} else if (kind == KIND_FRAMES) {
		g_string_truncate(out, 0);
		append_frame(out, body);
	} else if (kind == KIND_IDLE) {
		g_string_truncate(out, 0);
	} else {
		g_string_append_printf(out, "Content-Length: %zu\r\n\r\n",
				       body->len);
		g_string_append_len(out, body->str, (gssize)body->len);
	}
	g_string_free(body, TRUE);
	return out;
}

static int open_connection(const struct sockaddr_in *to, int flags)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);

	if (fd < 0)
		die("socket");
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) < 0 &&
	    errno != EINPROGRESS)
		die("connect");
	return fd;
}

static void client_init(client_t *c, kind_t kind, uint32_t number)
{
	c->request = make_request(kind, number, BODY_BYTES);
	c->end = c->request->len;
	if (number % WHOLE_EVERY != 0 && c->end > SHORT_BYTES)
		c->end -= SHORT_BYTES;
	c->fd = open_connection(&target, SOCK_NONBLOCK);
}

/* Sends once and reads what there is; returns whether anything moved. */
static bool client_step(client_t *c, size_t piece)
{
	char answer[ANSWER_BYTES];
	size_t left = c->end - c->sent;
	ssize_t n;
	bool moved = false;

	if (c->ended)
		return false;
	if (left > 0) {
		n = send(c->fd, c->request->str + c->sent, MIN(left, piece),
			 MSG_NOSIGNAL);
		if (n > 0) {
			c->sent += (size_t)n;
			moved = true;
		} else if (n < 0 && errno != EAGAIN && errno != ENOTCONN) {
			c->ended = true;
			return true;
		}
	}
	n = recv(c->fd, answer, sizeof(answer), 0);
	if (n > 0)
		return true;
	if (n == 0 || (errno != EAGAIN && errno != ENOTCONN))
		c->ended = true;
	return moved || c->ended;
}

static int64_t resident_kb(void)
{
	char path[64];
	char *text = NULL;
	const char *line;
	int64_t out = -1;

	g_snprintf(path, sizeof(path), "/proc/%d/status", option_pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmRSS:");
		if (line)
			out = g_ascii_strtoll(line + strlen("VmRSS:"), NULL,
					      10);
	}
	g_free(text);
	return out;
}

/* Bytes that the kernel holds for the process's port and nobody has read. */
static int64_t unread_kb(void)
{
	char local[32];
	char *text = NULL;
	int64_t bytes = 0;
	char *line;

	g_snprintf(local, sizeof(local), "%08X:%04X", target.sin_addr.s_addr,
		   ntohs(target.sin_port));
	if (!g_file_get_contents("/proc/net/tcp", &text, NULL, NULL))
		return 0;
	for (line = text; (line = strstr(line, local)); line++) {
		/* Only where it is the local address, the first one. */
		if (line - text < 2 || line[-2] != ':')
			continue;
		line = strchr(line + strlen(local) + 1 + strlen(local) + 4,
			      ':');
		if (!line)
			break;
		bytes += g_ascii_strtoll(line + 1, NULL, 16);
	}
	g_free(text);
	return bytes / KIB;
}

static uint32_t descriptors(void)
{
	char path[64];
	GDir *dir;
	uint32_t out = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/fd", option_pid);
	dir = g_dir_open(path, 0, NULL);
	if (!dir)
		return 0;
	while (g_dir_read_name(dir))
		out++;
	g_dir_close(dir);
	return out;
}

static void sample(peak_t *peak)
{
	int64_t resident = resident_kb();
	int64_t unread = unread_kb();

	peak->resident_kb = MAX(peak->resident_kb, resident);
	peak->unread_kb = MAX(peak->unread_kb, unread);
	peak->together_kb = MAX(peak->together_kb, resident + unread);
	peak->descriptors = MAX(peak->descriptors, descriptors());
}

static void play(client_t *clients, kind_t kind, peak_t *peak)
{
	size_t piece = kind == KIND_WHOLE ? BODY_BYTES : PIECE_BYTES;
	int64_t moved_us = g_get_monotonic_time();
	int64_t sampled_us = 0;
	int64_t now_us;
	int i;

	do {
		bool moved = false;

		for (i = 0; i < option_count; i++)
			moved = client_step(&clients[i], piece) || moved;
		now_us = g_get_monotonic_time();
		if (moved)
			moved_us = now_us;
		else
			g_usleep(1000);
		if (now_us - sampled_us >= SAMPLE_MS * 1000) {
			sample(peak);
			sampled_us = now_us;
		}
	} while (now_us - moved_us < STILL_MS * 1000);
	sample(peak);
}

static GString *make_ordinary(void)
{
	GString *out;

	if (!option_get)
		return make_request(KIND_WHOLE, (uint32_t)option_count,
				    ORDINARY_BYTES);
	out = g_string_new(NULL);
	g_string_printf(out, "GET %s HTTP/1.1\r\nHost: localhost\r\n\r\n",
			option_get);
	return out;
}

/* Sends one ordinary request; returns the status of its answer, 0 is none. */
static int ordinary_request(void)
{
	struct timeval hang = { .tv_sec = HANG_S };
	GString *request = make_ordinary();
	char answer[ANSWER_BYTES] = "";
	int fd = open_connection(&ordinary, 0);
	int status = 0;
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &hang, sizeof(hang));
	if (send(fd, request->str, request->len, MSG_NOSIGNAL) ==
	    (ssize_t)request->len) {
		n = recv(fd, answer, sizeof(answer) - 1, 0);
		if (n <= 0 || sscanf(answer, "HTTP/1.1 %d", &status) != 1)
			status = 0;
	}
	close(fd);
	g_string_free(request, TRUE);
	return status;
}

static bool check(bool good, const char *what)
{
	if (!good)
		printf("FAILED: %s\n", what);
	return good;
}

static bool judge(const peak_t *peak, int status)
{
	bool good = check(kill(option_pid, 0) == 0 && resident_kb() > 0,
			  "the process has ended");

	good = check(peak->together_kb <= (int64_t)option_memory_mb * KIB,
		     "memory is over the bound") &&
	       good;
	good = check(peak->descriptors <= (uint32_t)option_descriptors,
		     "descriptors are over the bound") &&
	       good;
	return check(status >= 200 && status < 300,
		     "the ordinary request is not served") &&
	       good;
}

static void parse_address(const char *text, struct sockaddr_in *out)
{
	char ip[46];
	uint16_t port;

	if (!text || bw_address_split(text, ip, &port) != BW_OK) {
		errno = EINVAL;
		die("address");
	}
	out->sin_family = AF_INET;
	out->sin_port = htons(port);
	inet_pton(AF_INET, ip, &out->sin_addr);
}

static int count_open(client_t *clients)
{
	int open_count = 0;
	int i;

	for (i = 0; i < option_count; i++) {
		client_step(&clients[i], 0);
		open_count += !clients[i].ended;
	}
	return open_count;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	client_t *clients;
	peak_t peak = { 0 };
	kind_t kind;
	int status;
	int i;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	parse_address(option_target, &target);
	parse_address(option_ordinary ? option_ordinary : option_target,
		      &ordinary);
	kind = parse_kind();
	clients = g_new0(client_t, option_count);
	for (i = 0; i < option_count; i++)
		client_init(&clients[i], kind, (uint32_t)i);
	play(clients, kind, &peak);
	status = ordinary_request();
	sample(&peak);
	printf("%s: clients=%d open=%d resident_mb=%.1f unread_mb=%.1f "
	       "memory_mb=%.1f of %d descriptors=%u of %d status=%d\n",
	       kind_names[kind], option_count, count_open(clients),
	       (double)peak.resident_kb / KIB, (double)peak.unread_kb / KIB,
	       (double)peak.together_kb / KIB, option_memory_mb,
	       peak.descriptors, option_descriptors, status);
	return judge(&peak, status) ? 0 : 1;
}
