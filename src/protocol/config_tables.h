/* config_tables.h - tables of a configuration's lists and fields, and checks
 *
 * The same tables are used for the record in the store, for the declarations in
 * version control and for the difference between two revisions.
 */
#ifndef FP_PROTOCOL_CONFIG_TABLES_H
#define FP_PROTOCOL_CONFIG_TABLES_H

#include "protocol/field.h"
#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of entries in a list, and of recent change ids. */
#define FP_CONFIG_MAX_ENTRIES	 10000
#define FP_CONFIG_MAX_CHANGE_IDS 64

/** Organisation of a withdrawn key whose organisation was removed. */
#define FP_CONFIG_NO_ORG UINT32_MAX

/** Index of each preset in a configuration from fp_config_initial(). */
enum fp_preset_index {
	FP_PRESET_ORDINARY,
	FP_PRESET_PEAK,
	FP_PRESET_MAINTENANCE,
	FP_PRESET_COUNT
};

/** Creates a configuration of revision 0 that has only the presets; NULL when
 *  out of memory. */
struct fp_config *fp_config_initial(void);

/** Built-in presets; declarations may override their fields. */
extern const struct fp_preset fp_preset_defaults[FP_PRESET_COUNT];

/** One list of a configuration. */
struct fp_config_list {
	const char *name; /**< in the record, such as "organisations" */
	const char *entry; /**< in messages, such as "organisation" */
	const struct fp_field *fields;
	size_t size; /**< bytes of an entry */
	size_t offset; /**< of the array's pointer in fp_config */
	size_t count_offset; /**< of its uint32_t count in fp_config */
	uint32_t n_fields;
	uint32_t n_id_fields; /**< the first 1 or 2 fields identify an entry */
	bool declared; /**< false: keys and operators, set by commands */
};

/** Index of each list in fp_config_lists. */
enum fp_config_list_index {
	FP_LIST_ORGS,
	FP_LIST_ROUTES,
	FP_LIST_PRESETS,
	FP_LIST_OBJECTIVES,
	FP_LIST_KEYS,
	FP_LIST_OPERATORS,
	FP_LIST_COUNT
};

extern const struct fp_config_list fp_config_lists[FP_LIST_COUNT];

/** Returns the first entry of a list and sets *n to their number. */
void *fp_config_entries(const struct fp_config *c,
			const struct fp_config_list *l, uint32_t *n);

/** Replaces a list by n zeroed entries; false, without effect, when out of
 *  memory. */
bool fp_config_resize(struct fp_config *c, const struct fp_config_list *l,
		      uint32_t n);

/** Compares two entries by their identifying fields; result as of strcmp(). */
int fp_config_compare(const struct fp_config_list *l, const void *a,
		      const void *b);

/** Returns a malloc'd array of pointers to the entries, sorted by
 *  fp_config_compare(); NULL when out of memory. */
const void **fp_config_sorted(const struct fp_config *c,
			      const struct fp_config_list *l, uint32_t *n);

/** First rule violation found by fp_config_check(). */
struct fp_config_fault {
	const struct fp_config_list *list;
	uint32_t index; /**< of the entry */
	const char *field; /**< name of the member */
	char why[FP_WHY_BYTES];
};

/**
 * Checks the rules that the field tables cannot express: duplicate names,
 * references between entries, conflicting routes.
 *
 * @return true, or false with *fault set
 */
bool fp_config_check(const struct fp_config *c, struct fp_config_fault *fault);

#ifdef __cplusplus
}
#endif
#endif
