#include "fleet/claim_history.h"

#include <glib.h>

typedef struct entry {
	char *node;
	uint64_t incarnation;
	int64_t revision;
	int64_t seen_ms;
	int64_t ended_ms; /**< When it was known to be gone; 0: not yet. */
	bool stopped; /**< Its owner gives no orders any more. */
} entry_t;

struct bw_claim_history {
	int64_t outage_ms;
	int64_t latest_revision; /**< Of the last claim that was seen. */
	bool claimed; /**< That one is not gone. */
	GArray *entries; /**< entry_t, in the order in which they were seen. */
};

static void entry_clear(gpointer data)
{
	g_free(((entry_t *)data)->node);
}

bw_claim_history_t *bw_claim_history_create(int64_t outage_ms)
{
	bw_claim_history_t *h = g_new0(bw_claim_history_t, 1);

	h->outage_ms = outage_ms;
	h->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	g_array_set_clear_func(h->entries, entry_clear);
	return h;
}

void bw_claim_history_destroy(bw_claim_history_t *h)
{
	if (!h)
		return;
	g_array_unref(h->entries);
	g_free(h);
}

static bool is_over(const bw_claim_history_t *h, const entry_t *entry,
		    int64_t now_ms)
{
	return entry->ended_ms > 0 && now_ms - entry->ended_ms >= h->outage_ms;
}

/* Drops claims whose owners have stopped long ago. */
static void forget(bw_claim_history_t *h, int64_t now_ms)
{
	guint i = h->entries->len;

	while (i-- > 0)
		if (is_over(h, &g_array_index(h->entries, entry_t, i), now_ms))
			g_array_remove_index(h->entries, i);
}

void bw_claim_history_end(bw_claim_history_t *h, int64_t now_ms)
{
	guint i;

	h->claimed = false;
	for (i = 0; i < h->entries->len; i++) {
		entry_t *entry = &g_array_index(h->entries, entry_t, i);

		if (entry->ended_ms == 0)
			entry->ended_ms = now_ms;
	}
	forget(h, now_ms);
}

void bw_claim_history_add(bw_claim_history_t *h, int64_t now_ms,
			  const bw_claim_t *claim)
{
	entry_t entry = {
		.node = g_strdup(claim->node),
		.incarnation = claim->incarnation,
		.revision = claim->revision,
		.seen_ms = now_ms,
	};

	bw_claim_history_end(h, now_ms);
	g_array_append_val(h->entries, entry);
	h->latest_revision = claim->revision;
	h->claimed = true;
}

bool bw_claim_history_is_gone(const bw_claim_history_t *h, int64_t revision)
{
	return revision < h->latest_revision ||
	       (revision == h->latest_revision && !h->claimed);
}

void bw_claim_history_stopped(bw_claim_history_t *h, int64_t revision)
{
	guint i;

	for (i = 0; i < h->entries->len; i++) {
		entry_t *entry = &g_array_index(h->entries, entry_t, i);

		if (entry->revision == revision)
			entry->stopped = true;
	}
}

static const entry_t *find(const bw_claim_history_t *h, int64_t revision)
{
	guint i;

	for (i = 0; i < h->entries->len; i++) {
		const entry_t *entry = &g_array_index(h->entries, entry_t, i);

		if (entry->revision == revision)
			return entry;
	}
	return NULL;
}

/* Whether no claim that matters can have been missed: none before the scope's
 * own one was, or all that may have been ended long ago. */
static bool is_complete(const bw_claim_history_t *h,
			const bw_claim_scope_t *scope, int64_t now_ms)
{
	const entry_t *known = find(h, scope->known_from);

	if (scope->complete_since_ms == INT64_MAX ||
	    !find(h, scope->own_revision))
		return false;
	if (now_ms - scope->complete_since_ms >= h->outage_ms)
		return true;
	return known && known->seen_ms >= scope->read_started_ms;
}

static bool matters(const bw_claim_scope_t *scope, const entry_t *entry)
{
	if (scope->handed_over && entry->revision == scope->known_from)
		return false;
	return entry->revision < scope->own_revision;
}

bool bw_claim_history_check(bw_claim_history_t *h, int64_t now_ms,
			    const bw_claim_scope_t *scope,
			    bool (*fn)(void *ctx, const bw_claim_t *claim),
			    void *ctx)
{
	bool all_stopped = is_complete(h, scope, now_ms);
	guint i;

	for (i = 0; i < h->entries->len; i++) {
		entry_t *entry = &g_array_index(h->entries, entry_t, i);
		bw_claim_t claim = { entry->node, entry->incarnation,
				     entry->revision };

		if (!matters(scope, entry) || entry->stopped ||
		    is_over(h, entry, now_ms))
			continue;
		entry->stopped |= fn(ctx, &claim);
		all_stopped &= entry->stopped;
	}
	return all_stopped;
}
