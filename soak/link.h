/**
 * @file
 * A loopback proxy on the way from one node to the store or to a worker, which
 * disturbs the connections. It reads requests only to know where they begin and
 * end; a connection has one request at a time.
 */
#ifndef SOAK_LINK_H
#define SOAK_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"
#include "record.h"

struct ev_loop;

typedef struct soak_link soak_link_t;

/** Appends what the record says of a request, from its first bytes. */
typedef void (*soak_describe_fn)(GString *out, const char *request);

typedef struct soak_link_config {
	struct ev_loop *loop;
	soak_record_t *record;
	const char *name; /**< "node-1:store", for the record; copied. */
	const char *target; /**< ip:port; copied. */
	soak_describe_fn describe; /**< NULL: only its first line. */
} soak_link_config_t;

/** Listens on a free port of the loopback; ends the program if it can't. */
soak_link_t *soak_link_create(const soak_link_config_t *config);

/** Returns the ip:port that the node calls. */
const char *soak_link_address(const soak_link_t *link);

/**
 * Applies a fault to the link for its time. Faults of several kinds may
 * overlap; one of a kind that acts already replaces it, and lasts as long as
 * either.
 */
void soak_link_apply(soak_link_t *link, const soak_fault_t *fault,
		     int64_t now_ms);

/** Returns the bytes that have come from both sides. */
uint64_t soak_link_bytes(const soak_link_t *link);

/** Returns the number of open connections. */
uint32_t soak_link_connections(const soak_link_t *link);

void soak_link_destroy(soak_link_t *link);

#endif
