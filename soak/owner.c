#include "owner.h"

#include <stdio.h>

#include "plan.h"
#include "standin_workers.h"
#include "wire/record.pb-c.h"

#define KEY_BYTES  64
#define NAME_BYTES 32

static void format_key(uint32_t pool, char *out, size_t bytes)
{
	char name[NAME_BYTES];

	soak_pool_name(pool, name, sizeof(name));
	g_snprintf(out, bytes, "bw/m/own/%s", name);
}

static uint32_t find_node(const char *name)
{
	char text[NAME_BYTES];
	uint32_t i;

	for (i = 0; i < SOAK_NODES; i++) {
		g_snprintf(text, sizeof(text), "node-%u", i);
		if (!g_strcmp0(name, text))
			return i;
	}
	return SOAK_ALL_NODES;
}

uint32_t soak_owner_find(const soak_store_t *store, uint32_t pool)
{
	Bramley__OwnerRecord *record;
	uint32_t node = SOAK_ALL_NODES;
	char key[KEY_BYTES];
	size_t bytes = 0;
	uint8_t *value;

	format_key(pool, key, sizeof(key));
	value = soak_store_get(store, key, 0, &bytes);
	if (!value)
		return SOAK_ALL_NODES;
	record = bramley__owner_record__unpack(NULL, bytes, value);
	g_free(value);
	if (!record)
		return SOAK_ALL_NODES;
	node = find_node(record->node);
	bramley__owner_record__free_unpacked(record, NULL);
	return node;
}

int64_t soak_owner_renewed_ago_ms(const soak_store_t *store, uint32_t pool)
{
	char key[KEY_BYTES];

	format_key(pool, key, sizeof(key));
	return soak_store_renewed_ago_ms(store, key);
}

void soak_owner_remove(soak_store_t *store, uint32_t pool)
{
	char key[KEY_BYTES];

	format_key(pool, key, sizeof(key));
	soak_store_remove(store, key);
}
