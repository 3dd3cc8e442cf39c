#pragma once

#include "savorywick/errors.h"
#include "savorywick/platform.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

// An in-memory table that injects the faults of a real one: an outage, lost messages and delays.
class FakeTable final : public savorywick::Table
{
public:
    // What happens to a commit. Reads and scans throw Error(Unavailable) unless it is None or
    // Delay.
    enum class Fault {
        None,
        Down, // It does not take effect, and the outcome is Unavailable.
        LoseRequest, // It does not take effect, and the outcome is Unknown.
        LoseReply, // It takes effect, and the outcome is Unknown.
        Delay, // deliverDelayed() applies it if its conditions hold then. The outcome is Unknown.
    };

    // Sets the fault of all later commits, reads and scans.
    void setFault(Fault fault) { m_fault = fault; }

    savorywick::CommitResult commit(const savorywick::Transaction &t) override
    {
        using savorywick::CommitOutcome;
        switch (m_fault) {
        case Fault::None:
            return apply(t);
        case Fault::Down:
            return {CommitOutcome::Unavailable, 0};
        case Fault::LoseReply:
            apply(t);
            break;
        case Fault::Delay:
            m_delayed.push_back(t);
            break;
        case Fault::LoseRequest:
            break;
        }
        return {CommitOutcome::Unknown, 0};
    }

    std::vector<savorywick::Row> read(std::span<const std::string> keys) override
    {
        throwIfUnreachable();
        std::vector<savorywick::Row> rows;
        for (const std::string &key : keys)
            rows.push_back(row(key));
        return rows;
    }

    std::vector<savorywick::Row> scan(std::string_view prefix, std::string_view after,
                                      std::size_t limit) override
    {
        throwIfUnreachable();
        std::vector<savorywick::Row> rows;
        const std::string from(std::max(prefix, after));
        for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it) {
            if (!it->first.starts_with(prefix) || rows.size() == limit)
                break;
            if (it->first != after)
                rows.push_back(it->second);
        }
        return rows;
    }

    // Returns a row whatever the fault; an absent row has version 0.
    savorywick::Row row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? savorywick::Row{key, "", 0} : it->second;
    }

    // Applies the oldest delayed commit, if there is one, after the commits that came meanwhile.
    void deliverDelayed()
    {
        if (m_delayed.empty())
            return;
        apply(m_delayed.front());
        m_delayed.pop_front();
    }

    // Returns the number of transactions that took effect.
    std::size_t commitCount() const { return m_commits; }

private:
    void throwIfUnreachable() const
    {
        if (m_fault != Fault::None && m_fault != Fault::Delay)
            throw savorywick::Error(savorywick::ErrorKind::Unavailable, "the table is down",
                                    "try later");
    }

    savorywick::CommitResult apply(const savorywick::Transaction &t)
    {
        for (const savorywick::Condition &it : t.conditions) {
            if (row(it.key).version != it.version)
                return {savorywick::CommitOutcome::Conflict, 0};
        }
        ++m_version;
        ++m_commits;
        for (const savorywick::Write &it : t.writes) {
            if (it.value)
                m_rows[it.key] = {it.key, *it.value, m_version};
            else
                m_rows.erase(it.key);
        }
        return {savorywick::CommitOutcome::Committed, m_version};
    }

    std::map<std::string, savorywick::Row> m_rows;
    std::deque<savorywick::Transaction> m_delayed;
    std::uint64_t m_version = 0;
    std::size_t m_commits = 0;
    Fault m_fault = Fault::None;
};
