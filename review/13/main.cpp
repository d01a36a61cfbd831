/* A schedule whose occurrences are all due already. */
#include "../standin-3/site.hpp"

#include <csignal>
#include <unistd.h>

using namespace world;

/** As in the nodes' settings: the platform kills a process that exceeds it. */
static const int64_t MEMORY_MB = 260;
/** How long the platform takes to start a process again. */
static const int64_t RESTART_MS = 1000;
static const int64_t LOOK_MS = 80000;
/** The rule: on two machines at least, three times each. */
static const int ENDS = 3;
static const size_t MACHINES = 2;

static std::map<node_t *, int64_t> restart_at;
static std::map<node_t *, int> ends;
static int peak_mb;

static int memory_mb(pid_t pid)
{
	std::string path = "/proc/" + std::to_string(pid) + "/statm";
	FILE *f = fopen(path.c_str(), "r");
	long pages = 0;

	if (f) {
		if (fscanf(f, "%*d %ld", &pages) != 1)
			pages = 0;
		fclose(f);
	}
	return (int)(pages * sysconf(_SC_PAGESIZE) / 1000000);
}

/* The platform's part: DEPLOY.md, "Memory and descriptors". */
static void watch_memory(const std::vector<node_t *> &nodes)
{
	for (node_t *n : nodes) {
		if (restart_at.count(n)) {
			if (now_ms() < restart_at[n])
				continue;
			restart_at.erase(n);
			n->start(false);
			continue;
		}
		int mb = memory_mb(n->pid());

		peak_mb = std::max(peak_mb, mb);
		if (mb <= MEMORY_MB)
			continue;
		record("%s has %d MB: over its limit", n->name().c_str(), mb);
		n->signal(SIGKILL);
		n->join();
		ends[n]++;
		restart_at[n] = now_ms() + RESTART_MS;
	}
}

static size_t machines_broken()
{
	size_t count = 0;

	for (auto &e : ends)
		count += e.second >= ENDS;
	return count;
}

int main()
{
	site::deployment_t d;
	std::vector<node_t *> &nodes = d.nodes;
	/* Without the trouble the same schedule begins now. */
	int64_t first_ms = trouble() ? 60000 : wall_ms();
	int64_t next_ms = 0;
	int done = 0, sent = 0;
	std::string all;

	for (int i = 0; i < 4; i++)
		d.machines.add("alpha", 16000);
	site::configure(d.store, 1, { { "nightly", "/nightly/", "alpha" } },
			{ "alpha" });
	site::start(nodes);
	site::submit(nodes, "/nightly/5c0e7a21d94bffff",
		     "{\"spec\":\"1000 ms\",\"steps\":[{\"count\":200,"
		     "\"cpu\":4000,\"mem_mb\":256,\"est_duration_ms\":1000}],"
		     "\"repeat_count\":43200,\"initial_delay_ms\":" +
			     std::to_string(first_ms) +
			     ",\"interval_ms\":60000}");
	for (int64_t end = now_ms() + LOOK_MS;
	     now_ms() < end && machines_broken() < MACHINES; sleep_ms(10)) {
		watch_memory(nodes);
		if (now_ms() < next_ms)
			continue;
		/* An ordinary submission a second, for the record. */
		node_t *n = nodes[(size_t)sent++ % nodes.size()];

		next_ms = now_ms() + 1000;
		if (!restart_at.count(n))
			done += n->call("POST", "/nightly/" + site::id_of(sent),
					site::submission(400, 1, 1000)) == 200;
	}
	for (auto &e : ends)
		all += " " + e.first->name() + " " + std::to_string(e.second);
	if (machines_broken() >= MACHINES)
		finish(1, "processes over their memory, times:%s; %d of %d "
			  "ordinary submissions accepted", all.c_str(), done,
		       sent);
	finish(0, "most memory of a process: %d MB; times over it:%s; %d of %d "
		  "ordinary submissions accepted", peak_mb,
	       all.empty() ? " none" : all.c_str(), done, sent);
}
