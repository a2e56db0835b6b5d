/*
 * test_connection_ends.cc - connections that end at any moment
 *
 * Guards against a node that ends, or forgets a request, because a connection
 * ended while the transport walked its lists. FP_SEED plays one seed, FP_SEEDS
 * sets their number, FP_FIRST_SEED the first of them; FP_VERBOSE shows the lines
 * that the nodes log.
 */
#include "ends_sim.h"

#include <apr_general.h>
#include <sodium.h>

namespace
{

/* The source of the product's random numbers, so that a seed repeats. */
std::mt19937_64 product_random;

uint32_t next_random()
{
	return (uint32_t)product_random();
}

void fill_random(void *to, size_t n)
{
	for (size_t i = 0; i < n; i++)
		((uint8_t *)to)[i] = (uint8_t)product_random();
}

const char *source_name()
{
	return "seeded";
}

void seed_product(uint64_t seed)
{
	static struct randombytes_implementation source = {
		source_name, next_random, nullptr, nullptr, fill_random, nullptr
	};

	ASSERT_EQ(APR_SUCCESS, apr_initialize());
	randombytes_set_implementation(&source);
	product_random.seed(seed);
}

void play(uint64_t seed)
{
	seed_product(seed);
	ends::World w(seed, getpid());

	w.play(400);
	w.finish();
	w.expect_nothing_left();
	if (getenv("FP_VERBOSE"))
		printf("seed %d: %d answers, %d left, %d nested\n", (int)seed,
		       w.n_answers, w.n_left, w.n_nested);
}

uint64_t number(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, nullptr, 10) : otherwise;
}

std::vector<uint64_t> seeds()
{
	uint64_t one = number("FP_SEED", 0);
	uint64_t first = number("FP_FIRST_SEED", 1);
	uint64_t n = number("FP_SEEDS", 60);
	std::vector<uint64_t> all;

	if (one)
		return { one };
	for (uint64_t seed = first; seed < first + n; seed++)
		all.push_back(seed);
	/* Found a fault, as 13 and 44 did. */
	all.push_back(182);
	return all;
}

TEST(ConnectionEnds, AtAnyMomentLoseNothingElse)
{
	fp_log_setup(getenv("FP_VERBOSE") ? FP_LOG_INFO : FP_LOG_ERROR,
		     STDERR_FILENO);
	for (uint64_t seed : seeds()) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		/* Shown when a sanitizer ends the process. */
		fprintf(stderr, "seed %llu\n", (unsigned long long)seed);
		play(seed);
		if (HasFailure())
			break;
	}
}

/* Servers with one slot; the test says what happens. */
class ScriptedWorld : public ends::World
{
      public:
	ScriptedWorld() : World(1, getpid(), 1)
	{
	}
	ends::Client *send_get(size_t node, const char *id, int deadline_ms)
	{
		ends::Client *c = connect_to(nodes[node].get());

		c->ids.push_back(id);
		c->stream.put("GET /front/safe/1 HTTP/1.1\r\nHost: h\r\n"
			      "Fulmarpass-Request-Id: " +
			      std::string(id) + "\r\nFulmarpass-Deadline-Ms: " +
			      std::to_string(deadline_ms) + "\r\n\r\n");
		c->stream.move();
		turns(20, 1);
		return c;
	}
	void turns(int n, int ms)
	{
		for (int i = 0; i < n; i++)
			turn(ms);
	}
	/* The requests that the server of the first node runs. */
	std::string running()
	{
		std::string all;

		for (auto &r : nodes[0]->runs)
			all += r.id + " ";
		return all;
	}
	void answer_first()
	{
		answer(nodes[0].get(), 0);
		turns(20, 1);
	}
	/* The server announces that it takes no more requests. */
	void leave_server()
	{
		nodes[0]->state = "draining";
		announce(nodes[0].get());
		turns(20, 1);
	}
};

/* Guards against a call that is used after its end: its deadline cancels its
 * execution, the slot goes to another one, which is its parent by its id, cannot
 * run any more, and ends its nested calls. */
TEST(ConnectionEnds, ACallMayEndWhileItsAttemptIsCancelled)
{
	fp_log_setup(FP_LOG_ERROR, STDERR_FILENO);
	seed_product(1);
	ScriptedWorld w;

	w.send_get(0, "x", 3000);
	EXPECT_EQ("x ", w.running());
	w.send_get(1, "p", 3000);
	ends::Client *c = w.send_get(0, "p.1", 600);
	w.answer_first();
	EXPECT_EQ("p.1 ", w.running());
	w.leave_server();
	w.turns(100, 10);
	EXPECT_TRUE(c->ids.empty());
	w.finish();
	w.expect_nothing_left();
}

} // namespace
