#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <libnet/loop.h>
#include <libnet/streamhttp.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/random.h>
#include <pimentofold/replication/listwatch.h>
#include <pimentofold/replication/storereplication.h>
#include <pimentofold/targettable.h>
#include <platform/configstream.h>
#include <platform/storecalls.h>

namespace pimentofold {

/// Use of the routes of the first configuration while it still arrives.
struct EarlyRoutes {
    std::function<bool()> areNeeded; ///< whether packets wait for their routes; empty: routes aren't used early
    std::function<void()> onArrived; ///< called when routes have been added to the table
};

/// Reads the platform's store: lists and watches the configuration, the targets and, where they are on, the evacuations, and
/// applies them to a table.
class StoreClient
{
public:
    /// @param store address of the store
    /// @param table to which the store's contents are applied; must outlive this object, as must @p random and @p log
    /// @param random for the back-off after failed calls
    /// @param onAnswered called after each call has ended, also after a failed one
    StoreClient(const Address &store, TargetTable &table, Random &random, EventLog &log, std::function<void()> onAnswered, EarlyRoutes earlyRoutes = {});

    /// Turns the calls for evacuations on, or off if @p bound is 0, as they are at first.
    /// @param bound time within which an evacuation has to be in force
    void setEvacuationBound(Time bound);

    /// Starts to watch the store, after a list of each kind that is unknown.
    /// @param known revisions that this node knows already; the watches start there
    void start(const KnownRevisions &known);
    /// Ends watching. A call that is in flight is still completed.
    void stop();
    /// Reads the changes once, without watching the store. Does nothing while the store is being watched.
    /// @param known revisions that this node knows already
    void readOnce(const KnownRevisions &known);

    /// Closes the connections and continues at another address of the same store. Answers to calls in flight are not applied.
    void setAddress(const Address &store);

    bool isWatching() const;
    /// @return whether the last calls for the configuration and the targets succeeded; unknown before the first ones since
    ///         start() have ended
    StoreHealth health() const;
    /// @return revisions up to which the store's contents have been read or were reported as known
    KnownRevisions known() const;
    /// @return latest known era of the store; 0 when it has named none
    std::int64_t era() const;
    /// @return number of responses that were dropped because they, or the calls that they answer, were of an earlier era
    std::int64_t droppedResponseCount() const;
    /// @return number of configurations and targets' entries that weren't applied because a later era of the store holds older ones
    std::int64_t olderCopyCount() const;
    /// @return number of calls since the process started
    std::int64_t callCount() const;
    /// @return number of invalid parts of the configuration that this node read last from the store
    std::size_t configProblemCount() const;

private:
    /// List-and-watch of one kind, with its connection.
    struct KindReader {
        platform::StoreKind kind;
        ListWatch listWatch;
        HttpConnection connection;
        Timer timer;
        bool listCall = false; ///< the call in flight is a list
        bool singleRead = false; ///< a readOnce() is under way: stop after one watch or one complete list

        KindReader(platform::StoreKind storeKind, const Address &store, std::function<void()> onTimer);
    };

    /// Applies the routes that have arrived so far while the configuration is read for the first time.
    /// @param body of the response so far
    void applyArrivedRoutes(std::string_view body);
    /// Starts the reader's next call, or a timer for it.
    void startCall(KindReader &reader);
    void onAnswer(KindReader &reader, const HttpResult &result);
    /// Records the era that a response names, and starts to read all kinds anew when it is a later one.
    /// @return the era of the response; the known one when it names none
    std::int64_t noteEra(const HttpResult &result, Time now);
    /// Takes over a later era of the store.
    /// @param source where it was read: "store" or "peer"
    void beginEra(std::int64_t era, std::string_view source, Time now);
    /// Logs that a configuration or a target's entry is older than the known one.
    void logOlderCopy(std::string_view kind, const std::string &name, const StoreRevision &revision);
    void logFailure(const KindReader &reader, const HttpResult &result);
    void applyObject(KindReader &reader, const platform::StoreObject &object, Time now);
    /// Logs the problems that the previous configuration didn't have.
    void logConfigProblems(const std::vector<ConfigProblem> &problems);
    void applyTargetRecord(KindReader &reader, const TargetRecord &record, Time now);
    /// Removes a target that the store no longer holds in readable form.
    void removeEntry(KindReader &reader, std::uint64_t id, const std::string &name, const StoreRevision &revision, Time now);
    /// Removes the targets that a complete list doesn't contain.
    /// @param known revision up to which this node knew the kind before the list
    void finishList(KindReader &reader, const StoreRevision &known, Time now);
    /// Applies the evacuations of a response, or collects those of a list until its last page.
    void applyEvacuations(const platform::StoreResponse &response);
    /// Starts again with a list, and forgets the evacuations.
    void resetEvacuations();
    /// @return the readers of the kinds that are on
    std::vector<KindReader *> readers();

    TargetTable &m_table;
    Random &m_random;
    EventLog &m_log;
    std::function<void()> m_onAnswered;
    EarlyRoutes m_earlyRoutes;
    KindReader m_configReader;
    KindReader m_targetsReader;
    KindReader m_evacuationsReader;
    EvacuationState m_listedEvacuations; ///< of the pages of the current list
    bool m_evacuationsEnabled = false;
    platform::ConfigStream m_configStream; ///< of the list call for the configuration that is in flight
    std::set<ConfigProblem> m_configProblems; ///< of the configuration that was read last
    bool m_watching = false;
    std::int64_t m_era = 0; ///< latest known era of the store; 0: it has named none
    bool m_isEraMissing = false; ///< as last logged
    std::int64_t m_droppedResponses = 0;
    std::int64_t m_olderCopies = 0;
};

} // namespace pimentofold
