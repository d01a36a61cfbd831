/* Tests the table of events, the calls that write them, and their limits. */
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

#define BYTES_S	      20000
#define LARGE_BYTES_S (1 << 20)

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

/* Returns the name of a kind's enum constant, as calls have it. */
static char *constant_name(const bw_event_spec_t *spec)
{
	char *name = g_strdup_printf("BW_EVENT_%s_%s", spec->part, spec->name);
	char *upper = g_ascii_strup(name, -1);

	g_strdelimit(upper, "-", '_');
	g_free(name);
	return upper;
}

/* Joins the string literals after @p at, without format macros; or NULL. */
static char *read_literals(const char *at)
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

/* Returns the name before each "=" of a format, separated by spaces. */
static char *field_names(const char *format, const char *first)
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

/* Checks that calls of a kind have the fields of the table; counts them. */
static uint32_t check_calls(const char *path, const char *text,
			    const bw_event_spec_t *spec, const char *constant)
{
	bool of_pool = !strcmp(spec->part, "sched");
	const char *at = text;
	uint32_t calls = 0;

	while ((at = strstr(at, constant)) != NULL) {
		char *format;

		at += strlen(constant);
		if (*at != ',')
			continue;
		format = read_literals(at);
		if (format) {
			char *fields =
				field_names(format, of_pool ? "pool" : "");

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
			char *constant = constant_name(spec);

			calls[kind] += check_calls(files.gl_pathv[i], text,
						   spec, constant);
			g_free(constant);
		}
		g_free(text);
	}
	globfree(&files);
	for (kind = 0; kind < BW_EVENT_KIND_COUNT; kind++) {
		if (calls[kind] == 0)
			print_error("no call writes %s\n",
				    bw_event_spec((bw_event_kind_t)kind)->name);
		assert_true(calls[kind] > 0);
	}
}

/* Counts the lines that a limiter admits at one time before it drops one. */
static uint32_t lines_until_drop(bw_log_limiter_t *limiter,
				 bw_event_kind_t kind, int64_t now_ms,
				 size_t line_bytes)
{
	uint32_t lines = 0;

	while (bw_log_limiter_admit(limiter, kind, now_ms, 0)) {
		bw_log_limiter_add_bytes(limiter, line_bytes);
		lines++;
	}
	return lines;
}

static void test_kinds_have_rates(void **state)
{
	bw_log_limiter_t limiter = { .bytes_max = 1 << 30 };
	uint32_t most = bw_event_class_lines(BW_EVENT_REQUEST);

	(void)state;
	assert_int_equal(
		lines_until_drop(&limiter, BW_EVENT_SCHED_START, 5000, 100),
		most);
	assert_int_equal(limiter.dropped[BW_EVENT_DROP_RATE], 1);
	/* Other kinds have their own limit, and each second starts anew. */
	assert_true(bw_log_limiter_admit(&limiter, BW_EVENT_FLEET_STORE_LOST,
					 5900, 0));
	assert_true(
		bw_log_limiter_admit(&limiter, BW_EVENT_SCHED_START, 6000, 0));
	assert_int_equal(
		bw_log_limiter_reset_dropped(&limiter, BW_EVENT_SCHED_START),
		1);
	assert_int_equal(
		bw_log_limiter_reset_dropped(&limiter, BW_EVENT_SCHED_START),
		0);
}

static void test_bytes_are_bounded(void **state)
{
	bw_log_limiter_t limiter = { .bytes_max = BYTES_S };

	(void)state;
	lines_until_drop(&limiter, BW_EVENT_SCHED_START, 7000, 200);
	assert_int_equal(limiter.dropped[BW_EVENT_DROP_BYTES], 1);
	assert_true(limiter.bytes <= BYTES_S);
	assert_true(limiter.bytes > BYTES_S - 2 * BW_LOG_LINE_BYTES_MAX);
	assert_false(bw_log_limiter_admit(&limiter, BW_EVENT_SERVICE_REQUEST,
					  7999, 0));
	assert_true(bw_log_limiter_admit(&limiter, BW_EVENT_SERVICE_REQUEST,
					 8000, 0));
}

static void test_backlog_is_bounded(void **state)
{
	bw_log_limiter_t limiter = { .bytes_max = 1 << 30 };

	(void)state;
	assert_false(bw_log_limiter_admit(&limiter, BW_EVENT_SCHED_START, 1000,
					  BW_LOG_BACKLOG_BYTES_MAX));
	assert_int_equal(limiter.dropped[BW_EVENT_DROP_READER], 1);
}

/*
 * Event lines and messages of libraries are written to standard output. A full
 * pipe drops lines instead of blocking the process.
 */
static void test_lines_reach_a_reader(void **state)
{
	static char text[4096];
	int saved_stdout = dup(STDOUT_FILENO);
	int fds[2];
	ssize_t n;
	int i;

	(void)state;
	fflush(stdout);
	assert_int_equal(pipe(fds), 0);
	dup2(fds[1], STDOUT_FILENO);
	bw_event_init(ev_default_loop(0), LARGE_BYTES_S);
	bw_event(BW_EVENT_MAIN_STARTED, "node=%s", "a");
	/* Failure: a key of another writer with a line break forged a line. */
	bw_event(BW_EVENT_DIRECTORY_ENTRY_UNREADABLE, "key=%s error=\"e\"",
		 "b\n1.000 main stopped\r\x1b[2J");
	g_log_structured("lib", G_LOG_LEVEL_WARNING, "MESSAGE", "odd\nthing");
	bw_event_flush();
	n = read(fds[0], text, sizeof(text) - 1);
	/* From here on nothing reads the pipe. */
	for (i = 0; i < 300; i++) {
		bw_event(BW_EVENT_SCHED_START, "pool=%0300d", i);
		bw_event_flush();
	}
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(fds[0]);
	close(fds[1]);
	assert_true(n > 0);
	text[n] = '\0';
	assert_non_null(strstr(text, " main started node=a\n"));
	assert_non_null(strstr(text, " directory entry-unreadable "
				     "key=b 1.000 main stopped  [2J "
				     "error=\"e\"\n"));
	assert_non_null(strstr(text, "main message domain=lib"));
	assert_non_null(strstr(text, "text=\"odd thing\"\n"));
	assert_int_equal(bw_event_lines() + bw_event_dropped(), 303);
}

/* The name of each metric ends with its unit, which readers of graphs need. */
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
