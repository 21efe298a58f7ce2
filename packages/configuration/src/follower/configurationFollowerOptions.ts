import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ConfigurationPeers } from "../peers/configurationPeers";
import type { FollowerStrategy } from "./followerStrategy";

/** Dependencies and callbacks of a configuration follower. */
export interface ConfigurationFollowerOptions {
    readonly store: KeyValueStore;
    readonly peers: ConfigurationPeers;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called with each newer document, before any subscriber. */
    readonly onAdvance?: (document: ConfigurationDocument) => void;
    /** Called when a listener throws; the other listeners are still called. */
    readonly onError?: (error: unknown) => void;
    readonly strategy?: FollowerStrategy;
}
