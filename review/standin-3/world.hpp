/**
 * @file
 * Stand-ins for the scripts of the third review: the platform's store, its
 * machine API, minions, a requester, and the platform's part of starting and
 * ending nodes. They follow PROTOCOL.md and DEPLOY.md. All sockets are on
 * loopback addresses.
 */
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
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

namespace world {

int64_t now_ms(); /**< Steady clock, since the program began. */
int64_t wall_ms();
void sleep_ms(int64_t ms);
/** Appends a line with the time to record.txt. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** False with TROUBLE=0. */
bool trouble();
/** Ends all processes, writes the verdict, exits: 1 broken, 0 held, 2 not run. */
[[noreturn]] void finish(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

struct request_t {
	std::string method, path, body;
	std::map<std::string, std::string> query, headers;
};

struct answer_t {
	int status = 200;
	std::string body = "{}";
	bool silent = false; /**< No answer is sent. */
};

/** A server with a thread for each connection. */
class server_t {
public:
	using handler_t = std::function<answer_t(const request_t &)>;
	server_t(const std::string &ip, handler_t handler);
	std::string address() const { return ip_ + ":" + std::to_string(port_); }
	/** Resets all connections; new ones are reset until it is up again. */
	void set_up(bool up);

private:
	void serve(int fd);
	std::string ip_;
	int port_ = 0;
	int listener_ = -1;
	handler_t handler_;
	std::mutex mutex_;
	std::set<int> fds_;
	bool up_ = true;
};

/** The platform's store. */
class store_t {
public:
	store_t();
	std::string address() const { return server_->address(); }
	/** Writes or removes a key as the operator or a minion does. */
	int64_t put(const std::string &key, const std::string &value);
	void remove(const std::string &key);
	/** Returns the value of a key, "" if there is none. */
	std::string get(const std::string &key);
	/** Returns the keys that begin so. */
	std::vector<std::string> keys(const std::string &prefix);
	/** Bytes of the largest value that the system has sent. */
	size_t largest();

private:
	struct item_t {
		std::string value; /**< In base64. */
		int64_t revision, created, lease;
	};
	struct event_t {
		int64_t revision;
		std::string key;
		bool removed;
		item_t item;
	};
	struct lease_t {
		int64_t ttl_ms, end_ms;
	};
	answer_t handle(const request_t &r);
	answer_t range(const request_t &r);
	answer_t watch(const request_t &r);
	answer_t txn(json_t *body);
	void write(const std::string &key, const std::string &value,
		   int64_t lease, int64_t revision);
	void erase(const std::string &key, int64_t revision);
	json_t *item_json(const std::string &key, const item_t &item);
	void expire();
	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::string, item_t> items_;
	std::vector<event_t> events_;
	std::map<int64_t, lease_t> leases_;
	int64_t revision_ = 1, last_lease_ = 0;
	size_t largest_ = 0;
	std::unique_ptr<server_t> server_;
};

/** A start that a minion has begun. */
struct start_t {
	int64_t at_ms;
	std::string task, minion;
	uint32_t run;
};

/** The end of a run; how: as on the wire, or "crashed" with its minion. */
struct end_t {
	int64_t at_ms;
	std::string task, minion, how;
	uint32_t run;
};

class machines_t;
class minion_t;

/** The address of a minion, with the network before it. */
class gate_t {
public:
	gate_t();
	std::string address() const { return server_->address(); }
	/** The minion that is there; NULL: none, connections are reset. */
	void set(minion_t *minion);
	/** The next starts get no answer, and are delivered so much later to
	 *  the minion that is there then. */
	void hold_starts(int count, int64_t late_ms);

private:
	answer_t handle(const request_t &r);
	std::mutex mutex_;
	minion_t *minion_ = nullptr;
	int held_ = 0;
	int64_t late_ms_ = 0;
	std::unique_ptr<server_t> server_;
};

/** One life of a machine. */
class minion_t {
public:
	minion_t(store_t &store, machines_t &machines, std::string id,
		 std::string machine, std::string pool, int64_t cpu,
		 std::shared_ptr<gate_t> gate);
	/** It ends at once, with all its runs, and sends nothing any more. */
	void crash();
	/** Its entry is removed from the store. */
	void forget();
	std::string id() const { return id_; }
	std::string pool() const { return pool_; }
	bool up() const { return up_; }
	bool runs(const std::string &task);
	size_t run_count();
	std::shared_ptr<gate_t> gate() { return gate_; }

private:
	friend class machines_t;
	friend class gate_t;
	struct run_t {
		std::string task;
		uint32_t run;
		int64_t begun_ms, end_ms;
	};
	answer_t handle(const request_t &r);
	answer_t start(json_t *body);
	answer_t stop(json_t *body);
	answer_t hold(json_t *body);
	answer_t answer(int status, const char *reason);
	bool fenced(json_t *body);
	void end_run(size_t index, const char *how);
	void renew(json_t *body);
	void tick();
	void ping();
	int64_t clock_ms() const { return now_ms() - born_steady_ms_ + 1; }
	store_t &store_;
	machines_t &machines_;
	std::string id_, machine_, pool_;
	int64_t cpu_, born_ms_, born_steady_ms_;
	int64_t lease_end_ms_ = 0; /**< On its clock. */
	int64_t fence_ = 0, seq_ = 0, last_number_ = 0, next_ping_ms_ = 0;
	std::atomic<bool> up_{true};
	std::mutex mutex_;
	std::condition_variable ended_;
	std::vector<run_t> runs_;
	struct listed_end_t {
		int64_t number;
		std::string task;
		uint32_t run;
		std::string how;
	};
	std::vector<listed_end_t> ends_;
	std::map<std::string, uint32_t> over_; /**< Highest run that is over. */
	std::shared_ptr<gate_t> gate_;
};

/** The machines with their minions, and the platform's API of them. */
class machines_t {
public:
	explicit machines_t(store_t &store);
	std::string address() const { return server_->address(); }
	/** Adds a machine with its first minion. */
	std::string add(const std::string &pool, int64_t cpu);
	/** The minion of a machine crashes; a new one comes on it later, or the
	 *  same one again, under its id and address. */
	void crash(const std::string &machine, int64_t back_ms,
		   bool same_id = false);
	/** Returns the minion that runs a task now, or NULL. */
	std::shared_ptr<minion_t> runner(const std::string &task);
	std::shared_ptr<minion_t> minion(const std::string &machine);
	std::string machine_of(const std::string &minion);
	/** The API answers 503 to all calls. */
	std::atomic<bool> unavailable{false};
	/** Starts and ends are not written to record.txt. */
	std::atomic<bool> brief{false};
	std::vector<start_t> starts();
	std::vector<end_t> ends();
	/** Returns how many upkeeps of a machine have begun. */
	int upkeeps(const std::string &machine);
	/** Returns how many of the API's lists were answered. */
	int lists() const { return lists_; }

private:
	friend class minion_t;
	struct machine_t {
		std::string pool, state;
		int64_t cpu, back_ms = 0;
		int upkeeps = 0;
		std::shared_ptr<minion_t> minion;
		std::string same_id; /**< Of the next minion; "": a new one. */
		std::shared_ptr<gate_t> gate; /**< Of that one. */
	};
	answer_t handle(const request_t &r);
	void boot(const std::string &name, machine_t &m);
	void tick();
	void note_start(const start_t &start);
	void note_end(const end_t &end);
	store_t &store_;
	std::mutex mutex_, log_mutex_;
	std::map<std::string, machine_t> machines_;
	std::map<std::string, std::pair<int64_t, std::string>> fences_;
	std::vector<std::pair<int64_t, std::shared_ptr<minion_t>>> silent_;
	std::vector<start_t> starts_;
	std::vector<end_t> ends_;
	int next_ = 0;
	std::atomic<int> lists_{0};
	std::unique_ptr<server_t> server_;
};

/** A node of the system: a process of the deploy file's role. */
class node_t {
public:
	/** @param number 1 to 9 */
	node_t(int number, const store_t &store, const machines_t &machines);
	void start(bool first);
	void signal(int number);
	/** Waits for its end. */
	void join();
	std::string name() const { return name_; }
	/** Sends a requester's call; returns its status, -1 without an answer. */
	int call(const char *method, const std::string &path,
		 const std::string &body, std::string *answer = nullptr) const;
	bool ready() const;
	pid_t pid() const { return pid_; }

private:
	std::string name_, ip_, settings_, log_;
	int front_, ready_;
	pid_t pid_ = 0;
	std::string store_, machines_;
	int peers_, metrics_;
};

/** Calls an HTTP server. */
int http_call(const std::string &ip, int port, const char *method,
	      const std::string &path, const std::string &body,
	      std::string *answer, int64_t timeout_ms);

/** Host of all routes. */
extern const char *const host;

} // namespace world
