/**
 * @file
 * Why a call to another program failed, for logs and metrics. What may be
 * concluded from a failure is said by its status, not by its cause.
 */
#ifndef BW_BASE_CAUSE_H
#define BW_BASE_CAUSE_H

/** Causes. */
typedef enum bw_cause {
	BW_CAUSE_NONE, /**< It did not fail. */
	BW_CAUSE_UNCONNECTED, /**< No connection was established. */
	BW_CAUSE_CLOSED, /**< The connection was closed or reset. */
	BW_CAUSE_SILENT, /**< No answer came in time. */
	BW_CAUSE_MALFORMED, /**< The answer can't be read. */
	BW_CAUSE_UNAVAILABLE, /**< The server says that it is unavailable. */
	BW_CAUSE_RATE_LIMITED, /**< The server takes no more calls for now. */
	BW_CAUSE_REJECTED, /**< The server answered with another error. */
	BW_CAUSE_COUNT
} bw_cause_t;

/** Returns the name of a cause, a static string. */
const char *bw_cause_name(bw_cause_t cause);

#endif
