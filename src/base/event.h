/**
 * @file
 * Event lines on standard output, one for each decision: "time part event
 * name=value ...". Lines are buffered and written without blocking; what does
 * not fit, or exceeds its kind's rate, is counted and reported.
 */
#ifndef BW_BASE_EVENT_H
#define BW_BASE_EVENT_H

#include <stdint.h>

struct ev_loop;

/** Starts to write; standard output becomes non-blocking. */
void bw_event_init(struct ev_loop *loop);

/**
 * Writes one line.
 * @param part prefix of the part of the program
 * @param event kind of the event, a name without spaces
 */
void bw_event(const char *part, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Lines that were left out so far. */
uint64_t bw_event_dropped(void);

/** Writes what is buffered, as far as that is possible at once. */
void bw_event_flush(void);

#endif
