/* Parsing of submissions, registrations, waves, task names, configurations. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "platform.h"

typedef struct body_case {
	const char *name;
	const char *body;
	bw_status_t status;
} body_case_t;

static const body_case_t body_cases[] = {
	{ "complete",
	  "{\"spec\":\"t\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":1},"
	  "{\"count\":1,\"after\":[0]}]}",
	  BW_OK },
	{ "unknown field",
	  "{\"spec\":\"t\",\"steps\":[{\"count\":1,\"later\":{}}],\"x\":1}",
	  BW_OK },
	{ "empty body", "", BW_EPARSE },
	{ "not JSON", "{\"spec\":", BW_EPARSE },
	{ "array", "[]", BW_EPARSE },
	{ "no steps", "{\"spec\":\"t\"}", BW_EPARSE },
	{ "steps of the wrong type", "{\"spec\":\"t\",\"steps\":7}",
	  BW_EPARSE },
	{ "step of the wrong type", "{\"spec\":\"t\",\"steps\":[7]}",
	  BW_EPARSE },
	{ "spec of the wrong type", "{\"spec\":7,\"steps\":[{\"count\":1}]}",
	  BW_EPARSE },
	{ "no steps in the array", "{\"spec\":\"t\",\"steps\":[]}", BW_EINVAL },
	{ "no tasks", "{\"spec\":\"t\",\"steps\":[{}]}", BW_EINVAL },
	{ "count of the wrong type",
	  "{\"spec\":\"t\",\"steps\":[{\"count\":\"2\"}]}", BW_EPARSE },
	{ "step that depends on itself",
	  "{\"spec\":\"t\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
	  BW_EINVAL },
	{ "step that depends on a later one",
	  "{\"spec\":\"t\",\"steps\":[{\"count\":1,\"after\":[1]},"
	  "{\"count\":1}]}",
	  BW_EINVAL },
	{ "negative amount",
	  "{\"spec\":\"t\",\"steps\":[{\"count\":1,\"cpu\":-5}]}", BW_EPARSE },
	{ "too many tasks", "{\"spec\":\"t\",\"steps\":[{\"count\":99999999}]}",
	  BW_EINVAL },
};

static void test_bodies(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(body_cases); i++) {
		const body_case_t *c = &body_cases[i];
		bw_job_spec_t *spec = NULL;
		bw_status_t status =
			platform_parse_job(c->body, strlen(c->body), &spec);

		if (status != c->status)
			print_error("case: %s\n", c->name);
		assert_int_equal(status, c->status);
		bw_job_spec_free(spec);
	}
}

static void test_body_fields(void **state)
{
	static const char body[] =
		"{\"spec\":\"t\",\"repeat_count\":3,\"initial_delay_ms\":77,"
		"\"interval_ms\":5,\"steps\":[{\"count\":2,\"cpu\":1500,"
		"\"mem_mb\":64,\"gpu\":1,\"est_duration_ms\":900,"
		"\"checkpoint\":true,\"gang\":true,\"same_rack\":true,"
		"\"required_label\":\"a\",\"affinity\":\"r1-3\","
		"\"max_per_server\":4,\"allow_duplicates\":true,"
		"\"long_running\":true,\"image\":\"i\",\"target_ms\":50,"
		"\"fills\":true,\"miss_budget\":1}]}";
	bw_job_spec_t *spec;
	bw_step_spec_t *step;

	(void)state;
	assert_int_equal(platform_parse_job(body, strlen(body), &spec), BW_OK);
	step = &spec->steps[0];
	assert_int_equal(spec->repeats, 3);
	assert_int_equal(spec->first_due_ms, 77);
	assert_int_equal(spec->interval_ms, 5);
	assert_int_equal(step->need.cpu_millis, 1500);
	assert_int_equal(step->need.gpus, 1);
	assert_int_equal(step->estimate_ms, 900);
	assert_true(step->checkpoints && step->gang && step->same_rack);
	assert_true(step->duplicates && step->lasting && step->filler);
	assert_string_equal(step->label, "a");
	assert_string_equal(step->rack, "r1-3");
	assert_int_equal(step->per_worker_max, 4);
	assert_int_equal(step->tail_ms_max, 50);
	assert_int_equal(step->away_max, 1);
	bw_job_spec_free(spec);
}

/* Failure: such a member was read as 0, cut, or cast to another number. */
static void test_odd_member_of_a_body_is_refused(void **state)
{
	static const char *const steps[] = {
		"\"cpu\":1e308",
		"\"cpu\":-1e308",
		"\"cpu\":1000000001",
		"\"mem_mb\":\"8\"",
		"\"gpu\":[]",
		"\"est_duration_ms\":-1",
		"\"est_duration_ms\":1e300",
		"\"max_per_server\":4294967297",
		"\"max_per_server\":-1",
		"\"target_ms\":1e10",
		"\"miss_budget\":null",
		"\"required_label\":7",
		"\"affinity\":\"a\\nb\"",
		"\"image\":{}",
		"\"count\":-1",
		"\"after\":[4294967296]",
		"\"after\":[-1]",
		"\"after\":[\"0\"]",
	};
	static const char *const jobs[] = {
		"\"repeat_count\":-1",
		"\"repeat_count\":1e300",
		"\"interval_ms\":-5",
		"\"initial_delay_ms\":1e308",
		"\"repeat_count\":2147483647,\"interval_ms\":100000000000000",
	};
	bw_job_spec_t *spec;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(steps) + G_N_ELEMENTS(jobs); i++) {
		bool of_step = i < G_N_ELEMENTS(steps);
		const char *member =
			of_step ? steps[i] : jobs[i - G_N_ELEMENTS(steps)];
		char *body = g_strdup_printf(
			"{\"spec\":\"t\",\"steps\":[{\"count\":1},"
			"{\"count\":1%s%s}]%s%s}",
			of_step ? "," : "", of_step ? member : "",
			of_step ? "" : ",", of_step ? "" : member);
		bw_status_t status =
			platform_parse_job(body, strlen(body), &spec);

		if (status == BW_OK)
			print_error("case: %s\n", member);
		assert_int_not_equal(status, BW_OK);
		g_free(body);
	}
}

typedef struct entry_case {
	const char *name;
	const char *value;
	bw_status_t status;
} entry_case_t;

static const entry_case_t entry_cases[] = {
	{ "complete",
	  "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"state\":\"ready\","
	  "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"seq\":1,"
	  "\"capacity\":{\"cpu\":1},\"labels\":[\"a\",\"r1\"],\"born\":9}",
	  BW_OK },
	{ "not UTF-8", "\xff\xfe", BW_EPARSE },
	{ "number", "7", BW_EPARSE },
	{ "unknown state",
	  "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"state\":\"new\","
	  "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"seq\":1,"
	  "\"capacity\":{},\"labels\":[]}",
	  BW_EPARSE },
	{ "service of the wrong type",
	  "{\"service\":7,\"address\":\"10.1.1.1:80\",\"state\":\"ready\","
	  "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"seq\":1,"
	  "\"capacity\":{},\"labels\":[]}",
	  BW_EPARSE },
	{ "no capacity",
	  "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"state\":\"ready\","
	  "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"seq\":1,"
	  "\"labels\":[]}",
	  BW_EPARSE },
};

static void test_registrations(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
		const entry_case_t *c = &entry_cases[i];
		bw_registration_t *r = NULL;
		bw_status_t status = platform_value_format.parse_registration(
			"servers/w1", c->value, strlen(c->value), &r);

		if (status != c->status)
			print_error("case: %s\n", c->name);
		assert_int_equal(status, c->status);
		if (r) {
			assert_string_equal(r->id, "w1");
			assert_string_equal(r->rack, "r1");
			assert_int_equal(r->info.started_ms, 9);
		}
		bw_registration_free(r);
	}
}

/** A capacity, and what is read from it. */
typedef struct capacity_case {
	const char *capacity;
	bw_status_t status;
	bw_resources_t read;
} capacity_case_t;

static const capacity_case_t capacity_cases[] = {
	{ "{\"cpu\":8000,\"mem_mb\":512,\"gpu\":1}", BW_OK, { 8000, 512, 1 } },
	{ "{\"cpu\":7999.9,\"mem_mb\":511.5}", BW_OK, { 7999, 511, 0 } },
	{ "{\"mem_mb\":512}", BW_OK, { 0, 512, 0 } },
	{ "{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}", BW_OK, { 0, 0, 0 } },
	{ "{}", BW_OK, { 0, 0, 0 } },
	{ "{\"cpu\":-1000}", BW_EPARSE, { 0, 0, 0 } },
	{ "8000", BW_EPARSE, { 0, 0, 0 } },
	{ "null", BW_EPARSE, { 0, 0, 0 } },
	{ "{\"cpu\":\"8000\",\"mem_mb\":512}", BW_EPARSE, { 0, 0, 0 } },
	{ "{\"cpu\":8000,\"mem_mb\":null}", BW_EPARSE, { 0, 0, 0 } },
	{ "{\"cpu\":8000,\"gpu\":[]}", BW_EPARSE, { 0, 0, 0 } },
};

static void test_registration_reads_a_larger_capacity(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(capacity_cases); i++) {
		const capacity_case_t *c = &capacity_cases[i];
		char *text = g_strdup_printf(
			"{\"service\":\"s\",\"address\":\"10.1.1.1:80\","
			"\"state\":\"ready\",\"zone\":\"z\","
			"\"version\":\"v1\",\"slots\":8,\"seq\":1,"
			"\"labels\":[],\"capacity\":%s}",
			c->capacity);
		bw_registration_t *r = NULL;
		bw_status_t status = platform_value_format.parse_registration(
			"servers/w1", text, strlen(text), &r);

		if (status != c->status)
			print_error("case: %s\n", c->capacity);
		assert_int_equal(status, c->status);
		if (r)
			assert_memory_equal(&r->info.capacity, &c->read,
					    sizeof(c->read));
		bw_registration_free(r);
		g_free(text);
	}
}

static void test_task_names(void **state)
{
	static const char *const bad[] = {
		"",
		"5c0e7a21d94b36f8",
		"5c0e7a21d94b36f8.0.1",
		"5c0e7a21d94b36f8.0.1.x",
		"5c0e7a21d94b36f8.0.1.2.3",
		"5c0e7a21d94b36fz.0.1.2",
	};
	bw_task_name_t name;
	char text[80];
	size_t i;

	(void)state;
	assert_true(platform_task_parse("5c0e7a21d94b36f8.2.1.17", &name));
	assert_int_equal(name.occurrence, 2);
	assert_int_equal(name.step, 1);
	assert_int_equal(name.index, 17);
	platform_task_format(&name, text, sizeof(text));
	assert_string_equal(text, "5c0e7a21d94b36f8.2.1.17");
	assert_false(platform_task_parse(NULL, &name));
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_false(platform_task_parse(bad[i], &name));
}

static void test_waves(void **state)
{
	static const char good[] = "{\"wave\":3,\"machines\":[\"m1\",\"m2\"],"
				   "\"duration_s\":20.5,\"cap\":2}";
	bw_wave_order_t *wave;
	char *value;

	(void)state;
	assert_int_equal(
		platform_value_format.parse_wave(good, strlen(good), &wave),
		BW_OK);
	assert_int_equal(wave->number, 3);
	assert_int_equal(wave->duration_ms, 20500);
	assert_int_equal(wave->at_once_max, 2);
	assert_string_equal(wave->machines[1], "m2");
	assert_null(wave->machines[2]);
	bw_wave_order_free(wave);
	assert_int_equal(platform_value_format.parse_wave("{}", 2, &wave),
			 BW_EPARSE);
	value = platform_value_format.format_wave_status(3, true);
	assert_string_equal(value, "{\"wave\":3,\"state\":\"completed\"}");
	g_free(value);
}

static void test_configuration(void **state)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
		"\"prefix\":\"/p/\",\"service\":\"s\",\"stretch\":1.5,"
		"\"max_attempts\":3,\"target_duration_ms\":600},"
		"{\"name\":\"broken\"}],\"services\":[{\"name\":\"s\"},"
		"{\"name\":\"off\",\"standby\":true}]}";
	bw_fleet_config_t *config;

	(void)state;
	assert_int_equal(
		platform_value_format.parse_config(text, strlen(text), &config),
		BW_OK);
	assert_int_equal(config->version, 7);
	assert_int_equal(config->queue_count, 1);
	assert_int_equal(config->incomplete_count, 1);
	assert_int_equal(config->queues[0].terms.attempts_max, 3);
	assert_int_equal(config->pool_count, 2);
	assert_true(config->pools[1].standby);
	bw_fleet_config_free(config);
	assert_int_equal(platform_value_format.parse_config("[]", 2, &config),
			 BW_EPARSE);
}

/* Also what JSON can't encode gives a body that can be parsed. */
static void test_json_texts(void **state)
{
	static const struct {
		const char *text;
		const char *json;
	} cases[] = { { "", "\"\"" },
		      { "a\"b\\c\n", "\"a\\\"b\\\\c\\n\"" },
		      { "\xc3\xa4", "\"\xc3\xa4\"" },
		      { "\xff", "\"\"" } };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *out = g_string_new("x");

		platform_append_json_text(out, cases[i].text);
		assert_string_equal(out->str + 1, cases[i].json);
		g_string_free(out, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies),
		cmocka_unit_test(test_body_fields),
		cmocka_unit_test(test_odd_member_of_a_body_is_refused),
		cmocka_unit_test(test_registrations),
		cmocka_unit_test(test_registration_reads_a_larger_capacity),
		cmocka_unit_test(test_task_names),
		cmocka_unit_test(test_json_texts),
		cmocka_unit_test(test_waves),
		cmocka_unit_test(test_configuration),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
