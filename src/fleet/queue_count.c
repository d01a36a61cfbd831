#include "fleet/queue_count.h"

#include <string.h>

#include <glib.h>

#include "fleet/peers.h"

/** A count in progress. */
typedef struct count {
	bool sending; /**< More questions may follow. */
	uint32_t unanswered; /**< Questions. */
	uint32_t waiting;
	bool known; /**< The queue's pool has answered. */
	bw_queue_count_done_fn done;
	void *ctx;
} count_t;

/** A question about one pool. */
typedef struct question {
	count_t *count;
	bool of_queue; /**< It is about the queue's pool. */
} question_t;

static void finish_if_answered(count_t *count)
{
	if (count->sending || count->unanswered > 0)
		return;
	count->done(count->ctx, count->known, count->waiting);
	g_free(count);
}

static void add(count_t *count, const bw_fleet_query_answer_t *answer,
		bool of_queue)
{
	if (!answer->owner)
		return;
	count->waiting += answer->waiting;
	count->known |= of_queue;
}

static void on_answer(void *ctx, const bw_fleet_query_answer_t *answer)
{
	question_t *question = ctx;
	count_t *count = question->count;

	if (answer)
		add(count, answer, question->of_queue);
	g_free(question);
	count->unanswered--;
	finish_if_answered(count);
}

static void ask_node(const bw_queue_count_env_t *env, count_t *count,
		     const char *owner, const char *queue, const char *pool,
		     bool of_queue)
{
	question_t *question = g_new0(question_t, 1);

	question->count = count;
	question->of_queue = of_queue;
	count->unanswered++;
	bw_fleet_peers_query(env->peers, owner, pool, NULL, queue, on_answer,
			     question);
}

static void ask(const bw_queue_count_env_t *env, count_t *count,
		const char *queue, const char *pool, bool of_queue)
{
	const char *owner = env->ops->owner(env->ctx, pool);
	bw_fleet_query_answer_t answer = { 0 };

	if (!owner)
		return;
	if (strcmp(owner, env->node) != 0) {
		ask_node(env, count, owner, queue, pool, of_queue);
		return;
	}
	env->ops->query_local(env->ctx, pool, NULL, queue, &answer);
	add(count, &answer, of_queue);
}

void bw_queue_count(const bw_queue_count_env_t *env,
		    const bw_fleet_config_t *pools, const char *queue,
		    const char *pool, bw_queue_count_done_fn done, void *ctx)
{
	count_t *count = g_new0(count_t, 1);
	uint32_t i;

	count->sending = true;
	count->done = done;
	count->ctx = ctx;
	ask(env, count, queue, pool, true);
	for (i = 0; i < pools->pool_count; i++)
		if (strcmp(pools->pools[i].name, pool) != 0)
			ask(env, count, queue, pools->pools[i].name, false);
	count->sending = false;
	finish_if_answered(count);
}
