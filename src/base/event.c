#include "base/event.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>

#include "base/clock.h"
#include "base/loglimiter.h"

#define FLUSH_S 0.1
/** For a line's fields; the rest is for time, part, name and left_out. */
#define TEXT_BYTES_MAX ((size_t)BW_LOG_LINE_BYTES_MAX - 100)
/** Field of GLib's structured logging that carries the kind of an event. */
#define KIND_FIELD "BRAMLEY_EVENT"

static struct ev_loop *flush_loop;
static GString *buffer;
static bw_log_limiter_t limiter;
static uint64_t lines_written;
static uint64_t bytes_written;
static ev_timer flush_timer;

static void on_timer(struct ev_loop *loop, ev_timer *t, int revents);
static GLogWriterOutput log_writer(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data);

void bw_event_init(struct ev_loop *loop, int64_t bytes_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffer = g_string_sized_new(BW_LOG_BACKLOG_BYTES_MAX);
	flush_loop = loop;
	limiter.bytes_max = bytes_s;
	g_log_set_writer_func(log_writer, NULL, NULL);
	ev_timer_init(&flush_timer, on_timer, FLUSH_S, FLUSH_S);
	ev_timer_start(loop, &flush_timer);
	ev_unref(loop);
}

static void on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	(void)loop;
	(void)t;
	(void)revents;
	bw_event_flush();
}

/* Uses the loop's cached time, which needs no system call. */
static bool admit(bw_event_kind_t kind)
{
	int64_t now_ms = (int64_t)(ev_now(flush_loop) * 1000.0);

	return bw_log_limiter_admit(&limiter, kind, now_ms, buffer->len);
}

/* Fields may have text of other programs, which must not end a line. */
static void blank_control_characters(char *text)
{
	for (; *text; text++)
		if (g_ascii_iscntrl(*text))
			*text = ' ';
}

static void append_line(bw_event_kind_t kind, const char *fields)
{
	const bw_event_spec_t *spec = bw_event_spec(kind);
	uint32_t dropped = bw_log_limiter_reset_dropped(&limiter, kind);
	int64_t wall_ms = bw_clock_wall_ms();
	gsize before = buffer->len;

	g_string_append_printf(buffer, "%" G_GINT64_FORMAT ".%03d %s %s %s",
			       wall_ms / 1000, (int)(wall_ms % 1000),
			       spec->part, spec->name, fields);
	if (dropped > 0)
		g_string_append_printf(buffer, " left_out=%u", dropped);
	g_string_append_c(buffer, '\n');
	lines_written++;
	bytes_written += buffer->len - before;
	bw_log_limiter_add_bytes(&limiter, buffer->len - before);
}

/*
 * Writes a library's message as an event line, so that it neither exceeds the
 * limits nor blocks the process.
 */
static void write_library_message(GLogLevelFlags level, const GLogField *fields,
				  gsize count)
{
	const char *domain = "glib";
	const char *text = "";
	char line[BW_LOG_LINE_BYTES_MAX / 2];
	gsize i;

	for (i = 0; i < count; i++) {
		if (!strcmp(fields[i].key, "GLIB_DOMAIN"))
			domain = fields[i].value;
		if (!strcmp(fields[i].key, "MESSAGE"))
			text = fields[i].value;
	}
	if (!admit(BW_EVENT_MAIN_MESSAGE))
		return;
	g_snprintf(line, sizeof(line), "domain=%s level=%d text=\"%s\"", domain,
		   (int)(level & G_LOG_LEVEL_MASK), text);
	blank_control_characters(line);
	append_line(BW_EVENT_MAIN_MESSAGE, line);
}

static GLogWriterOutput log_writer(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	(void)data;
	if (count > 1 && !strcmp(fields[0].key, KIND_FIELD))
		append_line(*(const bw_event_kind_t *)fields[0].value,
			    fields[1].value);
	else
		write_library_message(level, fields, count);
	/* GLib aborts after a fatal message, so it is written at once. */
	if (level & G_LOG_FLAG_FATAL)
		bw_event_flush();
	return G_LOG_WRITER_HANDLED;
}

/*
 * Formats the fields after @p prefix_bytes of @p text and passes the line to
 * GLib.
 */
static void write_line(bw_event_kind_t kind, char *text, size_t prefix_bytes,
		       const char *fmt, va_list args)
{
	GLogField fields[] = { { KIND_FIELD, &kind, sizeof(kind) },
			       { "MESSAGE", text, -1 } };

	g_vsnprintf(text + prefix_bytes, TEXT_BYTES_MAX - prefix_bytes, fmt,
		    args);
	blank_control_characters(text);
	g_log_structured_array(G_LOG_LEVEL_INFO, fields, G_N_ELEMENTS(fields));
}

void bw_event(bw_event_kind_t kind, const char *fmt, ...)
{
	char text[TEXT_BYTES_MAX];
	va_list args;

	if (!buffer || !admit(kind))
		return;
	va_start(args, fmt);
	write_line(kind, text, 0, fmt, args);
	va_end(args);
}

void bw_event_of_pool(bw_event_kind_t kind, const char *pool, const char *fmt,
		      va_list args)
{
	char text[TEXT_BYTES_MAX];
	int prefix_bytes;

	if (!buffer || !admit(kind))
		return;
	prefix_bytes = g_snprintf(text, sizeof(text), "pool=%s ", pool);
	write_line(kind, text, MIN((size_t)prefix_bytes, sizeof(text) - 1), fmt,
		   args);
}

uint64_t bw_event_dropped(void)
{
	uint64_t all = 0;
	int i;

	for (i = 0; i < BW_EVENT_DROP_COUNT; i++)
		all += limiter.dropped[i];
	return all;
}

uint64_t bw_event_dropped_for(bw_event_drop_t why)
{
	return limiter.dropped[why];
}

uint64_t bw_event_lines(void)
{
	return lines_written;
}

uint64_t bw_event_bytes(void)
{
	return bytes_written;
}

void bw_event_drop_backlog(void)
{
	g_string_truncate(buffer, 0);
}

void bw_event_flush(void)
{
	ssize_t n;

	if (!buffer || buffer->len == 0)
		return;
	n = write(STDOUT_FILENO, buffer->str, buffer->len);
	if (n > 0)
		g_string_erase(buffer, 0, n);
}
