/* test_e2e_retries.cc - end to end: retries in a chain of three services
 *
 * The last service cuts each answer short, so that every call fails.
 */
#include "e2e_retries.h"

TEST_F(Retries, OfCallersWithAnIdempotencyKey)
{
	run("&nest=/stock/list%3E/notice%3Fcut%3D1", true, "callers, key");
}

/* Each backend server of the chain also makes its nested call up to four
 * times. */
TEST_F(Retries, OfEachHop)
{
	run("&nest_retries=3&nest=/stock/list%3E/notice%3Fcut%3D1", true,
	    "callers and hops, key");
}
