/*
 * What pools without work cost the node that owns them all: a real node with
 * the soak's stand-in of the store. One size a process:
 * bench_pools POOLS PROGRAM [SECONDS]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "../soak/contact.h"
#include "../soak/judge.h"
#include "../soak/link.h"
#include "net/httpcall.h"
#include "../soak/plan.h"
#include "../soak/process.h"
#include "../soak/record.h"
#include "../soak/standin_store.h"

/** Time in which the node starts and claims all pools. */
#define START_S	   8.0
#define SECONDS	   10
#define TIMEOUT_MS 2000
/** Fields of /proc/PID/stat: those before the state may have spaces. */
#define STAT_USER_FIELD 12

/** What was counted up to a time. */
typedef struct sample {
	int64_t ms;
	double cpu_s;
	uint64_t bytes; /**< Between the node and the store. */
	uint64_t calls;
	uint64_t failures; /**< Of the calls. */
	uint64_t queued_ms; /**< Calls waited in the node, all together. */
	uint64_t gained; /**< Pools and roles. */
	uint64_t lost;
} sample_t;

typedef struct bench {
	struct ev_loop *loop;
	uint32_t pools;
	double seconds;
	soak_process_t *node;
	soak_link_t *link;
	bw_http_client_t *http;
	sample_t samples[2];
	uint32_t sample_count;
	uint32_t connections; /**< To the store, at the end. */
	ev_timer timer;
} bench_t;

static char *configuration(uint32_t pools)
{
	json_t *list = json_array();
	json_t *root;
	uint32_t i;
	char *out;

	for (i = 0; i < pools; i++) {
		char *name = g_strdup_printf("pool-%u", i);

		json_array_append_new(list, json_pack("{s:s,s:b,s:b}", "name",
						      name, "admission_check",
						      0, "standby", 0));
		g_free(name);
	}
	root = json_pack("{s:i,s:[],s:o}", "version", 1, "routes", "services",
			 list);
	out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return out;
}

/* Returns the processor time of a process, user and system. */
static double cpu_seconds(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;
	double ticks = 0.0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		char **fields = g_strsplit(strrchr(text, ')'), " ", 0);

		ticks = g_ascii_strtod(fields[STAT_USER_FIELD], NULL) +
			g_ascii_strtod(fields[STAT_USER_FIELD + 1], NULL);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return ticks / (double)sysconf(_SC_CLK_TCK);
}

/* Adds up the values of the metrics whose lines begin so and have a text. */
static uint64_t sum_metrics(const char *text, const char *begin,
			    const char *having)
{
	char **lines = g_strsplit(text, "\n", 0);
	uint64_t sum = 0;
	char **line;

	for (line = lines; *line; line++)
		if (g_str_has_prefix(*line, begin) &&
		    (!having || strstr(*line, having)))
			sum += g_ascii_strtoull(strrchr(*line, ' ') + 1, NULL,
						10);
	g_strfreev(lines);
	return sum;
}

static void report(const bench_t *b)
{
	const sample_t *from = &b->samples[0];
	const sample_t *to = &b->samples[1];
	double s = (double)(to->ms - from->ms) / 1000.0;

	printf("pools=%u owned=%" PRIu64 " lost=%" PRIu64
	       " connections=%u calls_s=%.1f bytes_s=%.0f core_pct=%.2f "
	       "queued_ms_s=%.1f failures=%" PRIu64 "\n",
	       b->pools, to->gained - to->lost, to->lost, b->connections,
	       (double)(to->calls - from->calls) / s,
	       (double)(to->bytes - from->bytes) / s,
	       100.0 * (to->cpu_s - from->cpu_s) / s,
	       (double)(to->queued_ms - from->queued_ms) / s, to->failures);
}

static void on_metrics(void *ctx, const bw_http_answer_t *answer)
{
	bench_t *b = ctx;
	sample_t *sample = &b->samples[b->sample_count++];

	sample->ms = bw_clock_now_ms();
	sample->cpu_s = cpu_seconds(soak_process_pid(b->node));
	sample->bytes = soak_link_bytes(b->link);
	sample->calls =
		sum_metrics(answer->body, "bramley_store_calls_total{", NULL);
	sample->failures = sum_metrics(answer->body,
				       "bramley_store_failures_total{", NULL);
	sample->queued_ms =
		sum_metrics(answer->body, "bramley_store_queued_ms_sum", NULL);
	sample->gained = sum_metrics(
		answer->body, "bramley_ownership_changes_total{", "\"gained\"");
	sample->lost = sum_metrics(
		answer->body, "bramley_ownership_changes_total{", "\"lost\"");
	b->connections = soak_link_connections(b->link);
	if (b->sample_count == G_N_ELEMENTS(b->samples)) {
		ev_break(b->loop, EVBREAK_ALL);
		return;
	}
	ev_timer_set(&b->timer, b->seconds, 0.0);
	ev_timer_start(b->loop, &b->timer);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bench_t *b = timer->data;
	char *url = g_strdup_printf("http://%s/metrics",
				    soak_process_metrics(b->node));
	bw_http_request_t request = { .method = "GET",
				      .url = url,
				      .timeout_ms = TIMEOUT_MS };

	(void)loop;
	(void)revents;
	bw_http_call(b->http, &request, on_metrics, b);
	g_free(url);
}

static void start_node(bench_t *b, const char *program, const char *dir)
{
	static soak_contact_t contact;
	char *log = g_strconcat(dir, "/bench.log", NULL);
	soak_record_t *record = soak_record_create(log);
	soak_store_t *store = soak_store_create(b->loop, 1);
	char *text = configuration(b->pools);
	soak_link_config_t link = { .loop = b->loop,
				    .record = record,
				    .name = "store",
				    .target = soak_store_address(store, 0) };
	soak_process_config_t node = {
		.loop = b->loop,
		.program = program,
		.dir = dir,
		.judge = soak_judge_create(
			soak_plan_create(1, 1000, SOAK_PLAN_QUIET), &contact,
			record),
		.contact = &contact,
		.record = record,
	};

	b->link = soak_link_create(&link);
	node.store = soak_link_address(b->link);
	soak_store_configure(store, text);
	free(text);
	b->node = soak_process_create(&node);
	soak_process_start(b->node, true);
	g_free(log);
}

/* What is left is given back with the process. */
int main(int argc, char **argv)
{
	bench_t b = { .loop = ev_default_loop(0),
		      .pools = argc > 1 ? (uint32_t)atoi(argv[1]) : 0,
		      .seconds = argc > 3 ? atof(argv[3]) : SECONDS };
	char *dir = g_dir_make_tmp("bench-pools-XXXXXX", NULL);

	if (argc < 3 || !dir)
		return 2;
	start_node(&b, argv[2], dir);
	b.http = bw_http_client_create(b.loop, 1);
	ev_timer_init(&b.timer, on_timer, START_S, 0.0);
	b.timer.data = &b;
	ev_timer_start(b.loop, &b.timer);
	ev_run(b.loop, 0);
	soak_process_end(b.node);
	report(&b);
	g_free(dir);
	return 0;
}
