/* The table of all kinds of events. */
#include "base/event.h"

#include <string.h>

static const bw_event_spec_t specs[BW_EVENT_KIND_COUNT] = {
	[BW_EVENT_MAIN_STARTED] = { "main", "started", BW_EVENT_SELDOM,
				    "the process serves", "node zone callers" },
	[BW_EVENT_MAIN_STOPPING] = { "main", "stopping", BW_EVENT_SELDOM,
				     "a stop signal came", "signal" },
	[BW_EVENT_MAIN_STOPPED] = { "main", "stopped", BW_EVENT_SELDOM,
				    "the process ends", "left_out" },
	[BW_EVENT_MAIN_RELOAD] = { "main", "reload", BW_EVENT_SELDOM,
				   "SIGHUP: the settings are checked",
				   "settings good" },
	[BW_EVENT_MAIN_MESSAGE] = { "main", "message", BW_EVENT_SELDOM,
				    "a message of a library",
				    "domain level text" },
	[BW_EVENT_FLEET_STORE_LOST] = { "fleet", "store-lost", BW_EVENT_SELDOM,
					"three calls in a row without an "
					"answer",
					"node failures silent_ms" },
	[BW_EVENT_FLEET_STORE_REGAINED] = { "fleet", "store-regained",
					    BW_EVENT_SELDOM,
					    "the first answer after that",
					    "node" },
	[BW_EVENT_FLEET_CONFIG] = { "fleet", "config", BW_EVENT_SELDOM,
				    "a configuration is in force; rows without "
				    "a name are left out of it",
				    "version queues pools incomplete" },
	[BW_EVENT_FLEET_CONFIG_OLDER] = { "fleet", "config-older",
					  BW_EVENT_SELDOM,
					  "an older configuration is not taken",
					  "version" },
	[BW_EVENT_FLEET_CONFIG_UNREADABLE] = { "fleet", "config-unreadable",
					       BW_EVENT_SELDOM,
					       "a configuration is not taken",
					       "error" },
	[BW_EVENT_FLEET_WAVE_UNREADABLE] = { "fleet", "wave-unreadable",
					     BW_EVENT_SELDOM,
					     "an order of upkeep is not taken",
					     "error" },
	[BW_EVENT_FLEET_OPERATORS_UNSERVED] = { "fleet", "operators-unserved",
						BW_EVENT_SELDOM,
						"the operators' address cannot "
						"be served",
						"error" },
	[BW_EVENT_FLEET_NODE] = { "fleet", "node", BW_EVENT_BELIEF,
				  "another node came, or left (no address)",
				  "name address" },
	[BW_EVENT_FLEET_POOL_LOST] = { "fleet", "pool-lost", BW_EVENT_BELIEF,
				       "this node owns a pool no longer",
				       "pool reason" },
	[BW_EVENT_FLEET_POOL_HANDED_OVER] = { "fleet", "pool-handed-over",
					      BW_EVENT_BELIEF,
					      "a pool was given up in order",
					      "pool" },
	[BW_EVENT_FLEET_PREDECESSOR_STOPPED] = { "fleet", "predecessor-stopped",
						 BW_EVENT_BELIEF,
						 "the earlier owner acts no "
						 "more",
						 "pool" },
	[BW_EVENT_FLEET_LEFT] = { "fleet", "left", BW_EVENT_SELDOM,
				  "all is handed over", "node" },
	[BW_EVENT_MEMBER_REGISTERED] = { "member", "registered",
					 BW_EVENT_SELDOM,
					 "this node has a lease",
					 "node lease" },
	[BW_EVENT_MEMBER_LEASE_LOST] = { "member", "lease-lost",
					 BW_EVENT_SELDOM,
					 "it has none any more", "node lease" },
	[BW_EVENT_MEMBER_CLAIMED] = { "member", "claimed", BW_EVENT_BELIEF,
				      "this node owns a pool", "pool fence" },
	[BW_EVENT_MEMBER_OWNER] = { "member", "owner", BW_EVENT_BELIEF,
				    "a node owns a pool",
				    "pool node revision" },
	[BW_EVENT_MEMBER_GIVEN_BACK] = { "member", "given-back",
					 BW_EVENT_BELIEF,
					 "a claim that is not acted on is "
					 "deleted",
					 "pool revision" },
	[BW_EVENT_POOL_LOADED] = { "pool", "loaded", BW_EVENT_BELIEF,
				   "the earlier owner's state was read",
				   "pool fence revision" },
	[BW_EVENT_POOL_STATE_UNREADABLE] = { "pool", "state-unreadable",
					     BW_EVENT_BELIEF,
					     "it is of a newer program",
					     "pool error" },
	[BW_EVENT_POOL_SAVE_FAILED] = { "pool", "save-failed", BW_EVENT_BELIEF,
					"state was not stored, or may not be",
					"pool status" },
	[BW_EVENT_POOL_HOLD_FAILED] = { "pool", "hold-failed", BW_EVENT_BELIEF,
					"a worker did not tell what it runs",
					"worker result" },
	[BW_EVENT_POOL_THROTTLE_FAILED] = { "pool", "throttle-failed",
					    BW_EVENT_BELIEF,
					    "an order to slow a task failed",
					    "worker result" },
	[BW_EVENT_POOL_STOP] = { "pool", "stop", BW_EVENT_REQUEST,
				 "an order to stop a run",
				 "job step index run worker" },
	[BW_EVENT_POOL_REMOVED] = { "pool", "removed", BW_EVENT_BELIEF,
				    "records of finished jobs were removed, or "
				    "not",
				    "pool jobs status done" },
	[BW_EVENT_POOL_NOTICE_OLD] = { "pool", "notice-old", BW_EVENT_REQUEST,
				       "a node told of a job too late; the "
				       "store decides",
				       "pool job" },
	[BW_EVENT_POOL_JOB_UNREADABLE] = { "pool", "job-unreadable",
					   BW_EVENT_REQUEST,
					   "a record is not ours or is newer",
					   "pool job error" },
	[BW_EVENT_SCHED_JOB] = { "sched", "job", BW_EVENT_REQUEST,
				 "a job is known to its owner",
				 "pool job queue tasks repeats lasting "
				 "age_ms" },
	[BW_EVENT_SCHED_START] = { "sched", "start", BW_EVENT_REQUEST,
				   "an order to start a run; the age of what "
				   "is known of the worker",
				   "pool job step index run worker wait_ms "
				   "heard_ms" },
	[BW_EVENT_SCHED_STARTED] = { "sched", "started", BW_EVENT_REQUEST,
				     "its answer",
				     "pool job step index run worker result" },
	[BW_EVENT_SCHED_END] = { "sched", "end", BW_EVENT_REQUEST,
				 "a worker lists an end",
				 "pool job step index run worker how number "
				 "known" },
	[BW_EVENT_SCHED_ADOPT] = { "sched", "adopt", BW_EVENT_REQUEST,
				   "a run of an earlier owner is taken over",
				   "pool job step index run worker" },
	[BW_EVENT_SCHED_OCCURRENCE_DONE] = { "sched", "occurrence-done",
					     BW_EVENT_REQUEST,
					     "all tasks ended",
					     "pool job occurrence took_ms "
					     "objective_ms" },
	[BW_EVENT_SCHED_JOB_FINISHED] = { "sched", "job-finished",
					  BW_EVENT_REQUEST,
					  "a job has its last state",
					  "pool job queue state age_ms" },
	[BW_EVENT_SCHED_JOB_FORGOTTEN] = { "sched", "job-forgotten",
					   BW_EVENT_REQUEST,
					   "a removed job is forgotten",
					   "pool job" },
	[BW_EVENT_SCHED_RUN_GONE] = { "sched", "run-gone", BW_EVENT_REQUEST,
				      "a run is known to be over",
				      "pool job step index run worker reason" },
	[BW_EVENT_SCHED_RUN_MISSING] = { "sched", "run-missing",
					 BW_EVENT_REQUEST,
					 "a run is not listed by its worker",
					 "pool job step index run worker" },
	[BW_EVENT_SCHED_STOP_UNKNOWN] = { "sched", "stop-unknown",
					  BW_EVENT_REQUEST,
					  "a run that should not be there is "
					  "stopped",
					  "pool job step index run worker" },
	[BW_EVENT_SCHED_EVACUATE] = { "sched", "evacuate", BW_EVENT_REQUEST,
				      "a lasting task is moved",
				      "pool job step index run worker" },
	[BW_EVENT_SCHED_FILL_SHARE] = { "sched", "fill-share", BW_EVENT_BELIEF,
					"fillers work less or more",
					"pool worker share tail" },
	[BW_EVENT_SCHED_ORDERS] = { "sched", "orders", BW_EVENT_BELIEF,
				    "orders are allowed or not",
				    "pool allowed" },
	[BW_EVENT_SCHED_SETTLED] = { "sched", "settled", BW_EVENT_BELIEF,
				     "all earlier runs are known",
				     "pool after_ms" },
	[BW_EVENT_SCHED_WORKER] = { "sched", "worker", BW_EVENT_BELIEF,
				    "a worker registered",
				    "pool worker address rack machine cpu "
				    "mem_mb" },
	[BW_EVENT_SCHED_WORKER_DRAINING] = { "sched", "worker-draining",
					     BW_EVENT_BELIEF,
					     "a worker is to leave",
					     "pool worker tasks" },
	[BW_EVENT_SCHED_WORKER_GONE] = { "sched", "worker-gone",
					 BW_EVENT_BELIEF,
					 "a worker is no longer registered",
					 "pool worker tasks silent_ms" },
	[BW_EVENT_SCHED_WORKER_DEAD] = { "sched", "worker-dead",
					 BW_EVENT_BELIEF,
					 "a worker ended, with all that ran "
					 "there",
					 "pool worker tasks reason" },
	[BW_EVENT_SCHED_WORKER_REBORN] = { "sched", "worker-reborn",
					   BW_EVENT_BELIEF,
					   "a worker started anew",
					   "pool worker born_ms" },
	[BW_EVENT_CONTROLLER_POOL] = { "controller", "pool", BW_EVENT_BELIEF,
				       "twice a second: what moves depend on",
				       "pool known used offered waiting "
				       "lasting have needed wanted" },
	[BW_EVENT_CONTROLLER_MOVED] = { "controller", "moved", BW_EVENT_BELIEF,
					"the answer to a move",
					"machine from to result" },
	[BW_EVENT_UPKEEP_WAVE] = { "upkeep", "wave", BW_EVENT_SELDOM,
				   "a wave is known",
				   "wave machines at_once duration_ms" },
	[BW_EVENT_UPKEEP_RESERVE] = { "upkeep", "reserve", BW_EVENT_BELIEF,
				      "a worker is kept free for its upkeep",
				      "wave machine worker tasks reserved" },
	[BW_EVENT_UPKEEP_ORDERED] = { "upkeep", "ordered", BW_EVENT_BELIEF,
				      "the answer to an order of upkeep",
				      "wave machine result" },
	[BW_EVENT_UPKEEP_DONE] = { "upkeep", "done", BW_EVENT_BELIEF,
				   "a machine is back", "wave machine worker" },
	[BW_EVENT_UPKEEP_COMPLETED] = { "upkeep", "completed", BW_EVENT_SELDOM,
					"a wave is over", "wave" },
	[BW_EVENT_SERVICE_REQUEST] = { "service", "request", BW_EVENT_REQUEST,
				       "an answer to a caller",
				       "kind job queue pool answer state "
				       "reason attempts took_ms" },
	[BW_EVENT_SERVICE_REQUEST_REFUSED] = { "service", "request-refused",
					       BW_EVENT_REQUEST,
					       "a refusal before anything was "
					       "sent",
					       "answer reason" },
	[BW_EVENT_DIRECTORY_ENTRY_UNREADABLE] = { "directory",
						  "entry-unreadable",
						  BW_EVENT_BELIEF,
						  "a registration of another "
						  "writer",
						  "key" },
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

static const char *const loss_names[BW_EVENT_LOSS_COUNT] = {
	[BW_EVENT_LOSS_RATE] = "rate",
	[BW_EVENT_LOSS_BYTES] = "bytes",
	[BW_EVENT_LOSS_READER] = "reader",
};

const bw_event_spec_t *bw_event_spec(bw_event_kind_t kind)
{
	return &specs[kind];
}

uint32_t bw_event_class_lines(bw_event_class_t which)
{
	return class_lines[which];
}

const char *bw_event_loss_name(bw_event_loss_t loss)
{
	return loss_names[loss];
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
