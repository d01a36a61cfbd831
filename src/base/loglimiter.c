#include "base/loglimiter.h"

static bool leave_out(bw_log_gate_t *gate, bw_log_kind_t *kind,
		      bw_event_loss_t why);

static bool leave_out(bw_log_gate_t *gate, bw_log_kind_t *kind,
		      bw_event_loss_t why)
{
	kind->missed++;
	gate->lost[why]++;
	return false;
}

bool bw_log_gate_admit(bw_log_gate_t *gate, bw_event_kind_t which,
		       int64_t now_ms, size_t backlog_bytes)
{
	bw_log_kind_t *kind = &gate->kinds[which];
	int64_t second = now_ms / 1000;

	if (kind->second != second) {
		kind->second = second;
		kind->lines = 0;
	}
	if (gate->second != second) {
		gate->second = second;
		gate->bytes = 0;
	}
	if (kind->lines >= bw_event_class_lines(bw_event_spec(which)->class))
		return leave_out(gate, kind, BW_EVENT_LOSS_RATE);
	if (gate->bytes + BW_LOG_LINE_BYTES_MAX > gate->bytes_max)
		return leave_out(gate, kind, BW_EVENT_LOSS_BYTES);
	if (backlog_bytes + BW_LOG_LINE_BYTES_MAX > BW_LOG_BACKLOG_BYTES_MAX)
		return leave_out(gate, kind, BW_EVENT_LOSS_READER);
	kind->lines++;
	return true;
}

uint32_t bw_log_gate_missed(bw_log_gate_t *gate, bw_event_kind_t kind)
{
	uint32_t missed = gate->kinds[kind].missed;

	gate->kinds[kind].missed = 0;
	return missed;
}

void bw_log_gate_written(bw_log_gate_t *gate, size_t bytes)
{
	gate->bytes += (int64_t)bytes;
}
