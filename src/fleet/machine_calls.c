#include "fleet/machine_calls.h"

#include <glib.h>

#include "base/clock.h"

/** An order without an answer may be carried out for this long. */
#define LATE_ORDER_MS 10000

struct bw_machine_calls {
	bw_machine_api_t api;
	uint32_t pending;
	int64_t unsure_until_ms;
	uint32_t refs; /**< The owner and each order in progress. */
};

/** An order in progress. */
typedef struct call {
	bw_machine_calls_t *c;
	bw_machine_done_fn done;
	void *ctx;
} call_t;

bw_machine_calls_t *bw_machine_calls_create(const bw_machine_api_t *api)
{
	bw_machine_calls_t *c = g_new0(bw_machine_calls_t, 1);

	c->api = *api;
	c->refs = 1;
	return c;
}

static void unref(bw_machine_calls_t *c)
{
	if (--c->refs == 0)
		g_free(c);
}

void bw_machine_calls_destroy(bw_machine_calls_t *c)
{
	if (c)
		unref(c);
}

static void on_done(void *ctx, bw_machine_result_t result)
{
	call_t *call = ctx;
	bw_machine_calls_t *c = call->c;

	c->pending--;
	if (result == BW_MACHINE_FAILED)
		c->unsure_until_ms = bw_clock_now_ms() + LATE_ORDER_MS;
	call->done(call->ctx, result);
	g_free(call);
	unref(c);
}

static call_t *begin(bw_machine_calls_t *c, bw_machine_done_fn done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);

	call->c = c;
	call->done = done;
	call->ctx = ctx;
	c->pending++;
	c->refs++;
	return call;
}

static void list(void *impl, bw_machines_done_fn done, void *ctx)
{
	bw_machine_calls_t *c = impl;

	c->api.list(c->api.impl, done, ctx);
}

static void maintain(void *impl, const char *machine, int64_t wave,
		     const bw_machine_holder_t *holder, bw_machine_done_fn done,
		     void *ctx)
{
	bw_machine_calls_t *c = impl;

	c->api.maintain(c->api.impl, machine, wave, holder, on_done,
			begin(c, done, ctx));
}

static void move(void *impl, const char *machine, const char *pool,
		 const bw_machine_holder_t *holder, bw_machine_done_fn done,
		 void *ctx)
{
	bw_machine_calls_t *c = impl;

	c->api.move(c->api.impl, machine, pool, holder, on_done,
		    begin(c, done, ctx));
}

bw_machine_api_t bw_machine_calls_api(bw_machine_calls_t *c)
{
	return (bw_machine_api_t){
		.impl = c,
		.list = list,
		.maintain = maintain,
		.move = move,
	};
}

bool bw_machine_calls_settled(const bw_machine_calls_t *c, int64_t now_ms)
{
	return c->pending == 0 && now_ms >= c->unsure_until_ms;
}
