/* bramley-fleetd: runs one node of a fleet on the users' platform. */
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/fleet.h"
#include "fleet/settings.h"
#include "platform.h"

#define EXIT_USAGE    1
#define EXIT_SETTINGS 2
#define EXIT_START    3
/**
 * Time after a stop signal in which callers are still served; the balancer
 * needs it to notice that the node is stopping.
 */
#define CALLER_DRAIN_MS 2600
/** Part of the grace period that is kept for an orderly exit. */
#define GRACE_RESERVE_MS 700
#define STOP_POLL_S	 0.1

/** The running program. */
typedef struct program {
	struct ev_loop *loop;
	bw_fleet_settings_t settings;
	bw_counters_t counters;
	bw_fleet_t *fleet;
	platform_front_t *front;
	ev_signal term;
	ev_signal interrupt;
	ev_signal hangup;
	ev_timer stop_poll;
	int64_t stop_requested_ms; /**< 0 before the first stop signal. */
} program_t;

static char *option_settings;
static gboolean option_check;

static GOptionEntry options[] = {
	{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &option_settings,
	  "Settings file", "FILE" },
	{ "check", 'c', 0, G_OPTION_ARG_NONE, &option_check,
	  "Check the settings file and exit", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static bool read_settings(bw_fleet_settings_t *settings)
{
	bw_findings_t *findings = bw_findings_create(option_settings);
	bw_status_t status =
		bw_fleet_settings_read(option_settings, settings, findings);

	bw_findings_print(findings, stderr);
	bw_findings_destroy(findings);
	if (status != BW_OK)
		fprintf(stderr, "bramley-fleetd: %s\n", bw_status_message());
	return status == BW_OK;
}

/*
 * Ends the loop once pools are handed over and callers are answered, or when
 * the grace period runs out.
 */
static void on_stop_poll(struct ev_loop *loop, ev_timer *timer, int revents)
{
	program_t *p = timer->data;
	int64_t elapsed_ms = bw_clock_now_ms() - p->stop_requested_ms;
	bool callers_served = elapsed_ms >= CALLER_DRAIN_MS &&
			      platform_front_pending_count(p->front) == 0;

	(void)revents;
	if ((callers_served && bw_fleet_left(p->fleet)) ||
	    elapsed_ms >= p->settings.grace_ms - GRACE_RESERVE_MS)
		ev_break(loop, EVBREAK_ALL);
}

static void on_stop(struct ev_loop *loop, ev_signal *signal, int revents)
{
	program_t *p = signal->data;

	(void)revents;
	if (p->stop_requested_ms > 0)
		return;
	p->stop_requested_ms = bw_clock_now_ms();
	bw_event(BW_EVENT_MAIN_STOPPING, "signal=%d", signal->signum);
	platform_front_drain(p->front);
	bw_fleet_leave(p->fleet);
	ev_timer_init(&p->stop_poll, on_stop_poll, STOP_POLL_S, STOP_POLL_S);
	p->stop_poll.data = p;
	ev_timer_start(loop, &p->stop_poll);
}

static void on_hangup(struct ev_loop *loop, ev_signal *signal, int revents)
{
	program_t *p = signal->data;
	bw_fleet_settings_t reloaded;

	(void)loop;
	(void)revents;
	/*
	 * Addresses and limits are fixed while the process runs; the file is
	 * only checked, for the next start.
	 */
	bw_event(BW_EVENT_MAIN_RELOAD, "settings=%s good=%d", option_settings,
		 read_settings(&reloaded));
	bw_fleet_settings_clear(&reloaded);
	(void)p;
}

static void watch_signal(program_t *p, ev_signal *watch, int number,
			 void (*fn)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(watch, fn, number);
	watch->data = p;
	ev_signal_start(p->loop, watch);
}

static bw_status_t create_fleet(program_t *p)
{
	const bw_fleet_settings_t *settings = &p->settings;
	bw_fleet_env_t env = {
		.loop = p->loop,
		.settings = settings,
		.values = &platform_value_format,
		.counters = &p->counters,
	};

	env.store =
		platform_store_create(p->loop, settings->store, &p->counters);
	env.workers = platform_workers_create(p->loop, settings->advice);
	if (settings->machines)
		env.machines =
			platform_machines_create(p->loop, settings->machines);
	return bw_fleet_create(&env, &p->fleet);
}

static int serve(program_t *p)
{
	bw_budget_limits_t limits = bw_fleet_settings_limits(&p->settings);
	bw_request_handler_t requests;

	bw_event_init(p->loop, p->settings.log_bytes_s);
	if (create_fleet(p) != BW_OK) {
		fprintf(stderr, "bramley-fleetd: %s\n", bw_status_message());
		return EXIT_START;
	}
	requests = bw_fleet_request_handler(p->fleet);
	if (platform_front_create(p->loop, p->settings.callers,
				  p->settings.ready, &limits, &requests,
				  &p->front) != BW_OK) {
		fprintf(stderr, "bramley-fleetd: %s\n", bw_status_message());
		return EXIT_START;
	}
	watch_signal(p, &p->term, SIGTERM, on_stop);
	watch_signal(p, &p->interrupt, SIGINT, on_stop);
	watch_signal(p, &p->hangup, SIGHUP, on_hangup);
	bw_event(BW_EVENT_MAIN_STARTED, "node=%s zone=%s callers=%s",
		 p->settings.name, p->settings.zone, p->settings.callers);
	ev_run(p->loop, 0);
	bw_event(BW_EVENT_MAIN_STOPPED, "left_out=%" G_GUINT64_FORMAT,
		 bw_event_dropped());
	bw_event_flush();
	/* Leaves connections and memory to the kernel. */
	_exit(0);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	static program_t program;
	program_t *p = &program;
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    !option_settings) {
		fprintf(stderr, "bramley-fleetd: %s\n",
			error ? error->message : "--settings is required");
		return EXIT_USAGE;
	}
	g_option_context_free(context);
	if (!read_settings(&p->settings))
		return EXIT_SETTINGS;
	if (option_check) {
		printf("%s: good\n", option_settings);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_NOTHING);
	p->loop = ev_default_loop(0);
	return serve(p);
}
