/**
 * @file
 * State of a fleet node, shared by its files.
 */
#ifndef BW_FLEET_INTERNAL_H
#define BW_FLEET_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "fleet/controller.h"
#include "fleet/directory.h"
#include "fleet/fleet.h"
#include "fleet/peers.h"
#include "fleet/member.h"
#include "fleet/watch_cache.h"
#include "fleet/operators.h"
#include "fleet/pool.h"
#include "fleet/service.h"

struct bw_fleet {
	bw_fleet_env_t env;
	uint64_t incarnation;
	bw_fleet_config_t *config;
	bw_watch_cache_t *config_mirror;
	bw_watch_cache_t *wave_mirror;
	bw_fleet_member_t *member;
	bw_directory_t *directory;
	bw_fleet_peers_t *inquiry;
	bw_service_t *service;
	bw_fleet_operators_t *operators;
	bw_controller_t *controller; /**< While this node holds the role. */
	GPtrArray *waves; /**< Values of waves, as GBytes. */
	GHashTable *ordered; /**< Pool to the time of its last order. */
	GHashTable *pools; /**< Name to bw_pool_t. */
	ev_timer tick;
	int64_t report_ms;
	int64_t predecessor_ms; /**< Of the next question to one. */
	int64_t last_store_answer_ms;
	uint32_t store_failures;
	bool store_reachable;
	bool leaving;
	bool left;
};

/* fleet.c */
/** Owner of a pool, or NULL. */
const char *fleet_owner_of(void *ctx, const char *pool);

/* exchange.c */
/**
 * Once the node that owned a pool says that it does not any more, what it
 * granted to workers out of reach runs out in a known time.
 */
void fleet_ask_predecessors(bw_fleet_t *f, int64_t now_ms);
/** Sends an order to the owner of a pool; see bw_controller_ops_t. */
void fleet_send_order(void *ctx, const char *pool, const Bramley__Frame *frame);
/** Tells the owner of a stored job, whose watch may be late. */
void fleet_on_stored(void *ctx, const char *pool, const char *id,
		     const uint8_t *record, size_t bytes);
/** Takes a message of another node. */
void fleet_on_frame(void *ctx, const Bramley__Frame *frame);
/** Tells the node that directs machines how the pools stand. */
void fleet_exchange_reports(bw_fleet_t *f, int64_t now_ms);

/** What operators are shown of a node; see bw_fleet_operators_create(). */
extern const bw_fleet_operators_ops_t bw_fleet_show_ops;

#endif
