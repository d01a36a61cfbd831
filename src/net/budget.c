#include "net/budget.h"

/** Least time between reports of a cause, to bound the log. */
#define REPORT_INTERVAL_MS 1000
/** A body moves when this part of what it holds has come, as a divisor: single
 *  bytes would keep a large one open without an end. */
#define MOVE_DIVISOR 16

static const char *const cause_names[BW_BUDGET_CAUSE_COUNT] = {
	[BW_BUDGET_REFUSED] = "refused-memory",
	[BW_BUDGET_CLOSED_MEMORY] = "closed-memory",
	[BW_BUDGET_CLOSED_CONNECTIONS] = "closed-connections",
	[BW_BUDGET_CLOSED_HEAD] = "closed-head",
	[BW_BUDGET_CLOSED_STILL] = "closed-still",
	[BW_BUDGET_CLOSED_LONG] = "closed-long",
};

void bw_budget_init(bw_budget_t *b, const bw_budget_limits_t *limits)
{
	int i;

	*b = (bw_budget_t){ .limits = *limits };
	for (i = 0; i < BW_BUDGET_STATE_COUNT; i++)
		g_queue_init(&b->queues[i]);
}

/* Puts a connection last in the queue of a state. */
static void move_to(bw_budget_t *b, bw_budget_item_t *item,
		    bw_budget_state_t state)
{
	if (item->state == BW_BUDGET_OUT)
		b->connections++;
	else
		g_queue_unlink(&b->queues[item->state], &item->link);
	item->link.data = item;
	item->state = state;
	if (state == BW_BUDGET_OUT)
		b->connections--;
	else
		g_queue_push_tail_link(&b->queues[state], &item->link);
}

static void set_moved(bw_budget_item_t *item, int64_t now_ms)
{
	item->moved_ms = now_ms;
	item->unmoved_bytes = 0;
}

void bw_budget_release(bw_budget_t *b, bw_budget_item_t *item)
{
	b->held_bytes -= item->held_bytes;
	item->held_bytes = 0;
}

void bw_budget_wait(bw_budget_t *b, bw_budget_item_t *item, int64_t now_ms)
{
	bw_budget_release(b, item);
	set_moved(item, now_ms);
	move_to(b, item, BW_BUDGET_WAITING);
}

void bw_budget_begin(bw_budget_t *b, bw_budget_item_t *item, int64_t now_ms)
{
	set_moved(item, now_ms);
	move_to(b, item, BW_BUDGET_SMALL);
}

bool bw_budget_take(bw_budget_t *b, bw_budget_item_t *item, uint64_t bytes,
		    int64_t now_ms)
{
	uint64_t max = b->limits.bytes_max;
	bw_budget_state_t state;

	if (max > 0 && b->held_bytes + bytes > max)
		return false;
	b->held_bytes += bytes;
	b->peak_bytes = MAX(b->peak_bytes, b->held_bytes);
	item->held_bytes += bytes;
	item->unmoved_bytes += bytes;
	state = item->held_bytes > BW_BUDGET_SMALL_BYTES ? BW_BUDGET_LARGE
							 : BW_BUDGET_SMALL;
	if (item->unmoved_bytes >= item->held_bytes / MOVE_DIVISOR) {
		set_moved(item, now_ms);
		move_to(b, item, state);
	}
	return true;
}

void bw_budget_serve(bw_budget_t *b, bw_budget_item_t *item)
{
	move_to(b, item, BW_BUDGET_SERVED);
}

void bw_budget_remove(bw_budget_t *b, bw_budget_item_t *item)
{
	if (item->state == BW_BUDGET_OUT)
		return;
	bw_budget_release(b, item);
	move_to(b, item, BW_BUDGET_OUT);
}

bool bw_budget_is_crowded(const bw_budget_t *b)
{
	return b->limits.connections_max > 0 &&
	       b->connections > b->limits.connections_max;
}

static bw_budget_item_t *head_of(const bw_budget_t *b, bw_budget_state_t state)
{
	return b->queues[state].head ? b->queues[state].head->data : NULL;
}

bw_budget_item_t *bw_budget_stalest(const bw_budget_t *b)
{
	static const bw_budget_state_t states[] = { BW_BUDGET_LARGE,
						    BW_BUDGET_SMALL,
						    BW_BUDGET_WAITING };
	bw_budget_item_t *out = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		bw_budget_item_t *head = head_of(b, states[i]);

		if (head && (!out || head->moved_ms < out->moved_ms))
			out = head;
	}
	return out;
}

static bw_budget_item_t *first_holder(const bw_budget_t *b,
				      bw_budget_state_t state,
				      const bw_budget_item_t *except)
{
	const GList *link;

	for (link = b->queues[state].head; link; link = link->next) {
		bw_budget_item_t *item = link->data;

		if (item != except && item->held_bytes > 0)
			return item;
	}
	return NULL;
}

bw_budget_item_t *bw_budget_holder(const bw_budget_t *b,
				   const bw_budget_item_t *item)
{
	bw_budget_item_t *large = first_holder(b, BW_BUDGET_LARGE, item);

	return large ? large : first_holder(b, BW_BUDGET_SMALL, item);
}

static bool is_late(const bw_budget_item_t *item, int64_t limit_ms,
		    int64_t now_ms)
{
	return item && limit_ms > 0 && now_ms - item->moved_ms >= limit_ms;
}

bw_budget_item_t *bw_budget_late(const bw_budget_t *b, int64_t now_ms,
				 bw_budget_cause_t *cause)
{
	bw_budget_item_t *item = head_of(b, BW_BUDGET_WAITING);

	*cause = BW_BUDGET_CLOSED_HEAD;
	if (is_late(item, b->limits.head_wait_ms, now_ms))
		return item;
	*cause = BW_BUDGET_CLOSED_STILL;
	item = head_of(b, BW_BUDGET_SMALL);
	if (is_late(item, b->limits.body_still_ms, now_ms))
		return item;
	item = head_of(b, BW_BUDGET_LARGE);
	return is_late(item, b->limits.body_still_ms, now_ms) ? item : NULL;
}

void bw_budget_note(bw_budget_t *b, bw_budget_cause_t cause)
{
	b->unsaid[cause]++;
}

uint32_t bw_budget_report(bw_budget_t *b, bw_budget_cause_t cause,
			  int64_t now_ms)
{
	uint32_t count = b->unsaid[cause];

	if (count == 0 || now_ms < b->next_report_ms[cause])
		return 0;
	b->next_report_ms[cause] = now_ms + REPORT_INTERVAL_MS;
	b->unsaid[cause] = 0;
	return count;
}

const char *bw_budget_cause_name(bw_budget_cause_t cause)
{
	return cause < BW_BUDGET_CAUSE_COUNT ? cause_names[cause] : "unknown";
}

const char *const *bw_budget_cause_names(void)
{
	return cause_names;
}
