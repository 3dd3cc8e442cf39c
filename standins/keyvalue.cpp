// The object store and the membership list: both are key-value stores.
#include "routes.h"

#include <map>

namespace savorywick::standin {

namespace {

struct KeyValueStore
{
    std::mutex mutex;
    std::map<std::string, std::string> values;
};

// Adds routes for PUT and DELETE of the values below `path` and returns their store.
std::shared_ptr<KeyValueStore> addKeyValueRoutes(Server &server, const std::string &path)
{
    auto store = std::make_shared<KeyValueStore>();
    server.route("PUT", path + "/(.+)", [store](const Request &request) {
        const std::lock_guard lock{store->mutex};
        store->values[request.pathSuffix] = request.body;
        return Response{.status = 204};
    });
    server.route("DELETE", path + "/(.+)", [store](const Request &request) {
        const std::lock_guard lock{store->mutex};
        store->values.erase(request.pathSuffix);
        return Response{.status = 204};
    });
    return store;
}

} // namespace

void addObjects(Server &server)
{
    const auto objects = addKeyValueRoutes(server, "/objects");
    server.route("GET", "/objects/(.+)", [objects](const Request &request) {
        const std::lock_guard lock{objects->mutex};
        const auto it = objects->values.find(request.pathSuffix);
        return it == objects->values.end() ? Response{.status = 404} : Response{.body = it->second};
    });
}

void addMembership(Server &server)
{
    const auto hosts = addKeyValueRoutes(server, "/membership");
    server.route("GET", "/membership", [hosts](const Request &) {
        const std::lock_guard lock{hosts->mutex};
        Json::Value list{Json::arrayValue};
        for (const auto &[id, host] : hosts->values)
            list.append(parseObject(host));
        return jsonResponse(jsonObject({{"hosts", list}}));
    });
}

} // namespace savorywick::standin
