/* Stand-ins for the review's scripts, see standin.hpp. */
#include "standin.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

using lock_t = std::unique_lock<std::mutex>;

static std::chrono::steady_clock::time_point case_began =
	std::chrono::steady_clock::now();

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - case_began)
		       .count() + 1;
}

int64_t wall_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

static std::mutex record_mutex;
static FILE *record_file;

void record(const char *fmt, ...)
{
	std::lock_guard<std::mutex> lock(record_mutex);
	const char *path = getenv("RECORD");
	va_list args;

	if (!record_file)
		record_file = fopen(path ? path : "record.txt", "w");
	if (!record_file)
		return;
	fprintf(record_file, "%9.3f ", now_ms() / 1000.0);
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

bool trouble()
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

static std::mutex pids_mutex;
static std::set<pid_t> pids;

static void kill_all()
{
	std::lock_guard<std::mutex> lock(pids_mutex);

	for (pid_t pid : pids)
		kill(pid, SIGKILL);
	for (pid_t pid : pids)
		waitpid(pid, nullptr, 0);
	pids.clear();
}

void finish(int code, const char *fmt, ...)
{
	char text[1000];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	record("verdict: %s: %s",
	       code == 0   ? "held"
	       : code == 1 ? "broken"
			   : "could not run",
	       text);
	printf("%s\n", text);
	fflush(stdout);
	kill_all();
	_exit(code);
}

/* Sockets and HTTP. */

static int listen_on(int port, int *out_port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in in = {};
	socklen_t length = sizeof(in);
	int one = 1;

	in.sin_family = AF_INET;
	in.sin_port = htons((uint16_t)port);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(fd, 1024) != 0)
		finish(2, "cannot listen on port %d", port);
	getsockname(fd, (struct sockaddr *)&in, &length);
	*out_port = ntohs(in.sin_port);
	return fd;
}

/* Returns a port that nothing listens on. It is below those that the kernel
 * gives to connections, so that it stays free until a node opens it. */
static int free_port()
{
	static const int FIRST = 12000;
	static const int COUNT = 18000;
	static int next = getpid() * 37 % COUNT;

	for (;;) {
		int port = FIRST + next;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		struct sockaddr_in in = {};
		bool good;

		next = (next + 1) % COUNT;
		in.sin_family = AF_INET;
		in.sin_port = htons((uint16_t)port);
		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		good = bind(fd, (struct sockaddr *)&in, sizeof(in)) == 0;
		close(fd);
		if (good)
			return port;
	}
}

static std::string unescape(const std::string &text)
{
	std::string out;

	for (size_t i = 0; i < text.size(); i++) {
		if (text[i] == '%' && i + 2 < text.size()) {
			out += (char)strtol(text.substr(i + 1, 2).c_str(),
					    nullptr, 16);
			i += 2;
		} else {
			out += text[i];
		}
	}
	return out;
}

static void parse_target(const std::string &target, request_t &r)
{
	size_t mark = target.find('?');
	size_t at = mark;

	r.path = target.substr(0, mark);
	while (at != std::string::npos) {
		size_t next = target.find('&', at + 1);
		std::string pair = target.substr(
			at + 1, next == std::string::npos ? next
							   : next - at - 1);
		size_t equals = pair.find('=');

		if (equals != std::string::npos)
			r.query[pair.substr(0, equals)] =
				unescape(pair.substr(equals + 1));
		at = next;
	}
}

/* Reads a message's first line, headers and body; false at the end. */
static bool read_message(int fd, std::string &buffer, std::string &first,
			 std::map<std::string, std::string> &headers,
			 std::string &body)
{
	char chunk[16384];
	size_t end;
	size_t at;
	size_t length;

	while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
		ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

		if (n <= 0)
			return false;
		buffer.append(chunk, (size_t)n);
	}
	at = buffer.find("\r\n");
	first = buffer.substr(0, at);
	headers.clear();
	while (at < end) {
		size_t next = buffer.find("\r\n", at + 2);
		std::string line = buffer.substr(at + 2, next - at - 2);
		size_t colon = line.find(':');

		if (colon != std::string::npos) {
			std::string name = line.substr(0, colon);
			size_t value = line.find_first_not_of(' ', colon + 1);

			for (char &c : name)
				c = (char)tolower(c);
			headers[name] = value == std::string::npos
						? ""
						: line.substr(value);
		}
		at = next;
	}
	buffer.erase(0, end + 4);
	length = headers.count("content-length")
			 ? (size_t)atoll(headers["content-length"].c_str())
			 : 0;
	while (buffer.size() < length) {
		ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

		if (n <= 0)
			return false;
		buffer.append(chunk, (size_t)n);
	}
	body = buffer.substr(0, length);
	buffer.erase(0, length);
	return true;
}

static bool send_all(int fd, const std::string &text)
{
	size_t sent = 0;

	while (sent < text.size()) {
		ssize_t n = send(fd, text.data() + sent, text.size() - sent,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		sent += (size_t)n;
	}
	return true;
}

struct server_t::state_t {
	std::mutex mutex;
	std::set<int> connections;
	handler_t handler;
	int listener = -1;
	bool closed = false;

	void serve(int fd)
	{
		std::string buffer;
		std::string first;
		request_t r;

		while (read_message(fd, buffer, first, r.headers, r.body)) {
			size_t a = first.find(' ');
			size_t b = first.find(' ', a + 1);
			answer_t answer;
			char head[200];

			r.method = first.substr(0, a);
			r.query.clear();
			parse_target(first.substr(a + 1, b - a - 1), r);
			answer = handler(r);
			if (answer.silent) {
				char c;

				while (recv(fd, &c, 1, 0) > 0)
					;
				break;
			}
			snprintf(head, sizeof(head),
				 "HTTP/1.1 %d X\r\nContent-Type: "
				 "application/json\r\nContent-Length: "
				 "%zu\r\n\r\n",
				 answer.status, answer.body.size());
			if (!send_all(fd, head + answer.body))
				break;
		}
		std::lock_guard<std::mutex> lock(mutex);
		if (connections.erase(fd))
			close(fd);
	}
};

server_t::server_t(handler_t handler, int port)
	: state_(std::make_shared<state_t>())
{
	auto state = state_;
	int fd = listen_on(port, &port_);

	state->handler = std::move(handler);
	state->listener = fd;
	std::thread([state, fd] {
		for (;;) {
			struct pollfd p = { fd, POLLIN, 0 };
			int one = 1;
			int c;

			poll(&p, 1, 100);
			std::lock_guard<std::mutex> lock(state->mutex);
			if (state->closed)
				return;
			if (!(p.revents & POLLIN))
				continue;
			c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
			if (c < 0)
				continue;
			setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one,
				   sizeof(one));
			state->connections.insert(c);
			std::thread([state, c] { state->serve(c); }).detach();
		}
	}).detach();
}

void server_t::stop()
{
	std::lock_guard<std::mutex> lock(state_->mutex);

	if (state_->closed)
		return;
	state_->closed = true;
	close(state_->listener);
	for (int fd : state_->connections)
		shutdown(fd, SHUT_RDWR);
}

server_t::~server_t()
{
	stop();
}

/* JSON. */

static std::string dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT | JSON_ENCODE_ANY);
	std::string out = text ? text : "";

	free(text);
	json_decref(root);
	return out;
}

static int64_t get_int(json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static std::string get_text(json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	return text ? text : "";
}

static std::string base64(const std::string &text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	std::string out;

	for (size_t i = 0; i < text.size(); i += 3) {
		uint32_t v = (uint8_t)text[i] << 16;

		if (i + 1 < text.size())
			v |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < text.size())
			v |= (uint8_t)text[i + 2];
		out += digits[v >> 18];
		out += digits[(v >> 12) & 63];
		out += i + 1 < text.size() ? digits[(v >> 6) & 63] : '=';
		out += i + 2 < text.size() ? digits[v & 63] : '=';
	}
	return out;
}

/* The store. */

static const size_t PAGE_ITEMS = 500;

store_t::store_t()
{
	std::thread([this] {
		for (;;) {
			sleep_ms(20);
			expire_leases();
		}
	}).detach();
}

int store_t::open_port(const std::string &node)
{
	servers_.push_back(std::make_unique<server_t>(
		[this, node](const request_t &r) { return serve(node, r); }));
	return servers_.back()->port();
}

void store_t::set_fault(fault_fn fn)
{
	lock_t lock(mutex_);

	fault_ = std::move(fn);
}

void store_t::write(const std::string &key, const std::string &value,
		    int64_t lease)
{
	item_t &item = items_[key];

	if (item.created == 0)
		item.created = revision_;
	item.value = value;
	item.revision = revision_;
	item.lease = lease;
	events_.push_back(
		{ revision_, key, value, item.created, lease, false });
	changed_.notify_all();
}

void store_t::erase(const std::string &key)
{
	if (!items_.erase(key))
		return;
	events_.push_back({ revision_, key, "", 0, 0, true });
	changed_.notify_all();
}

int64_t store_t::put(const std::string &key, const std::string &value)
{
	lock_t lock(mutex_);

	revision_++;
	write(key, base64(value), 0);
	return revision_;
}

void store_t::remove(const std::string &key)
{
	lock_t lock(mutex_);

	revision_++;
	erase(key);
}

std::string store_t::get(const std::string &key)
{
	lock_t lock(mutex_);
	auto at = items_.find(key);

	return at == items_.end() ? "" : at->second.value;
}

void store_t::expire_leases()
{
	lock_t lock(mutex_);

	for (auto at = leases_.begin(); at != leases_.end();) {
		std::vector<std::string> keys;

		if (now_ms() < at->second.end_ms) {
			++at;
			continue;
		}
		revision_++;
		for (auto &item : items_)
			if (item.second.lease == at->first)
				keys.push_back(item.first);
		for (auto &key : keys)
			erase(key);
		at = leases_.erase(at);
	}
}

answer_t store_t::serve(const std::string &node, const request_t &r)
{
	call_fault_t fault;
	fault_fn fn;

	{
		lock_t lock(mutex_);
		fn = fault_;
	}
	if (fn)
		fault = fn(node, r, r.body);
	sleep_ms(2);
	if (is_refused(node))
		return { 503, "{}", false };
	if (fault.status)
		return { fault.status, "{}", false };
	if (fault.lose_answer) {
		request_t copy = r;
		int64_t late_ms = fault.late_ms;

		std::thread([this, node, copy, late_ms] {
			sleep_ms(late_ms);
			answer_t a = carry_out(node, copy);

			record("store: a call without an answer is carried "
			       "out: %s %s -> %d",
			       copy.method.c_str(), copy.path.c_str(),
			       a.status);
		}).detach();
		return { 0, "", true };
	}
	int64_t began_ms = now_ms();
	answer_t answer = carry_out(node, r);

	if (r.path == "/v1/kv-watch") {
		lock_t lock(mutex_);
		answer.silent = now_ms() < refused_until_ms_[node] ||
				began_ms <= silenced_ms_[node];
	}
	return answer;
}

std::string store_t::leader()
{
	lock_t lock(mutex_);

	return leader_;
}

bool store_t::is_refused(const std::string &node)
{
	lock_t lock(mutex_);

	return now_ms() < refused_until_ms_[node];
}

void store_t::refuse(const std::string &node, int64_t for_ms)
{
	lock_t lock(mutex_);

	record("trouble: the store refuses %s for %d ms", node.c_str(),
	       (int)for_ms);
	refused_until_ms_[node] = now_ms() + for_ms;
}

void store_t::revoke(const std::string &node)
{
	lock_t lock(mutex_);
	std::vector<std::string> keys;

	revision_++;
	for (auto &item : items_)
		if (leases_.count(item.second.lease) &&
		    leases_[item.second.lease].node == node)
			keys.push_back(item.first);
	for (auto &key : keys) {
		record("trouble: the store takes away the key %s of %s",
		       key.c_str(), node.c_str());
		erase(key);
	}
}

void store_t::silence_watches(const std::string &node)
{
	lock_t lock(mutex_);

	record("trouble: the connections of the watches of %s go silent",
	       node.c_str());
	silenced_ms_[node] = now_ms();
}

answer_t store_t::carry_out(const std::string &node, const request_t &r)
{
	if (r.path == "/v1/kv-txn")
		return txn(node, r);
	if (r.path == "/v1/kv-range")
		return range(r);
	if (r.path == "/v1/kv-watch")
		return watch(r);
	if (r.path == "/v1/kv-key") {
		lock_t lock(mutex_);
		auto at = items_.find(r.query.at("key"));

		if (at == items_.end())
			return { 404, "{}", false };
		return { 200,
			 dump(json_pack(
				 "{s:s,s:s,s:I,s:I,s:I,s:I}", "key",
				 at->first.c_str(), "value",
				 at->second.value.c_str(), "revision",
				 (json_int_t)at->second.revision, "created_rev",
				 (json_int_t)at->second.created, "lease",
				 (json_int_t)at->second.lease, "at_rev",
				 (json_int_t)revision_)),
			 false };
	}
	return lease(node, r);
}

answer_t store_t::lease(const std::string &node, const request_t &r)
{
	static const std::string keep = "/v1/kv-keep/";
	static const std::string end = "/v1/kv-lease-end/";
	lock_t lock(mutex_);
	int64_t id;
	json_t *body;

	if (r.path == "/v1/kv-lease") {
		body = json_loads(r.body.c_str(), 0, nullptr);
		id = ++last_lease_;
		leases_[id].node = node;
		leases_[id].ttl_ms =
			std::max<int64_t>(get_int(body, "ttl_ms"), 1000);
		json_decref(body);
	} else if (r.path.compare(0, keep.size(), keep) == 0) {
		id = atoll(r.path.c_str() + keep.size());
	} else if (r.path.compare(0, end.size(), end) == 0) {
		id = atoll(r.path.c_str() + end.size());
		if (!leases_.count(id))
			return { 404, "{}", false };
		leases_[id].end_ms = 0;
		lock.unlock();
		expire_leases();
		return { 200, "{}", false };
	} else {
		return { 400, "{}", false };
	}
	if (!leases_.count(id))
		return { 404, "{}", false };
	leases_[id].end_ms = now_ms() + leases_[id].ttl_ms;
	return { 200,
		 dump(json_pack("{s:I,s:I}", "lease", (json_int_t)id, "ttl_ms",
				(json_int_t)leases_[id].ttl_ms)),
		 false };
}

answer_t store_t::range(const request_t &r)
{
	lock_t lock(mutex_);
	const std::string &prefix = r.query.at("prefix");
	std::string after =
		r.query.count("after") ? r.query.at("after") : std::string();
	json_t *items = json_array();
	bool more = false;

	for (auto &item : items_) {
		if (item.first.compare(0, prefix.size(), prefix) != 0 ||
		    (!after.empty() && item.first <= after))
			continue;
		if (json_array_size(items) >= PAGE_ITEMS) {
			more = true;
			break;
		}
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:I,s:I,s:I}", "key",
				  item.first.c_str(), "value",
				  item.second.value.c_str(), "revision",
				  (json_int_t)item.second.revision,
				  "created_rev",
				  (json_int_t)item.second.created, "lease",
				  (json_int_t)item.second.lease));
	}
	return { 200,
		 dump(json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
				more, "at_rev", (json_int_t)revision_)),
		 false };
}

answer_t store_t::watch(const request_t &r)
{
	lock_t lock(mutex_);
	std::string prefix = r.query.at("prefix");
	int64_t after = atoll(r.query.at("after").c_str());
	int64_t end_ms = now_ms() + atoll(r.query.at("wait_ms").c_str());
	json_t *events = json_array();

	for (;;) {
		auto at = std::upper_bound(
			events_.begin(), events_.end(), after,
			[](int64_t a, const event_t &e) {
				return a < e.revision;
			});

		for (; at != events_.end(); ++at) {
			if (at->key.compare(0, prefix.size(), prefix) != 0)
				continue;
			json_array_append_new(
				events,
				at->deleted
					? json_pack("{s:s,s:I,s:b}", "key",
						    at->key.c_str(), "revision",
						    (json_int_t)at->revision,
						    "compacted", 1)
					: json_pack(
						  "{s:s,s:s,s:I,s:I,s:I}",
						  "key", at->key.c_str(),
						  "value", at->value.c_str(),
						  "revision",
						  (json_int_t)at->revision,
						  "created_rev",
						  (json_int_t)at->created,
						  "lease",
						  (json_int_t)at->lease));
		}
		if (json_array_size(events) > 0 || now_ms() >= end_ms)
			break;
		after = revision_;
		changed_.wait_for(lock, std::chrono::milliseconds(
						std::max<int64_t>(
							end_ms - now_ms(), 1)));
	}
	return { 200,
		 dump(json_pack("{s:o,s:I}", "events", events, "at_rev",
				(json_int_t)revision_)),
		 false };
}

answer_t store_t::txn(const std::string &node, const request_t &r)
{
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	json_t *items = json_array();
	bool good = true;
	json_t *row;
	size_t i;
	lock_t lock(mutex_);

	json_array_foreach(json_object_get(body, "expected_rev"), i, row)
	{
		std::string key = get_text(row, "key");
		auto at = items_.find(key);
		int64_t revision =
			at == items_.end() ? 0 : at->second.revision;

		good = good && revision == get_int(row, "revision");
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:I,s:I}", "key", key.c_str(),
				  "value",
				  at == items_.end()
					  ? ""
					  : at->second.value.c_str(),
				  "revision", (json_int_t)revision, "lease",
				  (json_int_t)(at == items_.end()
						       ? 0
						       : at->second.lease)));
	}
	if (!good) {
		json_decref(body);
		return { 412, dump(json_pack("{s:o}", "items", items)), false };
	}
	json_decref(items);
	json_array_foreach(json_object_get(body, "writes"), i, row)
	{
		int64_t lease = get_int(row, "lease");

		if (lease != 0 && !leases_.count(lease)) {
			json_decref(body);
			return { 404, "{}", false };
		}
		if (lease != 0 &&
		    json_array_size(json_object_get(body, "expected_rev")) > 0)
			leader_ = node;
	}
	revision_++;
	json_array_foreach(json_object_get(body, "writes"), i, row)
		write(get_text(row, "key"), get_text(row, "value"),
		      get_int(row, "lease"));
	json_array_foreach(json_object_get(body, "deletes"), i, row)
		erase(json_string_value(row));
	json_decref(body);
	return { 200,
		 dump(json_pack("{s:I}", "revision", (json_int_t)revision_)),
		 false };
}

/* Minions. */

minions_t::minions_t(store_t &store, const config_t &config)
	: store_(store), config_(config)
{
	lock_t lock(mutex_);

	for (int i = 0; i < config.count; i++)
		boot(i);
	ticker_ = std::thread([this] {
		for (;;) {
			sleep_ms(5);
			lock_t lock(mutex_);
			if (closed_)
				return;
			tick();
		}
	});
}

minions_t::~minions_t()
{
	{
		lock_t lock(mutex_);
		closed_ = true;
	}
	ticker_.join();
}

int64_t minions_t::clock(const minion_t *m) const
{
	return m->clock0 + now_ms() - m->boot_ms;
}

void minions_t::boot(int machine_no)
{
	auto m = std::make_unique<minion_t>();
	minion_t *raw = m.get();
	char id[64];

	snprintf(id, sizeof(id), "i-%s-%03d", config_.service.c_str(),
		 ++next_id_);
	m->id = id;
	m->machine_no = machine_no;
	m->machine = "m-" + config_.service + "-" + std::to_string(machine_no);
	m->born_ms = wall_ms();
	m->boot_ms = now_ms();
	m->clock0 = 100000 + 1000 * next_id_;
	m->server = std::make_unique<server_t>(
		[this, raw](const request_t &r) { return serve(raw, r); });
	minions_.push_back(std::move(m));
	record("minion %s is up on %s", id, raw->machine.c_str());
	beat(raw);
}

void minions_t::beat(minion_t *m)
{
	json_t *entry;

	m->next_beat_ms = now_ms() + config_.heartbeat_ms;
	entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:s,s:{s:I,s:I,s:i},"
		"s:[s,s]}",
		"service", config_.service.c_str(), "address",
		("127.0.0.1:" + std::to_string(m->server->port())).c_str(),
		"zone", "zone-a", "version", "v1", "slots", 8, "state",
		"ready", "cold_remaining_ms", 0,
		"seq", (json_int_t)++m->seq, "born", (json_int_t)m->born_ms,
		"machine", m->machine.c_str(), "capacity", "cpu",
		(json_int_t)config_.cpu, "mem_mb", (json_int_t)config_.mem_mb,
		"gpu", 0, "labels", "a",
		("r1-" + std::to_string(m->machine_no / 4)).c_str());
	store_.put("servers/" + m->id, dump(entry));
}

std::string minions_t::where(const std::string &task)
{
	lock_t lock(mutex_);

	for (auto &m : minions_)
		if (!m->dead && m->runs.count(task))
			return m->id;
	return "";
}

std::string minions_t::machine(const std::string &minion)
{
	lock_t lock(mutex_);

	for (auto &m : minions_)
		if (m->id == minion)
			return m->machine;
	return "";
}

std::vector<start_t> minions_t::starts()
{
	lock_t lock(mutex_);

	return starts_;
}

std::vector<end_t> minions_t::ends()
{
	lock_t lock(mutex_);

	return ends_;
}

void minions_t::end_run(minion_t *m, const std::string &task, const char *how)
{
	auto at = m->runs.find(task);
	run_t run = at->second;
	char saved[40];

	if (run.begun_ms && strcmp(how, "done") != 0) {
		snprintf(saved, sizeof(saved), "%08x%08x",
			 (unsigned)std::hash<std::string>()(m->id + task),
			 (unsigned)(run.run * 1000 + ++run.saves));
		run.saved = saved;
	}
	record("minion %s: %s run %d ends %s", m->id.c_str(), task.c_str(),
	       run.run, how);
	m->ended.push_back({ ++m->last_end, task, run.run, how, run.saved });
	m->highest[task] = std::max(m->highest[task], run.run);
	m->runs.erase(at);
	ends_.push_back({ now_ms(), m->id, task, run.run, how });
	changed_.notify_all();
}

void minions_t::crash(const std::string &minion, int64_t back_ms)
{
	lock_t lock(mutex_);

	for (auto &m : minions_) {
		if (m->id != minion || m->dead)
			continue;
		record("trouble: minion %s crashes", m->id.c_str());
		m->dead = true;
		m->server->stop();
		m->removed_ms = now_ms() + 3 * config_.heartbeat_ms;
		for (auto &run : m->runs)
			ends_.push_back({ now_ms(), m->id, run.first,
					  run.second.run, "gone" });
		m->runs.clear();
		if (back_ms >= 0)
			boots_[now_ms() + back_ms] = m->machine_no;
	}
	changed_.notify_all();
}

void minions_t::extend(minion_t *m, json_t *body)
{
	int64_t deadline = get_int(body, "deadline_ms");

	deadline = std::min(deadline, clock(m) + config_.max_hold_ms);
	m->deadline = std::max(m->deadline, deadline);
}

static answer_t refuse(int64_t clock, const char *reason)
{
	return { 409,
		 dump(json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock,
				"reason", reason)),
		 false };
}

/* Reads what the spec says of a step: time and size of its gang. */
static void parse_spec(const std::string &spec, const std::string &task,
		       int64_t *work_ms, int *gang)
{
	size_t dot = task.find('.', task.find('.') + 1);
	int step = atoi(task.c_str() + dot + 1);
	size_t at = 0;

	while (step-- > 0 && (at = spec.find(',', at)) != std::string::npos)
		at++;
	if (at == std::string::npos)
		at = 0;
	*work_ms = atoll(spec.c_str() + at);
	*gang = 0;
	at = spec.find_first_not_of("0123456789", at);
	if (at != std::string::npos && spec[at] == 'g')
		*gang = atoi(spec.c_str() + at + 1);
}

answer_t minions_t::start(minion_t *m, json_t *body)
{
	std::string task = get_text(body, "task");
	int run = (int)get_int(body, "run");
	auto at = m->runs.find(task);
	answer_t good = { 200,
			  dump(json_pack("{s:I}", "clock_ms",
					 (json_int_t)clock(m))),
			  false };
	run_t r;

	extend(m, body);
	if (at != m->runs.end() && at->second.run == run)
		return good;
	if (m->highest.count(task) && run <= m->highest[task])
		return refuse(clock(m), "old");
	if (at != m->runs.end())
		return refuse(clock(m), "old");
	if (m->deadline <= clock(m))
		return refuse(clock(m), "late");
	r.spec = get_text(body, "spec");
	r.checkpoint = get_text(body, "last_checkpoint");
	r.saved = r.checkpoint;
	r.run = run;
	r.present_ms = now_ms();
	parse_spec(r.spec, task, &r.work_ms, &r.gang);
	if (!r.gang)
		r.begun_ms = r.present_ms;
	m->runs[task] = r;
	starts_.push_back({ r.present_ms, m->id, task, run, r.checkpoint });
	record("minion %s: starts %s run %d fence %d%s%s", m->id.c_str(),
	       task.c_str(), run, (int)get_int(body, "fence_token"),
	       r.checkpoint.empty() ? "" : " last_checkpoint ",
	       r.checkpoint.c_str());
	changed_.notify_all();
	return good;
}

answer_t minions_t::stop(minion_t *m, json_t *body)
{
	std::string task = get_text(body, "task");
	int run = (int)get_int(body, "run");
	auto at = m->runs.find(task);

	record("minion %s: is told to stop %s run %d", m->id.c_str(),
	       task.c_str(), run);
	m->highest[task] = std::max(m->highest[task], run);
	if (at != m->runs.end() && at->second.run == run &&
	    at->second.stopping_ms == 0)
		at->second.stopping_ms = now_ms() + config_.stop_ms;
	return { 200,
		 dump(json_pack("{s:I}", "clock_ms", (json_int_t)clock(m))),
		 false };
}

answer_t minions_t::hold(minion_t *m, json_t *body, lock_t &lock)
{
	int64_t end_ms = now_ms() + std::min<int64_t>(
					    get_int(body, "wait_ms"), 2000);
	int64_t seen = get_int(body, "last_seen");
	json_t *running = json_array();
	json_t *ended = json_array();

	m->held_ms = now_ms();
	extend(m, body);
	m->ended.erase(std::remove_if(m->ended.begin(), m->ended.end(),
				      [seen](const ended_t &e) {
					      return e.number <= seen;
				      }),
		       m->ended.end());
	while (!m->dead && m->ended.empty() && now_ms() < end_ms)
		changed_.wait_for(lock, std::chrono::milliseconds(
						end_ms - now_ms()));
	for (auto &row : m->runs) {
		const run_t &r = row.second;
		int64_t done_ms = r.begun_ms ? now_ms() - r.begun_ms : 0;
		int64_t whole_ms = r.work_ms ? r.work_ms : config_.startup_ms;
		int64_t percent = std::min<int64_t>(
			100 * done_ms / std::max<int64_t>(whole_ms, 1), 100);

		json_array_append_new(
			running, json_pack("[s,i,s,I,i]", row.first.c_str(),
					   r.run, r.saved.c_str(),
					   (json_int_t)percent, 100));
	}
	for (auto &e : m->ended) {
		if (json_array_size(ended) >= 500)
			break;
		json_array_append_new(
			ended, json_pack("[I,s,i,s,s]", (json_int_t)e.number,
					 e.task.c_str(), e.run, e.how.c_str(),
					 e.saved.c_str()));
	}
	return { 200,
		 dump(json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
				(json_int_t)clock(m), "born",
				(json_int_t)m->born_ms, "running", running,
				"ended", ended)),
		 false };
}

void minions_t::leave_unanswered(const std::string &minion, int64_t for_ms,
				 int64_t late_ms)
{
	lock_t lock(mutex_);

	for (auto &m : minions_) {
		if (m->id != minion)
			continue;
		m->unanswered_above = m->fence;
		m->unanswered_until_ms = now_ms() + for_ms;
		m->unanswered_late_ms = late_ms;
	}
}

int64_t minions_t::held_ms(const std::string &minion)
{
	lock_t lock(mutex_);

	for (auto &m : minions_)
		if (m->id == minion)
			return m->held_ms;
	return 0;
}

answer_t minions_t::serve(minion_t *m, const request_t &r)
{
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	int64_t fence = get_int(body, "fence_token");
	lock_t lock(mutex_);

	json_decref(body);
	if (now_ms() < m->unanswered_until_ms && fence > m->unanswered_above) {
		request_t copy = r;
		int64_t late_ms = m->unanswered_late_ms;

		record("trouble: minion %s leaves a call without an answer: %s "
		       "fence %d",
		       m->id.c_str(), r.path.c_str(), (int)fence);
		std::thread([this, m, copy, late_ms] {
			sleep_ms(late_ms);
			carry_out(m, copy);
			record("minion %s carries it out: %s", m->id.c_str(),
			       copy.path.c_str());
		}).detach();
		return { 0, "", true };
	}
	lock.unlock();
	return carry_out(m, r);
}

answer_t minions_t::carry_out(minion_t *m, const request_t &r)
{
	lock_t lock(mutex_);
	auto target = r.headers.find("x-target-instance");
	json_t *body;
	int64_t fence;
	answer_t out = { 200, "{}", false };

	if (m->dead)
		return { 0, "", true };
	if (target != r.headers.end() && target->second != m->id)
		return { 421, "{}", false };
	if (r.method == "GET")
		return out;
	body = json_loads(r.body.c_str(), 0, nullptr);
	fence = get_int(body, "fence_token");
	if (fence < m->fence) {
		json_decref(body);
		return refuse(clock(m), "fence");
	}
	m->fence = fence;
	if (r.path == "/v1/run-start")
		out = start(m, body);
	else if (r.path == "/v1/run-stop")
		out = stop(m, body);
	else if (r.path == "/v1/hold")
		out = hold(m, body, lock);
	json_decref(body);
	return out;
}

/* A gang works once all of its members are there; one that ends otherwise than
 * done breaks the others. */
void minions_t::tick_gangs()
{
	struct gang_t {
		std::vector<std::pair<minion_t *, std::string>> members;
		size_t size = 0;
		int64_t first_ms = INT64_MAX;
		bool waits = false;
	};
	std::map<std::string, gang_t> gangs;

	for (auto &m : minions_) {
		for (auto &row : m->runs) {
			const run_t &r = row.second;
			std::string name =
				row.first.substr(0, row.first.rfind('.')) +
				"/" + std::to_string(r.run);
			gang_t &g = gangs[name];

			if (!r.gang)
				continue;
			g.size = (size_t)r.gang;
			g.members.push_back({ m.get(), row.first });
			g.first_ms = std::min(g.first_ms, r.present_ms);
			g.waits = g.waits || r.begun_ms == 0;
		}
	}
	for (auto &row : gangs) {
		gang_t &g = row.second;

		if (g.size == 0)
			continue;
		if (g.waits && g.members.size() == g.size) {
			for (auto &x : g.members)
				x.first->runs[x.second].begun_ms = now_ms();
		} else if (g.waits && now_ms() - g.first_ms >
					      config_.gang_timeout_ms) {
			for (auto &x : g.members)
				end_run(x.first, x.second, "alone");
		} else if (!g.waits && g.members.size() < g.size) {
			for (auto &x : g.members)
				end_run(x.first, x.second, "broken");
		}
	}
}

void minions_t::tick()
{
	size_t i;

	while (!boots_.empty() && boots_.begin()->first <= now_ms()) {
		int machine_no = boots_.begin()->second;

		boots_.erase(boots_.begin());
		boot(machine_no);
	}
	for (i = 0; i < minions_.size(); i++) {
		minion_t *m = minions_[i].get();
		std::vector<std::pair<std::string, const char *>> over;

		if (m->removed_ms && now_ms() >= m->removed_ms) {
			m->removed_ms = 0;
			store_.remove("servers/" + m->id);
		}
		if (m->dead)
			continue;
		if (now_ms() >= m->next_beat_ms)
			beat(m);
		for (auto &row : m->runs) {
			run_t &r = row.second;
			int64_t saves =
				r.begun_ms ? (now_ms() - r.begun_ms) /
						     config_.checkpoint_ms
					   : 0;
			char saved[40];

			if (saves > r.saves) {
				r.saves = (int)saves;
				snprintf(saved, sizeof(saved), "%08x%08x",
					 (unsigned)std::hash<std::string>()(
						 m->id + row.first),
					 (unsigned)(r.run * 1000 + r.saves));
				r.saved = saved;
			}
			if (clock(m) > m->deadline)
				over.push_back({ row.first, "lapsed" });
			else if (r.stopping_ms && now_ms() >= r.stopping_ms)
				over.push_back({ row.first, "stopped" });
			else if (r.work_ms && r.begun_ms &&
				 now_ms() - r.begun_ms >= r.work_ms)
				over.push_back({ row.first, "done" });
		}
		for (auto &x : over)
			end_run(m, x.first, x.second);
	}
	/* The members of a gang end done together. */
	std::vector<std::pair<minion_t *, std::string>> done;
	for (auto &m : minions_)
		for (auto &row : m->runs)
			for (auto &e : ends_)
				if (row.second.gang && e.how == "done" &&
				    e.run == row.second.run &&
				    e.task.substr(0, e.task.rfind('.')) ==
					    row.first.substr(
						    0, row.first.rfind('.')))
					done.push_back({ m.get(), row.first });
	for (auto &x : done)
		if (x.first->runs.count(x.second))
			end_run(x.first, x.second, "done");
	tick_gangs();
}

/* Nodes. */

static std::string temp_dir()
{
	const char *dir = getenv("CASE_TMP");

	return dir ? dir : "/tmp";
}

node_t::node_t(store_t &store, const std::string &name, bool first_start)
	: name_(name), front_(free_port()), ready_(free_port()),
	  peers_(free_port()), metrics_(free_port()),
	  store_port_(store.open_port(name)), first_(first_start)
{
	settings_ = temp_dir() + "/" + name + ".toml";
}

node_t::~node_t()
{
	end();
}

void node_t::start()
{
	const char *program = getenv("FLEETD");
	std::string log = temp_dir() + "/" + name_ + ".log";
	FILE *f = fopen(settings_.c_str(), "w");

	if (!f || !program)
		finish(2, "cannot write %s, or FLEETD is not set",
		       settings_.c_str());
	fprintf(f,
		"[node]\nname = \"%s\"\nzone = \"zone-a\"\nip = "
		"\"127.0.0.1\"\ncallers = \"127.0.0.1:%d\"\nready = "
		"\"127.0.0.1:%d\"\npeers_port = %d\nmetrics_port = %d\n%s"
		"[platform]\nstore = \"127.0.0.1:%d\"\nlease_min_ms = 1000\n"
		"[limits]\ngrant_max_ms = 10000\nstop_ms = 400\nkeep_s = 120\n"
		"grace_s = 6\nholder_ms = 3000\n"
		"[capacity]\ncore_share = 0.25\ncores = 1\nmemory_mb = 260\n"
		"link_mbps = 1000.0\ndescriptors = 4100\n",
		name_.c_str(), front_, ready_, peers_, metrics_,
		first_ ? "first_start = true\n" : "", store_port_);
	fclose(f);
	first_ = false;
	pid_ = fork();
	if (pid_ == 0) {
		int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* It ends with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl(program, program, "--settings", settings_.c_str(),
		      (char *)nullptr);
		_exit(127);
	}
	if (pid_ < 0)
		finish(2, "cannot start %s", name_.c_str());
	std::lock_guard<std::mutex> lock(pids_mutex);
	pids.insert(pid_);
	record("node %s starts", name_.c_str());
}

bool node_t::running()
{
	int status;

	if (pid_ < 0)
		return false;
	if (waitpid(pid_, &status, WNOHANG) != pid_)
		return true;
	record("node %s has ended, status %d", name_.c_str(), status);
	std::lock_guard<std::mutex> lock(pids_mutex);
	pids.erase(pid_);
	pid_ = -1;
	return false;
}

void node_t::send(int signal)
{
	if (!running())
		return;
	record("trouble: node %s gets signal %d", name_.c_str(), signal);
	kill(pid_, signal);
}

void node_t::end()
{
	if (!running())
		return;
	kill(pid_, SIGKILL);
	waitpid(pid_, nullptr, 0);
	std::lock_guard<std::mutex> lock(pids_mutex);
	pids.erase(pid_);
	pid_ = -1;
}

/* The requester. */

static int connect_to(int port, int64_t wait_ms)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in in = {};
	struct timeval limit = { (time_t)(wait_ms / 1000),
				 (suseconds_t)(wait_ms % 1000 * 1000) };

	in.sin_family = AF_INET;
	in.sin_port = htons((uint16_t)port);
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) == 0)
		return fd;
	close(fd);
	return -1;
}

static reply_t exchange(int port, const std::string &text, int64_t wait_ms)
{
	int fd = connect_to(port, wait_ms);
	std::map<std::string, std::string> headers;
	std::string buffer;
	std::string first;
	reply_t reply;

	if (fd < 0)
		return reply;
	if (send_all(fd, text) &&
	    read_message(fd, buffer, first, headers, reply.body))
		reply.status = atoi(first.c_str() + first.find(' ') + 1);
	close(fd);
	return reply;
}

reply_t call(const node_t &node, const char *method, const std::string &host,
	     const std::string &path, const std::string &body, int64_t wait_ms)
{
	std::string text = std::string(method) + " " + path +
			   " HTTP/1.1\r\nHost: " + host +
			   "\r\nX-Deadline-Remaining: " +
			   std::to_string(wait_ms) +
			   "\r\nContent-Type: application/json\r\n"
			   "Content-Length: " +
			   std::to_string(body.size()) + "\r\n\r\n" + body;
	reply_t reply;

	record("requester: %s %s to %s%s%s", method, path.c_str(),
	       node.name().c_str(), body.empty() ? "" : " ",
	       body.substr(0, 300).c_str());
	reply = exchange(node.front_port(), text, wait_ms + 200);
	record("requester: %s %s gets %d %s", method, path.c_str(),
	       reply.status, reply.body.c_str());
	return reply;
}

std::string state_of(const reply_t &reply)
{
	json_t *root = json_loads(reply.body.c_str(), 0, nullptr);
	std::string state = get_text(root, "state");

	json_decref(root);
	return reply.status == 200 ? state : "";
}

bool wait_ready(const node_t &node, int64_t ms)
{
	int64_t end_ms = now_ms() + ms;

	/* A configured node answers a path of no route with 404. */
	while (now_ms() < end_ms) {
		reply_t r = exchange(node.front_port(),
				     "GET /none/0 HTTP/1.1\r\nHost: "
				     "none.example\r\n\r\n",
				     500);

		if (r.status == 404)
			return true;
		sleep_ms(100);
	}
	return false;
}

std::string route(const char *name, const char *host, const char *prefix,
		  const char *service, int max_attempts)
{
	return dump(json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}",
			      "name", name, "host", host, "prefix", prefix,
			      "type", "unsafe", "timeout_ms", 3000,
			      "target_duration_ms", 600, "priority", 0,
			      "service", service, "max_attempts", max_attempts,
			      "stretch", 1.6));
}

void configure(store_t &store, int version,
	       const std::vector<std::string> &routes,
	       const std::vector<std::string> &services)
{
	std::string text = "{\"version\":" + std::to_string(version) +
			   ",\"routes\":[";
	size_t i;

	for (i = 0; i < routes.size(); i++)
		text += (i ? "," : "") + routes[i];
	text += "],\"services\":[";
	for (i = 0; i < services.size(); i++)
		text += std::string(i ? "," : "") + "{\"name\":\"" +
			services[i] +
			"\",\"health_path\":\"/health\",\"max_conns\":64,"
			"\"protocol\":\"h1\",\"tls\":false,"
			"\"admission_check\":false,\"standby\":false}";
	text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		"262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	store.put("op/config", text);
	record("operator: configuration %d is acknowledged, routes %s", version,
	       text.substr(text.find("\"routes\""),
			   text.find("\"services\"") - text.find("\"routes\""))
		       .c_str());
}

} // namespace standin
