/**
 * @file
 * Whether a node that can't renew its lease may still give orders for its
 * pools: only while the store is down for the whole fleet, so that no other
 * node can have claimed them. Pure; fed with the reports of other nodes.
 */
#ifndef BW_FLEET_OUTAGE_H
#define BW_FLEET_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** An owner whose lease may have ended waits this long for the reports that the
 *  store is down for all: others count on it to have stopped by then. */
#define BW_OUTAGE_GRACE_MS 1500

typedef struct bw_outage bw_outage_t;

/** A report of another node on the store. */
typedef struct bw_store_report {
	uint64_t peer;
	bool reachable;
	int64_t answered_ms; /**< When that node had its last answer, by the
				clock of this one; 0: not known. */
} bw_store_report_t;

/** What a node knows itself. */
typedef struct bw_outage_view {
	int64_t lease_end_ms; /**< Its lease may end from then on. */
	bool store_reachable;
} bw_outage_view_t;

/**
 * @param grace_ms orders end for good if no outage is known this long after
 *     the lease may have ended, until it is renewed
 */
bw_outage_t *bw_outage_create(int64_t grace_ms);
void bw_outage_destroy(bw_outage_t *o);

/** Records that another node is registered, or is not any more. */
void bw_outage_node(bw_outage_t *o, int64_t now_ms, const char *name,
		    bool registered);

/** Records a report, which replaces the peer's last one. It counts also when
 *  the peer is not connected any more. */
void bw_outage_report(bw_outage_t *o, int64_t now_ms,
		      const bw_store_report_t *report);

/**
 * Returns whether this node may give orders now. Once another node may have
 * claimed its pools, it may not until its lease is renewed, whatever the others
 * report.
 */
bool bw_outage_may_order(bw_outage_t *o, int64_t now_ms,
			 const bw_outage_view_t *view);

#endif
