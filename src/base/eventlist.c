/* The table of all kinds of events. */
#include "base/event.h"

#include <string.h>

static const bw_event_spec_t specs[BW_EVENT_KIND_COUNT] = {
	[BW_EVENT_MAIN_STARTED] = { "main", "started", BW_EVENT_SELDOM,
				    "the process serves requests",
				    "node zone callers" },
	[BW_EVENT_MAIN_STOPPING] = { "main", "stopping", BW_EVENT_SELDOM,
				     "a stop signal arrived", "signal" },
	[BW_EVENT_MAIN_STOPPED] = { "main", "stopped", BW_EVENT_SELDOM,
				    "the process ends", "left_out" },
	[BW_EVENT_MAIN_RELOAD] = { "main", "reload", BW_EVENT_SELDOM,
				   "SIGHUP: the settings file was checked",
				   "settings good" },
	[BW_EVENT_MAIN_MESSAGE] = { "main", "message", BW_EVENT_SELDOM,
				    "a library, or the code for "
				    "connections, logged a message",
				    "domain level text" },
	[BW_EVENT_FLEET_STORE_LOST] = { "fleet", "store-lost", BW_EVENT_SELDOM,
					"three or more store calls in a row, "
					"for more than 0.7 s, got no answer or "
					"were refused as unavailable",
					"node failures silent_ms" },
	[BW_EVENT_FLEET_STORE_REGAINED] = { "fleet", "store-regained",
					    BW_EVENT_SELDOM,
					    "the store answered a call for the "
					    "first time after store-lost",
					    "node" },
	[BW_EVENT_FLEET_CONFIG] = { "fleet", "config", BW_EVENT_SELDOM,
				    "a configuration was applied; incomplete "
				    "counts the rows skipped for lack of a "
				    "name",
				    "version queues pools tenants "
				    "incomplete" },
	[BW_EVENT_FLEET_CONFIG_REMARKS] = { "fleet", "config-remarks",
					    BW_EVENT_SELDOM,
					    "entries of a configuration can't "
					    "hold as they are written; the "
					    "first one is named",
					    "version count first" },
	[BW_EVENT_FLEET_CONFIG_ASKED] = { "fleet", "config-asked",
					  BW_EVENT_SELDOM,
					  "another node has a newer "
					  "configuration, which the store has "
					  "not sent, and was asked for it",
					  "peer known newest" },
	[BW_EVENT_FLEET_CONFIG_DOUBTED] = { "fleet", "config-doubted",
					    BW_EVENT_SELDOM,
					    "whether the configuration is the "
					    "newest can't be told any more "
					    "(doubted=1), or again; while it "
					    "can't, callers with keys are "
					    "refused",
					    "node doubted silent_ms" },
	[BW_EVENT_FLEET_CONFIG_OLDER] = { "fleet", "config-older",
					  BW_EVENT_SELDOM,
					  "an older configuration was ignored",
					  "version" },
	[BW_EVENT_FLEET_CONFIG_UNREADABLE] = { "fleet", "config-unreadable",
					       BW_EVENT_SELDOM,
					       "a configuration could not be "
					       "parsed and was ignored",
					       "error" },
	[BW_EVENT_FLEET_WAVE_UNREADABLE] = { "fleet", "wave-unreadable",
					     BW_EVENT_SELDOM,
					     "a maintenance order could not be "
					     "parsed and was ignored",
					     "error" },
	[BW_EVENT_FLEET_OPERATORS_UNSERVED] = { "fleet", "operators-unserved",
						BW_EVENT_SELDOM,
						"the operators' address could "
						"not be opened",
						"error" },
	[BW_EVENT_FLEET_NODE] = { "fleet", "node", BW_EVENT_BELIEF,
				  "another node registered, or unregistered "
				  "(no address)",
				  "name address" },
	[BW_EVENT_FLEET_POOL_LOST] = { "fleet", "pool-lost", BW_EVENT_BELIEF,
				       "this node no longer owns a pool",
				       "pool reason" },
	[BW_EVENT_FLEET_HANDOVER] = { "fleet", "handover", BW_EVENT_BELIEF,
				      "this node starts to hand over a pool to "
				      "a node that can carry it better",
				      "pool to load to_load" },
	[BW_EVENT_FLEET_POOL_HANDED_OVER] = { "fleet", "pool-handed-over",
					      BW_EVENT_BELIEF,
					      "this node gave up a pool in a "
					      "graceful stop or a handover",
					      "pool" },
	[BW_EVENT_FLEET_PREDECESSOR_STOPPED] = { "fleet", "predecessor-stopped",
						 BW_EVENT_BELIEF,
						 "an earlier owner of a pool "
						 "gives no orders any more: "
						 "its process has ended, it "
						 "handed the pool over, or it "
						 "was asked",
						 "pool node reason" },
	[BW_EVENT_FLEET_LEFT] = { "fleet", "left", BW_EVENT_SELDOM,
				  "this node handed over all its pools",
				  "node" },
	[BW_EVENT_FLEET_READ] = { "fleet", "read", BW_EVENT_BELIEF,
				  "a read of all keys with a prefix ended, or "
				  "one of its pages failed and is read again",
				  "prefix status keys pages took_ms" },
	[BW_EVENT_FLEET_LATE] = { "fleet", "late", BW_EVENT_SELDOM,
				  "the node's timer ran late, at most once a "
				  "second: the process lacks processor time or "
				  "was suspended",
				  "node late_ms lease_left_ms" },
	[BW_EVENT_FLEET_QUOTAS_TOO_LARGE] = { "fleet", "quotas-too-large",
					      BW_EVENT_SELDOM,
					      "a report or an order about "
					      "tenants' quotas does not fit a "
					      "message and was not sent",
					      "pool tenants bytes" },
	[BW_EVENT_MEMBER_REGISTERED] = { "member", "registered",
					 BW_EVENT_SELDOM,
					 "this node has registered with a new "
					 "lease",
					 "node lease" },
	[BW_EVENT_MEMBER_LEASE_LOST] = { "member", "lease-lost",
					 BW_EVENT_SELDOM,
					 "this node lost its lease",
					 "node lease" },
	[BW_EVENT_MEMBER_RENEWAL_FAILED] = { "member", "renewal-failed",
					     BW_EVENT_SELDOM,
					     "a renewal of the lease failed or "
					     "got no answer; queued_ms of its "
					     "time it waited for a connection",
					     "node status cause queued_ms "
					     "took_ms" },
	[BW_EVENT_MEMBER_CLAIMED] = { "member", "claimed", BW_EVENT_BELIEF,
				      "this node became the owner of a pool",
				      "pool fence" },
	[BW_EVENT_MEMBER_CLAIM_FAILED] = { "member", "claim-failed",
					   BW_EVENT_BELIEF,
					   "a claim failed or got no answer; "
					   "queued_ms of its time it waited "
					   "for a connection",
					   "pool status cause queued_ms "
					   "took_ms" },
	[BW_EVENT_MEMBER_OWNER] = { "member", "owner", BW_EVENT_BELIEF,
				    "a pool has a new owner",
				    "pool node revision" },
	[BW_EVENT_MEMBER_OWNER_GONE] = { "member", "owner-gone",
					 BW_EVENT_BELIEF,
					 "a pool's claim is gone; its owner "
					 "may not know yet",
					 "pool node revision" },
	[BW_EVENT_MEMBER_GIVEN_BACK] = { "member", "given-back",
					 BW_EVENT_BELIEF,
					 "this node deleted a claim of its own "
					 "that it does not use",
					 "pool revision" },
	[BW_EVENT_MEMBER_UNREADABLE] = { "member", "unreadable",
					 BW_EVENT_BELIEF,
					 "a node's registration or a claim "
					 "could not be read, for example "
					 "because a newer version wrote it; a "
					 "claim counts as somebody's",
					 "key error" },
	[BW_EVENT_POOL_LOADED] = { "pool", "loaded", BW_EVENT_BELIEF,
				   "the state saved by the previous owner was "
				   "read; saved_by is its claim, and "
				   "handed_over 1 if it gave no orders "
				   "afterwards",
				   "pool fence revision saved_by handed_over" },
	[BW_EVENT_POOL_STATE_UNREADABLE] = { "pool", "state-unreadable",
					     BW_EVENT_BELIEF,
					     "the saved state could not be "
					     "read, for example because a "
					     "newer version wrote it; the "
					     "claim is given back",
					     "pool error" },
	[BW_EVENT_POOL_SAVE_FAILED] = { "pool", "save-failed", BW_EVENT_BELIEF,
					"saving the state failed, or its "
					"result is unknown; queued_ms of its "
					"time it waited for a connection",
					"pool status cause queued_ms took_ms" },
	[BW_EVENT_POOL_HOLD_FAILED] = { "pool", "hold-failed", BW_EVENT_BELIEF,
					"a heartbeat call to a worker failed",
					"worker result" },
	[BW_EVENT_POOL_THROTTLE_FAILED] = { "pool", "throttle-failed",
					    BW_EVENT_BELIEF,
					    "an order to throttle a task "
					    "failed",
					    "worker result" },
	[BW_EVENT_POOL_QUOTAS] = { "pool", "quotas", BW_EVENT_BELIEF,
				   "an order of the lender for the pool's "
				   "quotas was applied (0), or refused: it is "
				   "for another owner (1), or of an earlier "
				   "lender (2), or a later one was applied (3)",
				   "pool lender number tenants result" },
	[BW_EVENT_POOL_STOP] = { "pool", "stop", BW_EVENT_REQUEST,
				 "an order to stop a run was sent",
				 "job step index run worker" },
	[BW_EVENT_POOL_REMOVED] = { "pool", "removed", BW_EVENT_BELIEF,
				    "a call to remove records of finished jobs "
				    "ended (done: 1 on success)",
				    "pool jobs status done" },
	[BW_EVENT_POOL_SHORTENED] = { "pool", "shortened", BW_EVENT_BELIEF,
				      "a call to replace records of ended jobs "
				      "by short ones ended (done: 1 on "
				      "success)",
				      "pool jobs status done" },
	[BW_EVENT_POOL_NOTICE_OLD] = { "pool", "notice-old", BW_EVENT_REQUEST,
				       "a node announced a job too late; it is "
				       "read from the store instead",
				       "pool job" },
	[BW_EVENT_POOL_JOB_UNREADABLE] = { "pool", "job-unreadable",
					   BW_EVENT_REQUEST,
					   "a job record could not be parsed: "
					   "another program or a newer version "
					   "wrote it; the job is left alone",
					   "pool job error" },
	[BW_EVENT_SCHED_JOB] = { "sched", "job", BW_EVENT_REQUEST,
				 "the owner of a pool learned of a job",
				 "pool job queue tasks repeats lasting "
				 "age_ms confirmed foreign" },
	[BW_EVENT_SCHED_START] = { "sched", "start", BW_EVENT_REQUEST,
				   "an order to start a run was sent; heard_ms "
				   "is the time since the worker's last "
				   "answer, copy counts the orders of the run",
				   "pool job step index run worker wait_ms "
				   "heard_ms copy" },
	[BW_EVENT_SCHED_STARTED] = { "sched", "started", BW_EVENT_REQUEST,
				     "a start order was answered",
				     "pool job step index run worker result" },
	[BW_EVENT_SCHED_END] = { "sched", "end", BW_EVENT_REQUEST,
				 "a worker reported the end of a run",
				 "pool job step index run worker how number "
				 "known" },
	[BW_EVENT_SCHED_ADOPT] = { "sched", "adopt", BW_EVENT_REQUEST,
				   "a run that an earlier owner started was "
				   "taken over",
				   "pool job step index run worker" },
	[BW_EVENT_SCHED_OCCURRENCE_DONE] = { "sched", "occurrence-done",
					     BW_EVENT_REQUEST,
					     "all tasks of an occurrence ended",
					     "pool job occurrence took_ms "
					     "objective_ms" },
	[BW_EVENT_SCHED_JOB_FINISHED] = { "sched", "job-finished",
					  BW_EVENT_REQUEST,
					  "a job reached its final state",
					  "pool job queue state age_ms" },
	[BW_EVENT_SCHED_JOB_FORGOTTEN] = { "sched", "job-forgotten",
					   BW_EVENT_REQUEST,
					   "a removed job was deleted from "
					   "memory",
					   "pool job" },
	[BW_EVENT_SCHED_RUN_GONE] = { "sched", "run-gone", BW_EVENT_REQUEST,
				      "a run ended because its worker ended or "
				      "restarted, or its grant expired",
				      "pool job step index run worker reason" },
	[BW_EVENT_SCHED_RUN_MISSING] = { "sched", "run-missing",
					 BW_EVENT_REQUEST,
					 "a worker no longer lists a run",
					 "pool job step index run worker" },
	[BW_EVENT_SCHED_STOP_UNKNOWN] = { "sched", "stop-unknown",
					  BW_EVENT_REQUEST,
					  "an order to stop an orphan run was "
					  "sent",
					  "pool job step index run worker" },
	[BW_EVENT_SCHED_EVACUATE] = { "sched", "evacuate", BW_EVENT_REQUEST,
				      "a task was stopped to move it to "
				      "another worker",
				      "pool job step index run worker" },
	[BW_EVENT_SCHED_KEPT] = { "sched", "kept", BW_EVENT_REQUEST,
				  "a run that was to be stopped goes on, as "
				  "others of its step may be away",
				  "pool job step index run worker" },
	[BW_EVENT_SCHED_HELD] = { "sched", "held", BW_EVENT_REQUEST,
				  "a worker may have dropped the end of a run "
				  "unread; its task waits until that is known, "
				  "or the worker restarts or ends",
				  "pool job step index run worker" },
	[BW_EVENT_SCHED_END_UNREAD] = { "sched", "end-unread", BW_EVENT_REQUEST,
					"the worker of a held task refused to "
					"start its run again, as it has ended "
					"there; nobody knows how, and the task "
					"waits until the worker restarts or "
					"ends",
					"pool job step index run worker" },
	[BW_EVENT_SCHED_FILL_SHARE] = { "sched", "fill-share", BW_EVENT_BELIEF,
					"the share of a worker that fillers "
					"may use changed",
					"pool worker share tail" },
	[BW_EVENT_SCHED_ORDERS] = { "sched", "orders", BW_EVENT_BELIEF,
				    "the pool's owner may, or may no longer, "
				    "send orders",
				    "pool allowed" },
	[BW_EVENT_SCHED_SUSPENDED] = { "sched", "suspended", BW_EVENT_BELIEF,
				       "the process was suspended or starved: "
				       "no starts until a save proves that the "
				       "pool is still its own",
				       "pool gap_ms" },
	[BW_EVENT_SCHED_SETTLED] = { "sched", "settled", BW_EVENT_BELIEF,
				     "recovery is complete: all runs of "
				     "earlier owners are known; by start: "
				     "there "
				     "was none; by lists, or by time, as all "
				     "grants to the unheard workers are over; "
				     "stopped_ms tells when all earlier owners "
				     "had stopped, -1: not known",
				     "pool after_ms by unheard stopped_ms" },
	[BW_EVENT_SCHED_WORKER] = { "sched", "worker", BW_EVENT_BELIEF,
				    "a worker registered",
				    "pool worker address rack machine cpu "
				    "mem_mb" },
	[BW_EVENT_SCHED_WORKER_DRAINING] = { "sched", "worker-draining",
					     BW_EVENT_BELIEF,
					     "a worker began to drain",
					     "pool worker tasks" },
	[BW_EVENT_SCHED_WORKER_GONE] = { "sched", "worker-gone",
					 BW_EVENT_BELIEF,
					 "a worker is no longer registered",
					 "pool worker tasks silent_ms" },
	[BW_EVENT_SCHED_WORKER_DEAD] = { "sched", "worker-dead",
					 BW_EVENT_BELIEF,
					 "a worker ended, and all runs on it",
					 "pool worker tasks reason" },
	[BW_EVENT_SCHED_WORKER_REBORN] = { "sched", "worker-reborn",
					   BW_EVENT_BELIEF,
					   "a worker restarted",
					   "pool worker born_ms" },
	[BW_EVENT_SCHED_SUSPECTED] = { "sched", "suspected", BW_EVENT_REQUEST,
				       "a worker crashed under a task, which "
				       "may be the cause",
				       "pool job step index run worker crashes "
				       "unsure" },
	[BW_EVENT_SCHED_GIVEN_UP] = { "sched", "given-up", BW_EVENT_REQUEST,
				      "a task crashes its workers, so that "
				      "its job fails",
				      "pool job step index run crashes "
				      "unsure" },
	[BW_EVENT_SCHED_QUOTA] = { "sched", "quota", BW_EVENT_BELIEF,
				   "at most once a second: a start was held "
				   "back, as its tenant's quota is used up; "
				   "amounts are processor/memory/accelerators, "
				   "times counts since the last line; "
				   "quota_age_ms -1: it has none yet",
				   "pool job tenant held need quota "
				   "quota_age_ms counted_age_ms unknown "
				   "times" },
	[BW_EVENT_CONTROLLER_POOL] = { "controller", "pool", BW_EVENT_BELIEF,
				       "twice a second: the figures that "
				       "machine moves depend on",
				       "pool known used offered waiting "
				       "lasting have needed wanted" },
	[BW_EVENT_CONTROLLER_MOVED] = { "controller", "moved", BW_EVENT_BELIEF,
					"an order to move a machine was "
					"answered",
					"machine from to result" },
	[BW_EVENT_CONTROLLER_LENDER] = { "controller", "lender",
					 BW_EVENT_SELDOM,
					 "the lender of tenants' caps may "
					 "raise "
					 "quotas, or waits for pools that have "
					 "not reported to it",
					 "fence lends awaited tenants" },
	[BW_EVENT_CONTROLLER_CAP] = { "controller", "cap", BW_EVENT_BELIEF,
				      "the lender learned that a tenant's cap "
				      "was raised, lowered or removed; 0 is no "
				      "limit",
				      "tenant cpu_millis mem_mb gpus" },
	[BW_EVENT_CONTROLLER_CAP_EXCEEDED] = { "controller", "cap-exceeded",
					       BW_EVENT_BELIEF,
					       "tasks that must start together "
					       "exceed their tenant's whole "
					       "cap; they wait until nothing "
					       "else of the tenant runs",
					       "tenant pool cpu_millis mem_mb "
					       "gpus" },
	[BW_EVENT_UPKEEP_WAVE] = { "upkeep", "wave", BW_EVENT_SELDOM,
				   "the controller learned of a maintenance "
				   "wave",
				   "wave machines at_once duration_ms" },
	[BW_EVENT_UPKEEP_RESERVE] = { "upkeep", "reserve", BW_EVENT_BELIEF,
				      "a worker was reserved for the "
				      "maintenance of its machine",
				      "wave machine worker tasks reserved" },
	[BW_EVENT_UPKEEP_ORDERED] = { "upkeep", "ordered", BW_EVENT_BELIEF,
				      "a maintenance order to a machine was "
				      "answered",
				      "wave machine result" },
	[BW_EVENT_UPKEEP_DONE] = { "upkeep", "done", BW_EVENT_BELIEF,
				   "a machine is back from maintenance",
				   "wave machine worker" },
	[BW_EVENT_UPKEEP_COMPLETED] = { "upkeep", "completed", BW_EVENT_SELDOM,
					"a maintenance wave is complete",
					"wave" },
	[BW_EVENT_UPKEEP_RECORD_UNREADABLE] = { "upkeep", "record-unreadable",
						BW_EVENT_SELDOM,
						"a wave's progress could not "
						"be read, for example because "
						"a newer version wrote it; the "
						"wave is left alone",
						"wave error" },
	[BW_EVENT_FRONT_LIMIT] = { "front", "limit", BW_EVENT_SELDOM,
				   "clients met a bound of a server and were "
				   "refused or closed; count of them for this "
				   "cause since its last line, at most one a "
				   "second",
				   "address cause count connections "
				   "held_bytes" },
	[BW_EVENT_SERVICE_REQUEST] = { "service", "request", BW_EVENT_REQUEST,
				       "a caller was answered",
				       "kind job queue pool answer state "
				       "reason attempts took_ms" },
	[BW_EVENT_SERVICE_REQUEST_REFUSED] = { "service", "request-refused",
					       BW_EVENT_REQUEST,
					       "a request was refused before "
					       "anything was sent",
					       "kind job answer reason host "
					       "path" },
	[BW_EVENT_SERVICE_STORE_FAILED] = { "service", "store-failed",
					    BW_EVENT_REQUEST,
					    "a call to the store for a request "
					    "failed, or was sent more than "
					    "once; copies counts how often, "
					    "kept is 1 for a connection that "
					    "had taken a call before, for "
					    "which it waited queued_ms of its "
					    "time",
					    "kind job attempt status cause "
					    "copies kept queued_ms took_ms" },
	[BW_EVENT_SERVICE_COUNT_MISSING] = { "service", "count-missing",
					     BW_EVENT_REQUEST,
					     "nobody told how many jobs of a "
					     "queue wait in a pool, so that "
					     "their number is refused",
					     "queue pool cause" },
	[BW_EVENT_DIRECTORY_ENTRY_UNREADABLE] = { "directory",
						  "entry-unreadable",
						  BW_EVENT_BELIEF,
						  "a worker's registration "
						  "could not be parsed",
						  "key error" },
};

static const uint32_t class_lines[BW_EVENT_CLASS_COUNT] = {
	[BW_EVENT_REQUEST] = 800,
	[BW_EVENT_BELIEF] = 200,
	[BW_EVENT_SELDOM] = 50,
};

static const char *const class_names[BW_EVENT_CLASS_COUNT] = {
	[BW_EVENT_REQUEST] = "request",
	[BW_EVENT_BELIEF] = "belief",
	[BW_EVENT_SELDOM] = "seldom",
};

static const char *const drop_names[BW_EVENT_DROP_COUNT] = {
	[BW_EVENT_DROP_RATE] = "rate",
	[BW_EVENT_DROP_BYTES] = "bytes",
	[BW_EVENT_DROP_READER] = "reader",
};

const bw_event_spec_t *bw_event_spec(bw_event_kind_t kind)
{
	return &specs[kind];
}

uint32_t bw_event_class_lines(bw_event_class_t which)
{
	return class_lines[which];
}

const char *bw_event_drop_name(bw_event_drop_t why)
{
	return drop_names[why];
}

void bw_event_print_table(GString *out)
{
	int i;

	g_string_append(out, "| part | event | class | when | fields |\n"
			     "| --- | --- | --- | --- | --- |\n");
	for (i = 0; i < BW_EVENT_KIND_COUNT; i++) {
		const bw_event_spec_t *spec = &specs[i];

		g_string_append_printf(out, "| %s | %s | %s | %s | %s |\n",
				       spec->part, spec->name,
				       class_names[spec->class], spec->when,
				       spec->fields);
	}
}
