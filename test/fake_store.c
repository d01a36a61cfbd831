#include "fake_store.h"

#include <glib.h>

#include "base/clock.h"
#include "job/job.h"

static void answer_call(fake_store_t *f, bw_store_done_fn done, void *ctx)
{
	bw_store_kv_t kv = { .key = f->key ? f->key : "k",
			     .value = f->value ? f->value : "",
			     .bytes = f->value_bytes,
			     .mod_revision = f->absent ? 0 : 1 };
	bw_store_reply_t reply = { .status = f->results[f->calls],
				   .succeeded = f->succeeded[f->calls],
				   .lease_id = 1,
				   .ttl_ms = f->lease_ttl_ms,
				   .kvs = &kv,
				   .kv_count = 1 };

	f->calls++;
	done(ctx, &reply);
}

static void fake_txn(void *impl, const bw_store_txn_t *txn,
		     bw_store_done_fn done, void *ctx)
{
	fake_store_t *f = impl;

	f->expects = txn->expect_count;
	f->writes = txn->write_count;
	g_strlcpy(f->first_key, txn->write_count ? txn->writes[0].key : "", 64);
	if (f->hold) {
		f->hold = false;
		f->held_done = done;
		f->held_ctx = ctx;
		return;
	}
	answer_call(f, done, ctx);
}

void fake_answer_held(fake_store_t *f)
{
	bw_store_done_fn done = f->held_done;

	f->held_done = NULL;
	answer_call(f, done, f->held_ctx);
}

static void fake_get(void *impl, const char *key, bw_store_done_fn done,
		     void *ctx)
{
	(void)key;
	answer_call(impl, done, ctx);
}

static void fake_lease_grant(void *impl, int64_t ttl_ms, bw_store_done_fn done,
			     void *ctx)
{
	fake_store_t *f = impl;

	f->lease_ttl_ms = ttl_ms;
	answer_call(f, done, ctx);
}

const bw_store_ops_t fake_ops = { .txn = fake_txn,
				  .get = fake_get,
				  .lease_grant = fake_lease_grant };

void ignore_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

const char *no_owner(void *ctx, const char *pool)
{
	(void)ctx;
	(void)pool;
	return NULL;
}

void no_answer(void *ctx, const char *pool, const char *job, const char *queue,
	       bw_fleet_query_answer_t *out)
{
	(void)ctx;
	(void)pool;
	(void)job;
	(void)queue;
	(void)out;
}

uint8_t *record_of_age(int64_t age_ms, size_t *bytes)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = bw_clock_wall_ms() - age_ms,
				   .spec = bw_job_spec_new(1) };
	uint8_t *data;

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = 1;
	data = bw_job_record_pack(&record, bytes);
	bw_job_record_clear(&record);
	return data;
}
