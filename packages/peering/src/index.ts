// Groups
export { createPeerGroup } from "./createPeerGroup";
export type { PeerGroup } from "./peerGroup";
export type { PeerGroupOptions } from "./peerGroupOptions";
