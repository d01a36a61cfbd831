/* Prints COUNT addresses of 127.0.0.1 whose ports nothing uses. */
#include <stdio.h>
#include <stdlib.h>

#include "standin/anyport.h"

#define COUNT_MAX 16

int main(int argc, char **argv)
{
	int count = argc > 1 ? atoi(argv[1]) : 1;
	bw_anyport_t ports[COUNT_MAX];
	int i;

	if (count < 1 || count > COUNT_MAX)
		return 2;
	/* All are held before one is given back, so that they differ. */
	for (i = 0; i < count; i++)
		if (bw_anyport_reserve("127.0.0.1", &ports[i]) != BW_OK)
			return 1;
	for (i = 0; i < count; i++)
		printf("%s\n", ports[i].address);
	return 0;
}
