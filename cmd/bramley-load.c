/* bramley-load: load generator for entries; prints one line of results. */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "load/load.h"

static char **option_targets;
static char **option_services;
static int option_concurrency = 64;
static int option_requests;
static int option_duration_ms;
static int option_surge_ms = 2000;
static int option_copies;
static int option_pace;
static int option_seed = 1;
static gboolean option_open;
static gboolean option_surges;
static char *option_control;

static GOptionEntry options[] = {
	{ "target", 't', 0, G_OPTION_ARG_STRING_ARRAY, &option_targets,
	  "Address of an entry to send to; may be repeated", "IP:PORT" },
	{ "service", 'S', 0, G_OPTION_ARG_STRING_ARRAY, &option_services,
	  "A service's path with query, requests per second, class and "
	  "caller's wait in seconds; may be repeated",
	  "PATH,RATE,urgent|deferrable,WAIT_S" },
	{ "concurrency", 'c', 0, G_OPTION_ARG_INT, &option_concurrency,
	  "Maximum number of concurrent requests", "N" },
	{ "requests", 'n', 0, G_OPTION_ARG_INT, &option_requests,
	  "Number of requests to send, without copies", "N" },
	{ "duration-ms", 'd', 0, G_OPTION_ARG_INT, &option_duration_ms,
	  "Time during which requests are sent", "MS" },
	{ "open", 'o', 0, G_OPTION_ARG_NONE, &option_open,
	  "Send at the services' rates (open loop)", NULL },
	{ "surges", 0, 0, G_OPTION_ARG_NONE, &option_surges,
	  "Let one service after another surge to 5 times its rate", NULL },
	{ "surge-ms", 0, 0, G_OPTION_ARG_INT, &option_surge_ms,
	  "Duration of a surge", "MS" },
	{ "copies", 0, 0, G_OPTION_ARG_INT, &option_copies,
	  "Send POSTs with an idempotency key, each at most N times", "N" },
	{ "pace", 0, 0, G_OPTION_ARG_INT, &option_pace,
	  "Maximum requests per second, without copies", "N" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &option_control,
	  "Control address of the backend stand-in; compares the answers with "
	  "what ran there",
	  "IP:PORT" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "Random seed", "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static bool parse_service(const char *text, bw_load_service_t *s)
{
	char **parts = g_strsplit(text, ",", -1);
	bool valid = g_strv_length(parts) == 4;

	if (valid) {
		g_strlcpy(s->path, parts[0], sizeof(s->path));
		s->rate = g_ascii_strtod(parts[1], NULL);
		s->class = strcmp(parts[2], "deferrable") ? BW_CLASS_URGENT
							  : BW_CLASS_DEFERRABLE;
		s->wait_s = (uint32_t)g_ascii_strtoull(parts[3], NULL, 10);
	}
	g_strfreev(parts);
	return valid && strchr(s->path, '?');
}

static bool read_options(bw_load_config_t *c)
{
	uint32_t i;

	for (i = 0; option_targets && option_targets[i]; i++) {
		if (i == BW_LOAD_TARGETS_MAX)
			return false;
		c->targets[c->target_count++] = option_targets[i];
	}
	for (i = 0; option_services && option_services[i]; i++) {
		if (i == BW_LOAD_SERVICES_MAX ||
		    !parse_service(option_services[i],
				   &c->services[c->service_count++]))
			return false;
	}
	c->concurrency = (uint32_t)option_concurrency;
	c->requests = (uint64_t)option_requests;
	c->duration_ms = option_duration_ms;
	c->open_loop = option_open;
	c->surges = option_surges;
	c->surge_ms = option_surge_ms;
	c->copies = (uint32_t)option_copies;
	c->pace = (uint32_t)option_pace;
	c->seed = (uint32_t)option_seed;
	return true;
}

static void print_result(const bw_load_result_t *r)
{
	printf("sent=%" PRIu64 " answered=%" PRIu64 " not_run=%" PRIu64
	       " unknown=%" PRIu64 " failed=%" PRIu64 " wrong=%" PRIu64
	       " late=%" PRIu64 " urgent_sent=%" PRIu64
	       " urgent_in_time=%" PRIu64 " deferrable_sent=%" PRIu64
	       " deferrable_in_time=%" PRIu64 " p50_us=%" PRId64
	       " p99_us=%" PRId64 " seconds=%.2f rps=%.0f",
	       r->sent, r->answered, r->not_run, r->unknown, r->failed,
	       r->wrong, r->late, r->class_sent[BW_CLASS_URGENT],
	       r->class_in_time[BW_CLASS_URGENT],
	       r->class_sent[BW_CLASS_DEFERRABLE],
	       r->class_in_time[BW_CLASS_DEFERRABLE], r->p50_us, r->p99_us,
	       r->seconds, (double)r->answered / r->seconds);
	if (option_control)
		printf(" keys=%" PRIu64 " ran_twice=%" PRIu64
		       " false_not_run=%" PRIu64 " not_ran=%" PRIu64,
		       r->keys, r->ran_twice, r->false_not_run, r->not_ran);
	printf("\n");
	if (*r->first_failure)
		fprintf(stderr, "first failure: %s\n", r->first_failure);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	bw_load_config_t config = { 0 };
	bw_load_result_t result;
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    !read_options(&config)) {
		fprintf(stderr, "bramley-load: %s\n",
			error ? error->message
			      : "at most 16 targets and 16 services, each "
				"PATH?QUERY,RATE,CLASS,WAIT_S");
		return 1;
	}
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (bw_load_run(&config, &result) != BW_OK ||
	    (option_control &&
	     bw_load_check_runs(option_control, &result) != BW_OK)) {
		fprintf(stderr, "bramley-load: %s\n", bw_status_message());
		return 3;
	}
	print_result(&result);
	return 0;
}
