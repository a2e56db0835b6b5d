/* lib_kv.c - keys, versions, leases and watches of the stand-in store
 *
 * One mutex guards all data. Versions come from one counter, so the version
 * of a key also grows when it is deleted and written again. Expired leases
 * are dropped at the start of each call, before anything is read. Watches
 * wait on one of a fixed number of condition variables, selected by the hash
 * of the key.
 */
#include "standin/lib_kv.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WATCH_CONDITIONS 64

/** A lease that has not expired. */
struct kv_lease {
	struct kv_lease *next;
	int64_t id;
	int64_t ttl_us;
	int64_t expires_us;
};

struct kv {
	struct store store;
	struct fp_clock *clock;
	pthread_mutex_t lock;
	/** Watches wait on one of these, selected by the hash of the key. */
	pthread_cond_t watch_changed[WATCH_CONDITIONS];
	json_t *entries; /**< key to {"value", "version", "lease"} */
	struct kv_lease *leases;
	int64_t last_version;
	int64_t last_lease;
	uint64_t interrupts; /**< count; an increase ends all waiting watches */
};

static int64_t entry_int(const json_t *entry, const char *field)
{
	return json_integer_value(json_object_get(entry, field));
}

static pthread_cond_t *watch_condition(struct kv *kv, const char *key)
{
	uint32_t h = 2166136261u;

	for (; *key; key++)
		h = (h ^ (uint8_t)*key) * 16777619u;
	return &kv->watch_changed[h % WATCH_CONDITIONS];
}

static void delete_keys_of_lease(struct kv *kv, int64_t lease)
{
	const char *key;
	json_t *entry;
	void *tmp;

	json_object_foreach_safe(kv->entries, tmp, key, entry)
	{
		if (entry_int(entry, "lease") == lease)
			json_object_del(kv->entries, key);
	}
}

static void drop_lease(struct kv *kv, struct kv_lease **link)
{
	struct kv_lease *l = *link;

	*link = l->next;
	delete_keys_of_lease(kv, l->id);
	free(l);
}

/** Returns the link to a lease; the link holds NULL if there is no such
 *  lease. */
static struct kv_lease **find_lease(struct kv *kv, int64_t id)
{
	struct kv_lease **link = &kv->leases;

	while (*link && (*link)->id != id)
		link = &(*link)->next;
	return link;
}

/** Locks the store and drops expired leases. */
static struct kv *lock_store(struct store *s)
{
	struct kv *kv = (struct kv *)s;
	struct kv_lease **link = &kv->leases;
	int64_t now_us;

	pthread_mutex_lock(&kv->lock);
	now_us = fp_mono_us(kv->clock);
	while (*link) {
		if ((*link)->expires_us <= now_us)
			drop_lease(kv, link);
		else
			link = &(*link)->next;
	}
	return kv;
}

static void unlock_store(struct kv *kv)
{
	pthread_mutex_unlock(&kv->lock);
}

static json_t *copy_entry(const json_t *entry)
{
	return json_pack("{s:O, s:O}", "value", json_object_get(entry, "value"),
			 "version", json_object_get(entry, "version"));
}

static enum kv_status kv_get(struct store *s, const char *key, json_t **entry)
{
	struct kv *kv = lock_store(s);
	json_t *found = json_object_get(kv->entries, key);

	*entry = found ? copy_entry(found) : NULL;
	unlock_store(kv);
	return found ? KV_OK : KV_NOT_FOUND;
}

static enum kv_status put_locked(struct kv *kv, const char *key,
				 int64_t version, const char *value,
				 int64_t lease, int64_t *current)
{
	json_t *old = json_object_get(kv->entries, key);

	*current = old ? entry_int(old, "version") : 0;
	if (*current != version)
		return KV_CONFLICT;
	if (lease && !*find_lease(kv, lease))
		return KV_NOT_FOUND;
	*current = ++kv->last_version;
	json_object_set_new(kv->entries, key,
			    json_pack("{s:s, s:I, s:I}", "value", value,
				      "version", (json_int_t)*current, "lease",
				      (json_int_t)lease));
	pthread_cond_broadcast(watch_condition(kv, key));
	return KV_OK;
}

static enum kv_status kv_put(struct store *s, const char *key, int64_t version,
			     const char *value, int64_t lease, int64_t *current)
{
	struct kv *kv = lock_store(s);
	enum kv_status st = put_locked(kv, key, version, value, lease, current);

	unlock_store(kv);
	return st;
}

static enum kv_status kv_del(struct store *s, const char *key, int64_t version,
			     int64_t *current)
{
	struct kv *kv = lock_store(s);
	json_t *old = json_object_get(kv->entries, key);
	enum kv_status st = KV_OK;

	*current = old ? entry_int(old, "version") : 0;
	if (!old)
		st = KV_NOT_FOUND;
	else if (*current != version)
		st = KV_CONFLICT;
	else
		json_object_del(kv->entries, key);
	unlock_store(kv);
	return st;
}

static json_t *kv_list(struct store *s, const char *prefix)
{
	struct kv *kv = lock_store(s);
	json_t *out = json_array();
	const char *key;
	json_t *entry;

	json_object_foreach(kv->entries, key, entry)
	{
		json_t *copy;

		if (strncmp(key, prefix, strlen(prefix)) != 0)
			continue;
		copy = copy_entry(entry);
		json_object_set_new(copy, "key", json_string(key));
		json_array_append_new(out, copy);
	}
	unlock_store(kv);
	return out;
}

static struct timespec deadline_after(int64_t wait_ms)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	t.tv_sec += wait_ms / 1000;
	t.tv_nsec += wait_ms % 1000 * 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_nsec -= 1000000000;
		t.tv_sec++;
	}
	return t;
}

static enum kv_status kv_watch(struct store *s, const char *key, int64_t after,
			       int64_t wait_ms, json_t **entry)
{
	struct timespec until = deadline_after(wait_ms);
	struct kv *kv = lock_store(s);
	uint64_t interrupts = kv->interrupts;
	enum kv_status st = KV_OK;
	json_t *found;
	int rc = 0;

	*entry = NULL;
	for (;;) {
		found = json_object_get(kv->entries, key);
		if (found && entry_int(found, "version") > after)
			break;
		st = KV_INTERRUPTED;
		if (kv->interrupts != interrupts)
			break;
		st = KV_TIMEOUT;
		if (rc)
			break;
		rc = pthread_cond_timedwait(watch_condition(kv, key), &kv->lock,
					    &until);
		st = KV_OK;
	}
	if (st == KV_OK)
		*entry = copy_entry(found);
	unlock_store(kv);
	return st;
}

static void kv_interrupt(struct store *s)
{
	struct kv *kv = lock_store(s);
	int i;

	kv->interrupts++;
	for (i = 0; i < WATCH_CONDITIONS; i++)
		pthread_cond_broadcast(&kv->watch_changed[i]);
	unlock_store(kv);
}

static int64_t kv_lease_grant(struct store *s, int64_t ttl_ms)
{
	struct kv_lease *l = calloc(1, sizeof(*l));
	struct kv *kv;

	if (!l)
		abort();
	kv = lock_store(s);
	l->id = ++kv->last_lease;
	l->ttl_us = ttl_ms * FP_US_PER_MS;
	l->expires_us = fp_mono_us(kv->clock) + l->ttl_us;
	l->next = kv->leases;
	kv->leases = l;
	unlock_store(kv);
	return l->id;
}

static enum kv_status kv_lease_renew(struct store *s, int64_t lease)
{
	struct kv *kv = lock_store(s);
	struct kv_lease *l = *find_lease(kv, lease);

	if (l)
		l->expires_us = fp_mono_us(kv->clock) + l->ttl_us;
	unlock_store(kv);
	return l ? KV_OK : KV_NOT_FOUND;
}

static enum kv_status kv_lease_revoke(struct store *s, int64_t lease)
{
	struct kv *kv = lock_store(s);
	struct kv_lease **link = find_lease(kv, lease);
	enum kv_status st = *link ? KV_OK : KV_NOT_FOUND;

	if (*link)
		drop_lease(kv, link);
	unlock_store(kv);
	return st;
}

static void kv_end(struct store *s)
{
	struct kv *kv = lock_store(s);
	int i;

	while (kv->leases)
		drop_lease(kv, &kv->leases);
	json_decref(kv->entries);
	unlock_store(kv);
	pthread_mutex_destroy(&kv->lock);
	for (i = 0; i < WATCH_CONDITIONS; i++)
		pthread_cond_destroy(&kv->watch_changed[i]);
	free(kv);
}

static const struct store_ops kv_ops = {
	.get = kv_get,
	.put = kv_put,
	.del = kv_del,
	.list = kv_list,
	.watch = kv_watch,
	.interrupt = kv_interrupt,
	.lease_grant = kv_lease_grant,
	.lease_renew = kv_lease_renew,
	.lease_revoke = kv_lease_revoke,
	.end = kv_end,
};

struct store *kv_init(struct fp_clock *clock)
{
	struct kv *kv = calloc(1, sizeof(*kv));
	pthread_condattr_t attr;
	int i;

	if (!kv)
		return NULL;
	kv->store.ops = &kv_ops;
	kv->clock = clock;
	kv->entries = json_object();
	pthread_mutex_init(&kv->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	for (i = 0; i < WATCH_CONDITIONS; i++)
		pthread_cond_init(&kv->watch_changed[i], &attr);
	pthread_condattr_destroy(&attr);
	return &kv->store;
}
