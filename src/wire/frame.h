/**
 * @file
 * Frames on the connections between entries: a header of 8 bytes (magic "BW",
 * version, zero, length of the body in network byte order), then a Frame
 * message of bramley.proto.
 */
#ifndef BW_WIRE_FRAME_H
#define BW_WIRE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "wire/bramley.pb-c.h"

#define BW_FRAME_VERSION      1
#define BW_FRAME_HEADER_BYTES 8
#define BW_FRAME_BODY_MAX     ((size_t)2 << 20)

/** Result of bw_frame_read(). */
typedef enum bw_frame_result {
	BW_FRAME_OK,
	BW_FRAME_INCOMPLETE, /**< More bytes are needed. */
	BW_FRAME_MALFORMED, /**< Wrong magic, or a body that can't be parsed. */
	BW_FRAME_VERSION_UNSUPPORTED,
	BW_FRAME_TOO_LONG, /**< The body exceeds BW_FRAME_BODY_MAX. */
	BW_FRAME_RESULT_COUNT
} bw_frame_result_t;

/** Returns the version that a complete header says. */
uint8_t bw_frame_version(const uint8_t *header);

/** Appends a frame to @p out. */
void bw_frame_write(GString *out, const Bramley__Frame *frame);

/**
 * Reads one frame.
 * @param data bytes received, from the start of a frame
 * @param used receives the size of the frame, for BW_FRAME_OK only
 * @param frame receives the message, for BW_FRAME_OK only; to be released with
 *        bramley__frame__free_unpacked()
 */
bw_frame_result_t bw_frame_read(const uint8_t *data, size_t bytes, size_t *used,
				Bramley__Frame **frame);

#endif
