/**
 * @file
 * The operators' table: pools, services, and for each pair of them a cell of
 * weight and limit; and the list of workers (VMs).
 */
#ifndef BW_TABLE_TABLE_H
#define BW_TABLE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/findings.h"
#include "base/status.h"

#define BW_POOLS_MAX	256
#define BW_SERVICES_MAX 256
#define BW_WORKERS_MAX	32768
#define BW_WEIGHT_MAX	1000
#define BW_SLOTS_MAX	255
/** Values that the worker list is packed into; a worker never changes its. */
#define BW_WORKER_PARTS 64

/** How a service's requests are ordered against others'. */
typedef enum bw_class {
	BW_CLASS_URGENT,
	BW_CLASS_DEFERRABLE, /**< May wait, but must finish by its deadline. */
	BW_CLASS_COUNT
} bw_class_t;

/** Which methods of a service may run only once per key. */
typedef enum bw_once_rule {
	BW_ONCE_RULE_UNSAFE, /**< All methods that are not safe (RFC 9110). */
	BW_ONCE_RULE_ALL,
	BW_ONCE_RULE_NONE,
	BW_ONCE_RULE_COUNT
} bw_once_rule_t;

/** State of a worker. */
typedef enum bw_worker_state {
	BW_WORKER_SERVING,
	BW_WORKER_LEAVING, /**< Takes no new request; running ones finish. */
	BW_WORKER_STATE_COUNT
} bw_worker_state_t;

typedef struct bw_pool {
	char *name;
} bw_pool_t;

typedef struct bw_service {
	char *name;
	char *prefix; /**< Path prefix, such as "/counter/". */
	bw_class_t class;
	bw_once_rule_t once;
	uint32_t wait_ms; /**< Caller's wait when the request names none. */
	uint32_t queue_max; /**< Waiting requests per entry. */
	uint32_t retry_pct; /**< Retries per 100 first attempts. */
	uint32_t attempts_max; /**< Attempts of one request. */
} bw_service_t;

/** One cell; all zero means that the service does not use the pool. */
typedef struct bw_cell {
	uint16_t weight; /**< Share among the pools with room. */
	uint16_t
		spill; /**< Share among pools used when no weighted has room. */
	uint32_t limit; /**< Slots in use over all entries; 0 is no limit. */
} bw_cell_t;

typedef struct bw_table {
	uint64_t version; /**< Grows by 1 with each accepted edit. */
	char *edit; /**< Id of the edit that made this version. */
	bw_pool_t *pools;
	bw_service_t *services;
	bw_cell_t *cells; /**< service_count rows of pool_count cells. */
	uint32_t pool_count;
	uint32_t service_count;
} bw_table_t;

typedef struct bw_worker {
	char *name;
	char *address; /**< ip:port of the backend server. */
	char *zone;
	char *rack;
	char *pool;
	uint32_t slots;
	uint32_t connections;
	bw_worker_state_t state;
} bw_worker_t;

typedef struct bw_workers {
	bw_worker_t *items;
	uint32_t count;
} bw_workers_t;

/** Cell of a service and a pool, by index. */
static inline bw_cell_t *bw_table_cell(const bw_table_t *t, uint32_t service,
				       uint32_t pool)
{
	return &t->cells[(size_t)service * t->pool_count + pool];
}

/** Creates an empty table. */
bw_table_t *bw_table_create(uint32_t service_count, uint32_t pool_count);

/** Destroys a table; NULL is allowed. */
void bw_table_destroy(bw_table_t *t);

/** Index of a pool, or UINT32_MAX. */
uint32_t bw_table_pool_index(const bw_table_t *t, const char *name);

/** Index of a service, or UINT32_MAX. */
uint32_t bw_table_service_index(const bw_table_t *t, const char *name);

/** Index of the service with the longest prefix of @p path, or UINT32_MAX. */
uint32_t bw_table_service_for_path(const bw_table_t *t, const char *path);

/** Whether a request of @p method to @p service may run only once. */
bool bw_service_runs_once(const bw_service_t *service, const char *method);

/**
 * Parses the JSON form of a table.
 * @param text JSON text, not NUL-terminated
 * @param findings receives every mistake with its place
 * @return a table owned by the caller, or NULL when findings were added
 */
bw_table_t *bw_table_parse(const char *text, size_t bytes,
			   bw_findings_t *findings);

/** JSON form of a table, to be released with free(). */
char *bw_table_format(const bw_table_t *t);

/**
 * Parses the JSON form of a worker list.
 * @return a list owned by the caller, or NULL when findings were added
 */
bw_workers_t *bw_workers_parse(const char *text, size_t bytes,
			       bw_findings_t *findings);

/** JSON form of a worker list, to be released with free(). */
char *bw_workers_format(const bw_workers_t *w);

/** Part of the worker list that a worker belongs to. */
uint32_t bw_worker_part(const char *name);

/**
 * Takes the workers of one part out of a list.
 * @return a new list owned by the caller
 */
bw_workers_t *bw_workers_select_part(const bw_workers_t *w, uint32_t part);

/** Destroys a worker list; NULL is allowed. */
void bw_workers_destroy(bw_workers_t *w);

/**
 * Parses the text of one cell: "", "W", "W/L", "+S", "+S/L", "W+S" or "W+S/L",
 * with weight W, spill weight S and limit L.
 */
bw_status_t bw_cell_parse(const char *text, bw_cell_t *cell);

/** Text of one cell, as bw_cell_parse() takes it. */
void bw_cell_format(const bw_cell_t *cell, char *out, size_t out_bytes);

/**
 * Writes the cells as CSV with a row per service and a column per pool.
 * @return text to be released with g_free()
 */
char *bw_table_to_csv(const bw_table_t *t);

/**
 * Replaces the cells of @p t by those of a CSV text.
 * @param findings receives every mistake with its row and column
 * @return BW_OK, or BW_EINVAL with @p t unchanged
 */
bw_status_t bw_table_from_csv(bw_table_t *t, const char *text,
			      bw_findings_t *findings);

extern const char *const bw_class_names[BW_CLASS_COUNT];
extern const char *const bw_once_rule_names[BW_ONCE_RULE_COUNT];
extern const char *const bw_worker_state_names[BW_WORKER_STATE_COUNT];

#endif
