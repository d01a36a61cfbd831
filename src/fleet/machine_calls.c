#include "fleet/machine_calls.h"

#include <glib.h>

#include "base/clock.h"

/** An order without an answer may be carried out for this long. */
#define LATE_ORDER_MS 10000

struct bw_machine_calls {
	bw_machine_api_t api;
	uint32_t pending;
	int64_t unsure_until_ms;
	GHashTable *ordered; /**< Machine to when it was last ordered. */
	GHashTable *held; /**< Machine to the end of its time, both int64_t. */
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
	c->ordered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->held =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->refs = 1;
	return c;
}

static void unref(bw_machine_calls_t *c)
{
	if (--c->refs > 0)
		return;
	g_hash_table_destroy(c->ordered);
	g_hash_table_destroy(c->held);
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

static void set_time(GHashTable *times, const char *machine, int64_t ms)
{
	g_hash_table_replace(times, g_strdup(machine),
			     g_memdup2(&ms, sizeof(ms)));
}

static bool is_held(const bw_machine_calls_t *c, const char *machine)
{
	const int64_t *until_ms = g_hash_table_lookup(c->held, machine);

	return until_ms && bw_clock_now_ms() < *until_ms;
}

static call_t *begin(bw_machine_calls_t *c, const char *machine,
		     bw_machine_done_fn done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);

	set_time(c->ordered, machine, bw_clock_now_ms());

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

	if (is_held(c, machine))
		done(ctx, BW_MACHINE_BUSY);
	else
		c->api.maintain(c->api.impl, machine, wave, holder, on_done,
				begin(c, machine, done, ctx));
}

static void move(void *impl, const char *machine, const char *pool,
		 const bw_machine_holder_t *holder, bw_machine_done_fn done,
		 void *ctx)
{
	bw_machine_calls_t *c = impl;

	if (is_held(c, machine))
		done(ctx, BW_MACHINE_BUSY);
	else
		c->api.move(c->api.impl, machine, pool, holder, on_done,
			    begin(c, machine, done, ctx));
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

void bw_machine_calls_recent(const bw_machine_calls_t *c, int64_t now_ms,
			     int64_t within_ms,
			     void (*fn)(void *ctx, const char *machine),
			     void *ctx)
{
	GHashTableIter iter;
	gpointer machine;
	gpointer ordered_ms;

	g_hash_table_iter_init(&iter, c->ordered);
	while (g_hash_table_iter_next(&iter, &machine, &ordered_ms))
		if (now_ms - *(const int64_t *)ordered_ms <= within_ms)
			fn(ctx, machine);
}

void bw_machine_calls_hold(bw_machine_calls_t *c, const char *machine,
			   int64_t until_ms)
{
	set_time(c->held, machine, until_ms);
}

bool bw_machine_calls_settled(const bw_machine_calls_t *c, int64_t now_ms)
{
	return c->pending == 0 && now_ms >= c->unsure_until_ms;
}
