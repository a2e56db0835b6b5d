/* directory_sim.h - fixture: a directory and a simulated store with faults */
#ifndef FP_TEST_DIRECTORY_SIM_H
#define FP_TEST_DIRECTORY_SIM_H

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"
#include "coordination/directory.h"
#include "platform/platform.h"

/* In-memory store; answers a call in the next iteration of the event
 * loop. */
struct fake_registry {
	struct fp_registry registry; /* first member */
	struct fp_loop *loop;
	struct item {
		std::string value;
		uint64_t revision;
		uint64_t lease;
	};
	std::map<std::string, item> items;
	bool has_old = false; /* reads that may be old see old_items */
	std::map<std::string, item> old_items;
	std::map<uint64_t, bool> leases;
	uint64_t epoch = 0; /* 0: it names none */
	uint64_t revision = 10;
	uint64_t next_lease = 100;
	enum fp_status fail_status =
		FP_OK; /* every call fails with it, unless FP_OK */
	bool lose_put_answers =
		false; /* puts are applied, but answered FP_TIMEOUT */
	enum fp_status put_status = FP_OK; /* every put fails with it */
	/* Delay of the next put, which is answered FP_TIMEOUT at once and done
	 * later if its condition still holds; 0: done at once. */
	std::function<int()> put_delay_ms = [] { return 0; };
	struct late_put {
		int64_t at_us;
		std::string key, value;
		uint64_t lease, expect;
	};
	std::vector<late_put> late_puts;
	/* Leases end after the time to live that they were opened with;
	 * otherwise only by end_lease(). */
	bool leases_expire = false;
	std::map<uint64_t, int64_t> lease_ttl_us;
	std::map<uint64_t, int64_t> renewed_us; /* leases */
	uint64_t compacted = 0; /* FP_EXHAUSTED for older watch revisions */
	std::map<std::string, int> calls; /* number, by operation */

	struct pending {
		fp_registry_done_fn done;
		void *ctx;
		enum fp_status status;
		uint64_t revision;
		uint64_t lease;
		std::vector<std::pair<std::string, item>> items;
		std::vector<bool> removed;
		uint64_t epoch = 0;
	};
	struct waiting {
		std::string prefix;
		uint64_t after;
		fp_registry_done_fn done;
		void *ctx;
		int64_t end_us;
	};
	std::vector<waiting> watches;
	std::vector<waiting> hung; /* watches that end only by their timeout */
	/* Revision and key of each removal. */
	std::vector<std::pair<uint64_t, std::string>> removals;

	static fake_registry *of(struct fp_registry *r)
	{
		return reinterpret_cast<fake_registry *>(r);
	}

	static void answer(void *ctx)
	{
		auto *p = static_cast<pending *>(ctx);
		std::vector<struct fp_registry_item> list;
		struct fp_registry_result r = {};

		for (size_t i = 0; i < p->items.size(); i++) {
			struct fp_registry_item it = {};

			it.key = p->items[i].first.c_str();
			it.value = reinterpret_cast<const uint8_t *>(
				p->items[i].second.value.data());
			it.value_bytes = p->items[i].second.value.size();
			it.revision = p->items[i].second.revision;
			it.removed = i < p->removed.size() && p->removed[i];
			list.push_back(it);
		}
		r.status = p->status;
		r.revision = p->revision;
		r.epoch = p->epoch;
		r.lease = p->lease;
		r.items = list.data();
		r.n_items = list.size();
		p->done(p->ctx, &r);
		delete p;
	}

	/* Counts a call and prepares its answer. */
	pending *start(const char *call, fp_registry_done_fn done, void *ctx)
	{
		calls[call]++;
		return new pending{
			done, ctx, fail_status, revision, 0, {}, {}
		};
	}

	bool hang_watches = false; /* new watches are added to hung */
	bool hold_answers = false; /* answers are held back */
	std::vector<pending *> held;

	void send(pending *p)
	{
		p->epoch = epoch;
		if (hold_answers)
			held.push_back(p);
		else
			fp_loop_post(loop, answer, p);
	}

	/* Ends the held calls with FP_TIMEOUT. */
	void time_out_held()
	{
		for (auto *p : held) {
			p->status = FP_TIMEOUT;
			fp_loop_post(loop, answer, p);
		}
		held.clear();
	}

	void write(const std::string &key, const std::string &value,
		   uint64_t lease = 0)
	{
		items[key] = { value, ++revision, lease };
		notify_watches();
	}

	void remove(const std::string &key)
	{
		items.erase(key);
		removals.push_back({ ++revision, key });
		notify_watches();
	}

	void end_lease(uint64_t lease)
	{
		std::vector<std::string> keys;

		leases.erase(lease);
		for (auto &i : items)
			if (i.second.lease == lease)
				keys.push_back(i.first);
		for (auto &key : keys)
			remove(key);
	}

	/* What the store holds; returned by copy(). */
	struct contents {
		std::map<std::string, item> items;
		std::map<uint64_t, bool> leases;
		std::vector<std::pair<uint64_t, std::string>> removals;
		uint64_t revision, next_lease;
	};

	/* Names its epoch from now on. */
	void name_epoch()
	{
		epoch = 1;
		revision = fp_revision(epoch, revision);
	}

	contents copy() const
	{
		return { items, leases, removals, revision, next_lease };
	}

	/* Comes back from a copy: writes and leases of after it are lost, and
	 * their revisions and ids are given out again, in a new epoch. */
	void restore(const contents &c)
	{
		auto requalify = [this](uint64_t r) {
			return fp_revision(epoch, fp_revision_counter(r));
		};
		std::vector<waiting> all;

		epoch++;
		items = c.items;
		leases = c.leases;
		removals = c.removals;
		next_lease = c.next_lease;
		revision = requalify(c.revision);
		for (auto &i : items)
			i.second.revision = requalify(i.second.revision);
		for (auto &r : removals)
			r.first = requalify(r.first);
		for (auto &l : leases)
			renewed_us[l.first] = fp_loop_now_us(loop);
		all.swap(watches);
		for (auto &w : all)
			send(new pending{
				w.done, w.ctx, FP_EXHAUSTED, 0, 0, {}, {} });
	}

	/* Answers the watches that have changes. */
	void notify_watches()
	{
		std::vector<waiting> remaining;

		for (auto &w : watches) {
			pending p = {
				w.done, w.ctx, FP_OK, revision, 0, {}, {}
			};

			collect(w.prefix, w.after, &p);
			if (p.items.empty())
				remaining.push_back(w);
			else
				send(new pending(p));
		}
		watches = remaining;
	}

	void collect(const std::string &prefix, uint64_t after, pending *p)
	{
		for (auto &i : items)
			if (i.first.rfind(prefix, 0) == 0 &&
			    i.second.revision > after) {
				p->items.push_back(i);
				p->removed.push_back(false);
			}
		for (auto &r : removals)
			if (r.second.rfind(prefix, 0) == 0 && r.first > after &&
			    !items.count(r.second)) {
				p->items.push_back(
					{ r.second, { "", r.first, 0 } });
				p->removed.push_back(true);
			}
	}

	/* Whether a put has an effect; FP_OK, or its failure. */
	enum fp_status check_put(const std::string &key, uint64_t lease,
				 uint64_t expect)
	{
		uint64_t present = items.count(key) ? items[key].revision : 0;

		if (expect != FP_REGISTRY_ANY && expect != present)
			return FP_CONFLICT;
		return lease && !leases.count(lease) ? FP_NOT_FOUND : FP_OK;
	}

	/* Does the late puts that are due, and ends leases. */
	void run_due()
	{
		int64_t now_us = fp_loop_now_us(loop);
		std::vector<late_put> all;

		all.swap(late_puts);
		for (auto &p : all) {
			if (p.at_us > now_us)
				late_puts.push_back(p);
			else if (check_put(p.key, p.lease, p.expect) == FP_OK)
				write(p.key, p.value, p.lease);
		}
		if (!leases_expire)
			return;
		std::map<uint64_t, bool> open = leases;
		for (auto &l : open)
			if (now_us - renewed_us[l.first] >
			    lease_ttl_us[l.first])
				end_lease(l.first);
	}

	/* Ends the watches whose wait time has passed. Hung watches end with
	 * FP_TIMEOUT, one second after their wait time. */
	void expire()
	{
		int64_t now_us = fp_loop_now_us(loop);
		auto end = [&](std::vector<waiting> &all, enum fp_status st) {
			for (size_t i = 0; i < all.size();) {
				if (all[i].end_us > now_us) {
					i++;
					continue;
				}
				send(new pending{ all[i].done,
						  all[i].ctx,
						  st,
						  revision,
						  0,
						  {},
						  {} });
				all.erase(all.begin() + (long)i);
			}
		};

		end(watches, FP_OK);
		end(hung, FP_TIMEOUT);
	}

	/* Ends all waiting watches with FP_TIMEOUT, as a restart of the store
	 * does. */
	void abort_watches()
	{
		std::vector<waiting> all;

		all.swap(watches);
		for (auto &w : all)
			send(new pending{
				w.done, w.ctx, FP_TIMEOUT, 0, 0, {}, {} });
	}

	static void get(struct fp_registry *r, const char *key, bool may_be_old,
			fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p =
			f->start(may_be_old ? "get_old" : "get", done, ctx);
		auto &from = may_be_old && f->has_old ? f->old_items : f->items;
		auto i = from.find(key);

		if (p->status == FP_OK && i == from.end())
			p->status = FP_NOT_FOUND;
		else if (p->status == FP_OK)
			p->items.push_back(*i);
		f->send(p);
	}

	static void list(struct fp_registry *r, const char *prefix,
			 fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("list", done, ctx);

		if (p->status == FP_OK)
			for (auto &i : f->items)
				if (i.first.rfind(prefix, 0) == 0)
					p->items.push_back(i);
		f->send(p);
	}

	static void watch(struct fp_registry *r, const char *prefix,
			  uint64_t after, int64_t wait_us,
			  fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		int64_t end_us = fp_loop_now_us(f->loop) + wait_us;

		if (f->hang_watches) {
			f->hung.push_back({ prefix, after, done, ctx,
					    end_us + FP_US_PER_S });
			return;
		}
		if (f->fail_status != FP_OK || after < f->compacted ||
		    fp_revision_epoch(after) != f->epoch) {
			pending *p = f->start("watch", done, ctx);

			if (p->status == FP_OK)
				p->status = FP_EXHAUSTED;
			f->send(p);
			return;
		}
		f->calls["watch"]++;
		f->watches.push_back({ prefix, after, done, ctx, end_us });
		f->notify_watches();
	}

	static void put(struct fp_registry *r, const char *key,
			const void *value, size_t bytes, uint64_t lease,
			uint64_t expect, fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("put", done, ctx);
		std::string text(static_cast<const char *>(value), bytes);
		int delay_ms = f->put_delay_ms();

		if (p->status == FP_OK)
			p->status = f->put_status;
		if (p->status == FP_OK && delay_ms) {
			f->late_puts.push_back(
				{ fp_loop_now_us(f->loop) + delay_ms * 1000,
				  key, text, lease, expect });
			p->status = FP_TIMEOUT;
			f->send(p);
			return;
		}
		if (p->status == FP_OK)
			p->status = f->check_put(key, lease, expect);
		if (p->status == FP_OK) {
			f->write(key, text, lease);
			p->revision = f->revision;
		} else if (p->status == FP_CONFLICT && f->items.count(key)) {
			p->items.push_back({ key, f->items[key] });
		}
		if (f->lose_put_answers && p->status == FP_OK)
			p->status = FP_TIMEOUT;
		f->send(p);
	}

	static void open_lease(struct fp_registry *r, int64_t ttl_us,
			       fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("open", done, ctx);

		if (p->status == FP_OK) {
			p->lease = f->next_lease++;
			f->lease_ttl_us[p->lease] = ttl_us;
			f->leases[p->lease] = true;
			f->renewed_us[p->lease] = fp_loop_now_us(f->loop);
		}
		f->send(p);
	}

	static void keep_lease(struct fp_registry *r, uint64_t lease,
			       fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("keep", done, ctx);

		if (p->status == FP_OK && !f->leases.count(lease))
			p->status = FP_NOT_FOUND;
		else if (p->status == FP_OK)
			f->renewed_us[lease] = fp_loop_now_us(f->loop);
		f->send(p);
	}

	static void end_lease_op(struct fp_registry *r, uint64_t lease,
				 fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("end", done, ctx);

		f->end_lease(lease);
		f->send(p);
	}
};

class Directory : public testing::Test
{
      protected:
	void SetUp() override
	{
		static const struct fp_registry_ops registry_ops = {
			fake_registry::get,	     fake_registry::list,
			fake_registry::watch,	     fake_registry::put,
			fake_registry::open_lease,   fake_registry::keep_lease,
			fake_registry::end_lease_op, nullptr,
		};
		struct fp_directory_ops callbacks = {};

		fp_log_setup(FP_LOG_ERROR, 2);
		fp_manual_clock_init(&clock, 1000000);
		ASSERT_EQ(FP_OK, fp_loop_init(&clock.clock, &loop));
		store.registry.ops = &registry_ops;
		store.loop = loop;
		cfg.clock = &clock.clock;
		cfg.registry = &store.registry;
		cfg.dialect = &platform_dialect;
		init_member(&cfg.self, "n1", 1);
		callbacks.config = [](void *ctx, struct fp_config *c) {
			auto *t = static_cast<Directory *>(ctx);

			t->revisions.push_back(c->revision);
			fp_config_end(c);
		};
		callbacks.members = [](void *ctx, struct fp_member_table *m) {
			auto *t = static_cast<Directory *>(ctx);

			t->members.clear();
			for (uint32_t i = 0; i < m->n; i++)
				t->members[m->members[i].name] = m->members[i];
			free(m);
		};
		callbacks.secret = [](void *ctx, const uint8_t *secret) {
			auto *t = static_cast<Directory *>(ctx);

			t->secrets.emplace_back(
				reinterpret_cast<const char *>(secret),
				FP_DIRECTORY_SECRET_BYTES);
		};
		callbacks.share_validity =
			[](void *ctx, const struct fp_share_validity *r) {
				static_cast<Directory *>(ctx)->validity = *r;
			};
		callbacks.config_confirmed = [](void *ctx,
						int64_t requested_us) {
			static_cast<Directory *>(ctx)->confirmed_us =
				requested_us;
		};
		callbacks.worker_ended = [](void *ctx,
					    const struct fp_worker_end *e) {
			static_cast<Directory *>(ctx)->worker_ends.push_back(
				*e);
		};
		callbacks.worker_end_stored =
			[](void *ctx, const struct fp_worker_end *e) {
				static_cast<Directory *>(ctx)
					->stored_ends.push_back(*e);
			};
		callbacks.send = [](void *ctx, const char *addr,
				    const struct fp_msg_shared *m) {
			static_cast<Directory *>(ctx)->sent.push_back(
				{ addr, *m });
		};
		callbacks.ctx = this;
		directory_ops = callbacks;
	}

	void TearDown() override
	{
		if (d)
			end_process(1);
		fp_loop_end(loop);
	}

	static void init_member(struct fp_member *m, const char *name,
				uint64_t id)
	{
		memset(m, 0, sizeof(*m));
		m->id = id;
		strcpy(m->name, name);
		strcpy(m->peer_addr, "10.0.0.1:80");
		strcpy(m->failure_domain, "a");
		strcpy(m->region, "r");
		strcpy(m->service, "rota");
	}

	static std::string member_json(const char *name, int id, bool serving)
	{
		return "{\"id\":" + std::to_string(id) + ",\"name\":\"" + name +
		       "\",\"peer\":\"10.0.0.2:80\",\"domain\":\"a\","
		       "\"region\":\"r\",\"service\":\"s\",\"slots\":4,"
		       "\"serving\":" +
		       (serving ? "true" : "false") + "}";
	}

	static std::string config_json(int version)
	{
		return "{\"version\":\"r" + std::to_string(version) +
		       "\",\"routes\":{},\"tenants\":{}}";
	}

	void start()
	{
		d = fp_directory_init(loop, &cfg, &directory_ops);
		ASSERT_NE(nullptr, d);
		run_ms(10);
	}

	/* Ends the process, as a kill does; the store goes on for ms. */
	void end_process(int ms)
	{
		fp_directory_close(d);
		run_ms(ms); /* answers of open calls */
		store.watches.clear();
		fp_directory_end(d);
		d = nullptr;
		members.clear();
	}

	/* Starts n1 with a member n2 in the store, and runs for ms. */
	void start_with_n2(int ms)
	{
		store.write("op/config", config_json(5));
		store.write("fulmar/nodes/n2", member_json("n2", 2, true));
		start();
		run_ms(ms);
	}

	void run_ms(int ms)
	{
		for (int i = 0; i < ms; i++) {
			store.run_due();
			store.expire();
			for (int round = 0; round < 4; round++)
				fp_loop_run_once(loop, 0);
			fp_manual_clock_advance(&clock, 1000);
		}
	}

	int total_calls()
	{
		int n = 0;

		for (auto &c : store.calls)
			n += c.second;
		return n;
	}

	struct fp_manual_clock clock;
	struct fp_loop *loop = nullptr;
	struct fake_registry store;
	struct fp_directory_config cfg = {};
	struct fp_directory_ops directory_ops = {};
	struct fp_directory *d = nullptr;
	std::vector<uint64_t> revisions;
	std::map<std::string, struct fp_member> members;
	std::vector<std::string> secrets;
	std::vector<struct fp_worker_end> worker_ends;
	std::vector<struct fp_worker_end> stored_ends;
	struct fp_share_validity validity = {};
	int64_t confirmed_us = 0; /* request time of the last confirmation */
	std::vector<std::pair<std::string, struct fp_msg_shared>> sent;
};

#endif
