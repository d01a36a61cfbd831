/* The load generator's own promise: a request is sent once at most. */
#include "test.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "load/load.h"
#include "step_server.h"

#define SERVERS	  2U
#define ANSWER_OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/** Servers that run beside the generator, which has a loop of its own. */
typedef struct load_test {
	struct ev_loop *loop;
	step_server_t servers[SERVERS];
	ev_async stop;
	GThread *thread;
} load_test_t;

static void on_stop(struct ev_loop *loop, ev_async *stop, int revents)
{
	(void)stop;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static gpointer run_servers(gpointer data)
{
	load_test_t *t = data;

	ev_run(t->loop, 0);
	return NULL;
}

static void begin(load_test_t *t, const step_t *steps, uint32_t count)
{
	uint32_t i;

	*t = (load_test_t){ .loop = ev_loop_new(0) };
	for (i = 0; i < SERVERS; i++)
		step_server_open(&t->servers[i], t->loop, steps, count);
	ev_async_init(&t->stop, on_stop);
	ev_async_start(t->loop, &t->stop);
	t->thread = g_thread_new("servers", run_servers, t);
}

static void stop_servers(load_test_t *t)
{
	ev_async_send(t->loop, &t->stop);
	g_thread_join(t->thread);
	ev_async_stop(t->loop, &t->stop);
}

static void end(load_test_t *t)
{
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		step_server_close(&t->servers[i]);
	ev_loop_destroy(t->loop);
}

/* The first copy may have been carried out where no connection is left. */
static void test_request_that_was_sent_goes_to_no_other_target(void **state)
{
	static const step_t steps[] = { { REACT_ANSWER, ANSWER_OK },
					{ REACT_CLOSE_ALL, NULL } };
	bw_load_config_t config = {
		.target_count = SERVERS,
		.services = { { .path = "/p?q=1" } },
		.service_count = 1,
		.concurrency = 1,
		.requests = 3,
		.copies = 1,
	};
	bw_load_result_t result;
	load_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, steps, G_N_ELEMENTS(steps));
	for (i = 0; i < SERVERS; i++)
		config.targets[i] = t.servers[i].address;
	assert_int_equal(bw_load_run(&config, &result), BW_OK);
	stop_servers(&t);
	assert_int_equal(result.sent, 3);
	assert_int_equal(result.failed, 1);
	assert_int_equal(t.servers[0].requests + t.servers[1].requests, 3);
	end(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_request_that_was_sent_goes_to_no_other_target),
	};

	curl_global_init(CURL_GLOBAL_NOTHING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
