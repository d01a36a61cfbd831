#include "fleet/config_exchange.h"

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "place/share.h"

struct bw_config_exchange {
	char *node;
	bw_config_sync_t *sync;
	bw_fleet_peers_t *peers;
	GBytes *value; /**< Of the version that this node has, or NULL. */
	bool shared;
	bool doubted; /**< As logged last. */
	bw_config_received_fn received;
	void *ctx;
};

static void on_reported(void *ctx, const bw_config_report_t *report)
{
	bw_config_exchange_t *x = ctx;

	bw_config_sync_report(x->sync, bw_clock_now_ms(), report);
}

static void on_lost(void *ctx, uint64_t peer)
{
	bw_config_exchange_t *x = ctx;

	bw_config_sync_lost(x->sync, peer);
}

static void on_asked(void *ctx, uint64_t peer, int64_t revision)
{
	bw_config_exchange_t *x = ctx;
	int64_t own = bw_config_sync_revision(x->sync);

	if (x->shared && own > revision)
		bw_fleet_peers_send_config(x->peers, peer, own, x->value);
}

static void on_received(void *ctx, int64_t revision, const char *value,
			size_t bytes)
{
	bw_config_exchange_t *x = ctx;

	x->received(x->ctx, revision, value, bytes);
}

static const bw_fleet_config_ops_t config_ops = { on_reported, on_lost,
						  on_asked, on_received };

bw_config_exchange_t *
bw_config_exchange_create(const char *node, const bw_config_bounds_t *bounds,
			  bw_fleet_peers_t *peers,
			  bw_config_received_fn received, void *ctx)
{
	bw_config_exchange_t *x = g_new0(bw_config_exchange_t, 1);

	x->node = g_strdup(node);
	x->sync = bw_config_sync_create(bounds, bw_name_id(node));
	x->peers = peers;
	x->received = received;
	x->ctx = ctx;
	bw_fleet_peers_set_config_ops(peers, &config_ops, x);
	return x;
}

void bw_config_exchange_destroy(bw_config_exchange_t *x)
{
	if (!x)
		return;
	bw_fleet_peers_set_config_ops(x->peers, NULL, NULL);
	bw_config_sync_destroy(x->sync);
	g_clear_pointer(&x->value, g_bytes_unref);
	g_free(x->node);
	g_free(x);
}

bool bw_config_exchange_take(bw_config_exchange_t *x, int64_t revision,
			     const char *value, size_t bytes)
{
	if (!bw_config_sync_take(x->sync, revision))
		return false;
	g_clear_pointer(&x->value, g_bytes_unref);
	x->value = g_bytes_new(value, bytes);
	return true;
}

bool bw_config_exchange_is_new(const bw_config_exchange_t *x, int64_t revision)
{
	return bw_config_sync_is_new(x->sync, revision);
}

void bw_config_exchange_refuse(bw_config_exchange_t *x, int64_t revision)
{
	bw_config_sync_refuse(x->sync, revision);
}

void bw_config_exchange_share(bw_config_exchange_t *x)
{
	x->shared = true;
}

static void ask_for_newer(bw_config_exchange_t *x, int64_t now_ms)
{
	uint64_t peer = bw_config_sync_ask(x->sync, now_ms);
	int64_t known = bw_config_sync_revision(x->sync);

	if (peer == 0)
		return;
	bw_event(BW_EVENT_FLEET_CONFIG_ASKED,
		 "peer=%s known=%" G_GINT64_FORMAT " newest=%" G_GINT64_FORMAT,
		 bw_fleet_peers_name(x->peers, peer), known,
		 bw_config_sync_newest(x->sync));
	bw_fleet_peers_ask_config(x->peers, peer, known);
}

static void log_doubt(bw_config_exchange_t *x, int64_t now_ms)
{
	bool doubted =
		bw_config_sync_trust(x->sync, now_ms) == BW_CONFIG_DOUBTED;

	if (!x->shared || doubted == x->doubted)
		return;
	x->doubted = doubted;
	bw_event(BW_EVENT_FLEET_CONFIG_DOUBTED,
		 "node=%s doubted=%d silent_ms=%" G_GINT64_FORMAT, x->node,
		 doubted, bw_config_sync_silent_ms(x->sync, now_ms));
}

void bw_config_exchange_tick(bw_config_exchange_t *x, int64_t now_ms,
			     int64_t confirmed_ms)
{
	if (confirmed_ms > 0)
		bw_config_sync_confirm(x->sync, confirmed_ms);
	log_doubt(x, now_ms);
	ask_for_newer(x, now_ms);
	if (x->shared)
		bw_fleet_peers_set_config(x->peers,
					  bw_config_sync_revision(x->sync),
					  confirmed_ms);
}

const bw_config_sync_t *bw_config_exchange_sync(const bw_config_exchange_t *x)
{
	return x->sync;
}
