#include "contact.h"

void soak_contact_disturb(soak_contact_t *c, uint32_t node, int64_t until_ms)
{
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		if (node == i || node == SOAK_ALL_NODES)
			c->node_until_ms[i] =
				MAX(c->node_until_ms[i], until_ms);
}

void soak_contact_disturb_store(soak_contact_t *c, int64_t until_ms)
{
	c->store_until_ms = MAX(c->store_until_ms, until_ms);
}

/* The two spans don't add up: the node may be disturbed while the store is. */
bool soak_contact_in_touch(const soak_contact_t *c, uint32_t node,
			   int64_t now_ms)
{
	int64_t last_ms = MAX(c->node_until_ms[node], c->store_until_ms);

	return now_ms - last_ms >= SOAK_CONTACT_MS;
}

int64_t soak_contact_last_ms(const soak_contact_t *c)
{
	int64_t last_ms = c->store_until_ms;
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++)
		last_ms = MAX(last_ms, c->node_until_ms[i]);
	return last_ms;
}
