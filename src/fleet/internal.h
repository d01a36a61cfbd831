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
#include "fleet/inquiry.h"
#include "fleet/member.h"
#include "fleet/mirror.h"
#include "fleet/operators.h"
#include "fleet/pool.h"
#include "fleet/service.h"

struct bw_fleet {
	bw_fleet_env_t env;
	uint64_t incarnation;
	bw_fleet_config_t *config;
	bw_mirror_t *config_mirror;
	bw_mirror_t *wave_mirror;
	bw_fleet_member_t *member;
	bw_directory_t *directory;
	bw_inquiry_t *inquiry;
	bw_service_t *service;
	bw_fleet_operators_t *operators;
	bw_controller_t *controller; /**< While this node holds the role. */
	GPtrArray *waves; /**< Values of waves, as GBytes. */
	GHashTable *ordered; /**< Pool to the time of its last order. */
	GHashTable *pools; /**< Name to bw_pool_t. */
	ev_timer tick;
	int64_t report_ms;
	int64_t predecessor_ms; /**< Of the next question to one. */
	int64_t store_ok_ms;
	uint32_t store_failures;
	bool store_good;
	bool leaving;
	bool left;
};

/** What operators are shown of a node; see bw_fleet_operators_create(). */
extern const bw_fleet_operators_ops_t bw_fleet_show_ops;

#endif
