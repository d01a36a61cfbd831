#include "fleet/missing.h"

#include <glib.h>

/** Time after its start within which a worker or a machine is in the list. */
#define LIST_LAG_MS 1000
/** What is not noted for so long is not missing any more. */
#define FORGET_MS 1000

/** Something that is missing. */
typedef struct missing {
	int64_t since_ms; /**< When it was first noted. */
	int64_t noted_ms; /**< When it was last noted. */
	int64_t list_ms; /**< Of the first list that would have it; 0: none yet.
			  */
	bool left;
} missing_t;

struct bw_missing {
	GHashTable *missing; /**< Identifier to missing_t. */
};

bw_missing_t *bw_missing_create(void)
{
	bw_missing_t *m = g_new0(bw_missing_t, 1);

	m->missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return m;
}

void bw_missing_destroy(bw_missing_t *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->missing);
	g_free(m);
}

bool bw_missing_note(bw_missing_t *m, int64_t now_ms, const char *id,
		     int64_t list_ms)
{
	missing_t *missing = g_hash_table_lookup(m->missing, id);

	if (!missing) {
		missing = g_new0(missing_t, 1);
		missing->since_ms = now_ms;
		g_hash_table_insert(m->missing, g_strdup(id), missing);
	}
	missing->noted_ms = now_ms;
	if (list_ms < missing->since_ms + LIST_LAG_MS)
		return false;
	/* Pages are no snapshot: one list may miss a machine. */
	if (missing->list_ms == 0)
		missing->list_ms = list_ms;
	missing->left = list_ms > missing->list_ms;
	return missing->left;
}

bool bw_missing_has_left(const bw_missing_t *m, const char *id)
{
	const missing_t *missing = g_hash_table_lookup(m->missing, id);

	return missing && missing->left;
}

static gboolean is_old(gpointer id, gpointer value, gpointer now_ms)
{
	const missing_t *missing = value;

	(void)id;
	return *(const int64_t *)now_ms - missing->noted_ms > FORGET_MS;
}

void bw_missing_forget(bw_missing_t *m, int64_t now_ms)
{
	g_hash_table_foreach_remove(m->missing, is_old, &now_ms);
}

bool bw_missing_await_list(const bw_missing_t *m)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->missing);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((const missing_t *)value)->left)
			return true;
	return false;
}
