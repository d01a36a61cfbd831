/**
 * @file
 * The registrations of workers in the store, read in intervals.
 */
#ifndef BW_FLEET_DIRECTORY_H
#define BW_FLEET_DIRECTORY_H

#include "fleet/interfaces.h"
#include "store/store.h"

typedef struct bw_directory bw_directory_t;

typedef struct bw_directory_ops {
	/** A whole reading is done. */
	void (*read)(void *ctx, int64_t now_ms);
	/** A call to the store ended so. */
	void (*result)(void *ctx, bw_status_t status);
} bw_directory_ops_t;

bw_directory_t *bw_directory_create(const bw_store_t *store,
				    const bw_value_format_t *values,
				    const bw_directory_ops_t *ops, void *ctx);
void bw_directory_destroy(bw_directory_t *d);

/** Reads again if the last reading is old. */
void bw_directory_tick(bw_directory_t *d, int64_t now_ms);

/** New registrations are expected, so that it is read more often. */
void bw_directory_expect_workers(bw_directory_t *d, int64_t now_ms);

/** Whether a whole reading has been done. */
bool bw_directory_loaded(const bw_directory_t *d);

/**
 * Whether a missing registration means that its worker is gone: entries that
 * ran out while the store was away need a moment to come back.
 */
bool bw_directory_complete(const bw_directory_t *d, int64_t now_ms);

/** Registration of a worker, or NULL. */
const bw_registration_t *bw_directory_find(const bw_directory_t *d,
					   const char *id);

/** Calls a function for each registration. */
void bw_directory_foreach(const bw_directory_t *d,
			  void (*fn)(void *ctx, const bw_registration_t *r),
			  void *ctx);

#endif
