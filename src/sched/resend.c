#include "sched/resend.h"

#include <glib.h>

/** Weights of a new answer in the smoothed time and its deviation, as divisors;
 *  those of RFC 6298. */
#define TIME_WEIGHT	 8.0
#define DEVIATION_WEIGHT 4.0
/** Deviations that the wait allows for, as there. */
#define DEVIATIONS 4.0
/** A copy goes over a new connection, which takes another round trip. */
#define ROUND_TRIPS 2.0
/** A stall of the processor delays an answer by as much as this. */
#define WAIT_MIN_MS 100
/** Longest wait, as a divisor of the timeout: one copy must fit in, or sending
 *  again gains nothing. */
#define WAIT_MAX_SHARE 2
/** The rest of the budget is kept for orders that were sent already. */
#define KEPT_SHARE 2
/** Weight of an order in the share of those without an answer. */
#define LOSS_WEIGHT 32.0
/** Share from which on answers count as being lost. */
#define LOSSY 0.02

struct bw_resend {
	int64_t timeout_ms;
	double time_ms; /**< Smoothed time of an answer. */
	double deviation_ms; /**< Smoothed deviation from it. */
	uint32_t budget;
	double loss; /**< Share of orders that had no answer. */
	bool measured; /**< An answer has come. */
};

bw_resend_t *bw_resend_create(int64_t timeout_ms)
{
	bw_resend_t *r = g_new0(bw_resend_t, 1);

	r->timeout_ms = timeout_ms;
	r->budget = BW_RESEND_BUDGET;
	return r;
}

void bw_resend_destroy(bw_resend_t *r)
{
	g_free(r);
}

static int64_t wait_ms(const bw_resend_t *r)
{
	int64_t max_ms = r->timeout_ms / WAIT_MAX_SHARE;
	double usual_ms =
		ROUND_TRIPS * r->time_ms + DEVIATIONS * r->deviation_ms;

	if (!r->measured)
		return max_ms;
	return CLAMP((int64_t)usual_ms, WAIT_MIN_MS, max_ms);
}

int64_t bw_resend_answer_ms(const bw_resend_t *r)
{
	if (r->budget <= BW_RESEND_BUDGET / KEPT_SHARE)
		return r->timeout_ms;
	return wait_ms(r);
}

bool bw_resend_take(bw_resend_t *r)
{
	if (r->budget == 0)
		return false;
	r->budget--;
	return true;
}

void bw_resend_measure(bw_resend_t *r, int64_t took_ms)
{
	double deviation_ms = ABS((double)took_ms - r->time_ms);

	if (!r->measured) {
		r->measured = true;
		r->time_ms = (double)took_ms;
		r->deviation_ms = (double)took_ms / 2.0;
		return;
	}
	r->deviation_ms += (deviation_ms - r->deviation_ms) / DEVIATION_WEIGHT;
	r->time_ms += ((double)took_ms - r->time_ms) / TIME_WEIGHT;
}

static void count_order(bw_resend_t *r, bool missing)
{
	r->loss += ((missing ? 1.0 : 0.0) - r->loss) / LOSS_WEIGHT;
}

void bw_resend_answered(bw_resend_t *r, int64_t took_ms, int64_t answer_ms,
			uint32_t missing)
{
	/* One with a short limit would not have been answered late. */
	bool in_time = answer_ms < r->timeout_ms || took_ms < wait_ms(r);
	uint32_t i;

	/* A copy that takes as long as the first had is slow as well. */
	for (i = 0; i < missing && took_ms < wait_ms(r) / 2; i++)
		count_order(r, true);
	count_order(r, false);
	if (in_time)
		r->budget = MIN(r->budget + BW_RESEND_EARNED, BW_RESEND_BUDGET);
}

bool bw_resend_lossy(const bw_resend_t *r)
{
	return r->loss > LOSSY;
}
