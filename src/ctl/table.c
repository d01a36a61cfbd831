/* Commands that show and edit the table. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl/ctl.h"
#include "table/edit.h"

#define EDIT_ATTEMPTS_MAX	20
#define EDIT_RETRY_DELAY_MAX_MS 100
#define LOST_EDIT_READS_MAX	50
#define WAIT_TIMEOUT_DEFAULT_S	15
#define WAIT_POLL_INTERVAL_MS	50

/**
 * Makes the new text of the table from the stored one.
 * @param old the table as stored, or NULL if there is none
 * @return the new text, to be released with free(); or NULL, with findings if
 *         the input is invalid and without if the edit conflicts with another
 */
typedef char *(*make_table_fn)(void *ctx, const char *old,
			       const bw_edit_t *edit, bw_findings_t *findings);

static bw_table_t *parse_or_print(const char *name, const char *text);
static bw_table_t *load_table(bw_ctl_t *c, char **text, bw_exit_t *code);
static bw_table_t *parse_stored_table(const char *old, bw_findings_t *findings);
static void init_edit(bw_edit_t *edit, const char *description);
static bw_exit_t run_edit(bw_ctl_t *c, make_table_fn fn, void *ctx,
			  const char *description);
static bw_exit_t resolve_lost_edit(bw_ctl_t *c, const bw_edit_t *edit,
				   bool *found);
static bw_exit_t print_edit_version(bw_ctl_t *c, const char *id,
				    uint64_t version);
static char *make_cell_change(void *ctx, const char *old, const bw_edit_t *edit,
			      bw_findings_t *findings);
static char *make_json_import(void *ctx, const char *old, const bw_edit_t *edit,
			      bw_findings_t *findings);
static char *make_csv_import(void *ctx, const char *old, const bw_edit_t *edit,
			     bw_findings_t *findings);

static bw_table_t *parse_or_print(const char *name, const char *text)
{
	bw_findings_t *findings = bw_findings_create(name);
	bw_table_t *table = bw_table_parse(text, strlen(text), findings);

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	return table;
}

static void print_table(const bw_table_t *t)
{
	uint32_t s;
	uint32_t p;

	printf("version %" G_GUINT64_FORMAT "\n%-16s", t->version, "");
	for (p = 0; p < t->pool_count; p++)
		printf(" %12s", t->pools[p].name);
	printf("\n");
	for (s = 0; s < t->service_count; s++) {
		printf("%-16s", t->services[s].name);
		for (p = 0; p < t->pool_count; p++) {
			char cell[64];

			bw_cell_format(bw_table_cell(t, s, p), cell,
				       sizeof(cell));
			printf(" %12s", *cell ? cell : "-");
		}
		printf("\n");
	}
}

/* Returns the stored table and its text, or NULL and sets the exit code. */
static bw_table_t *load_table(bw_ctl_t *c, char **text, bw_exit_t *code)
{
	bw_ctl_value_t value = bw_ctl_read(c, "table");
	bw_table_t *table;

	if (value.status != BW_OK) {
		*code = bw_ctl_report_error(value.status);
		return NULL;
	}
	if (!value.text) {
		fprintf(stderr, "bramleyctl: no table in the store\n");
		*code = BW_EXIT_NOT_FOUND;
		return NULL;
	}
	table = parse_or_print("table", value.text);
	*code = table ? BW_EXIT_OK : BW_EXIT_INVALID;
	*text = value.text;
	if (!table)
		g_clear_pointer(text, g_free);
	return table;
}

bw_exit_t bw_ctl_table_show(bw_ctl_t *c, char **args)
{
	bw_exit_t code;
	char *text = NULL;
	bw_table_t *table = load_table(c, &text, &code);

	(void)args;
	if (!table)
		return code;
	if (c->json)
		printf("%s\n", text);
	else
		print_table(table);
	bw_table_destroy(table);
	g_free(text);
	return code;
}

bw_exit_t bw_ctl_table_export(bw_ctl_t *c, char **args)
{
	bw_exit_t code;
	char *text = NULL;
	bw_table_t *table = load_table(c, &text, &code);
	char *csv;

	(void)args;
	if (!table)
		return code;
	csv = bw_table_to_csv(table);
	printf("%s", csv);
	g_free(csv);
	bw_table_destroy(table);
	g_free(text);
	return code;
}

/* Prints the cells in which a file differs from the stored table. */
bw_exit_t bw_ctl_table_diff(bw_ctl_t *c, char **args)
{
	char *file = bw_ctl_read_file(args[0]);
	bw_table_t *other = file ? parse_or_print(args[0], file) : NULL;
	bw_table_t *table = NULL;
	bw_exit_t code = file ? BW_EXIT_INVALID : BW_EXIT_NOT_FOUND;
	char *text = NULL;
	char *lines;

	g_free(file);
	if (other)
		table = load_table(c, &text, &code);
	if (table) {
		lines = bw_table_diff(table, other);
		printf("%s", lines);
		g_free(lines);
	}
	bw_table_destroy(table);
	bw_table_destroy(other);
	g_free(text);
	return code;
}

bw_exit_t bw_ctl_table_check(bw_ctl_t *c, char **args)
{
	char *text = bw_ctl_read_file(args[0]);
	bw_table_t *table;

	(void)c;
	if (!text)
		return BW_EXIT_NOT_FOUND;
	table = parse_or_print(args[0], text);
	g_free(text);
	if (!table)
		return BW_EXIT_INVALID;
	printf("%s: %u services, %u pools\n", args[0], table->service_count,
	       table->pool_count);
	bw_table_destroy(table);
	return BW_EXIT_OK;
}

static void init_edit(bw_edit_t *edit, const char *description)
{
	edit->id = g_uuid_string_random();
	edit->who = g_get_user_name();
	edit->what = description;
	edit->when_ms = g_get_real_time() / 1000;
}

static bw_exit_t print_edit_version(bw_ctl_t *c, const char *id,
				    uint64_t version)
{
	if (c->json)
		printf("{\"version\":%" G_GUINT64_FORMAT ",\"edit\":\"%s\"}\n",
		       version, id);
	else
		printf("accepted as version %" G_GUINT64_FORMAT "\n", version);
	return BW_EXIT_OK;
}

static bw_exit_t report_unknown_edit(const bw_edit_t *edit)
{
	fprintf(stderr,
		"bramleyctl: edit %s: the answer was lost; check with 'table "
		"history' whether it took effect\n",
		edit->id);
	return BW_EXIT_UNKNOWN;
}

/* Finds out from the stored table whether an unanswered edit took effect. */
static bw_exit_t resolve_lost_edit(bw_ctl_t *c, const bw_edit_t *edit,
				   bool *found)
{
	uint32_t attempt;

	*found = false;
	for (attempt = 0; attempt < LOST_EDIT_READS_MAX; attempt++) {
		bw_ctl_value_t value = bw_ctl_read(c, "table");
		uint64_t version;

		if (value.status != BW_OK) {
			bw_ctl_sleep(c, EDIT_RETRY_DELAY_MAX_MS);
			continue;
		}
		version = value.text
				  ? bw_edit_find_version(value.text, edit->id)
				  : 0;
		g_free(value.text);
		if (version == 0)
			return BW_EXIT_OK;
		*found = true;
		return print_edit_version(c, edit->id, version);
	}
	return report_unknown_edit(edit);
}

/** An edit in progress. */
typedef struct edit_run {
	bw_edit_t edit;
	bw_findings_t *findings;
	/** Revision that a write without an answer expects, or -1: it can't be
	 *  carried out any more once the table has another. */
	int64_t lost_revision;
	bw_exit_t code;
} edit_run_t;

/* Finds out whether a write without an answer was carried out meanwhile. */
static bool find_late_edit(bw_ctl_t *c, edit_run_t *run,
			   const bw_ctl_value_t *value)
{
	uint64_t version;

	if (run->lost_revision < 0 || value->revision == run->lost_revision)
		return false;
	run->lost_revision = -1;
	version = value->text ? bw_edit_find_version(value->text, run->edit.id)
			      : 0;
	if (version > 0)
		run->code = print_edit_version(c, run->edit.id, version);
	return version > 0;
}

/* Writes the new text of the table; returns whether no other attempt is of use.
 */
static bool write_edit(bw_ctl_t *c, edit_run_t *run, int64_t revision,
		       const char *text)
{
	bw_status_t status = bw_ctl_write(c, "table", revision, text);
	bool found = false;

	if (status == BW_ELOST) {
		run->lost_revision = revision;
		run->code = resolve_lost_edit(c, &run->edit, &found);
	} else if (status == BW_OK) {
		run->code = print_edit_version(
			c, run->edit.id,
			bw_edit_find_version(text, run->edit.id));
	} else if (status == BW_ECONFLICT) {
		run->code = BW_EXIT_CONFLICT;
	} else {
		run->code = bw_ctl_report_error(status);
	}
	if (status == BW_OK || found)
		run->lost_revision = -1;
	return status == BW_OK || found || run->code == BW_EXIT_UNKNOWN ||
	       run->code == BW_EXIT_UNAVAILABLE;
}

/* Makes one attempt at an edit; returns whether no other one is of use. */
static bool try_edit(bw_ctl_t *c, edit_run_t *run, make_table_fn fn, void *ctx)
{
	bw_ctl_value_t value = bw_ctl_read(c, "table");
	bool ended = true;
	char *next;

	if (value.status != BW_OK) {
		run->code = bw_ctl_report_error(value.status);
		ended = run->code == BW_EXIT_UNKNOWN ||
			run->code == BW_EXIT_UNAVAILABLE;
	} else if (!find_late_edit(c, run, &value)) {
		next = fn(ctx, value.text, &run->edit, run->findings);
		if (next) {
			ended = write_edit(c, run, value.revision, next);
		} else {
			bw_findings_print(run->findings, stderr);
			run->code = bw_findings_count(run->findings) > 0
					    ? BW_EXIT_INVALID
					    : BW_EXIT_CONFLICT;
		}
		free(next);
	}
	g_free(value.text);
	return ended;
}

static bw_exit_t run_edit(bw_ctl_t *c, make_table_fn fn, void *ctx,
			  const char *description)
{
	edit_run_t run = { .findings = bw_findings_create("table"),
			   .lost_revision = -1,
			   .code = BW_EXIT_UNAVAILABLE };
	uint32_t attempt;

	init_edit(&run.edit, description);
	for (attempt = 0; attempt < EDIT_ATTEMPTS_MAX; attempt++) {
		if (try_edit(c, &run, fn, ctx))
			break;
		bw_ctl_sleep(c, g_random_int_range(1, EDIT_RETRY_DELAY_MAX_MS));
	}
	if (attempt == EDIT_ATTEMPTS_MAX)
		fprintf(stderr, "bramleyctl: too many concurrent edits\n");
	/* What became of the last attempt says nothing of an earlier one. */
	if (run.lost_revision >= 0 && run.code != BW_EXIT_UNKNOWN)
		run.code = report_unknown_edit(&run.edit);
	bw_findings_destroy(run.findings);
	g_free((char *)run.edit.id);
	return run.code;
}

static bw_table_t *parse_stored_table(const char *old, bw_findings_t *findings)
{
	if (old)
		return bw_table_parse(old, strlen(old), findings);
	bw_findings_add_at(findings, BW_F_MISSING_KEY, "store",
			   "there is no table yet");
	return NULL;
}

/**
 * A change of one cell, made only if the cell has the expected value: the one
 * that the operator gave, or the one of the first read.
 */
typedef struct cell_change {
	bw_cell_edit_t edit;
	char expected[64];
	bool has_expected;
} cell_change_t;

static char *make_cell_change(void *ctx, const char *old, const bw_edit_t *edit,
			      bw_findings_t *findings)
{
	cell_change_t *cell = ctx;
	bw_table_t *table;
	uint32_t s;
	uint32_t p;
	char current[64] = "";

	table = parse_stored_table(old, findings);
	if (!table)
		return NULL;
	s = bw_table_service_index(table, cell->edit.service);
	p = bw_table_pool_index(table, cell->edit.pool);
	if (s != UINT32_MAX && p != UINT32_MAX)
		bw_cell_format(bw_table_cell(table, s, p), current,
			       sizeof(current));
	bw_table_destroy(table);
	if (cell->has_expected && strcmp(cell->expected, current) != 0) {
		fprintf(stderr,
			"bramleyctl: conflict: cell %s, %s is now \"%s\", not "
			"\"%s\"\n",
			cell->edit.service, cell->edit.pool, current,
			cell->expected);
		return NULL;
	}
	g_strlcpy(cell->expected, current, sizeof(cell->expected));
	cell->has_expected = true;
	return bw_edit_cells(old, &cell->edit, 1, edit, findings);
}

bw_exit_t bw_ctl_table_set(bw_ctl_t *c, char **args)
{
	cell_change_t cell = { .edit = { .service = args[0],
					 .pool = args[1] } };
	char *description;
	bw_exit_t code;

	if (!args[1] || !args[2]) {
		fprintf(stderr, "usage: table set SERVICE POOL CELL [OLD]\n");
		return BW_EXIT_USAGE;
	}
	if (bw_cell_parse(args[2], &cell.edit.cell) != BW_OK) {
		fprintf(stderr, "bramleyctl: %s\n", bw_status_message());
		return BW_EXIT_INVALID;
	}
	if (args[3]) {
		g_strlcpy(cell.expected, args[3], sizeof(cell.expected));
		cell.has_expected = true;
	}
	description =
		g_strdup_printf("set %s %s \"%s\"", args[0], args[1], args[2]);
	code = run_edit(c, make_cell_change, &cell, description);
	g_free(description);
	return code;
}

static char *make_json_import(void *ctx, const char *old, const bw_edit_t *edit,
			      bw_findings_t *findings)
{
	return bw_edit_replace(old, ctx, edit, findings);
}

static char *make_csv_import(void *ctx, const char *old, const bw_edit_t *edit,
			     bw_findings_t *findings)
{
	bw_table_t *table;
	char *text;
	char *next = NULL;

	table = parse_stored_table(old, findings);
	if (!table)
		return NULL;
	if (bw_table_from_csv(table, ctx, findings) == BW_OK) {
		text = bw_table_format(table);
		next = bw_edit_replace(old, text, edit, findings);
		free(text);
	}
	bw_table_destroy(table);
	return next;
}

bw_exit_t bw_ctl_table_import(bw_ctl_t *c, char **args)
{
	char *text = bw_ctl_read_file(args[0]);
	char *description;
	bw_exit_t code;
	bool csv;

	if (!text)
		return BW_EXIT_NOT_FOUND;
	csv = g_str_has_suffix(args[0], ".csv");
	description = g_strdup_printf("import %s", args[0]);
	code = run_edit(c, csv ? make_csv_import : make_json_import, text,
			description);
	g_free(description);
	g_free(text);
	return code;
}

bw_exit_t bw_ctl_table_history(bw_ctl_t *c, char **args)
{
	bw_ctl_value_t value = bw_ctl_read(c, "table");
	json_t *root;
	json_t *item;
	size_t i;

	(void)args;
	if (value.status != BW_OK)
		return bw_ctl_report_error(value.status);
	root = value.text ? json_loads(value.text, 0, NULL) : NULL;
	if (value.text && !json_is_object(root)) {
		fprintf(stderr,
			"bramleyctl: the table in the store can't be read\n");
		g_free(value.text);
		json_decref(root);
		return BW_EXIT_INVALID;
	}
	g_free(value.text);
	if (c->json) {
		json_dumpf(json_object_get(root, "history"), stdout,
			   JSON_INDENT(1));
		printf("\n");
		json_decref(root);
		return BW_EXIT_OK;
	}
	json_array_foreach(json_object_get(root, "history"), i, item)
	{
		GDateTime *when = g_date_time_new_from_unix_utc(
			json_integer_value(json_object_get(item, "when_ms")) /
			1000);
		char *text = g_date_time_format(when, "%Y-%m-%dT%H:%M:%SZ");

		printf("%6" JSON_INTEGER_FORMAT " %s %-12s %s %s\n",
		       json_integer_value(json_object_get(item, "version")),
		       text, json_string_value(json_object_get(item, "who")),
		       json_string_value(json_object_get(item, "id")),
		       json_string_value(json_object_get(item, "what")));
		g_free(text);
		g_date_time_unref(when);
	}
	json_decref(root);
	return BW_EXIT_OK;
}

/* Returns the table version in force at an entry; -1 without an answer. */
static int64_t entry_table_version(bw_ctl_t *c, const char *entry)
{
	char *body = bw_ctl_get(c, entry, "/status");
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	int64_t version = -1;

	if (root)
		version = json_integer_value(
			json_object_get(root, "table_version"));
	json_decref(root);
	g_free(body);
	return version;
}

bw_exit_t bw_ctl_table_wait(bw_ctl_t *c, char **args)
{
	int64_t target_version = g_ascii_strtoll(args[0], NULL, 10);
	int64_t timeout_s = args[1] ? g_ascii_strtoll(args[1], NULL, 10)
				    : WAIT_TIMEOUT_DEFAULT_S;
	int64_t deadline_us = g_get_monotonic_time() + timeout_s * 1000000;
	uint32_t lagging;
	uint32_t i;

	if (!c->entries || !c->entries[0]) {
		fprintf(stderr, "bramleyctl: --entry is required\n");
		return BW_EXIT_USAGE;
	}
	for (;;) {
		lagging = 0;
		for (i = 0; c->entries[i]; i++)
			if (entry_table_version(c, c->entries[i]) <
			    target_version)
				lagging++;
		if (lagging == 0) {
			printf("version %" G_GINT64_FORMAT
			       " is in force on %u entries\n",
			       target_version, i);
			return BW_EXIT_OK;
		}
		if (g_get_monotonic_time() >= deadline_us)
			break;
		bw_ctl_sleep(c, WAIT_POLL_INTERVAL_MS);
	}
	for (i = 0; c->entries[i]; i++) {
		int64_t version = entry_table_version(c, c->entries[i]);

		if (version < target_version)
			fprintf(stderr,
				"lagging: %s has version %" G_GINT64_FORMAT
				"\n",
				c->entries[i], version);
	}
	return BW_EXIT_TIMEOUT;
}
