/* test_build.cc - objects in a build folder match the sources */
#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace
{

/* A small tree with this project's Makefile and one source, and its object. */
class Build : public testing::Test
{
      protected:
	void SetUp() override
	{
		char name[] = "/tmp/fp_build_XXXXXX";

		ASSERT_NE(mkdtemp(name), nullptr);
		dir = name;
		run("cp -r Makefile tools " + dir);
		run("mkdir -p " + dir + "/src/base " + dir + "/platform " +
		    dir + "/test " + dir + "/bench");
		write("one");
	}

	void TearDown() override
	{
		run("rm -rf " + dir);
	}

	static void run(const std::string &command)
	{
		EXPECT_EQ(system(command.c_str()), 0) << command;
	}

	void write(const std::string &text)
	{
		std::ofstream(dir + "/src/base/a.c")
			<< "const char *a_text = \"" << text << "\";\n";
	}

	/* Builds the object; MAKEFLAGS of the calling make do not apply. */
	void build()
	{
		run("cd " + dir +
		    " && env -u MAKEFLAGS -u MAKELEVEL make -s B=target "
		    "target/src/base/a.o >/dev/null");
	}

	bool object_has(const std::string &text) const
	{
		std::ifstream f(dir + "/target/src/base/a.o");
		std::stringstream all;

		all << f.rdbuf();
		return all.str().find(text) != std::string::npos;
	}

	std::string dir;
};

TEST_F(Build, AnObjectThatIsNewerThanItsChangedSourceIsBuiltAgain)
{
	build();
	EXPECT_TRUE(object_has("one"));
	write("two");
	run("touch -d '1 hour ago' " + dir + "/src/base/a.c");
	build();
	EXPECT_TRUE(object_has("two"));
}

/* As left by a build of a version that wrote no list of its sources. */
TEST_F(Build, ObjectsOfUnknownOriginAreBuiltAgain)
{
	build();
	run("rm -f " + dir + "/target/.sources");
	write("two");
	run("touch " + dir + "/target/src/base/a.o");
	build();
	EXPECT_TRUE(object_has("two"));
}

/* make does not look for missing objects of a program that seems up to date. */
TEST_F(Build, AProgramOfUnknownOriginIsBuiltAgain)
{
	run("mkdir -p " + dir + "/target && echo old >" + dir +
	    "/target/fulmarpass && chmod +x " + dir + "/target/fulmarpass");
	build();
	run("test ! -e " + dir + "/target/fulmarpass");
}

TEST_F(Build, ObjectsOfAnotherMachineAreBuiltAgain)
{
	build();
	run("cd " + dir +
	    " && touch target/src/base/a.o && "
	    "sed -i '1s/^/other-machine /' target/.sources && "
	    "echo stale >target/src/base/a.o && "
	    "touch -d '1 minute' target/src/base/a.o");
	build();
	EXPECT_TRUE(object_has("one"));
}

TEST_F(Build, UnchangedSourcesAreNotBuiltAgain)
{
	build();
	run("cd " + dir + " && echo kept >>target/src/base/a.o");
	build();
	EXPECT_TRUE(object_has("kept"));
}

TEST_F(Build, AnEditedSourceLeavesOtherObjects)
{
	build();
	run("cd " + dir + " && mkdir target/other && echo x >target/other/b.o");
	run("touch -d '1 minute ago' " + dir + "/target/src/base/a.o " + dir +
	    "/target/.sources");
	write("two");
	build();
	EXPECT_TRUE(object_has("two"));
	run("test -f " + dir + "/target/other/b.o");
}

} // namespace
