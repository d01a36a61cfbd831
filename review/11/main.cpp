/* A start that is held up reaches the next boot of its minion. */
#include "../standin-3/site.hpp"

using namespace world;

static const char *const id = "5c0e7a21d94b0001";

static const int64_t WORK_MS = 25000;
/** How late the start that is held up is carried out. */
static const int64_t LATE_MS = 9500;
/** How long the minion is down. */
static const int64_t DOWN_MS = 6500;

int main()
{
	site::deployment_t d;
	store_t &store = d.store;
	machines_t &machines = d.machines;
	std::vector<node_t *> &nodes = d.nodes;
	std::string task = std::string(id) + ".0.0.0";
	int64_t begun_ms;
	std::vector<std::string> names;

	for (int i = 0; i < 8; i++)
		names.push_back(machines.add("alpha", 8000));
	site::configure(store, 1, { { "loans", "/loans/", "alpha" } },
			{ "alpha" });
	site::start(nodes);
	/* Whichever minion gets the start, its first copy is held up. */
	if (trouble())
		for (auto &name : names)
			machines.minion(name)->gate()->hold_starts(1, LATE_MS);
	begun_ms = now_ms();
	site::submit(nodes, std::string("/loans/") + id,
		     site::submission(WORK_MS, 1, 2000));
	while (!machines.runner(task) && now_ms() - begun_ms < 5000)
		sleep_ms(10);
	if (!machines.runner(task))
		finish(2, "the work item does not start");
	for (auto &name : names)
		machines.minion(name)->gate()->hold_starts(0, 0);
	sleep_ms(700);
	if (trouble())
		machines.crash(machines.machine_of(machines.runner(task)->id()),
			       DOWN_MS, true);
	while (now_ms() - begun_ms < 20000) {
		std::vector<std::string> at;

		for (auto &name : names) {
			std::shared_ptr<minion_t> m = machines.minion(name);

			if (m && m->up() && m->runs(task))
				at.push_back(m->id());
		}
		if (at.size() > 1) {
			record("%s runs on %s and %s", task.c_str(),
			       at[0].c_str(), at[1].c_str());
			sleep_ms(3000);
			finish(1, "two runs of %s at the same time",
			       task.c_str());
		}
		sleep_ms(5);
	}
	finish(0, "one run at a time");
}
