#include "fleet/tenant_keys.h"

#include <string.h>

#include <glib.h>

struct bw_tenant_keys {
	bool required; /**< Queues that aren't public need a key. */
	GHashTable *tenants; /**< Key to the tenant's name; both borrowed. */
};

bw_tenant_keys_t *bw_tenant_keys_create(const bw_fleet_config_t *config)
{
	bw_tenant_keys_t *k = g_new0(bw_tenant_keys_t, 1);
	uint32_t i;

	k->required = config->has_tenants;
	k->tenants = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < config->tenant_count; i++) {
		bw_tenant_t *tenant = &config->tenants[i];
		char **key;

		for (key = tenant->keys; key && *key; key++)
			if (!g_hash_table_contains(k->tenants, *key))
				g_hash_table_insert(k->tenants, *key,
						    tenant->name);
	}
	return k;
}

void bw_tenant_keys_destroy(bw_tenant_keys_t *k)
{
	if (!k)
		return;
	g_hash_table_destroy(k->tenants);
	g_free(k);
}

bw_key_verdict_t bw_tenant_keys_check(const bw_tenant_keys_t *k,
				      const bw_queue_t *queue, const char *key,
				      bw_config_trust_t trust,
				      bw_caller_t *caller)
{
	*caller = (bw_caller_t){ .sees_all = !k->required };
	if (!k->required || queue->is_public)
		return BW_KEY_ALLOWED;
	if (trust == BW_CONFIG_DOUBTED)
		return BW_KEY_UNSURE;
	if (key)
		caller->tenant = g_hash_table_lookup(k->tenants, key);
	if (caller->tenant)
		return BW_KEY_ALLOWED;
	return trust == BW_CONFIG_NEWEST ? BW_KEY_UNKNOWN : BW_KEY_UNSURE;
}

bool bw_caller_may_see(const bw_caller_t *caller, const char *tenant)
{
	return caller->sees_all || !tenant ||
	       (caller->tenant && !strcmp(caller->tenant, tenant));
}
