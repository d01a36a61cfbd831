#include "place/retry.h"

#define CENTI_PER_RETRY	  100
#define INITIAL_RETRIES	  10
#define SAVED_RETRIES_MAX 100

static const char *const result_names[BW_ATTEMPT_RESULT_COUNT] = {
	[BW_ATTEMPT_OK] = "ok",		[BW_ATTEMPT_NOT_SENT] = "not-sent",
	[BW_ATTEMPT_BROKEN] = "broken", [BW_ATTEMPT_TIMEOUT] = "timeout",
	[BW_ATTEMPT_STATUS] = "status", [BW_ATTEMPT_BAD_ANSWER] = "bad-answer",
};

static const char *const verdict_names[BW_RETRY_VERDICT_COUNT] = {
	[BW_RETRY_YES] = "yes",
	[BW_RETRY_NO_UNSAFE] = "unsafe",
	[BW_RETRY_NO_DEADLINE] = "deadline",
	[BW_RETRY_NO_ATTEMPTS] = "attempts",
	[BW_RETRY_NO_BUDGET] = "budget",
};

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

const char *bw_attempt_result_name(bw_attempt_result_t result)
{
	if (result >= BW_ATTEMPT_RESULT_COUNT)
		return "unknown";
	return result_names[result];
}

const char *bw_retry_verdict_name(bw_retry_verdict_t verdict)
{
	if (verdict >= BW_RETRY_VERDICT_COUNT)
		return "unknown";
	return verdict_names[verdict];
}
