/* plot.c - plots the results as a self-contained SVG file */
#include "bench/result.h"

#define PANEL_WIDTH  420
#define PANEL_HEIGHT 260
#define MARGIN	     50
#define MAX_FACTOR   5.0
#define TICKS	     5

/** Position of a panel and the ranges of its axes. */
struct panel {
	double left;
	double top;
	double x_max;
	double y_max;
};

static double x_of(const struct panel *p, double x)
{
	return p->left + x / p->x_max * (PANEL_WIDTH - 2 * MARGIN);
}

static double y_of(const struct panel *p, double y)
{
	return p->top + (1 - y / p->y_max) * (PANEL_HEIGHT - 2 * MARGIN);
}

static const char *colour(bool on)
{
	return on ? "#1f6fb4" : "#c0392b";
}

static void draw_text(FILE *out, double x, double y, const char *anchor,
		      const char *text)
{
	fprintf(out,
		"<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x,
		y, anchor, text);
}

static void draw_line(FILE *out, double x1, double y1, double x2, double y2,
		      const char *stroke)
{
	fprintf(out,
		"<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"%s\"/>\n",
		x1, y1, x2, y2, stroke);
}

static void draw_axes(FILE *out, const struct panel *p, const char *title,
		      const char *x_name, const char *y_name)
{
	char text[32];
	int i;

	draw_text(out, p->left, p->top - 22, "start", title);
	draw_text(out, p->left, p->top - 8, "start", y_name);
	draw_text(out, x_of(p, p->x_max / 2), y_of(p, 0) + 34, "middle",
		  x_name);
	for (i = 0; i <= TICKS; i++) {
		double x = p->x_max * i / TICKS;
		double y = p->y_max * i / TICKS;

		draw_line(out, x_of(p, 0), y_of(p, y), x_of(p, p->x_max),
			  y_of(p, y), "#dddddd");
		snprintf(text, sizeof(text), "%.4g", y);
		draw_text(out, x_of(p, 0) - 6, y_of(p, y) + 4, "end", text);
		snprintf(text, sizeof(text), "%.3g", x);
		draw_text(out, x_of(p, x), y_of(p, 0) + 16, "middle", text);
	}
	draw_line(out, x_of(p, 0), y_of(p, 0), x_of(p, p->x_max), y_of(p, 0),
		  "black");
	draw_line(out, x_of(p, 0), y_of(p, 0), x_of(p, 0), y_of(p, p->y_max),
		  "black");
}

static void begin_curve(FILE *out, bool on)
{
	fprintf(out,
		"<polyline fill=\"none\" stroke-width=\"2\" stroke=\"%s\" "
		"points=\"",
		colour(on));
}

static void draw_legend(FILE *out, const struct panel *p)
{
	double x = x_of(p, p->x_max);
	int on;

	for (on = 0; on <= 1; on++) {
		double y = p->top - 22 + 14 * on;

		draw_line(out, x - 70, y - 4, x - 50, y - 4, colour(on));
		draw_text(out, x - 46, y, "start", on ? "on" : "off");
	}
}

static void draw_demand(FILE *out, const struct results *rs,
			const struct deployment *d, double top)
{
	struct panel p = { MARGIN, top + MARGIN, MAX_FACTOR, 1 };
	char title[128];
	int on, i;

	for (i = 0; i < rs->n; i++) {
		const struct result *r = &rs->v[i];

		if (r->d == d && r->goodput * 1.1 > p.y_max)
			p.y_max = r->goodput * 1.1;
	}
	snprintf(title, sizeof(title), "%s: goodput over demand", d->name);
	draw_axes(out, &p, title, "demand / capacity",
		  "complete answers to root requests per second");
	draw_legend(out, &p);
	for (on = 0; on <= 1; on++) {
		begin_curve(out, on);
		for (i = 0; i < rs->n; i++) {
			const struct result *r = &rs->v[i];

			if (r->d == d && r->scenario == SCENARIO_DEMAND &&
			    r->on == on)
				fprintf(out, "%.1f,%.1f ", x_of(&p, r->factor),
					y_of(&p, r->goodput));
		}
		fprintf(out, "\"/>\n");
	}
}

static void draw_surge(FILE *out, const struct results *rs,
		       const struct deployment *d, double top)
{
	struct panel p = { PANEL_WIDTH + MARGIN, top + MARGIN, 1, 100 };
	const struct result *r;
	char title[128];
	int on, i;

	for (on = 0; on <= 1; on++) {
		r = results_find(rs, d, SCENARIO_SURGE, on, 0);
		if (r && r->n_bins * RESULT_BIN_US / 1e6 > p.x_max)
			p.x_max = r->n_bins * RESULT_BIN_US / 1e6;
	}
	snprintf(title, sizeof(title), "%s: success around a surge", d->name);
	draw_axes(out, &p, title, "arrival time, s",
		  "% of root requests completely answered, 250 ms bins");
	draw_legend(out, &p);
	for (on = 0; on <= 1; on++) {
		r = results_find(rs, d, SCENARIO_SURGE, on, 0);
		begin_curve(out, on);
		for (i = 0; r && i < r->n_bins; i++)
			fprintf(out, "%.1f,%.1f ",
				x_of(&p, i * RESULT_BIN_US / 1e6),
				y_of(&p, 100.0 * (double)r->bins[i]));
		fprintf(out, "\"/>\n");
	}
}

bool results_write_svg(const struct results *rs, const char *path)
{
	static const struct deployment *const all[] = { &deployment_maua,
							&deployment_jadran };
	FILE *out = fopen(path, "w");
	int i;

	if (!out)
		return false;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
		2 * PANEL_WIDTH, 2 * PANEL_HEIGHT);
	for (i = 0; i < 2; i++) {
		draw_demand(out, rs, all[i], i * PANEL_HEIGHT);
		draw_surge(out, rs, all[i], i * PANEL_HEIGHT);
	}
	fprintf(out, "</svg>\n");
	return fclose(out) == 0;
}
