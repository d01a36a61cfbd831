/*
 * How an entry's costs grow with the size of what it handles. Each cost is
 * measured at four or more sizes and fitted by a line; the lines give the costs
 * at the design size, which are compared with budgets. Times are processor time
 * of this process.
 */
#include <inttypes.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "util.h"
#include "member/view.h"
#include "once/once.h"
#include "place/place.h"
#include "place/share.h"
#include "wire/frame.h"

#define SIZES_MAX 6
#define ZONES	  8
#define SPILLS	  4
#define REPEATS	  3

/* Design size, from the users' requirements. */
#define DESIGN_WORKERS		7900.0
#define DESIGN_POOLS		51
#define DESIGN_CHANGES_DAY	5800.0
#define DESIGN_FAILURES_DAY	79.0
#define DESIGN_RESTARTS_DAY	1800.0
#define DESIGN_DAYS_TO_MAINTAIN 14.0
#define DAY_S			86400.0

/* Load at the design size: share of slots in use, seconds of a request. */
#define SLOT_USE  0.6
#define SERVICE_S 0.1
/* An entry handles this rate with about a third of a core. */
#define ENTRY_REQUESTS_S   5000.0
#define HEARTBEAT_S	   1.0
#define LEASE_S		   5.0
#define RENEWALS_PER_LEASE 4.0
#define TICKS_S		   200.0
#define TCP_OVERHEAD_BYTES 66.0
#define KEYS_S_ENTRY	   500.0
#define KEY_WINDOW_S	   600.0
/* Highest rate of an entry in bench_surge, with nine entries. */
#define LOAN_MESSAGES_S	   141.0
#define LOAN_MESSAGE_BYTES 45.0

/** One cost at several sizes, and the line fitted to it. */
typedef struct series {
	const char *name;
	const char *unit;
	double size[SIZES_MAX];
	double cost[SIZES_MAX];
	int count;
	double slope;
	double intercept;
	double residual; /**< Largest one, relative to the largest cost. */
} series_t;

/* Fits a line by least squares and prints the points and the line. */
static void fit_line(series_t *s)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, largest = 0;
	int i;

	for (i = 0; i < s->count; i++) {
		sx += s->size[i];
		sy += s->cost[i];
		sxx += s->size[i] * s->size[i];
		sxy += s->size[i] * s->cost[i];
		largest = MAX(largest, s->cost[i]);
	}
	s->slope = (s->count * sxy - sx * sy) / (s->count * sxx - sx * sx);
	s->intercept = (sy - s->slope * sx) / s->count;
	for (i = 0; i < s->count; i++) {
		double fitted = s->intercept + s->slope * s->size[i];

		s->residual = MAX(s->residual, fabs(fitted - s->cost[i]) /
						       MAX(largest, 1e-12));
	}
	for (i = 0; i < s->count; i++)
		printf("%s,%.0f,%.6g\n", s->name, s->size[i], s->cost[i]);
	printf("# %s: %.6g + %.6g * size (%s), residual %.1f%%\n", s->name,
	       s->intercept, s->slope, s->unit, s->residual * 100);
}

/* Returns the cost at a size; a negative intercept counts as 0. */
static double predict(const series_t *s, double size)
{
	return MAX(s->intercept, 0.0) + s->slope * size;
}

static void add_point(series_t *s, double size, double cost)
{
	s->size[s->count] = size;
	s->cost[s->count] = cost;
	s->count++;
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void ignore_start(void *ctx, bw_place_request_t *r)
{
	(void)ctx;
	(void)r;
}

static void ignore_refusal(void *ctx, bw_place_request_t *r, bw_refusal_t why,
			   int64_t retry_after_us)
{
	(void)ctx;
	(void)r;
	(void)why;
	(void)retry_after_us;
}

static void ignore_message(void *ctx, uint64_t peer, const bw_place_msg_t *msg)
{
	(void)ctx;
	(void)peer;
	(void)msg;
}

static const bw_place_ops_t ignore_ops = { .start = ignore_start,
					   .refuse = ignore_refusal,
					   .send = ignore_message };

static bw_place_t *create_place(uint32_t workers, uint32_t pools,
				bw_counters_t *counters, bw_table_t **table,
				bw_workers_t **list)
{
	bw_place_config_t config = { .self = bw_name_id("entry-0"),
				     .zone = "zone-0",
				     .run_max_us = 10000000,
				     .seed = 1 };

	*table = bench_make_table(pools, SPILLS);
	*list = bench_make_workers(*table, workers, ZONES);
	return bw_place_create(&config, &ignore_ops, NULL, counters);
}

/*
 * Change of one VM: time to parse its part of the worker list and apply the
 * list, memory in use, bytes of the part; and the time of a tick.
 */
static void measure_configuration(series_t *cpu, series_t *memory,
				  series_t *bytes, series_t *tick)
{
	static const uint32_t sizes[] = { 494, 987, 1975, 3950, 7900 };
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint32_t pools = MAX(5, sizes[i] * DESIGN_POOLS / 7900);
		bw_counters_t counters = { { 0 } };
		bw_findings_t *findings = bw_findings_create("bench");
		bw_workers_t *worker_part;
		bw_workers_t *list;
		bw_table_t *table;
		size_t heap = heap_bytes();
		bw_place_t *p;
		char *text;
		double start_s;
		uint64_t self = bw_name_id("entry-0");

		p = create_place(sizes[i], pools, &counters, &table, &list);
		bw_workers_destroy(list);
		list = bench_make_workers(table, sizes[i], ZONES);
		worker_part = bw_workers_select_part(list, 0);
		text = bw_workers_format(worker_part);
		add_point(bytes, sizes[i], (double)strlen(text));
		bw_workers_destroy(worker_part);
		start_s = bench_cpu_time_s();
		for (k = 0; k < REPEATS; k++) {
			worker_part =
				bw_workers_parse(text, strlen(text), findings);
			bw_place_configure(p, table, list, k);
			bw_workers_destroy(worker_part);
		}
		add_point(cpu, sizes[i],
			  (bench_cpu_time_s() - start_s) / REPEATS * 1e3);
		bw_place_set_view(p, 1, &self, 1, 10);
		bw_place_tick(p, 20);
		add_point(memory, sizes[i],
			  (double)(heap_bytes() - heap) / 1048576.0);
		start_s = bench_cpu_time_s();
		for (k = 0; k < 20000; k++)
			bw_place_tick(p, 5000 * (k + 1));
		add_point(tick, sizes[i],
			  (bench_cpu_time_s() - start_s) / 20000 * 1e6);
		free(text);
		bw_workers_destroy(list);
		bw_table_destroy(table);
		bw_place_destroy(p);
		bw_findings_destroy(findings);
	}
}

/* Change of view: divides the slots of all workers among all entries. */
static void measure_view_change(series_t *cpu)
{
	static const uint32_t sizes[] = { 9, 18, 36, 72, 144 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bw_counters_t counters = { { 0 } };
		bw_workers_t *list;
		bw_table_t *table;
		bw_place_t *p = create_place(7900, DESIGN_POOLS, &counters,
					     &table, &list);
		uint64_t *members = g_new0(uint64_t, sizes[i]);
		double start_s;
		uint32_t k;

		for (k = 0; k < sizes[i]; k++) {
			char name[24];

			g_snprintf(name, sizeof(name), "entry-%u", k);
			members[k] = bw_name_id(name);
		}
		bw_place_configure(p, table, list, 0);
		start_s = bench_cpu_time_s();
		for (k = 1; k <= REPEATS; k++)
			bw_place_set_view(p, k, members, sizes[i], k);
		add_point(cpu, sizes[i],
			  (bench_cpu_time_s() - start_s) / REPEATS * 1e3);
		g_free(members);
		bw_table_destroy(table);
		bw_workers_destroy(list);
		bw_place_destroy(p);
	}
}

/* Heartbeats sent to and received from all other entries in one interval. */
static void measure_heartbeats(series_t *cpu, series_t *bytes)
{
	static const uint32_t sizes[] = { 9, 18, 36, 72, 144 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bw_view_config_t config = { .name = "entry-0",
					    .address = "a",
					    .lease_us = 5000000,
					    .promise_us = 5000000,
					    .store_outage_max_us = 3600000000 };
		bw_view_t *v = bw_view_create(&config);
		bw_member_t *members = g_new0(bw_member_t, sizes[i]);
		GString *out = g_string_new(NULL);
		uint64_t *ids = g_new0(uint64_t, sizes[i]);
		double start_s;
		uint32_t k;
		uint32_t round;

		for (k = 0; k < sizes[i]; k++) {
			members[k].name = g_strdup_printf("entry-%u", k);
			members[k].address = g_strdup("127.0.0.1:7070");
			ids[k] = bw_name_id(members[k].name);
		}
		bw_view_adopt(v, 1, members, sizes[i], 0);
		start_s = bench_cpu_time_s();
		for (round = 1; round <= 200; round++) {
			g_string_truncate(out, 0);
			for (k = 1; k < sizes[i]; k++) {
				Bramley__Heartbeat heartbeat =
					BRAMLEY__HEARTBEAT__INIT;
				Bramley__Frame frame = BRAMLEY__FRAME__INIT;
				Bramley__Frame *decoded;
				bw_view_heartbeat_t b;
				gsize offset = out->len;
				size_t used;

				bw_view_make_heartbeat(v, ids[k],
						       round * 1000000, &b);
				heartbeat.epoch = b.epoch;
				heartbeat.stamp_us = 1000000000000 + round;
				heartbeat.echo_us = 1000000000000 + round;
				heartbeat.promise = true;
				heartbeat.known = 100000;
				frame.body_case =
					BRAMLEY__FRAME__BODY_HEARTBEAT;
				frame.heartbeat = &heartbeat;
				bw_frame_write(out, &frame);
				bw_frame_read((uint8_t *)out->str + offset,
					      out->len - offset, &used,
					      &decoded);
				b.promise = true;
				bw_view_handle_heartbeat(v, ids[k], &b,
							 round * 1000000);
				bramley__frame__free_unpacked(decoded, NULL);
			}
			bw_view_active(v);
			bw_view_owner_valid(v, round * 1000000);
		}
		add_point(cpu, sizes[i],
			  (bench_cpu_time_s() - start_s) / 200 * 1e3);
		add_point(bytes, sizes[i],
			  (double)out->len +
				  (sizes[i] - 1) * TCP_OVERHEAD_BYTES);
		for (k = 0; k < sizes[i]; k++) {
			g_free(members[k].name);
			g_free(members[k].address);
		}
		g_free(members);
		g_free(ids);
		g_string_free(out, TRUE);
		bw_view_destroy(v);
	}
}

static void ignore_verdict(void *ctx, uint64_t claimant,
			   const bw_once_msg_t *msg)
{
	(void)ctx;
	(void)claimant;
	(void)msg;
}

/* An owner's record: memory of the keys in its window, time of their claims. */
static void measure_keys(series_t *memory, series_t *cpu)
{
	static const uint32_t sizes[] = { 25000, 50000, 100000, 200000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint64_t self = 1;
		bw_once_config_t config = { .self = self,
					    .key_window_ms = 600000,
					    .clock_skew_ms = 10 };
		size_t heap = heap_bytes();
		bw_once_t *o = bw_once_create(&config, ignore_verdict, NULL);
		double start_s = bench_cpu_time_s();
		uint32_t k;

		bw_once_set_view(o, 1, &self, 1);
		bw_once_activate(o, 1, 0);
		for (k = 0; k < sizes[i]; k++) {
			bw_once_msg_t msg = { .type = BW_ONCE_MSG_CLAIM,
					      .key = k * 2654435761U + 1,
					      .claim = k,
					      .issued_ms = 1000 + k / 100 };

			bw_once_claim(o, 2, &msg, false, 1000 + k / 100);
			msg.type = BW_ONCE_MSG_RESULT;
			bw_once_result(o, 2, &msg, 1000 + k / 100);
		}
		add_point(cpu, sizes[i], (bench_cpu_time_s() - start_s) * 1e3);
		add_point(memory, sizes[i],
			  (double)(heap_bytes() - heap) / 1048576.0);
		bw_once_destroy(o);
	}
}

/*
 * Model of one step of a maintenance wave, which the entry does not implement:
 * sums the slots of each pool, zone and rack, as needed to choose workers that
 * may be down together.
 */
static void model_wave_step(series_t *cpu)
{
	static const uint32_t sizes[] = { 494, 987, 1975, 3950, 7900 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bw_table_t *table = bench_make_table(DESIGN_POOLS, SPILLS);
		bw_workers_t *list = bench_make_workers(table, sizes[i], ZONES);
		GHashTable *slots = g_hash_table_new(g_str_hash, g_str_equal);
		double start_s = bench_cpu_time_s();
		uint32_t round;
		uint32_t k;

		for (round = 0; round < 20; round++) {
			g_hash_table_remove_all(slots);
			for (k = 0; k < list->count; k++) {
				const bw_worker_t *w = &list->items[k];
				const char *keys[] = { w->pool, w->zone,
						       w->rack };
				size_t d;

				for (d = 0; d < G_N_ELEMENTS(keys); d++) {
					gpointer n = g_hash_table_lookup(
						slots, keys[d]);

					g_hash_table_insert(
						slots, (gpointer)keys[d],
						GUINT_TO_POINTER(
							GPOINTER_TO_UINT(n) +
							w->slots));
				}
			}
		}
		add_point(cpu, sizes[i],
			  (bench_cpu_time_s() - start_s) / 20 * 1e3);
		g_hash_table_destroy(slots);
		bw_workers_destroy(list);
		bw_table_destroy(table);
	}
}

static gint by_value(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return (GPOINTER_TO_SIZE(a) > GPOINTER_TO_SIZE(b)) -
	       (GPOINTER_TO_SIZE(a) < GPOINTER_TO_SIZE(b));
}

/*
 * Model of placing a job under its team's quota, which the entry does not
 * implement: workers are in a tree by free processors; the best fit is taken
 * out and inserted again with what is left.
 */
static void model_job_placement(series_t *cpu)
{
	static const uint32_t sizes[] = { 494, 987, 1975, 3950, 7900 };
	static uint32_t team_used[53];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		GTree *tree = g_tree_new_full(by_value, NULL, NULL, NULL);
		GRand *rand = g_rand_new_with_seed(3);
		double start_s;
		uint32_t k;

		/* Keys: free processors in the high half, worker number low. */
		for (k = 0; k < sizes[i]; k++)
			g_tree_insert(tree,
				      GSIZE_TO_POINTER((gsize)32 << 32 | k),
				      GUINT_TO_POINTER(1));
		start_s = bench_cpu_time_s();
		for (k = 0; k < 100000; k++) {
			gsize need = (gsize)g_rand_int_range(rand, 1, 9);
			GTreeNode *node = g_tree_lower_bound(
				tree, GSIZE_TO_POINTER(need << 32));
			gsize key = GPOINTER_TO_SIZE(g_tree_node_key(node));
			gsize remaining = (key >> 32) - need;

			team_used[k % 53] += (uint32_t)need;
			/* The jobs of a nearly full worker finish. */
			if (remaining < 9)
				remaining = 32;
			g_tree_remove(tree, GSIZE_TO_POINTER(key));
			g_tree_insert(tree,
				      GSIZE_TO_POINTER(remaining << 32 |
						       (key & 0xffffffff)),
				      GUINT_TO_POINTER(1));
		}
		add_point(cpu, log2(sizes[i]),
			  (bench_cpu_time_s() - start_s) / 100000 * 1e6);
		g_tree_destroy(tree);
		g_rand_free(rand);
	}
}

static void on_loop_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	int *left = timer->data;

	(void)revents;
	if (--*left == 0)
		ev_break(loop, EVBREAK_ALL);
}

/* Wake-ups of an event loop that has only a timer. */
static void measure_event_loop(series_t *cpu)
{
	static const uint32_t sizes[] = { 50, 100, 200, 400 };
	struct ev_loop *loop = ev_loop_new(0);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int left = (int)sizes[i];
		double start_s = bench_cpu_time_s();
		ev_timer timer;

		ev_timer_init(&timer, on_loop_tick, 1.0 / TICKS_S,
			      1.0 / TICKS_S);
		timer.data = &left;
		ev_timer_start(loop, &timer);
		ev_run(loop, 0);
		ev_timer_stop(loop, &timer);
		add_point(cpu, sizes[i], (bench_cpu_time_s() - start_s) * 1e3);
	}
	ev_loop_destroy(loop);
}

static void print_budget(const char *name, double value, double limit)
{
	printf("# budget %-22s %10.2f of %8.2f %s\n", name, value, limit,
	       value <= limit ? "met" : "FAILED");
}

int main(void)
{
	series_t configuration = { .name = "configure_ms", .unit = "ms" };
	series_t memory = { .name = "place_mb", .unit = "MB" };
	series_t bytes = { .name = "part_bytes", .unit = "bytes" };
	series_t tick = { .name = "tick_us", .unit = "us" };
	series_t view_change = { .name = "divide_ms", .unit = "ms per entry" };
	series_t heartbeat = { .name = "beat_ms", .unit = "ms per entry" };
	series_t heartbeat_bytes = { .name = "beat_bytes", .unit = "bytes" };
	series_t keys_mb = { .name = "keys_mb", .unit = "MB" };
	series_t loop = { .name = "loop_ms", .unit = "ms" };
	series_t job = { .name = "job_us", .unit = "us, sketch" };
	series_t wave = { .name = "wave_step_ms", .unit = "ms, sketch" };
	series_t keys_ms = { .name = "keys_ms", .unit = "ms" };
	double requests_s = DESIGN_WORKERS * 8 * SLOT_USE / SERVICE_S;
	double entry_count = ceil(requests_s / ENTRY_REQUESTS_S);
	double changes_s = DESIGN_CHANGES_DAY / DAY_S;
	double vm_changes_s = (DESIGN_FAILURES_DAY + DESIGN_RESTARTS_DAY +
			       DESIGN_WORKERS / DESIGN_DAYS_TO_MAINTAIN) *
			      2 / DAY_S;
	double views_s = (DESIGN_RESTARTS_DAY * entry_count / DESIGN_WORKERS) *
			 2 / DAY_S;
	double core_s;
	double memory_mb;
	double bytes_s;
	double writes_s;
	double reads_s;

	printf("series,size,cost\n");
	measure_configuration(&configuration, &memory, &bytes, &tick);
	measure_view_change(&view_change);
	measure_heartbeats(&heartbeat, &heartbeat_bytes);
	measure_keys(&keys_mb, &keys_ms);
	model_wave_step(&wave);
	model_job_placement(&job);
	measure_event_loop(&loop);
	fit_line(&configuration);
	fit_line(&memory);
	fit_line(&bytes);
	fit_line(&tick);
	fit_line(&view_change);
	fit_line(&heartbeat);
	fit_line(&heartbeat_bytes);
	fit_line(&keys_mb);
	fit_line(&keys_ms);
	fit_line(&wave);
	fit_line(&job);
	fit_line(&loop);

	core_s = (predict(&configuration, DESIGN_WORKERS) *
			  (changes_s + vm_changes_s) +
		  predict(&view_change, entry_count) * views_s +
		  predict(&heartbeat, entry_count) / HEARTBEAT_S) /
			 1e3 +
		 predict(&tick, DESIGN_WORKERS) * TICKS_S / 1e6 +
		 loop.slope * TICKS_S / 1e3;
	memory_mb = predict(&memory, DESIGN_WORKERS) +
		    predict(&keys_mb, KEYS_S_ENTRY * KEY_WINDOW_S);
	bytes_s = predict(&heartbeat_bytes, entry_count) / HEARTBEAT_S +
		  predict(&bytes, DESIGN_WORKERS) * vm_changes_s +
		  LOAN_MESSAGES_S * LOAN_MESSAGE_BYTES;
	writes_s = entry_count * RENEWALS_PER_LEASE / LEASE_S + changes_s +
		   vm_changes_s + views_s;
	/* Every entry keeps a watch, which counts as a call while it waits. */
	reads_s = entry_count * (1 + changes_s + vm_changes_s + views_s);
	printf("# entries %.0f for %.0f requests a second\n", entry_count,
	       requests_s);
	print_budget("core, %", core_s * 100, 2.6);
	print_budget("memory, MB", memory_mb, 256);
	print_budget("bytes a second", bytes_s, 22000);
	print_budget("largest value, MB", predict(&bytes, DESIGN_WORKERS) / 1e6,
		     1.0);
	print_budget("store writes a second", writes_s, 300);
	print_budget("store reads a second", reads_s, 2000);
	printf("node_core_pct=%.2f node_mb=%.1f node_bytes_s=%.0f "
	       "store_writes_s=%.1f store_reads_s=%.1f\n",
	       core_s * 100, memory_mb, bytes_s, writes_s, reads_s);
	return 0;
}
