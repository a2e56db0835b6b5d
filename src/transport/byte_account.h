/* byte_account.h - bytes that a node holds for its clients, and what is evicted */
#ifndef FP_TRANSPORT_BYTE_ACCOUNT_H
#define FP_TRANSPORT_BYTE_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_byte_account;
struct fp_byte_client;
struct fp_byte_holder;

/** Why a holder is evicted. */
enum fp_byte_eviction {
	FP_BYTES_STALLED, /**< too little arrived for too long */
	FP_BYTES_NEEDED, /**< others need its bytes, and it made no progress */
	FP_BYTES_NO_ROOM, /**< it waited too long for room */
};

/** Callbacks to the owner of a holder, which is within the transport. They may be
 *  called within any function of the account but fp_byte_end(), and must only note
 *  what to do (loop.h): they call neither the account nor a handler above. */
struct fp_byte_holder_ops {
	/** What it waited for is granted: it may read on. */
	void (*resume)(struct fp_byte_holder *h);
	/** It must free what it holds. The account has dropped its bytes. */
	void (*evict)(struct fp_byte_holder *h, enum fp_byte_eviction why);
};

/** What a holder is doing. */
enum fp_byte_phase {
	FP_BYTES_NONE, /**< it is not in the account */
	FP_BYTES_ARRIVING, /**< a body that is not complete */
	FP_BYTES_WAITING, /**< the same, paused until there is room */
	FP_BYTES_KEPT, /**< complete, with a worker or on its way there */
	FP_BYTES_LEAVING, /**< an answer that is being sent */
};

/** Bytes of one request or answer; zeroed at first. Private to the account but
 *  for ops, which the owner sets. */
struct fp_byte_holder {
	const struct fp_byte_holder_ops *ops; /**< NULL: only kept */
	struct fp_byte_client *client;
	enum fp_byte_phase phase;
	bool reserved; /**< uses the reserve and is never evicted */
	size_t held_bytes; /**< in the account */
	size_t wanted_bytes; /**< to hold when there is room */
	size_t moved_bytes; /**< since the last progress */
	int64_t progress_us; /**< time of the last progress */
	struct fp_byte_holder **pprev;
	struct fp_byte_holder *next;
};

/** A connection from a client; zeroed at first. */
struct fp_byte_connection {
	struct fp_byte_client *client;
	bool busy; /**< with a complete request, or its answer */
	bool closing; /**< picked before */
	int64_t idle_since_us; /**< if not busy */
	struct fp_byte_connection **pprev;
	struct fp_byte_connection *next;
};

/** Sums for status and metrics. */
struct fp_byte_totals {
	size_t limit_bytes;
	size_t held_bytes; /**< by holders, and of answers being received */
	size_t most_bytes; /**< largest value of held_bytes */
	uint32_t n_arriving; /**< bodies that are not complete, paused or not */
	uint32_t n_waiting; /**< those of them that are paused */
	uint64_t n_paused; /**< times that a body had to wait */
	uint64_t n_evicted[3]; /**< by enum fp_byte_eviction */
	uint64_t n_closed; /**< connections closed in favour of others */
};

/** Creates an account of at most limit_bytes; NULL if out of memory. */
struct fp_byte_account *fp_byte_account_init(size_t limit_bytes);
/** Frees an account without holders and connections; accepts NULL. */
void fp_byte_account_end(struct fp_byte_account *a);

/** Adds a body that begins to arrive from a client address. */
void fp_byte_begin(struct fp_byte_account *a, struct fp_byte_holder *h,
		   uint32_t address, int64_t now_us);
/**
 * Asks for an arriving body to hold bytes in all.
 *
 * @return whether it may read on; if not, resume() or evict() follows
 */
bool fp_byte_reserve(struct fp_byte_account *a, struct fp_byte_holder *h,
		     size_t bytes, int64_t now_us);
/** Records that bytes arrived or left. */
void fp_byte_moved(struct fp_byte_holder *h, size_t bytes, int64_t now_us);
/** The body is complete: it is never evicted. */
void fp_byte_complete(struct fp_byte_account *a, struct fp_byte_holder *h);
/**
 * Holds bytes for a complete request, new in the account; makes room for them at
 * the cost of others.
 *
 * @return whether there is room; if not, it holds what it held before
 */
bool fp_byte_keep(struct fp_byte_account *a, struct fp_byte_holder *h,
		  size_t bytes, int64_t now_us);
/** The same for an answer that is sent to a client address from now on. */
bool fp_byte_send(struct fp_byte_account *a, struct fp_byte_holder *h,
		  uint32_t address, size_t bytes, int64_t now_us);
/** Removes a holder; nothing if it is not in the account. */
void fp_byte_end(struct fp_byte_account *a, struct fp_byte_holder *h);

/**
 * Sets the bytes of all answers that are being received; makes room for them at
 * the cost of others.
 *
 * @return whether there is room; if not, the value remains
 */
bool fp_byte_set_received(struct fp_byte_account *a, size_t bytes,
			  int64_t now_us);

/** Lets holders go on, or evicts them; call it about every 100 ms. */
void fp_byte_tick(struct fp_byte_account *a, int64_t now_us);

/** Adds a connection to the list of its port. */
void fp_byte_connected(struct fp_byte_account *a, struct fp_byte_connection *c,
		       struct fp_byte_connection **list, uint32_t address,
		       int64_t now_us);
/** Removes a connection. */
void fp_byte_disconnected(struct fp_byte_account *a,
			  struct fp_byte_connection *c);
/** Picks the connection to close in favour of new ones: one without a complete
 *  request, of the address that has most, idle longest. NULL if all are busy.
 *  list: the connections of one port. */
struct fp_byte_connection *fp_byte_pick_idle(struct fp_byte_account *a,
					     struct fp_byte_connection *list);

void fp_byte_read_totals(const struct fp_byte_account *a,
			 struct fp_byte_totals *out);

#ifdef __cplusplus
}
#endif
#endif
