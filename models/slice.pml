/*
 * slice.pml - one slice on N nodes: never two owners, and no acknowledged claim
 * is lost
 *
 * Models the rules of src/coordination/slice.c over a store with
 * compare-and-swap.
 *
 * Time is abstract. A node may wait between any two steps, which covers
 * pauses, slow messages and store outages. The model has no clocks. It keeps
 * only the order of events that holds despite clock drift: a right ends before
 * the span for which another node waits for that end. Therefore the end of a
 * span (end_promise, end_watch) removes, in the same step, the rights that were
 * counted from before its beginning, and invalidates answers that are still in
 * flight.
 *
 * Messages are never consumed: each may be lost (not read), late or
 * duplicated. They are identified by epoch, which determines sender and
 * receiver. A write to the store may take effect ("land") late, get lost, or
 * land while its answer is lost. A kill ends a node for good; its successor
 * under a new id is one of the other nodes.
 *
 * Each of these flags breaks one rule, and spin must then find an error:
 *
 *   ACT_BEFORE_CAS           a node acts before its write has taken effect
 *   UNKNOWN_IS_SUCCESS       a write that timed out counts as successful
 *   NO_PROMISE_CHECK         the primary still acts after its promise ended
 *   PROMISE_FROM_ARRIVAL     a promise counts from its arrival, not from the
 *                            request
 *   NO_DOUBT                 promises are given and requested while a write is
 *                            pending
 *   NO_FIRST_WAIT            a backup that becomes ready takes over at once
 *   NO_WATCH                 a record that was watched for a full store right
 *                            does not show that the older rights have ended
 *   PAIR_WATCHED             a third node replaces a ready pair after a watch
 *   HANDOVER_BEFORE_CEASING  a primary that sends HANDOVER still acts
 *   NO_CONSENT_CAP           consent stays unlimited while a write is pending
 *   PROOF_SUFFICES           a backup acts without a write once its primary has
 *                            provably terminated
 *   NO_BACKUP_READY          a backup takes over although the record does not
 *                            call it ready
 *   BACKUP_COUNTS_EARLY      a backup counts as ready without the state
 *
 * NO_CLAIMS leaves out claims. START_PAIR and START_NAMED choose the first
 * state (see init). tools/run-model.sh runs the model with these flags.
 */
#ifndef N
#define N 3 /* nodes */
#endif
#ifndef VMAX
#define VMAX 6 /* bound of the record's version */
#endif
#ifndef KILLS
#define KILLS 2 /* nodes that may be killed */
#endif
#define EMAX  (VMAX + 2) /* bound of the epoch */
#define NONE  N /* no node */
#define UNLIMITED 255 /* consent without a time limit */

/* the record in the store */
byte version; byte s_epoch; byte s_primary = NONE; byte s_backup = NONE;
bool s_ready;

/* the view known to each node */
byte k_version[N]; byte k_epoch[N]; byte k_primary[N]; byte k_backup[N];
bool k_ready[N];

/* Each node's write in flight. At most one of the writes from the same base
 * version can take effect. */
bool w_inflight[N]; bool w_awaited[N]; byte w_base[N]; byte w_epoch[N];
byte w_backup[N];
bool w_ready[N]; bool w_holds_state[N];
bool busy[N]; /* waits for the answer to its write */
bool in_doubt[N]; /* a write that timed out may still take effect */
byte cas_answer[N]; /* 0: none, 1: success, 2: conflict */
byte cas_version[N];

/* rights: 0, or the lowest version whose watch (end_watch) ends them */
byte r_promise[N]; byte r_store[N]; byte r_consent[N];
bool released[N]; bool resigned[N]; bool promise_given[N];
byte watched[N]; /* version that was watched for a full store right */
byte state_epoch[N]; /* as backup: epoch whose state it received */
byte transfer_done[N]; /* as primary: epoch whose state the backup confirmed */
bool dead[N]; byte kills;

/* Messages by epoch. Promises and requests for them hold the version at which
 * the request was sent, plus one; 0: none. */
byte promise_request[EMAX]; byte promise[EMAX]; bool handover[EMAX];
bool resign[EMAX];
byte expired_version; /* a version up to this one gives no store right */

/* a single claim that represents all claims */
bool acked; bool holds_claim[N];

#define may_act(n) (!dead[n] && k_primary[n] == n && !released[n] && \
	!promise_given[n] && (r_promise[n] || r_store[n] || r_consent[n]))
#define write_pending(n) (busy[n] || in_doubt[n])
#define terminated(x) (x != NONE && dead[x])
#ifdef NO_DOUBT
#define may_promise(n) true
#else
#define may_promise(n) (!write_pending(n))
#endif

/* Node dn loses every right to act. */
inline drop_rights(dn)
{
	r_promise[dn] = 0; r_store[dn] = 0; r_consent[dn] = 0;
	released[dn] = false
}

/* Node tn sets a newer view, as set_view() in slice.c does. */
inline take_view(tn, tv, te, tp, tb, tr)
{
	if
	:: tp != tn || k_primary[tn] != tn -> drop_rights(tn)
	:: else ->
		if
		:: k_epoch[tn] != te -> r_promise[tn] = 0;
			r_consent[tn] = 0
		:: else -> r_consent[tn] = 0
		fi
	fi;
	if
	:: tp != tn && !(k_epoch[tn] == te && k_ready[tn] == tr) ->
		promise_given[tn] = false; resigned[tn] = false
	:: else
	fi;
	k_version[tn] = tv; k_epoch[tn] = te; k_primary[tn] = tp;
	k_backup[tn] = tb; k_ready[tn] = tr;
	in_doubt[tn] = false
}

/* Node cn writes epoch ce with backup cb, which is ready if cr; ck: cn has the
 * state of the last owner. */
inline send_cas(cn, ce, cb, cr, ck)
{
	if
	:: w_inflight[cn] && w_base[cn] == k_version[cn] && in_doubt[cn] ->
		skip /* keep the write that may still be in flight */
	:: w_inflight[cn] = true; w_awaited[cn] = true;
		w_base[cn] = k_version[cn];
		w_epoch[cn] = ce; w_backup[cn] = cb; w_ready[cn] = cr;
		w_holds_state[cn] = ck;
		busy[cn] = true; cas_answer[cn] = 0
	fi;
#ifndef NO_CONSENT_CAP
	if
	:: r_consent[cn] == UNLIMITED ->
		r_consent[cn] = k_version[cn] + 1
	:: else
	fi;
#endif
#ifdef ACT_BEFORE_CAS
	k_primary[cn] = cn; r_store[cn] = k_version[cn] + 1;
#endif
	skip
}

/* The write of node ln reaches the store: it succeeds or conflicts. */
inline land_write(ln)
{
	if
	:: w_base[ln] == version && version < VMAX ->
		if
		:: s_primary != ln && w_holds_state[ln] ->
			/* a dead node may become primary but never acts */
			assert(dead[ln] || !acked || holds_claim[ln])
		:: s_primary != ln && !w_holds_state[ln] -> acked = false
		:: else
		fi;
		version++; s_epoch = w_epoch[ln]; s_primary = ln;
		s_backup = w_backup[ln];
		s_ready = w_ready[ln];
		if
		:: w_awaited[ln] -> cas_answer[ln] = 1;
			cas_version[ln] = version
		:: else
		fi
	:: else ->
		if
		:: w_awaited[ln] -> cas_answer[ln] = 2
		:: else
		fi
	fi;
	w_inflight[ln] = false
}

/* Node an handles the answer to a successful write. */
inline take_cas_result(an)
{
	if
	:: cas_version[an] >= k_version[an] ->
		take_view(an, cas_version[an], w_epoch[an], an, w_backup[an],
			  w_ready[an]);
		if
		:: cas_version[an] > expired_version ->
			r_store[an] = cas_version[an]
		:: else
		fi
	:: else
	fi
}

/* A full store right has passed since wn first saw its version. */
inline end_watch(wn)
{
	watched[wn] = k_version[wn];
#ifndef NO_WATCH
	i = 0;
	do
	:: i < N ->
		if
		:: r_store[i] <= k_version[wn] -> r_store[i] = 0
		:: else
		fi;
		if
		:: r_consent[i] <= k_version[wn] -> r_consent[i] = 0
		:: else
		fi;
		if
		:: r_promise[i] <= k_version[wn] -> r_promise[i] = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < EMAX ->
		if
		:: promise[i] <= k_version[wn] -> promise[i] = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	if
	:: expired_version < k_version[wn] -> expired_version = k_version[wn]
	:: else
	fi;
#endif
	i = 0
}

/* The backup's promise ends; the primary's right ended before. */
inline end_promise(en)
{
	promise_given[en] = false;
#ifndef PROMISE_FROM_ARRIVAL
	promise[k_epoch[en]] = 0;
#endif
#ifndef NO_PROMISE_CHECK
	i = 0;
	do
	:: i < N ->
		if
		:: k_epoch[i] == k_epoch[en] -> r_promise[i] = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
#endif
}

/* Conditions of rules that a flag removes. */
#ifdef BACKUP_COUNTS_EARLY
#define state_confirmed(n) true
#define holds_state(n) true
#else
#define holds_state(n) (state_epoch[n] == k_epoch[n])
#define state_confirmed(n) (transfer_done[n] == k_epoch[n])
#endif
#ifdef NO_BACKUP_READY
#define may_succeed(n) (k_version[n] > 0)
#else
#define may_succeed(n) ready_backup(n)
#endif
#ifdef NO_FIRST_WAIT
#define waited(n) true
#else
#define waited(n) (watched[n] == k_version[n] || terminated(k_primary[n]))
#endif
#ifdef PAIR_WATCHED
#define pair_watched(n) (k_backup[n] != n && watched[n] == k_version[n])
#else
#define pair_watched(n) false
#endif

#define paired_primary(n) (k_primary[n] == n && k_ready[n] && !released[n])
#define unpaired_primary(n) (k_primary[n] == n && !k_ready[n])
#define ready_backup(n) (k_backup[n] == n && k_ready[n] && holds_state(n))
#define usable_backup(n, b) (b != n && b < N && !dead[b])
#define in_bounds(n) (k_version[n] < VMAX && k_epoch[n] + 1 < EMAX)

proctype node(byte n)
{
	byte i;
	byte b;
end:
	do
	/* the store: a read, a write that lands or is lost, the answer */
	:: d_step { !dead[n] && version > k_version[n] ->
		take_view(n, version, s_epoch, s_primary, s_backup, s_ready) }
	:: d_step { w_inflight[n] -> land_write(n) }
	:: d_step { w_inflight[n] && !w_awaited[n] -> w_inflight[n] = false }
	:: d_step { !dead[n] && busy[n] && cas_answer[n] == 1 ->
		busy[n] = false;
		w_awaited[n] = false; cas_answer[n] = 0; take_cas_result(n) }
	:: d_step { !dead[n] && busy[n] && cas_answer[n] == 2 ->
		busy[n] = false;
		w_awaited[n] = false; cas_answer[n] = 0 }
	:: d_step { !dead[n] && busy[n] -> /* timeout */
		busy[n] = false; w_awaited[n] = false; cas_answer[n] = 0;
#ifdef UNKNOWN_IS_SUCCESS
		cas_version[n] = w_base[n] + 1; take_cas_result(n)
#else
		in_doubt[n] = true
#endif
	}
	:: d_step { !dead[n] && k_version[n] > 0 &&
		watched[n] != k_version[n] &&
		k_primary[n] != n -> end_watch(n) }

	/* primary without ready backup: renew, name a backup, make it ready */
	:: atomic { !dead[n] && unpaired_primary(n) && !busy[n] &&
		in_bounds(n) ->
		send_cas(n, k_epoch[n], k_backup[n], false, true) }
	:: atomic { !dead[n] && unpaired_primary(n) && !busy[n] &&
		in_bounds(n) ->
		if
		:: b = (n + 1) % N
		:: b = (n + 2) % N
		fi;
		if
		:: !dead[b] -> send_cas(n, k_epoch[n] + 1, b, false, true)
		:: else
		fi; b = 0 }
	:: d_step { !dead[n] && unpaired_primary(n) &&
		usable_backup(n, k_backup[n]) &&
		k_version[k_backup[n]] <= k_version[n] &&
		transfer_done[n] != k_epoch[n] ->
		b = k_backup[n];
		if
		:: k_version[b] < k_version[n] ->
			take_view(b, k_version[n], k_epoch[n], n, b,
						  false)
		:: else
		fi;
		holds_claim[b] = holds_claim[n]; state_epoch[b] = k_epoch[n];
		transfer_done[n] = k_epoch[n];
		b = 0 }
	:: atomic { !dead[n] && unpaired_primary(n) && !busy[n] &&
		in_bounds(n) &&
		k_backup[n] != NONE && state_confirmed(n) ->
		send_cas(n, k_epoch[n], k_backup[n], true, true) }

	/* primary with a ready backup: request promise, replace, hand over */
	:: d_step { !dead[n] && paired_primary(n) && may_promise(n) &&
		promise_request[k_epoch[n]] != version + 1 ->
		promise_request[k_epoch[n]] = version + 1 }
	:: d_step { !dead[n] && paired_primary(n) &&
		promise[k_epoch[n]] > r_promise[n] ->
		r_promise[n] = promise[k_epoch[n]] }
	:: atomic { !dead[n] && paired_primary(n) && !busy[n] && in_bounds(n) ->
		send_cas(n, k_epoch[n] + 1, NONE, false, true) }
	:: d_step { !dead[n] && paired_primary(n) && !write_pending(n) &&
		r_promise[n] > 0 &&
		r_consent[n] == 0 ->
#ifndef HANDOVER_BEFORE_CEASING
		released[n] = true;
#endif
		handover[k_epoch[n]] = true }
	:: d_step { !dead[n] && paired_primary(n) && !write_pending(n) &&
		resign[k_epoch[n]] &&
		r_consent[n] == 0 -> r_consent[n] = UNLIMITED }

	/* ready backup: promise, take over, accept handover, resign */
	:: d_step { !dead[n] && ready_backup(n) && k_primary[n] != n &&
		may_promise(n) &&
		!resigned[n] &&
		promise_request[k_epoch[n]] > promise[k_epoch[n]] ->
		promise_given[n] = true;
		promise[k_epoch[n]] = promise_request[k_epoch[n]] }
	:: d_step { !dead[n] && promise_given[n] && ready_backup(n) ->
		end_promise(n) }
	:: atomic { !dead[n] && k_backup[n] == n && k_primary[n] != n &&
		!busy[n] &&
		in_bounds(n) && !resigned[n] && may_succeed(n) && waited(n) &&
		(!promise_given[n] || terminated(k_primary[n])) ->
		promise_given[n] = false;
		send_cas(n, k_epoch[n] + 1, NONE, false, true) }
	:: d_step { !dead[n] && ready_backup(n) && k_primary[n] != n &&
		handover[k_epoch[n]] && !resigned[n] ->
		promise_given[n] = false;
		if
		:: !write_pending(n) ->
			assert(!acked || holds_claim[n]);
			drop_rights(n);
			k_epoch[n] = k_epoch[n] + 1; k_primary[n] = n;
			k_backup[n] = NONE;
			k_ready[n] = false; r_consent[n] = UNLIMITED
		:: else
		fi }
	:: d_step { !dead[n] && ready_backup(n) && k_primary[n] != n &&
		!write_pending(n) &&
		promise_given[n] && !resigned[n] ->
		resigned[n] = true; resign[k_epoch[n]] = true }
#ifdef PROOF_SUFFICES
	:: d_step { !dead[n] && ready_backup(n) && k_primary[n] != n &&
		!write_pending(n) &&
		terminated(k_primary[n]) && !resigned[n] ->
		promise_given[n] = false; drop_rights(n);
		k_epoch[n] = k_epoch[n] + 1; k_primary[n] = n;
		k_backup[n] = NONE;
		k_ready[n] = false; r_consent[n] = UNLIMITED }
#endif

	/* other nodes: take over a slice that is proven vacant */
	:: atomic { !dead[n] && k_primary[n] != n && !busy[n] && in_bounds(n) &&
		(k_version[n] == 0 ||
		 (k_ready[n] && terminated(k_primary[n]) &&
			terminated(k_backup[n])) ||
		 (!k_ready[n] && (terminated(k_primary[n]) ||
			watched[n] == k_version[n])) ||
		 pair_watched(n)) ->
		send_cas(n, k_epoch[n] + 1, NONE, false, false) }

#ifndef NO_CLAIMS
	/* a claim, acknowledged by the owner and its backup, if any */
	:: d_step { may_act(n) && !acked &&
		(k_backup[n] == NONE || r_consent[n] > 0) ->
		holds_claim[n] = true; acked = true }
	:: d_step { may_act(n) && !acked && k_backup[n] != NONE &&
		r_consent[n] == 0 && !dead[k_backup[n]] &&
		k_epoch[k_backup[n]] == k_epoch[n] &&
		k_backup[k_backup[n]] == k_backup[n] &&
		state_epoch[k_backup[n]] == k_epoch[n] ->
		holds_claim[n] = true; holds_claim[k_backup[n]] = true;
		acked = true }
#endif

	/* a kill */
	:: d_step { !dead[n] && kills < KILLS -> kills++; dead[n] = true;
		drop_rights(n); holds_claim[n] = false; w_awaited[n] = false;
		busy[n] = false; in_doubt[n] = false; cas_answer[n] = 0 }
	od
}

/* Checked in every state. */
active proctype monitor()
{
end:
	d_step { ((may_act(0) && may_act(1)) || (may_act(0) && may_act(2)) ||
		  (may_act(1) && may_act(2))) ->
		assert(false) }
}

init
{
	byte i;

	atomic {
		do
		:: i < N -> k_primary[i] = NONE; k_backup[i] = NONE; i++
		:: else -> break
		od;
#ifdef START_NAMED
		/* 0 owns and holds a claim; 1 is named backup, not ready */
		version = 2; s_epoch = 2; s_primary = 0; s_backup = 1;
		i = 0;
		do
		:: i < N -> k_version[i] = 2; k_epoch[i] = 2; k_primary[i] = 0;
			k_backup[i] = 1; i++
		:: else -> break
		od;
		r_store[0] = 2; holds_claim[0] = true; acked = true;
#endif
#ifdef START_PAIR
		/* 0 owns, 1 is its ready backup; all have this view; no
		 * promise */
		version = 3; s_epoch = 2; s_primary = 0; s_backup = 1;
		s_ready = true;
		i = 0;
		do
		:: i < N -> k_version[i] = 3; k_epoch[i] = 2; k_primary[i] = 0;
			k_backup[i] = 1; k_ready[i] = true; i++
		:: else -> break
		od;
		r_store[0] = 3; state_epoch[1] = 2; transfer_done[0] = 2;
#endif
		i = 0;
		do
		:: i < N -> run node(i); i++
		:: else -> break
		od;
		i = 0
	}
}
