/* test_log.cc - rate limit per event; a full pipe must not block */
#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <string>

#include "base/log.h"

namespace
{

class Log : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(0, pipe(fds));
		fcntl(fds[0], F_SETFL, O_NONBLOCK);
		fp_log_setup(FP_LOG_INFO, fds[1]);
	}

	void TearDown() override
	{
		fp_log_setup(FP_LOG_INFO, 2);
		close(fds[0]);
		close(fds[1]);
	}

	std::string drain()
	{
		std::string text;
		char buf[65536];
		ssize_t n;

		while ((n = read(fds[0], buf, sizeof(buf))) > 0)
			text.append(buf, (size_t)n);
		return text;
	}

	static size_t count(const std::string &text, const std::string &what)
	{
		size_t n = 0;

		for (size_t at = 0;
		     (at = text.find(what, at)) != std::string::npos; at++)
			n++;
		return n;
	}

	int fds[2];
};

TEST_F(Log, ExternalValueCannotForgeAField)
{
	char value[FP_LOG_VALUE_BYTES];

	EXPECT_STREQ("9c41-d0:7.b/e@",
		     fp_log_sanitize("9c41-d0:7.b/e@", value));
	EXPECT_STREQ("a_outcome_ran__x__",
		     fp_log_sanitize("a outcome=ran\t\"x\xff\x01", value));
	EXPECT_STREQ("", fp_log_sanitize("", value));
	EXPECT_EQ(
		FP_LOG_VALUE_BYTES - 1,
		strlen(fp_log_sanitize(std::string(500, 'z').c_str(), value)));
}

TEST_F(Log, ALineHasTimeLevelEventAndFields)
{
	fp_log(FP_LOG_WARN, "something", "id=%d why=%s", 7, "none");
	fp_log(FP_LOG_DEBUG, "unseen", "x=1");
	std::string text = drain();

	EXPECT_EQ(0u, text.find("time=20"));
	EXPECT_NE(std::string::npos,
		  text.find("level=warn event=something id=7 why=none\n"));
	EXPECT_EQ(std::string::npos, text.find("unseen"));
}

TEST_F(Log, RateLimitOfOneEventDoesNotAffectOthers)
{
	for (int i = 0; i < 5000; i++) {
		fp_log(FP_LOG_INFO, "flood", "i=%d", i);
		if (i % 100 == 0)
			drain();
	}
	fp_log(FP_LOG_INFO, "other", "x=1");
	std::string text = drain();

	EXPECT_LE(count(text, "event=flood"), 110u);
	EXPECT_EQ(1u, count(text, "event=other"));
	usleep(1100000);
	fp_log(FP_LOG_INFO, "other", "x=2");
	text = drain();
	EXPECT_EQ(1u, count(text, "event=log_lines_dropped of=flood lines="));
}

/* Guards against a log that blocks its writer when the pipe is full because it
 * is not read. The number of lost lines is logged later. */
TEST_F(Log, AFullPipeDoesNotBlockAndLostLinesAreCounted)
{
	std::string long_text(900, 'x');
	char name[16];
	auto began = std::chrono::steady_clock::now();

	for (int i = 0; i < 1000; i++) {
		snprintf(name, sizeof(name), "kind%d", i % 50);
		fp_log(FP_LOG_INFO, name, "text=%s", long_text.c_str());
	}
	EXPECT_LT(std::chrono::steady_clock::now() - began,
		  std::chrono::seconds(1));
	size_t n_written = count(drain(), "event=kind");
	EXPECT_LT(n_written, 1000u);
	fp_log(FP_LOG_INFO, "after", "x=1");
	std::string text = drain();
	EXPECT_NE(std::string::npos,
		  text.find("event=log_lines_lost lines=" +
			    std::to_string(1000 - n_written) + "\n"))
		<< text;
}

TEST_F(Log, ALongLineIsTruncatedAndTerminated)
{
	std::string long_text(5000, 'x');

	fp_log(FP_LOG_INFO, "long", "text=%s", long_text.c_str());
	std::string text = drain();

	EXPECT_LT(text.size(), 1300u);
	EXPECT_EQ('\n', text.back());
}

} // namespace
