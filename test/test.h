/* cmocka.h needs these headers before it. */
#ifndef BW_TEST_TEST_H
#define BW_TEST_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
