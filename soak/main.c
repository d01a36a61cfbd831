/*
 * soak: plays seeds of faults against real fleet nodes and checks what their
 * callers and workers see. Each seed has a process of its own.
 */
#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "run.h"

#define EXIT_FAILED_CHECKS 1
#define EXIT_USAGE	   2
#define EXIT_NO_START	   3
#define RESULT_BYTES	   256

static gint option_first = 1;
static gint option_seeds = 1;
static gint option_side_by_side = 1;
static gint option_length_ms = 10000;
static gboolean option_quiet;
static gboolean option_owners;
static gboolean option_keep;
static gchar *option_program;
static gchar *option_ctl;
static gchar *option_logs;

static GOptionEntry options[] = {
	{ "first", 'f', 0, G_OPTION_ARG_INT, &option_first, "First seed", "N" },
	{ "seeds", 'n', 0, G_OPTION_ARG_INT, &option_seeds, "Number of seeds",
	  "N" },
	{ "side-by-side", 'j', 0, G_OPTION_ARG_INT, &option_side_by_side,
	  "Seeds at a time", "N" },
	{ "length", 'l', 0, G_OPTION_ARG_INT, &option_length_ms,
	  "Time in which jobs are submitted and faults happen", "MS" },
	{ "quiet", 'q', 0, G_OPTION_ARG_NONE, &option_quiet, "No faults",
	  NULL },
	{ "owners", 'o', 0, G_OPTION_ARG_NONE, &option_owners,
	  "Only owners of a pool in turn, the first cut off from the store",
	  NULL },
	{ "keep", 'k', 0, G_OPTION_ARG_NONE, &option_keep,
	  "Keep the logs of seeds that pass", NULL },
	{ "node", 'p', 0, G_OPTION_ARG_FILENAME, &option_program,
	  "Program of the nodes", "FILE" },
	{ "ctl", 'c', 0, G_OPTION_ARG_FILENAME, &option_ctl,
	  "Operators' command, which explains failures", "FILE" },
	{ "logs", 'd', 0, G_OPTION_ARG_FILENAME, &option_logs,
	  "Folder for the logs of failing seeds", "DIR" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/** Sums over the seeds. */
typedef struct totals {
	uint32_t seeds;
	uint32_t failing_seeds;
	uint32_t not_started;
	soak_result_t sum;
} totals_t;

/** A seed that is being played. */
typedef struct child {
	pid_t pid;
	uint32_t seed;
	char *dir;
} child_t;

static char *path_in(const char *dir, const char *name)
{
	return g_build_filename(dir, name, NULL);
}

/* Writes the result where the parent reads it. */
static void write_result(const char *dir, const soak_result_t *result)
{
	char *path = path_in(dir, "result");
	char text[RESULT_BYTES];

	g_snprintf(text, sizeof(text),
		   "%" PRIu32 " %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64
		   " %" PRIu64 "\n",
		   result->failures, result->faults, result->requests,
		   result->jobs, result->starts, result->late_ms);
	g_file_set_contents(path, text, -1, NULL);
	g_free(path);
}

static bool read_result(const char *dir, soak_result_t *result)
{
	char *path = path_in(dir, "result");
	gchar *text = NULL;
	bool good = g_file_get_contents(path, &text, NULL, NULL);
	char *at = text;

	if (good) {
		result->failures = (uint32_t)g_ascii_strtoull(at, &at, 10);
		result->faults = g_ascii_strtoull(at, &at, 10);
		result->requests = g_ascii_strtoull(at, &at, 10);
		result->jobs = g_ascii_strtoull(at, &at, 10);
		result->starts = g_ascii_strtoull(at, &at, 10);
		result->late_ms = g_ascii_strtoull(at, &at, 10);
	}
	g_free(text);
	g_free(path);
	return good;
}

static soak_plan_kind_t plan_kind(void)
{
	if (option_quiet)
		return SOAK_PLAN_QUIET;
	return option_owners ? SOAK_PLAN_OWNERS : SOAK_PLAN_MIXED;
}

static const char *plan_option(void)
{
	static const char *const names[] = {
		[SOAK_PLAN_MIXED] = "",
		[SOAK_PLAN_QUIET] = " --quiet",
		[SOAK_PLAN_OWNERS] = " --owners",
	};

	return names[plan_kind()];
}

/* Plays a seed in a new process, which ends with this one. */
static void play_seed(const child_t *child)
{
	soak_run_config_t config = {
		.seed = child->seed,
		.length_ms = option_length_ms,
		.plan = plan_kind(),
		.program = option_program,
		.ctl = option_ctl,
		.dir = child->dir,
	};
	soak_result_t result = { 0 };
	bool started;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_NOTHING);
	started = soak_run(&config, &result);
	write_result(child->dir, &result);
	_exit(!started ? EXIT_NO_START
		       : (result.failures > 0 ? EXIT_FAILED_CHECKS : 0));
}

static child_t start_seed(uint32_t seed)
{
	char *name = g_strdup_printf("seed-%" PRIu32, seed);
	child_t child = { .seed = seed, .dir = path_in(option_logs, name) };

	g_free(name);
	if (g_mkdir_with_parents(child.dir, 0700) < 0) {
		fprintf(stderr, "soak: %s: %s\n", child.dir, strerror(errno));
		exit(EXIT_USAGE);
	}
	fflush(NULL);
	child.pid = fork();
	if (child.pid == 0)
		play_seed(&child);
	return child;
}

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = path_in(path, name);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

static void print_report(const child_t *child)
{
	char *path = path_in(child->dir, "report.txt");
	gchar *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		fputs(text, stdout);
	printf("seed %" PRIu32 ": again with: %s --first=%" PRIu32
	       " --seeds=1 --length=%d --node=%s --ctl=%s --logs=%s%s\n"
	       "seed %" PRIu32 ": logs in %s\n",
	       child->seed, g_get_prgname(), child->seed, option_length_ms,
	       option_program, option_ctl, option_logs, plan_option(),
	       child->seed, child->dir);
	g_free(text);
	g_free(path);
}

static void add_result(totals_t *totals, const soak_result_t *result)
{
	totals->sum.failures += result->failures;
	totals->sum.faults += result->faults;
	totals->sum.requests += result->requests;
	totals->sum.jobs += result->jobs;
	totals->sum.starts += result->starts;
	totals->sum.late_ms = MAX(totals->sum.late_ms, result->late_ms);
}

static void finish_seed(const child_t *child, int status, totals_t *totals)
{
	soak_result_t result = { 0 };
	bool played = WIFEXITED(status) && WEXITSTATUS(status) <= 1 &&
		      read_result(child->dir, &result);

	totals->seeds++;
	add_result(totals, &result);
	printf("seed %" PRIu32 ": %s failures=%" PRIu32 " faults=%" PRIu64
	       " requests=%" PRIu64 " jobs=%" PRIu64 " starts=%" PRIu64
	       " late_ms=%" PRIu64 "\n",
	       child->seed, !played ? "NOT PLAYED" : (status ? "FAILED" : "ok"),
	       result.failures, result.faults, result.requests, result.jobs,
	       result.starts, result.late_ms);
	totals->not_started += !played;
	totals->failing_seeds += played && status != 0;
	if (status != 0)
		print_report(child);
	else if (!option_keep)
		remove_dir(child->dir);
	fflush(stdout);
	g_free(child->dir);
}

/* Waits for the next seed that ends. */
static void wait_for_seed(GArray *children, totals_t *totals)
{
	int status;
	pid_t pid = waitpid(-1, &status, 0);
	guint i;

	for (i = 0; i < children->len; i++) {
		child_t child = g_array_index(children, child_t, i);

		if (child.pid != pid)
			continue;
		g_array_remove_index(children, i);
		finish_seed(&child, status, totals);
		return;
	}
}

static void play_seeds(totals_t *totals)
{
	GArray *children = g_array_new(FALSE, FALSE, sizeof(child_t));
	gint i;

	for (i = 0; i < option_seeds; i++) {
		child_t child;

		while (children->len >= (guint)MAX(option_side_by_side, 1))
			wait_for_seed(children, totals);
		child = start_seed((uint32_t)option_first + (uint32_t)i);
		g_array_append_val(children, child);
	}
	while (children->len > 0)
		wait_for_seed(children, totals);
	g_array_free(children, TRUE);
}

int main(int argc, char **argv)
{
	GOptionContext *context =
		g_option_context_new("- plays faults against real nodes");
	GError *error = NULL;
	totals_t totals = { 0 };

	g_set_prgname(argv[0]);
	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "soak: %s\n", error->message);
		return EXIT_USAGE;
	}
	g_option_context_free(context);
	option_program = option_program ? option_program
					: g_strdup("build/bramley-fleetd");
	option_ctl = option_ctl ? option_ctl : g_strdup("build/bramleyctl");
	option_logs = option_logs ? option_logs : g_strdup("build/soak/logs");
	play_seeds(&totals);
	printf("seeds=%" PRIu32 " failures=%" PRIu32 " not_played=%" PRIu32
	       " failed_checks=%" PRIu32 " faults=%" PRIu64 " requests=%" PRIu64
	       " jobs=%" PRIu64 " starts=%" PRIu64 " late_ms=%" PRIu64 "\n",
	       totals.seeds, totals.failing_seeds, totals.not_started,
	       totals.sum.failures, totals.sum.faults, totals.sum.requests,
	       totals.sum.jobs, totals.sum.starts, totals.sum.late_ms);
	return totals.failing_seeds + totals.not_started > 0
		       ? EXIT_FAILED_CHECKS
		       : 0;
}
