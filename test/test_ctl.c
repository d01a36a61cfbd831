/* Commands of bramleyctl on stored data that can't be read. */
#include "test.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "ctl/ctl.h"
#include "standin/anyport.h"
#include "table/table.h"

#define WORKER "w0"

/** A store with one key. */
typedef struct one_key_store {
	char key[32];
	const char *value;
	uint32_t writes;
	uint32_t writes_max; /**< Later ones are refused; 0: no limit. */
} one_key_store_t;

/* Answers at once, so the loop that is run next has nothing to wait for. */
static void range_one_key(void *impl, const char *prefix, bw_store_done_fn done,
			  void *ctx)
{
	one_key_store_t *store = impl;
	bw_store_kv_t kv = { .key = store->key,
			     .value = store->value,
			     .bytes = strlen(store->value),
			     .mod_revision = 7 };
	bw_store_reply_t reply = { .status = BW_OK, .kvs = &kv, .kv_count = 1 };

	assert_true(g_str_has_prefix(store->key, prefix));
	done(ctx, &reply);
}

static void count_write(void *impl, const bw_store_cas_t *cas,
			bw_store_done_fn done, void *ctx)
{
	one_key_store_t *store = impl;
	bw_store_reply_t reply = { .status = BW_OK, .succeeded = true };

	(void)cas;
	if (store->writes_max > 0 && store->writes >= store->writes_max)
		reply.status = BW_EUNAVAIL;
	else
		store->writes++;
	done(ctx, &reply);
}

static const bw_store_ops_t ops = { .range = range_one_key,
				    .cas = count_write };

/** The message that a command printed, and its exit code. */
typedef struct result {
	bw_exit_t code;
	char message[1024];
} result_t;

static result_t run_on_nodes(bw_store_t store, char **nodes, bw_ctl_fn command,
			     char **args)
{
	bw_ctl_t c = { .loop = ev_loop_new(0),
		       .store = store,
		       .prefix = (char *)"p",
		       .entries = nodes,
		       .timeout_ms = 300 };
	result_t result = { 0 };
	FILE *messages = tmpfile();
	int saved = dup(STDERR_FILENO);

	assert_non_null(messages);
	dup2(fileno(messages), STDERR_FILENO);
	result.code = command(&c, args);
	fflush(stderr);
	dup2(saved, STDERR_FILENO);
	close(saved);
	rewind(messages);
	assert_true(fread(result.message, 1, sizeof(result.message) - 1,
			  messages) < sizeof(result.message) - 1);
	fclose(messages);
	ev_loop_destroy(c.loop);
	return result;
}

static result_t run_on(bw_store_t store, bw_ctl_fn command, char **args)
{
	return run_on_nodes(store, NULL, command, args);
}

static result_t run_command(one_key_store_t *store, bw_ctl_fn command,
			    const char *arg)
{
	char *args[] = { (char *)arg, NULL };

	return run_on((bw_store_t){ &ops, store }, command, args);
}

static void set_up_unreadable_part(one_key_store_t *store)
{
	memset(store, 0, sizeof(*store));
	g_snprintf(store->key, sizeof(store->key), "p/workers/%02x",
		   bw_worker_part(WORKER));
	store->value = "{\"workers\":[{\"name\":\"" WORKER "\"}]}";
}

static result_t run_import(one_key_store_t *store, bw_ctl_fn command,
			   const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp("import-XXXXXX", &path, NULL);
	result_t result;

	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	result = run_command(store, command, path);
	unlink(path);
	g_free(path);
	return result;
}

static void test_import_overwrites_unreadable_part(void **state)
{
	static const char text[] =
		"{\"workers\":[{\"name\":\"" WORKER "\","
		"\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"pool\":\"p\"}]}";
	one_key_store_t store;
	result_t result;
	char *expected;

	(void)state;
	set_up_unreadable_part(&store);
	result = run_import(&store, bw_ctl_worker_import, text);
	assert_int_equal(result.code, BW_EXIT_INVALID);
	assert_int_equal(store.writes, 0);
	expected = g_strdup_printf("%s in the store can't be read",
				   store.key + strlen("p/"));
	assert_non_null(strstr(result.message, expected));
	g_free(expected);
}

/* The list is written in parts; that a later one is refused says nothing of
 * those before it. */
static void test_half_an_import_has_no_effect(void **state)
{
	static const char text[] =
		"{\"workers\":[{\"name\":\"w0\",\"address\":\"127.0.0.1:1\","
		"\"zone\":\"z\",\"pool\":\"p\"},{\"name\":\"w1\",\"address\":"
		"\"127.0.0.1:2\",\"zone\":\"z\",\"pool\":\"p\"}]}";
	one_key_store_t store;

	(void)state;
	assert_int_not_equal(bw_worker_part("w0"), bw_worker_part("w1"));
	set_up_unreadable_part(&store);
	store.value = "{\"workers\":[]}";
	store.writes_max = 1;
	assert_int_equal(run_import(&store, bw_ctl_worker_import, text).code,
			 BW_EXIT_UNKNOWN);
	assert_int_equal(store.writes, 1);
}

static void test_drain_takes_unreadable_part_as_empty(void **state)
{
	one_key_store_t store;
	result_t result;

	(void)state;
	set_up_unreadable_part(&store);
	result = run_command(&store, bw_ctl_worker_drain, WORKER);
	assert_null(strstr(result.message, "no worker"));
	assert_int_equal(result.code, BW_EXIT_INVALID);
	assert_int_equal(store.writes, 0);
}

static void test_import_overwrites_unreadable_table(void **state)
{
	static const char text[] =
		"{\"pools\":[],\"services\":[],\"cells\":[]}";
	one_key_store_t store = { .key = "p/table", .value = "{\"version\":8" };
	result_t result;

	(void)state;
	result = run_import(&store, bw_ctl_table_import, text);
	assert_int_equal(result.code, BW_EXIT_INVALID);
	assert_int_equal(store.writes, 0);
	assert_non_null(strstr(result.message, "stored table"));
}

static void test_history_takes_unreadable_table_as_empty(void **state)
{
	one_key_store_t store = { .key = "p/table", .value = "{\"version\":8" };
	result_t result;

	(void)state;
	result = run_command(&store, bw_ctl_table_history, NULL);
	assert_int_equal(result.code, BW_EXIT_INVALID);
	assert_non_null(strstr(result.message, "table"));
}

/* Edits whose answers are lost. */

#define ATTEMPTS_MAX 64

/** A store with one key that loses the answers to writes, and carries a write
 * out before the next one if its condition holds. */
typedef struct losing_store {
	const char *key;
	char *value;
	int64_t revision;
	uint32_t writes;
	uint32_t lost; /**< How many of the first writes get no answer. */
	uint32_t reads;
	uint32_t readable; /**< After so many reads the store is gone. */
	bool carries_out; /**< Or never does. */
	char *late; /**< Value of the last write without an answer. */
	int64_t late_revision; /**< That it expects. */
} losing_store_t;

static void losing_range(void *impl, const char *prefix, bw_store_done_fn done,
			 void *ctx)
{
	losing_store_t *store = impl;
	bw_store_kv_t kv = { .key = store->key,
			     .value = store->value,
			     .bytes = strlen(store->value),
			     .mod_revision = store->revision };
	bw_store_reply_t reply = { .kvs = &kv, .kv_count = 1 };

	(void)prefix;
	if (store->reads++ >= store->readable) {
		reply.status = BW_EUNAVAIL;
		reply.kv_count = 0;
	}
	done(ctx, &reply);
}

static bool write_if_expected(losing_store_t *store, const char *value,
			      int64_t expected)
{
	if (store->revision != expected)
		return false;
	g_free(store->value);
	store->value = g_strdup(value);
	store->revision++;
	return true;
}

static void losing_cas(void *impl, const bw_store_cas_t *cas,
		       bw_store_done_fn done, void *ctx)
{
	losing_store_t *store = impl;
	bw_store_reply_t reply = { .status = BW_OK };

	if (store->late && store->carries_out)
		write_if_expected(store, store->late, store->late_revision);
	g_clear_pointer(&store->late, g_free);
	if (store->writes++ < store->lost) {
		store->late = g_strdup(cas->value);
		store->late_revision = cas->mod_revision;
		reply.status = BW_ELOST;
	} else {
		reply.succeeded =
			write_if_expected(store, cas->value, cas->mod_revision);
	}
	done(ctx, &reply);
}

static const bw_store_ops_t losing_ops = { .range = losing_range,
					   .cas = losing_cas };

static const char table_text[] =
	"{\"version\":1,\"pools\":[{\"name\":\"a\"}],\"services\":"
	"[{\"name\":\"s\",\"prefix\":\"/s/\",\"wait_ms\":20000}],"
	"\"cells\":[{\"service\":\"s\",\"pool\":\"a\",\"weight\":10}]}";

static result_t set_cell(losing_store_t *store)
{
	char *args[] = { (char *)"s", (char *)"a", (char *)"20", NULL };

	store->key = "p/table";
	store->value = g_strdup(table_text);
	store->revision = 7;
	return run_on((bw_store_t){ &losing_ops, store }, bw_ctl_table_set,
		      args);
}

static void clear_store(losing_store_t *store)
{
	g_free(store->value);
	g_free(store->late);
}

/* The store carries out an edit whose answer was lost when that is repeated,
 * which then fails at it. */
static void test_edit_conflicts_with_its_own_copy(void **state)
{
	losing_store_t store = { .lost = 1,
				 .readable = ATTEMPTS_MAX,
				 .carries_out = true };
	result_t result;

	(void)state;
	result = set_cell(&store);
	assert_int_equal(store.writes, 2);
	assert_int_equal(result.code, BW_EXIT_OK);
	assert_int_equal(store.revision, 8);
	clear_store(&store);
}

static void test_edit_without_any_answer_is_done(void **state)
{
	losing_store_t store = { .lost = ATTEMPTS_MAX,
				 .readable = ATTEMPTS_MAX };
	result_t result;

	(void)state;
	result = set_cell(&store);
	assert_int_equal(store.revision, 7);
	assert_int_equal(result.code, BW_EXIT_UNKNOWN);
	clear_store(&store);
}

/* That the store is gone by the second attempt says nothing of the first. */
static void test_edit_in_doubt_has_no_effect(void **state)
{
	losing_store_t store = { .lost = 1, .readable = 2 };
	result_t result;

	(void)state;
	result = set_cell(&store);
	assert_int_equal(store.writes, 1);
	assert_int_equal(result.code, BW_EXIT_UNKNOWN);
	clear_store(&store);
}

/* Drains a worker; the store can be read once. */
static result_t drain_once(losing_store_t *store)
{
	char *args[] = { (char *)WORKER, NULL };
	char key[32];
	result_t result;

	g_snprintf(key, sizeof(key), "p/workers/%02x", bw_worker_part(WORKER));
	store->key = key;
	store->readable = 1;
	store->revision = 7;
	store->value =
		g_strdup("{\"workers\":[{\"name\":\"" WORKER "\",\"address\":"
			 "\"127.0.0.1:1\",\"zone\":\"z\",\"pool\":\"a\"}]}");
	result = run_on((bw_store_t){ &losing_ops, store }, bw_ctl_worker_drain,
			args);
	assert_int_equal(store->writes, 1);
	return result;
}

static void test_drain_in_doubt_has_no_effect(void **state)
{
	losing_store_t store = { .lost = 1 };

	(void)state;
	assert_int_equal(drain_once(&store).code, BW_EXIT_UNKNOWN);
	clear_store(&store);
}

static void test_drain_that_was_written_has_no_effect(void **state)
{
	losing_store_t store = { .lost = 0 };

	(void)state;
	assert_int_equal(drain_once(&store).code, BW_EXIT_UNKNOWN);
	assert_int_equal(store.revision, 8);
	clear_store(&store);
}

/* Commands for nodes of which one does not answer. */

/** Addresses of nodes: one that takes requests and never answers, and one that
 * refuses connections. */
typedef struct nodes {
	int silent_fd;
	char silent[32];
	bw_anyport_t refusing;
} nodes_t;

static void set_up_nodes(nodes_t *n)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	n->silent_fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(n->silent_fd, (struct sockaddr *)&address, bytes),
			 0);
	assert_int_equal(listen(n->silent_fd, 4), 0);
	getsockname(n->silent_fd, (struct sockaddr *)&address, &bytes);
	g_snprintf(n->silent, sizeof(n->silent), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	assert_int_equal(bw_anyport_reserve("127.0.0.1", &n->refusing), BW_OK);
}

static void tear_down_nodes(nodes_t *n)
{
	close(n->silent_fd);
	bw_anyport_release(&n->refusing);
}

/* Answers one request as refused, after which it takes none. */
static gpointer refuse_one(gpointer data)
{
	static const char answer[] = "HTTP/1.1 503 Service Unavailable\r\n"
				     "Content-Length: 2\r\n\r\n{}";
	int fd = accept(GPOINTER_TO_INT(data), NULL, NULL);
	char buffer[1024];

	assert_true(read(fd, buffer, sizeof(buffer)) > 0);
	assert_int_equal(write(fd, answer, strlen(answer)), strlen(answer));
	close(fd);
	return NULL;
}

/* What a node can't do, or refuses, says nothing of what the one before it did,
 * which got the request and did not answer. */
static void test_cancel_in_doubt_has_no_effect(void **state)
{
	static const bw_store_t none = { 0 };
	char *args[] = { (char *)"q", (char *)"00000000000000aa", NULL };
	nodes_t n;
	nodes_t other;
	char *nodes[] = { n.silent, n.refusing.address, NULL };
	char *refusing[] = { n.refusing.address, NULL };
	GThread *thread;

	(void)state;
	set_up_nodes(&n);
	assert_int_equal(
		run_on_nodes(none, nodes, bw_ctl_job_cancel, args).code,
		BW_EXIT_UNKNOWN);
	assert_int_equal(
		run_on_nodes(none, refusing, bw_ctl_job_cancel, args).code,
		BW_EXIT_UNAVAILABLE);
	/* A question has no effect. */
	assert_int_equal(run_on_nodes(none, nodes, bw_ctl_job_show, args).code,
			 BW_EXIT_UNAVAILABLE);
	set_up_nodes(&other);
	nodes[1] = other.silent;
	thread = g_thread_new("node", refuse_one,
			      GINT_TO_POINTER(other.silent_fd));
	assert_int_equal(
		run_on_nodes(none, nodes, bw_ctl_job_cancel, args).code,
		BW_EXIT_UNKNOWN);
	g_thread_join(thread);
	tear_down_nodes(&other);
	tear_down_nodes(&n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_import_overwrites_unreadable_part),
		cmocka_unit_test(test_half_an_import_has_no_effect),
		cmocka_unit_test(test_drain_takes_unreadable_part_as_empty),
		cmocka_unit_test(test_import_overwrites_unreadable_table),
		cmocka_unit_test(test_history_takes_unreadable_table_as_empty),
		cmocka_unit_test(test_edit_conflicts_with_its_own_copy),
		cmocka_unit_test(test_edit_without_any_answer_is_done),
		cmocka_unit_test(test_edit_in_doubt_has_no_effect),
		cmocka_unit_test(test_drain_in_doubt_has_no_effect),
		cmocka_unit_test(test_drain_that_was_written_has_no_effect),
		cmocka_unit_test(test_cancel_in_doubt_has_no_effect),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
