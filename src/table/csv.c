/* Parses and formats the table's cells as CSV for spreadsheets. */
#include "table/table.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

static bool parse_number(const char **text, uint32_t max, uint32_t *value);
static char **split_line(const char *line);
static void parse_header(const bw_table_t *t, char **names, uint32_t *columns,
			 bw_findings_t *findings);
static void parse_row(const bw_table_t *t, char **texts, size_t line,
		      const uint32_t *columns, uint32_t column_count,
		      bw_cell_t *cells, bool *seen, bw_findings_t *findings);

static bool parse_number(const char **text, uint32_t max, uint32_t *value)
{
	char *end;
	guint64 number;

	if (!g_ascii_isdigit(**text))
		return false;
	number = g_ascii_strtoull(*text, &end, 10);
	if (number > max)
		return false;
	*value = (uint32_t)number;
	*text = end;
	return true;
}

bw_status_t bw_cell_parse(const char *text, bw_cell_t *cell)
{
	uint32_t weight = 0;
	uint32_t spill = 0;
	uint32_t limit = 0;
	const char *p = text;

	if (*p && *p != '+' && !parse_number(&p, BW_WEIGHT_MAX, &weight))
		return bw_status_set(BW_EINVAL,
				     "\"%s\": weight must be 0 to %d", text,
				     BW_WEIGHT_MAX);
	if (*p == '+') {
		p++;
		if (!parse_number(&p, BW_WEIGHT_MAX, &spill))
			return bw_status_set(
				BW_EINVAL,
				"\"%s\": spill weight must be 0 to %d", text,
				BW_WEIGHT_MAX);
	}
	if (*p == '/') {
		p++;
		if (!parse_number(&p, 1000000, &limit))
			return bw_status_set(BW_EINVAL,
					     "\"%s\": limit must be 0 to "
					     "1000000",
					     text);
	}
	if (*p)
		return bw_status_set(BW_EINVAL,
				     "\"%s\" is not WEIGHT+SPILL/LIMIT", text);
	cell->weight = (uint16_t)weight;
	cell->spill = (uint16_t)spill;
	cell->limit = limit;
	return BW_OK;
}

void bw_cell_format(const bw_cell_t *cell, char *out, size_t out_bytes)
{
	char weight[16] = "";
	char spill[16] = "";
	char limit[16] = "";

	if (cell->weight > 0)
		snprintf(weight, sizeof(weight), "%u", cell->weight);
	if (cell->spill > 0)
		snprintf(spill, sizeof(spill), "+%u", cell->spill);
	if (cell->limit > 0)
		snprintf(limit, sizeof(limit), "/%u", cell->limit);
	if (cell->limit > 0 && cell->weight == 0 && cell->spill == 0)
		snprintf(weight, sizeof(weight), "0");
	snprintf(out, out_bytes, "%s%s%s", weight, spill, limit);
}

char *bw_table_to_csv(const bw_table_t *t)
{
	GString *out = g_string_new("service");
	char cell[64];
	uint32_t s;
	uint32_t p;

	for (p = 0; p < t->pool_count; p++)
		g_string_append_printf(out, ",%s", t->pools[p].name);
	g_string_append_c(out, '\n');
	for (s = 0; s < t->service_count; s++) {
		g_string_append(out, t->services[s].name);
		for (p = 0; p < t->pool_count; p++) {
			bw_cell_format(bw_table_cell(t, s, p), cell,
				       sizeof(cell));
			g_string_append_printf(out, ",%s", cell);
		}
		g_string_append_c(out, '\n');
	}
	return g_string_free(out, FALSE);
}

static char **split_line(const char *line)
{
	char **parts = g_strsplit(line, ",", -1);
	size_t i;

	for (i = 0; parts[i]; i++) {
		char *text = g_strstrip(parts[i]);
		size_t length = strlen(text);

		/* Spreadsheet programs may quote text. */
		if (length >= 2 && text[0] == '"' && text[length - 1] == '"') {
			memmove(text, text + 1, length - 2);
			text[length - 2] = '\0';
		}
	}
	return parts;
}

static void parse_header(const bw_table_t *t, char **names, uint32_t *columns,
			 bw_findings_t *findings)
{
	bool *seen = g_new0(bool, t->pool_count + 1);
	uint32_t i;

	for (i = 0; names[i]; i++) {
		if (i == 0)
			continue;
		columns[i] = bw_table_pool_index(t, names[i]);
		if (columns[i] == UINT32_MAX) {
			bw_findings_add(findings, BW_F_UNKNOWN_NAME, 1, i + 1,
					"no pool \"%s\"", names[i]);
			continue;
		}
		if (seen[columns[i]])
			bw_findings_add(findings, BW_F_DUPLICATE, 1, i + 1,
					"pool \"%s\" is listed twice",
					names[i]);
		seen[columns[i]] = true;
	}
	g_free(seen);
}

static void parse_row(const bw_table_t *t, char **texts, size_t line,
		      const uint32_t *columns, uint32_t column_count,
		      bw_cell_t *cells, bool *seen, bw_findings_t *findings)
{
	uint32_t service = bw_table_service_index(t, texts[0]);
	uint32_t i;

	if (service == UINT32_MAX) {
		bw_findings_add(findings, BW_F_UNKNOWN_NAME, (uint32_t)line, 1,
				"no service \"%s\"", texts[0]);
		return;
	}
	if (seen[service])
		bw_findings_add(findings, BW_F_DUPLICATE, (uint32_t)line, 1,
				"service \"%s\" is listed twice", texts[0]);
	seen[service] = true;
	for (i = 1; texts[i]; i++) {
		bw_cell_t cell;

		if (i >= column_count) {
			bw_findings_add(findings, BW_F_SYNTAX, (uint32_t)line,
					i + 1, "more cells than columns");
			return;
		}
		if (bw_cell_parse(texts[i], &cell) != BW_OK)
			bw_findings_add(findings, BW_F_BAD_VALUE,
					(uint32_t)line, i + 1, "%s",
					bw_status_message());
		else if (columns[i] != UINT32_MAX)
			cells[(size_t)service * t->pool_count + columns[i]] =
				cell;
	}
	if (i < column_count)
		bw_findings_add(findings, BW_F_SYNTAX, (uint32_t)line, i,
				"fewer cells than columns");
}

bw_status_t bw_table_from_csv(bw_table_t *t, const char *text,
			      bw_findings_t *findings)
{
	size_t cell_count = (size_t)t->service_count * t->pool_count;
	bw_cell_t *cells = g_new0(bw_cell_t, cell_count + 1);
	bool *seen = g_new0(bool, t->service_count + 1);
	char **lines = g_strsplit(text, "\n", -1);
	char **header = split_line(lines[0] ? lines[0] : "");
	uint32_t column_count = g_strv_length(header);
	uint32_t *columns = g_new0(uint32_t, column_count + 1);
	size_t before = bw_findings_count(findings);
	bw_status_t status = BW_OK;
	size_t i;

	memcpy(cells, t->cells, cell_count * sizeof(*cells));
	parse_header(t, header, columns, findings);
	for (i = 1; lines[0] && lines[i]; i++) {
		char **texts;

		if (*g_strstrip(lines[i]) == '\0')
			continue;
		texts = split_line(lines[i]);
		parse_row(t, texts, i + 1, columns, column_count, cells, seen,
			  findings);
		g_strfreev(texts);
	}
	if (bw_findings_count(findings) > before)
		status = bw_status_set(BW_EINVAL, "the CSV has errors");
	else
		memcpy(t->cells, cells, cell_count * sizeof(*cells));
	g_free(cells);
	g_free(seen);
	g_free(columns);
	g_strfreev(header);
	g_strfreev(lines);
	return status;
}
