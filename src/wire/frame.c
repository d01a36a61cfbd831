#include "wire/frame.h"

#include <arpa/inet.h>
#include <string.h>

static const uint8_t magic[2] = { 'B', 'W' };

void bw_frame_write(GString *out, const Bramley__Frame *frame)
{
	size_t bytes = bramley__frame__get_packed_size(frame);
	uint32_t length = htonl((uint32_t)bytes);
	uint8_t header[BW_FRAME_HEADER_BYTES] = { magic[0], magic[1],
						  BW_FRAME_VERSION, 0 };
	gsize at = out->len;

	memcpy(header + 4, &length, sizeof(length));
	g_string_set_size(out, at + sizeof(header) + bytes);
	memcpy(out->str + at, header, sizeof(header));
	bramley__frame__pack(frame, (uint8_t *)out->str + at + sizeof(header));
}

bw_frame_result_t bw_frame_read(const uint8_t *data, size_t bytes, size_t *used,
				Bramley__Frame **frame)
{
	uint32_t length;

	if (bytes < BW_FRAME_HEADER_BYTES)
		return BW_FRAME_MORE;
	if (memcmp(data, magic, sizeof(magic)) != 0)
		return BW_FRAME_BAD;
	if (data[2] != BW_FRAME_VERSION)
		return BW_FRAME_VERSION_NEWER;
	memcpy(&length, data + 4, sizeof(length));
	length = ntohl(length);
	if (length > BW_FRAME_BODY_MAX)
		return BW_FRAME_TOO_LONG;
	if (bytes < BW_FRAME_HEADER_BYTES + length)
		return BW_FRAME_MORE;
	*frame = bramley__frame__unpack(NULL, length,
					data + BW_FRAME_HEADER_BYTES);
	if (!*frame)
		return BW_FRAME_BAD;
	*used = BW_FRAME_HEADER_BYTES + length;
	return BW_FRAME_OK;
}
