/*
 * Tenants of a configuration that can't hold as they are written: what is in
 * force then, and what the log names.
 */
#include "test.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "platform.h"

#define MANY 10000

static bw_fleet_config_t *parse(const char *tenants)
{
	char *text = g_strdup_printf("{\"version\":3,\"routes\":[],"
				     "\"services\":[],\"tenants\":%s}",
				     tenants);
	bw_fleet_config_t *config = NULL;

	assert_int_equal(
		platform_value_format.parse_config(text, strlen(text), &config),
		BW_OK);
	g_free(text);
	return config;
}

static void test_tenants_are_read(void **state)
{
	static const char text[] =
		"{\"routes\":[{\"name\":\"q\",\"prefix\":\"/q/\","
		"\"service\":\"s\"},{\"name\":\"p\",\"prefix\":\"/p/\","
		"\"service\":\"s\",\"public\":true}],"
		"\"tenants\":[{\"name\":\"ada\",\"api_keys\":[\"k1\",\"k2\"],"
		"\"priority\":1,\"weight\":152,\"cap\":{\"cpu\":4000,"
		"\"mem_mb\":512,\"gpu\":0}},"
		"{\"name\":\"bo\",\"api_keys\":[\"k3\"]}]}";
	bw_fleet_config_t *config;

	(void)state;
	assert_int_equal(
		platform_value_format.parse_config(text, strlen(text), &config),
		BW_OK);
	assert_false(config->queues[0].is_public);
	assert_true(config->queues[1].is_public);
	assert_true(config->has_tenants);
	assert_int_equal(config->tenant_count, 2);
	assert_string_equal(config->tenants[0].name, "ada");
	assert_string_equal(config->tenants[0].keys[1], "k2");
	assert_null(config->tenants[0].keys[2]);
	assert_true(config->tenants[0].terms.weight == 152.0);
	assert_int_equal(config->tenants[0].terms.cap.cpu_millis, 4000);
	assert_int_equal(config->tenants[0].terms.cap.mem_mb, 512);
	assert_int_equal(config->tenants[0].terms.cap.gpus, 0);
	assert_true(config->tenants[1].terms.weight == 1.0);
	assert_int_equal(config->remark_count, 0);
	assert_null(config->first_remark);
	bw_fleet_config_free(config);
}

static void test_configuration_may_have_no_tenants(void **state)
{
	bw_fleet_config_t *config = parse("null");

	(void)state;
	assert_false(config->has_tenants);
	bw_fleet_config_free(config);
	config = parse("[]");
	assert_true(config->has_tenants);
	assert_int_equal(config->tenant_count, 0);
	bw_fleet_config_free(config);
}

/* Nobody could tell who may call: the version before stays in force. */
static void test_tenants_that_are_no_list_are_refused(void **state)
{
	static const char *const texts[] = { "{\"tenants\":{}}",
					     "{\"tenants\":\"ada\"}",
					     "{\"tenants\":7}",
					     "{\"tenants\":true}" };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		bw_fleet_config_t *config = NULL;

		assert_int_equal(platform_value_format.parse_config(
					 texts[i], strlen(texts[i]), &config),
				 BW_EPARSE);
		assert_null(config);
		assert_non_null(strstr(bw_status_message(), "tenants"));
	}
}

/** An odd row, beside a sound one of tenant "z" with key "kz". */
typedef struct odd_row {
	const char *row;
	uint32_t tenants;
	uint32_t incomplete;
	uint32_t remarks;
	const char *first; /**< Part of the first remark. */
	uint32_t keys; /**< Of the first tenant. */
} odd_row_t;

static const odd_row_t odd_rows[] = {
	{ "7", 1, 1, 0, "", 1 },
	{ "null", 1, 1, 0, "", 1 },
	{ "{\"api_keys\":[\"k\"]}", 1, 1, 0, "", 1 },
	{ "{\"name\":\"\",\"api_keys\":[\"k\"]}", 1, 1, 0, "", 1 },
	{ "{\"name\":5,\"api_keys\":[\"k\"]}", 1, 1, 0, "", 1 },
	{ "{\"name\":\"a\\nb\",\"api_keys\":[\"k\"]}", 1, 1, 0, "", 1 },
	{ "{\"name\":\"a\"}", 2, 0, 1, "tenant a: no list of keys", 0 },
	{ "{\"name\":\"a\",\"api_keys\":\"k\"}", 2, 0, 1, "no list", 0 },
	{ "{\"name\":\"a\",\"api_keys\":[]}", 2, 0, 1, "no keys", 0 },
	{ "{\"name\":\"a\",\"api_keys\":[1,null,\"\",\"k\",\"x\\ny\"]}", 2, 0,
	  4, "tenant a: a key is not a key's text", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\",\"k\"]}", 2, 0, 0, "", 1 },
	{ "{\"name\":\"z\",\"api_keys\":[\"k\"],\"weight\":9}", 1, 0, 1,
	  "tenant z: its name comes again", 2 },
	{ "{\"name\":\"a\",\"api_keys\":[\"kz\",\"k\"]}", 2, 0, 1,
	  "a key belongs to an earlier tenant", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"weight\":-1}", 2, 0, 1,
	  "tenant a: its weight", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"weight\":0}", 2, 0, 1,
	  "its weight", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"weight\":1e300}", 2, 0, 1,
	  "its weight", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"weight\":\"2\"}", 2, 0, 1,
	  "its weight", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"cap\":7}", 2, 0, 1,
	  "its cap is not an object", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"cap\":{\"cpu\":-1}}", 2, 0, 1,
	  "an amount of its cap", 1 },
	{ "{\"name\":\"a\",\"api_keys\":[\"k\"],\"cap\":{\"cpu\":1e300,"
	  "\"mem_mb\":\"x\",\"gpu\":9223372036854775807}}",
	  2, 0, 3, "an amount of its cap", 1 },
};

static const bw_tenant_t *find(const bw_fleet_config_t *config,
			       const char *name)
{
	uint32_t i;

	for (i = 0; i < config->tenant_count; i++)
		if (!strcmp(config->tenants[i].name, name))
			return &config->tenants[i];
	return NULL;
}

static void check_row(const odd_row_t *c, const bw_fleet_config_t *config)
{
	const bw_tenant_t *odd = find(config, "a");
	const bw_tenant_t *sound = find(config, "z");
	const char *remark = config->first_remark ? config->first_remark : "";

	if (config->remark_count != c->remarks || !strstr(remark, c->first))
		print_error("%s: %u \"%s\"\n", c->row, config->remark_count,
			    remark);
	assert_int_equal(config->tenant_count, c->tenants);
	assert_int_equal(config->incomplete_count, c->incomplete);
	assert_int_equal(config->remark_count, c->remarks);
	assert_non_null(strstr(remark, c->first));
	assert_non_null(sound);
	assert_true(sound->terms.weight == 2.0);
	assert_string_equal(sound->keys[0], "kz");
	assert_int_equal(g_strv_length((odd ? odd : sound)->keys), c->keys);
	if (!odd)
		return;
	assert_true(odd->terms.weight == 1.0);
	assert_int_equal(odd->terms.cap.cpu_millis, 0);
	assert_int_equal(odd->terms.cap.mem_mb, 0);
	assert_int_equal(odd->terms.cap.gpus, 0);
}

static void test_odd_row_leaves_the_others_in_force(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd_rows); i++) {
		char *list = g_strdup_printf(
			"[{\"name\":\"z\",\"api_keys\":[\"kz\"],\"weight\":2},"
			"%s]",
			odd_rows[i].row);
		bw_fleet_config_t *config = parse(list);

		check_row(&odd_rows[i], config);
		bw_fleet_config_free(config);
		g_free(list);
	}
}

/* The log gets the first remark: it names the tenant, never a key. */
static void test_remark_holds_no_key(void **state)
{
	bw_fleet_config_t *config =
		parse("[{\"name\":\"a\",\"api_keys\":[\"SECRET\"]},"
		      "{\"name\":\"b\",\"api_keys\":[\"SECRET\"]}]");

	(void)state;
	assert_int_equal(config->remark_count, 1);
	assert_non_null(strstr(config->first_remark, "tenant b"));
	assert_null(strstr(config->first_remark, "SECRET"));
	bw_fleet_config_free(config);
}

/* Failure: the text of an error in the log quotes what it is near. */
static void test_unreadable_configuration_shows_no_key(void **state)
{
	static const char text[] = "{\"tenants\":[{\"name\":\"a\","
				   "\"api_keys\":[\"k1\" \"SECRET\"]}]}";
	bw_fleet_config_t *config = NULL;

	(void)state;
	assert_int_equal(
		platform_value_format.parse_config(text, strlen(text), &config),
		BW_EPARSE);
	assert_non_null(strstr(bw_status_message(), "line 1"));
	assert_null(strstr(bw_status_message(), "SECRET"));
}

static void test_many_tenants_are_read(void **state)
{
	GString *list = g_string_new("[");
	bw_fleet_config_t *config;
	uint32_t i;

	(void)state;
	for (i = 0; i < MANY; i++)
		g_string_append_printf(
			list, "%s{\"name\":\"t%u\",\"api_keys\":[\"k%u\"]}",
			i > 0 ? "," : "", i, i);
	g_string_append(list, ",{\"name\":\"t5\",\"api_keys\":[\"k6\"]}]");
	config = parse(list->str);
	assert_int_equal(config->tenant_count, MANY);
	assert_int_equal(config->remark_count, 2);
	assert_string_equal(config->tenants[MANY - 1].keys[0], "k9999");
	bw_fleet_config_free(config);
	g_string_free(list, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_tenants_are_read),
		cmocka_unit_test(test_configuration_may_have_no_tenants),
		cmocka_unit_test(test_tenants_that_are_no_list_are_refused),
		cmocka_unit_test(test_odd_row_leaves_the_others_in_force),
		cmocka_unit_test(test_remark_holds_no_key),
		cmocka_unit_test(test_unreadable_configuration_shows_no_key),
		cmocka_unit_test(test_many_tenants_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
