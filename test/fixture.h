/**
 * @file
 * One entry in this process with a store stand-in and a backend server that
 * sends whatever bytes a test wants.
 */
#ifndef BW_TEST_FIXTURE_H
#define BW_TEST_FIXTURE_H

#include <ev.h>
#include <glib.h>

#include "conf/settings.h"
#include "node/node.h"
#include "standin/kv.h"

/** How the scripted backend server answers one path. */
typedef struct script {
	const char *path; /**< Substring of the request line. */
	const char *answer; /**< Bytes to send, or NULL to close at once. */
	size_t answer_bytes; /**< 0: strlen(answer). */
	const char *delayed; /**< Bytes sent some time after the answer. */
	bool close_after;
} script_t;

typedef struct fixture {
	struct ev_loop *loop;
	bw_standin_kv_t *kv;
	bw_node_t *node;
	bw_settings_t settings;
	const script_t *scripts;
	size_t script_count;
	int listen_fd;
	ev_io accept;
	GPtrArray *servers;
	bool stop_after_request; /**< Stops the entry at the next request. */
	uint32_t requests; /**< Requests that reached the server. */
} fixture_t;

/** Starts everything; the entry is ready unless @p with_table is false. */
fixture_t *fixture_create(const script_t *scripts, size_t count,
			  bool with_table);

/** Ends everything. */
void fixture_destroy(fixture_t *f);

/**
 * Sends a raw request to the entry and reads until it closes the connection.
 * @return the raw answer, to be freed with g_string_free(), or NULL when it did
 *         not close in time
 */
GString *fixture_exchange(fixture_t *f, const char *request, size_t bytes);

/** Status code of a raw answer. */
int fixture_answer_status(const GString *answer);

/** Body of a raw answer. */
const char *fixture_answer_body(const GString *answer);

/** Lets the loop run for a while. */
void fixture_run(fixture_t *f, double seconds);

#endif
