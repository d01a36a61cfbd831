/**
 * @file
 * Result codes shared by all packages, with the message of the last failure.
 */
#ifndef BW_BASE_STATUS_H
#define BW_BASE_STATUS_H

/** Result of an operation that can fail. */
typedef enum bw_status {
	BW_OK = 0,
	BW_EINVAL, /**< An argument or input value is not acceptable. */
	BW_EPARSE, /**< Input could not be parsed. */
	BW_EIO, /**< A system or network call failed. */
	BW_ECONFLICT, /**< A compare-and-swap lost against another writer. */
	BW_EUNAVAIL, /**< The other side did not take the request. */
	BW_ELOST, /**< The answer was lost; the effect is not known. */
	BW_ENOTFOUND, /**< No such object. */
	BW_ELIMIT, /**< A configured limit was reached. */
	BW_ESTALE, /**< The sender's state is older than the receiver's. */
	BW_STATUS_COUNT
} bw_status_t;

/**
 * Name of a status.
 * @return a static string, never NULL
 */
const char *bw_status_name(bw_status_t status);

/**
 * Records the message of a failure for the calling thread.
 * @param status the status to return
 * @param fmt printf format of the message
 * @return @p status, so that a caller can return the call's value
 */
bw_status_t bw_status_set(bw_status_t status, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * Message of the last failure in the calling thread.
 * @return a string valid until the next bw_status_set(), never NULL
 */
const char *bw_status_message(void);

#endif
