/* fit.h - least-squares fit of a line */
#ifndef BENCH_FIT_H
#define BENCH_FIT_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** y = intercept + slope * x. */
struct fit {
	double intercept;
	double slope;
	double r2; /**< 1 when all points lie on the line */
};

/**
 * Fits a line by least squares.
 *
 * @return false when there are fewer than two distinct x; *out is not set
 */
bool fit_line(const double *x, const double *y, size_t n, struct fit *out);

#ifdef __cplusplus
}
#endif
#endif
