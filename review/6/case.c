/* A site of 51 services loses eight of its nine nodes for good. The node that is
 * left must run what it accepts. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "world.h"

#define NODES 9
#define KILLED 8
#define SERVICES 51
/* Time for the site to start, and recovery_s. */
#define START_MS 8000
#define RECOVERY_MS 12000
/* The site's requesters try four times more. */
#define RETRIES 4
#define RETRY_MS 2000
/* finish_s, and how long a submission may have nothing running after it. */
#define FINISH_MS 14000
#define IDLE_MS 3000
#define WATCHED_MS 15000
#define SAMPLE_MS 50
#define TASKS 4

static char pools[SERVICES][16];
static char ids[SERVICES][24];
static bool accepted[SERVICES];

static char *configuration(void)
{
	GString *text = g_string_new("{\"version\":3,\"routes\":[");
	int i;

	for (i = 0; i < SERVICES; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r-%02d\",\"host\":\"pule25.example\","
			"\"prefix\":\"/q%02d/\",\"type\":\"unsafe\","
			"\"timeout_ms\":3000,\"target_duration_ms\":600,"
			"\"priority\":0,\"service\":\"%s\","
			"\"max_attempts\":3,\"stretch\":1.6}",
			i ? "," : "", i, i, pools[i]);
	g_string_append(text, "],\"services\":[");
	for (i = 0; i < SERVICES; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\","
				       "\"admission_check\":false,"
				       "\"standby\":false}",
				       i ? "," : "", pools[i]);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

/* Sends a submission to each queue, and again as the site's requesters do while
 * it is refused; returns how many were accepted. */
static int submit_all(void)
{
	int count = 0;
	int try;
	int i;

	for (try = 0; try <= RETRIES && count < SERVICES; try++) {
		if (try > 0)
			sleep_ms(RETRY_MS);
		for (i = 0; i < SERVICES; i++) {
			char path[64];

			if (accepted[i])
				continue;
			g_snprintf(ids[i], sizeof(ids[i]), "5c0e7a21d94b%04x",
				   i);
			g_snprintf(path, sizeof(path), "/q%02d/%s", i, ids[i]);
			accepted[i] =
				call(0, "POST", path,
				     "{\"spec\":\"work=1500\",\"steps\":["
				     "{\"count\":2,\"cpu\":2000,"
				     "\"mem_mb\":1024,"
				     "\"est_duration_ms\":1500},"
				     "{\"count\":2,\"cpu\":2000,"
				     "\"mem_mb\":1024,"
				     "\"est_duration_ms\":1500,"
				     "\"after\":[0]}]}")
					.status == 200;
			count += accepted[i];
		}
	}
	return count;
}

/* Counts the accepted submissions that have nothing running for IDLE_MS before
 * they are done; each worker has room for all of them many times over. */
static int count_idle(void)
{
	int64_t busy_ms[SERVICES];
	bool idle[SERVICES] = { false };
	int64_t until = now_ms() + WATCHED_MS;
	int count = 0;
	int i;

	for (i = 0; i < SERVICES; i++)
		busy_ms[i] = now_ms();
	while (now_ms() < until) {
		for (i = 0; i < SERVICES; i++) {
			if (!accepted[i] || runs_now(ids[i]) > 0 ||
			    ends_of(ids[i], "done") >= TASKS)
				busy_ms[i] = now_ms();
			if (now_ms() - busy_ms[i] <= IDLE_MS || idle[i])
				continue;
			idle[i] = true;
			count++;
			note("%s: %d of %d work items done, nothing runs",
			     ids[i], ends_of(ids[i], "done"), TASKS);
		}
		sleep_ms(SAMPLE_MS);
	}
	return count;
}

int main(int argc, char **argv)
{
	bool trouble = !getenv("TROUBLE") || atoi(getenv("TROUBLE"));
	worker_spec_t spec = { NULL, "r1-1", 32000, 65536, KEEP_OPEN };
	char *text;
	int submitted;
	int idle;
	int i;

	if (argc < 2)
		return 2;
	world_start(argv[1], 10000);
	for (i = 0; i < SERVICES; i++) {
		g_snprintf(pools[i], sizeof(pools[i]), "svc%02d", i);
		spec.pool = pools[i];
		worker_add(&spec);
	}
	text = configuration();
	store_put("op/config", text);
	g_free(text);
	for (i = 0; i < NODES; i++)
		node_start();
	if (!nodes_ready()) {
		world_stop();
		return 2;
	}
	sleep_ms(START_MS);
	for (i = 0; trouble && i < KILLED; i++)
		node_signal(NODES - 1 - i, SIGKILL);
	sleep_ms(RECOVERY_MS);
	submitted = submit_all();
	sleep_ms(FINISH_MS);
	idle = count_idle();
	note("accepted: %d; not done, with nothing running for %d ms: %d",
	     submitted, IDLE_MS, idle);
	for (i = 0; i < SERVICES; i++) {
		char path[64];

		g_snprintf(path, sizeof(path), "/q%02d/%s", i, ids[i]);
		if (accepted[i])
			call(0, "GET", path, "");
	}
	world_stop();
	if (submitted == 0)
		return 2;
	return idle > 0 ? 1 : 0;
}
