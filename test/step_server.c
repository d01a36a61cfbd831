#include "step_server.h"

#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES   4096U
#define LISTEN_COUNT 16

static void connection_end(step_server_t *s, ev_io *io)
{
	ev_io_stop(s->loop, io);
	close(io->fd);
	g_ptr_array_remove(s->connections, io);
	g_free(io);
}

static void stop_listening(step_server_t *s)
{
	ev_io_stop(s->loop, &s->accept);
	if (s->listen_fd >= 0)
		close(s->listen_fd);
	s->listen_fd = -1;
}

/* The close that follows resets the connection. */
static void set_reset_on_close(int fd)
{
	struct linger at_once = { .l_onoff = 1 };

	assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
				    sizeof(at_once)),
			 0);
}

static void send_all(int fd, const char *bytes)
{
	size_t length = strlen(bytes);

	assert_true(send(fd, bytes, length, MSG_NOSIGNAL) == (ssize_t)length);
}

static void react(step_server_t *s, ev_io *io)
{
	const step_t *step = &s->steps[MIN(s->requests, s->step_count - 1)];

	s->requests++;
	if (step->answer)
		send_all(io->fd, step->answer);
	if (step->reaction == REACT_RESET)
		set_reset_on_close(io->fd);
	if (step->reaction == REACT_CLOSE_ALL)
		stop_listening(s);
	if (step->reaction != REACT_ANSWER && step->reaction != REACT_NOTHING)
		connection_end(s, io);
}

static void on_request(struct ev_loop *loop, ev_io *io, int revents)
{
	step_server_t *s = io->data;
	char buffer[READ_BYTES];
	ssize_t bytes = recv(io->fd, buffer, sizeof(buffer), 0);

	(void)loop;
	(void)revents;
	if (bytes <= 0) {
		connection_end(s, io);
		return;
	}
	g_string_append_len(g_string_truncate(s->last_request, 0), buffer,
			    bytes);
	react(s, io);
}

static void on_accept(struct ev_loop *loop, ev_io *accept_io, int revents)
{
	step_server_t *s = accept_io->data;
	ev_io *io = g_new0(ev_io, 1);
	int fd = accept(s->listen_fd, NULL, NULL);

	(void)revents;
	assert_true(fd >= 0);
	s->accepted++;
	ev_io_init(io, on_request, fd, EV_READ);
	io->data = s;
	ev_io_start(loop, io);
	g_ptr_array_add(s->connections, io);
}

static void listen_somewhere(step_server_t *s)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_ANY);
	s->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert_int_equal(bind(s->listen_fd, (struct sockaddr *)&in, bytes), 0);
	assert_int_equal(listen(s->listen_fd, LISTEN_COUNT), 0);
	assert_int_equal(
		getsockname(s->listen_fd, (struct sockaddr *)&in, &bytes), 0);
	s->port = ntohs(in.sin_port);
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u", s->port);
}

void step_server_open(step_server_t *s, struct ev_loop *loop,
		      const step_t *steps, uint32_t count)
{
	*s = (step_server_t){ .loop = loop,
			      .steps = steps,
			      .step_count = count };
	s->connections = g_ptr_array_new();
	s->last_request = g_string_new(NULL);
	listen_somewhere(s);
	ev_io_init(&s->accept, on_accept, s->listen_fd, EV_READ);
	s->accept.data = s;
	ev_io_start(loop, &s->accept);
}

void step_server_close(step_server_t *s)
{
	while (s->connections->len > 0)
		step_server_drop_first(s);
	g_ptr_array_free(s->connections, TRUE);
	g_string_free(s->last_request, TRUE);
	stop_listening(s);
}

void step_server_drop_first(step_server_t *s)
{
	connection_end(s, g_ptr_array_index(s->connections, 0));
}

void step_server_send_unasked(step_server_t *s, const char *bytes)
{
	const ev_io *io = g_ptr_array_index(s->connections, 0);

	send_all(io->fd, bytes);
}
