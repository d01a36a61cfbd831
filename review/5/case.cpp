/*
 * The operator removes a route and adds it again for another service, while a
 * submission of it is at work. The requester's submission arrives a second
 * time.
 */
#include "../standin/standin.hpp"

using namespace standin;

static const char *const HOST = "desk.example";
static const char *const ID = "5c0e7a21d94b36f8";
static const char *const JOB = "/desk/5c0e7a21d94b36f8";
static const char *const BODY =
	"{\"spec\":\"12000\",\"steps\":[{\"count\":2,\"cpu\":2000,"
	"\"mem_mb\":1024,\"est_duration_ms\":12000}]}";

static const int64_t CONFIG_APPLY_MS = 2000;

/** A run on a minion of either service. */
struct span_t {
	std::string task, minion;
	int run;
	int64_t from_ms, to_ms;
};

static void add_spans(std::vector<span_t> &spans, minions_t &minions)
{
	std::vector<end_t> ends = minions.ends();

	for (auto &s : minions.starts()) {
		span_t span = { s.task, s.minion, s.run, s.at_ms, now_ms() };

		for (auto &e : ends)
			if (e.task == s.task && e.run == s.run &&
			    e.minion == s.minion)
				span.to_ms = e.at_ms;
		spans.push_back(span);
	}
}

int main()
{
	store_t store;
	minions_t desk(store, { .service = "desk", .count = 5 });
	minions_t annex(store, { .service = "annex", .count = 5 });
	node_t a(store, "front-a-1", true);
	node_t b(store, "front-a-2", true);
	node_t c(store, "front-a-3", true);
	std::vector<std::string> services = { "desk", "annex" };
	std::vector<span_t> spans;
	reply_t asked;
	int twice = 0;

	configure(store, 7, { route("r-desk", HOST, "/desk/", "desk", 3) },
		  services);
	a.start();
	b.start();
	c.start();
	if (!wait_ready(a, 8000) || !wait_ready(b, 8000) ||
	    !wait_ready(c, 8000))
		finish(2, "the nodes have no configuration");
	sleep_ms(4000);
	if (call(a, "POST", HOST, JOB, BODY).status != 200)
		finish(2, "the submission was not accepted");
	sleep_ms(1000);
	if (trouble()) {
		configure(store, 9, {}, services);
		sleep_ms(1000);
		configure(store, 12,
			  { route("r-desk-2", HOST, "/desk/", "annex", 3) },
			  services);
	}
	/* The configuration is in force everywhere after this. */
	sleep_ms(CONFIG_APPLY_MS + 1500);
	asked = call(b, "GET", HOST, JOB);
	call(c, "POST", HOST, JOB, BODY);
	sleep_ms(20000);
	call(b, "GET", HOST, JOB);
	add_spans(spans, desk);
	add_spans(spans, annex);
	for (size_t i = 0; i < spans.size(); i++) {
		record("run of %s, number %d, on %s from %.3f to %.3f",
		       spans[i].task.c_str(), spans[i].run,
		       spans[i].minion.c_str(), spans[i].from_ms / 1000.0,
		       spans[i].to_ms / 1000.0);
		for (size_t k = 0; k < i; k++)
			twice += spans[k].task == spans[i].task &&
				 spans[k].from_ms < spans[i].to_ms &&
				 spans[i].from_ms < spans[k].to_ms;
	}
	if (spans.empty())
		finish(2, "nothing was started");
	if (asked.status == 410)
		record("LOST: the accepted submission %s is answered 410", ID);
	if (twice > 0)
		finish(1,
		       "TWICE: %d work items run twice at the same time; "
		       "before, the submission was answered %d",
		       twice, asked.status);
	if (asked.status == 410)
		finish(1, "LOST: the accepted submission is answered 410");
	finish(0, "each work item runs once");
}
