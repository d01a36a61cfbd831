#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 512

static const char *const status_names[BW_STATUS_COUNT] = {
	[BW_OK] = "ok",
	[BW_EINVAL] = "invalid",
	[BW_EPARSE] = "parse-error",
	[BW_EIO] = "io-error",
	[BW_ECONFLICT] = "conflict",
	[BW_EUNAVAIL] = "unavailable",
	[BW_ELOST] = "answer-lost",
	[BW_ENOTFOUND] = "not-found",
	[BW_ELIMIT] = "limit",
	[BW_ESTALE] = "stale",
};

static _Thread_local char last_message[MESSAGE_BYTES];

const char *bw_status_name(bw_status_t status)
{
	if (status >= BW_STATUS_COUNT)
		return "unknown";
	return status_names[status];
}

bw_status_t bw_status_set(bw_status_t status, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return status;
}

const char *bw_status_message(void)
{
	return last_message;
}
