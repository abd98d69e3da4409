/* Plays loads of jobs on the simulation of a fleet, with several schedulers
   that admit jobs by the forecasts of its owner, and checks what the callers
   get. */
#include <gtest/gtest.h>

#include <map>

#include "fleet_histories.h"

extern "C" {
#include "mb_backlog.h"
}

/* What the clients of a queue got. */
struct Answers {
    uint32_t submitted = 0;
    uint32_t rejections = 0; /* of submissions, also of the same job */
    uint32_t admitted = 0;
    uint32_t completed = 0; /* within the time that it was worth something */
    uint32_t completed_late = 0;
    uint32_t retry_after_max_s = 0;
};

/* A kind of job: `count` tasks of one processor and 300 ms, worth something
   for 4.8 s. */
struct Kind {
    const char *queue;
    uint32_t priority;
    uint32_t count;
};

/* A fleet of 4 workers of 4 processors, of which tasks of 300 ms use about 12
   because of the messages between them, and schedulers. */
struct Play {
    static const uint64_t WORTH_US = 4800000;
    FleetSimulation simulation;
    std::vector<std::unique_ptr<mb_backlog_t>> schedulers;
    mb_backlog_forecast_t forecast;
    std::map<std::string, Answers> answers;
    std::map<std::string, std::pair<const char *, uint64_t>> open;
    std::deque<std::pair<uint64_t, std::function<void()>>> returns;
    std::deque<mb_dag_step_t> steps;
    bool publishes = true;
    uint32_t forecasts = 0; /* published, not empty */
    uint64_t last_id = 0;

    static uint64_t read_clock(void *context)
    {
        return static_cast<FleetSimulation *>(context)->now_us;
    }
    explicit Play(size_t count) : simulation(4)
    {
        mb_clock_t clock = {read_clock, &simulation};
        mb_backlog_forecast_init(&forecast);
        for (size_t i = 0; i < count; i++) {
            schedulers.push_back(std::make_unique<mb_backlog_t>());
            mb_backlog_init(schedulers.back().get(), &clock);
        }
        fail_over();
        simulation.advance(2500);
    }
    ~Play()
    {
        mb_backlog_forecast_finish(&forecast);
        for (auto &scheduler : schedulers) {
            mb_backlog_finish(scheduler.get());
        }
    }
    void fail_over()
    {
        simulation.fail_over();
        for (auto &scheduler : schedulers) {
            mb_backlog_note_owner(scheduler.get(), simulation.token);
        }
    }
    /* Has the owner collect a forecast, and the schedulers read its record. */
    void publish()
    {
        mb_buf_t value = {};
        mb_dag_record_t record;
        bool exists = mb_fleet_forecast_backlog(&simulation.fleet, &forecast);
        if (!publishes || (!exists && forecasts == 0)) {
            return;
        }
        forecasts += exists;
        forecast.token = simulation.token;
        forecast.published_ms = simulation.now_us / 1000;
        mb_dag_record_encode_backlog(&value, &forecast);
        ASSERT_TRUE(mb_dag_record_decode(&simulation.record_decoder,
                                         MB_STR_LIT("b"), mb_buf_view(&value),
                                         &record, nullptr));
        for (auto &scheduler : schedulers) {
            mb_backlog_set_forecast(scheduler.get(), record.body.backlog);
        }
        mb_buf_finish(&value);
    }
    /* Submits a new job at a random scheduler. */
    void submit(const Kind &kind)
    {
        char id[MB_DAG_ID_LEN + 1];
        (void)snprintf(id, sizeof(id), "%016zx", (size_t)++last_id);
        answers[kind.queue].submitted++;
        attempt(kind, id, 0);
    }
    /* Submits a job, again after a rejection up to 4 times. */
    void attempt(const Kind &kind, const std::string &id, int retries)
    {
        Answers &of = answers[kind.queue];
        mb_backlog_t *scheduler =
            schedulers[simulation.random() % schedulers.size()].get();
        steps.emplace_back();
        mb_dag_spec_t spec =
            one_step_job(&steps.back(), id.c_str(), kind.count, 1000);
        spec.policy.queue = mb_str_from_cstr(kind.queue);
        spec.policy.priority = kind.priority;
        spec.submitted_ms = simulation.now_us / 1000;
        mb_backlog_job_t job = mb_backlog_job(&spec);
        mb_backlog_decision_t decision =
            mb_backlog_decide(scheduler, &job, simulation.now_us);
        if (decision.admitted) {
            mb_backlog_note_admitted(scheduler, &job, &decision);
            for (auto &other : schedulers) {
                mb_backlog_note_stored(other.get(), &job);
            }
            of.admitted++;
            open[id] = {kind.queue, simulation.now_us};
            simulation.submit(spec);
            return;
        }
        mb_backlog_note_rejected(scheduler, &job);
        of.rejections++;
        of.retry_after_max_s =
            std::max(of.retry_after_max_s, decision.retry_after_s);
        if (retries < 4) {
            returns.emplace_back(
                simulation.now_us + decision.retry_after_s * 1000000u,
                [this, kind, id, retries] { attempt(kind, id, retries + 1); });
        }
    }
    /* Notes which jobs have been completed. */
    void watch()
    {
        for (auto i = open.begin(); i != open.end();) {
            if (simulation.outcome(i->first.c_str()) == MB_DAG_OPEN) {
                i++;
                continue;
            }
            Answers &of = answers[i->second.first];
            bool in_time = simulation.now_us - i->second.second <= WORTH_US;
            (in_time ? of.completed : of.completed_late)++;
            i = open.erase(i);
        }
    }
    /* Lets time pass, with a number of jobs of each kind a second. */
    void run(uint64_t seconds,
             const std::vector<std::pair<Kind, uint32_t>> &load)
    {
        for (uint64_t ms = 0; ms < seconds * 1000; ms += 100) {
            if (ms % 1000 == 0) {
                publish();
            }
            for (const auto &part : load) {
                uint64_t before = ms * part.second / 1000;
                uint64_t after = (ms + 100) * part.second / 1000;
                for (uint64_t i = before; i < after; i++) {
                    submit(part.first);
                }
            }
            for (size_t i = 0; i < returns.size();) {
                if (returns[i].first > simulation.now_us) {
                    i++;
                    continue;
                }
                auto action = returns[i].second;
                returns.erase(returns.begin() + (std::ptrdiff_t)i);
                action();
            }
            simulation.advance(100);
            watch();
        }
    }
    uint32_t rejections() const
    {
        uint32_t sum = 0;
        for (const auto &of : answers) {
            sum += of.second.rejections;
        }
        return sum;
    }
};

static const Kind batch = {"batch", 1, 10};
static const Kind urgent = {"urgent", 0, 2};
static const Kind small = {"small", 1, 2};
static const Kind large = {"large", 1, 40};

/* Guards against rejections of a load that the fleet can serve. */
TEST(BacklogPlay, NobodyIsRejectedWhileThereIsRoom)
{
    Play play(3);
    play.run(30, {{batch, 2}, {urgent, 3}});
    play.run(3, {});
    EXPECT_EQ(play.rejections(), 0u);
    EXPECT_EQ(play.answers["batch"].completed, 60u);
    EXPECT_TRUE(play.simulation.violations.empty());
}

/* Guards against an overload in which jobs are admitted that are worth nothing
   when they are completed, and against urgent jobs that suffer from it. When
   it has ended, everyone is admitted at once. */
TEST(BacklogPlay, OverloadOfBatchJobs)
{
    Play play(3);
    Play without(3);
    without.publishes = false;
    without.run(60, {{batch, 8}, {urgent, 3}});
    EXPECT_EQ(without.rejections(), 0u);
    play.run(60, {{batch, 8}, {urgent, 3}});
    const Answers &of = play.answers["batch"];
    EXPECT_GT(of.rejections, 100u);
    EXPECT_GT(of.completed, without.answers["batch"].completed * 4 / 3);
    EXPECT_GT(of.completed, 10 * of.completed_late);
    EXPECT_GT(of.completed, of.admitted / 2);
    EXPECT_EQ(play.answers["urgent"].rejections, 0u);
    EXPECT_GT(play.answers["urgent"].completed, 170u);
    EXPECT_LE(of.retry_after_max_s, 5u);
    play.run(15, {});
    uint32_t before = play.rejections();
    play.run(15, {{batch, 2}, {urgent, 3}});
    EXPECT_EQ(play.rejections(), before);
    EXPECT_TRUE(play.simulation.violations.empty());
}

/* Guards against clients of a short burst that use up their retries although
   the fleet could serve them. */
TEST(BacklogPlay, ClientsOfABurstAreServedLater)
{
    Play play(3);
    play.run(8, {{batch, 10}});
    play.run(30, {});
    const Answers &of = play.answers["batch"];
    EXPECT_GT(of.rejections, 0u);
    EXPECT_GE(of.admitted, of.submitted * 9 / 10);
    EXPECT_TRUE(play.open.empty());
}

/* Guards against small jobs that are rejected because of large ones, and
   against large ones of which none is admitted beside a flood of others. */
TEST(BacklogPlay, SmallJobsBesideLargeOnes)
{
    Play play(2);
    play.run(60, {{large, 2}, {small, 2}, {batch, 4}});
    EXPECT_GT(play.answers["small"].completed,
              play.answers["small"].submitted * 9 / 10);
    EXPECT_GT(play.answers["large"].rejections, 0u);
    EXPECT_GT(play.answers["large"].admitted, 5u);
    EXPECT_GT(play.answers["batch"].admitted, 60u);
}

/* Guards against a forecast that counts for ever what was given up: when an
   overload has left jobs that nobody waits for any more, small ones among
   them, new ones are served before these and have to be admitted. */
TEST(BacklogPlay, AdmitsBeforeWhatIsGivenUp)
{
    Play play(2);
    play.publishes = false;
    play.run(40, {{batch, 10}});
    play.publishes = true;
    play.run(12, {});
    EXPECT_GT(play.open.size(), 100u);
    uint32_t completed = play.answers["batch"].completed;
    play.run(20, {{batch, 2}});
    play.run(2, {});
    EXPECT_EQ(play.rejections(), 0u);
    EXPECT_GE(play.answers["batch"].completed, completed + 38);
}

/* Guards against rejections while there is no owner that could know, and
   against a new owner that publishes before it knows what runs. */
TEST(BacklogPlay, ChangeOfOwner)
{
    Play play(2);
    play.run(30, {{batch, 10}});
    EXPECT_GT(play.rejections(), 0u);
    play.publishes = false;
    play.run(4, {{batch, 10}});
    uint32_t before = play.rejections();
    play.run(3, {{batch, 10}});
    EXPECT_EQ(play.rejections(), before);
    play.publishes = true;
    play.run(10, {{batch, 10}});
    EXPECT_GT(play.rejections(), before);

    play.fail_over();
    before = play.rejections();
    play.forecasts = 0;
    EXPECT_FALSE(play.simulation.fleet.former_runs_resolved);
    play.publish();
    EXPECT_EQ(play.forecasts, 0u);
    play.run(3, {{batch, 10}});
    EXPECT_EQ(play.rejections(), before);
    play.run(25, {{batch, 10}});
    EXPECT_GT(play.rejections(), before);
    EXPECT_TRUE(play.simulation.violations.empty());
}
