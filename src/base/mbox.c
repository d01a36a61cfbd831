#include "base/mbox.h"

#include <ev.h>
#include <glib.h>

typedef struct mbox_msg {
	uint32_t type;
	void *arg;
} mbox_msg_t;

struct bw_mbox {
	struct ev_loop *loop;
	ev_prepare prepare;
	ev_idle idle; /**< Keeps the loop from blocking. */
	GArray *inbox;
	GArray *spare; /**< Swapped with @p inbox on delivery. */
	bw_mbox_fn fn;
	void *ctx;
};

static void deliver(struct ev_loop *loop, ev_prepare *w, int revents);
static void ignore_idle(struct ev_loop *loop, ev_idle *w, int revents);

static void deliver(struct ev_loop *loop, ev_prepare *w, int revents)
{
	bw_mbox_t *m = w->data;
	GArray *batch = m->inbox;
	guint i;

	(void)revents;
	if (batch->len == 0)
		return;
	m->inbox = m->spare;
	m->spare = batch;
	for (i = 0; i < batch->len; i++) {
		mbox_msg_t msg = g_array_index(batch, mbox_msg_t, i);

		m->fn(m->ctx, msg.type, msg.arg);
	}
	g_array_set_size(batch, 0);
	/* Messages posted by a handler must not wait for an event. */
	if (m->inbox->len == 0)
		ev_idle_stop(loop, &m->idle);
}

static void ignore_idle(struct ev_loop *loop, ev_idle *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

bw_mbox_t *bw_mbox_create(struct ev_loop *loop, bw_mbox_fn fn, void *ctx)
{
	bw_mbox_t *m = g_new0(bw_mbox_t, 1);

	m->loop = loop;
	m->fn = fn;
	m->ctx = ctx;
	m->inbox = g_array_new(FALSE, FALSE, sizeof(mbox_msg_t));
	m->spare = g_array_new(FALSE, FALSE, sizeof(mbox_msg_t));
	ev_prepare_init(&m->prepare, deliver);
	m->prepare.data = m;
	ev_prepare_start(loop, &m->prepare);
	ev_unref(loop);
	ev_idle_init(&m->idle, ignore_idle);
	return m;
}

void bw_mbox_destroy(bw_mbox_t *m)
{
	if (!m)
		return;
	ev_ref(m->loop);
	ev_prepare_stop(m->loop, &m->prepare);
	ev_idle_stop(m->loop, &m->idle);
	g_array_free(m->inbox, TRUE);
	g_array_free(m->spare, TRUE);
	g_free(m);
}

void bw_mbox_post(bw_mbox_t *m, uint32_t type, void *arg)
{
	mbox_msg_t msg = { .type = type, .arg = arg };

	g_array_append_val(m->inbox, msg);
	if (!ev_is_active(&m->idle))
		ev_idle_start(m->loop, &m->idle);
}
