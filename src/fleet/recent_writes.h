/**
 * @file
 * Jobs that this node has stored a moment ago, or may have: a write of them is
 * under way, was answered, or got no answer and may still be carried out.
 */
#ifndef BW_FLEET_RECENT_WRITES_H
#define BW_FLEET_RECENT_WRITES_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

typedef struct bw_recent_writes bw_recent_writes_t;

/** Creates an empty set. */
bw_recent_writes_t *bw_recent_writes_create(void);

/** Destroys a set. */
void bw_recent_writes_destroy(bw_recent_writes_t *w);

/** Notes that a write of a job is sent. */
void bw_recent_writes_sent(bw_recent_writes_t *w, const char *id);

/** Notes the status of a write that was sent. */
void bw_recent_writes_answered(bw_recent_writes_t *w, int64_t now_ms,
			       const char *id, bw_status_t status);

/** Notes that the store has a job. */
void bw_recent_writes_stored(bw_recent_writes_t *w, int64_t now_ms,
			     const char *id);

/** Whether the store is known to have a job. */
bool bw_recent_writes_has_stored(const bw_recent_writes_t *w, int64_t now_ms,
				 const char *id);

/** Whether an earlier write may have stored a job, or may still do so. */
bool bw_recent_writes_has(const bw_recent_writes_t *w, int64_t now_ms,
			  const char *id);

#endif
