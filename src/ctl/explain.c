/* Tells the story of one job from the event lines of several nodes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "ctl/ctl.h"

#define LINE_BYTES 4096

/** A line that belongs to the story, or that shows a gap in it. */
typedef struct line {
	double time_s;
	uint64_t number; /**< In the order of reading. */
	char *text;
} line_t;

/** Events that matter to every job while they last. */
static const char *const context_events[] = {
	" main started ",	    " main stopping ",
	" main stopped ",	    " fleet store-lost ",
	" fleet store-regained ",   " fleet pool-lost ",
	" fleet pool-handed-over ", " member claimed ",
	" member lease-lost ",	    " fleet config ",
};

static bool parse_time(const char *text, double *out);
static bool shows_gap(const char *text);
static bool is_context(const char *text, const char *pool);
static gint compare(gconstpointer a, gconstpointer b);
static char *pool_in(const char *text);
static void add_line(GArray *lines, const char *text);

/* The first number with a fraction of three digits is the time. */
static bool parse_time(const char *text, double *out)
{
	const char *at = text;

	while (*at) {
		char *end;
		double value = g_ascii_strtod(at, &end);

		if (end != at && value > 1e9) {
			*out = value;
			return true;
		}
		at = end != at ? end : at + 1;
	}
	return false;
}

/* Whether lines of its kind were left out before a line. */
static bool shows_gap(const char *text)
{
	const char *at = strstr(text, " left_out=");

	return at && at[strlen(" left_out=")] != '0';
}

static char *pool_in(const char *text)
{
	const char *at = strstr(text, " pool=");
	size_t length;

	if (!at)
		return NULL;
	at += strlen(" pool=");
	length = strcspn(at, " \n");
	return length > 0 ? g_strndup(at, length) : NULL;
}

/* Whether a line tells what else happened to the job's pool or to nodes. */
static bool is_context(const char *text, const char *pool)
{
	size_t i;

	if (shows_gap(text))
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
	line_t line = { .number = lines->len };

	if (!parse_time(text, &line.time_s))
		return;
	line.text = g_strchomp(g_strdup(text));
	g_array_append_val(lines, line);
}

static gint compare(gconstpointer a, gconstpointer b)
{
	const line_t *x = a;
	const line_t *y = b;

	if (x->time_s != y->time_s)
		return x->time_s < y->time_s ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

static void clear_line(gpointer data)
{
	g_free(((line_t *)data)->text);
}

static void read_lines(const char *id, GArray *own, GArray *all, char **pool)
{
	char text[LINE_BYTES];

	while (fgets(text, sizeof(text), stdin)) {
		if (strstr(text, id)) {
			add_line(own, text);
			if (!*pool)
				*pool = pool_in(text);
		} else {
			add_line(all, text);
		}
	}
}

/* Prints a job's lines, with what happened around it in between. */
static void print_story(const char *id, GArray *own, GArray *all,
			const char *pool)
{
	double first_s = g_array_index(own, line_t, 0).time_s;
	double last_s = g_array_index(own, line_t, own->len - 1).time_s;
	guint i;

	for (i = 0; i < all->len; i++) {
		const line_t *line = &g_array_index(all, line_t, i);

		if (line->time_s >= first_s - 1.0 &&
		    line->time_s <= last_s + 1.0 &&
		    is_context(line->text, pool)) {
			char *marked = g_strconcat("~ ", line->text, NULL);

			add_line(own, marked);
			g_free(marked);
		}
	}
	g_array_sort(own, compare);
	printf("job %s, pool %s, %.3f s\n", id, pool ? pool : "-",
	       last_s - first_s);
	for (i = 0; i < own->len; i++) {
		const line_t *line = &g_array_index(own, line_t, i);

		printf("%+9.3f %s%s\n", line->time_s - first_s, line->text,
		       shows_gap(line->text) ? "  <- lines were left out here"
					     : "");
	}
}

bw_exit_t bw_ctl_explain(bw_ctl_t *c, char **args)
{
	GArray *own = g_array_new(FALSE, TRUE, sizeof(line_t));
	GArray *all = g_array_new(FALSE, TRUE, sizeof(line_t));
	char *pool = NULL;
	bw_exit_t code = BW_EXIT_OK;

	(void)c;
	g_array_set_clear_func(own, clear_line);
	g_array_set_clear_func(all, clear_line);
	read_lines(args[0], own, all, &pool);
	g_array_sort(own, compare);
	if (own->len == 0) {
		fprintf(stderr, "bramleyctl: no line names %s\n", args[0]);
		code = BW_EXIT_NOT_FOUND;
	} else {
		print_story(args[0], own, all, pool);
	}
	g_free(pool);
	g_array_free(own, TRUE);
	g_array_free(all, TRUE);
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
