/**
 * @file
 * The quotas of one pool, at its owner: which of the lender's orders it obeys,
 * and when it reports. The scheduler keeps to the quotas, and knows what each
 * tenant uses. See quota_lender.h and docs/design/tenant-caps.md.
 *
 * Does no I/O; the caller passes the time.
 */
#ifndef BW_FLEET_QUOTA_CLIENT_H
#define BW_FLEET_QUOTA_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"
#include "wire/bramley.pb-c.h"

typedef struct bw_quota_client bw_quota_client_t;

/** The scheduler's side; see bw_sched_set_quota(), bw_sched_tenant_uses(). */
typedef struct bw_quota_client_ops {
	/** Returns whether a tenant has a cap, as far as the owner knows. */
	bool (*capped)(void *ctx, const char *tenant);
	/** Sets the most that a tenant may have running in the pool. */
	void (*set_quota)(void *ctx, const char *tenant,
			  const bw_resources_t *quota);
	/** Reports what each tenant uses of the pool. */
	void (*uses)(void *ctx, int64_t now_ms,
		     void (*fn)(void *arg, const bw_tenant_use_t *use),
		     void *arg);
} bw_quota_client_ops_t;

/** Why an order was not applied, or that it was. */
typedef enum bw_quota_result {
	BW_QUOTA_APPLIED,
	BW_QUOTA_OTHER_OWNER, /**< It is for another owner of the pool. */
	BW_QUOTA_OLD_LENDER, /**< Its sender is not the lender any more. */
	BW_QUOTA_OLD_ORDER, /**< A later order has been applied. */
	BW_QUOTA_RESULT_COUNT
} bw_quota_result_t;

/** @param fence revision of this node's claim of the pool */
bw_quota_client_t *bw_quota_client_create(const char *pool, uint64_t fence,
					  const bw_quota_client_ops_t *ops,
					  void *ctx);
void bw_quota_client_destroy(bw_quota_client_t *c);

/** Returns the revision of the claim for which it was created. */
uint64_t bw_quota_client_fence(const bw_quota_client_t *c);

/** Learns of a claim of the lender's role; orders of earlier lenders are
 *  refused from then on. */
void bw_quota_client_lender(bw_quota_client_t *c, uint64_t fence);

/** Applies an order if it is of the latest lender known, and for this owner. */
bw_quota_result_t bw_quota_client_apply(bw_quota_client_t *c,
					const Bramley__QuotaOrder *order);

/**
 * Sends a report if one is due: at once after an order, soon if tenants want
 * more than their quotas, and else now and then. Drops the quotas of tenants
 * that have used the pool for nothing for a while.
 */
void bw_quota_client_tick(bw_quota_client_t *c, int64_t now_ms,
			  void (*send)(void *ctx, const Bramley__Frame *frame),
			  void *ctx);

#endif
