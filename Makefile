# Targets: all, tests, demo, check, world, soak, soak-caught, bench-*, fuzzers,
# format, lint, deps, proto, clean.

BUILD ?= build
ifeq ($(origin CC),default)
CC := gcc
endif
ifeq ($(origin CXX),default)
CXX := g++
endif
PKGS := glib-2.0 jansson libmicrohttpd libcurl libprotobuf-c libxxhash
OPT ?= -O2 -g
SANITIZE ?=
WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes
DEFS := -D_GNU_SOURCE
LIB_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LIB_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lev -lhttp_parser -lm -lstdc++
CFLAGS_ALL := -std=gnu11 $(OPT) $(SANITIZE) $(WARN) $(DEFS) -Isrc -Iplatform $(LIB_CFLAGS) $(CFLAGS)
CXXFLAGS_ALL := -std=c++17 $(OPT) $(SANITIZE) -Wall -Wextra -Isrc $(CXXFLAGS)

LIB_C := $(filter-out src/wire/%.pb-c.c,$(wildcard src/*/*.c))
GEN_C := src/wire/bramley.pb-c.c src/wire/record.pb-c.c
PLATFORM_C := $(wildcard platform/*.c)
LIB_CXX := $(wildcard src/*/*.cpp)
LIB_OBJ := $(LIB_C:%.c=$(BUILD)/%.o) $(PLATFORM_C:%.c=$(BUILD)/%.o) $(GEN_C:%.c=$(BUILD)/%.o) $(LIB_CXX:%.cpp=$(BUILD)/%.o)
LIB := $(BUILD)/libbramleywing.a
PROGRAMS := $(patsubst cmd/%.c,$(BUILD)/%,$(wildcard cmd/*.c))
TESTS := $(patsubst test/%.c,$(BUILD)/test/%,$(wildcard test/test_*.c))
# The simulation of a pool, for test_world and play_world.
WORLD_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard test/world*.c) test/stored_state.c)
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))
FORMATTED := $(LIB_C) $(LIB_CXX) $(PLATFORM_C) $(wildcard platform/*.h) $(filter-out %.pb-c.h,$(wildcard src/*/*.h)) \
	$(wildcard cmd/*.c test/*.c test/*.h test/crowd/*.c bench/*.c bench/*.h fuzz/*.c fuzz/*.h soak/*.c soak/*.h)

.SECONDARY:
.PHONY: all demo check deps format format-check lint proto clean
all: $(LIB) $(PROGRAMS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -MMD -MP -c $< -o $@

$(GEN_C:%.c=$(BUILD)/%.o): $(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -w -MMD -MP -c $< -o $@

$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS_ALL) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/%: $(BUILD)/cmd/%.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)

$(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(BUILD)/test/fixture.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

SCHED_TESTS := $(BUILD)/test/test_sched $(BUILD)/test/test_takeover $(BUILD)/test/test_starts \
	$(BUILD)/test/test_restart $(BUILD)/test/test_ends $(BUILD)/test/test_capacity \
	$(BUILD)/test/test_unknowns $(BUILD)/test/test_evacuate \
	$(BUILD)/test/test_unreadable $(BUILD)/test/test_resend \
	$(BUILD)/test/test_gangs $(BUILD)/test/test_confirm \
	$(BUILD)/test/test_advice $(BUILD)/test/test_new_jobs \
	$(BUILD)/test/test_connections $(BUILD)/test/test_restart_between_owners \
	$(BUILD)/test/test_wait $(BUILD)/test/test_turns \
	$(BUILD)/test/test_departed $(BUILD)/test/test_schedules \
	$(BUILD)/test/test_large_values
$(SCHED_TESTS): $(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(BUILD)/test/sched_orders.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

HELD_TESTS := $(BUILD)/test/test_held $(BUILD)/test/test_questions $(BUILD)/test/test_tenants
$(HELD_TESTS): $(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(BUILD)/test/held_task.o \
		$(BUILD)/test/sched_orders.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

CRASH_TESTS := $(BUILD)/test/test_crashes $(BUILD)/test/test_suspects $(BUILD)/test/test_sound_tasks \
	$(BUILD)/test/test_crash_restarts
$(CRASH_TESTS): $(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(BUILD)/test/crash_pool.o \
		$(BUILD)/test/sched_orders.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

# Counts its calls.
$(BUILD)/test/test_records: LIB_LIBS += -Wl,--wrap=bw_sched_set_queue

FLEET_TESTS := $(BUILD)/test/test_ended_jobs $(BUILD)/test/test_owned_pool \
	$(BUILD)/test/test_service $(BUILD)/test/test_moved_queues \
	$(BUILD)/test/test_tenant_requests
$(FLEET_TESTS): $(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(BUILD)/test/fake_store.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

# Notes what the scheduler is told.
$(BUILD)/test/test_owned_pool: LIB_LIBS += -Wl,--wrap=bw_sched_add_job,--wrap=bw_sched_earlier_saved_by

SERVER_TESTS := $(BUILD)/test/test_httpcall $(BUILD)/test/test_keephttp $(BUILD)/test/test_load
$(SERVER_TESTS): $(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(BUILD)/test/step_server.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

$(BUILD)/test/test_refusals: $(BUILD)/test/test_refusals.o $(BUILD)/test/step_server.o \
		$(BUILD)/test/fake_store.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

# The crowds of clients that nobody controls; see test/crowd/run.sh.
CROWD := $(BUILD)/test/crowd/crowd $(BUILD)/test/crowd/ports $(BUILD)/test/crowd/store
$(BUILD)/test/crowd/store: $(BUILD)/test/crowd/store.o $(filter-out $(BUILD)/soak/main.o,$(patsubst %.c,$(BUILD)/%.o,$(wildcard soak/*.c))) $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)
$(BUILD)/test/crowd/%: $(BUILD)/test/crowd/%.o $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)
.PHONY: crowds
crowds: all $(CROWD)

WORLD_TESTS := $(BUILD)/test/test_world $(BUILD)/test/test_world_workers
$(WORLD_TESTS): $(BUILD)/test/test_%: $(BUILD)/test/test_%.o $(WORLD_OBJ) $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS) -lcmocka

$(BUILD)/test/play_world: $(BUILD)/test/play_world.o $(WORLD_OBJ) $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)

# Plays SEEDS simulations with seeds from FIRST on, by default the Unix time.
SEEDS ?= 200
FIRST ?= $(shell date +%s)
.PHONY: world
world: $(BUILD)/test/play_world
	$< $(FIRST) $(SEEDS)

# Plays SEEDS seeds of faults against real nodes, SOAK_JOBS at a time; see
# docs/OPERATIONS.md.
SOAK_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard soak/*.c))
SOAK_JOBS ?= 3
$(BUILD)/soak/soak: $(SOAK_OBJ) $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)

.PHONY: soak soak-caught
soak: $(BUILD)/soak/soak $(BUILD)/bramley-fleetd $(BUILD)/bramleyctl
	$< --first=$(FIRST) --seeds=$(SEEDS) --side-by-side=$(SOAK_JOBS) \
		--node=$(BUILD)/bramley-fleetd --ctl=$(BUILD)/bramleyctl --logs=$(BUILD)/soak/logs

# Checks that the soak finds the faults of soak/broken.txt.
soak-caught: $(BUILD)/soak/soak $(BUILD)/bramley-fleetd $(BUILD)/bramleyctl
	scripts/soak-caught.sh

# Shared code of the benches: generated fleets, an in-memory store and workers.
BENCH_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(filter-out bench/bench_%.c,$(wildcard bench/*.c)))

$(BUILD)/bench/bench_%: $(BUILD)/bench/bench_%.o $(BENCH_OBJ) $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)

# Uses the soak's stand-in of the store.
$(BUILD)/bench/bench_pools: $(BUILD)/bench/bench_pools.o $(filter-out $(BUILD)/soak/main.o,$(SOAK_OBJ)) $(LIB)
	$(CXX) $(SANITIZE) $^ -o $@ $(LIB_LIBS)

$(BUILD)/bench/%.o: CFLAGS += -Ibench

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

deps:
	scripts/install-deps.sh

proto:
	cd src && protoc-c --c_out=. wire/bramley.proto wire/record.proto

format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run --Werror $(FORMATTED)

lint:
	printf '%s\n' $(LIB_C) $(PLATFORM_C) $(wildcard cmd/*.c soak/*.c) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 $(DEFS) -Isrc -Iplatform $(LIB_CFLAGS) 2>/dev/null' sh

clean:
	rm -rf $(BUILD)

demo: deps
	$(MAKE) all
	scripts/demo.sh

.PHONY: tests
tests: $(TESTS)

check: deps
	scripts/check.sh

# Each bench ends with one line of name=value pairs.
.PHONY: bench-route bench-surge bench-relay bench-once
bench-route: $(BUILD)/bench/bench_route
	$<
bench-surge: $(BUILD)/bench/bench_surge
	$<
bench-relay: all
	scripts/bench-relay.sh
bench-once: all
	scripts/bench-once.sh

comma := ,
# The fuzzers and the sources that they use are instrumented for libFuzzer. A
# broken variant replaces one source file by a copy with a fault.
FUZZ_CC := clang
FUZZ_FLAGS := -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize=vptr \
	-fno-sanitize-recover=undefined
FUZZ_LIB_C := $(wildcard src/base/*.c src/place/*.c src/once/*.c \
	src/member/*.c src/table/*.c src/wire/*.c src/job/job.c \
	src/fleet/interfaces.c platform/decode.c platform/names.c \
	platform/registration.c platform/submission.c platform/tenants.c \
	platform/values.c)
FUZZ_OBJ := $(FUZZ_LIB_C:%.c=$(BUILD)/fuzz/obj/%.o)
FUZZERS := $(patsubst fuzz/fuzz_%.c,%,$(wildcard fuzz/fuzz_*.c))
VARIANTS := $(shell sed -n 's/^\([a-z]*\) \([a-z_]*\) [a-z]*\/.*/\1-\2/p' fuzz/broken.txt)

.PHONY: fuzzers
fuzzers: $(FUZZERS:%=$(BUILD)/fuzz/fuzz_%) $(VARIANTS:%=$(BUILD)/fuzz/fuzz_%_broken)

$(BUILD)/fuzz/obj/%.o: %.c
	@mkdir -p $(@D)
	$(FUZZ_CC) $(subst fuzzer$(comma),fuzzer-no-link$(comma),$(FUZZ_FLAGS)) -std=gnu11 -w $(DEFS) -Isrc -Iplatform -Ifuzz $(LIB_CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/fuzz/fuzz_%: fuzz/fuzz_%.c fuzz/world.h $(FUZZ_OBJ)
	$(FUZZ_CC) $(FUZZ_FLAGS) -std=gnu11 $(WARN) $(DEFS) -Isrc -Iplatform -Ifuzz $(LIB_CFLAGS) $< $(FUZZ_OBJ) -o $@ $(LIB_LIBS)

define variant_rule
$(BUILD)/fuzz/fuzz_$(1)_broken: fuzz/broken.txt $(FUZZ_OBJ) fuzz/fuzz_$(firstword $(subst -, ,$(1))).c
	@mkdir -p $(BUILD)/fuzz/broken
	line="$$$$(grep '^$(firstword $(subst -, ,$(1))) $(lastword $(subst -, ,$(1))) ' fuzz/broken.txt)"; \
	file="$$$$(echo "$$$$line" | cut -d' ' -f3)"; \
	scripts/break.sh "$$$$line" $(BUILD)/fuzz/broken/$(1).c && \
	$(FUZZ_CC) $(FUZZ_FLAGS) -std=gnu11 -w $(DEFS) -Isrc -Iplatform -Ifuzz $(LIB_CFLAGS) \
		fuzz/fuzz_$(firstword $(subst -, ,$(1))).c $(BUILD)/fuzz/broken/$(1).c \
		$$$$(echo $(FUZZ_OBJ) | tr ' ' '\n' | grep -v "/$$$${file%.c}.o$$$$") \
		-o $$@ $(LIB_LIBS)
endef
$(foreach v,$(VARIANTS),$(eval $(call variant_rule,$(v))))

.PHONY: bench-slopes
bench-slopes: $(BUILD)/bench/bench_slopes
	$<

.PHONY: bench-config
bench-config: all
	scripts/bench-config.sh

.PHONY: bench-log
bench-log: $(BUILD)/bench/bench_log
	scripts/bench-log.sh

.PHONY: bench-pools
bench-pools: all $(BUILD)/bench/bench_pools
	scripts/bench-pools.sh

.PHONY: bench-place
bench-place: $(BUILD)/bench/bench_place
	$<

.PHONY: bench-overload
bench-overload: $(BUILD)/bench/bench_overload
	$<

.PHONY: bench-late-orders
bench-late-orders:
	scripts/bench-late-orders.sh 41e19cc

# Compares with the revision BASE.
BASE ?= 9a4bc26
.PHONY: bench-owner
bench-owner:
	scripts/bench-owner.sh $(BASE)
