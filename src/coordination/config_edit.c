/* config_edit.c - operators' changes as pure functions on a configuration
 *
 * Each edit works on a copy. Keys are never removed and a withdrawn key stays
 * withdrawn in every later revision. So the set of withdrawals only grows and
 * can be merged from any source in any order.
 */
#include "coordination/config_edit.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/config_tables.h"

/** Random bytes in a key's text. */
#define KEY_RANDOM_BYTES 32
/** Maximum number of random bytes in the name made by fp_random_name(). */
#define NAME_RANDOM_BYTES 16

static const char *const kind_names[FP_CHANGE_KIND_COUNT] = {
	[FP_CHANGE_APPLY] = "apply",
	[FP_CHANGE_KEY_CREATE] = "key-create",
	[FP_CHANGE_KEY_WITHDRAW] = "key-withdraw",
	[FP_CHANGE_PRESET_USE] = "preset-use",
	[FP_CHANGE_OPERATOR_ADD] = "operator-add",
	[FP_CHANGE_OPERATOR_REMOVE] = "operator-remove",
};

const char *fp_change_kind_name(enum fp_change_kind kind)
{
	return (unsigned int)kind < FP_CHANGE_KIND_COUNT ? kind_names[kind] :
							   "unknown";
}

bool fp_config_has_change(const struct fp_config *c, const char *change_id)
{
	uint32_t i;

	for (i = 0; i < c->n_recent_change_ids; i++)
		if (strcmp(c->recent_change_ids[i], change_id) == 0)
			return true;
	return false;
}

/* Appends a zeroed entry to a malloc'd array; array points to the pointer to
 * its first entry, which changes. Returns the entry, or NULL when out of
 * memory. */
static void *append(void *array, uint32_t *n, size_t size)
{
	void *items;
	char *grown;

	memcpy(&items, array, sizeof(items));
	grown = reallocarray(items, *n + 1, size);
	if (!grown)
		return NULL;
	memcpy(array, &grown, sizeof(grown));
	memset(grown + *n * size, 0, size);
	(*n)++;
	return grown + (*n - 1) * size;
}

/* Maps the keys to their organisations' indices in the new list. Keys of an
 * organisation that is left out are withdrawn; without force that is refused
 * while one of them is valid. */
static enum fp_status remap_keys(struct fp_config *c,
				 const struct fp_config *now, bool force)
{
	uint32_t i;

	for (i = 0; i < c->n_keys; i++) {
		struct fp_key *k = &c->keys[i];
		const char *org;
		int found;

		if (k->org == FP_CONFIG_NO_ORG)
			continue;
		org = now->orgs[k->org].name;
		found = fp_config_find_org(c, org);
		if (found < 0 && !k->withdrawn && !force)
			return fp_fail(FP_DENIED,
				       "organisation \"%s\" is left out but "
				       "has valid keys, such as %s; "
				       "withdraw them or use --force",
				       org, k->id);
		k->withdrawn = k->withdrawn || found < 0;
		k->org = found < 0 ? FP_CONFIG_NO_ORG : (uint32_t)found;
	}
	return FP_OK;
}

static enum fp_status apply(struct fp_config *c, const struct fp_config *now,
			    const struct fp_change *ch)
{
	int i;

	if (!ch->declarations)
		return fp_fail(FP_INVALID, "apply: no declarations");
	for (i = 0; i < FP_LIST_COUNT; i++) {
		const struct fp_config_list *l = &fp_config_lists[i];
		uint32_t n;
		void *from = fp_config_entries(ch->declarations, l, &n);
		void *to;

		if (!l->declared)
			continue;
		if (!fp_config_resize(c, l, n))
			return fp_fail(FP_NOMEM, "apply: out of memory");
		to = fp_config_entries(c, l, &n);
		if (n > 0)
			memcpy(to, from, n * l->size);
	}
	return remap_keys(c, now, ch->force);
}

/* Selects a preset by name. Also called after apply, which may have changed the
 * order of the presets, with the name of the preset that was active before. */
static enum fp_status use_preset(struct fp_config *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->n_presets; i++)
		if (strcmp(c->presets[i].name, name) == 0) {
			c->active_preset = i;
			return FP_OK;
		}
	return fp_fail(FP_NOT_FOUND, "no preset \"%s\"", name);
}

static enum fp_status create_key(struct fp_config *c,
				 const struct fp_change *ch)
{
	int org = fp_config_find_org(c, ch->name);
	struct fp_key *k;

	if (org < 0)
		return fp_fail(FP_NOT_FOUND, "no organisation \"%s\"",
			       ch->name);
	if (c->n_keys >= FP_CONFIG_MAX_ENTRIES)
		return fp_fail(FP_FULL,
			       "at most %d keys, including withdrawn ones",
			       FP_CONFIG_MAX_ENTRIES);
	k = append(&c->keys, &c->n_keys, sizeof(*k));
	if (!k)
		return fp_fail(FP_NOMEM, "key: out of memory");
	memcpy(k->id, ch->key_id, sizeof(k->id));
	memcpy(k->hash, ch->hash, sizeof(k->hash));
	k->org = (uint32_t)org;
	return FP_OK;
}

static enum fp_status withdraw_key(struct fp_config *c, const char *id)
{
	uint32_t i;

	for (i = 0; i < c->n_keys; i++)
		if (strcmp(c->keys[i].id, id) == 0) {
			c->keys[i].withdrawn = true;
			return FP_OK;
		}
	return fp_fail(FP_NOT_FOUND, "no key with id \"%s\"", id);
}

static enum fp_status add_operator(struct fp_config *c,
				   const struct fp_change *ch)
{
	struct fp_operator *o;

	if (fp_config_find_operator(c, ch->hash))
		return fp_fail(FP_INVALID, "an operator has that key already");
	if (c->n_operators >= FP_CONFIG_MAX_ENTRIES)
		return fp_fail(FP_FULL, "at most %d operators",
			       FP_CONFIG_MAX_ENTRIES);
	o = append(&c->operators, &c->n_operators, sizeof(*o));
	if (!o)
		return fp_fail(FP_NOMEM, "operator: out of memory");
	memcpy(o->name, ch->name, sizeof(o->name));
	memcpy(o->hash, ch->hash, sizeof(o->hash));
	return FP_OK;
}

static enum fp_status remove_operator(struct fp_config *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->n_operators; i++)
		if (strcmp(c->operators[i].name, name) == 0)
			break;
	if (i == c->n_operators)
		return fp_fail(FP_NOT_FOUND, "no operator \"%s\"", name);
	if (c->n_operators == 1)
		return fp_fail(FP_DENIED, "the last operator can't be removed");
	c->n_operators--;
	memmove(&c->operators[i], &c->operators[i + 1],
		(c->n_operators - i) * sizeof(c->operators[0]));
	return FP_OK;
}

static enum fp_status apply_change(struct fp_config *c,
				   const struct fp_config *now,
				   const struct fp_change *ch)
{
	const char *active = now->presets[now->active_preset].name;
	enum fp_status st;

	switch (ch->kind) {
	case FP_CHANGE_APPLY:
		st = apply(c, now, ch);
		return st ? st : use_preset(c, active);
	case FP_CHANGE_KEY_CREATE:
		return create_key(c, ch);
	case FP_CHANGE_KEY_WITHDRAW:
		return withdraw_key(c, ch->key_id);
	case FP_CHANGE_PRESET_USE:
		return use_preset(c, ch->name);
	case FP_CHANGE_OPERATOR_ADD:
		return add_operator(c, ch);
	case FP_CHANGE_OPERATOR_REMOVE:
		return remove_operator(c, ch->name);
	default:
		return fp_fail(FP_INVALID, "unknown kind of change");
	}
}

/* Puts the change's id first among the recent ones and increments the
 * revision. */
static enum fp_status record_change(struct fp_config *c,
				    const struct fp_change *ch)
{
	size_t size = sizeof(*c->recent_change_ids);

	if (c->n_recent_change_ids < FP_CONFIG_MAX_CHANGE_IDS &&
	    !append(&c->recent_change_ids, &c->n_recent_change_ids, size))
		return fp_fail(FP_NOMEM, "change: out of memory");
	memmove(c->recent_change_ids[1], c->recent_change_ids[0],
		(c->n_recent_change_ids - 1) * size);
	memcpy(c->recent_change_ids[0], ch->change_id, size);
	memcpy(c->change_id, ch->change_id, size);
	c->revision++;
	return FP_OK;
}

static enum fp_status edit(struct fp_config *c, const struct fp_config *now,
			   const struct fp_change *ch)
{
	struct fp_config_fault fault;
	enum fp_status st = apply_change(c, now, ch);

	if (!st && !fp_config_check(c, &fault))
		st = fp_fail(FP_INVALID, "%s %s: %s", fault.list->entry,
			     fault.field, fault.why);
	if (!st)
		st = record_change(c, ch);
	if (!st)
		fp_config_index(c);
	return st;
}

enum fp_status fp_config_edit(const struct fp_config *now,
			      const struct fp_change *ch,
			      struct fp_config **next)
{
	struct fp_config *first = now ? NULL : fp_config_initial();
	const struct fp_config *base = now ? now : first;
	struct fp_config *c;
	enum fp_status st;

	if (!base)
		return fp_fail(FP_NOMEM, "change: out of memory");
	if (base->revision != ch->base_revision) {
		st = fp_fail(FP_CONFLICT,
			     "based on revision %llu, but %llu is in force",
			     (unsigned long long)ch->base_revision,
			     (unsigned long long)base->revision);
		fp_config_end(first);
		return st;
	}
	c = fp_config_copy(base);
	st = c ? edit(c, base, ch) : fp_fail(FP_NOMEM, "out of memory");
	fp_config_end(first);
	if (st) {
		fp_config_end(c);
		return st;
	}
	*next = c;
	return FP_OK;
}

void fp_key_make(const char *prefix, char text[FP_KEY_TEXT_BYTES])
{
	uint8_t random[KEY_RANDOM_BYTES];
	int len;

	randombytes_buf(random, sizeof(random));
	len = snprintf(text, FP_KEY_TEXT_BYTES, "%.4s", prefix);
	sodium_bin2base64(text + len, FP_KEY_TEXT_BYTES - (size_t)len, random,
			  sizeof(random),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(random, sizeof(random));
}

void fp_random_name(const char *prefix, size_t n_bytes,
		    char name[FP_NAME_BYTES])
{
	uint8_t random[NAME_RANDOM_BYTES];
	char hex[2 * NAME_RANDOM_BYTES + 1];

	if (n_bytes > sizeof(random))
		n_bytes = sizeof(random);
	randombytes_buf(random, n_bytes);
	sodium_bin2hex(hex, sizeof(hex), random, n_bytes);
	snprintf(name, FP_NAME_BYTES, "%.8s%s", prefix, hex);
}
