/**
 * @file
 * Stand-ins for the review's scripts: the platform's store, minions, a
 * requester, and the platform's part of starting and ending nodes. They follow
 * PROTOCOL.md and DEPLOY.md; where these are silent they do what is easiest for
 * the system. All sockets are on 127.0.0.1, with ports that the kernel picks.
 */
#pragma once

#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <jansson.h>

namespace standin {

/** Milliseconds of the steady clock since the case began. */
int64_t now_ms();
int64_t wall_ms();
void sleep_ms(int64_t ms);

/** Appends a line with the time to record.txt. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** Whether the disruption is to be made (TROUBLE is not 0). */
bool trouble();

/** Ends the case: stops all processes, writes the verdict and exits. */
[[noreturn]] void finish(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

struct request_t {
	std::string method;
	std::string path; /**< Without the query. */
	std::map<std::string, std::string> query;
	std::map<std::string, std::string> headers; /**< Lower-case names. */
	std::string body;
};

struct answer_t {
	int status = 200;
	std::string body = "{}";
	bool silent = false; /**< No answer; the connection stays silent. */
};

/** A server with a thread for each connection. */
class server_t {
public:
	using handler_t = std::function<answer_t(const request_t &)>;

	explicit server_t(handler_t handler, int port = 0);
	~server_t();
	int port() const { return port_; }
	/** Closes the listening socket and resets all connections. */
	void stop();

private:
	struct state_t;
	std::shared_ptr<state_t> state_;
	int port_;
};

/** What happens to a call to the store. */
struct call_fault_t {
	bool lose_answer = false; /**< It gets no answer. */
	int64_t late_ms = 0; /**< With that: it is carried out so much later. */
	int status = 0; /**< It is refused with this status. */
};

/** The platform's store. */
class store_t {
public:
	/** Decides on a call of a node; keys are those that a txn writes. */
	using fault_fn = std::function<call_fault_t(const std::string &node,
						    const request_t &,
						    const std::string &body)>;

	store_t();
	/** Returns the port that a node has to use. */
	int open_port(const std::string &node);
	void set_fault(fault_fn fn);
	/** Returns the node that wrote last a key with a lease under a condition,
	 *  which is how an owner claims. */
	std::string leader();
	/** Refuses a node for a time; what waits for it is never answered. */
	void refuse(const std::string &node, int64_t for_ms);
	/** Takes away the keys of a node's leases; no request shows it. */
	void revoke(const std::string &node);
	/** The connections on which a node's watches wait go silent. */
	void silence_watches(const std::string &node);
	/** Writes of operators and minions. */
	int64_t put(const std::string &key, const std::string &value);
	void remove(const std::string &key);
	std::string get(const std::string &key);

private:
	struct item_t {
		std::string value; /**< In base64, as it came. */
		int64_t revision, created, lease;
	};
	struct event_t {
		int64_t revision;
		std::string key;
		std::string value;
		int64_t created, lease;
		bool deleted;
	};
	struct lease_t {
		int64_t ttl_ms, end_ms;
		std::string node;
	};

	answer_t serve(const std::string &node, const request_t &r);
	answer_t carry_out(const std::string &node, const request_t &r);
	answer_t txn(const std::string &node, const request_t &r);
	bool is_refused(const std::string &node);
	answer_t range(const request_t &r);
	answer_t watch(const request_t &r);
	answer_t lease(const std::string &node, const request_t &r);
	void write(const std::string &key, const std::string &value,
		   int64_t lease);
	void erase(const std::string &key);
	void expire_leases();

	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::string, item_t> items_;
	std::vector<event_t> events_;
	std::map<int64_t, lease_t> leases_;
	int64_t revision_ = 100;
	int64_t last_lease_ = 0;
	fault_fn fault_;
	std::string leader_;
	std::map<std::string, int64_t> refused_until_ms_;
	std::map<std::string, int64_t> silenced_ms_;
	std::vector<std::unique_ptr<server_t>> servers_;
};

/** A run that a minion has begun. */
struct start_t {
	int64_t at_ms;
	std::string minion, task;
	int run;
	std::string checkpoint;
};

/** An end of a run; "gone" with its minion. */
struct end_t {
	int64_t at_ms;
	std::string minion, task;
	int run;
	std::string how;
};

/**
 * Minions. The spec of a submission says what its work items do: "MS,MS,..."
 * is the time of the work items of each step, 0 to last; a letter g after it
 * means a gang of as many members as the number after the letter.
 */
class minions_t {
public:
	struct config_t {
		std::string service;
		int count;
		int64_t cpu = 32000, mem_mb = 65536;
		int64_t stop_ms = 50; /**< Time to stop a run. */
		int64_t gang_timeout_ms = 3000;
		int64_t checkpoint_ms = 1000;
		int64_t startup_ms = 500; /**< Of a work item that lasts. */
		int64_t max_hold_ms = 10000;
		int64_t heartbeat_ms = 1500;
	};

	minions_t(store_t &store, const config_t &config);
	~minions_t();

	/** Ends a minion without notice; its entry in the store stays for three
	 *  heartbeats. A new one, with a new id, is on its machine afterwards.
	 *  @param back_ms time until then; -1: never */
	void crash(const std::string &minion, int64_t back_ms);
	/** A minion leaves the calls of later owners than now without an answer
	 *  for a time, and carries them out later. */
	void leave_unanswered(const std::string &minion, int64_t for_ms,
			      int64_t late_ms);
	/** Returns when a minion got its last hold; 0: never. */
	int64_t held_ms(const std::string &minion);
	/** Returns the minion on which a run of a task is at work, or "". */
	std::string where(const std::string &task);
	/** Returns the machine of a minion. */
	std::string machine(const std::string &minion);
	std::vector<start_t> starts();
	std::vector<end_t> ends();

private:
	struct run_t {
		std::string spec, checkpoint, saved;
		int run = 0;
		int64_t begun_ms = 0; /**< When its work began; 0: it waits. */
		int64_t present_ms = 0;
		int64_t work_ms = 0; /**< 0: lasts. */
		int gang = 0;
		int64_t stopping_ms = 0; /**< When its stop takes effect. */
		int saves = 0;
	};
	struct ended_t {
		int64_t number;
		std::string task;
		int run;
		std::string how, saved;
	};
	struct minion_t {
		std::string id, machine;
		int machine_no = 0;
		int64_t born_ms = 0, boot_ms = 0, clock0 = 0;
		bool dead = false;
		int64_t removed_ms = 0, next_beat_ms = 0;
		int64_t unanswered_above = 0, unanswered_until_ms = 0;
		int64_t unanswered_late_ms = 0, held_ms = 0;
		int64_t fence = 0, deadline = 0, seq = 0, last_end = 0;
		std::map<std::string, run_t> runs;
		std::map<std::string, int> highest; /**< Run that ended. */
		std::vector<ended_t> ended;
		std::unique_ptr<server_t> server;
	};

	answer_t serve(minion_t *m, const request_t &r);
	answer_t carry_out(minion_t *m, const request_t &r);
	answer_t start(minion_t *m, json_t *body);
	answer_t stop(minion_t *m, json_t *body);
	answer_t hold(minion_t *m, json_t *body, std::unique_lock<std::mutex> &);
	void boot(int machine_no);
	void beat(minion_t *m);
	void end_run(minion_t *m, const std::string &task, const char *how);
	void tick();
	void tick_gangs();
	int64_t clock(const minion_t *m) const;
	void extend(minion_t *m, json_t *body);

	store_t &store_;
	config_t config_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::vector<std::unique_ptr<minion_t>> minions_;
	std::map<int64_t, int> boots_; /**< Due boots, by time, of machines. */
	std::vector<start_t> starts_;
	std::vector<end_t> ends_;
	int next_id_ = 0;
	bool closed_ = false;
	std::thread ticker_;
};

/** A node: a process of the system, started as the deploy file says. */
class node_t {
public:
	node_t(store_t &store, const std::string &name, bool first_start);
	~node_t();
	void start();
	/** Sends a signal; the platform starts it again if it ends. */
	void send(int signal);
	/** Ends it for good. */
	void end();
	int front_port() const { return front_; }
	pid_t pid() const { return pid_; }
	const std::string &name() const { return name_; }
	bool running();

private:
	std::string name_, settings_;
	int front_, ready_, peers_, metrics_, store_port_;
	bool first_;
	pid_t pid_ = -1;
};

/** What a requester sees. */
struct reply_t {
	int status = 0; /**< 0: no answer. */
	std::string body;
};

/** Sends a request to a node and waits for the answer. */
reply_t call(const node_t &node, const char *method, const std::string &host,
	     const std::string &path, const std::string &body = "",
	     int64_t wait_ms = 3000);
/** Returns "state" of an answer, or "" . */
std::string state_of(const reply_t &reply);
/** Waits until a node's balancer probe is answered with 200; false if not. */
bool wait_ready(const node_t &node, int64_t ms);

/** Returns a route of the configuration as JSON. */
std::string route(const char *name, const char *host, const char *prefix,
		  const char *service, int max_attempts);
/** Writes a version of the configuration; returns when the store has it. */
void configure(store_t &store, int version,
	       const std::vector<std::string> &routes,
	       const std::vector<std::string> &services);

} // namespace standin
