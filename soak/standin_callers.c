#include "standin_callers.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "net/httpcall.h"
#include "standin_keys.h"
#include "standin_workers.h"

#define CONNECTIONS_MAX 16U
#define DEADLINE_MS	3000
#define TIMEOUT_MS	3300
#define RETRY_MIN_MS	100
#define RETRY_SPREAD_MS 500U
#define POLL_MIN_MS	300
#define POLL_SPREAD_MS	500U
#define TASK_MEM_MB	64
#define NAME_BYTES	32
#define PATH_BYTES	128
#define TEXT_BYTES	64
#define DEADLINE_HEADER "X-Deadline-Remaining: 3000"
#define MS_PER_S	1000.0

/** What callers request. */
typedef enum method {
	METHOD_SUBMIT,
	METHOD_STATE,
	METHOD_CANCEL,
	METHOD_COUNT
} method_t;

typedef struct caller {
	soak_callers_t *all;
	const soak_job_t *job;
	ev_timer timers[METHOD_COUNT]; /**< The next request of each kind. */
	uint32_t requests;
	uint32_t refusals;
	bool accepted;
	bool over; /**< A final state was shown. */
} caller_t;

/** A request under way. */
typedef struct request {
	caller_t *caller;
	method_t method;
	uint32_t node;
} request_t;

struct soak_callers {
	soak_callers_config_t config;
	char *nodes[SOAK_NODES];
	bw_http_client_t *http;
	caller_t *callers;
	uint64_t requests;
};

static void on_submitted(request_t *r, const bw_http_answer_t *a);
static void on_state(request_t *r, const bw_http_answer_t *a);
static void on_cancelled(request_t *r, const bw_http_answer_t *a);

static const struct {
	const char *name;
	void (*on_answer)(request_t *r, const bw_http_answer_t *a);
} methods[METHOD_COUNT] = {
	[METHOD_SUBMIT] = { "POST", on_submitted },
	[METHOD_STATE] = { "GET", on_state },
	[METHOD_CANCEL] = { "DELETE", on_cancelled },
};

/* A number that depends only on the seed and on how often this was asked. */
static uint32_t draw(caller_t *c, uint32_t below)
{
	uint32_t hash = (c->job->draw + c->requests) * 2654435761U;

	return (hash >> 8) % below;
}

static void after(caller_t *c, method_t method, int64_t delay_ms)
{
	ev_timer *timer = &c->timers[method];

	ev_timer_stop(c->all->config.loop, timer);
	ev_timer_set(timer, (double)delay_ms / MS_PER_S, 0.0);
	ev_timer_start(c->all->config.loop, timer);
}

static void try_again(caller_t *c, method_t method)
{
	after(c, method, RETRY_MIN_MS + draw(c, RETRY_SPREAD_MS));
}

static char *job_body(const soak_job_t *job)
{
	json_t *steps = json_array();
	char text[TEXT_BYTES];
	json_t *body;
	char *out;
	uint32_t i;

	for (i = 0; i < job->step_count; i++) {
		const soak_step_t *step = &job->steps[i];
		json_t *row = json_pack("{s:i,s:I,s:i,s:I}", "count",
					(int)step->task_count, "cpu",
					(json_int_t)step->cpu_millis, "mem_mb",
					TASK_MEM_MB, "est_duration_ms",
					(json_int_t)step->work_ms);

		if (i > 0)
			json_object_set_new(row, "after",
					    json_pack("[i]", (int)i - 1));
		json_array_append_new(steps, row);
	}
	soak_job_text(job, text, sizeof(text));
	body = json_pack("{s:s,s:o}", "spec", text, "steps", steps);
	out = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return out;
}

static void record_answer(const request_t *r, const bw_http_answer_t *a)
{
	static const char *const outcomes[BW_HTTP_OUTCOME_COUNT] = {
		[BW_HTTP_ANSWERED] = "answered",
		[BW_HTTP_NOT_SENT] = "not-sent",
		[BW_HTTP_LOST] = "lost",
	};

	soak_record(r->caller->all->config.record,
		    "caller %s job=%s node=node-%u outcome=%s status=%u "
		    "body=%s",
		    methods[r->method].name, r->caller->job->id, r->node,
		    outcomes[a->outcome], a->status,
		    a->bytes > 0 ? a->body : "");
}

static void on_answer(void *ctx, const bw_http_answer_t *a)
{
	request_t *r = ctx;

	record_answer(r, a);
	methods[r->method].on_answer(r, a);
	g_free(r);
}

static void send_request(caller_t *c, method_t method)
{
	static const char *const headers[] = { SOAK_HOST_HEADER,
					       SOAK_KEY_HEADER, DEADLINE_HEADER,
					       "Content-Type: application/json",
					       NULL };
	soak_callers_t *all = c->all;
	request_t *r = g_new0(request_t, 1);
	char *body = method == METHOD_SUBMIT ? job_body(c->job) : NULL;
	char pool[NAME_BYTES];
	char url[PATH_BYTES];
	bw_http_request_t request = {
		.method = methods[method].name,
		.url = url,
		.headers = headers,
		.body = body,
		.bytes = body ? strlen(body) : 0,
		.timeout_ms = TIMEOUT_MS,
		.release = g_free,
	};

	r->caller = c;
	r->method = method;
	r->node = (c->job->draw + c->requests++) % SOAK_NODES;
	soak_pool_name(c->job->pool, pool, sizeof(pool));
	g_snprintf(url, sizeof(url), "http://%s/%s/%s", all->nodes[r->node],
		   pool, c->job->id);
	all->requests++;
	if (method == METHOD_SUBMIT)
		soak_judge_submitted(all->config.judge, c->job);
	if (method == METHOD_CANCEL)
		soak_judge_cancelling(all->config.judge, c->job);
	bw_http_call(all->http, &request, on_answer, r);
	free(body);
}

static soak_reply_t reply_of(const bw_http_answer_t *a)
{
	if (a->outcome == BW_HTTP_NOT_SENT)
		return SOAK_REPLY_NOT_SENT;
	if (a->outcome != BW_HTTP_ANSWERED)
		return SOAK_REPLY_UNKNOWN;
	if (a->status >= 200 && a->status < 300)
		return SOAK_REPLY_ACCEPTED;
	return a->status == 429 || a->status == 503 || a->status == 404
		       ? SOAK_REPLY_REFUSED
		       : SOAK_REPLY_UNKNOWN;
}

static void follow_accepted(caller_t *c)
{
	if (c->accepted)
		return;
	c->accepted = true;
	after(c, METHOD_STATE, POLL_MIN_MS + draw(c, POLL_SPREAD_MS));
	if (c->job->cancel_ms > 0)
		after(c, METHOD_CANCEL, c->job->cancel_ms);
	if (c->job->repeat_ms > 0)
		after(c, METHOD_SUBMIT, c->job->repeat_ms);
}

static void on_submitted(request_t *r, const bw_http_answer_t *a)
{
	caller_t *c = r->caller;
	soak_judge_t *judge = c->all->config.judge;
	soak_reply_t reply = reply_of(a);

	soak_judge_answered(judge, c->job, reply, bw_clock_now_ms());
	if (reply == SOAK_REPLY_ACCEPTED) {
		follow_accepted(c);
		return;
	}
	if (c->accepted)
		return;
	if (reply == SOAK_REPLY_REFUSED &&
	    ++c->refusals >= c->job->refusals_max) {
		soak_judge_given_up(judge, c->job);
		return;
	}
	try_again(c, METHOD_SUBMIT);
}

static void show_state(request_t *r, const bw_http_answer_t *a)
{
	caller_t *c = r->caller;
	json_t *root = json_loadb(a->body, a->bytes, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));

	if (state) {
		soak_judge_shown(c->all->config.judge, c->job, r->node, state,
				 bw_clock_now_ms());
		c->over = strcmp(state, "queued") != 0 &&
			  strcmp(state, "running") != 0;
	}
	json_decref(root);
}

static void on_state(request_t *r, const bw_http_answer_t *a)
{
	caller_t *c = r->caller;

	if (a->outcome == BW_HTTP_ANSWERED && a->status == 200)
		show_state(r, a);
	if (a->outcome == BW_HTTP_ANSWERED && a->status == 410)
		soak_judge_shown(c->all->config.judge, c->job, r->node, NULL,
				 bw_clock_now_ms());
	if (!c->over)
		after(c, METHOD_STATE, POLL_MIN_MS + draw(c, POLL_SPREAD_MS));
}

static void on_cancelled(request_t *r, const bw_http_answer_t *a)
{
	caller_t *c = r->caller;
	bool acknowledged =
		a->outcome == BW_HTTP_ANSWERED &&
		((a->status >= 200 && a->status < 300) || a->status == 410);

	if (acknowledged)
		soak_judge_cancelled(c->all->config.judge, c->job,
				     bw_clock_now_ms());
	else
		try_again(c, METHOD_CANCEL);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	caller_t *c = timer->data;

	(void)loop;
	(void)revents;
	send_request(c, (method_t)(timer - c->timers));
}

soak_callers_t *soak_callers_create(const soak_callers_config_t *config)
{
	soak_callers_t *all = g_new0(soak_callers_t, 1);
	uint32_t i;
	int k;

	all->config = *config;
	all->http = bw_http_client_create(config->loop, CONNECTIONS_MAX);
	for (i = 0; i < SOAK_NODES; i++)
		all->nodes[i] = g_strdup(config->nodes[i]);
	all->callers = g_new0(caller_t, config->plan->jobs->len);
	for (i = 0; i < config->plan->jobs->len; i++) {
		caller_t *c = &all->callers[i];

		c->all = all;
		c->job = &g_array_index(config->plan->jobs, soak_job_t, i);
		for (k = 0; k < METHOD_COUNT; k++) {
			ev_timer_init(&c->timers[k], on_timer, 0.0, 0.0);
			c->timers[k].data = c;
		}
	}
	return all;
}

void soak_callers_start(soak_callers_t *all)
{
	uint32_t i;

	for (i = 0; i < all->config.plan->jobs->len; i++)
		after(&all->callers[i], METHOD_SUBMIT,
		      all->callers[i].job->at_ms);
}

uint64_t soak_callers_requests(const soak_callers_t *all)
{
	return all->requests;
}

static json_t *pack_queue(uint32_t pool)
{
	char name[NAME_BYTES];
	char queue[NAME_BYTES];
	char prefix[NAME_BYTES + 2];

	soak_pool_name(pool, name, sizeof(name));
	g_snprintf(queue, sizeof(queue), "queue-%u", pool);
	g_snprintf(prefix, sizeof(prefix), "/%s/", name);
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name",
			 queue, "host", SOAK_HOST, "prefix", prefix, "type",
			 "unsafe", "timeout_ms", DEADLINE_MS,
			 "target_duration_ms", 600, "priority", 0, "service",
			 name, "max_attempts", (int)SOAK_ATTEMPTS_MAX,
			 "stretch", 1.6);
}

static json_t *pack_pool(uint32_t pool)
{
	char name[NAME_BYTES];

	soak_pool_name(pool, name, sizeof(name));
	return json_pack("{s:s,s:s,s:i,s:s,s:b,s:b,s:b}", "name", name,
			 "health_path", "/health", "max_conns", 64, "protocol",
			 "h1", "tls", 0, "admission_check", 0, "standby", 0);
}

char *soak_callers_configuration(int version)
{
	json_t *queues = json_array();
	json_t *pools = json_array();
	json_t *root;
	uint32_t i;
	char *out;

	for (i = 0; i < SOAK_POOLS; i++)
		json_array_append_new(queues, pack_queue(i));
	for (i = 0; i < SOAK_POOLS + SOAK_IDLE_POOLS; i++)
		json_array_append_new(pools, pack_pool(i));
	root = json_pack("{s:i,s:o,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
			 version, "tenants", soak_keys_tenants(version),
			 "routes", queues, "services", pools, "limits",
			 "max_header_bytes", 16384, "max_body_bytes", 262144,
			 "header_timeout_ms", 3000, "idle_timeout_ms", 15000);
	out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return out;
}
