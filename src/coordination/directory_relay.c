/*
 * directory_relay.c - one node of a failure domain reads the store for the others
 *
 * The first by name of a domain's members is its delegate, the others are its
 * followers. It reads the operators' record each second and tells the followers
 * that asked meanwhile which revision the store holds and how long ago it asked.
 * A follower reads the record itself only if it holds another revision, so calls
 * to the store grow with domains and changes, not with nodes.
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

static void answer(struct fp_directory *d, const char *addr, uint64_t ask_id,
		   enum fp_status st)
{
	struct fp_msg_shared m = { .type = FP_MSG_CURRENT_ANSWER,
				   .id = ask_id };

	m.current_answer.status = st;
	m.current_answer.item_revision = d->config_item;
	m.current_answer.age_us = fp_mono_us(d->cfg.clock) - d->config_asked_us;
	d->ops.send(d->ops.ctx, addr, &m);
}

void directory_answer_followers(struct fp_directory *d, enum fp_status st)
{
	struct directory_follower *k;

	while ((k = d->followers)) {
		d->followers = k->next;
		answer(d, k->addr, k->ask_id, st);
		free(k);
	}
}

/* Only the last question of a member counts, which bounds the list by the
 * fleet. */
static void take_ask(struct fp_directory *d, const char *addr, uint64_t ask_id)
{
	struct directory_follower *k = d->followers;

	if (!asks_itself(d) || d->config.failing || !d->config_read) {
		answer(d, addr, ask_id, FP_UNAVAILABLE);
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
	d->read_now = a->item_revision != d->config_item;
	if (!d->read_now)
		d->ops.current(d->ops.ctx, d->config_asked_us - a->age_us);
	directory_run_after(&d->config, d->read_now ? 0 : QUESTION_PAUSE_US);
}

void fp_directory_message(struct fp_directory *d, const char *addr,
			  const struct fp_msg_shared *m)
{
	if (d->closed)
		return;
	if (m->type == FP_MSG_CURRENT_ASK)
		take_ask(d, addr, m->id);
	else if (m->type == FP_MSG_CURRENT_ANSWER)
		take_answer(d, m->id, &m->current_answer);
}
