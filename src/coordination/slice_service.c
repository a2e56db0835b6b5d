/*
 * slice_service.c - all slices of one node: their ownership and their state
 *
 * Hosts the state machines of slice.h. Items for the same process in the same
 * round share one message, so that a pair of nodes sends one message per
 * period no matter how many slices it shares. The state machines' store calls
 * go to cfg.store. A store answer that arrives inside a call into a state
 * machine is deferred until that call has returned.
 */
#include "coordination/slice_service.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/slice_private.h"

static struct fp_slice_service *service_of(struct fp_slice_host *host)
{
	return (struct fp_slice_service *)host;
}

int64_t service_now(const struct fp_slice_service *svc)
{
	return svc->ops.now_us(svc->ops.ctx);
}

bool service_may_act(const struct local_slice *ls)
{
	return fp_slice_may_act(&ls->slice, service_now(ls->svc));
}

/* --- calls into fp_slice_* --- */

void service_enter(struct fp_slice_service *svc)
{
	svc->call_depth++;
}

/* Delivers store answers that arrived inside a call into fp_slice_*. */
void service_leave(struct fp_slice_service *svc)
{
	uint32_t i;

	if (--svc->call_depth > 0)
		return;
	for (i = 0; svc->n_deferred > 0 && i < FP_SLICES; i++) {
		struct local_slice *ls = &svc->slices[i];
		struct store_call call = ls->store_call;

		if (!call.deferred)
			continue;
		ls->store_call.deferred = false;
		svc->n_deferred--;
		svc->call_depth++;
		fp_slice_store_result(&ls->slice, call.token, call.status,
				      call.version, call.text,
				      service_now(svc));
		svc->call_depth--;
	}
}

void service_state_received(struct local_slice *ls, uint64_t epoch)
{
	service_enter(ls->svc);
	fp_slice_state_received(&ls->slice, epoch, service_now(ls->svc));
	service_leave(ls->svc);
}

static void to_slice_node(struct fp_slice_node *to,
			  const struct fp_view_node *from)
{
	memset(to, 0, sizeof(*to));
	to->id = from->id;
	memcpy(to->address, from->address, sizeof(to->address));
}

void service_learn_view(struct local_slice *ls, const struct fp_view_record *r)
{
	struct fp_slice_view v = { .epoch = r->epoch,
				   .backup_ready = r->backup_ready,
				   .renewals = r->renewals };

	to_slice_node(&v.primary, &r->primary);
	to_slice_node(&v.backup, &r->backup);
	service_enter(ls->svc);
	fp_slice_learn_view(&ls->slice, &v, r->version, service_now(ls->svc));
	service_leave(ls->svc);
}

/* --- sending --- */

const char *service_address(const struct fp_slice_service *svc, uint64_t id)
{
	uint32_t i;

	if (id == 0)
		return NULL;
	if (svc->sender == id)
		return svc->sender_addr;
	for (i = 0; svc->members && i < svc->members->n; i++)
		if (svc->members->members[i].id == id)
			return svc->members->members[i].control_addr;
	for (i = 0; i < FP_SLICES; i++) {
		const struct fp_view_record *route = &svc->slices[i].route;
		const struct fp_slice_view *v = &svc->slices[i].slice.view;

		if (route->primary.id == id && route->primary.address[0])
			return route->primary.address;
		if (route->backup.id == id && route->backup.address[0])
			return route->backup.address;
		if (v->primary.id == id && v->primary.address[0])
			return v->primary.address;
		if (v->backup.id == id && v->backup.address[0])
			return v->backup.address;
	}
	return NULL;
}

enum fp_status service_send_shared(struct fp_slice_service *svc,
				   const char *addr,
				   const struct fp_msg_shared *m)
{
	msgpack_sbuffer buf;
	enum fp_status st;

	msgpack_sbuffer_init(&buf);
	st = fp_msg_shared_encode(m, &buf);
	if (st == FP_OK)
		st = svc->ops.send(svc->ops.ctx, addr, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return st;
}

void service_reply(struct fp_slice_service *svc, const struct requester *req,
		   struct fp_msg_shared *m)
{
	msgpack_sbuffer buf;

	m->id = req->id;
	if (req->addr[0] != '\0') {
		service_send_shared(svc, req->addr, m);
		return;
	}
	msgpack_sbuffer_init(&buf);
	if (fp_msg_shared_encode(m, &buf) == FP_OK)
		svc->ops.to_traffic(svc->ops.ctx, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

void service_flush(struct fp_slice_service *svc)
{
	uint8_t buf[FP_MSG_SLICE_BYTES];
	const char *addr;
	size_t len;
	uint32_t i;

	for (i = 0; i < svc->n_outbox; i++) {
		addr = service_address(svc, svc->outbox[i].to);
		if (addr && fp_msg_slice_encode(&svc->outbox[i], buf,
						sizeof(buf), &len) == FP_OK)
			svc->ops.send(svc->ops.ctx, addr, buf, len);
	}
	svc->n_outbox = 0;
}

/* --- callbacks of fp_slice_* --- */

static void on_send(struct fp_slice_host *host, const struct fp_msg_slice *m)
{
	struct fp_slice_service *svc = service_of(host);
	struct fp_msg_slice *o;
	uint32_t i;

	for (i = 0; i < svc->n_outbox; i++) {
		o = &svc->outbox[i];
		if (o->type == m->type && o->to == m->to &&
		    o->request_us == m->request_us &&
		    o->n_items + m->n_items <= FP_SLICES) {
			memcpy(&o->items[o->n_items], m->items,
			       m->n_items * sizeof(m->items[0]));
			o->n_items += m->n_items;
			return;
		}
	}
	if (svc->n_outbox == OUTBOX_MESSAGES)
		service_flush(svc);
	svc->outbox[svc->n_outbox++] = *m;
}

static void on_store_done(void *ctx, const struct fp_store_result *r)
{
	struct local_slice *ls = ctx;
	struct store_call *c = &ls->store_call;

	if (ls->svc->closed)
		return;
	c->status = r->status;
	c->version = r->version;
	/* A text that does not fit is not a view. It is replaced by an empty
	 * text, which fails to parse, so the record is read again. */
	c->text[0] = '\0';
	if (r->value && r->value_bytes < sizeof(c->text)) {
		memcpy(c->text, r->value, r->value_bytes);
		c->text[r->value_bytes] = '\0';
	}
	c->deferred = true;
	ls->svc->n_deferred++;
	if (ls->svc->call_depth > 0)
		return;
	service_enter(ls->svc);
	service_leave(ls->svc);
	claims_answer_waiters(ls);
	service_flush(ls->svc);
}

static void on_store_read(struct fp_slice_host *host, uint32_t slice,
			  uint64_t token)
{
	struct fp_slice_service *svc = service_of(host);
	struct local_slice *ls = &svc->slices[slice];
	char key[FP_SLICE_KEY_BYTES];

	fp_slice_key(slice, key);
	ls->store_call.token = token;
	fp_counter_add(svc->counters.store_reads, 1);
	svc->cfg.store->ops->get(svc->cfg.store, key, on_store_done, ls);
}

static void on_store_cas(struct fp_slice_host *host, uint32_t slice,
			 uint64_t token, uint64_t version, const char *text)
{
	struct fp_slice_service *svc = service_of(host);
	struct local_slice *ls = &svc->slices[slice];
	char key[FP_SLICE_KEY_BYTES];

	fp_slice_key(slice, key);
	ls->store_call.token = token;
	fp_counter_add(svc->counters.store_writes, 1);
	svc->cfg.store->ops->cas(svc->cfg.store, key, text, version,
				 on_store_done, ls);
}

static void on_became_primary(struct fp_slice_host *host, uint32_t slice,
			      const struct fp_slice_ownership *t)
{
	struct fp_slice_service *svc = service_of(host);
	struct local_slice *ls = &svc->slices[slice];

	grants_begin(ls, t);
	claims_begin(ls, t);
	if (t->resumed)
		return;
	if (!t->first_owner)
		fp_counter_add(svc->counters.takeovers, 1);
	if (t->state_lost)
		fp_counter_add(svc->counters.state_lost, 1);
	fp_log(t->state_lost ? FP_LOG_WARN : FP_LOG_INFO, "slice_owned",
	       "slice=%u epoch=%" PRIu64 " first=%d claims_lost=%d", slice,
	       t->epoch, t->first_owner, t->state_lost);
}

static void on_stopped_acting(struct fp_slice_host *host, uint32_t slice,
			      uint64_t epoch)
{
	struct local_slice *ls = &service_of(host)->slices[slice];

	if (ls->slice.released)
		grants_hand_over(ls);
	fp_log(FP_LOG_INFO, "slice_ceased", "slice=%u epoch=%" PRIu64, slice,
	       epoch);
}

static void on_backup_ready(struct fp_slice_host *host, uint32_t slice,
			    const struct fp_slice_node *backup)
{
	(void)host;
	fp_log(FP_LOG_INFO, "slice_paired", "slice=%u backup=%s", slice,
	       backup->address);
}

static void on_transfer(struct fp_slice_host *host, uint32_t slice,
			uint64_t epoch, const struct fp_slice_node *backup)
{
	stream_begin(&service_of(host)->slices[slice], epoch, backup->id);
}

static enum fp_slice_member on_member(struct fp_slice_host *host, uint64_t id)
{
	return routes_member(service_of(host), id);
}

static bool on_pick_backup(struct fp_slice_host *host, uint32_t slice,
			   uint64_t not_id, struct fp_slice_node *out)
{
	return routes_pick_backup(service_of(host), slice, not_id, out);
}

static bool on_is_candidate(struct fp_slice_host *host, uint32_t slice)
{
	return routes_is_candidate(service_of(host), slice);
}

static uint32_t on_random_u32(struct fp_slice_host *host)
{
	const struct fp_slice_service *svc = service_of(host);

	return svc->ops.random_u32(svc->ops.ctx);
}

static const struct fp_slice_ops slice_ops = {
	.send = on_send,
	.store_read = on_store_read,
	.store_cas = on_store_cas,
	.became_primary = on_became_primary,
	.stopped_acting = on_stopped_acting,
	.backup_ready = on_backup_ready,
	.transfer = on_transfer,
	.member = on_member,
	.pick_backup = on_pick_backup,
	.is_candidate = on_is_candidate,
	.random_u32 = on_random_u32,
};

/* --- periodic work --- */

static void tick_slice(struct local_slice *ls)
{
	int64_t now_us = service_now(ls->svc);

	service_enter(ls->svc);
	fp_slice_tick(&ls->slice, now_us);
	service_leave(ls->svc);
	if (ls->slice.role != FP_SLICE_ROLE_PRIMARY) {
		grants_drop(ls);
		stream_drop(ls);
	} else {
		stream_tick(ls);
	}
	if (ls->slice.role == FP_SLICE_ROLE_NONE)
		claims_drop(ls);
	if (ls->claims)
		fp_claims_expire(ls->claims, now_us);
	claims_answer_waiters(ls);
}

static void count_roles(struct fp_slice_service *svc)
{
	int64_t primary = 0;
	int64_t backup = 0;
	uint32_t i;

	for (i = 0; i < FP_SLICES; i++) {
		const struct fp_slice *s = &svc->slices[i].slice;

		if (s->role == FP_SLICE_ROLE_PRIMARY)
			primary++;
		if (s->role == FP_SLICE_ROLE_BACKUP && s->view.backup_ready &&
		    s->state_epoch == s->view.epoch)
			backup++;
	}
	fp_counter_set(svc->counters.primary, primary);
	fp_counter_set(svc->counters.backup, backup);
}

void fp_slice_service_tick(struct fp_slice_service *svc)
{
	uint32_t i;

	for (i = 0; i < FP_SLICES; i++)
		tick_slice(&svc->slices[i]);
	service_flush(svc);
	routes_tick(svc);
	count_roles(svc);
	claims_update_counters(svc);
}

/* --- lifecycle --- */

static void get_counters(struct fp_slice_service *svc, struct fp_counters *cs)
{
	struct slice_counters *n = &svc->counters;

	n->primary = fp_counter_get(cs, "fulmar_slices_primary", "");
	n->backup = fp_counter_get(cs, "fulmar_slices_backup", "");
	n->grants_given =
		fp_counter_get(cs, "fulmar_grants_total", "result=\"given\"");
	n->grants_refused =
		fp_counter_get(cs, "fulmar_grants_total", "result=\"refused\"");
	n->tokens = fp_counter_get(cs, "fulmar_tokens_granted_total", "");
	n->claims = fp_counter_get(cs, "fulmar_claims_kept", "");
	n->claim_bytes = fp_counter_get(cs, "fulmar_claims_bytes", "");
	n->claims_full = fp_counter_get(cs, "fulmar_claims_full_total", "");
	n->replications = fp_counter_get(cs, "fulmar_replications_total", "");
	n->resends = fp_counter_get(cs, "fulmar_replication_resends_total", "");
	n->misrouted = fp_counter_get(cs, "fulmar_slice_misrouted_total", "");
	n->takeovers = fp_counter_get(cs, "fulmar_slice_takeovers_total", "");
	n->state_lost = fp_counter_get(cs, "fulmar_slice_state_lost_total", "");
	n->store_reads = fp_counter_get(cs, "fulmar_slice_store_calls_total",
					"call=\"get\"");
	n->store_writes = fp_counter_get(cs, "fulmar_slice_store_calls_total",
					 "call=\"cas\"");
}

enum fp_status fp_slice_service_init(const struct fp_slice_service_config *cfg,
				     const struct fp_slice_service_ops *ops,
				     struct fp_slice_service **out)
{
	struct fp_slice_service *svc = calloc(1, sizeof(*svc));
	uint32_t i;

	if (!svc)
		return fp_fail(FP_NOMEM, "out of memory");
	svc->host.ops = &slice_ops;
	svc->host.self.id = cfg->id;
	strncpy(svc->host.self.address, cfg->address,
		sizeof(svc->host.self.address) - 1);
	svc->host.claim_lifetime_us =
		cfg->claim_lifetime_us +
		cfg->claim_lifetime_us / FP_SLICE_DRIFT_DIVISOR;
	strncpy(svc->domain, cfg->failure_domain, sizeof(svc->domain) - 1);
	svc->ops = *ops;
	svc->cfg = *cfg;
	get_counters(svc, cfg->counters);
	for (i = 0; i < FP_SLICES; i++) {
		svc->slices[i].svc = svc;
		svc->slices[i].waiters_end = &svc->slices[i].waiters;
		fp_slice_init(&svc->slices[i].slice, i, &svc->host,
			      service_now(svc));
	}
	*out = svc;
	return FP_OK;
}

void fp_slice_service_set_config(struct fp_slice_service *svc,
				 const struct fp_config *c)
{
	struct fp_config *copy = fp_config_copy(c);
	uint32_t i;

	if (!copy)
		return;
	fp_config_end(svc->config);
	svc->config = copy;
	svc->config_round++;
	for (i = 0; i < FP_SLICES; i++)
		grants_configure(&svc->slices[i]);
}

void fp_slice_service_set_members(struct fp_slice_service *svc,
				  const struct fp_member_table *m)
{
	size_t bytes = sizeof(*m) + m->n * sizeof(m->members[0]);
	struct fp_member_table *copy = malloc(bytes);

	if (!copy)
		return;
	memcpy(copy, m, bytes);
	if (!svc->members)
		svc->members_since_us = service_now(svc);
	free(svc->members);
	svc->members = copy;
}

void fp_slice_service_peer_up(struct fp_slice_service *svc, uint64_t id,
			      const char *addr)
{
	routes_peer_up(svc, id, addr);
}

void fp_slice_service_peer_down(struct fp_slice_service *svc, const char *addr,
				bool was_up)
{
	routes_peer_down(svc, addr, was_up);
}

void fp_slice_service_stop(struct fp_slice_service *svc)
{
	uint32_t i;

	svc->stopping = true;
	for (i = 0; i < FP_SLICES; i++)
		fp_slice_stop(&svc->slices[i].slice);
}

bool fp_slice_service_stopped(const struct fp_slice_service *svc)
{
	uint32_t i;

	if (!svc->stopping)
		return false;
	for (i = 0; i < FP_SLICES; i++)
		if (!fp_slice_stopped(&svc->slices[i].slice))
			return false;
	return true;
}

void fp_slice_service_close(struct fp_slice_service *svc)
{
	svc->closed = true;
}

void fp_slice_service_end(struct fp_slice_service *svc)
{
	struct waiter *w;
	uint32_t i;

	if (!svc)
		return;
	for (i = 0; i < FP_SLICES; i++) {
		struct local_slice *ls = &svc->slices[i];

		grants_drop(ls);
		grants_drop_inherited(ls);
		claims_drop(ls);
		stream_drop(ls);
		while (ls->waiters) {
			w = ls->waiters;
			ls->waiters = w->next;
			free(w);
		}
	}
	fp_config_end(svc->config);
	free(svc->members);
	free(svc);
}
