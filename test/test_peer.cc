/* test_peer.cc - links between nodes: handshake, frame order, lost links */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <vector>

#include "base/counters.h"
#include "transport/peer.h"
#include "transport/peer_crypto.h"

/* One node, with the frames and events that its links delivered. */
struct End {
	struct fp_peer_net *net = nullptr;
	std::string addr;
	std::vector<std::string> frames;
	int ups = 0;
	int downs_after_up = 0;
	int rooms = 0;
	int downs_before_up = 0;
	struct fp_peer_link *last = nullptr;
};

static void on_frame(void *ctx, struct fp_peer_link *link, const uint8_t *d,
		     size_t n)
{
	End *e = (End *)ctx;

	e->frames.emplace_back((const char *)d, n);
	e->last = link;
}

static void on_up(void *ctx, struct fp_peer_link *link)
{
	((End *)ctx)->ups++;
	((End *)ctx)->last = link;
}

static void on_down(void *ctx, struct fp_peer_link *link, bool was_up)
{
	(void)link;
	(was_up ? ((End *)ctx)->downs_after_up :
		  ((End *)ctx)->downs_before_up)++;
}

static void on_room(void *ctx, struct fp_peer_link *link)
{
	EXPECT_TRUE(fp_peer_has_room(link));
	((End *)ctx)->rooms++;
}

class Peer : public ::testing::Test
{
      protected:
	struct fp_loop *loop = nullptr;
	struct fp_counters *cs = nullptr;
	End a, b;

	void SetUp() override
	{
		ASSERT_GE(sodium_init(), 0);
		cs = fp_counters_init();
		ASSERT_EQ(FP_OK, fp_loop_init(fp_system_clock(), &loop));
	}

	void open(End &e, std::vector<uint8_t> secret_bytes, uint64_t id)
	{
		uint8_t secrets[4][FP_PEER_SECRET_BYTES];
		struct fp_peer_config cfg = {};
		struct fp_peer_handler h = { on_frame, on_up, on_down, on_room,
					     &e };
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		/* Finds a free port by binding it once. */
		sin.sin_family = AF_INET;
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		ASSERT_EQ(0, bind(fd, (struct sockaddr *)&sin, sizeof(sin)));
		getsockname(fd, (struct sockaddr *)&sin, &len);
		close(fd);
		for (size_t i = 0; i < secret_bytes.size(); i++)
			memset(secrets[i], secret_bytes[i], sizeof(secrets[i]));
		cfg.address = "127.0.0.1";
		cfg.port = ntohs(sin.sin_port);
		cfg.id = id;
		cfg.secrets = secrets;
		cfg.n_secrets = (uint32_t)secret_bytes.size();
		cfg.max_frame_bytes = 1 << 20;
		cfg.counters = cs;
		cfg.counter_label = "";
		ASSERT_EQ(FP_OK, fp_peer_init(loop, &cfg, &h, &e.net))
			<< fp_last_message();
		e.addr = "127.0.0.1:" + std::to_string(cfg.port);
	}

	template <typename F> bool run_until(F cond, int ms = 5000)
	{
		int64_t end = fp_mono_us(fp_system_clock()) + ms * 1000;

		while (!cond() && fp_mono_us(fp_system_clock()) < end)
			fp_loop_run_once(loop, 10000);
		return cond();
	}

	void TearDown() override
	{
		fp_peer_end(a.net);
		fp_peer_end(b.net);
		fp_loop_end(loop);
		fp_counters_end(cs);
	}
};

TEST_F(Peer, ALinkSaysWhenItHasRoomAgain)
{
	open(a, { 1 }, 11);
	open(b, { 1 }, 22);
	struct fp_peer_link *l = fp_peer_link_to(a.net, b.addr.c_str());
	std::string large(900000, 'z');

	ASSERT_NE(nullptr, l);
	EXPECT_FALSE(fp_peer_has_room(l)); /* not up */
	ASSERT_TRUE(run_until([&] { return fp_peer_is_up(l); }));
	EXPECT_TRUE(fp_peer_has_room(l));
	while (fp_peer_has_room(l))
		ASSERT_EQ(FP_OK, fp_peer_send(l, large.data(), large.size()));
	a.rooms = 0;
	EXPECT_TRUE(run_until([&] { return a.rooms > 0; }));
}

TEST_F(Peer, FramesArriveCompleteAndInOrderBothWays)
{
	open(a, { 1 }, 11);
	open(b, { 1 }, 22);
	struct fp_peer_link *l = fp_peer_link_to(a.net, b.addr.c_str());
	std::string large(900000, 'z');

	ASSERT_NE(nullptr, l);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(FP_OK, fp_peer_send(l, &i, sizeof(i)));
	EXPECT_EQ(FP_OK, fp_peer_send(l, large.data(), large.size()));
	ASSERT_TRUE(run_until([&] { return b.frames.size() == 101; }));
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(0, memcmp(&i, b.frames[i].data(), sizeof(i)));
	EXPECT_EQ(large, b.frames[100]);
	EXPECT_EQ(11u, fp_peer_identity(b.last)->id);
	EXPECT_EQ(a.addr, fp_peer_identity(b.last)->addr);
	/* The reply uses the same link. */
	EXPECT_EQ(b.last, fp_peer_link_to(b.net, a.addr.c_str()));
	EXPECT_EQ(FP_OK, fp_peer_send(b.last, "back", 4));
	ASSERT_TRUE(run_until([&] { return a.frames.size() == 1; }));
	EXPECT_EQ("back", a.frames[0]);
}

/* Guards against a handler that is called, and ends calls, while the function that
 * dropped the link still uses them. */
TEST_F(Peer, ADroppedLinkIsReportedOnceAndByTheLoop)
{
	open(a, { 1 }, 11);
	open(b, { 1 }, 22);
	struct fp_peer_link *l = fp_peer_link_to(a.net, b.addr.c_str());

	ASSERT_NE(nullptr, l);
	ASSERT_TRUE(run_until([&] { return a.ups == 1 && b.ups == 1; }));
	fp_peer_drop(l, "test");
	fp_peer_drop(l, "test");
	EXPECT_EQ(0, a.downs_after_up);
	EXPECT_FALSE(fp_peer_is_up(l));
	EXPECT_EQ(FP_UNAVAILABLE, fp_peer_send(l, "x", 1));
	EXPECT_NE(l, fp_peer_link_to(a.net, b.addr.c_str()));
	ASSERT_TRUE(run_until([&] { return a.ups == 2 && b.ups == 2; }));
	EXPECT_EQ(1, a.downs_after_up);
	EXPECT_EQ(1, b.downs_after_up);
}

TEST_F(Peer, WrongSecretNeverComesUp)
{
	open(a, { 1 }, 11);
	open(b, { 2 }, 22);
	struct fp_peer_link *l = fp_peer_link_to(a.net, b.addr.c_str());

	EXPECT_EQ(FP_OK, fp_peer_send(l, "x", 1));
	ASSERT_TRUE(run_until([&] { return a.downs_before_up == 1; }));
	EXPECT_EQ(0, a.ups + b.ups + a.downs_after_up);
	EXPECT_TRUE(b.frames.empty());
	EXPECT_GE(fp_counter_value(fp_counter_get(
			  cs, "fulmar_peer_bad_proofs_total", "")),
		  1);
}

TEST_F(Peer, SecretIsReplacedInThreeStepsWithoutARestart)
{
	uint8_t both[2][FP_PEER_SECRET_BYTES];

	open(a, { 1, 2 }, 11); /* step 1: also accepts secret 2 */
	open(b, { 2, 1 }, 22); /* step 2: authenticates with 2 */
	EXPECT_EQ(FP_OK,
		  fp_peer_send(fp_peer_link_to(a.net, b.addr.c_str()), "1", 1));
	ASSERT_TRUE(run_until([&] { return b.frames.size() == 1; }));
	memset(both[0], 2, sizeof(both[0]));
	fp_peer_set_secrets(a.net, both, 1);
	EXPECT_EQ(FP_OK,
		  fp_peer_send(fp_peer_link_to(a.net, b.addr.c_str()), "2", 1));
	ASSERT_TRUE(run_until([&] { return b.frames.size() == 2; }));
}

TEST_F(Peer, SilentLinkIsDroppedAndANewOneWorks)
{
	open(a, { 1 }, 11);
	open(b, { 1 }, 22);
	/* A listener that accepts connections and never sends anything. */
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sin = {};
	socklen_t len = sizeof(sin);

	sin.sin_family = AF_INET;
	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	ASSERT_EQ(0, bind(fd, (struct sockaddr *)&sin, sizeof(sin)));
	ASSERT_EQ(0, listen(fd, 5));
	getsockname(fd, (struct sockaddr *)&sin, &len);
	std::string silent = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	EXPECT_EQ(FP_OK,
		  fp_peer_send(fp_peer_link_to(a.net, silent.c_str()), "x", 1));
	ASSERT_TRUE(run_until([&] { return a.downs_before_up == 1; }, 4000));
	close(fd);
	EXPECT_EQ(FP_OK,
		  fp_peer_send(fp_peer_link_to(a.net, b.addr.c_str()), "y", 1));
	ASSERT_TRUE(run_until([&] { return b.frames.size() == 1; }));
}

/* Forwards connections to a port; can silently discard the data of an open
 * connection, like a network device that lost its state. */
struct Relay {
	struct fp_loop *loop;
	int fd = -1;
	std::string addr, target;
	struct fp_watch *watch = nullptr;
	struct Pair {
		Relay *relay;
		int fds[2];
		struct fp_watch *watches[2];
		bool discarding;
	};
	std::vector<Pair *> pairs;

	static int dial(const std::string &to)
	{
		struct sockaddr_in sin = {};
		int s = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port =
			htons((uint16_t)atoi(strchr(to.c_str(), ':') + 1));
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		if (connect(s, (struct sockaddr *)&sin, sizeof(sin)) != 0)
			abort();
		return s;
	}

	static void forward(void *ctx, uint32_t events)
	{
		Pair *p = (Pair *)ctx;
		char buf[65536];
		ssize_t n;

		(void)events;
		for (int i = 0; i < 2; i++)
			while ((n = recv(p->fds[i], buf, sizeof(buf),
					 MSG_DONTWAIT)) > 0)
				if (!p->discarding)
					(void)!send(p->fds[1 - i], buf,
						    (size_t)n, MSG_NOSIGNAL);
	}

	static void accepted(void *ctx, uint32_t events)
	{
		Relay *r = (Relay *)ctx;
		Pair *p = new Pair{ r, { -1, -1 }, {}, false };

		(void)events;
		p->fds[0] = accept(r->fd, nullptr, nullptr);
		p->fds[1] = dial(r->target);
		for (int i = 0; i < 2; i++)
			fp_watch_add(r->loop, p->fds[i], FP_READABLE, forward,
				     p, &p->watches[i]);
		r->pairs.push_back(p);
	}

	void open(struct fp_loop *l, const std::string &to)
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		loop = l;
		target = to;
		fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		ASSERT_EQ(0, bind(fd, (struct sockaddr *)&sin, sizeof(sin)));
		ASSERT_EQ(0, listen(fd, 5));
		getsockname(fd, (struct sockaddr *)&sin, &len);
		addr = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
		fp_watch_add(l, fd, FP_READABLE, accepted, this, &watch);
	}

	void end()
	{
		for (Pair *p : pairs) {
			for (int i = 0; i < 2; i++) {
				fp_watch_del(p->watches[i]);
				close(p->fds[i]);
			}
			delete p;
		}
		fp_watch_del(watch);
		close(fd);
	}
};

TEST_F(Peer, LinkWhoseDataIsDiscardedIsClosedAndANewOneWorks)
{
	Relay relay;

	open(a, { 1 }, 11);
	open(b, { 1 }, 22);
	relay.open(loop, b.addr);
	struct fp_peer_link *old = fp_peer_link_to(a.net, relay.addr.c_str());

	fp_peer_send(old, "1", 1);
	ASSERT_TRUE(run_until([&] { return b.frames.size() == 1; }));
	relay.pairs[0]->discarding = true;
	fp_peer_send(old, "lost", 4);
	ASSERT_TRUE(run_until([&] { return a.downs_after_up == 1; }, 4000));
	ASSERT_TRUE(run_until([&] { return b.downs_after_up == 1; }, 4000));
	struct fp_peer_link *replacement =
		fp_peer_link_to(a.net, relay.addr.c_str());

	EXPECT_EQ(FP_OK, fp_peer_send(replacement, "2", 1));
	ASSERT_TRUE(run_until([&] { return b.frames.size() == 2; }));
	EXPECT_EQ("2", b.frames[1]);
	relay.end();
}

TEST_F(Peer, LimitsAreReported)
{
	open(a, { 1 }, 11);
	open(b, { 1 }, 22);
	struct fp_peer_link *l = fp_peer_link_to(a.net, b.addr.c_str());
	std::string large((1 << 20) + 1, 'z');

	EXPECT_EQ(FP_INVALID, fp_peer_send(l, large.data(), large.size()));
	large.resize(1 << 20);
	for (int i = 0; i < 8; i++)
		fp_peer_send(l, large.data(), large.size());
	EXPECT_EQ(FP_FULL, fp_peer_send(l, large.data(), large.size()));
	EXPECT_EQ(nullptr, fp_peer_link_to(a.net, "127.0.0.1"));
	EXPECT_EQ(nullptr, fp_peer_link_to(a.net, "x:1"));
}

TEST(PeerProof, IsInvalidOnAnyOtherLink)
{
	struct fp_transcript t = {};
	struct fp_transcript other;
	uint8_t secret[32] = { 7 };
	uint8_t proof[FP_PROOF_BYTES];

	t.dial_id = 1;
	t.accept_id = 2;
	fp_proof_make(secret, &t, FP_DIALER, proof);
	EXPECT_EQ(FP_OK, fp_proof_check(secret, &t, FP_DIALER, proof));
	/* Reflected, replayed with a new nonce, from another identity, and with
	 * another secret. */
	EXPECT_EQ(FP_DENIED, fp_proof_check(secret, &t, FP_ACCEPTOR, proof));
	other = t;
	other.accept_nonce[0] ^= 1;
	EXPECT_EQ(FP_DENIED, fp_proof_check(secret, &other, FP_DIALER, proof));
	other = t;
	other.dial_id = 3;
	EXPECT_EQ(FP_DENIED, fp_proof_check(secret, &other, FP_DIALER, proof));
	secret[0] = 8;
	EXPECT_EQ(FP_DENIED, fp_proof_check(secret, &t, FP_DIALER, proof));
}
