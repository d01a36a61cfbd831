#include "record.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"

struct soak_record {
	FILE *file;
};

soak_record_t *soak_record_create(const char *path)
{
	soak_record_t *r = g_new0(soak_record_t, 1);

	r->file = fopen(path, "we");
	if (!r->file) {
		fprintf(stderr, "soak: %s: %s\n", path, strerror(errno));
		exit(2);
	}
	return r;
}

void soak_record(soak_record_t *r, const char *fmt, ...)
{
	int64_t now_ms = bw_clock_wall_ms();
	va_list args;

	fprintf(r->file, "%" PRId64 ".%03d ", now_ms / 1000,
		(int)(now_ms % 1000));
	va_start(args, fmt);
	vfprintf(r->file, fmt, args);
	va_end(args);
	fputc('\n', r->file);
	/* Complete also when this process is killed. */
	fflush(r->file);
}

void soak_record_destroy(soak_record_t *r)
{
	fclose(r->file);
	g_free(r);
}
