/*
 * Surges that pass from service to service, in virtual time: the placement of
 * nine entries with simulated workers, compared with simpler policies and with
 * one queue that knows all requests and workers.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "util.h"
#include "place/place.h"
#include "place/share.h"

#define ENTRIES		 9
#define TICK_US		 5000
#define MESSAGE_DELAY_US 1000
#define SECOND_US	 ((int64_t)1000000)
#define RUN_US		 (45 * SECOND_US)
/** One service at a time has a surge, for this long. */
#define SURGE_US   (3 * SECOND_US)
#define SERVICE_US 50000.0
/** Rate in and out of a surge, as a multiple of a service's base rate. */
#define SURGE_FACTOR   5.0
#define QUIET_FACTOR   0.05
#define TARGET_IN_TIME 0.999

typedef enum policy {
	POLICY_PLACE,
	POLICY_NO_LOANS,
	POLICY_OWN_POOL,
	POLICY_RANDOM,
	POLICY_OMNISCIENT,
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = {
	[POLICY_PLACE] = "place",
	[POLICY_NO_LOANS] = "place, no loans",
	[POLICY_OWN_POOL] = "own pool only",
	[POLICY_RANDOM] = "random spill",
	[POLICY_OMNISCIENT] = "omniscient",
};

typedef struct request {
	bw_place_request_t preq;
	uint32_t entry;
	uint32_t worker;
	int64_t work_us;
	bool refused;
	bool done;
	int64_t done_us;
} request_t;

typedef enum event_kind {
	EVENT_ARRIVE,
	EVENT_FINISH,
	EVENT_TICK,
	EVENT_MESSAGE,
	EVENT_KIND_COUNT
} event_kind_t;

typedef struct event {
	int64_t at_us;
	uint64_t sequence; /**< Keeps the order of events at the same time. */
	event_kind_t kind;
	/** Of EVENT_ARRIVE: 1 if only the rate changes, without a request. */
	uint32_t entry;
	uint32_t service;
	uint64_t peer;
	request_t *request;
	bw_place_msg_t *msg;
} event_t;

typedef struct sim sim_t;

typedef struct entry {
	sim_t *sim;
	uint32_t index;
	uint64_t id;
	bw_place_t *place;
	bw_counters_t counters;
} entry_t;

struct sim {
	policy_t policy;
	const bw_table_t *table;
	const bw_workers_t *workers;
	double load;
	GRand *rand;
	GArray *events; /**< Binary heap of event_t, earliest first. */
	uint64_t sequence; /**< Of the next event. */
	int64_t now_us;
	entry_t entries[ENTRIES];
	GHashTable *worker_index; /**< Name to index + 1. */
	uint32_t *running; /**< Per worker. */
	uint32_t *running_by_entry; /**< Per worker and entry. */
	uint32_t *peak_by_entry; /**< The same, its highest value. */
	uint32_t *pool_of; /**< Per worker. */
	GQueue *worker_queues; /**< Random spill: requests beyond the slots. */
	GSequence **queues; /**< Central policies: per service, by deadline. */
	uint32_t *free_slots; /**< Central policies: per pool. */
	double *base_rate; /**< Base rate per service, in requests a second. */
	GPtrArray *requests;
	uint64_t cap_breaches; /**< Starts on a worker without a free slot. */
	uint32_t peak_slots; /**< Most that ran on one worker at once. */
	uint64_t messages;
};

typedef struct outcome {
	double in_time[BW_CLASS_COUNT]; /**< Share done by the deadline. */
	double goodput; /**< The same, of all requests. */
	uint64_t refused;
	uint64_t late;
	uint64_t cap_breaches;
	uint32_t peak_slots;
	uint32_t peak_connections; /**< Of a worker, sum of entries' peaks. */
	uint64_t messages;
	int64_t p99_us; /**< Latency of urgent requests. */
	uint64_t reasons[BW_C_COUNT];
} outcome_t;

static bool event_precedes(const event_t *a, const event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void push_event(sim_t *s, event_t e)
{
	event_t *h;
	guint i;

	e.sequence = s->sequence++;
	g_array_append_val(s->events, e);
	h = (event_t *)s->events->data;
	for (i = s->events->len - 1;
	     i > 0 && event_precedes(&h[i], &h[(i - 1) / 2]); i = (i - 1) / 2) {
		event_t swap = h[i];

		h[i] = h[(i - 1) / 2];
		h[(i - 1) / 2] = swap;
	}
}

static event_t pop_event(sim_t *s)
{
	event_t *h = (event_t *)s->events->data;
	event_t first = h[0];
	guint n = s->events->len - 1;
	guint i = 0;

	h[0] = h[n];
	g_array_set_size(s->events, n);
	h = (event_t *)s->events->data;
	for (;;) {
		guint child = 2 * i + 1;
		event_t swap;

		if (child >= n)
			break;
		if (child + 1 < n && event_precedes(&h[child + 1], &h[child]))
			child++;
		if (!event_precedes(&h[child], &h[i]))
			break;
		swap = h[i];
		h[i] = h[child];
		h[child] = swap;
		i = child;
	}
	return first;
}

static double draw_exponential(sim_t *s, double mean)
{
	return -mean * log(1.0 - g_rand_double(s->rand));
}

static void start_on_worker(sim_t *s, request_t *r, uint32_t worker)
{
	uint32_t index = worker * ENTRIES + r->entry;

	r->worker = worker;
	s->running[worker]++;
	s->running_by_entry[index]++;
	s->peak_by_entry[index] =
		MAX(s->peak_by_entry[index], s->running_by_entry[index]);
	s->peak_slots = MAX(s->peak_slots, s->running[worker]);
	if (s->running[worker] > s->workers->items[worker].slots)
		s->cap_breaches++;
	push_event(s, (event_t){ .at_us = s->now_us + r->work_us,
				 .kind = EVENT_FINISH,
				 .request = r });
}

/* Policies of the entries' own placement. */

static void on_start(void *ctx, bw_place_request_t *preq)
{
	entry_t *e = ctx;
	const char *name = bw_place_worker_name(e->place, preq->worker);
	gpointer found = g_hash_table_lookup(e->sim->worker_index, name);

	start_on_worker(e->sim, (request_t *)preq, GPOINTER_TO_UINT(found) - 1);
}

static void on_refuse(void *ctx, bw_place_request_t *preq, bw_refusal_t why,
		      int64_t retry_after_us)
{
	(void)ctx;
	(void)why;
	(void)retry_after_us;
	((request_t *)preq)->refused = true;
}

static void on_send(void *ctx, uint64_t peer, const bw_place_msg_t *msg)
{
	entry_t *e = ctx;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (e->sim->entries[i].id == peer)
			push_event(e->sim,
				   (event_t){ .at_us = e->sim->now_us +
						       MESSAGE_DELAY_US,
					      .kind = EVENT_MESSAGE,
					      .entry = i,
					      .peer = e->id,
					      .msg = g_memdup2(msg,
							       sizeof(*msg)) });
	e->sim->messages++;
}

static const bw_place_ops_t ops = { .start = on_start,
				    .refuse = on_refuse,
				    .send = on_send };

static void create_entries(sim_t *s)
{
	static const char *const zones[] = { "north", "centre", "south" };
	uint64_t ids[ENTRIES];
	uint32_t i;
	uint32_t k;

	for (i = 0; i < ENTRIES; i++) {
		char name[16];

		snprintf(name, sizeof(name), "entry-%u", i);
		ids[i] = bw_name_id(name);
	}
	for (i = 0; i < ENTRIES; i++) {
		entry_t *e = &s->entries[i];
		bw_place_config_t config = {
			.self = ids[i],
			.zone = zones[i % 3],
			.loan_ttl_us = 500000,
			.run_max_us = 10 * SECOND_US,
			.seed = i + 1,
			.lending = s->policy == POLICY_PLACE,
		};

		e->sim = s;
		e->index = i;
		e->id = ids[i];
		e->place = bw_place_create(&config, &ops, e, &e->counters);
		bw_place_configure(e->place, s->table, s->workers, 0);
		push_event(s, (event_t){ .at_us = TICK_US + i * 100,
					 .kind = EVENT_TICK,
					 .entry = i });
	}
	for (i = 0; i < ENTRIES; i++) {
		bw_place_set_view(s->entries[i].place, 1, ids, ENTRIES, 0);
		for (k = 0; k < ENTRIES; k++)
			if (k != i)
				bw_place_peer_up(s->entries[i].place, ids[k],
						 0);
	}
}

/* Central policies: one dispatcher, without delay, for all requests. */

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const request_t *x = a;
	const request_t *y = b;

	(void)data;
	return (x->preq.deadline_us > y->preq.deadline_us) -
	       (x->preq.deadline_us < y->preq.deadline_us);
}

static bool may_use_pool(const sim_t *s, uint32_t service, uint32_t pool)
{
	const bw_cell_t *cell = bw_table_cell(s->table, service, pool);

	if (s->policy == POLICY_OWN_POOL)
		return cell->weight > 0;
	return cell->weight > 0 || cell->spill > 0;
}

static uint32_t find_idle_worker(const sim_t *s, uint32_t pool)
{
	uint32_t i;

	for (i = 0; i < s->workers->count; i++)
		if (s->pool_of[i] == pool &&
		    s->running[i] < s->workers->items[i].slots)
			return i;
	return BW_NONE;
}

/*
 * Returns the next request for a pool: the most urgent class first, then the
 * earliest deadline. Refuses requests that can't be done in time.
 */
static request_t *best_request(sim_t *s, uint32_t pool)
{
	request_t *best = NULL;
	uint32_t i;

	for (i = 0; i < s->table->service_count; i++) {
		request_t *r;
		bool better;

		if (!may_use_pool(s, i, pool))
			continue;
		while (!g_sequence_is_empty(s->queues[i])) {
			GSequenceIter *head =
				g_sequence_get_begin_iter(s->queues[i]);

			r = g_sequence_get(head);
			/* The processing time is known in advance. */
			if (s->now_us + r->work_us <= r->preq.deadline_us)
				break;
			r->refused = true;
			g_sequence_remove(head);
		}
		if (g_sequence_is_empty(s->queues[i]))
			continue;
		r = g_sequence_get(g_sequence_get_begin_iter(s->queues[i]));
		better = !best ||
			 s->table->services[i].class <
				 s->table->services[best->preq.service].class
			 ||
			 (s->table->services[i].class ==
				  s->table->services[best->preq.service].class
			  && by_deadline(r, best, NULL) < 0);
		if (better)
			best = r;
	}
	return best;
}

static void dispatch_central(sim_t *s, uint32_t pool)
{
	while (s->free_slots[pool] > 0) {
		request_t *r = best_request(s, pool);

		if (!r)
			return;
		g_sequence_remove(
			g_sequence_get_begin_iter(s->queues[r->preq.service]));
		s->free_slots[pool]--;
		start_on_worker(s, r, find_idle_worker(s, pool));
	}
}

static void submit_central(sim_t *s, request_t *r)
{
	uint32_t pool;

	g_sequence_insert_sorted(s->queues[r->preq.service], r, by_deadline,
				 NULL);
	for (pool = 0; pool < s->table->pool_count; pool++)
		if (may_use_pool(s, r->preq.service, pool))
			dispatch_central(s, pool);
}

/* Random spill: any worker that the table allows, busy or not. */
static void submit_random(sim_t *s, request_t *r)
{
	uint32_t worker;

	do {
		worker = (uint32_t)g_rand_int_range(s->rand, 0,
						    (gint32)s->workers->count);
	} while (!may_use_pool(s, r->preq.service, s->pool_of[worker]));
	if (s->running[worker] < s->workers->items[worker].slots)
		start_on_worker(s, r, worker);
	else
		g_queue_push_tail(&s->worker_queues[worker], r);
}

static double arrival_rate(const sim_t *s, uint32_t service)
{
	uint32_t services = s->table->service_count;
	uint32_t surging = (uint32_t)(s->now_us / SURGE_US) % services;

	return s->base_rate[service] *
	       (surging == service ? SURGE_FACTOR : QUIET_FACTOR);
}

static void submit_request(sim_t *s, uint32_t service)
{
	request_t *r = g_new0(request_t, 1);
	int64_t wait_us = (int64_t)s->table->services[service].wait_ms * 1000;

	g_ptr_array_add(s->requests, r);
	r->entry = (uint32_t)g_rand_int_range(s->rand, 0, ENTRIES);
	r->work_us = (int64_t)draw_exponential(s, SERVICE_US) + 1;
	bw_place_request_init(&r->preq, service, s->now_us,
			      s->now_us + wait_us);
	if (s->policy == POLICY_RANDOM)
		submit_random(s, r);
	else if (s->policy >= POLICY_OWN_POOL)
		submit_central(s, r);
	else
		bw_place_submit(s->entries[r->entry].place, &r->preq,
				s->now_us);
}

/* Schedules the next arrival, or the next change of rate if that is sooner. */
static void schedule_arrival(sim_t *s, uint32_t service)
{
	double mean_us = 1e6 / arrival_rate(s, service);
	int64_t gap_us = (int64_t)draw_exponential(s, mean_us) + 1;
	int64_t surge_end_us = (s->now_us / SURGE_US + 1) * SURGE_US;
	bool crosses_surge_end = s->now_us + gap_us >= surge_end_us;

	/* The rate changes when the surge moves on, so a new gap is drawn. */
	push_event(s,
		   (event_t){ .at_us = crosses_surge_end ? surge_end_us
							 : s->now_us + gap_us,
			      .kind = EVENT_ARRIVE,
			      .entry = crosses_surge_end,
			      .service = service });
}

static void finish_request(sim_t *s, request_t *r)
{
	uint32_t worker = r->worker;

	r->done = true;
	r->done_us = s->now_us;
	s->running[worker]--;
	s->running_by_entry[worker * ENTRIES + r->entry]--;
	if (s->policy == POLICY_RANDOM) {
		request_t *next = g_queue_pop_head(&s->worker_queues[worker]);

		if (next)
			start_on_worker(s, next, worker);
	} else if (s->policy >= POLICY_OWN_POOL) {
		s->free_slots[s->pool_of[worker]]++;
		dispatch_central(s, s->pool_of[worker]);
	} else {
		bw_place_finish(s->entries[r->entry].place, &r->preq,
				BW_ATTEMPT_OK, s->now_us);
	}
}

static void handle_event(sim_t *s, event_t *e)
{
	entry_t *entry = &s->entries[e->entry % ENTRIES];

	if (e->kind == EVENT_ARRIVE && s->now_us < RUN_US) {
		if (e->entry == 0)
			submit_request(s, e->service);
		schedule_arrival(s, e->service);
	} else if (e->kind == EVENT_FINISH) {
		finish_request(s, e->request);
	} else if (e->kind == EVENT_TICK) {
		bw_place_tick(entry->place, s->now_us);
		if (s->now_us < RUN_US + 120 * SECOND_US)
			push_event(s, (event_t){ .at_us = s->now_us + TICK_US,
						 .kind = EVENT_TICK,
						 .entry = e->entry });
	} else if (e->kind == EVENT_MESSAGE) {
		bw_place_receive(entry->place, e->peer, e->msg, s->now_us);
		g_free(e->msg);
	}
}

/*
 * Returns the requests a second that a service's share, by weight, of each pool
 * can process.
 */
static double share_capacity_rate(const sim_t *s, uint32_t service)
{
	double slots = 0.0;
	uint32_t pool;
	uint32_t i;

	for (pool = 0; pool < s->table->pool_count; pool++) {
		double total = 0.0;

		for (i = 0; i < s->table->service_count; i++)
			total += bw_table_cell(s->table, i, pool)->weight;
		slots += s->free_slots[pool] *
			 bw_table_cell(s->table, service, pool)->weight / total;
	}
	return slots / (SERVICE_US / 1e6);
}

static void create_sim(sim_t *s)
{
	double services = s->table->service_count;
	double mean_factor =
		(SURGE_FACTOR + QUIET_FACTOR * (services - 1)) / services;
	double total = 0.0;
	double capacity = 0.0;
	uint32_t i;

	s->rand = g_rand_new_with_seed(99);
	s->events = g_array_new(FALSE, FALSE, sizeof(event_t));
	s->requests = g_ptr_array_new_with_free_func(g_free);
	s->worker_index = g_hash_table_new(g_str_hash, g_str_equal);
	s->running = g_new0(uint32_t, s->workers->count);
	s->running_by_entry = g_new0(uint32_t, s->workers->count * ENTRIES);
	s->peak_by_entry = g_new0(uint32_t, s->workers->count * ENTRIES);
	s->pool_of = g_new0(uint32_t, s->workers->count);
	s->worker_queues = g_new0(GQueue, s->workers->count);
	s->queues = g_new0(GSequence *, s->table->service_count);
	s->free_slots = g_new0(uint32_t, s->table->pool_count);
	s->base_rate = g_new0(double, s->table->service_count);
	for (i = 0; i < s->workers->count; i++) {
		const bw_worker_t *w = &s->workers->items[i];

		g_hash_table_insert(s->worker_index, w->name,
				    GUINT_TO_POINTER(i + 1));
		s->pool_of[i] = bw_table_pool_index(s->table, w->pool);
		s->free_slots[s->pool_of[i]] += w->slots;
		capacity += w->slots / (SERVICE_US / 1e6);
	}
	for (i = 0; i < s->table->service_count; i++) {
		s->queues[i] = g_sequence_new(NULL);
		s->base_rate[i] = share_capacity_rate(s, i);
		total += s->base_rate[i];
	}
	for (i = 0; i < s->table->service_count; i++) {
		s->base_rate[i] *= s->load * capacity / total / mean_factor;
		schedule_arrival(s, i);
	}
	if (s->policy < POLICY_OWN_POOL)
		create_entries(s);
}

static void destroy_sim(sim_t *s)
{
	uint32_t i;

	for (i = 0; i < s->events->len; i++)
		g_free(g_array_index(s->events, event_t, i).msg);
	for (i = 0; i < ENTRIES; i++)
		bw_place_destroy(s->entries[i].place);
	for (i = 0; i < s->workers->count; i++)
		g_queue_clear(&s->worker_queues[i]);
	for (i = 0; i < s->table->service_count; i++)
		g_sequence_free(s->queues[i]);
	g_array_free(s->events, TRUE);
	g_ptr_array_free(s->requests, TRUE);
	g_hash_table_destroy(s->worker_index);
	g_free(s->running);
	g_free(s->running_by_entry);
	g_free(s->peak_by_entry);
	g_free(s->pool_of);
	g_free(s->worker_queues);
	g_free(s->queues);
	g_free(s->free_slots);
	g_free(s->base_rate);
	g_rand_free(s->rand);
}

static int compare_int64s(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t percentile_99(GArray *times)
{
	if (times->len == 0)
		return 0;
	qsort(times->data, times->len, sizeof(int64_t), compare_int64s);
	return g_array_index(times, int64_t, (guint)(times->len * 0.99));
}

static void collect_outcome(const sim_t *s, outcome_t *o)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint64_t sent[BW_CLASS_COUNT] = { 0 };
	uint64_t good[BW_CLASS_COUNT] = { 0 };
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->requests->len; i++) {
		const request_t *r = g_ptr_array_index(s->requests, i);
		bw_class_t class = s->table->services[r->preq.service].class;

		sent[class]++;
		o->refused += r->refused;
		if (!r->done)
			continue;
		if (class == BW_CLASS_URGENT) {
			int64_t time_us = r->done_us - r->preq.arrived_us;

			g_array_append_val(times, time_us);
		}
		if (r->done_us <= r->preq.deadline_us)
			good[class]++;
		else
			o->late++;
	}
	for (i = 0; i < BW_CLASS_COUNT; i++)
		o->in_time[i] = (double)good[i] / (double)MAX(sent[i], 1);
	o->goodput = (double)(good[0] + good[1]) / (double)(sent[0] + sent[1]);
	o->p99_us = percentile_99(times);
	g_array_free(times, TRUE);
	o->cap_breaches = s->cap_breaches;
	o->peak_slots = s->peak_slots;
	o->messages = s->messages;
	for (i = 0; i < s->workers->count; i++) {
		uint32_t sum = 0;

		for (k = 0; k < ENTRIES; k++)
			sum += s->peak_by_entry[i * ENTRIES + k];
		o->peak_connections = MAX(o->peak_connections, sum);
	}
	for (i = 0; i < ENTRIES; i++)
		for (k = 0; k < BW_C_COUNT; k++)
			o->reasons[k] += s->entries[i].counters.value[k];
}

static outcome_t run_policy(const char *site, policy_t policy, double load)
{
	char *table_path = g_strdup_printf("examples/%s/table.json", site);
	char *workers_path = g_strdup_printf("examples/%s/workers.json", site);
	bw_table_t *table = bench_read_table(table_path);
	bw_workers_t *workers = bench_read_workers(workers_path);
	sim_t s = { .policy = policy,
		    .load = load,
		    .table = table,
		    .workers = workers };
	outcome_t o = { 0 };

	create_sim(&s);
	while (s.events->len > 0) {
		event_t e = pop_event(&s);

		s.now_us = e.at_us;
		handle_event(&s, &e);
	}
	collect_outcome(&s, &o);
	destroy_sim(&s);
	bw_table_destroy(table);
	bw_workers_destroy(workers);
	g_free(table_path);
	g_free(workers_path);
	return o;
}

static void print_row(const char *site, double load, policy_t policy,
		      const outcome_t *o)
{
	printf("%-8s %4.0f%%  %-16s %9.4f %9.4f %9.4f %8" PRIu64 " %6" PRIu64
	       " %5u %5u %7.0f %8.0f\n",
	       site, load * 100, policy_names[policy], o->in_time[0] * 100,
	       o->in_time[1] * 100, o->goodput * 100, o->refused, o->late,
	       o->peak_slots, o->peak_connections, (double)o->p99_us / 1e3,
	       (double)o->messages / ENTRIES / ((double)RUN_US / 1e6));
}

/*
 * Searches for the least spare capacity, relative to the mean demand, with
 * which both classes reach TARGET_IN_TIME.
 */
static double spare_capacity_needed(const char *site, policy_t policy)
{
	double low = 0.02;
	double high = 1.2;
	int i;

	for (i = 0; i < 7; i++) {
		double load = (low + high) / 2;
		outcome_t o = run_policy(site, policy, load);

		if (o.in_time[BW_CLASS_URGENT] >= TARGET_IN_TIME &&
		    o.in_time[BW_CLASS_DEFERRABLE] >= TARGET_IN_TIME)
			low = load;
		else
			high = load;
	}
	return 1.0 / low - 1.0;
}

int main(void)
{
	static const char *const sites[] = { "herrera", "prairie" };
	static const double loads[] = { 0.60, 0.80, 0.95 };
	double in_time_80 = 1.0;
	double ratio_95 = 1.0;
	double buffer_ratio = 0.0;
	uint64_t breaches = 0;
	size_t i;
	size_t k;
	uint32_t m;
	policy_t policy;

	printf("%-8s %5s  %-16s %9s %9s %9s %8s %6s %5s %5s %7s %8s\n", "site",
	       "load", "rule", "urgent%", "defer%", "goodput%", "refused",
	       "late", "slots", "conns", "p99_ms", "msg/s");
	for (i = 0; i < G_N_ELEMENTS(sites); i++) {
		double own;
		double place;

		for (k = 0; k < G_N_ELEMENTS(loads); k++) {
			outcome_t o[POLICY_COUNT];

			for (policy = 0; policy < POLICY_COUNT; policy++) {
				o[policy] =
					run_policy(sites[i], policy, loads[k]);
				print_row(sites[i], loads[k], policy,
					  &o[policy]);
			}
			for (m = 0; m < BW_C_COUNT; m++)
				if (o[POLICY_PLACE].reasons[m] > 0)
					printf("    %s=%" PRIu64,
					       bw_counter_name(m),
					       o[POLICY_PLACE].reasons[m]);
			printf("\n");
			breaches += o[POLICY_PLACE].cap_breaches;
			if (loads[k] == 0.80)
				in_time_80 = MIN(in_time_80,
						 o[POLICY_PLACE].in_time[0]);
			if (loads[k] == 0.95)
				ratio_95 = MIN(
					ratio_95,
					o[POLICY_PLACE].goodput /
						o[POLICY_OMNISCIENT].goodput);
		}
		own = spare_capacity_needed(sites[i], POLICY_OWN_POOL);
		place = spare_capacity_needed(sites[i], POLICY_PLACE);
		printf("%-8s spare capacity for 99.9%% in time: own "
		       "pool %.0f%%, place %.0f%%\n",
		       sites[i], own * 100, place * 100);
		buffer_ratio = MAX(buffer_ratio, place / own);
	}
	printf("in_time_80=%.4f goodput_ratio_95=%.4f buffer_ratio=%.3f "
	       "cap_breaches=%" PRIu64 "\n",
	       in_time_80 * 100, ratio_95, buffer_ratio, breaches);
	return 0;
}
