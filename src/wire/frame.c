#include "wire/frame.h"

#include <arpa/inet.h>
#include <stdbool.h>
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

static bool field_numbers_valid(const ProtobufCMessage *message);

/* Returns the message in a field; @p index is for repeated fields. */
static const ProtobufCMessage *
submessage_at(const ProtobufCMessage *message,
	      const ProtobufCFieldDescriptor *field, size_t index)
{
	const uint8_t *at = (const uint8_t *)message + field->offset;
	const ProtobufCMessage *const *item = (const void *)at;

	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		item = ((const ProtobufCMessage *const *const *)item)[0] +
		       index;
	return *item;
}

static size_t submessage_count(const ProtobufCMessage *message,
			       const ProtobufCFieldDescriptor *field)
{
	const uint8_t *quantifier =
		(const uint8_t *)message + field->quantifier_offset;

	if (field->type != PROTOBUF_C_TYPE_MESSAGE)
		return 0;
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return *(const size_t *)(const void *)quantifier;
	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF &&
	    *(const uint32_t *)(const void *)quantifier != field->id)
		return 0;
	return submessage_at(message, field, 0) ? 1 : 0;
}

static bool field_messages_valid(const ProtobufCMessage *message,
				 const ProtobufCFieldDescriptor *field)
{
	size_t count = submessage_count(message, field);
	size_t i;

	for (i = 0; i < count; i++)
		if (!field_numbers_valid(submessage_at(message, field, i)))
			return false;
	return true;
}

/*
 * Whether no unknown field has number 0, which protobuf-c accepts here but
 * could not parse again once the message is packed.
 */
static bool field_numbers_valid(const ProtobufCMessage *message)
{
	unsigned i;

	for (i = 0; i < message->n_unknown_fields; i++)
		if (message->unknown_fields[i].tag == 0)
			return false;
	for (i = 0; i < message->descriptor->n_fields; i++)
		if (!field_messages_valid(message,
					  &message->descriptor->fields[i]))
			return false;
	return true;
}

uint8_t bw_frame_version(const uint8_t *header)
{
	return header[2];
}

bw_frame_result_t bw_frame_read(const uint8_t *data, size_t bytes, size_t *used,
				Bramley__Frame **frame)
{
	uint32_t length;

	if (bytes < BW_FRAME_HEADER_BYTES)
		return BW_FRAME_INCOMPLETE;
	if (memcmp(data, magic, sizeof(magic)) != 0)
		return BW_FRAME_MALFORMED;
	if (bw_frame_version(data) != BW_FRAME_VERSION)
		return BW_FRAME_VERSION_UNSUPPORTED;
	memcpy(&length, data + 4, sizeof(length));
	length = ntohl(length);
	if (length > BW_FRAME_BODY_MAX)
		return BW_FRAME_TOO_LONG;
	if (bytes < BW_FRAME_HEADER_BYTES + length)
		return BW_FRAME_INCOMPLETE;
	*frame = bramley__frame__unpack(NULL, length,
					data + BW_FRAME_HEADER_BYTES);
	if (!*frame)
		return BW_FRAME_MALFORMED;
	if (!field_numbers_valid(&(*frame)->base)) {
		bramley__frame__free_unpacked(*frame, NULL);
		*frame = NULL;
		return BW_FRAME_MALFORMED;
	}
	*used = BW_FRAME_HEADER_BYTES + length;
	return BW_FRAME_OK;
}
