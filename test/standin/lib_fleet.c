/* lib_fleet.c - starts and ends the processes of a small simulated fleet */
#include "standin/lib_fleet.h"

#include <fcntl.h>
#include <ftw.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"

#define READY_TIMEOUT_MS      10000
#define POLL_INTERVAL_US      10000
#define PROBE_TIMEOUT_MS      1000
#define LOG_TAIL_BYTES	      2000
#define URL_BYTES	      256
#define FIRST_VM_ADDRESS_BYTE 10 /* last byte of the first VM's address */

static struct fleet *fleets;
static uint32_t n_fleets_made;

static int64_t now_ms(void)
{
	return fp_mono_us(fp_system_clock()) / FP_US_PER_MS;
}

/* Processes. */

static void copy_args(struct fleet_process *p, const char *const *args)
{
	int i;

	for (i = 0; args[i] && i < FLEET_MAX_ARGS; i++)
		p->argv[i] = strdup(args[i]);
}

static void free_args(struct fleet_process *p)
{
	int i;

	for (i = 0; p->argv[i]; i++)
		free(p->argv[i]);
}

static void name_process(struct fleet *f, struct fleet_process *p,
			 const char *name, const char *suffix)
{
	snprintf(p->name, sizeof(p->name), "%.30s%s", name, suffix);
	snprintf(p->log_path, sizeof(p->log_path), "%.400s/%s.log", f->dir,
		 p->name);
}

/** Executes the program in the forked child, which may make only
 *  async-signal-safe calls. The child is killed when the thread that started
 *  it ends. */
static void exec_child(struct fleet_process *p, pid_t parent, int log)
{
	sigset_t none;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	execv(p->argv[0], p->argv);
	_exit(127);
}

bool fleet_process_start(struct fleet *f, struct fleet_process *p)
{
	int log = open(p->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
		       0644);
	pid_t parent = getpid();

	(void)f;
	if (log < 0)
		return false;
	p->pid = fork();
	if (p->pid == 0)
		exec_child(p, parent, log);
	close(log);
	if (p->pid < 0)
		p->pid = 0;
	return p->pid > 0;
}

bool fleet_process_is_running(struct fleet_process *p)
{
	if (!p->pid)
		return false;
	if (waitpid(p->pid, &p->exit_status, WNOHANG) == 0)
		return true;
	p->pid = 0;
	return false;
}

bool fleet_process_wait(struct fleet_process *p, int64_t timeout_ms)
{
	int64_t end_ms = now_ms() + timeout_ms;

	while (fleet_process_is_running(p)) {
		if (now_ms() >= end_ms)
			return false;
		usleep(POLL_INTERVAL_US);
	}
	return true;
}

void fleet_process_signal(struct fleet_process *p, int sig)
{
	if (fleet_process_is_running(p))
		kill(p->pid, sig);
}

void fleet_process_kill(struct fleet_process *p)
{
	if (!fleet_process_is_running(p))
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, &p->exit_status, 0);
	p->pid = 0;
}

static void print_log(const struct fleet_process *p)
{
	char *text = p->name[0] ? fleet_read_file(p->log_path) : NULL;
	size_t n = text ? strlen(text) : 0;

	if (n)
		fprintf(stderr, "--- %s\n%s\n", p->name,
			n > LOG_TAIL_BYTES ? text + n - LOG_TAIL_BYTES : text);
	free(text);
}

bool fleet_process_start_ready(struct fleet *f, struct fleet_process *p,
			       const char *url)
{
	struct http_request req = { .url = url,
				    .timeout_ms = PROBE_TIMEOUT_MS };
	int64_t end_ms = now_ms() + READY_TIMEOUT_MS;
	struct http_answer a;
	long status;

	if (!fleet_process_start(f, p))
		return false;
	while (fleet_process_is_running(p) && now_ms() < end_ms) {
		status = http_call(&req, &a);
		http_answer_end(&a);
		if (status == 200)
			return true;
		usleep(POLL_INTERVAL_US);
	}
	fprintf(stderr, "%s did not become ready\n", p->name);
	print_log(p);
	return false;
}

/* Files. */

char *fleet_read_file(const char *path)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t bytes = 0;

	if (!in)
		return NULL;
	if (getdelim(&text, &bytes, '\0', in) < 0) {
		free(text);
		text = strdup("");
	}
	fclose(in);
	return text;
}

bool fleet_write_file(struct fleet *f, const char *name, const char *text,
		      char *path, size_t path_bytes)
{
	FILE *out;

	snprintf(path, path_bytes, "%.400s/%.60s", f->dir, name);
	out = fopen(path, "w");
	if (!out)
		return false;
	fputs(text, out);
	return fclose(out) == 0;
}

static int remove_entry(const char *path, const struct stat *st, int type,
			struct FTW *ftw)
{
	(void)st;
	(void)type;
	(void)ftw;
	return remove(path);
}

/* Creating and ending a fleet. */

static void end_all_fleets(void)
{
	while (fleets)
		fleet_end(fleets);
}

static void random_hex(char *out, size_t hex_bytes)
{
	uint8_t bytes[32];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(out, hex_bytes, bytes, (hex_bytes - 1) / 2);
}

static bool make_operator_key(struct fleet *f)
{
	uint8_t hash[crypto_generichash_BYTES];

	random_hex(f->operator_key, sizeof(f->operator_key));
	crypto_generichash(hash, sizeof(hash), (const uint8_t *)f->operator_key,
			   strlen(f->operator_key), NULL, 0);
	sodium_bin2hex(f->operator_hash, sizeof(f->operator_hash), hash,
		       sizeof(hash));
	return fleet_write_file(f, "operator.key", f->operator_key,
				f->operator_key_path,
				sizeof(f->operator_key_path));
}

static bool make_dir(struct fleet *f)
{
	const char *tmp = getenv("TMPDIR");

	snprintf(f->dir, sizeof(f->dir), "%.400s/fleet-XXXXXX",
		 tmp && *tmp ? tmp : "/tmp");
	return mkdtemp(f->dir) != NULL;
}

/** Writes 127.A.B.last; A and B depend on this process and the fleet. */
static void make_address(const struct fleet *f, int last, char *out)
{
	uint32_t n = ((uint32_t)getpid() + f->number * 7919u) % (200u * 256u);

	snprintf(out, FLEET_ADDRESS_BYTES, "127.%u.%u.%u", 16 + n / 256,
		 n % 256, (unsigned int)last % 255);
}

struct fleet *fleet_init(void)
{
	struct fleet *f = calloc(1, sizeof(*f));
	const char *build = getenv("FP_BUILD");

	if (!f || sodium_init() < 0)
		abort();
	snprintf(f->build, sizeof(f->build), "%.400s",
		 build && *build ? build : "build-release");
	f->number = n_fleets_made++;
	make_address(f, 1, f->store_address);
	random_hex(f->secret, sizeof(f->secret));
	if (!make_dir(f) || !make_operator_key(f)) {
		free(f);
		return NULL;
	}
	if (f->number == 0)
		atexit(end_all_fleets);
	f->next = fleets;
	fleets = f;
	return f;
}

static void end_process(struct fleet_process *p)
{
	fleet_process_kill(p);
	free_args(p);
}

void fleet_end(struct fleet *f)
{
	struct fleet **link = &fleets;
	int i;

	if (!f)
		return;
	for (i = 0; i < f->n_vms; i++) {
		end_process(&f->vms[i]->node);
		end_process(&f->vms[i]->backend);
		free(f->vms[i]);
	}
	end_process(&f->store);
	while (f->started) {
		struct fleet_process *p = f->started;

		f->started = p->next;
		end_process(p);
		free(p);
	}
	while (*link && *link != f)
		link = &(*link)->next;
	if (*link)
		*link = f->next;
	if (!getenv("FP_KEEP"))
		nftw(f->dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
	free(f);
}

void fleet_print_logs(const struct fleet *f)
{
	const struct fleet_process *p;
	int i;

	print_log(&f->store);
	for (p = f->started; p; p = p->next)
		print_log(p);
	for (i = 0; i < f->n_vms; i++) {
		print_log(&f->vms[i]->node);
		print_log(&f->vms[i]->backend);
	}
}

/* The store. */

void fleet_store_url(const struct fleet *f, const char *path, char *url,
		     size_t url_bytes)
{
	snprintf(url, url_bytes, "http://%s:%d%s", f->store_address,
		 FLEET_STORE, path);
}

bool fleet_add_store(struct fleet *f)
{
	char binary[FLEET_PATH_BYTES];
	char listen[URL_BYTES];
	char url[URL_BYTES];
	const char *args[] = { binary, "--listen", listen, NULL };

	snprintf(binary, sizeof(binary), "%.400s/store", f->build);
	snprintf(listen, sizeof(listen), "%s:%d", f->store_address,
		 FLEET_STORE);
	copy_args(&f->store, args);
	name_process(f, &f->store, "store", "");
	fleet_store_url(f, "/ctl/counts", url, sizeof(url));
	return fleet_process_start_ready(f, &f->store, url);
}

static bool post_control(const char *url, const char *json)
{
	struct http_request req = { .method = "POST",
				    .url = url,
				    .body = json,
				    .body_bytes = strlen(json) };
	struct http_answer a;
	long status = http_call(&req, &a);

	http_answer_end(&a);
	return status == 200;
}

bool fleet_store_control(struct fleet *f, const char *json)
{
	char url[URL_BYTES];

	fleet_store_url(f, "/ctl", url, sizeof(url));
	return post_control(url, json);
}

int64_t fleet_store_count(struct fleet *f, const char *name)
{
	char url[URL_BYTES];
	struct http_request req = { .url = url };
	struct http_answer a;
	int64_t n = -1;
	json_t *counts;

	fleet_store_url(f, "/ctl/counts", url, sizeof(url));
	if (http_call(&req, &a) == 200) {
		counts = json_loads(a.body, 0, NULL);
		n = json_integer_value(json_object_get(counts, name));
		json_decref(counts);
	}
	http_answer_end(&a);
	return n;
}

/* VMs. */

void fleet_vm_url(const struct fleet_vm *vm, enum fleet_port port,
		  const char *path, char *url, size_t url_bytes)
{
	snprintf(url, url_bytes, "http://%s:%d%s", vm->address, (int)port,
		 path);
}

bool fleet_backend_control(struct fleet_vm *vm, const char *json)
{
	char url[URL_BYTES];

	fleet_vm_url(vm, FLEET_BACKEND, "/ctl", url, sizeof(url));
	return post_control(url, json);
}

static void print_settings(FILE *out, const struct fleet_vm *vm,
			   const char *service, const char *domain,
			   const char *region, const struct fleet_vm_opts *opts)
{
	const struct fleet *f = vm->fleet;

	fprintf(out,
		"[node]\nname = \"%s\"\naddress = \"%s\"\n"
		"failure_domain = \"%s\"\nregion = \"%s\"\nservice = \"%s\"\n",
		vm->name, vm->address, domain, region, service);
	fprintf(out,
		"\n[listen]\nhttp_port = %d\npeer_port = %d\n"
		"control_port = %d\nlocal_port = %d\nadmin_port = %d\n"
		"local_address = \"%s\"\n",
		FLEET_HTTP, FLEET_PEER, FLEET_CONTROL, FLEET_LOCAL, FLEET_ADMIN,
		vm->address);
	fprintf(out, "\n[store]\nurl = \"http://%s:%d\"\n", f->store_address,
		FLEET_STORE);
	fprintf(out,
		"\n[fleet]\nsecrets = [\"%s\"]\n"
		"bootstrap_operator_hash = \"%s\"\n",
		f->secret, f->operator_hash);
	if (opts->overload_off)
		fprintf(out, "\n[overload]\nmode = \"off\"\n");
	if (opts->extra_settings)
		fprintf(out, "\n%s\n", opts->extra_settings);
}

static bool write_settings(struct fleet_vm *vm, const char *service,
			   const char *domain, const char *region,
			   const struct fleet_vm_opts *opts)
{
	FILE *out = fopen(vm->settings_path, "w");

	if (!out)
		return false;
	print_settings(out, vm, service, domain, region, opts);
	return fclose(out) == 0;
}

static void prepare_node(struct fleet_vm *vm)
{
	char binary[FLEET_PATH_BYTES];
	const char *args[] = { binary, "node", "--settings", vm->settings_path,
			       NULL };

	snprintf(binary, sizeof(binary), "%.400s/fulmarpass", vm->fleet->build);
	copy_args(&vm->node, args);
	name_process(vm->fleet, &vm->node, vm->name, "-node");
}

static void prepare_backend(struct fleet_vm *vm, const char *service,
			    const struct fleet_vm_opts *o)
{
	char binary[FLEET_PATH_BYTES];
	char listen[32], node[32], slots[16], service_ms[32], seed[16];
	char cold_ms[16], cold_factor[32];
	const char *args[] = {
		binary,
		"--listen",
		listen,
		"--service",
		service,
		"--slots",
		slots,
		"--service-ms",
		service_ms,
		"--dist",
		o->exponential ? "exp" : "const",
		"--seed",
		seed,
		"--cold-ms",
		cold_ms,
		"--cold-factor",
		cold_factor,
		"--log",
		vm->executions_path,
		"--node",
		node,
		"--announce",
		o->no_node ? "0" : "1",
		NULL,
	};

	snprintf(binary, sizeof(binary), "%.400s/backend", vm->fleet->build);
	snprintf(listen, sizeof(listen), "%s:%d", vm->address, FLEET_BACKEND);
	snprintf(node, sizeof(node), "%s:%d", vm->address, FLEET_LOCAL);
	snprintf(slots, sizeof(slots), "%d", o->slots ? o->slots : 10);
	snprintf(service_ms, sizeof(service_ms), "%g",
		 o->service_ms > 0 ? o->service_ms : 5.0);
	snprintf(seed, sizeof(seed), "%d", o->seed);
	snprintf(cold_ms, sizeof(cold_ms), "%d", o->cold_ms);
	snprintf(cold_factor, sizeof(cold_factor), "%g",
		 o->cold_factor > 0 ? o->cold_factor : 1.0);
	copy_args(&vm->backend, args);
	name_process(vm->fleet, &vm->backend, vm->name, "-backend");
}

bool fleet_restart_node(struct fleet_vm *vm)
{
	char url[URL_BYTES];

	fleet_vm_url(vm, FLEET_ADMIN, "/healthz", url, sizeof(url));
	return fleet_process_start_ready(vm->fleet, &vm->node, url);
}

bool fleet_restart_backend(struct fleet_vm *vm)
{
	char url[URL_BYTES];

	fleet_vm_url(vm, FLEET_BACKEND, "/ctl/stats", url, sizeof(url));
	return fleet_process_start_ready(vm->fleet, &vm->backend, url);
}

struct fleet_vm *fleet_add_vm(struct fleet *f, const char *service,
			      const char *domain, const char *region,
			      const struct fleet_vm_opts *opts)
{
	static const struct fleet_vm_opts defaults;
	struct fleet_vm *vm;

	if (f->n_vms == FLEET_MAX_VMS)
		return NULL;
	if (!opts)
		opts = &defaults;
	vm = calloc(1, sizeof(*vm));
	if (!vm)
		abort();
	f->vms[f->n_vms] = vm;
	vm->fleet = f;
	snprintf(vm->name, sizeof(vm->name), "%.20s-%d", service, f->n_vms);
	make_address(f, FIRST_VM_ADDRESS_BYTE + f->n_vms, vm->address);
	f->n_vms++;
	snprintf(vm->settings_path, sizeof(vm->settings_path), "%.400s/%s.toml",
		 f->dir, vm->name);
	snprintf(vm->executions_path, sizeof(vm->executions_path),
		 "%.400s/%s.jsonl", f->dir, vm->name);
	if (!write_settings(vm, service, domain, region, opts))
		return NULL;
	prepare_node(vm);
	prepare_backend(vm, service, opts);
	if (!opts->no_node && !fleet_restart_node(vm))
		return NULL;
	if (!opts->no_backend && !fleet_restart_backend(vm))
		return NULL;
	return vm;
}

struct fleet_process *fleet_start(struct fleet *f, const char *binary,
				  const char *const *args)
{
	struct fleet_process *p = calloc(1, sizeof(*p));
	const char *argv[FLEET_MAX_ARGS + 1] = { NULL };
	char path[FLEET_PATH_BYTES];
	char suffix[16];
	int i;

	if (!p)
		abort();
	snprintf(path, sizeof(path), "%.400s/%.60s", f->build, binary);
	argv[0] = path;
	for (i = 0; args[i] && i + 1 < FLEET_MAX_ARGS; i++)
		argv[i + 1] = args[i];
	copy_args(p, argv);
	snprintf(suffix, sizeof(suffix), "-%d", f->n_started++);
	name_process(f, p, binary, suffix);
	p->next = f->started;
	f->started = p;
	fleet_process_start(f, p);
	return p;
}

int fleet_process_exit_code(const struct fleet_process *p)
{
	return WIFEXITED(p->exit_status) ? WEXITSTATUS(p->exit_status) : -1;
}

int fleet_apply(struct fleet *f, struct fleet_vm *vm, const char *file)
{
	char node[32];
	const char *args[] = { "apply",
			       file,
			       "--node",
			       node,
			       "--operator-key-file",
			       f->operator_key_path,
			       NULL };
	struct fleet_process *p;

	snprintf(node, sizeof(node), "%s:%d", vm->address, FLEET_ADMIN);
	p = fleet_start(f, "fulmarpass", args);
	if (!fleet_process_wait(p, READY_TIMEOUT_MS)) {
		fleet_process_kill(p);
		return -1;
	}
	return fleet_process_exit_code(p);
}
