/* toml.cc - C interface to the TOML parser cpptoml; catches all exceptions */
#include "protocol/toml.h"

#include <limits>

#define CPPTOML_USE_MAP
#include <cpptoml.h>

#include <cstring>
#include <fstream>
#include <list>
#include <sstream>
#include <string>
#include <vector>

struct fp_toml {
	std::string file;
	std::vector<std::string> lines;
	std::shared_ptr<cpptoml::table> root;
	/* Texts returned to C callers; freed with the document. */
	std::list<std::string> texts;
	std::list<std::vector<const char *>> lists;
};

namespace
{

using table_ptr = std::shared_ptr<cpptoml::table>;

std::string trim(const std::string &s)
{
	size_t from = s.find_first_not_of(" \t\r");
	size_t to = s.find_last_not_of(" \t\r");

	return from == std::string::npos ? "" : s.substr(from, to - from + 1);
}

/* Removes blanks and quotes from a header or name: [ "a" . b ] becomes a.b. */
std::string strip_quotes(const std::string &s)
{
	std::string out;

	for (char c : s)
		if (!strchr(" \t\"'", c))
			out += c;
	return out;
}

/* Parses "[a.b] # text" or "[[a.b]]"; false if the line is not a header. */
bool parse_header(const std::string &line, std::string *name, bool *array)
{
	size_t end = line.find(']');

	if (line.empty() || line[0] != '[' || end == std::string::npos)
		return false;
	*array = line.size() > 1 && line[1] == '[';
	*name = strip_quotes(
		line.substr(*array ? 2 : 1, end - (*array ? 2 : 1)));
	return true;
}

/* Returns the name that a line assigns, or "". */
std::string assigned_name(const std::string &line)
{
	size_t eq = line.find('=');

	if (line.empty() || line[0] == '#' || eq == std::string::npos)
		return "";
	return strip_quotes(line.substr(0, eq));
}

int find_line(const struct fp_toml *t, struct fp_toml_table_id at,
	      const char *name)
{
	bool inside = at.section[0] == '\0';
	int found = 1;
	int seen = -1;

	for (size_t i = 0; i < t->lines.size(); i++) {
		std::string line = trim(t->lines[i]);
		std::string head;
		bool array;

		if (parse_header(line, &head, &array)) {
			inside = head == at.section;
			if (inside && array)
				inside = ++seen == at.index;
			if (inside)
				found = (int)i + 1;
		} else if (inside && name && assigned_name(line) == name) {
			return (int)i + 1;
		}
	}
	return found;
}

std::shared_ptr<cpptoml::base> find(const struct fp_toml *t,
				    const char *section)
{
	if (!section[0])
		return t->root;
	if (!t->root->contains_qualified(section))
		return nullptr;
	return t->root->get_qualified(section);
}

table_ptr find_table(const struct fp_toml *t, struct fp_toml_table_id at)
{
	std::shared_ptr<cpptoml::base> b = find(t, at.section);

	if (!b)
		return nullptr;
	if (b->is_table())
		return b->as_table();
	if (!b->is_table_array() || at.index < 0)
		return nullptr;
	const auto &all = b->as_table_array()->get();
	return (size_t)at.index < all.size() ? all[at.index] : nullptr;
}

/* Stores a text in the document and returns it for C; NULL if it contains a
 * NUL. */
const char *store_text(struct fp_toml *t, const std::string &s)
{
	if (s.find('\0') != std::string::npos)
		return nullptr;
	t->texts.push_back(s);
	return t->texts.back().c_str();
}

void get_list(struct fp_toml *t, const cpptoml::array &a, struct fp_value *v)
{
	std::vector<const char *> items;

	for (const auto &b : a.get()) {
		auto s = b->as<std::string>();
		const char *text = s ? store_text(t, s->get()) : nullptr;

		if (!text)
			return;
		items.push_back(text);
	}
	t->lists.push_back(items);
	v->type = FP_VALUE_LIST;
	v->items = t->lists.back().data();
	v->n_items = (uint32_t)items.size();
}

void get_value(struct fp_toml *t, const std::shared_ptr<cpptoml::base> &b,
	       struct fp_value *v)
{
	v->type = FP_VALUE_OTHER;
	if (auto n = b->as<int64_t>()) {
		v->type = FP_VALUE_INTEGER;
		v->integer = n->get();
	} else if (auto flag = b->as<bool>()) {
		v->type = FP_VALUE_BOOLEAN;
		v->boolean = flag->get();
	} else if (auto s = b->as<std::string>()) {
		v->text = store_text(t, s->get());
		if (v->text)
			v->type = FP_VALUE_TEXT;
	} else if (b->is_array()) {
		get_list(t, *b->as_array(), v);
	}
}

/* Converts the parser's "reason at line N" to "FILE:N: reason". */
enum fp_status parse_failed(const char *file, const std::string &what)
{
	static const char mark[] = " at line ";
	size_t pos = what.rfind(mark);
	int line = 1;

	if (pos == std::string::npos)
		return fp_fail(FP_INVALID, "%s:1: %s", file, what.c_str());
	line = atoi(what.c_str() + pos + strlen(mark));
	return fp_fail(FP_INVALID, "%s:%d: %s", file, line,
		       what.substr(0, pos).c_str());
}

void split_lines(struct fp_toml *t, const std::string &text)
{
	std::istringstream in(text);
	std::string line;

	while (std::getline(in, line))
		t->lines.push_back(line);
}

} // namespace

enum fp_status fp_toml_parse(const char *file, const char *text,
			     struct fp_toml **out)
{
	try {
		auto t = std::make_unique<fp_toml>();
		std::istringstream in(text);

		t->file = file;
		split_lines(t.get(), text);
		cpptoml::parser p(in);
		t->root = p.parse();
		*out = t.release();
		return FP_OK;
	} catch (const std::exception &e) {
		return parse_failed(file, e.what());
	} catch (...) {
		return fp_fail(FP_INVALID, "%s:1: not TOML", file);
	}
}

enum fp_status fp_toml_load(const char *path, struct fp_toml **out)
{
	try {
		std::ifstream in(path, std::ios::binary);
		std::ostringstream text;

		if (!in)
			return fp_fail(FP_NOT_FOUND, "%s: %s", path,
				       strerror(errno));
		text << in.rdbuf();
		if (in.bad())
			return fp_fail(FP_IO, "%s: cannot be read", path);
		if (text.str().find('\0') != std::string::npos)
			return fp_fail(FP_INVALID, "%s:1: contains a NUL byte",
				       path);
		return fp_toml_parse(path, text.str().c_str(), out);
	} catch (...) {
		return fp_fail(FP_NOMEM, "%s: out of memory", path);
	}
}

void fp_toml_end(struct fp_toml *t)
{
	delete t;
}

enum fp_toml_kind fp_toml_kind(const struct fp_toml *t, const char *section,
			       int *n)
{
	*n = 0;
	try {
		std::shared_ptr<cpptoml::base> b = find(t, section);

		if (!b)
			return FP_TOML_ABSENT;
		if (b->is_table())
			return FP_TOML_TABLE;
		if (!b->is_table_array())
			return FP_TOML_VALUE;
		*n = (int)b->as_table_array()->get().size();
		return FP_TOML_TABLES;
	} catch (...) {
		return FP_TOML_ABSENT;
	}
}

const char *fp_toml_name(const struct fp_toml *t, struct fp_toml_table_id at,
			 int i)
{
	try {
		table_ptr table = find_table(t, at);

		if (!table)
			return nullptr;
		for (const auto &entry : *table)
			if (i-- == 0)
				return entry.first.c_str();
	} catch (...) {
		return nullptr;
	}
	return nullptr;
}

void fp_toml_get(struct fp_toml *t, struct fp_toml_table_id at,
		 const char *name, struct fp_value *v)
{
	*v = {};
	try {
		table_ptr table = find_table(t, at);

		if (table && table->contains(name))
			get_value(t, table->get(name), v);
	} catch (...) {
		v->type = FP_VALUE_OTHER;
	}
}

int fp_toml_line(const struct fp_toml *t, struct fp_toml_table_id at,
		 const char *name)
{
	try {
		return find_line(t, at, name);
	} catch (...) {
		return 1;
	}
}

enum fp_status fp_toml_fail(const struct fp_toml *t, struct fp_toml_table_id at,
			    const char *name, const char *reason)
{
	bool array = at.index >= 0;

	return fp_fail(FP_INVALID, "%s:%d: %s%s%s%s%s: %s", t->file.c_str(),
		       fp_toml_line(t, at, name), array ? "[[" : "[",
		       at.section, array ? "]]" : "]", name ? " " : "",
		       name ? name : "", reason);
}
