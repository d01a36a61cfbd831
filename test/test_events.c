/* Event lines: their table, the calls that write them, and their bounds. */
#include "test.h"

#include <fcntl.h>
#include <glob.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/event.h"
#include "base/loglimiter.h"
#include "base/metrics.h"

#define BYTES_S	     20000
#define FREE_BYTES_S (1 << 20)

static const char *const sources[] = { "src/*/*.c", "platform/*.c", "cmd/*.c" };

static void test_page_has_the_table(void **state)
{
	GString *table = g_string_new(NULL);
	char *page;

	(void)state;
	assert_true(g_file_get_contents("docs/LOGS.md", &page, NULL, NULL));
	bw_event_print_table(table);
	if (!strstr(page, table->str))
		print_error("docs/LOGS.md lacks this table:\n%s", table->str);
	assert_non_null(strstr(page, table->str));
	g_string_free(table, TRUE);
	g_free(page);
}

/* The constant's name of a kind, as calls write it. */
static char *constant_of(const bw_event_spec_t *spec)
{
	char *name = g_strdup_printf("BW_EVENT_%s_%s", spec->part, spec->name);
	char *upper = g_ascii_strup(name, -1);

	g_strdelimit(upper, "-", '_');
	g_free(name);
	return upper;
}

/* Reads the string literals and format macros after a place; NULL if none. */
static char *literals_at(const char *at)
{
	GString *text = g_string_new(NULL);

	for (;;) {
		at += strspn(at, " \t\n,");
		if (*at == '"') {
			const char *end = at + 1;

			while (*end != '"')
				end += *end == '\\' ? 2 : 1;
			g_string_append_len(text, at + 1, end - at - 1);
			at = end + 1;
		} else if (g_str_has_prefix(at, "G_GINT64_FORMAT") ||
			   g_str_has_prefix(at, "G_GUINT64_FORMAT")) {
			at += strcspn(at, " \t\n,");
		} else {
			return g_string_free(text, text->len == 0);
		}
		if (*at == ',')
			return g_string_free(text, FALSE);
	}
}

/* The names before each "=" of a format, with blanks between. */
static char *fields_of(const char *format, const char *first)
{
	GString *fields = g_string_new(first);
	char **words = g_strsplit(format, " ", -1);
	char **word;

	for (word = words; *word; word++) {
		const char *equal = strchr(*word, '=');

		if (!equal)
			continue;
		if (fields->len > 0)
			g_string_append_c(fields, ' ');
		g_string_append_len(fields, *word, equal - *word);
	}
	g_strfreev(words);
	return g_string_free(fields, FALSE);
}

/* Counts the calls of a kind in a file, each with the fields of the table. */
static uint32_t check_calls(const char *path, const char *text,
			    const bw_event_spec_t *spec, const char *constant)
{
	bool pooled = !strcmp(spec->part, "sched");
	const char *at = text;
	uint32_t calls = 0;

	while ((at = strstr(at, constant)) != NULL) {
		char *format;

		at += strlen(constant);
		if (*at != ',')
			continue;
		format = literals_at(at);
		if (format) {
			char *fields = fields_of(format, pooled ? "pool" : "");

			if (strcmp(fields, spec->fields) != 0)
				print_error("%s: %s\n", path, constant);
			assert_string_equal(fields, spec->fields);
			g_free(fields);
		}
		g_free(format);
		calls++;
	}
	return calls;
}

static void test_calls_have_the_fields_of_the_table(void **state)
{
	uint32_t calls[BW_EVENT_KIND_COUNT] = { 0 };
	glob_t files;
	size_t i;
	int kind;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(sources); i++)
		assert_int_equal(
			glob(sources[i], i ? GLOB_APPEND : 0, NULL, &files), 0);
	for (i = 0; i < files.gl_pathc; i++) {
		char *text;

		assert_true(g_file_get_contents(files.gl_pathv[i], &text, NULL,
						NULL));
		for (kind = 0; kind < BW_EVENT_KIND_COUNT; kind++) {
			const bw_event_spec_t *spec =
				bw_event_spec((bw_event_kind_t)kind);
			char *constant = constant_of(spec);

			calls[kind] += check_calls(files.gl_pathv[i], text,
						   spec, constant);
			g_free(constant);
		}
		g_free(text);
	}
	globfree(&files);
	for (kind = 0; kind < BW_EVENT_KIND_COUNT; kind++) {
		if (calls[kind] == 0)
			print_error("%s is never written\n",
				    bw_event_spec((bw_event_kind_t)kind)->name);
		assert_true(calls[kind] > 0);
	}
}

/* Writes lines at one moment until one is left out; 0: none was. */
static uint32_t lines_until_loss(bw_log_gate_t *gate, bw_event_kind_t kind,
				 int64_t now_ms, size_t line_bytes)
{
	uint32_t lines = 0;

	while (bw_log_gate_admit(gate, kind, now_ms, 0)) {
		bw_log_gate_written(gate, line_bytes);
		lines++;
	}
	return lines;
}

static void test_kinds_have_rates(void **state)
{
	bw_log_gate_t gate = { .bytes_max = 1 << 30 };
	uint32_t most = bw_event_class_lines(BW_EVENT_REQUEST);

	(void)state;
	assert_int_equal(
		lines_until_loss(&gate, BW_EVENT_SCHED_START, 5000, 100), most);
	assert_int_equal(gate.lost[BW_EVENT_LOSS_RATE], 1);
	/* Another kind has a rate of its own, and so has the next second. */
	assert_true(
		bw_log_gate_admit(&gate, BW_EVENT_FLEET_STORE_LOST, 5900, 0));
	assert_true(bw_log_gate_admit(&gate, BW_EVENT_SCHED_START, 6000, 0));
	assert_int_equal(bw_log_gate_missed(&gate, BW_EVENT_SCHED_START), 1);
	assert_int_equal(bw_log_gate_missed(&gate, BW_EVENT_SCHED_START), 0);
}

static void test_bytes_are_bounded(void **state)
{
	bw_log_gate_t gate = { .bytes_max = BYTES_S };

	(void)state;
	lines_until_loss(&gate, BW_EVENT_SCHED_START, 7000, 200);
	assert_int_equal(gate.lost[BW_EVENT_LOSS_BYTES], 1);
	assert_true(gate.bytes <= BYTES_S);
	assert_true(gate.bytes > BYTES_S - 2 * BW_LOG_LINE_BYTES_MAX);
	assert_false(
		bw_log_gate_admit(&gate, BW_EVENT_SERVICE_REQUEST, 7999, 0));
	assert_true(
		bw_log_gate_admit(&gate, BW_EVENT_SERVICE_REQUEST, 8000, 0));
}

static void test_backlog_is_bounded(void **state)
{
	bw_log_gate_t gate = { .bytes_max = 1 << 30 };

	(void)state;
	assert_false(bw_log_gate_admit(&gate, BW_EVENT_SCHED_START, 1000,
				       BW_LOG_BACKLOG_BYTES_MAX));
	assert_int_equal(gate.lost[BW_EVENT_LOSS_READER], 1);
}

/* Lines and messages of libraries reach a reader, and wait for none. */
static void test_lines_reach_a_reader(void **state)
{
	static char text[4096];
	int kept = dup(STDOUT_FILENO);
	int ends[2];
	ssize_t n;
	int i;

	(void)state;
	fflush(stdout);
	assert_int_equal(pipe(ends), 0);
	dup2(ends[1], STDOUT_FILENO);
	bw_event_init(ev_default_loop(0), FREE_BYTES_S);
	bw_event(BW_EVENT_MAIN_STARTED, "node=%s", "a");
	g_log_structured("lib", G_LOG_LEVEL_WARNING, "MESSAGE", "odd\nthing");
	bw_event_flush();
	n = read(ends[0], text, sizeof(text) - 1);
	/* Nobody reads any more: a full pipe costs lines, not time. */
	for (i = 0; i < 300; i++) {
		bw_event(BW_EVENT_SCHED_START, "pool=%0300d", i);
		bw_event_flush();
	}
	dup2(kept, STDOUT_FILENO);
	close(kept);
	close(ends[0]);
	close(ends[1]);
	assert_true(n > 0);
	text[n] = '\0';
	assert_non_null(strstr(text, " main started node=a\n"));
	assert_non_null(strstr(text, "main message domain=lib"));
	assert_non_null(strstr(text, "text=\"odd thing\"\n"));
	assert_int_equal(bw_event_lines() + bw_event_dropped(), 302);
}

/* A unit at the end of each name, as readers of graphs expect it. */
static void test_metrics_name_their_units(void **state)
{
	static const char *const units[] = { "_total", "_ms", "_bytes" };
	GString *text = g_string_new(NULL);
	char **lines;
	uint32_t names = 0;
	char **line;

	(void)state;
	bw_metrics_print(text);
	lines = g_strsplit(text->str, "\n", -1);
	for (line = lines; *line; line++) {
		char **words = g_strsplit(*line, " ", -1);
		bool good = false;
		size_t i;

		if (g_strv_length(words) == 4 && !strcmp(words[1], "TYPE")) {
			for (i = 0; i < G_N_ELEMENTS(units); i++)
				good |= g_str_has_suffix(words[2], units[i]);
			if (!good)
				print_error("no unit: %s\n", words[2]);
			assert_true(good);
			names++;
		}
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_string_free(text, TRUE);
	assert_int_equal(names, BW_MH_COUNT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_page_has_the_table),
		cmocka_unit_test(test_calls_have_the_fields_of_the_table),
		cmocka_unit_test(test_kinds_have_rates),
		cmocka_unit_test(test_bytes_are_bounded),
		cmocka_unit_test(test_backlog_is_bounded),
		cmocka_unit_test(test_lines_reach_a_reader),
		cmocka_unit_test(test_metrics_name_their_units),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
