/**
 * @file
 * A stand-in of the platform's store: keys with revisions, transactions,
 * leases, pages and watches. Each node has a port of its own.
 */
#ifndef SOAK_STANDIN_STORE_H
#define SOAK_STANDIN_STORE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct ev_loop;

typedef struct soak_store soak_store_t;

/** Starts the store; ends the program if it can't. */
soak_store_t *soak_store_create(struct ev_loop *loop, uint32_t node_count);

/** Returns the ip:port for a node. */
const char *soak_store_address(const soak_store_t *s, uint32_t node);

/** Writes the configuration, as an operator does. */
void soak_store_configure(soak_store_t *s, const char *text);

/**
 * Writes a key of which each node reads another value: a worker's entry, as
 * each node calls it through its own link.
 * @param values one for each node
 */
void soak_store_put_each(soak_store_t *s, const char *key,
			 const char *const *values);

/** Deletes a key; one that isn't there is no error. */
void soak_store_remove(soak_store_t *s, const char *key);

/** Returns the value of a key as a node reads it, which the caller frees, or
 *  NULL. */
uint8_t *soak_store_get(const soak_store_t *s, const char *key, uint32_t node,
			size_t *bytes);

/** Returns how long ago the lease of a key was renewed, -1 if it has none. */
int64_t soak_store_renewed_ago_ms(const soak_store_t *s, const char *key);

/** Leases don't run for a time from now on. */
void soak_store_pause_leases(soak_store_t *s, int64_t for_ms);

/** Appends the first keys that a request writes; see soak_describe_fn. */
void soak_store_describe(GString *out, const char *request);

#endif
