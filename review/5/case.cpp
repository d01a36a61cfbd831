/*
 * The store loses the answers to the writes of one submission and carries them
 * out some seconds later. The requester gets no success, cancels the
 * submission, and is told that there is none.
 */
#include "../standin/standin.hpp"

using namespace standin;

static const char *const HOST = "desk.example";
static const char *const ID = "5c0e7a21d94b36f8";
static const char *const JOB = "/desk/5c0e7a21d94b36f8";

/** How long answers are lost, and when such a call is carried out. */
static const int64_t LOST_FOR_MS = 2500;
static const int64_t LATE_MS = 6000;
static const int64_t CANCEL_MS = 3000;
static const int64_t CONTACT_MS = 3000;

int main()
{
	store_t store;
	minions_t minions(store, { .service = "desk", .count = 9 });
	node_t a(store, "front-a-1", true);
	node_t b(store, "front-a-2", true);
	node_t c(store, "front-a-3", true);
	std::string steps;
	int64_t began_ms;
	int64_t cancelled_ms;
	reply_t reply;
	int late_starts = 0;
	int others = 0;
	int i;

	configure(store, 7, { route("r-desk", HOST, "/desk/", "desk", 3) },
		  { "desk" });
	a.start();
	b.start();
	c.start();
	if (!wait_ready(a, 8000) || !wait_ready(b, 8000) ||
	    !wait_ready(c, 8000))
		finish(2, "the nodes have no configuration");
	sleep_ms(3000);
	began_ms = now_ms();
	if (trouble())
		store.set_fault([&](const std::string &, const request_t &r,
				    const std::string &body) {
			call_fault_t fault;

			if (r.path == "/v1/kv-txn" &&
			    now_ms() - began_ms < LOST_FOR_MS &&
			    body.find(ID) != std::string::npos) {
				record("trouble: the store loses the answer "
				       "to a write");
				fault.lose_answer = true;
				fault.late_ms = LATE_MS;
			}
			return fault;
		});
	steps = "{\"spec\":\"2000,2000,2000\",\"steps\":["
		"{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,"
		"\"est_duration_ms\":2000},"
		"{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,"
		"\"est_duration_ms\":2000,\"after\":[0]},"
		"{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,"
		"\"est_duration_ms\":2000,\"after\":[1]}]}";
	/* Other requesters' submissions meanwhile, for the share of lost
	 * answers. */
	std::thread traffic([&] {
		for (i = 0; i < 30; i++) {
			char path[64];

			snprintf(path, sizeof(path), "/desk/00000000000000%02x",
				 i);
			others += call(i % 2 ? b : c, "POST", HOST, path,
				       "{\"spec\":\"300\",\"steps\":[{"
				       "\"count\":1,\"cpu\":1000,"
				       "\"mem_mb\":100,"
				       "\"est_duration_ms\":300}]}")
					  .status == 200;
			sleep_ms(90);
		}
	});
	reply = call(a, "POST", HOST, JOB, steps);
	if (trouble() && reply.status / 100 == 2)
		finish(2, "the submission was accepted");
	reply = call(b, "DELETE", HOST, JOB);
	cancelled_ms = now_ms();
	traffic.join();
	if (reply.status / 100 != 2 && reply.status != 410)
		finish(2, "the cancelling was not acknowledged: %d",
		       reply.status);
	record("the cancelling was acknowledged with %d; %d other submissions "
	       "were accepted",
	       reply.status, others);
	while (now_ms() - cancelled_ms < 20000) {
		sleep_ms(2000);
		call(c, "GET", HOST, JOB);
	}
	for (auto &s : minions.starts()) {
		if (s.task.compare(0, 16, ID) != 0)
			continue;
		record("start of %s %.3f s after the ack, %.3f s after the "
		       "store was sound",
		       s.task.c_str(), (s.at_ms - cancelled_ms) / 1000.0,
		       (s.at_ms - began_ms - LOST_FOR_MS) / 1000.0);
		late_starts += s.at_ms - cancelled_ms > CANCEL_MS &&
			       s.at_ms - began_ms - LOST_FOR_MS > CONTACT_MS;
	}
	if (late_starts > 0)
		finish(1,
		       "UNASKED: %d starts later than cancel_ms after the "
		       "cancelling was acknowledged with %d",
		       late_starts, reply.status);
	finish(0, "nothing starts after the cancelling");
}
