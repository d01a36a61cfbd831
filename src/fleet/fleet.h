/**
 * @file
 * One node of the fleet: connects membership, pools, upkeep and requests.
 */
#ifndef BW_FLEET_FLEET_H
#define BW_FLEET_FLEET_H

#include "base/counters.h"
#include "fleet/interfaces.h"
#include "fleet/request.h"
#include "fleet/settings.h"
#include "store/store.h"

struct ev_loop;

typedef struct bw_fleet bw_fleet_t;

/** What a node is given; all of it must outlive the node. */
typedef struct bw_fleet_env {
	struct ev_loop *loop;
	const bw_fleet_settings_t *settings;
	bw_store_t store;
	bw_worker_api_t workers;
	bw_machine_api_t machines;
	const bw_value_format_t *values;
	bw_counters_t *counters;
} bw_fleet_env_t;

bw_status_t bw_fleet_create(const bw_fleet_env_t *env, bw_fleet_t **out);

/** Serves callers' requests. */
bw_request_handler_t bw_fleet_request_handler(bw_fleet_t *f);

/** Gives up all pools, with their state stored, then the lease. */
void bw_fleet_leave(bw_fleet_t *f);

/** Whether all has been given up. */
bool bw_fleet_left(const bw_fleet_t *f);

#endif
