/*
 * report_html.c - writes the report as one HTML page
 *
 * Styles and plots are inline, so the page loads nothing else. Widths are
 * relative, so that a phone shows it without horizontal scrolling.
 */
#include <time.h>

#include "cmd/report.h"

#define PLOT_WIDTH  600
#define PLOT_HEIGHT 120

static const char head[] =
	"<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
	"<meta charset=\"utf-8\">\n"
	"<meta name=\"viewport\" content=\"width=device-width, "
	"initial-scale=1\">\n"
	"<title>fulmarpass: service levels</title>\n<style>\n"
	":root{--back:#fff;--text:#1b1f24;--soft:#5b6470;--line:#d5dae0;"
	"--good:#1a7f4b;--bad:#c2352b;--area:#f4d5d2}\n"
	"@media (prefers-color-scheme:dark){:root{--back:#14171b;"
	"--text:#e6e9ed;--soft:#9aa4b0;--line:#343b44;--good:#4cc38a;"
	"--bad:#ff7b70;--area:#4a2522}}\n"
	"body{background:var(--back);color:var(--text);margin:0 auto;"
	"padding:1rem;max-width:64rem;font:1rem/1.5 system-ui,sans-serif}\n"
	"h1{font-size:1.4rem}h2{font-size:1.1rem;margin:0}\n"
	"p{margin:.3rem 0}.soft{color:var(--soft);font-size:.9rem}\n"
	".bad{color:var(--bad)}.good{color:var(--good)}\n"
	".cards{display:grid;gap:1rem;"
	"grid-template-columns:repeat(auto-fill,minmax(min(100%,19rem),1fr))}\n"
	".card{border:thin solid var(--line);border-radius:.5rem;"
	"padding:.8rem;overflow-wrap:anywhere}\n"
	".bar{background:var(--line);height:.5rem;border-radius:.25rem;"
	"overflow:hidden}.bar i{display:block;height:100%;"
	"background:var(--good)}\n"
	"svg{width:100%;height:auto;display:block}\n"
	"dl{display:grid;grid-template-columns:auto auto;margin:.5rem 0}\n"
	"dt{color:var(--soft)}dd{margin:0;text-align:right;"
	"font-variant-numeric:tabular-nums}\n"
	"</style>\n</head>\n<body>\n<h1>Service levels</h1>\n";

static json_int_t number(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static void put_text(FILE *out, const json_t *text)
{
	const char *s = json_is_string(text) ? json_string_value(text) : "";

	for (; *s; s++) {
		if (*s == '&')
			fputs("&amp;", out);
		else if (*s == '<')
			fputs("&lt;", out);
		else if (*s == '>')
			fputs("&gt;", out);
		else if (*s == '"')
			fputs("&quot;", out);
		else
			fputc(*s, out);
	}
}

/* --- plots --- */

/* Fraction of bad requests in a time bucket; 0 if it has no requests. */
static double bad_fraction(const json_t *series, size_t i)
{
	json_int_t total = json_integer_value(
		json_array_get(json_object_get(series, "total"), i));
	json_int_t bad = json_integer_value(
		json_array_get(json_object_get(series, "bad"), i));

	return total > 0 ? (double)bad / (double)total : 0;
}

/* Returns the fraction at the top of the plot: the lowest of a few round values
 * that is not below any plotted value. */
static double scale_of(const json_t *series, size_t n)
{
	static const double scale_ends[] = { 0.01, 0.05, 0.2 };
	double max_fraction = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (bad_fraction(series, i) > max_fraction)
			max_fraction = bad_fraction(series, i);
	for (i = 0; i < sizeof(scale_ends) / sizeof(scale_ends[0]); i++)
		if (max_fraction <= scale_ends[i])
			return scale_ends[i];
	return 1;
}

/* Draws one step per time bucket, oldest at the left. */
static void put_steps(FILE *out, const json_t *series, size_t n, double scale)
{
	double width = (double)PLOT_WIDTH / (double)n;
	size_t i;

	for (i = 0; i < n; i++) {
		double y = PLOT_HEIGHT * (1 - bad_fraction(series, i) / scale);

		fprintf(out, "V%.1fH%.1f", y, width * (double)(i + 1));
	}
}

static void put_plot(FILE *out, const json_t *row, const char *window,
		     const char *title)
{
	const json_t *series =
		json_object_get(json_object_get(row, "series"), window);
	size_t n = json_array_size(json_object_get(series, "total"));
	double scale = scale_of(series, n);

	if (!n)
		return;
	fprintf(out,
		"<p class=\"soft\">Bad requests, %s; top is %.0f %%</p>\n"
		"<svg viewBox=\"0 -4 %d %d\" role=\"img\" aria-label=\"Bad "
		"requests, %s\">"
		"<path fill=\"var(--area)\" stroke=\"var(--bad)\" "
		"stroke-width=\"2\" d=\"M0 %d",
		title, 100 * scale, PLOT_WIDTH, PLOT_HEIGHT + 8, title,
		PLOT_HEIGHT);
	put_steps(out, series, n, scale);
	fprintf(out,
		"V%dZ\"/><path stroke=\"var(--line)\" fill=\"none\" "
		"d=\"M0 0H%dM0 %dH%d\"/></svg>\n",
		PLOT_HEIGHT, PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH);
}

/* --- one organisation and class --- */

static void put_budget(FILE *out, const json_t *row)
{
	const json_t *o = json_object_get(row, "objective");
	double left = json_real_value(json_object_get(row, "budget_left"));

	if (!json_is_object(o)) {
		fputs("<p class=\"soft\">No objective declared</p>\n", out);
		return;
	}
	fprintf(out,
		"<p class=\"soft\">%.1f %% good within %lld ms over %lld h"
		"</p>\n<p class=\"%s\">Budget left: %.1f %%</p>\n"
		"<div class=\"bar\"><i style=\"width:%.1f%%\"></i></div>\n",
		(double)number(o, "good_permille") / 10,
		(long long)number(o, "latency_ms"),
		(long long)number(o, "window_hours"), left < 0 ? "bad" : "good",
		100 * left, left > 0 ? 100 * left : 0.0);
}

static void put_figures(FILE *out, const json_t *row)
{
	static const char *const names[] = { "5m", "1h", "3d" };
	const json_t *hour =
		json_object_get(json_object_get(row, "windows"), "1h");
	const json_t *burn = json_object_get(row, "burn");
	size_t i;

	fputs("<dl>", out);
	for (i = 0; burn && i < sizeof(names) / sizeof(names[0]); i++)
		fprintf(out, "<dt>Burn over %s</dt><dd>%.2f</dd>", names[i],
			json_real_value(json_object_get(burn, names[i])));
	fprintf(out,
		"<dt>Good, last hour</dt><dd>%lld</dd>"
		"<dt>Failed</dt><dd>%lld</dd>"
		"<dt>Refused inside the rate</dt><dd>%lld</dd>"
		"<dt>Over its rate</dt><dd>%lld</dd></dl>\n",
		(long long)number(hour, "good"),
		(long long)number(hour, "failed"),
		(long long)number(hour, "refused"),
		(long long)number(hour, "over_rate"));
}

static void put_row(FILE *out, const json_t *row)
{
	fputs("<section class=\"card\">\n<h2>", out);
	put_text(out, json_object_get(row, "organisation"));
	fputs(", ", out);
	put_text(out, json_object_get(row, "class"));
	fputs("</h2>\n", out);
	put_budget(out, row);
	put_figures(out, row);
	put_plot(out, row, "1h", "last hour by minute");
	put_plot(out, row, "3d", "last three days by hour");
	fputs("</section>\n", out);
}

/* --- the fleet --- */

static void put_time(FILE *out)
{
	time_t now = time(NULL);
	struct tm tm;
	char text[32];

	gmtime_r(&now, &tm);
	strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &tm);
	fprintf(out, "<p class=\"soft\">%s UTC</p>\n", text);
}

static void put_worst(FILE *out, const json_t *report)
{
	const json_t *w = json_object_get(report, "worst");
	const json_t *r = json_object_get(report, "refused_in_rate");

	if (json_is_object(w)) {
		fputs("<p>Worst served in the last hour: <b>", out);
		put_text(out, json_object_get(w, "organisation"));
		fprintf(out, "</b>, %.2f %% of %lld requests good</p>\n",
			100 * json_real_value(json_object_get(w, "good_share")),
			(long long)number(w, "total"));
	}
	fprintf(out,
		"<p>Refused inside the rate in the last hour: %lld of %lld"
		"</p>\n",
		(long long)number(r, "refused"), (long long)number(r, "total"));
}

static void put_overload(FILE *out, const json_t *report)
{
	const json_t *v = json_object_get(report, "overload");

	if (!json_is_object(v)) {
		fputs("<p>Last overload: none since these nodes started</p>\n",
		      out);
		return;
	}
	fprintf(out,
		"<p>Last overload: began %lld s ago, %s %lld s, %.1f %% good "
		"in its worst second</p>\n",
		(long long)number(v, "began_s_ago"),
		json_is_true(json_object_get(v, "ongoing")) ? "ongoing for" :
							      "over after",
		(long long)number(v, "length_s"),
		(double)number(v, "worst_permille") / 10);
}

static void put_missing(FILE *out, const json_t *report)
{
	json_t *node;
	size_t i;

	json_array_foreach(json_object_get(report, "nodes"), i, node)
	{
		if (json_is_true(json_object_get(node, "reached")))
			continue;
		fputs("<p class=\"bad\">Not counted: ", out);
		put_text(out, json_object_get(node, "name"));
		fputs(" (", out);
		put_text(out, json_object_get(node, "reason"));
		fputs(")</p>\n", out);
	}
}

bool report_write_html(const json_t *report, FILE *out)
{
	json_t *row;
	size_t i;

	fputs(head, out);
	put_time(out);
	put_missing(out, report);
	put_worst(out, report);
	put_overload(out, report);
	fputs("<div class=\"cards\">\n", out);
	json_array_foreach(json_object_get(report, "rows"), i, row)
	{
		put_row(out, row);
	}
	fputs("</div>\n</body>\n</html>\n", out);
	return ferror(out) == 0;
}
