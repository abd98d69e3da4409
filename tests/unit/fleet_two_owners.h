/* A former owner that can't read the log beside its successor, which can: two
   real owners of the same agents, for the tests. */
#ifndef FLEET_TWO_OWNERS_H
#define FLEET_TWO_OWNERS_H

#include "fleet_histories.h"

/* The successor. The simulation's own owner is the former one. Machines that
   join later are known to the successor only. */
struct LaterOwner {
    FleetSimulation &simulation;
    mb_dag_table_t table;
    mb_fleet_t fleet;
    mb_order_decoder_t report_decoder;
    uint64_t token = 0;
    std::set<uint32_t> connected;
    std::vector<std::pair<std::string, std::string>> group;
    uint64_t former_read_us = 0; /* latest read of the log by the former one */
    bool former_reads_log = true;

    static LaterOwner *self_of(void *context)
    {
        return static_cast<LaterOwner *>(context);
    }

    /* Sends the agent an order, which arrives after 4 ms. */
    static void send(void *context, uint32_t number, const mb_order_t *order)
    {
        LaterOwner *self = self_of(context);
        Machine *machine = self->simulation.machines[number].get();
        uint64_t connection = machine->connections;
        mb_buf_t bytes = {};
        self->simulation.check_starts(*order, &self->table);
        mb_order_encode(&bytes, order);
        std::string copy(bytes.data, bytes.len);
        mb_buf_finish(&bytes);
        self->simulation.when_awake(
            machine, self->simulation.now_us + 4000, [=] {
                if (self->connected.count(number) > 0 &&
                    machine->connections == connection) {
                    deliver_order(machine, copy);
                }
            });
    }

    static bool congested(void *context, uint32_t worker)
    {
        (void)context;
        (void)worker;
        return false;
    }

    static void store(void *context, const mb_dag_progress_t *progress)
    {
        mb_buf_t value = {};
        mb_dag_record_encode_progress(&value, progress);
        self_of(context)->group.push_back(
            {std::string(progress->id.text, MB_DAG_ID_LEN),
             std::string(value.data, value.len)});
        mb_buf_finish(&value);
    }

    static void end_group(void *context)
    {
        LaterOwner *self = self_of(context);
        auto group = self->group;
        auto heard = self->simulation.work.get_heard(self->token, group);
        self->group.clear();
        self->simulation.events.push_back(
            {self->simulation.now_us + 8000, [=] {
                 for (const auto &item : group) {
                     self->simulation.progress[item.first] = item.second;
                 }
                 self->simulation.work.progress_stored(heard);
                 mb_fleet_progress_stored(&self->fleet, true);
             }});
    }

    static bool absence(void *context, uint32_t worker, const GArray *tasks)
    {
        LaterOwner *self = self_of(context);
        bool removal = tasks == nullptr;
        self->simulation.events.push_back(
            {self->simulation.now_us + 8000, [=] {
                 mb_fleet_absence_stored(&self->fleet, worker, !removal);
             }});
        return true;
    }

    static uint64_t unix_ms(void *context)
    {
        return self_of(context)->simulation.now_us / 1000;
    }

    /* Begins as a process that reads the log and owns nothing. */
    explicit LaterOwner(FleetSimulation &simulated) : simulation(simulated)
    {
        mb_clock_t clock = {read_clock, &simulation};
        mb_log_t log = make_log();
        mb_fleet_callbacks_t callbacks = {send,    congested, store, end_group,
                                          absence, unix_ms,   this};
        mb_dag_table_init(&table);
        (void)mb_order_decoder_init(&report_decoder);
        mb_fleet_init(&fleet, &table, &callbacks, &clock, &log);
        for (auto &machine : simulation.machines) {
            add(*machine);
        }
        mb_fleet_agents_loaded(&fleet);
    }

    ~LaterOwner()
    {
        simulation.events.clear();
        for (auto &machine : simulation.machines) {
            machine->other_owner = nullptr;
        }
        mb_fleet_finish(&fleet);
        mb_dag_table_finish(&table);
        mb_order_decoder_finish(&report_decoder);
    }

    void add(Machine &machine)
    {
        const std::string &name = machine.worker.name;
        EXPECT_EQ(mb_fleet_add_worker(&fleet, {name.data(), name.size()}),
                  machine.number);
    }

    /* Adds a machine that the former owner does not read of. */
    Machine &add_machine()
    {
        simulation.add_machine();
        Machine &machine = *simulation.machines.back();
        mb_fleet_worker_removed(&simulation.fleet, machine.number);
        add(machine);
        return machine;
    }

    /* Keeps the former owner from reading the log and from appending to it. */
    void cut_former_from_log()
    {
        simulation.log_read = false;
        simulation.store_unanswered = true;
        former_reads_log = false;
    }

    /* Claims the fleet. */
    void claim()
    {
        uint64_t lease_us = MB_OWNERSHIP_LEASE_MS * 1000ull;
        token = simulation.token + 1;
        simulation.load_log(&table, &fleet);
        simulation.work.log_read(token);
        mb_fleet_become_owner(&fleet, token,
                              simulation.now_us + lease_us +
                                  mb_fleet_max_lease_us());
        mb_fleet_set_active(&fleet, true);
        mb_fleet_confirm_ownership(&fleet, simulation.now_us);
    }

    /* Delivers a report of a process of an agent after 4 ms. */
    void take_report(Machine &machine, const std::string &bytes)
    {
        Machine *from = &machine;
        mb_agent_t *agent = machine.agent;
        simulation.events.push_back(
            {simulation.now_us + 4000, [=] {
                 if (connected.count(from->number) == 0 ||
                     from->agent != agent) {
                     return;
                 }
                 ASSERT_TRUE(decode_report(bytes));
                 simulation.work.report_arrives(token, &table,
                                                report_decoder.report);
                 mb_fleet_handle_report(&fleet, from->number,
                                        &report_decoder.report);
                 mb_fleet_flush(&fleet);
             }});
    }

    bool decode_report(const std::string &bytes)
    {
        return mb_report_decode(&report_decoder, {bytes.data(), bytes.size()},
                                nullptr);
    }

    /* Connects the agent of a machine, which the former owner loses. */
    void connect(Machine &machine)
    {
        if (connected.count(machine.number) > 0 ||
            simulation.now_us < machine.frozen_until_us) {
            return;
        }
        simulation.disconnect(machine);
        ASSERT_TRUE(mb_agent_connected(machine.agent, token));
        machine.other_owner = [this, &machine](const std::string &bytes) {
            take_report(machine, bytes);
        };
        connected.insert(machine.number);
        machine.connections++;
        mb_fleet_agent_connected(&fleet, machine.number);
    }

    void disconnect(Machine &machine)
    {
        if (connected.erase(machine.number) > 0) {
            machine.other_owner = nullptr;
            mb_agent_disconnected(machine.agent);
            mb_fleet_agent_disconnected(&fleet, machine.number);
        }
    }

    /* Advances the time. Both owners act only while they lead. */
    void advance(uint64_t ms)
    {
        for (uint64_t i = 0; i < ms; i += 5) {
            uint64_t now_us = simulation.now_us;
            former_read_us = former_reads_log ? now_us : former_read_us;
            bool may_act =
                now_us < former_read_us + MB_OWNERSHIP_LEASE_MS * 1000ull &&
                mb_fleet_leads(&simulation.fleet);
            mb_fleet_set_active(&simulation.fleet, may_act);
            simulation.tick();
            if (token > 0 && simulation.now_us % 20000 == 0) {
                mb_fleet_confirm_ownership(&fleet, simulation.now_us);
                mb_fleet_tick(&fleet);
            }
        }
    }
};

#endif
