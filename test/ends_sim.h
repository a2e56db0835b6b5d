/*
 * ends_sim.h - nodes in one process, whose connections end at drawn moments
 *
 * Two nodes of one platform, with the real transport and call layer over
 * loopback, on a clock that the simulation advances. It is the server beside each
 * node, which makes nested calls on a connection that it keeps, and all clients.
 * It runs the loops itself, one turn at a time, so that an end can be drawn
 * between any two of them, and what is drawn depends on the seed alone.
 */
#ifndef FP_TEST_ENDS_SIM_H
#define FP_TEST_ENDS_SIM_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "node/traffic_private.h"
}
#include "base/log.h"
#include "platform/platform.h"

namespace ends
{

constexpr uint16_t CALLER_PORT = 8001, PEER_PORT = 8002, LOCAL_PORT = 8003,
		   SERVER_PORT = 9000;

inline struct sockaddr_in address(const std::string &ip, uint16_t port)
{
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &sin.sin_addr);
	return sin;
}

/* A socket that is never waited for. */
class Stream
{
      public:
	explicit Stream(int fd) : fd(fd)
	{
		int one = 1;

		/* What is sent must not wait for an acknowledgement, which
		 * takes real time. */
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}
	~Stream()
	{
		end();
	}
	Stream(const Stream &) = delete;
	Stream &operator=(const Stream &) = delete;

	void put(const std::string &text)
	{
		out += text;
	}
	/* Sends and receives what the socket takes and has. */
	void move()
	{
		char buf[65536];
		ssize_t n = -1;

		while (fd >= 0 && !out.empty() &&
		       (n = send(fd, out.data(), out.size(), MSG_NOSIGNAL)) > 0)
			out.erase(0, (size_t)n);
		while (fd >= 0 && (n = recv(fd, buf, sizeof(buf), 0)) > 0)
			in.append(buf, (size_t)n);
		if (fd >= 0 && (n == 0 || (errno != EAGAIN && errno != EINTR)))
			end();
	}
	void end()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	void reset()
	{
		struct linger now = { 1, 0 };

		if (fd >= 0)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
		end();
	}
	void half_close()
	{
		if (fd >= 0)
			shutdown(fd, SHUT_WR);
	}
	bool open() const
	{
		return fd >= 0;
	}

	std::string in, out;

      private:
	int fd;
};

/* A head and a body of known length at the start of a text. */
struct Message {
	std::string start, body;
	std::map<std::string, std::string> fields;
};

/* Takes a message off the start of a text; false: it is not whole. */
inline bool take_message(std::string *text, Message *m)
{
	size_t end = text->find("\r\n\r\n");
	size_t at;
	size_t body;

	if (end == std::string::npos)
		return false;
	*m = Message();
	m->start = text->substr(0, text->find("\r\n"));
	for (at = m->start.size() + 2; at < end + 2;) {
		size_t colon = text->find(": ", at);
		size_t line = text->find("\r\n", at);

		if (colon < line)
			m->fields[text->substr(at, colon - at)] =
				text->substr(colon + 2, line - colon - 2);
		at = line + 2;
	}
	body = m->fields.count("Content-Length") ?
		       std::stoul(m->fields["Content-Length"]) :
		       0;
	if (text->size() < end + 4 + body)
		return false;
	m->body = text->substr(end + 4, body);
	text->erase(0, end + 4 + body);
	return true;
}

/* A client of a node, which may be a server that makes nested calls. */
struct Client {
	explicit Client(int fd) : stream(fd)
	{
	}
	Stream stream;
	std::deque<std::string> ids; /* of requests without an answer yet */
	std::string later; /* rest of the last request */
	bool reads = true;
	bool left = false; /* half-closed */
};

/* A request that a server runs. */
struct Run {
	std::string id;
	std::string line; /* of the request */
	std::shared_ptr<Stream> stream;
	int n_calls = 0; /* times that it made nested calls */
};

class Node
{
      public:
	Node(const std::string &ip, const char *service, uint64_t id,
	     struct fp_clock *clock)
	    : ip(ip), id(id)
	{
		struct fp_traffic_hooks hooks = {};

		snprintf(settings.name, sizeof(settings.name), "n%d", (int)id);
		snprintf(settings.address, sizeof(settings.address), "%s",
			 ip.c_str());
		snprintf(settings.local_address, sizeof(settings.local_address),
			 "%s", ip.c_str());
		snprintf(settings.backend_address,
			 sizeof(settings.backend_address), "%s:%u", ip.c_str(),
			 (unsigned)SERVER_PORT);
		strcpy(settings.failure_domain, "d");
		strcpy(settings.region, "r");
		strcpy(settings.service, service);
		settings.http_port = CALLER_PORT;
		settings.peer_port = PEER_PORT;
		settings.local_port = LOCAL_PORT;
		settings.store_kind = FP_STORE_LEASES;
		settings.n_secrets = 1;
		settings.max_body_bytes = 1 << 20;
		settings.max_header_bytes = 16384;
		settings.max_held_bytes = 4 << 20;
		settings.max_connections = 24;
		settings.revoke_us = 5 * FP_US_PER_S;
		settings.grace_us = 6 * FP_US_PER_S;
		settings.retry_permille = 200;
		settings.retry_floor = 100;
		settings.retry_window_us = 10 * FP_US_PER_S;
		hooks.worker = [](void *, const struct fp_worker *) {};
		hooks.drained = [](void *) {};
		hooks.to_slice = [](void *, uint32_t, const void *, size_t) {};
		hooks.crash = [](void *, uint64_t, uint64_t) {};
		hooks.config_message = [](void *, const char *,
					  const struct fp_msg_shared *) {};
		counters = fp_counters_init();
		EXPECT_EQ(FP_OK,
			  fp_traffic_init(&settings, &platform_dialect, id,
					  clock, counters, &hooks, &t))
			<< fp_last_message();
		listen();
	}
	~Node()
	{
		close(listener);
		fp_traffic_end(t);
		fp_counters_end(counters);
	}
	Node(const Node &) = delete;
	Node &operator=(const Node &) = delete;

	/* Returns -1 if nothing listens there. */
	int dial(uint16_t port) const
	{
		struct sockaddr_in sin = address(ip, port);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
			return fd;
		close(fd);
		return -1;
	}
	void accept_streams()
	{
		int fd;

		while ((fd = accept4(listener, nullptr, nullptr,
				     SOCK_CLOEXEC)) >= 0)
			streams.push_back(std::make_shared<Stream>(fd));
	}

	std::string ip;
	uint64_t id;
	struct fp_settings settings = {};
	struct fp_counters *counters = nullptr;
	struct fp_traffic *t = nullptr;
	std::vector<std::shared_ptr<Stream>> streams; /* at the server */
	std::vector<Run> runs; /* that the server has not answered */
	Client *nested = nullptr; /* kept by the server for its calls */
	std::unique_ptr<Stream> announcer;
	uint64_t sequence = 0;
	const char *state = "ready"; /* that the server announces */

      private:
	void listen()
	{
		struct sockaddr_in sin = address(ip, SERVER_PORT);
		int one = 1;

		listener = socket(
			AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one,
			   sizeof(one));
		EXPECT_EQ(0,
			  bind(listener, (struct sockaddr *)&sin, sizeof(sin)));
		EXPECT_EQ(0, ::listen(listener, 128));
	}

	int listener = -1;
};

class World
{
      public:
	/* slots: of each server */
	World(uint64_t seed, int net, int slots = 6)
	    : slots(slots), random(seed)
	{
		std::string base = "127." + std::to_string(100 + net % 150) +
				   "." + std::to_string(net / 150 % 250 + 1) +
				   ".";

		fp_manual_clock_init(&clock, 1000 * FP_US_PER_S);
		nodes.push_back(std::make_unique<Node>(base + "2", "front", 1,
						       &clock.clock));
		nodes.push_back(std::make_unique<Node>(base + "3", "deep", 2,
						       &clock.clock));
		for (auto &n : nodes)
			n->announcer =
				std::make_unique<Stream>(n->dial(LOCAL_PORT));
		set_config();
		set_members();
		for (int i = 0; i < 20; i++)
			turn(10);
	}

	/* Draws what happens next, several times. */
	void play(int n_steps)
	{
		for (int i = 0; i < n_steps; i++) {
			draw();
			for (int k = 1 + pick(3); k > 0; k--)
				turn(one_in(3) ? pick(8) : 0);
		}
	}

	/* Lets the servers answer all, and checks that what was asked on
	 * connections that are still open is answered or closed. */
	void finish()
	{
		for (auto &c : clients)
			c.reads = true;
		turn_until([&] {
			for (auto &c : clients)
				send_rest(&c);
			for (auto &n : nodes)
				while (!n->runs.empty())
					answer(n.get(), 0);
			return !waiting_client();
		});
		Client *c = waiting_client();
		EXPECT_EQ(nullptr, c) << "no answer to " << c->ids.front();
	}

	/* Ends all connections; then nothing may be left. */
	void expect_nothing_left()
	{
		for (auto &c : clients)
			c.stream.end();
		for (auto &n : nodes) {
			n->streams.clear();
			n->runs.clear();
		}
		for (auto &n : nodes)
			n->announcer->end();
		turn_until([&] {
			return std::all_of(
				nodes.begin(), nodes.end(),
				[](const auto &n) { return is_idle(n->t); });
		});
		for (auto &n : nodes) {
			struct fp_byte_totals held;

			fp_byte_read_totals(n->t->bytes, &held);
			EXPECT_EQ(0u, n->t->n_calls);
			EXPECT_EQ(0u, n->t->n_executions);
			EXPECT_EQ(0u,
				  fp_http_server_open_exchanges(n->t->callers));
			EXPECT_EQ(0u,
				  fp_http_server_open_exchanges(n->t->local));
			EXPECT_EQ(0u, fp_http_client_held_bytes(n->t->client));
			EXPECT_EQ(0u, held.held_bytes);
		}
	}

	int n_answers = 0, n_left = 0, n_nested = 0;

      protected:
	int pick(int n)
	{
		return (int)(random() % (uint64_t)n);
	}
	bool one_in(int n)
	{
		return pick(n) == 0;
	}
	std::string new_id()
	{
		return "q" + std::to_string(++last_id);
	}

	/* Turns for 8 s of the clock, and for longer while done() is false: a
	 * socket may hold data back for a moment of real time, and the HTTP
	 * library has a clock of its own. */
	void turn_until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 3000 && (!done() || i < 160); i++) {
			if (i >= 160)
				usleep(1000);
			turn(50);
		}
	}
	static bool is_idle(struct fp_traffic *t)
	{
		return !t->n_calls && !t->n_executions &&
		       !fp_http_server_open_exchanges(t->callers) &&
		       !fp_http_server_open_exchanges(t->local);
	}
	/* An open connection with a request that is not answered, or nullptr.
	 * A node waits longer for a request that is never complete. */
	Client *waiting_client()
	{
		for (auto &c : clients)
			if (!c.ids.empty() && c.stream.open() &&
			    (!c.left || c.later.empty()))
				return &c;
		return nullptr;
	}

	/* --- the nodes --- */

	void set_config()
	{
		std::string text = "{\"version\":\"r" +
				   std::to_string(++revision) +
				   "\",\"routes\":{";

		for (const char *service : { "front", "deep" })
			for (const char *kind : { "safe", "unsafe" })
				text += std::string(text.back() == '{' ? "" :
									 ",") +
					"\"" + service + "-" + kind +
					"\":{\"hostname\":\"h\",\"pathPrefix\":"
					"\"/" +
					service + "/" + kind +
					"/\",\"kind\":\"" + kind +
					"\",\"timeout\":\"3s\","
					"\"targetLatency\":\"500ms\","
					"\"priority\":1,\"service\":\"" +
					service +
					"\",\"maxAttempts\":2,\"public\":true}";
		text += "},\"services\":{},\"limits\":{},\"tenants\":{}}";
		for (auto &n : nodes) {
			struct fp_config *c = nullptr;

			ASSERT_EQ(FP_OK,
				  platform_config(text.data(), text.size(), &c))
				<< fp_last_message();
			fp_traffic_set_config(n->t, c);
		}
	}
	void set_members()
	{
		size_t n = nodes.size();

		for (auto &to : nodes) {
			auto *m = (struct fp_member_table *)calloc(
				1, sizeof(struct fp_member_table) +
					   n * sizeof(struct fp_member));

			m->n = (uint32_t)n;
			for (size_t i = 0; i < n; i++) {
				const Node &of = *nodes[i];
				struct fp_member *k = &m->members[i];

				k->id = of.id;
				strcpy(k->name, of.settings.name);
				snprintf(k->peer_addr, sizeof(k->peer_addr),
					 "%s:%u", of.ip.c_str(),
					 (unsigned)PEER_PORT);
				strcpy(k->failure_domain, "d");
				strcpy(k->region, "r");
				strcpy(k->service, of.settings.service);
				k->slots = (uint32_t)slots;
				k->serving = true;
			}
			fp_traffic_set_members(to->t, m);
		}
	}
	void announce(Node *n)
	{
		std::string body =
			std::string("{\"service\":\"") + n->settings.service +
			"\",\"address\":\"" + n->settings.backend_address +
			"\",\"zone\":\"d\",\"version\":\"v\",\"slots\":" +
			std::to_string(slots) + ",\"state\":\"" + n->state +
			"\",\"coldRemaining\":\"0ms\","
			"\"sequence\":" +
			std::to_string(++n->sequence) + ",\"born\":1000}";

		if (!n->announcer->open())
			return;
		n->announcer->put("PUT /instances/i HTTP/1.1\r\nHost: h\r\n"
				  "Content-Length: " +
				  std::to_string(body.size()) + "\r\n\r\n" +
				  body);
		n->announcer->move();
		n->announcer->in.clear();
	}

	/* One turn of each loop, then what has arrived is read. */
	void turn(int ms)
	{
		fp_manual_clock_advance(&clock, ms * FP_US_PER_MS);
		if (clock.now_us >= announce_us) {
			announce_us = clock.now_us + FP_US_PER_S / 2;
			for (auto &n : nodes)
				announce(n.get());
		}
		for (auto &n : nodes)
			fp_loop_run_once(n->t->loop, 0);
		for (auto &n : nodes)
			serve(n.get());
		for (auto &c : clients)
			read_answers(&c);
	}

	/* --- the servers --- */

	void serve(Node *n)
	{
		Message m;

		n->accept_streams();
		for (auto &s : n->streams) {
			s->move();
			while (take_message(&s->in, &m)) {
				Run r;

				r.id = m.fields["Fulmarpass-Request-Id"];
				r.line = m.start;
				r.stream = s;
				n->runs.push_back(r);
				if (m.start.find("/unsafe/") != m.start.npos) {
					EXPECT_EQ(1, ++n_runs[r.id]) << r.id;
				}
			}
		}
		for (size_t i = 0; i < n->streams.size();)
			if (n->streams[i]->open())
				i++;
			else
				n->streams.erase(n->streams.begin() + (long)i);
	}
	Run take_run(Node *n, size_t i)
	{
		Run r = n->runs[i];

		n->runs.erase(n->runs.begin() + (long)i);
		return r;
	}
	static std::string answer_text(const std::string &id, size_t bytes)
	{
		std::string body = id + " ";

		body.append(bytes, 'x');
		return "HTTP/1.1 200 OK\r\nFulmarpass-Request-Id: " + id +
		       "\r\nContent-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}
	void answer(Node *n, size_t i)
	{
		Run r = take_run(n, i);

		r.stream->put(answer_text(r.id, one_in(8) ? 200000 :
							    (size_t)pick(9)));
		r.stream->move();
	}
	/* Ends the connection of a run before, or within, its answer. */
	void break_run(Node *n, size_t i)
	{
		Run r = take_run(n, i);
		std::string text = answer_text(r.id, 20);

		if (one_in(2)) {
			r.stream->put(
				text.substr(0, (size_t)pick((int)text.size())));
			r.stream->move();
		}
		if (one_in(2))
			r.stream->end();
		else
			r.stream->reset();
	}
	void refuse_run(Node *n, size_t i)
	{
		Run r = take_run(n, i);

		r.stream->put("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
			      "Fulmarpass-Request-Id: " +
			      r.id + "\r\nFulmarpass-Not-Executed: 1\r\n\r\n");
		r.stream->move();
	}
	/* Makes nested calls of a run on the connection that is kept for them. */
	void call_nested(Node *n, size_t i)
	{
		Run &r = n->runs[i];

		if (r.n_calls >= 2)
			return;
		if (!n->nested || !n->nested->stream.open() || n->nested->left)
			n->nested = connect_to(n);
		if (!n->nested->stream.open())
			return;
		for (int k = 1 + pick(3); k > 0; k--)
			ask(n->nested, r.id + "." + std::to_string(++last_id));
		r.n_calls++;
		n_nested++;
	}

	/* --- the clients --- */

	Client *connect_to(Node *n)
	{
		clients.emplace_back(n->dial(CALLER_PORT));
		return &clients.back();
	}
	/* Sends a request, perhaps only the start of it. */
	void ask(Client *c, const std::string &id)
	{
		static const char *const methods[] = { "GET", "GET", "GET",
						       "POST", "PUT" };
		const char *method = methods[pick(5)];
		bool safe = !one_in(4);
		std::string text = std::string(method) + " /" +
				   (one_in(2) ? "front" : "deep") +
				   (safe ? "/safe/" : "/unsafe/") +
				   std::to_string(pick(100)) +
				   " HTTP/1.1\r\nHost: h\r\n"
				   "Fulmarpass-Request-Id: " +
				   id + "\r\n";
		std::string body;

		if (one_in(3))
			text += "Fulmarpass-Deadline-Ms: " +
				std::to_string(50 + pick(2500)) + "\r\n";
		if (method[0] == 'P') {
			body.append(one_in(6) ? 150000 : (size_t)pick(40), 'b');
			text += "Content-Length: " +
				std::to_string(body.size()) + "\r\n";
		}
		text = c->later + text + "\r\n" + body;
		c->later.clear();
		if (one_in(5)) {
			size_t n = 1 + (size_t)pick((int)text.size());

			c->later = text.substr(n);
			text.resize(n);
		}
		c->ids.push_back(id);
		c->stream.put(text);
		c->stream.move();
	}
	static void send_rest(Client *c)
	{
		if (c->left)
			return;
		c->stream.put(c->later);
		c->later.clear();
	}
	void read_answers(Client *c)
	{
		Message m;

		if (!c->reads)
			return;
		c->stream.move();
		while (take_message(&c->stream.in, &m)) {
			if (m.start.find(" 100") != m.start.npos)
				continue;
			ASSERT_FALSE(c->ids.empty()) << m.start;
			if (m.start.find(" 200") != m.start.npos) {
				EXPECT_EQ(c->ids.front(),
					  m.body.substr(0, m.body.find(' ')));
			}
			c->ids.pop_front();
			n_answers++;
		}
	}
	Client *some_client()
	{
		size_t n = (size_t)std::count_if(
			clients.begin(), clients.end(), [](const Client &c) {
				return c.stream.open() && !c.left;
			});

		if (!n)
			return nullptr;
		n = (size_t)pick((int)n);
		for (auto &c : clients)
			if (c.stream.open() && !c.left && !n--)
				return &c;
		return nullptr;
	}
	void leave(Client *c)
	{
		n_left++;
		switch (pick(3)) {
		case 0:
			c->stream.end();
			break;
		case 1:
			c->stream.reset();
			break;
		default:
			c->stream.half_close();
			c->left = true;
		}
	}

	/* --- what happens --- */

	void draw_at_server(Node *n)
	{
		size_t i;

		if (n->runs.empty())
			return;
		i = (size_t)pick((int)n->runs.size());
		switch (pick(10)) {
		case 0:
			break_run(n, i);
			break;
		case 1:
			refuse_run(n, i);
			break;
		case 2:
		case 3:
		case 4:
			answer(n, i);
			break;
		default:
			call_nested(n, i);
		}
	}
	void draw_at_client()
	{
		Client *c = one_in(3) ? nullptr : some_client();

		if (!c)
			c = connect_to(nodes[(size_t)pick(2)].get());
		if (!c->stream.open())
			return;
		for (int k = 1 + pick(3); k > 0; k--)
			ask(c, new_id());
	}
	/* Closes a link between the nodes, at one of its ends. */
	void drop_link()
	{
		size_t i = (size_t)pick(2);
		std::string addr =
			nodes[1 - i]->ip + ":" + std::to_string(PEER_PORT);
		struct fp_peer_link *l =
			fp_peer_link_to(nodes[i]->t->peers, addr.c_str());

		if (l)
			fp_peer_drop(l, "test");
	}
	void draw_rare()
	{
		static const int jumps_ms[] = { 100, 100, 400, 1700 };
		Client *c;

		switch (pick(16)) {
		case 0:
			set_config();
			break;
		case 1:
			drop_link();
			break;
		case 2:
			if (one_in(12))
				fp_traffic_drain(nodes[(size_t)pick(2)]->t);
			break;
		case 3:
			c = some_client();
			if (c)
				c->reads = !c->reads;
			break;
		case 4:
			set_members();
			break;
		default:
			turn(jumps_ms[pick(4)]);
		}
	}
	void draw()
	{
		Client *c;

		switch (pick(8)) {
		case 0:
		case 1:
			draw_at_client();
			break;
		case 2:
		case 3:
		case 4:
			draw_at_server(nodes[(size_t)pick(2)].get());
			break;
		case 5:
			c = some_client();
			if (c)
				leave(c);
			break;
		case 6:
			c = some_client();
			if (c)
				send_rest(c);
			break;
		default:
			draw_rare();
		}
	}

	int slots;
	std::mt19937_64 random;
	struct fp_manual_clock clock;
	std::vector<std::unique_ptr<Node>> nodes;
	std::list<Client> clients;
	std::map<std::string, int> n_runs; /* of unsafe requests */
	int64_t announce_us = 0;
	uint64_t last_id = 0;
	int revision = 0;
};

} // namespace ends

#endif
