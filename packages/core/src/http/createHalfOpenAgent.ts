import { Agent, type AgentOptions } from "node:http";

/** Creates an agent whose sockets remain writable after the peer's FIN, as `detectReset` needs. */
export const createHalfOpenAgent = (options: AgentOptions): Agent => {
    const agent = new Agent(options);
    const createConnection = agent.createConnection.bind(agent);
    agent.createConnection = (connectOptions, callback) => {
        const halfOpen = { ...connectOptions, allowHalfOpen: true };
        const socket = createConnection(halfOpen, callback);
        socket?.once("end", () => void socket.end());
        return socket;
    };
    return agent;
};
