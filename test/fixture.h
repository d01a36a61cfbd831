/**
 * @file
 * Runs one entry in the process of a test, with a stand-in for the store and a
 * backend server that sends the bytes that the test gives.
 */
#ifndef BW_TEST_FIXTURE_H
#define BW_TEST_FIXTURE_H

#include <ev.h>
#include <glib.h>

#include "conf/settings.h"
#include "node/node.h"
#include "standin/anyport.h"
#include "standin/kv.h"

/** Answer of the backend server to the requests for one path. */
typedef struct script {
	const char *path; /**< Substring of the request line. */
	const char *answer; /**< Bytes to send; NULL: closes at once. */
	size_t answer_bytes; /**< 0: strlen(answer). */
	const char *delayed; /**< Bytes sent 50 ms after the answer, or NULL. */
	bool close_after; /**< Closes the connection after the answer. */
} script_t;

/** An entry and what it needs. */
typedef struct fixture {
	struct ev_loop *loop;
	bw_anyport_t store;
	bw_anyport_t server; /**< The backend server. */
	bw_anyport_t callers;
	bw_anyport_t peers;
	bw_anyport_t operators;
	bw_standin_kv_t *kv;
	bw_node_t *node;
	bw_settings_t settings;
	const script_t *scripts;
	size_t script_count;
	int listen_fd;
	ev_io accept;
	GPtrArray *connections; /**< Of the backend server. */
	bool stop_after_request; /**< Stops the entry at the next request. */
	bool end_after_request; /**< Ends the backend server at the next one. */
	uint32_t requests; /**< Requests that reached the backend server. */
} fixture_t;

/**
 * Starts the store, the backend server and the entry.
 * @param with_table whether a table and a worker are stored first; without them
 *        the entry does not become ready
 */
fixture_t *fixture_create(const script_t *scripts, size_t count,
			  bool with_table);

/** The same with a table, and with a view in the store that others wrote. */
fixture_t *fixture_create_with_view(const char *view);

/** Returns the view in the store, or NULL; release with g_free(). */
char *fixture_view(fixture_t *f);

/** Stops and releases everything that fixture_create() started. */
void fixture_destroy(fixture_t *f);

/**
 * Sends a raw request to the entry and reads until it closes the connection.
 * @return the raw answer, to be released with g_string_free(), or NULL if the
 *         connection stayed open for 30 s
 */
GString *fixture_exchange(fixture_t *f, const char *request, size_t bytes);

/** Returns the status code of a raw answer, or 0 if it is malformed. */
int fixture_answer_status(const GString *answer);

/** Returns the body of a raw answer. */
const char *fixture_answer_body(const GString *answer);

/** Runs the event loop for a time. */
void fixture_run(fixture_t *f, double seconds);

#endif
