/**
 * @file
 * Status codes shared by all packages, with the message of the last failure.
 */
#ifndef BW_BASE_STATUS_H
#define BW_BASE_STATUS_H

/** Result of an operation that can fail. */
typedef enum bw_status {
	BW_OK = 0,
	BW_EINVAL, /**< An argument or input value is invalid. */
	BW_EPARSE, /**< Input could not be parsed. */
	BW_EIO, /**< A system or network call failed. */
	BW_ECONFLICT, /**< A compare-and-swap lost against another writer. */
	BW_EUNAVAIL, /**< The request was not accepted and had no effect. */
	BW_ELOST, /**< No answer arrived; the request may have taken effect. */
	BW_ENOTFOUND, /**< No such object. */
	BW_ELIMIT, /**< A configured limit was reached. */
	BW_ESTALE, /**< The sender's state is older than the receiver's. */
	BW_STATUS_COUNT
} bw_status_t;

/**
 * Returns the name of a status.
 * @return a static string, never NULL
 */
const char *bw_status_name(bw_status_t status);

/**
 * Stores the message of a failure for the calling thread.
 * @param status status of the failure
 * @param fmt printf format of the message
 * @return @p status, for use as "return bw_status_set(...)"
 */
bw_status_t bw_status_set(bw_status_t status, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * Returns the message of the last failure in the calling thread.
 * @return a string valid until the next bw_status_set(), never NULL
 */
const char *bw_status_message(void);

#endif
