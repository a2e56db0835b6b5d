/* config_edit.h - operators' changes as pure functions on a configuration
 *
 * An edit makes the next revision from the present one and a change. It writes
 * nothing to the store; the caller writes the result by compare-and-swap on the
 * revision that it started from. Each revision carries the ids of the last
 * changes that led to it, newest first, so that an operator who received no
 * answer can check whether the change was made.
 */
#ifndef FP_COORDINATION_CONFIG_EDIT_H
#define FP_COORDINATION_CONFIG_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Kinds of change, one for each command of the operators. */
enum fp_change_kind {
	FP_CHANGE_APPLY, /**< replaces all lists of the declarations */
	FP_CHANGE_KEY_CREATE,
	FP_CHANGE_KEY_WITHDRAW,
	FP_CHANGE_PRESET_USE,
	FP_CHANGE_OPERATOR_ADD,
	FP_CHANGE_OPERATOR_REMOVE,
	FP_CHANGE_KIND_COUNT
};

/** One change; its kind determines which fields are used. */
struct fp_change {
	enum fp_change_kind kind;
	bool force; /**< apply: withdraw the keys of dropped organisations */
	uint64_t base_revision; /**< revision that the operator edited */
	char change_id[FP_NAME_BYTES]; /**< makes a retry detectable */
	char name[FP_NAME_BYTES]; /**< organisation, preset or operator */
	char key_id[FP_NAME_BYTES]; /**< key-create, key-withdraw */
	uint8_t hash[FP_KEY_HASH_BYTES]; /**< key-create, operator-add */
	const struct fp_config *declarations; /**< apply */
};

/** Returns the name of a kind as in the operators' commands. */
const char *fp_change_kind_name(enum fp_change_kind kind);

/** Returns whether the change is among the last ones that led to c. */
bool fp_config_has_change(const struct fp_config *c, const char *change_id);

/**
 * Makes the next revision.
 *
 * @param now   present revision; NULL when the store is known to hold none
 * @param next  set to a new configuration on FP_OK; free it with
 *              fp_config_end
 * @return FP_OK; FP_CONFLICT when now is not the change's base revision;
 *         FP_NOT_FOUND, FP_DENIED, FP_INVALID, FP_FULL or FP_NOMEM; each
 *         failure with a last message
 */
enum fp_status fp_config_edit(const struct fp_config *now,
			      const struct fp_change *ch,
			      struct fp_config **next);

/** Size of a new key's text: "fpk_" or "fpo_", 43 characters, NUL. */
#define FP_KEY_TEXT_BYTES 48

/** Creates a key's text: a prefix of four characters and 32 random bytes in
 *  base64url. */
void fp_key_make(const char *prefix, char text[FP_KEY_TEXT_BYTES]);

/** Creates a random name: a prefix of at most eight characters and n_bytes
 *  random bytes (at most 16) in hexadecimal. */
void fp_random_name(const char *prefix, size_t n_bytes,
		    char name[FP_NAME_BYTES]);

#ifdef __cplusplus
}
#endif
#endif
