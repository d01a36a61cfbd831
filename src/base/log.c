#define BW_LOG_PART "log"
#include "base/log.h"

#include <stdio.h>

#include <jansson.h>

static bool log_json;
static bool log_verbose;

static const char *level_name(GLogLevelFlags level);
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer user_data);

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "fatal";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "info";
	return "debug";
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer user_data)
{
	const char *part = "glib";
	const char *message = "";
	GDateTime *now;
	char *stamp;
	gsize i;

	(void)user_data;
	if ((level & G_LOG_LEVEL_DEBUG) && !log_verbose)
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < n_fields; i++) {
		if (!g_strcmp0(fields[i].key, "GLIB_DOMAIN"))
			part = fields[i].value;
		if (!g_strcmp0(fields[i].key, "MESSAGE"))
			message = fields[i].value;
	}
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	if (log_json) {
		json_t *line = json_pack("{s:s,s:s,s:s,s:s}", "time", stamp,
					 "level", level_name(level), "part",
					 part, "message", message);
		json_dumpf(line, stderr, JSON_COMPACT);
		fputc('\n', stderr);
		json_decref(line);
	} else {
		fprintf(stderr, "%s %s %s: %s\n", stamp, level_name(level),
			part, message);
	}
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void bw_log_init(bool as_json, bool verbose)
{
	log_json = as_json;
	log_verbose = verbose;
	g_log_set_writer_func(write_line, NULL, NULL);
}
