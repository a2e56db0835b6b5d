/*
 * directory_relay.c - one node of a failure domain reads the store for the others
 *
 * The first by name of a domain's members is its delegate, the others are its
 * followers. It reads the operators' record each second and tells the followers
 * that asked meanwhile which revision the store holds and how long ago it asked.
 * A follower reads the record itself only if it holds another revision, so calls
 * to the store grow with domains and changes, not with nodes.
 *
 * It also tells them which records of members changed since the revision that
 * their question names, at once when it hears of it, so that they need not watch
 * the store. News that are lost are sent again: the next question names the same
 * revision as the one before.
 *
 * The answer is sent after the question, and the store was asked age_us before
 * the answer. So the record was current age_us before the question, on the
 * follower's own clock, however long either message took.
 *
 * A delegate that does not answer in time, or cannot tell, is not asked for
 * DIRECT_US; its followers read the store themselves. Nothing is agreed on: a
 * node that is asked but follows another one says that it cannot tell.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"

/* Between an answer and the next question: half of the delegate's second, so
 * that the question is there before the store is asked again. */
#define QUESTION_PAUSE_US (500 * FP_US_PER_MS)
/* The other half, and a store that answers in 300 ms. */
#define ANSWER_WAIT_US (800 * FP_US_PER_MS)
/* About the lease of a record: a delegate that is gone is missing by then. */
#define DIRECT_US (5 * FP_US_PER_S)

/* Between the last word of a delegate that can tell of members and a watch of
 * the store's: two answers may come late. */
#define TOLD_US (2 * FP_US_PER_S)
/* So many answers that name a later revision than is known: news are lost. */
#define MAX_BEHIND 2

static const struct fp_member *delegate(const struct fp_directory *d)
{
	const struct fp_member *best = &d->cfg.self;
	const struct directory_record *rec;

	for (rec = d->records; rec; rec = rec->next)
		if (!rec->missing_us &&
		    strcmp(rec->member.failure_domain,
			   d->cfg.self.failure_domain) == 0 &&
		    strcmp(rec->member.name, best->name) < 0)
			best = &rec->member;
	return best;
}

static bool asks_itself(const struct fp_directory *d)
{
	return delegate(d) == &d->cfg.self ||
	       fp_loop_now_us(d->loop) < d->direct_until_us;
}

static void note_delegate(struct fp_directory *d, const struct fp_member *m)
{
	if (d->delegate == m->id)
		return;
	d->delegate = m->id;
	fp_log(FP_LOG_INFO, "delegate", "member=%s self=%d", m->name,
	       m == &d->cfg.self);
}

bool directory_ask_delegate(struct fp_directory *d)
{
	struct fp_msg_shared m = { .type = FP_MSG_CURRENT_ASK };
	const struct fp_member *to = delegate(d);

	note_delegate(d, to);
	if (asks_itself(d) || !d->config_read || d->read_now)
		return false;
	/* Those who took this node for the delegate. */
	directory_answer_followers(d, FP_UNAVAILABLE);
	d->relayed = true;
	d->config_asked_us = fp_mono_us(d->cfg.clock);
	m.id = ++d->ask_id;
	m.current_ask.members_revision = d->others_after;
	d->told.asked_revision = d->others_after;
	d->told.n_news = 0;
	d->ops.send(d->ops.ctx, to->peer_addr, &m);
	directory_run_after(&d->config, ANSWER_WAIT_US);
	return true;
}

static void leave_delegate(struct fp_directory *d, const char *why)
{
	d->relayed = false;
	d->direct_until_us = fp_loop_now_us(d->loop) + DIRECT_US;
	fp_log(FP_LOG_INFO, "delegate_left", "member_id=%016" PRIx64 " why=%s",
	       d->delegate, why);
}

void directory_delegate_silent(struct fp_directory *d)
{
	leave_delegate(d, "timeout");
}

/* Whether this node knows all changes since a revision, out of the store. */
static bool can_tell(const struct fp_directory *d, uint64_t after)
{
	return d->listed && d->others_after && !d->others.failing &&
	       !d->told.active && after >= d->listed_revision;
}

static uint32_t send_news(struct fp_directory *d,
			  const struct directory_follower *k)
{
	struct fp_msg_shared m = { .type = FP_MSG_MEMBER_NEWS,
				   .id = k->ask_id };
	const struct directory_record *rec;
	uint32_t n = 0;

	for (rec = d->records; rec; rec = rec->next) {
		if (directory_changed_at(rec) <= k->members_revision)
			continue;
		m.member_news.after = k->members_revision;
		m.member_news.revision = directory_changed_at(rec);
		m.member_news.removed = rec->missing_us != 0;
		memcpy(m.member_news.name, rec->member.name,
		       sizeof(m.member_news.name));
		directory_encode_member(&rec->member, m.member_news.record,
					sizeof(m.member_news.record));
		d->ops.send(d->ops.ctx, k->addr, &m);
		n++;
	}
	return n;
}

static void tell(struct fp_directory *d, struct directory_follower *k)
{
	struct fp_msg_shared m = { .type = FP_MSG_MEMBERS_TOLD,
				   .id = k->ask_id };

	if (!k->members_revision || k->members_revision >= d->others_after ||
	    !can_tell(d, k->members_revision))
		return;
	m.members_told.n_news = send_news(d, k);
	m.members_told.after = k->members_revision;
	m.members_told.revision = d->others_after;
	d->ops.send(d->ops.ctx, k->addr, &m);
	k->members_revision = d->others_after;
}

void directory_tell_followers(struct fp_directory *d)
{
	struct directory_follower *k;

	for (k = d->followers; k; k = k->next)
		tell(d, k);
}

static void answer(struct fp_directory *d, const char *addr, uint64_t ask_id,
		   uint64_t members_revision, enum fp_status st)
{
	struct fp_msg_shared m = { .type = FP_MSG_CURRENT_ANSWER,
				   .id = ask_id };

	m.current_answer.status = st;
	m.current_answer.item_revision = d->config_item;
	m.current_answer.age_us = fp_mono_us(d->cfg.clock) - d->config_asked_us;
	m.current_answer.tells_members = can_tell(d, members_revision);
	m.current_answer.members_revision = d->others_after;
	d->ops.send(d->ops.ctx, addr, &m);
}

void directory_answer_followers(struct fp_directory *d, enum fp_status st)
{
	struct directory_follower *k;

	while ((k = d->followers)) {
		d->followers = k->next;
		answer(d, k->addr, k->ask_id, k->members_revision, st);
		free(k);
	}
}

/* Only the last question of a member counts, which bounds the list by the
 * fleet. */
static void take_ask(struct fp_directory *d, const char *addr, uint64_t ask_id,
		     uint64_t members_revision)
{
	struct directory_follower *k = d->followers;

	if (!asks_itself(d) || d->config.failing || !d->config_read) {
		answer(d, addr, ask_id, 0, FP_UNAVAILABLE);
		return;
	}
	while (k && strcmp(k->addr, addr) != 0)
		k = k->next;
	if (!k) {
		k = calloc(1, sizeof(*k));
		if (!k)
			abort();
		strncpy(k->addr, addr, sizeof(k->addr) - 1);
		k->next = d->followers;
		d->followers = k;
	}
	k->ask_id = ask_id;
	k->members_revision = members_revision;
	tell(d, k);
}

bool directory_is_told(struct fp_directory *d)
{
	bool told = d->told.heard_us &&
		    fp_loop_now_us(d->loop) - d->told.heard_us < TOLD_US &&
		    !asks_itself(d);

	if (told != d->told.active)
		fp_log(FP_LOG_INFO, "members_told",
		       "told=%d delegate=%016" PRIx64 " revision=%" PRIu64,
		       told, d->delegate, d->others_after);
	d->told.active = told;
	return told;
}

static void note_told(struct fp_directory *d, const struct fp_current_answer *a)
{
	if (!d->told.asked_revision)
		return;
	if (a->members_revision <= d->others_after)
		d->told.n_behind = 0;
	else if (!d->others_asked)
		d->told.n_behind++;
	if (a->tells_members && d->told.n_behind <= MAX_BEHIND)
		d->told.heard_us = fp_loop_now_us(d->loop);
	else
		d->told.heard_us = 0;
}

static void take_told(struct fp_directory *d, const struct fp_members_told *t)
{
	bool whole = t->n_news == d->told.n_news && t->after == d->others_after;

	d->told.n_news = 0;
	if (whole)
		directory_take_told(d, t->revision);
}

static void take_answer(struct fp_directory *d, uint64_t ask_id,
			const struct fp_current_answer *a)
{
	if (!d->relayed || ask_id != d->ask_id)
		return;
	if (a->status != FP_OK || a->item_revision < d->config_item) {
		leave_delegate(d, a->status != FP_OK ? "unavailable" : "old");
		directory_run_after(&d->config, 0);
		return;
	}
	d->relayed = false;
	note_told(d, a);
	d->read_now = a->item_revision != d->config_item;
	if (!d->read_now)
		d->ops.current(d->ops.ctx, d->config_asked_us - a->age_us);
	directory_run_after(&d->config, d->read_now ? 0 : QUESTION_PAUSE_US);
}

void fp_directory_message(struct fp_directory *d, const char *addr,
			  const struct fp_msg_shared *m)
{
	/* News are of the open question, and of nothing that the store is asked
	 * for meanwhile. */
	bool news = d->relayed && m->id == d->ask_id && !d->others_asked;

	if (d->closed)
		return;
	if (m->type == FP_MSG_CURRENT_ASK)
		take_ask(d, addr, m->id, m->current_ask.members_revision);
	else if (m->type == FP_MSG_CURRENT_ANSWER)
		take_answer(d, m->id, &m->current_answer);
	else if (m->type == FP_MSG_MEMBER_NEWS && news)
		directory_take_news(d, &m->member_news);
	else if (m->type == FP_MSG_MEMBERS_TOLD && news)
		take_told(d, &m->members_told);
}
