#include "base/jsonscan.h"

/** What was counted up to a place in the text. */
typedef struct scan {
	uint32_t containers;
	uint32_t separators;
	uint32_t depth;
	bool in_string;
	bool escaped;
} scan_t;

static void step_in_string(scan_t *s, char c)
{
	if (s->escaped)
		s->escaped = false;
	else if (c == '\\')
		s->escaped = true;
	else if (c == '"')
		s->in_string = false;
}

static void step(scan_t *s, char c)
{
	if (s->in_string) {
		step_in_string(s, c);
		return;
	}
	s->in_string = c == '"';
	s->separators += c == ',';
	if (c == '{' || c == '[') {
		s->containers++;
		s->depth++;
	}
	if ((c == '}' || c == ']') && s->depth > 0)
		s->depth--;
}

bool bw_json_is_within(const char *text, size_t bytes,
		       const bw_json_bounds_t *bounds)
{
	scan_t s = { 0 };
	size_t i;

	for (i = 0; i < bytes; i++) {
		step(&s, text[i]);
		if (s.containers > bounds->containers_max ||
		    s.separators > bounds->separators_max ||
		    s.depth > bounds->depth_max)
			return false;
	}
	return true;
}
