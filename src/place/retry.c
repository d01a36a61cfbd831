#include "place/retry.h"

#define CENTI_PER_RETRY	  100
#define INITIAL_RETRIES	  10
#define SAVED_RETRIES_MAX 100

void bw_retry_init(bw_retry_budget_t *b)
{
	b->centi = INITIAL_RETRIES * CENTI_PER_RETRY;
}

void bw_retry_earn(bw_retry_budget_t *b, uint32_t retry_pct)
{
	b->centi += retry_pct;
	if (b->centi > SAVED_RETRIES_MAX * CENTI_PER_RETRY)
		b->centi = SAVED_RETRIES_MAX * CENTI_PER_RETRY;
}

bw_retry_verdict_t bw_retry_decide(bw_retry_budget_t *b,
				   const bw_retry_request_t *r,
				   bw_attempt_result_t result, int64_t now_us)
{
	if (r->answer_started)
		return BW_RETRY_NO_UNSAFE;
	if (r->once && result != BW_ATTEMPT_NOT_SENT)
		return BW_RETRY_NO_UNSAFE;
	if (r->attempts >= r->attempts_max)
		return BW_RETRY_NO_ATTEMPTS;
	if (now_us + r->service_us > r->deadline_us)
		return BW_RETRY_NO_DEADLINE;
	if (b->centi < CENTI_PER_RETRY)
		return BW_RETRY_NO_BUDGET;
	b->centi -= CENTI_PER_RETRY;
	return BW_RETRY_YES;
}
