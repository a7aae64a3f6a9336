-- For a cell whose interactive services must not wait: services first, and no batch work on a box
-- whose processors are nearly used up by services.
function rank(task)
  if task.is_service then return 10000 + task.priority end
  return task.priority
end

function may_share(task, box)
  if task.is_service then return true end
  local reserve = box.capacity.cpu_millis / 8
  for _, other in ipairs(box.tasks) do
    if other.is_service and box.free.cpu_millis - task.cpu_millis < reserve then
      return false
    end
  end
  return true
end

function may_stop(victim, task)
  return victim.stoppable and not victim.is_service and victim.priority < task.priority
end
