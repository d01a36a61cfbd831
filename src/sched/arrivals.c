#include "sched/arrivals.h"

#include <math.h>

#include <glib.h>

/** Time constants of the decay of the rate, and of a quicker one. */
#define TIME_CONSTANT_MS       500.0
#define QUICK_TIME_CONSTANT_MS 200.0
/** Growth counts above so many standard deviations of the quick rate. */
#define SIGNIFICANT_DEVIATIONS 1.0

struct bw_arrivals {
	double rate;
	double quick_rate;
	double quick_variance;
	int64_t updated_ms;
};

bw_arrivals_t *bw_arrivals_create(void)
{
	return g_new0(bw_arrivals_t, 1);
}

void bw_arrivals_destroy(bw_arrivals_t *a)
{
	g_free(a);
}

static double decay_after(int64_t ms, double constant_ms)
{
	return exp(-(double)ms / constant_ms);
}

static double decay(const bw_arrivals_t *a, int64_t now_ms, double constant_ms)
{
	return decay_after(now_ms - a->updated_ms, constant_ms);
}

void bw_arrivals_add(bw_arrivals_t *a, int64_t now_ms, double work_cpu_ms)
{
	bw_arrivals_add_earlier(a, now_ms, 0, work_cpu_ms);
}

void bw_arrivals_add_earlier(bw_arrivals_t *a, int64_t now_ms, int64_t age_ms,
			     double work_cpu_ms)
{
	double quick_decay = decay(a, now_ms, QUICK_TIME_CONSTANT_MS);
	double quick_part = work_cpu_ms / QUICK_TIME_CONSTANT_MS *
			    decay_after(age_ms, QUICK_TIME_CONSTANT_MS);

	a->rate = a->rate * decay(a, now_ms, TIME_CONSTANT_MS) +
		  work_cpu_ms / TIME_CONSTANT_MS *
			  decay_after(age_ms, TIME_CONSTANT_MS);
	a->quick_rate = a->quick_rate * quick_decay + quick_part;
	a->quick_variance = a->quick_variance * quick_decay * quick_decay +
			    quick_part * quick_part;
	a->updated_ms = now_ms;
}

double bw_arrivals_rate(const bw_arrivals_t *a, int64_t now_ms)
{
	return a->rate * decay(a, now_ms, TIME_CONSTANT_MS);
}

/*
 * While the rate grows evenly, each of the two rates lags behind it by its time
 * constant, so that their difference tells the slope.
 */
double bw_arrivals_forecast(const bw_arrivals_t *a, int64_t now_ms,
			    int64_t after_ms)
{
	double quick_decay = decay(a, now_ms, QUICK_TIME_CONSTANT_MS);
	double rate = bw_arrivals_rate(a, now_ms);
	double growth =
		a->quick_rate * quick_decay - rate -
		SIGNIFICANT_DEVIATIONS * quick_decay * sqrt(a->quick_variance);
	double slope =
		MAX(growth, 0.0) / (TIME_CONSTANT_MS - QUICK_TIME_CONSTANT_MS);

	return rate + slope * (TIME_CONSTANT_MS + (double)after_ms);
}
