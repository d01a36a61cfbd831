/* An entry's session with a store that answers when the test says so. */
#include "test.h"

#include <ev.h>
#include <glib.h>

#include "node/session.h"

#define LEASE_ID 41

typedef struct session_test {
	struct ev_loop *loop;
	bw_store_t store;
	bw_session_t *session;
	bw_store_done_fn granted; /**< Of the grant in progress. */
	void *granted_ctx;
	int64_t revoked_lease_id;
	bw_store_done_fn revoked;
	void *revoked_ctx;
	uint32_t left; /**< Ends of bw_session_leave(). */
} session_test_t;

static void store_range(void *impl, const char *prefix, bw_store_done_fn done,
			void *ctx)
{
	(void)impl;
	(void)prefix;
	(void)done;
	(void)ctx;
}

static void store_lease_grant(void *impl, int64_t ttl_ms, bw_store_done_fn done,
			      void *ctx)
{
	session_test_t *t = impl;

	(void)ttl_ms;
	t->granted = done;
	t->granted_ctx = ctx;
}

static void store_lease_revoke(void *impl, int64_t lease_id,
			       bw_store_done_fn done, void *ctx)
{
	session_test_t *t = impl;

	t->revoked_lease_id = lease_id;
	t->revoked = done;
	t->revoked_ctx = ctx;
}

static const bw_store_ops_t store_ops = {
	.range = store_range,
	.lease_grant = store_lease_grant,
	.lease_revoke = store_lease_revoke,
};

static void on_left(void *ctx)
{
	((session_test_t *)ctx)->left++;
}

static int setup(void **state)
{
	static const bw_session_ops_t ops = { 0 };
	static const bw_session_config_t config = {
		.prefix = "/p", .name = "e", .value = "{}", .lease_ms = 1000
	};
	session_test_t *t = g_new0(session_test_t, 1);

	t->loop = ev_loop_new(0);
	t->store = (bw_store_t){ &store_ops, t };
	t->session = bw_session_create(t->loop, &config, &t->store, &ops, t);
	*state = t;
	return 0;
}

static int teardown(void **state)
{
	session_test_t *t = *state;

	bw_session_destroy(t->session);
	ev_loop_destroy(t->loop);
	g_free(t);
	return 0;
}

static void answer_grant(session_test_t *t, bw_status_t status)
{
	bw_store_reply_t reply = { .status = status, .lease_id = LEASE_ID };

	t->granted(t->granted_ctx, &reply);
}

/* Peers wait for the end of such a lease before they go on without the entry.
 */
static void test_lease_granted_after_leaving_stays(void **state)
{
	session_test_t *t = *state;
	bw_store_reply_t reply = { .status = BW_OK };

	bw_session_leave(t->session, on_left, t);
	answer_grant(t, BW_OK);
	assert_int_equal(t->revoked_lease_id, LEASE_ID);
	assert_int_equal(t->left, 0);
	t->revoked(t->revoked_ctx, &reply);
	assert_int_equal(t->left, 1);
}

static void test_leaving_waits_for_a_grant_that_failed(void **state)
{
	session_test_t *t = *state;

	bw_session_leave(t->session, on_left, t);
	answer_grant(t, BW_EUNAVAIL);
	assert_int_equal(t->revoked_lease_id, 0);
	assert_int_equal(t->left, 1);
}

static void test_leaving_without_a_lease_waits(void **state)
{
	session_test_t *t = *state;

	answer_grant(t, BW_EUNAVAIL);
	bw_session_leave(t->session, on_left, t);
	assert_int_equal(t->left, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_lease_granted_after_leaving_stays, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_leaving_waits_for_a_grant_that_failed, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_leaving_without_a_lease_waits, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
