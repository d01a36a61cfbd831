#include "fleet/internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"
#include "fleet/outage.h"

#define TICK_S	0.05
#define TICK_MS 50
/** A tick that is later than this is logged, once an interval. */
#define LATE_MS		 200
#define LATE_INTERVAL_MS 1000
#define LEASE_MS	 2000
/** An owner that was cut off from the store may act for this long after its
 * claim is gone: the lease, plus the time until heartbeats of other nodes
 * report that the store is reachable. */
#define OUTAGE_MS (LEASE_MS + BW_OUTAGE_GRACE_MS)
/** The store counts as unreachable after half of this time without an answer,
 * if STORE_FAILURES calls have failed. */
#define STORE_SILENT_MS 1400
/** Calls in a row that must fail before the store counts as unreachable. */
#define STORE_FAILURES 3

/** Changes of ownership, as labelled in metrics. */
typedef enum change {
	CHANGE_GAINED,
	CHANGE_LOST,
	CHANGE_HANDED_OVER,
	CHANGE_COUNT
} change_t;

static const char *const change_names[CHANGE_COUNT] = {
	[CHANGE_GAINED] = "gained",
	[CHANGE_LOST] = "lost",
	[CHANGE_HANDED_OVER] = "handed-over",
};

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_config(void *ctx, const bw_store_kv_t *kv);
static void apply_config(void *ctx, int64_t revision, const char *value,
			 size_t bytes);
static void on_wave(void *ctx, const bw_store_kv_t *kv);
static void apply_wave(bw_fleet_t *f, GBytes *value);
static void on_synced(void *ctx);
static void on_store_result(void *ctx, bw_status_t status);
static void on_node_changed(void *ctx, const char *name, const char *address);
static void on_gained(void *ctx, const char *pool, int64_t revision);
static void on_lost(void *ctx, const char *pool, const char *reason);
static void foreach_role(void *ctx, void (*fn)(void *arg, const char *pool),
			 void *arg);
static void on_pool_superseded(void *ctx, const char *pool);
static void on_pool_stopped(void *ctx, const char *pool);
static void on_pool_loaded(void *ctx, bw_pool_t *pool);
static void on_directory_loaded(void *ctx, int64_t now_ms);
static void query_local(void *ctx, const char *pool, const char *job,
			const char *queue, bw_fleet_query_answer_t *out);
static bool is_store_reachable(void *ctx);
static void on_controller_superseded(void *ctx);
static bool has_earlier_controller(void *ctx, int64_t now_ms);
static bool owns_pools(void *ctx);
static void configure_pool(bw_fleet_t *f, bw_pool_t *pool);

static const bw_watch_cache_ops_t config_ops = { on_config, on_synced,
						 on_store_result };
static const bw_watch_cache_ops_t wave_ops = { on_wave, on_synced,
					       on_store_result };
static const bw_fleet_member_ops_t member_ops = {
	.node_changed = on_node_changed,
	.gained = on_gained,
	.lost = on_lost,
	.foreach_pool = foreach_role,
	.store_result = on_store_result,
};
static const bw_pool_ops_t pool_ops = { on_pool_superseded, on_store_result,
					on_pool_stopped, on_pool_loaded };
static const bw_directory_ops_t directory_ops = { on_directory_loaded,
						  on_store_result };
static const bw_service_ops_t service_ops = {
	.owner = fleet_pool_owner,
	.query_local = query_local,
	.store_result = on_store_result,
	.job_stored = fleet_notify_owner,
	.store_reachable = is_store_reachable,
};
static const bw_controller_ops_t controller_ops = { fleet_send_order,
						    on_store_result,
						    on_controller_superseded,
						    has_earlier_controller };

static char *operators_address(const bw_fleet_settings_t *settings)
{
	return g_strdup_printf("%s:%d", settings->ip,
			       (int)settings->metrics_port);
}

static char *peers_address(const bw_fleet_settings_t *settings)
{
	return g_strdup_printf("%s:%d", settings->ip,
			       (int)settings->peers_port);
}

static void create_member(bw_fleet_t *f, const char *address)
{
	const bw_fleet_settings_t *settings = f->env.settings;
	bw_fleet_member_config_t config = {
		.name = settings->name,
		.address = address,
		.incarnation = f->incarnation,
		.lease_ms = MAX(settings->lease_min_ms, (int64_t)LEASE_MS),
		.outage_ms = MAX((int64_t)OUTAGE_MS, settings->holder_ms),
		.started_ms = bw_clock_wall_ms(),
		.first_start = settings->first_start,
		.capacity = bw_fleet_settings_capacity(settings),
	};

	f->member = bw_fleet_member_create(f->env.loop, &f->env.store, &config,
					   &member_ops, f);
}

static void create_config_exchange(bw_fleet_t *f)
{
	const bw_fleet_settings_t *settings = f->env.settings;
	bw_config_bounds_t bounds = {
		.apply_ms = settings->config_apply_ms,
		.outage_ms = settings->config_outage_ms,
	};

	f->config_exchange = bw_config_exchange_create(
		settings->name, &bounds, f->peers, apply_config, f);
}

static void create_components(bw_fleet_t *f, const char *address)
{
	create_member(f, address);
	create_config_exchange(f);
	f->directory = bw_directory_create(&f->env.store, f->env.values,
					   &directory_ops, f);
	f->service =
		bw_service_create(f->env.loop, f->env.settings->name,
				  &f->env.store, f->peers, &service_ops, f);
	bw_service_set_config_sync(f->service,
				   bw_config_exchange_sync(f->config_exchange));
	f->config_cache = bw_watch_cache_create(f->env.loop, &f->env.store,
						f->env.values->config_key,
						&config_ops, f);
	if (f->env.machines.impl)
		f->wave_cache = bw_watch_cache_create(
			f->env.loop, &f->env.store, f->env.values->waves_prefix,
			&wave_ops, f);
}

/* A failure is only logged: the node can work without serving operators. */
static void create_operators(bw_fleet_t *f)
{
	char *address = operators_address(f->env.settings);
	bw_request_handler_t requests = bw_fleet_request_handler(f);

	if (bw_fleet_operators_create(f->env.loop, address, &requests,
				      &bw_fleet_show_ops, f,
				      &f->operators) != BW_OK)
		bw_event(BW_EVENT_FLEET_OPERATORS_UNSERVED, "error=\"%s\"",
			 bw_status_message());
	g_free(address);
}

bw_status_t bw_fleet_create(const bw_fleet_env_t *env, bw_fleet_t **out)
{
	bw_fleet_t *f = g_new0(bw_fleet_t, 1);
	bw_family_labels_t changes = { "change", change_names, CHANGE_COUNT,
				       NULL,	 NULL,	       0 };
	char *address = peers_address(env->settings);
	bw_status_t status;

	f->env = *env;
	if (env->machines.impl) {
		f->machine_calls = bw_machine_calls_create(&env->machines);
		f->env.machines = bw_machine_calls_api(f->machine_calls);
	}
	f->incarnation = ((uint64_t)g_random_int() << 32) | g_random_int();
	f->last_store_answer_ms = bw_clock_now_ms();
	f->store_reachable = true;
	bw_metrics_define(BW_MC_OWNERSHIP, &changes);
	fleet_create_quotas(f);
	f->waves =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	f->last_orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)bw_pool_destroy);
	status = bw_fleet_peers_create(
		env->loop, env->settings->name, address,
		bw_fleet_settings_strangers(env->settings), f->incarnation,
		query_local, fleet_on_frame, f, env->counters, &f->peers);
	if (status != BW_OK) {
		g_free(address);
		return status;
	}
	create_components(f, address);
	create_operators(f);
	ev_timer_init(&f->tick, on_tick, TICK_S, TICK_S);
	f->tick.data = f;
	ev_timer_start(env->loop, &f->tick);
	g_free(address);
	*out = f;
	return BW_OK;
}

/* Judges from the results of all calls whether the store is reachable. */
static void on_store_result(void *ctx, bw_status_t status)
{
	bw_fleet_t *f = ctx;
	bool answered = status != BW_EUNAVAIL && status != BW_ELOST;
	int64_t now_ms = bw_clock_now_ms();

	if (answered) {
		f->last_store_answer_ms = now_ms;
		f->store_failures = 0;
	} else {
		f->store_failures++;
	}
	if (answered && !f->store_reachable)
		bw_event(BW_EVENT_FLEET_STORE_REGAINED, "node=%s",
			 f->env.settings->name);
	if (answered)
		f->store_reachable = true;
	else if (f->store_reachable && f->store_failures >= STORE_FAILURES &&
		 now_ms - f->last_store_answer_ms > STORE_SILENT_MS / 2) {
		f->store_reachable = false;
		bw_event(BW_EVENT_FLEET_STORE_LOST,
			 "node=%s failures=%u silent_ms=%" G_GINT64_FORMAT,
			 f->env.settings->name, f->store_failures,
			 now_ms - f->last_store_answer_ms);
	}
}

static bool is_store_reachable(void *ctx)
{
	return ((bw_fleet_t *)ctx)->store_reachable;
}

static void configure_tenants(const bw_fleet_config_t *config,
			      bw_sched_t *sched)
{
	bw_tenant_config_t *tenants =
		g_new0(bw_tenant_config_t, config->tenant_count + 1);
	uint32_t i;

	for (i = 0; i < config->tenant_count; i++) {
		tenants[i].name = config->tenants[i].name;
		tenants[i].terms = config->tenants[i].terms;
	}
	bw_sched_set_tenants(sched, tenants, config->tenant_count);
	g_free(tenants);
}

static void configure_pool(bw_fleet_t *f, bw_pool_t *pool)
{
	bw_sched_t *sched = bw_pool_sched(pool);
	uint32_t i;

	if (!sched || !f->config)
		return;
	for (i = 0; i < f->config->queue_count; i++) {
		const bw_queue_t *queue = &f->config->queues[i];
		bw_queue_config_t config = {
			.name = queue->name,
			.terms = queue->terms,
		};

		bw_sched_set_queue(sched, &config);
	}
	configure_tenants(f->config, sched);
	bw_pool_wake(pool);
}

static void on_config(void *ctx, const bw_store_kv_t *kv)
{
	bw_fleet_t *f = ctx;

	if (!kv->deleted && !strcmp(kv->key, f->env.values->config_key))
		apply_config(f, kv->mod_revision, kv->value, kv->bytes);
}

static void log_config(const bw_fleet_config_t *config)
{
	bw_event(BW_EVENT_FLEET_CONFIG,
		 "version=%" G_GINT64_FORMAT
		 " queues=%u pools=%u tenants=%u incomplete=%u",
		 config->version, config->queue_count, config->pool_count,
		 config->tenant_count, config->incomplete_count);
	if (config->remark_count > 0)
		bw_event(BW_EVENT_FLEET_CONFIG_REMARKS,
			 "version=%" G_GINT64_FORMAT " count=%u first=\"%s\"",
			 config->version, config->remark_count,
			 config->first_remark);
}

/* Applies a version, from the store or another node, unless it is known. */
static void apply_config(void *ctx, int64_t revision, const char *value,
			 size_t bytes)
{
	bw_fleet_t *f = ctx;
	bw_fleet_config_t *config;
	GHashTableIter iter;
	gpointer pool;

	if (!bw_config_exchange_is_new(f->config_exchange, revision))
		return;
	if (f->env.values->parse_config(value, bytes, &config) != BW_OK) {
		bw_event(BW_EVENT_FLEET_CONFIG_UNREADABLE, "error=\"%s\"",
			 bw_status_message());
		bw_config_exchange_refuse(f->config_exchange, revision);
		return;
	}
	if (f->config && config->version < f->config->version) {
		bw_event(BW_EVENT_FLEET_CONFIG_OLDER,
			 "version=%" G_GINT64_FORMAT, config->version);
		bw_config_exchange_refuse(f->config_exchange, revision);
		bw_fleet_config_free(config);
		return;
	}
	bw_config_exchange_take(f->config_exchange, revision, value, bytes);
	log_config(config);
	if (config->has_tenants)
		bw_config_exchange_share(f->config_exchange);
	bw_service_configure(f->service, config);
	if (f->controller)
		bw_controller_configure(f->controller, config);
	bw_fleet_config_free(f->config);
	f->config = config;
	fleet_configure_quotas(f);
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		configure_pool(f, pool);
}

static void on_wave(void *ctx, const bw_store_kv_t *kv)
{
	bw_fleet_t *f = ctx;
	GBytes *value;

	if (kv->deleted)
		return;
	value = g_bytes_new(kv->value, kv->bytes);
	g_ptr_array_add(f->waves, value);
	if (f->controller)
		apply_wave(f, value);
}

static void apply_wave(bw_fleet_t *f, GBytes *value)
{
	bw_wave_order_t *order;
	gsize bytes;
	const char *data = g_bytes_get_data(value, &bytes);

	if (f->env.values->parse_wave(data, bytes, &order) == BW_OK)
		bw_controller_add_wave(f->controller, order);
	else
		bw_event(BW_EVENT_FLEET_WAVE_UNREADABLE, "error=\"%s\"",
			 bw_status_message());
}

static void on_synced(void *ctx)
{
	(void)ctx;
}

static void on_node_changed(void *ctx, const char *name, const char *address)
{
	bw_fleet_t *f = ctx;

	bw_event(BW_EVENT_FLEET_NODE, "name=%s address=%s", name,
		 address ? address : "-");
	bw_fleet_peers_set_node(f->peers, name, address);
}

static void foreach_role(void *ctx, void (*fn)(void *arg, const char *pool),
			 void *arg)
{
	bw_fleet_t *f = ctx;
	uint32_t i;

	for (i = 0; f->config && i < f->config->pool_count; i++)
		fn(arg, f->config->pools[i].name);
	if (f->config && (f->env.machines.impl || fleet_has_caps(f->config)))
		fn(arg, BW_CONTROLLER_ROLE);
}

static bool has_earlier_controller(void *ctx, int64_t now_ms)
{
	bw_fleet_t *f = ctx;

	return f->orders_unsettled ||
	       bw_fleet_member_has_predecessor(f->member, BW_CONTROLLER_ROLE,
					       now_ms);
}

static void start_controller(bw_fleet_t *f, int64_t revision)
{
	bw_controller_env_t env = {
		.store = f->env.store,
		.machines = f->env.machines,
		.values = f->env.values,
		.node = f->env.settings->name,
		.takeover_delay_ms = f->env.settings->holder_ms,
		.fence = revision,
	};
	guint i;

	f->controller_claim = revision;
	f->orders_unsettled =
		f->machine_calls &&
		!bw_machine_calls_settled(f->machine_calls, bw_clock_now_ms());
	bw_controller_destroy(f->controller);
	f->controller = bw_controller_create(&env, &controller_ops, f);
	bw_controller_configure(f->controller, f->config);
	fleet_start_lending(f, revision);
	for (i = 0; i < f->waves->len; i++)
		apply_wave(f, g_ptr_array_index(f->waves, i));
}

static void on_gained(void *ctx, const char *name, int64_t revision)
{
	bw_fleet_t *f = ctx;
	bw_pool_env_t env = {
		.loop = f->env.loop,
		.store = f->env.store,
		.workers = f->env.workers,
		.settings = f->env.settings,
		.outage_ms = OUTAGE_MS,
		.seen = bw_fleet_member_registered(f->member),
	};

	bw_metrics_count(BW_MC_OWNERSHIP, CHANGE_GAINED, 0);
	if (!strcmp(name, BW_CONTROLLER_ROLE)) {
		start_controller(f, revision);
		return;
	}
	g_hash_table_replace(
		f->pools, g_strdup(name),
		bw_pool_create(&env, name, revision, &pool_ops, f));
}

static void on_lost(void *ctx, const char *pool, const char *reason)
{
	bw_fleet_t *f = ctx;

	bw_event(BW_EVENT_FLEET_POOL_LOST, "pool=%s reason=%s", pool, reason);
	bw_metrics_count(BW_MC_OWNERSHIP, CHANGE_LOST, 0);
	fleet_abandon_handover(f, pool);
	if (!strcmp(pool, BW_CONTROLLER_ROLE)) {
		fleet_stop_lending(f);
		bw_controller_destroy(f->controller);
		f->controller = NULL;
		return;
	}
	g_hash_table_remove(f->pools, pool);
}

static void on_controller_superseded(void *ctx)
{
	bw_fleet_t *f = ctx;

	bw_fleet_member_drop_pool(f->member, BW_CONTROLLER_ROLE);
}

static void on_pool_superseded(void *ctx, const char *pool)
{
	bw_fleet_t *f = ctx;

	bw_fleet_member_drop_pool(f->member, pool);
}

const char *fleet_pool_owner(void *ctx, const char *pool)
{
	bw_fleet_t *f = ctx;

	if (g_hash_table_contains(f->pools, pool))
		return f->env.settings->name;
	return bw_fleet_member_owner(f->member, pool);
}

static void query_local(void *ctx, const char *name, const char *job,
			const char *queue, bw_fleet_query_answer_t *out)
{
	bw_fleet_t *f = ctx;
	bw_pool_t *pool = g_hash_table_lookup(f->pools, name);

	out->may_order =
		pool != NULL || bw_fleet_member_may_own(f->member, name);
	if (!pool || !bw_pool_jobs_loaded(pool))
		return;
	out->owner = true;
	if (job)
		out->state = bw_sched_job_state(bw_pool_sched(pool), job);
	if (job)
		out->tenant = bw_sched_job_tenant(bw_pool_sched(pool), job);
	if (queue)
		out->waiting = bw_sched_waiting(bw_pool_sched(pool), queue);
}

static bool owns_pools(void *ctx)
{
	return g_hash_table_size(((bw_fleet_t *)ctx)->pools) > 0;
}

/** Context for updating a pool's workers from the directory. */
typedef struct worker_update {
	bw_fleet_t *f;
	bw_pool_t *pool;
	int64_t now_ms;
} worker_update_t;

static void register_worker(void *ctx, const bw_registration_t *r)
{
	worker_update_t *update = ctx;

	if (!strcmp(r->pool, bw_pool_name(update->pool)))
		bw_sched_worker_registered(bw_pool_sched(update->pool),
					   update->now_ms, &r->info);
}

static void unregister_if_missing(void *ctx, const char *id, bool registered)
{
	worker_update_t *update = ctx;
	const bw_registration_t *r =
		bw_directory_find(update->f->directory, id);

	if (registered &&
	    (!r || strcmp(r->pool, bw_pool_name(update->pool)) != 0))
		bw_sched_worker_unregistered(bw_pool_sched(update->pool),
					     update->now_ms, id);
}

static void update_pool_workers(bw_fleet_t *f, bw_pool_t *pool, int64_t now_ms)
{
	worker_update_t update = { f, pool, now_ms };

	if (!bw_pool_sched(pool))
		return;
	bw_directory_foreach(f->directory, register_worker, &update);
	bw_sched_registrations_read(bw_pool_sched(pool),
				    bw_directory_read_began_ms(f->directory));
	if (bw_directory_complete(f->directory))
		bw_sched_workers(bw_pool_sched(pool), unregister_if_missing,
				 &update);
	bw_pool_set_directory_loaded(pool);
}

static void on_directory_loaded(void *ctx, int64_t now_ms)
{
	bw_fleet_t *f = ctx;
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		update_pool_workers(f, pool, now_ms);
}

static void allow_pools(bw_fleet_t *f, int64_t now_ms)
{
	int64_t lease_end_ms = bw_fleet_member_lease_end_ms(f->member);
	bool allowed = bw_fleet_peers_may_order(f->peers, now_ms, lease_end_ms);
	GHashTableIter iter;
	gpointer pool;

	f->may_order = allowed;
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool)) {
		bw_pool_set_outage(pool, allowed && now_ms >= lease_end_ms);
		bw_pool_allow_orders(pool, allowed);
	}
}

/* Records how late a tick is, since a starved node looks like slow peers. */
static void record_lateness(bw_fleet_t *f, int64_t now_ms)
{
	int64_t late_ms = now_ms - f->last_tick_ms - TICK_MS;
	bool first = f->last_tick_ms == 0;

	f->last_tick_ms = now_ms;
	if (first)
		return;
	bw_metrics_observe(BW_MH_LATENESS, MAX(late_ms, 0));
	if (late_ms < LATE_MS || now_ms < f->next_late_event_ms)
		return;
	f->next_late_event_ms = now_ms + LATE_INTERVAL_MS;
	bw_event(BW_EVENT_FLEET_LATE,
		 "node=%s late_ms=%" G_GINT64_FORMAT
		 " lease_left_ms=%" G_GINT64_FORMAT,
		 f->env.settings->name, late_ms,
		 bw_fleet_member_lease_end_ms(f->member) - now_ms);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_fleet_t *f = timer->data;
	int64_t now_ms = bw_clock_now_ms();

	(void)loop;
	(void)revents;
	record_lateness(f, now_ms);
	bw_fleet_peers_set_store(f->peers, f->store_reachable,
				 f->last_store_answer_ms);
	bw_fleet_member_tick(f->member, now_ms);
	bw_config_exchange_tick(f->config_exchange, now_ms,
				bw_watch_cache_confirmed_ms(f->config_cache));
	bw_fleet_peers_tick(f->peers, now_ms);
	allow_pools(f, now_ms);
	fleet_query_earlier_owners(f, now_ms);
	fleet_give_back_unreadable(f, now_ms);
	fleet_start_handover(f, now_ms);
	if (owns_pools(f))
		bw_directory_tick(f->directory, now_ms);
	fleet_send_reports(f, now_ms);
	fleet_tick_quotas(f, now_ms);
	fleet_release_controller(f, now_ms);
	if (f->controller && !f->leaving &&
	    now_ms < bw_fleet_member_lease_end_ms(f->member))
		bw_controller_tick(f->controller, now_ms);
}

static void serve_request(void *impl, const bw_request_t *request,
			  bw_answer_fn done, void *ctx)
{
	bw_fleet_t *f = impl;

	bw_service_serve(f->service, request, done, ctx);
}

static bool is_ready(void *impl)
{
	bw_fleet_t *f = impl;

	return f->config && f->store_reachable && !f->leaving;
}

bw_request_handler_t bw_fleet_request_handler(bw_fleet_t *f)
{
	return (bw_request_handler_t){ f, serve_request, is_ready };
}

static void on_pool_loaded(void *ctx, bw_pool_t *pool)
{
	configure_pool(ctx, pool);
}

static void finish_leaving(bw_fleet_t *f)
{
	if (!f->leaving || f->left || g_hash_table_size(f->pools) > 0)
		return;
	f->left = true;
	bw_fleet_member_end_lease(f->member);
	bw_event(BW_EVENT_FLEET_LEFT, "node=%s", f->env.settings->name);
}

static void on_pool_stopped(void *ctx, const char *pool)
{
	bw_fleet_t *f = ctx;

	bw_event(BW_EVENT_FLEET_POOL_HANDED_OVER, "pool=%s", pool);
	bw_metrics_count(BW_MC_OWNERSHIP, CHANGE_HANDED_OVER, 0);
	fleet_finish_handover(f, pool);
	g_hash_table_remove(f->pools, pool);
	finish_leaving(f);
}

void bw_fleet_leave(bw_fleet_t *f)
{
	GList *pools;
	GList *at;

	if (f->leaving)
		return;
	f->leaving = true;
	bw_fleet_member_stop_claiming(f->member);
	fleet_stop_lending(f);
	if (f->controller)
		f->released_claim = f->controller_claim;
	bw_controller_destroy(f->controller);
	f->controller = NULL;
	fleet_release_controller(f, bw_clock_now_ms());
	pools = g_hash_table_get_values(f->pools);
	for (at = pools; at; at = at->next)
		bw_pool_stop(at->data);
	g_list_free(pools);
	finish_leaving(f);
}

bool bw_fleet_left(const bw_fleet_t *f)
{
	return f->left;
}
