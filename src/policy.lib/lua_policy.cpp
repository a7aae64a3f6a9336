// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/policy.h>

#include <lua.hpp>

#include <cmath>
#include <cstdlib>
#include <mutex>

namespace pathport {

namespace {

constexpr char chunk_name[] = "=policy";
constexpr char rank_entry[] = "rank";
constexpr char may_share_entry[] = "may_share";
constexpr char may_stop_entry[] = "may_stop";

// What a program may use of Lua's base library. Left out is all that reads files, loads
// code, catches errors (it could outlive the instruction limit) or changes metatables.
constexpr const char* allowed_base[] = { "assert", "error",    "ipairs",   "next", "pairs",
                                         "select", "tonumber", "tostring", "type" };
constexpr const char* refused_math[] = { "random", "randomseed" };

// Counts what the program holds and refuses to go over the limit.
void* limited_allocate(void* user, void* block, size_t old_size, size_t new_size)
{
    size_t& held = *static_cast<size_t*>(user);
    // For a new block Lua passes a type code in place of the old size.
    const size_t before = block == nullptr ? 0 : old_size;
    if (new_size == 0) {
        held -= before;
        std::free(block);
        return nullptr;
    }
    if (new_size > before && held + (new_size - before) > policy_memory_limit)
        return nullptr;
    void* moved = std::realloc(block, new_size);
    if (moved != nullptr)
        held = held - before + new_size;
    return moved;
}

void stop_at_limit(lua_State* state, lua_Debug* /*where*/)
{
    luaL_error(state, "the call took more than %d instructions", policy_instruction_limit);
}

void set_field(lua_State* state, const char* name, int64_t value)
{
    lua_pushinteger(state, value);
    lua_setfield(state, -2, name);
}

void set_field(lua_State* state, const char* name, const std::string& value)
{
    lua_pushlstring(state, value.data(), value.size());
    lua_setfield(state, -2, name);
}

void set_flag(lua_State* state, const char* name, bool value)
{
    lua_pushboolean(state, value ? 1 : 0);
    lua_setfield(state, -2, name);
}

void set_resources(lua_State* state, const Resources& r)
{
    set_field(state, "cpu_millis", r.cpu_millis);
    set_field(state, "memory_mb", r.memory_mb);
    set_field(state, "accelerators", r.accelerators);
}

void push_new(lua_State* state, const PolicyTask& task)
{
    lua_createtable(state, 0, 8);
    set_field(state, "name", task.name);
    set_field(state, "team", task.team);
    set_flag(state, "is_service", task.is_service);
    set_field(state, "priority", task.priority);
    set_flag(state, "stoppable", task.stoppable);
    set_resources(state, task.resources);
}

// Its address is the key of the kept tables in Lua's registry.
char tables_key;

// Equal tasks share one table: making tables is most of what a call costs.
void push(lua_State* state, const PolicyTask& task, size_t& kept)
{
    const bool has_tables
        = lua_rawgetp(state, LUA_REGISTRYINDEX, &tables_key) == LUA_TTABLE;
    if (!has_tables || kept >= policy_table_limit) {
        lua_pop(state, 1);
        lua_newtable(state);
        lua_pushvalue(state, -1);
        lua_rawsetp(state, LUA_REGISTRYINDEX, &tables_key);
        kept = 0;
    }
    const auto key = static_cast<lua_Integer>(policy_class(task));
    if (lua_rawgeti(state, -1, key) != LUA_TTABLE) {
        lua_pop(state, 1);
        push_new(state, task);
        lua_pushvalue(state, -1);
        lua_rawseti(state, -3, key);
        ++kept;
    }
    lua_remove(state, -2);
}

void push_amount(lua_State* state, const char* name, const Resources& amount)
{
    lua_createtable(state, 0, 3);
    set_resources(state, amount);
    lua_setfield(state, -2, name);
}

void push(lua_State* state, const PolicyBox& box, size_t& kept)
{
    lua_createtable(state, 0, 6);
    set_field(state, "id", box.id);
    set_field(state, "domain", box.domain);
    set_field(state, "rack", box.rack);
    push_amount(state, "capacity", box.capacity);
    push_amount(state, "free", box.free);
    lua_createtable(state, static_cast<int>(box.tasks.size()), 0);
    for (size_t i = 0; i < box.tasks.size(); ++i) {
        push(state, box.tasks[i], kept);
        lua_rawseti(state, -2, static_cast<lua_Integer>(i) + 1);
    }
    lua_setfield(state, -2, "tasks");
}

// The arguments of one protected call; Lua's own errors must not pass through C++ frames
// that hold anything, so building them happens inside the protected call as well.
struct Call {
    const char* entry = nullptr;
    const PolicyTask* first = nullptr;
    const PolicyTask* second_task = nullptr;
    const PolicyBox* second_box = nullptr;
    size_t* kept_tables = nullptr;
};

int run_call(lua_State* state)
{
    const Call& call = *static_cast<const Call*>(lua_touserdata(state, 1));
    lua_getglobal(state, call.entry);
    push(state, *call.first, *call.kept_tables);
    int arguments = 1;
    if (call.second_task != nullptr) {
        push(state, *call.second_task, *call.kept_tables);
        ++arguments;
    }
    if (call.second_box != nullptr) {
        push(state, *call.second_box, *call.kept_tables);
        ++arguments;
    }
    lua_call(state, arguments, 1);
    return 1;
}

int open_libraries(lua_State* state)
{
    luaL_requiref(state, "_G", luaopen_base, 1);
    lua_newtable(state);
    for (const char* name : allowed_base) {
        lua_getfield(state, -2, name);
        lua_setfield(state, -2, name);
    }
    luaL_requiref(state, LUA_MATHLIBNAME, luaopen_math, 0);
    for (const char* name : refused_math) {
        lua_pushnil(state);
        lua_setfield(state, -2, name);
    }
    lua_setfield(state, -2, LUA_MATHLIBNAME);
    // The new table becomes the globals; the full base library is no longer reachable.
    lua_rawseti(state, LUA_REGISTRYINDEX, LUA_RIDX_GLOBALS);
    return 0;
}

} // namespace

class LuaPolicy::Impl {
public:
    ~Impl()
    {
        if (m_state != nullptr)
            lua_close(m_state);
    }

    bool load(const std::string& program, Failure& reason)
    {
        m_state = lua_newstate(limited_allocate, &m_held);
        if (m_state == nullptr) {
            reason = Failure(FailureKind::policy_error, "no memory");
            return false;
        }
        lua_pushcfunction(m_state, open_libraries);
        if (lua_pcall(m_state, 0, 0, 0) != LUA_OK)
            return take_error(reason);
        if (luaL_loadbufferx(m_state, program.data(), program.size(), chunk_name, "t")
            != LUA_OK)
            return take_error(reason);
        limit_instructions();
        if (lua_pcall(m_state, 0, 0, 0) != LUA_OK)
            return take_error(reason);
        m_has_rank = has_entry(rank_entry, reason);
        m_has_share = has_entry(may_share_entry, reason);
        m_has_stop = has_entry(may_stop_entry, reason);
        if (reason)
            return false;
        if (m_has_rank || m_has_share || m_has_stop)
            return true;
        reason = Failure(FailureKind::policy_error,
                         "the program defines none of rank, may_share and may_stop");
        return false;
    }

    std::optional<double> number(Call call)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!run(call))
            return std::nullopt;
        std::optional<double> result;
        if (lua_type(m_state, -1) == LUA_TNUMBER)
            result = lua_tonumber(m_state, -1);
        lua_pop(m_state, 1);
        if (!result || std::isnan(*result)) {
            fail(std::string(call.entry) + " did not return a number");
            return std::nullopt;
        }
        return result;
    }

    std::optional<bool> flag(Call call)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!run(call))
            return std::nullopt;
        std::optional<bool> result;
        if (lua_type(m_state, -1) == LUA_TBOOLEAN)
            result = lua_toboolean(m_state, -1) != 0;
        lua_pop(m_state, 1);
        if (!result)
            fail(std::string(call.entry) + " did not return true or false");
        return result;
    }

    PolicyHealth health() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_health;
    }

    bool has_rank() const { return m_has_rank; }
    bool has_share() const { return m_has_share; }
    bool has_stop() const { return m_has_stop; }

private:
    void limit_instructions()
    {
        lua_sethook(m_state, stop_at_limit, LUA_MASKCOUNT, policy_instruction_limit);
    }

    bool take_error(Failure& reason)
    {
        const char* text = lua_tostring(m_state, -1);
        reason
            = Failure(FailureKind::policy_error, text == nullptr ? "unknown error" : text);
        lua_pop(m_state, 1);
        return false;
    }

    bool has_entry(const char* name, Failure& reason)
    {
        const int type = lua_getglobal(m_state, name);
        lua_pop(m_state, 1);
        if (type != LUA_TNIL && type != LUA_TFUNCTION) {
            reason = Failure(FailureKind::policy_error,
                             std::string(name) + " is not a function");
        }
        return type == LUA_TFUNCTION;
    }

    // Leaves the result on the stack when it returns true.
    bool run(Call& call)
    {
        call.kept_tables = &m_kept_tables;
        ++m_health.calls;
        lua_pushcfunction(m_state, run_call);
        lua_pushlightuserdata(m_state, &call);
        limit_instructions();
        if (lua_pcall(m_state, 1, 1, 0) == LUA_OK)
            return true;
        Failure reason;
        take_error(reason);
        fail(reason.detail());
        return false;
    }

    void fail(const std::string& text)
    {
        ++m_health.failures;
        m_health.last = Failure(FailureKind::policy_error, text);
    }

    mutable std::mutex m_mutex;
    size_t m_held = 0;
    lua_State* m_state = nullptr;
    bool m_has_rank = false;
    bool m_has_share = false;
    bool m_has_stop = false;
    PolicyHealth m_health;
    size_t m_kept_tables = 0;
};

LuaPolicy::LuaPolicy(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

LuaPolicy::~LuaPolicy() = default;

std::unique_ptr<LuaPolicy> LuaPolicy::compile(const std::string& program, Failure& reason)
{
    reason = Failure();
    auto impl = std::make_unique<Impl>();
    if (!impl->load(program, reason))
        return nullptr;
    std::unique_ptr<LuaPolicy> policy(new LuaPolicy(std::move(impl)));
    const PolicyTask task { "probe",         "probe", false,
                            urgent_priority, true,    { 1000, 1024, 0 } };
    const PolicyTask other { "other", "probe", false, 0, true, { 1000, 1024, 0 } };
    const PolicyBox box { "box",    "domain", "rack", { 4000, 4096, 0 }, { 3000, 3072, 0 },
                          { other } };
    policy->rank(task);
    policy->may_share(task, box);
    policy->may_stop(other, task);
    if (policy->health().failures > 0) {
        reason = policy->health().last;
        return nullptr;
    }
    return policy;
}

double LuaPolicy::rank(const PolicyTask& task) const
{
    Call call;
    call.entry = rank_entry;
    call.first = &task;
    const auto result = m_impl->has_rank() ? m_impl->number(call) : std::nullopt;
    return result ? *result : DefaultPolicy().rank(task);
}

bool LuaPolicy::may_share(const PolicyTask& task, const PolicyBox& box) const
{
    Call call;
    call.entry = may_share_entry;
    call.first = &task;
    call.second_box = &box;
    const auto result = m_impl->has_share() ? m_impl->flag(call) : std::nullopt;
    return result ? *result : DefaultPolicy().may_share(task, box);
}

bool LuaPolicy::may_stop(const PolicyTask& victim, const PolicyTask& task) const
{
    Call call;
    call.entry = may_stop_entry;
    call.first = &victim;
    call.second_task = &task;
    const auto result = m_impl->has_stop() ? m_impl->flag(call) : std::nullopt;
    return result ? *result : DefaultPolicy().may_stop(victim, task);
}

PolicyHealth LuaPolicy::health() const
{
    return m_impl->health();
}

} // namespace pathport
