/* Tests of what parsing a caller's body takes. */
#include "test.h"

#include <malloc.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/jsonscan.h"
#include "platform.h"

#define BODY_BYTES 262144
/* Of a body's size; a legal job with all dependencies takes 13 times it. */
#define GROWTH_MAX 24

static size_t held;
static size_t peak;

static void *counted_malloc(size_t bytes)
{
	void *out = malloc(bytes);

	held += malloc_usable_size(out);
	peak = MAX(peak, held);
	return out;
}

static void counted_free(void *data)
{
	if (data)
		held -= malloc_usable_size(data);
	free(data);
}

/* Repeats a text within brackets up to the size of a body. */
static GString *repeat(const char *text)
{
	GString *out = g_string_new("{\"spec\":\"a\",\"steps\":[");

	while (out->len + strlen(text) + 2 < BODY_BYTES)
		g_string_append(out, text);
	g_string_truncate(out, out->len - 1);
	g_string_append(out, "]}");
	return out;
}

/* The largest job: 256 steps, each after all earlier ones. */
static GString *largest_job(void)
{
	GString *out = g_string_new("{\"spec\":\"a\",\"steps\":[");
	int i;
	int k;

	for (i = 0; i < 256; i++) {
		g_string_append_printf(out,
				       "%s{\"count\":78,\"cpu\":100,"
				       "\"mem_mb\":64,\"after\":[",
				       i ? "," : "");
		for (k = 0; k < i; k++)
			g_string_append_printf(out, "%s%d", k ? "," : "", k);
		g_string_append(out, "]}");
	}
	g_string_append(out, "]}");
	return out;
}

static bw_status_t parse(const GString *body)
{
	bw_job_spec_t *spec = NULL;
	bw_status_t status;

	peak = held = 0;
	status = platform_parse_job(body->str, body->len, &spec);
	bw_job_spec_free(spec);
	return status;
}

static void test_parsing_is_bounded(void **state)
{
	static const char *const parts[] = { "0,",	   "{},", "[],",
					     "\"\",",	   "[{",  "{\"a\":0},",
					     "{\"a\":{}}," };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		GString *body = repeat(parts[i]);

		assert_int_not_equal(parse(body), BW_OK);
		if (peak > GROWTH_MAX * body->len)
			print_error("%s: %zu bytes\n", parts[i], peak);
		assert_true(peak <= GROWTH_MAX * body->len);
		g_string_free(body, TRUE);
	}
}

static void test_largest_job_is_parsed(void **state)
{
	GString *body = largest_job();

	(void)state;
	assert_int_equal(parse(body), BW_OK);
	/* White space up to the largest body changes nothing. */
	while (body->len < BODY_BYTES)
		g_string_append_c(body, ' ');
	assert_int_equal(parse(body), BW_OK);
	g_string_free(body, TRUE);
}

static void test_strings_are_not_counted(void **state)
{
	static const bw_json_bounds_t bounds = { 2, 1, 2 };
	static const char inside[] = "[\"{[,\\\"{[,\\\\\",{}]";

	(void)state;
	assert_true(bw_json_is_within(inside, strlen(inside), &bounds));
	assert_false(bw_json_is_within("[[[", 3, &bounds));
	assert_false(bw_json_is_within("[],[],[]", 8, &bounds));
	assert_false(bw_json_is_within("1,2,3", 5, &bounds));
	assert_true(bw_json_is_within("]]]]", 4, &bounds));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parsing_is_bounded),
		cmocka_unit_test(test_largest_job_is_parsed),
		cmocka_unit_test(test_strings_are_not_counted),
	};

	json_set_alloc_funcs(counted_malloc, counted_free);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
