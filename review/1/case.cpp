/*
 * The store is down twice, for some seconds each, and leases expire meanwhile,
 * so that the pool gets another owner each time. A gang of a submission starts
 * and ends done while the store is down for the first time. The step after the
 * gang has to start.
 */
#include "../standin/standin.hpp"

#include <atomic>

using namespace standin;

static const char *const HOST = "desk.example";
static const char *const ID = "5c0e7a21d94b36f8";
static const char *const JOB = "/desk/5c0e7a21d94b36f8";

static const int64_t DOWN_MS = 4200;
/** The submission's third step: holds the last one until it has ended. */
static const int64_t LONG_MS = 20000;

static const std::string LAST = std::string(ID) + ".0.3.0";

static bool has_ended(minions_t &minions, const std::string &task)
{
	for (auto &e : minions.ends())
		if (e.task == task && e.how == "done")
			return true;
	return false;
}

static bool has_started(minions_t &minions, const std::string &task)
{
	for (auto &s : minions.starts())
		if (s.task == task)
			return true;
	return false;
}

int main()
{
	store_t store;
	minions_t minions(store, { .service = "desk", .count = 9 });
	node_t a(store, "front-a-1", true);
	node_t b(store, "front-a-2", true);
	node_t c(store, "front-a-3", true);
	node_t *nodes[] = { &a, &b, &c };
	std::atomic<int64_t> down_until_ms{ 0 };
	int64_t accepted_ms;
	int64_t turn_ms = 0;
	std::string state;
	reply_t reply;

	configure(store, 7, { route("r-desk", HOST, "/desk/", "desk", 3) },
		  { "desk" });
	store.set_fault([&](const std::string &, const request_t &,
			    const std::string &) {
		call_fault_t fault;

		if (now_ms() < down_until_ms)
			fault.status = 503;
		return fault;
	});
	for (node_t *n : nodes)
		n->start();
	for (node_t *n : nodes)
		if (!wait_ready(*n, 8000))
			finish(2, "the nodes have no configuration");
	sleep_ms(4000);
	reply = call(a, "POST", HOST, JOB,
		     "{\"spec\":\"2000,800g3,20000,1000\",\"steps\":["
		     "{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,"
		     "\"est_duration_ms\":2000},"
		     "{\"count\":3,\"cpu\":2000,\"mem_mb\":1024,"
		     "\"est_duration_ms\":800,\"after\":[0],\"gang\":true},"
		     "{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,"
		     "\"est_duration_ms\":20000,\"after\":[0]},"
		     "{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,"
		     "\"est_duration_ms\":1000,\"after\":[1,2]}]}");
	if (reply.status != 200)
		finish(2, "the submission was not accepted");
	accepted_ms = now_ms();
	sleep_ms(1200);
	if (trouble()) {
		record("trouble: the store is down for %d ms, and leases "
		       "expire",
		       (int)DOWN_MS);
		down_until_ms = now_ms() + DOWN_MS;
	}
	sleep_ms(11000);
	if (!has_ended(minions, std::string(ID) + ".0.1.0"))
		finish(2, "the gang has not ended");
	if (trouble()) {
		record("trouble: the store is down for %d ms again, and leases "
		       "expire",
		       (int)DOWN_MS);
		down_until_ms = now_ms() + DOWN_MS;
	}
	while (now_ms() - accepted_ms < 70000) {
		sleep_ms(1000);
		state = state_of(call(b, "GET", HOST, JOB));
		if (state == "completed")
			break;
		if (turn_ms == 0 &&
		    has_ended(minions, std::string(ID) + ".0.2.0")) {
			turn_ms = now_ms();
			record("the turn of %s has come: all work items of the "
			       "steps before it have ended done",
			       LAST.c_str());
		}
		if (turn_ms > 0 && now_ms() - turn_ms > 20000)
			break;
	}
	if (state == "completed")
		finish(0, "the submission is completed");
	if (turn_ms == 0)
		finish(2, "the third step has not ended");
	finish(1,
	       "LOST: %s is %s %.1f s after its turn has come, with nearly "
	       "all capacity free; the submission is shown as %s",
	       LAST.c_str(),
	       has_started(minions, LAST) ? "not completed" : "not started",
	       (now_ms() - turn_ms) / 1000.0, state.c_str());
}
