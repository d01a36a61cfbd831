/* Commands that list and change workers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "table/table.h"

#define EDIT_ATTEMPTS_MAX   20
#define EDIT_RETRY_DELAY_MS 100
#define PART_KEY_BYTES	    16

/** The worker list, which is stored in parts by the hash of the names. */
typedef struct worker_parts {
	bw_workers_t *list[BW_WORKER_PARTS];
	int64_t revision[BW_WORKER_PARTS];
	bool unreadable[BW_WORKER_PARTS]; /**< Stored, but not a list. */
} worker_parts_t;

static bw_workers_t *parse_or_print(const char *name, const char *text);
static void part_key(uint32_t part, char out[PART_KEY_BYTES]);
static void record_part(void *ctx, const char *name, const char *text,
			int64_t revision);
static void print_unreadable(const char *key);
static bool report_unreadable(const worker_parts_t *parts);
static void clear_parts(worker_parts_t *parts);
static bw_status_t write_part(bw_ctl_t *c, uint32_t part, int64_t revision,
			      const bw_workers_t *workers);
static bw_status_t import_part(bw_ctl_t *c, uint32_t part,
			       const worker_parts_t *parts,
			       const bw_workers_t *all, uint32_t *written);
static void print_worker(const bw_worker_t *w);
static bw_exit_t set_state(bw_ctl_t *c, const char *name,
			   bw_worker_state_t state);
static bw_worker_t *find_worker(bw_workers_t *workers, const char *name);

static bw_workers_t *parse_or_print(const char *name, const char *text)
{
	bw_findings_t *findings = bw_findings_create(name);
	bw_workers_t *workers = bw_workers_parse(text, strlen(text), findings);

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	return workers;
}

static void part_key(uint32_t part, char out[PART_KEY_BYTES])
{
	g_snprintf(out, PART_KEY_BYTES, "workers/%02x", part);
}

static void record_part(void *ctx, const char *name, const char *text,
			int64_t revision)
{
	worker_parts_t *parts = ctx;
	guint64 part = g_ascii_strtoull(name + strlen("workers/"), NULL, 16);

	if (part >= BW_WORKER_PARTS)
		return;
	parts->list[part] = parse_or_print(name, text);
	parts->revision[part] = revision;
	parts->unreadable[part] = !parts->list[part];
}

static void print_unreadable(const char *key)
{
	fprintf(stderr,
		"bramleyctl: %s in the store can't be read; repair or delete "
		"it there\n",
		key);
}

/* Names the stored parts that are no lists; returns whether there are any. */
static bool report_unreadable(const worker_parts_t *parts)
{
	char key[PART_KEY_BYTES];
	bool found = false;
	uint32_t i;

	for (i = 0; i < BW_WORKER_PARTS; i++) {
		if (!parts->unreadable[i])
			continue;
		part_key(i, key);
		print_unreadable(key);
		found = true;
	}
	return found;
}

static void clear_parts(worker_parts_t *parts)
{
	uint32_t i;

	for (i = 0; i < BW_WORKER_PARTS; i++)
		bw_workers_destroy(parts->list[i]);
}

static bw_status_t write_part(bw_ctl_t *c, uint32_t part, int64_t revision,
			      const bw_workers_t *workers)
{
	char key[PART_KEY_BYTES];
	char *text = bw_workers_format(workers);
	bw_status_t status;

	part_key(part, key);
	status = bw_ctl_write(c, key, revision, text);
	free(text);
	return status;
}

static void print_worker(const bw_worker_t *w)
{
	printf("%-16s %-21s %-10s %-8s %-14s %3u %3u %s\n", w->name, w->address,
	       w->zone, w->rack, w->pool, w->slots, w->connections,
	       bw_worker_state_names[w->state]);
}

bw_exit_t bw_ctl_worker_list(bw_ctl_t *c, char **args)
{
	worker_parts_t parts = { 0 };
	bw_status_t status =
		bw_ctl_read_all(c, "workers/", record_part, &parts);
	bool first = true;
	bool unreadable;
	uint32_t i;
	uint32_t k;

	(void)args;
	if (status != BW_OK)
		return bw_ctl_report_error(status);
	if (c->json)
		printf("[");
	for (i = 0; i < BW_WORKER_PARTS; i++) {
		char *text;

		if (!parts.list[i])
			continue;
		if (c->json) {
			text = bw_workers_format(parts.list[i]);
			printf("%s%s", first ? "" : ",\n", text);
			free(text);
			first = false;
			continue;
		}
		for (k = 0; k < parts.list[i]->count; k++)
			print_worker(&parts.list[i]->items[k]);
	}
	if (c->json)
		printf("]\n");
	unreadable = report_unreadable(&parts);
	clear_parts(&parts);
	return unreadable ? BW_EXIT_INVALID : BW_EXIT_OK;
}

/* Writes one part of the list, unless it is unchanged.
 * @param written counts the parts that were */
static bw_status_t import_part(bw_ctl_t *c, uint32_t part,
			       const worker_parts_t *parts,
			       const bw_workers_t *all, uint32_t *written)
{
	bw_workers_t *next = bw_workers_select_part(all, part);
	const bw_workers_t *old = parts->list[part];
	char *before = old ? bw_workers_format(old) : NULL;
	char *after = bw_workers_format(next);
	bool same = before ? !strcmp(before, after) : next->count == 0;
	bw_status_t status = BW_OK;

	if (!same)
		status = write_part(c, part, parts->revision[part], next);
	*written += !same && status == BW_OK;
	free(before);
	free(after);
	bw_workers_destroy(next);
	return status;
}

bw_exit_t bw_ctl_worker_import(bw_ctl_t *c, char **args)
{
	char *text = bw_ctl_read_file(args[0]);
	bw_workers_t *workers = text ? parse_or_print(args[0], text) : NULL;
	worker_parts_t parts = { 0 };
	bw_status_t status;
	bw_exit_t code = BW_EXIT_OK;
	uint32_t written = 0;
	uint32_t i;

	if (!workers) {
		code = text ? BW_EXIT_INVALID : BW_EXIT_NOT_FOUND;
		g_free(text);
		return code;
	}
	g_free(text);
	status = bw_ctl_read_all(c, "workers/", record_part, &parts);
	/* What an unreadable part holds is unknown, so it isn't replaced. */
	if (status == BW_OK && report_unreadable(&parts)) {
		clear_parts(&parts);
		bw_workers_destroy(workers);
		return BW_EXIT_INVALID;
	}
	for (i = 0; i < BW_WORKER_PARTS && status == BW_OK; i++)
		status = import_part(c, i, &parts, workers, &written);
	if (status == BW_OK)
		printf("accepted %u workers\n", workers->count);
	else
		fprintf(stderr,
			"bramleyctl: stopped after part %u of %d; import again "
			"to finish\n",
			i, BW_WORKER_PARTS);
	clear_parts(&parts);
	bw_workers_destroy(workers);
	if (status != BW_OK)
		code = bw_ctl_report_error(status);
	/* A part that is refused says nothing of those before it. */
	return code == BW_EXIT_UNAVAILABLE && written > 0 ? BW_EXIT_UNKNOWN
							  : code;
}

static bw_worker_t *find_worker(bw_workers_t *workers, const char *name)
{
	uint32_t i;

	for (i = 0; i < workers->count; i++)
		if (!strcmp(workers->items[i].name, name))
			return &workers->items[i];
	return NULL;
}

/*
 * Setting a state is idempotent: after a lost answer the part is read again and
 * the state set again if the write had no effect.
 */
static bw_exit_t set_state(bw_ctl_t *c, const char *name,
			   bw_worker_state_t state)
{
	uint32_t part = bw_worker_part(name);
	bw_status_t status = BW_EUNAVAIL;
	/* At which a write may have taken effect since the last read, or -1. */
	int64_t written_revision = -1;
	char key[PART_KEY_BYTES];
	uint32_t attempt;

	part_key(part, key);
	for (attempt = 0; attempt < EDIT_ATTEMPTS_MAX; attempt++) {
		bw_ctl_value_t value = bw_ctl_read(c, key);
		bw_workers_t *workers = NULL;
		bw_worker_t *worker = NULL;
		bool unreadable = false;

		status = value.status;
		if (status == BW_OK && value.revision != written_revision)
			written_revision = -1;
		if (status == BW_OK && value.text) {
			workers = parse_or_print(key, value.text);
			unreadable = !workers;
		}
		g_free(value.text);
		if (unreadable) {
			print_unreadable(key);
			return BW_EXIT_INVALID;
		}
		if (workers)
			worker = find_worker(workers, name);
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
			status = write_part(c, part, value.revision, workers);
			if (status == BW_OK || status == BW_ELOST)
				written_revision = value.revision;
		}
		bw_workers_destroy(workers);
		if (status == BW_EUNAVAIL || status == BW_EIO)
			break;
		bw_ctl_sleep(c, status == BW_OK ? 0 : EDIT_RETRY_DELAY_MS);
	}
	/* What became of the last attempt says nothing of an earlier one. */
	return bw_ctl_report_error(written_revision >= 0 ? BW_ELOST : status);
}

bw_exit_t bw_ctl_worker_drain(bw_ctl_t *c, char **args)
{
	return set_state(c, args[0], BW_WORKER_LEAVING);
}

bw_exit_t bw_ctl_worker_undrain(bw_ctl_t *c, char **args)
{
	return set_state(c, args[0], BW_WORKER_SERVING);
}
