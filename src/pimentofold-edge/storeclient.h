#pragma once

#include <functional>
#include <string>

#include <libnet/loop.h>
#include <libnet/streamhttp.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/listwatch.h>
#include <pimentofold/random.h>
#include <pimentofold/storereplication.h>
#include <pimentofold/targettable.h>
#include <platform/storecalls.h>

/// The calls of one node to the platform's store.
namespace pimentofold {

class StoreLink
{
public:
    /// @param store address
    /// @param table takes over what the store holds
    /// @param onChange called after each answer
    StoreLink(const Address &store, TargetTable &table, Random &random, EventLog &log, std::function<void()> onChange);

    /// Starts to follow the store.
    /// @param known revisions that are known already, by which the first calls are watches
    void start(const KnownRevisions &known);
    /// Makes no further calls; one that is under way still ends.
    void stop();
    /// Reads what changed once, without following the store.
    void readOnce(const KnownRevisions &known);

    bool isFollowing() const;
    /// @return what the calls since start() have shown
    StoreContact contact() const;
    /// @return revisions up to which the store is known
    KnownRevisions known() const;
    std::int64_t calls() const;

private:
    struct Follower {
        platform::StoreKind kind;
        StoreFollow follow;
        HttpConnection connection;
        Timer timer;
        bool once = false; ///< one call, without following

        Follower(platform::StoreKind storeKind, const Address &store, std::function<void()> onTimer);
    };

    void run(Follower &follower);
    void onAnswer(Follower &follower, const HttpResult &result);
    void logFailure(const Follower &follower, const HttpResult &result);
    void apply(Follower &follower, const platform::StoreObject &object, Time now);
    void applyRecord(Follower &follower, const TargetRecord &record, Time now);
    void remove(Follower &follower, std::uint64_t id, const std::string &name, std::int64_t revision, Time now);
    void finishList(Follower &follower, Time now);

    TargetTable &m_table;
    Random &m_random;
    EventLog &m_log;
    std::function<void()> m_onChange;
    Follower m_config;
    Follower m_targets;
    bool m_following = false;
};

} // namespace pimentofold
