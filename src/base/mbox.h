/**
 * @file
 * Mailbox of a module: messages posted by other modules are handled from the
 * event loop, never within bw_mbox_post().
 */
#ifndef BW_BASE_MBOX_H
#define BW_BASE_MBOX_H

#include <stdint.h>

struct ev_loop;

typedef struct bw_mbox bw_mbox_t;

/**
 * Handles one message.
 * @param ctx context passed to bw_mbox_create()
 * @param type message type, defined by the owner of the mailbox
 * @param arg message argument; who owns it depends on the type
 */
typedef void (*bw_mbox_fn)(void *ctx, uint32_t type, void *arg);

/** Creates a mailbox whose messages are handled from @p loop. */
bw_mbox_t *bw_mbox_create(struct ev_loop *loop, bw_mbox_fn fn, void *ctx);

/** Destroys a mailbox; messages not yet handled are dropped. */
void bw_mbox_destroy(bw_mbox_t *m);

/** Posts a message; handled in order, before the loop waits for events. */
void bw_mbox_post(bw_mbox_t *m, uint32_t type, void *arg);

#endif
