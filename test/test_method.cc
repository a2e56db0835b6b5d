/* test_method.cc - a request runs with the method that was sent, or not at all */
#include "ends_sim.h"

#include <apr_general.h>

namespace
{

class Methods : public ends::World
{
      public:
	Methods() : World(1, getpid())
	{
	}
	/* Sends a request; returns its answer, and the request line that the
	 * server of that service got. */
	std::string send(const char *service, const std::string &method,
			 std::string *ran)
	{
		ends::Client *c = connect_to(nodes[0].get());
		std::string answer;

		c->reads = false; /* but by this function */
		c->stream.put(method + " /" + service +
			      "/unsafe/1 HTTP/1.1\r\nHost: h\r\n"
			      "Fulmarpass-Request-Id: " +
			      new_id() + "\r\nContent-Length: 2\r\n\r\nab");
		for (int i = 0; i < 100 && c->stream.open(); i++) {
			c->stream.move();
			turn(1);
			for (auto &n : nodes)
				while (!n->runs.empty()) {
					*ran = n->runs[0].line;
					this->answer(n.get(), 0);
				}
		}
		return c->stream.in.substr(0, 12);
	}
};

/* Guards against a method that is cut to a fixed size on its way in, to the other
 * node and to the worker. */
TEST(Method, IsPassedOnWholeOrRefused)
{
	fp_log_setup(FP_LOG_ERROR, STDERR_FILENO);
	ASSERT_EQ(APR_SUCCESS, apr_initialize());
	Methods w;

	for (const char *service : { "front", "deep" }) {
		for (const std::string &method :
		     { std::string("VERSION-CONTROL"),
		       std::string("BASELINE-CONTROL"),
		       std::string("UPDATEREDIRECTREF"),
		       std::string(63, 'M') }) {
			std::string ran;

			EXPECT_EQ("HTTP/1.1 200",
				  w.send(service, method, &ran));
			EXPECT_EQ(method + " /" + service +
					  "/unsafe/1 HTTP/1.1",
				  ran);
		}
		std::string ran;

		EXPECT_EQ("HTTP/1.1 400",
			  w.send(service, std::string(64, 'M'), &ran));
		EXPECT_EQ("", ran);
	}
	w.expect_nothing_left();
}

} // namespace
