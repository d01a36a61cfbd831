/*
 * Stateful fuzzer of the retry budget.
 *
 * Oracle: retries never exceed the share of first attempts plus what a service
 * starts with, a request that may run only once is never retried after bytes
 * were sent, and none is retried past its deadline or its attempts.
 */
#include "place/retry.h"
#include "world.h"

#define START_RETRIES 10

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	choices_t choices = { .data = data, .left = size };
	bw_retry_budget_t budget;
	uint64_t earned_pct = 0;
	uint64_t retries = 0;
	int64_t now_us = 0;

	bw_retry_init(&budget);
	while (choices.left > 0) {
		uint32_t pct = choose(&choices, 6);
		uint32_t bits = choose(&choices, 256);
		uint32_t more = choose(&choices, 256);
		bw_attempt_result_t result =
			1 + bits % (BW_ATTEMPT_RESULT_COUNT - 1);
		bw_retry_request_t r = {
			.once = bits >= 200,
			.answer_started = more >= 240,
			.attempts = 1 + more % 3,
			.attempts_max = 3,
			.service_us = more,
		};

		now_us += bits;
		r.deadline_us = now_us + 200;
		bw_retry_earn(&budget, pct);
		earned_pct += pct;
		if (bw_retry_decide(&budget, &r, result, now_us) !=
		    BW_RETRY_YES)
			continue;
		retries++;
		FUZZ_ASSERT(retries * 100 <= earned_pct + START_RETRIES * 100,
			    "retries stay within the budget");
		FUZZ_ASSERT(!r.once || result == BW_ATTEMPT_NOT_SENT,
			    "once means once");
		FUZZ_ASSERT(!r.answer_started,
			    "no retry after the answer began");
		FUZZ_ASSERT(r.attempts < r.attempts_max,
			    "attempts are bounded");
		FUZZ_ASSERT(now_us + r.service_us <= r.deadline_us,
			    "no retry past the deadline");
	}
	return 0;
}
