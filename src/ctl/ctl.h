/**
 * @file
 * Shared by the commands of bramleyctl: blocking calls to the store and to
 * entries and nodes.
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
	BW_EXIT_INVALID = 2, /**< Invalid input; nothing was changed. */
	BW_EXIT_CONFLICT = 3, /**< The same cell was changed meanwhile. */
	BW_EXIT_UNAVAILABLE = 4, /**< No effect: store or entry unreachable. */
	BW_EXIT_UNKNOWN = 5, /**< It is unknown whether an edit took effect. */
	BW_EXIT_NOT_FOUND = 6,
	BW_EXIT_TIMEOUT = 7, /**< Not in force on every entry in time. */
} bw_exit_t;

/** Options and connections of one invocation. */
typedef struct bw_ctl {
	struct ev_loop *loop;
	bw_counters_t counters;
	bw_store_t store;
	char *prefix;
	/** Operator addresses (ip:port) of entries or nodes, ended by NULL. */
	char **entries;
	bool json;
	int64_t timeout_ms;
} bw_ctl_t;

/** A value read from the store. */
typedef struct bw_ctl_value {
	bw_status_t status;
	char *text; /**< NULL when the key does not exist. */
	int64_t revision; /**< 0 when the key does not exist. */
} bw_ctl_value_t;

/** Reads one key below the prefix; release its text with g_free(). */
bw_ctl_value_t bw_ctl_read(bw_ctl_t *c, const char *name);

/**
 * Reads all keys below the prefix that begin with @p name.
 * @param fn called with each key's name, without the prefix, its text and its
 *        revision
 */
bw_status_t bw_ctl_read_all(bw_ctl_t *c, const char *name,
			    void (*fn)(void *ctx, const char *name,
				       const char *text, int64_t revision),
			    void *ctx);

/**
 * Writes one key if its revision is still @p revision; 0 if it must not exist.
 * @return BW_OK, BW_ECONFLICT, BW_EUNAVAIL, or BW_ELOST if the write may
 *         have taken effect
 */
bw_status_t bw_ctl_write(bw_ctl_t *c, const char *name, int64_t revision,
			 const char *text);

/**
 * Sends a GET request to an entry's operator address.
 * @return the body, to be released with g_free(), or NULL if there was no
 *         answer or its HTTP status is 400 or above
 */
char *bw_ctl_get(bw_ctl_t *c, const char *address, const char *path);

/**
 * Sends an HTTP request to an entry or node.
 * @param body NULL for none
 * @param status receives the HTTP status, or 0 if none came
 * @param outcome receives BW_OK, BW_EUNAVAIL if nothing was sent, or BW_ELOST
 * @return the body, to be released with g_free(), or NULL if there was no
 *         answer
 */
char *bw_ctl_call(bw_ctl_t *c, const char *method, const char *address,
		  const char *path, const char *body, long *status,
		  bw_status_t *outcome);

/**
 * Reads a file or, for "-", standard input; prints an error message on failure.
 * @return the text, to be released with g_free(), or NULL
 */
char *bw_ctl_read_file(const char *path);

/** Prints the message of a failed call and returns its exit code. */
bw_exit_t bw_ctl_report_error(bw_status_t status);

/** Runs the event loop for @p ms milliseconds. */
void bw_ctl_sleep(bw_ctl_t *c, int64_t ms);

/**
 * Runs a command.
 * @param args arguments after the command's name, ending with NULL
 */
typedef bw_exit_t (*bw_ctl_fn)(bw_ctl_t *c, char **args);

/*
 * The commands; bramleyctl.c lists their names, arguments and minimum numbers
 * of arguments.
 */
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
bw_exit_t bw_ctl_tenant_show(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_wave_status(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_explain(bw_ctl_t *c, char **args);
bw_exit_t bw_ctl_events(bw_ctl_t *c, char **args);

#endif
