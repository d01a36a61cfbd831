/* Commands that print the status and counters of entries. */
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "ctl/ctl.h"

static bw_exit_t query_entries(bw_ctl_t *c, const char *path,
			       void (*print)(const char *entry, json_t *body));
static void print_pairs(const char *entry, json_t *body);
static void print_services(const char *entry, json_t *body);

static bw_exit_t query_entries(bw_ctl_t *c, const char *path,
			       void (*print)(const char *entry, json_t *body))
{
	bw_exit_t code = BW_EXIT_OK;
	json_t *all = json_object();
	uint32_t i;

	if (!c->entries || !c->entries[0]) {
		fprintf(stderr, "bramleyctl: --entry is required\n");
		json_decref(all);
		return BW_EXIT_USAGE;
	}
	for (i = 0; c->entries[i]; i++) {
		char *body = bw_ctl_get(c, c->entries[i], path);
		json_t *root = body ? json_loads(body, 0, NULL) : NULL;

		g_free(body);
		if (!root) {
			code = bw_ctl_report_error(BW_EUNAVAIL);
			continue;
		}
		if (!c->json)
			print(c->entries[i], root);
		json_object_set_new(all, c->entries[i], root);
	}
	if (c->json) {
		json_dumpf(all, stdout, JSON_INDENT(1));
		printf("\n");
	}
	json_decref(all);
	return code;
}

static void print_pairs(const char *entry, json_t *body)
{
	const char *key;
	json_t *value;

	printf("%s\n", entry);
	json_object_foreach(body, key, value)
	{
		char *text = json_dumps(value, JSON_ENCODE_ANY);

		if (!json_is_integer(value) || json_integer_value(value) != 0)
			printf("  %-24s %s\n", key, text);
		free(text);
	}
}

static void print_services(const char *entry, json_t *body)
{
	json_t *item;
	size_t i;

	printf("%s\n", entry);
	json_array_foreach(body, i, item) printf(
		"  %-16s waiting %4lld running %4lld started %8lld "
		"refused %6lld mean %8lld us\n",
		json_string_value(json_object_get(item, "name")),
		(long long)json_integer_value(json_object_get(item, "waiting")),
		(long long)json_integer_value(json_object_get(item, "running")),
		(long long)json_integer_value(json_object_get(item, "started")),
		(long long)json_integer_value(json_object_get(item, "refused")),
		(long long)json_integer_value(
			json_object_get(item, "service_us")));
}

bw_exit_t bw_ctl_status(bw_ctl_t *c, char **args)
{
	(void)args;
	return query_entries(c, "/status", print_pairs);
}

bw_exit_t bw_ctl_counters(bw_ctl_t *c, char **args)
{
	(void)args;
	return query_entries(c, "/counters", print_pairs);
}

bw_exit_t bw_ctl_services(bw_ctl_t *c, char **args)
{
	(void)args;
	return query_entries(c, "/services", print_services);
}
