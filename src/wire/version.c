#include "wire/version.h"

bw_status_t bw_record_check_version(const char *what, uint32_t version)
{
	if (version == BW_RECORD_VERSION)
		return BW_OK;
	return bw_status_set(BW_EPARSE,
			     "a %s record of version %u, this program reads %d",
			     what, version, BW_RECORD_VERSION);
}

bw_status_t bw_record_check_pool_version(uint32_t version)
{
	if (version >= BW_RECORD_VERSION && version <= BW_POOL_BITS_VERSION)
		return BW_OK;
	return bw_status_set(BW_EPARSE,
			     "a pool record of version %u, this program reads "
			     "%d to %d",
			     version, BW_RECORD_VERSION, BW_POOL_BITS_VERSION);
}

bw_status_t bw_record_check_late_version(const char *what, uint32_t version)
{
	return version == 0 ? BW_OK : bw_record_check_version(what, version);
}
