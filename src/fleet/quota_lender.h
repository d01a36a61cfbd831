/**
 * @file
 * Lends parts of tenants' caps to pools, as quotas that their owners keep to.
 * One node lends, the one with the controller's role; see
 * docs/design/tenant-caps.md.
 *
 * Invariant: over all pools, the sum of what a tenant holds or may start, the
 * greater of its quota and of what runs, does not exceed its cap. An order that
 * raises a quota is sent only into room that reports show to be free; an order
 * that lowers one frees room once a report shows that it was applied.
 *
 * Does no I/O; the caller passes the time.
 */
#ifndef BW_FLEET_QUOTA_LENDER_H
#define BW_FLEET_QUOTA_LENDER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/interfaces.h"
#include "wire/bramley.pb-c.h"

/** A quota's amount that the cap does not limit; sums of it don't overflow. */
#define BW_QUOTA_UNLIMITED ((int64_t)1 << 50)

typedef struct bw_quota_lender bw_quota_lender_t;

/** Sends an order to a pool's owner; it may be lost. */
typedef void (*bw_quota_order_fn)(void *ctx, const Bramley__QuotaOrder *order);

/** Revision of a pool's claim as the caller knows it; 0: it has no owner. */
typedef uint64_t (*bw_quota_claim_fn)(void *ctx, const char *pool);

/** State of the lender, for operators. */
typedef struct bw_quota_lender_stats {
	uint32_t tenants; /**< With a cap. */
	uint32_t pools_awaited; /**< Nothing is lent before they report. */
	uint64_t orders; /**< That were sent. */
	bool superseded; /**< A pool obeys a later lender. */
} bw_quota_lender_stats_t;

/** @param fence revision of the claim of the lender's role */
bw_quota_lender_t *bw_quota_lender_create(uint64_t fence);
void bw_quota_lender_destroy(bw_quota_lender_t *l);

/** Sets tenants and pools; the configuration is not kept. */
void bw_quota_lender_configure(bw_quota_lender_t *l, int64_t now_ms,
			       const bw_fleet_config_t *config);

/**
 * Learns of the claims of all pools. Reports of owners with earlier claims than
 * these no longer count. Call it before the first report, when all claims up to
 * the lender's own are known, and often afterwards.
 */
void bw_quota_lender_read_claims(bw_quota_lender_t *l, int64_t now_ms,
				 bw_quota_claim_fn claim, void *ctx);

/** Records a report of a pool's owner. */
void bw_quota_lender_report(bw_quota_lender_t *l, int64_t now_ms,
			    const Bramley__QuotaReport *report);

/** Decides, and sends the orders that are due; call it after reports, and some
 *  times a second. */
void bw_quota_lender_decide(bw_quota_lender_t *l, int64_t now_ms,
			    bw_quota_order_fn order, void *ctx);

/** Returns the lender's state, for operators. */
void bw_quota_lender_stats(const bw_quota_lender_t *l,
			   bw_quota_lender_stats_t *out);

/** Calls a function for each pool whose report is awaited. */
void bw_quota_lender_foreach_awaited(const bw_quota_lender_t *l,
				     void (*fn)(void *ctx, const char *pool),
				     void *ctx);

#endif
