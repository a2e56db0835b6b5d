/* fit.c - least-squares fit of a line */
#include "bench/fit.h"

static double mean(const double *v, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		sum += v[i];
	return sum / (double)n;
}

bool fit_line(const double *x, const double *y, size_t n, struct fit *out)
{
	double mx, my, xx = 0, xy = 0, yy = 0;
	size_t i;

	if (n < 2)
		return false;
	mx = mean(x, n);
	my = mean(y, n);
	for (i = 0; i < n; i++) {
		xx += (x[i] - mx) * (x[i] - mx);
		xy += (x[i] - mx) * (y[i] - my);
		yy += (y[i] - my) * (y[i] - my);
	}
	if (xx <= 0)
		return false;
	out->slope = xy / xx;
	out->intercept = my - out->slope * mx;
	out->r2 = yy > 0 ? xy * xy / (xx * yy) : 1;
	return true;
}
