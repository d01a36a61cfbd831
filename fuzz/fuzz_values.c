/*
 * Fuzzes the parsers of what other programs write: registrations of workers,
 * submissions, configurations, waves. Any bytes give a value or an error, and
 * what is read of a registration is within its ranges.
 */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/address.h"
#include "platform.h"
#include "world.h"

/** Largest amount of a resource, and the last start time, that may be read. */
#define AMOUNT_MAX  1000000000
#define UNIX_MS_MAX 253402300799999
#define CHANGES_MAX 4U

#define KEY "servers/w1"

static const char sound[] =
	"{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"zone\":\"z\","
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	"\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
	"\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"machine\":\"m-1\","
	"\"born\":1700000000000,\"clock_ms\":482113,\"seq\":4}";

static const char *const members[] = {
	"service",  "address", "zone",	"version", "slots",
	"state",    "labels",  "born",	"machine", "capacity",
	"clock_ms", "seq",     "other",
};

static const char *const values[] = {
	"0",
	"-1",
	"1e308",
	"-1e308",
	"9223372036854775807",
	"1000000001",
	"253402300800000",
	"8.5",
	"\"\"",
	"\"x\"",
	"\"a b\"",
	"\"a\\nb\"",
	"\"10.0.0.1:0\"",
	"\"10.0.0.1:65536\"",
	"\"10.0.0.1:80\"",
	"[]",
	"[1]",
	"[\"a\",\"b c\"]",
	"[[[[[[[[]]]]]]]]",
	"{}",
	"{\"cpu\":-5}",
	"{\"cpu\":1000000001,\"mem_mb\":1}",
	"{\"cpu\":1,\"mem_mb\":9007199254740993}",
	"{\"cpu\":1e300,\"mem_mb\":1}",
	"{\"cpu\":1,\"mem_mb\":2.5,\"gpu\":1000000000}",
	"null",
	"true",
	"\"draining\"",
};

static void check_amount(int64_t amount)
{
	FUZZ_ASSERT(amount >= 0 && amount <= AMOUNT_MAX,
		    "an amount is within its range");
}

static void check_registration(const bw_registration_t *r)
{
	char ip[46];
	uint16_t port;
	uint32_t i;

	check_amount(r->info.capacity.cpu_millis);
	check_amount(r->info.capacity.mem_mb);
	check_amount(r->info.capacity.gpus);
	FUZZ_ASSERT(r->info.started_ms >= 0 &&
			    r->info.started_ms <= UNIX_MS_MAX,
		    "a start time is within its range");
	FUZZ_ASSERT(bw_address_split(r->address, ip, &port) == BW_OK,
		    "a worker has an address");
	FUZZ_ASSERT(r->pool[0] != '\0', "a worker has a pool");
	for (i = 0; i < r->info.label_count; i++)
		FUZZ_ASSERT(!strpbrk(r->labels[i], " \r\n"),
			    "a label is a name");
}

static void parse_registration(const char *text, size_t bytes)
{
	bw_registration_t *r;

	if (platform_value_format.parse_registration(KEY, text, bytes, &r) !=
	    BW_OK)
		return;
	check_registration(r);
	bw_registration_free(r);
}

static void check_tenant(const bw_tenant_t *tenant)
{
	char **key;

	FUZZ_ASSERT(tenant->name[0] != '\0' && !strpbrk(tenant->name, " \r\n"),
		    "a tenant has a name");
	for (key = tenant->keys; *key; key++)
		FUZZ_ASSERT((*key)[0] != '\0' && !strpbrk(*key, " \r\n"),
			    "a key can be sent in a header");
	FUZZ_ASSERT(tenant->terms.weight > 0.0, "a weight is above 0");
	check_amount(tenant->terms.cap.cpu_millis);
	check_amount(tenant->terms.cap.mem_mb);
	check_amount(tenant->terms.cap.gpus);
}

static void check_config(const bw_fleet_config_t *config)
{
	uint32_t i;

	for (i = 0; i < config->tenant_count; i++)
		check_tenant(&config->tenants[i]);
}

static void parse_others(const char *text, size_t bytes)
{
	bw_fleet_config_t *config;
	bw_wave_order_t *wave;
	bw_job_spec_t *spec;

	if (platform_value_format.parse_config(text, bytes, &config) == BW_OK) {
		check_config(config);
		bw_fleet_config_free(config);
	}
	if (platform_value_format.parse_wave(text, bytes, &wave) == BW_OK)
		bw_wave_order_free(wave);
	if (platform_parse_job(text, bytes, &spec) == BW_OK)
		bw_job_spec_free(spec);
}

static void parse_changed_entry(choices_t *c)
{
	json_t *root = json_loads(sound, 0, NULL);
	uint32_t changes = choose(c, CHANGES_MAX);
	char *text;
	uint32_t i;

	for (i = 0; i < changes; i++) {
		const char *member = members[choose(c, G_N_ELEMENTS(members))];
		const char *value = values[choose(c, G_N_ELEMENTS(values))];

		json_object_set_new(root, member,
				    json_loads(value, JSON_DECODE_ANY, NULL));
	}
	text = json_dumps(root, 0);
	parse_registration(text, strlen(text));
	free(text);
	json_decref(root);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	choices_t c = { data, size };

	parse_registration((const char *)data, size);
	parse_others((const char *)data, size);
	parse_changed_entry(&c);
	return 0;
}
