#include "fleet/recent_writes.h"

#include <glib.h>

/** A write without an answer is not carried out any more after this time, and
 * callers repeat a job that was stored within it. */
#define SETTLE_MS 15000
/** Interval in which jobs are forgotten. */
#define FORGET_INTERVAL_MS 1000

typedef struct entry {
	uint32_t under_way; /**< Writes without an answer so far. */
	bool stored; /**< The store is known to have the job. */
	int64_t until_ms; /**< Kept until then. */
} entry_t;

struct bw_recent_writes {
	GHashTable *jobs; /**< Identifier to entry_t. */
	int64_t next_forget_ms;
};

bw_recent_writes_t *bw_recent_writes_create(void)
{
	bw_recent_writes_t *w = g_new0(bw_recent_writes_t, 1);

	w->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void bw_recent_writes_destroy(bw_recent_writes_t *w)
{
	if (!w)
		return;
	g_hash_table_destroy(w->jobs);
	g_free(w);
}

void bw_recent_writes_sent(bw_recent_writes_t *w, const char *id)
{
	entry_t *entry = g_hash_table_lookup(w->jobs, id);

	if (!entry) {
		entry = g_new0(entry_t, 1);
		g_hash_table_insert(w->jobs, g_strdup(id), entry);
	}
	entry->under_way++;
}

static bool is_over(const entry_t *entry, int64_t now_ms)
{
	return entry->under_way == 0 && now_ms >= entry->until_ms;
}

static gboolean is_forgotten(gpointer id, gpointer value, gpointer now_ms)
{
	(void)id;
	return is_over(value, *(int64_t *)now_ms);
}

static void forget(bw_recent_writes_t *w, int64_t now_ms)
{
	if (now_ms < w->next_forget_ms)
		return;
	w->next_forget_ms = now_ms + FORGET_INTERVAL_MS;
	g_hash_table_foreach_remove(w->jobs, is_forgotten, &now_ms);
}

void bw_recent_writes_answered(bw_recent_writes_t *w, int64_t now_ms,
			       const char *id, bw_status_t status)
{
	entry_t *entry = g_hash_table_lookup(w->jobs, id);

	entry->under_way--;
	if (status == BW_OK || status == BW_ELOST)
		entry->until_ms = now_ms + SETTLE_MS;
	forget(w, now_ms);
}

void bw_recent_writes_stored(bw_recent_writes_t *w, int64_t now_ms,
			     const char *id)
{
	entry_t *entry = g_hash_table_lookup(w->jobs, id);

	entry->stored = true;
	entry->until_ms = now_ms + SETTLE_MS;
}

bool bw_recent_writes_has_stored(const bw_recent_writes_t *w, int64_t now_ms,
				 const char *id)
{
	const entry_t *entry = g_hash_table_lookup(w->jobs, id);

	return entry && entry->stored && !is_over(entry, now_ms);
}

bool bw_recent_writes_has(const bw_recent_writes_t *w, int64_t now_ms,
			  const char *id)
{
	const entry_t *entry = g_hash_table_lookup(w->jobs, id);

	return entry && !is_over(entry, now_ms);
}
