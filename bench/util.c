#include "util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

bw_table_t *fleet_table(uint32_t pools, uint32_t spills)
{
	bw_table_t *t = bw_table_create(pools, pools);
	uint32_t i;
	uint32_t k;

	t->version = 1;
	t->edit = g_strdup("bench");
	for (i = 0; i < pools; i++) {
		bw_service_t *s = &t->services[i];

		t->pools[i].name = g_strdup_printf("pool-%02u", i);
		s->name = g_strdup_printf("service-%02u", i);
		s->prefix = g_strdup_printf("/%u/", i);
		s->class =
			i + 1 == pools ? BW_CLASS_DEFERRABLE : BW_CLASS_URGENT;
		s->wait_ms = 5000;
		s->queue_max = 10000;
		s->retry_pct = 10;
		s->attempts_max = 3;
		bw_table_cell(t, i, i)->weight = 100;
		if (i + 1 < pools)
			bw_table_cell(t, i, pools - 1)->spill = 50;
		for (k = 1; k <= spills && k < pools; k++)
			bw_table_cell(t, i, (i + k) % pools)->spill = 10;
	}
	return t;
}

bw_workers_t *fleet_workers(const bw_table_t *table, uint32_t count,
			    uint32_t zones)
{
	bw_workers_t *w = g_new0(bw_workers_t, 1);
	uint32_t i;

	w->count = count;
	w->items = g_new0(bw_worker_t, count);
	for (i = 0; i < count; i++) {
		bw_worker_t *worker = &w->items[i];
		uint32_t rack = i / 4;

		worker->name = g_strdup_printf("worker-%05u", i);
		worker->address = g_strdup_printf("127.1.%u.%u:9000", i / 250,
						  i % 250 + 1);
		worker->zone = g_strdup_printf("zone-%u", rack % zones);
		worker->rack = g_strdup_printf("rack-%u", rack);
		worker->pool = g_strdup(
			table->pools[(uint64_t)i * table->pool_count / count]
				.name);
		worker->slots = 8;
		worker->connections = 64;
	}
	return w;
}

typedef void *(*parse_fn)(const char *text, size_t bytes, bw_findings_t *f);

static void *parse_table(const char *text, size_t bytes, bw_findings_t *f)
{
	return bw_table_parse(text, bytes, f);
}

static void *parse_workers(const char *text, size_t bytes, bw_findings_t *f)
{
	return bw_workers_parse(text, bytes, f);
}

static void *read_or_exit(const char *path, parse_fn parse)
{
	bw_findings_t *findings = bw_findings_create(path);
	GError *error = NULL;
	void *parsed;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
	parsed = parse(text, strlen(text), findings);
	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	g_free(text);
	if (!parsed)
		exit(1);
	return parsed;
}

bw_table_t *fleet_read_table(const char *path)
{
	return read_or_exit(path, parse_table);
}

bw_workers_t *fleet_read_workers(const char *path)
{
	return read_or_exit(path, parse_workers);
}

double fleet_cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}
