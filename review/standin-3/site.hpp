/**
 * @file
 * Small steps that the scripts of the third review share.
 */
#pragma once

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "world.hpp"

namespace site {

struct route_t {
	std::string name, prefix, service;
	int max_attempts = 3;
};

/** A small deployment: the store, machines, and seven nodes. */
struct deployment_t {
	world::store_t store;
	world::machines_t machines{ store };
	std::vector<std::unique_ptr<world::node_t>> owned;
	std::vector<world::node_t *> nodes;

	deployment_t()
	{
		for (int i = 1; i <= 7; i++) {
			owned.push_back(std::make_unique<world::node_t>(
				i, store, machines));
			nodes.push_back(owned.back().get());
		}
	}
};

/** Writes a version of the configuration, as the operator does. */
inline void configure(world::store_t &store, int version,
		      const std::vector<route_t> &routes,
		      const std::vector<std::string> &services)
{
	std::string text = "{\"version\":" + std::to_string(version) +
			   ",\"routes\":[";
	const char *comma = "";

	for (const route_t &r : routes) {
		text += std::string(comma) + "{\"name\":\"" + r.name +
			"\",\"host\":\"" + world::host + "\",\"prefix\":\"" +
			r.prefix + "\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
			"\"target_duration_ms\":600,\"priority\":0,"
			"\"service\":\"" + r.service + "\",\"max_attempts\":" +
			std::to_string(r.max_attempts) + ",\"stretch\":1.6}";
		comma = ",";
	}
	text += "],\"services\":[";
	comma = "";
	for (const std::string &s : services) {
		text += std::string(comma) + "{\"name\":\"" + s +
			"\",\"admission_check\":false}";
		comma = ",";
	}
	store.put("op/config", text + "],\"limits\":{}}");
	world::record("operator: configuration %d", version);
}

/** Body of a submission of one step. Its text begins with the time of a work
 *  item in ms; 0: it lasts. */
inline std::string submission(int64_t work_ms, int count, int64_t cpu,
			      const char *more = "")
{
	return "{\"spec\":\"" + std::to_string(work_ms) +
	       " ms\",\"steps\":[{\"count\":" + std::to_string(count) +
	       ",\"cpu\":" + std::to_string(cpu) +
	       ",\"mem_mb\":256,\"est_duration_ms\":" +
	       std::to_string(work_ms) + more + "}]}";
}

inline std::string id_of(int number)
{
	char id[32];

	snprintf(id, sizeof(id), "5c0e7a21d94b%04x", number);
	return id;
}

/** Starts all nodes and waits until they are ready and have settled. */
inline void start(const std::vector<world::node_t *> &nodes)
{
	for (world::node_t *n : nodes)
		n->start(true);
	for (int64_t end = world::now_ms() + 15000; world::now_ms() < end;
	     world::sleep_ms(100)) {
		bool all = true;

		for (const world::node_t *n : nodes)
			all = all && n->ready();
		if (all) {
			world::sleep_ms(3000);
			return;
		}
	}
	world::finish(2, "the nodes are not ready");
}

/** Hands a submission in until it is accepted, at any node. */
inline void submit(const std::vector<world::node_t *> &nodes,
		   const std::string &path, const std::string &body)
{
	for (int i = 0; i < 50; i++) {
		if (nodes[(size_t)i % nodes.size()]->call("POST", path, body) ==
		    200)
			return;
		world::sleep_ms(200);
	}
	world::finish(2, "%s is not accepted", path.c_str());
}

/** Returns the node that owns a pool by the store, or NULL. */
inline world::node_t *owner_of(world::store_t &store, const std::string &pool,
			       const std::vector<world::node_t *> &nodes)
{
	std::string claim = store.get("bw/m/own/" + pool);

	for (world::node_t *n : nodes)
		if (claim.find(n->name()) != std::string::npos)
			return n;
	return nullptr;
}

/** Returns the number after "waiting": in an answer, -1 if there is none. */
inline int waiting_of(const std::string &answer)
{
	int waiting = -1;
	size_t at = answer.find("\"waiting\":");

	if (at != std::string::npos)
		sscanf(answer.c_str() + at + 10, "%d", &waiting);
	return waiting;
}

} // namespace site
