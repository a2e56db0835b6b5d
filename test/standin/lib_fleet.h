/* lib_fleet.h - starts and ends the processes of a small simulated fleet
 *
 * Each simulated VM has its own loopback address, so that all VMs use the same
 * ports. All processes are ended by fleet_end(), at exit, and when the thread
 * that started them ends. Functions that change a fleet or a process are not
 * thread-safe.
 */
#ifndef STANDIN_LIB_FLEET_H
#define STANDIN_LIB_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "standin/lib_http.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLEET_MAX_VMS	    100
#define FLEET_ADDRESS_BYTES 16
#define FLEET_PATH_BYTES    512
#define FLEET_NAME_BYTES    48
#define FLEET_MAX_ARGS	    40

/** Ports, the same on each VM. */
enum fleet_port {
	FLEET_HTTP = 8080,
	FLEET_PEER = 7001,
	FLEET_CONTROL = 7002,
	FLEET_LOCAL = 7003,
	FLEET_ADMIN = 7004,
	FLEET_BACKEND = 9000,
	FLEET_STORE = 8500,
};

/** A process, which can be restarted with the same arguments. */
struct fleet_process {
	struct fleet_process *next; /**< in the list of fleet_start() */
	char name[FLEET_NAME_BYTES];
	char log_path[FLEET_PATH_BYTES]; /**< its output, over all starts */
	char *argv[FLEET_MAX_ARGS + 1];
	pid_t pid; /**< 0 if it is not running */
	int exit_status; /**< from waitpid(), after its end */
};

/** A simulated VM: a node and its backend server. */
struct fleet_vm {
	struct fleet *fleet;
	char name[FLEET_NAME_BYTES];
	char address[FLEET_ADDRESS_BYTES];
	char settings_path[FLEET_PATH_BYTES];
	char executions_path[FLEET_PATH_BYTES]; /**< log of executions */
	struct fleet_process node;
	struct fleet_process backend;
};

/** Options of a VM; zeroed fields mean the default. */
struct fleet_vm_opts {
	bool no_node; /**< only the backend server */
	bool no_backend;
	bool overload_off; /**< baseline without overload control */
	int slots; /**< of the backend server; default 10 */
	double service_ms; /**< default 5 */
	bool exponential; /**< exponential service times, else constant */
	int seed; /**< of the service times */
	int cold_ms; /**< time from the start in which cold_factor applies */
	double cold_factor; /**< multiplies service times; default 1 */
	const char *extra_settings; /**< TOML appended to the settings */
};

/** A fleet: the store and the VMs. */
struct fleet {
	struct fleet *next; /**< in the list of this process's fleets */
	uint32_t number; /**< index in this process; selects addresses */
	char dir[FLEET_PATH_BYTES];
	char build[FLEET_PATH_BYTES]; /**< folder of the binaries */
	char operator_key[65];
	char operator_key_path[FLEET_PATH_BYTES];
	char operator_hash[65]; /**< BLAKE2b-256, hexadecimal */
	char secret[65]; /**< shared by the nodes, hexadecimal */
	char store_address[FLEET_ADDRESS_BYTES];
	struct fleet_process store;
	struct fleet_vm *vms[FLEET_MAX_VMS];
	int n_vms;
	struct fleet_process *started; /**< processes of fleet_start() */
	int n_started;
};

/**
 * Creates an empty fleet with a folder under $TMPDIR.
 *
 * Binaries are taken from $FP_BUILD, by default build-release.
 *
 * @return NULL if the folder cannot be created
 */
struct fleet *fleet_init(void);

/** Starts the store and waits up to 10 s until it is ready; false if it is
 *  not. */
bool fleet_add_store(struct fleet *f);

/**
 * Adds a VM, starts its node and backend server, and waits up to 10 s for each
 * until it is ready.
 *
 * @param domain  failure domain
 * @param opts  may be NULL
 * @return owned by the fleet; NULL if one does not become ready, with its log
 *         printed on standard error, or if there are FLEET_MAX_VMS already
 */
struct fleet_vm *fleet_add_vm(struct fleet *f, const char *service,
			      const char *domain, const char *region,
			      const struct fleet_vm_opts *opts);

/** Sets url to "http://ADDRESS:PORT" of a VM, followed by path. */
void fleet_vm_url(const struct fleet_vm *vm, enum fleet_port port,
		  const char *path, char *url, size_t url_bytes);

/** Sets url to "http://ADDRESS:PORT" of the store, followed by path. */
void fleet_store_url(const struct fleet *f, const char *path, char *url,
		     size_t url_bytes);

/** Sends POST /ctl with a JSON body to the store; false unless the
 *  answer is 200. */
bool fleet_store_control(struct fleet *f, const char *json);

/** Returns how many calls the store received: "get", "put", "delete", "list",
 *  "watch", "lease" or "total"; -1 if it is unreachable. */
int64_t fleet_store_count(struct fleet *f, const char *name);

/** Sends POST /ctl with a JSON body to a backend server; false unless the
 *  answer is 200. */
bool fleet_backend_control(struct fleet_vm *vm, const char *json);

/** Writes a file into the fleet's folder and sets path to its path; false if it
 *  cannot be written. */
bool fleet_write_file(struct fleet *f, const char *name, const char *text,
		      char *path, size_t path_bytes);

/** Reads a file; the caller frees the text, NULL if it cannot be opened. */
char *fleet_read_file(const char *path);

/**
 * Runs "fulmarpass apply" with a declarations file against a VM's node.
 *
 * @return the exit status, -1 if it does not end within 10 s
 */
int fleet_apply(struct fleet *f, struct fleet_vm *vm, const char *file);

/**
 * Starts another of the project's programs, such as "caller".
 *
 * @param args  without the program, NULL at the end
 * @return a process that belongs to the fleet; its output is in log_path
 */
struct fleet_process *fleet_start(struct fleet *f, const char *binary,
				  const char *const *args);

/** Returns the exit status of a process that ended, -1 after a signal. */
int fleet_process_exit_code(const struct fleet_process *p);

/** Starts a process, the first time or after its end, with its arguments. */
bool fleet_process_start(struct fleet *f, struct fleet_process *p);

/** Starts a process and waits up to 10 s until GET of url is answered with 200;
 *  false, with its log printed on standard error, if it is not. */
bool fleet_process_start_ready(struct fleet *f, struct fleet_process *p,
			       const char *url);

/** Starts a VM's node, which must not be running, and waits up to 10 s until
 *  it is ready. */
bool fleet_restart_node(struct fleet_vm *vm);

/** Starts a VM's backend server, which must not be running, and waits up to
 *  10 s until it is ready. */
bool fleet_restart_backend(struct fleet_vm *vm);

/** Returns whether a process is running; sets exit_status if it has ended. */
bool fleet_process_is_running(struct fleet_process *p);

/** Waits until a process has ended; false if it still runs after timeout_ms. */
bool fleet_process_wait(struct fleet_process *p, int64_t timeout_ms);

/** Sends a signal such as SIGTERM, SIGSTOP or SIGCONT to a process that
 *  runs. */
void fleet_process_signal(struct fleet_process *p, int sig);

/** Kills a process with SIGKILL and waits until it has ended. */
void fleet_process_kill(struct fleet_process *p);

/** Prints the last 2000 bytes of each log on standard error. */
void fleet_print_logs(const struct fleet *f);

/**
 * Ends all processes and removes the folder.
 *
 * If FP_KEEP is set in the environment, the folder is kept.
 */
void fleet_end(struct fleet *f);

#ifdef __cplusplus
}
#endif
#endif
