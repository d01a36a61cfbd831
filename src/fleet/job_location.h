/**
 * @file
 * Stored record of the pool that a job was accepted in. It is written with the
 * job and removed with it, so that the job is found, and not accepted again,
 * whatever pool its queue has by then.
 */
#ifndef BW_FLEET_JOB_LOCATION_H
#define BW_FLEET_JOB_LOCATION_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/** Packs a location; release with g_free(). */
uint8_t *bw_job_location_pack(const char *pool, size_t *bytes);

/**
 * Unpacks a location.
 * @param pool receives the pool; release with g_free()
 * @return BW_OK, or BW_EPARSE with the reason as status message
 */
bw_status_t bw_job_location_unpack(const uint8_t *data, size_t bytes,
				   char **pool);

#endif
