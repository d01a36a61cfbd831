/**
 * @file
 * The soak's own log: what callers and workers see, and the faults. Its lines
 * have the form of a node's event lines, so that bramleyctl explain merges
 * them.
 */
#ifndef SOAK_RECORD_H
#define SOAK_RECORD_H

typedef struct soak_record soak_record_t;

/** Creates the file; ends the program if it can't. */
soak_record_t *soak_record_create(const char *path);

/** Adds a line, "PART EVENT name=value ...", with the time. */
void soak_record(soak_record_t *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void soak_record_destroy(soak_record_t *r);

#endif
