/**
 * @file
 * Reads a fuzzer's input as a sequence of small choices.
 */
#ifndef BW_FUZZ_WORLD_H
#define BW_FUZZ_WORLD_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/** Ends the program when a promise is broken, which libFuzzer reports. */
#define FUZZ_ASSERT(condition, text)                                           \
	do {                                                                   \
		if (!(condition)) {                                            \
			fprintf(stderr, "broken: %s\n", text);                 \
			abort();                                               \
		}                                                              \
	} while (0)

typedef struct choices {
	const uint8_t *data;
	size_t left;
} choices_t;

/** A number below @p n; 0 once the input is used up. */
static inline uint32_t choose(choices_t *c, uint32_t n)
{
	uint8_t byte;

	if (c->left == 0 || n == 0)
		return 0;
	byte = *c->data++;
	c->left--;
	return byte % n;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
