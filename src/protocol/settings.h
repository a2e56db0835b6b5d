/* settings.h - settings of a node, read from a TOML file and checked */
#ifndef FP_PROTOCOL_SETTINGS_H
#define FP_PROTOCOL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FP_ADDRESS_BYTES 46 /**< longest IP address, with NUL */
#define FP_URL_BYTES	 256 /**< longest URL, with NUL */
#define FP_SECRET_BYTES	 32
#define FP_MAX_SECRETS	 4
#define FP_MAX_SEEDS	 16

/** Features of the platform's store. */
enum fp_store_kind {
	FP_STORE_PLAIN, /**< compare-and-swap only; nodes exchange members and
			 *   new configuration revisions by messages */
	FP_STORE_LEASES, /**< also leases and watches; member records and the
			  *   configuration record are in the store */
};

/** All settings of a node; docs/CONFIG.md lists units, defaults, ranges. */
struct fp_settings {
	/* [node] */
	char name[FP_NAME_BYTES]; /**< unique in the fleet */
	char address[FP_ADDRESS_BYTES]; /**< IP address of this VM */
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	char service[FP_NAME_BYTES]; /**< service of the backend server */

	/* [listen] */
	uint16_t http_port; /**< callers */
	uint16_t peer_port; /**< calls between nodes, TCP */
	uint16_t control_port; /**< control between nodes, TCP and UDP */
	uint16_t local_port; /**< requests of this VM's backend server */
	uint16_t admin_port; /**< counters, status, operators */
	char local_address[FP_ADDRESS_BYTES]; /**< loopback by default */
	uint16_t ready_port; /**< readiness probes; 0: none */

	/* [backend] */
	char backend_address[FP_ADDRESS_BYTES + 6]; /**< "ip:port", or "" */

	/* [store] */
	char store_url[FP_URL_BYTES];
	uint32_t store_timeout_ms;
	enum fp_store_kind store_kind;

	/* [fleet] */
	uint8_t secrets[FP_MAX_SECRETS][FP_SECRET_BYTES]; /**< hex in TOML */
	uint32_t n_secrets; /**< the first is used to authenticate, all are
			     *   accepted; 0 with FP_STORE_LEASES, where the
			     *   secret is in the store */
	char seeds[FP_MAX_SEEDS][FP_ADDRESS_BYTES + 6]; /**< "ip:port" */
	uint32_t n_seeds; /**< seeds are control addresses of peers; may be 0 */
	bool has_bootstrap_operator;
	uint8_t bootstrap_operator_hash[FP_KEY_HASH_BYTES]; /**< hex in TOML */

	/* [limits] */
	uint32_t max_body_bytes;
	uint32_t max_header_bytes;
	uint32_t max_held_bytes; /**< of all answers that are being received
				  * from the backend server */
	uint32_t max_connections;
	uint32_t max_claims; /**< claims stored by one node */
	uint32_t claim_lifetime_s; /**< lifetime of a claim and its answer */

	/* [overload] */
	bool overload_off; /**< mode = "off": no overload control, as a baseline
			    *   for comparisons */
	bool equal_servers; /**< learn_servers = "off": the servers of a service
			     *   are taken to be equal, but for their slots */
	bool tree_admission; /**< tree_admission = "on": entries admit call trees by the
			 *   occupancy of services that these call often */

	/* [bounds] */
	int64_t revoke_us; /**< longest time a withdrawn key is accepted */
	int64_t grace_us; /**< time from the stop signal until the process is
			   *   killed */
	uint32_t retry_permille; /**< retries per thousand first attempts */
	uint32_t retry_floor; /**< retries allowed to the whole fleet per
			       *   window, in addition to the ratio */
	int64_t retry_window_us; /**< window in which retries are counted */

	/* [log] */
	int log_level; /**< enum fp_log_level */
};

/**
 * Reads and checks a settings file.
 *
 * @return FP_OK; FP_INVALID with a last message that contains the file, line,
 *         setting and expected value; FP_NOMEM
 */
enum fp_status fp_settings_load(const char *path, struct fp_settings *s);

/**
 * Copies the settings that can change at run time, those of [bounds], from
 * reloaded settings.
 *
 * @return FP_OK, or FP_INVALID with a last message, leaving s unchanged, if any
 *         other setting differs
 */
enum fp_status fp_settings_update_bounds(struct fp_settings *s,
					 const struct fp_settings *newer);

#ifdef __cplusplus
}
#endif
#endif
