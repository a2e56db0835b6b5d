/*
 * evacuation.c - which failure domains the operators have evacuated
 *
 * Operators write a key for each domain and remove it when the domain may get
 * requests again; the store's answer to them is the acknowledgement. The node
 * that reads the configuration record for its failure domain reads these keys
 * with the same call, and passes the set on with each confirmation
 * (directory_relay.c), so it costs no calls of its own and is as fresh as the
 * confirmation.
 *
 * A set is as new as the store was when it was read. An older one never
 * replaces a newer one, whoever sends it, so an evacuation does not end because
 * of a late message or a change of the delegate. Without the store the last set
 * stays in force.
 */
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"

static void log_difference(const struct fp_evacuation *from,
			   const struct fp_evacuation *to, const char *event,
			   const char *source, int64_t age_us)
{
	uint64_t revision =
		from->revision > to->revision ? from->revision : to->revision;
	char word[FP_LOG_VALUE_BYTES];
	uint32_t i;

	for (i = 0; i < from->n; i++)
		if (!fp_evacuation_has(to, from->domains[i]))
			fp_log(FP_LOG_INFO, event,
			       "domain=%s revision=" FP_REVISION_FORMAT
			       " source=%s age_ms=%" PRId64,
			       fp_log_sanitize(from->domains[i], word),
			       FP_REVISION_ARGS(revision), source,
			       age_us / FP_US_PER_MS);
}

void directory_apply_evacuation(struct fp_directory *d,
				const struct fp_evacuation *e,
				const char *source, int64_t age_us)
{
	struct fp_evacuation old = d->evacuation;

	if (e->revision < old.revision)
		return;
	d->evacuation = *e;
	if (fp_evacuation_equal(&old, e))
		return;
	log_difference(e, &old, "evacuation_seen", source, age_us);
	log_difference(&old, e, "evacuation_ended", source, age_us);
	if (d->ops.evacuation)
		d->ops.evacuation(d->ops.ctx, e);
}

static void add_key(struct fp_evacuation *e, const char *domain)
{
	enum fp_status st = fp_evacuation_add(e, domain);
	char word[FP_LOG_VALUE_BYTES];

	if (st != FP_OK)
		fp_log(FP_LOG_ERROR, "evacuation_refused", "domain=%s why=%s",
		       fp_log_sanitize(domain, word), fp_status_name(st));
}

void directory_read_evacuation(struct fp_directory *d,
			       const struct fp_registry_result *r)
{
	const char *prefix = d->cfg.dialect->evacuation_prefix;
	struct fp_evacuation e = { .revision = r->revision };
	size_t i;

	for (i = 0; i < r->n_items; i++) {
		if (strncmp(r->items[i].key, prefix, strlen(prefix)) != 0)
			continue;
		/* Pages are no snapshot: an item of a later page may be newer
		 * than the store was at the first. */
		if (r->items[i].revision > e.revision)
			e.revision = r->items[i].revision;
		add_key(&e, r->items[i].key + strlen(prefix));
	}
	directory_apply_evacuation(d, &e, "store",
				   fp_mono_us(d->cfg.clock) -
					   d->config_requested_us);
}
