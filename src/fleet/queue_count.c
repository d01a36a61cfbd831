#include "fleet/queue_count.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/peers.h"

/** A count in progress. */
typedef struct count {
	bw_empty_pools_t *empty_pools;
	char *queue;
	bool sending; /**< More questions may follow. */
	uint32_t unanswered; /**< Questions. */
	uint32_t waiting;
	bool known; /**< Each pool that may have its jobs has answered. */
	bw_queue_count_done_fn done;
	void *ctx;
} count_t;

/** A question about one pool. */
typedef struct question {
	count_t *count;
	char *pool;
} question_t;

static void finish_if_answered(count_t *count)
{
	if (count->sending || count->unanswered > 0)
		return;
	count->done(count->ctx, count->known, count->waiting);
	g_free(count->queue);
	g_free(count);
}

/* Handles that nobody has told the number of a pool's jobs. */
static void miss(count_t *count, const char *pool, const char *cause)
{
	if (bw_empty_pools_is_empty(count->empty_pools, count->queue, pool))
		return;
	bw_event(BW_EVENT_SERVICE_COUNT_MISSING, "queue=%s pool=%s cause=%s",
		 count->queue, pool, cause);
	count->known = false;
}

/* Handles an answer about a pool; NULL: its owner gave none. */
static void add(count_t *count, const char *pool,
		const bw_fleet_query_answer_t *answer)
{
	if (!answer) {
		miss(count, pool, "no-answer");
		return;
	}
	if (!answer->owner) {
		miss(count, pool, "not-read");
		return;
	}
	bw_empty_pools_note(count->empty_pools, bw_clock_now_ms(), count->queue,
			    pool, answer->waiting);
	count->waiting += answer->waiting;
}

static void on_answer(void *ctx, const bw_fleet_query_answer_t *answer)
{
	question_t *question = ctx;
	count_t *count = question->count;

	add(count, question->pool, answer);
	g_free(question->pool);
	g_free(question);
	count->unanswered--;
	finish_if_answered(count);
}

static void ask_node(const bw_queue_count_env_t *env, count_t *count,
		     const char *owner, const char *pool)
{
	question_t *question = g_new0(question_t, 1);

	question->count = count;
	question->pool = g_strdup(pool);
	count->unanswered++;
	bw_fleet_peers_query(env->peers, owner, pool, NULL, count->queue,
			     on_answer, question);
}

static void ask(const bw_queue_count_env_t *env, count_t *count,
		const char *pool)
{
	const char *owner = env->ops->owner(env->ctx, pool);
	bw_fleet_query_answer_t answer = { 0 };

	if (!owner) {
		miss(count, pool, "no-owner");
		return;
	}
	if (strcmp(owner, env->node) != 0) {
		ask_node(env, count, owner, pool);
		return;
	}
	env->ops->query_local(env->ctx, pool, NULL, count->queue, &answer);
	add(count, pool, &answer);
}

void bw_queue_count(const bw_queue_count_env_t *env,
		    const bw_fleet_config_t *pools, const char *queue,
		    const char *pool, bw_queue_count_done_fn done, void *ctx)
{
	count_t *count = g_new0(count_t, 1);
	uint32_t i;

	count->empty_pools = env->empty_pools;
	count->queue = g_strdup(queue);
	count->sending = true;
	count->known = true;
	count->done = done;
	count->ctx = ctx;
	ask(env, count, pool);
	for (i = 0; i < pools->pool_count; i++)
		if (strcmp(pools->pools[i].name, pool) != 0)
			ask(env, count, pools->pools[i].name);
	count->sending = false;
	finish_if_answered(count);
}
