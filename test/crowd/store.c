/*
 * Runs the soak's stand-in of the store for one node, with the soak's queues
 * and pools, and prints its address.
 */
#include <stdio.h>
#include <stdlib.h>

#include <ev.h>

#include "../../soak/standin_callers.h"
#include "../../soak/standin_store.h"

int main(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	soak_store_t *store = soak_store_create(loop, 1);
	char *text = soak_callers_configuration();

	soak_store_configure(store, text);
	free(text);
	printf("%s\n", soak_store_address(store, 0));
	fflush(stdout);
	ev_run(loop, 0);
	return 0;
}
