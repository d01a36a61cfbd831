#include "base/loglimiter.h"

static bool drop_line(bw_log_limiter_t *limiter, bw_log_kind_t *kind,
		      bw_event_drop_t why);

static bool drop_line(bw_log_limiter_t *limiter, bw_log_kind_t *kind,
		      bw_event_drop_t why)
{
	kind->dropped++;
	limiter->dropped[why]++;
	return false;
}

bool bw_log_limiter_admit(bw_log_limiter_t *limiter, bw_event_kind_t which,
			  int64_t now_ms, size_t backlog_bytes)
{
	bw_log_kind_t *kind = &limiter->kinds[which];
	int64_t second = now_ms / 1000;

	if (kind->second != second) {
		kind->second = second;
		kind->lines = 0;
	}
	if (limiter->second != second) {
		limiter->second = second;
		limiter->bytes = 0;
	}
	if (kind->lines >= bw_event_class_lines(bw_event_spec(which)->class))
		return drop_line(limiter, kind, BW_EVENT_DROP_RATE);
	if (limiter->bytes + BW_LOG_LINE_BYTES_MAX > limiter->bytes_max)
		return drop_line(limiter, kind, BW_EVENT_DROP_BYTES);
	if (backlog_bytes + BW_LOG_LINE_BYTES_MAX > BW_LOG_BACKLOG_BYTES_MAX)
		return drop_line(limiter, kind, BW_EVENT_DROP_READER);
	kind->lines++;
	return true;
}

uint32_t bw_log_limiter_reset_dropped(bw_log_limiter_t *limiter,
				      bw_event_kind_t kind)
{
	uint32_t dropped = limiter->kinds[kind].dropped;

	limiter->kinds[kind].dropped = 0;
	return dropped;
}

void bw_log_limiter_add_bytes(bw_log_limiter_t *limiter, size_t bytes)
{
	limiter->bytes += (int64_t)bytes;
}
