/**
 * @file
 * Mailbox of a task: messages posted by other tasks are handled from the event
 * loop, never from inside the poster.
 */
#ifndef BW_BASE_MBOX_H
#define BW_BASE_MBOX_H

#include <stdint.h>

struct ev_loop;

typedef struct bw_mbox bw_mbox_t;

/**
 * Handles one message.
 * @param ctx context given to bw_mbox_create()
 * @param type message type, defined by the owner of the mailbox
 * @param arg message argument; its ownership is defined per type
 */
typedef void (*bw_mbox_fn)(void *ctx, uint32_t type, void *arg);

/** Creates a mailbox served by @p loop. */
bw_mbox_t *bw_mbox_create(struct ev_loop *loop, bw_mbox_fn fn, void *ctx);

/** Destroys a mailbox; undelivered messages are dropped. */
void bw_mbox_destroy(bw_mbox_t *m);

/** Posts a message; delivered in order, in the current loop iteration. */
void bw_mbox_post(bw_mbox_t *m, uint32_t type, void *arg);

#endif
