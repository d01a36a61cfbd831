#include "explain.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

/*
 * The lines of the job are those that have its identifier; it is added to the
 * faults, which may concern any job.
 */
static void append_log(GString *merged, const char *path, const char *name,
		       const char *job)
{
	gchar *text = NULL;
	gchar **lines;
	guint i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i]; i++) {
		if (!*lines[i])
			continue;
		g_string_append_printf(merged, "%s %s", name, lines[i]);
		if (job &&
		    (strstr(lines[i], " fault ") ||
		     strstr(lines[i], " run ")) &&
		    !strstr(lines[i], job))
			g_string_append_printf(merged, " near=%s", job);
		g_string_append_c(merged, '\n');
	}
	g_strfreev(lines);
	g_free(text);
}

static void merge(const char *path, const char *dir, const char *const *logs,
		  uint32_t log_count, const char *job)
{
	GString *merged = g_string_new(NULL);
	char *own = g_strdup_printf("%s/soak.log", dir);
	uint32_t i;

	append_log(merged, own, "soak", job);
	for (i = 0; i < log_count; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "node-%u", i);
		append_log(merged, logs[i], name, NULL);
	}
	g_file_set_contents(path, merged->str, (gssize)merged->len, NULL);
	g_string_free(merged, TRUE);
	g_free(own);
}

/* Returns what bramleyctl says about the job. */
static char *run_explain(const char *ctl, const char *merged, const char *job)
{
	char *quoted_ctl = g_shell_quote(ctl);
	char *quoted_merged = g_shell_quote(merged);
	char *script = g_strdup_printf("%s explain %s <%s 2>&1", quoted_ctl,
				       job, quoted_merged);
	char *args[] = { (char *)"/bin/sh", (char *)"-c", script, NULL };
	char *out = NULL;

	if (!g_spawn_sync(NULL, args, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out,
			  NULL, NULL, NULL))
		out = g_strdup("bramleyctl could not be run\n");
	g_free(script);
	g_free(quoted_merged);
	g_free(quoted_ctl);
	return out;
}

void soak_explain(const char *dir, const char *ctl, const char *const *logs,
		  uint32_t log_count, const char *failures, const char *job)
{
	char *merged = g_strdup_printf("%s/merged.log", dir);
	char *report = g_strdup_printf("%s/report.txt", dir);
	char *explained = NULL;
	char *text;

	merge(merged, dir, logs, log_count, job);
	if (job)
		explained = run_explain(ctl, merged, job);
	/* The end is what is left of a long output. */
	text = g_strconcat(explained ? explained : "", failures, NULL);
	g_file_set_contents(report, text, -1, NULL);
	g_free(text);
	g_free(explained);
	g_free(report);
	g_free(merged);
}
