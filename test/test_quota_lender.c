/* Lending of tenants' caps to pools: the lender, and the pools' owners. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "fleet/quota_client.h"
#include "fleet/quota_lender.h"

#define POOLS	   4
#define TENANTS	   2
#define OWNERS	   3 /* Of a pool, at once. */
#define LENDERS	   3 /* At once. */
#define STEP_MS	   5
#define TICK_MS	   50
#define GATHER_MS  10
#define CPU_MILLIS 1000 /* Of a task of one unit. */
#define MEM_MB	   500
#define GHOST_MS   3000 /* An earlier owner stops after this. */

typedef struct play play_t;

/* A process that owns a pool, or has owned it. */
typedef struct owner {
	play_t *play;
	uint32_t pool;
	uint64_t fence;
	bw_quota_client_t *client;
	int64_t quota[TENANTS]; /* Units; -1: none. */
	/* Of an earlier owner: tasks that it holds, those among them that it
	 * does not know to run, and tasks that it may start. */
	int64_t held[TENANTS];
	int64_t unsure[TENANTS];
	int64_t known[TENANTS];
	int64_t ends_ms; /* When an earlier owner stops; 0: it is the owner. */
	int64_t tick_ms;
	bool applied;
} owner_t;

typedef struct lender {
	play_t *play;
	bw_quota_lender_t *lender;
	uint64_t fence;
	int64_t decided_ms;
	int64_t ends_ms;
	bool due;
} lender_t;

typedef struct message {
	int64_t at_ms;
	bool report;
	size_t bytes;
	uint8_t *data;
} message_t;

/* Tasks of a tenant in a pool, in tasks of the tenant's size. */
typedef struct use {
	int64_t running;
	int64_t waiting;
	int64_t doubtful; /* Of the waiting, those an earlier owner may start.
			   */
} use_t;

struct play {
	GRand *rand;
	int64_t now_ms;
	uint64_t revision;
	uint64_t role; /* Claim of the lender's role. */
	owner_t *owners[POOLS][OWNERS]; /* The first is the true one. */
	lender_t *lenders[LENDERS]; /* The first is the true one. */
	use_t uses[POOLS][TENANTS];
	int64_t room[POOLS]; /* Units that fit into a pool, of each tenant. */
	int64_t size[TENANTS]; /* Units of a task. */
	int64_t cap[TENANTS]; /* Units; 0: no limit. */
	/* Orders that were sent before a cap was lowered may still arrive. */
	int64_t cap_before[TENANTS];
	int64_t cap_before_until_ms[TENANTS];
	int64_t lent_before[TENANTS]; /* Units, at the last check. */
	bool silent[POOLS]; /* Its owner's reports are lost. */
	GPtrArray *messages;
	int64_t delay_min_ms;
	int64_t delay_max_ms;
	double loss;
	uint64_t sent; /* Messages. */
	bool deaf_owners; /* Orders are lost. */
};

static const char *const pool_names[POOLS] = { "a", "b", "c", "d" };
static const char *const tenant_names[TENANTS] = { "large", "small" };

static void message_free(gpointer data)
{
	message_t *m = data;

	g_free(m->data);
	g_free(m);
}

static uint32_t tenant_index(const char *name)
{
	return strcmp(name, tenant_names[0]) ? 1 : 0;
}

static bw_resources_t resources(int64_t units)
{
	return (bw_resources_t){ units * CPU_MILLIS, units * MEM_MB, 0 };
}

static bool owner_capped(void *ctx, const char *tenant)
{
	owner_t *o = ctx;

	return o->play->cap[tenant_index(tenant)] > 0;
}

static void owner_set_quota(void *ctx, const char *tenant,
			    const bw_resources_t *quota)
{
	owner_t *o = ctx;

	o->quota[tenant_index(tenant)] =
		MIN(quota->cpu_millis / CPU_MILLIS, quota->mem_mb / MEM_MB);
}

/* Whether an earlier owner of a pool may still start something. */
static bool has_ghost(const play_t *p, uint32_t pool)
{
	uint32_t i;

	for (i = 1; i < OWNERS; i++)
		if (p->owners[pool][i])
			return true;
	return false;
}

/* Tasks that an earlier owner may have started or may still start. */
static int64_t doubtful(const play_t *p, uint32_t pool, uint32_t tenant)
{
	const use_t *u = &p->uses[pool][tenant];

	return has_ghost(p, pool) ? MIN(u->doubtful, u->waiting) : 0;
}

static int64_t held_by(const owner_t *o, uint32_t tenant)
{
	if (o->ends_ms != 0)
		return o->held[tenant];
	return o->play->uses[o->pool][tenant].running +
	       doubtful(o->play, o->pool, tenant);
}

static int64_t startable_by(const owner_t *o, uint32_t tenant)
{
	const use_t *u = &o->play->uses[o->pool][tenant];
	int64_t unsure = doubtful(o->play, o->pool, tenant);

	if (o->ends_ms != 0)
		return MIN(o->known[tenant], unsure);
	return u->waiting - unsure;
}

static void owner_uses(void *ctx, int64_t now_ms,
		       void (*fn)(void *arg, const bw_tenant_use_t *use),
		       void *arg)
{
	owner_t *o = ctx;
	uint32_t t;

	(void)now_ms;
	for (t = 0; t < TENANTS; t++) {
		int64_t size = o->play->size[t];
		bw_tenant_use_t use = {
			.name = tenant_names[t],
			.held = resources(held_by(o, t) * size),
			.wanted = resources(startable_by(o, t) * size),
			.has_quota = o->quota[t] >= 0,
			.quota = resources(MAX(o->quota[t], 0)),
		};

		if (startable_by(o, t) > 0)
			use.largest = resources(size);
		fn(arg, &use);
	}
}

static const bw_quota_client_ops_t owner_ops = { owner_capped, owner_set_quota,
						 owner_uses };

static void post(play_t *p, const Bramley__Frame *frame, bool report)
{
	message_t *m;

	p->sent++;
	if (g_rand_double(p->rand) < p->loss)
		return;
	m = g_new0(message_t, 1);
	m->report = report;
	m->at_ms =
		p->now_ms + g_rand_int_range(p->rand, (gint32)p->delay_min_ms,
					     (gint32)p->delay_max_ms + 1);
	m->bytes = bramley__frame__get_packed_size(frame);
	m->data = g_malloc(m->bytes + 1);
	bramley__frame__pack(frame, m->data);
	g_ptr_array_add(p->messages, m);
}

static void send_report(void *ctx, const Bramley__Frame *frame)
{
	owner_t *o = ctx;

	if (!o->play->silent[o->pool])
		post(o->play, frame, true);
}

static void send_order(void *ctx, const Bramley__QuotaOrder *order)
{
	lender_t *l = ctx;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;

	frame.body_case = BRAMLEY__FRAME__BODY_QUOTA_ORDER;
	frame.quota_order = (Bramley__QuotaOrder *)order;
	if (!l->play->deaf_owners)
		post(l->play, &frame, false);
}

static uint64_t claim_of(void *ctx, const char *pool)
{
	lender_t *l = ctx;
	const owner_t *o = l->play->owners[pool[0] - 'a'][0];

	return o ? o->fence : 0;
}

static void configure(play_t *p, lender_t *l)
{
	bw_pool_config_t pools[POOLS] = { 0 };
	bw_tenant_t tenants[TENANTS] = { 0 };
	bw_fleet_config_t config = { .pools = pools,
				     .pool_count = POOLS,
				     .tenants = tenants,
				     .tenant_count = TENANTS };
	uint32_t i;

	for (i = 0; i < POOLS; i++)
		pools[i].name = (char *)pool_names[i];
	for (i = 0; i < TENANTS; i++) {
		tenants[i].name = (char *)tenant_names[i];
		tenants[i].terms.cap = resources(p->cap[i]);
	}
	bw_quota_lender_configure(l->lender, p->now_ms, &config);
}

static void lender_free(lender_t *l)
{
	if (!l)
		return;
	bw_quota_lender_destroy(l->lender);
	g_free(l);
}

/* The role gets a new holder; the old ones go on for a while. */
static void new_lender(play_t *p)
{
	lender_t *l = g_new0(lender_t, 1);
	int i;

	lender_free(p->lenders[LENDERS - 1]);
	for (i = LENDERS - 1; i > 0; i--)
		p->lenders[i] = p->lenders[i - 1];
	if (p->lenders[1])
		p->lenders[1]->ends_ms = p->now_ms + GHOST_MS;
	p->lenders[0] = l;
	l->play = p;
	l->fence = ++p->revision;
	l->lender = bw_quota_lender_create(l->fence);
	p->role = l->fence;
	configure(p, l);
	bw_quota_lender_read_claims(l->lender, p->now_ms, claim_of, l);
}

static void owner_free(owner_t *o)
{
	if (!o)
		return;
	bw_quota_client_destroy(o->client);
	g_free(o);
}

/* The owner loses its claim, and stops at once or later. */
static void end_owner(play_t *p, uint32_t pool, bool cut_off)
{
	owner_t *o = p->owners[pool][0];
	int i;
	uint32_t t;

	if (!o)
		return;
	p->owners[pool][0] = NULL;
	if (!cut_off) {
		owner_free(o);
		return;
	}
	for (t = 0; t < TENANTS; t++) {
		o->held[t] = held_by(o, t);
		o->unsure[t] = doubtful(p, pool, t);
		p->uses[pool][t].doubtful = p->uses[pool][t].waiting;
		o->known[t] = startable_by(o, t);
	}
	o->ends_ms = p->now_ms + GHOST_MS;
	owner_free(p->owners[pool][OWNERS - 1]);
	for (i = OWNERS - 1; i > 1; i--)
		p->owners[pool][i] = p->owners[pool][i - 1];
	p->owners[pool][1] = o;
}

static void new_owner(play_t *p, uint32_t pool)
{
	owner_t *o = g_new0(owner_t, 1);
	uint32_t t;

	o->play = p;
	o->pool = pool;
	o->fence = ++p->revision;
	for (t = 0; t < TENANTS; t++) {
		o->quota[t] = -1;
		p->uses[pool][t].doubtful = p->uses[pool][t].waiting;
	}
	o->client = bw_quota_client_create(pool_names[pool], o->fence,
					   &owner_ops, o);
	bw_quota_client_lender(o->client, p->role);
	p->owners[pool][0] = o;
}

/* Starts what an owner may start. */
static void start_tasks(owner_t *o)
{
	play_t *p = o->play;
	uint32_t t;

	for (t = 0; t < TENANTS; t++) {
		use_t *u = &p->uses[o->pool][t];
		int64_t size = p->size[t];
		int64_t most = MIN(o->quota[t], p->cap[t]);

		if (p->cap[t] == 0)
			most = INT64_MAX;
		else if (size > p->cap[t] && held_by(o, t) == 0 &&
			 o->quota[t] >= size)
			most = size;
		most = MIN(most, p->room[o->pool]);
		while (startable_by(o, t) > 0 &&
		       (held_by(o, t) + 1) * size <= most) {
			u->running++;
			u->waiting--;
			if (o->ends_ms == 0)
				continue;
			u->doubtful--;
			o->held[t]++;
			o->known[t]--;
		}
	}
}

static void end_tasks(play_t *p, uint32_t pool, uint32_t tenant, int64_t count)
{
	use_t *u = &p->uses[pool][tenant];
	int i;

	u->running -= MIN(count, u->running);
	for (i = 1; i < OWNERS; i++) {
		owner_t *o = p->owners[pool][i];

		if (o)
			o->held[tenant] = MIN(o->held[tenant],
					      u->running + o->unsure[tenant]);
	}
}

/* Most that may run in a pool if no order arrives any more. */
static int64_t potential(const play_t *p, uint32_t pool, uint32_t tenant)
{
	const use_t *u = &p->uses[pool][tenant];
	int64_t size = p->size[tenant];
	int64_t tasks = u->running;
	int64_t quota = 0;
	int i;

	for (i = 0; i < OWNERS; i++) {
		const owner_t *o = p->owners[pool][i];

		if (!o || o->quota[tenant] < 0)
			continue;
		if (i == 0)
			quota = o->quota[tenant];
		else
			tasks +=
				CLAMP(o->quota[tenant] / size - o->held[tenant],
				      0, startable_by(o, tenant));
	}
	return MAX(quota, tasks * size);
}

static int64_t highest_cap(const play_t *p, uint32_t tenant)
{
	if (p->now_ms < p->cap_before_until_ms[tenant])
		return MAX(p->cap[tenant], p->cap_before[tenant]);
	return p->cap[tenant];
}

/* The sum may not grow beyond the cap, but for one pool's task alone. */
static bool caps_hold(play_t *p)
{
	bool hold = true;
	uint32_t t;
	uint32_t i;

	for (t = 0; t < TENANTS; t++) {
		int64_t sum = 0;
		uint32_t pools = 0;

		for (i = 0; i < POOLS; i++) {
			int64_t most = potential(p, i, t);

			sum += most;
			pools += most > 0;
		}
		if (p->cap[t] > 0 &&
		    sum > MAX(highest_cap(p, t), p->lent_before[t]) &&
		    !(pools == 1 && p->size[t] > p->cap[t] &&
		      sum <= p->size[t]))
			hold = false;
		p->lent_before[t] = p->cap[t] > 0 ? sum : INT64_MAX;
	}
	return hold;
}

static void deliver_report(play_t *p, const Bramley__QuotaReport *report)
{
	int i;

	for (i = 0; i < LENDERS; i++) {
		lender_t *l = p->lenders[i];

		if (!l)
			continue;
		bw_quota_lender_report(l->lender, p->now_ms, report);
		l->due = true;
	}
}

static void deliver_order(play_t *p, const Bramley__QuotaOrder *order)
{
	uint32_t pool = (uint32_t)(order->pool[0] - 'a');
	int i;

	for (i = 0; i < OWNERS; i++) {
		owner_t *o = p->owners[pool][i];

		if (o &&
		    bw_quota_client_apply(o->client, order) == BW_QUOTA_APPLIED)
			o->applied = true;
	}
}

static void deliver(play_t *p)
{
	guint i = 0;

	while (i < p->messages->len) {
		message_t *m = g_ptr_array_index(p->messages, i);
		Bramley__Frame *frame;

		if (m->at_ms > p->now_ms) {
			i++;
			continue;
		}
		frame = bramley__frame__unpack(NULL, m->bytes, m->data);
		assert_non_null(frame);
		if (m->report)
			deliver_report(p, frame->quota_report);
		else
			deliver_order(p, frame->quota_order);
		bramley__frame__free_unpacked(frame, NULL);
		/* Some come twice. */
		if (g_rand_double(p->rand) < p->loss)
			m->at_ms = p->now_ms + p->delay_max_ms;
		else
			g_ptr_array_remove_index(p->messages, i);
	}
}

static void step_owner(owner_t *o)
{
	play_t *p = o->play;

	if (p->now_ms >= o->tick_ms || o->applied) {
		o->tick_ms = p->now_ms + TICK_MS;
		o->applied = false;
		bw_quota_client_tick(o->client, p->now_ms, send_report, o);
	}
	start_tasks(o);
}

static void step_lender(lender_t *l)
{
	int64_t now_ms = l->play->now_ms;

	if (now_ms - l->decided_ms < (l->due ? GATHER_MS : TICK_MS))
		return;
	l->decided_ms = now_ms;
	l->due = false;
	bw_quota_lender_decide(l->lender, now_ms, send_order, l);
}

static void end_ghosts(play_t *p)
{
	uint32_t pool;
	int i;

	for (pool = 0; pool < POOLS; pool++)
		for (i = 1; i < OWNERS; i++)
			if (p->owners[pool][i] &&
			    p->now_ms >= p->owners[pool][i]->ends_ms) {
				owner_free(p->owners[pool][i]);
				p->owners[pool][i] = NULL;
			}
	for (i = 1; i < LENDERS; i++)
		if (p->lenders[i] && p->now_ms >= p->lenders[i]->ends_ms) {
			lender_free(p->lenders[i]);
			p->lenders[i] = NULL;
		}
}

static bool step(play_t *p)
{
	uint32_t pool;
	int i;

	p->now_ms += STEP_MS;
	end_ghosts(p);
	deliver(p);
	for (pool = 0; pool < POOLS; pool++)
		for (i = 0; i < OWNERS; i++)
			if (p->owners[pool][i])
				step_owner(p->owners[pool][i]);
	for (i = 0; i < LENDERS; i++)
		if (p->lenders[i])
			step_lender(p->lenders[i]);
	return caps_hold(p);
}

static void run(play_t *p, int64_t ms)
{
	int64_t end_ms = p->now_ms + ms;

	while (p->now_ms < end_ms)
		assert_true(step(p));
}

static play_t *play_new(guint32 seed)
{
	play_t *p = g_new0(play_t, 1);
	uint32_t i;

	p->rand = g_rand_new_with_seed(seed);
	p->now_ms = 1000;
	p->messages = g_ptr_array_new_with_free_func(message_free);
	p->delay_min_ms = 1;
	p->delay_max_ms = 3;
	p->cap[0] = 100;
	p->cap[1] = 10;
	p->size[0] = 1;
	p->size[1] = 1;
	for (i = 0; i < POOLS; i++) {
		p->room[i] = INT64_MAX;
		new_owner(p, i);
	}
	new_lender(p);
	return p;
}

static void play_free(play_t *p)
{
	uint32_t pool;
	int i;

	for (pool = 0; pool < POOLS; pool++)
		for (i = 0; i < OWNERS; i++)
			owner_free(p->owners[pool][i]);
	for (i = 0; i < LENDERS; i++)
		lender_free(p->lenders[i]);
	g_ptr_array_free(p->messages, TRUE);
	g_rand_free(p->rand);
	g_free(p);
}

static void finish(play_t *p, uint32_t pool, uint32_t tenant)
{
	end_tasks(p, pool, tenant, p->uses[pool][tenant].running);
	p->uses[pool][tenant].waiting = 0;
}

static int64_t running(const play_t *p, uint32_t tenant)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < POOLS; i++)
		sum += p->uses[i][tenant].running;
	return sum;
}

/* Time until a tenant has so many tasks running in a pool. */
static int64_t time_until(play_t *p, uint32_t pool, uint32_t tenant,
			  int64_t tasks, int64_t limit_ms)
{
	int64_t began_ms = p->now_ms;

	while (p->uses[pool][tenant].running < tasks &&
	       p->now_ms - began_ms < limit_ms)
		assert_true(step(p));
	return p->now_ms - began_ms;
}

/* Nothing starts without a quota, and then within two rounds of messages. */
static void test_first_demand(void **state)
{
	play_t *p = play_new(1);

	(void)state;
	p->deaf_owners = true;
	p->uses[0][0].waiting = 60;
	run(p, 1000);
	assert_int_equal(running(p, 0), 0);
	p->deaf_owners = false;
	assert_true(time_until(p, 0, 0, 60, 1000) <= 300);
	play_free(p);
}

/* The demand goes round: each pool in turn wants the whole cap. */
static void test_turns_of_demand(void **state)
{
	play_t *p = play_new(2);
	int64_t worst_ms = 0;
	uint64_t worst_sent = 0;
	uint32_t round;

	(void)state;
	run(p, 500);
	for (round = 0; round < 4 * POOLS; round++) {
		uint32_t pool = round % POOLS;
		uint64_t sent = p->sent;
		int64_t ms;

		p->uses[pool][0].waiting = 100;
		ms = time_until(p, pool, 0, 100, 1000);
		worst_ms = MAX(worst_ms, ms);
		worst_sent = MAX(worst_sent, p->sent - sent);
		run(p, 1000);
		finish(p, pool, 0);
	}
	print_message("turns of demand: whole cap moved in %d ms at most, "
		      "%d messages of all pools meanwhile\n",
		      (int)worst_ms, (int)worst_sent);
	/* A tick of the owner, and two rounds of order and report. */
	assert_true(worst_ms <= TICK_MS + 4 * (3 + GATHER_MS) + TICK_MS);
	play_free(p);
}

/* Pools that want more than the cap divide it, also while tasks run on. */
static void test_divided(void **state)
{
	play_t *p = play_new(3);
	uint32_t i;

	(void)state;
	p->uses[0][0].waiting = 1000;
	run(p, 1000);
	assert_int_equal(p->uses[0][0].running, 100);
	p->uses[1][0].waiting = 1000;
	for (i = 0; i < 100; i++) {
		end_tasks(p, 0, 0, 2);
		end_tasks(p, 1, 0, 2);
		run(p, 40);
	}
	assert_in_range(p->uses[0][0].running, 45, 55);
	assert_in_range(p->uses[1][0].running, 45, 55);
	play_free(p);
}

/* Four pools want tasks, and the cap has room for two of them at a time. */
static void test_fewer_units_than_pools(void **state)
{
	play_t *p = play_new(4);
	int64_t started[POOLS] = { 0 };
	uint32_t i;
	uint32_t pool;

	(void)state;
	p->size[1] = 4;
	for (pool = 0; pool < POOLS; pool++)
		p->uses[pool][1].waiting = 1000;
	run(p, 500);
	assert_int_equal(running(p, 1), 2);
	for (i = 0; i < 100; i++) {
		for (pool = 0; pool < POOLS; pool++) {
			started[pool] += p->uses[pool][1].running;
			end_tasks(p, pool, 1, 1);
		}
		run(p, 100);
		assert_true(running(p, 1) >= 1);
	}
	for (pool = 0; pool < POOLS; pool++)
		assert_true(started[pool] >= 20);
	play_free(p);
}

/* Pools that are full want much, and can't start it; the cap is for those that
 * can. Once there is room again, they get their part. */
static void test_full_pools(void **state)
{
	play_t *p = play_new(15);
	uint32_t i;

	(void)state;
	for (i = 0; i < POOLS; i++)
		p->uses[i][0].waiting = 1000;
	for (i = 1; i < POOLS; i++)
		p->room[i] = 5;
	run(p, 3000);
	assert_true(running(p, 0) >= 80);
	for (i = 1; i < POOLS; i++)
		p->room[i] = INT64_MAX;
	for (i = 0; i < 75; i++) {
		end_tasks(p, 0, 0, 1);
		run(p, 40);
	}
	assert_true(running(p, 0) >= 95);
	for (i = 1; i < POOLS; i++)
		assert_true(p->uses[i][0].running >= 15);
	play_free(p);
}

/* Orders are lost for a while: the pools keep what they have. */
static void test_lost_orders(void **state)
{
	play_t *p = play_new(5);

	(void)state;
	p->uses[0][0].waiting = 50;
	run(p, 500);
	p->deaf_owners = true;
	p->uses[1][0].waiting = 90;
	run(p, 3000);
	finish(p, 0, 0);
	p->uses[0][0].waiting = 50;
	run(p, 500);
	assert_int_equal(p->uses[0][0].running, 50);
	p->deaf_owners = false;
	run(p, 1000);
	assert_int_equal(running(p, 0), 100);
	play_free(p);
}

/* A lender takes over while orders of the last one are under way. */
static void test_new_lender(void **state)
{
	play_t *p = play_new(6);

	(void)state;
	p->delay_min_ms = 1;
	p->delay_max_ms = 200;
	p->uses[0][0].waiting = 80;
	run(p, 1000);
	p->uses[1][0].waiting = 100;
	run(p, 60);
	new_lender(p);
	finish(p, 0, 0);
	assert_true(time_until(p, 1, 0, 100, 5000) <= 2000);
	assert_int_equal(running(p, 0), 100);
	play_free(p);
}

/* An owner dies with its quota: the next one has none until it has reported. */
static void test_owner_dies(void **state)
{
	play_t *p = play_new(7);

	(void)state;
	p->uses[0][0].waiting = 60;
	run(p, 1000);
	p->uses[1][0].waiting = 60;
	run(p, 1000);
	assert_int_equal(running(p, 0), 100);
	end_owner(p, 0, false);
	finish(p, 1, 0);
	p->uses[1][0].waiting = 100;
	run(p, 2000);
	assert_true(running(p, 0) <= 100);
	new_owner(p, 0);
	finish(p, 0, 0);
	assert_true(time_until(p, 1, 0, 100, 2000) <= 500);
	play_free(p);
}

/* An owner that is cut off goes on with its quota beside the next one. */
static void test_owner_cut_off(void **state)
{
	play_t *p = play_new(8);

	(void)state;
	p->uses[0][0].waiting = 30;
	run(p, 1000);
	p->uses[0][0].waiting = 50;
	end_owner(p, 0, true);
	new_owner(p, 0);
	p->uses[1][0].waiting = 100;
	run(p, GHOST_MS + 1000);
	assert_int_equal(running(p, 0), 100);
	play_free(p);
}

/* Until all pools have reported to a new lender, nothing is raised; the pools
 * go on with what they have. */
static void test_silent_pool(void **state)
{
	play_t *p = play_new(9);

	(void)state;
	p->uses[0][0].waiting = 40;
	run(p, 1000);
	p->silent[3] = true;
	new_lender(p);
	p->uses[1][0].waiting = 100;
	run(p, 3000);
	assert_int_equal(p->uses[1][0].running, 0);
	finish(p, 0, 0);
	p->uses[0][0].waiting = 40;
	run(p, 200);
	assert_int_equal(p->uses[0][0].running, 40);
	p->silent[3] = false;
	run(p, 1000);
	assert_int_equal(running(p, 0), 100);
	play_free(p);
}

static void set_cap(play_t *p, uint32_t tenant, int64_t cap)
{
	int i;

	if (cap < p->cap[tenant]) {
		p->cap_before[tenant] = highest_cap(p, tenant);
		p->cap_before_until_ms[tenant] =
			p->now_ms + 2 * p->delay_max_ms;
	}
	p->cap[tenant] = cap;
	for (i = 0; i < LENDERS; i++)
		if (p->lenders[i])
			configure(p, p->lenders[i]);
}

/* Nothing is stopped for a lowered cap, but nothing starts above it. */
static void test_cap_changes(void **state)
{
	play_t *p = play_new(10);

	(void)state;
	p->uses[0][0].waiting = 100;
	p->uses[1][0].waiting = 100;
	run(p, 1000);
	assert_int_equal(running(p, 0), 100);
	set_cap(p, 0, 40);
	run(p, 1000);
	assert_int_equal(running(p, 0), 100);
	end_tasks(p, 0, 0, 35);
	end_tasks(p, 1, 0, 35);
	run(p, 1000);
	assert_int_equal(running(p, 0), 40);
	set_cap(p, 0, 90);
	run(p, 500);
	assert_int_equal(running(p, 0), 90);
	set_cap(p, 0, 0);
	run(p, 500);
	assert_int_equal(running(p, 0), 130);
	set_cap(p, 0, 100);
	run(p, 1000);
	assert_int_equal(running(p, 0), 130);
	play_free(p);
}

/* A task larger than the whole cap runs when nothing else of the tenant does,
 * and gets its turn beside steady demand. */
static void test_larger_than_cap(void **state)
{
	play_t *p = play_new(11);

	(void)state;
	p->size[1] = 25;
	p->uses[2][1].waiting = 3;
	p->uses[3][1].waiting = 1;
	run(p, 1000);
	assert_int_equal(running(p, 1), 1);
	finish(p, 3, 1);
	end_tasks(p, 2, 1, 1);
	run(p, 1000);
	assert_int_equal(running(p, 1), 1);
	play_free(p);
}

/* A lender by itself, with two pools and a tenant with a cap of 100 units. */
typedef struct bare {
	bw_quota_lender_t *lender;
	uint64_t claims[2];
	int64_t ordered[2]; /* Units, by the last order to each; -1: none. */
} bare_t;

static uint64_t bare_claim(void *ctx, const char *pool)
{
	return ((bare_t *)ctx)->claims[pool[0] - 'a'];
}

static void bare_order(void *ctx, const Bramley__QuotaOrder *order)
{
	if (order->n_tenants > 0)
		((bare_t *)ctx)->ordered[order->pool[0] - 'a'] =
			order->tenants[0]->quota->cpu_millis / CPU_MILLIS;
}

static void bare_report(bare_t *b, int64_t now_ms, uint32_t pool,
			uint64_t fence, uint64_t number, int64_t held,
			int64_t wanted, int64_t quota)
{
	Bramley__QuotaReport report = BRAMLEY__QUOTA_REPORT__INIT;
	Bramley__TenantUse use = BRAMLEY__TENANT_USE__INIT;
	Bramley__TenantUse *uses[] = { &use };
	Bramley__Resources values[3];
	int i;

	for (i = 0; i < 3; i++)
		bramley__resources__init(&values[i]);
	values[0].cpu_millis = held * CPU_MILLIS;
	values[1].cpu_millis = wanted * CPU_MILLIS;
	values[2].cpu_millis = quota * CPU_MILLIS;
	use.tenant = (char *)tenant_names[0];
	use.held = &values[0];
	use.wanted = &values[1];
	use.quota = &values[2];
	report.pool = (char *)pool_names[pool];
	report.fence = fence;
	report.lender = 20;
	report.number = number;
	report.n_tenants = 1;
	report.tenants = uses;
	bw_quota_lender_report(b->lender, now_ms, &report);
	bw_quota_lender_decide(b->lender, now_ms, bare_order, b);
}

static void bare_open(bare_t *b)
{
	bw_pool_config_t pools[2] = { { "a", false }, { "b", false } };
	bw_tenant_t tenant = { .name = (char *)tenant_names[0] };
	bw_fleet_config_t config = { .pools = pools,
				     .pool_count = 2,
				     .tenants = &tenant,
				     .tenant_count = 1 };

	tenant.terms.cap.cpu_millis = (int64_t)100 * CPU_MILLIS;
	b->lender = bw_quota_lender_create(20);
	b->claims[0] = 15;
	b->claims[1] = 16;
	b->ordered[0] = -1;
	b->ordered[1] = -1;
	bw_quota_lender_configure(b->lender, 1000, &config);
	bw_quota_lender_read_claims(b->lender, 1000, bare_claim, b);
}

/* An owner that has been replaced reports to the lender, which has read the
 * claim of its successor. */
static void test_replaced_owner_reports(void **state)
{
	bare_t b;

	(void)state;
	bare_open(&b);
	bare_report(&b, 10000, 1, 16, 0, 0, 50, 0);
	bare_report(&b, 10010, 0, 12, 0, 0, 0, 0);
	assert_int_equal(b.ordered[1], -1);
	bare_report(&b, 10020, 0, 15, 0, 0, 0, 0);
	assert_int_equal(b.ordered[1], 100);
	bw_quota_lender_destroy(b.lender);
}

/* An owner dies after an order that it has not reported: what it may have
 * started by that order counts. */
static void test_owner_dies_with_an_order(void **state)
{
	bare_t b;

	(void)state;
	bare_open(&b);
	bare_report(&b, 10000, 1, 16, 0, 0, 0, 0);
	bare_report(&b, 10010, 0, 15, 0, 0, 50, 0);
	assert_int_equal(b.ordered[0], 100);
	bare_report(&b, 10020, 1, 16, 0, 0, 100, 0);
	assert_int_equal(b.ordered[1], -1);
	bare_report(&b, 10030, 0, 25, 0, 80, 0, 0);
	assert_int_equal(b.ordered[1], 20);
	bw_quota_lender_destroy(b.lender);
}

/* A new owner reports all that its predecessor might have started; this one had
 * no quota, and started nothing. */
static void test_owner_in_doubt(void **state)
{
	bare_t b;

	(void)state;
	bare_open(&b);
	bare_report(&b, 10000, 0, 15, 0, 0, 0, 0);
	bare_report(&b, 10010, 1, 16, 0, 0, 0, 0);
	bare_report(&b, 10020, 0, 25, 0, 500, 0, 0);
	bare_report(&b, 10030, 1, 16, 0, 0, 100, 0);
	assert_int_equal(b.ordered[1], 100);
	bw_quota_lender_destroy(b.lender);
}

/* a pool's long tasks go on beyond a lowered cap; the other pool's, as
 * they end, must not be followed by new ones. */
static void test_lowered_cap_with_long_tasks(void **state)
{
	play_t *p = play_new(10);

	(void)state;
	p->uses[0][0].waiting = 50;
	p->uses[1][0].waiting = 1000;
	run(p, 1000);
	assert_int_equal(p->uses[0][0].running, 50);
	assert_int_equal(running(p, 0), 100);
	set_cap(p, 0, 40);
	run(p, 1000);
	end_tasks(p, 1, 0, 50);
	run(p, 1000);
	assert_int_equal(running(p, 0), 50);
	end_tasks(p, 0, 0, 50);
	run(p, 1000);
	assert_int_equal(running(p, 0), 40);
	play_free(p);
}

/* a change of the configuration lowers a cap and adds a pool, which has
 * no owner yet. */
static void test_cap_is_lowered_beside_a_new_pool(void **state)
{
	bw_pool_config_t pools[3] = { { "a", false },
				      { "b", false },
				      { "c", false } };
	bw_tenant_t tenant = { .name = (char *)tenant_names[0] };
	bw_fleet_config_t config = { .pools = pools,
				     .pool_count = 3,
				     .tenants = &tenant,
				     .tenant_count = 1 };
	bare_t b;

	(void)state;
	bare_open(&b);
	bare_report(&b, 10000, 1, 16, 0, 0, 0, 0);
	bare_report(&b, 10010, 0, 15, 0, 0, 50, 0);
	assert_int_equal(b.ordered[0], 100);
	bare_report(&b, 10020, 0, 15, 1, 50, 50, 100);
	b.ordered[0] = -1;
	tenant.terms.cap.cpu_millis = (int64_t)40 * CPU_MILLIS;
	bw_quota_lender_configure(b.lender, 11000, &config);
	bare_report(&b, 11010, 1, 16, 0, 0, 0, 0);
	bare_report(&b, 11020, 0, 15, 1, 50, 50, 100);
	assert_in_range(b.ordered[0], 0, 40);
	bw_quota_lender_destroy(b.lender);
}

/* A round of reports of all tenants from two pools, and the orders. */
static void test_many_tenants(void **state)
{
	enum { COUNT = 10000 };
	bw_quota_lender_t *l = bw_quota_lender_create(5);
	bw_pool_config_t pools[2] = { { "a", false }, { "b", false } };
	bw_tenant_t *tenants = g_new0(bw_tenant_t, COUNT);
	bw_fleet_config_t config = { .pools = pools,
				     .pool_count = 2,
				     .tenants = tenants,
				     .tenant_count = COUNT };
	play_t *p = play_new(12);
	bw_quota_lender_stats_t stats;
	Bramley__TenantUse *uses = g_new0(Bramley__TenantUse, COUNT);
	Bramley__TenantUse **list = g_new0(Bramley__TenantUse *, COUNT);
	Bramley__Resources wanted = BRAMLEY__RESOURCES__INIT;
	uint64_t before;
	int64_t began_us;
	int64_t took_us;
	uint32_t round;
	uint32_t i;

	(void)state;
	wanted.cpu_millis = 3000;
	for (i = 0; i < COUNT; i++) {
		tenants[i].name = g_strdup_printf("tenant-%u", i);
		tenants[i].terms.cap.cpu_millis = 8000;
		bramley__tenant_use__init(&uses[i]);
		uses[i].tenant = tenants[i].name;
		uses[i].wanted = &wanted;
		uses[i].largest = &wanted;
		list[i] = &uses[i];
	}
	bw_quota_lender_configure(l, 1000, &config);
	bw_quota_lender_read_claims(l, 1000, claim_of, p->lenders[0]);
	began_us = g_get_monotonic_time();
	for (round = 0; round < 10; round++) {
		for (i = 0; i < 2; i++) {
			Bramley__QuotaReport report =
				BRAMLEY__QUOTA_REPORT__INIT;

			report.pool = pools[i].name;
			report.fence = 10 + i;
			report.lender = 5;
			report.number = round;
			report.tenants = list;
			report.n_tenants = COUNT;
			bw_quota_lender_report(l, 1000 + round * 300, &report);
		}
		bw_quota_lender_decide(l, 1000 + round * 300, send_order,
				       p->lenders[0]);
	}
	took_us = g_get_monotonic_time() - began_us;
	bw_quota_lender_stats(l, &stats);
	print_message("10,000 tenants in 2 pools: %.1f ms a round of reports "
		      "and orders\n",
		      (double)took_us / 10000);
	assert_int_equal(stats.tenants, COUNT);
	assert_true(stats.orders >= 10);
	/* So long reports are seldom, and count for longer. */
	before = stats.orders;
	bw_quota_lender_decide(l, 1000 + 9 * 300 + 2000, send_order,
			       p->lenders[0]);
	bw_quota_lender_stats(l, &stats);
	assert_true(stats.orders > before);
	for (i = 0; i < COUNT; i++)
		g_free(tenants[i].name);
	g_free(list);
	g_free(uses);
	g_free(tenants);
	bw_quota_lender_destroy(l);
	play_free(p);
}

/* An owner of a pool with many tenants at work. */
typedef struct many {
	uint32_t tenants;
	uint32_t reports;
} many_t;

static bool many_capped(void *ctx, const char *tenant)
{
	(void)ctx;
	(void)tenant;
	return true;
}

static void many_uses(void *ctx, int64_t now_ms,
		      void (*fn)(void *arg, const bw_tenant_use_t *use),
		      void *arg)
{
	many_t *m = ctx;
	bw_tenant_use_t use = { .name = "t", .wanted = resources(1) };
	uint32_t i;

	(void)now_ms;
	for (i = 0; i < m->tenants; i++)
		fn(arg, &use);
}

static void many_send(void *ctx, const Bramley__Frame *frame)
{
	many_t *m = ctx;

	assert_int_equal(frame->quota_report->n_tenants, m->tenants);
	m->reports++;
}

/* Reports in ten seconds of an owner whose tenants all want more. */
static uint32_t count_reports(uint32_t tenants)
{
	bw_quota_client_ops_t ops = { many_capped, owner_set_quota, many_uses };
	many_t m = { .tenants = tenants };
	bw_quota_client_t *c = bw_quota_client_create("a", 1, &ops, &m);
	int64_t now_ms;

	for (now_ms = 1000; now_ms < 11000; now_ms += TICK_MS)
		bw_quota_client_tick(c, now_ms, many_send, &m);
	bw_quota_client_destroy(c);
	return m.reports;
}

/* The longer a report, the less often it is sent, but often enough. */
static void test_long_reports(void **state)
{
	(void)state;
	assert_in_range(count_reports(20), 50, 100);
	assert_in_range(count_reports(10000), 5, 12);
}

/* An order for another owner, of an earlier lender, or older than the last. */
static void test_refused_orders(void **state)
{
	play_t *p = play_new(13);
	owner_t *o = p->owners[0][0];
	Bramley__QuotaOrder order = BRAMLEY__QUOTA_ORDER__INIT;

	(void)state;
	order.pool = (char *)pool_names[0];
	order.fence = o->fence + 1;
	order.lender = p->role;
	order.number = 5;
	assert_int_equal(bw_quota_client_apply(o->client, &order),
			 BW_QUOTA_OTHER_OWNER);
	order.fence = o->fence;
	assert_int_equal(bw_quota_client_apply(o->client, &order),
			 BW_QUOTA_APPLIED);
	assert_int_equal(bw_quota_client_apply(o->client, &order),
			 BW_QUOTA_OLD_ORDER);
	order.lender--;
	order.number = 9;
	assert_int_equal(bw_quota_client_apply(o->client, &order),
			 BW_QUOTA_OLD_LENDER);
	order.lender += 2;
	order.number = 1;
	assert_int_equal(bw_quota_client_apply(o->client, &order),
			 BW_QUOTA_APPLIED);
	bw_quota_client_lender(o->client, order.lender + 1);
	order.number = 2;
	assert_int_equal(bw_quota_client_apply(o->client, &order),
			 BW_QUOTA_OLD_LENDER);
	play_free(p);
}

/* A quota that has been of no use for long is given back. */
static void test_idle_quota(void **state)
{
	play_t *p = play_new(14);

	(void)state;
	p->uses[0][0].waiting = 10;
	run(p, 500);
	assert_int_equal(p->uses[0][0].running, 10);
	finish(p, 0, 0);
	run(p, 20000);
	assert_true(p->owners[0][0]->quota[0] > 0);
	run(p, 15000);
	assert_int_equal(p->owners[0][0]->quota[0], 0);
	p->uses[0][0].waiting = 10;
	run(p, 300);
	assert_int_equal(p->uses[0][0].running, 10);
	play_free(p);
}

static void random_event(play_t *p)
{
	uint32_t pool = (uint32_t)g_rand_int_range(p->rand, 0, POOLS);
	uint32_t tenant = (uint32_t)g_rand_int_range(p->rand, 0, TENANTS);
	int64_t amount = g_rand_int_range(p->rand, 1, 60);

	switch (g_rand_int_range(p->rand, 0, 40)) {
	case 0:
		new_lender(p);
		break;
	case 1:
	case 2:
		end_owner(p, pool, g_rand_boolean(p->rand));
		new_owner(p, pool);
		break;
	case 3:
		end_owner(p, pool, g_rand_boolean(p->rand));
		break;
	case 4:
		p->silent[pool] = !p->silent[pool];
		break;
	case 5:
		set_cap(p, tenant, g_rand_int_range(p->rand, 5, 120));
		break;
	default:
		if (amount % 3 == 0)
			p->uses[pool][tenant].waiting +=
				amount / p->size[tenant];
		else
			end_tasks(p, pool, tenant, amount);
	}
}

static void follow_claims(play_t *p)
{
	uint32_t pool;

	for (pool = 0; pool < POOLS; pool++) {
		if (!p->owners[pool][0] &&
		    g_rand_int_range(p->rand, 0, 40) == 0)
			new_owner(p, pool);
		if (p->owners[pool][0] && g_rand_int_range(p->rand, 0, 20) == 0)
			bw_quota_client_lender(p->owners[pool][0]->client,
					       p->role);
	}
	if (g_rand_int_range(p->rand, 0, 20) == 0)
		bw_quota_lender_read_claims(p->lenders[0]->lender, p->now_ms,
					    claim_of, p->lenders[0]);
}

/* After all faults, what waits can use most of the cap. */
static void calm_down(play_t *p)
{
	uint32_t i;
	uint32_t t;

	p->loss = 0;
	for (i = 0; i < POOLS; i++) {
		p->silent[i] = false;
		if (!p->owners[i][0])
			new_owner(p, i);
	}
	for (i = 0; i < 1200; i++) {
		follow_claims(p);
		assert_true(step(p));
	}
	for (t = 0; t < TENANTS; t++) {
		int64_t used = running(p, t) * p->size[t];
		int64_t waiting = 0;

		for (i = 0; i < POOLS; i++)
			waiting += p->uses[i][t].waiting;
		assert_true(waiting == 0 || 2 * used >= p->cap[t]);
	}
}

static void play_random(guint32 seed)
{
	play_t *p = play_new(seed);
	uint32_t i;

	p->loss = 0.1;
	p->delay_max_ms = 400;
	p->size[0] = g_rand_int_range(p->rand, 1, 5);
	p->size[1] = g_rand_int_range(p->rand, 1, 4);
	p->cap[1] = 20;
	for (i = 0; i < 6000; i++) {
		if (g_rand_int_range(p->rand, 0, 8) == 0)
			random_event(p);
		follow_claims(p);
		if (!step(p)) {
			print_message("seed %u, %d ms: a cap is exceeded\n",
				      seed, (int)p->now_ms);
			fail();
		}
	}
	calm_down(p);
	play_free(p);
}

/* Owners and lenders come and go; messages are lost, late, repeated and out of
 * order. */
static void test_random(void **state)
{
	guint32 seed;

	(void)state;
	for (seed = 1; seed <= 60; seed++)
		play_random(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_demand),
		cmocka_unit_test(test_turns_of_demand),
		cmocka_unit_test(test_divided),
		cmocka_unit_test(test_fewer_units_than_pools),
		cmocka_unit_test(test_full_pools),
		cmocka_unit_test(test_lost_orders),
		cmocka_unit_test(test_new_lender),
		cmocka_unit_test(test_owner_dies),
		cmocka_unit_test(test_owner_cut_off),
		cmocka_unit_test(test_silent_pool),
		cmocka_unit_test(test_cap_changes),
		cmocka_unit_test(test_lowered_cap_with_long_tasks),
		cmocka_unit_test(test_cap_is_lowered_beside_a_new_pool),
		cmocka_unit_test(test_larger_than_cap),
		cmocka_unit_test(test_replaced_owner_reports),
		cmocka_unit_test(test_owner_dies_with_an_order),
		cmocka_unit_test(test_owner_in_doubt),
		cmocka_unit_test(test_many_tenants),
		cmocka_unit_test(test_long_reports),
		cmocka_unit_test(test_refused_orders),
		cmocka_unit_test(test_idle_quota),
		cmocka_unit_test(test_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
