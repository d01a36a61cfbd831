#include "fleet/operators.h"

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/findings.h"
#include "base/metrics.h"
#include "job/json.h"
#include "net/simplehttp.h"

#define BODY_BYTES_MAX	  (1U << 20)
#define CALLER_TIMEOUT_MS 3000

struct bw_fleet_operators {
	bw_simplehttp_t *http;
	bw_request_handler_t requests;
	bw_fleet_operators_ops_t ops;
	void *ctx;
};

/** A request about a job, and its answer. */
typedef struct pending {
	bw_simple_request_t *request;
	bw_answer_t answer;
	char reason[160];
} pending_t;

static const struct {
	unsigned int status;
	const char *name;
} answers[BW_ANSWER_KIND_COUNT] = {
	[BW_ANSWER_DONE] = { 200, "done" },
	[BW_ANSWER_STATE] = { 200, "state" },
	[BW_ANSWER_WAITING] = { 200, "waiting" },
	[BW_ANSWER_REFUSED] = { 503, "refused" },
	[BW_ANSWER_UNKNOWN] = { 504, "unknown" },
	[BW_ANSWER_NO_JOB] = { 404, "no-job" },
	[BW_ANSWER_NO_QUEUE] = { 404, "no-queue" },
	[BW_ANSWER_BAD_REQUEST] = { 400, "bad-request" },
	[BW_ANSWER_UNAUTHORIZED] = { 401, "unauthorized" },
};

static enum MHD_Result reply_json(bw_simple_request_t *r, unsigned int status,
				  json_t *body);
static enum MHD_Result reply_metrics(bw_fleet_operators_t *o,
				     bw_simple_request_t *r);
static enum MHD_Result reply_pending(bw_simple_request_t *r,
				     const pending_t *p);
static void on_answer(void *ctx, const bw_answer_t *answer);
static bool parse_job(pending_t *p, bw_simple_request_t *r, bw_request_t *out);
static enum MHD_Result serve_job(bw_fleet_operators_t *o,
				 bw_simple_request_t *r);
static enum MHD_Result on_request(void *ctx, bw_simple_request_t *r);

static enum MHD_Result reply_json(bw_simple_request_t *r, unsigned int status,
				  json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
	enum MHD_Result result = bw_simple_reply(r, status, "application/json",
						 text, strlen(text));

	free(text);
	json_decref(body);
	return result;
}

static enum MHD_Result reply_metrics(bw_fleet_operators_t *o,
				     bw_simple_request_t *r)
{
	GString *text = g_string_new(NULL);
	enum MHD_Result result;

	bw_metrics_print(text);
	o->ops.gauges(o->ctx, text);
	result = bw_simple_reply(r, 200, "text/plain; version=0.0.4", text->str,
				 text->len);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result reply_pending(bw_simple_request_t *r, const pending_t *p)
{
	const bw_answer_t *answer = &p->answer;

	return reply_json(r, answers[answer->kind].status,
			  json_pack("{s:s,s:s,s:i,s:i,s:s}", "answer",
				    answers[answer->kind].name, "state",
				    bw_job_state_name(answer->state), "waiting",
				    (int)answer->waiting, "retry_after_s",
				    (int)answer->retry_after_s, "reason",
				    p->reason));
}

static void on_answer(void *ctx, const bw_answer_t *answer)
{
	pending_t *p = ctx;

	p->answer = *answer;
	if (answer->reason)
		g_strlcpy(p->reason, answer->reason, sizeof(p->reason));
	p->answer.reason = NULL;
	bw_simple_wake(p->request);
}

/* Parses the job; if it is invalid, the first error is the answer. */
static bool parse_job(pending_t *p, bw_simple_request_t *r, bw_request_t *out)
{
	bw_findings_t *findings = bw_findings_create("job");
	bw_answer_t answer = { .kind = BW_ANSWER_BAD_REQUEST };
	bool valid = bw_job_spec_from_json(r->body->str, r->body->len, findings,
					   &out->spec) == BW_OK;

	if (!valid) {
		answer.reason = bw_findings_count(findings) > 0
					? bw_findings_text(findings, 0)
					: bw_status_message();
		on_answer(p, &answer);
	}
	bw_findings_destroy(findings);
	return valid;
}

/* Parses /queues/QUEUE/jobs/ID or /queues/QUEUE. */
static bool parse_path(char **parts, bw_request_t *out)
{
	guint count = g_strv_length(parts);

	if (count < 3 || strcmp(parts[1], "queues") != 0)
		return false;
	out->queue = parts[2];
	if (count == 3)
		return out->kind == BW_REQUEST_QUEUE;
	out->path = count == 5 ? parts[4] : "";
	return count == 5 && !strcmp(parts[3], "jobs");
}

static bw_request_kind_t request_kind(const bw_simple_request_t *r, guint parts)
{
	if (!strcmp(r->method, "POST"))
		return BW_REQUEST_SUBMIT;
	if (!strcmp(r->method, "DELETE"))
		return BW_REQUEST_CANCEL;
	return parts == 3 ? BW_REQUEST_QUEUE : BW_REQUEST_STATE;
}

static void begin_job(bw_fleet_operators_t *o, bw_simple_request_t *r,
		      pending_t *p)
{
	char **parts = g_strsplit(r->path, "/", 0);
	bw_request_t request = {
		.kind = request_kind(r, g_strv_length(parts)),
		.caller_timeout_ms = CALLER_TIMEOUT_MS,
	};
	bw_answer_t bad = { .kind = BW_ANSWER_BAD_REQUEST,
			    .reason = "no such path" };

	if (!parse_path(parts, &request))
		on_answer(p, &bad);
	else if (request.kind != BW_REQUEST_SUBMIT || parse_job(p, r, &request))
		o->requests.serve(o->requests.impl, &request, on_answer, p);
	bw_job_spec_free(request.spec);
	g_strfreev(parts);
}

static enum MHD_Result serve_job(bw_fleet_operators_t *o,
				 bw_simple_request_t *r)
{
	pending_t *p = r->user;

	if (!p) {
		p = g_new0(pending_t, 1);
		p->request = r;
		r->user = p;
		r->user_free = g_free;
		begin_job(o, r, p);
	}
	return r->woken ? reply_pending(r, p) : bw_simple_wait(r);
}

static enum MHD_Result serve_jobs(bw_fleet_operators_t *o,
				  bw_simple_request_t *r)
{
	const char *pool = r->path + strlen("/pools/");
	json_t *jobs = o->ops.jobs(o->ctx, pool);

	if (!jobs)
		return reply_json(r, 404,
				  json_pack("{s:s}", "error",
					    "not the owner of this pool"));
	return reply_json(r, 200, jobs);
}

static enum MHD_Result on_request(void *ctx, bw_simple_request_t *r)
{
	bw_fleet_operators_t *o = ctx;

	if (g_str_has_prefix(r->path, "/queues/"))
		return serve_job(o, r);
	if (strcmp(r->method, "GET") != 0)
		return reply_json(r, 405,
				  json_pack("{s:s}", "error", "only GET"));
	if (!strcmp(r->path, "/metrics"))
		return reply_metrics(o, r);
	if (!strcmp(r->path, "/status"))
		return reply_json(r, 200, o->ops.status(o->ctx));
	if (!strcmp(r->path, "/pools"))
		return reply_json(r, 200, o->ops.pools(o->ctx));
	if (!strcmp(r->path, "/waves"))
		return reply_json(r, 200, o->ops.waves(o->ctx));
	if (!strcmp(r->path, "/tenants"))
		return reply_json(r, 200, o->ops.tenants(o->ctx));
	if (g_str_has_prefix(r->path, "/pools/"))
		return serve_jobs(o, r);
	return reply_json(r, 404, json_pack("{s:s}", "error", "no such page"));
}

/** Of the operators' port, apart from the bounds for callers. */
static const bw_budget_limits_t limits = {
	.connections_max = 32,
	.bytes_max = 4U << 20,
	.head_wait_ms = 60000,
	.body_still_ms = 15000,
};

bw_status_t bw_fleet_operators_create(struct ev_loop *loop, const char *address,
				      const bw_request_handler_t *requests,
				      const bw_fleet_operators_ops_t *ops,
				      void *ctx, bw_fleet_operators_t **out)
{
	bw_simple_config_t config = { .address = address,
				      .body_bytes_max = BODY_BYTES_MAX,
				      .limits = &limits };
	bw_fleet_operators_t *o = g_new0(bw_fleet_operators_t, 1);
	bw_status_t status;

	o->requests = *requests;
	o->ops = *ops;
	o->ctx = ctx;
	status = bw_simplehttp_create(loop, &config, on_request, o, &o->http);
	if (status == BW_OK)
		*out = o;
	else
		g_free(o);
	return status;
}

void bw_fleet_operators_destroy(bw_fleet_operators_t *o)
{
	if (!o)
		return;
	bw_simplehttp_destroy(o->http);
	g_free(o);
}
