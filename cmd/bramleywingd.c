/* bramleywingd: runs one entry of a site. */
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include <curl/curl.h>
#include <ev.h>

#include "conf/settings.h"
#include "node/node.h"

#define BW_LOG_PART "main"
#include "base/log.h"

#define EXIT_USAGE    1
#define EXIT_SETTINGS 2
#define EXIT_START    3

static char *option_settings;
static gboolean option_json_log;
static gboolean option_verbose;
static gboolean option_check;

static GOptionEntry options[] = {
	{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &option_settings,
	  "Settings file", "FILE" },
	{ "check", 'c', 0, G_OPTION_ARG_NONE, &option_check,
	  "Check the settings file and exit", NULL },
	{ "json-log", 0, 0, G_OPTION_ARG_NONE, &option_json_log,
	  "Log one JSON object per line", NULL },
	{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &option_verbose,
	  "Log debug messages", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void on_signal(struct ev_loop *loop, ev_signal *signal, int revents)
{
	(void)loop;
	(void)revents;
	bw_node_stop(signal->data);
}

static bool read_settings(bw_settings_t *settings)
{
	bw_findings_t *findings = bw_findings_create(option_settings);
	bw_status_t status =
		bw_settings_read(option_settings, settings, findings);

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	if (status != BW_OK)
		fprintf(stderr, "bramleywingd: %s\n", bw_status_message());
	return status == BW_OK;
}

static int serve(const bw_settings_t *settings)
{
	struct ev_loop *loop = ev_default_loop(0);
	bw_node_t *node;
	ev_signal term;
	ev_signal interrupt;

	if (bw_node_create(loop, settings, &node) != BW_OK) {
		g_critical("%s.", bw_status_message());
		return EXIT_START;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	term.data = node;
	interrupt.data = node;
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &interrupt);
	ev_run(loop, 0);
	g_message("Stopped.");
	/* libmicrohttpd can't stop while connections are suspended. */
	if (bw_node_busy(node))
		_exit(0);
	bw_node_destroy(node);
	return 0;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	bw_settings_t settings;
	GError *error = NULL;
	int code = 0;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    !option_settings) {
		fprintf(stderr, "bramleywingd: %s\n",
			error ? error->message : "--settings is required");
		return EXIT_USAGE;
	}
	g_option_context_free(context);
	if (!read_settings(&settings))
		return EXIT_SETTINGS;
	signal(SIGPIPE, SIG_IGN);
	bw_log_init(option_json_log, option_verbose);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (option_check)
		printf("%s: good\n", option_settings);
	else
		code = serve(&settings);
	bw_settings_clear(&settings);
	return code;
}
