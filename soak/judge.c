#include "judge.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include <glib.h>

/** An acknowledged cancel takes effect within this time, by the rules. */
#define CANCEL_MS 3000
/** A run is stopped within this time, as the nodes' settings say. */
#define STOP_MS 400
/** An accepted job can be asked for so long after the answer. */
#define VISIBLE_MS 3000
/** A start so long after a job was shown as completed is one too many. */
#define COMPLETED_SLACK_MS 1000
/** Crashes of workers under a task after which its job may be given up. */
#define CRASHES_MAX 2U
/** Failures that are reported; more of them say nothing new. */
#define REPORTED_MAX 20U

/** An end "done" of a run. */
typedef struct done {
	soak_run_t run;
	int64_t at_ms;
	bool noted;
	int64_t next_start_ms; /**< Of the task's next run; 0: none. */
} done_t;

typedef struct task {
	GArray *running; /**< soak_run_t on workers that are up. */
	GArray *dones; /**< done_t; more than one if the first was lost. */
	uint32_t failed; /**< Ends "failed" that were taken note of. */
	uint32_t failed_any;
	uint32_t crashes; /**< Of workers under its runs. */
} task_t;

/** What is known of a job. */
typedef struct job {
	const soak_job_t *plan;
	uint32_t replies[SOAK_REPLY_NOT_SENT + 1];
	uint32_t pending; /**< Tries without an answer so far. */
	bool given_up;
	int64_t accepted_ms; /**< 0: not yet. */
	bool cancelling;
	int64_t cancelled_ms; /**< When that was acknowledged. */
	int64_t completed_ms; /**< When first shown so. */
	bool ended; /**< Shown in a state that is final. */
	uint32_t starts;
	bool refusal_reported;
	task_t *tasks[SOAK_STEPS_MAX];
} job_t;

struct soak_judge {
	const soak_plan_t *plan;
	const soak_contact_t *contact;
	soak_record_t *record;
	job_t *jobs;
	uint32_t failures;
	char *first_job;
	GString *report;
};

static const char *const check_names[SOAK_CHECK_COUNT] = {
	[SOAK_REFUSED_NOT_RUN] = "refused-not-run",
	[SOAK_ACCEPTED_NOT_LOST] = "accepted-not-lost",
	[SOAK_ONE_RUN_AT_A_TIME] = "one-run-at-a-time",
	[SOAK_STATE_IS_TRUE] = "state-is-true",
	[SOAK_CANCELLED_IS_GONE] = "cancelled-is-gone",
	[SOAK_ORDER] = "order",
	[SOAK_AS_ASKED] = "as-asked",
	[SOAK_CAPACITY] = "capacity",
	[SOAK_ATTEMPTS] = "attempts",
	[SOAK_KEYS] = "keys",
	[SOAK_KEEPS_RUNNING] = "keeps-running",
};

static void add_tasks(job_t *job)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < job->plan->step_count; i++) {
		job->tasks[i] = g_new0(task_t, job->plan->steps[i].task_count);
		for (k = 0; k < job->plan->steps[i].task_count; k++) {
			task_t *task = &job->tasks[i][k];

			task->running =
				g_array_new(FALSE, FALSE, sizeof(soak_run_t));
			task->dones = g_array_new(FALSE, FALSE, sizeof(done_t));
		}
	}
}

soak_judge_t *soak_judge_create(const soak_plan_t *plan,
				const soak_contact_t *contact,
				soak_record_t *record)
{
	soak_judge_t *j = g_new0(soak_judge_t, 1);
	uint32_t i;

	j->plan = plan;
	j->contact = contact;
	j->record = record;
	j->report = g_string_new(NULL);
	j->jobs = g_new0(job_t, plan->jobs->len);
	for (i = 0; i < plan->jobs->len; i++) {
		j->jobs[i].plan = &g_array_index(plan->jobs, soak_job_t, i);
		add_tasks(&j->jobs[i]);
	}
	return j;
}

void soak_judge_destroy(soak_judge_t *j)
{
	uint32_t i;
	uint32_t step;
	uint32_t k;

	for (i = 0; i < j->plan->jobs->len; i++) {
		const job_t *job = &j->jobs[i];

		for (step = 0; step < job->plan->step_count; step++) {
			for (k = 0; k < job->plan->steps[step].task_count;
			     k++) {
				g_array_free(job->tasks[step][k].running, TRUE);
				g_array_free(job->tasks[step][k].dones, TRUE);
			}
			g_free(job->tasks[step]);
		}
	}
	g_free(j->jobs);
	g_free(j->first_job);
	g_string_free(j->report, TRUE);
	g_free(j);
}

void soak_judge_fail(soak_judge_t *j, soak_check_t check, const char *job,
		     const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	soak_record(j->record, "check failed check=%s job=%s %s",
		    check_names[check], job, text);
	if (j->failures++ < REPORTED_MAX)
		g_string_append_printf(j->report, "FAILED %s: job %s: %s\n",
				       check_names[check], job, text);
	if (!j->first_job && strcmp(job, "-") != 0)
		j->first_job = g_strdup(job);
	g_free(text);
}

static job_t *find_job(soak_judge_t *j, const soak_job_t *job)
{
	return &j->jobs[job->index];
}

static task_t *find_task(soak_judge_t *j, const bw_task_name_t *name)
{
	const soak_job_t *plan = soak_plan_find(j->plan, name->job);

	if (!plan || name->occurrence != 0 || name->step >= plan->step_count ||
	    name->index >= plan->steps[name->step].task_count)
		return NULL;
	return &j->jobs[plan->index].tasks[name->step][name->index];
}

/*
 * A job whose tries were all turned away never runs. A try that was not sent
 * says nothing; one without an answer may have been accepted.
 */
static void check_refused(soak_judge_t *j, job_t *job)
{
	if (job->refusal_reported || !job->given_up || job->starts == 0 ||
	    job->pending > 0 || job->replies[SOAK_REPLY_REFUSED] == 0 ||
	    job->replies[SOAK_REPLY_ACCEPTED] > 0 ||
	    job->replies[SOAK_REPLY_UNKNOWN] > 0)
		return;
	job->refusal_reported = true;
	soak_judge_fail(j, SOAK_REFUSED_NOT_RUN, job->plan->id,
			"all %u tries were turned away, and %u runs started",
			job->replies[SOAK_REPLY_REFUSED], job->starts);
}

void soak_judge_submitted(soak_judge_t *j, const soak_job_t *job)
{
	find_job(j, job)->pending++;
}

void soak_judge_answered(soak_judge_t *j, const soak_job_t *plan,
			 soak_reply_t reply, int64_t now_ms)
{
	job_t *job = find_job(j, plan);

	job->pending--;
	job->replies[reply]++;
	if (reply == SOAK_REPLY_ACCEPTED && job->accepted_ms == 0)
		job->accepted_ms = now_ms;
}

void soak_judge_given_up(soak_judge_t *j, const soak_job_t *plan)
{
	job_t *job = find_job(j, plan);

	job->given_up = true;
	check_refused(j, job);
}

void soak_judge_cancelling(soak_judge_t *j, const soak_job_t *job)
{
	find_job(j, job)->cancelling = true;
}

void soak_judge_cancelled(soak_judge_t *j, const soak_job_t *job,
			  int64_t now_ms)
{
	if (find_job(j, job)->cancelled_ms == 0)
		find_job(j, job)->cancelled_ms = now_ms;
}

static uint32_t count_not_done(const job_t *job)
{
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < job->plan->step_count; i++)
		for (k = 0; k < job->plan->steps[i].task_count; k++)
			if (job->tasks[i][k].dones->len == 0)
				count++;
	return count;
}

static bool may_fail(const job_t *job)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < job->plan->step_count; i++)
		for (k = 0; k < job->plan->steps[i].task_count; k++)
			if (job->tasks[i][k].failed_any >= SOAK_ATTEMPTS_MAX ||
			    job->tasks[i][k].crashes >= CRASHES_MAX)
				return true;
	return false;
}

static void check_completed(soak_judge_t *j, job_t *job, int64_t now_ms)
{
	uint32_t left = count_not_done(job);

	if (job->completed_ms == 0)
		job->completed_ms = now_ms;
	if (left > 0)
		soak_judge_fail(j, SOAK_STATE_IS_TRUE, job->plan->id,
				"shown as completed, %u tasks have not ended "
				"done",
				left);
}

static void check_unknown_job(soak_judge_t *j, const job_t *job, uint32_t node,
			      int64_t now_ms)
{
	if (job->accepted_ms == 0 || job->cancelling ||
	    now_ms - job->accepted_ms < VISIBLE_MS ||
	    !soak_contact_in_touch(j->contact, node, now_ms))
		return;
	soak_judge_fail(j, SOAK_ACCEPTED_NOT_LOST, job->plan->id,
			"node-%u knows no such job %" PRId64
			" ms after it was accepted",
			node, now_ms - job->accepted_ms);
}

void soak_judge_shown(soak_judge_t *j, const soak_job_t *plan, uint32_t node,
		      const char *state, int64_t now_ms)
{
	job_t *job = find_job(j, plan);

	if (!state) {
		check_unknown_job(j, job, node, now_ms);
		return;
	}
	if (!strcmp(state, "completed"))
		check_completed(j, job, now_ms);
	if (!strcmp(state, "cancelled") && !job->cancelling)
		soak_judge_fail(j, SOAK_STATE_IS_TRUE, plan->id,
				"shown as cancelled, nobody has cancelled it");
	if (!strcmp(state, "failed") && !may_fail(job))
		soak_judge_fail(j, SOAK_STATE_IS_TRUE, plan->id,
				"shown as failed without cause");
	if (!strcmp(state, "completed") || !strcmp(state, "cancelled") ||
	    !strcmp(state, "failed"))
		job->ended = true;
}

void soak_job_text(const soak_job_t *job, char *out, size_t bytes)
{
	g_snprintf(out, bytes, "job %s of seed", job->id);
}

static void check_order(soak_judge_t *j, const job_t *job,
			const soak_run_t *run)
{
	uint32_t before = run->task.step - 1;
	uint32_t k;

	if (run->task.step == 0)
		return;
	for (k = 0; k < job->plan->steps[before].task_count; k++)
		if (job->tasks[before][k].dones->len == 0)
			soak_judge_fail(j, SOAK_ORDER, run->task.job,
					"step %u starts and task %u of step %u "
					"has not ended done",
					run->task.step, k, before);
}

static void fail_after_done(soak_judge_t *j, const done_t *done, int64_t at_ms)
{
	soak_judge_fail(j, SOAK_ONE_RUN_AT_A_TIME, done->run.task.job,
			"task %u.%u starts %" PRId64 " ms after run %u ended "
			"done, which was taken note of",
			done->run.task.step, done->run.task.index,
			at_ms - done->at_ms, done->run.number);
}

/*
 * Runs that are being stopped run still. A start after an end "done" is a fault
 * only if that end is taken note of, before or later.
 */
static void check_single(soak_judge_t *j, task_t *task, const soak_run_t *run,
			 int64_t now_ms)
{
	guint i;

	if (task->running->len > 0)
		soak_judge_fail(
			j, SOAK_ONE_RUN_AT_A_TIME, run->task.job,
			"task %u.%u starts as run %u and runs as run "
			"%u",
			run->task.step, run->task.index, run->number,
			g_array_index(task->running, soak_run_t, 0).number);
	for (i = 0; i < task->dones->len; i++) {
		done_t *done = &g_array_index(task->dones, done_t, i);

		if (done->next_start_ms == 0)
			done->next_start_ms = now_ms;
		if (done->noted)
			fail_after_done(j, done, now_ms);
	}
}

static void check_late_start(soak_judge_t *j, const job_t *job,
			     const soak_run_t *run, int64_t now_ms)
{
	if (!soak_contact_in_touch(j->contact, run->node, now_ms))
		return;
	if (job->cancelled_ms > 0 && now_ms - job->cancelled_ms > CANCEL_MS)
		soak_judge_fail(j, SOAK_CANCELLED_IS_GONE, run->task.job,
				"node-%u starts task %u.%u %" PRId64
				" ms after the cancel was acknowledged",
				run->node, run->task.step, run->task.index,
				now_ms - job->cancelled_ms);
	if (job->completed_ms > 0 &&
	    now_ms - job->completed_ms > COMPLETED_SLACK_MS)
		soak_judge_fail(j, SOAK_ONE_RUN_AT_A_TIME, run->task.job,
				"node-%u starts task %u.%u %" PRId64
				" ms after the job was shown as completed",
				run->node, run->task.step, run->task.index,
				now_ms - job->completed_ms);
}

static bool was_submitted(const job_t *job)
{
	uint32_t tries = job->pending;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(job->replies); i++)
		tries += job->replies[i];
	return tries > job->replies[SOAK_REPLY_NOT_SENT];
}

void soak_judge_started(soak_judge_t *j, const soak_run_t *run,
			const char *text, int64_t now_ms)
{
	const soak_job_t *plan = soak_plan_find(j->plan, run->task.job);
	task_t *task = find_task(j, &run->task);
	char asked[64];
	job_t *job;

	if (!task || !was_submitted(&j->jobs[plan->index])) {
		soak_judge_fail(j, SOAK_AS_ASKED, run->task.job,
				"task %u.%u was not submitted", run->task.step,
				run->task.index);
		return;
	}
	job = find_job(j, plan);
	job->starts++;
	soak_job_text(plan, asked, sizeof(asked));
	if (g_strcmp0(text, asked) != 0)
		soak_judge_fail(j, SOAK_AS_ASKED, plan->id,
				"task %u.%u starts with another text",
				run->task.step, run->task.index);
	if (task->failed >= SOAK_ATTEMPTS_MAX)
		soak_judge_fail(j, SOAK_ATTEMPTS, plan->id,
				"task %u.%u starts after %u failed runs",
				run->task.step, run->task.index, task->failed);
	check_order(j, job, run);
	check_single(j, task, run, now_ms);
	check_late_start(j, job, run, now_ms);
	check_refused(j, job);
	g_array_append_val(task->running, *run);
}

static void forget_run(task_t *task, const soak_run_t *run)
{
	guint i;

	for (i = 0; i < task->running->len; i++) {
		const soak_run_t *other =
			&g_array_index(task->running, soak_run_t, i);

		if (other->life != run->life || other->number != run->number)
			continue;
		g_array_remove_index_fast(task->running, i);
		return;
	}
}

void soak_judge_ended(soak_judge_t *j, const soak_run_t *run, const char *how,
		      int64_t now_ms)
{
	task_t *task = find_task(j, &run->task);

	if (!task)
		return;
	forget_run(task, run);
	if (!strcmp(how, "done")) {
		done_t done = { .run = *run, .at_ms = now_ms };

		g_array_append_val(task->dones, done);
	}
	if (!strcmp(how, "failed"))
		task->failed_any++;
	if (!strcmp(how, "gone"))
		task->crashes++;
}

void soak_judge_noted(soak_judge_t *j, const soak_run_t *run, const char *how)
{
	task_t *task = find_task(j, &run->task);
	guint i;

	if (!task)
		return;
	if (!strcmp(how, "failed"))
		task->failed++;
	for (i = 0; i < task->dones->len; i++) {
		done_t *done = &g_array_index(task->dones, done_t, i);

		if (done->run.life != run->life ||
		    done->run.number != run->number || done->noted)
			continue;
		done->noted = true;
		if (done->next_start_ms > 0)
			fail_after_done(j, done, done->next_start_ms);
	}
}

static bool job_settled(const job_t *job)
{
	if (job->pending > 0)
		return false;
	if (job->cancelling)
		return job->cancelled_ms > 0;
	return job->accepted_ms > 0 ? job->ended : job->given_up;
}

bool soak_judge_settled(const soak_judge_t *j)
{
	uint32_t i;

	for (i = 0; i < j->plan->jobs->len; i++)
		if (!job_settled(&j->jobs[i]))
			return false;
	return true;
}

static uint32_t count_running(const job_t *job)
{
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < job->plan->step_count; i++)
		for (k = 0; k < job->plan->steps[i].task_count; k++)
			count += job->tasks[i][k].running->len;
	return count;
}

static void finish_job(soak_judge_t *j, job_t *job, int64_t now_ms)
{
	bool lost = job->accepted_ms > 0 && !job->cancelling && !job->ended;
	uint32_t running = count_running(job);

	check_refused(j, job);
	if (lost)
		soak_judge_fail(j, SOAK_ACCEPTED_NOT_LOST, job->plan->id,
				"accepted %" PRId64 " ms ago, %u tasks have "
				"not ended done, no end is shown",
				now_ms - job->accepted_ms, count_not_done(job));
	if (job->cancelled_ms > 0 && running > 0 &&
	    now_ms - job->cancelled_ms > CANCEL_MS + STOP_MS &&
	    now_ms - soak_contact_last_ms(j->contact) >
		    SOAK_CONTACT_MS + CANCEL_MS + STOP_MS)
		soak_judge_fail(j, SOAK_CANCELLED_IS_GONE, job->plan->id,
				"%u tasks run still %" PRId64
				" ms after the cancel was acknowledged",
				running, now_ms - job->cancelled_ms);
}

void soak_judge_finish(soak_judge_t *j, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < j->plan->jobs->len; i++)
		finish_job(j, &j->jobs[i], now_ms);
}

uint32_t soak_judge_failures(const soak_judge_t *j)
{
	return j->failures;
}

const char *soak_judge_first_job(const soak_judge_t *j)
{
	return j->first_job;
}

const char *soak_judge_report(const soak_judge_t *j)
{
	return j->report->str;
}
