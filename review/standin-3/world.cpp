#include "world.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace world {

const char *const host = "review.example";

namespace {

constexpr int64_t PING_MS = 1500;
constexpr int64_t HOLD_MAX_MS = 10000;
/** Startup of a work item that lasts. */
constexpr int64_t STARTUP_MS = 700;
constexpr int64_t MOVE_MS = 1500;
constexpr int64_t UPKEEP_MS = 2000;
constexpr size_t PAGE_ITEMS = 500;
/** As in the settings of DEPLOY.md. */
constexpr size_t VALUE_BYTES = 1048576;

FILE *record_file;
std::mutex record_mutex;
std::mutex pids_mutex;
std::set<pid_t> pids;

int64_t clock_of(clockid_t id)
{
	timespec t;

	clock_gettime(id, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void end_processes()
{
	std::lock_guard<std::mutex> lock(pids_mutex);

	for (pid_t pid : pids) {
		kill(pid, SIGCONT);
		kill(pid, SIGKILL);
	}
	for (pid_t pid : pids)
		waitpid(pid, nullptr, 0);
	pids.clear();
}

void on_term(int)
{
	for (pid_t pid : pids)
		kill(pid, SIGKILL);
	_exit(2);
}

struct start_up_t {
	start_up_t()
	{
		const char *path = getenv("RECORD");

		signal(SIGPIPE, SIG_IGN);
		signal(SIGTERM, on_term);
		signal(SIGINT, on_term);
		record_file = fopen(path ? path : "/dev/null", "w");
	}
} start_up;

/* Returns a listening socket on a free port. */
int listen_on(const std::string &ip, int *port)
{
	sockaddr_in in = {};
	socklen_t bytes = sizeof(in);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	in.sin_family = AF_INET;
	inet_pton(AF_INET, ip.c_str(), &in.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (sockaddr *)&in, sizeof(in)) < 0 || listen(fd, 512) < 0)
		finish(2, "no port on %s: %s", ip.c_str(), strerror(errno));
	getsockname(fd, (sockaddr *)&in, &bytes);
	*port = ntohs(in.sin_port);
	return fd;
}

int free_port(const std::string &ip)
{
	int port;

	close(listen_on(ip, &port));
	return port;
}

std::string lower(std::string text)
{
	for (char &c : text)
		c = (char)tolower(c);
	return text;
}

std::string unescape(const std::string &text)
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

void parse_target(const std::string &target, request_t &r)
{
	size_t mark = target.find('?');
	size_t at = mark;

	r.path = unescape(target.substr(0, mark));
	while (at != std::string::npos) {
		size_t end = target.find('&', at + 1);
		std::string pair = target.substr(
			at + 1, end == std::string::npos ? end : end - at - 1);
		size_t equals = pair.find('=');

		if (equals != std::string::npos)
			r.query[pair.substr(0, equals)] =
				unescape(pair.substr(equals + 1));
		at = end;
	}
}

/* Reads a message's head, then its body; false at the end of the stream. */
bool read_message(int fd, std::string &buffer, std::string &first,
		  std::map<std::string, std::string> &headers,
		  std::string &body)
{
	char chunk[16384];
	size_t end;
	size_t length = 0;

	while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
		ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

		if (n <= 0)
			return false;
		buffer.append(chunk, (size_t)n);
	}
	std::string head = buffer.substr(0, end);
	size_t at = head.find("\r\n");

	buffer.erase(0, end + 4);
	first = head.substr(0, at);
	headers.clear();
	while (at != std::string::npos) {
		size_t next = head.find("\r\n", at + 2);
		std::string line = head.substr(
			at + 2,
			next == std::string::npos ? next : next - at - 2);
		size_t colon = line.find(':');

		if (colon != std::string::npos) {
			size_t from = line.find_first_not_of(' ', colon + 1);

			headers[lower(line.substr(0, colon))] =
				from == std::string::npos ? ""
							  : line.substr(from);
		}
		at = next;
	}
	if (headers.count("content-length"))
		length = strtoul(headers["content-length"].c_str(), nullptr, 10);
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

bool send_all(int fd, const std::string &text)
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

std::string encode(const std::string &data)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	std::string out;

	for (size_t i = 0; i < data.size(); i += 3) {
		uint32_t n = (uint32_t)(unsigned char)data[i] << 16;
		size_t left = data.size() - i;

		if (left > 1)
			n |= (uint32_t)(unsigned char)data[i + 1] << 8;
		if (left > 2)
			n |= (uint32_t)(unsigned char)data[i + 2];
		out += digits[n >> 18];
		out += digits[(n >> 12) & 63];
		out += left > 1 ? digits[(n >> 6) & 63] : '=';
		out += left > 2 ? digits[n & 63] : '=';
	}
	return out;
}

int digit_of(char c)
{
	if (c >= 'A' && c <= 'Z')
		return c - 'A';
	if (c >= 'a' && c <= 'z')
		return c - 'a' + 26;
	if (c >= '0' && c <= '9')
		return c - '0' + 52;
	return c == '+' ? 62 : 63;
}

std::string decode(const std::string &text)
{
	std::string out;

	for (size_t i = 0; i + 3 < text.size(); i += 4) {
		uint32_t n = 0;

		for (size_t k = 0; k < 4; k++)
			n = n << 6 | (text[i + k] == '='
					      ? 0U
					      : (uint32_t)digit_of(text[i + k]));
		out += (char)(n >> 16);
		if (text[i + 2] != '=')
			out += (char)(n >> 8);
		if (text[i + 3] != '=')
			out += (char)n;
	}
	return out;
}

std::string dump(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	std::string out = text ? text : "";

	free(text);
	json_decref(value);
	return out;
}

int64_t int_of(json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

std::string text_of(json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

const char *state_name(int status)
{
	return status == 200 ? "OK" : "Other";
}

} // namespace

int64_t now_ms()
{
	static const int64_t begun = clock_of(CLOCK_MONOTONIC);

	return clock_of(CLOCK_MONOTONIC) - begun;
}

int64_t wall_ms()
{
	return clock_of(CLOCK_REALTIME);
}

void sleep_ms(int64_t ms)
{
	usleep((useconds_t)(ms * 1000));
}

static void write_line(const char *fmt, va_list args)
{
	std::lock_guard<std::mutex> lock(record_mutex);

	if (!record_file)
		return;
	fprintf(record_file, "%8.3f  ", (double)now_ms() / 1000.0);
	vfprintf(record_file, fmt, args);
	fputc('\n', record_file);
	fflush(record_file);
}

void record(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(fmt, args);
	va_end(args);
}

bool trouble()
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void finish(int code, const char *fmt, ...)
{
	char text[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	end_processes();
	record("%s: %s", code == 1 ? "BROKEN" : code == 0 ? "held" : "not run",
	       text);
	printf("%s: %s\n", code == 1 ? "BROKEN" : code == 0 ? "held" : "not run",
	       text);
	fflush(stdout);
	_exit(code);
}

/* The server */

server_t::server_t(const std::string &ip, handler_t handler)
	: ip_(ip), handler_(std::move(handler))
{
	listener_ = listen_on(ip, &port_);
	std::thread([this] {
		for (;;) {
			int fd = accept4(listener_, nullptr, nullptr,
					 SOCK_CLOEXEC);
			int one = 1;

			if (fd < 0)
				return;
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
				   sizeof(one));
			{
				std::lock_guard<std::mutex> lock(mutex_);

				if (!up_) {
					linger reset = { 1, 0 };

					setsockopt(fd, SOL_SOCKET, SO_LINGER,
						   &reset, sizeof(reset));
					close(fd);
					continue;
				}
				fds_.insert(fd);
			}
			std::thread([this, fd] { serve(fd); }).detach();
		}
	}).detach();
}

void server_t::serve(int fd)
{
	std::string buffer, first, body;
	request_t r;

	while (read_message(fd, buffer, first, r.headers, body)) {
		size_t a = first.find(' ');
		size_t b = first.find(' ', a + 1);
		answer_t answer;

		r.method = first.substr(0, a);
		r.query.clear();
		r.body = body;
		parse_target(first.substr(a + 1, b - a - 1), r);
		answer = handler_(r);
		if (answer.silent)
			continue;
		if (!send_all(fd, "HTTP/1.1 " + std::to_string(answer.status) +
					  " " + state_name(answer.status) +
					  "\r\nContent-Type: application/json"
					  "\r\nContent-Length: " +
					  std::to_string(answer.body.size()) +
					  "\r\n\r\n" + answer.body))
			break;
	}
	std::lock_guard<std::mutex> lock(mutex_);

	fds_.erase(fd);
	close(fd);
}

void server_t::set_up(bool up)
{
	std::lock_guard<std::mutex> lock(mutex_);
	linger reset = { 1, 0 };

	up_ = up;
	for (int fd : fds_) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(fd, SHUT_RDWR);
	}
}

/* The store */

store_t::store_t()
{
	server_ = std::make_unique<server_t>(
		"127.0.3.100", [this](const request_t &r) { return handle(r); });
	std::thread([this] {
		for (;;) {
			sleep_ms(20);
			expire();
		}
	}).detach();
}

void store_t::write(const std::string &key, const std::string &value,
		    int64_t lease, int64_t revision)
{
	auto at = items_.find(key);
	item_t item = { value, revision,
			at == items_.end() ? revision : at->second.created,
			lease };

	items_[key] = item;
	events_.push_back({ revision, key, false, item });
	changed_.notify_all();
}

void store_t::erase(const std::string &key, int64_t revision)
{
	if (items_.erase(key) == 0)
		return;
	events_.push_back({ revision, key, true, {} });
	changed_.notify_all();
}

int64_t store_t::put(const std::string &key, const std::string &value)
{
	std::lock_guard<std::mutex> lock(mutex_);

	write(key, encode(value), 0, ++revision_);
	return revision_;
}

void store_t::remove(const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex_);

	erase(key, ++revision_);
}

std::string store_t::get(const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex_);
	auto at = items_.find(key);

	return at == items_.end() ? "" : decode(at->second.value);
}

size_t store_t::largest()
{
	std::lock_guard<std::mutex> lock(mutex_);

	return largest_;
}

std::vector<std::string> store_t::keys(const std::string &prefix)
{
	std::lock_guard<std::mutex> lock(mutex_);
	std::vector<std::string> out;

	for (auto at = items_.lower_bound(prefix);
	     at != items_.end() && at->first.compare(0, prefix.size(), prefix) == 0;
	     ++at)
		out.push_back(at->first);
	return out;
}

void store_t::expire()
{
	std::lock_guard<std::mutex> lock(mutex_);
	int64_t now = now_ms();

	for (auto lease = leases_.begin(); lease != leases_.end();) {
		std::vector<std::string> gone;

		if (now < lease->second.end_ms) {
			++lease;
			continue;
		}
		for (auto &item : items_)
			if (item.second.lease == lease->first)
				gone.push_back(item.first);
		if (!gone.empty())
			revision_++;
		for (auto &key : gone)
			erase(key, revision_);
		lease = leases_.erase(lease);
	}
}

json_t *store_t::item_json(const std::string &key, const item_t &item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key.c_str(), "value",
			 item.value.c_str(), "revision",
			 (json_int_t)item.revision, "created_rev",
			 (json_int_t)item.created, "lease",
			 (json_int_t)item.lease);
}

answer_t store_t::range(const request_t &r)
{
	std::lock_guard<std::mutex> lock(mutex_);
	std::string prefix = r.query.count("prefix") ? r.query.at("prefix") : "";
	json_t *list = json_array();
	bool more = false;
	auto at = r.query.count("after") ? items_.upper_bound(r.query.at("after"))
					 : items_.lower_bound(prefix);

	for (; at != items_.end() &&
	       at->first.compare(0, prefix.size(), prefix) == 0;
	     ++at) {
		if (json_array_size(list) == PAGE_ITEMS) {
			more = true;
			break;
		}
		json_array_append_new(list, item_json(at->first, at->second));
	}
	return { 200,
		 dump(json_pack("{s:o,s:b,s:I}", "items", list, "has_more",
				(int)more, "at_rev", (json_int_t)revision_)),
		 false };
}

answer_t store_t::watch(const request_t &r)
{
	std::unique_lock<std::mutex> lock(mutex_);
	std::string prefix = r.query.at("prefix");
	int64_t after = strtoll(r.query.at("after").c_str(), nullptr, 10);
	int64_t wait = r.query.count("wait_ms")
			       ? strtoll(r.query.at("wait_ms").c_str(), nullptr,
					 10)
			       : 0;
	int64_t end = now_ms() + wait;

	for (;;) {
		json_t *list = json_array();
		size_t i = events_.size();

		while (i > 0 && events_[i - 1].revision > after)
			i--;
		for (; i < events_.size(); i++) {
			const event_t &e = events_[i];

			if (e.key.compare(0, prefix.size(), prefix) != 0)
				continue;
			json_array_append_new(
				list,
				e.removed
					? json_pack("{s:s,s:I,s:b}", "key",
						    e.key.c_str(), "revision",
						    (json_int_t)e.revision,
						    "compacted", 1)
					: item_json(e.key, e.item));
		}
		if (json_array_size(list) > 0 || now_ms() >= end)
			return { 200,
				 dump(json_pack("{s:o,s:I}", "events", list,
						"at_rev",
						(json_int_t)revision_)),
				 false };
		json_decref(list);
		changed_.wait_for(lock, std::chrono::milliseconds(
						std::max<int64_t>(
							end - now_ms(), 1)));
	}
}

answer_t store_t::txn(json_t *body)
{
	std::lock_guard<std::mutex> lock(mutex_);
	json_t *row;
	size_t i;
	bool good = true;
	json_t *list = json_array();
	std::string reply;

	json_array_foreach(json_object_get(body, "expected_rev"), i, row)
	{
		std::string key = text_of(row, "key");
		auto at = items_.find(key);
		int64_t revision = at == items_.end() ? 0 : at->second.revision;

		good &= revision == int_of(row, "revision");
		if (at != items_.end())
			json_array_append_new(list, item_json(key, at->second));
	}
	if (!good)
		return { 412, dump(json_pack("{s:o}", "items", list)), false };
	json_decref(list);
	json_array_foreach(json_object_get(body, "writes"), i, row)
	{
		int64_t lease = int_of(row, "lease");

		if (lease != 0 && !leases_.count(lease))
			return { 404, "{}", false };
		size_t bytes = text_of(row, "value").size() / 4 * 3;

		largest_ = std::max(largest_, bytes);
		if (bytes > VALUE_BYTES) {
			record("store: %zu bytes for %s: 400", bytes,
			       text_of(row, "key").c_str());
			return { 400, "{}", false };
		}
	}
	revision_++;
	json_array_foreach(json_object_get(body, "writes"), i, row)
		write(text_of(row, "key"), text_of(row, "value"),
		      int_of(row, "lease"), revision_);
	json_array_foreach(json_object_get(body, "deletes"), i, row)
		erase(json_string_value(row), revision_);
	return { 200,
		 dump(json_pack("{s:I}", "revision", (json_int_t)revision_)),
		 false };
}

answer_t store_t::handle(const request_t &r)
{
	if (r.path == "/v1/kv-range")
		return range(r);
	if (r.path == "/v1/kv-watch")
		return watch(r);
	if (r.path == "/v1/kv-key") {
		std::lock_guard<std::mutex> lock(mutex_);
		auto at = items_.find(r.query.at("key"));
		json_t *item;

		if (at == items_.end())
			return { 404,
				 dump(json_pack("{s:I}", "at_rev",
						(json_int_t)revision_)),
				 false };
		item = item_json(at->first, at->second);
		json_object_set_new(item, "at_rev", json_integer(revision_));
		return { 200, dump(item), false };
	}
	if (r.path == "/v1/kv-txn") {
		json_t *body = json_loads(r.body.c_str(), 0, nullptr);
		answer_t answer = txn(body);

		json_decref(body);
		return answer;
	}
	if (r.path == "/v1/kv-lease") {
		std::lock_guard<std::mutex> lock(mutex_);
		json_t *body = json_loads(r.body.c_str(), 0, nullptr);
		int64_t ttl = std::max<int64_t>(int_of(body, "ttl_ms"), 1000);

		json_decref(body);
		leases_[++last_lease_] = { ttl, now_ms() + ttl };
		return { 200,
			 dump(json_pack("{s:I,s:I}", "lease",
					(json_int_t)last_lease_, "ttl_ms",
					(json_int_t)ttl)),
			 false };
	}
	if (r.path.rfind("/v1/kv-keep/", 0) == 0) {
		std::lock_guard<std::mutex> lock(mutex_);
		auto at = leases_.find(strtoll(r.path.c_str() + 12, nullptr, 10));

		if (at == leases_.end())
			return { 404, "{}", false };
		at->second.end_ms = now_ms() + at->second.ttl_ms;
		return { 200,
			 dump(json_pack("{s:I,s:I}", "lease",
					(json_int_t)at->first, "ttl_ms",
					(json_int_t)at->second.ttl_ms)),
			 false };
	}
	if (r.path.rfind("/v1/kv-lease-end/", 0) == 0) {
		{
			std::lock_guard<std::mutex> lock(mutex_);
			auto at = leases_.find(
				strtoll(r.path.c_str() + 17, nullptr, 10));

			if (at == leases_.end())
				return { 404, "{}", false };
			at->second.end_ms = 0;
		}
		expire();
		return {};
	}
	return { 400, "{}", false };
}

/* Minions */

gate_t::gate_t()
{
	server_ = std::make_unique<server_t>(
		"127.0.3.101", [this](const request_t &r) { return handle(r); });
}

void gate_t::set(minion_t *minion)
{
	{
		std::lock_guard<std::mutex> lock(mutex_);

		minion_ = minion;
	}
	server_->set_up(minion != nullptr);
}

void gate_t::hold_starts(int count, int64_t late_ms)
{
	std::lock_guard<std::mutex> lock(mutex_);

	held_ = count;
	late_ms_ = late_ms;
}

answer_t gate_t::handle(const request_t &r)
{
	minion_t *minion;

	{
		std::lock_guard<std::mutex> lock(mutex_);

		minion = minion_;
		if (r.path == "/v1/run-start" && held_ > 0) {
			int64_t late_ms = late_ms_;

			held_--;
			record("held up for %d ms: %s", (int)late_ms,
			       r.body.c_str());
			std::thread([this, r, late_ms] {
				minion_t *at;

				sleep_ms(late_ms);
				{
					std::lock_guard<std::mutex> again(
						mutex_);

					at = minion_;
				}
				record("delivered late: %s", r.body.c_str());
				if (at)
					record("its answer, which nobody gets: "
					       "%d", at->handle(r).status);
			}).detach();
			return { 0, "", true };
		}
	}
	return minion ? minion->handle(r) : answer_t{ 0, "", true };
}

minion_t::minion_t(store_t &store, machines_t &machines, std::string id,
		   std::string machine, std::string pool, int64_t cpu,
		   std::shared_ptr<gate_t> gate)
	: store_(store), machines_(machines), id_(std::move(id)),
	  machine_(std::move(machine)), pool_(std::move(pool)), cpu_(cpu),
	  born_ms_(wall_ms()), born_steady_ms_(now_ms()), gate_(std::move(gate))
{
	gate_->set(this);
}

void minion_t::ping()
{
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:s,s:I}",
		"service", pool_.c_str(), "address", gate_->address().c_str(),
		"zone", "z1", "version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", (json_int_t)cpu_,
		"mem_mb", 65536, "gpu", 0, "labels", "a", "r1-1", "clock_ms",
		(json_int_t)clock_ms(), "seq", (json_int_t)++seq_, "machine",
		machine_.c_str(), "born", (json_int_t)born_ms_);

	next_ping_ms_ = now_ms() + PING_MS;
	store_.put("servers/" + id_, dump(entry));
}

void minion_t::crash()
{
	std::lock_guard<std::mutex> lock(mutex_);

	if (!up_)
		return;
	up_ = false;
	gate_->set(nullptr);
	for (auto &run : runs_)
		machines_.note_end({ now_ms(), run.task, id_, "crashed",
				     run.run });
	runs_.clear();
	ended_.notify_all();
	record("minion %s on %s ends, with all its runs", id_.c_str(),
	       machine_.c_str());
}

void minion_t::forget()
{
	/* A later boot under its id has written it anew. */
	if (store_.get("servers/" + id_).find("\"born\":" +
					      std::to_string(born_ms_)) !=
	    std::string::npos)
		store_.remove("servers/" + id_);
}

bool minion_t::runs(const std::string &task)
{
	std::lock_guard<std::mutex> lock(mutex_);

	for (auto &run : runs_)
		if (run.task == task)
			return true;
	return false;
}

size_t minion_t::run_count()
{
	std::lock_guard<std::mutex> lock(mutex_);

	return runs_.size();
}

answer_t minion_t::answer(int status, const char *reason)
{
	json_t *body = json_pack("{s:I,s:I}", "clock_ms",
				 (json_int_t)clock_ms(), "born",
				 (json_int_t)born_ms_);

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	return { status, dump(body), false };
}

void minion_t::renew(json_t *body)
{
	int64_t deadline = int_of(body, "deadline_ms");

	deadline = std::min(deadline, clock_ms() + HOLD_MAX_MS);
	lease_end_ms_ = std::max(lease_end_ms_, deadline);
}

bool minion_t::fenced(json_t *body)
{
	int64_t fence = int_of(body, "fence_token");

	if (fence < fence_)
		return true;
	fence_ = fence;
	return false;
}

void minion_t::end_run(size_t index, const char *how)
{
	run_t run = runs_[index];

	runs_.erase(runs_.begin() + (long)index);
	ends_.push_back({ ++last_number_, run.task, run.run, how });
	over_[run.task] = std::max(over_[run.task], run.run);
	machines_.note_end({ now_ms(), run.task, id_, how, run.run });
	ended_.notify_all();
}

answer_t minion_t::start(json_t *body)
{
	std::string task = text_of(body, "task");
	std::string spec = text_of(body, "spec");
	uint32_t number = (uint32_t)int_of(body, "run");
	int64_t work_ms = strtoll(spec.c_str(), nullptr, 10);
	std::string own = task.substr(task.find('.', 17) + 1);

	/* A step may have a time of its own. */
	own = " step " + own.substr(0, own.find('.')) + ": ";
	if (spec.find(own) != std::string::npos)
		work_ms = strtoll(spec.c_str() + spec.find(own) + own.size(),
				  nullptr, 10);

	if (fenced(body))
		return answer(409, "fence");
	for (auto &run : runs_)
		if (run.task == task && run.run == number) {
			renew(body);
			return answer(200, nullptr);
		}
	if (over_.count(task) && number <= over_[task]) {
		renew(body);
		return answer(409, "old");
	}
	if (int_of(body, "deadline_ms") <= clock_ms())
		return answer(409, "late");
	renew(body);
	runs_.push_back({ task, number, now_ms(),
			  work_ms > 0 ? now_ms() + work_ms : INT64_MAX });
	machines_.note_start({ now_ms(), task, id_, number });
	return answer(200, nullptr);
}

answer_t minion_t::stop(json_t *body)
{
	std::string task = text_of(body, "task");
	uint32_t number = (uint32_t)int_of(body, "run");

	if (fenced(body))
		return answer(409, "fence");
	over_[task] = std::max(over_[task], number);
	for (size_t i = 0; i < runs_.size(); i++)
		if (runs_[i].task == task && runs_[i].run <= number) {
			end_run(i, "stopped");
			break;
		}
	return answer(200, nullptr);
}

answer_t minion_t::hold(json_t *body)
{
	std::unique_lock<std::mutex> lock(mutex_);
	int64_t seen = int_of(body, "last_seen");
	int64_t end = now_ms() + std::min<int64_t>(int_of(body, "wait_ms"), 2000);
	json_t *running, *ended, *out;

	if (fenced(body))
		return answer(409, "fence");
	renew(body);
	while (!ends_.empty() && ends_.front().number <= seen)
		ends_.erase(ends_.begin());
	while (up_ && ends_.empty() && now_ms() < end)
		ended_.wait_for(lock, std::chrono::milliseconds(
					      std::max<int64_t>(end - now_ms(),
								1)));
	if (!up_)
		return { 0, "", true };
	running = json_array();
	ended = json_array();
	for (auto &run : runs_) {
		int64_t length = run.end_ms - run.begun_ms;
		int64_t whole = run.end_ms == INT64_MAX ? STARTUP_MS : length;
		int percent = (int)std::min<int64_t>(
			100 * (now_ms() - run.begun_ms) /
				std::max<int64_t>(whole, 1),
			100);

		json_array_append_new(running,
				      json_pack("[s,I,s,i,i]", run.task.c_str(),
						(json_int_t)run.run, "",
						percent, 1000));
	}
	for (auto &e : ends_)
		json_array_append_new(
			ended, json_pack("[I,s,I,s,s]", (json_int_t)e.number,
					 e.task.c_str(), (json_int_t)e.run,
					 e.how.c_str(), ""));
	out = json_pack("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)clock_ms(),
			"born", (json_int_t)born_ms_, "running", running,
			"ended", ended);
	return { 200, dump(out), false };
}

answer_t minion_t::handle(const request_t &r)
{
	json_t *body;
	answer_t out = { 400, "{}", false };

	if (!up_)
		return { 0, "", true };
	if (r.headers.count("x-target-instance") &&
	    r.headers.at("x-target-instance") != id_)
		return { 421, "{}", false };
	body = json_loads(r.body.c_str(), 0, nullptr);
	if (r.path == "/v1/hold") {
		out = hold(body);
	} else if (r.path == "/v1/run-start") {
		std::lock_guard<std::mutex> lock(mutex_);

		out = up_ ? start(body) : answer_t{ 0, "", true };
	} else if (r.path == "/v1/run-stop") {
		std::lock_guard<std::mutex> lock(mutex_);

		out = up_ ? stop(body) : answer_t{ 0, "", true };
	} else if (r.path == "/v1/pace") {
		out = answer(200, nullptr);
	}
	json_decref(body);
	return out;
}

/* Called every 10 ms. */
void minion_t::tick()
{
	if (!up_)
		return;
	{
		std::lock_guard<std::mutex> lock(mutex_);

		for (size_t i = runs_.size(); i-- > 0;) {
			if (now_ms() >= runs_[i].end_ms)
				end_run(i, "done");
			else if (clock_ms() > lease_end_ms_)
				end_run(i, "lapsed");
		}
	}
	if (now_ms() >= next_ping_ms_)
		ping();
}

/* Machines */

machines_t::machines_t(store_t &store) : store_(store)
{
	server_ = std::make_unique<server_t>(
		"127.0.3.102", [this](const request_t &r) { return handle(r); });
	std::thread([this] {
		for (;;) {
			sleep_ms(10);
			tick();
		}
	}).detach();
}

void machines_t::boot(const std::string &name, machine_t &m)
{
	char id[32];

	snprintf(id, sizeof(id), "i-%08x", 0x10 + ++next_);
	m.state = "up";
	m.back_ms = 0;
	if (!m.same_id.empty())
		snprintf(id, sizeof(id), "%s", m.same_id.c_str());
	m.minion = std::make_shared<minion_t>(
		store_, *this, id, name, m.pool, m.cpu,
		m.gate ? m.gate : std::make_shared<gate_t>());
	m.same_id.clear();
	m.gate = nullptr;
	record("minion %s starts on %s for %s", id, name.c_str(),
	       m.pool.c_str());
}

std::string machines_t::add(const std::string &pool, int64_t cpu)
{
	std::lock_guard<std::mutex> lock(mutex_);
	char name[32];

	snprintf(name, sizeof(name), "m-%03zu", machines_.size() + 1);
	machine_t &m = machines_[name];
	m.pool = pool;
	m.cpu = cpu;
	boot(name, m);
	return name;
}

void machines_t::crash(const std::string &machine, int64_t back_ms, bool same_id)
{
	std::lock_guard<std::mutex> lock(mutex_);
	machine_t &m = machines_[machine];

	if (!m.minion)
		return;
	m.minion->crash();
	if (same_id) {
		m.same_id = m.minion->id();
		m.gate = m.minion->gate();
	}
	/* Its entry goes after three ping intervals of silence. */
	silent_.emplace_back(m.minion->next_ping_ms_ + 2 * PING_MS, m.minion);
	m.minion = nullptr;
	m.state = "down";
	m.back_ms = now_ms() + back_ms;
}

std::shared_ptr<minion_t> machines_t::runner(const std::string &task)
{
	std::lock_guard<std::mutex> lock(mutex_);

	for (auto &m : machines_)
		if (m.second.minion && m.second.minion->runs(task))
			return m.second.minion;
	return nullptr;
}

std::shared_ptr<minion_t> machines_t::minion(const std::string &machine)
{
	std::lock_guard<std::mutex> lock(mutex_);

	return machines_[machine].minion;
}

std::string machines_t::machine_of(const std::string &id)
{
	std::lock_guard<std::mutex> lock(mutex_);

	for (auto &m : machines_)
		if (m.second.minion && m.second.minion->id() == id)
			return m.first;
	return "";
}

void machines_t::tick()
{
	std::vector<std::shared_ptr<minion_t>> all;
	std::vector<std::shared_ptr<minion_t>> gone;

	{
		std::lock_guard<std::mutex> lock(mutex_);

		for (auto &m : machines_) {
			if (m.second.back_ms > 0 && now_ms() >= m.second.back_ms)
				boot(m.first, m.second);
			if (m.second.minion)
				all.push_back(m.second.minion);
		}
		for (size_t i = silent_.size(); i-- > 0;)
			if (now_ms() >= silent_[i].first) {
				gone.push_back(silent_[i].second);
				silent_.erase(silent_.begin() + (long)i);
			}
	}
	for (auto &m : all)
		m->tick();
	/* Threads may still be in it, so that it is kept. */
	static std::vector<std::shared_ptr<minion_t>> kept;
	for (auto &m : gone) {
		m->forget();
		kept.push_back(m);
	}
}

void machines_t::note_start(const start_t &start)
{
	std::lock_guard<std::mutex> lock(log_mutex_);

	starts_.push_back(start);
	if (brief)
		return;
	record("minion %s starts %s run %u", start.minion.c_str(),
	       start.task.c_str(), start.run);
}

void machines_t::note_end(const end_t &end)
{
	std::lock_guard<std::mutex> lock(log_mutex_);

	ends_.push_back(end);
	if (brief)
		return;
	record("minion %s: %s run %u ends %s", end.minion.c_str(),
	       end.task.c_str(), end.run, end.how.c_str());
}

std::vector<start_t> machines_t::starts()
{
	std::lock_guard<std::mutex> lock(log_mutex_);

	return starts_;
}

std::vector<end_t> machines_t::ends()
{
	std::lock_guard<std::mutex> lock(log_mutex_);

	return ends_;
}

int machines_t::upkeeps(const std::string &machine)
{
	std::lock_guard<std::mutex> lock(mutex_);

	return machines_[machine].upkeeps;
}

answer_t machines_t::handle(const request_t &r)
{
	std::lock_guard<std::mutex> lock(mutex_);
	json_t *body;
	std::string name;
	bool upkeep = r.path == "/v1/machine-upkeep";

	if (unavailable)
		return { 503, "{}", false };
	if (r.path == "/v1/machines") {
		json_t *list = json_array();

		lists_++;
		for (auto &m : machines_)
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:i,"
					  "s:i},s:s}",
					  "machine", m.first.c_str(), "pool",
					  m.second.pool.c_str(), "state",
					  m.second.state.c_str(), "zone", "z1",
					  "labels", "a", "r1-1", "capacity",
					  "cpu", (json_int_t)m.second.cpu,
					  "mem_mb", 65536, "gpu", 0, "id",
					  m.second.minion
						  ? m.second.minion->id().c_str()
						  : ""));
		return { 200,
			 dump(json_pack("{s:o,s:n}", "machines", list,
					"next_token")),
			 false };
	}
	body = json_loads(r.body.c_str(), 0, nullptr);
	name = text_of(body, "machine");
	std::string pool = upkeep ? "" : text_of(body, "pool");
	json_decref(body);
	if (!machines_.count(name))
		return { 400, "{}", false };
	machine_t &m = machines_[name];
	auto &fence = fences_[name];
	int64_t token = strtoll(r.headers.count("x-fencing-token")
					? r.headers.at("x-fencing-token").c_str()
					: "0",
				nullptr, 10);

	if (token < fence.first)
		return { 409, "{\"reason\":\"fence\"}", false };
	fence.first = token;
	record("%s orders %s of %s%s", r.headers.at("x-lease-holder").c_str(),
	       upkeep ? "the upkeep" : "the move", name.c_str(),
	       upkeep ? "" : (" to " + pool).c_str());
	if (!upkeep && m.pool == pool)
		return {};
	if (m.state != "up" || !m.minion)
		return { 409, "{\"reason\":\"busy\"}", false };
	m.minion->crash();
	silent_.emplace_back(now_ms(), m.minion);
	m.minion = nullptr;
	m.state = upkeep ? "upkeep" : "moving";
	m.back_ms = now_ms() + (upkeep ? UPKEEP_MS : MOVE_MS);
	if (upkeep)
		m.upkeeps++;
	else
		m.pool = pool;
	return {};
}

/* Nodes */

node_t::node_t(int number, const store_t &store, const machines_t &machines)
	: name_("front-" + std::to_string(number)),
	  ip_("127.0.3." + std::to_string(number)), front_(free_port(ip_)),
	  ready_(free_port(ip_)), store_(store.address()),
	  machines_(machines.address()), peers_(free_port(ip_)),
	  metrics_(free_port(ip_))
{
	const char *dir = getenv("CASE_TMP");

	settings_ = std::string(dir ? dir : "/tmp") + "/" + name_ + ".toml";
	log_ = std::string(dir ? dir : "/tmp") + "/" + name_ + ".log";
}

void node_t::start(bool first)
{
	const char *program = getenv("FLEETD");
	FILE *f = fopen(settings_.c_str(), "w");

	fprintf(f,
		"[node]\nname = \"%s\"\nzone = \"z1\"\nip = \"%s\"\n"
		"callers = \"%s:%d\"\nready = \"%s:%d\"\npeers_port = %d\n"
		"metrics_port = %d\n%s[platform]\nstore = \"%s\"\n"
		"lease_min_ms = 1000\nmachines = \"%s\"\n[limits]\n"
		"grant_max_ms = 10000\nstop_ms = 400\nremote_factor = 1.5\n"
		"keep_s = 120\ngrace_s = 6\nholder_ms = 3000\n"
		"config_apply_ms = 2000\nconfig_outage_ms = 5000\n[capacity]\n"
		"core_share = 0.25\ncores = 1\nmemory_mb = 260\n"
		"link_mbps = 1000.0\ndescriptors = 4100\n",
		name_.c_str(), ip_.c_str(), ip_.c_str(), front_, ip_.c_str(),
		ready_, peers_, metrics_, first ? "first_start = true\n" : "",
		store_.c_str(), machines_.c_str());
	fclose(f);
	std::lock_guard<std::mutex> lock(pids_mutex);

	pid_ = fork();
	if (pid_ == 0) {
		int fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl(program, program, "--settings", settings_.c_str(),
		      (char *)nullptr);
		_exit(127);
	}
	pids.insert(pid_);
	record("node %s starts", name_.c_str());
}

void node_t::signal(int number)
{
	record("signal %d to %s", number, name_.c_str());
	kill(pid_, number);
}

void node_t::join()
{
	waitpid(pid_, nullptr, 0);
	std::lock_guard<std::mutex> lock(pids_mutex);

	pids.erase(pid_);
}

bool node_t::ready() const
{
	std::string answer;

	return http_call(ip_, ready_, "GET", "/v1/readiness", "", &answer,
			 1000) == 200;
}

int node_t::call(const char *method, const std::string &path,
		 const std::string &body, std::string *answer) const
{
	std::string text;
	int status = http_call(ip_, front_, method, path, body, &text, 3000);

	record("requester: %s %s at %s -> %d %s", method, path.c_str(),
	       name_.c_str(), status, text.c_str());
	if (answer)
		*answer = text;
	return status;
}

int http_call(const std::string &ip, int port, const char *method,
	      const std::string &path, const std::string &body,
	      std::string *answer, int64_t timeout_ms)
{
	sockaddr_in in = {};
	timeval limit = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	std::string buffer, first, text;
	std::map<std::string, std::string> headers;
	int status = -1;

	in.sin_family = AF_INET;
	in.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &in.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (sockaddr *)&in, sizeof(in)) == 0 &&
	    send_all(fd, std::string(method) + " " + path +
				 " HTTP/1.1\r\nHost: " + host +
				 "\r\nX-Deadline-Remaining: " +
				 std::to_string(timeout_ms) +
				 "\r\nContent-Type: application/json"
				 "\r\nContent-Length: " +
				 std::to_string(body.size()) + "\r\n\r\n" +
				 body) &&
	    read_message(fd, buffer, first, headers, text)) {
		status = atoi(first.c_str() + 9);
		if (answer)
			*answer = text;
	}
	close(fd);
	return status;
}

} // namespace world
