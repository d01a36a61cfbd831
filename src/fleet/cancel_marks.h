/**
 * @file
 * Marks of jobs that were cancelled before they were stored. The write of such
 * a job may have got no answer and be carried out seconds later; its mark makes
 * that fail. Old marks are deleted beside new ones; those of a node that ends,
 * or whose write got no answer, stay.
 */
#ifndef BW_FLEET_CANCEL_MARKS_H
#define BW_FLEET_CANCEL_MARKS_H

#include "store/store.h"

typedef struct bw_cancel_marks bw_cancel_marks_t;

bw_cancel_marks_t *bw_cancel_marks_create(const bw_store_t *store);

/** No mark may be waiting for its answer. */
void bw_cancel_marks_destroy(bw_cancel_marks_t *marks);

/**
 * Marks a job that has no location.
 * @param done gets the store's answer: a failed condition means that the job
 * has a location by now
 */
void bw_cancel_marks_add(bw_cancel_marks_t *marks, const char *id,
			 int64_t now_ms, bw_store_done_fn done, void *ctx);

#endif
