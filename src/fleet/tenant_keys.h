/**
 * @file
 * Which tenant a caller's API key belongs to, and whether the caller is served.
 * Pure; the present version of the configuration and what it is worth are
 * arguments.
 */
#ifndef BW_FLEET_TENANT_KEYS_H
#define BW_FLEET_TENANT_KEYS_H

#include "fleet/config_sync.h"
#include "fleet/interfaces.h"

/** The keys of one version of the configuration. */
typedef struct bw_tenant_keys bw_tenant_keys_t;

/** What to do with a call. */
typedef enum bw_key_verdict {
	BW_KEY_ALLOWED,
	BW_KEY_UNKNOWN, /**< No tenant has the key. */
	BW_KEY_UNSURE /**< A newer version may say otherwise. */
} bw_key_verdict_t;

/** Who calls, as far as jobs are concerned. */
typedef struct bw_caller {
	bool sees_all; /**< An operator, or nobody needs keys. */
	const char *tenant; /**< NULL: nobody in particular. */
} bw_caller_t;

/** @param config must outlive the index */
bw_tenant_keys_t *bw_tenant_keys_create(const bw_fleet_config_t *config);
void bw_tenant_keys_destroy(bw_tenant_keys_t *k);

/**
 * Decides on a call. A caller of a public queue is nobody in particular.
 * @param key of the caller, or NULL
 * @param trust what the version is worth now
 * @param caller receives who calls if the call is allowed; the tenant's name is
 *        owned by the configuration
 */
bw_key_verdict_t bw_tenant_keys_check(const bw_tenant_keys_t *k,
				      const bw_queue_t *queue, const char *key,
				      bw_config_trust_t trust,
				      bw_caller_t *caller);

/** Returns whether a caller may see and cancel a job.
 *  @param tenant whose it is; NULL: nobody's, which is everyone's */
bool bw_caller_may_see(const bw_caller_t *caller, const char *tenant);

#endif
