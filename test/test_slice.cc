/*
 * test_slice.cc - one slice on 3 to 5 nodes under random schedules
 *
 * The slices are real; everything else is simulated: true time, a drifting
 * clock per process, links that lose, delay and duplicate messages, a store
 * that loses answers and may apply writes late, pauses, kills and planned
 * stops. After each event the test checks that at most one process may act,
 * and that an owner which does not report its state as lost holds every
 * acknowledged claim. FP_SEED runs one seed, FP_SCHEDULES sets the number of
 * seeds.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/slice.h"

namespace
{

constexpr int64_t ms = FP_US_PER_MS;
constexpr int64_t sec = FP_US_PER_S;
constexpr int64_t faults_end_us = 25 * sec;
constexpr int64_t owner_deadline_us = 20 * sec; /* from the end of faults */

/* Rules that the simulation can break; the checks must detect each one. */
enum class mutation {
	none,
	cas_unchecked, /* the store ignores versions */
	excess_drift, /* clocks drift more than allowed */
	promise_counted_from_arrival, /* not from their request */
	unknown_is_success, /* a timed-out write is reported as done */
	unknown_is_no_effect, /* a timed-out write is reported as refused */
	false_termination, /* live processes count as terminated */
	early_confirmation, /* a backup confirms without the state */
};

struct simulation;

struct process {
	struct fp_slice_host host; /* first: callbacks cast it to process */
	struct fp_slice slice;
	simulation *sim;
	int addr_index; /* last byte of its IP address */
	bool alive = true;
	bool stopping = false;
	int64_t paused_until_us = 0; /* true time */
	double clock_rate;
	int64_t clock_offset_us;
	std::set<uint64_t> claims;
	std::map<uint64_t, uint64_t> pending; /* epoch by claim */
	bool loss_counted = false;

	int64_t now() const;
};

struct event {
	int64_t due_us;
	uint64_t order;
	std::function<void()> fn;

	bool operator<(const event &o) const
	{
		return due_us != o.due_us ? due_us > o.due_us : order > o.order;
	}
};

struct simulation {
	std::mt19937_64 rng;
	mutation mutant;
	int64_t true_us = 0; /* time without drift */
	uint64_t order = 0;
	std::priority_queue<event> events;
	std::vector<std::unique_ptr<process>> started;
	std::vector<process *> current; /* newest process at each address */
	/* By process id: true time from which its termination is proven. */
	std::map<uint64_t, int64_t> terminated_from_us;
	std::map<std::pair<int, int>, int64_t> cut_until_us; /* per link */
	bool faults_on = true;
	int64_t store_down_until_us = 0;
	bool store_refuses = false;
	uint64_t version = 0;
	std::string text;
	uint64_t store_calls = 0;
	std::set<uint64_t> acked;
	uint64_t next_claim = 1;
	uint64_t ownerships = 0, state_losses = 0;
	std::string violation;

	simulation(uint64_t seed, mutation m) : rng(seed), mutant(m)
	{
	}
	int64_t uniform(int64_t lo, int64_t hi)
	{
		return lo + (int64_t)(rng() % (uint64_t)(hi - lo + 1));
	}
	bool chance(int percent)
	{
		return faults_on && (int)(rng() % 100) < percent;
	}
	void schedule(int64_t delay, std::function<void()> fn)
	{
		events.push({ true_us + delay, order++, std::move(fn) });
	}
	void report_violation(const std::string &why)
	{
		if (violation.empty())
			violation =
				why + " at " + std::to_string(true_us) + " us";
	}
	process *start(int addr_index);
	process *find(uint64_t id);
	void run_on_process(process *p, std::function<void()> fn);
	void deliver(int from, uint64_t to, std::function<void(process *)> fn);
	void store(process *p, bool cas, uint64_t token, uint64_t base,
		   std::string value);
	void apply(process *p, bool cas, uint64_t token, uint64_t base,
		   const std::string &value, bool answer);
	void tick(process *p);
	void inject_fault();
	void kill(process *p, bool planned);
	void claim(process *p);
	void check();
	void run_until(int64_t end);
};

int64_t process::now() const
{
	return clock_offset_us + (int64_t)((double)sim->true_us * clock_rate);
}

process *self(struct fp_slice_host *h)
{
	return reinterpret_cast<process *>(h);
}

/* Runs fn on a process: at once, after its pause if it is paused, never if it
 * is dead. */
void simulation::run_on_process(process *p, std::function<void()> fn)
{
	if (!p->alive)
		return;
	if (p->paused_until_us > true_us) {
		schedule(p->paused_until_us - true_us + uniform(0, 3 * ms),
			 [=] { run_on_process(p, fn); });
		return;
	}
	fn();
	check();
}

void simulation::deliver(int from, uint64_t to,
			 std::function<void(process *)> fn)
{
	int copies = chance(5) ? 2 : chance(10) ? 0 : 1;
	process *p = find(to);

	if (!p || cut_until_us[{ from, p->addr_index }] > true_us)
		return;
	for (; copies > 0; copies--) {
		int64_t delay = uniform(ms / 2, 5 * ms);

		if (chance(5))
			delay = uniform(100 * ms, 4 * sec);
		schedule(delay, [=] { run_on_process(p, [=] { fn(p); }); });
	}
}

process *simulation::find(uint64_t id)
{
	for (auto &p : started)
		if (p->host.self.id == id)
			return p.get();
	return nullptr;
}

void simulation::apply(process *p, bool cas, uint64_t token, uint64_t base,
		       const std::string &value, bool answer)
{
	enum fp_status st = FP_OK;
	bool match = base == version || mutant == mutation::cas_unchecked;

	if (!cas && version == 0)
		st = FP_NOT_FOUND;
	if (cas && !match)
		st = FP_CONFLICT;
	if (cas && match) {
		version++;
		text = value;
	}
	if (!answer)
		return;
	schedule(uniform(1 * ms, 5 * ms), [=, v = version, x = text] {
		run_on_process(p, [=] {
			fp_slice_store_result(&p->slice, token, st, v,
					      x.c_str(), p->now());
		});
	});
}

void simulation::store(process *p, bool cas, uint64_t token, uint64_t base,
		       std::string value)
{
	enum fp_status st = FP_TIMEOUT;
	bool down = store_down_until_us > true_us;
	bool lost = (down && !store_refuses) || chance(5);
	int64_t apply_delay_us = uniform(1 * ms, 5 * ms);

	store_calls++;
	if (down && store_refuses) {
		schedule(ms, [=] {
			run_on_process(p, [=] {
				fp_slice_store_result(&p->slice, token,
						      FP_UNAVAILABLE, 0,
						      nullptr, p->now());
			});
		});
		return;
	}
	if (lost) {
		if (mutant == mutation::unknown_is_success && cas)
			st = FP_OK;
		if (mutant == mutation::unknown_is_no_effect)
			st = FP_UNAVAILABLE;
		schedule(500 * ms, [=, v = version + 1] {
			run_on_process(p, [=] {
				fp_slice_store_result(&p->slice, token, st, v,
						      nullptr, p->now());
			});
		});
		if (uniform(0, 1))
			return; /* the request itself was lost */
		apply_delay_us =
			uniform(1 * ms, chance(50) ? 8 * sec : 100 * ms);
	}
	schedule(apply_delay_us,
		 [=] { apply(p, cas, token, base, value, !lost); });
}

void cb_send(struct fp_slice_host *h, const struct fp_msg_slice *m)
{
	process *p = self(h);
	struct fp_msg_slice back;
	uint8_t buf[FP_MSG_SLICE_BYTES];
	size_t len;

	if (fp_msg_slice_encode(m, buf, sizeof(buf), &len) != FP_OK ||
	    fp_msg_slice_decode(&back, buf, len) != FP_OK) {
		p->sim->report_violation(fp_last_message());
		return;
	}
	p->sim->deliver(p->addr_index, m->to, [back](process *q) {
		struct fp_msg_slice n = back;

		if (q->sim->mutant == mutation::promise_counted_from_arrival &&
		    n.type == FP_MSG_SLICE_PROMISE)
			n.request_us = q->now();
		fp_slice_message(&q->slice, &n, &n.items[0], q->now());
	});
}

void cb_store_read(struct fp_slice_host *h, uint32_t, uint64_t token)
{
	self(h)->sim->store(self(h), false, token, 0, "");
}

void cb_store_cas(struct fp_slice_host *h, uint32_t, uint64_t token,
		  uint64_t base, const char *value)
{
	self(h)->sim->store(self(h), true, token, base, value);
}

void cb_became_primary(struct fp_slice_host *h, uint32_t,
		       const struct fp_slice_ownership *ownership)
{
	process *p = self(h);
	simulation *sim = p->sim;

	if (ownership->resumed)
		return;
	sim->ownerships++;
	if (ownership->vacant_from_us > p->now())
		sim->report_violation("vacant_from_us is in the future");
	if (ownership->state_lost) {
		if (fp_slice_claims_lost_until_us(&p->slice) <= p->now())
			sim->report_violation(
				"state lost, but claims do not count as lost");
		return;
	}
	for (uint64_t c : sim->acked)
		if (!p->claims.count(c)) {
			sim->report_violation(
				"an acknowledged claim is missing");
			return;
		}
}

void cb_stopped_acting(struct fp_slice_host *h, uint32_t, uint64_t)
{
	self(h)->pending.clear();
}

void cb_backup_ready(struct fp_slice_host *, uint32_t,
		     const struct fp_slice_node *)
{
}

void cb_transfer(struct fp_slice_host *h, uint32_t, uint64_t epoch,
		 const struct fp_slice_node *backup)
{
	process *p = self(h);
	std::set<uint64_t> copy = p->claims;

	if (p->sim->mutant == mutation::early_confirmation)
		copy.clear();
	p->sim->deliver(p->addr_index, backup->id, [copy, epoch](process *q) {
		if (q->slice.role != FP_SLICE_ROLE_BACKUP ||
		    q->slice.view.epoch != epoch)
			return;
		if (q->slice.state_epoch != epoch)
			q->claims.clear();
		q->claims.insert(copy.begin(), copy.end());
		fp_slice_state_received(&q->slice, epoch, q->now());
	});
}

enum fp_slice_member cb_member(struct fp_slice_host *h, uint64_t id)
{
	simulation *sim = self(h)->sim;
	process *p = sim->find(id);

	if (!p)
		return FP_SLICE_MEMBER_UNKNOWN;
	if (sim->mutant == mutation::false_termination && sim->chance(2))
		return FP_SLICE_MEMBER_TERMINATED;
	if (sim->terminated_from_us.count(id) &&
	    sim->terminated_from_us[id] <= sim->true_us)
		return FP_SLICE_MEMBER_TERMINATED;
	if (!p->alive ||
	    (sim->faults_on && (sim->true_us / sec + id) % 13 == 0))
		return FP_SLICE_MEMBER_DEAD;
	return p->stopping ? FP_SLICE_MEMBER_LEAVING : FP_SLICE_MEMBER_ALIVE;
}

bool cb_pick_backup(struct fp_slice_host *h, uint32_t, uint64_t not_id,
		    struct fp_slice_node *out)
{
	simulation *sim = self(h)->sim;
	uint64_t best = 0;

	for (process *p : sim->current) {
		uint64_t score = fp_slice_score(7, p->host.self.address);

		if (p->host.self.id == h->self.id ||
		    p->host.self.id == not_id || p->stopping || !p->alive ||
		    score <= best)
			continue;
		best = score;
		*out = p->host.self;
	}
	return best != 0;
}

bool cb_is_candidate(struct fp_slice_host *, uint32_t)
{
	return true;
}

uint32_t cb_random_u32(struct fp_slice_host *h)
{
	return (uint32_t)self(h)->sim->rng();
}

const struct fp_slice_ops ops = {
	cb_send,	   cb_store_read,   cb_store_cas, cb_became_primary,
	cb_stopped_acting, cb_backup_ready, cb_transfer,  cb_member,
	cb_pick_backup,	   cb_is_candidate, cb_random_u32
};

process *simulation::start(int addr_index)
{
	started.push_back(std::make_unique<process>());
	process *p = started.back().get();
	double max_drift = mutant == mutation::excess_drift ? 0.3 : 0.0099;

	p->sim = this;
	p->addr_index = addr_index;
	p->clock_rate = 1.0 + max_drift * (double)uniform(-1000, 1000) / 1000.0;
	p->clock_offset_us = uniform(0, 1000 * sec);
	p->host.ops = &ops;
	p->host.self.id = rng() | 1;
	snprintf(p->host.self.address, sizeof(p->host.self.address),
		 "10.0.0.%d:7700", addr_index);
	p->host.claim_lifetime_us = 600 * sec;
	fp_slice_init(&p->slice, 7, &p->host, p->now());
	schedule(uniform(0, 100 * ms), [=] { tick(p); });
	return p;
}

void simulation::tick(process *p)
{
	run_on_process(p, [=] {
		fp_slice_tick(&p->slice, p->now());
		if (p->stopping && fp_slice_stopped(&p->slice)) {
			kill(p, true);
			return;
		}
		claim(p);
		schedule(uniform(80 * ms, 100 * ms), [=] { tick(p); });
	});
}

/* Takes a claim if the process may act; the claim is acknowledged when the
 * backup holds it too. */
void simulation::claim(process *p)
{
	uint64_t c = next_claim++;
	uint64_t backup = fp_slice_confirming_backup(&p->slice);
	uint64_t epoch = p->slice.view.epoch;

	if (!fp_slice_may_act(&p->slice, p->now()))
		return;
	p->claims.insert(c);
	if (backup == 0) {
		acked.insert(c);
		return;
	}
	p->pending[c] = epoch;
	deliver(p->addr_index, backup, [=](process *q) {
		if (q->slice.role != FP_SLICE_ROLE_BACKUP ||
		    q->slice.view.epoch != epoch ||
		    q->slice.state_epoch != epoch)
			return;
		q->claims.insert(c);
		deliver(q->addr_index, p->host.self.id, [=](process *) {
			bool due = p->pending.count(c) != 0 &&
				   p->slice.view.epoch == epoch;

			if (due && fp_slice_may_act(&p->slice, p->now()))
				acked.insert(c);
			p->pending.erase(c);
		});
	});
}

void simulation::kill(process *p, bool planned)
{
	int64_t back = uniform(200 * ms, 5 * sec);

	p->alive = false;
	/* A planned stop is announced; otherwise the next process at that
	 * address proves the termination. */
	terminated_from_us[p->host.self.id] =
		true_us + (planned ? 0 : back) + uniform(10 * ms, 2 * sec);
	schedule(back, [=] {
		current[(size_t)p->addr_index] = start(p->addr_index);
	});
}

void simulation::inject_fault()
{
	process *p = current[rng() % current.size()];

	if (!faults_on)
		return;
	schedule(uniform(100 * ms, 3 * sec), [=] { inject_fault(); });
	if (!p->alive)
		return;
	switch (rng() % 6) {
	case 0:
		kill(p, false);
		break;
	case 1:
		p->stopping = true;
		fp_slice_stop(&p->slice);
		break;
	case 2:
		p->paused_until_us = true_us + uniform(200 * ms, 9 * sec);
		break;
	case 3:
		store_down_until_us = true_us + uniform(200 * ms, 9 * sec);
		store_refuses = uniform(0, 1) != 0;
		break;
	default: {
		int b = (int)(rng() % current.size());
		int64_t until = true_us + uniform(500 * ms, 8 * sec);

		cut_until_us[{ p->addr_index, b }] = until;
		if (uniform(0, 1))
			cut_until_us[{ b, p->addr_index }] = until;
	}
	}
}

void simulation::check()
{
	int owners = 0;

	for (auto &p : started) {
		bool owns = p->slice.role == FP_SLICE_ROLE_PRIMARY;

		if (p->alive && fp_slice_may_act(&p->slice, p->now()))
			owners++;
		/* The loss counts from the time the node becomes primary,
		 * which may be before it may act. */
		if (owns && p->slice.ownership.state_lost && !p->loss_counted) {
			state_losses++;
			acked.clear();
			p->claims.clear();
		}
		p->loss_counted = owns && p->slice.ownership.state_lost;
	}
	if (owners > 1)
		report_violation("two owners");
}

void simulation::run_until(int64_t end)
{
	while (!events.empty() && events.top().due_us <= end &&
	       violation.empty()) {
		event e = events.top();

		events.pop();
		true_us = e.due_us;
		e.fn();
	}
	true_us = end;
}

void end_faults(simulation &sim)
{
	sim.faults_on = false;
	sim.store_down_until_us = 0;
	sim.cut_until_us.clear();
	for (auto &p : sim.started)
		p->paused_until_us = 0;
}

process *acting_owner(simulation &sim)
{
	for (auto &p : sim.started)
		if (p->alive && fp_slice_may_act(&p->slice, p->now()))
			return p.get();
	return nullptr;
}

/* Runs one schedule; returns "" or the violation. */
std::string run(uint64_t seed, mutation m, simulation &sim)
{
	int n = 3 + (int)(seed % 3);

	for (int i = 0; i < n; i++)
		sim.current.push_back(sim.start(i));
	sim.schedule(3 * sec, [&sim] { sim.inject_fault(); });
	sim.run_until(faults_end_us);
	end_faults(sim);
	sim.run_until(faults_end_us + owner_deadline_us);
	if (m == mutation::none && sim.violation.empty() && !acting_owner(sim))
		sim.report_violation("no owner after the end of faults");
	return sim.violation;
}

uint64_t env_number(const char *name, uint64_t default_value)
{
	const char *v = getenv(name);

	return v ? strtoull(v, nullptr, 10) : default_value;
}

} // namespace

TEST(Slice, OneOwnerOverRandomSchedules)
{
	uint64_t first = env_number("FP_SEED", 1);
	uint64_t n = getenv("FP_SEED") ? 1 : env_number("FP_SCHEDULES", 6000);
	uint64_t ownerships = 0, state_losses = 0, claims = 0;

	printf("seeds %lu to %lu\n", first, first + n - 1);
	for (uint64_t seed = first; seed < first + n; seed++) {
		simulation sim(seed, mutation::none);

		ASSERT_EQ("", run(seed, mutation::none, sim))
			<< "seed " << seed;
		ownerships += sim.ownerships;
		state_losses += sim.state_losses;
		claims += sim.next_claim;
	}
	printf("%lu schedules: %lu ownerships, %lu with state lost, %lu "
	       "ticks\n",
	       n, ownerships, state_losses, claims);
	EXPECT_GT(ownerships, n);
}

TEST(Slice, EachBrokenRuleIsDetected)
{
	const std::pair<mutation, const char *> cases[] = {
		{ mutation::cas_unchecked, "store without version check" },
		{ mutation::excess_drift, "clocks that drift too much" },
		{ mutation::promise_counted_from_arrival,
		  "promise counted from arrival" },
		{ mutation::unknown_is_success, "unknown write is success" },
		{ mutation::unknown_is_no_effect, "unknown write is none" },
		{ mutation::false_termination, "false proof of termination" },
		{ mutation::early_confirmation, "backup ready without state" },
	};

	for (auto &c : cases) {
		uint64_t seed = 0;
		std::string why;

		while (why.empty() && seed < 3000) {
			simulation sim(++seed, c.first);

			why = run(seed, c.first, sim);
		}
		printf("%-30s seed %lu: %s\n", c.second, seed, why.c_str());
		EXPECT_NE("", why) << c.second;
	}
}

/* Starts three processes without faults, until a pair owns the slice. */
static void start_pair(simulation &sim)
{
	sim.faults_on = false;
	for (int i = 0; i < 3; i++)
		sim.current.push_back(sim.start(i));
	sim.run_until(8 * sec);
	ASSERT_NE(nullptr, acting_owner(sim));
	ASSERT_TRUE(acting_owner(sim)->slice.view.backup_ready);
}

TEST(Slice, SteadyPairMakesNoStoreCall)
{
	simulation sim(11, mutation::none);
	uint64_t before;

	start_pair(sim);
	/* A third node would read the record occasionally, so it is stopped. */
	process *third = nullptr;
	for (process *p : sim.current)
		if (p->slice.role == FP_SLICE_ROLE_NONE)
			third = p;
	ASSERT_NE(nullptr, third);
	third->alive = false;
	before = sim.store_calls;
	sim.run_until(68 * sec);
	EXPECT_EQ(before, sim.store_calls);
	EXPECT_NE(nullptr, acting_owner(sim));
}

/* Time without owner after a primary ends, with the store up or down. */
static int64_t ownerless_time_after(bool planned, bool store_down,
				    bool *state_lost)
{
	simulation sim(12, mutation::none);
	int64_t from;
	process *p;

	start_pair(sim);
	p = acting_owner(sim);
	if (store_down) {
		sim.store_down_until_us = INT64_MAX;
		sim.store_refuses = true;
	}
	if (planned) {
		p->stopping = true;
		fp_slice_stop(&p->slice);
	} else {
		sim.kill(p, false);
		sim.terminated_from_us.erase(p->host.self.id);
	}
	from = sim.true_us;
	while ((!acting_owner(sim) || acting_owner(sim) == p) &&
	       sim.true_us < from + 30 * sec)
		sim.run_until(sim.true_us + ms);
	EXPECT_EQ("", sim.violation);
	*state_lost = sim.state_losses != 0;
	return sim.true_us - from;
}

TEST(Slice, HandoverIsFasterThanTakeover)
{
	bool state_lost;
	int64_t kill_us = ownerless_time_after(false, false, &state_lost);

	EXPECT_FALSE(state_lost);
	int64_t stop_us = ownerless_time_after(true, false, &state_lost);
	EXPECT_FALSE(state_lost);
	int64_t consent_us = ownerless_time_after(true, true, &state_lost);
	EXPECT_FALSE(state_lost);
	printf("time without owner: kill %ld ms, stop %ld ms, stop with the "
	       "store down %ld ms\n",
	       kill_us / ms, stop_us / ms, consent_us / ms);
	EXPECT_LT(kill_us, 4 * sec);
	EXPECT_LT(stop_us, 500 * ms);
	EXPECT_LT(consent_us, 500 * ms);
}

TEST(Slice, PairKeepsOwnershipDuringStoreOutage)
{
	simulation sim(13, mutation::none);

	start_pair(sim);
	process *p = acting_owner(sim);
	sim.store_down_until_us = 600 * sec;
	sim.run_until(300 * sec);
	EXPECT_EQ(p, acting_owner(sim));
}

TEST(Slice, OwnerMayNotActAfterPause)
{
	simulation sim(14, mutation::none);

	start_pair(sim);
	process *p = acting_owner(sim);
	p->paused_until_us = sim.true_us + 10 * sec;
	sim.run_until(sim.true_us + 10 * sec);
	EXPECT_FALSE(fp_slice_may_act(&p->slice, p->now()));
	ASSERT_NE(nullptr, acting_owner(sim));
	EXPECT_NE(p, acting_owner(sim));
	EXPECT_EQ(0u, sim.state_losses);
}

TEST(Slice, LossOfPairReportsClaimsLost)
{
	simulation sim(15, mutation::none);

	start_pair(sim);
	process *p = acting_owner(sim);
	sim.kill(sim.find(p->slice.view.backup.id), false);
	sim.kill(p, false);
	sim.run_until(sim.true_us + 20 * sec);
	ASSERT_NE(nullptr, acting_owner(sim));
	EXPECT_EQ(1u, sim.state_losses);
}

TEST(SliceView, RoundTripAndMalformedTexts)
{
	const char *bad[] = {
		"",
		"[]",
		"{}",
		"{\"epoch\":1}",
		"{\"epoch\":1,\"primary\":null,\"backup\":null,"
		"\"backup_ready\":false,\"renewals\":0}",
		"{\"epoch\":1,\"primary\":{\"id\":\"1\",\"address\":\"a\"},"
		"\"backup\":null,\"backup_ready\":false,\"renewals\":0}",
	};
	struct fp_slice_view v = {}, back;
	char text[FP_SLICE_TEXT_BYTES];

	v.epoch = 9;
	v.primary = { UINT64_MAX, "10.1.2.3:7700" };
	v.backup = { 5, "10.1.2.4:7700" };
	v.backup_ready = true;
	ASSERT_EQ(FP_OK, fp_slice_view_format(&v, text, sizeof(text)));
	ASSERT_EQ(FP_OK, fp_slice_view_parse(text, &back));
	EXPECT_EQ(v.primary.id, back.primary.id);
	EXPECT_STREQ(v.backup.address, back.backup.address);
	EXPECT_TRUE(back.backup_ready);
	for (const char *b : bad)
		EXPECT_EQ(FP_INVALID, fp_slice_view_parse(b, &back)) << b;
}

TEST(MsgSlice, RoundTripAndMalformedMessages)
{
	struct fp_msg_slice m = {}, back;
	uint8_t buf[FP_MSG_SLICE_BYTES + 1];
	size_t len;

	m.type = FP_MSG_SLICE_PROMISE_REQUEST;
	m.correlation = m.from = m.to = UINT64_MAX;
	m.request_us = INT64_MAX;
	m.n_items = FP_SLICES;
	for (uint32_t i = 0; i < FP_SLICES; i++)
		m.items[i] = { i, UINT64_MAX, UINT64_MAX, INT64_MAX };
	ASSERT_EQ(FP_OK, fp_msg_slice_encode(&m, buf, sizeof(buf), &len));
	ASSERT_EQ(FP_OK, fp_msg_slice_decode(&back, buf, len));
	EXPECT_EQ(FP_SLICES, (int)back.n_items);
	EXPECT_EQ(FP_INVALID, fp_msg_slice_decode(&back, buf, len + 1));
	for (size_t cut = 0; cut < len; cut++)
		ASSERT_EQ(FP_INVALID, fp_msg_slice_decode(&back, buf, cut));
	buf[1] = FP_MSG_SLICE_TYPE_END;
	EXPECT_EQ(FP_INVALID, fp_msg_slice_decode(&back, buf, len));
	m.n_items = 0;
	EXPECT_EQ(FP_INVALID, fp_msg_slice_encode(&m, buf, sizeof(buf), &len));
}
