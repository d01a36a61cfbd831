/**
 * @file
 * Rate of the work that arrives at a pool, and a forecast of it.
 *
 * A surge grows for seconds, and a machine that is ordered for it can be used
 * only seconds later; the forecast is the rate at that time if the growth goes
 * on. Growth that single arrivals explain is no growth, so that a pool with few
 * large jobs does not call for machines after each. It reads no clock.
 */
#ifndef BW_SCHED_ARRIVALS_H
#define BW_SCHED_ARRIVALS_H

#include <stdint.h>

typedef struct bw_arrivals bw_arrivals_t;

bw_arrivals_t *bw_arrivals_create(void);
void bw_arrivals_destroy(bw_arrivals_t *a);

/**
 * Records work that has arrived.
 * @param work_cpu_ms in thousandths of a core, times milliseconds
 */
void bw_arrivals_add(bw_arrivals_t *a, int64_t now_ms, double work_cpu_ms);

/** Records work that arrived some time ago, as if it had been recorded then. */
void bw_arrivals_add_earlier(bw_arrivals_t *a, int64_t now_ms, int64_t age_ms,
			     double work_cpu_ms);

/** Returns the recent rate, in thousandths of a core. */
double bw_arrivals_rate(const bw_arrivals_t *a, int64_t now_ms);

/** Returns the rate to expect after a time; at least the recent rate. */
double bw_arrivals_forecast(const bw_arrivals_t *a, int64_t now_ms,
			    int64_t after_ms);

#endif
