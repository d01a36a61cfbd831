/*
 * Fuzzer of the frames between entries: any bytes are a frame, a part of one or
 * a counted mistake, and a frame that is read can be written and read again.
 */
#include <string.h>

#include "wire/frame.h"
#include "world.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const uint8_t head[4] = { 'B', 'W', BW_FRAME_VERSION, 0 };
	uint8_t *copy = malloc(size + BW_FRAME_HEADER_BYTES);
	uint32_t length = __builtin_bswap32((uint32_t)size);
	Bramley__Frame *frame;
	GString *out = g_string_new(NULL);
	size_t used;

	/* Once as it is, and once as the body of a good header. */
	if (bw_frame_read(data, size, &used, &frame) == BW_FRAME_OK) {
		FUZZ_ASSERT(used <= size, "a frame lies in its bytes");
		bramley__frame__free_unpacked(frame, NULL);
	}
	memcpy(copy, head, sizeof(head));
	memcpy(copy + sizeof(head), &length, sizeof(length));
	if (size > 0)
		memcpy(copy + BW_FRAME_HEADER_BYTES, data, size);
	if (bw_frame_read(copy, size + BW_FRAME_HEADER_BYTES, &used, &frame) ==
	    BW_FRAME_OK) {
		FUZZ_ASSERT(used == size + BW_FRAME_HEADER_BYTES,
			    "a frame is read whole");
		bw_frame_write(out, frame);
		bramley__frame__free_unpacked(frame, NULL);
		FUZZ_ASSERT(bw_frame_read((const uint8_t *)out->str, out->len,
					  &used, &frame) == BW_FRAME_OK,
			    "a written frame can be read");
		bramley__frame__free_unpacked(frame, NULL);
	}
	g_string_free(out, TRUE);
	free(copy);
	return 0;
}
