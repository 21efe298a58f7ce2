// Messages and service definitions
export * from "./generated/ibislanding/v1/peer";

// Connections
export { createPeerClients } from "./client/createPeerClients";
export type { PeerClients } from "./client/peerClients";
export type { PeerClientsOptions } from "./client/peerClientsOptions";
export type { PeerMethod } from "./client/peerMethod";
export type { PeerAddress } from "./peerAddress";
export type { PeerCredentials } from "./peerCredentials";
export { createPeerServer } from "./server/createPeerServer";
export { createUnaryHandler } from "./server/createUnaryHandler";
export type { PeerServer } from "./server/peerServer";
export type { PeerServerOptions } from "./server/peerServerOptions";
export type { PeerService } from "./server/peerService";
