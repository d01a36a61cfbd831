#include "base/cause.h"

static const char *const names[BW_CAUSE_COUNT] = {
	[BW_CAUSE_NONE] = "none",
	[BW_CAUSE_UNCONNECTED] = "unconnected",
	[BW_CAUSE_CLOSED] = "closed",
	[BW_CAUSE_SILENT] = "silent",
	[BW_CAUSE_MALFORMED] = "malformed",
	[BW_CAUSE_UNAVAILABLE] = "unavailable",
	[BW_CAUSE_RATE_LIMITED] = "rate-limited",
	[BW_CAUSE_REJECTED] = "rejected",
};

const char *bw_cause_name(bw_cause_t cause)
{
	return cause < BW_CAUSE_COUNT ? names[cause] : "unknown";
}
