/* bramley-standin: runs a stand-in for the store or for backend servers. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "standin/anyport.h"
#include "standin/backend.h"
#include "standin/kv.h"

static char *option_listen = "127.0.0.1:2379";
static char *option_first_ip = "127.0.1.1";
static int option_port = 9000;
static int option_count = 1;
static int option_slots = 8;
static int option_service_ms;
static char *option_any_port;

static GOptionEntry options[] = {
	{ "listen", 'l', 0, G_OPTION_ARG_STRING, &option_listen,
	  "Address of the store, or control address of the backend",
	  "IP:PORT" },
	{ "any-port", 0, 0, G_OPTION_ARG_STRING, &option_any_port,
	  "Instead of --listen: listen on a free port of this IP and print the "
	  "address",
	  "IP" },
	{ "first-ip", 0, 0, G_OPTION_ARG_STRING, &option_first_ip,
	  "IP of the first backend server", "IP" },
	{ "port", 'p', 0, G_OPTION_ARG_INT, &option_port,
	  "Port of the backend servers", "PORT" },
	{ "count", 'n', 0, G_OPTION_ARG_INT, &option_count,
	  "Number of backend servers", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &option_slots,
	  "Requests that a backend server runs at once", "N" },
	{ "service-ms", 0, 0, G_OPTION_ARG_INT, &option_service_ms,
	  "Service time of requests without the query argument ms", "MS" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void on_signal(struct ev_loop *loop, ev_signal *signal, int revents)
{
	(void)signal;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

/* The port stays reserved until the program ends. */
static bw_status_t choose_port(void)
{
	static bw_anyport_t chosen;
	bw_status_t status;

	if (!option_any_port)
		return BW_OK;
	status = bw_anyport_reserve(option_any_port, &chosen);
	if (status == BW_OK)
		option_listen = chosen.address;
	return status;
}

static void print_chosen_address(void)
{
	if (!option_any_port)
		return;
	printf("%s\n", option_listen);
	fflush(stdout);
}

static bw_status_t start(struct ev_loop *loop, const char *kind)
{
	bw_standin_backend_config_t config = {
		.control = option_listen,
		.first_ip = option_first_ip,
		.port = (uint16_t)option_port,
		.count = (uint32_t)option_count,
		.slots = (uint32_t)option_slots,
		.service_ms = (uint32_t)option_service_ms,
	};
	bw_standin_backend_t *backend;
	bw_standin_kv_t *kv;

	if (!strcmp(kind, "store"))
		return bw_standin_kv_create(loop, option_listen, &kv);
	if (!strcmp(kind, "backend"))
		return bw_standin_backend_create(loop, &config, &backend);
	return bw_status_set(BW_EINVAL,
			     "unknown stand-in %s; use store or backend", kind);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("store|backend");
	struct ev_loop *loop = ev_default_loop(0);
	GError *error = NULL;
	ev_signal term;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    argc != 2) {
		fprintf(stderr, "bramley-standin: %s\n",
			error ? error->message
			      : "the argument must be store or backend");
		return 1;
	}
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	if (choose_port() != BW_OK || start(loop, argv[1]) != BW_OK) {
		fprintf(stderr, "bramley-standin: %s\n", bw_status_message());
		return 3;
	}
	print_chosen_address();
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(loop, &term);
	ev_run(loop, 0);
	return 0;
}
