/* Commands about workers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "table/table.h"

#define EDIT_TRIES    20
#define EDIT_PAUSE_MS 100

static bw_workers_t *parse_or_print(const char *name, const char *text);
static bw_exit_t set_state(bw_ctl_t *c, const char *name,
			   bw_worker_state_t state);
static bw_worker_t *find(bw_workers_t *workers, const char *name);

static bw_workers_t *parse_or_print(const char *name, const char *text)
{
	bw_findings_t *findings = bw_findings_create(name);
	bw_workers_t *workers = bw_workers_parse(text, strlen(text), findings);

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	return workers;
}

bw_exit_t bw_ctl_worker_list(bw_ctl_t *c, char **args)
{
	bw_ctl_value_t value = bw_ctl_read(c, "workers");
	bw_workers_t *workers;
	uint32_t i;

	(void)args;
	if (value.status != BW_OK)
		return bw_ctl_fail(value.status);
	if (!value.text)
		return BW_EXIT_NOT_FOUND;
	if (c->json) {
		printf("%s\n", value.text);
		g_free(value.text);
		return BW_EXIT_OK;
	}
	workers = parse_or_print("workers", value.text);
	g_free(value.text);
	if (!workers)
		return BW_EXIT_INVALID;
	for (i = 0; i < workers->count; i++) {
		const bw_worker_t *w = &workers->items[i];

		printf("%-16s %-21s %-10s %-8s %-14s %3u %3u %s\n", w->name,
		       w->address, w->zone, w->rack, w->pool, w->slots,
		       w->connections, bw_worker_state_names[w->state]);
	}
	bw_workers_destroy(workers);
	return BW_EXIT_OK;
}

bw_exit_t bw_ctl_worker_import(bw_ctl_t *c, char **args)
{
	char *text = bw_ctl_read_file(args[0]);
	bw_workers_t *workers;
	bw_ctl_value_t value;
	bw_status_t status;

	if (!text)
		return BW_EXIT_NOT_FOUND;
	workers = parse_or_print(args[0], text);
	if (!workers) {
		g_free(text);
		return BW_EXIT_INVALID;
	}
	value = bw_ctl_read(c, "workers");
	status = value.status;
	if (status == BW_OK)
		status = bw_ctl_write(c, "workers", value.revision, text);
	g_free(value.text);
	g_free(text);
	if (status == BW_OK)
		printf("accepted %u workers\n", workers->count);
	bw_workers_destroy(workers);
	return status == BW_OK ? BW_EXIT_OK : bw_ctl_fail(status);
}

static bw_worker_t *find(bw_workers_t *workers, const char *name)
{
	uint32_t i;

	for (i = 0; i < workers->count; i++)
		if (!strcmp(workers->items[i].name, name))
			return &workers->items[i];
	return NULL;
}

/* Setting a state twice is harmless, so a lost answer is simply read again. */
static bw_exit_t set_state(bw_ctl_t *c, const char *name,
			   bw_worker_state_t state)
{
	bw_status_t status = BW_EUNAVAIL;
	uint32_t tries;

	for (tries = 0; tries < EDIT_TRIES; tries++) {
		bw_ctl_value_t value = bw_ctl_read(c, "workers");
		bw_workers_t *workers = NULL;
		bw_worker_t *worker = NULL;
		char *text;

		status = value.status;
		if (status == BW_OK && value.text)
			workers = parse_or_print("workers", value.text);
		g_free(value.text);
		if (workers)
			worker = find(workers, name);
		if (status == BW_OK && !worker) {
			fprintf(stderr, "bramleyctl: no worker %s\n", name);
			bw_workers_destroy(workers);
			return BW_EXIT_NOT_FOUND;
		}
		if (worker && worker->state == state) {
			bw_workers_destroy(workers);
			printf("%s is %s\n", name,
			       bw_worker_state_names[state]);
			return BW_EXIT_OK;
		}
		if (worker) {
			worker->state = state;
			text = bw_workers_format(workers);
			status = bw_ctl_write(c, "workers", value.revision,
					      text);
			free(text);
		}
		bw_workers_destroy(workers);
		if (status == BW_EUNAVAIL || status == BW_EIO)
			break;
		bw_ctl_sleep(c, status == BW_OK ? 0 : EDIT_PAUSE_MS);
	}
	return bw_ctl_fail(status);
}

bw_exit_t bw_ctl_worker_drain(bw_ctl_t *c, char **args)
{
	return set_state(c, args[0], BW_WORKER_LEAVING);
}

bw_exit_t bw_ctl_worker_undrain(bw_ctl_t *c, char **args)
{
	return set_state(c, args[0], BW_WORKER_SERVING);
}
