/**
 * @file
 * State of a fleet node, shared by the files that implement it.
 */
#ifndef BW_FLEET_INTERNAL_H
#define BW_FLEET_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "fleet/config_exchange.h"
#include "fleet/controller.h"
#include "fleet/directory.h"
#include "fleet/fleet.h"
#include "fleet/machine_calls.h"
#include "fleet/member.h"
#include "fleet/peers.h"
#include "fleet/watch_cache.h"
#include "fleet/operators.h"
#include "fleet/pool.h"
#include "fleet/service.h"

/** The lender of tenants' caps, and the quotas of this node's pools. */
typedef struct fleet_quotas fleet_quotas_t;

struct bw_fleet {
	bw_fleet_env_t env;
	uint64_t incarnation;
	bw_fleet_config_t *config;
	bw_watch_cache_t *config_cache;
	bw_config_exchange_t *config_exchange;
	bw_watch_cache_t *wave_cache;
	bw_fleet_member_t *member;
	bw_directory_t *directory;
	bw_fleet_peers_t *peers;
	bw_service_t *service;
	bw_fleet_operators_t *operators;
	fleet_quotas_t *quotas;
	bw_controller_t *controller; /**< NULL unless this node has the role. */
	bw_machine_calls_t *machine_calls; /**< NULL: no machine interface. */
	int64_t controller_claim; /**< Revision of the claim of the role. */
	bool orders_unsettled; /**< Orders by an earlier claim may come late. */
	/** Claim of the role that this node gave up when it left; 0: none, or
	 *  the others were told. */
	int64_t released_claim;
	GPtrArray *waves; /**< Stored values of waves, as GBytes. */
	GHashTable *last_orders; /**< Pool to time of the last order for it. */
	GHashTable *pools; /**< Name to bw_pool_t. */
	ev_timer tick;
	int64_t last_tick_ms; /**< 0 before the first. */
	int64_t next_late_event_ms;
	int64_t last_report_ms;
	int64_t next_owner_query_ms;
	char *handing_over; /**< Pool that is being handed over, or NULL. */
	int64_t next_handover_check_ms;
	int64_t last_handover_ms;
	int64_t last_store_answer_ms;
	uint32_t store_failures;
	bool store_reachable;
	bool may_order; /**< For its pools, as of the last tick. */
	bool leaving;
	bool left;
};

/* fleet.c */
/** Returns the node that owns a pool, or NULL if there is none. */
const char *fleet_pool_owner(void *ctx, const char *pool);

/* handover.c */
/** Starts to hand over a pool that another node should own. */
void fleet_start_handover(bw_fleet_t *f, int64_t now_ms);
/** Gives back the claim of a pool that this version can't read. */
void fleet_give_back_unreadable(bw_fleet_t *f, int64_t now_ms);
/** Deletes the claim of a pool that has stopped, if it is handed over. */
void fleet_finish_handover(bw_fleet_t *f, const char *pool);
/** Ends a handover whose pool this node has lost before it stopped. */
void fleet_abandon_handover(bw_fleet_t *f, const char *pool);

/* earlier_owners.c */
/**
 * Asks the earlier owners of this node's pools whether they have stopped. Once
 * all have, it is known when their grants to unreachable workers expire.
 */
void fleet_query_earlier_owners(bw_fleet_t *f, int64_t now_ms);

/* messages.c */
/** Sends the controller's order to the owner of a pool. */
void fleet_send_order(void *ctx, const char *pool, const Bramley__Frame *frame);
/**
 * Notifies a pool's owner of a stored job or cancellation, since the owner's
 * watch of the store may be late.
 * @param record NULL for a cancellation
 */
void fleet_notify_owner(void *ctx, const char *pool, const char *id,
			const uint8_t *record, size_t bytes);
/** Tells all nodes that this one directs no machines any more, once none of its
 *  orders may be carried out later. */
void fleet_release_controller(bw_fleet_t *f, int64_t now_ms);
/** Handles a message of another node. */
void fleet_on_frame(void *ctx, const Bramley__Frame *frame);
/** Sends reports of this node's pools to the controller, and withdraws its
 * orders for a pool if no newer ones have come. */
void fleet_send_reports(bw_fleet_t *f, int64_t now_ms);

/* quotas.c */
/** Returns whether a configuration has tenants with caps. */
bool fleet_has_caps(const bw_fleet_config_t *config);
/** Creates the state of quotas; no pool has a quota yet. */
void fleet_create_quotas(bw_fleet_t *f);
/** Applies the node's configuration. */
void fleet_configure_quotas(bw_fleet_t *f);
/**
 * Starts to lend, while this node has the controller's role.
 * @param revision of the claim of the role
 */
void fleet_start_lending(bw_fleet_t *f, int64_t revision);
/** Stops to lend; the pools keep their quotas. */
void fleet_stop_lending(bw_fleet_t *f);
/** Handles the report of a pool's owner. */
void fleet_take_quota_report(bw_fleet_t *f, const Bramley__QuotaReport *report);
/** Handles an order of the lender. */
void fleet_take_quota_order(bw_fleet_t *f, const Bramley__QuotaOrder *order);
/** Sends the reports of this node's pools, and lends. */
void fleet_tick_quotas(bw_fleet_t *f, int64_t now_ms);

/** Returns the lender's state, or JSON null if this node does not lend. */
json_t *fleet_show_lender(const bw_fleet_t *f);
/** Appends gauges of the lender, if this node lends. */
void fleet_show_lender_gauges(const bw_fleet_t *f, GString *out);

/* show_tenants.c */
/** Returns the tenants with their use of this node's pools, and the lender.
 *  @param ctx the bw_fleet_t */
json_t *fleet_show_tenants(void *ctx);
/** Appends gauges of the tenants that hold or want most of a pool. */
void fleet_show_tenant_gauges(bw_fleet_t *f, bw_pool_t *pool, GString *out);

/** Status of a node for operators; see bw_fleet_operators_create(). */
extern const bw_fleet_operators_ops_t bw_fleet_show_ops;

#endif
