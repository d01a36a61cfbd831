#include "fleet/interfaces.h"

#include <string.h>

#include <glib.h>

void bw_queue_clear(bw_queue_t *queue)
{
	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->pool);
	memset(queue, 0, sizeof(*queue));
}

void bw_tenant_clear(bw_tenant_t *tenant)
{
	g_free(tenant->name);
	g_strfreev(tenant->keys);
	memset(tenant, 0, sizeof(*tenant));
}

void bw_fleet_config_free(bw_fleet_config_t *config)
{
	uint32_t i;

	if (!config)
		return;
	for (i = 0; i < config->queue_count; i++)
		bw_queue_clear(&config->queues[i]);
	for (i = 0; i < config->pool_count; i++)
		g_free(config->pools[i].name);
	for (i = 0; i < config->tenant_count; i++)
		bw_tenant_clear(&config->tenants[i]);
	g_free(config->tenants);
	g_free(config->first_remark);
	g_free(config->queues);
	g_free(config->pools);
	g_free(config);
}

void bw_registration_free(bw_registration_t *registration)
{
	if (!registration)
		return;
	g_free(registration->pool);
	g_strfreev(registration->labels);
	g_free(registration->id);
	g_free(registration->address);
	g_free(registration->rack);
	g_free(registration->machine);
	g_free(registration);
}

void bw_wave_order_free(bw_wave_order_t *order)
{
	if (!order)
		return;
	g_strfreev(order->machines);
	g_free(order);
}
