/* The command about tenants: it adds up what the queried nodes know of their
 * pools. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl/ctl.h"

/** Thousandths in a core. */
#define MILLIS_PER_CORE 1e3

/** Tenants of all nodes. */
typedef struct sum {
	json_t *tenants; /**< Name to a tenant's object. */
	json_t *lender; /**< NULL if no queried node lends. */
	double held; /**< Thousandths of a core, of all tenants. */
} sum_t;

static long long amount(json_t *row, const char *which, const char *name)
{
	return json_integer_value(
		json_object_get(json_object_get(row, which), name));
}

static long long total(json_t *tenant, const char *which, const char *name)
{
	long long out = 0;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(tenant, "pools"), i, row) out +=
		amount(row, which, name);
	return out;
}

static void add_tenant(sum_t *sum, json_t *tenant)
{
	const char *name = json_string_value(json_object_get(tenant, "tenant"));
	json_t *known;

	if (!name)
		return;
	sum->held += (double)total(tenant, "held", "cpu_millis");
	known = json_object_get(sum->tenants, name);
	if (known)
		json_array_extend(json_object_get(known, "pools"),
				  json_object_get(tenant, "pools"));
	else
		json_object_set(sum->tenants, name, tenant);
}

static bool add_node(bw_ctl_t *c, const char *address, sum_t *sum)
{
	char *body = bw_ctl_get(c, address, "/tenants");
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	json_t *tenant;
	size_t i;

	g_free(body);
	if (!root)
		return false;
	json_array_foreach(json_object_get(root, "tenants"), i, tenant)
		add_tenant(sum, tenant);
	if (json_is_object(json_object_get(root, "lender"))) {
		json_decref(sum->lender);
		sum->lender = json_incref(json_object_get(root, "lender"));
	}
	json_decref(root);
	return true;
}

static void print_cores(long long millis)
{
	printf(" %8.1f", (double)millis / MILLIS_PER_CORE);
}

static void print_pool(json_t *row)
{
	const char *pool = json_string_value(json_object_get(row, "pool"));

	printf("  %-16s %6s", pool ? pool : "-", "");
	if (json_object_get(row, "quota"))
		print_cores(amount(row, "quota", "cpu_millis"));
	else
		printf(" %8s", "-");
	print_cores(amount(row, "held", "cpu_millis"));
	printf(" %6s", "");
	print_cores(amount(row, "wanted", "cpu_millis"));
	printf(" %6lld\n",
	       json_integer_value(json_object_get(row, "jobs_waiting")));
}

static void print_tenant(const char *name, json_t *tenant, double all)
{
	long long cap = amount(tenant, "cap", "cpu_millis");
	long long held = total(tenant, "held", "cpu_millis");
	long long jobs = 0;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(tenant, "pools"), i, row) jobs +=
		json_integer_value(json_object_get(row, "jobs_waiting"));
	printf("%-18s %6.1f", name,
	       json_number_value(json_object_get(tenant, "weight")));
	if (cap > 0)
		print_cores(cap);
	else
		printf(" %8s", "-");
	print_cores(held);
	printf(" %5.1f%%", all > 0 ? 100.0 * (double)held / all : 0.0);
	print_cores(total(tenant, "wanted", "cpu_millis"));
	printf(" %6lld\n", jobs);
	json_array_foreach(json_object_get(tenant, "pools"), i, row)
		print_pool(row);
}

static void print_lender(json_t *lender)
{
	json_t *pool;
	size_t i;

	if (json_is_true(json_object_get(lender, "lends")))
		return;
	printf("nothing is lent before these pools report:");
	json_array_foreach(json_object_get(lender, "awaited"), i, pool)
		printf(" %s", json_string_value(pool));
	printf("\n");
}

static void print_sum(const sum_t *sum)
{
	const char *name;
	json_t *tenant;

	printf("%-18s %6s %8s %8s %6s %8s %6s\n", "tenant", "weight", "cap",
	       "held", "share", "wanted", "jobs");
	json_object_foreach(sum->tenants, name, tenant)
		print_tenant(name, tenant, sum->held);
	if (sum->lender)
		print_lender(sum->lender);
}

bw_exit_t bw_ctl_tenant_show(bw_ctl_t *c, char **args)
{
	sum_t sum = { .tenants = json_object() };
	bw_exit_t code = BW_EXIT_OK;
	uint32_t i;

	(void)args;
	if (!c->entries || !c->entries[0]) {
		fprintf(stderr, "bramleyctl: --entry is required\n");
		json_decref(sum.tenants);
		return BW_EXIT_USAGE;
	}
	for (i = 0; c->entries[i]; i++)
		if (!add_node(c, c->entries[i], &sum))
			code = bw_ctl_report_error(BW_EUNAVAIL);
	if (c->json) {
		json_dumpf(sum.tenants, stdout, JSON_INDENT(1));
		printf("\n");
	} else {
		print_sum(&sum);
	}
	json_decref(sum.tenants);
	json_decref(sum.lender);
	return code;
}
