// Documents and operations
export type { AppliedOperation } from "./documents/appliedOperation";
export type { ChangeContext } from "./documents/changeContext";
export { configurationKey } from "./documents/configurationKey";
export type { ConfigurationOperation } from "./documents/configurationOperation";
export { parseDocument } from "./documents/parseDocument";
export type { RequestedChange } from "./documents/requestedChange";
export { serializeDocument } from "./documents/serializeDocument";
export type { StoredConfiguration } from "./documents/storedConfiguration";

// Commands
export { applyOperation } from "./commands/applyOperation";
export type { ConfigurationWriter } from "./commands/configurationWriter";
export type { ConfigurationWriterOptions } from "./commands/configurationWriterOptions";
export { createConfigurationWriter } from "./commands/createConfigurationWriter";

// Queries
export { findChange } from "./queries/findChange";

// Followers
export type { ConfigurationFollower } from "./follower/configurationFollower";
export type { ConfigurationFollowerOptions } from "./follower/configurationFollowerOptions";
export { createConfigurationFollower } from "./follower/createConfigurationFollower";
export { defaultFollowerStrategy } from "./follower/defaultFollowerStrategy";
export type { FollowerDump } from "./follower/followerDump";
export type { FollowerStrategy } from "./follower/followerStrategy";

// Peers
export type { ConfigurationPeers } from "./peers/configurationPeers";
export type { ConfigurationPeersOptions } from "./peers/configurationPeersOptions";
export { createConfigurationPeers } from "./peers/createConfigurationPeers";
export { createConfigurationService } from "./peers/createConfigurationService";
export type { PeerConfiguration } from "./peers/peerConfiguration";
