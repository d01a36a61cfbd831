/**
 * @file
 * Keys of jobs in the store. A job's record and its cancellation are under the
 * pool that accepted it, and its location is under its identifier alone: that
 * key does not change when a queue moves to another pool.
 */
#ifndef BW_FLEET_JOB_KEYS_H
#define BW_FLEET_JOB_KEYS_H

#include "job/job.h"

/** Kinds of keys under a pool's prefix. */
typedef enum bw_job_key_kind {
	BW_JOB_KEY_OTHER,
	BW_JOB_KEY_RECORD,
	BW_JOB_KEY_CANCELLATION
} bw_job_key_kind_t;

/** Returns the prefix of the keys of a pool's jobs; release with g_free(). */
char *bw_job_prefix(const char *pool);

/** Returns the key of a job's record; release with g_free(). */
char *bw_job_key(const char *pool, const char *id);

/** Returns the key of a job's cancellation; release with g_free(). */
char *bw_cancel_key(const char *pool, const char *id);

/** Returns the key of a job's location; release with g_free(). */
char *bw_job_location_key(const char *id);

/**
 * Returns the kind of a key.
 * @param prefix of the pool's jobs, with which the key begins
 * @param id receives the job's identifier, but for other keys
 */
bw_job_key_kind_t bw_job_key_parse(const char *prefix, const char *key,
				   char id[BW_JOB_ID_CHARS + 1]);

#endif
