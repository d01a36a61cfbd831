/* The count of a queue that has moved, while its earlier pool has no owner. */
#include "../standin-3/site.hpp"

#include <csignal>

using namespace world;

static const int WAITING = 8;

int main()
{
	site::deployment_t d;
	store_t &store = d.store;
	machines_t &machines = d.machines;
	std::vector<node_t *> &nodes = d.nodes;
	node_t *old_owner;
	int low = 0, good = 0, refused = 0;

	for (int i = 0; i < 3; i++) {
		machines.add("alpha", 4000);
		machines.add("beta", 4000);
	}
	site::configure(store, 1, { { "loans", "/loans/", "alpha" } },
			{ "alpha", "beta" });
	site::start(nodes);
	/* Three fill the pool; the others wait. */
	for (int i = 0; i < 3 + WAITING; i++)
		site::submit(nodes, "/loans/" + site::id_of(i + 1),
			     site::submission(100000, 1, 4000));
	sleep_ms(6000);
	site::configure(store, 2, { { "loans", "/loans/", "beta" } },
			{ "alpha", "beta" });
	sleep_ms(4000);
	old_owner = site::owner_of(store, "alpha", nodes);
	if (!old_owner || site::owner_of(store, "beta", nodes) == old_owner)
		finish(2, "one node owns both pools, or none");
	record("%s owns alpha", old_owner->name().c_str());
	if (trouble())
		old_owner->signal(SIGKILL);
	for (int64_t end = now_ms() + 8000; now_ms() < end; sleep_ms(100))
		for (node_t *n : nodes) {
			std::string answer;
			int status;

			if (n == old_owner && trouble())
				continue;
			status = n->call("GET", "/loans/", "", &answer);
			if (status != 200)
				refused++;
			else if (site::waiting_of(answer) < WAITING / 2)
				low++;
			else
				good++;
		}
	if (machines.starts().size() > 3)
		finish(2, "one that should wait has begun");
	if (low > 0)
		finish(1, "%d of %d answers give under half of the %d that wait "
			  "(%d refused)", low, low + good, WAITING, refused);
	finish(0, "%d answers, none too low (%d refused)", good, refused);
}
