/**
 * @file
 * What a node has: processor, memory, link and file descriptors. Nodes compare
 * their capacities to agree on which of them owns a pool.
 */
#ifndef BW_FLEET_CAPACITY_H
#define BW_FLEET_CAPACITY_H

#include <stdint.h>

/** Resources of a node. */
typedef enum bw_node_resource {
	BW_NODE_CPU_MILLIS, /**< Thousandths of a core. */
	BW_NODE_MEMORY_MB,
	BW_NODE_LINK_KBITS, /**< Kilobits a second. */
	BW_NODE_DESCRIPTORS,
	BW_NODE_RESOURCE_COUNT
} bw_node_resource_t;

/** Amount of each resource; 0 if unknown. */
typedef struct bw_node_capacity {
	int64_t amounts[BW_NODE_RESOURCE_COUNT];
} bw_node_capacity_t;

#endif
