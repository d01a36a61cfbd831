#include "base/findings.h"

#include <glib.h>

/** One error. */
typedef struct finding {
	uint32_t line;
	uint32_t column;
	char *text;
} finding_t;

struct bw_findings {
	char *source;
	GArray *items; /**< finding_t, sorted by line and column. */
};

static void finding_clear(gpointer data);
static void insert(bw_findings_t *f, uint32_t line, uint32_t column,
		   char *text);

static const char *const code_names[BW_F_CODE_COUNT] = {
	[BW_F_SYNTAX] = "syntax error",
	[BW_F_UNKNOWN_KEY] = "unknown key",
	[BW_F_MISSING_KEY] = "missing key",
	[BW_F_WRONG_TYPE] = "wrong type",
	[BW_F_OUT_OF_RANGE] = "out of range",
	[BW_F_DUPLICATE] = "duplicate",
	[BW_F_UNKNOWN_NAME] = "unknown name",
	[BW_F_BAD_VALUE] = "bad value",
};

static void finding_clear(gpointer data)
{
	finding_t *finding = data;

	g_free(finding->text);
}

/* Inserts an error sorted by line and column, after those with the same. */
static void insert(bw_findings_t *f, uint32_t line, uint32_t column, char *text)
{
	finding_t item = { .line = line, .column = column, .text = text };
	guint at = f->items->len;

	while (at > 0) {
		const finding_t *before =
			&g_array_index(f->items, finding_t, at - 1);

		if (before->line < line ||
		    (before->line == line && before->column <= column))
			break;
		at--;
	}
	g_array_insert_val(f->items, at, item);
}

bw_findings_t *bw_findings_create(const char *source)
{
	bw_findings_t *f = g_new0(bw_findings_t, 1);

	f->source = g_strdup(source);
	f->items = g_array_new(FALSE, FALSE, sizeof(finding_t));
	g_array_set_clear_func(f->items, finding_clear);
	return f;
}

void bw_findings_destroy(bw_findings_t *f)
{
	if (!f)
		return;
	g_array_free(f->items, TRUE);
	g_free(f->source);
	g_free(f);
}

void bw_findings_add(bw_findings_t *f, bw_finding_code_t code, uint32_t line,
		     uint32_t column, const char *fmt, ...)
{
	va_list ap;
	char *message;
	char *text;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (line == 0)
		text = g_strdup_printf("%s: %s: %s", f->source,
				       code_names[code], message);
	else
		text = g_strdup_printf("%s:%u:%u: %s: %s", f->source, line,
				       column, code_names[code], message);
	insert(f, line == 0 ? UINT32_MAX : line, column, text);
	g_free(message);
}

void bw_findings_add_at(bw_findings_t *f, bw_finding_code_t code,
			const char *position, const char *fmt, ...)
{
	va_list ap;
	char *message;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	insert(f, UINT32_MAX, 0,
	       g_strdup_printf("%s: %s: %s: %s", f->source, position,
			       code_names[code], message));
	g_free(message);
}

size_t bw_findings_count(const bw_findings_t *f)
{
	return f->items->len;
}

const char *bw_findings_text(const bw_findings_t *f, size_t index)
{
	return g_array_index(f->items, finding_t, index).text;
}

void bw_findings_print(const bw_findings_t *f, FILE *out)
{
	size_t i;

	for (i = 0; i < f->items->len; i++)
		fprintf(out, "%s\n", bw_findings_text(f, i));
}
