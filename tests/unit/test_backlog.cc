/* Tests of the admission of jobs, with forecasts that are made by hand. */
#include <gtest/gtest.h>

#include <cmath>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mb_backlog_meter.h"
}

static const uint64_t MS = 1000;
static const uint64_t SECOND = 1000000;
static const uint64_t service = 11;

/* A scheduler that admits. Unless a test says otherwise, the fleet finishes 10
   processors' worth of work, and a task of one processor finds no room. */
struct Admission {
    uint64_t now_us = 1000 * SECOND;
    mb_backlog_t backlog;
    mb_backlog_forecast_t forecast;
    uint64_t last_id = 0;

    static uint64_t read_clock(void *context)
    {
        return static_cast<Admission *>(context)->now_us;
    }
    Admission()
    {
        mb_clock_t clock = {read_clock, this};
        mb_backlog_init(&backlog, &clock);
        mb_backlog_forecast_init(&forecast);
        forecast.token = 1;
    }
    ~Admission()
    {
        mb_backlog_finish(&backlog);
        mb_backlog_forecast_finish(&forecast);
    }
    /* Sets the work of a class in jobs of `size_ms` each. */
    void set_work(uint32_t priority, uint64_t work_ms, uint64_t size_ms = 4000)
    {
        mb_backlog_class_t *of =
            mb_backlog_get_class(forecast.classes, service, priority);
        of->rate_milli = of->urgent_rate_milli = 10000;
        of->waiting[0] = {1000, 100, 0};
        of->work_ms[mb_backlog_size_class(size_ms)] = work_ms;
    }
    void publish()
    {
        forecast.published_ms = now_us / MS;
        mb_backlog_set_forecast(&backlog, &forecast);
    }
    /* Returns a new job of 4 tasks of one processor and one second, which is
       worth something for 6 s. */
    mb_backlog_job_t job(uint32_t priority = 1, uint64_t queue = 21)
    {
        mb_backlog_job_t made = {};
        char text[MB_DAG_ID_LEN + 1];
        (void)snprintf(text, sizeof(text), "%016zx", (size_t)++last_id);
        EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(text), &made.id));
        made.service = service;
        made.queue = queue;
        made.priority = priority;
        made.work_ms = 4000;
        made.path_ms = 1000;
        made.stretch_milli = 1000;
        made.latency_objective_ms = 1000;
        made.widest = {1000, 100, 0};
        made.judged = true;
        return made;
    }
    mb_backlog_decision_t decide(const mb_backlog_job_t &of)
    {
        return mb_backlog_decide(&backlog, &of, now_us);
    }
    /* Submits a job as a client does. */
    mb_backlog_decision_t submit(const mb_backlog_job_t &of)
    {
        mb_backlog_decision_t decision = decide(of);
        if (decision.admitted) {
            mb_backlog_note_admitted(&backlog, &of, &decision);
        }
        else {
            mb_backlog_note_rejected(&backlog, &of);
        }
        return decision;
    }
    /* Has queues use up their share. */
    void use_share(const std::vector<mb_backlog_job_t> &of)
    {
        for (mb_backlog_job_t each : of) {
            each.work_ms = 10000000;
            EXPECT_TRUE(submit(each).by_share);
        }
    }
    bool rejects(const mb_backlog_job_t &of)
    {
        return !decide(of).admitted;
    }
};

/* Guards against jobs that are admitted although they can't be completed in
   time, and against ones that are rejected although they can. */
TEST(Backlog, RejectsWhatIsCompletedTooLate)
{
    Admission admission;
    admission.set_work(1, 60000);
    admission.publish();
    EXPECT_FALSE(admission.rejects(admission.job()));
    admission.set_work(1, 400000);
    admission.publish();
    admission.use_share({admission.job()});
    mb_backlog_decision_t decision = admission.submit(admission.job());
    EXPECT_FALSE(decision.admitted);
    EXPECT_GT(decision.expected_ms, 20000u);
    EXPECT_EQ(decision.worth_ms, 6000u);
    EXPECT_GE(decision.retry_after_s, 1u);
    EXPECT_LE(decision.retry_after_s, 6u);
}

/* Guards against rejections by a forecast that says nothing of the present:
   the owner is gone, can't write, or has been replaced. */
TEST(Backlog, AdmitsWithoutARecentForecast)
{
    Admission admission;
    admission.set_work(1, 4000000);
    EXPECT_FALSE(admission.rejects(admission.job()));
    admission.publish();
    admission.use_share({admission.job()});
    EXPECT_TRUE(admission.rejects(admission.job()));
    mb_backlog_job_t late = admission.job();
    EXPECT_TRUE(mb_backlog_decide(&admission.backlog, &late,
                                  admission.now_us - 4 * SECOND)
                    .admitted);
    admission.now_us += 2900 * MS;
    EXPECT_TRUE(admission.rejects(admission.job()));
    admission.now_us += 200 * MS;
    EXPECT_FALSE(admission.rejects(admission.job()));
    admission.publish();
    EXPECT_TRUE(admission.rejects(admission.job()));
    mb_backlog_note_owner(&admission.backlog, 2);
    EXPECT_FALSE(admission.rejects(admission.job()));
    admission.publish();
    EXPECT_FALSE(admission.rejects(admission.job()));
}

/* Guards against a forecast that took seconds to get through the log and
   counts as new. */
TEST(Backlog, AgeIncludesTheDelayOfTheLog)
{
    Admission admission;
    admission.set_work(1, 4000000);
    admission.publish();
    admission.use_share({admission.job()});
    EXPECT_TRUE(admission.rejects(admission.job()));
    admission.forecast.published_ms = admission.now_us / MS + 1000;
    admission.now_us += 4500 * MS;
    mb_backlog_set_forecast(&admission.backlog, &admission.forecast);
    EXPECT_FALSE(admission.rejects(admission.job()));
}

/* Guards against rejections before it is known how fast work is finished. */
TEST(Backlog, AdmitsWhileTheRateIsUnknown)
{
    Admission admission;
    admission.set_work(0, 4000000);
    admission.set_work(1, 4000000);
    g_array_index(admission.forecast.classes, mb_backlog_class_t, 1)
        .urgent_rate_milli = 0;
    admission.publish();
    EXPECT_FALSE(admission.rejects(admission.job()));
}

/* Guards against a job that is rejected while workers have room for it. */
TEST(Backlog, AdmitsWhileThereIsRoom)
{
    Admission admission;
    admission.set_work(1, 4000000);
    mb_backlog_class_t *of =
        mb_backlog_get_class(admission.forecast.classes, service, 1);
    of->waiting[0] = {4000, 100, 0};
    admission.publish();
    EXPECT_FALSE(admission.submit(admission.job()).by_share);
    mb_backlog_job_t wide = admission.job();
    wide.widest.cpu_milli = 5000;
    EXPECT_TRUE(admission.submit(wide).by_share);
    EXPECT_TRUE(admission.rejects([&] {
        mb_backlog_job_t next = wide;
        next.id = admission.job().id;
        return next;
    }()));
    wide = admission.job();
    wide.widest = {5000, 50, 0};
    EXPECT_FALSE(admission.rejects(wide));
    wide = admission.job();
    wide.widest.cpu_milli = 5000;
    wide.widest_best_effort = true;
    EXPECT_FALSE(admission.rejects(wide));
}

/* Guards against services and recurring jobs that are judged by a backlog of
   batch work, and against a repeat of an admitted job that is rejected. */
TEST(Backlog, NeverJudgesServicesAndAdmittedJobs)
{
    Admission admission;
    mb_dag_step_t steps[2] = {};
    mb_dag_spec_t spec = {};
    steps[0].count = 4;
    steps[0].size.cpu_milli = 2000;
    steps[0].estimate_ms = 500;
    steps[1] = steps[0];
    steps[1].depends_on = 1;
    spec.step_count = 2;
    spec.steps = steps;
    mb_backlog_job_t job = mb_backlog_job(&spec);
    EXPECT_TRUE(job.judged);
    EXPECT_EQ(job.work_ms, 8000u);
    EXPECT_EQ(job.path_ms, 1000u);
    spec.occurrences = 3;
    EXPECT_FALSE(mb_backlog_job(&spec).judged);
    spec.occurrences = 0;
    steps[1].long_running = true;
    EXPECT_FALSE(mb_backlog_job(&spec).judged);

    admission.set_work(1, 4000000);
    admission.publish();
    admission.use_share({admission.job()});
    job = admission.job();
    mb_backlog_note_stored(&admission.backlog, &job);
    EXPECT_FALSE(admission.rejects(job));
    mb_backlog_job_t mine = admission.job();
    mb_backlog_decision_t admitted = {};
    mb_backlog_note_admitted(&admission.backlog, &mine, &admitted);
    EXPECT_FALSE(admission.rejects(mine));
    mb_backlog_note_withdrawn(&admission.backlog, mine.id);
    EXPECT_TRUE(admission.rejects(mine));
}

/* Guards against the rejection of a job that may still be stored: its client
   has repeated the submission, and only one of the two appends has failed. The
   work of such a job counts once. */
TEST(Backlog, RepeatedSubmissionIsKnownUntilAllAppendsFail)
{
    Admission admission;
    admission.set_work(1, 4000000);
    admission.publish();
    admission.use_share({admission.job()});
    mb_backlog_job_t mine = admission.job();
    mb_backlog_decision_t admitted = {};
    uint64_t ahead_ms = admission.decide(admission.job()).expected_ms;
    mb_backlog_note_admitted(&admission.backlog, &mine, &admitted);
    uint64_t once_ms = admission.decide(admission.job()).expected_ms;
    mb_backlog_note_admitted(&admission.backlog, &mine, &admitted);
    EXPECT_GT(once_ms, ahead_ms);
    EXPECT_EQ(admission.decide(admission.job()).expected_ms, once_ms);
    mb_backlog_note_withdrawn(&admission.backlog, mine.id);
    EXPECT_FALSE(admission.rejects(mine));
    mb_backlog_note_withdrawn(&admission.backlog, mine.id);
    EXPECT_TRUE(admission.rejects(mine));
}

/* Guards against small and urgent jobs that are rejected because of work that
   comes after them, and against urgent ones that return after others. */
TEST(Backlog, SmallAndUrgentJobsHaveLessAhead)
{
    Admission admission;
    admission.set_work(0, 20000);
    admission.set_work(1, 400000);
    admission.publish();
    admission.use_share({admission.job(1)});
    EXPECT_TRUE(admission.rejects(admission.job(1)));
    EXPECT_FALSE(admission.rejects(admission.job(0)));
    mb_backlog_job_t small = admission.job(1);
    small.work_ms = 1000;
    EXPECT_FALSE(admission.rejects(small));
    admission.set_work(0, 400000);
    admission.publish();
    admission.use_share({admission.job(0, 22)});
    uint32_t urgent_s = 0;
    uint32_t batch_s = 0;
    for (int i = 0; i < 50; i++) {
        mb_backlog_job_t urgent = admission.job(0, 22);
        mb_backlog_job_t batch = admission.job(1);
        urgent.latency_objective_ms = batch.latency_objective_ms = 60000;
        urgent.work_ms = batch.work_ms = 100000;
        admission.set_work(0, 3600000);
        admission.publish();
        urgent_s += admission.submit(urgent).retry_after_s;
        batch_s += admission.submit(batch).retry_after_s;
    }
    EXPECT_GT(urgent_s, 0u);
    EXPECT_GT(batch_s, urgent_s);
}

/* Guards against schedulers that fill the fleet several times over between two
   forecasts, each with what the others admit as well. */
TEST(Backlog, CountsWhatAllSchedulersAdmit)
{
    Admission admissions[3];
    uint32_t admitted = 0;
    for (Admission &admission : admissions) {
        admission.set_work(1, 20000);
        admission.publish();
    }
    for (uint64_t i = 0; i < 300; i++) {
        mb_backlog_job_t job = admissions[0].job();
        mb_backlog_decision_t decision = admissions[i % 3].submit(job);
        admitted += decision.admitted;
        for (Admission &admission : admissions) {
            admission.now_us += 3 * MS;
            if (decision.admitted) {
                mb_backlog_note_stored(&admission.backlog, &job);
            }
        }
    }
    /* As many as take 7.5 s with 10 processors, less what is ahead and the
       critical path, and one by the share of each scheduler. */
    EXPECT_GT(admitted, 10u);
    EXPECT_LT(admitted, 25u);
    /* The next forecast contains them. */
    admissions[0].publish();
    EXPECT_FALSE(admissions[0].rejects(admissions[0].job()));
}

/* Guards against an answer that changes from job to job near the bound. */
TEST(Backlog, RejectsUntilTheBacklogIsBelowTheLowerBound)
{
    Admission admission;
    auto rejects_with = [&admission](uint64_t work_ms) {
        admission.set_work(1, work_ms);
        admission.publish();
        return !admission.submit(admission.job()).admitted;
    };
    EXPECT_FALSE(rejects_with(55000)); /* 5.5 s + 1 s */
    admission.set_work(1, 400000);
    admission.publish();
    admission.use_share({admission.job()});
    admission.now_us += SECOND;
    EXPECT_TRUE(rejects_with(200000));
    EXPECT_TRUE(rejects_with(55000));
    /* Nor does a rejected job change it that was let in because no read of the
       log confirmed in time that it is not stored. */
    mb_backlog_job_t unconfirmed = admission.job();
    mb_backlog_decision_t rejected = admission.decide(unconfirmed);
    mb_backlog_note_admitted(&admission.backlog, &unconfirmed, &rejected);
    EXPECT_TRUE(admission.rejects(admission.job()));
    mb_backlog_note_withdrawn(&admission.backlog, unconfirmed.id);
    admission.publish();
    EXPECT_TRUE(rejects_with(55000));
    EXPECT_FALSE(rejects_with(45000));
    EXPECT_FALSE(rejects_with(55000));

    /* The same for a large job, which is worth something for 60 s. */
    mb_backlog_job_t large = admission.job(1, 22);
    large.work_ms = 100000;
    large.latency_objective_ms = 19000;
    admission.use_share({large});
    large.id = admission.job().id;
    admission.set_work(1, 600000); /* 60 s + 10 s */
    admission.publish();
    EXPECT_FALSE(admission.rejects(large));
    mb_backlog_note_rejected(&admission.backlog, &large);
    EXPECT_TRUE(admission.rejects(large));
}

/* Guards against a margin that hides an overload: jobs that were expected to
   be in time have become worthless. */
TEST(Backlog, LeavesNoMarginOnceJobsAreOverdue)
{
    Admission admission;
    admission.set_work(1, 400000);
    admission.publish();
    admission.use_share({admission.job(1, 22)});
    admission.set_work(1, 55000);
    mb_backlog_class_t *of =
        mb_backlog_get_class(admission.forecast.classes, service, 1);
    of->overdue_size = mb_backlog_size_class(8000);
    admission.publish();
    EXPECT_FALSE(admission.rejects(admission.job(1, 22)));
    of->overdue_size = mb_backlog_size_class(4000);
    admission.publish();
    EXPECT_TRUE(admission.rejects(admission.job(1, 22)));
}

/* Guards against wrong decisions about queues whose declared run times are far
   off. */
TEST(Backlog, CorrectsDeclaredTimes)
{
    Admission admission;
    mb_backlog_ratio_t ratio = {21, 2500};
    admission.set_work(1, 140000); /* 14 s */
    admission.publish();
    mb_backlog_job_t job = admission.job();
    job.latency_objective_ms = 0;
    EXPECT_TRUE(admission.submit(job).by_share);
    job.id = admission.job().id;
    EXPECT_TRUE(admission.rejects(job));
    g_array_append_val(admission.forecast.ratios, ratio);
    admission.set_work(1, 50000);
    admission.publish();
    EXPECT_EQ(admission.decide(job).worth_ms, 7500u);
    EXPECT_FALSE(admission.rejects(job));
}

/* Guards against a queue that gets nothing because others fill the fleet, and
   against a share that lets in as much as before. */
TEST(Backlog, LeavesAShareToEveryQueue)
{
    Admission admission;
    uint64_t admitted_ms[2] = {};
    for (int i = 0; i < 600; i++) {
        admission.set_work(1, 4000000, 1000);
        admission.publish();
        for (uint64_t queue = 0; queue < 2; queue++) {
            mb_backlog_job_t job = admission.job(1, 31 + queue);
            job.work_ms = queue == 0 ? 2000 : 40000;
            admitted_ms[queue] +=
                admission.submit(job).admitted ? job.work_ms : 0;
        }
        admission.now_us += 100 * MS;
    }
    /* In 60 s, 10 processors finish 600,000 ms; a quarter is shared out. */
    EXPECT_GT(admitted_ms[0], 60000u);
    EXPECT_GT(admitted_ms[1], 60000u);
    EXPECT_LT(admitted_ms[0] + admitted_ms[1], 200000u);
}

/* Guards against clients that all return at once, or after the work that they
   bring is worth nothing; and against a time that stays long when the backlog
   shrinks. */
TEST(Backlog, ClientsReturnOneAfterTheOther)
{
    Admission admission;
    std::set<uint32_t> times;
    uint64_t sums[2] = {};
    for (uint64_t work_ms : {UINT64_C(8000000), UINT64_C(1520000)}) {
        admission.set_work(1, work_ms);
        admission.publish();
        for (int i = 0; i < 100; i++) {
            mb_backlog_job_t job = admission.job();
            job.latency_objective_ms = 19000;
            mb_backlog_decision_t decision = admission.submit(job);
            if (!decision.admitted) {
                EXPECT_GE(decision.retry_after_s, 1u);
                EXPECT_LE(decision.retry_after_s,
                          MB_BACKLOG_RETRY_AFTER_MAX_S);
                times.insert(decision.retry_after_s);
                sums[work_ms < 2000000] += decision.retry_after_s;
            }
        }
        admission.now_us += 30 * SECOND;
    }
    EXPECT_GT(times.size(), 20u);
    EXPECT_LT(sums[1], sums[0]);
}

/* A meter of one class, whose tasks take a second of a processor. */
struct Metering {
    mb_backlog_meter_t meter;
    mb_backlog_forecast_t forecast;
    uint64_t now_us = 1000 * SECOND;

    Metering()
    {
        mb_backlog_meter_init(&meter);
        mb_backlog_forecast_init(&forecast);
    }
    ~Metering()
    {
        mb_backlog_meter_finish(&meter);
        mb_backlog_forecast_finish(&forecast);
    }
    /* Lets a second pass in which `ends` tasks of priority 1 end, and half as
       many urgent ones. Returns the forecast of priority 1. */
    mb_backlog_class_t pass(int ends, bool waits)
    {
        mb_backlog_end_t end = {service, 21, 1, 1000, 1000, 2500};
        for (int i = 0; i < ends; i++) {
            now_us += SECOND / static_cast<uint64_t>(ends);
            end.priority = 1;
            mb_backlog_meter_ended(&meter, &end, now_us);
            end.priority = 0;
            end.run_ms = 0;
            if (i % 2 == 1) {
                mb_backlog_meter_ended(&meter, &end, now_us);
            }
            end.run_ms = 2500;
        }
        now_us += ends == 0 ? SECOND : 0;
        mb_backlog_forecast_clear(&forecast);
        mb_backlog_class_t *of =
            mb_backlog_get_class(forecast.classes, service, 1);
        of->waiting[0].cpu_milli = waits ? 1000 : 0;
        mb_backlog_meter_sample(&meter, &forecast, now_us);
        return *of;
    }
};

/* Guards against a rate that is measured while the fleet is not busy or has
   just become so, and against one that does not follow the fleet. */
TEST(BacklogMeter, MeasuresTheRateWhileWorkWaits)
{
    Metering metering;
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(metering.pass(10, false).urgent_rate_milli, 0u);
    }
    EXPECT_EQ(metering.pass(0, true).urgent_rate_milli, 0u);
    EXPECT_EQ(metering.pass(0, true).urgent_rate_milli, 0u);
    EXPECT_EQ(metering.pass(20, true).urgent_rate_milli, 0u);
    for (int i = 0; i < 4; i++) {
        (void)metering.pass(20, true);
    }
    mb_backlog_class_t of = metering.pass(20, true);
    EXPECT_NEAR((double)of.rate_milli, 20000, 2000);
    EXPECT_NEAR((double)of.urgent_rate_milli, 30000, 3000);
    for (int i = 0; i < 25; i++) {
        of = metering.pass(10, true);
    }
    EXPECT_NEAR((double)of.rate_milli, 10000, 1500);
    ASSERT_EQ(metering.forecast.ratios->len, 1u);
    const mb_backlog_ratio_t *ratio =
        &g_array_index(metering.forecast.ratios, mb_backlog_ratio_t, 0);
    EXPECT_NEAR((double)ratio->milli, 2500, 100);
    for (int i = 0; i < 12; i++) {
        of = metering.pass(0, false);
    }
    EXPECT_EQ(metering.pass(20, true).urgent_rate_milli, 0u);
}
