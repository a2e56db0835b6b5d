/*
 * uneven_sim.h - simulation of a service whose workers differ in speed
 *
 * Steps of 1 ms. Each worker has its admission and its model, as at the node
 * beside it. Entries send Poisson calls by their own balancer and learn of a
 * worker only by its answers, NEWS_US later. A server takes `slow` times as
 * long while more than `knee` of its slots are in use; its machine may be
 * slower at times and say so.
 */
#ifndef FP_TEST_UNEVEN_SIM_H
#define FP_TEST_UNEVEN_SIM_H

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <vector>

#include "sim_worker.h"
#include "state/balancer.h"
#include "state/worker_model.h"

enum uneven_way {
	WAY_EQUAL, /* uniform draws */
	WAY_SLOTS, /* two draws by slots, nothing learned */
	WAY_IN_FLIGHT, /* the least of the entry's own calls in flight */
	WAY_LEARNED,
};

static const char *const UNEVEN_WAYS[] = { "equal weights", "slots",
					   "least in flight", "learned" };

struct uneven_call {
	uint64_t id;
	size_t entry;
	size_t worker;
	uint64_t member; /* id that it was sent to */
	const char *route;
	int64_t sent_us;
	int64_t deadline_us;
	double left_us; /* at speed 1 */
	struct fp_worker_run run;
	double work_us;
	std::vector<uint64_t> tried;
};

/* What an entry does with a call that was refused for load. */
enum uneven_retry { RETRY_NEVER, RETRY_ALWAYS, RETRY_WITH_CAPACITY };

struct uneven_server {
	double speed = 1;
	double knee = 1; /* share of the slots */
	double slow = 1; /* above the knee */
	double noise = 1; /* time that work takes now */
	uint32_t says = 0; /* percent that it reports; 0: none */
	uint64_t member; /* id of its node */
	struct fp_admission_params p = {};
	struct fp_admission *a = NULL;
	struct fp_worker_model *m = NULL;
	std::vector<uint64_t> running;
	int ended = 0;
};

struct uneven_sim {
	static const uint32_t SLOTS = 20;
	static const int64_t NEWS_US = 20000;
	uneven_way way;
	sim_random random;
	int64_t now_us = 1000000;
	std::vector<std::unique_ptr<uneven_server>> servers;
	std::vector<struct fp_balancer *> entries;
	std::vector<std::vector<int>> in_flight; /* by entry and worker */
	std::vector<bool> cut; /* entries that get no answers */
	std::map<uint64_t, uneven_call> calls;
	struct news {
		uneven_call c;
		bool ok;
		struct fp_admission_load load;
		struct fp_worker_speed speed;
	};
	std::multimap<int64_t, news> late; /* answers on their way */
	uint64_t last_id = 0;
	double rate_per_s = 0;
	double long_share =
		0; /* calls of a route that runs ten times as long */
	int64_t run_us = 30000;
	int64_t deadline_us = 400000;
	int64_t next_us = now_us;
	uneven_retry retry = RETRY_NEVER;
	size_t max_tried = 4;
	int n_retries = 0;
	int n_useless = 0; /* retries that were refused or ended late */
	bool speeds_lost = false; /* answers tell nothing of the speed */
	struct sample {
		int64_t sent_us;
		int64_t took_us; /* -1: not served in time */
	};
	std::vector<sample> samples;

	struct sink_ctx {
		uneven_sim *sim;
		size_t worker;
	};
	std::vector<std::unique_ptr<sink_ctx>> sinks;

	static void on_start(void *ctx, uint64_t id, int64_t now_us)
	{
		sink_ctx *s = (sink_ctx *)ctx;
		uneven_server &w = *s->sim->servers[s->worker];

		fp_worker_model_started(w.m, &s->sim->calls[id].run, now_us);
		w.running.push_back(id);
	}
	static void on_refuse(void *ctx, uint64_t id, enum fp_reason)
	{
		sink_ctx *s = (sink_ctx *)ctx;

		s->sim->answer(id, false);
	}

	uneven_sim(uneven_way w, uint64_t seed, size_t n_entries = 10)
	    : way(w), random{ seed }
	{
		for (size_t i = 0; i < n_entries; i++) {
			entries.push_back(
				fp_balancer_init("a", "r", w == WAY_EQUAL));
			fp_balancer_set_self(entries[i], i + 1);
			fp_balancer_set_learning(entries[i], w == WAY_LEARNED);
		}
		in_flight.resize(n_entries);
		cut.resize(n_entries);
	}
	uneven_sim(const uneven_sim &) = delete;
	~uneven_sim()
	{
		for (struct fp_balancer *b : entries)
			fp_balancer_end(b);
		for (auto &w : servers) {
			fp_admission_end(w->a);
			fp_worker_model_end(w->m);
		}
	}
	void tell_members(uint64_t id, bool cold)
	{
		struct fp_balancer_worker w = {};

		w.id = id;
		strcpy(w.service, "s");
		strcpy(w.failure_domain, "a");
		strcpy(w.region, "r");
		w.slots = SLOTS;
		w.serving = true;
		w.warm_us = cold ? now_us + 3000000 : 1;
		for (struct fp_balancer *b : entries)
			fp_balancer_put_worker(b, &w, now_us);
	}
	uneven_server &add(double speed, double knee = 1, double slow = 1)
	{
		size_t i = servers.size();

		sinks.emplace_back(new sink_ctx{ this, i });
		struct fp_admission_sink sink = { on_start, on_refuse,
						  sinks.back().get(), nullptr };
		servers.emplace_back(new uneven_server);
		uneven_server &w = *servers.back();
		w.p.slots = SLOTS;
		w.p.concurrency_percent = 100;
		w.p.queue_target_us = 20000;
		w.p.max_queued = 8 * SLOTS;
		w.speed = speed;
		w.knee = knee;
		w.slow = slow;
		w.member = i + 1;
		w.a = fp_admission_init(&w.p, &sink);
		w.m = fp_worker_model_init();
		for (auto &f : in_flight)
			f.push_back(0);
		tell_members(w.member, false);
		return w;
	}
	/* The server is another process under a new id. */
	void replace(size_t i, double speed, uint64_t member, bool same_id)
	{
		uneven_server &w = *servers[i];

		if (!same_id)
			for (struct fp_balancer *b : entries)
				fp_balancer_remove_worker(b, w.member);
		w.speed = speed;
		w.member = member;
		fp_worker_model_reset(w.m, now_us);
		if (!same_id)
			tell_members(member, false);
	}
	/* Calls a second that all servers together take well. */
	double capacity() const
	{
		double sum = 0;

		for (auto &w : servers) {
			double below = SLOTS * w->knee;
			double above = SLOTS / w->slow;

			sum += w->speed * std::max(floor(below), above);
		}
		return sum / (run_us * (1 + 9 * long_share)) * 1e6;
	}
	void answer(uint64_t id, bool ok)
	{
		uneven_call c = calls[id];
		uneven_server &w = *servers[c.worker];
		news n = { c, ok, {}, {} };

		calls.erase(id);
		fp_admission_read_load(w.a, &n.load);
		fp_worker_model_read(w.m, c.route, now_us, &n.speed);
		if (speeds_lost)
			n.speed = {};
		late.insert({ now_us + NEWS_US, n });
		n_useless += !ok && c.tried.size() > 1;
		if (ok || retry == RETRY_NEVER)
			samples.push_back(
				{ c.sent_us,
				  ok ? now_us + NEWS_US - c.sent_us : -1 });
	}
	bool choose_again(uneven_call *c)
	{
		struct fp_balancer *b = entries[c->entry];
		const uint64_t *tried = c->tried.data();
		uint32_t n = (uint32_t)c->tried.size();

		if (n == max_tried || now_us >= c->deadline_us)
			return false;
		if (retry == RETRY_WITH_CAPACITY)
			return fp_balancer_pick_retry(b, "s", FP_CLASS_NORMAL,
						      tried, n, random.next(),
						      now_us,
						      &c->member) == FP_OK;
		return fp_balancer_pick(b, "s", tried, n, random.next(), now_us,
					&c->member) == FP_OK;
	}
	void send_again(uneven_call c)
	{
		if (!choose_again(&c)) {
			samples.push_back({ c.sent_us, -1 });
			return;
		}
		n_retries++;
		c.left_us = c.work_us;
		for (size_t i = 0; i < servers.size(); i++)
			if (servers[i]->member == c.member)
				c.worker = i;
		offer(c);
	}
	void deliver()
	{
		while (!late.empty() && late.begin()->first <= now_us) {
			news n = late.begin()->second;
			struct fp_balancer *b = entries[n.c.entry];

			late.erase(late.begin());
			in_flight[n.c.entry][n.c.worker]--;
			if (cut[n.c.entry]) {
				fp_balancer_call_ended(b, n.c.member,
						       FP_BALANCER_CANCELLED, 0,
						       NULL, now_us);
				continue;
			}
			fp_balancer_call_ended(
				b, n.c.member,
				n.ok ? FP_BALANCER_OK : FP_BALANCER_REFUSED,
				now_us - n.c.sent_us, &n.load, now_us);
			fp_balancer_note_speed(b, n.c.member, n.c.route,
					       &n.speed, now_us);
			if (!n.ok && retry != RETRY_NEVER)
				send_again(n.c);
		}
	}
	size_t choose(size_t entry, uint64_t *member)
	{
		size_t best = 0;
		size_t at = random.next();

		if (way != WAY_IN_FLIGHT) {
			fp_balancer_pick(entries[entry], "s", NULL, 0,
					 random.next(), now_us, member);
			for (size_t i = 0; i < servers.size(); i++)
				if (servers[i]->member == *member)
					best = i;
			return best;
		}
		best = at % servers.size();
		for (size_t i = 0; i < servers.size(); i++) {
			size_t k = (at + i) % servers.size();

			if (in_flight[entry][k] < in_flight[entry][best])
				best = k;
		}
		*member = servers[best]->member;
		return best;
	}
	void send()
	{
		uneven_call c = {};
		double normal = 0;

		for (int i = 0; i < 12; i++)
			normal += random.unit();
		c.entry = random.next() % entries.size();
		c.route = "short";
		/* Lognormal with a mean of run_us, spread 0.6. */
		c.left_us = run_us * exp(0.6 * (normal - 6) - 0.18);
		if (random.unit() < long_share) {
			c.route = "long";
			c.left_us *= 10;
		}
		c.sent_us = now_us;
		c.deadline_us = now_us + deadline_us;
		c.work_us = c.left_us;
		c.worker = choose(c.entry, &c.member);
		offer(c);
	}
	void offer(uneven_call c)
	{
		struct fp_admission_request q = {};

		c.id = ++last_id;
		c.tried.push_back(c.member);
		in_flight[c.entry][c.worker]++;
		fp_balancer_call_sent(entries[c.entry], c.member);
		q.id = c.id;
		q.rank = FP_CLASS_NORMAL;
		q.org = UINT32_MAX;
		q.deadline_us = c.deadline_us;
		calls[c.id] = c;
		if (fp_admission_offer(servers[c.worker]->a, &q, now_us) !=
		    FP_OK)
			answer(c.id, false);
	}
	void run_server(uneven_server &w)
	{
		std::vector<uint64_t> ids;
		struct fp_admission_load load;
		double speed = w.speed / w.noise;

		if (w.running.size() > w.knee * SLOTS)
			speed /= w.slow;
		ids.swap(w.running);
		for (uint64_t id : ids) {
			uneven_call &c = calls[id];
			bool over;

			c.left_us -= 1000 * speed;
			over = now_us > c.deadline_us;
			if (c.left_us > 0 && !over) {
				w.running.push_back(id);
				continue;
			}
			if (w.says)
				fp_worker_model_report(w.m, w.says, now_us);
			fp_worker_model_ended(w.m, &c.run, c.route, 0, !over,
					      now_us);
			w.ended++;
			int64_t ran_us = now_us - c.run.started_us;
			answer(id, !over);
			fp_admission_done(w.a, id, ran_us, over, now_us);
		}
		fp_admission_read_load(w.a, &load);
		if (way == WAY_LEARNED) {
			w.p.slots = fp_worker_model_concurrency(
				w.m, SLOTS, load.queued > 0, true, now_us);
			fp_admission_set_params(w.a, &w.p, now_us);
		}
		fp_admission_tick(w.a, now_us);
	}
	void run_s(double seconds)
	{
		int64_t end_us = now_us + (int64_t)(seconds * 1e6);

		while (now_us < end_us) {
			now_us += 1000;
			for (auto &w : servers)
				run_server(*w);
			deliver();
			if (rate_per_s <= 0)
				next_us = now_us;
			for (; rate_per_s > 0 && next_us <= now_us;
			     next_us += (int64_t)(-1e6 / rate_per_s *
						  log(1 - random.unit())))
				send();
		}
	}
	/* What callers got of the calls sent in [from_us, to_us). */
	struct result {
		double served;
		double p50_ms;
		double p99_ms; /* of all calls; the deadline if not served */
	};
	result got(int64_t from_us, int64_t to_us) const
	{
		std::vector<int64_t> took;
		size_t n = 0;
		size_t good = 0;

		for (const sample &s : samples) {
			if (s.sent_us < from_us || s.sent_us >= to_us)
				continue;
			n++;
			good += s.took_us >= 0;
			took.push_back(s.took_us >= 0 ? s.took_us :
							deadline_us);
		}
		std::sort(took.begin(), took.end());
		return { (double)good / n, took[n / 2] / 1000.0,
			 took[n * 99 / 100] / 1000.0 };
	}
};

static inline void uneven_print(const char *what, uneven_way way,
				const uneven_sim::result &r)
{
	printf("%-24s %-16s served %.4f p50 %.0f ms p99 %.0f ms\n", what,
	       UNEVEN_WAYS[way], r.served, r.p50_ms, r.p99_ms);
}

#endif
