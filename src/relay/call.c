#include "relay/call.h"

#include <strings.h>

static void header_clear(gpointer data);

static const char *const hop_by_hop_headers[] = {
	"Connection",	    "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Connection", "TE",	  "Proxy-Authorization",
	"Trailer",	    "Upgrade",	  "Transfer-Encoding",
};

bool bw_header_is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++)
		if (!strcasecmp(name, hop_by_hop_headers[i]))
			return true;
	return false;
}

static void header_clear(gpointer data)
{
	bw_header_t *h = data;

	g_free(h->name);
	g_free(h->value);
}

bw_call_t *bw_call_create(const char *target)
{
	bw_call_t *call = g_new0(bw_call_t, 1);

	call->target = g_strdup(target);
	call->body = g_string_new(NULL);
	call->answer.headers = g_array_new(FALSE, FALSE, sizeof(bw_header_t));
	g_array_set_clear_func(call->answer.headers, header_clear);
	call->answer.body = g_string_new(NULL);
	call->answer.length = UINT64_MAX;
	return call;
}

void bw_call_destroy(bw_call_t *call)
{
	g_array_free(call->answer.headers, TRUE);
	g_string_free(call->answer.body, TRUE);
	g_string_free(call->body, TRUE);
	curl_slist_free_all(call->headers);
	g_free(call->key_text);
	g_free(call->method);
	g_free(call->target);
	g_free(call);
}

void bw_answer_clear(bw_answer_t *answer)
{
	g_array_set_size(answer->headers, 0);
	g_string_truncate(answer->body, 0);
	answer->status = 0;
	answer->length = UINT64_MAX;
	answer->received = 0;
	answer->complete = false;
	answer->truncated = false;
}

void bw_answer_add_header(bw_answer_t *answer, const char *name,
			  const char *value)
{
	bw_header_t h = { .name = g_strdup(name), .value = g_strdup(value) };

	g_array_append_val(answer->headers, h);
}
