#include "run.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "aim.h"
#include "base/clock.h"
#include "contact.h"
#include "explain.h"
#include "judge.h"
#include "link.h"
#include "net/httpcall.h"
#include "owner.h"
#include "plan.h"
#include "process.h"
#include "record.h"
#include "standin_callers.h"
#include "standin_keys.h"
#include "standin_store.h"
#include "standin_workers.h"

#define TICK_S 0.01
/** A longer standstill of this process disturbs all that it stands in for. */
#define STANDSTILL_MS 200
/** Time in which all nodes have to be ready. */
#define START_MS 20000
/** Time between the readiness probes, and their timeout. */
#define PROBE_MS 100
/** Time after the last fault in which all accepted jobs have to end. */
#define SETTLE_MS 40000
#define LINKS	  (SOAK_WORKERS + 1U)

typedef enum phase { PHASE_START, PHASE_FAULTS, PHASE_SETTLE } phase_t;

typedef struct run {
	const soak_run_config_t *config;
	struct ev_loop *loop;
	soak_plan_t *plan;
	soak_contact_t contact;
	soak_record_t *record;
	soak_judge_t *judge;
	soak_store_t *store;
	soak_workers_t *workers;
	soak_callers_t *callers;
	soak_keys_t *keys;
	soak_process_t *nodes[SOAK_NODES];
	soak_link_t *links[SOAK_NODES][LINKS]; /**< The last is the store's. */
	bw_http_client_t *probes;
	bool ready[SOAK_NODES];
	phase_t phase;
	int64_t phase_ms; /**< When it began. */
	int64_t tick_ms;
	int64_t probe_ms;
	int64_t late_ms;
	int64_t store_up_ms; /**< When the present outage ends; 0: none. */
	guint next_fault;
	bool started;
	ev_timer tick;
} run_t;

/** A probe of a node under way. */
typedef struct probe {
	run_t *run;
	uint32_t node;
} probe_t;

static void apply_to_links(run_t *run, const soak_fault_t *fault,
			   int64_t now_ms);
static void stop_store(run_t *run, const soak_fault_t *fault, int64_t now_ms);
static void crash_worker(run_t *run, const soak_fault_t *fault, int64_t now_ms);
static void signal_nodes(run_t *run, const soak_fault_t *fault, int64_t now_ms);
static void take_claim(run_t *run, const soak_fault_t *fault, int64_t now_ms);

/** How a fault is applied. */
static void (*const appliers[SOAK_FAULT_KIND_COUNT])(run_t *run,
						     const soak_fault_t *fault,
						     int64_t now_ms) = {
	[SOAK_CUT_ANSWERS] = apply_to_links,
	[SOAK_REFUSE] = apply_to_links,
	[SOAK_TURN_AWAY] = apply_to_links,
	[SOAK_HOLD_REQUESTS] = apply_to_links,
	[SOAK_HOLD_ANSWERS] = apply_to_links,
	[SOAK_DELAY] = apply_to_links,
	[SOAK_THROTTLE] = apply_to_links,
	[SOAK_RESET] = apply_to_links,
	[SOAK_TERMINATE] = signal_nodes,
	[SOAK_KILL] = signal_nodes,
	[SOAK_PAUSE] = signal_nodes,
	[SOAK_STORE_DOWN] = stop_store,
	[SOAK_CRASH] = crash_worker,
	[SOAK_TAKE_CLAIM] = take_claim,
};

static bool is_meant(const soak_fault_t *fault, uint32_t node)
{
	return fault->node == node || fault->node == SOAK_ALL_NODES;
}

static void apply_to_links(run_t *run, const soak_fault_t *fault,
			   int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		if (is_meant(fault, i))
			soak_link_apply(run->links[i][fault->target], fault,
					now_ms);
	soak_contact_disturb(&run->contact, fault->node,
			     now_ms + fault->for_ms);
}

static void signal_nodes(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	uint32_t i;

	(void)now_ms;
	for (i = 0; i < SOAK_NODES; i++) {
		if (!is_meant(fault, i))
			continue;
		if (fault->kind == SOAK_TERMINATE)
			soak_process_terminate(run->nodes[i], fault->for_ms);
		else if (fault->kind == SOAK_KILL)
			soak_process_kill(run->nodes[i], fault->for_ms);
		else
			soak_process_pause(run->nodes[i], fault->for_ms);
	}
}

/* All connections to the target end, and none is accepted for a time. */
static void cut_off(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	static const soak_fault_kind_t kinds[] = { SOAK_REFUSE, SOAK_RESET };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		soak_fault_t part = *fault;

		part.kind = kinds[i];
		apply_to_links(run, &part, now_ms);
	}
}

static void stop_store(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	cut_off(run, fault, now_ms);
	soak_contact_disturb_store(&run->contact, now_ms + fault->for_ms);
	run->store_up_ms = MAX(run->store_up_ms, now_ms + fault->for_ms);
	soak_workers_set_store_down(run->workers, true);
	if (!fault->hard)
		soak_store_pause_leases(run->store, fault->for_ms);
}

/* No disturbance of a node: the rules hold when workers crash. */
static void crash_worker(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	soak_fault_t part = *fault;
	uint32_t i;

	soak_workers_crash(run->workers, fault->target, fault->for_ms,
			   fault->hard);
	for (i = 0; i < SOAK_NODES; i++) {
		part.kind = SOAK_REFUSE;
		soak_link_apply(run->links[i][fault->target], &part, now_ms);
		part.kind = SOAK_RESET;
		soak_link_apply(run->links[i][fault->target], &part, now_ms);
	}
}

static void take_claim(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	(void)now_ms;
	soak_owner_remove(run->store, fault->pool);
}

static void record_fault(run_t *run, const soak_fault_t *fault)
{
	char node[16] = "all";
	char target[16] = "store";

	if (fault->node != SOAK_ALL_NODES)
		g_snprintf(node, sizeof(node), "node-%u", fault->node);
	if (fault->target != SOAK_STORE)
		g_snprintf(target, sizeof(target), "worker-%u", fault->target);
	soak_record(run->record,
		    "fault %s node=%s target=%s for_ms=%" PRId64
		    " amount=%" PRId64 " hard=%d",
		    soak_fault_name(fault->kind), node, target, fault->for_ms,
		    fault->amount, fault->hard);
}

static void apply_fault(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	record_fault(run, fault);
	appliers[fault->kind](run, fault, now_ms);
}

/* Returns false if the fault has to wait. */
static bool apply_aimed(run_t *run, const soak_fault_t *fault, int64_t now_ms)
{
	GArray *faults = soak_aim(fault, run->store, run->workers);
	bool aimed = faults->len > 0;
	guint i;

	for (i = 0; i < faults->len; i++)
		apply_fault(run, &g_array_index(faults, soak_fault_t, i),
			    now_ms);
	g_array_free(faults, TRUE);
	return aimed;
}

static void apply_due_faults(run_t *run, int64_t now_ms)
{
	while (run->next_fault < run->plan->faults->len) {
		const soak_fault_t *fault = &g_array_index(
			run->plan->faults, soak_fault_t, run->next_fault);

		if (fault->at_ms > now_ms - run->phase_ms)
			return;
		if (!apply_aimed(run, fault, now_ms))
			return;
		run->next_fault++;
	}
}

static void enter(run_t *run, phase_t phase, int64_t now_ms)
{
	static const char *const names[] = { "start", "faults", "settle" };

	run->phase = phase;
	run->phase_ms = now_ms;
	soak_record(run->record, "run phase name=%s", names[phase]);
}

static void on_probed(void *ctx, const bw_http_answer_t *answer)
{
	probe_t *probe = ctx;

	if (answer->outcome == BW_HTTP_ANSWERED && answer->status == 200)
		probe->run->ready[probe->node] = true;
	g_free(probe);
}

static void probe_nodes(run_t *run, int64_t now_ms)
{
	uint32_t i;

	if (now_ms < run->probe_ms)
		return;
	run->probe_ms = now_ms + PROBE_MS;
	for (i = 0; i < SOAK_NODES; i++) {
		char *url = g_strdup_printf("http://%s/",
					    soak_process_ready(run->nodes[i]));
		bw_http_request_t request = { .method = "GET",
					      .url = url,
					      .timeout_ms = PROBE_MS,
					      .release = g_free };
		probe_t *probe = g_new0(probe_t, 1);

		probe->run = run;
		probe->node = i;
		bw_http_call(run->probes, &request, on_probed, probe);
		g_free(url);
	}
}

static bool all_ready(const run_t *run)
{
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		if (!run->ready[i])
			return false;
	return true;
}

static void tick_start(run_t *run, int64_t now_ms)
{
	if (all_ready(run)) {
		run->started = true;
		soak_callers_start(run->callers);
		soak_keys_start(run->keys);
		enter(run, PHASE_FAULTS, now_ms);
	} else if (now_ms - run->phase_ms > START_MS) {
		ev_break(run->loop, EVBREAK_ALL);
	} else {
		probe_nodes(run, now_ms);
	}
}

static void tick_faults(run_t *run, int64_t now_ms)
{
	apply_due_faults(run, now_ms);
	if (now_ms - run->phase_ms > run->plan->length_ms)
		enter(run, PHASE_SETTLE, now_ms);
}

static void tick_settle(run_t *run, int64_t now_ms)
{
	if (soak_judge_settled(run->judge) ||
	    now_ms - run->phase_ms > SETTLE_MS)
		ev_break(run->loop, EVBREAK_ALL);
}

static void (*const phase_ticks[])(run_t *run, int64_t now_ms) = {
	[PHASE_START] = tick_start,
	[PHASE_FAULTS] = tick_faults,
	[PHASE_SETTLE] = tick_settle,
};

/* What this process stands in for stood still with it. */
static void check_standstill(run_t *run, int64_t now_ms)
{
	int64_t late_ms = now_ms - run->tick_ms;

	run->tick_ms = now_ms;
	run->late_ms = MAX(run->late_ms, late_ms);
	if (late_ms < STANDSTILL_MS)
		return;
	soak_record(run->record, "run standstill late_ms=%" PRId64, late_ms);
	soak_contact_disturb(&run->contact, SOAK_ALL_NODES, now_ms);
	soak_contact_disturb_store(&run->contact, now_ms);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	run_t *run = timer->data;
	int64_t now_ms = bw_clock_now_ms();

	(void)loop;
	(void)revents;
	check_standstill(run, now_ms);
	if (run->store_up_ms > 0 && now_ms >= run->store_up_ms) {
		run->store_up_ms = 0;
		soak_workers_set_store_down(run->workers, false);
	}
	phase_ticks[run->phase](run, now_ms);
}

static soak_link_t *create_link(run_t *run, uint32_t node, uint32_t target)
{
	char name[32];
	soak_link_config_t config = {
		.loop = run->loop,
		.record = run->record,
		.name = name,
	};

	if (target == SOAK_STORE) {
		g_snprintf(name, sizeof(name), "node-%u:store", node);
		config.target = soak_store_address(run->store, node);
		config.describe = soak_store_describe;
	} else {
		g_snprintf(name, sizeof(name), "node-%u:worker-%u", node,
			   target);
		config.target =
			soak_workers_address(run->workers, target, node);
	}
	return soak_link_create(&config);
}

static void create_links(run_t *run)
{
	uint32_t node;
	uint32_t target;

	for (node = 0; node < SOAK_NODES; node++)
		for (target = 0; target < LINKS; target++) {
			soak_link_t *link = create_link(run, node, target);

			run->links[node][target] = link;
			if (target < SOAK_WORKERS)
				soak_workers_set_public(
					run->workers, target, node,
					soak_link_address(link));
		}
}

static void create_node(run_t *run, uint32_t node)
{
	soak_process_config_t config = {
		.loop = run->loop,
		.program = run->config->program,
		.dir = run->config->dir,
		.node = node,
		.store = soak_link_address(run->links[node][SOAK_STORE]),
		.judge = run->judge,
		.contact = &run->contact,
		.record = run->record,
	};

	run->nodes[node] = soak_process_create(&config);
}

static void create_callers(run_t *run)
{
	soak_callers_config_t config = {
		.loop = run->loop,
		.plan = run->plan,
		.judge = run->judge,
		.record = run->record,
	};
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		config.nodes[i] = soak_process_callers(run->nodes[i]);
	run->callers = soak_callers_create(&config);
}

static void create_keys(run_t *run)
{
	soak_keys_config_t config = {
		.loop = run->loop,
		.plan = run->plan,
		.contact = &run->contact,
		.judge = run->judge,
		.store = run->store,
	};
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		config.nodes[i] = soak_process_callers(run->nodes[i]);
	run->keys = soak_keys_create(&config);
}

static void create_all(run_t *run)
{
	char *path = g_strdup_printf("%s/soak.log", run->config->dir);
	soak_workers_config_t workers = { .loop = run->loop,
					  .plan = run->plan };
	uint32_t i;

	run->record = soak_record_create(path);
	run->judge = soak_judge_create(run->plan, &run->contact, run->record);
	run->store = soak_store_create(run->loop, SOAK_NODES);
	workers.store = run->store;
	workers.judge = run->judge;
	workers.record = run->record;
	run->workers = soak_workers_create(&workers);
	create_links(run);
	for (i = 0; i < SOAK_NODES; i++)
		create_node(run, i);
	create_callers(run);
	create_keys(run);
	run->probes = bw_http_client_create(run->loop, 4);
	g_free(path);
}

static void start_all(run_t *run)
{
	char *configuration = soak_callers_configuration(1);
	uint32_t i;

	soak_store_configure(run->store, configuration);
	g_free(configuration);
	soak_workers_start(run->workers);
	for (i = 0; i < SOAK_NODES; i++)
		soak_process_start(run->nodes[i], true);
	run->tick_ms = bw_clock_now_ms();
	enter(run, PHASE_START, run->tick_ms);
	ev_timer_init(&run->tick, on_tick, TICK_S, TICK_S);
	run->tick.data = run;
	ev_timer_start(run->loop, &run->tick);
}

static void write_report(run_t *run)
{
	const char *logs[SOAK_NODES];
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		logs[i] = soak_process_log(run->nodes[i]);
	soak_explain(run->config->dir, run->config->ctl, logs, SOAK_NODES,
		     soak_judge_report(run->judge),
		     soak_judge_first_job(run->judge));
}

static void finish(run_t *run, soak_result_t *result)
{
	uint32_t i;

	if (run->started)
		soak_judge_finish(run->judge, bw_clock_now_ms());
	for (i = 0; i < SOAK_NODES; i++)
		soak_process_end(run->nodes[i]);
	*result = (soak_result_t){
		.failures = soak_judge_failures(run->judge),
		.faults = run->next_fault,
		.requests = soak_callers_requests(run->callers),
		.jobs = run->plan->jobs->len,
		.starts = soak_workers_starts(run->workers),
		.late_ms = (uint64_t)run->late_ms,
	};
	if (result->failures > 0)
		write_report(run);
}

/* What is left is given back with the process, which plays one seed. */
bool soak_run(const soak_run_config_t *config, soak_result_t *result)
{
	static run_t run;

	run.config = config;
	run.loop = ev_default_loop(0);
	run.plan =
		soak_plan_create(config->seed, config->length_ms, config->plan);
	create_all(&run);
	start_all(&run);
	ev_run(run.loop, 0);
	finish(&run, result);
	return run.started && run.next_fault == run.plan->faults->len;
}
