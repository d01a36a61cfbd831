/**
 * @file
 * Window on start orders: how many may be without an answer at a time.
 *
 * Orders share the node's processor and link with heartbeats and with the
 * renewal of its lease, so a queue of starts delays these too. The window grows
 * by steps while answers come quickly and is halved when most of them come
 * slowly. A single slow worker does not shrink it. It reads no clock.
 */
#ifndef BW_SCHED_START_WINDOW_H
#define BW_SCHED_START_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/** Smallest size: lost starts keep their places until the order's timeout, and
 *  those to healthy workers must still go on meanwhile. */
#define BW_START_WINDOW_MIN 32U
/** Largest size: bounds what a sudden stall finds in front of heartbeats. */
#define BW_START_WINDOW_MAX 512U

typedef struct bw_start_window bw_start_window_t;

/** @param timeout_ms after which an order ends without an answer */
bw_start_window_t *bw_start_window_create(int64_t timeout_ms);
void bw_start_window_destroy(bw_start_window_t *w);

/** Returns whether a start may be sent. */
bool bw_start_window_open(const bw_start_window_t *w);

/** Records that a start was sent. */
void bw_start_window_sent(bw_start_window_t *w);

/** Records that a start ended, with its answer or without, after a time. */
void bw_start_window_answered(bw_start_window_t *w, int64_t took_ms);

/** Records that a start no longer matters; its answer is not reported. */
void bw_start_window_dropped(bw_start_window_t *w);

/** Records that an answer to a heartbeat came later than asked for. */
void bw_start_window_heartbeat(bw_start_window_t *w, int64_t late_ms);

/** Returns the current size, in starts. */
uint32_t bw_start_window_size(const bw_start_window_t *w);

#endif
