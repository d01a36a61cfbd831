/*
 * Slopes of an entry's costs against the size of what it handles, each measured
 * at four or more sizes and fitted by a line, and the costs at the design size
 * worked out from them. Processor time is the process's own.
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

/* The design size of the users' first letter. */
#define DESIGN_WORKERS		7900.0
#define DESIGN_POOLS		51
#define DESIGN_CHANGES_DAY	5800.0
#define DESIGN_FAILURES_DAY	79.0
#define DESIGN_RESTARTS_DAY	1800.0
#define DESIGN_DAYS_TO_MAINTAIN 14.0
#define DAY_S			86400.0

/* An entry takes this many requests a second at about a third of a core. */
#define SLOT_USE	   0.6
#define SERVICE_S	   0.1
#define ENTRY_REQUESTS_S   5000.0
#define HEARTBEAT_S	   1.0
#define LEASE_S		   5.0
#define RENEWALS_PER_LEASE 4.0
#define TICKS_S		   200.0
#define TCP_OVERHEAD_BYTES 66.0
#define KEYS_S_ENTRY	   500.0
#define KEY_WINDOW_S	   600.0
/* The most that bench-surge measures, at nine entries. */
#define LOAN_MESSAGES_S	   141.0
#define LOAN_MESSAGE_BYTES 45.0

/** One cost at several sizes. */
typedef struct series {
	const char *name;
	const char *unit;
	double size[SIZES_MAX];
	double cost[SIZES_MAX];
	int count;
	double slope;
	double base;
	double residual; /**< Largest, as a share of the largest cost. */
} series_t;

static void fit(series_t *s)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, most = 0;
	int i;

	for (i = 0; i < s->count; i++) {
		sx += s->size[i];
		sy += s->cost[i];
		sxx += s->size[i] * s->size[i];
		sxy += s->size[i] * s->cost[i];
		most = MAX(most, s->cost[i]);
	}
	s->slope = (s->count * sxy - sx * sy) / (s->count * sxx - sx * sx);
	s->base = (sy - s->slope * sx) / s->count;
	for (i = 0; i < s->count; i++) {
		double at = s->base + s->slope * s->size[i];

		s->residual = MAX(s->residual,
				  fabs(at - s->cost[i]) / MAX(most, 1e-12));
	}
	for (i = 0; i < s->count; i++)
		printf("%s,%.0f,%.6g\n", s->name, s->size[i], s->cost[i]);
	printf("# %s: %.6g + %.6g * size (%s), residual %.1f%%\n", s->name,
	       s->base, s->slope, s->unit, s->residual * 100);
}

static double at_size(const series_t *s, double size)
{
	return MAX(s->base, 0.0) + s->slope * size;
}

static void add(series_t *s, double size, double cost)
{
	s->size[s->count] = size;
	s->cost[s->count] = cost;
	s->count++;
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void no_start(void *ctx, bw_place_request_t *r)
{
	(void)ctx;
	(void)r;
}

static void no_refuse(void *ctx, bw_place_request_t *r, bw_refusal_t why,
		      int64_t retry_after_us)
{
	(void)ctx;
	(void)r;
	(void)why;
	(void)retry_after_us;
}

static void no_send(void *ctx, uint64_t peer, const bw_place_msg_t *msg)
{
	(void)ctx;
	(void)peer;
	(void)msg;
}

static const bw_place_ops_t no_ops = { .start = no_start,
				       .refuse = no_refuse,
				       .send = no_send };

static bw_place_t *make_place(uint32_t workers, uint32_t pools,
			      bw_counters_t *counters, bw_table_t **table,
			      bw_workers_t **list)
{
	bw_place_config_t config = { .self = bw_name_id("entry-0"),
				     .zone = "zone-0",
				     .run_max_us = 10000000,
				     .seed = 1 };

	*table = fleet_table(pools, SPILLS);
	*list = fleet_workers(*table, workers, ZONES);
	return bw_place_create(&config, &no_ops, NULL, counters);
}

/* A change of one VM: time to take its part in, memory, bytes of the part. */
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
		bw_workers_t *part;
		bw_workers_t *list;
		bw_table_t *table;
		size_t heap = heap_bytes();
		bw_place_t *p;
		char *text;
		double began;
		uint64_t self = bw_name_id("entry-0");

		p = make_place(sizes[i], pools, &counters, &table, &list);
		bw_workers_destroy(list);
		list = fleet_workers(table, sizes[i], ZONES);
		part = bw_workers_select_part(list, 0);
		text = bw_workers_format(part);
		add(bytes, sizes[i], (double)strlen(text));
		bw_workers_destroy(part);
		began = fleet_cpu_s();
		for (k = 0; k < REPEATS; k++) {
			part = bw_workers_parse(text, strlen(text), findings);
			bw_place_configure(p, table, list, k);
			bw_workers_destroy(part);
		}
		add(cpu, sizes[i], (fleet_cpu_s() - began) / REPEATS * 1e3);
		bw_place_set_view(p, 1, &self, 1, 10);
		bw_place_tick(p, 20);
		add(memory, sizes[i],
		    (double)(heap_bytes() - heap) / 1048576.0);
		began = fleet_cpu_s();
		for (k = 0; k < 20000; k++)
			bw_place_tick(p, 5000 * (k + 1));
		add(tick, sizes[i], (fleet_cpu_s() - began) / 20000 * 1e6);
		free(text);
		bw_workers_destroy(list);
		bw_table_destroy(table);
		bw_place_destroy(p);
		bw_findings_destroy(findings);
	}
}

/* A change of view divides the slots of all workers among all entries. */
static void measure_division(series_t *cpu)
{
	static const uint32_t sizes[] = { 9, 18, 36, 72, 144 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bw_counters_t counters = { { 0 } };
		bw_workers_t *list;
		bw_table_t *table;
		bw_place_t *p = make_place(7900, DESIGN_POOLS, &counters,
					   &table, &list);
		uint64_t *members = g_new0(uint64_t, sizes[i]);
		double began;
		uint32_t k;

		for (k = 0; k < sizes[i]; k++) {
			char name[24];

			g_snprintf(name, sizeof(name), "entry-%u", k);
			members[k] = bw_name_id(name);
		}
		bw_place_configure(p, table, list, 0);
		began = fleet_cpu_s();
		for (k = 1; k <= REPEATS; k++)
			bw_place_set_view(p, k, members, sizes[i], k);
		add(cpu, sizes[i], (fleet_cpu_s() - began) / REPEATS * 1e3);
		g_free(members);
		bw_table_destroy(table);
		bw_workers_destroy(list);
		bw_place_destroy(p);
	}
}

/* Heartbeats of one interval with all other entries. */
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
		double began;
		uint32_t k;
		uint32_t round;

		for (k = 0; k < sizes[i]; k++) {
			members[k].name = g_strdup_printf("entry-%u", k);
			members[k].address = g_strdup("127.0.0.1:7070");
			ids[k] = bw_name_id(members[k].name);
		}
		bw_view_adopt(v, 1, members, sizes[i], 0);
		began = fleet_cpu_s();
		for (round = 1; round <= 200; round++) {
			g_string_truncate(out, 0);
			for (k = 1; k < sizes[i]; k++) {
				Bramley__Heartbeat beat =
					BRAMLEY__HEARTBEAT__INIT;
				Bramley__Frame frame = BRAMLEY__FRAME__INIT;
				Bramley__Frame *again;
				bw_view_heartbeat_t b;
				gsize at = out->len;
				size_t used;

				bw_view_make_heartbeat(v, ids[k],
						       round * 1000000, &b);
				beat.epoch = b.epoch;
				beat.stamp_us = 1000000000000 + round;
				beat.echo_us = 1000000000000 + round;
				beat.promise = true;
				beat.known = 100000;
				frame.body_case =
					BRAMLEY__FRAME__BODY_HEARTBEAT;
				frame.heartbeat = &beat;
				bw_frame_write(out, &frame);
				bw_frame_read((uint8_t *)out->str + at,
					      out->len - at, &used, &again);
				b.promise = true;
				bw_view_handle_heartbeat(v, ids[k], &b,
							 round * 1000000);
				bramley__frame__free_unpacked(again, NULL);
			}
			bw_view_active(v);
			bw_view_owner_valid(v, round * 1000000);
		}
		add(cpu, sizes[i], (fleet_cpu_s() - began) / 200 * 1e3);
		add(bytes, sizes[i],
		    (double)out->len + (sizes[i] - 1) * TCP_OVERHEAD_BYTES);
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

/* An owner's record: memory of the keys in its window, time of a claim. */
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
		double began = fleet_cpu_s();
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
		add(cpu, sizes[i], (fleet_cpu_s() - began) * 1e3);
		add(memory, sizes[i],
		    (double)(heap_bytes() - heap) / 1048576.0);
		bw_once_destroy(o);
	}
}

/*
 * Sketch of a wave's step, which is not built: counts what each pool, zone and
 * rack has left and takes the workers whose rack may go together.
 */
static void measure_wave_step(series_t *cpu)
{
	static const uint32_t sizes[] = { 494, 987, 1975, 3950, 7900 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bw_table_t *table = fleet_table(DESIGN_POOLS, SPILLS);
		bw_workers_t *list = fleet_workers(table, sizes[i], ZONES);
		GHashTable *left = g_hash_table_new(g_str_hash, g_str_equal);
		double began = fleet_cpu_s();
		uint32_t round;
		uint32_t k;

		for (round = 0; round < 20; round++) {
			g_hash_table_remove_all(left);
			for (k = 0; k < list->count; k++) {
				const bw_worker_t *w = &list->items[k];
				const char *keys[] = { w->pool, w->zone,
						       w->rack };
				size_t d;

				for (d = 0; d < G_N_ELEMENTS(keys); d++) {
					gpointer n = g_hash_table_lookup(
						left, keys[d]);

					g_hash_table_insert(
						left, (gpointer)keys[d],
						GUINT_TO_POINTER(
							GPOINTER_TO_UINT(n) +
							w->slots));
				}
			}
		}
		add(cpu, sizes[i], (fleet_cpu_s() - began) / 20 * 1e3);
		g_hash_table_destroy(left);
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
 * Sketch of placing a job with its team's quota, which is not built: workers in
 * a tree by free processors; the tightest fit is taken and put back changed.
 */
static void measure_job_placement(series_t *cpu)
{
	static const uint32_t sizes[] = { 494, 987, 1975, 3950, 7900 };
	static uint32_t team_used[53];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		GTree *tree = g_tree_new_full(by_value, NULL, NULL, NULL);
		GRand *rand = g_rand_new_with_seed(3);
		double began;
		uint32_t k;

		/* A key is the free processors, then the worker's number. */
		for (k = 0; k < sizes[i]; k++)
			g_tree_insert(tree,
				      GSIZE_TO_POINTER((gsize)32 << 32 | k),
				      GUINT_TO_POINTER(1));
		began = fleet_cpu_s();
		for (k = 0; k < 100000; k++) {
			gsize need = (gsize)g_rand_int_range(rand, 1, 9);
			GTreeNode *node = g_tree_lower_bound(
				tree, GSIZE_TO_POINTER(need << 32));
			gsize key = GPOINTER_TO_SIZE(g_tree_node_key(node));
			gsize left = (key >> 32) - need;

			team_used[k % 53] += (uint32_t)need;
			/* A nearly full worker finishes what it has. */
			if (left < 9)
				left = 32;
			g_tree_remove(tree, GSIZE_TO_POINTER(key));
			g_tree_insert(tree,
				      GSIZE_TO_POINTER(left << 32 |
						       (key & 0xffffffff)),
				      GUINT_TO_POINTER(1));
		}
		add(cpu, log2(sizes[i]),
		    (fleet_cpu_s() - began) / 100000 * 1e6);
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

/* Wake-ups of an event loop that only ticks. */
static void measure_loop(series_t *cpu)
{
	static const uint32_t sizes[] = { 50, 100, 200, 400 };
	struct ev_loop *loop = ev_loop_new(0);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int left = (int)sizes[i];
		double began = fleet_cpu_s();
		ev_timer timer;

		ev_timer_init(&timer, on_loop_tick, 1.0 / TICKS_S,
			      1.0 / TICKS_S);
		timer.data = &left;
		ev_timer_start(loop, &timer);
		ev_run(loop, 0);
		ev_timer_stop(loop, &timer);
		add(cpu, sizes[i], (fleet_cpu_s() - began) * 1e3);
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
	series_t configure = { .name = "configure_ms", .unit = "ms" };
	series_t memory = { .name = "place_mb", .unit = "MB" };
	series_t bytes = { .name = "part_bytes", .unit = "bytes" };
	series_t tick = { .name = "tick_us", .unit = "us" };
	series_t divide = { .name = "divide_ms", .unit = "ms per entry" };
	series_t beat = { .name = "beat_ms", .unit = "ms per entry" };
	series_t beat_bytes = { .name = "beat_bytes", .unit = "bytes" };
	series_t keys_mb = { .name = "keys_mb", .unit = "MB" };
	series_t loop = { .name = "loop_ms", .unit = "ms" };
	series_t job = { .name = "job_us", .unit = "us, sketch" };
	series_t wave = { .name = "wave_step_ms", .unit = "ms, sketch" };
	series_t keys_ms = { .name = "keys_ms", .unit = "ms" };
	double requests_s = DESIGN_WORKERS * 8 * SLOT_USE / SERVICE_S;
	double entries = ceil(requests_s / ENTRY_REQUESTS_S);
	double changes_s = DESIGN_CHANGES_DAY / DAY_S;
	double vm_changes_s = (DESIGN_FAILURES_DAY + DESIGN_RESTARTS_DAY +
			       DESIGN_WORKERS / DESIGN_DAYS_TO_MAINTAIN) *
			      2 / DAY_S;
	double views_s =
		(DESIGN_RESTARTS_DAY * entries / DESIGN_WORKERS) * 2 / DAY_S;
	double core_s;
	double mb;
	double bytes_s;
	double writes_s;
	double reads_s;

	printf("series,size,cost\n");
	measure_configuration(&configure, &memory, &bytes, &tick);
	measure_division(&divide);
	measure_heartbeats(&beat, &beat_bytes);
	measure_keys(&keys_mb, &keys_ms);
	measure_wave_step(&wave);
	measure_job_placement(&job);
	measure_loop(&loop);
	fit(&configure);
	fit(&memory);
	fit(&bytes);
	fit(&tick);
	fit(&divide);
	fit(&beat);
	fit(&beat_bytes);
	fit(&keys_mb);
	fit(&keys_ms);
	fit(&wave);
	fit(&job);
	fit(&loop);

	core_s = (at_size(&configure, DESIGN_WORKERS) *
			  (changes_s + vm_changes_s) +
		  at_size(&divide, entries) * views_s +
		  at_size(&beat, entries) / HEARTBEAT_S) /
			 1e3 +
		 at_size(&tick, DESIGN_WORKERS) * TICKS_S / 1e6 +
		 loop.slope * TICKS_S / 1e3;
	mb = at_size(&memory, DESIGN_WORKERS) +
	     at_size(&keys_mb, KEYS_S_ENTRY * KEY_WINDOW_S);
	bytes_s = at_size(&beat_bytes, entries) / HEARTBEAT_S +
		  at_size(&bytes, DESIGN_WORKERS) * vm_changes_s +
		  LOAN_MESSAGES_S * LOAN_MESSAGE_BYTES;
	writes_s = entries * RENEWALS_PER_LEASE / LEASE_S + changes_s +
		   vm_changes_s + views_s;
	/* Every entry watches; a waiting watch counts as a call. */
	reads_s = entries * (1 + changes_s + vm_changes_s + views_s);
	printf("# entries %.0f for %.0f requests a second\n", entries,
	       requests_s);
	print_budget("core, %", core_s * 100, 2.6);
	print_budget("memory, MB", mb, 256);
	print_budget("bytes a second", bytes_s, 22000);
	print_budget("largest value, MB", at_size(&bytes, DESIGN_WORKERS) / 1e6,
		     1.0);
	print_budget("store writes a second", writes_s, 300);
	print_budget("store reads a second", reads_s, 2000);
	printf("node_core_pct=%.2f node_mb=%.1f node_bytes_s=%.0f "
	       "store_writes_s=%.1f store_reads_s=%.1f\n",
	       core_s * 100, mb, bytes_s, writes_s, reads_s);
	return 0;
}
