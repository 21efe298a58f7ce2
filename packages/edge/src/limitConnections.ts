import { type ConnectionLimits, defaultConnectionLimits } from "@ibislanding/runtime";
import type { EdgeSettings } from "./edgeSettings";

/** Descriptors that are not for sockets. */
const FILE_DESCRIPTORS = 200;

/** Shares of the sockets; the rest is for upstreams, the store and peers that this host calls. */
const SOCKET_SHARES = { callers: 0.6, readiness: 0.02, peers: 0.1, metrics: 0.02, relay: 0.06 };

/** Share of the memory that may lie unread on the connections of callers. */
const UNREAD_MEMORY_SHARE = 0.4;

/** What a connection receives before it is read for the first time. */
const RECEIVE_WINDOW_BYTES = 131_072;

/** Limits of a listener's connections: those of callers also by memory, as what they send is on this host's bill before it is read. */
export const limitConnections = (
    { memoryBytes, maximumDescriptors }: Pick<EdgeSettings, "memoryBytes" | "maximumDescriptors">,
    listener: keyof typeof SOCKET_SHARES,
): ConnectionLimits => {
    const sockets = Math.floor((maximumDescriptors - FILE_DESCRIPTORS) * SOCKET_SHARES[listener]);
    const unread = Math.floor(memoryBytes * UNREAD_MEMORY_SHARE / RECEIVE_WINDOW_BYTES);
    return { ...defaultConnectionLimits, maximumConnections: Math.max(1, Math.min(sockets, unread)) };
};
