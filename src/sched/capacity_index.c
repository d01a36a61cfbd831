/*
 * Workers in the order of their free processor, so that the fullest one that a
 * task fits on is found without looking at all of them. Each label and each
 * rack has an order of its own.
 */
#include "sched/internal.h"

#include <string.h>

/** A worker with this many recent failures is judged by its failure share. */
#define SICK_FAILURES 2.5
/** Share of failed runs above which a worker is used last. */
#define SICK_SHARE 0.7

struct fit {
	GTree *all;
	GHashTable *labels; /**< Label to GTree. */
	GHashTable *racks; /**< Rack to GTree. */
};

static gint compare_workers(gconstpointer a, gconstpointer b, gpointer data)
{
	const worker_t *x = a;
	const worker_t *y = b;

	(void)data;
	if (x->fit_class != y->fit_class)
		return x->fit_class < y->fit_class ? -1 : 1;
	if (x->fit_free_millis != y->fit_free_millis)
		return x->fit_free_millis < y->fit_free_millis ? -1 : 1;
	return strcmp(x->id, y->id);
}

static GTree *tree_new(void)
{
	return g_tree_new_full(compare_workers, NULL, NULL, NULL);
}

fit_t *sched_fit_create(void)
{
	fit_t *fit = g_new0(fit_t, 1);

	fit->all = tree_new();
	fit->labels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_tree_unref);
	fit->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_tree_unref);
	return fit;
}

void sched_fit_destroy(fit_t *fit)
{
	g_tree_unref(fit->all);
	g_hash_table_destroy(fit->labels);
	g_hash_table_destroy(fit->racks);
	g_free(fit);
}

static GTree *tree_of(GHashTable *trees, const char *name)
{
	GTree *tree = g_hash_table_lookup(trees, name);

	if (!tree) {
		tree = tree_new();
		g_hash_table_insert(trees, g_strdup(name), tree);
	}
	return tree;
}

/* Calls a function for each order that a worker belongs to. */
static void each_tree(const worker_t *worker,
		      void (*fn)(GTree *tree, const worker_t *worker))
{
	fit_t *fit = worker->fit;
	char **label;

	fn(fit->all, worker);
	for (label = worker->labels; label && *label; label++)
		fn(tree_of(fit->labels, *label), worker);
	if (worker->rack)
		fn(tree_of(fit->racks, worker->rack), worker);
}

static void insert(GTree *tree, const worker_t *worker)
{
	g_tree_insert(tree, (gpointer)worker, (gpointer)worker);
}

static void take_out(GTree *tree, const worker_t *worker)
{
	g_tree_remove(tree, worker);
}

static bool is_sick(const worker_t *worker)
{
	double runs = worker->failures + worker->successes;

	return worker->failures >= SICK_FAILURES &&
	       worker->failures > SICK_SHARE * runs;
}

static fit_class_t class_of(const worker_t *worker)
{
	if (is_sick(worker))
		return FIT_SICK;
	return worker->due ? FIT_DUE : FIT_GOOD;
}

void sched_fit_leave(worker_t *worker)
{
	if (!worker->fitted)
		return;
	each_tree(worker, take_out);
	worker->fitted = false;
}

void sched_fit_update(worker_t *worker)
{
	int64_t free_millis = worker->room.cpu_millis - worker->used.cpu_millis;
	fit_class_t class = class_of(worker);
	bool wanted = worker->registered && !worker->dead;

	if (worker->fitted && wanted && worker->fit_class == class &&
	    worker->fit_free_millis == free_millis)
		return;
	sched_fit_leave(worker);
	worker->fit_class = class;
	worker->fit_free_millis = free_millis;
	if (!wanted)
		return;
	each_tree(worker, insert);
	worker->fitted = true;
}

GTree *sched_fit_tree(const fit_t *fit, const char *label)
{
	return label ? g_hash_table_lookup(fit->labels, label) : fit->all;
}

GTree *sched_fit_rack(const fit_t *fit, const char *rack)
{
	return rack ? g_hash_table_lookup(fit->racks, rack) : NULL;
}

worker_t *sched_fit_walk(GTree *tree, fit_class_t class, int64_t need_millis,
			 bool (*fn)(void *ctx, worker_t *worker), void *ctx)
{
	worker_t probe = { .id = (char *)"",
			   .fit_class = class,
			   .fit_free_millis = need_millis };
	GTreeNode *node = tree ? g_tree_lower_bound(tree, &probe) : NULL;

	for (; node; node = g_tree_node_next(node)) {
		worker_t *worker = g_tree_node_value(node);

		if (worker->fit_class != class)
			return NULL;
		if (fn(ctx, worker))
			return worker;
	}
	return NULL;
}
