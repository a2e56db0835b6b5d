/* operator.c - operator actions before a run: key creation, readiness check */
#include "bench/operator.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

#define COMMAND_TIMEOUT_MS 10000
#define POLL_US		   20000
#define URL_BYTES	   512

bool operator_make_key(struct fleet *f, const char *org,
		       char key[OPERATOR_KEY_BYTES])
{
	char node[64];
	const char *args[] = { "key",
			       "create",
			       org,
			       "--json",
			       "--node",
			       node,
			       "--operator-key-file",
			       f->operator_key_path,
			       NULL };
	struct fleet_process *p;
	char *text;
	json_t *j;

	snprintf(node, sizeof(node), "%s:%d", f->vms[0]->address, FLEET_ADMIN);
	p = fleet_start(f, "fulmarpass", args);
	fleet_process_wait(p, COMMAND_TIMEOUT_MS);
	text = fleet_read_file(p->log_path);
	j = text ? json_loads(text, 0, NULL) : NULL;
	snprintf(key, OPERATOR_KEY_BYTES, "%s",
		 json_is_string(json_object_get(j, "key")) ?
			 json_string_value(json_object_get(j, "key")) :
			 "");
	if (!*key)
		fprintf(stderr, "cannot create a key for %s: %s\n", org,
			text ? text : "");
	json_decref(j);
	free(text);
	return *key != '\0';
}

void operator_auth_header(const char *key, char *out, size_t out_bytes)
{
	snprintf(out, out_bytes, "Authorization: Bearer %s", key);
}

bool operator_wait_serving(const struct fleet_vm *vm, const char *path,
			   const char *key, int64_t until_us)
{
	char url[URL_BYTES], auth[OPERATOR_KEY_BYTES + 32];
	const char *headers[] = { auth, NULL };
	struct http_request q = { .url = url, .headers = headers };
	struct http_answer a;
	long status;

	operator_auth_header(key, auth, sizeof(auth));
	fleet_vm_url(vm, FLEET_HTTP, path, url, sizeof(url));
	do {
		status = http_call(&q, &a);
		http_answer_end(&a);
		if (status == 200)
			return true;
		usleep(POLL_US);
	} while (fp_mono_us(fp_system_clock()) < until_us);
	fprintf(stderr,
		"%s: GET %s was not answered with 200 in time, last status "
		"%ld\n",
		vm->name, path, status);
	return false;
}
