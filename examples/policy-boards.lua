-- For a cell that is mostly batch work and pays for packing: recomputations after a ruling go
-- first, everything shares, and only urgent work stops other work.
function rank(task)
  local first = task.name == "rulings" and 5000 or 0
  return first + task.priority
end

function may_stop(victim, task)
  return victim.stoppable and not victim.is_service and task.priority >= 1000
    and victim.priority < task.priority
end
