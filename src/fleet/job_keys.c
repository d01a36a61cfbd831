#include "fleet/job_keys.h"

#include <string.h>

#include <glib.h>

#define JOBS_PREFIX	 "bw/q/"
#define LOCATIONS_PREFIX "bw/i/"
#define RECORD_SUFFIX	 "/job"
#define CANCEL_SUFFIX	 "/cancel"

char *bw_job_prefix(const char *pool)
{
	return g_strconcat(JOBS_PREFIX, pool, "/", NULL);
}

char *bw_job_key(const char *pool, const char *id)
{
	return g_strconcat(JOBS_PREFIX, pool, "/", id, RECORD_SUFFIX, NULL);
}

char *bw_cancel_key(const char *pool, const char *id)
{
	return g_strconcat(JOBS_PREFIX, pool, "/", id, CANCEL_SUFFIX, NULL);
}

char *bw_job_location_key(const char *id)
{
	return g_strconcat(LOCATIONS_PREFIX, id, NULL);
}

bw_job_key_kind_t bw_job_key_parse(const char *prefix, const char *key,
				   char id[BW_JOB_ID_CHARS + 1])
{
	const char *at = key + strlen(prefix);

	if (strlen(at) < BW_JOB_ID_CHARS)
		return BW_JOB_KEY_OTHER;
	g_strlcpy(id, at, BW_JOB_ID_CHARS + 1);
	at += BW_JOB_ID_CHARS;
	if (!strcmp(at, RECORD_SUFFIX))
		return BW_JOB_KEY_RECORD;
	if (!strcmp(at, CANCEL_SUFFIX))
		return BW_JOB_KEY_CANCELLATION;
	return BW_JOB_KEY_OTHER;
}
