/* balancer_private.h - the balancer's table of workers, shared by its parts */
#ifndef FP_STATE_BALANCER_PRIVATE_H
#define FP_STATE_BALANCER_PRIVATE_H

#include "state/balancer.h"

/* Memory limits. */
#define MAX_WORKERS 2048 /* workers of all services */
#define ROUTES	    512 /* routes with a mean run time; a table without chains */
/* Shared tuning values. */
#define SUBSET	     32 /* workers of a service that are used */
#define WARM_UP_US   10000000 /* longest warm-up of a worker */
#define ROUTE_WEIGHT 128 /* smoothing of a route's mean, in answers */
#define SLOWDOWN_VALID_US \
	5000000 /* a slowdown loses weight after this time ... */

struct worker {
	struct fp_balancer_worker info;
	bool local; /* in this node's failure domain */
	bool used; /* in this node's subset */
	uint64_t hash; /* rendezvous hash */
	uint32_t in_flight; /* this node's calls */
	/* last answer, or the first call sent after it */
	int64_t last_answer_us;
	int64_t latency_us; /* smoothed, of successful answers */
	double failed; /* smoothed fraction of failed calls */
	double refused; /* smoothed fraction refused for load */
	uint32_t limit; /* advertised */
	uint32_t queued; /* advertised */
	uint32_t running; /* advertised: of all callers */
	/* advertised: bit of each shed rank of which it refuses the most part */
	uint16_t refused_ranks;
	int64_t load_us; /* time of the advertised values */
	double slowdown; /* logarithm of its run time over the service's mean */
	int64_t slowdown_us; /* time of the news; 0: none */
	int64_t ejected_until_us; /* 0: not ejected */
	int64_t ejection_us; /* length of the last ejection; 0: none */
};

/* Mean run time of a route over the workers of its service. */
struct route_mean {
	uint64_t hash; /* of service and route */
	double own; /* logarithm of the mean, without nested calls */
	double inner_us; /* in nested calls */
	uint32_t n; /* answers, up to ROUTE_WEIGHT */
};

struct fp_balancer {
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	uint64_t self;
	bool off;
	bool learning;
	struct route_mean routes[ROUTES];
	int64_t now_us; /* latest time passed in */
	uint32_t n_workers;
	/* grouped by service, then in order of arrival */
	struct worker workers[MAX_WORKERS];
};
/** Finds a worker by its node's id; NULL when it is not known. */
struct worker *balancer_find_worker(struct fp_balancer *b, uint64_t id);
/** Finds the range of a service's workers, which are adjacent in the table. */
void balancer_find_service(const struct fp_balancer *b, const char *service,
			   uint32_t *first, uint32_t *end);
bool balancer_is_ejected(const struct worker *w);
/** Ranks of which a worker with this load refuses more calls than it takes. */
uint16_t balancer_refused_ranks(const struct fp_admission_load *load);
/** Whether a worker of the subset other than exclude is not ejected and has a
 * clearly lower failure rate than failed. */
bool balancer_has_better_worker(const struct fp_balancer *b, uint32_t first,
				uint32_t end, const struct worker *exclude,
				double failed);

/** What the choice goes by, of one worker. */
struct balancer_figures {
	double load;
	double fill; /* of all callers; 0: not known */
	double slowdown; /* as it counts now */
	double warm; /* part of its full weight */
	double end; /* when a call would end, in run times of the service */
	bool stalled;
	bool drawn; /* among the workers that are drawn from at first */
};

/** The choice of fp_balancer_pick(); changes nothing. */
struct worker *balancer_choose(struct fp_balancer *b, const char *service,
			       const uint64_t *avoid, uint32_t n_avoid,
			       uint64_t draw, int64_t now_us);
/** Reads the figures of a worker; changes nothing. */
void balancer_read_figures(struct fp_balancer *b, const struct worker *w,
			   bool ignore_ejections, int64_t now_us,
			   struct balancer_figures *f);

#endif
