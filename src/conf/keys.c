#include "conf/keys.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include <glib.h>

#include "base/address.h"

/** Larger numbers than this have no thousandths in an int64_t. */
#define NUMBER_END 1e15

static const bw_key_spec_t *find_spec(const bw_keys_t *keys, const char *path);
static void set_text(void *base, const bw_key_spec_t *spec,
		     const bw_toml_item_t *item, bw_findings_t *f);
static void set_number(void *base, const bw_key_spec_t *spec,
		       const bw_toml_item_t *item, bw_findings_t *f);
static void set_thousandths(void *base, const bw_key_spec_t *spec,
			    const bw_toml_item_t *item, bw_findings_t *f);
static void set_boolean(void *base, const bw_key_spec_t *spec,
			const bw_toml_item_t *item, bw_findings_t *f);

static bool is_in_thousandths(const bw_key_spec_t *spec)
{
	return spec->kind == BW_KEY_SECONDS || spec->kind == BW_KEY_FRACTION;
}

static const bw_key_spec_t *find_spec(const bw_keys_t *keys, const char *path)
{
	size_t i;

	for (i = 0; i < keys->count; i++)
		if (!strcmp(keys->specs[i].path, path))
			return &keys->specs[i];
	return NULL;
}

static void set_text(void *base, const bw_key_spec_t *spec,
		     const bw_toml_item_t *item, bw_findings_t *f)
{
	char **field = (char **)((char *)base + spec->offset);
	char ip[46];
	uint16_t port;

	if (item->type != BW_TOML_STRING) {
		bw_findings_add(f, BW_F_WRONG_TYPE, item->line, item->column,
				"%s must be a string", item->path);
		g_free(*field);
		*field = g_strdup("");
		return;
	}
	if (item->string[0] == '\0')
		bw_findings_add(f, BW_F_BAD_VALUE, item->line, item->column,
				"%s must not be empty", item->path);
	if (spec->kind == BW_KEY_ADDRESS &&
	    bw_address_split(item->string, ip, &port) != BW_OK)
		bw_findings_add(f, BW_F_BAD_VALUE, item->line, item->column,
				"%s: %s", item->path, bw_status_message());
	if (spec->kind == BW_KEY_NAME && strpbrk(item->string, "/ \t\n"))
		bw_findings_add(f, BW_F_BAD_VALUE, item->line, item->column,
				"%s must not have a slash or whitespace",
				item->path);
	g_free(*field);
	*field = g_strdup(item->string);
}

static void set_number(void *base, const bw_key_spec_t *spec,
		       const bw_toml_item_t *item, bw_findings_t *f)
{
	int64_t *field = (int64_t *)((char *)base + spec->offset);

	if (item->type != BW_TOML_INTEGER) {
		bw_findings_add(f, BW_F_WRONG_TYPE, item->line, item->column,
				"%s must be an integer", item->path);
		return;
	}
	if (item->integer < spec->min || item->integer > spec->max) {
		bw_findings_add(
			f, BW_F_OUT_OF_RANGE, item->line, item->column,
			"%s is %" PRId64 ", must be %" PRId64 " to %" PRId64,
			item->path, item->integer, spec->min, spec->max);
		return;
	}
	*field = item->integer;
}

/* Findings state the value and its range in the unit of the file. */
static void set_thousandths(void *base, const bw_key_spec_t *spec,
			    const bw_toml_item_t *item, bw_findings_t *f)
{
	int64_t *field = (int64_t *)((char *)base + spec->offset);
	double number = item->type == BW_TOML_FLOAT ? item->number
						    : (double)item->integer;
	int64_t thousandths = INT64_MIN;

	if (item->type != BW_TOML_FLOAT && item->type != BW_TOML_INTEGER) {
		bw_findings_add(f, BW_F_WRONG_TYPE, item->line, item->column,
				"%s must be a number", item->path);
		return;
	}
	/* Also false for not-a-number, which has no integer value. */
	if (fabs(number) < NUMBER_END)
		thousandths = llround(number * 1000.0);
	if (thousandths < spec->min || thousandths > spec->max) {
		bw_findings_add(f, BW_F_OUT_OF_RANGE, item->line, item->column,
				"%s is %.15g, must be %.15g to %.15g",
				item->path, number, (double)spec->min / 1000.0,
				(double)spec->max / 1000.0);
		return;
	}
	*field = thousandths;
}

static void set_boolean(void *base, const bw_key_spec_t *spec,
			const bw_toml_item_t *item, bw_findings_t *f)
{
	bool *field = (bool *)((char *)base + spec->offset);

	if (item->type == BW_TOML_BOOLEAN)
		*field = item->boolean;
	else
		bw_findings_add(f, BW_F_WRONG_TYPE, item->line, item->column,
				"%s must be true or false", item->path);
}

static bool is_number(const bw_key_spec_t *spec)
{
	return spec->kind == BW_KEY_NUMBER || is_in_thousandths(spec);
}

void bw_keys_set_defaults(const bw_keys_t *keys, void *base)
{
	size_t i;

	for (i = 0; i < keys->count; i++)
		if (is_number(&keys->specs[i]))
			*(int64_t *)((char *)base + keys->specs[i].offset) =
				keys->specs[i].fallback;
}

void bw_keys_set_value(const bw_keys_t *keys, void *base,
		       const bw_toml_item_t *item, bw_findings_t *f)
{
	const bw_key_spec_t *spec = find_spec(keys, item->path);

	if (!spec)
		bw_findings_add(f, BW_F_UNKNOWN_KEY, item->line, item->column,
				"%s", item->path);
	else if (spec->kind == BW_KEY_NUMBER)
		set_number(base, spec, item, f);
	else if (is_in_thousandths(spec))
		set_thousandths(base, spec, item, f);
	else if (spec->kind == BW_KEY_BOOLEAN)
		set_boolean(base, spec, item, f);
	else
		set_text(base, spec, item, f);
}

static bool is_text(const bw_key_spec_t *spec)
{
	return spec->kind == BW_KEY_NAME || spec->kind == BW_KEY_ADDRESS ||
	       spec->kind == BW_KEY_TEXT;
}

void bw_keys_check_required(const bw_keys_t *keys, const void *base,
			    bw_findings_t *f)
{
	size_t i;

	for (i = 0; i < keys->count; i++) {
		const bw_key_spec_t *spec = &keys->specs[i];
		const char *field = (const char *)base + spec->offset;

		if (spec->required && is_text(spec) && !*(char *const *)field)
			bw_findings_add(f, BW_F_MISSING_KEY, 0, 0, "%s",
					spec->path);
	}
}

void bw_keys_clear(const bw_keys_t *keys, void *base)
{
	size_t i;

	for (i = 0; i < keys->count; i++) {
		char *field = (char *)base + keys->specs[i].offset;

		if (is_text(&keys->specs[i]))
			g_clear_pointer((char **)field, g_free);
	}
}
