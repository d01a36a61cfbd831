/* Commands that print the events of one job and the table of events. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "ctl/ctl.h"

#define LINE_BYTES 4096

/** An event line, about the job or its context. */
typedef struct line {
	double time_s;
	uint64_t index; /**< Position in the input. */
	char *text;
} line_t;

/** Events that affect every job of a pool or a node: " part name ". */
static const char *const context_events[] = {
	" main started ",	    " main stopping ",
	" main stopped ",	    " fleet store-lost ",
	" fleet store-regained ",   " fleet pool-lost ",
	" fleet pool-handed-over ", " member claimed ",
	" member lease-lost ",	    " fleet config ",
	" sched orders ",	    " fleet predecessor-stopped ",
	" sched settled ",
};

static bool parse_time(const char *text, double *out);
static bool has_left_out_lines(const char *text);
static bool is_context(const char *text, const char *pool);
static gint compare_lines(gconstpointer a, gconstpointer b);
static char *pool_field(const char *text);
static void add_line(GArray *lines, const char *text);

/* The time of a line is its first number above 1e9: seconds since the epoch. */
static bool parse_time(const char *text, double *out)
{
	const char *p = text;

	while (*p) {
		char *end;
		double value = g_ascii_strtod(p, &end);

		if (end != p && value > 1e9) {
			*out = value;
			return true;
		}
		p = end != p ? end : p + 1;
	}
	return false;
}

/* Whether lines of the same kind were left out before this line. */
static bool has_left_out_lines(const char *text)
{
	const char *p = strstr(text, " left_out=");

	return p && p[strlen(" left_out=")] != '0';
}

static char *pool_field(const char *text)
{
	const char *p = strstr(text, " pool=");
	size_t length;

	if (!p)
		return NULL;
	p += strlen(" pool=");
	length = strcspn(p, " \n");
	return length > 0 ? g_strndup(p, length) : NULL;
}

/* Whether a line belongs to the context of a job in a pool. */
static bool is_context(const char *text, const char *pool)
{
	size_t i;

	if (has_left_out_lines(text))
		return true;
	for (i = 0; i < G_N_ELEMENTS(context_events); i++) {
		if (!strstr(text, context_events[i]))
			continue;
		if (!strstr(text, " pool="))
			return true;
		return pool && strstr(text, pool) != NULL;
	}
	return false;
}

static void add_line(GArray *lines, const char *text)
{
	line_t line = { .index = lines->len };

	if (!parse_time(text, &line.time_s))
		return;
	line.text = g_strchomp(g_strdup(text));
	g_array_append_val(lines, line);
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const line_t *x = a;
	const line_t *y = b;

	if (x->time_s != y->time_s)
		return x->time_s < y->time_s ? -1 : 1;
	return x->index < y->index ? -1 : 1;
}

static void clear_line(gpointer data)
{
	g_free(((line_t *)data)->text);
}

static void read_lines(const char *id, GArray *job_lines, GArray *other_lines,
		       char **pool)
{
	char text[LINE_BYTES];

	while (fgets(text, sizeof(text), stdin)) {
		if (strstr(text, id)) {
			add_line(job_lines, text);
			if (!*pool)
				*pool = pool_field(text);
		} else {
			add_line(other_lines, text);
		}
	}
}

/*
 * Prints a job's lines and, marked with "~", the context lines from one second
 * before its first line to one second after its last.
 */
static void print_job_lines(const char *id, GArray *job_lines,
			    GArray *other_lines, const char *pool)
{
	double first_s = g_array_index(job_lines, line_t, 0).time_s;
	double last_s =
		g_array_index(job_lines, line_t, job_lines->len - 1).time_s;
	guint i;

	for (i = 0; i < other_lines->len; i++) {
		const line_t *line = &g_array_index(other_lines, line_t, i);

		if (line->time_s >= first_s - 1.0 &&
		    line->time_s <= last_s + 1.0 &&
		    is_context(line->text, pool)) {
			char *marked = g_strconcat("~ ", line->text, NULL);

			add_line(job_lines, marked);
			g_free(marked);
		}
	}
	g_array_sort(job_lines, compare_lines);
	printf("job %s, pool %s, %.3f s\n", id, pool ? pool : "-",
	       last_s - first_s);
	for (i = 0; i < job_lines->len; i++) {
		const line_t *line = &g_array_index(job_lines, line_t, i);

		printf("%+9.3f %s%s\n", line->time_s - first_s, line->text,
		       has_left_out_lines(line->text)
			       ? "  <- lines were left out here"
			       : "");
	}
}

bw_exit_t bw_ctl_explain(bw_ctl_t *c, char **args)
{
	GArray *job_lines = g_array_new(FALSE, TRUE, sizeof(line_t));
	GArray *other_lines = g_array_new(FALSE, TRUE, sizeof(line_t));
	char *pool = NULL;
	bw_exit_t code = BW_EXIT_OK;

	(void)c;
	g_array_set_clear_func(job_lines, clear_line);
	g_array_set_clear_func(other_lines, clear_line);
	read_lines(args[0], job_lines, other_lines, &pool);
	g_array_sort(job_lines, compare_lines);
	if (job_lines->len == 0) {
		fprintf(stderr, "bramleyctl: no event line contains %s\n",
			args[0]);
		code = BW_EXIT_NOT_FOUND;
	} else {
		print_job_lines(args[0], job_lines, other_lines, pool);
	}
	g_free(pool);
	g_array_free(job_lines, TRUE);
	g_array_free(other_lines, TRUE);
	return code;
}

bw_exit_t bw_ctl_events(bw_ctl_t *c, char **args)
{
	GString *table = g_string_new(NULL);

	(void)c;
	(void)args;
	bw_event_print_table(table);
	fputs(table->str, stdout);
	g_string_free(table, TRUE);
	return BW_EXIT_OK;
}
