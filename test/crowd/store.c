/*
 * Runs the soak's stand-in of the store for one node, with the soak's queues
 * and pools, and prints its address.
 */
#include <stdio.h>
#include <stdlib.h>

#include <ev.h>
#include <jansson.h>

#include "../../soak/standin_callers.h"
#include "../../soak/standin_store.h"

/* Returns the soak's configuration without tenants: the crowds have no keys. */
static char *make_configuration(void)
{
	char *text = soak_callers_configuration(1);
	json_t *root = json_loads(text, 0, NULL);

	free(text);
	json_object_del(root, "tenants");
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

int main(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	soak_store_t *store = soak_store_create(loop, 1);
	char *text = make_configuration();

	soak_store_configure(store, text);
	free(text);
	printf("%s\n", soak_store_address(store, 0));
	fflush(stdout);
	ev_run(loop, 0);
	return 0;
}
