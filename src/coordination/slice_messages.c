/*
 * slice_messages.c - dispatch of messages from peers and the traffic thread
 *
 * A message about tokens or claims is sent to the owner of its slice. A node
 * that is not the owner, or may not act at that moment, answers FP_UNAVAILABLE
 * and sends its newest view of the slice to the requester.
 */
#include <string.h>

#include "coordination/slice_private.h"

/* First byte of a msgpack fixarray: 0x90 plus its length. */
#define FIXARRAY_MASK 0xf0
#define FIXARRAY      0x90

static void on_slice_message(struct fp_slice_service *svc,
			     const struct fp_msg_slice *m)
{
	uint32_t i;

	service_enter(svc);
	for (i = 0; i < m->n_items; i++)
		fp_slice_message(&svc->slices[m->items[i].slice].slice, m,
				 &m->items[i], service_now(svc));
	service_leave(svc);
	if (m->type == FP_MSG_SLICE_HANDOVER)
		routes_on_handover(svc, m);
	for (i = 0; i < m->n_items; i++) {
		claims_answer_waiters(&svc->slices[m->items[i].slice]);
		stream_push(&svc->slices[m->items[i].slice]);
	}
}

/* Finds the slice of a request; false if m is not a request, or if the slice
 * that it names is not that of its claim. */
static bool slice_of(const struct fp_msg_shared *m, uint32_t *slice)
{
	switch (m->type) {
	case FP_MSG_GRANT_REQUEST:
		*slice = fp_slice_of_org(m->grant_request.org);
		return true;
	case FP_MSG_GRANT_RETURN:
		*slice = fp_slice_of_org(m->grant_return.org);
		return true;
	case FP_MSG_CLAIM_TAKE:
		*slice = fp_slice_of_claim(m->claim_take.name);
		return m->claim_take.slice == *slice;
	case FP_MSG_CLAIM_FINISH:
		*slice = fp_slice_of_claim(m->claim_finish.name);
		return m->claim_finish.slice == *slice;
	case FP_MSG_CLAIM_RELEASE:
		*slice = fp_slice_of_claim(m->claim_release.name);
		return m->claim_release.slice == *slice;
	default:
		return false;
	}
}

static void on_request(struct local_slice *ls, const struct requester *req,
		       const struct fp_msg_shared *m)
{
	if (!service_may_act(ls)) {
		fp_counter_add(ls->svc->counters.misrouted, 1);
		if (req->addr[0] != '\0')
			routes_send_view(ls, req->addr);
	}
	if (m->type == FP_MSG_GRANT_REQUEST)
		grants_on_request(ls, req, &m->grant_request);
	else if (m->type == FP_MSG_GRANT_RETURN)
		grants_on_return(ls, &m->grant_return);
	else
		claims_message(ls, req, m);
}

static enum fp_status on_shared(struct fp_slice_service *svc, uint64_t from,
				const char *addr, const uint8_t *data,
				size_t bytes)
{
	struct requester req = { 0 };
	struct fp_msg_shared m;
	enum fp_status st = fp_msg_shared_decode(data, bytes, &m);
	uint32_t slice;

	if (st != FP_OK)
		return st;
	switch (m.type) {
	case FP_MSG_GRANT_RESPONSE:
	case FP_MSG_CLAIM_RESPONSE:
		svc->ops.to_traffic(svc->ops.ctx, data, bytes);
		return FP_OK;
	case FP_MSG_CLAIM_REPLICATE:
		slice = m.claim_replicate.slice;
		if (slice >= FP_SLICES)
			return fp_fail(FP_INVALID, "no such slice: %u", slice);
		stream_on_replicate(&svc->slices[slice], from, &m);
		return FP_OK;
	case FP_MSG_CLAIM_REPLICATED:
		slice = m.claim_replicated.slice;
		if (slice >= FP_SLICES)
			return fp_fail(FP_INVALID, "no such slice: %u", slice);
		stream_on_replicated(&svc->slices[slice], from, &m);
		return FP_OK;
	case FP_MSG_BUCKET_HANDOVER:
		slice = fp_slice_of_org(m.bucket_handover.org);
		grants_on_handover(&svc->slices[slice], from,
				   &m.bucket_handover);
		return FP_OK;
	default:
		break;
	}
	if (!slice_of(&m, &slice))
		return fp_fail(FP_INVALID, "message is not a request, or "
					   "its claim is of another slice");
	req.id = m.id;
	strncpy(req.addr, addr, sizeof(req.addr) - 1);
	on_request(&svc->slices[slice], &req, &m);
	return FP_OK;
}

/* Returns the type of a message, the first element of its msgpack fixarray; -1
 * if the message does not begin with a fixarray. */
static int type_of(const uint8_t *data, size_t bytes)
{
	if (bytes < 2 || (data[0] & FIXARRAY_MASK) != FIXARRAY)
		return -1;
	return data[1]; /* types of the service are below 128: one byte */
}

static bool is_shared(int type)
{
	return type >= FP_MSG_GRANT_REQUEST && type < FP_MSG_SHARED_END;
}

static bool is_slice(int type)
{
	return type >= FP_MSG_SLICE_PROMISE_REQUEST &&
	       type < FP_MSG_SLICE_TYPE_END;
}

static bool is_view(int type)
{
	return type >= FP_MSG_VIEW_DIGEST && type < FP_MSG_VIEW_TYPE_END;
}

bool fp_slice_service_handles(const uint8_t *data, size_t bytes)
{
	int type = type_of(data, bytes);

	return is_shared(type) || is_slice(type) || is_view(type);
}

static enum fp_status on_slice(struct fp_slice_service *svc, uint64_t from,
			       const uint8_t *data, size_t bytes)
{
	struct fp_msg_slice m;
	enum fp_status st = fp_msg_slice_decode(&m, data, bytes);

	if (st != FP_OK)
		return st;
	if (m.from != from)
		return fp_fail(FP_INVALID, "slice message: sender id differs "
					   "from the id proven on its link");
	on_slice_message(svc, &m);
	return FP_OK;
}

static enum fp_status on_views(struct fp_slice_service *svc, uint64_t from,
			       const char *addr, const uint8_t *data,
			       size_t bytes)
{
	struct fp_msg_view m;
	enum fp_status st = fp_msg_view_decode(data, bytes, &m);

	if (st != FP_OK)
		return st;
	if (m.type == FP_MSG_VIEW_SNAPSHOT)
		stream_on_snapshot(&svc->slices[m.snapshot.slice], from,
				   &m.snapshot);
	else
		routes_message(svc, addr, &m);
	return FP_OK;
}

enum fp_status fp_slice_service_message(struct fp_slice_service *svc,
					uint64_t from, const char *addr,
					const uint8_t *data, size_t bytes)
{
	int type = type_of(data, bytes);
	enum fp_status st;

	routes_mark_reachable(svc, addr);
	svc->sender = from;
	svc->sender_addr = addr;
	if (is_shared(type))
		st = on_shared(svc, from, addr, data, bytes);
	else if (is_slice(type))
		st = on_slice(svc, from, data, bytes);
	else
		st = on_views(svc, from, addr, data, bytes);
	service_flush(svc);
	svc->sender = 0;
	svc->sender_addr = NULL;
	return st;
}

/* Answers FP_UNAVAILABLE to this node's traffic thread if no owner is known or
 * reachable. */
static void refuse_own_request(struct fp_slice_service *svc,
			       const struct fp_msg_shared *m)
{
	struct requester req = { .id = m->id };
	struct fp_msg_shared a = { .type = FP_MSG_CLAIM_RESPONSE };

	if (m->type == FP_MSG_GRANT_RETURN)
		return;
	if (m->type == FP_MSG_GRANT_REQUEST) {
		a.type = FP_MSG_GRANT_RESPONSE;
		a.grant_response.status = FP_UNAVAILABLE;
	} else {
		a.claim_response.status = FP_UNAVAILABLE;
	}
	service_reply(svc, &req, &a);
}

void fp_slice_service_from_traffic(struct fp_slice_service *svc, uint32_t slice,
				   const uint8_t *data, size_t bytes)
{
	struct fp_msg_shared m;
	struct requester req = { 0 };
	const char *addr;
	uint32_t own;

	if (fp_msg_shared_decode(data, bytes, &m) != FP_OK ||
	    !slice_of(&m, &own) || own != slice)
		return;
	if (svc->slices[slice].slice.role == FP_SLICE_ROLE_PRIMARY) {
		req.id = m.id;
		on_request(&svc->slices[slice], &req, &m);
		service_flush(svc);
		return;
	}
	addr = routes_primary_address(&svc->slices[slice]);
	if (!addr || strcmp(addr, svc->host.self.address) == 0 ||
	    svc->ops.send(svc->ops.ctx, addr, data, bytes) != FP_OK)
		refuse_own_request(svc, &m);
}
