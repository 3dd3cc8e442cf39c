// The object store and the membership list: both keep whole values by name.
#include "json.h"
#include "routes.h"

#include <map>
#include <optional>

namespace savorywick::standin {

namespace {

class NamedValues
{
public:
    void put(const Call &call)
    {
        const std::lock_guard lock{m_mutex};
        m_values[call.tail] = call.body;
    }

    void remove(const Call &call)
    {
        const std::lock_guard lock{m_mutex};
        m_values.erase(call.tail);
    }

    std::optional<std::string> find(const std::string &name) const
    {
        const std::lock_guard lock{m_mutex};
        const auto it = m_values.find(name);
        return it == m_values.end() ? std::nullopt : std::optional{it->second};
    }

    std::map<std::string, std::string> all() const
    {
        const std::lock_guard lock{m_mutex};
        return m_values;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_values;
};

// Adds PUT and DELETE of the values below `path`.
std::shared_ptr<NamedValues> addNamedValues(Server &server, const std::string &path)
{
    auto values = std::make_shared<NamedValues>();
    server.route("PUT", path + "/(.+)", [values](const Call &call) {
        values->put(call);
        return Reply{.status = 204};
    });
    server.route("DELETE", path + "/(.+)", [values](const Call &call) {
        values->remove(call);
        return Reply{.status = 204};
    });
    return values;
}

} // namespace

void addObjects(Server &server)
{
    const auto objects = addNamedValues(server, "/objects");
    server.route("GET", "/objects/(.+)", [objects](const Call &call) {
        const auto value = objects->find(call.tail);
        return value ? Reply{.body = *value} : Reply{.status = 404};
    });
}

void addMembership(Server &server)
{
    const auto hosts = addNamedValues(server, "/membership");
    server.route("GET", "/membership", [hosts](const Call &) {
        Json::Value value;
        value["hosts"] = Json::Value{Json::arrayValue};
        for (const auto &[id, host] : hosts->all()) {
            value["hosts"].append(parseObject(host));
        }
        return jsonReply(value);
    });
}

} // namespace savorywick::standin
