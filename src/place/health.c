#include "place/health.h"

#define FAILURES_TO_EJECT	3
#define SLOW_FACTOR		5
#define SLOW_RESPONSES_TO_EJECT 5
#define EJECT_MIN_US		200000
#define EJECT_MAX_US		10000000
#define LATENCY_WEIGHT		8 /* Weight of a new sample is 1/8. */

static const char *const state_names[BW_HEALTH_STATE_COUNT] = {
	[BW_HEALTH_GOOD] = "good",
	[BW_HEALTH_EJECTED] = "ejected",
	[BW_HEALTH_PROBING] = "probing",
};

static void eject(bw_health_t *h, int64_t now_us);

static void eject(bw_health_t *h, int64_t now_us)
{
	int64_t time_us = EJECT_MIN_US;
	uint32_t i;

	for (i = 0; i < h->ejections && time_us < EJECT_MAX_US; i++)
		time_us *= 2;
	if (time_us > EJECT_MAX_US)
		time_us = EJECT_MAX_US;
	h->ejections++;
	h->ejected_until_us = now_us + time_us;
	h->state = BW_HEALTH_EJECTED;
}

void bw_health_record_success(bw_health_t *h, int64_t elapsed_us,
			      int64_t pool_latency_us, int64_t now_us)
{
	bool slow = pool_latency_us > 0 &&
		    elapsed_us > SLOW_FACTOR * pool_latency_us;

	if (h->latency_us == 0)
		h->latency_us = elapsed_us;
	h->latency_us += (elapsed_us - h->latency_us) / LATENCY_WEIGHT;
	h->failures = 0;
	h->slow_responses = slow ? h->slow_responses + 1 : 0;
	if (h->state == BW_HEALTH_PROBING && slow) {
		eject(h, now_us);
		return;
	}
	if (h->slow_responses >= SLOW_RESPONSES_TO_EJECT) {
		h->slow_responses = 0;
		eject(h, now_us);
		return;
	}
	/* A response to a request sent before the ejection doesn't end it. */
	if (h->state == BW_HEALTH_EJECTED)
		return;
	h->state = BW_HEALTH_GOOD;
	h->ejections = 0;
}

void bw_health_record_failure(bw_health_t *h, int64_t now_us)
{
	h->failures++;
	if (h->state == BW_HEALTH_EJECTED)
		return;
	if (h->state == BW_HEALTH_PROBING || h->failures >= FAILURES_TO_EJECT)
		eject(h, now_us);
}

bool bw_health_tick(bw_health_t *h, int64_t now_us)
{
	if (h->state != BW_HEALTH_EJECTED || now_us < h->ejected_until_us)
		return false;
	h->state = BW_HEALTH_PROBING;
	return true;
}

uint32_t bw_health_requests_max(const bw_health_t *h, uint32_t slots)
{
	if (h->state == BW_HEALTH_EJECTED)
		return 0;
	if (h->state == BW_HEALTH_PROBING)
		return 1;
	return slots;
}

const char *bw_health_state_name(bw_health_state_t state)
{
	if (state >= BW_HEALTH_STATE_COUNT)
		return "unknown";
	return state_names[state];
}
