#ifndef DAMASKGLADE_CONFIG_REGISTRY_H
#define DAMASKGLADE_CONFIG_REGISTRY_H

#include "config/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskglade::config {

enum class ValueType {
  WholeNumber,
  Name,         ///< Letters, digits, "-", "_" and "."; at most 63 bytes.
  Address,      ///< "ip:port".
  AddressList,  ///< "ip:port" separated by commas; may be empty.
  Url,          ///< "http://..." or "https://...".
  LogLevelName, ///< debug, info, warning or error.
};

std::string_view valueTypeName(ValueType Value);

/// A number of the cell. A key ends in the unit of its value.
struct CellSetting {
  std::string Section_;
  std::string Key_;
  std::string Unit_; ///< Empty for plain counts and weights.
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
  std::string Description_;
  std::int64_t &(*Field_)(CellSettings &);
};

/// A number of one team, in "[team NAME]" and "[team_default]".
struct TeamSetting {
  std::string Key_;
  std::string Unit_;
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
  std::string Description_;
  std::int64_t &(*Field_)(TeamSettings &);
};

/// A setting of one process.
struct ProcessSetting {
  std::string Section_;
  std::string Key_;
  ValueType Type_ = ValueType::Name;
  std::optional<std::string> Default_; ///< Nothing: the setting is required.
  std::string Description_;
  /// Stores a text that is valid for the type.
  void (*Store_)(ProcessSettings &, const std::string &);
};

constexpr const char *TeamDefaultSection = "team_default";
constexpr const char *TeamSectionPrefix = "team ";

const std::vector<CellSetting> &cellSettings();
const std::vector<TeamSetting> &teamSettings();
const std::vector<ProcessSetting> &processSettings();

/// The default of a setting, taken from a default-constructed value.
std::int64_t defaultOf(const CellSetting &Setting);
std::int64_t defaultOf(const TeamSetting &Setting);

/// Reference table of all settings in Markdown.
std::string settingsMarkdown();

} // namespace damaskglade::config

#endif
