/* A worker that ends each connection after its answer crashes under a run that
 * it has just begun, and starts again a second later under its identifier. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "world.h"

#define NODES 9
#define WORKERS 9
#define DOWN_MS 1000
#define PREFIX "/puxa400/"

static void submit(const char *id, int work_ms)
{
	char path[128];
	char body[256];

	g_snprintf(path, sizeof(path), PREFIX "%s", id);
	g_snprintf(body, sizeof(body),
		 "{\"spec\":\"work=%d\",\"steps\":[{\"count\":1,\"cpu\":2000,"
		 "\"mem_mb\":1024,\"est_duration_ms\":%d}]}",
		 work_ms, work_ms);
	if (call(0, "POST", path, body).status != 200) {
		world_stop();
		exit(2);
	}
}

int main(int argc, char **argv)
{
	bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0");
	bool keep = getenv("KEEP") && !strcmp(getenv("KEEP"), "1");
	worker_spec_t spec = { "huvo11a", "r1-1", 32000, 65536,
			       keep ? KEEP_OPEN : CLOSE_EACH };
	int64_t until;
	int worker;
	int idle_ms = 0;
	int i;

	if (argc < 2)
		return 2;
	world_start(argv[1], 10000);
	for (i = 0; i < WORKERS; i++)
		worker_add(&spec);
	store_put("op/config",
		  "{\"version\":3,\"routes\":[{\"name\":\"r-anu6wsj\","
		  "\"host\":\"pule25.example\",\"prefix\":\"" PREFIX "\","
		  "\"type\":\"unsafe\",\"timeout_ms\":3000,"
		  "\"target_duration_ms\":600,\"priority\":0,"
		  "\"service\":\"huvo11a\",\"max_attempts\":3,\"stretch\":1.6}"
		  "],\"services\":[{\"name\":\"huvo11a\","
		  "\"admission_check\":false,\"standby\":false}]}");
	for (i = 0; i < NODES; i++)
		node_start();
	if (!nodes_ready()) {
		world_stop();
		return 2;
	}
	sleep_ms(5000);
	submit("5c0e7a21d94b0001", 500);
	sleep_ms(1500);
	submit("5c0e7a21d94b0002", 500);
	sleep_ms(3000);
	submit("5c0e7a21d94b0003", 3000);
	until = now_ms() + 5000;
	while (runs_now("5c0e7a21d94b0003") == 0 && now_ms() < until)
		sleep_ms(5);
	worker = worker_of_job("5c0e7a21d94b0003", -1);
	if (worker < 0) {
		world_stop();
		return 2;
	}
	sleep_ms(100);
	if (trouble) {
		worker_crash(worker);
		sleep_ms(DOWN_MS);
		worker_restart(worker, true);
	}
	until = now_ms() + 40000;
	while (ends_of("5c0e7a21d94b0003", "done") == 0 && now_ms() < until) {
		sleep_ms(50);
		if (runs_now("5c0e7a21d94b0003") == 0)
			idle_ms += 50;
	}
	call(0, "GET", PREFIX "5c0e7a21d94b0003", "");
	note("nothing of the submission ran for %d ms", idle_ms);
	i = ends_of("5c0e7a21d94b0003", "done");
	world_stop();
	return i == 0 ? 1 : 0;
}
