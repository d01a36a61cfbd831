#include "place/retry.h"

#define HUNDREDTHS_PER_RETRY 100
#define INITIAL_RETRIES	     10
#define BUDGET_RETRIES_MAX   100

void bw_retry_init(bw_retry_budget_t *b)
{
	b->hundredths = INITIAL_RETRIES * HUNDREDTHS_PER_RETRY;
}

void bw_retry_deposit(bw_retry_budget_t *b, uint32_t retry_pct)
{
	b->hundredths += retry_pct;
	if (b->hundredths > BUDGET_RETRIES_MAX * HUNDREDTHS_PER_RETRY)
		b->hundredths = BUDGET_RETRIES_MAX * HUNDREDTHS_PER_RETRY;
}

bw_retry_verdict_t bw_retry_decide(bw_retry_budget_t *b,
				   const bw_retry_request_t *r,
				   bw_attempt_result_t result, int64_t now_us)
{
	if (r->response_started)
		return BW_RETRY_NO_UNSAFE;
	if (r->once && result != BW_ATTEMPT_NOT_SENT)
		return BW_RETRY_NO_UNSAFE;
	if (r->attempts >= r->attempts_max)
		return BW_RETRY_NO_ATTEMPTS;
	if (now_us + r->service_us > r->deadline_us)
		return BW_RETRY_NO_DEADLINE;
	if (b->hundredths < HUNDREDTHS_PER_RETRY)
		return BW_RETRY_NO_BUDGET;
	b->hundredths -= HUNDREDTHS_PER_RETRY;
	return BW_RETRY_YES;
}
