import type { Agent } from "node:http";

/** Closes an agent's idle connections; connections in use are left to their own timeouts. */
export const destroyIdleSockets = (agent: Agent): void =>
    Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
