#ifndef DAMASKGLADE_CONFIG_CHECKS_H
#define DAMASKGLADE_CONFIG_CHECKS_H

#include "config/ini_source.h"
#include "config/settings.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damaskglade::config {

/// Merged entries by section and key.
using EntryMap = std::map<std::pair<std::string, std::string>, Entry>;

/// The number without leading zeros or a negative zero; Text if it is none.
std::string normalNumber(const std::string &Text);

/// Checks section, key, type, unit and range of one entry.
void checkCellEntry(const Entry &Each, std::vector<Problem> &Problems);
void checkProcessEntry(const Entry &Each, std::vector<Problem> &Problems);

/// The defaults with the valid entries applied.
CellSettings applyCell(const EntryMap &Merged);

/// Conditions between several settings of the cell.
void checkRelations(const CellSettings &Settings, const EntryMap &Merged,
                    std::vector<Problem> &Problems);

/// Applies entries and defaults. Adds each missing setting to Problems.
ProcessSettings applyProcess(const EntryMap &Merged, const std::string &File,
                             std::vector<Problem> &Problems);

} // namespace damaskglade::config

#endif
