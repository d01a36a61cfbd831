/**
 * @file
 * The JSON form in which operators submit jobs.
 */
#ifndef BW_JOB_JSON_H
#define BW_JOB_JSON_H

#include <stddef.h>

#include "base/findings.h"
#include "job/job.h"

/**
 * Parses a job, such as
 * {"text": "...", "steps": [{"tasks": 4, "cpu_millis": 500}]}.
 * @param findings receives every error with its position
 * @param out receives the job, to be released with bw_job_spec_free()
 * @return BW_OK, BW_EPARSE for bad JSON, or BW_EINVAL
 */
bw_status_t bw_job_spec_from_json(const char *text, size_t bytes,
				  bw_findings_t *findings, bw_job_spec_t **out);

#endif
