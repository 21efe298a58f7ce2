import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";

/** What a configuration writer works with. */
export interface ConfigurationWriterOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called with each accepted document before the operator is answered; its promise is awaited. */
    readonly onAccepted?: (document: ConfigurationDocument) => Promise<unknown> | void;
    /** Number of reads and conditional writes before giving up. */
    readonly maximumAttempts?: number;
}
