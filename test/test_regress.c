/*
 * Regression tests of parsers: the parser of KIND reads each NAME.in in
 * test/regress/KIND, and its result and findings must equal NAME.out. With
 * REGRESS_WRITE set, the NAME.out files are written first.
 */
#include "test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "conf/settings.h"
#include "fleet/settings.h"
#include "table/table.h"

#define REGRESS_DIR "test/regress"

typedef void (*parser_fn)(const char *path, const char *text,
			  bw_findings_t *findings, GString *out);

static void parse_settings(const char *path, const char *text,
			   bw_findings_t *findings, GString *out)
{
	bw_settings_t settings;

	(void)text;
	if (bw_settings_read(path, &settings, findings) == BW_OK)
		g_string_append(out, "good\n");
	bw_settings_clear(&settings);
}

static void parse_fleet_settings(const char *path, const char *text,
				 bw_findings_t *findings, GString *out)
{
	bw_fleet_settings_t settings;
	bw_node_capacity_t capacity;
	int i;

	(void)text;
	if (bw_fleet_settings_read(path, &settings, findings) == BW_OK) {
		capacity = bw_fleet_settings_capacity(&settings);
		g_string_append(out, "good\ncapacity");
		for (i = 0; i < BW_NODE_RESOURCE_COUNT; i++)
			g_string_append_printf(out, " %" G_GINT64_FORMAT,
					       capacity.amounts[i]);
		g_string_append(out, "\n");
	}
	bw_fleet_settings_clear(&settings);
}

static void parse_table(const char *path, const char *text,
			bw_findings_t *findings, GString *out)
{
	bw_table_t *table = bw_table_parse(text, strlen(text), findings);
	char *formatted;

	(void)path;
	if (!table)
		return;
	formatted = bw_table_format(table);
	g_string_append_printf(out, "%s\n", formatted);
	free(formatted);
	bw_table_destroy(table);
}

static void parse_workers(const char *path, const char *text,
			  bw_findings_t *findings, GString *out)
{
	bw_workers_t *workers = bw_workers_parse(text, strlen(text), findings);

	(void)path;
	if (workers)
		g_string_append_printf(out, "%u workers\n", workers->count);
	bw_workers_destroy(workers);
}

static void parse_csv(const char *path, const char *text,
		      bw_findings_t *findings, GString *out)
{
	static const char base[] =
		"{\"pools\":[{\"name\":\"p1\"},{\"name\":\"p2\"}],"
		"\"services\":[{\"name\":\"s1\",\"prefix\":\"/1/\"},"
		"{\"name\":\"s2\",\"prefix\":\"/2/\"}],\"cells\":[]}";
	bw_table_t *table = bw_table_parse(base, strlen(base), findings);
	char *csv;

	(void)path;
	bw_table_from_csv(table, text, findings);
	csv = bw_table_to_csv(table);
	g_string_append(out, csv);
	g_free(csv);
	bw_table_destroy(table);
}

static const struct kind {
	const char *name;
	parser_fn parse;
} kinds[] = {
	{ "settings", parse_settings },
	{ "fleet-settings", parse_fleet_settings },
	{ "table", parse_table },
	{ "workers", parse_workers },
	{ "csv", parse_csv },
};

static void run_case(const struct kind *kind, const char *input)
{
	char *path = g_build_filename(REGRESS_DIR, kind->name, input, NULL);
	char *expected_path = g_strdup_printf(
		"%.*s.out", (int)(strlen(path) - strlen(".in")), path);
	bw_findings_t *findings = bw_findings_create(input);
	GString *out = g_string_new(NULL);
	char *text = NULL;
	char *expected = NULL;
	size_t i;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	kind->parse(path, text, findings, out);
	for (i = 0; i < bw_findings_count(findings); i++)
		g_string_append_printf(out, "%s\n",
				       bw_findings_text(findings, i));
	if (getenv("REGRESS_WRITE"))
		g_file_set_contents(expected_path, out->str, -1, NULL);
	assert_true(g_file_get_contents(expected_path, &expected, NULL, NULL));
	assert_string_equal(out->str, expected);
	g_free(text);
	g_free(expected);
	g_free(path);
	g_free(expected_path);
	g_string_free(out, TRUE);
	bw_findings_destroy(findings);
}

static void run_kind(void **state)
{
	const struct kind *kind = *state;
	char *dir_path = g_build_filename(REGRESS_DIR, kind->name, NULL);
	GDir *dir = g_dir_open(dir_path, 0, NULL);
	const char *name;
	int cases = 0;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		if (!g_str_has_suffix(name, ".in"))
			continue;
		run_case(kind, name);
		cases++;
	}
	assert_true(cases > 0);
	g_dir_close(dir);
	g_free(dir_path);
}

int main(void)
{
	struct CMUnitTest tests[G_N_ELEMENTS(kinds)];
	size_t i;

	memset(tests, 0, sizeof(tests));
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		tests[i].name = kinds[i].name;
		tests[i].test_func = run_kind;
		tests[i].initial_state = (void *)&kinds[i];
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
