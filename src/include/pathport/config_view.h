// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The cell's configuration as a node holds it, and how it is changed.
/// docs/design/configuration.md gives the reasons.

#pragma once

#include <pathport/failure.h>
#include <pathport/model.h>
#include <pathport/peer.h>
#include <pathport/policy.h>
#include <pathport/table.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pathport {

/// Kinds of configuration, as they stand in keys.
namespace config_kind {
constexpr char service[] = "services";
constexpr char quota[] = "quotas";
constexpr char policy[] = "policies";
constexpr char drain[] = "drains";
} // namespace config_kind

/// The name of the one policy of a cell.
constexpr char cell_policy_name[] = "cell";

/// One state of the configuration. It never changes once made.
class ConfigSnapshot {
public:
    /// The rows by "<kind>/<name>"; removed rows have an empty value.
    std::map<std::string, ConfigRow> rows;
    int64_t revision = 0; ///< Highest revision of all rows.
    std::map<std::string, ServiceSpec> services;
    std::map<std::string, Resources> quotas;
    std::set<std::string> drained_boxes;
    std::shared_ptr<const Policy> policy;
    std::shared_ptr<const LuaPolicy> program; ///< The same, when it is a program.

    /// Returns a present row, or nothing when it does not exist or was removed.
    std::optional<ConfigRow> find(const std::string& kind, const std::string& name) const;
    /// Returns the present rows of a kind.
    std::vector<ConfigRow> list(const std::string& kind) const;
};

/// The configuration in force on this node. It only goes forward: a row is replaced by one
/// with a higher revision, never by an older one. Safe from any thread.
class ConfigView {
public:
    ConfigView();

    /// Returns the present state.
    std::shared_ptr<const ConfigSnapshot> snapshot() const;
    /// Takes in rows from the table or from a peer. Returns whether anything changed.
    bool apply(const std::vector<ConfigRow>& rows);
    /// Returns all rows with a higher revision than `revision`, removed ones included.
    std::vector<ConfigRow> since(int64_t revision) const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
};

/// Prefix of the configuration's rows in the table.
constexpr char config_prefix[] = "config/";

/// Decodes rows of the table under config_prefix; rows that can't be read are left out.
std::vector<ConfigRow> decode_config_rows(const std::vector<TableRow>& rows);

/// Checks the value of a row before it is accepted. Returns the value in its normal form,
/// or nothing and sets `reason`.
std::optional<std::string> check_config_value(const std::string& kind,
                                              const std::string& name,
                                              const std::string& value, Failure& reason);

/// A change that an operator asks for.
struct ConfigChange {
    std::string kind;
    std::string name;
    std::string value; ///< Checked value; empty removes the row.
    std::optional<int64_t> expected; ///< The row's revision that the operator saw; 0: none.
    std::string who;
};

/// Changes the configuration through the table. Safe from any thread.
class ConfigWriter {
public:
    /// `table` and `view` outlive the writer; `incarnation` names the lane.
    ConfigWriter(Table& table, ConfigView& view, std::string node, std::string incarnation);

    /// Makes a change: the row, the cell's revision and the audit record are written in one
    /// transaction. Returns the row as it is in force afterwards. On failure returns
    /// nothing; for a `conflict` the detail holds the present row.
    std::optional<ConfigRow> change(const ConfigChange& change, Failure& reason);

private:
    struct Base {
        int64_t cell_revision = 0;
        int64_t cell_version = 0;
        int64_t row_version = 0;
        ConfigRow row;
    };
    std::optional<Base> read_base(const ConfigChange& change, Failure& reason);
    TableTxn make_txn(const ConfigChange& change, const Base& base,
                      const ConfigRow& row) const;

    Table& m_table;
    ConfigView& m_view;
    std::string m_node;
    TableLane m_lane;
};

} // namespace pathport
