/* Which node claims a pool. */
#include "test.h"

#include <glib.h>

#include "fleet/member.h"

#define POOL  "pool"
#define ROLES 6
/** Nodes of the grown site: a few large ones, many small ones. */
#define LARGE 6
#define SMALL 37
#define NODES (LARGE + SMALL)

static const bw_node_capacity_t large = { { 500, 512, 200000, 8192 } };
static const bw_node_capacity_t small = { { 120, 160, 10000, 4100 } };

/* Fills in the grown site's nodes, of which the first are large. */
static void set_up_grown(bw_claim_candidate_t nodes[NODES], char names[][8])
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		g_snprintf(names[i], sizeof(names[i]), "n%u", i);
		nodes[i] = (bw_claim_candidate_t){
			.name = names[i], .capacity = i < LARGE ? large : small
		};
	}
}

static uint32_t first_to_claim(const bw_claim_candidate_t *nodes,
			       uint32_t count, const char *pool)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (bw_fleet_claim_rank(pool, nodes, count, i, ROLES) == 0)
			return i;
	fail_msg("no node has rank 0");
	return count;
}

/*
 * All roles of a grown site go to large nodes, one each before any gets two,
 * even if a small node started last.
 */
static void test_small_node_does_not_claim_before_large_ones(void **state)
{
	bw_claim_candidate_t nodes[NODES];
	char names[NODES][8];
	char pool[8];
	uint32_t role;
	uint32_t i;

	(void)state;
	set_up_grown(nodes, names);
	for (i = LARGE; i < NODES; i++)
		nodes[i].started_ms = 60000;
	for (role = 0; role < 2 * LARGE; role++) {
		g_snprintf(pool, sizeof(pool), "p%u", role);
		i = first_to_claim(nodes, NODES, pool);
		assert_true(i < LARGE);
		assert_true(nodes[i].owned == role / LARGE);
		nodes[i].owned++;
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_small_node_does_not_claim_before_large_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
