/* main.c - the command line of fulmarpass: its table of commands */
#include <getopt.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd/admin.h"
#include "cmd/cmd.h"

/* Which options a command takes besides --help, --version and --json. */
#define TAKES_NODE     1u /* --node and --operator-key-file */
#define TAKES_KIND     2u
#define TAKES_FORCE    4u
#define TAKES_SETTINGS 8u
#define TAKES_HTML     16u
#define TAKES_FILES    32u /* one argument and one or more files */
#define TAKES_REQUEST  64u /* method, path, and options of a request */

/* Larger allocations are mapped on their own; the library would raise its
 * threshold with the size of each one that is freed. */
#define MMAP_THRESHOLD_BYTES (256 << 10)

/** One command of one or two words. */
struct command {
	const char *word;
	const char *second; /* NULL for one word */
	const char *arg; /* its argument, NULL for none */
	unsigned int takes;
	cmd_fn run;
	const char *text;
};

static const struct command commands[] = {
	{ "node", NULL, NULL, TAKES_SETTINGS, cmd_node,
	  "run the node beside a backend server" },
	{ "check", NULL, "FILE", TAKES_KIND, cmd_check,
	  "check a file of settings or declarations" },
	{ "plan", NULL, "FILE", TAKES_NODE | TAKES_FORCE, cmd_plan,
	  "show what applying declarations would change" },
	{ "apply", NULL, "FILE", TAKES_NODE | TAKES_FORCE, cmd_apply,
	  "apply all declarations of a file, or none" },
	{ "org", "list", NULL, TAKES_NODE, cmd_org_list, "list organisations" },
	{ "key", "create", "ORG", TAKES_NODE, cmd_key_create,
	  "create a key of an organisation and show it once" },
	{ "key", "withdraw", "ID", TAKES_NODE, cmd_key_withdraw,
	  "withdraw a key permanently" },
	{ "key", "list", NULL, TAKES_NODE, cmd_key_list, "list keys" },
	{ "operator", "add", "NAME", TAKES_NODE, cmd_operator_add,
	  "add an operator and show the key once" },
	{ "operator", "remove", "NAME", TAKES_NODE, cmd_operator_remove,
	  "remove an operator (the last one cannot be removed)" },
	{ "operator", "list", NULL, TAKES_NODE, cmd_operator_list,
	  "list operators" },
	{ "preset", "use", "NAME", TAKES_NODE, cmd_preset_use,
	  "activate a preset: ordinary, peak or maintenance" },
	{ "preset", "list", NULL, TAKES_NODE, cmd_preset_list, "list presets" },
	{ "status", NULL, NULL, TAKES_NODE, cmd_status,
	  "show nodes, workers, slices, configuration and store" },
	{ "report", NULL, NULL, TAKES_NODE | TAKES_HTML, cmd_report,
	  "show service levels, error budgets and overload" },
	{ "explain", NULL, "ID LOG...", TAKES_FILES, cmd_explain,
	  "print the log lines of a request from several nodes" },
	{ "where", NULL, "METHOD PATH", TAKES_NODE | TAKES_REQUEST, cmd_where,
	  "show where a request would go now, without sending it" },
	{ "version", NULL, NULL, 0, cmd_version, "show the version" },
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static const char *const exit_texts[CMD_EXIT_COUNT] = {
	[CMD_DONE] = "done",
	[CMD_REFUSED] = "not done, or refused by the fleet",
	[CMD_USAGE] = "wrong usage, or an invalid file",
	[CMD_NO_NODE] = "the node cannot be reached",
	[CMD_UNKNOWN] = "outcome unknown after retries",
	[CMD_CONFLICT] = "another operator's change was applied first",
};

enum cmd_exit cmd_version(const struct cmd_options *o)
{
	if (o->json)
		cmd_print_json(json_pack("{s:s}", "version", FP_VERSION),
			       CMD_DONE);
	else
		printf("fulmarpass %s\n", FP_VERSION);
	return CMD_DONE;
}

static void print_command(const struct command *c)
{
	char line[64];

	snprintf(line, sizeof(line), "%s%s%s%s%s", c->word,
		 c->second ? " " : "", c->second ? c->second : "",
		 c->arg ? " " : "", c->arg ? c->arg : "");
	printf("  %-24s %s\n", line, c->text);
}

static void print_options(unsigned int takes)
{
	puts("\nOptions:\n"
	     "  --json                   print JSON\n"
	     "  --help                   show this text\n"
	     "  --version                show the version");
	if (takes & TAKES_NODE)
		puts("  --node IP:PORT           a node's admin port, "
		     "else " ADMIN_NODE_ENV "\n"
		     "                           in the environment, "
		     "else " ADMIN_NODE_DEFAULT "\n"
		     "  --operator-key-file FILE file with the operator's key, "
		     "else the key is\n"
		     "                           read from " ADMIN_KEY_ENV
		     " in the environment");
	if (takes & TAKES_SETTINGS)
		puts("  --settings FILE          settings file of the node");
	if (takes & TAKES_HTML)
		puts("  --html FILE              also write the report as an "
		     "HTML page");
	if (takes & TAKES_KIND)
		puts("  --kind KIND              settings or declarations, "
		     "else detected from the file");
	if (takes & TAKES_REQUEST)
		puts("  --host HOST              Host header of the request\n"
		     "  --org NAME               organisation whose key it "
		     "has, else it has no key\n"
		     "  --class CLASS            important, normal or "
		     "sheddable, else the class\n"
		     "                           of its organisation or route\n"
		     "  --draw NUMBER            number that decides between "
		     "workers, else 1");
	if (takes & TAKES_FORCE)
		puts("  --force                  withdraw the keys of "
		     "organisations that the\n"
		     "                           file omits");
}

static void print_help(const struct command *only)
{
	unsigned int takes = only ? only->takes : ~0u;
	size_t i;

	puts("usage: fulmarpass COMMAND [ARGUMENT] [OPTIONS]\n");
	for (i = 0; i < N_COMMANDS; i++)
		if (!only || only == &commands[i])
			print_command(&commands[i]);
	print_options(takes);
	puts("\nExit codes:");
	for (i = 0; i < CMD_EXIT_COUNT; i++)
		printf("  %zu  %s\n", i, exit_texts[i]);
}

enum {
	OPT_JSON = 256,
	OPT_HELP,
	OPT_VERSION,
	OPT_NODE,
	OPT_KEY_FILE,
	OPT_KIND,
	OPT_FORCE,
	OPT_SETTINGS,
	OPT_HTML,
	OPT_HOST,
	OPT_ORG,
	OPT_CLASS,
	OPT_DRAW,
};

static const struct option long_options[] = {
	{ "json", no_argument, NULL, OPT_JSON },
	{ "help", no_argument, NULL, OPT_HELP },
	{ "version", no_argument, NULL, OPT_VERSION },
	{ "node", required_argument, NULL, OPT_NODE },
	{ "operator-key-file", required_argument, NULL, OPT_KEY_FILE },
	{ "kind", required_argument, NULL, OPT_KIND },
	{ "force", no_argument, NULL, OPT_FORCE },
	{ "settings", required_argument, NULL, OPT_SETTINGS },
	{ "html", required_argument, NULL, OPT_HTML },
	{ "host", required_argument, NULL, OPT_HOST },
	{ "org", required_argument, NULL, OPT_ORG },
	{ "class", required_argument, NULL, OPT_CLASS },
	{ "draw", required_argument, NULL, OPT_DRAW },
	{ NULL, 0, NULL, 0 },
};

/** The parsed command line. */
struct parsed_args {
	struct cmd_options options;
	unsigned int given; /* TAKES_ bits of the options given */
	bool help;
	bool version;
};

/* Reads the options, at any position; false on an unknown one. */
static bool read_options(int argc, char **argv, struct parsed_args *r)
{
	struct cmd_options *o = &r->options;
	int opt;

	while ((opt = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		switch (opt) {
		case OPT_JSON:
			o->json = true;
			break;
		case OPT_HELP:
			r->help = true;
			break;
		case OPT_VERSION:
			r->version = true;
			break;
		case OPT_NODE:
			o->node = optarg;
			r->given |= TAKES_NODE;
			break;
		case OPT_KEY_FILE:
			o->key_file = optarg;
			r->given |= TAKES_NODE;
			break;
		case OPT_KIND:
			o->kind = optarg;
			r->given |= TAKES_KIND;
			break;
		case OPT_FORCE:
			o->force = true;
			r->given |= TAKES_FORCE;
			break;
		case OPT_SETTINGS:
			o->settings = optarg;
			r->given |= TAKES_SETTINGS;
			break;
		case OPT_HTML:
			o->html = optarg;
			r->given |= TAKES_HTML;
			break;
		case OPT_HOST:
			o->host = optarg;
			r->given |= TAKES_REQUEST;
			break;
		case OPT_ORG:
			o->org = optarg;
			r->given |= TAKES_REQUEST;
			break;
		case OPT_CLASS:
			o->cls = optarg;
			r->given |= TAKES_REQUEST;
			break;
		case OPT_DRAW:
			o->draw = optarg;
			r->given |= TAKES_REQUEST;
			break;
		default:
			return false;
		}
	}
	o->args = argv + optind;
	o->n_args = argc - optind;
	return true;
}

/* Finds the command and removes its words from the arguments. */
static const struct command *find_command(struct cmd_options *o)
{
	size_t i;

	for (i = 0; i < N_COMMANDS; i++) {
		const struct command *c = &commands[i];
		int words = c->second ? 2 : 1;

		if (o->n_args < words || strcmp(o->args[0], c->word) != 0)
			continue;
		if (c->second && strcmp(o->args[1], c->second) != 0)
			continue;
		o->args += words;
		o->n_args -= words;
		return c;
	}
	return NULL;
}

static bool has_its_arguments(const struct command *c, int n)
{
	if (c->takes & TAKES_FILES)
		return n >= 2;
	if (c->takes & TAKES_REQUEST)
		return n == 2;
	return n == (c->arg ? 1 : 0);
}

static enum cmd_exit run(const struct command *c, const struct parsed_args *r)
{
	const struct cmd_options *o = &r->options;

	if (!has_its_arguments(c, o->n_args))
		return cmd_fail(o, CMD_USAGE, "%s: expected %s, see --help",
				c->word, c->arg ? c->arg : "no argument");
	if (r->given & ~c->takes)
		return cmd_fail(o, CMD_USAGE,
				"%s: an option was given that this command "
				"does not accept, see --help",
				c->word);
	return c->run(o);
}

int main(int argc, char **argv)
{
	struct parsed_args r = { .given = 0 };
	const struct command *c;

	if (sodium_init() < 0)
		return CMD_REFUSED;
	/* Large bodies go back to the system when they are freed, and grow
	 * without being copied. */
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	if (!read_options(argc, argv, &r))
		return CMD_USAGE;
	if (r.version)
		return cmd_version(&r.options);
	c = find_command(&r.options);
	if (r.help) {
		print_help(c);
		return CMD_DONE;
	}
	if (!c)
		return cmd_fail(&r.options, CMD_USAGE,
				r.options.n_args ?
					"unknown command, see --help" :
					"expected a command, see --help");
	return run(c, &r);
}
