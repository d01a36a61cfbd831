#include "relay/problem.h"

#include <jansson.h>
#include <microhttpd.h>

static const char *const outcome_names[BW_OUTCOME_COUNT] = {
	[BW_OUTCOME_ANSWERED] = "answered",
	[BW_OUTCOME_NOT_RUN] = "not-run",
	[BW_OUTCOME_UNKNOWN] = "unknown",
};

char *bw_problem_text(unsigned int status, bw_outcome_t outcome,
		      const char *reason, const char *ticket)
{
	json_t *root = json_pack("{s:s,s:s,s:i,s:s,s:s}", "type", "about:blank",
				 "title", MHD_get_reason_phrase_for(status),
				 "status", (int)status, "outcome",
				 outcome_names[outcome], "reason", reason);
	char *text;

	if (ticket)
		json_object_set_new(root, "ticket", json_string(ticket));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
