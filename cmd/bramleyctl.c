/* bramleyctl: the operators' command. */
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "conf/settings.h"
#include "ctl/ctl.h"
#include "store/etcd.h"

#define STORE_TIMEOUT_MS 2000

/** A command with its group, verb and usage line. */
typedef struct command {
	const char *group;
	const char *verb; /**< NULL if the command is only the group. */
	int args_min;
	bw_ctl_fn fn;
	const char *usage;
} command_t;

static const command_t commands[] = {
	{ "table", "show", 0, bw_ctl_table_show, "table show" },
	{ "table", "check", 1, bw_ctl_table_check, "table check FILE" },
	{ "table", "diff", 1, bw_ctl_table_diff, "table diff FILE" },
	{ "table", "set", 3, bw_ctl_table_set,
	  "table set SERVICE POOL CELL [OLD]" },
	{ "table", "import", 1, bw_ctl_table_import,
	  "table import FILE.json|FILE.csv" },
	{ "table", "export", 0, bw_ctl_table_export, "table export" },
	{ "table", "history", 0, bw_ctl_table_history, "table history" },
	{ "table", "wait", 1, bw_ctl_table_wait,
	  "table wait VERSION [SECONDS]" },
	{ "worker", "list", 0, bw_ctl_worker_list, "worker list" },
	{ "worker", "import", 1, bw_ctl_worker_import, "worker import FILE" },
	{ "worker", "drain", 1, bw_ctl_worker_drain, "worker drain NAME" },
	{ "worker", "undrain", 1, bw_ctl_worker_undrain,
	  "worker undrain NAME" },
	{ "status", NULL, 0, bw_ctl_status, "status" },
	{ "counters", NULL, 0, bw_ctl_counters, "counters" },
	{ "services", NULL, 0, bw_ctl_services, "services" },
	{ "job", "submit", 2, bw_ctl_job_submit, "job submit QUEUE FILE [ID]" },
	{ "job", "show", 2, bw_ctl_job_show, "job show QUEUE ID" },
	{ "job", "list", 1, bw_ctl_job_list, "job list POOL" },
	{ "job", "cancel", 2, bw_ctl_job_cancel, "job cancel QUEUE ID" },
	{ "pool", "show", 0, bw_ctl_pool_show, "pool show" },
	{ "tenant", "show", 0, bw_ctl_tenant_show, "tenant show" },
	{ "wave", "status", 0, bw_ctl_wave_status, "wave status" },
	{ "explain", NULL, 1, bw_ctl_explain, "explain ID" },
	{ "events", NULL, 0, bw_ctl_events, "events" },
};

static char *option_settings;
static char *option_store;
static char *option_prefix;
static char **option_entries;
static gboolean option_json;

static GOptionEntry options[] = {
	{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &option_settings,
	  "Entry's settings file with the store's URL and prefix", "FILE" },
	{ "store", 0, 0, G_OPTION_ARG_STRING, &option_store, "URL of the store",
	  "URL" },
	{ "prefix", 0, 0, G_OPTION_ARG_STRING, &option_prefix,
	  "Key prefix in the store", "PREFIX" },
	{ "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &option_entries,
	  "Operator address of an entry or node; may be repeated", "IP:PORT" },
	{ "json", 'j', 0, G_OPTION_ARG_NONE, &option_json, "Print JSON", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static char *usage_text(void)
{
	GString *text = g_string_new("Commands:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(text, "  %s\n", commands[i].usage);
	return g_string_free(text, FALSE);
}

static const command_t *find_command(int argc, char **argv, int *args_start)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		const command_t *c = &commands[i];

		if (argc < 2 || strcmp(argv[1], c->group) != 0)
			continue;
		*args_start = c->verb ? 3 : 2;
		if (!c->verb || (argc > 2 && !strcmp(argv[2], c->verb)))
			return c;
	}
	return NULL;
}

/* Takes the store's URL and prefix from the settings file if not given. */
static bool apply_settings(bw_settings_t *settings)
{
	bw_findings_t *findings;
	bw_status_t status;

	if (!option_settings)
		return true;
	findings = bw_findings_create(option_settings);
	status = bw_settings_read(option_settings, settings, findings);
	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	if (status != BW_OK) {
		fprintf(stderr, "bramleyctl: %s\n", bw_status_message());
		return false;
	}
	if (!option_store)
		option_store = g_strdup(settings->endpoints[0]);
	if (!option_prefix)
		option_prefix = g_strdup(settings->store_prefix);
	return true;
}

static bw_exit_t run(const command_t *command, char **args)
{
	const char *endpoints[1] = { option_store ? option_store
						  : "http://127.0.0.1:2379" };
	bw_etcd_config_t etcd = { .endpoints = endpoints,
				  .endpoint_count = 1,
				  .timeout_ms = STORE_TIMEOUT_MS };
	bw_ctl_t ctl = { .loop = ev_default_loop(0),
			 .prefix = option_prefix ? option_prefix
						 : (char *)"/bramleywing",
			 .entries = option_entries,
			 .json = option_json,
			 .timeout_ms = STORE_TIMEOUT_MS };
	bw_exit_t code;

	ctl.store = bw_etcd_create(ctl.loop, &etcd, &ctl.counters);
	code = command->fn(&ctl, args);
	ctl.store.ops->destroy(ctl.store.impl);
	return code;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
	bw_settings_t settings = { 0 };
	const command_t *command;
	GError *error = NULL;
	char *usage = usage_text();
	int args_start = 0;
	int code = BW_EXIT_USAGE;

	g_option_context_add_main_entries(context, options, NULL);
	g_option_context_set_description(context, usage);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "bramleyctl: %s\n", error->message);
		return BW_EXIT_USAGE;
	}
	command = find_command(argc, argv, &args_start);
	if (!command || argc - args_start < command->args_min) {
		fprintf(stderr, "%s", command ? command->usage : usage);
		fprintf(stderr, "\n");
		return BW_EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (apply_settings(&settings))
		code = run(command, argv + args_start);
	else
		code = BW_EXIT_INVALID;
	bw_settings_clear(&settings);
	g_option_context_free(context);
	g_free(usage);
	return code;
}
