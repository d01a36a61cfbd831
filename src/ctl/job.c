/* Commands about jobs, pools and waves, served by fleet nodes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/findings.h"
#include "ctl/ctl.h"
#include "job/json.h"

#define PATH_BYTES 512

/** HTTP answers of a node, as exit codes. */
static const struct {
	long status;
	bw_exit_t code;
} exits[] = {
	{ 200, BW_EXIT_OK },	    { 400, BW_EXIT_INVALID },
	{ 404, BW_EXIT_NOT_FOUND }, { 503, BW_EXIT_UNAVAILABLE },
	{ 504, BW_EXIT_UNKNOWN },
};

static bw_exit_t code_of(long status);
static bw_exit_t ask(bw_ctl_t *c, const char *method, const char *path,
		     const char *body, json_t **out);
static bw_exit_t show(bw_ctl_t *c, json_t *root, bw_exit_t code,
		      void (*print)(json_t *root));
static void print_answer(json_t *root);
static void print_pools(json_t *root);
static void print_jobs(json_t *root);
static void print_waves(json_t *root);

static bw_exit_t code_of(long status)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(exits); i++)
		if (exits[i].status == status)
			return exits[i].code;
	return BW_EXIT_UNAVAILABLE;
}

/* Asks the nodes in turn until one can be reached. */
static bw_exit_t ask(bw_ctl_t *c, const char *method, const char *path,
		     const char *body, json_t **out)
{
	uint32_t i;

	*out = NULL;
	if (!c->entries || !c->entries[0]) {
		fprintf(stderr, "bramleyctl: name a node with --entry\n");
		return BW_EXIT_USAGE;
	}
	for (i = 0; c->entries[i]; i++) {
		long status = 0;
		char *text = bw_ctl_call(c, method, c->entries[i], path, body,
					 &status);

		if (!text) {
			fprintf(stderr, "bramleyctl: %s\n",
				bw_status_message());
			continue;
		}
		*out = json_loads(text, JSON_DECODE_ANY, NULL);
		g_free(text);
		return code_of(status);
	}
	return BW_EXIT_UNAVAILABLE;
}

static bw_exit_t show(bw_ctl_t *c, json_t *root, bw_exit_t code,
		      void (*print)(json_t *root))
{
	const char *error = json_string_value(json_object_get(root, "error"));

	if (!root)
		return code;
	if (c->json) {
		json_dumpf(root, stdout, JSON_INDENT(1) | JSON_ENCODE_ANY);
		printf("\n");
	} else if (error) {
		fprintf(stderr, "bramleyctl: %s\n", error);
	} else {
		print(root);
	}
	json_decref(root);
	return code;
}

static const char *text_of(json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	return text ? text : "-";
}

static long long number_of(json_t *row, const char *name)
{
	return json_integer_value(json_object_get(row, name));
}

static void print_answer(json_t *root)
{
	const char *reason = text_of(root, "reason");

	printf("%s", text_of(root, "answer"));
	if (!strcmp(text_of(root, "answer"), "state"))
		printf(" %s", text_of(root, "state"));
	if (!strcmp(text_of(root, "answer"), "waiting"))
		printf(" %lld", number_of(root, "waiting"));
	if (reason[0])
		printf(" (%s)", reason);
	if (number_of(root, "retry_after_s") > 0)
		printf(", again in %lld s", number_of(root, "retry_after_s"));
	printf("\n");
}

static void print_pools(json_t *root)
{
	json_t *row;
	size_t i;

	printf("%-16s %-22s %6s %8s %6s %8s %12s\n", "pool", "owner", "jobs",
	       "waiting", "tasks", "workers", "cpu used");
	json_array_foreach(root, i, row)
	{
		printf("%-16s %-22s", text_of(row, "pool"),
		       text_of(row, "owner"));
		if (json_is_true(json_object_get(row, "here")))
			printf(" %6lld %8lld %6lld %8lld %5.1f/%5.1f",
			       number_of(row, "jobs"),
			       number_of(row, "jobs_waiting"),
			       number_of(row, "tasks"),
			       number_of(row, "workers_usable"),
			       (double)number_of(row, "cpu_millis_used") / 1e3,
			       (double)number_of(row, "cpu_millis") / 1e3);
		printf("\n");
	}
}

static void print_jobs(json_t *root)
{
	json_t *row;
	size_t i;

	printf("%-16s %-14s %-10s %8s %6s %8s %8s\n", "job", "queue", "state",
	       "age ms", "tasks", "running", "waiting");
	json_array_foreach(root, i, row)
		printf("%-16s %-14s %-10s %8lld %6lld %8lld %8lld\n",
		       text_of(row, "job"), text_of(row, "queue"),
		       text_of(row, "state"), number_of(row, "age_ms"),
		       number_of(row, "tasks"), number_of(row, "running"),
		       number_of(row, "waiting"));
}

static void print_waves(json_t *root)
{
	json_t *row;
	size_t i;

	if (!json_is_true(json_object_get(root, "here")))
		printf("directed by %s\n", text_of(root, "directed_by"));
	json_array_foreach(json_object_get(root, "waves"), i, row) printf(
		"wave %lld: %lld of %lld done, %lld at work, "
		"at most %lld at once%s\n",
		number_of(row, "wave"), number_of(row, "done"),
		number_of(row, "machines"), number_of(row, "reserved"),
		number_of(row, "at_once"),
		json_is_true(json_object_get(row, "completed")) ? ", completed"
								: "");
}

/* Checks a job here, so that mistakes are told with their places. */
static bool check_job(const char *path, const char *text)
{
	bw_findings_t *findings = bw_findings_create(path);
	bw_job_spec_t *spec = NULL;
	bool good = bw_job_spec_from_json(text, strlen(text), findings,
					  &spec) == BW_OK;

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	bw_job_spec_free(spec);
	return good;
}

static void job_path(char out[PATH_BYTES], const char *queue, const char *id)
{
	g_snprintf(out, PATH_BYTES, "/queues/%s/jobs/%s", queue, id);
}

bw_exit_t bw_ctl_job_submit(bw_ctl_t *c, char **args)
{
	char *text = bw_ctl_read_file(args[1]);
	char id[BW_JOB_ID_CHARS + 1];
	char path[PATH_BYTES];
	json_t *root;
	bw_exit_t code;

	if (!text)
		return BW_EXIT_INVALID;
	if (!check_job(args[1], text)) {
		g_free(text);
		return BW_EXIT_INVALID;
	}
	if (args[2])
		g_strlcpy(id, args[2], sizeof(id));
	else
		g_snprintf(id, sizeof(id), "%08x%08x", g_random_int(),
			   g_random_int());
	job_path(path, args[0], id);
	code = ask(c, "POST", path, text, &root);
	g_free(text);
	if (!c->json)
		printf("%s: ", id);
	return show(c, root, code, print_answer);
}

static bw_exit_t ask_of_job(bw_ctl_t *c, const char *method, char **args)
{
	char path[PATH_BYTES];
	json_t *root;
	bw_exit_t code;

	job_path(path, args[0], args[1]);
	code = ask(c, method, path, NULL, &root);
	return show(c, root, code, print_answer);
}

bw_exit_t bw_ctl_job_show(bw_ctl_t *c, char **args)
{
	return ask_of_job(c, "GET", args);
}

bw_exit_t bw_ctl_job_cancel(bw_ctl_t *c, char **args)
{
	return ask_of_job(c, "DELETE", args);
}

bw_exit_t bw_ctl_job_list(bw_ctl_t *c, char **args)
{
	char path[PATH_BYTES];
	json_t *root;
	bw_exit_t code;

	g_snprintf(path, sizeof(path), "/pools/%s", args[0]);
	code = ask(c, "GET", path, NULL, &root);
	return show(c, root, code, print_jobs);
}

bw_exit_t bw_ctl_pool_show(bw_ctl_t *c, char **args)
{
	json_t *root;
	bw_exit_t code = ask(c, "GET", "/pools", NULL, &root);

	(void)args;
	return show(c, root, code, print_pools);
}

bw_exit_t bw_ctl_wave_status(bw_ctl_t *c, char **args)
{
	json_t *root;
	bw_exit_t code = ask(c, "GET", "/waves", NULL, &root);

	(void)args;
	return show(c, root, code, print_waves);
}
