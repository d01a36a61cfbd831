#include "fleet/job_location.h"

#include <glib.h>

#include "wire/record.pb-c.h"
#include "wire/version.h"

uint8_t *bw_job_location_pack(const bw_job_location_t *location, size_t *bytes)
{
	Bramley__JobLocation message = BRAMLEY__JOB_LOCATION__INIT;
	uint8_t *data;

	message.version = BW_RECORD_VERSION;
	message.pool = location->pool;
	message.cancelled = location->cancelled;
	*bytes = bramley__job_location__get_packed_size(&message);
	data = g_malloc(*bytes + 1);
	bramley__job_location__pack(&message, data);
	return data;
}

static bw_status_t check_location(const Bramley__JobLocation *message)
{
	bw_status_t status =
		bw_record_check_version("job location", message->version);

	if (status == BW_OK && message->pool[0] == '\0' && !message->cancelled)
		return bw_status_set(BW_EPARSE, "a job location has no pool");
	return status;
}

bw_status_t bw_job_location_unpack(const uint8_t *data, size_t bytes,
				   bw_job_location_t *out)
{
	Bramley__JobLocation *message =
		bramley__job_location__unpack(NULL, bytes, data);
	bw_status_t status;

	if (!message)
		return bw_status_set(BW_EPARSE, "not a job location");
	status = check_location(message);
	if (status == BW_OK) {
		out->pool = g_strdup(message->pool);
		out->cancelled = message->cancelled;
	}
	bramley__job_location__free_unpacked(message, NULL);
	return status;
}
