/**
 * @file
 * Stored record of where a job is. It is written with the job and removed with
 * it, so that the job is found, and not accepted again, whatever pool its queue
 * has by then. A job that was cancelled before it was stored has one too.
 */
#ifndef BW_FLEET_JOB_LOCATION_H
#define BW_FLEET_JOB_LOCATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

typedef struct bw_job_location {
	char *pool; /**< That has accepted the job; empty if it is cancelled. */
	bool cancelled; /**< Before it was stored. */
} bw_job_location_t;

/** Packs a location; release with g_free(). */
uint8_t *bw_job_location_pack(const bw_job_location_t *location, size_t *bytes);

/**
 * Unpacks a location.
 * @param out receives it; release its pool with g_free()
 * @return BW_OK, or BW_EPARSE with the reason as status message
 */
bw_status_t bw_job_location_unpack(const uint8_t *data, size_t bytes,
				   bw_job_location_t *out);

#endif
