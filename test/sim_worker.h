/*
 * sim_worker.h - simulation of a worker, its admission and its clients
 *
 * The simulation advances in steps of 1 ms. Each request has a run time on the
 * backend server. The server divides `cores` among the running requests and
 * takes `slowdown` times as long: fewer cores model a lack of processor time, a
 * slowdown models a noisy neighbour on the host. Clients send at Poisson
 * intervals and retry after 50 ms if a request is refused or late. The seed
 * determines all random numbers; FP_SEED in the environment replaces it.
 */
#ifndef FP_TEST_SIM_WORKER_H
#define FP_TEST_SIM_WORKER_H

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <vector>

#include "state/admission.h"

/* Returns FP_SEED from the environment, else the default. */
static inline uint64_t sim_seed(uint64_t default_seed)
{
	const char *text = getenv("FP_SEED");

	return text ? strtoull(text, NULL, 10) : default_seed;
}

struct sim_random {
	uint64_t state;

	uint64_t next()
	{
		uint64_t z = (state += UINT64_C(0x9e3779b97f4a7c15));

		z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
		z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
		return z ^ (z >> 31);
	}
	double unit()
	{
		return (double)(next() >> 11) / 9007199254740992.0;
	}
};

/* Clients of one organisation and class. */
struct sim_source {
	enum fp_class cls;
	uint32_t org;
	uint32_t weight; /* of the organisation */
	double rate_per_s; /* first sends */
	int64_t run_us; /* mean run time on an idle backend server */
	int64_t deadline_us; /* counted from each send */
	int retries; /* retries after a failure */
	bool nested; /* children of started requests */
	int64_t next_us; /* time of the next first send */
	std::vector<int> sent; /* first sends by second of arrival */
	std::vector<int> good; /* of these, answered in time */
};

struct sim_request {
	int source;
	int second; /* of the first send */
	int retries_left;
	int64_t deadline_us;
	int64_t started_us; /* 0: queued */
	double left_us; /* remaining run time */
};

struct sim_worker {
	struct fp_admission *a;
	struct fp_admission_params p;
	sim_random random;
	std::vector<sim_source> sources;
	std::map<uint64_t, sim_request> live; /* queued or running, by id */
	std::vector<uint64_t> running;
	std::multimap<int64_t, sim_request> retry_queue; /* by send time */
	int64_t now_us = 1000000;
	uint64_t last_id = 0;
	double cores;
	double slowdown = 1;
	double refused_share = 0; /* refused by the server with free slots */
	bool reports_room = true; /* the server says so when it refuses */
	int late_refusals = 0; /* FP_REASON_DEADLINE */
	/* Whether a request reaches the worker; models the entry node. */
	std::function<bool(const sim_source &)> admit_at_entry;
	std::function<void()> on_step;
	/* Requests that reached the worker. */
	std::vector<int> entered = std::vector<int>(200); /* by second */
	uint32_t max_queued_seen = 0;
	const int64_t origin_us = 1000000;

	static void on_start(void *ctx, uint64_t id, int64_t now_us)
	{
		sim_worker *s = (sim_worker *)ctx;
		sim_request &r = s->live[id];

		if (s->refused_share > 0 &&
		    s->random.unit() < s->refused_share) {
			s->fail(id);
			if (s->reports_room)
				fp_admission_not_run(s->a, now_us);
			else
				fp_admission_done(s->a, id, 0, true, now_us);
			return;
		}
		r.started_us = now_us;
		s->running.push_back(id);
	}
	static void on_refuse(void *ctx, uint64_t id, enum fp_reason why)
	{
		sim_worker *s = (sim_worker *)ctx;

		s->late_refusals += why == FP_REASON_DEADLINE;
		s->fail(id);
	}

	sim_worker(const struct fp_admission_params &params, uint64_t seed)
	    : p(params), random{ seed }, cores(params.slots)
	{
		struct fp_admission_sink sink = { on_start, on_refuse, this,
						  nullptr };

		a = fp_admission_init(&p, &sink);
	}
	~sim_worker()
	{
		fp_admission_end(a);
	}
	sim_worker(const sim_worker &) = delete;

	int second() const
	{
		return (int)((now_us - origin_us) / 1000000);
	}
	int add(enum fp_class cls, uint32_t org, uint32_t weight, double rate,
		int64_t run_us, int64_t deadline_us, int retries)
	{
		sources.push_back({ cls, org, weight, rate, run_us, deadline_us,
				    retries, false, now_us,
				    std::vector<int>(200),
				    std::vector<int>(200) });
		return (int)sources.size() - 1;
	}
	/* Ends a request as failed and schedules its retry, if any is left. */
	void fail(uint64_t id)
	{
		sim_request r = live[id];

		live.erase(id);
		if (r.retries_left-- > 0)
			retry_queue.insert({ now_us + 50000, r });
	}
	void send(sim_request r)
	{
		const sim_source &c = sources[r.source];
		struct fp_admission_request q = {};
		uint64_t id = ++last_id;

		r.deadline_us = now_us + c.deadline_us;
		r.started_us = 0;
		r.left_us = c.run_us * (0.5 + random.unit());
		live[id] = r;
		q.id = id;
		q.rank = c.cls;
		q.org = c.org;
		q.org_weight = c.weight;
		q.nested = c.nested;
		q.deadline_us = r.deadline_us;
		if (admit_at_entry && !admit_at_entry(c)) {
			fail(id);
			return;
		}
		entered[second()]++;
		if (fp_admission_offer(a, &q, now_us) != FP_OK)
			fail(id);
	}
	void end_run(uint64_t id, bool late)
	{
		sim_request r = live[id];
		bool in_time = !late && now_us <= r.deadline_us;

		if (in_time)
			sources[r.source].good[r.second]++;
		if (in_time)
			live.erase(id);
		else
			fail(id);
		fp_admission_done(a, id, now_us - r.started_us, !in_time,
				  now_us);
	}
	/* Advances running requests by 1 ms and cancels late ones, unless
	 * admission control is off. */
	void run_backend()
	{
		std::vector<uint64_t> ids;
		double speed;

		ids.swap(running);
		speed = ids.size() > cores ? cores / ids.size() : 1;
		for (uint64_t id : ids) {
			sim_request &r = live[id];

			r.left_us -= 1000 * speed / slowdown;
			if (r.left_us <= 0)
				end_run(id, false);
			else if (!p.off && now_us > r.deadline_us)
				end_run(id, true);
			else
				running.push_back(id);
		}
	}
	void arrive()
	{
		int n = (int)sources.size();

		for (int i = 0; i < n; i++) {
			sim_source &c = sources[i];

			if (c.rate_per_s <= 0)
				c.next_us = now_us;
			while (c.rate_per_s > 0 && c.next_us <= now_us) {
				c.sent[second()]++;
				send({ i, second(), c.retries, 0, 0, 0 });
				c.next_us += (int64_t)(-1e6 / c.rate_per_s *
						       log(1 - random.unit()));
			}
		}
		while (!retry_queue.empty() &&
		       retry_queue.begin()->first <= now_us) {
			sim_request r = retry_queue.begin()->second;

			retry_queue.erase(retry_queue.begin());
			send(r);
		}
	}
	void run_s(double seconds)
	{
		int64_t end_us = now_us + (int64_t)(seconds * 1e6);
		struct fp_admission_load load;

		while (now_us < end_us) {
			now_us += 1000;
			run_backend();
			if (on_step)
				on_step();
			arrive();
			fp_admission_tick(a, now_us);
			fp_admission_read_load(a, &load);
			if (load.queued > max_queued_seen)
				max_queued_seen = load.queued;
		}
	}
	/* Fraction of the first sends of seconds [from, to) that were
	 * served. */
	double served_fraction(int source, int from, int to) const
	{
		return (double)total(sources[source].good, from, to) /
		       total(sources[source].sent, from, to);
	}
	static int total(const std::vector<int> &v, int from, int to)
	{
		int n = 0;

		for (int i = from; i < to; i++)
			n += v[i];
		return n;
	}
	/* Served requests per second, of the first sends of seconds [from,
	 * to). */
	double goodput(int from, int to) const
	{
		int n = 0;

		for (const sim_source &c : sources)
			n += total(c.good, from, to);
		return (double)n / (to - from);
	}
	/* First sends per second. */
	double demand(int from, int to) const
	{
		int n = 0;

		for (const sim_source &c : sources)
			n += total(c.sent, from, to);
		return (double)n / (to - from);
	}
};

#endif
