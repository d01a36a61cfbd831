/**
 * @file
 * Deterministic simulation of one pool: its schedulers on several nodes, a fake
 * store and fake workers, in virtual time, with jobs and faults drawn from a
 * seed. The rules of the scheduler are checked at each event.
 */
#ifndef BW_TEST_WORLD_H
#define BW_TEST_WORLD_H

#include <stdbool.h>
#include <stdint.h>

/** Load and faults of a simulation. */
typedef struct world_config {
	uint32_t seed;
	uint32_t jobs;
	int64_t traffic_ms; /**< Time in which jobs and faults arrive. */
	int64_t recovery_ms; /**< Time after that in which all jobs must end. */
	double lost_share; /**< Share of calls that get no answer. */
	double delayed_share; /**< Share of those that are executed later. */
	uint32_t faults; /**< Number of faults of nodes, workers and store. */
	int64_t retention_ms; /**< Finished jobs stay stored for this long. */
	double same_id_share; /**< Share of crashed workers that restart under
				 the same id. */
	/** Workers that do so come back after this time at the least, when
	 * their registration is over, and carry out no call to an earlier boot
	 * before their first contact. 0: within 3 s. */
	int64_t same_id_away_ms;
	uint32_t cuts; /**< Of a machine from all nodes, for 3 to 9 s. */
	uint32_t ends_page; /**< Ends in an answer at most; 0: all. */
	/** Share of notices of jobs that go to an earlier owner, if one has not
	 *  learned of its successor; the owner reads the job later. */
	double stale_notice_share;
	double late_answer_share; /**< Share of answers that take up to 2 s. */
	double connect_wait_share; /**< Share of calls without a connection that
				      wait for one until a worker is up. */
	double idle_close_share; /**< Share of answers to heartbeats after which
				    the worker closes the connection. */
	bool closing; /**< Workers keep no connections, and long polls take
			 their whole time. */
	/** Share of calls to workers that get no answer in their whole time and
	 *  are carried out 2 to 12 s later. */
	double late_call_share;
	double crashing_share; /**< Share of jobs with a task that crashes each
				  worker that starts it. */
	/** Owners are told of crashed workers that no machine runs any more. */
	bool tells_ends;
	uint32_t worker_crashes; /**< Other crashes, of few machines. */
	uint32_t resizes; /**< Number of workers that shrink for a time. */
	double gang_share; /**< Share of steps that are gangs. */
	/** Share of steps whose data is in one rack, or whose gang wants one;
	 *  elsewhere they take longer. 0: there is one rack. */
	double near_share;
	uint32_t chains; /**< Of owners that lose their claims in quick
			    succession; 0: nodes do not follow the claims. */
	double long_share; /**< Share of jobs whose first step takes 6 to 12 s.
			    */
	int64_t confirm_ms; /**< Of the schedulers. */
	uint32_t tenants; /**< With caps; 0: jobs are nobody's. */
	bool check_stored; /**< Compares each saved state with what a successor
			      reads of it. */
} world_config_t;

/** Result of a simulation. */
typedef struct world_result {
	uint64_t events;
	uint32_t violations;
	uint32_t completed; /**< Jobs. */
	uint32_t starts; /**< Runs that were started on a worker. */
	uint32_t at_cap; /**< Of these, those after which a tenant had no room
			    for another one like it. */
	uint32_t crashing_failed; /**< Jobs that crash workers and failed. */
	uint32_t sound_failed; /**< Others that failed with attempts left. */
	char first_violation[256]; /**< Its time and text. */
} world_result_t;

/** Draws the load and the faults from a seed. */
void world_draw_config(uint32_t seed, world_config_t *out);

/** Switches off restarts under an identifier, and what was drawn with them. */
void world_clear_restarts(world_config_t *config);

/** Switches off tasks that crash their workers, and crashes drawn with them. */
void world_clear_crashes(world_config_t *config);

/** Leaves half of all orders without an answer, most of them to be carried out
 *  later. */
void world_delay_orders(world_config_t *config);
/** Lets workers keep no connections, and restart under their identifiers,
 * without other faults. With even seeds the next boot may carry out a
 * heartbeat. */
void world_close_connections(uint32_t seed, world_config_t *config);
/** Lets workers restart under their identifiers after they were forgotten,
 * while calls to them are carried out late, without other faults. */
void world_restart_away(uint32_t seed, world_config_t *config);
/** Lets tasks crash their workers, whose machines start others while owners are
 *  told that no machine runs them, without other faults. */
void world_tell_ends(world_config_t *config);
/** Makes half of the steps gangs, and checks what is stored of all jobs. */
void world_add_gangs(world_config_t *config);

/** Puts the workers into racks, and the data of most steps into one of them. */
void world_add_racks(world_config_t *config);

/** Lets several owners follow each other within two seconds, without other
 * faults but lost calls. With odd seeds earlier owners get notices of jobs. */
void world_change_owners(uint32_t seed, world_config_t *config);

/** Gives most jobs to tenants with caps that bind. */
void world_add_tenants(world_config_t *config);

/** Returns the share of calls that are carried out late, for a seed. */
double world_late_share(uint32_t seed);

/** Runs a simulation to its end. */
void world_play(const world_config_t *config, world_result_t *out);

#endif
