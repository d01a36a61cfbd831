/* The order of tenants in a pool that is short of room. */
#include "test.h"

#include <string.h>

#include "sched/fair.h"

#define PARTIES_MAX 4

/** A pool; each item needs what its party's tasks need. */
typedef struct pool {
	bw_fair_t *fair;
	bw_resources_t capacity;
	bw_resources_t used;
	bw_fair_party_t parties[PARTIES_MAX];
	bw_resources_t need[PARTIES_MAX];
	int items[PARTIES_MAX]; /**< Their addresses are the items. */
	uint32_t started[PARTIES_MAX];
} pool_t;

static void pool_begin(pool_t *p, int64_t cpu_millis, int64_t mem_mb)
{
	memset(p, 0, sizeof(*p));
	p->fair = bw_fair_create();
	p->capacity = (bw_resources_t){ cpu_millis, mem_mb, 0 };
}

static void pool_party(pool_t *p, uint32_t i, double weight, int64_t cpu_millis,
		       int64_t mem_mb)
{
	p->parties[i].weight = weight;
	p->need[i] = (bw_resources_t){ cpu_millis, mem_mb, 0 };
}

static void pool_wait(pool_t *p, uint32_t i, uint32_t count)
{
	while (count-- > 0)
		bw_fair_add(p->fair, &p->parties[i], &p->items[i]);
}

static bool fits(const pool_t *p, uint32_t i)
{
	return p->used.cpu_millis + p->need[i].cpu_millis <=
		       p->capacity.cpu_millis &&
	       p->used.mem_mb + p->need[i].mem_mb <= p->capacity.mem_mb;
}

static void use(pool_t *p, uint32_t i)
{
	bw_resources_t *used = &p->parties[i].used;

	p->used.cpu_millis += p->need[i].cpu_millis;
	p->used.mem_mb += p->need[i].mem_mb;
	used->cpu_millis += p->need[i].cpu_millis;
	used->mem_mb += p->need[i].mem_mb;
	p->started[i]++;
}

/* Starts items in the order until each has been tried. */
static void pool_fill(pool_t *p)
{
	const int *item;

	while ((item = bw_fair_next(p->fair))) {
		uint32_t i = (uint32_t)(item - p->items);

		if (fits(p, i))
			use(p, i);
	}
}

static void pool_end(pool_t *p)
{
	bw_fair_destroy(p->fair);
}

static void test_room_is_shared_by_weight(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 400000, 0);
	pool_party(&p, 0, 3.0, 1000, 0);
	pool_party(&p, 1, 1.0, 1000, 0);
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 1000);
	pool_wait(&p, 1, 1000);
	pool_fill(&p);
	assert_in_range(p.started[0], 297, 303);
	assert_int_equal(p.started[0] + p.started[1], 400);
	pool_end(&p);
}

/* The example of the paper: 9 cores and 18 GB. */
static void test_dominant_resource_counts(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 9000, 18000);
	pool_party(&p, 0, 1.0, 1000, 4000);
	pool_party(&p, 1, 1.0, 3000, 1000);
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 10);
	pool_wait(&p, 1, 10);
	pool_fill(&p);
	assert_int_equal(p.started[0], 3);
	assert_int_equal(p.started[1], 2);
	pool_end(&p);
}

static void test_room_that_is_left_goes_to_who_waits(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 100000, 0);
	pool_party(&p, 0, 1.0, 1000, 0);
	pool_party(&p, 1, 100.0, 1000, 0);
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 200);
	pool_wait(&p, 1, 5);
	pool_fill(&p);
	assert_int_equal(p.started[0], 95);
	assert_int_equal(p.started[1], 5);
	pool_end(&p);
}

static void test_small_tenant_is_not_behind_a_long_queue(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 100000, 0);
	pool_party(&p, 0, 10.0, 1000, 0);
	pool_party(&p, 1, 1.0, 1000, 0);
	p.parties[0].used.cpu_millis = 95000;
	p.used.cpu_millis = 95000;
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 1000);
	pool_wait(&p, 1, 1);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[1]);
	use(&p, 1);
	pool_fill(&p);
	assert_int_equal(p.started[0], 4);
	pool_end(&p);
}

static void test_weight_of_zero_gets_what_is_left(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 10000, 0);
	pool_party(&p, 0, 0.0, 1000, 0);
	pool_party(&p, 1, 1.0, 1000, 0);
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 20);
	pool_wait(&p, 1, 4);
	pool_fill(&p);
	assert_int_equal(p.started[1], 4);
	assert_int_equal(p.started[0], 6);
	pool_end(&p);
}

static void test_within_their_due_the_order_of_jobs_holds(void **state)
{
	pool_t p;
	int i;

	(void)state;
	pool_begin(&p, 100000, 0);
	pool_party(&p, 0, 1.0, 1000, 0);
	pool_party(&p, 1, 1.0, 1000, 0);
	p.parties[0].used.cpu_millis = 30000;
	bw_fair_begin(p.fair, &p.capacity);
	for (i = 0; i < 6; i++)
		bw_fair_add(p.fair, &p.parties[i / 2 % 2], &p.items[i / 2 % 2]);
	for (i = 0; i < 6; i++)
		assert_ptr_equal(bw_fair_next(p.fair), &p.items[i / 2 % 2]);
	assert_null(bw_fair_next(p.fair));
	pool_end(&p);
}

/* One job of a small tenant is more than its due. */
static void test_single_jobs_are_within_the_due(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 100000, 0);
	pool_party(&p, 0, 1.0, 1000, 0);
	pool_party(&p, 1, 99.0, 1000, 0);
	p.parties[0].used.cpu_millis = 20000;
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 1);
	pool_wait(&p, 1, 1);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[0]);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[1]);
	assert_null(bw_fair_next(p.fair));
	p.parties[0].used.cpu_millis = 20001;
	bw_fair_begin(p.fair, &p.capacity);
	pool_wait(&p, 0, 1);
	pool_wait(&p, 1, 1);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[1]);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[0]);
	assert_null(bw_fair_next(p.fair));
	pool_end(&p);
}

/* An item that has had its turn goes on with the next of its party. */
static void test_item_that_is_put_back_is_the_first_of_its_party(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 100000, 0);
	pool_party(&p, 0, 1.0, 60000, 0);
	pool_party(&p, 1, 1.0, 1000, 0);
	bw_fair_begin(p.fair, &p.capacity);
	bw_fair_add(p.fair, &p.parties[0], &p.items[0]);
	bw_fair_add(p.fair, &p.parties[0], &p.items[2]);
	bw_fair_add(p.fair, &p.parties[1], &p.items[1]);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[0]);
	assert_true(bw_fair_goes_on(p.fair));
	use(&p, 0);
	assert_false(bw_fair_goes_on(p.fair));
	bw_fair_put_back(p.fair);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[1]);
	use(&p, 1);
	use(&p, 1);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[0]);
	assert_ptr_equal(bw_fair_next(p.fair), &p.items[2]);
	assert_true(bw_fair_goes_on(p.fair));
	assert_null(bw_fair_next(p.fair));
	pool_end(&p);
}

static void test_many_parties_are_served_by_share(void **state)
{
	static bw_fair_party_t parties[500];
	bw_resources_t capacity = { 1000000, 0, 0 };
	bw_fair_t *f = bw_fair_create();
	double last = -1.0;
	bw_fair_party_t *party;
	uint32_t i;

	(void)state;
	memset(parties, 0, sizeof(parties));
	bw_fair_begin(f, &capacity);
	for (i = 0; i < 500; i++) {
		parties[i].weight = 1.0;
		parties[i].used.cpu_millis = 200001 + (i * 7919) % 1000;
		bw_fair_add(f, &parties[i], &parties[i]);
	}
	for (i = 0; (party = bw_fair_next(f)); i++) {
		assert_true(bw_fair_share(party, &capacity) >= last);
		last = bw_fair_share(party, &capacity);
	}
	assert_int_equal(i, 500);
	bw_fair_destroy(f);
}

static uint32_t count_owed(bw_fair_rate_t *rate, double weight, int64_t from_ms,
			   int64_t until_ms, int64_t step_ms)
{
	uint32_t owed = 0;
	int64_t at_ms;

	for (at_ms = from_ms; at_ms < until_ms; at_ms += step_ms)
		owed += bw_fair_owed(rate, weight, at_ms);
	return owed;
}

static void test_jobs_within_the_weight_are_owed(void **state)
{
	bw_fair_rate_t rate = { 0 };

	(void)state;
	assert_int_equal(count_owed(&rate, 2.0, 1000, 31000, 500), 60);
}

/* Three times the rate: a third is owed, and the burst. */
static void test_jobs_beyond_the_weight_are_not_owed(void **state)
{
	bw_fair_rate_t rate = { 0 };

	(void)state;
	assert_in_range(count_owed(&rate, 2.0, 0, 30000, 166), 66, 72);
	/* A tenant that was quiet for a while may send as many at once again.
	 */
	assert_in_range(count_owed(&rate, 2.0, 60000, 60020, 1), 10, 10);
}

static void test_low_weight_is_owed_some_jobs_at_once(void **state)
{
	bw_fair_rate_t rate = { 0 };

	(void)state;
	assert_int_equal(count_owed(&rate, 0.1, 1000, 1100, 10), 5);
	assert_false(bw_fair_owed(&rate, 0.1, 2000));
	assert_true(bw_fair_owed(&rate, 0.1, 11500));
}

/* Jobs that are read after a change of owner come in any order. */
static void test_earlier_times_give_nothing(void **state)
{
	bw_fair_rate_t rate = { 0 };

	(void)state;
	assert_int_equal(count_owed(&rate, 0.1, 19990, 20000, 1), 5);
	assert_false(bw_fair_owed(&rate, 0.1, 1000));
	assert_false(bw_fair_owed(&rate, 0.1, 20500));
	assert_false(bw_fair_owed(&rate, 0.0, 90000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_room_is_shared_by_weight),
		cmocka_unit_test(test_dominant_resource_counts),
		cmocka_unit_test(test_room_that_is_left_goes_to_who_waits),
		cmocka_unit_test(test_small_tenant_is_not_behind_a_long_queue),
		cmocka_unit_test(test_weight_of_zero_gets_what_is_left),
		cmocka_unit_test(test_within_their_due_the_order_of_jobs_holds),
		cmocka_unit_test(test_single_jobs_are_within_the_due),
		cmocka_unit_test(
			test_item_that_is_put_back_is_the_first_of_its_party),
		cmocka_unit_test(test_many_parties_are_served_by_share),
		cmocka_unit_test(test_jobs_within_the_weight_are_owed),
		cmocka_unit_test(test_jobs_beyond_the_weight_are_not_owed),
		cmocka_unit_test(test_low_weight_is_owed_some_jobs_at_once),
		cmocka_unit_test(test_earlier_times_give_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
