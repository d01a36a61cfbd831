/*
 * Frames between entries: valid, incomplete, malformed, too long and of an
 * unsupported version.
 */
#include "test.h"

#include <string.h>

#include "wire/frame.h"

typedef struct frame_case {
	const char *name;
	const char *bytes;
	size_t count;
	bw_frame_result_t result;
} frame_case_t;

static const frame_case_t frame_cases[] = {
	{ "nothing", "", 0, BW_FRAME_INCOMPLETE },
	{ "part of a header", "BW\1\0\0\0\0", 7, BW_FRAME_INCOMPLETE },
	{ "empty body", "BW\1\0\0\0\0\0", 8, BW_FRAME_OK },
	{ "part of a body", "BW\1\0\0\0\0\5abc", 11, BW_FRAME_INCOMPLETE },
	{ "other magic", "HTTP/1.1", 8, BW_FRAME_MALFORMED },
	{ "newer version", "BW\2\0\0\0\0\0", 8, BW_FRAME_VERSION_UNSUPPORTED },
	{ "too long", "BW\1\0\0\x20\0\1", 8, BW_FRAME_TOO_LONG },
	{ "malformed body", "BW\1\0\0\0\0\3\xff\xff\xff", 11,
	  BW_FRAME_MALFORMED },
	{ "field number 0", "BW\1\0\0\0\0\6\x85\0*\0\0\0", 14,
	  BW_FRAME_MALFORMED },
	{ "field number 0 in a submessage",
	  "BW\1\0\0\0\0\x8\x2a\6\x85\0*\0\0\0", 16, BW_FRAME_MALFORMED },
	{ "unknown field", "BW\1\0\0\0\0\3\xf8\1\1", 11, BW_FRAME_OK },
};

static void test_frame_table(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(frame_cases); i++) {
		const frame_case_t *c = &frame_cases[i];
		Bramley__Frame *frame = NULL;
		size_t used = 0;
		bw_frame_result_t result = bw_frame_read(
			(const uint8_t *)c->bytes, c->count, &used, &frame);

		if (result != c->result)
			print_error("case: %s\n", c->name);
		assert_int_equal(result, c->result);
		if (result == BW_FRAME_OK)
			bramley__frame__free_unpacked(frame, NULL);
	}
}

static void test_round_trip(void **state)
{
	Bramley__DocumentAsk ask = BRAMLEY__DOCUMENT_ASK__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	Bramley__Frame *again;
	GString *out = g_string_new(NULL);
	size_t used;
	size_t i;

	(void)state;
	ask.after = 2;
	frame.body_case = BRAMLEY__FRAME__BODY_ASK;
	frame.ask = &ask;
	bw_frame_write(out, &frame);
	bw_frame_write(out, &frame);
	/* Every shorter prefix of the first frame needs more bytes. */
	for (i = 0; i < out->len / 2; i++)
		assert_int_equal(bw_frame_read((const uint8_t *)out->str, i,
					       &used, &again),
				 BW_FRAME_INCOMPLETE);
	assert_int_equal(bw_frame_read((const uint8_t *)out->str, out->len,
				       &used, &again),
			 BW_FRAME_OK);
	assert_int_equal(used, out->len / 2);
	assert_int_equal(again->ask->after, 2);
	bramley__frame__free_unpacked(again, NULL);
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_frame_table),
		cmocka_unit_test(test_round_trip),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
