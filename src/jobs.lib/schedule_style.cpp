// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "schedule_style.h"

namespace pathport::cell_tests {

namespace {

Style with_worker_faults(Style style, double crashing_share, double resize_chance,
                         double suspend_chance)
{
    style.crashing_share = crashing_share;
    style.resize_chance = resize_chance;
    style.suspend_chance = suspend_chance;
    return style;
}

Style with_callers(Style style, double rekey_chance)
{
    style.rekey_chance = rekey_chance;
    return style;
}

Style with_drains(Style style, double drain_chance)
{
    style.drain_chance = drain_chance;
    return style;
}

Style with_refusals(Style style, double refusal_chance)
{
    style.refusal_chance = refusal_chance;
    return style;
}

Style with_many_losses(Style style)
{
    style.many_losses = true;
    return style;
}

} // namespace

Style make_style(int number)
{
    switch (number) {
    case 1: // Few faults, with undisturbed periods for the liveness checks.
        return { 0.012, Millis(10500), 5, 20, 0.5 };
    case 2: // Many faults at once.
        return { 0.1, Millis(12000), 5, 20, 0.6 };
    case 3: // Half of the jobs are cancelled soon, with undisturbed periods.
        return { 0.02, Millis(10500), 7, 14, 0.5, 0.5 };
    case 4: // The same with more faults.
        return { 0.06, Millis(12000), 7, 14, 0.5, 0.5 };
    case 5: // As 3, and open connections are occasionally black-holed.
        return { 0.02, Millis(10500), 7, 14, 0.5, 0.5, 0.015 };
    case 6: // The same with configuration changes, also several per second.
        return { 0.015, Millis(10500), 7, 14, 0.5, 0.3, 0.02, 0.08 };
    case 7: // Workers restart under their ids, with few other faults.
        return { 0.012, Millis(10500), 7, 14, 0.5, 0.1, 0, 0, 0.025 };
    case 8: // The same with many other faults.
        return { 0.06, Millis(12000), 7, 14, 0.5, 0.1, 0.01, 0, 0.04 };
    case 9: // As 7, with all calls to workers through relays.
        return { 0.02, Millis(12000), 7, 14, 0.5, 0.1, 0.01, 0, 0.03, 1 };
    case 10: // Some tasks crash every worker that starts them, with few other faults.
        return with_worker_faults({ 0.012, Millis(10500), 7, 14, 0.5 }, 0.06, 0, 0);
    case 11: // The same with many other faults and restarts.
        return with_many_losses(with_worker_faults(
            { 0.05, Millis(12000), 7, 14, 0.5, 0.1, 0, 0, 0.01 }, 0.1, 0, 0));
    case 12: // Workers lose and regain capacity, with few other faults.
        return with_worker_faults({ 0.02, Millis(12000), 7, 14, 0.5 }, 0, 0.06, 0);
    case 13: // Boxes of nodes are suspended, with few other faults.
        return with_worker_faults({ 0.02, Millis(12000), 7, 14, 0.5 }, 0, 0, 0.03);
    case 14: // All of 10 to 13, with restarts and black-holed connections.
        return with_many_losses(with_worker_faults(
            { 0.03, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0, 0.01 }, 0.05, 0.03, 0.015));
    case 15: // The same through relays.
        return with_many_losses(with_worker_faults(
            { 0.02, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0, 0.01, 1 }, 0.05, 0.03, 0.015));
    case 16: // Callers with changing keys and bounds, with few other faults.
        return with_callers({ 0.012, Millis(10500), 7, 14, 0.5, 0.2 }, 0.04);
    case 17: // The same with more faults, black-holes, restarts and configuration changes.
        return with_callers({ 0.05, Millis(14000), 7, 14, 0.5, 0.2, 0.01, 0.02, 0.01 },
                            0.05);
    case 18: // The same through relays, with crashing tasks and capacity changes.
        return with_many_losses(with_callers(
            with_worker_faults({ 0.03, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0, 0.01, 1 },
                               0.03, 0.02, 0.01),
            0.05));
    case 19: // Failure domains are drained, with few other faults.
        return with_drains({ 0.012, Millis(10500), 7, 14, 0.5, 0.1 }, 0.03);
    case 20: // The same through relays, with more faults, black-holes and restarts.
        return with_drains({ 0.05, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0.02, 0.01, 1 },
                           0.05);
    case 21: // Leaving workers behind links that refuse connections, with few other faults.
        return with_refusals({ 0.012, Millis(10500), 7, 14, 0.5, 0.1 }, 0.04);
    case 22: // The same through relays, with more faults, black-holes and restarts.
        return with_refusals({ 0.05, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0.02, 0.01, 1 },
                             0.05);
    default:
        return {};
    }
}

} // namespace pathport::cell_tests
