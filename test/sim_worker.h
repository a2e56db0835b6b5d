/*
 * sim_worker.h - a worker, its admission and its callers, in steps of 1 ms
 *
 * A request needs its run time on the backend server. The server shares
 * `cores` among what runs and takes `stretch` times as long: fewer cores are a
 * lack of processor time, a stretch is a slow neighbour. Callers send at
 * Poisson times and send again after a pause when refused or late. All is
 * determined by the seed, which FP_SEED in the environment replaces.
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

static inline uint64_t sim_seed(uint64_t fixed)
{
	const char *text = getenv("FP_SEED");

	return text ? strtoull(text, NULL, 10) : fixed;
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

/* Callers of one organisation and class. */
struct sim_source {
	enum fp_class cls;
	uint32_t org;
	uint32_t weight;
	double rate_per_s; /* first sends */
	int64_t run_us;
	int64_t deadline_us; /* from each send */
	int repeats; /* further sends after a failure */
	bool nested;
	int64_t next_us; /* next first send */
	std::vector<int> sent; /* first sends by second of arrival */
	std::vector<int> good; /* those that were answered in time */
};

struct sim_request {
	int source;
	int second; /* of the first send */
	int repeats_left;
	int64_t deadline_us;
	int64_t started_us; /* 0: waits */
	double left_us; /* run time to go */
};

struct sim_worker {
	struct fp_admission *a;
	struct fp_admission_params p;
	sim_random random;
	std::vector<sim_source> sources;
	std::map<uint64_t, sim_request> live;
	std::vector<uint64_t> running;
	std::multimap<int64_t, sim_request> again; /* by time of the send */
	int64_t now_us = 1000000;
	uint64_t last_id = 0;
	double cores;
	double stretch = 1;
	int late_refusals = 0; /* FP_REASON_DEADLINE */
	/* Whether a send reaches the worker; what the node before it does. */
	std::function<bool(const sim_source &)> gate;
	std::function<void()> each_step;
	std::vector<int> entered = std::vector<int>(200); /* by second */
	uint32_t max_queued_seen = 0;
	const int64_t origin_us = 1000000;

	static void on_start(void *ctx, uint64_t id, int64_t now_us)
	{
		sim_worker *s = (sim_worker *)ctx;
		sim_request &r = s->live[id];

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
		struct fp_admission_sink sink = { on_start, on_refuse, this };

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
		int64_t run_us, int64_t deadline_us, int repeats)
	{
		sources.push_back({ cls, org, weight, rate, run_us, deadline_us,
				    repeats, false, now_us,
				    std::vector<int>(200),
				    std::vector<int>(200) });
		return (int)sources.size() - 1;
	}
	void fail(uint64_t id)
	{
		sim_request r = live[id];

		live.erase(id);
		if (r.repeats_left-- > 0)
			again.insert({ now_us + 50000, r });
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
		if (gate && !gate(c)) {
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
	/* Lets what runs go on for 1 ms; control cancels what is late. */
	void run_backend()
	{
		std::vector<uint64_t> ids;
		double speed;

		ids.swap(running);
		speed = ids.size() > cores ? cores / ids.size() : 1;
		for (uint64_t id : ids) {
			sim_request &r = live[id];

			r.left_us -= 1000 * speed / stretch;
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
				send({ i, second(), c.repeats, 0, 0, 0 });
				c.next_us += (int64_t)(-1e6 / c.rate_per_s *
						       log(1 - random.unit()));
			}
		}
		while (!again.empty() && again.begin()->first <= now_us) {
			sim_request r = again.begin()->second;

			again.erase(again.begin());
			send(r);
		}
	}
	void run_s(double seconds)
	{
		int64_t end_us = now_us + (int64_t)(seconds * 1e6);
		struct fp_admission_level level;

		while (now_us < end_us) {
			now_us += 1000;
			run_backend();
			if (each_step)
				each_step();
			arrive();
			fp_admission_tick(a, now_us);
			fp_admission_read_level(a, &level);
			if (level.queued > max_queued_seen)
				max_queued_seen = level.queued;
		}
	}
	/* Share of the first sends of seconds [from, to) that were served. */
	double share(int source, int from, int to) const
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
	/* Requests served a second, of the sends of seconds [from, to). */
	double goodput(int from, int to) const
	{
		int n = 0;

		for (const sim_source &c : sources)
			n += total(c.good, from, to);
		return (double)n / (to - from);
	}
	/* First sends a second. */
	double demand(int from, int to) const
	{
		int n = 0;

		for (const sim_source &c : sources)
			n += total(c.sent, from, to);
		return (double)n / (to - from);
	}
};

#endif
