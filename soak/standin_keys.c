#include "standin_keys.h"

#include <inttypes.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "net/httpcall.h"
#include "standin_callers.h"
#include "standin_workers.h"

#define CONNECTIONS_MAX 16U
#define TIMEOUT_MS	3300
#define INTERVAL_S	0.3
#define MS_PER_S	1000.0
#define PATH_BYTES	128
/** Bounds of the time of the change, from the plan's begin. */
#define CHANGE_MIN_MS 1500
#define CHANGE_MAX_MS 5000

typedef enum tenant_key {
	KEY_KEPT,
	KEY_TAKEN, /**< The only one of its tenant. */
	KEY_ADDED,
	KEY_COUNT
} tenant_key_t;

/** A key, and in which version it is in force. */
static const struct {
	const char *header;
	const char *tenant;
	const char *text;
	bool in_force[2]; /**< Before the change, and after it. */
} keys[KEY_COUNT] = {
	[KEY_KEPT] = { SOAK_KEY_HEADER, "kept", "key-kept", { true, true } },
	[KEY_TAKEN] = { "X-Api-Key: key-taken",
			"taken",
			"key-taken",
			{ true, false } },
	[KEY_ADDED] = { "X-Api-Key: key-added",
			"added",
			"key-added",
			{ false, true } },
};

struct soak_keys {
	soak_keys_config_t config;
	char *nodes[SOAK_NODES];
	bw_http_client_t *http;
	ev_timer interval;
	ev_timer change;
	int64_t changed_ms; /**< When the store had the change; 0: not yet. */
};

/** A request under way. */
typedef struct request {
	soak_keys_t *all;
	uint32_t node;
	tenant_key_t key;
	int64_t sent_ms;
} request_t;

json_t *soak_keys_tenants(int version)
{
	json_t *tenants = json_array();
	int i;

	for (i = 0; i < KEY_COUNT; i++) {
		json_t *list = json_array();

		if (keys[i].in_force[version - 1])
			json_array_append_new(list, json_string(keys[i].text));
		json_array_append_new(tenants,
				      json_pack("{s:s,s:o,s:i}", "name",
						keys[i].tenant, "api_keys",
						list, "weight", 1));
	}
	return tenants;
}

/*
 * Returns whether the node may still act by the version before the change. One
 * that is not in touch has longer, and no more than that.
 */
static bool may_be_old(const request_t *r, int64_t now_ms)
{
	const soak_keys_t *all = r->all;
	int64_t bound_ms = SOAK_APPLY_MS;

	if (!soak_contact_in_touch(all->config.contact, r->node, now_ms))
		bound_ms += SOAK_OUTAGE_MS;
	return all->changed_ms == 0 || r->sent_ms - all->changed_ms <= bound_ms;
}

static bool may_be_new(const request_t *r)
{
	return r->all->changed_ms > 0;
}

static void check(const request_t *r, bool served, int64_t now_ms)
{
	soak_keys_t *all = r->all;

	if ((may_be_old(r, now_ms) && keys[r->key].in_force[0] == served) ||
	    (may_be_new(r) && keys[r->key].in_force[1] == served))
		return;
	soak_judge_fail(all->config.judge, SOAK_KEYS, "-",
			"node-%u %s %s, %" PRId64 " ms after the change",
			r->node, served ? "serves" : "rejects",
			keys[r->key].text,
			all->changed_ms > 0 ? r->sent_ms - all->changed_ms : 0);
}

static void on_answer(void *ctx, const bw_http_answer_t *a)
{
	request_t *r = ctx;

	if (a->outcome == BW_HTTP_ANSWERED &&
	    (a->status == 200 || a->status == 401))
		check(r, a->status == 200, bw_clock_now_ms());
	g_free(r);
}

static void send_request(soak_keys_t *all, uint32_t node, tenant_key_t key)
{
	const char *headers[] = { SOAK_HOST_HEADER, keys[key].header, NULL };
	request_t *r = g_new0(request_t, 1);
	char pool[32];
	char url[PATH_BYTES];
	bw_http_request_t request = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.timeout_ms = TIMEOUT_MS,
		.release = g_free,
	};

	r->all = all;
	r->node = node;
	r->key = key;
	r->sent_ms = bw_clock_now_ms();
	soak_pool_name(0, pool, sizeof(pool));
	g_snprintf(url, sizeof(url), "http://%s/%s/", all->nodes[node], pool);
	bw_http_call(all->http, &request, on_answer, r);
}

static void on_interval(struct ev_loop *loop, ev_timer *timer, int revents)
{
	uint32_t node;
	int key;

	(void)loop;
	(void)revents;
	for (node = 0; node < SOAK_NODES; node++)
		for (key = 0; key < KEY_COUNT; key++)
			send_request(timer->data, node, (tenant_key_t)key);
}

static void on_change(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_keys_t *all = timer->data;
	char *text = soak_callers_configuration(2);

	(void)loop;
	(void)revents;
	soak_store_configure(all->config.store, text);
	all->changed_ms = bw_clock_now_ms();
	g_free(text);
}

soak_keys_t *soak_keys_create(const soak_keys_config_t *config)
{
	soak_keys_t *k = g_new0(soak_keys_t, 1);
	uint32_t i;

	k->config = *config;
	k->http = bw_http_client_create(config->loop, CONNECTIONS_MAX);
	for (i = 0; i < SOAK_NODES; i++)
		k->nodes[i] = g_strdup(config->nodes[i]);
	return k;
}

void soak_keys_start(soak_keys_t *k)
{
	GRand *rand = g_rand_new_with_seed(k->config.plan->seed);
	int at_ms = g_rand_int_range(rand, CHANGE_MIN_MS, CHANGE_MAX_MS);

	g_rand_free(rand);
	ev_timer_init(&k->interval, on_interval, 0.0, INTERVAL_S);
	k->interval.data = k;
	ev_timer_start(k->config.loop, &k->interval);
	ev_timer_init(&k->change, on_change, at_ms / MS_PER_S, 0.0);
	k->change.data = k;
	ev_timer_start(k->config.loop, &k->change);
}
