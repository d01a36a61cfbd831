/**
 * @file
 * What the commands of bramleyctl share: the store and the entries, asked one
 * call at a time.
 */
#ifndef BW_CTL_CTL_H
#define BW_CTL_CTL_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "base/counters.h"
#include "store/store.h"

/** Exit codes of bramleyctl. */
typedef enum bw_exit {
	BW_EXIT_OK = 0,
	BW_EXIT_USAGE = 1,
	BW_EXIT_INVALID = 2, /**< Input with mistakes; nothing was changed. */
	BW_EXIT_CONFLICT = 3, /**< Another edit of the same cell came first. */
	BW_EXIT_UNAVAILABLE = 4, /**< No effect: store or entry out of reach. */
	BW_EXIT_UNKNOWN = 5, /**< An edit may have taken effect. */
	BW_EXIT_NOT_FOUND = 6,
	BW_EXIT_TIMEOUT = 7, /**< Not in force everywhere in time. */
} bw_exit_t;

/** Options and connections of one run. */
typedef struct bw_ctl {
	struct ev_loop *loop;
	bw_counters_t counters;
	bw_store_t store;
	char *prefix;
	char **entries; /**< ip:port of entries' operator addresses. */
	bool json;
	int64_t timeout_ms;
} bw_ctl_t;

/** A value read from the store. */
typedef struct bw_ctl_value {
	bw_status_t status;
	char *text; /**< NULL when the key does not exist. */
	int64_t revision; /**< 0 when the key does not exist. */
} bw_ctl_value_t;

/** Reads one key below the prefix. Release the text with g_free(). */
bw_ctl_value_t bw_ctl_read(bw_ctl_t *c, const char *name);

/**
 * Reads all keys below the prefix that begin with @p name.
 * @param fn gets each key's name, text and revision
 */
bw_status_t bw_ctl_read_all(bw_ctl_t *c, const char *name,
			    void (*fn)(void *ctx, const char *name,
				       const char *text, int64_t revision),
			    void *ctx);

/**
 * Writes one key if its revision is as given.
 * @return BW_OK, BW_ECONFLICT, BW_EUNAVAIL, or BW_ELOST when the write may
 *         have taken effect
 */
bw_status_t bw_ctl_write(bw_ctl_t *c, const char *name, int64_t revision,
			 const char *text);

/**
 * Gets a page of an entry.
 * @return the body, to be released with g_free(), or NULL
 */
char *bw_ctl_get(bw_ctl_t *c, const char *address, const char *path);

/**
 * Calls an entry or node.
 * @param body NULL is none
 * @param status receives the HTTP status
 * @return the body, to be released with g_free(), or NULL without an answer
 */
char *bw_ctl_call(bw_ctl_t *c, const char *method, const char *address,
		  const char *path, const char *body, long *status);

/** Reads a file or, for "-", standard input. Release with g_free(). */
char *bw_ctl_read_file(const char *path);

/** Exit code for a failed store call; prints the message. */
bw_exit_t bw_ctl_fail(bw_status_t status);

/** Waits in the event loop. */
void bw_ctl_sleep(bw_ctl_t *c, int64_t ms);

/** A command; @p args ends with NULL. */
typedef bw_exit_t (*bw_ctl_fn)(bw_ctl_t *c, char **args);

bw_exit_t bw_ctl_table_show(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_check(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_diff(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_set(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_import(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_export(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_history(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_table_wait(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_worker_list(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_worker_import(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_worker_drain(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_worker_undrain(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_status(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_counters(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_services(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_job_submit(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_job_show(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_job_list(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_job_cancel(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_pool_show(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_wave_status(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_explain(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_events(bw_ctl_t *c, char **args);

#endif
