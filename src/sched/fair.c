#include "sched/fair.h"

/** Part of the pool that a party beyond its due may use more than the next one
 *  before its turn ends; a smaller one would end a turn at each task. */
#define QUANTUM 0.01
/** No party with a smaller part of the pool is beyond its due: the jobs of
 * small tenants come singly, and each may be more than their due. */
#define PART_MIN 0.2
/** Size of the token bucket: the jobs of this time at the tenant's rate, and at
 *  least so many jobs, so that random arrivals within the rate are owed. */
#define BURST_S	  5.0
#define BURST_MIN 5.0
/** Lower weights count as this one, so that they can be divided by. */
#define WEIGHT_MIN 1e-6

/** A party whose turn will come. */
typedef struct turn {
	bool beyond; /**< It has its part of the pool already. */
	double share;
	guint first; /**< Index of its first item. */
	uint64_t sequence; /**< Decides between equal shares. */
	bw_fair_party_t *party;
} turn_t;

struct bw_fair {
	bw_resources_t capacity;
	GPtrArray *items; /**< In the order in which they were added. */
	GPtrArray *parties; /**< That have items; until the first is taken. */
	double weights; /**< Of all parties that have items. */
	GArray *heap; /**< Turns; the first one is the next. */
	uint64_t sequence;
	bw_fair_party_t *current; /**< Whose item was taken last. */
	gpointer item; /**< Its index, plus one. */
};

bw_fair_t *bw_fair_create(void)
{
	bw_fair_t *f = g_new0(bw_fair_t, 1);

	f->items = g_ptr_array_new();
	f->parties = g_ptr_array_new();
	f->heap = g_array_new(FALSE, FALSE, sizeof(turn_t));
	return f;
}

void bw_fair_destroy(bw_fair_t *f)
{
	g_ptr_array_free(f->items, TRUE);
	g_ptr_array_free(f->parties, TRUE);
	g_array_free(f->heap, TRUE);
	g_free(f);
}

static double part(int64_t used, int64_t capacity)
{
	return capacity > 0 ? (double)used / (double)capacity : 0.0;
}

static double weight_of(const bw_fair_party_t *party)
{
	return MAX(party->weight, WEIGHT_MIN);
}

double bw_fair_share(const bw_fair_party_t *party,
		     const bw_resources_t *capacity)
{
	const bw_resources_t *used = &party->used;
	double share = part(used->cpu_millis, capacity->cpu_millis);

	share = MAX(share, part(used->mem_mb, capacity->mem_mb));
	share = MAX(share, part(used->gpus, capacity->gpus));
	return share / weight_of(party);
}

static turn_t *turn_at(const bw_fair_t *f, guint i)
{
	return &g_array_index(f->heap, turn_t, i);
}

static bool goes_before(const turn_t *a, const turn_t *b)
{
	if (a->beyond != b->beyond)
		return b->beyond;
	if (!a->beyond)
		return a->first < b->first;
	if (a->share != b->share)
		return a->share < b->share;
	return a->sequence < b->sequence;
}

static void swap(const bw_fair_t *f, guint a, guint b)
{
	turn_t turn = *turn_at(f, a);

	*turn_at(f, a) = *turn_at(f, b);
	*turn_at(f, b) = turn;
}

/* Its due is its part by weight among the parties that wait. */
static bool is_beyond(const bw_fair_t *f, const bw_fair_party_t *party,
		      double share)
{
	double due = weight_of(party) / f->weights;

	return share * weight_of(party) > MAX(due, PART_MIN);
}

static void push(bw_fair_t *f, bw_fair_party_t *party)
{
	double share = bw_fair_share(party, &f->capacity);
	turn_t turn = {
		.beyond = is_beyond(f, party, share),
		.share = share,
		.first = GPOINTER_TO_UINT(g_queue_peek_head(&party->waiting)),
		.sequence = ++f->sequence,
		.party = party,
	};
	guint i = f->heap->len;

	g_array_append_val(f->heap, turn);
	while (i > 0 && goes_before(turn_at(f, i), turn_at(f, (i - 1) / 2))) {
		swap(f, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

/* Returns which of a turn and the two below it goes first. */
static guint first_of(const bw_fair_t *f, guint i)
{
	guint first = i;
	guint k;

	for (k = 2 * i + 1; k <= 2 * i + 2 && k < f->heap->len; k++)
		if (goes_before(turn_at(f, k), turn_at(f, first)))
			first = k;
	return first;
}

static bw_fair_party_t *pop(bw_fair_t *f)
{
	bw_fair_party_t *party;
	guint i = 0;

	if (f->heap->len == 0)
		return NULL;
	party = turn_at(f, 0)->party;
	g_array_remove_index_fast(f->heap, 0);
	while (first_of(f, i) != i) {
		guint below = first_of(f, i);

		swap(f, i, below);
		i = below;
	}
	return party;
}

void bw_fair_begin(bw_fair_t *f, const bw_resources_t *capacity)
{
	f->capacity = *capacity;
	f->sequence = 0;
	f->current = NULL;
	f->weights = 0.0;
	g_ptr_array_set_size(f->items, 0);
}

void bw_fair_add(bw_fair_t *f, bw_fair_party_t *party, void *item)
{
	g_ptr_array_add(f->items, item);
	if (g_queue_is_empty(&party->waiting)) {
		g_ptr_array_add(f->parties, party);
		f->weights += weight_of(party);
	}
	g_queue_push_tail(&party->waiting, GUINT_TO_POINTER(f->items->len));
}

void *bw_fair_next(bw_fair_t *f)
{
	guint i;

	for (i = 0; i < f->parties->len; i++)
		push(f, g_ptr_array_index(f->parties, i));
	g_ptr_array_set_size(f->parties, 0);
	if (f->current && !g_queue_is_empty(&f->current->waiting))
		push(f, f->current);
	f->current = pop(f);
	if (!f->current)
		return NULL;
	f->item = g_queue_pop_head(&f->current->waiting);
	return g_ptr_array_index(f->items, GPOINTER_TO_UINT(f->item) - 1);
}

bool bw_fair_goes_on(const bw_fair_t *f)
{
	double share = bw_fair_share(f->current, &f->capacity);
	const turn_t *next;

	if (f->heap->len == 0 || !is_beyond(f, f->current, share))
		return true;
	next = turn_at(f, 0);
	return next->beyond &&
	       (share - next->share) * weight_of(f->current) < QUANTUM;
}

void bw_fair_put_back(bw_fair_t *f)
{
	g_queue_push_head(&f->current->waiting, f->item);
}

bool bw_fair_owed(bw_fair_rate_t *rate, double weight, int64_t at_ms)
{
	double tokens_max = MAX(weight * BURST_S, BURST_MIN);

	if (!rate->begun) {
		rate->begun = true;
		rate->tokens = tokens_max;
		rate->at_ms = at_ms;
	}
	if (at_ms > rate->at_ms) {
		rate->tokens += weight * (double)(at_ms - rate->at_ms) / 1000.0;
		rate->at_ms = at_ms;
	}
	rate->tokens = MIN(rate->tokens, tokens_max);
	if (weight <= 0.0 || rate->tokens < 1.0)
		return false;
	rate->tokens -= 1.0;
	return true;
}
