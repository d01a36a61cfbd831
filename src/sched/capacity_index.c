/*
 * Capacity index: workers sorted by class and free processor, so that the one
 * with the least free processor that a task fits on is found without a scan.
 * There is a tree of all workers, one for each label and one for each rack.
 */
#include "sched/internal.h"

#include <string.h>

/** Least decayed failure count for a worker to count as failing. */
#define FAILING_MIN_FAILURES 2.5
/** Share of failed runs above which a worker counts as failing. */
#define FAILING_MIN_SHARE 0.7

struct capacity_index {
	GTree *all;
	GHashTable *labels; /**< Label to GTree. */
	GHashTable *racks; /**< Rack to GTree. */
};

static gint compare_workers(gconstpointer a, gconstpointer b, gpointer data)
{
	const worker_t *x = a;
	const worker_t *y = b;

	(void)data;
	if (x->placement_class != y->placement_class)
		return x->placement_class < y->placement_class ? -1 : 1;
	if (x->indexed_free_millis != y->indexed_free_millis)
		return x->indexed_free_millis < y->indexed_free_millis ? -1 : 1;
	return strcmp(x->id, y->id);
}

static GTree *tree_new(void)
{
	return g_tree_new_full(compare_workers, NULL, NULL, NULL);
}

capacity_index_t *sched_index_create(void)
{
	capacity_index_t *index = g_new0(capacity_index_t, 1);

	index->all = tree_new();
	index->labels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_tree_unref);
	index->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_tree_unref);
	return index;
}

void sched_index_destroy(capacity_index_t *index)
{
	g_tree_unref(index->all);
	g_hash_table_destroy(index->labels);
	g_hash_table_destroy(index->racks);
	g_free(index);
}

static GTree *get_tree(GHashTable *trees, const char *name)
{
	GTree *tree = g_hash_table_lookup(trees, name);

	if (!tree) {
		tree = tree_new();
		g_hash_table_insert(trees, g_strdup(name), tree);
	}
	return tree;
}

/* Calls a function for each tree that a worker belongs to. */
static void for_each_tree(const worker_t *worker,
			  void (*fn)(GTree *tree, const worker_t *worker))
{
	capacity_index_t *index = worker->index;
	char **label;

	fn(index->all, worker);
	for (label = worker->labels; label && *label; label++)
		fn(get_tree(index->labels, *label), worker);
	if (worker->rack)
		fn(get_tree(index->racks, worker->rack), worker);
}

static void insert_worker(GTree *tree, const worker_t *worker)
{
	g_tree_insert(tree, (gpointer)worker, (gpointer)worker);
}

static void remove_worker(GTree *tree, const worker_t *worker)
{
	g_tree_remove(tree, worker);
}

static bool is_failing(const worker_t *worker)
{
	double runs = worker->failures + worker->successes;

	return worker->failures >= FAILING_MIN_FAILURES &&
	       worker->failures > FAILING_MIN_SHARE * runs;
}

static placement_class_t placement_class_of(const worker_t *worker)
{
	if (is_failing(worker))
		return PLACEMENT_FAILING;
	return worker->maintenance_due ? PLACEMENT_MAINTENANCE_DUE
				       : PLACEMENT_NORMAL;
}

void sched_index_remove(worker_t *worker)
{
	if (!worker->indexed)
		return;
	for_each_tree(worker, remove_worker);
	worker->indexed = false;
}

void sched_index_update(worker_t *worker)
{
	int64_t free_millis =
		worker->capacity.cpu_millis - worker->used.cpu_millis;
	placement_class_t class = placement_class_of(worker);
	bool indexable = worker->registered && !worker->dead;

	if (worker->indexed && indexable && worker->placement_class == class &&
	    worker->indexed_free_millis == free_millis)
		return;
	sched_index_remove(worker);
	worker->placement_class = class;
	worker->indexed_free_millis = free_millis;
	if (!indexable)
		return;
	for_each_tree(worker, insert_worker);
	worker->indexed = true;
}

GTree *sched_index_by_label(const capacity_index_t *index, const char *label)
{
	return label ? g_hash_table_lookup(index->labels, label) : index->all;
}

GTree *sched_index_by_rack(const capacity_index_t *index, const char *rack)
{
	return rack ? g_hash_table_lookup(index->racks, rack) : NULL;
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

const char **sched_index_racks(const capacity_index_t *index)
{
	guint count;
	const char **racks = (const char **)g_hash_table_get_keys_as_array(
		index->racks, &count);

	g_qsort_with_data(racks, (gint)count, sizeof(*racks), compare_names,
			  NULL);
	return racks;
}

worker_t *sched_index_search(GTree *tree, placement_class_t class,
			     int64_t need_millis,
			     bool (*fn)(void *ctx, worker_t *worker), void *ctx)
{
	worker_t probe = { .id = (char *)"",
			   .placement_class = class,
			   .indexed_free_millis = need_millis };
	GTreeNode *node = tree ? g_tree_lower_bound(tree, &probe) : NULL;

	for (; node; node = g_tree_node_next(node)) {
		worker_t *worker = g_tree_node_value(node);

		if (worker->placement_class != class)
			return NULL;
		if (fn(ctx, worker))
			return worker;
	}
	return NULL;
}
