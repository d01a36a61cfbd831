/**
 * @file
 * Versions of stored records. A version is raised when older readers would
 * misunderstand a record; fields that they may ignore are added without.
 */
#ifndef BW_WIRE_VERSION_H
#define BW_WIRE_VERSION_H

#include <stdint.h>

#include "base/status.h"

/** The version of each kind of record that this program writes and reads. */
#define BW_RECORD_VERSION 1
/** The version of a pool's value while tasks of it are held; programs that read
 *  only the one above would start them. */
#define BW_POOL_HELD_VERSION 2
/** The same while it names done tasks by their bits; programs that read only
 * the ones above would start them again. */
#define BW_POOL_BITS_VERSION 3

/**
 * Checks the version that a record says.
 * @param what the kind of record, for the message
 * @return BW_OK, or BW_EPARSE with both versions as status message
 */
bw_status_t bw_record_check_version(const char *what, uint32_t version);

/** The same for the value of a pool, which has any of these versions. */
bw_status_t bw_record_check_pool_version(uint32_t version);

/** The same for kinds whose records said no version at first, which is 0. */
bw_status_t bw_record_check_late_version(const char *what, uint32_t version);

#endif
