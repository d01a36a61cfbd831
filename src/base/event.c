#include "base/event.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"

#define BUFFER_BYTES_MAX ((size_t)256 << 10)
#define FLUSH_S		 0.1
/** Lines of one kind in a second; more are left out. */
#define KIND_LINES_PER_S 400
#define LINE_BYTES_MAX	 900

/** Lines of one kind in the present second. */
typedef struct kind {
	int64_t second;
	uint32_t lines;
	uint32_t dropped;
} kind_t;

static GString *buffer;
static GHashTable *kinds;
static uint64_t dropped;
static ev_timer timer;

static bool within_rate(const char *event, int64_t now_ms, uint32_t *missed);
static void on_timer(struct ev_loop *loop, ev_timer *t, int revents);

void bw_event_init(struct ev_loop *loop)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffer = g_string_new(NULL);
	kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ev_timer_init(&timer, on_timer, FLUSH_S, FLUSH_S);
	ev_timer_start(loop, &timer);
	ev_unref(loop);
}

static void on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	(void)loop;
	(void)t;
	(void)revents;
	bw_event_flush();
}

static bool within_rate(const char *event, int64_t now_ms, uint32_t *missed)
{
	kind_t *kind = g_hash_table_lookup(kinds, event);

	*missed = 0;
	if (!kind) {
		kind = g_new0(kind_t, 1);
		g_hash_table_insert(kinds, g_strdup(event), kind);
	}
	if (kind->second != now_ms / 1000) {
		kind->second = now_ms / 1000;
		kind->lines = 0;
		*missed = kind->dropped;
		kind->dropped = 0;
	}
	kind->lines++;
	if (kind->lines <= KIND_LINES_PER_S)
		return true;
	kind->dropped++;
	return false;
}

void bw_event(const char *part, const char *event, const char *fmt, ...)
{
	int64_t wall_ms = bw_clock_wall_ms();
	char fields[LINE_BYTES_MAX];
	uint32_t missed;
	va_list args;

	if (!buffer)
		return;
	if (!within_rate(event, bw_clock_now_ms(), &missed) ||
	    buffer->len > BUFFER_BYTES_MAX) {
		dropped++;
		return;
	}
	va_start(args, fmt);
	g_vsnprintf(fields, sizeof(fields), fmt, args);
	va_end(args);
	g_string_append_printf(buffer, "%" G_GINT64_FORMAT ".%03d %s %s %s",
			       wall_ms / 1000, (int)(wall_ms % 1000), part,
			       event, fields);
	if (missed > 0)
		g_string_append_printf(buffer, " left_out=%u", missed);
	g_string_append_c(buffer, '\n');
}

uint64_t bw_event_dropped(void)
{
	return dropped;
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
