#pragma once

#include "savorywick/claims.h"

#include <map>
#include <string>
#include <string_view>

namespace savorywick {

enum class ClaimRecordKind : std::uint8_t { Open, Finish, Release, Unknown, Expire, Time };

// One change of a ClaimLedger, as its journal keeps it.
struct ClaimRecord
{
    ClaimRecordKind kind = ClaimRecordKind::Time;
    Millis time; // The ledger's time of the change.
    ClaimRequest request; // Service and key but for Time; the rest only for Open.
    ClaimAnswer answer; // Only for Finish.
};

struct ClaimSnapshot
{
    Millis time;
    std::map<ClaimKey, Claim> claims;
};

// Return one line of JSON in ASCII, whatever bytes the texts hold.
std::string writeClaimRecord(const ClaimRecord &record);
std::string writeClaimSnapshot(const ClaimSnapshot &snapshot);

// Return what the lines were made of. Throw Error(InvalidInput) for anything else.
ClaimRecord parseClaimRecord(std::string_view text);
ClaimSnapshot parseClaimSnapshot(std::string_view text);

} // namespace savorywick
