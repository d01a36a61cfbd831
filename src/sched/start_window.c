#include "sched/start_window.h"

#include <glib.h>

/** Larger than the usual burst, small enough for a slow link's first one. */
#define SIZE_INITIAL 64U
/** Added after a round of quick answers. */
#define SIZE_STEP 8U
/** Divisor of the size after a round of slow answers. */
#define SIZE_SHRINK 2U
/** Answers of a round, as a divisor of the size. */
#define ROUND_SHARE 2U
/** An answer is slow after this part of the timeout, which leaves the rest to
 *  heartbeats that wait behind the same orders. */
#define SLOW_SHARE 4

struct bw_start_window {
	int64_t slow_ms;
	uint32_t size;
	uint32_t in_flight;
	uint32_t answers; /**< Of this round. */
	uint32_t slow; /**< Those of them that were slow. */
	/** Orders sent before the last decrease, whose answers tell nothing
	 *  about the new size. */
	uint32_t outdated;
	bool reached; /**< The size was reached in this round. */
};

bw_start_window_t *bw_start_window_create(int64_t timeout_ms)
{
	bw_start_window_t *w = g_new0(bw_start_window_t, 1);

	w->slow_ms = timeout_ms / SLOW_SHARE;
	w->size = SIZE_INITIAL;
	return w;
}

void bw_start_window_destroy(bw_start_window_t *w)
{
	g_free(w);
}

bool bw_start_window_open(const bw_start_window_t *w)
{
	return w->in_flight < w->size;
}

void bw_start_window_sent(bw_start_window_t *w)
{
	w->in_flight++;
	if (w->in_flight >= w->size)
		w->reached = true;
}

static void begin_round(bw_start_window_t *w)
{
	w->answers = 0;
	w->slow = 0;
	w->reached = w->in_flight >= w->size;
}

static void shrink(bw_start_window_t *w)
{
	w->size = MAX(w->size / SIZE_SHRINK, BW_START_WINDOW_MIN);
	w->outdated = w->in_flight;
	begin_round(w);
}

/* A size that was not reached says nothing about a larger one. */
static void grow(bw_start_window_t *w)
{
	if (w->reached)
		w->size = MIN(w->size + SIZE_STEP, BW_START_WINDOW_MAX);
	begin_round(w);
}

static void count_answer(bw_start_window_t *w, int64_t took_ms)
{
	uint32_t round = w->size / ROUND_SHARE;

	w->answers++;
	if (took_ms >= w->slow_ms)
		w->slow++;
	if (w->slow > round / 2)
		shrink(w);
	else if (w->answers >= round)
		grow(w);
}

void bw_start_window_dropped(bw_start_window_t *w)
{
	w->in_flight--;
	w->outdated = MIN(w->outdated, w->in_flight);
}

void bw_start_window_answered(bw_start_window_t *w, int64_t took_ms)
{
	w->in_flight--;
	if (w->outdated > 0)
		w->outdated--;
	else
		count_answer(w, took_ms);
}

/* Only lateness counts: a quick answer may have been due to an early end. */
void bw_start_window_heartbeat(bw_start_window_t *w, int64_t late_ms)
{
	if (late_ms >= w->slow_ms && w->outdated == 0)
		count_answer(w, late_ms);
}

uint32_t bw_start_window_size(const bw_start_window_t *w)
{
	return w->size;
}
