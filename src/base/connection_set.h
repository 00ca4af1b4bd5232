/** \file
 * Defines connection_set, the open connections of a server by the address of their clients.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace chervildyke {

/** Chooses which connection makes room for a new one when a server has too many: of the address
 * that has most connections, the one that has waited longest without a complete request.
 * Connections whose request is handled are never chosen. Not thread-safe; outlives its entries.
 */
class connection_set {
  public:
    /** One open connection. It leaves the set when it is destroyed or chosen to make room. */
    class entry {
      public:
        /** \param close closes the connection at once; called at most once. */
        entry(connection_set& all, std::string address, std::function<void()> close);
        ~entry();
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;

        /** States whether the connection waits for a complete request, as it does at first. */
        void set_waiting(bool waiting);

        /** \return true if the connection was closed to make room. */
        bool displaced() const { return displaced_; }
        const std::string& address() const { return address_; }

      private:
        friend class connection_set;
        connection_set& all_;
        std::string address_;
        std::function<void()> close_;
        std::uint64_t waiting_since_ = 0; // Zero if it does not wait.
        bool displaced_ = false;
    };

    std::size_t size() const { return size_; }

    /** Closes one connection.
     * \return false if none waits.
     */
    bool make_room();

  private:
    /** The connections of one address. */
    struct client {
        std::size_t connections = 0;
        std::map<std::uint64_t, entry*> waiting; // The longest first.
    };

    void change_count(const std::string& address, bool added);
    void remove(entry& connection);

    std::size_t size_ = 0;
    std::uint64_t next_wait_ = 1; // Orders the waits.
    std::map<std::string, client> clients_;
    std::set<std::pair<std::size_t, std::string>> addresses_by_count_;
};

} // namespace chervildyke
