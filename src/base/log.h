/**
 * @file
 * Log lines of the entry: a time, a level, the part of the program and a
 * message.
 *
 * A source file defines BW_LOG_PART, its part, before it includes this header.
 */
#ifndef BW_BASE_LOG_H
#define BW_BASE_LOG_H

#include <stdbool.h>

#ifndef BW_LOG_PART
#error "define BW_LOG_PART before including base/log.h"
#endif
#undef G_LOG_DOMAIN
#define G_LOG_DOMAIN BW_LOG_PART
#include <glib.h>

/**
 * Writes GLib's log to standard error.
 * @param as_json write one JSON object per line instead of plain text
 * @param verbose also write debug messages
 */
void bw_log_init(bool as_json, bool verbose);

#endif
