/**
 * @file
 * Interfaces to the platform that the fleet runs on, besides the store: calls
 * to workers and machines, and the format of the values that operators and
 * workers put into the store. A platform adapter fills these tables of
 * callbacks.
 */
#ifndef BW_FLEET_INTERFACES_H
#define BW_FLEET_INTERFACES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "sched/sched.h"

/**
 * Callbacks for the results of calls to workers.
 * @param clock_ms the worker's clock, or 0 if it is not known
 */
typedef void (*bw_order_done_fn)(void *ctx, bw_order_result_t result,
				 int64_t clock_ms);
typedef void (*bw_heartbeat_done_fn)(void *ctx,
				     const bw_heartbeat_answer_t *answer);
/** @param count number of workers; if the call failed, 0 with valid_ms 0 */
typedef void (*bw_advice_done_fn)(void *ctx, const char *const *workers,
				  const char *const *tickets, uint32_t count,
				  int64_t valid_ms);

/** Calls to workers. Each calls its callback once, from the event loop. */
typedef struct bw_worker_api {
	void *impl;
	void (*start)(void *impl, const bw_start_order_t *order,
		      bw_order_done_fn done, void *ctx);
	void (*stop)(void *impl, const bw_run_order_t *order,
		     bw_order_done_fn done, void *ctx);
	void (*throttle)(void *impl, const bw_run_order_t *order,
			 bw_order_done_fn done, void *ctx);
	void (*heartbeat)(void *impl, const bw_heartbeat_order_t *order,
			  bw_heartbeat_done_fn done, void *ctx);
	/** Asks the advice service which workers may run a step. */
	void (*advise)(void *impl, const bw_task_name_t *step,
		       const char *const *workers, uint32_t count,
		       bw_advice_done_fn done, void *ctx);
} bw_worker_api_t;

/** A machine of a pool. */
typedef struct bw_machine {
	char *name;
	char *pool;
	char *worker; /**< Worker that runs on it, or "". */
	int64_t capacity_millis; /**< CPU of the machine. */
	bool up;
	bool returning; /**< Moving or in maintenance; up again soon. */
} bw_machine_t;

/** Result of an order to a machine. */
typedef enum bw_machine_result {
	BW_MACHINE_OK, /**< Carried out, now or by an earlier call. */
	BW_MACHINE_FENCED, /**< It has received a higher fencing token. */
	BW_MACHINE_BUSY, /**< Not up, or about to go down. */
	BW_MACHINE_NOT_DUE, /**< Not part of that wave. */
	BW_MACHINE_REFUSED, /**< The machine does not exist. */
	BW_MACHINE_FAILED, /**< No answer, or an invalid one. */
	BW_MACHINE_RESULT_COUNT
} bw_machine_result_t;

typedef void (*bw_machines_done_fn)(void *ctx, bw_status_t status,
				    const bw_machine_t *machines,
				    uint32_t count);
typedef void (*bw_machine_done_fn)(void *ctx, bw_machine_result_t result);

/** The node that sends an order to a machine, with its fencing token. */
typedef struct bw_machine_holder {
	const char *node;
	uint64_t fence;
} bw_machine_holder_t;

/** Calls to the platform's interface for machines. */
typedef struct bw_machine_api {
	void *impl;
	/** Lists all machines. */
	void (*list)(void *impl, bw_machines_done_fn done, void *ctx);
	/** Orders a machine into maintenance. */
	void (*maintain)(void *impl, const char *machine, int64_t wave,
			 const bw_machine_holder_t *holder,
			 bw_machine_done_fn done, void *ctx);
	/** Orders a machine into another pool. */
	void (*move)(void *impl, const char *machine, const char *pool,
		     const bw_machine_holder_t *holder, bw_machine_done_fn done,
		     void *ctx);
} bw_machine_api_t;

/** A queue of the operators' configuration. */
typedef struct bw_queue {
	char *name;
	char *host;
	char *prefix; /**< Requests with this path prefix are for it. */
	char *pool;
	bw_queue_terms_t terms;
	bool is_public; /**< Its callers need no key. */
} bw_queue_t;

/** A tenant of the operators' configuration. */
typedef struct bw_tenant {
	char *name;
	char **keys; /**< API keys of its callers; NULL-terminated. */
	bw_tenant_terms_t terms;
} bw_tenant_t;

/** A pool of the operators' configuration. */
typedef struct bw_pool_config {
	char *name;
	bool standby; /**< Its machines are off. */
} bw_pool_config_t;

/** The operators' configuration; release with bw_fleet_config_free(). */
typedef struct bw_fleet_config {
	int64_t version;
	bw_queue_t *queues;
	uint32_t queue_count;
	bw_pool_config_t *pools;
	uint32_t pool_count;
	bool has_tenants; /**< Callers of queues that aren't public need a key.
			   */
	bw_tenant_t *tenants;
	uint32_t tenant_count;
	uint32_t incomplete_count; /**< Rows without a name, skipped. */
	uint32_t remark_count; /**< Entries that can't hold as written. */
	char *first_remark; /**< On the first of them, or NULL. */
} bw_fleet_config_t;

/** Releases the strings of a queue, and zeroes it. */
void bw_queue_clear(bw_queue_t *queue);

/** Releases the strings of a tenant, and zeroes it. */
void bw_tenant_clear(bw_tenant_t *tenant);

void bw_fleet_config_free(bw_fleet_config_t *config);

/** A worker's registration; release with bw_registration_free(). */
typedef struct bw_registration {
	bw_worker_info_t info;
	char *pool;
	char **labels;
	char *id;
	char *address;
	char *rack;
	char *machine;
} bw_registration_t;

void bw_registration_free(bw_registration_t *registration);

/** A wave of maintenance; release with bw_wave_order_free(). */
typedef struct bw_wave_order {
	int64_t number;
	int64_t duration_ms;
	uint32_t at_once_max; /**< Most machines reserved at a time. */
	char **machines; /**< NULL-terminated. */
} bw_wave_order_t;

void bw_wave_order_free(bw_wave_order_t *order);

/** Format of the operators' and workers' keys and values in the store. */
typedef struct bw_value_format {
	const char *config_key;
	const char *waves_prefix;
	const char *workers_prefix;
	/** Parses a value; BW_EPARSE sets the reason as status message. */
	bw_status_t (*parse_config)(const char *value, size_t bytes,
				    bw_fleet_config_t **out);
	bw_status_t (*parse_registration)(const char *key, const char *value,
					  size_t bytes,
					  bw_registration_t **out);
	bw_status_t (*parse_wave)(const char *value, size_t bytes,
				  bw_wave_order_t **out);
	/** Format a wave's status; release the results with g_free(). */
	char *(*format_wave_status_key)(int64_t wave);
	char *(*format_wave_status)(int64_t wave, bool completed);
} bw_value_format_t;

#endif
