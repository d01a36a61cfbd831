/* Advice on which workers may run a step, and the tickets that it gives. */
#include "sched/internal.h"

#include <string.h>

/** Workers that one call for advice may name. */
#define ADVICE_WORKERS_MAX 100U

const char *sched_ticket(const task_t *task, const worker_t *worker,
			 int64_t now_ms)
{
	const step_state_t *state = &task->occurrence->steps[task->step];

	if (!state->tickets || now_ms >= state->tickets_until_ms)
		return NULL;
	return g_hash_table_lookup(state->tickets, worker->id);
}

static gint compare_numbers(gconstpointer a, gconstpointer b)
{
	const worker_t *x = *(const worker_t *const *)a;
	const worker_t *y = *(const worker_t *const *)b;

	return x->number < y->number ? -1 : x->number > y->number;
}

/* Returns them in the order of their numbers. */
static GPtrArray *usable_workers(bw_sched_t *s, int64_t now_ms)
{
	GPtrArray *workers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (sched_worker_usable(s, value, now_ms))
			g_ptr_array_add(workers, value);
	g_ptr_array_sort(workers, compare_numbers);
	return workers;
}

/* Returns the index of the first worker after those that the last call named,
 * or of the first one if there is none. */
static guint first_to_name(const GPtrArray *workers, uint64_t after)
{
	guint i;

	for (i = 0; i < workers->len; i++)
		if (((const worker_t *)g_ptr_array_index(workers, i))->number >
		    after)
			return i;
	return 0;
}

/* Names as many workers as a call may, going on where the last one ended. */
static void ask(bw_sched_t *s, step_state_t *state, const bw_task_name_t *name,
		const GPtrArray *workers)
{
	guint count = MIN(workers->len, ADVICE_WORKERS_MAX);
	guint first = first_to_name(workers, state->advice_after);
	const char **ids = g_new0(const char *, count);
	guint i;

	for (i = 0; i < count; i++) {
		const worker_t *worker =
			g_ptr_array_index(workers, (first + i) % workers->len);

		ids[i] = worker->id;
		state->advice_after = worker->number;
	}
	state->advice_requested = true;
	state->advice_named += count;
	state->advice_partial = state->advice_named < workers->len;
	s->ops.advise(s->ctx, name, ids, count);
	g_free(ids);
}

void sched_request_advice(bw_sched_t *s, occurrence_t *occurrence,
			  uint32_t step, int64_t now_ms)
{
	step_state_t *state = &occurrence->steps[step];
	bw_task_name_t name = { .occurrence = occurrence->number,
				.step = step };
	GPtrArray *workers;

	if (state->advice_requested ||
	    (state->tickets && now_ms < state->tickets_until_ms))
		return;
	workers = usable_workers(s, now_ms);
	g_strlcpy(name.job, occurrence->job->id, sizeof(name.job));
	/* To ask about none would be to wait until that advice is outdated. */
	if (workers->len > 0)
		ask(s, state, &name, workers);
	g_ptr_array_free(workers, TRUE);
}

void bw_sched_advised(bw_sched_t *s, int64_t now_ms, const bw_task_name_t *step,
		      const char *const *workers, const char *const *tickets,
		      uint32_t count, int64_t valid_ms)
{
	bw_task_name_t first = *step;
	step_state_t *state;
	task_t *task;
	uint32_t i;

	first.index = 0;
	task = sched_find_task(s, &first);
	if (!task)
		return;
	state = sched_step_state(task);
	state->advice_requested = false;
	if (state->tickets)
		g_hash_table_destroy(state->tickets);
	state->tickets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < count; i++)
		g_hash_table_insert(state->tickets, g_strdup(workers[i]),
				    g_strdup(tickets[i]));
	state->tickets_until_ms = now_ms + valid_ms;
	/* Others may run the step; they are asked about at once. */
	if (count == 0 && valid_ms > 0 && state->advice_partial)
		state->tickets_until_ms = now_ms;
	else
		state->advice_named = 0;
}

/* The step asks for advice again once no ticket is left. */
static void drop_ticket(step_state_t *state, const char *worker_id)
{
	if (!state->tickets || !g_hash_table_remove(state->tickets, worker_id))
		return;
	if (g_hash_table_size(state->tickets) == 0)
		state->tickets_until_ms = 0;
}

void sched_ticket_refused(const task_t *task, const worker_t *worker)
{
	drop_ticket(sched_step_state(task), worker->id);
}

void sched_forget_tickets(bw_sched_t *s, const worker_t *worker)
{
	guint i;
	guint k;
	uint32_t step;

	for (i = 0; i < s->active->len; i++) {
		const job_t *job = g_ptr_array_index(s->active, i);

		for (k = 0;
		     job->queue->terms.advised && k < job->occurrences->len;
		     k++) {
			const occurrence_t *occurrence =
				g_ptr_array_index(job->occurrences, k);

			for (step = 0; step < job->spec->step_count; step++)
				drop_ticket(&occurrence->steps[step],
					    worker->id);
		}
	}
}
