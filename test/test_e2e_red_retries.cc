/* test_e2e_red_retries.cc - end to end: retries without Idempotency-Key
 *
 * Known failure: see KNOWN-RED.txt.
 */
#include "e2e_retries.h"

TEST_F(Retries, OfCallersWithoutAnIdempotencyKey)
{
	run("&nest=/stock/list%3E/notice%3Fcut%3D1", false, "callers");
}
