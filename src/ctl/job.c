/* Commands about jobs, pools and waves; fleet nodes answer them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/findings.h"
#include "ctl/ctl.h"
#include "job/json.h"

#define PATH_BYTES 512

/** Exit codes for the HTTP statuses of a node's answers. */
static const struct {
	long status;
	bw_exit_t code;
} exit_codes[] = {
	{ 200, BW_EXIT_OK },	    { 400, BW_EXIT_INVALID },
	{ 404, BW_EXIT_NOT_FOUND }, { 503, BW_EXIT_UNAVAILABLE },
	{ 504, BW_EXIT_UNKNOWN },
};

static bw_exit_t exit_code_for_status(long status);
static bw_exit_t query_nodes(bw_ctl_t *c, const char *method, const char *path,
			     const char *body, json_t **out);
static bw_exit_t print_response(bw_ctl_t *c, json_t *root, bw_exit_t code,
				void (*print)(json_t *root));
static void print_answer(json_t *root);
static void print_pools(json_t *root);
static void print_jobs(json_t *root);
static void print_waves(json_t *root);

static bw_exit_t exit_code_for_status(long status)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(exit_codes); i++)
		if (exit_codes[i].status == status)
			return exit_codes[i].code;
	return BW_EXIT_UNAVAILABLE;
}

/* Sends a request to each node in turn until one answers. What a later node
 * says of a change is no denial that an earlier one, which got it, made it. */
static bw_exit_t query_nodes(bw_ctl_t *c, const char *method, const char *path,
			     const char *body, json_t **out)
{
	bw_exit_t refused = BW_EXIT_UNAVAILABLE;
	uint32_t i;

	*out = NULL;
	if (!c->entries || !c->entries[0]) {
		fprintf(stderr, "bramleyctl: --entry is required\n");
		return BW_EXIT_USAGE;
	}
	for (i = 0; c->entries[i]; i++) {
		long status = 0;
		bw_status_t outcome;
		bw_exit_t code;
		char *text = bw_ctl_call(c, method, c->entries[i], path, body,
					 &status, &outcome);

		if (!text) {
			fprintf(stderr, "bramleyctl: %s\n",
				bw_status_message());
			if (outcome == BW_ELOST && strcmp(method, "GET") != 0)
				refused = BW_EXIT_UNKNOWN;
			continue;
		}
		*out = json_loads(text, JSON_DECODE_ANY, NULL);
		g_free(text);
		code = exit_code_for_status(status);
		return code == BW_EXIT_UNAVAILABLE ? refused : code;
	}
	return refused;
}

static bw_exit_t print_response(bw_ctl_t *c, json_t *root, bw_exit_t code,
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

static const char *string_field(json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	return text ? text : "-";
}

static long long integer_field(json_t *row, const char *name)
{
	return json_integer_value(json_object_get(row, name));
}

static void print_answer(json_t *root)
{
	const char *reason = string_field(root, "reason");

	printf("%s", string_field(root, "answer"));
	if (!strcmp(string_field(root, "answer"), "state"))
		printf(" %s", string_field(root, "state"));
	if (!strcmp(string_field(root, "answer"), "waiting"))
		printf(" %lld", integer_field(root, "waiting"));
	if (reason[0])
		printf(" (%s)", reason);
	if (integer_field(root, "retry_after_s") > 0)
		printf(", retry after %lld s",
		       integer_field(root, "retry_after_s"));
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
		printf("%-16s %-22s", string_field(row, "pool"),
		       string_field(row, "owner"));
		if (json_is_true(json_object_get(row, "here")))
			printf(" %6lld %8lld %6lld %8lld %5.1f/%5.1f",
			       integer_field(row, "jobs"),
			       integer_field(row, "jobs_waiting"),
			       integer_field(row, "tasks"),
			       integer_field(row, "workers_usable"),
			       (double)integer_field(row, "cpu_millis_used") /
				       1e3,
			       (double)integer_field(row, "cpu_millis") / 1e3);
		printf("\n");
	}
}

static void print_jobs(json_t *root)
{
	json_t *row;
	size_t i;

	printf("%-16s %-14s %-10s %8s %6s %8s %8s\n", "job", "queue", "state",
	       "age ms", "tasks", "running", "waiting");
	json_array_foreach(root, i, row) printf(
		"%-16s %-14s %-10s %8lld %6lld %8lld %8lld\n",
		string_field(row, "job"), string_field(row, "queue"),
		string_field(row, "state"), integer_field(row, "age_ms"),
		integer_field(row, "tasks"), integer_field(row, "running"),
		integer_field(row, "waiting"));
}

static void print_waves(json_t *root)
{
	json_t *row;
	size_t i;

	if (!json_is_true(json_object_get(root, "here")))
		printf("directed by %s\n", string_field(root, "directed_by"));
	json_array_foreach(json_object_get(root, "waves"), i, row) printf(
		"wave %lld: %lld of %lld done, %lld in progress, "
		"at most %lld at once%s\n",
		integer_field(row, "wave"), integer_field(row, "done"),
		integer_field(row, "machines"), integer_field(row, "reserved"),
		integer_field(row, "at_once"),
		json_is_true(json_object_get(row, "completed")) ? ", completed"
								: "");
}

/*
 * Validates a job before it is sent, so that mistakes are reported with their
 * places in the file.
 */
static bool validate_job(const char *path, const char *text)
{
	bw_findings_t *findings = bw_findings_create(path);
	bw_job_spec_t *spec = NULL;
	bool valid = bw_job_spec_from_json(text, strlen(text), findings,
					   &spec) == BW_OK;

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	bw_job_spec_free(spec);
	return valid;
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
	if (!validate_job(args[1], text)) {
		g_free(text);
		return BW_EXIT_INVALID;
	}
	if (args[2])
		g_strlcpy(id, args[2], sizeof(id));
	else
		g_snprintf(id, sizeof(id), "%08x%08x", g_random_int(),
			   g_random_int());
	job_path(path, args[0], id);
	code = query_nodes(c, "POST", path, text, &root);
	g_free(text);
	if (!c->json)
		printf("%s: ", id);
	return print_response(c, root, code, print_answer);
}

static bw_exit_t query_job(bw_ctl_t *c, const char *method, char **args)
{
	char path[PATH_BYTES];
	json_t *root;
	bw_exit_t code;

	job_path(path, args[0], args[1]);
	code = query_nodes(c, method, path, NULL, &root);
	return print_response(c, root, code, print_answer);
}

bw_exit_t bw_ctl_job_show(bw_ctl_t *c, char **args)
{
	return query_job(c, "GET", args);
}

bw_exit_t bw_ctl_job_cancel(bw_ctl_t *c, char **args)
{
	return query_job(c, "DELETE", args);
}

bw_exit_t bw_ctl_job_list(bw_ctl_t *c, char **args)
{
	char path[PATH_BYTES];
	json_t *root;
	bw_exit_t code;

	g_snprintf(path, sizeof(path), "/pools/%s", args[0]);
	code = query_nodes(c, "GET", path, NULL, &root);
	return print_response(c, root, code, print_jobs);
}

bw_exit_t bw_ctl_pool_show(bw_ctl_t *c, char **args)
{
	json_t *root;
	bw_exit_t code = query_nodes(c, "GET", "/pools", NULL, &root);

	(void)args;
	return print_response(c, root, code, print_pools);
}

bw_exit_t bw_ctl_wave_status(bw_ctl_t *c, char **args)
{
	json_t *root;
	bw_exit_t code = query_nodes(c, "GET", "/waves", NULL, &root);

	(void)args;
	return print_response(c, root, code, print_waves);
}
