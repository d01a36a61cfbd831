#include "process.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "standin/anyport.h"
#include "standin_keys.h"

#define GRACE_MS    4000
#define MS_PER_S    1000.0
#define EXEC_FAILED 127
#define PATH_BYTES  64

typedef enum port_kind {
	PORT_CALLERS,
	PORT_READY,
	PORT_PEERS,
	PORT_METRICS,
	PORT_COUNT
} port_kind_t;

struct soak_process {
	soak_process_config_t config;
	char *program;
	char *store;
	char *settings;
	char *log;
	bw_anyport_t ports[PORT_COUNT];
	pid_t pid; /**< 0: it does not run. */
	ev_child child;
	ev_timer restart;
	ev_timer kill; /**< At the end of the grace period. */
	ev_timer resume;
	int64_t restart_ms; /**< Wait after its end. */
	bool asked_to_end;
	bool unprepared; /**< It was asked before it could catch the signal. */
	bool killed;
};

static void on_restart(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_kill(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_resume(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_child(struct ev_loop *loop, ev_child *child, int revents);

static void die(const char *what, const char *why)
{
	fprintf(stderr, "soak: %s: %s\n", what, why);
	exit(2);
}

static void init_timer(soak_process_t *p, ev_timer *timer,
		       void (*fn)(struct ev_loop *, ev_timer *, int))
{
	ev_timer_init(timer, fn, 0.0, 0.0);
	timer->data = p;
}

static void start_timer(soak_process_t *p, ev_timer *timer, int64_t delay_ms)
{
	ev_timer_stop(p->config.loop, timer);
	ev_timer_set(timer, (double)delay_ms / MS_PER_S, 0.0);
	ev_timer_start(p->config.loop, timer);
}

soak_process_t *soak_process_create(const soak_process_config_t *config)
{
	soak_process_t *p = g_new0(soak_process_t, 1);
	int i;

	p->config = *config;
	p->program = g_strdup(config->program);
	p->store = g_strdup(config->store);
	p->settings =
		g_strdup_printf("%s/node-%u.toml", config->dir, config->node);
	p->log = g_strdup_printf("%s/node-%u.log", config->dir, config->node);
	for (i = 0; i < PORT_COUNT; i++)
		if (bw_anyport_reserve("127.0.0.1", &p->ports[i]) != BW_OK)
			die("port", bw_status_message());
	init_timer(p, &p->restart, on_restart);
	init_timer(p, &p->kill, on_kill);
	init_timer(p, &p->resume, on_resume);
	return p;
}

const char *soak_process_callers(const soak_process_t *p)
{
	return p->ports[PORT_CALLERS].address;
}

const char *soak_process_ready(const soak_process_t *p)
{
	return p->ports[PORT_READY].address;
}

const char *soak_process_metrics(const soak_process_t *p)
{
	return p->ports[PORT_METRICS].address;
}

pid_t soak_process_pid(const soak_process_t *p)
{
	return p->pid;
}

const char *soak_process_log(const soak_process_t *p)
{
	return p->log;
}

static void write_settings(const soak_process_t *p, bool first)
{
	char *text = g_strdup_printf(
		"[node]\nname = \"node-%u\"\nzone = \"zone-a\"\n"
		"ip = \"127.0.0.1\"\ncallers = \"%s\"\nready = \"%s\"\n"
		"peers_port = %u\nmetrics_port = %u\n%s"
		"[platform]\nstore = \"%s\"\nlease_min_ms = 1000\n"
		"[limits]\ngrant_max_ms = 4000\nstop_ms = 400\nkeep_s = 120\n"
		"grace_s = %d\nholder_ms = 3000\n"
		"config_apply_ms = %d\nconfig_outage_ms = %d\n"
		"[capacity]\ncore_share = 0.25\ncores = 1\nmemory_mb = 260\n"
		"link_mbps = 1000.0\ndescriptors = 4100\n",
		p->config.node, p->ports[PORT_CALLERS].address,
		p->ports[PORT_READY].address, p->ports[PORT_PEERS].port,
		p->ports[PORT_METRICS].port,
		first ? "first_start = true\n" : "", p->store, GRACE_MS / 1000,
		SOAK_APPLY_MS, SOAK_OUTAGE_MS);

	if (!g_file_set_contents(p->settings, text, -1, NULL))
		die(p->settings, "cannot be written");
	g_free(text);
}

/* The process ends with this one, however this one ends. */
static void exec_program(const soak_process_t *p, int log, pid_t parent)
{
	char *const args[] = { p->program, (char *)"--settings", p->settings,
			       NULL };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(EXEC_FAILED);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
	execv(p->program, args);
	_exit(EXEC_FAILED);
}

/*
 * Forks and waits until the program runs. Until then the child has copies of
 * all sockets, and keeps connections and ports open that are closed here.
 */
static pid_t spawn(const soak_process_t *p, int log)
{
	pid_t parent = getpid();
	int running[2];
	pid_t pid;
	char byte;

	if (pipe2(running, O_CLOEXEC) < 0)
		die("pipe", strerror(errno));
	pid = fork();
	if (pid == 0)
		exec_program(p, log, parent);
	if (pid < 0)
		die("fork", strerror(errno));
	close(running[1]);
	while (read(running[0], &byte, sizeof(byte)) < 0 && errno == EINTR)
		;
	close(running[0]);
	return pid;
}

void soak_process_start(soak_process_t *p, bool first)
{
	int log = open(p->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	if (log < 0)
		die(p->log, strerror(errno));
	write_settings(p, first);
	p->asked_to_end = false;
	p->unprepared = false;
	p->killed = false;
	p->pid = spawn(p, log);
	close(log);
	ev_child_init(&p->child, on_child, p->pid, 0);
	p->child.data = p;
	ev_child_start(p->config.loop, &p->child);
	soak_contact_disturb(p->config.contact, p->config.node,
			     bw_clock_now_ms());
	soak_record(p->config.record, "node started node=node-%u pid=%d",
		    p->config.node, (int)p->pid);
}

static void send_signal(soak_process_t *p, int number)
{
	soak_record(p->config.record, "fault signal node=node-%u number=%d",
		    p->config.node, number);
	kill(p->pid, number);
}

static void on_restart(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	soak_process_start(timer->data, false);
}

static void on_kill(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_process_t *p = timer->data;

	(void)loop;
	(void)revents;
	p->killed = true;
	send_signal(p, SIGKILL);
}

static void on_resume(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_process_t *p = timer->data;

	(void)loop;
	(void)revents;
	send_signal(p, SIGCONT);
}

static bool ended_as_asked(const soak_process_t *p, int status)
{
	if (WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM)
		return p->unprepared;
	if (WIFSIGNALED(status))
		return p->killed && WTERMSIG(status) == SIGKILL;
	return p->asked_to_end && WEXITSTATUS(status) == 0;
}

static void on_child(struct ev_loop *loop, ev_child *child, int revents)
{
	soak_process_t *p = child->data;
	bool expected = ended_as_asked(p, child->rstatus);

	(void)revents;
	ev_child_stop(loop, child);
	ev_timer_stop(loop, &p->kill);
	ev_timer_stop(loop, &p->resume);
	p->pid = 0;
	soak_record(p->config.record,
		    "node ended node=node-%u status=%d expected=%d",
		    p->config.node, child->rstatus, expected);
	if (!expected)
		soak_judge_fail(p->config.judge, SOAK_KEEPS_RUNNING, "-",
				"node-%u ended by itself, status %d",
				p->config.node, child->rstatus);
	soak_contact_disturb(p->config.contact, p->config.node,
			     bw_clock_now_ms() + p->restart_ms);
	start_timer(p, &p->restart, p->restart_ms);
}

/*
 * Returns whether the process has a handler for a signal. One that has only
 * just started has none yet, and may end by the signal.
 */
static bool catches(const soak_process_t *p, int number)
{
	char path[PATH_BYTES];
	gchar *text = NULL;
	const char *line;
	guint64 caught = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)p->pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	line = strstr(text, "SigCgt:");
	if (line)
		caught = g_ascii_strtoull(line + strlen("SigCgt:"), NULL, 16);
	g_free(text);
	return (caught >> (number - 1) & 1) != 0;
}

void soak_process_terminate(soak_process_t *p, int64_t restart_ms)
{
	if (p->pid == 0 || p->asked_to_end)
		return;
	p->asked_to_end = true;
	p->unprepared = !catches(p, SIGTERM);
	p->restart_ms = restart_ms;
	soak_contact_disturb(p->config.contact, p->config.node,
			     bw_clock_now_ms() + GRACE_MS + restart_ms);
	send_signal(p, SIGTERM);
	start_timer(p, &p->kill, GRACE_MS);
}

void soak_process_kill(soak_process_t *p, int64_t restart_ms)
{
	if (p->pid == 0)
		return;
	p->killed = true;
	p->restart_ms = restart_ms;
	soak_contact_disturb(p->config.contact, p->config.node,
			     bw_clock_now_ms() + restart_ms);
	send_signal(p, SIGKILL);
}

void soak_process_pause(soak_process_t *p, int64_t for_ms)
{
	if (p->pid == 0 || ev_is_active(&p->resume))
		return;
	soak_contact_disturb(p->config.contact, p->config.node,
			     bw_clock_now_ms() + for_ms);
	send_signal(p, SIGSTOP);
	start_timer(p, &p->resume, for_ms);
}

void soak_process_end(soak_process_t *p)
{
	struct ev_loop *loop = p->config.loop;

	ev_timer_stop(loop, &p->restart);
	ev_timer_stop(loop, &p->kill);
	ev_timer_stop(loop, &p->resume);
	if (p->pid == 0)
		return;
	ev_child_stop(loop, &p->child);
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}
