/**
 * @file
 * A node: a bramley-fleetd process that is started, stopped, paused, killed and
 * restarted by signals only.
 */
#ifndef SOAK_PROCESS_H
#define SOAK_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "contact.h"
#include "judge.h"
#include "record.h"

struct ev_loop;

typedef struct soak_process soak_process_t;

/** Texts are copied; all else must outlive the process. */
typedef struct soak_process_config {
	struct ev_loop *loop; /**< The default loop. */
	const char *program;
	const char *dir; /**< For its settings and its log. */
	uint32_t node;
	const char *store; /**< ip:port */
	soak_judge_t *judge;
	soak_contact_t *contact;
	soak_record_t *record;
} soak_process_config_t;

/** Reserves its ports; ends the program if it can't. */
soak_process_t *soak_process_create(const soak_process_config_t *config);

/** Returns the ip:port for callers, and that of the readiness probe. */
const char *soak_process_callers(const soak_process_t *p);
const char *soak_process_ready(const soak_process_t *p);

/** Returns the ip:port of its metrics. */
const char *soak_process_metrics(const soak_process_t *p);

/** Returns its process, 0 if it does not run. */
pid_t soak_process_pid(const soak_process_t *p);

/** Returns the path of its log. */
const char *soak_process_log(const soak_process_t *p);

/** Starts the process. @param first the whole site starts for the first time */
void soak_process_start(soak_process_t *p, bool first);

/** Sends SIGTERM, SIGKILL after the grace period; starts it again. */
void soak_process_terminate(soak_process_t *p, int64_t restart_ms);

/** Sends SIGKILL, and starts it again. */
void soak_process_kill(soak_process_t *p, int64_t restart_ms);

/** Stops it with SIGSTOP for a time. */
void soak_process_pause(soak_process_t *p, int64_t for_ms);

/** Ends it for good. */
void soak_process_end(soak_process_t *p);

#endif
