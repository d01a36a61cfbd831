/*
 * Entries of other writers among the registrations of workers: each is a whole
 * worker or none.
 */
#include "test.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "platform.h"

/** An entry as workers write it. */
#define SOUND                                                                  \
	"{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"zone\":\"z\","       \
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","                  \
	"\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,"                 \
	"\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"               \
	"\"machine\":\"m-1\",\"born\":1700000000000,\"clock_ms\":482113,"      \
	"\"seq\":4}"

#define KEY "servers/w1"

/** A member of an entry, with the value that replaces it; NULL removes it. */
typedef struct change {
	const char *member;
	const char *value;
} change_t;

/* Failure: such an entry was taken for a worker. */
static const change_t odd_changes[] = {
	{ "service", NULL },
	{ "service", "7" },
	{ "service", "\"\"" },
	{ "address", NULL },
	{ "address", "\"\"" },
	{ "address", "\"10.1.1.1\"" },
	{ "address", "\"10.1.1.1:\"" },
	{ "address", "\"10.1.1.1:0\"" },
	{ "address", "\"10.1.1.1:99999\"" },
	{ "address", "\"10.1.1.1:-1\"" },
	{ "address", "\"10.1.1.1:18446744073709551625\"" },
	{ "address", "\"host:80\"" },
	{ "address", "\"10.1.1.1:80\\r\\nX: y\"" },
	{ "zone", NULL },
	{ "zone", "[]" },
	{ "version", NULL },
	{ "version", "3" },
	{ "slots", NULL },
	{ "slots", "\"eight\"" },
	{ "slots", "-1" },
	{ "slots", "1e300" },
	{ "slots", "8.5" },
	{ "state", NULL },
	{ "state", "\"new\"" },
	{ "state", "true" },
	{ "seq", NULL },
	{ "seq", "{}" },
	{ "seq", "-4" },
	{ "cold_remaining_ms", "\"0\"" },
	{ "drain_remaining_ms", "-1" },
	{ "clock_ms", "1e308" },
	{ "machine", "5" },
	{ "machine", "\"\"" },
	{ "machine", "\"m-1\\nm-2\"" },
	{ "born", "\"now\"" },
	{ "born", "0" },
	{ "born", "-1" },
	{ "born", "1.5" },
	{ "born", "9223372036854775807" },
	{ "labels", NULL },
	{ "labels", "{}" },
	{ "labels", "[1,2]" },
	{ "labels", "[\"a\",null]" },
	{ "labels", "[\"a\",\"r 1\"]" },
	{ "capacity", NULL },
	{ "capacity", "8000" },
	{ "capacity", "{\"cpu\":1e308,\"mem_mb\":1}" },
	{ "capacity", "{\"cpu\":-1e308,\"mem_mb\":1}" },
	{ "capacity", "{\"cpu\":-32000,\"mem_mb\":1}" },
	{ "capacity", "{\"cpu\":1000000001,\"mem_mb\":1}" },
	{ "capacity", "{\"cpu\":9223372036854775807,\"mem_mb\":1}" },
	{ "capacity", "{\"cpu\":8,\"mem_mb\":-1}" },
	{ "capacity", "{\"cpu\":8,\"mem_mb\":1,\"gpu\":1e19}" },
};

static const change_t sound_changes[] = {
	{ "state", "\"draining\"" },
	{ "drain_remaining_ms", "1200.5" },
	{ "cold_remaining_ms", NULL },
	{ "clock_ms", NULL },
	{ "machine", NULL },
	{ "born", NULL },
	{ "labels", "[]" },
	{ "capacity", "{\"cpu\":7999.9,\"mem_mb\":512}" },
	{ "capacity", "{\"cpu\":1000000000}" },
	{ "what_comes_later", "[{\"x\":1e300}]" },
};

static bw_status_t parse(const char *key, const char *text, size_t bytes)
{
	bw_registration_t *r = NULL;
	bw_status_t status =
		platform_value_format.parse_registration(key, text, bytes, &r);

	assert_int_equal(r != NULL, status == BW_OK);
	bw_registration_free(r);
	return status;
}

static bw_status_t parse_changed(const change_t *change)
{
	json_t *root = json_loads(SOUND, 0, NULL);
	bw_status_t status;
	char *text;

	if (change->value)
		json_object_set_new(
			root, change->member,
			json_loads(change->value, JSON_DECODE_ANY, NULL));
	else
		json_object_del(root, change->member);
	text = json_dumps(root, 0);
	status = parse(KEY, text, strlen(text));
	free(text);
	json_decref(root);
	return status;
}

static void test_odd_member_names_no_worker(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd_changes); i++) {
		bw_status_t status = parse_changed(&odd_changes[i]);

		if (status != BW_EPARSE)
			print_error("%s: %s\n", odd_changes[i].member,
				    odd_changes[i].value);
		assert_int_equal(status, BW_EPARSE);
	}
}

static void test_sound_entry_names_a_worker(void **state)
{
	size_t i;

	(void)state;
	assert_int_equal(parse(KEY, SOUND, strlen(SOUND)), BW_OK);
	for (i = 0; i < G_N_ELEMENTS(sound_changes); i++) {
		bw_status_t status = parse_changed(&sound_changes[i]);

		if (status != BW_OK)
			print_error("%s: %s\n", sound_changes[i].member,
				    sound_changes[i].value);
		assert_int_equal(status, BW_OK);
	}
}

/* Returns a text that nests arrays, in a member that nobody reads. */
static char *nested_entry(size_t depth)
{
	GString *text = g_string_new("{\"x\":");
	size_t i;

	for (i = 0; i < depth; i++)
		g_string_append_c(text, '[');
	for (i = 0; i < depth; i++)
		g_string_append_c(text, ']');
	return g_string_free(g_string_append_c(text, '}'), FALSE);
}

static void test_nested_entry_ends_no_process(void **state)
{
	const size_t depths[] = { 100, 2000, 100000, 1000000 };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *text = nested_entry(depths[i]);

		assert_int_equal(parse(KEY, text, strlen(text)), BW_EPARSE);
		g_free(text);
	}
}

static void test_bytes_that_cannot_be_read_name_no_worker(void **state)
{
	static const char *const texts[] = {
		"",
		"7",
		"[]",
		"\xff\xfe",
		"{",
		SOUND "}",
		"{\"service\":\"\xff\"}",
		"{\"born\":18446744073709551625}",
		"{\"born\":1e400}",
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_int_equal(parse(KEY, texts[i], strlen(texts[i])),
				 BW_EPARSE);
	assert_int_equal(parse(KEY, SOUND, strlen(SOUND) - 1), BW_EPARSE);
}

/* The identifier becomes part of a request's header. */
static void test_odd_key_names_no_worker(void **state)
{
	char *long_key = g_strdup_printf("servers/%0300d", 1);

	(void)state;
	assert_int_equal(parse("servers/", SOUND, strlen(SOUND)), BW_EPARSE);
	assert_int_equal(parse("servers/w 1", SOUND, strlen(SOUND)), BW_EPARSE);
	assert_int_equal(parse("servers/w1\r\nX: y", SOUND, strlen(SOUND)),
			 BW_EPARSE);
	assert_int_equal(parse(long_key, SOUND, strlen(SOUND)), BW_EPARSE);
	g_free(long_key);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_odd_member_names_no_worker),
		cmocka_unit_test(test_sound_entry_names_a_worker),
		cmocka_unit_test(test_nested_entry_ends_no_process),
		cmocka_unit_test(test_bytes_that_cannot_be_read_name_no_worker),
		cmocka_unit_test(test_odd_key_names_no_worker),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
