/**
 * @file
 * The registrations of workers, read from the store at intervals.
 */
#ifndef BW_FLEET_DIRECTORY_H
#define BW_FLEET_DIRECTORY_H

#include "fleet/interfaces.h"
#include "store/store.h"

typedef struct bw_directory bw_directory_t;

/** Callbacks of a directory. */
typedef struct bw_directory_ops {
	/** All registrations have been read. */
	void (*loaded)(void *ctx, int64_t now_ms);
	/** Reports the status of each call to the store. */
	void (*store_result)(void *ctx, bw_status_t status);
} bw_directory_ops_t;

bw_directory_t *bw_directory_create(const bw_store_t *store,
				    const bw_value_format_t *values,
				    const bw_directory_ops_t *ops, void *ctx);
void bw_directory_destroy(bw_directory_t *d);

/**
 * Reads the registrations again if the last read is too old. A read whose page
 * failed goes on from there, if ticks have come in between.
 */
void bw_directory_tick(bw_directory_t *d, int64_t now_ms);

/**
 * Reads more often for a short time, since new workers are expected; a read
 * that takes long is followed by a pause in any case.
 */
void bw_directory_expect_workers(bw_directory_t *d, int64_t now_ms);

/**
 * Returns whether a missing registration means that its worker has ended.
 * Registrations that expire during an outage of the store are back only a
 * moment after it, so the last read must have started after that.
 */
bool bw_directory_complete(const bw_directory_t *d);

/** Returns when the last read that is complete began; 0: none is. */
int64_t bw_directory_read_began_ms(const bw_directory_t *d);

/** Returns the registration of a worker, or NULL if there is none. */
const bw_registration_t *bw_directory_find(const bw_directory_t *d,
					   const char *id);

/** Calls a function for each registration. */
void bw_directory_foreach(const bw_directory_t *d,
			  void (*fn)(void *ctx, const bw_registration_t *r),
			  void *ctx);

#endif
