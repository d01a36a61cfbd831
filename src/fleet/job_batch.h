/**
 * @file
 * Changes of the stored records of several jobs of a pool in one transaction,
 * which requires the claim of the pool's owner to be unchanged. One transaction
 * is in progress at a time.
 */
#ifndef BW_FLEET_JOB_BATCH_H
#define BW_FLEET_JOB_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "job/job.h"
#include "store/store.h"

/** Keys per transaction; with the claim they must stay below 32 entries. */
#define BW_JOB_BATCH_KEYS_MAX 30
/** Keys that bw_job_batch_remove() takes for a job. */
#define BW_JOB_BATCH_KEYS_REMOVED 3

typedef struct bw_job_batch bw_job_batch_t;

/** How a transaction ended; valid during the callback. */
typedef struct bw_job_batch_result {
	const char *pool;
	bw_status_t status;
	bool done; /**< It took effect. */
	const char *const *ids; /**< Its jobs. */
	uint32_t count;
} bw_job_batch_result_t;

/** Receives the result of a transaction. */
typedef void (*bw_job_batch_done_fn)(void *ctx,
				     const bw_job_batch_result_t *result);

/**
 * Creates an empty batch for a pool that this node owns.
 * @param owner_key,fence key and revision of the claim
 */
bw_job_batch_t *bw_job_batch_create(const bw_store_t *store, const char *pool,
				    const char *owner_key, int64_t fence,
				    bw_job_batch_done_fn done, void *ctx);

/** Destroys a batch; a call in progress has no callback any more. */
void bw_job_batch_destroy(bw_job_batch_t *b);

/** Returns whether a transaction is in progress; nothing may be added then. */
bool bw_job_batch_pending(const bw_job_batch_t *b);

/** Adds a job whose record is replaced. @param record to be freed by @p b */
void bw_job_batch_replace(bw_job_batch_t *b, const char *id, uint8_t *record,
			  size_t bytes);

/** Adds a job whose record and order to cancel are removed. */
void bw_job_batch_remove(bw_job_batch_t *b, const char *id);

/** Sends the transaction of the jobs that were added. */
void bw_job_batch_send(bw_job_batch_t *b);

#endif
