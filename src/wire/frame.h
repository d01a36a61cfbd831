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

/** What bw_frame_read() found. */
typedef enum bw_frame_result {
	BW_FRAME_OK,
	BW_FRAME_MORE, /**< The frame is not complete yet. */
	BW_FRAME_BAD, /**< Not a frame, or its body can't be parsed. */
	BW_FRAME_VERSION_NEWER,
	BW_FRAME_TOO_LONG,
	BW_FRAME_RESULT_COUNT
} bw_frame_result_t;

/** Appends a frame to a buffer. */
void bw_frame_write(GString *out, const Bramley__Frame *frame);

/**
 * Reads one frame.
 * @param data bytes received
 * @param used receives the bytes of the frame when it is BW_FRAME_OK
 * @param frame receives the message, to be released with
 *        bramley__frame__free_unpacked()
 */
bw_frame_result_t bw_frame_read(const uint8_t *data, size_t bytes, size_t *used,
				Bramley__Frame **frame);

#endif
