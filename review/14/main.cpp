/* A wave for a new machine while the API of the machines is unavailable. */
#include "../standin-3/site.hpp"

using namespace world;

int main()
{
	site::deployment_t d;
	store_t &store = d.store;
	machines_t &machines = d.machines;
	std::vector<node_t *> &nodes = d.nodes;
	std::string added;
	std::string status;
	int64_t completed_ms = 0;

	for (int i = 0; i < 4; i++)
		machines.add("alpha", 8000);
	site::configure(store, 1, { { "loans", "/loans/", "alpha" } },
			{ "alpha" });
	site::start(nodes);
	sleep_ms(3000);
	if (machines.lists() == 0)
		finish(2, "nobody has listed the machines");
	machines.unavailable = trouble();
	record("the API of the machines is %s",
	       trouble() ? "unavailable" : "up");
	sleep_ms(500);
	added = machines.add("alpha", 8000);
	sleep_ms(2500);
	store.put("op/wave/1", "{\"wave\":1,\"machines\":[\"" + added +
				       "\"],\"duration_s\":20,\"cap\":1}");
	record("operator: wave 1 of %s", added.c_str());
	for (int64_t begun = now_ms(); now_ms() - begun < 30000; sleep_ms(50)) {
		if (now_ms() - begun > 2000 && machines.unavailable) {
			machines.unavailable = false;
			record("the API of the machines is up");
		}
		if (store.get("status/wave/1").find("completed") ==
		    std::string::npos)
			continue;
		if (completed_ms == 0) {
			completed_ms = now_ms();
			record("status/wave/1: completed; upkeeps of %s: %d",
			       added.c_str(), machines.upkeeps(added));
			if (machines.upkeeps(added) > 0)
				finish(0, "completed after its upkeep");
		}
	}
	if (completed_ms == 0)
		finish(2, "the wave is not completed");
	finish(1, "the wave is completed; upkeeps of %s, 20 s and more later: "
		  "%d", added.c_str(), machines.upkeeps(added));
}
