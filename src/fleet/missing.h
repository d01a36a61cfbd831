/**
 * @file
 * What lists of machines lack, machines or the workers that they run: whether
 * it has left, or a list is only too old to have it. A list is as old as the
 * interface's last answer, and its pages are no snapshot.
 *
 * Load pattern: all nodes end while machines were being moved, so that the next
 * owners know workers which ended meanwhile, and would wait for the end of
 * their grants.
 *
 * Does no I/O; the caller passes the time.
 */
#ifndef BW_FLEET_MISSING_H
#define BW_FLEET_MISSING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct bw_missing bw_missing_t;

bw_missing_t *bw_missing_create(void);
void bw_missing_destroy(bw_missing_t *m);

/**
 * Records that the current list lacks something that is looked for.
 * @param list_ms when that list was requested
 * @return whether it has left: two lists lack it that are so much newer than
 * the first time that it was looked for that they would have it otherwise
 */
bool bw_missing_note(bw_missing_t *m, int64_t now_ms, const char *id,
		     int64_t list_ms);

/** Returns what the last bw_missing_note() of it returned; false if it is not
 *  missing. */
bool bw_missing_has_left(const bw_missing_t *m, const char *id);

/** Forgets what was not noted lately; it is listed, or not looked for. */
void bw_missing_forget(bw_missing_t *m, int64_t now_ms);

/** Returns whether a newer list would tell more of something. */
bool bw_missing_await_list(const bw_missing_t *m);

#endif
