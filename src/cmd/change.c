/* change.c - sends one change of an operator and determines its outcome
 *
 * A change carries a random id and its base revision. The fleet accepts it by
 * compare-and-swap on that revision, so it takes effect at most once, however
 * often it is sent. The configuration record then lists its id. If an answer is
 * lost, the record is read from the store:
 *
 *   it lists the id                   the change was accepted
 *   later revision without the id     another change came first; this one
 *                                     cannot take effect
 *   the base revision                 not known yet; the change is sent again
 *
 * The record lists only the newest ids. If more revisions followed than it
 * lists, the outcome stays unknown. A change that commutes with all others
 * (such as a new key) is sent with a new base revision once it is known that
 * another change came first.
 */
#include "cmd/change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coordination/config_diff.h"
#include "protocol/config_tables.h"

/* Maximum number of sends of one change, and the pause between two sends. */
#define MAX_SENDS     5
#define SEND_PAUSE_MS 400

/** Outcome of one send. */
enum send_outcome {
	SEND_ACCEPTED,
	SEND_REFUSED, /* known to have had no effect */
	SEND_CONFLICT, /* the base revision is not the newest */
	SEND_NOT_SENT,
	SEND_UNKNOWN, /* it may have had an effect */
};

/** A change whose outcome is being determined. */
struct pending_change {
	struct admin *admin;
	const struct change_request *request;
	struct change_result *result;
	char change_id[FP_NAME_BYTES];
	uint64_t base_revision;
	bool in_doubt; /* an earlier send may have taken or may take effect */
};

static void pause_ms(long ms)
{
	struct timespec ts = { ms / 1000, (ms % 1000) * 1000000L };

	nanosleep(&ts, NULL);
}

static void set_result(struct pending_change *s, enum cmd_exit code,
		       const char *reason)
{
	s->result->code = code;
	snprintf(s->result->reason, sizeof(s->result->reason), "%s", reason);
}

static enum send_outcome classify_answer(struct pending_change *s,
					 const struct admin_answer *r)
{
	const json_t *accepted = json_object_get(r->body, "accepted");
	const char *reason =
		json_string_value(json_object_get(r->body, "reason"));
	char text[FP_MESSAGE_BYTES];

	if (json_is_true(accepted)) {
		s->result->revision = (uint64_t)json_integer_value(
			json_object_get(r->body, "revision"));
		return SEND_ACCEPTED;
	}
	if (json_is_true(json_object_get(r->body, "conflict")))
		return SEND_CONFLICT;
	snprintf(text, sizeof(text), "the node answers %ld%s%.300s",
		 r->http_status, reason ? ": " : "", reason ? reason : "");
	set_result(s, CMD_REFUSED, text);
	/* any other answer does not prove that the change was refused */
	if (json_is_false(accepted) || r->http_status == 401 ||
	    r->http_status == 403)
		return SEND_REFUSED;
	return SEND_UNKNOWN;
}

static enum send_outcome send_once(struct pending_change *s)
{
	const struct change_request *q = s->request;
	struct admin_answer r;
	enum send_outcome outcome;
	json_t *body;
	enum fp_status st;

	body = json_pack("{s:s, s:I, s:s, s:O}", "change_id", s->change_id,
			 "base_revision", (json_int_t)s->base_revision,
			 "command", fp_change_kind_name(q->kind), "args",
			 q->args);
	if (!body) {
		set_result(s, CMD_NO_NODE, "out of memory");
		return SEND_NOT_SENT;
	}
	st = admin_call(s->admin, "/v1/change", body, &r);
	json_decref(body);
	if (st) {
		set_result(s, CMD_NO_NODE, fp_last_message());
		return st == FP_UNAVAILABLE ? SEND_NOT_SENT : SEND_UNKNOWN;
	}
	outcome = classify_answer(s, &r);
	json_decref(r.body);
	return outcome;
}

static void set_conflict(struct pending_change *s, const struct fp_config *now)
{
	char text[FP_MESSAGE_BYTES];

	snprintf(text, sizeof(text),
		 "another change came first: revision %llu is in force, this "
		 "was based on %llu",
		 (unsigned long long)(now ? now->revision : 0),
		 (unsigned long long)s->base_revision);
	set_result(s, CMD_CONFLICT, text);
	free(s->result->difference);
	s->result->difference = NULL;
	if (now)
		s->result->difference = fp_config_diff(s->request->base, now);
}

/* Handles a record of a later revision that does not list the change; returns
 * whether the outcome is known. */
static bool resolve_superseded(struct pending_change *s,
			       const struct fp_config *now)
{
	uint64_t passed = now->revision - s->base_revision;

	if (s->in_doubt && passed > now->n_recent_change_ids) {
		set_result(s, CMD_UNKNOWN,
			   "outcome unknown: more revisions have "
			   "passed than the record lists changes");
		return true;
	}
	s->in_doubt = false;
	set_conflict(s, now);
	if (!s->request->commutes)
		return true;
	s->base_revision = now->revision;
	return false;
}

/* Reads the record from the store; returns whether the outcome is known. */
static bool resolve_from_store(struct pending_change *s)
{
	struct fp_config *now;
	bool known = false;

	if (admin_config(s->admin, true, &now))
		return false;
	if (now && fp_config_has_change(now, s->change_id)) {
		s->result->code = CMD_DONE;
		s->result->revision = now->revision;
		known = true;
	} else if (now && now->revision > s->base_revision) {
		known = resolve_superseded(s, now);
	}
	fp_config_end(now);
	return known;
}

/* Sends the change once; returns whether the outcome is known. */
static bool send_and_resolve(struct pending_change *s)
{
	enum send_outcome outcome = send_once(s);

	if (outcome == SEND_ACCEPTED) {
		s->result->code = CMD_DONE;
		return true;
	}
	if (outcome == SEND_UNKNOWN)
		s->in_doubt = true;
	if ((outcome == SEND_REFUSED || outcome == SEND_NOT_SENT) &&
	    !s->in_doubt)
		return true;
	if (outcome == SEND_CONFLICT && !s->in_doubt)
		set_conflict(s, NULL);
	return resolve_from_store(s);
}

void change_send(struct admin *a, const struct change_request *q,
		 struct change_result *r)
{
	struct pending_change s = { .admin = a, .request = q, .result = r };
	char text[FP_MESSAGE_BYTES];
	int i;

	memset(r, 0, sizeof(*r));
	r->code = CMD_REFUSED;
	fp_random_name("", 16, s.change_id);
	s.base_revision = q->base ? q->base->revision : 0;
	for (i = 0; i < MAX_SENDS; i++) {
		if (send_and_resolve(&s))
			return;
		pause_ms(SEND_PAUSE_MS);
	}
	if (!s.in_doubt)
		return;
	snprintf(text, sizeof(text),
		 "it is not known whether change %s took effect (%.200s)",
		 s.change_id, r->reason);
	set_result(&s, CMD_UNKNOWN, text);
}

enum cmd_exit change_report(const struct cmd_options *o,
			    struct change_result *r)
{
	enum cmd_exit code = r->code;
	const char *difference = r->difference ? r->difference : "";

	if (code != CMD_DONE && o->json)
		cmd_print_json(json_pack("{s:s, s:s}", "reason", r->reason,
					 "difference", difference),
			       code);
	else if (code != CMD_DONE)
		fprintf(stderr, "fulmarpass: %s\n%s", r->reason, difference);
	free(r->difference);
	r->difference = NULL;
	return code;
}
