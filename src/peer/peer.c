#include "peer/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#define BW_LOG_PART "peer"
#include "base/log.h"

#include "base/address.h"
#include "place/share.h"

#define LISTEN_BACKLOG	   128
#define READ_BUFFER_BYTES  65536
#define OUTPUT_BYTES_MAX   ((size_t)8 << 20)
#define RECONNECT_DELAY_US 200000
/** Refused frames are logged once in this time: a node that is refused connects
 * again at once. */
#define REFUSAL_INTERVAL_US ((int64_t)10 * G_USEC_PER_SEC)
/** More than a site has nodes: a node that is refused tries again at once. */
#define INCOMING_CONNECTIONS_MAX 1024

/** Connections that have not said whose they are, unless the configuration
 *  says another number; the oldest one makes room for a new one. */
#define STRANGERS_MAX 512U
/** More than a Hello takes, with the longest names. */
#define STRANGER_BYTES_MAX 4096U
/** Time in which a connection has to say whose it is. */
#define HELLO_TIMEOUT_US ((int64_t)5 * G_USEC_PER_SEC)

/** A peer and the connection made to it, used only to send. */
typedef struct link {
	bw_peers_t *peers;
	uint64_t id; /**< bw_name_id() of the peer. */
	char *name;
	char *address;
	int fd; /**< -1 when closed. */
	bool connected;
	bool up; /**< Both directions are connected. */
	ev_io io;
	GString *output; /**< Frames not yet sent. */
	int64_t connect_after_us; /**< Earliest next attempt to connect. */
	int64_t last_frame_us; /**< Last frame received, or when it came up. */
	struct incoming *incoming; /**< The peer's connection, or NULL. */
} link_t;

/** A connection made by a peer, used only to receive. */
typedef struct incoming {
	bw_peers_t *peers;
	int fd;
	ev_io io;
	GByteArray *data; /**< Bytes not yet parsed. */
	link_t *link; /**< NULL before its Hello message. */
	GList *stranger; /**< In the list of those without one. */
	bool is_stranger;
	int64_t accepted_us;
} incoming_t;

struct bw_peers {
	struct ev_loop *loop;
	bw_peers_config_t config;
	char *name;
	char *site;
	const bw_peers_ops_t *ops;
	void *ctx;
	bw_counters_t *counters;
	int listen_fd;
	ev_io listen_io;
	GPtrArray *links;
	GPtrArray *incoming;
	GQueue strangers; /**< incoming_t before their Hello, by age. */
	int64_t now_us; /**< Time of the last bw_peers_tick(). */
	int64_t next_refusal_us; /**< No refused frame is logged before. */
};

static void on_accept(struct ev_loop *loop, ev_io *io, int revents);
static void on_incoming(struct ev_loop *loop, ev_io *io, int revents);
static void on_link(struct ev_loop *loop, ev_io *io, int revents);
static void handle_frames(incoming_t *in);
static bool handle_frame(incoming_t *in, const Bramley__Frame *frame);
static bool handle_hello(incoming_t *in, const Bramley__Hello *hello);
static void incoming_free(incoming_t *in);
static void drop_incoming(incoming_t *in);
static void link_connect(link_t *link);
static void link_close(link_t *link);
static void link_check_up(link_t *link);
static void link_fail(link_t *link);
static void link_flush(link_t *link);
static void link_free(gpointer data);
static link_t *find_link(const bw_peers_t *p, uint64_t id);
static int set_options(int fd);

static int set_options(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fcntl(fd, F_SETFL, O_NONBLOCK);
}

static link_t *find_link(const bw_peers_t *p, uint64_t id)
{
	guint i;

	for (i = 0; i < p->links->len; i++) {
		link_t *link = g_ptr_array_index(p->links, i);

		if (link->id == id)
			return link;
	}
	return NULL;
}

static bool parse_address(const char *address, struct sockaddr_in *out)
{
	char ip[46];
	uint16_t port;

	memset(out, 0, sizeof(*out));
	if (bw_address_split(address, ip, &port) != BW_OK)
		return false;
	out->sin_family = AF_INET;
	out->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

bw_status_t bw_peers_create(struct ev_loop *loop,
			    const bw_peers_config_t *config,
			    const bw_peers_ops_t *ops, void *ctx,
			    bw_counters_t *counters, bw_peers_t **out)
{
	struct sockaddr_in address;
	bw_peers_t *p;
	int one = 1;
	int fd;

	if (!parse_address(config->listen, &address))
		return bw_status_set(BW_EINVAL, "invalid address %s",
				     config->listen);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return bw_status_set(BW_EIO, "cannot create a socket: %s",
				     strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		close(fd);
		return bw_status_set(BW_EIO, "cannot listen on %s: %s",
				     config->listen, strerror(errno));
	}
	p = g_new0(bw_peers_t, 1);
	p->loop = loop;
	p->config = *config;
	p->name = g_strdup(config->name);
	p->site = g_strdup(config->site);
	p->ops = ops;
	p->ctx = ctx;
	p->counters = counters;
	p->listen_fd = fd;
	p->links = g_ptr_array_new_with_free_func(link_free);
	p->incoming = g_ptr_array_new();
	g_queue_init(&p->strangers);
	ev_io_init(&p->listen_io, on_accept, fd, EV_READ);
	p->listen_io.data = p;
	ev_io_start(loop, &p->listen_io);
	*out = p;
	return BW_OK;
}

void bw_peers_destroy(bw_peers_t *p)
{
	guint i;

	if (!p)
		return;
	ev_io_stop(p->loop, &p->listen_io);
	close(p->listen_fd);
	g_ptr_array_free(p->links, TRUE);
	for (i = 0; i < p->incoming->len; i++)
		incoming_free(g_ptr_array_index(p->incoming, i));
	g_ptr_array_free(p->incoming, TRUE);
	g_free(p->name);
	g_free(p->site);
	g_free(p);
}

static void link_free(gpointer data)
{
	link_t *link = data;

	link_close(link);
	if (link->incoming)
		link->incoming->link = NULL;
	g_string_free(link->output, TRUE);
	g_free(link->name);
	g_free(link->address);
	g_free(link);
}

void bw_peers_add(bw_peers_t *p, const char *name, const char *address)
{
	uint64_t id = bw_name_id(name);
	link_t *link = find_link(p, id);

	if (link && !strcmp(link->address, address))
		return;
	if (!link) {
		link = g_new0(link_t, 1);
		link->peers = p;
		link->id = id;
		link->name = g_strdup(name);
		link->fd = -1;
		link->output = g_string_new(NULL);
		g_ptr_array_add(p->links, link);
	} else {
		link_fail(link);
	}
	g_free(link->address);
	link->address = g_strdup(address);
	link->connect_after_us = 0;
}

void bw_peers_remove(bw_peers_t *p, const char *name)
{
	link_t *link = find_link(p, bw_name_id(name));

	if (!link)
		return;
	link_fail(link);
	g_ptr_array_remove(p->links, link);
}

static void link_close(link_t *link)
{
	if (link->fd < 0)
		return;
	ev_io_stop(link->peers->loop, &link->io);
	close(link->fd);
	link->fd = -1;
	link->connected = false;
	g_string_truncate(link->output, 0);
}

/* Closes both directions, so that the peer notices the loss as well. */
static void link_fail(link_t *link)
{
	bw_peers_t *p = link->peers;
	bool was_up = link->up;

	link->up = false;
	link->connect_after_us = p->now_us + RECONNECT_DELAY_US;
	link_close(link);
	if (link->incoming)
		drop_incoming(link->incoming);
	if (!was_up)
		return;
	g_message("Lost the connection to peer %s.", link->name);
	p->ops->lost(p->ctx, link->id);
}

static void link_check_up(link_t *link)
{
	bw_peers_t *p = link->peers;

	if (link->up || !link->connected || !link->incoming)
		return;
	link->up = true;
	link->last_frame_us = p->now_us;
	g_message("Connected to peer %s.", link->name);
	p->ops->up(p->ctx, link->id);
}

static void link_connect(link_t *link)
{
	bw_peers_t *p = link->peers;
	struct sockaddr_in address;

	link->connect_after_us = p->now_us + RECONNECT_DELAY_US;
	if (!parse_address(link->address, &address))
		return;
	link->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (link->fd < 0)
		return;
	set_options(link->fd);
	if (connect(link->fd, (struct sockaddr *)&address, sizeof(address)) <
		    0 &&
	    errno != EINPROGRESS) {
		close(link->fd);
		link->fd = -1;
		return;
	}
	ev_io_init(&link->io, on_link, link->fd, EV_WRITE);
	link->io.data = link;
	ev_io_start(p->loop, &link->io);
}

static void link_send_hello(link_t *link)
{
	bw_peers_t *p = link->peers;
	Bramley__Hello hello = BRAMLEY__HELLO__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	hello.name = p->name;
	hello.site = p->site;
	hello.incarnation = p->config.incarnation;
	frame.body_case = BRAMLEY__FRAME__BODY_HELLO;
	frame.hello = &hello;
	bw_frame_write(link->output, &frame);
}

static void link_flush(link_t *link)
{
	while (link->output->len > 0) {
		ssize_t n = send(link->fd, link->output->str, link->output->len,
				 MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			link_fail(link);
			return;
		}
		bw_count(link->peers->counters, BW_C_FRAME_BYTES_OUT,
			 (uint64_t)n);
		g_string_erase(link->output, 0, n);
	}
	/* The peer sends nothing on this connection; wait for its close. */
	ev_io_stop(link->peers->loop, &link->io);
	ev_io_set(&link->io, link->fd, EV_READ);
	ev_io_start(link->peers->loop, &link->io);
}

static void on_link(struct ev_loop *loop, ev_io *io, int revents)
{
	link_t *link = io->data;
	socklen_t bytes = sizeof(int);
	int error = 0;
	char byte;
	ssize_t n;

	(void)loop;
	if (!link->connected) {
		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
		if (error != 0) {
			link_fail(link);
			return;
		}
		link->connected = true;
		link_send_hello(link);
		link_check_up(link);
	}
	if (revents & EV_READ) {
		n = recv(link->fd, &byte, 1, 0);
		if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
			link_fail(link);
			return;
		}
	}
	if (revents & EV_WRITE)
		link_flush(link);
}

static void forget_stranger(incoming_t *in)
{
	if (!in->is_stranger)
		return;
	in->is_stranger = false;
	g_queue_delete_link(&in->peers->strangers, in->stranger);
}

static void drop_oldest_stranger(bw_peers_t *p)
{
	incoming_t *in = g_queue_pop_head(&p->strangers);

	in->is_stranger = false;
	bw_count(p->counters, BW_C_PEERS_STRANGERS, 1);
	drop_incoming(in);
}

static void add_stranger(incoming_t *in)
{
	bw_peers_t *p = in->peers;
	uint32_t max = p->config.strangers_max;

	in->is_stranger = true;
	in->accepted_us = p->now_us;
	g_queue_push_tail(&p->strangers, in);
	in->stranger = p->strangers.tail;
	if (p->strangers.length > (max > 0 ? max : STRANGERS_MAX))
		drop_oldest_stranger(p);
}

static void drop_late_strangers(bw_peers_t *p)
{
	incoming_t *oldest;

	while (p->strangers.head) {
		oldest = p->strangers.head->data;
		/* It came before the first tick. */
		if (oldest->accepted_us == 0)
			oldest->accepted_us = p->now_us;
		if (p->now_us - oldest->accepted_us < HELLO_TIMEOUT_US)
			return;
		drop_oldest_stranger(p);
	}
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	bw_peers_t *p = io->data;
	incoming_t *in;
	int fd;

	(void)revents;
	fd = accept4(p->listen_fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	if (fd < 0)
		return;
	if (p->incoming->len >= INCOMING_CONNECTIONS_MAX) {
		close(fd);
		return;
	}
	set_options(fd);
	in = g_new0(incoming_t, 1);
	in->peers = p;
	in->fd = fd;
	in->data = g_byte_array_new();
	ev_io_init(&in->io, on_incoming, fd, EV_READ);
	in->io.data = in;
	ev_io_start(loop, &in->io);
	g_ptr_array_add(p->incoming, in);
	add_stranger(in);
}

static void incoming_free(incoming_t *in)
{
	forget_stranger(in);
	ev_io_stop(in->peers->loop, &in->io);
	close(in->fd);
	g_byte_array_free(in->data, TRUE);
	g_free(in);
}

static void drop_incoming(incoming_t *in)
{
	link_t *link = in->link;

	g_ptr_array_remove_fast(in->peers->incoming, in);
	incoming_free(in);
	if (!link)
		return;
	link->incoming = NULL;
	link_fail(link);
}

static bool handle_hello(incoming_t *in, const Bramley__Hello *hello)
{
	bw_peers_t *p = in->peers;
	link_t *link = find_link(p, bw_name_id(hello->name));

	if (strcmp(hello->site, p->site) != 0) {
		g_warning("Refused a connection from a peer of site %s.",
			  hello->site);
		return false;
	}
	/* An unknown peer reconnects; it is accepted once the view has it. */
	if (!link)
		return false;
	if (link->incoming)
		link_fail(link);
	forget_stranger(in);
	in->link = link;
	link->incoming = in;
	if (link->fd < 0)
		link_connect(link);
	link_check_up(link);
	return true;
}

static bool handle_frame(incoming_t *in, const Bramley__Frame *frame)
{
	bw_peers_t *p = in->peers;

	bw_count(p->counters, BW_C_FRAMES_IN, 1);
	if (frame->body_case == BRAMLEY__FRAME__BODY_HELLO)
		return !in->link && handle_hello(in, frame->hello);
	if (!in->link)
		return false;
	in->link->last_frame_us = p->now_us;
	p->ops->frame(p->ctx, in->link->id, frame);
	return true;
}

static void log_refusal(incoming_t *in, bw_frame_result_t result,
			const uint8_t *data)
{
	bw_peers_t *p = in->peers;
	struct sockaddr_in from = { 0 };
	socklen_t bytes = sizeof(from);
	char ip[INET_ADDRSTRLEN] = "?";

	if (p->now_us < p->next_refusal_us)
		return;
	p->next_refusal_us = p->now_us + REFUSAL_INTERVAL_US;
	if (getpeername(in->fd, (struct sockaddr *)&from, &bytes) == 0)
		inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
	if (result == BW_FRAME_VERSION_UNSUPPORTED)
		g_warning("Refused a frame of version %d from %s, this program "
			  "reads %d.",
			  bw_frame_version(data), ip, BW_FRAME_VERSION);
	else
		g_warning("Refused a malformed frame from %s.", ip);
}

static void handle_frames(incoming_t *in)
{
	static const bw_counter_t counters[BW_FRAME_RESULT_COUNT] = {
		[BW_FRAME_MALFORMED] = BW_C_FRAMES_BAD,
		[BW_FRAME_VERSION_UNSUPPORTED] = BW_C_FRAMES_VERSION,
		[BW_FRAME_TOO_LONG] = BW_C_FRAMES_TOO_LONG,
	};
	bw_peers_t *p = in->peers;
	size_t offset = 0;

	for (;;) {
		Bramley__Frame *frame;
		size_t frame_bytes = 0;
		bw_frame_result_t result = bw_frame_read(
			in->data->data + offset, in->data->len - offset,
			&frame_bytes, &frame);
		bool accepted;

		if (result == BW_FRAME_INCOMPLETE)
			break;
		if (result != BW_FRAME_OK) {
			bw_count(p->counters, counters[result], 1);
			log_refusal(in, result, in->data->data + offset);
			drop_incoming(in);
			return;
		}
		offset += frame_bytes;
		accepted = handle_frame(in, frame);
		bramley__frame__free_unpacked(frame, NULL);
		/* Handling the frame may have closed this connection. */
		if (!g_ptr_array_find(p->incoming, in, NULL))
			return;
		if (!accepted) {
			drop_incoming(in);
			return;
		}
	}
	g_byte_array_remove_range(in->data, 0, (guint)offset);
	if (!in->link && in->data->len > STRANGER_BYTES_MAX) {
		bw_count(p->counters, BW_C_PEERS_STRANGERS, 1);
		drop_incoming(in);
	}
}

static void on_incoming(struct ev_loop *loop, ev_io *io, int revents)
{
	incoming_t *in = io->data;
	uint8_t buffer[READ_BUFFER_BYTES];
	ssize_t n = recv(in->fd, buffer, sizeof(buffer), 0);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		drop_incoming(in);
		return;
	}
	bw_count(in->peers->counters, BW_C_FRAME_BYTES_IN, (uint64_t)n);
	g_byte_array_append(in->data, buffer, (guint)n);
	handle_frames(in);
}

void bw_peers_send(bw_peers_t *p, uint64_t peer, const Bramley__Frame *frame)
{
	link_t *link = find_link(p, peer);

	if (!link || !link->connected)
		return;
	if (link->output->len > OUTPUT_BYTES_MAX) {
		link_fail(link);
		return;
	}
	bw_frame_write(link->output, frame);
	bw_count(p->counters, BW_C_FRAMES_OUT, 1);
	if (link->io.events & EV_WRITE)
		return;
	/* Sent from the loop, to batch the messages of one loop iteration. */
	ev_io_stop(p->loop, &link->io);
	ev_io_set(&link->io, link->fd, EV_READ | EV_WRITE);
	ev_io_start(p->loop, &link->io);
}

uint32_t bw_peers_up_count(const bw_peers_t *p)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < p->links->len; i++)
		if (((const link_t *)g_ptr_array_index(p->links, i))->up)
			count++;
	return count;
}

void bw_peers_tick(bw_peers_t *p, int64_t now_us)
{
	guint i;

	p->now_us = now_us;
	drop_late_strangers(p);
	for (i = 0; i < p->links->len; i++) {
		link_t *link = g_ptr_array_index(p->links, i);

		if (link->up &&
		    now_us - link->last_frame_us > p->config.silence_timeout_us)
			link_fail(link);
		if (link->fd < 0 && now_us >= link->connect_after_us)
			link_connect(link);
	}
}

void bw_peers_foreach(const bw_peers_t *p,
		      void (*fn)(void *ctx, uint64_t peer, const char *name,
				 bool up),
		      void *ctx)
{
	guint i;

	for (i = 0; i < p->links->len; i++) {
		const link_t *link = g_ptr_array_index(p->links, i);

		fn(ctx, link->id, link->name, link->up);
	}
}
