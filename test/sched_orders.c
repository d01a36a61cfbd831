#include "sched_orders.h"

#include "test.h"

#include <string.h>

#include <glib.h>

static bool is_question(const orders_t *o, const bw_start_order_t *order)
{
	return o->held_on && !strcmp(order->worker, o->held_on) &&
	       order->run == 1 && !strcmp(order->task.job, JOB_A);
}

static void on_start(void *ctx, const bw_start_order_t *order)
{
	orders_t *o = ctx;

	if (is_question(o, order)) {
		o->question_count++;
		return;
	}
	assert_true(o->start_count < ORDERS_MAX);
	o->starts[o->start_count].task = order->task;
	o->starts[o->start_count].run = order->run;
	o->starts[o->start_count].answer_ms = order->answer_ms;
	g_strlcpy(o->starts[o->start_count].checkpoint,
		  order->checkpoint ? order->checkpoint : "", 16);
	o->heartbeats_at_start = o->heartbeat_count;
	o->stops_at_start = o->stop_count;
	g_strlcpy(o->starts[o->start_count++].worker, order->worker, 16);
}

static void on_stop(void *ctx, const bw_run_order_t *order)
{
	orders_t *o = ctx;

	assert_true(o->stop_count < ORDERS_MAX);
	o->stops[o->stop_count].task = order->task;
	o->stops[o->stop_count].run = order->run;
	o->stops[o->stop_count].answer_ms = order->answer_ms;
	g_strlcpy(o->stops[o->stop_count++].worker, order->worker, 16);
}

static void on_throttle(void *ctx, const bw_run_order_t *order)
{
	(void)ctx;
	(void)order;
}

static void on_heartbeat(void *ctx, const bw_heartbeat_order_t *order)
{
	orders_t *o = ctx;

	o->grant_clock_ms = order->grant_clock_ms;
	o->acked = order->acked;
	o->fence = order->fence;
	o->same_boot = order->same_boot;
	o->heartbeat_wait_ms = order->wait_ms;
	o->heartbeat_answer_ms = order->answer_ms;
	o->heartbeat_count++;
	/* Numbers and times of a boot must not reach the next one. */
	if (!o->keeps_no_connection)
		assert_int_equal(o->same_boot,
				 o->acked > 0 || o->grant_clock_ms > 0);
}

static void on_advise(void *ctx, const bw_task_name_t *step,
		      const char *const *workers, uint32_t count)
{
	orders_t *o = ctx;
	uint32_t i;

	(void)step;
	assert_true(count <= ADVISED_MAX);
	o->advice_calls++;
	o->advice_count = count;
	for (i = 0; i < count; i++)
		g_strlcpy(o->advised[i], workers[i], 16);
}

static void on_superseded(void *ctx)
{
	((orders_t *)ctx)->superseded++;
}

const bw_sched_ops_t orders_ops = {
	.start = on_start,
	.stop = on_stop,
	.throttle = on_throttle,
	.heartbeat = on_heartbeat,
	.advise = on_advise,
	.superseded = on_superseded,
};

static void begin(orders_t *o, int64_t confirm_ms, double remote_factor)
{
	bw_sched_config_t config = { .grant_ms = 5000,
				     .grant_ms_max = 5000,
				     .grant_cap_ms = 10000,
				     .outage_ms = 3500,
				     .stop_ms = 400,
				     .retention_ms = 120000,
				     .removed_ms = 30000,
				     .confirm_ms = confirm_ms,
				     .remote_factor = remote_factor,
				     .fence = 7 };
	bw_queue_config_t queue = { "q", { 0, 3, 1.6, 600, false } };

	memset(o, 0, sizeof(*o));
	o->now_ms = 1000;
	o->remote_factor = remote_factor;
	o->sched = bw_sched_create(&config, &orders_ops, o, o->now_ms);
	bw_sched_set_queue(o->sched, &queue);
}

void orders_begin_confirming(orders_t *o, int64_t confirm_ms)
{
	begin(o, confirm_ms, 0.0);
}

void orders_begin_remote(orders_t *o, double remote_factor)
{
	begin(o, 0, remote_factor);
}

void orders_begin(orders_t *o)
{
	orders_begin_confirming(o, 0);
}

void orders_add_worker_with(orders_t *o, const char *id, int64_t cpu_millis)
{
	bw_worker_info_t info = { .id = id,
				  .address = "10.0.0.1:1",
				  .capacity = { cpu_millis, 8000, 0 },
				  .machine = id,
				  .started_ms = 5 };

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

void orders_add_worker(orders_t *o, const char *id)
{
	orders_add_worker_with(o, id, 8000);
}

void orders_register_boot(orders_t *o, int64_t started_ms)
{
	bw_worker_info_t info = { .id = "w1",
				  .address = "10.0.0.1:1",
				  .capacity = { 8000, 8000, 0 },
				  .machine = "w1",
				  .started_ms = started_ms };

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

void orders_answer_heartbeat(orders_t *o, const char *id,
			     const bw_run_row_t *runs, uint32_t run_count,
			     const bw_end_row_t *ends, uint32_t end_count)
{
	orders_answer_as_boot(o, id, 5, runs, run_count, ends, end_count);
}

void orders_answer_as_boot(orders_t *o, const char *id, int64_t started_ms,
			   const bw_run_row_t *runs, uint32_t run_count,
			   const bw_end_row_t *ends, uint32_t end_count)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = o->now_ms,
					 .clock_ms = o->now_ms + 100,
					 .started_ms = started_ms,
					 .runs = runs,
					 .run_count = run_count,
					 .ends = ends,
					 .end_count = end_count };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, id, &answer);
}

void orders_answer_boot(orders_t *o, const orders_boot_t *boot)
{
	bw_heartbeat_answer_t answer = {
		.result = BW_ORDER_OK,
		.sent_ms = o->now_ms,
		.clock_ms = boot->clock_ms,
		.started_ms = boot->started_ms,
		.runs = boot->runs,
		.run_count = boot->run_count,
		.ends = boot->ends,
		.end_count = boot->end_count,
	};

	bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1", &answer);
}

void orders_fail_heartbeat(orders_t *o, const char *id)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_LOST };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, id, &answer);
}

void orders_succeed(orders_t *before, orders_t *o)
{
	size_t bytes;
	uint8_t *data = bw_sched_pack(before->sched, &bytes);

	bw_sched_destroy(before->sched);
	orders_begin_remote(o, before->remote_factor);
	assert_int_equal(bw_sched_load(o->sched, o->now_ms, data, bytes),
			 BW_OK);
	g_free(data);
}

void orders_save(orders_t *o)
{
	size_t bytes;
	uint64_t version = bw_sched_version(o->sched);

	g_free(bw_sched_pack(o->sched, &bytes));
	bw_sched_saved(o->sched, o->now_ms, version);
}

void orders_run(orders_t *o, int64_t ms)
{
	o->now_ms += ms;
	bw_sched_run(o->sched, o->now_ms, o->now_ms);
}

void orders_add_job(orders_t *o, const char *id, uint32_t tasks, bool lasting,
		    int64_t cpu_millis, uint32_t estimate_ms)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1) };

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = tasks;
	record.spec->steps[0].lasting = lasting;
	record.spec->steps[0].away_max = 1;
	record.spec->steps[0].need.cpu_millis = cpu_millis;
	record.spec->steps[0].estimate_ms = estimate_ms;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, id, &record);
	bw_job_record_clear(&record);
}

void orders_begin_with_worker(orders_t *o)
{
	orders_begin(o);
	orders_add_worker(o, "w1");
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_save(o);
	orders_run(o, 10);
}

void orders_answer_questions(orders_t *o, bw_order_result_t result)
{
	bw_task_name_t task = { .job = JOB_A };

	while (o->questions_answered < o->question_count) {
		o->questions_answered++;
		bw_sched_start_answered(o->sched, o->now_ms, o->held_on, &task,
					1, result, o->now_ms + 100);
	}
}

void orders_init_lasting_row(bw_run_row_t *row, uint32_t index)
{
	memset(row, 0, sizeof(*row));
	g_strlcpy(row->task.job, JOB_A, sizeof(row->task.job));
	row->task.index = index;
	row->run = 1;
	row->checkpoint = "";
	row->progress = 100;
}
