#include "net/mhdev.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/address.h"

struct bw_mhdev {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	ev_prepare prepare;
	ev_idle idle;
	bool run_due; /**< The daemon has work that needs no event. */
};

static void run_daemon(bw_mhdev_t *m);
static void on_io(struct ev_loop *loop, ev_io *io, int revents);
static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int revents);
static void on_idle(struct ev_loop *loop, ev_idle *idle, int revents);
static void set_timer(bw_mhdev_t *m);

static void set_timer(bw_mhdev_t *m)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(m->loop, &m->timer);
	if (MHD_get_timeout(m->daemon, &timeout_ms) != MHD_YES)
		return;
	if (timeout_ms == 0) {
		m->run_due = true;
		ev_idle_start(m->loop, &m->idle);
		return;
	}
	ev_timer_set(&m->timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(m->loop, &m->timer);
}

static void run_daemon(bw_mhdev_t *m)
{
	m->run_due = false;
	ev_idle_stop(m->loop, &m->idle);
	MHD_run(m->daemon);
	set_timer(m);
}

static void on_io(struct ev_loop *loop, ev_io *io, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(io->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(timer->data);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int revents)
{
	bw_mhdev_t *m = prepare->data;

	(void)loop;
	(void)revents;
	if (m->run_due)
		run_daemon(m);
}

/* While this watcher is active, the loop does not block. */
static void on_idle(struct ev_loop *loop, ev_idle *idle, int revents)
{
	(void)loop;
	(void)idle;
	(void)revents;
}

/* Connections take the sizes over from the socket that listens. A client that
 * reads no answers fills the send buffer. */
static void limit_buffers(const bw_mhdev_t *m, int bytes)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(m->daemon, MHD_DAEMON_INFO_LISTEN_FD);

	if (bytes <= 0)
		return;
	setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes,
		   sizeof(bytes));
	setsockopt(info->listen_fd, SOL_SOCKET, SO_SNDBUF, &bytes,
		   sizeof(bytes));
}

bw_status_t bw_mhdev_create(struct ev_loop *loop,
			    const bw_mhdev_config_t *config, bw_mhdev_t **out)
{
	const union MHD_DaemonInfo *info;
	struct sockaddr_in address = { .sin_family = AF_INET };
	bw_mhdev_t *m;
	char ip[46];
	uint16_t port;

	if (bw_address_split(config->address, ip, &port) != BW_OK)
		return BW_EINVAL;
	address.sin_port = htons(port);
	inet_pton(AF_INET, ip, &address.sin_addr);
	m = g_new0(bw_mhdev_t, 1);
	m->loop = loop;
	m->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, config->accept,
		config->ctx, config->handler, config->ctx, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		config->connection_memory, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)config->connections_max,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)config->idle_timeout_s,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, 4096U,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_NOTIFY_COMPLETED, config->completed, config->ctx,
		MHD_OPTION_NOTIFY_CONNECTION, config->connection, config->ctx,
		config->uri ? MHD_OPTION_URI_LOG_CALLBACK : MHD_OPTION_END,
		config->uri, config->ctx, MHD_OPTION_END);
	if (!m->daemon) {
		g_free(m);
		return bw_status_set(BW_EIO, "cannot listen on %s",
				     config->address);
	}
	limit_buffers(m, config->socket_buffer_bytes);
	info = MHD_get_daemon_info(m->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&m->io, on_io, info->epoll_fd, EV_READ);
	ev_timer_init(&m->timer, on_timer, 0.0, 0.0);
	ev_prepare_init(&m->prepare, on_prepare);
	ev_idle_init(&m->idle, on_idle);
	m->io.data = m;
	m->timer.data = m;
	m->prepare.data = m;
	ev_io_start(loop, &m->io);
	ev_prepare_start(loop, &m->prepare);
	*out = m;
	return BW_OK;
}

void bw_mhdev_end(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	shutdown(info->connect_fd, SHUT_RDWR);
}

void bw_mhdev_quiesce(bw_mhdev_t *m)
{
	MHD_socket fd = MHD_quiesce_daemon(m->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void bw_mhdev_destroy(bw_mhdev_t *m)
{
	if (!m)
		return;
	ev_io_stop(m->loop, &m->io);
	ev_timer_stop(m->loop, &m->timer);
	ev_prepare_stop(m->loop, &m->prepare);
	ev_idle_stop(m->loop, &m->idle);
	MHD_stop_daemon(m->daemon);
	g_free(m);
}

void bw_mhdev_resume(bw_mhdev_t *m, struct MHD_Connection *connection)
{
	MHD_resume_connection(connection);
	if (m->run_due)
		return;
	m->run_due = true;
	ev_idle_start(m->loop, &m->idle);
}
